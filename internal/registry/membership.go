package registry

import (
	"net"
	"slices"
	"strings"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// membership holds the core members and the addresses of their registries. It is not safe for concurrent use:
// sharedState.lock guards it.
type membership struct {
	config  *serverConfig
	options *liveOptions
	// observed is the announcement with the highest incarnation of each member's registry, by member id. It always
	// includes this registry. Messages are replaced, never changed in place, since they are sent without holding the
	// lock.
	observed map[string]*schema.CoreMember
	// agreed lists the members with their stores' addresses, as the store last reported them; nil before its first
	// report.
	agreed []*schema.CoreMember
}

func newMembership(config *serverConfig, live *liveOptions, incarnation uint64) *membership {
	own := &schema.CoreMember{
		Id:          config.memberID,
		Address:     config.advertisedAddress,
		Incarnation: incarnation,
		Zone:        config.zone,
	}
	return &membership{
		config:   config,
		options:  live,
		observed: map[string]*schema.CoreMember{own.Id: own},
	}
}

// own returns the announcement that this registry sends to others.
func (m *membership) own() *schema.CoreMember { return m.observed[m.config.memberID] }

// list returns the core members in the order of preference for leadership, each with its registry's address if that is
// known. Without a static member order it returns the members that the stores agreed on, sorted by id. Until the store
// has reported those, it returns the seeds.
func (m *membership) list() []*schema.CoreMember {
	var listed []*schema.CoreMember
	for _, name := range m.config.memberOrder {
		listed = append(listed, &schema.CoreMember{Id: name})
	}
	if m.config.memberOrder == nil {
		listed = m.listUnordered()
	}
	for i, member := range listed {
		if observed := m.observed[member.Id]; observed != nil {
			listed[i] = observed
		}
	}
	return listed
}

// listUnordered returns the members that the stores agreed on, or the seeds if there are none, sorted by id.
func (m *membership) listUnordered() []*schema.CoreMember {
	var listed []*schema.CoreMember
	for _, member := range m.agreed {
		listed = append(listed, &schema.CoreMember{Id: member.Id, Address: m.counterpartAddress(member.Address)})
	}
	if len(m.agreed) == 0 {
		for _, seed := range m.options.seeds() {
			listed = append(listed, &schema.CoreMember{Id: ipOf(seed), Address: seed})
		}
	}
	slices.SortFunc(listed, func(a, b *schema.CoreMember) int { return strings.Compare(a.Id, b.Id) })
	return listed
}

// count returns the number of core members.
func (m *membership) count() int { return len(m.list()) }

// reachable returns the members whose registry address is known.
func (m *membership) reachable() []*schema.CoreMember {
	return slices.DeleteFunc(m.list(), func(member *schema.CoreMember) bool { return member.Address == "" })
}

// peerAddresses returns the set of the other registries' addresses. It includes the seeds until the store has reported
// the members, since any of them may be the address of a registry.
func (m *membership) peerAddresses() map[string]bool {
	addresses := map[string]bool{}
	for _, member := range m.reachable() {
		addresses[member.Address] = true
	}
	if m.agreed == nil {
		for _, seed := range m.options.seeds() {
			addresses[seed] = true
		}
	}
	delete(addresses, m.config.advertisedAddress)
	return addresses
}

// counterpartAddress returns the presumed address of the registry on the machine of another member's store: the IP of
// address with the port of this registry.
func (m *membership) counterpartAddress(address string) string {
	_, port, _ := net.SplitHostPort(m.config.advertisedAddress) // the options check ensures IP:port
	return net.JoinHostPort(ipOf(address), port)
}

// setAgreed records the members that the store reports, and reports whether they changed. An empty list is ignored.
func (m *membership) setAgreed(members []*schema.CoreMember) bool {
	if len(members) == 0 || sameMembers(m.agreed, members) {
		return false
	}
	m.agreed = members
	return true
}

// observe records the announcement of a core member's registry if its incarnation is higher than the known one. It
// reports whether anything changed. member may be nil.
func (m *membership) observe(member *schema.CoreMember) bool {
	if member == nil || member.Id == "" {
		return false
	}
	if member.Id == m.config.memberID {
		return m.observeOwn(member)
	}
	isMember := slices.ContainsFunc(m.list(), func(listed *schema.CoreMember) bool { return listed.Id == member.Id })
	existing := m.observed[member.Id]
	if !isMember || (existing != nil && member.Incarnation <= existing.Incarnation) {
		return false
	}
	m.observed[member.Id] = member
	return true
}

// observeOwn raises this registry's incarnation above that of member if member's is higher, and reports whether it did.
// With a lower incarnation, the other registries would keep the address of an earlier process of this member.
func (m *membership) observeOwn(member *schema.CoreMember) bool {
	own := m.own()
	if !session.IsSuperseded(own.Incarnation, member.Incarnation, false) {
		return false
	}
	m.observed[own.Id] = &schema.CoreMember{
		Id:          own.Id,
		Address:     own.Address,
		Zone:        own.Zone,
		Incarnation: session.NextIncarnation(member.Incarnation),
	}
	return true
}

// sameMembers reports whether two lists have the same members with the same addresses, zones and incarnations, in the
// same order.
func sameMembers(a, b []*schema.CoreMember) bool {
	return slices.EqualFunc(a, b, func(a, b *schema.CoreMember) bool {
		return a.Id == b.Id && a.Address == b.Address && a.Zone == b.Zone && a.Incarnation == b.Incarnation
	})
}
