package dispatch

import (
	"testing"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// Consecutive failures eject a worker for a time; an unreachable proxy ejects all workers behind it until it responds.
func TestOutlierDetector(t *testing.T) {
	detector := NewOutlierDetector(3, 5*time.Second)
	ejected := func(endpoint plan.Endpoint, now time.Duration) bool { return detector.Stats(&endpoint, now).Ejected }
	unreached := func(endpoint plan.Endpoint, now time.Duration) bool {
		return detector.Stats(&endpoint, now).Unreachable
	}
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
	// An unreachable proxy counts for every worker behind it, until it responds.
	detector.MarkUnreachable("p", 10*time.Second)
	if !unreached(other, 15*time.Second-1) || !ejected(other, 12*time.Second) || unreached(other, 15*time.Second) {
		t.Error("an unreachable proxy does not count for its time")
	}
	detector.MarkReachable("p")
	if unreached(other, 12*time.Second) {
		t.Error("a proxy that responded still counts as unreachable")
	}
	// A worker that its own proxy disowned is not tried again for as long as it is listed.
	detector.MarkRetired("w")
	if !unreached(worker, time.Hour) || !ejected(worker, time.Hour) || unreached(other, time.Hour) {
		t.Error("a disowned worker is still tried, or another is not")
	}
	detector.Retain(map[string]bool{"v": true})
	if unreached(worker, time.Hour) {
		t.Error("the state of a worker that is no longer listed is retained")
	}
}

// A worker that owes responses and sends none is tried last until it sends one. One that owes none is not unresponsive.
func TestUnresponsiveWorkersAreTriedLast(t *testing.T) {
	const ms = time.Millisecond
	detector := NewOutlierDetector(3, 5*time.Second)
	worker := plan.Endpoint{Instance: "w", Proxy: "p", ServiceTime: 100 * ms, Slots: 9}
	unresponsive := func(now time.Duration) bool { return detector.Stats(&worker, now).Ejected }
	answer := &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200, Slots: 9, ServiceTimeNanos: int64(100 * ms)}
	detector.BeginCall("w", 1000*ms)
	detector.BeginCall("w", 1200*ms)
	if unresponsive(1600*ms) || !unresponsive(1601*ms) {
		t.Error("with two calls there, six times what one takes is not what is waited for")
	}
	detector.RecordResponse("w", 1700*ms, 300*ms, answer)
	if unresponsive(2500*ms) || !unresponsive(2501*ms) {
		t.Error("a response does not end it")
	}
	detector.RecordResponse("w", 3000*ms, 100*ms, answer)
	if unresponsive(time.Hour) {
		t.Error("a worker that owes nothing counts as unresponsive")
	}
}

// What the proxy beside a worker saw of all its calls counts for a caller that saw few or none, until it decays. Nothing is
// reported where no call failed.
func TestReportedFailures(t *testing.T) {
	beside, caller := NewOutlierDetector(5, 5*time.Second), NewOutlierDetector(5, 5*time.Second)
	worker := plan.Endpoint{Instance: "w", Proxy: "p"}
	for i := range 40 {
		beside.RecordRun("w", time.Second, false)
		if ran, failed := beside.RunCounts("w", time.Second); ran != 0 || failed != 0 {
			t.Fatalf("of %d successful calls %d and %d are reported", i+1, ran, failed)
		}
	}
	for range 10 {
		beside.RecordRun("w", time.Second, true)
	}
	answer := &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200, Slots: 9}
	if answer.RecentRuns, answer.RecentFailures = beside.RunCounts("w", time.Second); answer.RecentRuns != 50 || answer.RecentFailures != 10 {
		t.Fatalf("reported %d of %d", answer.RecentFailures, answer.RecentRuns)
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
	// Once this process has had more calls than are left of the report, its own count; the next report replaces the last.
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

// The calls of others at a worker are estimated by the later of its last response and the directory, less the calls of this
// process, and by the baseline as that report ages.
func TestOtherInFlight(t *testing.T) {
	answer := func(running, waiting, slots uint32) *schema.ForwardResponse {
		return &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200, Running: running, Queued: waiting, Slots: slots, ServiceTimeNanos: int64(time.Second)}
	}
	detector := NewOutlierDetector(5, 5*time.Second)
	worker := plan.Endpoint{Instance: "w", Slots: 9, Running: 4, Waiting: 1, ReportedAt: time.Second}
	near := func(name string, now time.Duration, slots int, from, to float64) {
		t.Helper()
		if stats := detector.Stats(&worker, now); stats.Slots != slots || stats.OtherInFlight < from || stats.OtherInFlight > to {
			t.Errorf("%s: %+v", name, stats)
		}
	}
	near("never called: as the directory says", time.Second, 9, 5, 5)
	detector.BeginCall("w", 0)
	detector.BeginCall("w", 0)
	detector.RecordResponse("w", 2*time.Second, time.Second, answer(0, 0, 0))
	near("its responses report no load: nothing is assumed", 2*time.Second, 0, 0, 0)
	detector.BeginCall("w", 0)
	detector.RecordResponse("w", 3*time.Second, time.Second, answer(7, 3, 10))
	near("reported by a response, less our own call", 3*time.Second, 10, 9, 9)
	worker.ReportedAt, worker.Running, worker.Waiting = 4*time.Second, 3, 0
	near("the directory is newer", 4*time.Second, 10, 2, 2)
	near("and a second later half way back to the baseline", 5*time.Second, 10, 5.4, 5.6)
	near("and at last the baseline", time.Hour, 10, 8.9, 9)
}

// A worker without capacity is tried last until capacity is expected; that says nothing of its health.
func TestCapacityRefusal(t *testing.T) {
	detector := NewOutlierDetector(2, 5*time.Second)
	worker := plan.Endpoint{Instance: "w"}
	for _, test := range []struct{ reported, until time.Duration }{{100 * time.Millisecond, 100 * time.Millisecond}, {0, 5 * time.Second / fullEjectionDivisor}, {time.Hour, 5 * time.Second}} {
		for range 3 {
			detector.BeginCall("w", 0)
			detector.RecordResponse("w", time.Minute, time.Millisecond, &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, ErrorCode: "BUFFER_FULL", RetryAfterNanos: int64(test.reported)})
		}
		before, after := detector.Stats(&worker, time.Minute+test.until-1), detector.Stats(&worker, time.Minute+test.until)
		if !before.Full || after.Full || before.Ejected || before.RecentFailures > 0 || before.InFlight != 0 {
			t.Errorf("reported %v: %+v, then %+v", test.reported, before, after)
		}
	}
}

// A worker that refuses most calls of a route is offered some more than it accepts, and not all. Other routes are not affected,
// and with time it gets its calls back.
func TestShouldSkip(t *testing.T) {
	full := &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, ErrorCode: string(errs.QueueFull)}
	accepted := &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200}
	for name, test := range map[string]struct {
		answers []*schema.ForwardResponse
		route   string
		after   time.Duration
		random  float64
		want    bool
	}{
		"never refused":           {nil, "r", 0, 0, false},
		"one refusal says little": {[]*schema.ForwardResponse{full, full}, "r", 0, 0, false},
		"takes none":              {[]*schema.ForwardResponse{full, full, full, full, full, full}, "r", 0, 0.5, true},
		"but is asked at times":   {[]*schema.ForwardResponse{full, full, full, full, full, full}, "r", 0, 0.6, false},
		"takes half":              {[]*schema.ForwardResponse{full, accepted, full, accepted, full, accepted}, "r", 0, 0, false},
		"another route":           {[]*schema.ForwardResponse{full, full, full, full, full, full}, "other", 0, 0, false},
		"a while later":           {[]*schema.ForwardResponse{full, full, full, full, full, full}, "r", 5 * time.Second, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			detector := NewOutlierDetector(5, 5*time.Second)
			for _, answer := range test.answers {
				detector.RecordOffer("i", "r", time.Second, answer)
			}
			retryAfter, got := detector.ShouldSkip("i", test.route, time.Second+test.after, func() float64 { return test.random })
			if got != test.want || (got && retryAfter <= 0) {
				t.Errorf("%t, retry after %s; want %t", got, retryAfter, test.want)
			}
		})
	}
}

// Offers settle at a multiple of what is accepted, however many more calls there are.
func TestShouldSkipConverges(t *testing.T) {
	full := &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, ErrorCode: string(errs.QueueFull)}
	accepted := &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200}
	detector, rolled := NewOutlierDetector(5, 5*time.Second), 0.0
	random := func() float64 {
		rolled += 0.618
		rolled -= float64(int(rolled))
		return rolled
	}
	offered := 0
	// Of 100 calls a second the worker takes 10.
	for i := range 6000 {
		now := time.Duration(i) * 10 * time.Millisecond
		answer := full
		if i%10 == 0 {
			answer = accepted
		} else if _, spared := detector.ShouldSkip("i", "r", now, random); spared {
			continue
		}
		offered++
		detector.RecordOffer("i", "r", now, answer)
	}
	if a := float64(offered) / 60; a < 15 || a > 40 {
		t.Errorf("%.1f offers a second, where it accepts 10", a)
	}
}
