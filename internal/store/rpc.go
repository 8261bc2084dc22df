package store

import (
	"context"
	"fmt"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// This file implements the RPC API for the registry on the same machine. An undecided result is not an error: the reply
// has the field Undecided set.

// ticketResult is the result of a request. Only the field for the kind of the request is set; both are nil if the
// request got no result.
type ticketResult struct {
	proposal  *schema.ProposalReply
	readIndex *schema.ReadIndexReply
}

// Propose proposes a change and returns its outcome once that is committed. The reply is undecided if ctx ends first,
// too many requests are waiting or no leader answers. The change may then still be committed, and the caller may propose
// it again under the same change id. The error is always nil.
func (s *Server) Propose(ctx context.Context, proposal *schema.Proposal) (*schema.ProposalReply, error) {
	result := s.awaitResult(ctx, func(now time.Duration, ticket string) []Action {
		return s.replica.Propose(now, &schema.Proposal{
			Ticket:         ticket,
			Change:         proposal.Change,
			ControllerTerm: proposal.ControllerTerm,
		})
	}).proposal
	if result == nil {
		result = &schema.ProposalReply{Undecided: true}
	}
	return result, nil
}

// ReadIndex returns a committed sequence at least as high as that of any change acknowledged before the call. The reply
// is undecided in the same cases as that of Propose. The error is always nil.
func (s *Server) ReadIndex(ctx context.Context, _ *schema.Empty) (*schema.ReadIndexReply, error) {
	result := s.awaitResult(ctx, func(now time.Duration, ticket string) []Action {
		return s.replica.ReadIndex(now, ticket)
	}).readIndex
	if result == nil {
		result = &schema.ReadIndexReply{Undecided: true}
	}
	return result, nil
}

// awaitResult runs an event with a new ticket and waits for the result of that ticket. The result is empty if ctx ends
// first or too many requests are waiting already.
func (s *Server) awaitResult(ctx context.Context, event func(now time.Duration, ticket string) []Action) ticketResult {
	ticket, results := s.newTicket()
	if results == nil {
		return ticketResult{}
	}
	s.step(func(now time.Duration) []Action { return event(now, ticket) })
	select {
	case result := <-results:
		return result
	case <-ctx.Done():
		s.lock.Lock()
		delete(s.tickets, ticket)
		s.lock.Unlock()
		return ticketResult{}
	}
}

// newTicket returns a ticket that no other request of any process has, and the channel for its result. results is nil if
// too many requests are waiting already.
func (s *Server) newTicket() (ticket string, results chan ticketResult) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.tickets) >= int(s.initialOptions.Buffer) {
		return "", nil
	}
	s.lastTicketID++
	ticket = fmt.Sprintf("%s-%x-%d", s.initialOptions.Seat, s.processIncarnation, s.lastTicketID)
	results = make(chan ticketResult, 1) // buffered so that completeTicket, which sends at most one result, never blocks
	s.tickets[ticket] = results
	return ticket, results
}

// completeTicket passes a result to the request that waits for it, if it still does. The caller holds s.lock.
func (s *Server) completeTicket(ticket string, result ticketResult) {
	if results, found := s.tickets[ticket]; found {
		delete(s.tickets, ticket)
		results <- result
	}
}

// Inquire returns the outcome of a change id. The reply is undecided if this replica knows of no committed outcome. The
// error is always nil.
func (s *Server) Inquire(_ context.Context, request *schema.ChangeQuery) (*schema.ProposalReply, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	outcome, committed := s.replica.CommittedOutcome(request.ChangeId)
	return &schema.ProposalReply{Outcome: outcome, Undecided: !committed}, nil
}

// Follow returns the changes of the committed state after request.AfterSequence as soon as there are any, or a reply
// without changes after request.WaitNanos. The only error is that of ctx.
func (s *Server) Follow(ctx context.Context, request *schema.FollowRequest) (*schema.FollowReply, error) {
	deadline := time.NewTimer(time.Duration(request.WaitNanos))
	defer deadline.Stop()
	for {
		s.lock.Lock()
		committed, state := s.replica.Committed()
		changed := s.committedChanged
		s.lock.Unlock()
		if committed > request.AfterSequence {
			return s.withFreshness(ItemsAfter(state, committed, request.AfterSequence)), nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return s.withFreshness(&schema.FollowReply{Committed: committed}), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// withFreshness adds the staleness of the committed state, and the members, to a reply.
func (s *Server) withFreshness(reply *schema.FollowReply) *schema.FollowReply {
	s.lock.Lock()
	defer s.lock.Unlock()
	age, known := s.replica.CommittedAge(time.Since(s.started))
	reply.StalenessNanos, reply.StalenessKnown = int64(age), known
	reply.Members = s.replica.Members()
	return reply
}

// ItemsAfter returns the items of a state that were written after a sequence. If that sequence is 0, or so old that later
// deletions are no longer known, it returns all items and sets Complete. committed is the sequence of the state itself.
func ItemsAfter(state config.State, committed, after uint64) *schema.FollowReply {
	reply := &schema.FollowReply{Committed: committed}
	reply.Items, reply.Complete = state.ChangesAfter(after)
	return reply
}

// Look returns the replica's status. The error is always nil.
func (s *Server) Look(context.Context, *schema.Empty) (*schema.ReplicaStatus, error) {
	return s.status(), nil
}
