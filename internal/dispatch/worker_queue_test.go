package dispatch

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/scheduleexplorer"
)

const ms = time.Millisecond

// queueScript carries out steps on a buffer for two at once, whose work takes 10 ms, and tells what
// became of each request.
type queueScript struct {
	t       *testing.T
	queue   *WorkerQueue
	waiters map[string]*QueuedRequest
	log     []string
	now     time.Duration
	route   string
}

func newQueueScript(t *testing.T) *queueScript {
	script := &queueScript{t: t, queue: NewWorkerQueue(2, 8), waiters: map[string]*QueuedRequest{}, route: "r"}
	script.queue.recordServiceTime(script.now, "r", 10*ms)
	return script
}

func (s *queueScript) record(name string, admission Admission) {
	outcome := "goes"
	if admission.Refusal != "" {
		outcome = fmt.Sprint(admission.Refusal, " ", admission.RetryAfter)
	}
	s.log = append(s.log, name+" "+outcome)
}

func (s *queueScript) admit(name string, priority uint32, latencyTarget, deadline time.Duration) {
	admission, queued := s.queue.Admit(s.now, AdmissionRequest{Route: s.route, Priority: priority, TargetAt: latencyTarget, Deadline: deadline})
	if queued == nil {
		s.record(name, admission)
		return
	}
	s.waiters[name] = queued
	s.collect()
}

func (s *queueScript) release(result RunResult) {
	s.queue.Release(s.now, "r", result, 10*ms)
	s.collect()
}

func (s *queueScript) collect() {
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		if queued := s.waiters[name]; queued != nil {
			select {
			case admission := <-queued.Admission:
				delete(s.waiters, name)
				s.record(name, admission)
			default:
			}
		}
	}
}

// Who goes, who waits, who is refused, and when there is room again.
func TestWorkerQueue(t *testing.T) {
	for name, test := range map[string]struct {
		steps func(script *queueScript)
		want  string
	}{
		"in the order of arrival": {func(script *queueScript) {
			for _, name := range []string{"a", "b", "c", "d"} {
				script.admit(name, 0, 0, time.Second)
			}
			script.release(ResultAnswered)
			script.release(ResultAnswered)
		}, "a goes, b goes, c goes, d goes"},
		"by rank": {func(script *queueScript) {
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 2, 0, time.Second)
			script.admit("d", 1, 0, time.Second)
			script.release(ResultAnswered)
			script.release(ResultAnswered)
		}, "a goes, b goes, d goes, c goes"},
		// Two run, so each who waits waits 5 ms longer, and takes 10 itself.
		"beyond its aim": {func(script *queueScript) {
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				script.admit(name, 0, 20*ms, time.Second)
			}
		}, "a goes, b goes, e BUFFER_FULL 5ms"},
		"beyond its horizon": {func(script *queueScript) {
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 0, 0, 14*ms)
			script.admit("d", 0, 0, 15*ms)
		}, "a goes, b goes, c BUFFER_FULL 5ms"},
		"who must start earlier, of a kind": {func(script *queueScript) {
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 0, 100*ms, time.Second)
			script.admit("d", 0, 60*ms, time.Second)
			script.release(ResultAnswered)
			script.release(ResultAnswered)
		}, "a goes, b goes, d goes, c goes"},
		"who takes less of the worker's time": {func(script *queueScript) {
			script.queue.recordServiceTime(script.now, "short", 2*ms)
			script.queue.recordServiceTime(script.now, "r", 10*ms)
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 0, 100*ms, time.Second)
			script.admit("d", 0, 30*ms, time.Second) // must start earlier than e
			script.route = "short"
			script.admit("e", 1, 70*ms, time.Second) // is of a lower rank, yet takes less for it
			script.admit("f", 0, 1*ms, time.Second)  // too late, but soon over
			script.release(ResultAnswered)
			script.release(ResultAnswered)
			script.release(ResultAnswered)
			script.release(ResultAnswered)
		}, "a goes, b goes, f goes, e goes, d goes, c goes"},
		"but not for a rank far below": {func(script *queueScript) {
			script.queue.recordServiceTime(script.now, "short", 2*ms)
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 0, 0, time.Second)
			script.route = "short"
			script.admit("d", 3, 0, time.Second)
			script.release(ResultAnswered)
			script.release(ResultAnswered)
		}, "a goes, b goes, c goes, d goes"},
		"who would be passed by others meanwhile": {func(script *queueScript) {
			// Half of the worker's time goes to what takes less of it.
			for range 200 {
				script.now += 2 * ms
				script.queue.recordServiceTime(script.now, "short", 2*ms)
			}
			script.admit("a", 0, 0, 2*time.Second)
			script.admit("b", 0, 0, 2*time.Second)
			script.admit("c", 0, script.now+11*ms, 2*time.Second) // it would do, had nobody else a claim
			script.route = "short"
			script.admit("d", 0, script.now+11*ms, 2*time.Second)
		}, "a goes, b goes, c BUFFER_FULL 1.026088ms"},
		"free slots are for all": {func(script *queueScript) {
			script.admit("a", 0, -1, time.Second)
			script.admit("b", 0, 1*ms, 2*ms)
			script.admit("c", 0, -1, time.Second)
		}, "a goes, b goes, c BUFFER_FULL 15.000001ms"},
		"a horizon that is past": {func(script *queueScript) {
			script.now = time.Second
			script.admit("a", 0, 0, time.Second)
		}, "a HORIZON_PAST 0s"},
		"a higher rank displaces who came just now": {func(script *queueScript) {
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 1, 15*ms, time.Second)
			script.admit("d", 0, 15*ms, time.Second)
			script.release(ResultAnswered)
		}, "a goes, b goes, c BUFFER_FULL 5ms, d goes"},
		"and not who has waited long": {func(script *queueScript) {
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 1, 15*ms, time.Second)
			script.now = 4 * ms
			script.admit("d", 0, 25*ms, time.Second)
			script.release(ResultAnswered)
			script.release(ResultAnswered)
		}, "a goes, b goes, d goes, c goes"},
		"a horizon that passes": {func(script *queueScript) {
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 0, 0, 30*ms)
			script.admit("d", 0, 0, time.Second)
			script.now = 30 * ms
			script.release(ResultAnswered)
		}, "a goes, b goes, c HORIZON_PAST 0s, d goes"},
		"a worker that ends nothing": {func(script *queueScript) {
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.now = 15 * ms
			script.admit("c", 0, 45*ms, time.Second)
			script.now = 30 * ms
			script.admit("d", 0, 65*ms, time.Second)
			script.release(ResultAnswered)
			script.admit("e", 0, 65*ms, time.Second)
			script.release(ResultAnswered)
		}, "a goes, b goes, d BUFFER_FULL 30ms, c goes, e goes"},
		"the worker leaves": {func(script *queueScript) {
			for _, name := range []string{"a", "b", "c"} {
				script.admit(name, 0, 0, time.Second)
			}
			script.queue.Close(errs.WorkerDraining)
			script.collect()
			script.release(ResultAnswered)
			script.admit("d", 0, 0, time.Second)
		}, "a goes, b goes, c WORKER_LEAVING 0s, d WORKER_LEAVING 0s"},
		"the worker turns away": {func(script *queueScript) {
			for _, name := range []string{"a", "b", "c", "d"} {
				script.admit(name, 0, 0, time.Second)
			}
			script.admit("e", 0, 0, time.Second)
			script.release(ResultRejected) // with one left that runs, no more than one runs
			script.log = append(script.log, "then")
			script.release(ResultAnswered)
			script.log = append(script.log, "then")
			script.release(ResultAnswered) // and after two answers two again
		}, "a goes, b goes, then, c goes, then, d goes, e goes"},
		"nobody knows how long it takes": {func(script *queueScript) {
			script.queue = NewWorkerQueue(1, 8)
			for _, name := range []string{"a", "b", "c", "d"} {
				script.admit(name, 0, 0, time.Second)
			}
		}, "a goes, d BUFFER_FULL 0s"},
		"nobody knows how much it takes": {func(script *queueScript) {
			script.queue = NewWorkerQueue(1, 0)
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
		}, "a goes, b BUFFER_FULL 0s"},
		"more slots": {func(script *queueScript) {
			script.queue = NewWorkerQueue(9, 1)
			for _, name := range []string{"a", "b", "c", "d"} {
				script.admit(name, 0, 0, time.Second)
			}
			script.queue.SetSlots(script.now, 2)
			script.collect()
		}, "a goes, b goes, c goes"},
	} {
		script := newQueueScript(t)
		test.steps(script)
		if got := strings.Join(script.log, ", "); got != test.want {
			t.Errorf("%s: %s, want %s", name, got, test.want)
		}
	}
}

// In every order of requests, one that is given up, and the worker's leaving: no more run at
// once than may, none both runs and is refused, and none is forgotten.
func TestEveryOrderAtTheWorkerQueue(t *testing.T) {
	explore := func(seeded bool) scheduleexplorer.Outcome {
		return scheduleexplorer.Explore(t, 400000, func(t *testing.T, run *scheduleexplorer.Execution) func() error {
			queue := NewWorkerQueue(1, 1)
			queue.recordServiceTime(0, "", ms)
			// A thread that a turn wakes goes on beside the one that gave it.
			var lock sync.Mutex
			running, shut := 0, false
			fate := map[string]string{}
			var broken error
			ctx, cancel := context.WithCancel(t.Context())
			for i, name := range []string{"low", "high", "givenUp"} {
				run.Go(name, func(yield func()) {
					callerCtx := t.Context()
					if name == "givenUp" {
						callerCtx = ctx
					}
					lock.Lock()
					late := shut
					lock.Unlock()
					admission, queued := queue.Admit(0, AdmissionRequest{Priority: uint32(2 - i), Deadline: time.Hour})
					yield()
					switch {
					case queued != nil && seeded && callerCtx.Err() != nil:
						// Planted: whoever gives up does not look whether it was told to go.
						queue.Remove(queued)
						admission.Refusal = errs.DeadlineExceeded
					case queued != nil:
						admission = queue.Wait(callerCtx, queued, time.Hour)
					}
					lock.Lock()
					fate[name] = string(admission.Refusal)
					if admission.Refusal == "" {
						running++
					}
					if running > 1 || (late && admission.Refusal == "") {
						broken = errors.New(name + " runs where it must not")
					}
					lock.Unlock()
					if admission.Refusal != "" {
						return
					}
					yield()
					lock.Lock()
					running--
					fate[name] = "ran"
					lock.Unlock()
					queue.Release(0, "", ResultAnswered, ms)
				})
			}
			run.Go("cancel", func(func()) { cancel() })
			run.Go("shut", func(func()) {
				queue.Close(errs.WorkerDraining)
				lock.Lock()
				shut = true
				lock.Unlock()
			})
			return func() error {
				lock.Lock()
				defer lock.Unlock()
				running, waiting, _ := queue.Load()
				if broken == nil && len(fate) == 3 && fate["low"] != "" && fate["high"] != "" && fate["givenUp"] != "" && running+waiting > 0 {
					broken = fmt.Errorf("all are over, and %d run and %d wait", running, waiting)
				}
				return broken
			}
		})
	}
	if explore(true).Failure == "" {
		t.Error("the planted fault was not found")
	}
	correct := explore(false)
	if correct.Failure != "" {
		t.Error(correct.Failure)
	}
	t.Logf("%d orders", correct.Schedules)
}

// Nobody waits for so long that the rest of the time is of no use to anybody else.
func TestNobodyWaitsToTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue, startedAt := NewWorkerQueue(1, 8), time.Now()
		queue.recordServiceTime(0, "", ms)
		queue.Admit(0, AdmissionRequest{Deadline: time.Second})
		_, queued := queue.Admit(0, AdmissionRequest{Deadline: time.Second})
		admission := queue.Wait(t.Context(), queued, time.Second)
		if took := time.Since(startedAt); admission.Refusal != errs.QueueFull || took > time.Second/2 {
			t.Errorf("told %s after %v", admission.Refusal, took)
		}
		if running, waiting, _ := queue.Load(); running != 1 || waiting != 0 {
			t.Errorf("%d run and %d wait", running, waiting)
		}
	})
}

// By a quick failure a worker would look the quicker the more of its calls fail; a slow one is as good
// a measure as an answer that is none.
func TestQuickFailuresLeaveServiceTimeUnchanged(t *testing.T) {
	const ms = time.Millisecond
	queue := NewWorkerQueue(8, 8)
	run := func(now time.Duration, result RunResult, took time.Duration) time.Duration {
		if admission, queued := queue.Admit(now, AdmissionRequest{Route: "r", Deadline: now + time.Second}); admission.Refusal != "" || queued != nil {
			t.Fatal("no turn")
		}
		queue.Release(now+took, "r", result, took)
		return queue.ServiceTime()
	}
	if serviceTime := run(0, ResultAnswered, 100*ms); serviceTime != 100*ms {
		t.Errorf("a pace of %v", serviceTime)
	}
	for i := range 20 {
		if serviceTime := run(time.Duration(i+1)*time.Second, ResultFailed, 2*ms); serviceTime != 100*ms {
			t.Fatalf("after quick failures a pace of %v", serviceTime)
		}
	}
	if serviceTime := run(30*time.Second, ResultFailed, 900*ms); serviceTime != 200*ms {
		t.Errorf("after a slow failure a pace of %v", serviceTime)
	}
}
