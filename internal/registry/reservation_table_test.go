package registry

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

func newTestReservations(maxReservations int) *ReservationTable {
	return NewReservationTable(ReservationOptions{Lease: testLease, Window: 4 * testLease, MaxReservations: maxReservations, MemberCount: 3})
}

func reservationFor(key, request string, incarnation uint64) *schema.KeyReservation {
	return &schema.KeyReservation{Key: []byte(key), BodyDigest: []byte("b"), Request: request, Proxy: "p", Incarnation: incarnation}
}

// What a registry says to one claim after another, and what it counts.
func TestReservationTable(t *testing.T) {
	table := newTestReservations(2)
	table.MarkNeverUsed()
	drop := reservationFor("k", "r1", 5)
	drop.Release = true
	foreignDrop := reservationFor("k", "r9", 5)
	foreignDrop.Release = true
	for i, test := range []struct {
		at    time.Duration
		claim *schema.KeyReservation
		want  schema.ReservationResult
	}{
		{0, reservationFor("k", "r1", 5), schema.ReservationResult_RESERVATION_GRANTED},
		{0, reservationFor("k", "r1", 5), schema.ReservationResult_RESERVATION_GRANTED}, // the same request, moved to another worker
		{0, reservationFor("k", "r2", 5), schema.ReservationResult_RESERVATION_HELD},
		{0, foreignDrop, schema.ReservationResult_RESERVATION_GRANTED}, // lets nothing go that is not its own
		{0, reservationFor("k", "r2", 5), schema.ReservationResult_RESERVATION_HELD},
		{0, drop, schema.ReservationResult_RESERVATION_GRANTED},
		{0, reservationFor("k", "r2", 5), schema.ReservationResult_RESERVATION_GRANTED},
		{testLease, reservationFor("l", "r3", 5), schema.ReservationResult_RESERVATION_GRANTED},
		{testLease, reservationFor("m", "r4", 5), schema.ReservationResult_RESERVATION_FULL},         // none that stands is forgotten for it
		{testLease, reservationFor("m", "r4", 4), schema.ReservationResult_RESERVATION_STALE},        // of an earlier life of that proxy
		{4 * testLease, reservationFor("m", "r4", 5), schema.ReservationResult_RESERVATION_GRANTED},  // k has run out
		{4 * testLease, reservationFor("l", "r5", 5), schema.ReservationResult_RESERVATION_HELD},     // l has not
		{5 * testLease, reservationFor("l", "r5", 6), schema.ReservationResult_RESERVATION_GRANTED},  // and now it has
		{8 * testLease, reservationFor("m", "r6", 6), schema.ReservationResult_RESERVATION_GRANTED},  //
		{9 * testLease, reservationFor("n", "r7", 6), schema.ReservationResult_RESERVATION_GRANTED},  //
		{20 * testLease, reservationFor("o", "r8", 6), schema.ReservationResult_RESERVATION_GRANTED}, // all others have run out
	} {
		if got := table.Apply(test.at, test.claim); got.Result != test.want {
			t.Errorf("step %d: %v, want %v", i, got.Result, test.want)
		}
	}
	if table.Refused != 2 || table.Len() != 1 || len(table.byPosition) != 1 {
		t.Errorf("%d refused, %d held in %d places", table.Refused, table.Len(), len(table.byPosition))
	}
}

// A registry that restarted counts once it has read both others whole, each while its own word
// counted, or once all that it forgot has run out; and it then knows what they knew.
func TestReservationsAreRecovered(t *testing.T) {
	full := newTestReservations(3 * reservationsPerPage)
	full.MarkNeverUsed()
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
	if got := restarted.Apply(0, reservationFor("0", "other", 1)); got.Result != schema.ReservationResult_RESERVATION_NOT_AUTHORITATIVE {
		t.Errorf("a registry that knows nothing ruled %v", got.Result)
	}
	if pages := read("b", full); pages != 2 || restarted.IsAuthoritative(0) {
		t.Errorf("%d pages of one seat, and it counts: %v", pages, restarted.IsAuthoritative(0))
	}
	// The third is as young: its word does not help.
	if read("c", newTestReservations(8)); restarted.IsAuthoritative(0) {
		t.Error("a seat that does not count itself was counted on")
	}
	third := newTestReservations(8)
	third.MarkNeverUsed()
	if read("c", third); !restarted.IsAuthoritative(0) || restarted.Len() != reservationsPerPage+7 {
		t.Errorf("counts %v with %d claims", restarted.IsAuthoritative(0), restarted.Len())
	}
	if got := restarted.Apply(0, reservationFor("0", "other", 1)); got.Result != schema.ReservationResult_RESERVATION_HELD || got.Holder.Request != "r0" {
		t.Errorf("a claim that was read again was ruled %v", got)
	}
	// What is left of the window goes along: one lease of four had passed there.
	if got := restarted.Apply(3*testLease, reservationFor("0", "other", 1)); got.Result != schema.ReservationResult_RESERVATION_GRANTED {
		t.Errorf("a claim that ran out was ruled %v", got.Result)
	}
	if alone := newTestReservations(8); alone.IsAuthoritative(4*testLease-1) || !alone.IsAuthoritative(4*testLease) {
		t.Error("a registry that could read nobody counts too early or never")
	}
}

// A grant counts only if it came soon after it was asked for, and from a majority of seats.
func TestReservationRound(t *testing.T) {
	taken, held, full := &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_GRANTED}, &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_HELD, Holder: reservationFor("k", "other", 1)}, &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_FULL}
	reused := &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_HELD, Holder: &schema.KeyReservation{Key: []byte("k"), BodyDigest: []byte("another")}}
	type answer struct {
		at       time.Duration
		memberID string
		ruling   *schema.ReservationReply
	}
	bound := session.ReservationRoundTimeout(testLease)
	for name, test := range map[string]struct {
		answers []answer
		ended   bool
		want    session.ReservationOutcome
	}{
		"two of three":                     {[]answer{{0, "a", taken}, {0, "b", taken}}, false, session.ReservationGranted},
		"one seat twice":                   {[]answer{{0, "a", taken}, {0, "a", taken}}, false, session.ReservationPending},
		"one of three, no more to come":    {[]answer{{0, "a", taken}}, true, session.ReservationNoMajority},
		"two, one too late":                {[]answer{{0, "a", taken}, {bound + 1, "b", taken}}, true, session.ReservationNoMajority},
		"held by one, a majority besides":  {[]answer{{0, "a", held}, {0, "b", taken}, {0, "c", taken}}, false, session.ReservationGranted},
		"held by one, the third may speak": {[]answer{{0, "a", held}, {0, "b", taken}}, false, session.ReservationPending},
		"held by two":                      {[]answer{{0, "a", held}, {0, "b", held}}, false, session.ReservationConflict},
		"held with another body":           {[]answer{{0, "a", reused}, {0, "b", reused}}, false, session.ReservationKeyReused},
		"full":                             {[]answer{{0, "a", full}, {0, "b", full}}, false, session.ReservationNoCapacity},
	} {
		round := session.NewReservationRound(reservationFor("k", "mine", 1), 3, 0, bound)
		for _, ruling := range test.answers {
			round.Record(ruling.at, ruling.memberID, ruling.ruling)
		}
		if got := round.Outcome(test.ended); got != test.want {
			t.Errorf("%s: verdict %v, want %v", name, got, test.want)
		}
	}
}
