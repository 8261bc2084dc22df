package registry

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// newTestReservations returns an empty table of a core of three, in which a reservation is valid for four leases.
func newTestReservations(maxReservations int) *ReservationTable {
	return NewReservationTable(ReservationOptions{
		Lease:           testLease,
		Window:          4 * testLease,
		MaxReservations: maxReservations,
		MemberCount:     3,
	})
}

// reservationFor returns the reservation of a key for a request by an incarnation of proxy p.
func reservationFor(key, request string, incarnation uint64) *schema.KeyReservation {
	return &schema.KeyReservation{
		Key:         []byte(key),
		BodyDigest:  []byte("b"),
		Request:     request,
		Proxy:       "p",
		Incarnation: incarnation,
	}
}

// TestReservationHoldsKeyUntilReleaseOrExpiry checks that a reservation holds its key until its owner releases it or it
// expires. It applies a sequence of reservations to a table with room for two. It also checks how many of them count as
// refused.
func TestReservationHoldsKeyUntilReleaseOrExpiry(t *testing.T) {
	table := newTestReservations(2)
	table.SetNeverUsed()
	release := reservationFor("k", "r1", 5)
	release.Release = true
	foreignRelease := reservationFor("k", "r9", 5)
	foreignRelease.Release = true
	const (
		granted = schema.ReservationResult_RESERVATION_GRANTED
		held    = schema.ReservationResult_RESERVATION_HELD
		full    = schema.ReservationResult_RESERVATION_FULL
		stale   = schema.ReservationResult_RESERVATION_STALE
	)
	for i, step := range []struct {
		name        string
		at          time.Duration
		reservation *schema.KeyReservation
		want        schema.ReservationResult
	}{
		{"new key k", 0, reservationFor("k", "r1", 5), granted},
		{"k again by its owner, for another worker", 0, reservationFor("k", "r1", 5), granted},
		{"k by another request", 0, reservationFor("k", "r2", 5), held},
		{"release of k by a request that does not own it", 0, foreignRelease, granted},
		{"k by another request, after that release", 0, reservationFor("k", "r2", 5), held},
		{"release of k by its owner", 0, release, granted},
		{"k by another request, after its release", 0, reservationFor("k", "r2", 5), granted},
		{"second key l", testLease, reservationFor("l", "r3", 5), granted},
		{"third key m, while k and l are valid", testLease, reservationFor("m", "r4", 5), full},
		{"m by an earlier incarnation of the proxy", testLease, reservationFor("m", "r4", 4), stale},
		{"m, after k has expired", 4 * testLease, reservationFor("m", "r4", 5), granted},
		{"l by another request, before it has expired", 4 * testLease, reservationFor("l", "r5", 5), held},
		{"l by another request, after it has expired", 5 * testLease, reservationFor("l", "r5", 6), granted},
		{"m by another request, after it has expired", 8 * testLease, reservationFor("m", "r6", 6), granted},
		{"new key n, after l has expired again", 9 * testLease, reservationFor("n", "r7", 6), granted},
		{"new key o, after all others have expired", 20 * testLease, reservationFor("o", "r8", 6), granted},
	} {
		// The steps build on each other, so they are not subtests.
		if got := table.Apply(step.at, step.reservation); got.Result != step.want {
			t.Errorf("step %d, %s: Apply: got %v, want %v", i, step.name, got.Result, step.want)
		}
	}
	if table.Refused != 2 || table.Len() != 1 || len(table.byPosition) != 1 {
		t.Errorf("after all steps: got %d refused, %d valid, %d positions, want 2 refused, 1 valid, 1 position",
			table.Refused, table.Len(), len(table.byPosition))
	}
}

// TestReservationsAreRecovered checks that a restarted registry becomes authoritative once it has read the whole
// tables of both other members, each while that one was authoritative, or once all reservations that it lost have
// expired. It then has the reservations that the others had.
func TestReservationsAreRecovered(t *testing.T) {
	full := newTestReservations(3 * reservationsPerPage)
	full.SetNeverUsed()
	for i := range reservationsPerPage + 7 {
		full.Apply(testLease, reservationFor(fmt.Sprint(i), fmt.Sprint("r", i), 1))
	}
	restarted := newTestReservations(3 * reservationsPerPage)
	read := func(memberID string, from *ReservationTable) (pages int) {
		for after, last := uint64(0), false; !last; pages++ {
			page := from.Page(2*testLease, after)
			restarted.MergePage(0, memberID, page)
			if last = page.Last; !last {
				after = page.Reservations[len(page.Reservations)-1].Position
			}
		}
		return pages
	}
	got := restarted.Apply(0, reservationFor("0", "other", 1))
	if got.Result != schema.ReservationResult_RESERVATION_NOT_AUTHORITATIVE {
		t.Errorf("Apply before any table was read: got %v, want %v",
			got.Result, schema.ReservationResult_RESERVATION_NOT_AUTHORITATIVE)
	}
	if pages := read("b", full); pages != 2 || restarted.IsAuthoritative(0) {
		t.Errorf("after reading one of two members: got %d pages, authoritative %v, want 2 pages, authoritative false",
			pages, restarted.IsAuthoritative(0))
	}
	// The third member has restarted too, so it is not authoritative itself.
	if read("c", newTestReservations(8)); restarted.IsAuthoritative(0) {
		t.Error("after reading a member that is not authoritative: got authoritative true, want false")
	}
	third := newTestReservations(8)
	third.SetNeverUsed()
	if read("c", third); !restarted.IsAuthoritative(0) || restarted.Len() != reservationsPerPage+7 {
		t.Errorf("after reading both members: got authoritative %v, %d reservations, want authoritative true, %d reservations",
			restarted.IsAuthoritative(0), restarted.Len(), reservationsPerPage+7)
	}
	got = restarted.Apply(0, reservationFor("0", "other", 1))
	if got.Result != schema.ReservationResult_RESERVATION_HELD || got.Holder.Request != "r0" {
		t.Errorf("Apply for a key with a recovered reservation: got %v, want it held by request r0", got)
	}
	// The remaining validity is recovered too: one lease of the window of four had passed at the other member.
	got = restarted.Apply(3*testLease, reservationFor("0", "other", 1))
	if got.Result != schema.ReservationResult_RESERVATION_GRANTED {
		t.Errorf("Apply for a key whose recovered reservation has expired: got %v, want a grant", got)
	}
	alone := newTestReservations(8)
	if alone.IsAuthoritative(4*testLease - 1) {
		t.Error("registry that read no other, before a reservation window has passed: got authoritative true, want false")
	}
	if !alone.IsAuthoritative(4 * testLease) {
		t.Error("registry that read no other, after a reservation window: got authoritative false, want true")
	}
}

// TestReservationNeedsMajorityInTime checks that a grant counts only if its reply arrived in time, and that a request
// owns a key only with grants from a majority of the members.
func TestReservationNeedsMajorityInTime(t *testing.T) {
	granted := &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_GRANTED}
	full := &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_FULL}
	held := &schema.ReservationReply{
		Result: schema.ReservationResult_RESERVATION_HELD,
		Holder: reservationFor("k", "other", 1),
	}
	reused := &schema.ReservationReply{
		Result: schema.ReservationResult_RESERVATION_HELD,
		Holder: &schema.KeyReservation{Key: []byte("k"), BodyDigest: []byte("another")},
	}
	type timedReply struct {
		at       time.Duration // when the reply arrived
		memberID string
		reply    *schema.ReservationReply
	}
	timeout := session.ReservationAttemptTimeout(testLease)
	for name, test := range map[string]struct {
		replies []timedReply
		ended   bool // whether no more replies can arrive
		want    session.ReservationOutcome
	}{
		"granted by two of three": {
			[]timedReply{{0, "a", granted}, {0, "b", granted}},
			false, session.ReservationGranted,
		},
		"granted twice by one member": {
			[]timedReply{{0, "a", granted}, {0, "a", granted}},
			false, session.ReservationPending,
		},
		"granted by one of three, ended": {
			[]timedReply{{0, "a", granted}},
			true, session.ReservationNoMajority,
		},
		"second of two grants too late, ended": {
			[]timedReply{{0, "a", granted}, {timeout + 1, "b", granted}},
			true, session.ReservationNoMajority,
		},
		"held by one, granted by two": {
			[]timedReply{{0, "a", held}, {0, "b", granted}, {0, "c", granted}},
			false, session.ReservationGranted,
		},
		"held by one, third reply missing": {
			[]timedReply{{0, "a", held}, {0, "b", granted}},
			false, session.ReservationPending,
		},
		"held by two": {
			[]timedReply{{0, "a", held}, {0, "b", held}},
			false, session.ReservationConflict,
		},
		"held with another body digest": {
			[]timedReply{{0, "a", reused}, {0, "b", reused}},
			false, session.ReservationKeyReused,
		},
		"two tables full": {
			[]timedReply{{0, "a", full}, {0, "b", full}},
			false, session.ReservationNoCapacity,
		},
	} {
		t.Run(name, func(t *testing.T) {
			attempt := session.NewReservationAttempt(reservationFor("k", "mine", 1), 3, 0, timeout)
			for _, received := range test.replies {
				attempt.Record(received.at, received.memberID, received.reply)
			}
			if got := attempt.Outcome(test.ended); got != test.want {
				t.Errorf("Outcome(%v): got %v, want %v", test.ended, got, test.want)
			}
		})
	}
}
