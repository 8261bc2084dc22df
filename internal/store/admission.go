package store

import (
	"maps"
	"slices"
	"time"

	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// Propose takes a change from this machine's registry.
func (s *Replica) Propose(now time.Duration, submit *schema.Proposal) []Action {
	s.begin(now)
	if outcome, settled := s.OutcomeOf(submit.Change.Id); settled {
		s.actions = append(s.actions, Reply{&schema.ProposalReply{Ticket: submit.Ticket, Outcome: outcome}})
		return s.actions
	}
	leader := s.leader()
	switch leader {
	case s.options.Name:
		s.propose(submit, waiter{ticket: submit.Ticket})
	case "":
		s.actions = append(s.actions, Reply{&schema.ProposalReply{Ticket: submit.Ticket, Undecided: true}})
	default:
		s.forwarded[submit.Ticket] = forwarded{leader: leader, at: now}
		s.send(leader, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Proposal{Proposal: submit}})
	}
	return s.actions
}

// ReadIndex asks for the committed sequence that no later yes can lie below.
func (s *Replica) ReadIndex(now time.Duration, ticket string) []Action {
	s.begin(now)
	leader := s.leader()
	switch leader {
	case s.options.Name:
		s.readIndex(waiter{ticket: ticket})
	case "":
		s.actions = append(s.actions, ReadIndexReady{&schema.ReadIndexReply{Ticket: ticket, Undecided: true}})
	default:
		s.forwarded[ticket] = forwarded{leader: leader, at: now, pendingRead: true}
		s.send(leader, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ReadIndex{ReadIndex: &schema.ReadIndex{Ticket: ticket}}})
	}
	return s.actions
}

func (s *Replica) answer(to waiter, submitted *schema.ProposalReply) {
	if to.to == "" {
		s.actions = append(s.actions, Reply{submitted})
		return
	}
	s.send(to.to, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ProposalReply{ProposalReply: submitted}})
}

func (s *Replica) answerBarrier(to waiter, back *schema.ReadIndexReply) {
	if to.to == "" {
		s.actions = append(s.actions, ReadIndexReady{back})
		return
	}
	s.send(to.to, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ReadIndexReply{ReadIndexReply: back}})
}

// propose admits a change, as the leader.
func (s *Replica) propose(submit *schema.Proposal, from waiter) {
	unsettled := int(s.seq - s.committed)
	// Refused before it is admitted, so nothing of it can come into force later.
	if s.phase != active || s.unfit() || unsettled >= s.options.BufferMost {
		s.answer(from, &schema.ProposalReply{Ticket: submit.Ticket, Undecided: true})
		return
	}
	if outcome, settled := s.OutcomeOf(submit.Change.Id); settled {
		s.answer(from, &schema.ProposalReply{Ticket: submit.Ticket, Outcome: outcome})
		return
	}
	s.waiters[submit.Change.Id] = append(s.waiters[submit.Change.Id], from)
	if _, accepted := s.outcomes[submit.Change.Id]; accepted {
		return
	}
	s.admit(submit.Change)
}

// admit gives a change the next sequence and hands it to the others.
func (s *Replica) admit(change *schema.Change) {
	var entry *schema.Entry
	entry, s.compiled = Accept(s.state, s.compiled, change, &schema.Version{Epoch: s.epoch, Sequence: s.seq + 1})
	s.appendOwn(entry)
}

// purgeParts is the part of the entries kept in which the leader looks for tombstones once, and
// the number of them, of the same bound, that it lets stand.
const purgeParts = 4

// purge lets tombstones go that every replica has on disk. Whoever is further behind is told the
// whole state, so nothing that was removed comes back. Those that bear an operator's version go
// only once there are too many: without them an older order would be taken for a new one.
func (s *Replica) purge() {
	few := uint64(max(1, s.options.EntriesMost/purgeParts))
	if s.phase != active || s.committed < s.purgeAt {
		return
	}
	s.purgeAt = s.committed + few
	to := s.committed
	for _, name := range s.otherMembers {
		known := s.peers[name]
		if known.epoch != s.epoch {
			return
		}
		to = min(to, known.acked)
	}
	count, dropped := s.committedState.Tombstones()
	given := s.committedState.PurgedGiven()
	if len(dropped) > s.options.DroppedMost {
		// The oldest go, a part of the bound more than they must, so that it is not done each time.
		given = max(given, dropped[min(len(dropped)-s.options.DroppedMost+s.options.DroppedMost/purgeParts, len(dropped))-1])
	}
	given = min(given, to)
	if (uint64(count) < few || to <= s.committedState.PurgedTo()) && given <= s.committedState.PurgedGiven() {
		return
	}
	item := setup.Purge(to, given)
	change := &schema.Change{Id: "purge-" + sequenceText(&schema.Version{Epoch: s.epoch, Sequence: s.seq + 1}), Items: []*schema.Item{item}}
	if held := s.state[setup.Key(item.Kind, item.Name)]; held != nil {
		change.Expected = []*schema.Expected{{Kind: item.Kind, Name: item.Name, Sequence: held.Version.Sequence}}
	}
	s.admit(change)
}

func (s *Replica) answerWaiters() {
	for _, id := range slices.Sorted(maps.Keys(s.waiters)) {
		waiting := s.waiters[id]
		outcome, settled := s.OutcomeOf(id)
		if !settled {
			continue
		}
		for _, one := range waiting {
			s.answer(one, &schema.ProposalReply{Ticket: one.ticket, Outcome: outcome})
		}
		delete(s.waiters, id)
	}
}

func (s *Replica) readIndex(from waiter) {
	if s.phase != active {
		s.answerBarrier(from, &schema.ReadIndexReply{Ticket: from.ticket, Undecided: true})
		return
	}
	if s.has(plantReadAlone) {
		s.answerBarrier(from, &schema.ReadIndexReply{Ticket: from.ticket, Committed: s.committed})
		return
	}
	s.round++
	s.pendingReads = append(s.pendingReads, pendingRead{from, s.round})
	s.sendConfirm()
	// A replica without others is a majority by itself, and no confirmation will come.
	s.settleReads()
}

func (s *Replica) sendConfirm() {
	for _, name := range s.otherMembers {
		s.send(name, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Confirm{Confirm: &schema.Confirm{Epoch: s.epoch, Round: s.round}}})
	}
}

func (s *Replica) settleReads() {
	var left []pendingRead
	for _, one := range s.pendingReads {
		confirmed := 1
		for _, name := range s.otherMembers {
			known := s.peers[name]
			if known.confirmed >= one.round {
				confirmed++
			}
		}
		if confirmed >= s.majority() {
			s.answerBarrier(one.waiter, &schema.ReadIndexReply{Ticket: one.ticket, Committed: s.committed, Unused: len(s.committedState) == 0})
		} else {
			left = append(left, one)
		}
	}
	s.pendingReads = left
}

// faultsMost bounds the reasons that are kept with a refusal: an operator mends them in turn.
const faultsMost = 32

// Accept decides a change against a state: taken whole, or refused whole with every reason.
// It compiles after an earlier setup, nil for none, and gives the one that it made of a change it took.
func Accept(state setup.State, before *setup.Setup, change *schema.Change, version *schema.Version) (*schema.Entry, *setup.Setup) {
	entry := &schema.Entry{Version: version, ChangeId: change.Id, Outcome: &schema.Outcome{ChangeId: change.Id, Version: version}}
	written := change.Items
	if change.ByGiven {
		var clashes []*schema.Expected
		written, clashes = byGiven(state, change.Items)
		// What can never be right is refused also where a newer version stands in its place.
		if len(written) < len(change.Items) {
			if faults := setup.Check(change.Items); len(faults) > 0 {
				entry.Outcome.Ruling, entry.Outcome.Faults = schema.Ruling_RULING_INVALID, faults[:min(len(faults), faultsMost)]
				return entry, before
			}
		}
		if len(clashes) > 0 {
			entry.Outcome.Ruling, entry.Outcome.Current = schema.Ruling_RULING_CONFLICT, clashes[:min(len(clashes), faultsMost)]
			return entry, before
		}
	} else if entry.Outcome.Current = unexpected(state, change); len(entry.Outcome.Current) > 0 {
		entry.Outcome.Ruling = schema.Ruling_RULING_CONFLICT
		return entry, before
	}
	// A release duty that has passed on may not write what its successor has written under a later epoch.
	for _, item := range written {
		if held := state[setup.Key(item.Kind, item.Name)]; item.Kind == "progress" && !item.Deleted && held != nil && !held.Deleted && setup.DutyOf(item) < setup.DutyOf(held) {
			entry.Outcome.Ruling = schema.Ruling_RULING_STALE
			return entry, before
		}
	}
	var items []*schema.Item
	for _, item := range written {
		// Whoever writes an item without a version of an operator's leaves the one that it had: it
		// must not go down, or an older order could take the item back.
		given := max(item.Given, state[setup.Key(item.Kind, item.Name)].GetGiven())
		items = append(items, &schema.Item{Kind: item.Kind, Name: item.Name, Body: item.Body, Deleted: item.Deleted, Version: version, Change: change.Id, Given: given, Said: item.Said})
	}
	// What brings nothing new leaves the state as it was, which was valid.
	if len(items) == 0 {
		entry.Outcome.Ruling = schema.Ruling_RULING_ACCEPTED
		return entry, before
	}
	compiled, faults := setup.CompileAfter(before, state.With(items), version.Sequence)
	if len(faults) > 0 {
		entry.Outcome.Ruling, entry.Outcome.Faults = schema.Ruling_RULING_INVALID, faults[:min(len(faults), faultsMost)]
		return entry, before
	}
	entry.Items, entry.Outcome.Ruling = items, schema.Ruling_RULING_ACCEPTED
	return entry, compiled
}

// unexpected lists the items of a change that do not stand as the writer expected.
func unexpected(state setup.State, change *schema.Change) (current []*schema.Expected) {
	expected := map[string]uint64{}
	for _, one := range change.Expected {
		expected[setup.Key(one.Kind, one.Name)] = one.Sequence
	}
	for _, item := range change.Items {
		key := setup.Key(item.Kind, item.Name)
		sequence := uint64(0)
		if held := state[key]; held != nil && !held.Deleted {
			sequence = held.Version.Sequence
		}
		if expected[key] != sequence {
			current = append(current, &schema.Expected{Kind: item.Kind, Name: item.Name, Sequence: sequence})
		}
	}
	return current
}
