package registry

import (
	"sort"
	"time"
	"unique"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// ReservationOptions bound the claims of a registry.
type ReservationOptions struct {
	Lease           time.Duration
	Window          time.Duration // how long a claim stands
	MaxReservations int
	MemberCount     int
}

// reservationsPerPage is how many claims go into one page for a registry that restarted.
const reservationsPerPage = 4096

// ReservationTable is which idempotency keys are whose, as one registry has it. A key runs only for the
// request that a majority of registries gave it to. It is a step function of events and the
// time since the registry started; its caller guards it.
type ReservationTable struct {
	options           ReservationOptions
	byKey             map[string]*storedReservation
	byPosition        []*storedReservation // by place, and so by when they were taken
	lastPosition      uint64
	membersRead       map[string]bool // other seats whose claims were read whole, while they counted
	complete          bool            // nothing that was ever taken here can be missing
	newestIncarnation map[string]uint64

	// Refused counts claims of strangers, of old incarnations, and past the bound.
	Refused uint64
}

// storedReservation is a claim as it is kept: there are very many, and their names are few.
type storedReservation struct {
	key, bodyDigest, requestID                               string
	caller, proxy, instance, workerProxy, workerProxyAddress unique.Handle[string]
	incarnation, position                                    uint64
	expiresAt                                                time.Duration
	removed                                                  bool
}

// message is the claim as it is told to others.
func (h *storedReservation) message() *schema.KeyReservation {
	return &schema.KeyReservation{Key: []byte(h.key), BodyDigest: []byte(h.bodyDigest), Request: h.requestID, Caller: h.caller.Value(), Proxy: h.proxy.Value(), Incarnation: h.incarnation,
		Instance: h.instance.Value(), WorkerProxy: h.workerProxy.Value(), Address: h.workerProxyAddress.Value(), Position: h.position}
}

// NewReservationTable makes the claims of a registry that has just started.
func NewReservationTable(options ReservationOptions) *ReservationTable {
	return &ReservationTable{options: options, byKey: map[string]*storedReservation{}, membersRead: map[string]bool{}, newestIncarnation: map[string]uint64{}}
}

// MarkNeverUsed tells that no setup was ever stable, so no call was ever planned and no key claimed.
func (c *ReservationTable) MarkNeverUsed() { c.complete = true }

// IsAuthoritative tells whether this registry's word counts. One that started anew may have given
// claims that it forgot: it counts once it has read both others, or all it forgot has run out.
func (c *ReservationTable) IsAuthoritative(now time.Duration) bool {
	return c.complete || now >= c.options.Window
}

// RecoveryStartsAt is when the others may be read: by then every round has ended in which a claim
// given in an earlier life may still have been counted.
func (c *ReservationTable) RecoveryStartsAt() time.Duration {
	return session.ReservationRoundTimeout(c.options.Lease) + session.ReservationRoundTimeout(c.options.Lease)/session.RenewalsPerLease
}

func (c *ReservationTable) removeExpired(now time.Duration) {
	dropped := 0
	for _, stored := range c.byPosition {
		if !stored.removed && stored.expiresAt > now {
			break
		}
		c.remove(stored)
		dropped++
	}
	c.byPosition = c.byPosition[dropped:]
}

func (c *ReservationTable) remove(stored *storedReservation) {
	stored.removed = true
	if c.byKey[stored.key] == stored {
		delete(c.byKey, stored.key)
	}
}

func (c *ReservationTable) add(reservation *schema.KeyReservation, expiresAt time.Duration) {
	c.lastPosition++
	stored := &storedReservation{key: string(reservation.Key), bodyDigest: string(reservation.BodyDigest), requestID: reservation.Request, caller: unique.Make(reservation.Caller), proxy: unique.Make(reservation.Proxy),
		instance: unique.Make(reservation.Instance), workerProxy: unique.Make(reservation.WorkerProxy), workerProxyAddress: unique.Make(reservation.Address), incarnation: reservation.Incarnation, position: c.lastPosition, expiresAt: expiresAt}
	c.byKey[stored.key] = stored
	c.byPosition = append(c.byPosition, stored)
}

// Apply rules on a claim, or drops one whose taker proved that nothing ran.
func (c *ReservationTable) Apply(now time.Duration, reservation *schema.KeyReservation) *schema.ReservationReply {
	c.removeExpired(now)
	// A proxy that was restarted has nobody left who could run what its earlier life claimed.
	if reservation.Incarnation < c.newestIncarnation[reservation.Proxy] {
		c.Refused++
		return &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_STALE}
	}
	c.newestIncarnation[reservation.Proxy] = reservation.Incarnation
	existing := c.byKey[string(reservation.Key)]
	if reservation.Release {
		if existing != nil && existing.requestID == reservation.Request {
			c.remove(existing)
		}
		return &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_GRANTED}
	}
	switch {
	case existing != nil && existing.requestID == reservation.Request && c.IsAuthoritative(now):
		// The same request goes to another worker, having been proved not to have run before.
		c.remove(existing)
	case existing != nil && existing.requestID != reservation.Request:
		return &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_HELD, Holder: existing.message()}
	case !c.IsAuthoritative(now):
		return &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_NOT_AUTHORITATIVE}
	// A claim that stands is never forgotten to make room for another.
	case len(c.byKey) >= c.options.MaxReservations:
		c.Refused++
		return &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_FULL}
	}
	c.add(reservation, now+c.options.Window)
	return &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_GRANTED}
}

// Page gives the claims after a place, in order, to a registry that restarted.
func (c *ReservationTable) Page(now time.Duration, after uint64) *schema.ReservationsPage {
	c.removeExpired(now)
	page := &schema.ReservationsPage{Authoritative: c.IsAuthoritative(now)}
	from := sort.Search(len(c.byPosition), func(i int) bool { return c.byPosition[i].position > after })
	for _, stored := range c.byPosition[from:] {
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

// MergePage takes a page of another seat's claims. It counts from when both others have been read
// to the end, each while its own word counted.
func (c *ReservationTable) MergePage(now time.Duration, memberID string, page *schema.ReservationsPage) {
	for _, reservation := range page.Reservations {
		// Of two seats' claims to one key the first read stays: either way it does not run here.
		if c.byKey[string(reservation.Key)] == nil {
			c.add(reservation, now+min(time.Duration(reservation.RemainingNanos), c.options.Window))
		}
	}
	if page.Last && page.Authoritative {
		c.membersRead[memberID] = true
	}
	c.complete = c.complete || len(c.membersRead) >= c.options.MemberCount-1
}

// Len is how many claims stand.
func (c *ReservationTable) Len() int { return len(c.byKey) }
