package dispatch

import (
	"testing"
	"time"

	"meadowhinge/internal/plan"
)

func TestSoundness(t *testing.T) {
	facts := NewSoundness(3, 5*time.Second)
	ejected := func(one plan.Candidate, now time.Duration) bool { return facts.See(&one, now).Ejected }
	unreached := func(one plan.Candidate, now time.Duration) bool { return facts.See(&one, now).Unreached }
	worker, other := plan.Candidate{Instance: "w", Proxy: "p"}, plan.Candidate{Instance: "v", Proxy: "p"}
	for i := range 3 {
		if ejected(worker, 0) {
			t.Errorf("ejected after %d failures", i)
		}
		facts.Begin("w")
		facts.End("w", 0, true)
	}
	if !ejected(worker, 5*time.Second-1) || ejected(worker, 5*time.Second) || ejected(other, 0) {
		t.Error("three failures in a row do not eject that worker for its time")
	}
	// A proxy that gave no answer stands for every worker behind it, until it answers.
	facts.Lost("p", 10*time.Second)
	if !unreached(other, 15*time.Second-1) || !ejected(other, 12*time.Second) || unreached(other, 15*time.Second) {
		t.Error("a lost proxy does not count for its time")
	}
	facts.Reached("p")
	if unreached(other, 12*time.Second) {
		t.Error("a proxy that answered still counts as lost")
	}
	// What its own proxy disowned is not tried again for as long as it is listed.
	facts.Disown("w")
	if !unreached(worker, time.Hour) || !ejected(worker, time.Hour) || unreached(other, time.Hour) {
		t.Error("a disowned worker is still tried, or another is not")
	}
	facts.Keep(map[string]bool{"v": true})
	if unreached(worker, time.Hour) {
		t.Error("facts of a worker no longer listed are kept")
	}
}
