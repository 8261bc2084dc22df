package registry

import "meadowhinge/schema"

// Acknowledgement collects the registries' replies to a fence at one revision. The revision is acknowledged once a
// majority of the registries report no valid lease below it. A lease needs grants from a majority, and two majorities
// share a registry, so no valid lease below the fence can remain. It is not safe for concurrent use.
type Acknowledgement struct {
	memberCount     int             // number of core members
	withoutLaggards map[string]bool // core members whose registry has reported no laggards, by member id
}

// NewAcknowledgement returns an Acknowledgement without replies for a core of memberCount members.
func NewAcknowledgement(memberCount int) *Acknowledgement {
	return &Acknowledgement{memberCount: memberCount, withoutLaggards: map[string]bool{}}
}

// Record records a reply and reports whether the revision is acknowledged. Replies that are not authoritative do not
// count. One reply without laggards is enough for each registry: its fence stays, so it cannot have laggards again.
func (a *Acknowledgement) Record(reply *schema.FenceReply) bool {
	if reply.Authoritative && len(reply.Laggards) == 0 {
		a.withoutLaggards[reply.Member] = true
	}
	return len(a.withoutLaggards) > a.memberCount/2
}
