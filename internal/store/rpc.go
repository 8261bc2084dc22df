package store

import (
	"context"
	"fmt"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// Propose takes a change from the registry of this machine and answers once it is settled.
func (s *Server) Propose(ctx context.Context, proposal *schema.Proposal) (*schema.ProposalReply, error) {
	result, _ := s.awaitResult(ctx, func(now time.Duration, ticket string) []Action {
		return s.replica.Propose(now, &schema.Proposal{Ticket: ticket, Change: proposal.Change, ControllerTerm: proposal.ControllerTerm})
	}).(*schema.ProposalReply)
	if result == nil {
		result = &schema.ProposalReply{Undecided: true}
	}
	return result, nil
}

// ReadIndex answers with a committed sequence that no yes given before lies above.
func (s *Server) ReadIndex(ctx context.Context, _ *schema.Empty) (*schema.ReadIndexReply, error) {
	result, _ := s.awaitResult(ctx, func(now time.Duration, ticket string) []Action {
		return s.replica.ReadIndex(now, ticket)
	}).(*schema.ReadIndexReply)
	if result == nil {
		result = &schema.ReadIndexReply{Undecided: true}
	}
	return result, nil
}

// awaitResult runs an event under a new ticket and waits for its end.
func (s *Server) awaitResult(ctx context.Context, event func(now time.Duration, ticket string) []Action) any {
	s.lock.Lock()
	if len(s.tickets) >= int(s.initialOptions.Buffer) {
		s.lock.Unlock()
		return nil
	}
	s.lastTicketID++
	ticket := fmt.Sprintf("%s-%x-%d", s.initialOptions.Seat, s.processIncarnation, s.lastTicketID)
	results := make(chan any, 1)
	s.tickets[ticket] = results
	s.lock.Unlock()
	s.step(func(now time.Duration) []Action { return event(now, ticket) })
	select {
	case result := <-results:
		return result
	case <-ctx.Done():
		s.lock.Lock()
		delete(s.tickets, ticket)
		s.lock.Unlock()
		return nil
	}
}

func (s *Server) completeTicket(ticket string, result any) {
	if results, found := s.tickets[ticket]; found {
		delete(s.tickets, ticket)
		results <- result
	}
}

// Inquire tells what became of a change.
func (s *Server) Inquire(_ context.Context, request *schema.ChangeQuery) (*schema.ProposalReply, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	outcome, committed := s.replica.CommittedOutcome(request.ChangeId)
	return &schema.ProposalReply{Outcome: outcome, Undecided: !committed}, nil
}

// Follow waits for committed state beyond a sequence and gives what is new.
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

// withFreshness adds how fresh the committed state is, and who the members are.
func (s *Server) withFreshness(reply *schema.FollowReply) *schema.FollowReply {
	s.lock.Lock()
	defer s.lock.Unlock()
	age, known := s.replica.CommittedAge(time.Since(s.started))
	reply.StalenessNanos, reply.StalenessKnown, reply.Members = int64(age), known, s.replica.Members()
	return reply
}

// ItemsAfter lists the items of a state newer than a sequence, or all when it is 0.
func ItemsAfter(state config.State, committed, after uint64) *schema.FollowReply {
	reply := &schema.FollowReply{Committed: committed}
	reply.Items, reply.Complete = state.ChangesAfter(after)
	return reply
}

// Look gives the replica's status.
func (s *Server) Look(context.Context, *schema.Empty) (*schema.ReplicaStatus, error) {
	return s.status(), nil
}
