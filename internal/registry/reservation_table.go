package registry

import (
	"sort"
	"time"
	"unique"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// ReservationOptions are the limits of a ReservationTable.
type ReservationOptions struct {
	Lease           time.Duration // lease duration, from which RecoveryStartsAt is derived
	Window          time.Duration // how long a reservation is valid
	MaxReservations int           // most valid reservations; further ones are refused
	MemberCount     int           // number of core members, including this one
}

// reservationsPerPage is the most reservations in one page that a recovering registry reads.
const reservationsPerPage = 4096

// ReservationTable is one registry's table of idempotency keys and the requests for which they are reserved. A
// request may be executed under a key only if a majority of the registries granted it the reservation. Like
// FleetState, the table is a step function of events and of the time since the registry started. It is not safe for
// concurrent use; in a server sharedState.lock guards it.
type ReservationTable struct {
	options ReservationOptions
	byKey   map[string]*storedReservation // valid reservations by key
	// byPosition has the reservations in the order in which they were added, which is nearly the order in which they
	// expire. Removed ones stay in it until removeExpired reaches them.
	byPosition   []*storedReservation
	lastPosition uint64          // position of the newest reservation; zero for none
	membersRead  map[string]bool // other members whose tables were read to the last page while authoritative, by id
	// complete is true if the table cannot lack a valid reservation that this member granted, even before a restart.
	complete          bool
	newestIncarnation map[string]uint64 // highest incarnation that made a reservation, by proxy

	// Refused counts the reservations refused because the peer was not authorized, its incarnation was outdated, or the
	// table was full. Apply counts the last two; the caller adds those of unauthorized peers, which it does not apply.
	Refused uint64
}

// storedReservation is a reservation as the table stores it. Tables can be large with few distinct names, so the
// names are interned.
type storedReservation struct {
	key                string
	bodyDigest         string                // digest of the request's body
	requestID          string                // request that owns the key
	caller             unique.Handle[string] // service that sent the request
	proxy              unique.Handle[string] // proxy that made the reservation
	instance           unique.Handle[string] // worker instance to which the request is sent
	workerProxy        unique.Handle[string] // proxy of that worker
	workerProxyAddress unique.Handle[string] // address of workerProxy
	incarnation        uint64                // incarnation of proxy
	position           uint64                // position in the order of addition, from 1
	expiresAt          time.Duration         // time of the reservation's end, counted from the start of the registry
	removed            bool                  // no longer in byKey; its entry in byPosition is dropped by removeExpired
}

// message returns the reservation as a wire message.
func (s *storedReservation) message() *schema.KeyReservation {
	return &schema.KeyReservation{
		Key:         []byte(s.key),
		BodyDigest:  []byte(s.bodyDigest),
		Request:     s.requestID,
		Caller:      s.caller.Value(),
		Proxy:       s.proxy.Value(),
		Incarnation: s.incarnation,
		Instance:    s.instance.Value(),
		WorkerProxy: s.workerProxy.Value(),
		Address:     s.workerProxyAddress.Value(),
		Position:    s.position,
	}
}

// NewReservationTable returns the empty table of a registry that has just started.
func NewReservationTable(options ReservationOptions) *ReservationTable {
	return &ReservationTable{
		options:           options,
		byKey:             map[string]*storedReservation{},
		membersRead:       map[string]bool{},
		newestIncarnation: map[string]uint64{},
	}
}

// SetNeverUsed records that no configuration was ever committed. Without one, no call was ever routed and no key
// reserved, so the table is complete.
func (r *ReservationTable) SetNeverUsed() { r.complete = true }

// IsAuthoritative reports whether this registry may grant reservations. A restarted registry has lost the reservations
// that it granted before. It becomes authoritative once it has read the tables of all other members, or once the lost
// reservations have expired.
func (r *ReservationTable) IsAuthoritative(now time.Duration) bool {
	return r.complete || now >= r.options.Window
}

// RecoveryStartsAt returns the time, counted from the start of the registry, from which the other registries' tables
// may be read. By then every reservation attempt has ended that may have counted a grant from before this registry's
// restart. The time is the timeout of an attempt with a margin of that timeout divided by session.RenewalsPerLease.
func (r *ReservationTable) RecoveryStartsAt() time.Duration {
	attemptTimeout := session.ReservationAttemptTimeout(r.options.Lease)
	return attemptTimeout + attemptTimeout/session.RenewalsPerLease
}

// removeExpired drops the reservations at the head of byPosition that are removed or have expired, up to the first
// valid one.
func (r *ReservationTable) removeExpired(now time.Duration) {
	dropped := 0
	for _, stored := range r.byPosition {
		if !stored.removed && stored.expiresAt > now {
			break
		}
		r.remove(stored)
		dropped++
	}
	r.byPosition = r.byPosition[dropped:]
}

// remove removes a reservation from byKey, unless another one has taken its key.
func (r *ReservationTable) remove(stored *storedReservation) {
	stored.removed = true
	if r.byKey[stored.key] == stored {
		delete(r.byKey, stored.key)
	}
}

// add stores a reservation at the next position.
func (r *ReservationTable) add(reservation *schema.KeyReservation, expiresAt time.Duration) {
	r.lastPosition++
	stored := &storedReservation{
		key:                string(reservation.Key),
		bodyDigest:         string(reservation.BodyDigest),
		requestID:          reservation.Request,
		caller:             unique.Make(reservation.Caller),
		proxy:              unique.Make(reservation.Proxy),
		instance:           unique.Make(reservation.Instance),
		workerProxy:        unique.Make(reservation.WorkerProxy),
		workerProxyAddress: unique.Make(reservation.Address),
		incarnation:        reservation.Incarnation,
		position:           r.lastPosition,
		expiresAt:          expiresAt,
	}
	r.byKey[stored.key] = stored
	r.byPosition = append(r.byPosition, stored)
}

// Apply grants or refuses a reservation. If reservation.Release is set, it instead releases the key, which the owner
// requests when it has proof that its request was not executed. Releasing a key that another request owns has no
// effect.
func (r *ReservationTable) Apply(now time.Duration, reservation *schema.KeyReservation) *schema.ReservationReply {
	r.removeExpired(now)
	// After a proxy has restarted, nothing can execute a request under reservations of its earlier incarnation.
	if reservation.Incarnation < r.newestIncarnation[reservation.Proxy] {
		r.Refused++
		return &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_STALE}
	}
	r.newestIncarnation[reservation.Proxy] = reservation.Incarnation
	existing := r.byKey[string(reservation.Key)]
	owned := existing != nil && existing.requestID == reservation.Request
	if reservation.Release {
		if owned {
			r.remove(existing)
		}
		return &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_GRANTED}
	}
	switch {
	case owned && r.IsAuthoritative(now):
		// The request is retried on another worker, with proof that the first one did not execute it.
		r.remove(existing)
	case existing != nil && !owned:
		return &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_HELD, Holder: existing.message()}
	case !r.IsAuthoritative(now):
		return &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_NOT_AUTHORITATIVE}
	// A valid reservation is never evicted to make room for another.
	case len(r.byKey) >= r.options.MaxReservations:
		r.Refused++
		return &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_FULL}
	}
	r.add(reservation, now+r.options.Window)
	return &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_GRANTED}
}

// Page returns the reservations after a position, in the order of positions, for a registry that restarted. Every page
// before the last one has reservationsPerPage reservations, so only the last page can be empty.
func (r *ReservationTable) Page(now time.Duration, after uint64) *schema.ReservationsPage {
	r.removeExpired(now)
	page := &schema.ReservationsPage{Authoritative: r.IsAuthoritative(now)}
	from := sort.Search(len(r.byPosition), func(i int) bool { return r.byPosition[i].position > after })
	for _, stored := range r.byPosition[from:] {
		if len(page.Reservations) == reservationsPerPage {
			return page
		}
		if stored.removed {
			continue
		}
		message := stored.message()
		message.RemainingNanos = int64(stored.expiresAt - now)
		page.Reservations = append(page.Reservations, message)
	}
	page.Last = true
	return page
}

// MergePage adds a page of another member's reservations. The table becomes complete once the last pages of all other
// members have been merged, each sent by a registry that was authoritative.
func (r *ReservationTable) MergePage(now time.Duration, memberID string, page *schema.ReservationsPage) {
	for _, reservation := range page.Reservations {
		// If two members have different reservations of a key, the first one merged stays: either prevents the key from
		// being granted here to another request.
		if r.byKey[string(reservation.Key)] == nil {
			r.add(reservation, now+min(time.Duration(reservation.RemainingNanos), r.options.Window))
		}
	}
	if page.Last && page.Authoritative {
		r.membersRead[memberID] = true
	}
	r.complete = r.complete || len(r.membersRead) >= r.options.MemberCount-1
}

// Len returns the number of stored reservations. Expired ones count until the next call of Apply or Page.
func (r *ReservationTable) Len() int { return len(r.byKey) }
