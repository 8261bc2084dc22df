package registry

import "meadowhinge/schema"

// Acknowledgement collects the registries' replies to a fence at one revision. The revision is acknowledged once a majority of
// registries has no lease left below it: a lease needs grants of a majority, so any lease below the fence that is still valid
// was granted by one of them. It is not safe for concurrent use.
type Acknowledgement struct {
	memberCount     int
	withoutLaggards map[string]bool // by core member
}

// NewAcknowledgement starts an acknowledgement among so many core members.
func NewAcknowledgement(memberCount int) *Acknowledgement {
	return &Acknowledgement{memberCount: memberCount, withoutLaggards: map[string]bool{}}
}

// Record records a reply and tells whether the revision is acknowledged. A registry that had no laggards once never has any
// again, since its fence stays: its first such reply is enough.
func (a *Acknowledgement) Record(reply *schema.FenceReply) bool {
	if reply.Authoritative && len(reply.Laggards) == 0 {
		a.withoutLaggards[reply.Member] = true
	}
	return len(a.withoutLaggards) > a.memberCount/2
}
