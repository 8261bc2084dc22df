package dispatch

import (
	"testing"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// Consecutive failures eject a worker for a time. An unreachable proxy ejects all workers behind it, for the same time
// or until it responds. A retired worker remains ejected while it is listed.
func TestFailuresEjectWorkers(t *testing.T) {
	detector := NewOutlierDetector(3, 5*time.Second)
	ejected := func(endpoint plan.Endpoint, now time.Duration) bool { return detector.Stats(&endpoint, now).Ejected }
	unreachable := func(endpoint plan.Endpoint, now time.Duration) bool {
		return detector.Stats(&endpoint, now).Unreachable
	}
	worker, other := plan.Endpoint{Instance: "w", Proxy: "p"}, plan.Endpoint{Instance: "v", Proxy: "p"}
	for i := range 3 {
		if ejected(worker, 0) {
			t.Errorf("Stats after %d failures: got w ejected, want it ejected after 3", i)
		}
		detector.BeginCall("w", 0)
		detector.EndCall("w", 0, true)
	}
	if during, after, otherEjected := ejected(worker, 5*time.Second-1), ejected(worker, 5*time.Second), ejected(other, 0); !during || after || otherEjected {
		t.Errorf("Stats after 3 failures: got w ejected %t until 5s and %t at 5s, v ejected %t, want true, false, false", during, after, otherEjected)
	}
	detector.MarkUnreachable("p", 10*time.Second)
	if during, isEjected, after := unreachable(other, 15*time.Second-1), ejected(other, 12*time.Second), unreachable(other, 15*time.Second); !during || !isEjected || after {
		t.Errorf("Stats after MarkUnreachable at 10s: got v unreachable %t until 15s, ejected %t, unreachable %t at 15s, want true, true, false", during, isEjected, after)
	}
	detector.MarkReachable("p")
	if unreachable(other, 12*time.Second) {
		t.Error("Stats after MarkReachable: got v unreachable, want reachable")
	}
	// A retired worker is unreachable for as long as it is listed.
	detector.MarkRetired("w")
	if isUnreachable, isEjected, otherUnreachable := unreachable(worker, time.Hour), ejected(worker, time.Hour), unreachable(other, time.Hour); !isUnreachable || !isEjected || otherUnreachable {
		t.Errorf("Stats after MarkRetired(w): got w unreachable %t and ejected %t, v unreachable %t, want true, true, false", isUnreachable, isEjected, otherUnreachable)
	}
	detector.Retain(map[string]bool{"v": true})
	if unreachable(worker, time.Hour) {
		t.Error("Stats after Retain without w: got w unreachable, want its state dropped")
	}
}

// A worker with calls in flight that sends no response is ejected until it sends one. A worker without calls in flight
// is never unresponsive.
func TestUnresponsiveWorkersAreEjected(t *testing.T) {
	const ms = time.Millisecond
	detector := NewOutlierDetector(3, 5*time.Second)
	worker := plan.Endpoint{Instance: "w", Proxy: "p", ServiceTime: 100 * ms, Slots: 9}
	unresponsive := func(now time.Duration) bool { return detector.Stats(&worker, now).Ejected }
	answer := &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200, Slots: 9, ServiceTimeNanos: int64(100 * ms)}
	detector.BeginCall("w", 1000*ms)
	detector.BeginCall("w", 1200*ms)
	// With two calls in flight a worker may take 4*(100ms+100ms/2) = 600ms, with one call 4*(100ms+100ms) = 800ms.
	if before, after := unresponsive(1600*ms), unresponsive(1601*ms); before || !after {
		t.Errorf("Stats with two calls in flight since 1s: got ejected %t at 1600ms and %t at 1601ms, want false and true (600ms after the start of the first call)", before, after)
	}
	detector.RecordResponse("w", 1700*ms, 300*ms, answer)
	if before, after := unresponsive(2500*ms), unresponsive(2501*ms); before || !after {
		t.Errorf("Stats with one call in flight and a response at 1700ms: got ejected %t at 2500ms and %t at 2501ms, want false and true (800ms after the response)", before, after)
	}
	detector.RecordResponse("w", 3000*ms, 100*ms, answer)
	if unresponsive(time.Hour) {
		t.Error("Stats without calls in flight: got ejected, want not ejected")
	}
}

// The counts that a worker's proxy reports of all calls apply at a caller's proxy that has made few or no calls, until
// they decay. Nothing is reported if no call failed.
func TestReportedFailuresApplyAtCallersProxy(t *testing.T) {
	workerProxy, callerProxy := NewOutlierDetector(5, 5*time.Second), NewOutlierDetector(5, 5*time.Second)
	worker := plan.Endpoint{Instance: "w", Proxy: "p"}
	for i := range 40 {
		workerProxy.RecordRun("w", time.Second, false)
		if ran, failed := workerProxy.RunCounts("w", time.Second); ran != 0 || failed != 0 {
			t.Fatalf("RunCounts after %d successful calls: got %d failed of %d, want 0 of 0", i+1, failed, ran)
		}
	}
	for range 10 {
		workerProxy.RecordRun("w", time.Second, true)
	}
	answer := &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200, Slots: 9}
	if answer.RecentRuns, answer.RecentFailures = workerProxy.RunCounts("w", time.Second); answer.RecentRuns != 50 || answer.RecentFailures != 10 {
		t.Fatalf("RunCounts: got %d failed of %d, want 10 of 50", answer.RecentFailures, answer.RecentRuns)
	}
	if own := workerProxy.Stats(&worker, time.Second); own.RecentCalls != 50 || own.RecentFailures != 10 {
		t.Errorf("Stats at the worker's proxy: got %+v, want 10 of 50 recent calls failed", own)
	}
	callerProxy.BeginCall("w", time.Second)
	callerProxy.RecordResponse("w", 2*time.Second, time.Second, answer)
	if stats := callerProxy.Stats(&worker, 2*time.Second); stats.RecentCalls != 50 || stats.RecentFailures != 10 {
		t.Errorf("Stats at the caller's proxy after the report: got %+v, want 10 of 50 recent calls failed", stats)
	}
	if stats := callerProxy.Stats(&worker, 7*time.Second); stats.RecentCalls < 18 || stats.RecentCalls > 19 || stats.RecentFailures*5 < stats.RecentCalls*0.99 {
		t.Errorf("Stats one ejection later: got %+v, want 18 to 19 recent calls, 1/e of 50, and a fifth of them failed", stats)
	}
	// Once this process has made more calls than are left of the report, its own record applies.
	for range 30 {
		callerProxy.BeginCall("w", 12*time.Second)
		callerProxy.EndCall("w", 12*time.Second, false)
	}
	if stats := callerProxy.Stats(&worker, 12*time.Second); stats.RecentFailures != 0 {
		t.Errorf("Stats after 30 own calls: got %+v, want no recent failures", stats)
	}
	// The next report replaces the last one.
	answer.RecentRuns, answer.RecentFailures = 0, 0
	callerProxy.BeginCall("w", 12*time.Second)
	callerProxy.RecordResponse("w", 12*time.Second, time.Second, answer)
	if stats := callerProxy.Stats(&worker, 12*time.Second); stats.RecentFailures != 0 {
		t.Errorf("Stats after a report without failures: got %+v, want no recent failures", stats)
	}
}

// The calls of other processes at a worker are estimated from the later report of its last response and the directory,
// less the calls of this process. As that report ages, the estimate approaches the baseline.
func TestOtherInFlightFollowsLatestReport(t *testing.T) {
	answer := func(running, waiting, slots uint32) *schema.ForwardResponse {
		return &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200, Running: running, Queued: waiting, Slots: slots, ServiceTimeNanos: int64(time.Second)}
	}
	detector := NewOutlierDetector(5, 5*time.Second)
	worker := plan.Endpoint{Instance: "w", Slots: 9, ActiveRequests: 4, QueuedRequests: 1, ReportedAt: time.Second}
	expect := func(name string, now time.Duration, slots int, from, to float64) {
		t.Helper()
		if stats := detector.Stats(&worker, now); stats.Slots != slots || stats.OtherInFlight < from || stats.OtherInFlight > to {
			t.Errorf("Stats at %v, %s: got %+v, want %d slots and OtherInFlight from %v to %v", now, name, stats, slots, from, to)
		}
	}
	expect("never called: as the directory reports", time.Second, 9, 5, 5)
	detector.BeginCall("w", 0)
	detector.BeginCall("w", 0)
	detector.RecordResponse("w", 2*time.Second, time.Second, answer(0, 0, 0))
	expect("responses report no load: no calls assumed", 2*time.Second, 0, 0, 0)
	detector.BeginCall("w", 0)
	detector.RecordResponse("w", 3*time.Second, time.Second, answer(7, 3, 10))
	expect("reported by a response, less the own call", 3*time.Second, 10, 9, 9)
	worker.ReportedAt, worker.ActiveRequests, worker.QueuedRequests = 4*time.Second, 3, 0
	expect("reported by the directory, which is newer", 4*time.Second, 10, 2, 2)
	expect("a service time later: half way to the baseline", 5*time.Second, 10, 5.4, 5.6)
	expect("much later: the baseline", time.Hour, 10, 8.9, 9)
}

// A worker that refuses calls for lack of capacity is full until it expects capacity, and is neither ejected nor
// counted as failing.
func TestCapacityRefusalMarksWorkerFull(t *testing.T) {
	detector := NewOutlierDetector(2, 5*time.Second)
	worker := plan.Endpoint{Instance: "w"}
	for _, test := range []struct{ reported, until time.Duration }{{100 * time.Millisecond, 100 * time.Millisecond}, {0, 5 * time.Second / fullEjectionDivisor}, {time.Hour, 5 * time.Second}} {
		for range 3 {
			detector.BeginCall("w", 0)
			detector.RecordResponse("w", time.Minute, time.Millisecond, &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, ErrorCode: "BUFFER_FULL", RetryAfterNanos: int64(test.reported)})
		}
		before, after := detector.Stats(&worker, time.Minute+test.until-1), detector.Stats(&worker, time.Minute+test.until)
		if !before.AtCapacity || after.AtCapacity || before.Ejected || before.RecentFailures > 0 || before.InFlight != 0 {
			t.Errorf("Stats after refusals with retry after %v: got %+v before %v and %+v then, want full only before, never ejected, no failures or calls in flight",
				test.reported, before, test.until, after)
		}
	}
}

// A worker that refuses most calls of a route is skipped for some of them, with a probability that grows with the
// refusals. Other routes are not affected, and the refusals decay with time.
func TestRefusedCallsCauseSkips(t *testing.T) {
	full := &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, ErrorCode: string(errs.QueueFull)}
	accepted := &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200}
	for name, test := range map[string]struct {
		answers []*schema.ForwardResponse // responses to calls of route r, all at 1s
		route   string                    // route that ShouldSkip is called with
		after   time.Duration             // time from the responses to ShouldSkip
		random  float64                   // random number that ShouldSkip gets
		want    bool
	}{
		"never refused: not skipped":                               {nil, "r", 0, 0, false},
		"few refusals: not skipped":                                {[]*schema.ForwardResponse{full, full}, "r", 0, 0, false},
		"accepts none, random number below the limit: skipped":     {[]*schema.ForwardResponse{full, full, full, full, full, full}, "r", 0, 0.5, true},
		"accepts none, random number above the limit: not skipped": {[]*schema.ForwardResponse{full, full, full, full, full, full}, "r", 0, 0.6, false},
		"accepts half: not skipped":                                {[]*schema.ForwardResponse{full, accepted, full, accepted, full, accepted}, "r", 0, 0, false},
		"refused calls of another route: not skipped":              {[]*schema.ForwardResponse{full, full, full, full, full, full}, "other", 0, 0, false},
		"refused long ago: not skipped":                            {[]*schema.ForwardResponse{full, full, full, full, full, full}, "r", 5 * time.Second, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			detector := NewOutlierDetector(5, 5*time.Second)
			for _, answer := range test.answers {
				detector.RecordOffer("i", "r", time.Second, answer)
			}
			retryAfter, got := detector.ShouldSkip("i", test.route, time.Second+test.after, func() float64 { return test.random })
			if got != test.want || (got && retryAfter <= 0) {
				t.Errorf("ShouldSkip: got %t with retry after %s, want %t, with a positive time if true", got, retryAfter, test.want)
			}
		})
	}
}

// The offers settle at a multiple of the accepted calls, however many more calls there are.
func TestOffersSettleAtMultipleOfAccepted(t *testing.T) {
	full := &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, ErrorCode: string(errs.QueueFull)}
	accepted := &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200}
	detector, last := NewOutlierDetector(5, 5*time.Second), 0.0
	random := func() float64 {
		last += 0.618
		last -= float64(int(last))
		return last
	}
	offered := 0
	// Of 100 calls a second the worker accepts 10.
	for i := range 6000 {
		now := time.Duration(i) * 10 * time.Millisecond
		answer := full
		if i%10 == 0 {
			answer = accepted
		} else if _, skip := detector.ShouldSkip("i", "r", now, random); skip {
			continue
		}
		offered++
		detector.RecordOffer("i", "r", now, answer)
	}
	if rate := float64(offered) / 60; rate < 15 || rate > 40 {
		t.Errorf("offers to a worker that accepts 10 calls a second: got %.1f a second, want 15 to 40", rate)
	}
}
