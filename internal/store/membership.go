package store

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// Who the members are is part of the state. They change one at a time: a replica counts the latest
// members it has taken, and the leader makes others only once those are committed under its own epoch.
// Two majorities of members that differ by one have a member in common, so nothing is decided twice.
//
// A replica is a name and the incarnation of its data folder. A folder that was lost leaves another
// replica of the same name: the old one is taken out and the new one, once it holds the state, is
// put in. So an empty folder never counts for what was on the lost one.

// Ratios to the silence bound and to the entries kept.
const (
	retireSilences = 2 // a replica unheard for so long gives its place to one that stands ready
	freshParts     = 2 // of the silence bound within which those must have been heard that are needed
	lagParts       = 8 // of the entries kept that one may lack and yet be ready
)

// foundingMembers is the first members; their incarnations are bound as they are first counted.
func foundingMembers(names []string) *schema.Membership {
	members := &schema.Membership{Wanted: uint32(len(names)), Taken: &schema.Version{}}
	for _, name := range names {
		members.Members = append(members.Members, &schema.Core{Seat: name})
	}
	return members
}

func placeIn(members *schema.Membership, name string) int {
	return slices.IndexFunc(members.GetMembers(), func(one *schema.Core) bool { return one.Seat == name })
}

// lists tells whether a folder is one of the members. A founder that is not bound yet may be only a
// folder that has been there since: one found empty later could have lost what it was counted for.
func lists(members *schema.Membership, name string, incarnation uint64, founder bool) bool {
	place := placeIn(members, name)
	if place < 0 {
		return false
	}
	bound := members.Members[place].Incarnation
	return bound == incarnation || bound == 0 && founder
}

// without and with are the members after one change.
func without(members *schema.Membership, name string) *schema.Membership {
	changed := proto.Clone(members).(*schema.Membership)
	changed.Members = slices.DeleteFunc(changed.Members, func(one *schema.Core) bool { return one.Seat == name })
	return changed
}

func with(members *schema.Membership, replica *schema.Core) *schema.Membership {
	changed := proto.Clone(members).(*schema.Membership)
	if place := placeIn(changed, replica.Seat); place >= 0 {
		changed.Members[place] = replica
	} else {
		changed.Members = append(changed.Members, replica)
	}
	return changed
}

// member tells whether this folder is one of the members.
func (s *Replica) member() bool {
	return !s.excluded() && lists(s.membership, s.options.Name, s.incarnation, s.founder)
}

func (s *Replica) majority() int { return len(s.membership.Members)/2 + 1 }

// neededOf is how many durable copies make a change committed: a majority, and one more than may be lost.
func neededOf(members *schema.Membership, losses int) int {
	return max(len(members.Members)/2+1, min(losses+1, len(members.Members)))
}

// applyMembership lets the peers be those of the members taken.
func (s *Replica) applyMembership() {
	kept := map[string]*peer{}
	s.otherMembers = nil
	for _, replica := range s.membership.Members {
		if replica.Address != "" && replica.Seat != s.options.Name {
			s.addresses[replica.Seat] = replica.Address
		}
		if replica.Seat == s.options.Name {
			continue
		}
		s.otherMembers = append(s.otherMembers, replica.Seat)
		known := s.peers[replica.Seat]
		if outsider := s.outsiders[replica.Seat]; outsider != nil && replica.Incarnation == outsider.incarnation {
			known = outsider
			delete(s.outsiders, replica.Seat)
		}
		if known == nil || replica.Incarnation != 0 && known.incarnation != replica.Incarnation {
			known = &peer{incarnation: replica.Incarnation}
		}
		kept[replica.Seat] = known
	}
	s.peers = kept
	// Whoever has a place no longer asks for one.
	if s.raise && lists(s.membership, s.options.Name, s.incarnation, s.founder) {
		s.raise = false
	}
}

// askToRead lets an empty replica of an order learn whether there is a setup already. Only if every
// other replica has none, these are the first members.
func (s *Replica) askToRead() {
	if s.readRound != 0 && s.now-s.readAt < s.options.Silence/heartbeatsPerSilence {
		return
	}
	s.readRound++
	s.readAt = s.now
	for _, name := range s.options.Order {
		if name != s.options.Name {
			s.send(name, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_StateRequest{StateRequest: &schema.StateRequest{Round: s.readRound}}})
		}
	}
	s.foundIfAllAreEmpty()
}

func (s *Replica) onStateReply(from string, incarnation uint64, back *schema.StateReply) {
	if s.joins || s.membership.Taken != nil || back.Round != s.readRound {
		return
	}
	if back.VotedEpoch > 0 || back.Snapshot.Epoch > 0 || back.Snapshot.Sequence > 0 {
		s.joins = true
		return
	}
	if s.outsiders[from] == nil {
		s.outsiders[from] = &peer{}
	}
	s.outsiders[from].incarnation, s.outsiders[from].read = incarnation, back
	s.foundIfAllAreEmpty()
}

func (s *Replica) foundIfAllAreEmpty() {
	for _, name := range s.options.Order {
		if known := s.outsiders[name]; name != s.options.Name && (known == nil || known.read == nil || known.read.Round != s.readRound) {
			return
		}
	}
	s.founder, s.phaseAt = true, 0
	s.outsiders = map[string]*peer{}
	s.restore(&schema.Snapshot{Membership: foundingMembers(s.options.Order)})
	s.persist(&schema.Record{Snapshot: s.snapshot()}, afterSync{})
}

// requestJoin asks to become a member: at the leader once it is known, else at everybody who may know it.
func (s *Replica) requestJoin() {
	if s.joinRequestedAt != 0 && s.now-s.joinRequestedAt < s.options.Silence/heartbeatsPerSilence {
		return
	}
	s.joinRequestedAt = s.now
	asked := map[string]bool{}
	if leader := s.leader(); leader != "" {
		asked[leader] = true
	} else {
		for _, name := range slices.Concat(s.options.Seeds, s.options.Order) {
			asked[name] = true
		}
		for _, members := range []*schema.Membership{s.membership, s.learnedMembers} {
			for _, replica := range members.GetMembers() {
				asked[replica.Seat] = true
			}
		}
	}
	delete(asked, s.options.Name)
	known := s.membership.Taken
	if s.learnedMembers != nil && setup.Newer(s.learnedMembers.Committed, s.holds()) {
		known = s.learnedMembers.Taken
	}
	for _, name := range slices.Sorted(maps.Keys(asked)) {
		s.send(name, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Join{Join: &schema.Join{Raise: s.raise, Known: known}}})
	}
}

// tellMembers answers whoever knows other members than the committed ones here, if those are older, or
// were taken under an older epoch and so came to nothing.
func (s *Replica) tellMembers(to string, known *schema.Version) {
	if s.committedEpoch == 0 || len(s.committedMembers.Members) == 0 || known.GetEpoch() > s.committedEpoch || proto.Equal(known, s.committedMembers.Taken) {
		return
	}
	if setup.Newer(s.committedMembers.Taken, known) || known.GetEpoch() < s.committedEpoch {
		told := proto.Clone(s.committedMembers).(*schema.Membership)
		told.Committed = &schema.Version{Epoch: s.committedEpoch, Sequence: s.committed}
		s.send(to, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Membership{Membership: told}})
	}
}

func (s *Replica) onMembership(told *schema.Membership) {
	if s.learnedMembers != nil && !setup.Newer(told.Committed, s.learnedMembers.Committed) {
		return
	}
	was := s.member()
	s.learnedMembers = told
	for _, replica := range told.Members {
		if replica.Address != "" && replica.Seat != s.options.Name {
			s.addresses[replica.Seat] = replica.Address
		}
	}
	if was && !s.member() {
		s.stepDown()
	}
	if !s.member() {
		s.joinRequestedAt = 0
		s.requestJoin()
	}
}

func (s *Replica) onJoin(message *schema.ReplicaMessage, join *schema.Join) {
	s.tellMembers(message.From, join.Known)
	if s.phase != active {
		return
	}
	if lists(s.membership, message.From, message.Incarnation, message.Founder) {
		// It has a place but does not know it yet.
		known := s.peers[message.From]
		known.sent = known.acked
		s.replicate(message.From, known)
		return
	}
	outsider := s.outsiders[message.From]
	if outsider == nil || outsider.incarnation != message.Incarnation {
		outsider = &peer{incarnation: message.Incarnation, have: &schema.Version{}}
		s.outsiders[message.From] = outsider
	}
	outsider.learns, outsider.raise, outsider.heard, outsider.heardAt = true, join.Raise, true, s.now
	if outsider.epoch != s.epoch || outsider.acked < s.seq {
		outsider.sent = outsider.acked
		s.replicate(message.From, outsider)
	}
	s.sendHeartbeat(message.From, outsider)
	s.reconcileMembership()
}

// startAnew lets this replica be another one, empty, of the same name. It is for a replica that was taken
// out while it was away and has since voted for an epoch that no leader has: it could never be
// kept up to date again, and a vote must not be taken back. What it has said of before stays with
// its old incarnation, which counts for nothing: it was taken out after all that it holds.
func (s *Replica) startAnew() {
	options := s.options
	options.Founders, options.Raise = nil, false
	birth := Birth(options, options.Draw())
	fresh := NewReplica(options, 0, []*schema.Record{birth})
	fresh.addresses, fresh.learnedMembers, fresh.joins = s.addresses, s.learnedMembers, true
	fresh.born, fresh.bornAt, fresh.now, fresh.actions = true, s.bornAt, s.now, s.actions
	// Nothing is said any more of what the old one still had to sync.
	fresh.nextMark, fresh.forwarded = s.nextMark, s.forwarded
	*s = *fresh
	s.nextMark++
	s.pending = append(s.pending, afterSync{mark: s.nextMark, at: s.now})
	s.actions = append(s.actions, Persist{Mark: s.nextMark, Record: birth, Whole: true})
	s.requestJoin()
}

// excluded tells whether this replica is not among the members of a committed state that is newer than all
// it holds. Either it was taken out while it was away, or it was put in by an entry that only it and
// too few others took, and that came to nothing: in both cases what it takes for the members is void.
func (s *Replica) excluded() bool {
	if s.has(plantInsists) && s.learnedMembers != nil && !setup.Newer(s.learnedMembers.Taken, s.membership.Taken) {
		return false
	}
	return s.learnedMembers != nil && setup.Newer(s.learnedMembers.Committed, s.holds()) && !lists(s.learnedMembers, s.options.Name, s.incarnation, s.founder)
}

// learners are those that are kept up to date by the leader though they are no members.
func (s *Replica) learners() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(s.outsiders)) {
		if one := s.outsiders[name]; one.learns && s.hears(one) {
			names = append(names, name)
		}
	}
	return names
}

// reconcileMembership makes the next change of the members that is due, as the leader. One is made only once the
// members before it are committed under this epoch.
func (s *Replica) reconcileMembership() {
	if s.phase != active || s.unfit() || s.committedEpoch != s.epoch || s.committed < s.membership.Taken.GetSequence() {
		return
	}
	for _, replica := range s.membership.Members {
		if known := s.peers[replica.Seat]; replica.Incarnation == 0 && known != nil && s.hears(known) && known.founder {
			s.proposeMembership(with(s.membership, &schema.Core{Seat: replica.Seat, Address: s.placeOf(replica.Seat), Incarnation: known.incarnation}))
			return
		}
	}
	for _, name := range s.learners() {
		outsider := s.outsiders[name]
		if outsider.epoch != s.epoch || outsider.acked+uint64(s.options.EntriesMost/lagParts) < s.seq {
			continue
		}
		replica := &schema.Core{Seat: name, Address: s.placeOf(name), Incarnation: outsider.incarnation}
		switch {
		case placeIn(s.membership, name) >= 0:
			// Its folder of before is gone: it no longer counts for what was on it.
			s.removeMember(name)
		case outsider.raise:
			raised := with(s.membership, replica)
			raised.Wanted++
			s.proposeMembership(raised)
		case len(s.membership.Members) < int(s.membership.Wanted):
			s.proposeMembership(with(s.membership, replica))
		default:
			if longestSilent := s.longestSilent(); longestSilent != "" {
				s.removeMember(longestSilent)
			}
		}
		return
	}
}

// removeMember lets a replica count no more, if as many of the others as are then needed were heard just
// now: fewer members need each other more, so it is not done while another is being lost.
func (s *Replica) removeMember(name string) {
	left := without(s.membership, name)
	heard := 1
	for _, other := range s.otherMembers {
		if known := s.peers[other]; other != name && known.heard && s.now-known.heardAt <= s.options.Silence/freshParts {
			heard++
		}
	}
	if heard >= neededOf(left, s.options.Losses) {
		s.proposeMembership(left)
	}
}

// placeOf is where a replica is reached, if members are found by that and not by an order.
func (s *Replica) placeOf(name string) string {
	if len(s.options.Order) > 0 {
		return ""
	}
	if name == s.options.Name {
		return s.options.Address
	}
	return s.addresses[name]
}

// longestSilent names the replica that has not been heard for longest, if for too long.
func (s *Replica) longestSilent() (name string) {
	longest := retireSilences * s.options.Silence
	for _, other := range s.otherMembers {
		since := s.bornAt
		if known := s.peers[other]; known.heard {
			since = known.heardAt
		}
		if unheard := s.now - since; unheard > longest {
			name, longest = other, unheard
		}
	}
	return name
}

// proposeMembership lets other members count from the next place in the order on.
func (s *Replica) proposeMembership(members *schema.Membership) {
	version := &schema.Version{Epoch: s.epoch, Sequence: s.seq + 1}
	members.Taken = version
	id := "members-" + sequenceText(version)
	s.appendOwn(&schema.Entry{Version: version, ChangeId: id, Membership: members,
		Outcome: &schema.Outcome{ChangeId: id, Version: version, Ruling: schema.Ruling_RULING_ACCEPTED}})
}

// Wakes tells when Tick is next needed, if nothing else happens.
func (s *Replica) Wakes() time.Duration {
	wakes := s.lastHeartbeat + s.pause()
	earlier := func(at time.Duration) {
		if at > s.now {
			wakes = min(wakes, at)
		}
	}
	if !s.member() {
		wakes = s.joinRequestedAt + s.options.Silence/heartbeatsPerSilence
		if len(s.options.Order) > 0 && s.membership.Taken == nil && !s.joins {
			wakes = s.readAt + s.options.Silence/heartbeatsPerSilence
		}
	}
	for _, known := range s.peers {
		if s.hears(known) {
			earlier(known.heardAt + s.options.Silence + 1)
		}
	}
	if s.said() != s.lastNews {
		earlier(s.lastHeartbeat + s.options.Silence/newsPerSilence)
	}
	if s.phase == idle || s.phase == campaigning || s.phase == beginning {
		earlier(s.phaseAt + s.options.Silence + 1)
		earlier(s.phaseAt + s.options.Stall/campaignsPerStall + 1)
	}
	if len(s.pending) > 0 {
		earlier(s.pending[0].at + s.options.Stall + 1)
	}
	for _, waiting := range s.forwarded {
		earlier(waiting.at + s.options.Silence + 1)
	}
	return max(wakes, s.now+1)
}
