package store

import (
	"context"
	"fmt"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// The RPC API, for the registry of the same machine. "Not decided" is an answer, not an error: it is the field
// Undecided of a reply.

// ticketResult is what a request waits for: the result that its kind asks for, the other one nil.
type ticketResult struct {
	proposal  *schema.ProposalReply
	readIndex *schema.ReadIndexReply
}

// Propose proposes a change and answers once its outcome is committed. It answers undecided if ctx ends first, too
// many requests wait or no leader can tell; the change may then still be committed, and the caller proposes it again
// under the same change id. It returns no error.
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

// ReadIndex answers with a committed sequence at least as high as that of any change acknowledged before the call,
// or undecided as Propose does. It returns no error.
func (s *Server) ReadIndex(ctx context.Context, _ *schema.Empty) (*schema.ReadIndexReply, error) {
	result := s.awaitResult(ctx, func(now time.Duration, ticket string) []Action {
		return s.replica.ReadIndex(now, ticket)
	}).readIndex
	if result == nil {
		result = &schema.ReadIndexReply{Undecided: true}
	}
	return result, nil
}

// awaitResult runs an event under a new ticket and waits for the ticket's result. The result is empty if ctx ends
// first or too many requests wait already.
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

// newTicket draws a ticket that no other process or request has; results is nil if too many wait already.
func (s *Server) newTicket() (ticket string, results chan ticketResult) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.tickets) >= int(s.initialOptions.Buffer) {
		return "", nil
	}
	s.lastTicketID++
	ticket = fmt.Sprintf("%s-%x-%d", s.initialOptions.Seat, s.processIncarnation, s.lastTicketID)
	results = make(chan ticketResult, 1) // so that completeTicket, which sends at most one, never waits
	s.tickets[ticket] = results
	return ticket, results
}

// completeTicket passes a result on to the request that waits for it, if it still does. The caller holds the lock.
func (s *Server) completeTicket(ticket string, result ticketResult) {
	if results, found := s.tickets[ticket]; found {
		delete(s.tickets, ticket)
		results <- result
	}
}

// Inquire answers with the outcome of a change id, undecided if none is committed as far as this replica knows. It
// returns no error.
func (s *Server) Inquire(_ context.Context, request *schema.ChangeQuery) (*schema.ProposalReply, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	outcome, committed := s.replica.CommittedOutcome(request.ChangeId)
	return &schema.ProposalReply{Outcome: outcome, Undecided: !committed}, nil
}

// Follow answers with the changes of the committed state beyond a sequence as soon as there are any, or without
// changes once request.WaitNanos have passed. Its only error is that of ctx.
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

// withFreshness adds to a reply how fresh the committed state is, and the members.
func (s *Server) withFreshness(reply *schema.FollowReply) *schema.FollowReply {
	s.lock.Lock()
	defer s.lock.Unlock()
	age, known := s.replica.CommittedAge(time.Since(s.started))
	reply.StalenessNanos, reply.StalenessKnown = int64(age), known
	reply.Members = s.replica.Members()
	return reply
}

// ItemsAfter is the part of a state that is newer than a sequence, or all of it where that sequence is too old to
// know what was deleted since (Complete is then set). committed is the state's own sequence.
func ItemsAfter(state config.State, committed, after uint64) *schema.FollowReply {
	reply := &schema.FollowReply{Committed: committed}
	reply.Items, reply.Complete = state.ChangesAfter(after)
	return reply
}

// Look answers with the replica's status. It returns no error.
func (s *Server) Look(context.Context, *schema.Empty) (*schema.ReplicaStatus, error) {
	return s.status(), nil
}
