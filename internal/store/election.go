package store

import (
	"maps"
	"slices"

	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// Who leads: the first member, in their order, that reaches a majority; and how it gets the votes of
// one, the newest state among them, and an epoch of its own.

// unfit tells that this replica must not hold leadership, nor be counted upon for now.
func (s *Replica) unfit() bool {
	stalled := len(s.pending) > 0 && s.now-s.pending[0].at > s.options.Stall
	return !s.member() || stalled || s.refused
}

// newerMembers are replicas that know a newer membership than this one has.
func (s *Replica) newerMembers() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(s.outsiders)) {
		if one := s.outsiders[name]; !one.learns && s.hears(one) {
			names = append(names, name)
		}
	}
	return names
}

// mutual lists the members that are heard here, hear this one and are fit.
func (s *Replica) mutual() []string {
	var names []string
	for _, name := range s.otherMembers {
		if s.linked(s.peers[name]) {
			names = append(names, name)
		}
	}
	for _, name := range s.newerMembers() {
		if s.linked(s.outsiders[name]) {
			names = append(names, name)
		}
	}
	return names
}

func (s *Replica) linked(known *peer) bool {
	return s.hears(known) && known.heartbeat != nil && !known.heartbeat.Unfit && slices.Contains(known.heartbeat.Heard, s.options.Name)
}

// reachesMajority tells whether a replica has links in both directions to a majority, itself included.
// One-way links do not count, so a replica that can only speak or only listen gets no leadership.
func (s *Replica) reachesMajority(name string) bool {
	linked := map[string]bool{}
	mine := s.mutual()
	switch {
	case name == s.options.Name && s.unfit():
		return false
	case name == s.options.Name:
		for _, other := range mine {
			linked[other] = true
		}
	default:
		linked[s.options.Name] = slices.Contains(mine, name)
		for _, other := range s.otherMembers {
			known := s.peers[other]
			if !s.hears(known) || known.heartbeat == nil {
				continue
			}
			if other == name {
				if known.heartbeat.Unfit || known.heartbeat.Behind {
					return false
				}
				for _, end := range known.heartbeat.Mutual {
					linked[end] = true
				}
			} else if slices.Contains(known.heartbeat.Mutual, name) {
				linked[other] = true
			}
		}
	}
	links := 0
	for _, replica := range s.membership.Members {
		if replica.Seat != name && linked[replica.Seat] {
			links++
		}
	}
	return links+1 >= s.majority()
}

// preferredLeader names the replica that should lead: the first in the order that reaches a majority.
func (s *Replica) preferredLeader() string {
	for _, replica := range s.membership.Members {
		if s.reachesMajority(replica.Seat) {
			return replica.Seat
		}
	}
	return ""
}

// leader names the replica that does hold it, as far as is known here.
func (s *Replica) leader() string {
	name, epoch := "", uint64(0)
	if s.phase == active {
		name, epoch = s.options.Name, s.epoch
	}
	look := func(other string, known *peer) {
		if s.hears(known) && known.heartbeat != nil && known.heartbeat.Leader == other && known.heartbeat.Epoch > epoch {
			name, epoch = other, known.heartbeat.Epoch
		}
	}
	for _, other := range s.otherMembers {
		look(other, s.peers[other])
	}
	for _, other := range s.newerMembers() {
		look(other, s.outsiders[other])
	}
	return name
}

// awaitsFounders tells whether, at the first start of all, founders may yet come: those that are
// there as the first epoch begins need no change of the members of their own.
func (s *Replica) awaitsFounders() bool {
	if s.highest > 0 || s.now-s.bornAt > s.options.Silence {
		return false
	}
	for _, name := range s.otherMembers {
		if known := s.peers[name]; !known.heard || !known.founder {
			return true
		}
	}
	return false
}

// caughtUp tells whether this replica has what another leader has committed, so that it takes over
// without a gap.
func (s *Replica) caughtUp() bool {
	name := s.leader()
	known := s.peers[name]
	return known == nil || known.heartbeat.Epoch == s.epoch && s.seq >= known.heartbeat.Committed
}

// durableVote is the highest epoch for which a vote is on disk.
func (s *Replica) durableVote() uint64 {
	for _, waiting := range s.pending {
		if waiting.promise != 0 {
			return waiting.promise - 1
		}
	}
	return s.votedEpoch
}

func (s *Replica) stepDown() {
	s.phase, s.phaseAt = idle, s.now
	for _, id := range slices.Sorted(maps.Keys(s.waiters)) {
		waiting := s.waiters[id]
		for _, one := range waiting {
			s.answer(one, &schema.ProposalReply{Ticket: one.ticket, Undecided: true})
		}
		delete(s.waiters, id)
	}
	for _, one := range s.pendingReads {
		s.answerBarrier(one.waiter, &schema.ReadIndexReply{Ticket: one.ticket, Undecided: true})
	}
	s.pendingReads = nil
}

// recordVote lets no epoch below count here any more, and this one only for one replica.
func (s *Replica) recordVote(epoch uint64, to string) {
	s.votedEpoch, s.votedFor, s.highest = epoch, to, max(s.highest, epoch)
}

// campaign asks a majority to vote for an epoch of this replica's own.
func (s *Replica) campaign() {
	s.stepDown()
	// Epochs are dealt out by replica, so that two members seldom ask for the same one.
	members := uint64(len(s.membership.Members))
	epoch := (max(s.highest, s.votedEpoch)/members+1)*members + uint64(max(0, placeIn(s.membership, s.options.Name)))
	s.phase, s.phaseAt = campaigning, s.now
	s.recordVote(epoch, s.options.Name)
	for _, known := range s.peers {
		known.vote, known.tells, known.epoch, known.acked, known.sent, known.confirmed = nil, false, 0, 0, 0, 0
	}
	for _, known := range s.outsiders {
		known.tells, known.epoch, known.acked, known.sent = false, 0, 0, 0
	}
	then := afterSync{promise: epoch}
	for _, name := range s.otherMembers {
		then.messages = append(then.messages, s.voteRequest(name))
	}
	s.persist(&schema.Record{VotedEpoch: epoch, VotedFor: s.options.Name}, then)
}

func (s *Replica) voteRequest(to string) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{To: to, Body: &schema.ReplicaMessage_VoteRequest{VoteRequest: &schema.VoteRequest{Epoch: s.votedEpoch, Have: s.holds(), Membership: s.membership.Taken}}}
}

func (s *Replica) requestVote(name string) { s.send(name, s.voteRequest(name)) }

// holds is what this replica has taken.
func (s *Replica) holds() *schema.Version { return &schema.Version{Epoch: s.epoch, Sequence: s.seq} }

func (s *Replica) onVoteRequest(from string, request *schema.VoteRequest) {
	if !s.member() {
		return
	}
	if request.Epoch < s.votedEpoch || request.Epoch == s.votedEpoch && s.votedFor != from {
		s.send(from, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Vote{Vote: &schema.Vote{Epoch: request.Epoch, Refused: true, Higher: s.votedEpoch}}})
		return
	}
	if request.Epoch == s.votedEpoch && s.durableVote() >= s.votedEpoch {
		s.vote(from, request)
		return
	}
	if request.Epoch > s.votedEpoch {
		s.stepDown()
	}
	s.recordVote(request.Epoch, from)
	s.persist(&schema.Record{VotedEpoch: request.Epoch, VotedFor: from}, afterSync{promise: request.Epoch, asked: request, from: from})
}

// vote tells a candidate that it has this replica's vote, and what it lacks of the state here.
func (s *Replica) vote(to string, asked *schema.VoteRequest) {
	vote := &schema.Vote{Epoch: asked.Epoch, Have: s.holds()}
	switch {
	case !setup.Newer(vote.Have, asked.Have):
	case asked.Have.GetEpoch() == s.epoch && asked.Have.GetSequence() >= s.baseSeq:
		vote.Entries = s.entries[asked.Have.GetSequence()-s.baseSeq:]
	default:
		vote.Snapshot = s.snapshot()
	}
	s.send(to, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Vote{Vote: vote}})
}

func (s *Replica) onVote(known *peer, vote *schema.Vote) {
	if vote.Refused {
		s.highest = max(s.highest, vote.Higher)
		return
	}
	if s.phase == campaigning && vote.Epoch == s.votedEpoch {
		known.vote, known.have, known.tells = vote, vote.Have, true
		s.countVotes()
	}
}

// countVotes counts the votes. The newest state among them is taken whole, and with it who the members
// are; with the votes of a majority of those, this replica's epoch begins upon that state.
func (s *Replica) countVotes() {
	if s.durableVote() < s.votedEpoch {
		return
	}
	for _, name := range s.otherMembers {
		if known := s.peers[name]; known != nil && known.vote != nil && setup.Newer(known.vote.Have, s.holds()) && !s.has(plantStaleLeader) {
			s.adoptVote(known.vote)
		}
	}
	if !s.member() {
		s.stepDown()
		return
	}
	votes := 1
	for _, name := range s.otherMembers {
		if s.peers[name].vote != nil {
			votes++
		}
	}
	if votes < s.majority() {
		return
	}
	s.phase, s.phaseAt, s.upon = beginning, s.now, s.holds()
	s.epoch = s.votedEpoch
	if members := s.bindFounders(); members == s.membership {
		s.persist(&schema.Record{Epoch: s.epoch}, afterSync{})
	} else {
		members.Taken = s.holds()
		snapshot := s.snapshot()
		snapshot.Membership = members
		s.restore(snapshot)
		s.upon = &schema.Version{Epoch: s.epoch, Sequence: s.seq}
		s.persist(&schema.Record{Snapshot: s.snapshot()}, afterSync{})
	}
	for _, name := range s.otherMembers {
		s.replicate(name, s.peers[name])
	}
}

// bindFounders is the members with every founder that is known bound to its folder; those that were
// counted must be.
func (s *Replica) bindFounders() *schema.Membership {
	members := s.membership
	for _, replica := range s.membership.Members {
		incarnation := s.incarnation
		if replica.Seat != s.options.Name {
			known := s.peers[replica.Seat]
			if known.incarnation == 0 || !known.founder {
				continue
			}
			incarnation = known.incarnation
		}
		if replica.Incarnation == 0 {
			members = with(members, &schema.Core{Seat: replica.Seat, Address: s.placeOf(replica.Seat), Incarnation: incarnation})
		}
	}
	return members
}

// adoptVote takes from a vote what this replica lacks.
func (s *Replica) adoptVote(vote *schema.Vote) {
	if vote.Snapshot != nil {
		s.restore(vote.Snapshot)
		s.persist(&schema.Record{Snapshot: s.snapshot()}, afterSync{})
		return
	}
	if taken := s.appendFollowing(vote.Entries); len(taken) > 0 {
		s.persist(&schema.Record{Entries: taken}, afterSync{})
	}
}
