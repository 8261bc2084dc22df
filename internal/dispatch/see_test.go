package dispatch

import (
	"testing"
	"time"

	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// What a worker has there is told by the later of its last answer and the directory, less what
// this process has there, and gives way to what is usual as it ages.
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
	near("its answers are silent: nothing is guessed", 2*time.Second, 0, 0, 0)
	detector.BeginCall("w", 0)
	detector.RecordResponse("w", 3*time.Second, time.Second, answer(7, 3, 10))
	near("told by an answer, less the one of ours", 3*time.Second, 10, 9, 9)
	worker.ReportedAt, worker.Running, worker.Waiting = 4*time.Second, 3, 0
	near("the directory is newer", 4*time.Second, 10, 2, 2)
	near("and a second later half way back to what is usual", 5*time.Second, 10, 5.4, 5.6)
	near("and at last what is usual", time.Hour, 10, 8.9, 9)
}

// Who has no room is tried last until room is expected; that says nothing of how sound it is.
func TestCapacityRefusal(t *testing.T) {
	detector := NewOutlierDetector(2, 5*time.Second)
	worker := plan.Endpoint{Instance: "w"}
	for _, test := range []struct{ told, until time.Duration }{{100 * time.Millisecond, 100 * time.Millisecond}, {0, 5 * time.Second / fullEjectionDivisor}, {time.Hour, 5 * time.Second}} {
		for range 3 {
			detector.BeginCall("w", 0)
			detector.RecordResponse("w", time.Minute, time.Millisecond, &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, ErrorCode: "BUFFER_FULL", RetryAfterNanos: int64(test.told)})
		}
		before, after := detector.Stats(&worker, time.Minute+test.until-1), detector.Stats(&worker, time.Minute+test.until)
		if !before.Full || after.Full || before.Ejected || before.RecentFailures > 0 || before.InFlight != 0 {
			t.Errorf("told %v: %+v, then %+v", test.told, before, after)
		}
	}
}
