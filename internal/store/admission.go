package store

import (
	"maps"
	"slices"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// Propose takes a change from this machine's registry.
func (r *Replica) Propose(now time.Duration, proposal *schema.Proposal) []Action {
	r.beginStep(now)
	if outcome, committed := r.CommittedOutcome(proposal.Change.Id); committed {
		r.actions = append(r.actions, Reply{&schema.ProposalReply{Ticket: proposal.Ticket, Outcome: outcome}})
		return r.actions
	}
	leader := r.leader()
	switch leader {
	case r.config.Name:
		r.propose(proposal, requester{ticket: proposal.Ticket})
	case "":
		r.actions = append(r.actions, Reply{&schema.ProposalReply{Ticket: proposal.Ticket, Undecided: true}})
	default:
		r.forwardedRequests[proposal.Ticket] = forwardedRequest{leader: leader, sentAt: now}
		r.send(leader, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Proposal{Proposal: proposal}})
	}
	return r.actions
}

// ReadIndex asks for the committed sequence that no later yes can lie below.
func (r *Replica) ReadIndex(now time.Duration, ticket string) []Action {
	r.beginStep(now)
	leader := r.leader()
	switch leader {
	case r.config.Name:
		r.readIndex(requester{ticket: ticket})
	case "":
		r.actions = append(r.actions, ReadIndexReady{&schema.ReadIndexReply{Ticket: ticket, Undecided: true}})
	default:
		r.forwardedRequests[ticket] = forwardedRequest{leader: leader, sentAt: now, isRead: true}
		r.send(leader, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ReadIndex{ReadIndex: &schema.ReadIndex{Ticket: ticket}}})
	}
	return r.actions
}

func (r *Replica) answerProposal(to requester, reply *schema.ProposalReply) {
	if to.replica == "" {
		r.actions = append(r.actions, Reply{reply})
		return
	}
	r.send(to.replica, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ProposalReply{ProposalReply: reply}})
}

func (r *Replica) answerRead(to requester, reply *schema.ReadIndexReply) {
	if to.replica == "" {
		r.actions = append(r.actions, ReadIndexReady{reply})
		return
	}
	r.send(to.replica, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ReadIndexReply{ReadIndexReply: reply}})
}

// propose admits a change, as the leader.
func (r *Replica) propose(proposal *schema.Proposal, from requester) {
	uncommitted := int(r.sequence - r.committedSequence)
	// Refused before it is admitted, so nothing of it can come into force later.
	if r.role != roleLeader || r.unfit() || uncommitted >= r.config.MaxUncommittedEntries {
		r.answerProposal(from, &schema.ProposalReply{Ticket: proposal.Ticket, Undecided: true})
		return
	}
	if outcome, committed := r.CommittedOutcome(proposal.Change.Id); committed {
		r.answerProposal(from, &schema.ProposalReply{Ticket: proposal.Ticket, Outcome: outcome})
		return
	}
	r.pendingProposals[proposal.Change.Id] = append(r.pendingProposals[proposal.Change.Id], from)
	if _, appended := r.outcomes[proposal.Change.Id]; appended {
		return
	}
	r.admit(proposal.Change)
}

// admit gives a change the next sequence and hands it to the others.
func (r *Replica) admit(change *schema.Change) {
	var entry *schema.Entry
	entry, r.compiledConfig = Decide(r.state, r.compiledConfig, change, &schema.Version{Term: r.term, Sequence: r.sequence + 1})
	r.appendAsLeader(entry)
}

// purgeDivisor is the part of the entries kept in which the leader looks for tombstones once, and
// the number of them, of the same bound, that it lets stand.
const purgeDivisor = 4

// purgeTombstones lets tombstones go that every replica has on disk. Whoever is further behind is told the
// whole state, so nothing that was removed comes back. Those that bear an operator's version go
// only once there are too many: without them an older order would be taken for a new one.
func (r *Replica) purgeTombstones() {
	threshold := uint64(max(1, r.config.MaxEntries/purgeDivisor))
	if r.role != roleLeader || r.committedSequence < r.nextPurgeSequence {
		return
	}
	r.nextPurgeSequence = r.committedSequence + threshold
	purgeTo := r.committedSequence
	for _, name := range r.otherMembers {
		peer := r.peers[name]
		if peer.term != r.term {
			return
		}
		purgeTo = min(purgeTo, peer.acked)
	}
	count, dropped := r.committedState.Tombstones()
	operatorVersion := r.committedState.OperatorVersionedPurgedUpTo()
	if len(dropped) > r.config.MaxOperatorTombstones {
		// The oldest go, a part of the bound more than they must, so that it is not done each time.
		operatorVersion = max(operatorVersion, dropped[min(len(dropped)-r.config.MaxOperatorTombstones+r.config.MaxOperatorTombstones/purgeDivisor, len(dropped))-1])
	}
	operatorVersion = min(operatorVersion, purgeTo)
	if (uint64(count) < threshold || purgeTo <= r.committedState.PurgedUpTo()) && operatorVersion <= r.committedState.OperatorVersionedPurgedUpTo() {
		return
	}
	item := config.NewPurgeItem(purgeTo, operatorVersion)
	change := &schema.Change{Id: "purge-" + versionText(&schema.Version{Term: r.term, Sequence: r.sequence + 1}), Items: []*schema.Item{item}}
	if existing := r.state[config.Key(item.Kind, item.Name)]; existing != nil {
		change.Expected = []*schema.ExpectedVersion{{Kind: item.Kind, Name: item.Name, Sequence: existing.Version.Sequence}}
	}
	r.admit(change)
}

func (r *Replica) answerCommittedProposals() {
	for _, id := range slices.Sorted(maps.Keys(r.pendingProposals)) {
		requesters := r.pendingProposals[id]
		outcome, committed := r.CommittedOutcome(id)
		if !committed {
			continue
		}
		for _, request := range requesters {
			r.answerProposal(request, &schema.ProposalReply{Ticket: request.ticket, Outcome: outcome})
		}
		delete(r.pendingProposals, id)
	}
}

func (r *Replica) readIndex(from requester) {
	if r.role != roleLeader {
		r.answerRead(from, &schema.ReadIndexReply{Ticket: from.ticket, Undecided: true})
		return
	}
	if r.hasFault(faultLocalRead) {
		r.answerRead(from, &schema.ReadIndexReply{Ticket: from.ticket, Committed: r.committedSequence})
		return
	}
	r.readIndexRound++
	r.pendingReads = append(r.pendingReads, pendingRead{from, r.readIndexRound})
	r.sendConfirm()
	// A replica without others is a majority by itself, and no confirmation will come.
	r.resolveReads()
}

func (r *Replica) sendConfirm() {
	for _, name := range r.otherMembers {
		r.send(name, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ConfirmLeadership{ConfirmLeadership: &schema.ConfirmLeadership{Term: r.term, Round: r.readIndexRound}}})
	}
}

func (r *Replica) resolveReads() {
	var remaining []pendingRead
	for _, read := range r.pendingReads {
		confirmed := 1
		for _, name := range r.otherMembers {
			peer := r.peers[name]
			if peer.confirmedRound >= read.round {
				confirmed++
			}
		}
		if confirmed >= r.majority() {
			r.answerRead(read.requester, &schema.ReadIndexReply{Ticket: read.ticket, Committed: r.committedSequence, Empty: len(r.committedState) == 0})
		} else {
			remaining = append(remaining, read)
		}
	}
	r.pendingReads = remaining
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
