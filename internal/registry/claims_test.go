package registry

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

func claims(most int) *Claims {
	return NewClaims(ClaimsOptions{Lease: span, Window: 4 * span, Most: most, Seats: 3})
}

func claimed(key, request string, incarnation uint64) *schema.Claim {
	return &schema.Claim{Key: []byte(key), Body: []byte("b"), Request: request, Proxy: "p", Incarnation: incarnation}
}

// What a registry says to one claim after another, and what it counts.
func TestClaimsTable(t *testing.T) {
	table := claims(2)
	table.Unused()
	drop := claimed("k", "r1", 5)
	drop.Drop = true
	strange := claimed("k", "r9", 5)
	strange.Drop = true
	for i, one := range []struct {
		at    time.Duration
		claim *schema.Claim
		want  schema.Ruled
	}{
		{0, claimed("k", "r1", 5), schema.Ruled_RULED_TAKEN},
		{0, claimed("k", "r1", 5), schema.Ruled_RULED_TAKEN}, // the same request, moved to another worker
		{0, claimed("k", "r2", 5), schema.Ruled_RULED_HELD},
		{0, strange, schema.Ruled_RULED_TAKEN}, // lets nothing go that is not its own
		{0, claimed("k", "r2", 5), schema.Ruled_RULED_HELD},
		{0, drop, schema.Ruled_RULED_TAKEN},
		{0, claimed("k", "r2", 5), schema.Ruled_RULED_TAKEN},
		{span, claimed("l", "r3", 5), schema.Ruled_RULED_TAKEN},
		{span, claimed("m", "r4", 5), schema.Ruled_RULED_FULL},       // none that stands is forgotten for it
		{span, claimed("m", "r4", 4), schema.Ruled_RULED_STALE},      // of an earlier life of that proxy
		{4 * span, claimed("m", "r4", 5), schema.Ruled_RULED_TAKEN},  // k has run out
		{4 * span, claimed("l", "r5", 5), schema.Ruled_RULED_HELD},   // l has not
		{5 * span, claimed("l", "r5", 6), schema.Ruled_RULED_TAKEN},  // and now it has
		{8 * span, claimed("m", "r6", 6), schema.Ruled_RULED_TAKEN},  //
		{9 * span, claimed("n", "r7", 6), schema.Ruled_RULED_TAKEN},  //
		{20 * span, claimed("o", "r8", 6), schema.Ruled_RULED_TAKEN}, // all others have run out
	} {
		if got := table.Take(one.at, one.claim); got.Ruled != one.want {
			t.Errorf("step %d: %v, want %v", i, got.Ruled, one.want)
		}
	}
	if table.Refused != 2 || table.Held() != 1 || len(table.order) != 1 {
		t.Errorf("%d refused, %d held in %d places", table.Refused, table.Held(), len(table.order))
	}
}

// A registry that restarted counts once it has read both others whole, each while its own word
// counted, or once all that it forgot has run out; and it then knows what they knew.
func TestClaimsAreReadAgain(t *testing.T) {
	full := claims(3 * pageMost)
	full.Unused()
	for i := range pageMost + 7 {
		full.Take(span, claimed(fmt.Sprint(i), fmt.Sprint("r", i), 1))
	}
	young := claims(3 * pageMost)
	read := func(seat string, from *Claims) (pages int) {
		for after, last := uint64(0), false; !last; pages++ {
			page := from.Page(2*span, after)
			young.Fill(0, seat, page)
			if last = page.Last; !last {
				after = page.Claims[len(page.Claims)-1].Place
			}
		}
		return pages
	}
	if got := young.Take(0, claimed("0", "other", 1)); got.Ruled != schema.Ruled_RULED_UNCOUNTED {
		t.Errorf("a registry that knows nothing ruled %v", got.Ruled)
	}
	if pages := read("b", full); pages != 2 || young.Counts(0) {
		t.Errorf("%d pages of one seat, and it counts: %v", pages, young.Counts(0))
	}
	// The third is as young: its word does not help.
	if read("c", claims(8)); young.Counts(0) {
		t.Error("a seat that does not count itself was counted on")
	}
	third := claims(8)
	third.Unused()
	if read("c", third); !young.Counts(0) || young.Held() != pageMost+7 {
		t.Errorf("counts %v with %d claims", young.Counts(0), young.Held())
	}
	if got := young.Take(0, claimed("0", "other", 1)); got.Ruled != schema.Ruled_RULED_HELD || got.Held.Request != "r0" {
		t.Errorf("a claim that was read again was ruled %v", got)
	}
	// What is left of the window goes along: one lease of four had passed there.
	if got := young.Take(3*span, claimed("0", "other", 1)); got.Ruled != schema.Ruled_RULED_TAKEN {
		t.Errorf("a claim that ran out was ruled %v", got.Ruled)
	}
	if alone := claims(8); alone.Counts(4*span-1) || !alone.Counts(4*span) {
		t.Error("a registry that could read nobody counts too early or never")
	}
}

// A grant counts only if it came soon after it was asked for, and from a majority of seats.
func TestClaiming(t *testing.T) {
	taken, held, full := &schema.Claimed{Ruled: schema.Ruled_RULED_TAKEN}, &schema.Claimed{Ruled: schema.Ruled_RULED_HELD, Held: claimed("k", "other", 1)}, &schema.Claimed{Ruled: schema.Ruled_RULED_FULL}
	reused := &schema.Claimed{Ruled: schema.Ruled_RULED_HELD, Held: &schema.Claim{Key: []byte("k"), Body: []byte("another")}}
	type word struct {
		at   time.Duration
		seat string
		said *schema.Claimed
	}
	bound := session.ClaimBound(span)
	for name, one := range map[string]struct {
		words []word
		ended bool
		want  session.ClaimVerdict
	}{
		"two of three":                     {[]word{{0, "a", taken}, {0, "b", taken}}, false, session.ClaimWon},
		"one seat twice":                   {[]word{{0, "a", taken}, {0, "a", taken}}, false, session.ClaimOpen},
		"one of three, no more to come":    {[]word{{0, "a", taken}}, true, session.ClaimLost},
		"two, one too late":                {[]word{{0, "a", taken}, {bound + 1, "b", taken}}, true, session.ClaimLost},
		"held by one, a majority besides":  {[]word{{0, "a", held}, {0, "b", taken}, {0, "c", taken}}, false, session.ClaimWon},
		"held by one, the third may speak": {[]word{{0, "a", held}, {0, "b", taken}}, false, session.ClaimOpen},
		"held by two":                      {[]word{{0, "a", held}, {0, "b", held}}, false, session.ClaimHeld},
		"held with another body":           {[]word{{0, "a", reused}, {0, "b", reused}}, false, session.ClaimReused},
		"full":                             {[]word{{0, "a", full}, {0, "b", full}}, false, session.ClaimFull},
	} {
		round := session.NewClaiming(claimed("k", "mine", 1), 3, 0, bound)
		for _, said := range one.words {
			round.Take(said.at, said.seat, said.said)
		}
		if got := round.Verdict(one.ended); got != one.want {
			t.Errorf("%s: verdict %v, want %v", name, got, one.want)
		}
	}
}
