package simulator

import (
	"testing"

	"meadowhinge/internal/release"
)

// brakeSeeds run in CI for each kind of version.
const brakeSeeds = 20

// A bad version is braked within the bounds, exactly, in each way of being bad; a good one
// comes through.
func TestBrake(t *testing.T) {
	for _, kind := range Kinds {
		worst, states := 0, map[string]int{}
		for seed := uint64(1); seed <= brakeSeeds; seed++ {
			run := PlayBrake(seed, kind, BrakeSound)
			if len(run.Breaches) > 0 {
				t.Errorf("%s, seed %d: %v", kind, seed, run.Breaches)
			}
			worst = max(worst, run.BadCalls)
			states[run.State]++
			if kind == KindGood && run.State != release.Done {
				t.Errorf("%s, seed %d: ended as %s (%s)", kind, seed, run.State, run.Reason)
			}
			if (kind == KindBadStart || kind == KindBadLate || kind == KindBadRoute || kind == KindSlow) && run.State != release.Back {
				t.Errorf("%s, seed %d: ended as %s (%s)", kind, seed, run.State, run.Reason)
			}
		}
		t.Logf("%s: at most %d calls went to the bad version; plans ended as %v", kind, worst, states)
	}
}

func TestBrakePlants(t *testing.T) {
	for plant, kind := range map[BrakePlant]string{BrakeDeaf: KindBadLate, BrakeEasy: KindBadSplit, BrakeHairTrigger: KindFew} {
		found := ""
		for seed := uint64(1); seed <= brakeSeeds && found == ""; seed++ {
			if run := PlayBrake(seed, kind, plant); len(run.Breaches) > 0 {
				found = run.Breaches[0]
			}
		}
		if found == "" {
			t.Errorf("%q was not found", plant)
		}
	}
}
