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

// A body that would likely be refused is sent to another zone only after a capacity check has been admitted there.
func TestCapacityCheckPrecedesBody(t *testing.T) {
	full := refusing(errs.QueueFull, 9*time.Millisecond, false)
	withCapacity := func(ctx context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
		time.Sleep(20 * time.Millisecond) // the wait for admission
		return refusing("", 0, false)(ctx, request)
	}
	body := strings.Repeat("x", 4000)
	for name, test := range map[string]struct {
		body        string
		otherZone   bool // the workers are in another zone than the forwarder
		refused     int  // calls that each worker has refused before
		script      []attemptScript
		want        string // one letter for each message: c for a capacity check, r for the request with its body
		wantOutcome schema.CallOutcome
	}{
		"own zone: no check":                                         {body, false, 9, []attemptScript{full, full}, "rr", schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED},
		"other zone, no refusals so far: no check":                   {body, true, 0, []attemptScript{answering}, "r", schema.CallOutcome_CALL_OUTCOME_ANSWERED},
		"other zone, another worker refused: check refused":          {body, true, 0, []attemptScript{full, full}, "rc", schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED},
		"other zone, another worker refused: check admitted":         {body, true, 0, []attemptScript{full, withCapacity, answering}, "rcr", schema.CallOutcome_CALL_OUTCOME_ANSWERED},
		"other zone, worker refused recently: check refused":         {body, true, 9, []attemptScript{full, full}, "cc", schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED},
		"other zone, worker refused recently: check admitted":        {body, true, 9, []attemptScript{withCapacity, answering}, "cr", schema.CallOutcome_CALL_OUTCOME_ANSWERED},
		"other zone, check does not reach the proxy: next candidate": {body, true, 9, []attemptScript{breaking, unopened, withCapacity, answering}, "cccr", schema.CallOutcome_CALL_OUTCOME_ANSWERED},
		"other zone, small body: no check":                           {"x", true, 9, []attemptScript{full, full}, "rr", schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				forwarder := newScriptedForwarder(t, 6, `"class":"once"`, 0, test.script...)
				directory := forwarder.View().Directory["shop"]["1"]
				for i := range directory {
					directory[i].Zone = map[bool]string{true: "elsewhere"}[test.otherZone]
					for range test.refused {
						forwarder.Outliers.BeginCall(directory[i].Instance, 0)
						forwarder.Outliers.RecordResponse(directory[i].Instance, 0, 0, notExecuted(errs.QueueFull, 0))
					}
				}
				// The route's deadline of 3200 ms, less 1/returnMarginDivisor of it, is 3100 ms.
				sent, send, startedAt, deadline := "", forwarder.Send, time.Now(), 3100*time.Millisecond
				forwarder.Send = func(ctx context.Context, candidate plan.Endpoint, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
					kind := "r"
					if request.AdmissionOnly {
						kind = "c"
					}
					if request.AdmissionOnly == (len(request.Body) > 0) {
						t.Errorf("Send: got a body of %d bytes with AdmissionOnly %t, want a body only without it", len(request.Body), request.AdmissionOnly)
					}
					sent += kind
					if left := deadline - time.Since(startedAt); request.TimeLeftNanos != int64(left) {
						t.Errorf("Send: got the time left %v, want %v", time.Duration(request.TimeLeftNanos), left)
					}
					return send(ctx, candidate, request)
				}
				result := forwarder.Forward(t.Context(), &Call{Target: "/a", Body: []byte(test.body), Request: plan.Request{Caller: "client", Method: "PUT", Path: "/a", Header: func(string) (string, bool) { return "", false }}})
				if sent != test.want || result.Response.Outcome != test.wantOutcome {
					t.Errorf("Forward: sent %q and got %v, want %q and %v", sent, result.Response.Outcome, test.want, test.wantOutcome)
				}
			})
		})
	}
}

// An admission that is reserved for a request can be used only by that request, once, and for a limited time.
func TestReservedAdmissionIsTakenOnce(t *testing.T) {
	for name, test := range map[string]struct {
		checks   int           // capacity checks that arrive
		delay    time.Duration // time from the last capacity check to the request
		replaced bool          // the worker is replaced between the capacity check and the request
		want     bool          // the request takes the admission
	}{
		"request after its capacity check: taken":                  {1, time.Millisecond, false, true},
		"duplicate capacity check: taken once":                     {2, time.Millisecond, false, true},
		"request long after the end of the reservation: not taken": {1, time.Second, false, false},
		"worker replaced: not taken":                               {1, time.Millisecond, true, false},
		"request without a capacity check: not taken":              {0, 0, false, false},
		"request just after the end of the reservation: not taken": {1, 101 * time.Millisecond, false, false},
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
							t.Fatalf("Admit: got refusal %q, queued %t, want the capacity check admitted", admission.Refusal, queued != nil)
						}
					} else {
						queue.running++
					}
					reservations.reserve("r", queue, now, 100*time.Millisecond)
				}
				// A duplicate check does not hold a second admission.
				if running, _, _ := queue.Load(); running != uint32(min(1, test.checks)) {
					t.Errorf("Load after reserve: got %d admissions, want %d", running, min(1, test.checks))
				}
				time.Sleep(test.delay)
				synctest.Wait()
				if got := reservations.take("r", queueOfRequest); got != test.want {
					t.Errorf("take: got %t, want %t", got, test.want)
				}
				if reservations.take("r", queueOfRequest) {
					t.Error("second take: got true, want false")
				}
				wantRunning := uint32(0)
				if test.want {
					wantRunning = 1
				}
				if running, _, _ := queue.Load(); running != wantRunning {
					t.Errorf("Load after take: got %d admissions, want %d", running, wantRunning)
				}
			})
		})
	}
}

// The runner answers a capacity check without running anything. It reserves the admission for the request, and refuses
// the check if there is no capacity.
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
			t.Errorf("capacity check r1: got %v with code %q and runs %+v, want CALL_OUTCOME_NOT_EXECUTED with no code and no run",
				got.Outcome, got.ErrorCode, fixture.recordedRuns())
		}
		if got := fixture.runner.Run(t.Context(), transport.Peer{}, newCapacityCheck("r1")); got.ErrorCode != string(errs.CallerNotAllowed) {
			t.Errorf("capacity check r1 of an unauthenticated peer: got code %q, want %q", got.ErrorCode, errs.CallerNotAllowed)
		}
		if got := fixture.runner.Run(t.Context(), client, newCapacityCheck("r2")); got.ErrorCode != string(errs.QueueFull) {
			t.Errorf("capacity check r2 without capacity: got code %q, want %q", got.ErrorCode, errs.QueueFull)
		}
		if got := fixture.runner.Run(t.Context(), client, newForwardRequest("r1", instance)); got.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED || len(fixture.recordedRuns()) != 1 {
			t.Errorf("request r1: got %v with code %q and runs %+v, want CALL_OUTCOME_ANSWERED and one run", got.Outcome, got.ErrorCode, fixture.recordedRuns())
		}
		if got := fixture.runner.Run(t.Context(), client, newCapacityCheck("r3")); got.ErrorCode != "" {
			t.Errorf("capacity check r3 after request r1: got code %q, want none, because the admission was released", got.ErrorCode)
		}
		unknown := newCapacityCheck("r4")
		unknown.Instance = "p/old/1"
		if got := fixture.runner.Run(t.Context(), client, unknown); got.ErrorCode != string(errs.WrongInstance) {
			t.Errorf("capacity check r4 for an instance that is not registered: got code %q, want %q", got.ErrorCode, errs.WrongInstance)
		}
	})
}
