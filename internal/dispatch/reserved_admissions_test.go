package dispatch

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// A body that is likely to be refused goes to another zone only once the worker's queue has admitted the request.
func TestCapacityCheckBeforeABodyIsSent(t *testing.T) {
	full := refusing(errs.QueueFull, 9*time.Millisecond, false)
	withCapacity := func(ctx context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
		time.Sleep(20 * time.Millisecond) // it waits for admission
		return refusing("", 0, false)(ctx, request)
	}
	body := strings.Repeat("x", 4000)
	for name, test := range map[string]struct {
		body     string
		far      bool
		rejected int // calls that the worker refused before
		script   []attemptScript
		want     string // one letter for each attempt: e for a capacity check, s for the request with its body
		ending   schema.CallOutcome
	}{
		"of the own zone":                                         {body, false, 9, []attemptScript{full, full}, "ss", schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED},
		"elsewhere, with capacity so far":                         {body, true, 0, []attemptScript{answering}, "s", schema.CallOutcome_CALL_OUTCOME_ANSWERED},
		"elsewhere, after another refused":                        {body, true, 0, []attemptScript{full, full}, "se", schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED},
		"elsewhere, after another refused, and there is capacity": {body, true, 0, []attemptScript{full, withCapacity, answering}, "ses", schema.CallOutcome_CALL_OUTCOME_ANSWERED},
		"elsewhere, that refused recently":                        {body, true, 9, []attemptScript{full, full}, "ee", schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED},
		"elsewhere, that refused recently and has capacity":       {body, true, 9, []attemptScript{withCapacity, answering}, "es", schema.CallOutcome_CALL_OUTCOME_ANSWERED},
		"elsewhere, not reached by the capacity check":            {body, true, 9, []attemptScript{breaking, unopened, withCapacity, answering}, "eees", schema.CallOutcome_CALL_OUTCOME_ANSWERED},
		"elsewhere, with hardly a body":                           {"x", true, 9, []attemptScript{full, full}, "ss", schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				forwarder := newScriptedForwarder(t, 6, `"class":"once"`, 0, test.script...)
				directory := forwarder.View().Directory["shop"]["1"]
				for i := range directory {
					directory[i].Zone = map[bool]string{true: "elsewhere"}[test.far]
					for range test.rejected {
						forwarder.Outliers.BeginCall(directory[i].Instance, 0)
						forwarder.Outliers.RecordResponse(directory[i].Instance, 0, 0, notExecuted(errs.QueueFull, 0))
					}
				}
				kinds, send, startedAt, deadline := "", forwarder.Send, time.Now(), 3100*time.Millisecond
				forwarder.Send = func(ctx context.Context, candidate plan.Endpoint, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
					kind := "s"
					if request.AdmissionOnly {
						kind = "e"
					}
					if request.AdmissionOnly == (len(request.Body) > 0) {
						t.Error("a capacity check with a body, or a request without")
					}
					kinds += kind
					if left := deadline - time.Since(startedAt); request.TimeLeftNanos != int64(left) {
						t.Errorf("time left is %v, not %v", time.Duration(request.TimeLeftNanos), left)
					}
					return send(ctx, candidate, request)
				}
				result := forwarder.Forward(t.Context(), &Call{Target: "/a", Body: []byte(test.body), Request: plan.Request{Caller: "client", Method: "PUT", Path: "/a", Header: func(string) (string, bool) { return "", false }}})
				if kinds != test.want || result.Response.Outcome != test.ending {
					t.Errorf("sent %q, ended %v; want %q, %v", kinds, result.Response.Outcome, test.want, test.ending)
				}
			})
		})
	}
}

// An admission that is reserved for a request can be used by that request alone, once, and for a limited time.
func TestReservedAdmissions(t *testing.T) {
	for name, test := range map[string]struct {
		checks   int           // capacity checks that arrive
		late     time.Duration // after which the request comes
		replaced bool          // the admission was reserved at another worker
		taken    bool
	}{
		"the request comes":                            {1, time.Millisecond, false, true},
		"the capacity check arrives twice":             {2, time.Millisecond, false, true},
		"the request comes late":                       {1, time.Second, false, false},
		"the worker was replaced":                      {1, time.Millisecond, true, false},
		"a request without a capacity check":           {0, 0, false, false},
		"the request comes just after the reservation": {1, 101 * time.Millisecond, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				startedAt := time.Now()
				now := func() time.Duration { return time.Since(startedAt) }
				reservations, queue := &reservedAdmissions{byRequest: map[string]*reservedAdmission{}}, NewWorkerQueue(1, 1)
				queueOfRequest := queue
				if test.replaced {
					queueOfRequest = NewWorkerQueue(1, 1)
				}
				for range test.checks {
					reservations.lock.Lock()
					earlier := reservations.byRequest["r"]
					reservations.lock.Unlock()
					if earlier == nil {
						if admission, queued := queue.Admit(now(), AdmissionRequest{Deadline: time.Hour}); admission.Refusal != "" || queued != nil {
							t.Fatal("the first is not admitted")
						}
					} else {
						queue.running++
					}
					reservations.reserve("r", queue, now, 100*time.Millisecond)
				}
				if running, _, _ := queue.Load(); running != uint32(min(1, test.checks)) {
					t.Errorf("%d admissions are reserved", running)
				}
				time.Sleep(test.late)
				synctest.Wait()
				if got := reservations.take("r", queueOfRequest); got != test.taken {
					t.Errorf("taken: %v, want %v", got, test.taken)
				}
				if reservations.take("r", queueOfRequest) {
					t.Error("one admission was taken twice")
				}
				want := uint32(0)
				if test.taken {
					want = 1
				}
				if running, _, _ := queue.Load(); running != want {
					t.Errorf("%d are admitted, want %d", running, want)
				}
			})
		})
	}
}

// On the worker's side a capacity check runs nothing, reserves the admission, and is refused where there is no capacity.
func TestCapacityChecksRunNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newWorkerFixture(t)
		instance, _ := fixture.addWorker(t, "127.0.0.1:1", "shop", "1", "token")
		newCapacityCheck := func(id string) *schema.ForwardRequest {
			request := newForwardRequest(id, instance)
			request.AdmissionOnly, request.Body = true, nil
			return request
		}
		worker, _, _ := fixture.workers.find(newForwardRequest("r1", instance))
		worker.queue.maxRunning, worker.queue.slots = 1, 0
		if got := fixture.runner.Run(t.Context(), client, newCapacityCheck("r1")); got.Outcome != schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED || got.ErrorCode != "" || len(fixture.recordedRuns()) > 0 {
			t.Errorf("the capacity check ended %v with %s, runs %v", got.Outcome, got.ErrorCode, fixture.recordedRuns())
		}
		if got := fixture.runner.Run(t.Context(), transport.Peer{}, newCapacityCheck("r1")); got.ErrorCode != string(errs.CallerNotAllowed) {
			t.Errorf("an unauthenticated peer's capacity check ended with %s", got.ErrorCode)
		}
		if got := fixture.runner.Run(t.Context(), client, newCapacityCheck("r2")); got.ErrorCode != string(errs.QueueFull) {
			t.Errorf("a capacity check without capacity ended with %q", got.ErrorCode)
		}
		if got := fixture.runner.Run(t.Context(), client, newForwardRequest("r1", instance)); got.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED || len(fixture.recordedRuns()) != 1 {
			t.Errorf("the request ended %v with %s, runs %v", got.Outcome, got.ErrorCode, fixture.recordedRuns())
		}
		if got := fixture.runner.Run(t.Context(), client, newCapacityCheck("r3")); got.ErrorCode != "" {
			t.Errorf("the admission was not returned: %s", got.ErrorCode)
		}
		unknown := newCapacityCheck("r4")
		unknown.Instance = "p/old/1"
		if got := fixture.runner.Run(t.Context(), client, unknown); got.ErrorCode != string(errs.WrongInstance) {
			t.Errorf("a capacity check for a worker that is no longer registered ended with %q", got.ErrorCode)
		}
	})
}
