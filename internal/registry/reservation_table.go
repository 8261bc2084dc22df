package registry

import (
	"sort"
	"time"
	"unique"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// ReservationOptions bound a ReservationTable.
type ReservationOptions struct {
	Lease           time.Duration
	Window          time.Duration // how long a reservation is valid
	MaxReservations int           // further ones are refused
	MemberCount     int           // members of the core, this one included
}

// reservationsPerPage is how many reservations go into one page for a registry that restarted.
const reservationsPerPage = 4096

// ReservationTable is which request owns which idempotency key, as one registry has it. A key runs only for the request to which
// a majority of registries granted it. Like FleetState it is a step function of events and of the time since the registry
// started. It is not safe for concurrent use; in a server sharedState.lock guards it.
type ReservationTable struct {
	options           ReservationOptions
	byKey             map[string]*storedReservation
	byPosition        []*storedReservation // in the order in which they were added, nearly that in which they expire; with removed ones
	lastPosition      uint64
	membersRead       map[string]bool   // other members whose reservations were read to the end while they were authoritative
	complete          bool              // no reservation granted here, in any incarnation of this registry, can be missing
	newestIncarnation map[string]uint64 // of each proxy that made a reservation

	// Refused counts reservations refused to unauthorized peers, to old incarnations, and for lack of room.
	Refused uint64
}

// storedReservation is a reservation as it is stored. There may be very many, with few different names: the names are interned.
type storedReservation struct {
	key                string
	bodyDigest         string
	requestID          string
	caller             unique.Handle[string]
	proxy              unique.Handle[string]
	instance           unique.Handle[string]
	workerProxy        unique.Handle[string]
	workerProxyAddress unique.Handle[string]
	incarnation        uint64
	position           uint64
	expiresAt          time.Duration
	removed            bool // from byKey; its entry in byPosition stays until it is the first
}

// message is the reservation in its form on the wire.
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

// NewReservationTable makes the table of a registry that has just started.
func NewReservationTable(options ReservationOptions) *ReservationTable {
	return &ReservationTable{
		options:           options,
		byKey:             map[string]*storedReservation{},
		membersRead:       map[string]bool{},
		newestIncarnation: map[string]uint64{},
	}
}

// SetNeverUsed records that no configuration was ever committed, so no call was ever planned and no key reserved.
func (r *ReservationTable) SetNeverUsed() { r.complete = true }

// IsAuthoritative tells whether this registry's replies count. After a restart it may have granted reservations that it lost:
// it counts once it has read the reservations of all other members, or once all that it lost have expired.
func (r *ReservationTable) IsAuthoritative(now time.Duration) bool {
	return r.complete || now >= r.options.Window
}

// RecoveryStartsAt is when the other registries' tables may be read. By then every reservation round has ended in which a grant
// of this registry's earlier incarnation may still have been counted.
func (r *ReservationTable) RecoveryStartsAt() time.Duration {
	roundTimeout := session.ReservationAttemptTimeout(r.options.Lease)
	return roundTimeout + roundTimeout/session.RenewalsPerLease
}

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

func (r *ReservationTable) remove(stored *storedReservation) {
	stored.removed = true
	if r.byKey[stored.key] == stored {
		delete(r.byKey, stored.key)
	}
}

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

// Apply grants or refuses a reservation, or releases one whose owner has proof that its request was not executed.
func (r *ReservationTable) Apply(now time.Duration, reservation *schema.KeyReservation) *schema.ReservationReply {
	r.removeExpired(now)
	// After a proxy restarted, nothing is left that could execute the reservations of its earlier incarnation.
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
		// The same request goes to another worker, with proof that the first one did not execute it.
		r.remove(existing)
	case existing != nil && !owned:
		return &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_HELD, Holder: existing.message()}
	case !r.IsAuthoritative(now):
		return &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_NOT_AUTHORITATIVE}
	// A valid reservation is never dropped to make room for another.
	case len(r.byKey) >= r.options.MaxReservations:
		r.Refused++
		return &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_FULL}
	}
	r.add(reservation, now+r.options.Window)
	return &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_GRANTED}
}

// Page gives the reservations after a position, in order, to a registry that restarted. Page.Last is false only if the page is
// full, so a page that is not the last one has reservations.
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

// MergePage adds a page of another member's reservations. Once the pages of all other members have been merged to the last one,
// each from a registry that was authoritative, this one is authoritative too.
func (r *ReservationTable) MergePage(now time.Duration, memberID string, page *schema.ReservationsPage) {
	for _, reservation := range page.Reservations {
		// Of two members' reservations of one key the first stays. Either one keeps the key from being granted here.
		if r.byKey[string(reservation.Key)] == nil {
			r.add(reservation, now+min(time.Duration(reservation.RemainingNanos), r.options.Window))
		}
	}
	if page.Last && page.Authoritative {
		r.membersRead[memberID] = true
	}
	r.complete = r.complete || len(r.membersRead) >= r.options.MemberCount-1
}

// Len is the number of valid reservations.
func (r *ReservationTable) Len() int { return len(r.byKey) }
