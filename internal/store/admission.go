package store

import (
	"maps"
	"slices"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// Propose takes a change from this machine's registry.
func (s *Replica) Propose(now time.Duration, proposal *schema.Proposal) []Action {
	s.beginStep(now)
	if outcome, committed := s.CommittedOutcome(proposal.Change.Id); committed {
		s.actions = append(s.actions, Reply{&schema.ProposalReply{Ticket: proposal.Ticket, Outcome: outcome}})
		return s.actions
	}
	leader := s.leader()
	switch leader {
	case s.config.Name:
		s.propose(proposal, requester{ticket: proposal.Ticket})
	case "":
		s.actions = append(s.actions, Reply{&schema.ProposalReply{Ticket: proposal.Ticket, Undecided: true}})
	default:
		s.forwardedRequests[proposal.Ticket] = forwardedRequest{leader: leader, sentAt: now}
		s.send(leader, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Proposal{Proposal: proposal}})
	}
	return s.actions
}

// ReadIndex asks for the committed sequence that no later yes can lie below.
func (s *Replica) ReadIndex(now time.Duration, ticket string) []Action {
	s.beginStep(now)
	leader := s.leader()
	switch leader {
	case s.config.Name:
		s.readIndex(requester{ticket: ticket})
	case "":
		s.actions = append(s.actions, ReadIndexReady{&schema.ReadIndexReply{Ticket: ticket, Undecided: true}})
	default:
		s.forwardedRequests[ticket] = forwardedRequest{leader: leader, sentAt: now, isRead: true}
		s.send(leader, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ReadIndex{ReadIndex: &schema.ReadIndex{Ticket: ticket}}})
	}
	return s.actions
}

func (s *Replica) answerProposal(to requester, reply *schema.ProposalReply) {
	if to.replica == "" {
		s.actions = append(s.actions, Reply{reply})
		return
	}
	s.send(to.replica, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ProposalReply{ProposalReply: reply}})
}

func (s *Replica) answerRead(to requester, reply *schema.ReadIndexReply) {
	if to.replica == "" {
		s.actions = append(s.actions, ReadIndexReady{reply})
		return
	}
	s.send(to.replica, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ReadIndexReply{ReadIndexReply: reply}})
}

// propose admits a change, as the leader.
func (s *Replica) propose(proposal *schema.Proposal, from requester) {
	uncommitted := int(s.sequence - s.committedSequence)
	// Refused before it is admitted, so nothing of it can come into force later.
	if s.role != roleLeader || s.unfit() || uncommitted >= s.config.MaxUncommittedEntries {
		s.answerProposal(from, &schema.ProposalReply{Ticket: proposal.Ticket, Undecided: true})
		return
	}
	if outcome, committed := s.CommittedOutcome(proposal.Change.Id); committed {
		s.answerProposal(from, &schema.ProposalReply{Ticket: proposal.Ticket, Outcome: outcome})
		return
	}
	s.pendingProposals[proposal.Change.Id] = append(s.pendingProposals[proposal.Change.Id], from)
	if _, appended := s.outcomes[proposal.Change.Id]; appended {
		return
	}
	s.admit(proposal.Change)
}

// admit gives a change the next sequence and hands it to the others.
func (s *Replica) admit(change *schema.Change) {
	var entry *schema.Entry
	entry, s.compiledConfig = Decide(s.state, s.compiledConfig, change, &schema.Version{Term: s.term, Sequence: s.sequence + 1})
	s.appendAsLeader(entry)
}

// purgeDivisor is the part of the entries kept in which the leader looks for tombstones once, and
// the number of them, of the same bound, that it lets stand.
const purgeDivisor = 4

// purgeTombstones lets tombstones go that every replica has on disk. Whoever is further behind is told the
// whole state, so nothing that was removed comes back. Those that bear an operator's version go
// only once there are too many: without them an older order would be taken for a new one.
func (s *Replica) purgeTombstones() {
	threshold := uint64(max(1, s.config.MaxEntries/purgeDivisor))
	if s.role != roleLeader || s.committedSequence < s.nextPurgeSequence {
		return
	}
	s.nextPurgeSequence = s.committedSequence + threshold
	purgeTo := s.committedSequence
	for _, name := range s.otherMembers {
		peer := s.peers[name]
		if peer.term != s.term {
			return
		}
		purgeTo = min(purgeTo, peer.acked)
	}
	count, dropped := s.committedState.Tombstones()
	operatorVersion := s.committedState.OperatorVersionedPurgedUpTo()
	if len(dropped) > s.config.MaxOperatorTombstones {
		// The oldest go, a part of the bound more than they must, so that it is not done each time.
		operatorVersion = max(operatorVersion, dropped[min(len(dropped)-s.config.MaxOperatorTombstones+s.config.MaxOperatorTombstones/purgeDivisor, len(dropped))-1])
	}
	operatorVersion = min(operatorVersion, purgeTo)
	if (uint64(count) < threshold || purgeTo <= s.committedState.PurgedUpTo()) && operatorVersion <= s.committedState.OperatorVersionedPurgedUpTo() {
		return
	}
	item := config.NewPurgeItem(purgeTo, operatorVersion)
	change := &schema.Change{Id: "purge-" + versionText(&schema.Version{Term: s.term, Sequence: s.sequence + 1}), Items: []*schema.Item{item}}
	if existing := s.state[config.Key(item.Kind, item.Name)]; existing != nil {
		change.Expected = []*schema.ExpectedVersion{{Kind: item.Kind, Name: item.Name, Sequence: existing.Version.Sequence}}
	}
	s.admit(change)
}

func (s *Replica) answerCommittedProposals() {
	for _, id := range slices.Sorted(maps.Keys(s.pendingProposals)) {
		requesters := s.pendingProposals[id]
		outcome, committed := s.CommittedOutcome(id)
		if !committed {
			continue
		}
		for _, request := range requesters {
			s.answerProposal(request, &schema.ProposalReply{Ticket: request.ticket, Outcome: outcome})
		}
		delete(s.pendingProposals, id)
	}
}

func (s *Replica) readIndex(from requester) {
	if s.role != roleLeader {
		s.answerRead(from, &schema.ReadIndexReply{Ticket: from.ticket, Undecided: true})
		return
	}
	if s.hasFault(faultLocalRead) {
		s.answerRead(from, &schema.ReadIndexReply{Ticket: from.ticket, Committed: s.committedSequence})
		return
	}
	s.readIndexRound++
	s.pendingReads = append(s.pendingReads, pendingRead{from, s.readIndexRound})
	s.sendConfirm()
	// A replica without others is a majority by itself, and no confirmation will come.
	s.resolveReads()
}

func (s *Replica) sendConfirm() {
	for _, name := range s.otherMembers {
		s.send(name, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ConfirmLeadership{ConfirmLeadership: &schema.ConfirmLeadership{Term: s.term, Round: s.readIndexRound}}})
	}
}

func (s *Replica) resolveReads() {
	var remaining []pendingRead
	for _, read := range s.pendingReads {
		confirmed := 1
		for _, name := range s.otherMembers {
			peer := s.peers[name]
			if peer.confirmedRound >= read.round {
				confirmed++
			}
		}
		if confirmed >= s.majority() {
			s.answerRead(read.requester, &schema.ReadIndexReply{Ticket: read.ticket, Committed: s.committedSequence, Empty: len(s.committedState) == 0})
		} else {
			remaining = append(remaining, read)
		}
	}
	s.pendingReads = remaining
}

// maxReportedFaults bounds the reasons that are kept with a refusal: an operator mends them in turn.
const maxReportedFaults = 32

// Decide decides a change against a state: taken whole, or refused whole with every reason.
// It compiles after an earlier setup, nil for none, and gives the one that it made of a change it took.
func Decide(state config.State, previous *config.Snapshot, change *schema.Change, version *schema.Version) (*schema.Entry, *config.Snapshot) {
	entry := &schema.Entry{Version: version, ChangeId: change.Id, Outcome: &schema.ChangeOutcome{ChangeId: change.Id, Version: version}}
	written := change.Items
	if change.ByOperatorVersion {
		var conflicts []*schema.ExpectedVersion
		written, conflicts = byOperatorVersion(state, change.Items)
		// What can never be right is refused also where a newer version stands in its place.
		if len(written) < len(change.Items) {
			if faults := config.Check(change.Items); len(faults) > 0 {
				entry.Outcome.Ruling, entry.Outcome.Faults = schema.Ruling_RULING_INVALID, faults[:min(len(faults), maxReportedFaults)]
				return entry, previous
			}
		}
		if len(conflicts) > 0 {
			entry.Outcome.Ruling, entry.Outcome.Current = schema.Ruling_RULING_CONFLICT, conflicts[:min(len(conflicts), maxReportedFaults)]
			return entry, previous
		}
	} else if entry.Outcome.Current = conflictingItems(state, change); len(entry.Outcome.Current) > 0 {
		entry.Outcome.Ruling = schema.Ruling_RULING_CONFLICT
		return entry, previous
	}
	// A release duty that has passed on may not write what its successor has written under a later epoch.
	for _, item := range written {
		if existing := state[config.Key(item.Kind, item.Name)]; item.Kind == "progress" && !item.Deleted && existing != nil && !existing.Deleted && config.ControllerTermOf(item) < config.ControllerTermOf(existing) {
			entry.Outcome.Ruling = schema.Ruling_RULING_STALE
			return entry, previous
		}
	}
	var items []*schema.Item
	for _, item := range written {
		// Whoever writes an item without a version of an operator's leaves the one that it had: it
		// must not go down, or an older order could take the item back.
		operatorVersion := max(item.OperatorVersion, state[config.Key(item.Kind, item.Name)].GetOperatorVersion())
		items = append(items, &schema.Item{Kind: item.Kind, Name: item.Name, Body: item.Body, Deleted: item.Deleted, Version: version, ChangeId: change.Id, OperatorVersion: operatorVersion, OperatorBody: item.OperatorBody})
	}
	// What brings nothing new leaves the state as it was, which was valid.
	if len(items) == 0 {
		entry.Outcome.Ruling = schema.Ruling_RULING_ACCEPTED
		return entry, previous
	}
	compiled, faults := config.CompileIncremental(previous, state.With(items), version.Sequence)
	if len(faults) > 0 {
		entry.Outcome.Ruling, entry.Outcome.Faults = schema.Ruling_RULING_INVALID, faults[:min(len(faults), maxReportedFaults)]
		return entry, previous
	}
	entry.Items, entry.Outcome.Ruling = items, schema.Ruling_RULING_ACCEPTED
	return entry, compiled
}

// conflictingItems lists the items of a change that do not stand as the writer expected.
func conflictingItems(state config.State, change *schema.Change) (current []*schema.ExpectedVersion) {
	expected := map[string]uint64{}
	for _, expectation := range change.Expected {
		expected[config.Key(expectation.Kind, expectation.Name)] = expectation.Sequence
	}
	for _, item := range change.Items {
		key := config.Key(item.Kind, item.Name)
		sequence := uint64(0)
		if existing := state[key]; existing != nil && !existing.Deleted {
			sequence = existing.Version.Sequence
		}
		if expected[key] != sequence {
			current = append(current, &schema.ExpectedVersion{Kind: item.Kind, Name: item.Name, Sequence: sequence})
		}
	}
	return current
}
