package store

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// This file holds the membership, which is part of the replicated content. A replica counts votes and copies by the
// latest membership that it has appended, committed or not, and the membership changes by one member at a time (thesis,
// section 4.1). Any majorities of two memberships that differ by one member have a member in common, so no two of them
// can decide differently.
//
// A member is identified by its name and the incarnation of its data folder. A folder that is lost and comes back empty
// is another replica of the same name: the old one is removed, and the new one is added once it has caught up. So an
// empty folder never counts for what was on the lost one.
//
// Invariant: a Membership is never modified once it is in the content; withMember and withoutMember return copies.

// foundingMembership returns the first membership. Its members are not bound to incarnations yet; see
// withFoundersBound.
func foundingMembership(names []string) *schema.Membership {
	membership := &schema.Membership{TargetSize: uint32(len(names)), EffectiveFrom: &schema.Version{}}
	for _, name := range names {
		membership.Members = append(membership.Members, &schema.CoreMember{Id: name})
	}
	return membership
}

// memberIndex returns the index of a member in a membership, which may be nil; -1 if the member is not in it.
func memberIndex(membership *schema.Membership, name string) int {
	return slices.IndexFunc(membership.GetMembers(), func(member *schema.CoreMember) bool { return member.Id == name })
}

// containsMember reports whether a replica is in a membership. A member that is not bound to an incarnation matches only
// a data folder that has existed since the first membership: one that came back empty may have lost what it was counted
// for.
func containsMember(membership *schema.Membership, name string, incarnation uint64, founder bool) bool {
	index := memberIndex(membership, name)
	if index < 0 {
		return false
	}
	memberIncarnation := membership.Members[index].Incarnation
	return memberIncarnation == incarnation || memberIncarnation == 0 && founder
}

// withoutMember returns a copy of a membership without a member.
func withoutMember(membership *schema.Membership, name string) *schema.Membership {
	changed := proto.Clone(membership).(*schema.Membership)
	changed.Members = slices.DeleteFunc(changed.Members, func(member *schema.CoreMember) bool { return member.Id == name })
	return changed
}

// withMember returns a copy of a membership in which a member is appended, or replaces the one of the same name.
func withMember(membership *schema.Membership, member *schema.CoreMember) *schema.Membership {
	changed := proto.Clone(membership).(*schema.Membership)
	if index := memberIndex(changed, member.Id); index >= 0 {
		changed.Members[index] = member
	} else {
		changed.Members = append(changed.Members, member)
	}
	return changed
}

// majorityOf returns the size of a majority: the smallest size at which any two sets of members have a member in
// common.
func majorityOf(membership *schema.Membership) int { return len(membership.Members)/2 + 1 }

// commitQuorum returns the number of durable copies that commit an entry. It is at least a majority, so that the next
// leader finds the entry, and at least one more than the tolerated disk losses, if there are that many members.
func commitQuorum(membership *schema.Membership, toleratedLosses int) int {
	return max(majorityOf(membership), min(toleratedLosses+1, len(membership.Members)))
}

// majority returns the number of votes, links or confirmations that a leader needs, its own included.
func (r *Replica) majority() int { return majorityOf(r.membership) }

// isMember reports whether this replica is a member, by the newest membership that it knows.
func (r *Replica) isMember() bool {
	return !r.isExcluded() && containsMember(r.membership, r.config.Name, r.incarnation, r.founder)
}

// isExcluded reports whether this replica is missing from a committed membership that is newer than its whole content.
// Either it was removed while it was unreachable, or the entry that added it reached too few members and was discarded
// by a later leader. In both cases the membership in its content is no longer valid.
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

// applyMembership sets peers and otherMembers from the membership that was just appended or restored. The state of a
// peer is kept as long as its incarnation is the same. A learner that becomes a member keeps its replication progress.
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
		if nonMember := r.nonMembers[member.Id]; nonMember != nil && member.Incarnation == nonMember.incarnation {
			peer = nonMember
			delete(r.nonMembers, member.Id)
		}
		if peer == nil || member.Incarnation != 0 && peer.incarnation != member.Incarnation {
			peer = &peerState{incarnation: member.Incarnation}
		}
		peers[member.Id] = peer
	}
	r.peers = peers
	// Once this replica is a member, its joining has raised the target size already.
	if r.expandsMembership && containsMember(r.membership, r.config.Name, r.incarnation, r.founder) {
		r.expandsMembership = false
	}
}

// learnAddresses stores the addresses that a membership lists for the other members.
func (r *Replica) learnAddresses(membership *schema.Membership) {
	for _, member := range membership.Members {
		if member.Address != "" && member.Id != r.config.Name {
			r.addresses[member.Id] = member.Address
		}
	}
}

// newMember returns the entry for a replica in a membership.
func (r *Replica) newMember(name string, incarnation uint64) *schema.CoreMember {
	return &schema.CoreMember{Id: name, Address: r.memberAddress(name), Incarnation: incarnation}
}

// memberAddress returns the address to list for a member. It is empty with a static member list, whose members are
// found at the seeds.
func (r *Replica) memberAddress(name string) string {
	if len(r.config.StaticMembers) > 0 {
		return ""
	}
	if name == r.config.Name {
		return r.config.Address
	}
	return r.addresses[name]
}
