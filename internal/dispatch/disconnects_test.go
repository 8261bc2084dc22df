package dispatch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// A run that must end when its caller disconnects is counted as an overrun if it still runs after maxOverrun
// and the grace period.
func TestOverrunsAreCounted(t *testing.T) {
	const maxOverrun = 100 * time.Millisecond
	for name, test := range map[string]struct {
		mustStop bool          // the run must end when its caller disconnects
		lasts    time.Duration // time from the disconnect to the end of the run; negative for no disconnect
		want     uint64        // number of overruns
	}{
		"ends at once: no overrun":                      {true, 0, 0},
		"ends at maxOverrun: no overrun":                {true, maxOverrun, 0},
		"ends just within the grace period: no overrun": {true, maxOverrun + maxOverrun/graceDivisor - 1, 0},
		"ends just after the grace period: overrun":     {true, maxOverrun + maxOverrun/graceDivisor + 1, 1},
		"need not stop, ends long after: no overrun":    {false, time.Hour, 0},
		"caller does not disconnect: no overrun":        {true, -1, 0},
		"ends long after the grace period: overrun":     {true, time.Hour, 1},
		"need not stop, ends soon after: no overrun":    {false, 1, 0},
		"ends before maxOverrun: no overrun":            {true, maxOverrun / 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				startedAt, counts := time.Now(), &Disconnects{}
				ctx, disconnect := context.WithCancel(t.Context())
				defer disconnect()
				watch := counts.watchCaller(ctx, test.mustStop, maxOverrun, func() time.Duration { return time.Since(startedAt) })
				time.Sleep(time.Second)
				if test.lasts >= 0 {
					disconnect()
					synctest.Wait()
					time.Sleep(test.lasts)
				}
				if _, disconnected := watch.finish(); disconnected != (test.lasts >= 0) {
					t.Errorf("finish: got disconnected %t, want %t", disconnected, test.lasts >= 0)
				}
				time.Sleep(time.Hour)
				if got := counts.Counts().Overrun; got != test.want {
					t.Errorf("Counts().Overrun: got %d, want %d", got, test.want)
				}
			})
		})
	}
}

// An idempotent run ends when its caller disconnects: the connection to the worker is closed, the outcome is unknown
// with the code for a disconnect, and nothing counts against the worker. A non-idempotent run goes on.
func TestIdempotentRunEndsAtDisconnect(t *testing.T) {
	for name, test := range map[string]struct {
		nonIdempotent bool
		wantOutcome   schema.CallOutcome
		wantCode      errs.Code
		wantCounts    DisconnectCounts
	}{
		"idempotent":     {false, schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.CallerDisconnected, DisconnectCounts{Propagated: 1, Canceled: 1}},
		"non-idempotent": {true, schema.CallOutcome_CALL_OUTCOME_ANSWERED, "", DisconnectCounts{Propagated: 1, RanToEnd: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newWorkerFixture(t)
				fixture.runner.MaxOverrun, fixture.runner.Outliers = 100*time.Millisecond, NewOutlierDetector(1, time.Minute)
				instance, worker := fixture.addWorker(t, "127.0.0.1:1", "shop", "1", "token")
				worker.answer = func(string) string {
					time.Sleep(500 * time.Millisecond)
					return jsonAnswer(`{}`)
				}
				ctx, disconnect := context.WithCancel(t.Context())
				time.AfterFunc(200*time.Millisecond, disconnect)
				request := newForwardRequest("r1", instance)
				request.NonIdempotent = test.nonIdempotent
				startedAt := time.Now()
				got := fixture.runner.Run(ctx, client, request)
				if got.Outcome != test.wantOutcome || got.ErrorCode != string(test.wantCode) {
					t.Errorf("Run(r1): got %v with code %q, want %v with code %q", got.Outcome, got.ErrorCode, test.wantOutcome, test.wantCode)
				}
				if !test.nonIdempotent && time.Since(startedAt) != 200*time.Millisecond {
					t.Errorf("Run(r1): returned after %v, want 200ms, when the caller disconnects", time.Since(startedAt))
				}
				if counts := fixture.runner.Disconnects.Counts(); counts != test.wantCounts {
					t.Errorf("Disconnects.Counts: got %+v, want %+v", counts, test.wantCounts)
				}
				if _, failed := fixture.runner.Outliers.RunCounts(instance, fixture.now()); failed != 0 {
					t.Errorf("RunCounts: got %d failed runs, want 0", failed)
				}
				if running, waiting, _, _ := fixture.workers.Load(instance); running+waiting != 0 {
					t.Errorf("Load: got %d running and %d waiting requests, want 0 and 0", running, waiting)
				}
				// The next request must not get the connection, nor the response, of the canceled one.
				if next := fixture.runner.Run(t.Context(), client, newForwardRequest("r2", instance)); next.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED {
					t.Errorf("Run(r2): got %v with code %q, want CALL_OUTCOME_ANSWERED", next.Outcome, next.ErrorCode)
				}
			})
		})
	}
}

// A call that the caller's proxy gives up shortly before its deadline has run out of time. Its code is that of a passed
// deadline, not that of a disconnect, so that the run may count against the worker.
func TestDisconnectAtDeadlineIsNotCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newWorkerFixture(t)
		fixture.runner.Outliers = NewOutlierDetector(1, time.Minute)
		instance, worker := fixture.addWorker(t, "127.0.0.1:1", "shop", "1", "token")
		worker.answer = func(string) string {
			time.Sleep(5 * time.Second)
			return jsonAnswer(`{}`)
		}
		request := newForwardRequest("r1", instance)
		request.NonIdempotent = false
		left := time.Duration(request.TimeLeftNanos)
		ctx, disconnect := context.WithCancel(t.Context())
		time.AfterFunc(left-left/truncatedRunDivisor/2, disconnect)
		if got := fixture.runner.Run(ctx, client, request); got.Outcome != schema.CallOutcome_CALL_OUTCOME_UNKNOWN || got.ErrorCode != string(errs.DeadlineExceeded) {
			t.Errorf("Run: got %v with code %q, want CALL_OUTCOME_UNKNOWN with code %q", got.Outcome, got.ErrorCode, errs.DeadlineExceeded)
		}
	})
}

// When the caller disconnects, Forward ends at once, makes no further attempt, and does not count a failure of the
// worker or of its version. A call with an idempotency key is not canceled.
func TestForwardEndsAtDisconnect(t *testing.T) {
	for name, test := range map[string]struct {
		route, key  string
		wantOutcome schema.CallOutcome
		wantCode    errs.Code
	}{
		"idempotent":           {`"class":"repeatable"`, "", schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.CallerDisconnected},
		"non-idempotent":       {`"class":"once"`, "", schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.CallerDisconnected},
		"with idempotency key": {`"class":"once"`, "k", schema.CallOutcome_CALL_OUTCOME_ANSWERED, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answerAfterOneSecond := func(ctx context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
					select {
					case <-ctx.Done():
						return nil, ctx.Err()
					case <-time.After(time.Second):
						return answering(ctx, request)
					}
				}
				forwarder := newScriptedForwarder(t, 3, test.route, 9, answerAfterOneSecond)
				forwarder.ReserveKey = func(context.Context, *schema.KeyReservation) (session.ReservationOutcome, *schema.KeyReservation) {
					return session.ReservationGranted, nil
				}
				ctx, disconnect := context.WithCancel(t.Context())
				time.AfterFunc(300*time.Millisecond, disconnect)
				call := newScriptedCall()
				call.Request.IdempotencyKey = test.key
				startedAt := time.Now()
				result := forwarder.Forward(ctx, call)
				if result.Response.Outcome != test.wantOutcome || result.Response.ErrorCode != string(test.wantCode) || len(forwarder.sent) != 1 {
					t.Errorf("Forward: got %v with code %q after %d attempts, want %v with code %q after 1 attempt",
						result.Response.Outcome, result.Response.ErrorCode, len(forwarder.sent), test.wantOutcome, test.wantCode)
				}
				if test.key == "" && time.Since(startedAt) != 300*time.Millisecond {
					t.Errorf("Forward: returned after %v, want 300ms, when the caller disconnects", time.Since(startedAt))
				}
				for _, count := range forwarder.Counter.Counts(1) {
					if count.Failures != 0 {
						t.Errorf("Counter.Counts: got %v, want no failures", count)
					}
					if test.key == "" && count.Outcome != outcomeCanceled {
						t.Errorf("Counter.Counts: got the outcome %q, want %q", count.Outcome, outcomeCanceled)
					}
				}
				stats := forwarder.Outliers.Stats(&plan.Endpoint{Instance: forwarder.sent[0]}, forwarder.Now())
				if stats.InFlight != 0 || stats.RecentFailures != 0 || stats.Ejected {
					t.Errorf("Stats: got %+v, want no call in flight, no failures and no ejection", stats)
				}
			})
		})
	}
}

// A request whose caller disconnects before the request is sent has the outcome "not executed", and does not run.
func TestDisconnectBeforeSendRunsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newWorkerFixture(t)
		instance, _ := fixture.addWorker(t, "127.0.0.1:1", "shop", "1", "token")
		ctx, disconnect := context.WithCancel(t.Context())
		disconnect()
		for _, nonIdempotent := range []bool{false, true} {
			request := newForwardRequest("r-"+map[bool]string{true: "once"}[nonIdempotent], instance)
			request.NonIdempotent = nonIdempotent
			if got := fixture.runner.Run(ctx, client, request); got.Outcome != schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED || got.ErrorCode != string(errs.CallerDisconnected) {
				t.Errorf("Run with non-idempotent %t: got %v with code %q, want CALL_OUTCOME_NOT_EXECUTED with code %q",
					nonIdempotent, got.Outcome, got.ErrorCode, errs.CallerDisconnected)
			}
		}
		if runs := fixture.recordedRuns(); len(runs) > 0 {
			t.Errorf("after the disconnect: got runs %+v, want none", runs)
		}
		if !errors.Is(ctx.Err(), context.Canceled) || contextErrorCode(ctx) != errs.CallerDisconnected {
			t.Errorf("contextErrorCode after %v: got %q, want %q after context.Canceled", ctx.Err(), contextErrorCode(ctx), errs.CallerDisconnected)
		}
	})
}

// A caller disconnects at the same moment as its answer arrives. Whichever comes first, the next request to the worker
// gets its own answer, so no connection is reused on which a request was interrupted.
func TestInterruptedConnectionIsNotReused(t *testing.T) {
	const rounds, took = 300, 100 * time.Millisecond
	outcomes := map[schema.CallOutcome]int{}
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			fixture := newWorkerFixture(t)
			instance, worker := fixture.addWorker(t, "127.0.0.1:1", "shop", "1", "token")
			worker.answer = func(request string) string {
				time.Sleep(took)
				return jsonAnswer(`{"request":"` + request + `"}`)
			}
			ctx, disconnect := context.WithCancel(t.Context())
			time.AfterFunc(took, disconnect)
			first, second := newForwardRequest("r1", instance), newForwardRequest("r2", instance)
			first.NonIdempotent, second.NonIdempotent = false, false
			got := fixture.runner.Run(ctx, client, first)
			outcomes[got.Outcome]++
			if got.Outcome == schema.CallOutcome_CALL_OUTCOME_ANSWERED && string(got.Body) != `{"request":"r1"}` {
				t.Errorf("Run(r1): got the body %q, want %q", got.Body, `{"request":"r1"}`)
			}
			if got = fixture.runner.Run(t.Context(), client, second); got.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED || string(got.Body) != `{"request":"r2"}` {
				t.Errorf("Run(r2): got %v with code %q and body %q, want CALL_OUTCOME_ANSWERED with the body %q", got.Outcome, got.ErrorCode, got.Body, `{"request":"r2"}`)
			}
			if counts := fixture.runner.Disconnects.Counts(); counts.Violations() > 0 {
				t.Errorf("Disconnects.Counts: got %+v, want no violations", counts)
			}
		})
	}
	t.Logf("outcomes of the first request: %v", outcomes)
}
