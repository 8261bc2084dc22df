package registry

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

func newTestReservations(maxReservations int) *ReservationTable {
	return NewReservationTable(ReservationOptions{
		Lease:           testLease,
		Window:          4 * testLease,
		MaxReservations: maxReservations,
		MemberCount:     3,
	})
}

func reservationFor(key, request string, incarnation uint64) *schema.KeyReservation {
	return &schema.KeyReservation{
		Key:         []byte(key),
		BodyDigest:  []byte("b"),
		Request:     request,
		Proxy:       "p",
		Incarnation: incarnation,
	}
}

// The results of one reservation after another at a table with room for two, and which of them count as refused.
func TestReservationTable(t *testing.T) {
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
		{"a new key", 0, reservationFor("k", "r1", 5), granted},
		{"the same request, sent to another worker", 0, reservationFor("k", "r1", 5), granted},
		{"another request", 0, reservationFor("k", "r2", 5), held},
		{"a release by a request that does not own the key", 0, foreignRelease, granted},
		{"it released nothing", 0, reservationFor("k", "r2", 5), held},
		{"a release by the owner", 0, release, granted},
		{"a released key", 0, reservationFor("k", "r2", 5), granted},
		{"a second key", testLease, reservationFor("l", "r3", 5), granted},
		{"a third, while both are valid", testLease, reservationFor("m", "r4", 5), full},
		{"an earlier incarnation of the proxy", testLease, reservationFor("m", "r4", 4), stale},
		{"the third, once k has expired", 4 * testLease, reservationFor("m", "r4", 5), granted},
		{"l has not expired", 4 * testLease, reservationFor("l", "r5", 5), held},
		{"l has expired", 5 * testLease, reservationFor("l", "r5", 6), granted},
		{"m has expired", 8 * testLease, reservationFor("m", "r6", 6), granted},
		{"l has expired again", 9 * testLease, reservationFor("n", "r7", 6), granted},
		{"all others have expired", 20 * testLease, reservationFor("o", "r8", 6), granted},
	} {
		// The steps build on each other, so they are not subtests.
		if got := table.Apply(step.at, step.reservation); got.Result != step.want {
			t.Errorf("step %d, %s: %v, want %v", i, step.name, got.Result, step.want)
		}
	}
	if table.Refused != 2 || table.Len() != 1 || len(table.byPosition) != 1 {
		t.Errorf("%d refused, %d valid at %d positions", table.Refused, table.Len(), len(table.byPosition))
	}
}

// A registry that restarted is authoritative once it has read both others to the end, each while that one was authoritative, or
// once all that it lost has expired; and it then knows what they knew.
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
		t.Errorf("a registry that knows nothing replied %v", got.Result)
	}
	if pages := read("b", full); pages != 2 || restarted.IsAuthoritative(0) {
		t.Errorf("after %d pages of one member, authoritative is %v", pages, restarted.IsAuthoritative(0))
	}
	// The third member has restarted too, and is not authoritative itself.
	if read("c", newTestReservations(8)); restarted.IsAuthoritative(0) {
		t.Error("a member that is not authoritative was counted")
	}
	third := newTestReservations(8)
	third.SetNeverUsed()
	if read("c", third); !restarted.IsAuthoritative(0) || restarted.Len() != reservationsPerPage+7 {
		t.Errorf("authoritative is %v with %d reservations", restarted.IsAuthoritative(0), restarted.Len())
	}
	got = restarted.Apply(0, reservationFor("0", "other", 1))
	if got.Result != schema.ReservationResult_RESERVATION_HELD || got.Holder.Request != "r0" {
		t.Errorf("a key whose reservation was recovered: %v", got)
	}
	// What is left of the window is recovered too: one lease of four had passed at the other member.
	got = restarted.Apply(3*testLease, reservationFor("0", "other", 1))
	if got.Result != schema.ReservationResult_RESERVATION_GRANTED {
		t.Errorf("a key whose recovered reservation has expired: %v", got)
	}
	if alone := newTestReservations(8); alone.IsAuthoritative(4*testLease-1) || !alone.IsAuthoritative(4*testLease) {
		t.Error("a registry that could read nobody is authoritative too early or never")
	}
}

// A grant counts only if its reply came in time, and only the grants of a majority of members own the key.
func TestReservationAttempt(t *testing.T) {
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
	type answer struct {
		at       time.Duration
		memberID string
		reply    *schema.ReservationReply
	}
	timeout := session.ReservationAttemptTimeout(testLease)
	for name, test := range map[string]struct {
		answers []answer
		ended   bool
		want    session.ReservationOutcome
	}{
		"two of three":                      {[]answer{{0, "a", granted}, {0, "b", granted}}, false, session.ReservationGranted},
		"one member twice":                  {[]answer{{0, "a", granted}, {0, "a", granted}}, false, session.ReservationPending},
		"one of three, no more to come":     {[]answer{{0, "a", granted}}, true, session.ReservationNoMajority},
		"two, one too late":                 {[]answer{{0, "a", granted}, {timeout + 1, "b", granted}}, true, session.ReservationNoMajority},
		"held by one, a majority besides":   {[]answer{{0, "a", held}, {0, "b", granted}, {0, "c", granted}}, false, session.ReservationGranted},
		"held by one, the third may answer": {[]answer{{0, "a", held}, {0, "b", granted}}, false, session.ReservationPending},
		"held by two":                       {[]answer{{0, "a", held}, {0, "b", held}}, false, session.ReservationConflict},
		"held with another body":            {[]answer{{0, "a", reused}, {0, "b", reused}}, false, session.ReservationKeyReused},
		"full":                              {[]answer{{0, "a", full}, {0, "b", full}}, false, session.ReservationNoCapacity},
	} {
		t.Run(name, func(t *testing.T) {
			round := session.NewReservationAttempt(reservationFor("k", "mine", 1), 3, 0, timeout)
			for _, answer := range test.answers {
				round.Record(answer.at, answer.memberID, answer.reply)
			}
			if got := round.Outcome(test.ended); got != test.want {
				t.Errorf("outcome %v, want %v", got, test.want)
			}
		})
	}
}
