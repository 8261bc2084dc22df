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

// A run that goes on after its caller has disconnected is counted as a violation, if it must end and had the time to.
func TestOverrunsAreCounted(t *testing.T) {
	const maxOverrun = 100 * time.Millisecond
	for name, test := range map[string]struct {
		limited bool
		lasts   time.Duration // from the disconnect to the end of the run
		want    uint64
	}{
		"ends at once":               {true, 0, 0},
		"ends in time":               {true, maxOverrun, 0},
		"ends within the grace":      {true, maxOverrun + maxOverrun/graceDivisor - 1, 0},
		"goes on":                    {true, maxOverrun + maxOverrun/graceDivisor + 1, 1},
		"may go on":                  {false, time.Hour, 0},
		"its caller does not leave":  {true, -1, 0},
		"goes on for a long time":    {true, time.Hour, 1},
		"may go on, and ends soon":   {false, 1, 0},
		"ends before it is too late": {true, maxOverrun / 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				startedAt, counts := time.Now(), &Disconnects{}
				ctx, disconnect := context.WithCancel(t.Context())
				defer disconnect()
				caller := counts.watchCaller(ctx, test.limited, maxOverrun, func() time.Duration { return time.Since(startedAt) })
				time.Sleep(time.Second)
				if test.lasts >= 0 {
					disconnect()
					synctest.Wait()
					time.Sleep(test.lasts)
				}
				if _, disconnected := caller.finish(); disconnected != (test.lasts >= 0) {
					t.Errorf("disconnected: %t", disconnected)
				}
				time.Sleep(time.Hour)
				if got := counts.Counts().Overrun; got != test.want {
					t.Errorf("%d overruns counted, want %d", got, test.want)
				}
			})
		})
	}
}

// A run ends when its context does: the worker sees its connection end, the call has the outcome of a disconnect, and
// nothing counts against the worker. A non-idempotent run goes on.
func TestRunsEndWithTheirCallers(t *testing.T) {
	for name, test := range map[string]struct {
		once   bool
		ending schema.CallOutcome
		kind   errs.Code
		counts DisconnectCounts
	}{
		"repeatable": {false, schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.CallerDisconnected, DisconnectCounts{Propagated: 1, Canceled: 1}},
		"once":       {true, schema.CallOutcome_CALL_OUTCOME_ANSWERED, "", DisconnectCounts{Propagated: 1, RanToEnd: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newWorkerFixture(t)
				s.runner.MaxOverrun, s.runner.Outliers = 100*time.Millisecond, NewOutlierDetector(1, time.Minute)
				instance, worker := s.addWorker(t, "127.0.0.1:1", "shop", "1", "token")
				worker.answer = func(string) string {
					time.Sleep(500 * time.Millisecond)
					return jsonAnswer(`{}`)
				}
				ctx, leave := context.WithCancel(t.Context())
				time.AfterFunc(200*time.Millisecond, leave)
				request := newForwardRequest("r1", instance)
				request.NonIdempotent = test.once
				startedAt := time.Now()
				got := s.runner.Run(ctx, client, request)
				if got.Outcome != test.ending || got.ErrorCode != string(test.kind) {
					t.Errorf("ended %v with %q", got.Outcome, got.ErrorCode)
				}
				if !test.once && time.Since(startedAt) != 200*time.Millisecond {
					t.Errorf("it ended after %v", time.Since(startedAt))
				}
				if counts := s.runner.Disconnects.Counts(); counts != test.counts {
					t.Errorf("counted %+v", counts)
				}
				if _, failed := s.runner.Outliers.RunCounts(instance, s.now()); failed != 0 {
					t.Error("the call counts against its worker")
				}
				if running, waiting, _, _ := s.workers.Load(instance); running+waiting != 0 {
					t.Errorf("%d running, %d waiting", running, waiting)
				}
				// The next call has a connection of its own.
				if next := s.runner.Run(t.Context(), client, newForwardRequest("r2", instance)); next.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED {
					t.Errorf("the next call ended %v with %q", next.Outcome, next.ErrorCode)
				}
			})
		})
	}
}

// A call that its caller's proxy gives up as its time ends has run out of time, and that counts against its worker.
func TestGivenUpInTheEndIsNotCanceled(t *testing.T) {
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
			t.Errorf("ended %v with %q", got.Outcome, got.ErrorCode)
		}
	})
}

// On the caller's side a canceled call ends at once, is tried nowhere else, and is no failure of the worker or of its
// version. A call under an idempotency key is not canceled.
func TestCarryingEndsWithTheCaller(t *testing.T) {
	for name, test := range map[string]struct {
		route, key string
		ending     schema.CallOutcome
		kind       errs.Code
	}{
		"repeatable":  {`"class":"repeatable"`, "", schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.CallerDisconnected},
		"once":        {`"class":"once"`, "", schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.CallerDisconnected},
		"under a key": {`"class":"once"`, "k", schema.CallOutcome_CALL_OUTCOME_ANSWERED, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answersAfter := func(ctx context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
					select {
					case <-ctx.Done():
						return nil, ctx.Err()
					case <-time.After(time.Second):
						return answering(ctx, request)
					}
				}
				forwarder := newScriptedForwarder(t, 3, test.route, 9, answersAfter)
				forwarder.ReserveKey = func(context.Context, *schema.KeyReservation) (session.ReservationOutcome, *schema.KeyReservation) {
					return session.ReservationGranted, nil
				}
				ctx, disconnect := context.WithCancel(t.Context())
				time.AfterFunc(300*time.Millisecond, disconnect)
				call := newScriptedCall()
				call.Request.IdempotencyKey = test.key
				startedAt := time.Now()
				result := forwarder.Forward(ctx, call)
				if result.Response.Outcome != test.ending || result.Response.ErrorCode != string(test.kind) || len(forwarder.sent) != 1 {
					t.Errorf("ended %v with %q after %d attempts", result.Response.Outcome, result.Response.ErrorCode, len(forwarder.sent))
				}
				if test.key == "" && time.Since(startedAt) != 300*time.Millisecond {
					t.Errorf("it ended after %v", time.Since(startedAt))
				}
				for _, count := range forwarder.Counter.Counts(1) {
					if count.Failures != 0 {
						t.Errorf("counted as a failure: %v", count)
					}
					if test.key == "" && count.Outcome != outcomeCanceled {
						t.Errorf("counted as %q", count.Outcome)
					}
				}
				stats := forwarder.Outliers.Stats(&plan.Endpoint{Instance: forwarder.sent[0]}, forwarder.Now())
				if stats.InFlight != 0 || stats.RecentFailures != 0 || stats.Ejected {
					t.Errorf("the worker has %+v", stats)
				}
			})
		})
	}
}

// The cancellation of a call before it was sent proves that nothing ran, whatever the call was waiting for.
func TestCanceledBeforeItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newWorkerFixture(t)
		instance, _ := fixture.addWorker(t, "127.0.0.1:1", "shop", "1", "token")
		ctx, disconnect := context.WithCancel(t.Context())
		disconnect()
		for _, once := range []bool{false, true} {
			request := newForwardRequest("r-"+map[bool]string{true: "once"}[once], instance)
			request.NonIdempotent = once
			if got := fixture.runner.Run(ctx, client, request); got.Outcome != schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED || got.ErrorCode != string(errs.CallerDisconnected) {
				t.Errorf("once %t: ended %v with %q", once, got.Outcome, got.ErrorCode)
			}
		}
		if runs := fixture.recordedRuns(); len(runs) > 0 {
			t.Errorf("it ran: %v", runs)
		}
		if !errors.Is(ctx.Err(), context.Canceled) || contextErrorCode(ctx) != errs.CallerDisconnected {
			t.Error("a caller's disconnect has another code")
		}
	})
}

// A caller disconnects at the very moment of its answer. Whichever comes first, the next call on the same worker gets its own
// answer, and no connection is reused that a call was interrupted on.
func TestDisconnectsCrossAnswers(t *testing.T) {
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
				t.Errorf("the first got %q", got.Body)
			}
			if got = fixture.runner.Run(t.Context(), client, second); got.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED || string(got.Body) != `{"request":"r2"}` {
				t.Errorf("the second ended %v with %q: %q", got.Outcome, got.ErrorCode, got.Body)
			}
			if counts := fixture.runner.Disconnects.Counts(); counts.Violations() > 0 {
				t.Errorf("counted %+v", counts)
			}
		})
	}
	t.Logf("the first ended %v", outcomes)
}
