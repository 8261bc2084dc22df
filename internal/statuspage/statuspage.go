// Package statuspage defines the JSON form of the status pages that programs serve on their probe and operator
// listeners. People and scripts read its keys, so the keys stay when the messages between processes are renamed. Only
// this package converts such messages to pages.
//
// The proxy, the registry and the store build their pages with it. It has no state, so all functions are safe for
// concurrent use.
package statuspage

import "meadowhinge/schema"

// Version is a position in the replicated log: the term of the leader that wrote the entry, and the entry's sequence
// number.
type Version struct {
	Term     uint64 `json:"epoch,omitempty"`
	Sequence uint64 `json:"sequence,omitempty"`
}

// CoreMember is the identity and address of a member of the core.
type CoreMember struct {
	ID          string `json:"seat,omitempty"`        // member id
	Address     string `json:"address,omitempty"`     // IP:port
	Incarnation uint64 `json:"incarnation,omitempty"` // incarnation of the member; 0 if unknown
	Zone        string `json:"area,omitempty"`        // zone of the machine; empty if unknown
}

// Membership is the set of members whose stores form the quorum.
type Membership struct {
	Members       []*CoreMember `json:"members,omitempty"`
	TargetSize    uint32        `json:"wanted,omitempty"`    // number of members that the core should have
	EffectiveFrom *Version      `json:"taken,omitempty"`     // log entry that set this membership
	Committed     *Version      `json:"committed,omitempty"` // position of the committed state that has this membership
}

// Replica is the status of a store.
type Replica struct {
	Replica   string   `json:"replica,omitempty"`     // member id of this store
	Leader    string   `json:"leader,omitempty"`      // member id of the leader; empty if none is known
	Term      uint64   `json:"epoch,omitempty"`       // term of this store's log
	VotedTerm uint64   `json:"voted_epoch,omitempty"` // highest term in which this store voted
	Sequence  uint64   `json:"sequence,omitempty"`    // sequence of the last appended log entry
	Durable   uint64   `json:"durable,omitempty"`     // sequence of the last entry on this store's disk
	Committed uint64   `json:"committed,omitempty"`   // sequence of the last entry known to be committed
	Member    bool     `json:"member,omitempty"`      // this store belongs to the membership
	Unfit     bool     `json:"unfit,omitempty"`       // this store must not lead
	Heard     []string `json:"heard,omitempty"`       // members whose heartbeats arrive
	// RefusedPeers counts the peers rejected for a wrong certificate, protocol or role, or for malformed messages.
	RefusedPeers   uint64      `json:"refused_peers,omitempty"`
	Membership     *Membership `json:"membership,omitempty"`         // latest appended membership, committed or not
	Learners       []string    `json:"waiting,omitempty"`            // live replicas that wait to join; the leader keeps them up to date
	DiskFailed     bool        `json:"refuses,omitempty"`            // writes to this store's disk fail
	StalenessKnown bool        `json:"vouched,omitempty"`            // a majority has reported since this store started
	StalenessNanos int64       `json:"majority_age_nanos,omitempty"` // nanoseconds since a majority reported nothing newer
}

// Lease is a proxy's lease as a registry knows it.
type Lease struct {
	Proxy       string `json:"proxy,omitempty"`       // name of the proxy
	Incarnation uint64 `json:"incarnation,omitempty"` // incarnation of the proxy that holds the lease
	Applied     uint64 `json:"applied,omitempty"`     // configuration revision that the proxy uses
	LeftNanos   int64  `json:"left_nanos,omitempty"`  // nanoseconds until the lease expires
}

// Registry is the status of a registry.
type Registry struct {
	Member       string   `json:"seat,omitempty"`        // member id of the core machine
	GrantsLeases bool     `json:"grants,omitempty"`      // this registry grants leases; false for some time after its start
	Committed    uint64   `json:"stable,omitempty"`      // newest committed configuration revision known
	Leases       []*Lease `json:"leases,omitempty"`      // unexpired leases, whether or not their proxies lag
	StaleSteps   uint64   `json:"stale_steps,omitempty"` // rollout steps refused for a controller with a later term
	// RefusedPeers counts the peers rejected for a wrong certificate, protocol or role, or for malformed messages.
	RefusedPeers    uint64 `json:"refused_peers,omitempty"`
	KeyReservations uint64 `json:"claims,omitempty"` // unexpired idempotency keys reserved at this registry
	// ReservationsAuthoritative reports whether this registry counts towards the majority that must grant a
	// reservation.
	ReservationsAuthoritative bool `json:"claims_count,omitempty"`
	// RefusedReservations counts the reservations refused: unauthorized peer, old incarnation, or limit reached.
	RefusedReservations uint64   `json:"refused_claims,omitempty"`
	ConflictingSettings []string `json:"odd,omitempty"`       // settings of other processes that contradict this registry's
	MayControlRollouts  bool     `json:"steers,omitempty"`    // this registry may be the rollout controller
	Sessions            uint32   `json:"sessions,omitempty"`  // open sessions of proxies at this registry
	FleetSize           uint32   `json:"members,omitempty"`   // proxies known to be alive
	StalenessKnown      bool     `json:"vouched,omitempty"`   // StalenessNanos is known
	StalenessNanos      int64    `json:"age_nanos,omitempty"` // nanoseconds since its configuration was known to be the newest
	Reachable           []string `json:"reached,omitempty"`   // other registries that this registry hears from
}

// Worker is a worker as described by the proxy beside it.
type Worker struct {
	Instance         string  `json:"instance,omitempty"` // id of the worker
	Service          string  `json:"service,omitempty"`
	Version          string  `json:"version,omitempty"`
	Zone             string  `json:"area,omitempty"`
	Load             float64 `json:"load,omitempty"`              // additional load that the worker reports
	Draining         bool    `json:"leaving,omitempty"`           // the worker accepts no new requests
	Terminated       bool    `json:"gone,omitempty"`              // the worker has ended
	UptimeNanos      int64   `json:"sound_since_nanos,omitempty"` // when the worker described itself, in nanoseconds; no program sets it
	Slots            uint32  `json:"slots,omitempty"`             // requests that the worker can execute at the same time; 0 if not stated
	WarmupLeftNanos  int64   `json:"warm_nanos,omitempty"`        // remaining slow start, in nanoseconds
	Running          uint32  `json:"running,omitempty"`           // requests that the worker executes now
	Queued           uint32  `json:"waiting,omitempty"`           // requests that wait at the worker and at its proxy
	ServiceTimeNanos int64   `json:"pace_nanos,omitempty"`        // moving mean of the execution time of a request, in nanoseconds; 0 if unknown
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

// CoreMembersOf converts members of the core to the form of the pages.
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

// ReplicaOf converts the status of a store to its page. It returns nil for nil.
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

// leaseOf converts a lease to the form of the pages. In a RegistryStatus, each Laggard is a lease, whether or not its
// proxy lags.
func leaseOf(lease *schema.Laggard) *Lease {
	return &Lease{
		Proxy:       lease.Proxy,
		Incarnation: lease.Incarnation,
		Applied:     lease.Applied,
		LeftNanos:   lease.LeaseLeftNanos,
	}
}

// RegistryOf converts the status of a registry to its page. It returns nil for nil.
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

// RegistriesOf converts the status of several registries to their pages.
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

// WorkersOf converts the workers beside a proxy to the form of the pages.
func WorkersOf(workers []*schema.Worker) []*Worker { return convertAll(workers, workerOf) }
