package store

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// The membership is part of the replicated content. A replica counts by the latest membership that it has
// appended, committed or not, and changes come one at a time (thesis, section 4.1): majorities of memberships that
// differ by one member have a member in common, so nothing is decided twice.
//
// A member is a name and the incarnation of its data folder. A folder that is lost and comes back empty is another
// replica of the same name: the old one is removed, and the new one is added once it has caught up. So an empty
// folder never counts for what was on the lost one.
//
// Invariant: a Membership is never changed once it is in the content; with and withoutMember return copies.

// foundingMembership is the first membership. Its members are not bound to incarnations yet; see withFoundersBound.
func foundingMembership(names []string) *schema.Membership {
	membership := &schema.Membership{TargetSize: uint32(len(names)), EffectiveFrom: &schema.Version{}}
	for _, name := range names {
		membership.Members = append(membership.Members, &schema.CoreMember{Id: name})
	}
	return membership
}

// memberIndex is the position of a member in a membership, which may be nil, or -1.
func memberIndex(membership *schema.Membership, name string) int {
	return slices.IndexFunc(membership.GetMembers(), func(member *schema.CoreMember) bool { return member.Id == name })
}

// containsMember reports whether a replica is a member. A founder that is not bound yet must be a folder that
// has existed since the first membership: one found empty later may have lost what it was counted for.
func containsMember(membership *schema.Membership, name string, incarnation uint64, founder bool) bool {
	index := memberIndex(membership, name)
	if index < 0 {
		return false
	}
	memberIncarnation := membership.Members[index].Incarnation
	return memberIncarnation == incarnation || memberIncarnation == 0 && founder
}

// withoutMember is a copy of a membership without a member.
func withoutMember(membership *schema.Membership, name string) *schema.Membership {
	changed := proto.Clone(membership).(*schema.Membership)
	changed.Members = slices.DeleteFunc(changed.Members, func(member *schema.CoreMember) bool { return member.Id == name })
	return changed
}

// withMember is a copy of a membership with a member added at its end, or in place of the one of the same name.
func withMember(membership *schema.Membership, member *schema.CoreMember) *schema.Membership {
	changed := proto.Clone(membership).(*schema.Membership)
	if index := memberIndex(changed, member.Id); index >= 0 {
		changed.Members[index] = member
	} else {
		changed.Members = append(changed.Members, member)
	}
	return changed
}

// majorityOf is the smallest size at which any two sets of members have a member in common.
func majorityOf(membership *schema.Membership) int { return len(membership.Members)/2 + 1 }

// commitQuorum is the number of durable copies that commit an entry: a majority, so that the next leader finds it,
// and one more than the tolerated disk losses, as far as there are members.
func commitQuorum(membership *schema.Membership, toleratedLosses int) int {
	return max(majorityOf(membership), min(toleratedLosses+1, len(membership.Members)))
}

// majority is the number of votes, links or confirmations that a leader needs, its own included.
func (r *Replica) majority() int { return majorityOf(r.membership) }

// isMember reports whether this replica is a member, as far as it knows.
func (r *Replica) isMember() bool {
	return !r.isExcluded() && containsMember(r.membership, r.config.Name, r.incarnation, r.founder)
}

// isExcluded reports whether this replica is missing from a committed membership that is newer than all its
// content. Either it was removed while it was away, or it was added by an entry that too few members appended and
// that a later leader discarded; in both cases the membership here is not valid any more.
func (r *Replica) isExcluded() bool {
	reported := r.reportedMembership
	if reported == nil {
		return false
	}
	if r.hasFault(faultIgnoresExclusion) && !config.Newer(reported.EffectiveFrom, r.membership.EffectiveFrom) {
		return false
	}
	return config.Newer(reported.Committed, r.lastVersion()) &&
		!containsMember(reported, r.config.Name, r.incarnation, r.founder)
}

// applyMembership makes peers and otherMembers those of the membership that was just appended or restored. What is
// known of a peer is kept as long as it is the same incarnation; a learner that was added keeps its progress.
func (r *Replica) applyMembership() {
	peers := map[string]*peerState{}
	r.otherMembers = nil
	r.learnAddresses(r.membership)
	for _, member := range r.membership.Members {
		if member.Id == r.config.Name {
			continue
		}
		r.otherMembers = append(r.otherMembers, member.Id)
		peer := r.peers[member.Id]
		if outsider := r.outsiders[member.Id]; outsider != nil && member.Incarnation == outsider.incarnation {
			peer = outsider
			delete(r.outsiders, member.Id)
		}
		if peer == nil || member.Incarnation != 0 && peer.incarnation != member.Incarnation {
			peer = &peerState{incarnation: member.Incarnation}
		}
		peers[member.Id] = peer
	}
	r.peers = peers
	// A member no longer asks to be added.
	if r.expandsMembership && containsMember(r.membership, r.config.Name, r.incarnation, r.founder) {
		r.expandsMembership = false
	}
}

// learnAddresses takes over the addresses of the other members that a membership lists.
func (r *Replica) learnAddresses(membership *schema.Membership) {
	for _, member := range membership.Members {
		if member.Address != "" && member.Id != r.config.Name {
			r.addresses[member.Id] = member.Address
		}
	}
}

// newMember is a replica as a member of the next membership.
func (r *Replica) newMember(name string, incarnation uint64) *schema.CoreMember {
	return &schema.CoreMember{Id: name, Address: r.memberAddress(name), Incarnation: incarnation}
}

// memberAddress is the address to list for a member; empty with a static member list, whose members are found
// by their seeds.
func (r *Replica) memberAddress(name string) string {
	if len(r.config.StaticMembers) > 0 {
		return ""
	}
	if name == r.config.Name {
		return r.config.Address
	}
	return r.addresses[name]
}
