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

// queueScript carries out steps on a queue that runs two requests at once, each for 10 ms, and records what became of each.
type queueScript struct {
	t       *testing.T
	queue   *WorkerQueue
	waiters map[string]*QueuedRequest // by the request's name
	log     []string                  // decisions, in order
	now     time.Duration
	route   string
}

func newQueueScript(t *testing.T) *queueScript {
	t.Helper()
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

// Which requests are admitted, which wait, which are refused, and when capacity is expected.
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
		"by priority": {func(script *queueScript) {
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 2, 0, time.Second)
			script.admit("d", 1, 0, time.Second)
			script.release(ResultAnswered)
			script.release(ResultAnswered)
		}, "a goes, b goes, d goes, c goes"},
		// Two run, so each waiting request waits 5 ms longer than the one before, and takes 10 itself.
		"beyond its latency target": {func(script *queueScript) {
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				script.admit(name, 0, 20*ms, time.Second)
			}
		}, "a goes, b goes, e BUFFER_FULL 5ms"},
		"beyond its deadline": {func(script *queueScript) {
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 0, 0, 14*ms)
			script.admit("d", 0, 0, 15*ms)
		}, "a goes, b goes, c BUFFER_FULL 5ms"},
		"the one that must start earlier, of the same route and priority": {func(script *queueScript) {
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 0, 100*ms, time.Second)
			script.admit("d", 0, 60*ms, time.Second)
			script.release(ResultAnswered)
			script.release(ResultAnswered)
		}, "a goes, b goes, d goes, c goes"},
		"the one that takes less of the worker's time": {func(script *queueScript) {
			script.queue.recordServiceTime(script.now, "short", 2*ms)
			script.queue.recordServiceTime(script.now, "r", 10*ms)
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 0, 100*ms, time.Second)
			script.admit("d", 0, 30*ms, time.Second) // must start earlier than e
			script.route = "short"
			script.admit("e", 1, 70*ms, time.Second) // has a lower priority, yet takes less of the worker's time for it
			script.admit("f", 0, 1*ms, time.Second)  // too late, but soon over
			script.release(ResultAnswered)
			script.release(ResultAnswered)
			script.release(ResultAnswered)
			script.release(ResultAnswered)
		}, "a goes, b goes, f goes, e goes, d goes, c goes"},
		"but not for a priority far below": {func(script *queueScript) {
			script.queue.recordServiceTime(script.now, "short", 2*ms)
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 0, 0, time.Second)
			script.route = "short"
			script.admit("d", 3, 0, time.Second)
			script.release(ResultAnswered)
			script.release(ResultAnswered)
		}, "a goes, b goes, c goes, d goes"},
		"one that others would go before meanwhile": {func(script *queueScript) {
			// Half of the worker's time goes to a route that takes less of it.
			for range 200 {
				script.now += 2 * ms
				script.queue.recordServiceTime(script.now, "short", 2*ms)
			}
			script.admit("a", 0, 0, 2*time.Second)
			script.admit("b", 0, 0, 2*time.Second)
			script.admit("c", 0, script.now+11*ms, 2*time.Second) // it would be in time if no other route went before it
			script.route = "short"
			script.admit("d", 0, script.now+11*ms, 2*time.Second)
		}, "a goes, b goes, c BUFFER_FULL 1.026088ms"},
		"free slots are for all": {func(script *queueScript) {
			script.admit("a", 0, -1, time.Second)
			script.admit("b", 0, 1*ms, 2*ms)
			script.admit("c", 0, -1, time.Second)
		}, "a goes, b goes, c BUFFER_FULL 15.000001ms"},
		"a deadline that has passed": {func(script *queueScript) {
			script.now = time.Second
			script.admit("a", 0, 0, time.Second)
		}, "a HORIZON_PAST 0s"},
		"a higher priority displaces a request that has just arrived": {func(script *queueScript) {
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 1, 15*ms, time.Second)
			script.admit("d", 0, 15*ms, time.Second)
			script.release(ResultAnswered)
		}, "a goes, b goes, c BUFFER_FULL 5ms, d goes"},
		"and not one that has waited long": {func(script *queueScript) {
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 1, 15*ms, time.Second)
			script.now = 4 * ms
			script.admit("d", 0, 25*ms, time.Second)
			script.release(ResultAnswered)
			script.release(ResultAnswered)
		}, "a goes, b goes, d goes, c goes"},
		"a deadline that passes": {func(script *queueScript) {
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 0, 0, 30*ms)
			script.admit("d", 0, 0, time.Second)
			script.now = 30 * ms
			script.release(ResultAnswered)
		}, "a goes, b goes, c HORIZON_PAST 0s, d goes"},
		"a worker that completes nothing": {func(script *queueScript) {
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
		"the worker drains": {func(script *queueScript) {
			for _, name := range []string{"a", "b", "c"} {
				script.admit(name, 0, 0, time.Second)
			}
			script.queue.Close(errs.WorkerDraining)
			script.collect()
			script.release(ResultAnswered)
			script.admit("d", 0, 0, time.Second)
		}, "a goes, b goes, c WORKER_LEAVING 0s, d WORKER_LEAVING 0s"},
		"the worker rejects a request": {func(script *queueScript) {
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
		"service times are not known": {func(script *queueScript) {
			script.queue = NewWorkerQueue(1, 8)
			for _, name := range []string{"a", "b", "c", "d"} {
				script.admit(name, 0, 0, time.Second)
			}
		}, "a goes, d BUFFER_FULL 0s"},
		"slots are not known": {func(script *queueScript) {
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
		t.Run(name, func(t *testing.T) {
			script := newQueueScript(t)
			test.steps(script)
			if got := strings.Join(script.log, ", "); got != test.want {
				t.Errorf("%s, want %s", got, test.want)
			}
		})
	}
}

// In every order of requests, one that is given up, and the draining of the worker: no more requests run at once than may, none
// both runs and is refused, and none is forgotten.
func TestEveryOrderAtTheWorkerQueue(t *testing.T) {
	explore := func(seeded bool) scheduleexplorer.Outcome {
		return scheduleexplorer.Explore(t, 400000, func(t *testing.T, run *scheduleexplorer.Execution) func() error {
			t.Helper()
			queue := NewWorkerQueue(1, 1)
			queue.recordServiceTime(0, "", ms)
			// A goroutine that an admission wakes goes on beside the one that released it.
			var lock sync.Mutex
			running, shut := 0, false
			fate := map[string]string{}
			var broken error
			ctx, cancel := context.WithCancel(t.Context())
			for i, name := range []string{"low", "high", "givenUp"} {
				run.Go(name, func(yield func()) {
					callerCtx := t.Context() //nolint:contextcheck // each goroutine of an exploration has the context of its own caller
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
						// Seeded fault: a request that is given up ignores whether it was admitted.
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
					broken = fmt.Errorf("all are over, and %d still run and %d wait", running, waiting)
				}
				return broken
			}
		})
	}
	if explore(true).Failure == "" {
		t.Error("the seeded fault was not found")
	}
	correct := explore(false)
	if correct.Failure != "" {
		t.Error(correct.Failure)
	}
	t.Logf("%d orders", correct.Schedules)
}

// No request waits for so long that another worker could not serve it in the time left.
func TestNobodyWaitsToTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue, startedAt := NewWorkerQueue(1, 8), time.Now()
		queue.recordServiceTime(0, "", ms)
		queue.Admit(0, AdmissionRequest{Deadline: time.Second})
		_, queued := queue.Admit(0, AdmissionRequest{Deadline: time.Second})
		admission := queue.Wait(t.Context(), queued, time.Second)
		if took := time.Since(startedAt); admission.Refusal != errs.QueueFull || took > time.Second/2 {
			t.Errorf("refused with %s after %v", admission.Refusal, took)
		}
		if running, waiting, _ := queue.Load(); running != 1 || waiting != 0 {
			t.Errorf("%d run and %d wait", running, waiting)
		}
	})
}

// Quick failures do not count as service time: by them a worker would look the faster the more it fails. A slow failure counts
// as an answer does.
func TestQuickFailuresLeaveServiceTimeUnchanged(t *testing.T) {
	const ms = time.Millisecond
	queue := NewWorkerQueue(8, 8)
	run := func(now time.Duration, result RunResult, took time.Duration) time.Duration {
		if admission, queued := queue.Admit(now, AdmissionRequest{Route: "r", Deadline: now + time.Second}); admission.Refusal != "" || queued != nil {
			t.Fatal("not admitted")
		}
		queue.Release(now+took, "r", result, took)
		return queue.ServiceTime()
	}
	if serviceTime := run(0, ResultAnswered, 100*ms); serviceTime != 100*ms {
		t.Errorf("a service time of %v", serviceTime)
	}
	for i := range 20 {
		if serviceTime := run(time.Duration(i+1)*time.Second, ResultFailed, 2*ms); serviceTime != 100*ms {
			t.Fatalf("after quick failures a service time of %v", serviceTime)
		}
	}
	if serviceTime := run(30*time.Second, ResultFailed, 900*ms); serviceTime != 200*ms {
		t.Errorf("after a slow failure a service time of %v", serviceTime)
	}
}
