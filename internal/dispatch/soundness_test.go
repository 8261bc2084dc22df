package dispatch

import (
	"testing"
	"time"

	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

func TestOutlierDetector(t *testing.T) {
	detector := NewOutlierDetector(3, 5*time.Second)
	ejected := func(one plan.Endpoint, now time.Duration) bool { return detector.Stats(&one, now).Ejected }
	unreached := func(one plan.Endpoint, now time.Duration) bool { return detector.Stats(&one, now).Unreachable }
	worker, other := plan.Endpoint{Instance: "w", Proxy: "p"}, plan.Endpoint{Instance: "v", Proxy: "p"}
	for i := range 3 {
		if ejected(worker, 0) {
			t.Errorf("ejected after %d failures", i)
		}
		detector.BeginCall("w", 0)
		detector.EndCall("w", 0, true)
	}
	if !ejected(worker, 5*time.Second-1) || ejected(worker, 5*time.Second) || ejected(other, 0) {
		t.Error("three failures in a row do not eject that worker for its time")
	}
	// A proxy that gave no answer stands for every worker behind it, until it answers.
	detector.MarkUnreachable("p", 10*time.Second)
	if !unreached(other, 15*time.Second-1) || !ejected(other, 12*time.Second) || unreached(other, 15*time.Second) {
		t.Error("a lost proxy does not count for its time")
	}
	detector.MarkReachable("p")
	if unreached(other, 12*time.Second) {
		t.Error("a proxy that answered still counts as lost")
	}
	// What its own proxy disowned is not tried again for as long as it is listed.
	detector.MarkDisowned("w")
	if !unreached(worker, time.Hour) || !ejected(worker, time.Hour) || unreached(other, time.Hour) {
		t.Error("a disowned worker is still tried, or another is not")
	}
	detector.Retain(map[string]bool{"v": true})
	if unreached(worker, time.Hour) {
		t.Error("facts of a worker no longer listed are kept")
	}
}

// Who owes answers and gives none is tried last until it gives one; who owes none is not silent.
func TestUnresponsiveWorkersAreTriedLast(t *testing.T) {
	const ms = time.Millisecond
	detector := NewOutlierDetector(3, 5*time.Second)
	worker := plan.Endpoint{Instance: "w", Proxy: "p", ServiceTime: 100 * ms, Slots: 9}
	silent := func(now time.Duration) bool { return detector.Stats(&worker, now).Ejected }
	answer := &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200, Slots: 9, ServiceTimeNanos: int64(100 * ms)}
	detector.BeginCall("w", 1000*ms)
	detector.BeginCall("w", 1200*ms)
	if silent(1600*ms) || !silent(1601*ms) {
		t.Error("with two calls there, six times what one takes is not what is waited for")
	}
	detector.RecordResponse("w", 1700*ms, 300*ms, answer)
	if silent(2500*ms) || !silent(2501*ms) {
		t.Error("an answer does not count as a sign of life")
	}
	detector.RecordResponse("w", 3000*ms, 100*ms, answer)
	if silent(time.Hour) {
		t.Error("who owes nothing is held to be silent")
	}
}

// What the proxy beside a worker saw of all its calls counts for a caller that saw few or none, until
// it fades; where none failed nothing is told.
func TestReportedFailures(t *testing.T) {
	beside, caller := NewOutlierDetector(5, 5*time.Second), NewOutlierDetector(5, 5*time.Second)
	worker := plan.Endpoint{Instance: "w", Proxy: "p"}
	for i := range 40 {
		beside.RecordRun("w", time.Second, false)
		if ran, failed := beside.RunCounts("w", time.Second); ran != 0 || failed != 0 {
			t.Fatalf("of %d calls that went well %d and %d are told", i+1, ran, failed)
		}
	}
	for range 10 {
		beside.RecordRun("w", time.Second, true)
	}
	answer := &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200, Slots: 9}
	if answer.RecentRuns, answer.RecentFailures = beside.RunCounts("w", time.Second); answer.RecentRuns != 50 || answer.RecentFailures != 10 {
		t.Fatalf("told %d of %d", answer.RecentFailures, answer.RecentRuns)
	}
	if own := beside.Stats(&worker, time.Second); own.RecentCalls != 50 || own.RecentFailures != 10 {
		t.Errorf("beside it, seen %+v", own)
	}
	caller.BeginCall("w", time.Second)
	caller.RecordResponse("w", 2*time.Second, time.Second, answer)
	if stats := caller.Stats(&worker, 2*time.Second); stats.RecentCalls != 50 || stats.RecentFailures != 10 {
		t.Errorf("seen %+v", stats)
	}
	if stats := caller.Stats(&worker, 7*time.Second); stats.RecentCalls < 18 || stats.RecentCalls > 19 || stats.RecentFailures*5 < stats.RecentCalls*0.99 {
		t.Errorf("a third is not left after an ejection's time: %+v", stats)
	}
	// More calls through here than are left of the word count instead; and the next word takes its place.
	for range 30 {
		caller.BeginCall("w", 12*time.Second)
		caller.EndCall("w", 12*time.Second, false)
	}
	if stats := caller.Stats(&worker, 12*time.Second); stats.RecentFailures != 0 {
		t.Errorf("seen %+v", stats)
	}
	answer.RecentRuns, answer.RecentFailures = 0, 0
	caller.BeginCall("w", 12*time.Second)
	caller.RecordResponse("w", 12*time.Second, time.Second, answer)
	if stats := caller.Stats(&worker, 12*time.Second); stats.RecentFailures != 0 {
		t.Errorf("seen %+v", stats)
	}
}
