package dispatch

import (
	"context"
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

// queueScript executes steps on a queue that runs two requests at once, each for 10 ms, and records the queue's
// decisions.
type queueScript struct {
	t       *testing.T
	queue   *WorkerQueue
	waiters map[string]*QueuedRequest // requests without a decision, keyed by name
	log     []string                  // decisions in the order in which they were made
	now     time.Duration             // process clock of the queue
	route   string                    // route of the requests that admit sends
}

// newQueueScript returns a script whose queue has measured a service time of 10 ms for route r.
func newQueueScript(t *testing.T) *queueScript {
	t.Helper()
	script := &queueScript{t: t, queue: NewWorkerQueue(2, 8), waiters: map[string]*QueuedRequest{}, route: "r"}
	script.queue.recordServiceTime(script.now, "r", 10*ms)
	return script
}

// record logs the decision on a request.
func (s *queueScript) record(name string, admission Admission) {
	outcome := "admitted"
	if admission.Refusal != "" {
		outcome = fmt.Sprint(admission.Refusal, " ", admission.RetryAfter)
	}
	s.log = append(s.log, name+" "+outcome)
}

// admit sends a request to the queue. latencyTarget and deadline are on the queue's clock.
func (s *queueScript) admit(name string, priority uint32, latencyTarget, deadline time.Duration) {
	admission, queued := s.queue.Admit(s.now, AdmissionRequest{Route: s.route, Priority: priority, TargetAt: latencyTarget, Deadline: deadline})
	if queued == nil {
		s.record(name, admission)
		return
	}
	s.waiters[name] = queued
	s.collect()
}

// release ends a request of route r that ran for 10 ms.
func (s *queueScript) release(result RunResult) {
	s.queue.Release(s.now, "r", result, 10*ms)
	s.collect()
}

// collect logs the decisions that have been made on waiting requests.
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

// The queue admits, refuses and orders requests as described at WorkerQueue, and a refusal tells when capacity is
// expected.
func TestWorkerQueueAdmitsByCostAndTime(t *testing.T) {
	for name, test := range map[string]struct {
		steps func(script *queueScript)
		want  string
	}{
		"equal requests: order of arrival": {func(script *queueScript) {
			for _, name := range []string{"a", "b", "c", "d"} {
				script.admit(name, 0, 0, time.Second)
			}
			script.release(ResultAnswered)
			script.release(ResultAnswered)
		}, "a admitted, b admitted, c admitted, d admitted"},
		"higher priority first": {func(script *queueScript) {
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 2, 0, time.Second)
			script.admit("d", 1, 0, time.Second)
			script.release(ResultAnswered)
			script.release(ResultAnswered)
		}, "a admitted, b admitted, d admitted, c admitted"},
		// Two requests run at once, so each waiting one waits 5 ms longer than the one before it, and runs for 10 ms.
		"late for its latency target: refused": {func(script *queueScript) {
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				script.admit(name, 0, 20*ms, time.Second)
			}
		}, "a admitted, b admitted, e BUFFER_FULL 5ms"},
		"late for its deadline: refused": {func(script *queueScript) {
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 0, 0, 14*ms)
			script.admit("d", 0, 0, 15*ms)
		}, "a admitted, b admitted, c BUFFER_FULL 5ms"},
		"same route and priority: earlier start first": {func(script *queueScript) {
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 0, 100*ms, time.Second)
			script.admit("d", 0, 60*ms, time.Second)
			script.release(ResultAnswered)
			script.release(ResultAnswered)
		}, "a admitted, b admitted, d admitted, c admitted"},
		"lower cost first": {func(script *queueScript) {
			script.queue.recordServiceTime(script.now, "short", 2*ms)
			script.queue.recordServiceTime(script.now, "r", 10*ms)
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 0, 100*ms, time.Second)
			script.admit("d", 0, 30*ms, time.Second) // must start earlier than e
			script.route = "short"
			script.admit("e", 1, 70*ms, time.Second) // has a lower priority, but costs less in spite of that
			script.admit("f", 0, 1*ms, time.Second)  // late for its target, but short, so it has until its deadline
			script.release(ResultAnswered)
			script.release(ResultAnswered)
			script.release(ResultAnswered)
			script.release(ResultAnswered)
		}, "a admitted, b admitted, f admitted, e admitted, d admitted, c admitted"},
		"short request of a much lower priority: higher cost": {func(script *queueScript) {
			script.queue.recordServiceTime(script.now, "short", 2*ms)
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 0, 0, time.Second)
			script.route = "short"
			script.admit("d", 3, 0, time.Second)
			script.release(ResultAnswered)
			script.release(ResultAnswered)
		}, "a admitted, b admitted, c admitted, d admitted"},
		"late because of routes that precede it: refused": {func(script *queueScript) {
			// A route with a lower cost uses half of the worker's time.
			for range 200 {
				script.now += 2 * ms
				script.queue.recordServiceTime(script.now, "short", 2*ms)
			}
			script.admit("a", 0, 0, 2*time.Second)
			script.admit("b", 0, 0, 2*time.Second)
			script.admit("c", 0, script.now+11*ms, 2*time.Second) // would be in time if no other route preceded it
			script.route = "short"
			script.admit("d", 0, script.now+11*ms, 2*time.Second)
		}, "a admitted, b admitted, c BUFFER_FULL 1.026088ms"},
		"free slots: admitted even if late": {func(script *queueScript) {
			script.admit("a", 0, -1, time.Second)
			script.admit("b", 0, 1*ms, 2*ms)
			script.admit("c", 0, -1, time.Second)
		}, "a admitted, b admitted, c BUFFER_FULL 15.000001ms"},
		"deadline passed at arrival: refused": {func(script *queueScript) {
			script.now = time.Second
			script.admit("a", 0, 0, time.Second)
		}, "a HORIZON_PAST 0s"},
		"higher priority displaces a request that has just arrived": {func(script *queueScript) {
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 1, 15*ms, time.Second)
			script.admit("d", 0, 15*ms, time.Second)
			script.release(ResultAnswered)
		}, "a admitted, b admitted, c BUFFER_FULL 5ms, d admitted"},
		"request that has waited long: not displaced": {func(script *queueScript) {
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 1, 15*ms, time.Second)
			script.now = 4 * ms
			script.admit("d", 0, 25*ms, time.Second)
			script.release(ResultAnswered)
			script.release(ResultAnswered)
		}, "a admitted, b admitted, d admitted, c admitted"},
		"deadline passes in the queue: refused": {func(script *queueScript) {
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 0, 0, 30*ms)
			script.admit("d", 0, 0, time.Second)
			script.now = 30 * ms
			script.release(ResultAnswered)
		}, "a admitted, b admitted, c HORIZON_PAST 0s, d admitted"},
		"worker without progress: longer expected wait": {func(script *queueScript) {
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.now = 15 * ms
			script.admit("c", 0, 45*ms, time.Second)
			script.now = 30 * ms
			script.admit("d", 0, 65*ms, time.Second)
			script.release(ResultAnswered)
			script.admit("e", 0, 65*ms, time.Second)
			script.release(ResultAnswered)
		}, "a admitted, b admitted, d BUFFER_FULL 30ms, c admitted, e admitted"},
		"queue closed for a draining worker: waiting and later requests refused": {func(script *queueScript) {
			for _, name := range []string{"a", "b", "c"} {
				script.admit(name, 0, 0, time.Second)
			}
			script.queue.Close(errs.WorkerDraining)
			script.collect()
			script.release(ResultAnswered)
			script.admit("d", 0, 0, time.Second)
		}, "a admitted, b admitted, c WORKER_LEAVING 0s, d WORKER_LEAVING 0s"},
		"rejection by the worker: limit reduced, raised after answers": {func(script *queueScript) {
			for _, name := range []string{"a", "b", "c", "d"} {
				script.admit(name, 0, 0, time.Second)
			}
			script.admit("e", 0, 0, time.Second)
			script.release(ResultRejected) // one request still runs, so the limit becomes one
			script.log = append(script.log, "then")
			script.release(ResultAnswered)
			script.log = append(script.log, "then")
			script.release(ResultAnswered) // the second answer raises the limit to two
		}, "a admitted, b admitted, then, c admitted, then, d admitted, e admitted"},
		"service times not known: bounded by number": {func(script *queueScript) {
			script.queue = NewWorkerQueue(1, 8)
			for _, name := range []string{"a", "b", "c", "d"} {
				script.admit(name, 0, 0, time.Second)
			}
		}, "a admitted, d BUFFER_FULL 0s"},
		"slots not reported: no waiting": {func(script *queueScript) {
			script.queue = NewWorkerQueue(1, 0)
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
		}, "a admitted, b BUFFER_FULL 0s"},
		"slots raised: more are admitted": {func(script *queueScript) {
			script.queue = NewWorkerQueue(9, 1)
			for _, name := range []string{"a", "b", "c", "d"} {
				script.admit(name, 0, 0, time.Second)
			}
			script.queue.SetSlots(script.now, 2)
			script.collect()
		}, "a admitted, b admitted, c admitted"},
	} {
		t.Run(name, func(t *testing.T) {
			script := newQueueScript(t)
			test.steps(script)
			if got := strings.Join(script.log, ", "); got != test.want {
				t.Errorf("decisions: got %q, want %q", got, test.want)
			}
		})
	}
}

// In every order of three requests, the cancellation of one of them, and the close of the queue: no more than one
// request runs at once, none is admitted after the close, and none remains in the queue. The exploration must find a
// seeded fault: a canceled request ignores that it was admitted.
func TestWorkerQueueHoldsLimitInEveryOrder(t *testing.T) {
	explore := func(seeded bool) scheduleexplorer.Outcome {
		return scheduleexplorer.Explore(t, 400000, func(t *testing.T, run *scheduleexplorer.Execution) func() error {
			t.Helper()
			queue := NewWorkerQueue(1, 1)
			queue.recordServiceTime(0, "", ms)
			// A goroutine that is woken by its admission runs concurrently with the one that released the slot.
			var lock sync.Mutex             // guards the variables below
			running, closed := 0, false     // requests running; whether the queue was closed
			outcomes := map[string]string{} // keyed by request: "ran", the code of the refusal, or empty while running
			var violation error             // last violation that a request found; nil for none
			ctx, cancel := context.WithCancel(t.Context())
			for i, name := range []string{"low", "high", "canceled"} {
				run.Go(name, func(yield func()) {
					callerCtx := t.Context() //nolint:contextcheck // each goroutine of an exploration has the context of its own caller
					if name == "canceled" {
						callerCtx = ctx
					}
					lock.Lock()
					afterClose := closed
					lock.Unlock()
					admission, queued := queue.Admit(0, AdmissionRequest{Priority: uint32(2 - i), Deadline: time.Hour})
					yield()
					switch {
					case queued != nil && seeded && callerCtx.Err() != nil:
						// Seeded fault: a canceled request ignores whether it was admitted.
						queue.Remove(queued)
						admission.Refusal = errs.DeadlineExceeded
					case queued != nil:
						admission = queue.Wait(callerCtx, queued, time.Hour)
					}
					lock.Lock()
					outcomes[name] = string(admission.Refusal)
					if admission.Refusal == "" {
						running++
					}
					if running > 1 || (afterClose && admission.Refusal == "") {
						violation = fmt.Errorf("request %s: got refusal %q with %d requests running, queue closed before: %t, want at most 1 running and none admitted after the close",
							name, admission.Refusal, running, afterClose)
					}
					lock.Unlock()
					if admission.Refusal != "" {
						return
					}
					yield()
					lock.Lock()
					running--
					outcomes[name] = "ran"
					lock.Unlock()
					queue.Release(0, "", ResultAnswered, ms)
				})
			}
			run.Go("cancel", func(func()) { cancel() })
			run.Go("close", func(func()) {
				queue.Close(errs.WorkerDraining)
				lock.Lock()
				closed = true
				lock.Unlock()
			})
			return func() error {
				lock.Lock()
				defer lock.Unlock()
				running, waiting, _ := queue.Load()
				if violation == nil && len(outcomes) == 3 && outcomes["low"] != "" && outcomes["high"] != "" && outcomes["canceled"] != "" && running+waiting > 0 {
					violation = fmt.Errorf("after the end of all requests: got %d running and %d waiting, want none", running, waiting)
				}
				return violation
			}
		})
	}
	if explore(true).Failure == "" {
		t.Error("Explore with the seeded fault: got no failure, want one")
	}
	correct := explore(false)
	if correct.Failure != "" {
		t.Errorf("Explore: got the failure %q, want none", correct.Failure)
	}
	t.Logf("explored %d orders", correct.Schedules)
}

// A request waits for less than half of its time left, so that another worker can still serve it.
func TestQueueWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue, startedAt := NewWorkerQueue(1, 8), time.Now()
		queue.recordServiceTime(0, "", ms)
		queue.Admit(0, AdmissionRequest{Deadline: time.Second})
		_, queued := queue.Admit(0, AdmissionRequest{Deadline: time.Second})
		admission := queue.Wait(t.Context(), queued, time.Second)
		if took := time.Since(startedAt); admission.Refusal != errs.QueueFull || took > time.Second/2 {
			t.Errorf("Wait: got refusal %q after %v, want %q within %v", admission.Refusal, took, errs.QueueFull, time.Second/2)
		}
		if running, waiting, _ := queue.Load(); running != 1 || waiting != 0 {
			t.Errorf("Load after Wait: got %d running and %d waiting, want 1 and 0", running, waiting)
		}
	})
}

// A quick failure does not count as a service time, because the more a worker failed, the faster it would look. A slow
// failure counts like an answer.
func TestQuickFailuresLeaveServiceTimeUnchanged(t *testing.T) {
	const ms = time.Millisecond
	queue := NewWorkerQueue(8, 8)
	run := func(now time.Duration, result RunResult, took time.Duration) time.Duration {
		if admission, queued := queue.Admit(now, AdmissionRequest{Route: "r", Deadline: now + time.Second}); admission.Refusal != "" || queued != nil {
			t.Fatalf("Admit at %v: got refusal %q, queued %t, want admitted", now, admission.Refusal, queued != nil)
		}
		queue.Release(now+took, "r", result, took)
		return queue.ServiceTime()
	}
	if serviceTime := run(0, ResultAnswered, 100*ms); serviceTime != 100*ms {
		t.Errorf("ServiceTime after an answer: got %v, want 100ms", serviceTime)
	}
	for i := range 20 {
		if serviceTime := run(time.Duration(i+1)*time.Second, ResultFailed, 2*ms); serviceTime != 100*ms {
			t.Fatalf("ServiceTime after %d quick failures: got %v, want 100ms", i+1, serviceTime)
		}
	}
	if serviceTime := run(30*time.Second, ResultFailed, 900*ms); serviceTime != 200*ms {
		t.Errorf("ServiceTime after a slow failure: got %v, want 200ms", serviceTime)
	}
}
