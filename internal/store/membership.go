package store

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// foundingMembership is the first members; their incarnations are bound as they are first counted.
func foundingMembership(names []string) *schema.Membership {
	members := &schema.Membership{TargetSize: uint32(len(names)), EffectiveFrom: &schema.Version{}}
	for _, name := range names {
		members.Members = append(members.Members, &schema.CoreMember{Id: name})
	}
	return members
}

func memberIndex(members *schema.Membership, name string) int {
	return slices.IndexFunc(members.GetMembers(), func(member *schema.CoreMember) bool { return member.Id == name })
}

// containsMember tells whether a folder is one of the members. A founder that is not bound yet may be only a
// folder that has been there since: one found empty later could have lost what it was counted for.
func containsMember(members *schema.Membership, name string, incarnation uint64, founder bool) bool {
	index := memberIndex(members, name)
	if index < 0 {
		return false
	}
	bound := members.Members[index].Incarnation
	return bound == incarnation || bound == 0 && founder
}

// withoutMember and with are the members after one change.
func withoutMember(members *schema.Membership, name string) *schema.Membership {
	changed := proto.Clone(members).(*schema.Membership)
	changed.Members = slices.DeleteFunc(changed.Members, func(member *schema.CoreMember) bool { return member.Id == name })
	return changed
}

func withMember(members *schema.Membership, member *schema.CoreMember) *schema.Membership {
	changed := proto.Clone(members).(*schema.Membership)
	if index := memberIndex(changed, member.Id); index >= 0 {
		changed.Members[index] = member
	} else {
		changed.Members = append(changed.Members, member)
	}
	return changed
}

// commitQuorum is how many durable copies make a change committed: a majority, and one more than may be lost.
func commitQuorum(members *schema.Membership, losses int) int {
	return max(len(members.Members)/2+1, min(losses+1, len(members.Members)))
}

// isMember tells whether this folder is one of the members.
func (r *Replica) isMember() bool {
	return !r.isExcluded() && containsMember(r.membership, r.config.Name, r.incarnation, r.founder)
}

// isExcluded tells whether this replica is not among the members of a committed state that is newer than all
// it holds. Either it was taken out while it was away, or it was put in by an entry that only it and
// too few others took, and that came to nothing: in both cases what it takes for the members is void.
func (r *Replica) isExcluded() bool {
	if r.hasFault(faultIgnoresExclusion) && r.reportedMembership != nil && !config.Newer(r.reportedMembership.EffectiveFrom, r.membership.EffectiveFrom) {
		return false
	}
	return r.reportedMembership != nil && config.Newer(r.reportedMembership.Committed, r.lastVersion()) && !containsMember(r.reportedMembership, r.config.Name, r.incarnation, r.founder)
}

func (r *Replica) majority() int { return len(r.membership.Members)/2 + 1 }

// applyMembership lets the peers be those of the members taken.
func (r *Replica) applyMembership() {
	peers := map[string]*peerState{}
	r.otherMembers = nil
	for _, member := range r.membership.Members {
		if member.Address != "" && member.Id != r.config.Name {
			r.addresses[member.Id] = member.Address
		}
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
	// Whoever has a place no longer asks for one.
	if r.expandsMembership && containsMember(r.membership, r.config.Name, r.incarnation, r.founder) {
		r.expandsMembership = false
	}
}

// memberAddress is where a replica is reached, if members are found by that and not by an order.
func (r *Replica) memberAddress(name string) string {
	if len(r.config.StaticMembers) > 0 {
		return ""
	}
	if name == r.config.Name {
		return r.config.Address
	}
	return r.addresses[name]
}
