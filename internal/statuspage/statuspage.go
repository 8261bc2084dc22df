// Package statuspage is the JSON form of the status that programs show on their probe and operator listeners. People
// and scripts read its keys, so these stay as they are when the messages between processes are renamed: the pages are
// made from such messages here and nowhere else.
//
// The proxy, the registry and the store make their pages with it. It owns no state.
package statuspage

import "meadowhinge/schema"

// Version is a position in the log: the term of the leader that wrote the entry, then its sequence.
type Version struct {
	Term     uint64 `json:"epoch,omitempty"`
	Sequence uint64 `json:"sequence,omitempty"`
}

// CoreMember is a member of the core, and where it is reached.
type CoreMember struct {
	ID          string `json:"seat,omitempty"`
	Address     string `json:"address,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	Zone        string `json:"area,omitempty"`
}

// Membership is the set of members whose stores form the quorum.
type Membership struct {
	Members       []*CoreMember `json:"members,omitempty"`
	TargetSize    uint32        `json:"wanted,omitempty"` // how many members there should be
	EffectiveFrom *Version      `json:"taken,omitempty"`  // entry that made these the members
	Committed     *Version      `json:"committed,omitempty"`
}

// Replica is the status of a store.
type Replica struct {
	Replica        string      `json:"replica,omitempty"`
	Leader         string      `json:"leader,omitempty"` // empty where none is known
	Term           uint64      `json:"epoch,omitempty"`
	VotedTerm      uint64      `json:"voted_epoch,omitempty"`
	Sequence       uint64      `json:"sequence,omitempty"`  // last appended
	Durable        uint64      `json:"durable,omitempty"`   // last on this disk
	Committed      uint64      `json:"committed,omitempty"` // last known to be committed
	Member         bool        `json:"member,omitempty"`
	Unfit          bool        `json:"unfit,omitempty"`              // must not lead
	Heard          []string    `json:"heard,omitempty"`              // members whose heartbeats arrive
	RefusedPeers   uint64      `json:"refused_peers,omitempty"`      // wrong certificate or protocol, or malformed messages
	Membership     *Membership `json:"membership,omitempty"`         // the latest appended, committed or not
	Learners       []string    `json:"waiting,omitempty"`            // kept up to date here until there is room for them
	DiskFailed     bool        `json:"refuses,omitempty"`            // the disk refuses writes
	StalenessKnown bool        `json:"vouched,omitempty"`            // a majority has reported since this store started
	StalenessNanos int64       `json:"majority_age_nanos,omitempty"` // nanoseconds since a majority reported nothing newer
}

// Lease is one proxy's lease as a registry has it.
type Lease struct {
	Proxy       string `json:"proxy,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	Applied     uint64 `json:"applied,omitempty"`    // configuration revision that the proxy uses
	LeftNanos   int64  `json:"left_nanos,omitempty"` // nanoseconds until the lease runs out
}

// Registry is the status of a registry.
type Registry struct {
	Member                    string   `json:"seat,omitempty"`
	GrantsLeases              bool     `json:"grants,omitempty"`
	Committed                 uint64   `json:"stable,omitempty"` // newest committed configuration revision known
	Leases                    []*Lease `json:"leases,omitempty"`
	StaleSteps                uint64   `json:"stale_steps,omitempty"`    // rollout steps refused for a controller with a later term
	RefusedPeers              uint64   `json:"refused_peers,omitempty"`  // wrong certificate or protocol, or malformed messages
	KeyReservations           uint64   `json:"claims,omitempty"`         // idempotency keys reserved here
	ReservationsAuthoritative bool     `json:"claims_count,omitempty"`   // counts towards the majority of a reservation
	RefusedReservations       uint64   `json:"refused_claims,omitempty"` // of unauthorized peers, of old incarnations, or beyond the limit
	ConflictingSettings       []string `json:"odd,omitempty"`            // settings of other processes that contradict this registry's
	MayControlRollouts        bool     `json:"steers,omitempty"`         // may be the rollout controller
	Sessions                  uint32   `json:"sessions,omitempty"`       // of proxies, open here
	FleetSize                 uint32   `json:"members,omitempty"`        // proxies known to live
	StalenessKnown            bool     `json:"vouched,omitempty"`        // it knows how old its configuration may be
	StalenessNanos            int64    `json:"age_nanos,omitempty"`      // nanoseconds since its configuration was known to be the newest
	Reachable                 []string `json:"reached,omitempty"`        // other registries heard from
}

// Worker is a worker as the proxy beside it describes it.
type Worker struct {
	Instance         string  `json:"instance,omitempty"`
	Service          string  `json:"service,omitempty"`
	Version          string  `json:"version,omitempty"`
	Zone             string  `json:"area,omitempty"`
	Load             float64 `json:"load,omitempty"`
	Draining         bool    `json:"leaving,omitempty"`
	Terminated       bool    `json:"gone,omitempty"`
	UptimeNanos      int64   `json:"sound_since_nanos,omitempty"` // when the worker described itself
	Slots            uint32  `json:"slots,omitempty"`             // requests it works on at once, 0 if it does not say
	WarmupLeftNanos  int64   `json:"warm_nanos,omitempty"`        // remaining slow start
	Running          uint32  `json:"running,omitempty"`           // requests it works on
	Queued           uint32  `json:"waiting,omitempty"`           // requests that wait, at the worker and at its proxy
	ServiceTimeNanos int64   `json:"pace_nanos,omitempty"`        // moving mean of the execution time of a request, 0 if not known
}

// convertAll converts the elements of a list; a nil list stays nil, which JSON shows as null.
func convertAll[From, To any](list []From, convert func(From) To) []To {
	if list == nil {
		return nil
	}
	converted := make([]To, 0, len(list))
	for _, item := range list {
		converted = append(converted, convert(item))
	}
	return converted
}

func versionOf(version *schema.Version) *Version {
	if version == nil {
		return nil
	}
	return &Version{Term: version.Term, Sequence: version.Sequence}
}

func coreMemberOf(member *schema.CoreMember) *CoreMember {
	return &CoreMember{
		ID:          member.Id,
		Address:     member.Address,
		Incarnation: member.Incarnation,
		Zone:        member.Zone,
	}
}

// CoreMembersOf returns the page's form of members of the core.
func CoreMembersOf(members []*schema.CoreMember) []*CoreMember {
	return convertAll(members, coreMemberOf)
}

func membershipOf(membership *schema.Membership) *Membership {
	if membership == nil {
		return nil
	}
	return &Membership{
		Members:       CoreMembersOf(membership.Members),
		TargetSize:    membership.TargetSize,
		EffectiveFrom: versionOf(membership.EffectiveFrom),
		Committed:     versionOf(membership.Committed),
	}
}

// ReplicaOf returns the page for the status of a store, nil for nil.
func ReplicaOf(status *schema.ReplicaStatus) *Replica {
	if status == nil {
		return nil
	}
	return &Replica{
		Replica:        status.Replica,
		Leader:         status.Leader,
		Term:           status.Term,
		VotedTerm:      status.VotedTerm,
		Sequence:       status.Sequence,
		Durable:        status.Durable,
		Committed:      status.Committed,
		Member:         status.Member,
		Unfit:          status.Unfit,
		Heard:          status.Heard,
		RefusedPeers:   status.RefusedPeers,
		Membership:     membershipOf(status.Membership),
		Learners:       status.Learners,
		DiskFailed:     status.DiskFailed,
		StalenessKnown: status.StalenessKnown,
		StalenessNanos: status.StalenessNanos,
	}
}

// leaseOf makes the page's form of a lease. In a RegistryStatus a Laggard is any lease, lagging or not.
func leaseOf(lease *schema.Laggard) *Lease {
	return &Lease{
		Proxy:       lease.Proxy,
		Incarnation: lease.Incarnation,
		Applied:     lease.Applied,
		LeftNanos:   lease.LeaseLeftNanos,
	}
}

// RegistryOf returns the page for the status of a registry, nil for nil.
func RegistryOf(status *schema.RegistryStatus) *Registry {
	if status == nil {
		return nil
	}
	return &Registry{
		Member:                    status.Member,
		GrantsLeases:              status.GrantsLeases,
		Committed:                 status.Committed,
		Leases:                    convertAll(status.Leases, leaseOf),
		StaleSteps:                status.StaleSteps,
		RefusedPeers:              status.RefusedPeers,
		KeyReservations:           status.KeyReservations,
		ReservationsAuthoritative: status.ReservationsAuthoritative,
		RefusedReservations:       status.RefusedReservations,
		ConflictingSettings:       status.ConflictingSettings,
		MayControlRollouts:        status.MayControlRollouts,
		Sessions:                  status.Sessions,
		FleetSize:                 status.FleetSize,
		StalenessKnown:            status.StalenessKnown,
		StalenessNanos:            status.StalenessNanos,
		Reachable:                 status.Reachable,
	}
}

// RegistriesOf returns the pages for the status of several registries.
func RegistriesOf(statuses []*schema.RegistryStatus) []*Registry {
	return convertAll(statuses, RegistryOf)
}

func workerOf(worker *schema.Worker) *Worker {
	return &Worker{
		Instance:         worker.Instance,
		Service:          worker.Service,
		Version:          worker.Version,
		Zone:             worker.Zone,
		Load:             worker.Load,
		Draining:         worker.Draining,
		Terminated:       worker.Terminated,
		UptimeNanos:      worker.UptimeNanos,
		Slots:            worker.Slots,
		WarmupLeftNanos:  worker.WarmupLeftNanos,
		Running:          worker.Running,
		Queued:           worker.Queued,
		ServiceTimeNanos: worker.ServiceTimeNanos,
	}
}

// WorkersOf returns the page's form of the workers beside a proxy.
func WorkersOf(workers []*schema.Worker) []*Worker { return convertAll(workers, workerOf) }
