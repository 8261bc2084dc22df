package registry

import (
	"net"
	"slices"
	"strings"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// membership is who the core members are and where their registries are reached. It is not safe for concurrent use:
// sharedState.lock guards it.
type membership struct {
	config  *serverConfig
	options *liveOptions
	// observed is each member's registry as it announced itself last, by member id; never without this registry itself. Messages
	// are replaced, not changed, since they are sent without the lock.
	observed map[string]*schema.CoreMember
	agreed   []*schema.CoreMember // the members as the store reported them last, with the stores' addresses; nil before
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

// own is this registry as it announces itself to others.
func (m *membership) own() *schema.CoreMember { return m.observed[m.config.memberID] }

// list lists the core members in the order of leadership, each with its registry's address if that is known. Without a static
// order they are those that the stores agreed on, by id; until the store has reported them, the seeds are listed instead.
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

// listUnordered lists the members that the stores agreed on, or else the seeds, by id.
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

// count is how many members the core has.
func (m *membership) count() int { return len(m.list()) }

// reachable lists the members whose registry's address is known.
func (m *membership) reachable() []*schema.CoreMember {
	return slices.DeleteFunc(m.list(), func(member *schema.CoreMember) bool { return member.Address == "" })
}

// peerAddresses is the set of addresses at which the other registries are, or may be.
func (m *membership) peerAddresses() map[string]bool {
	addresses := map[string]bool{}
	for _, member := range m.reachable() {
		addresses[member.Address] = true
	}
	// Once the store has reported the members, the seeds are not used any more.
	if m.agreed == nil {
		for _, seed := range m.options.seeds() {
			addresses[seed] = true
		}
	}
	delete(addresses, m.config.advertisedAddress)
	return addresses
}

// counterpartAddress gives the address of the registry on another member's machine: this registry's port at that machine's IP.
func (m *membership) counterpartAddress(address string) string {
	_, port, _ := net.SplitHostPort(m.config.advertisedAddress) // the options are checked to be IP:port
	return net.JoinHostPort(ipOf(address), port)
}

// setAgreed records the members as the store reports them, and tells whether they changed.
func (m *membership) setAgreed(members []*schema.CoreMember) bool {
	if len(members) == 0 || sameMembers(m.agreed, members) {
		return false
	}
	m.agreed = members
	return true
}

// observe records where a member's registry is, if it is a member's and started later than the one known, and tells whether
// anything changed.
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

// observeOwn takes a later incarnation than others know of this registry: until then they believe the address of an earlier one.
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

// sameMembers tells whether two lists name the same members at the same addresses.
func sameMembers(a, b []*schema.CoreMember) bool {
	return slices.EqualFunc(a, b, func(a, b *schema.CoreMember) bool {
		return a.Id == b.Id && a.Address == b.Address && a.Zone == b.Zone && a.Incarnation == b.Incarnation
	})
}
