package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// scriptedForwarder is a forwarder whose attempts get the responses of a script, one after the other.
type scriptedForwarder struct {
	*Forwarder
	sent   []string // instances of the attempts, in order
	waited int      // number of waits for an update of the view
}

// attemptScript returns the result of one attempt in place of Send.
type attemptScript func(ctx context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error)

// refusing returns a script that refuses the request, which proves that nothing ran. reachedWorker reports that the
// worker itself refused.
func refusing(code errs.Code, retryAfter time.Duration, reachedWorker bool) attemptScript {
	return func(_ context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
		return &schema.ForwardResponse{Request: request.Request, Outcome: schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, ErrorCode: string(code), RetryAfterNanos: int64(retryAfter), ReachedWorker: reachedWorker}, nil
	}
}

// failing answers with a failure.
func failing(_ context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
	return &schema.ForwardResponse{Request: request.Request, Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 500}, nil
}

// failingOf returns a script that answers with a failure, and reports how many recent calls the worker ran and how many
// of them failed.
func failingOf(ran, failed uint32) attemptScript {
	return func(_ context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
		return &schema.ForwardResponse{Request: request.Request, Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 500, Slots: 9, RecentRuns: ran, RecentFailures: failed}, nil
	}
}

// answering answers with success.
func answering(_ context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
	return &schema.ForwardResponse{Request: request.Request, Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200}, nil
}

// breaking loses the connection after the request was sent, so that the worker may have run it.
func breaking(context.Context, *schema.ForwardRequest) (*schema.ForwardResponse, error) {
	return nil, errs.New(errs.PeerConnectionLost, "connection reset")
}

// unopened fails to open a connection, so that nothing was sent.
func unopened(context.Context, *schema.ForwardRequest) (*schema.ForwardResponse, error) {
	return nil, errs.New(errs.PeerConnectFailed, "connection refused")
}

// hanging sends no response until ctx ends.
func hanging(ctx context.Context, _ *schema.ForwardRequest) (*schema.ForwardResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// newScriptedCall returns a call that matches the route of a scripted forwarder.
func newScriptedCall() *Call {
	return &Call{Target: "/a", Request: plan.Request{
		Caller: "client",
		Method: "GET",
		Path:   "/a",
		Header: func(string) (string, bool) { return "", false },
	}}
}

// newScriptedForwarder returns a forwarder with one service, a number of workers for it, and a route to it. route is a
// part of the route's configuration, floor the retry floor. After the end of the script its last entry repeats.
func newScriptedForwarder(tb testing.TB, workers int, route string, floor float64, script ...attemptScript) *scriptedForwarder {
	tb.Helper()
	item := func(kind, name, body string) *schema.Item {
		return &schema.Item{Kind: kind, Name: name, Body: []byte(body), Version: &schema.Version{Sequence: 1}}
	}
	state := config.State{}.Merge([]*schema.Item{item("service", "shop", `{"versions":["1"],"fallback":"1"}`),
		item("route", "r", `{"service":"shop","prefix":"/","horizon":"3200ms",`+route+`}`)})
	compiled, faults := config.Compile(state, 1)
	if len(faults) > 0 {
		tb.Fatalf("config.Compile with the route %s: got faults %v, want none", route, faults)
	}
	view := &plan.View{Config: compiled, Directory: plan.Directory{"shop": {"1": {}}}}
	for i := range workers {
		view.Directory["shop"]["1"] = append(view.Directory["shop"]["1"], plan.Endpoint{Instance: fmt.Sprint("w", i), Proxy: fmt.Sprint("p", i), Address: "127.0.0.1:1"})
	}
	scripted := &scriptedForwarder{}
	startedAt := time.Now()
	scripted.Forwarder = &Forwarder{
		Name:        "q",
		Incarnation: 1,
		Limits:      Limits{PlanOptions: plan.Options{MaxDeadline: 10 * time.Second}, RetryFloor: floor},
		View:        func() *plan.View { return view },
		AwaitView: func(ctx context.Context, _ func(*plan.View) bool) {
			scripted.waited++
			<-ctx.Done()
		},
		AwaitLease:  func(context.Context) bool { return true },
		OnConfigLag: func() {},
		HasLease:    func() bool { return true },
		FleetSize:   func() int { return 1 },
		Now:         func() time.Duration { return time.Since(startedAt) },
		Random:      func() float64 { return 0 },
		Outliers:    NewOutlierDetector(5, 5*time.Second),
		Canaries:    NewCanaryGuard(DefaultCanaryOptions, func() int { return 1 }, func() VersionGuards { return fakeGuards{} }),
		Counter:     NewCallCounter(64),

		NoAttemptTimeout:    true,
		FreeProxyRejections: true,
		Send: func(ctx context.Context, candidate plan.Endpoint, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
			attempt := len(scripted.sent)
			scripted.sent = append(scripted.sent, candidate.Instance)
			return script[min(attempt, len(script)-1)](ctx, request)
		},
	}
	scripted.Init(16)
	return scripted
}

// Attempts that reach no worker are free. Each attempt after one that reached a worker is charged to the retry budget.
// A non-idempotent request is not sent again once it may have run. No instance gets two attempts.
func TestRetriesStayWithinBudgetAndMaximum(t *testing.T) {
	const repeatable, once = `"class":"repeatable"`, `"class":"once"`
	full := refusing(errs.QueueFull, 0, false)                  // a proxy refuses the call
	wait := refusing(errs.QueueFull, 9*time.Millisecond, false) // a proxy refuses the call and expects capacity in 9 ms
	rejected := refusing(errs.QueueFull, 0, true)               // a worker rejects the call
	for name, test := range map[string]struct {
		route       string
		floor       float64 // retry budget, because the ratio is 0
		script      []attemptScript
		wantSent    int // number of attempts
		wantOutcome schema.CallOutcome
		wantCode    errs.Code // any if empty
	}{
		"refused by proxies: retried without a budget":             {once, 0, []attemptScript{full, refusing(errs.DeadlineExceeded, 0, false), unopened, refusing(errs.WorkerDraining, 0, false), answering}, 5, schema.CallOutcome_CALL_OUTCOME_ANSWERED, ""},
		"two report when they expect capacity: call ends":          {repeatable, 9, []attemptScript{full, wait, full, wait, answering}, 4, schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, errs.QueueFull},
		"rejected by a worker, no budget: not retried":             {repeatable, 0, []attemptScript{rejected, answering}, 1, schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, errs.QueueFull},
		"rejected by a worker, budget of one: retried":             {once, 1, []attemptScript{rejected, answering}, 2, schema.CallOutcome_CALL_OUTCOME_ANSWERED, ""},
		"rejected by two workers, budget of one: one retry":        {once, 1, []attemptScript{rejected, rejected, answering}, 2, schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, errs.QueueFull},
		"rejected by the route's maximum of workers: call ends":    {once + `,"tries":2`, 9, []attemptScript{full, rejected, full, rejected, answering}, 4, schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, errs.QueueFull},
		"connection lost, non-idempotent: not retried":             {once, 9, []attemptScript{breaking, answering}, 1, schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.PeerConnectionLost},
		"connection lost, idempotent: retried":                     {repeatable, 1, []attemptScript{breaking, answering}, 2, schema.CallOutcome_CALL_OUTCOME_ANSWERED, ""},
		"connection lost, idempotent, no budget: not retried":      {repeatable, 0, []attemptScript{breaking, answering}, 1, schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.PeerConnectionLost},
		"connection lost, idempotent, maximum of one: not retried": {repeatable + `,"tries":1`, 9, []attemptScript{breaking, answering}, 1, schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.PeerConnectionLost},
		"connection lost, then refused everywhere: unknown":        {repeatable, 9, []attemptScript{breaking, full}, 6, schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.PeerConnectionLost},
		"no response before the deadline: unknown":                 {repeatable, 9, []attemptScript{hanging}, 1, schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.DeadlineExceeded},
		"refused, then no response, non-idempotent: unknown":       {once, 9, []attemptScript{full, hanging, answering}, 2, schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.DeadlineExceeded},
		"failure response: answered":                               {repeatable, 9, []attemptScript{failing, answering}, 1, schema.CallOutcome_CALL_OUTCOME_ANSWERED, ""},
		"response to another request: unknown": {once, 9, []attemptScript{func(context.Context, *schema.ForwardRequest) (*schema.ForwardResponse, error) {
			return &schema.ForwardResponse{Request: "other", Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200}, nil
		}}, 1, schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.InvalidResponse},
		"incomplete response: unknown": {once, 9, []attemptScript{func(_ context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
			return &schema.ForwardResponse{Request: request.Request, Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200, Body: []byte("a"), Length: 2}, nil
		}}, 1, schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.InvalidResponse},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				forwarder := newScriptedForwarder(t, 6, test.route, test.floor, test.script...)
				result := forwarder.Forward(t.Context(), newScriptedCall())
				if len(forwarder.sent) != test.wantSent || result.Response.Outcome != test.wantOutcome || (test.wantCode != "" && result.Response.ErrorCode != string(test.wantCode)) {
					t.Errorf("Forward: got attempts at %v and %v with code %q, want %d attempts and %v with code %q (any if empty)",
						forwarder.sent, result.Response.Outcome, result.Response.ErrorCode, test.wantSent, test.wantOutcome, test.wantCode)
				}
				seen := map[string]bool{}
				for _, instance := range forwarder.sent {
					if seen[instance] {
						t.Errorf("Forward: got two attempts at %s, want at most one for each instance", instance)
					}
					seen[instance] = true
				}
			})
		})
	}
}

// Each attempt carries the time that is left when it is sent, not the time that the call had when it arrived.
func TestEachAttemptCarriesRemainingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lost = 300 * time.Millisecond
		var sent []time.Duration
		recording := func(then attemptScript) attemptScript {
			return func(ctx context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
				sent = append(sent, time.Duration(request.TimeLeftNanos))
				time.Sleep(lost)
				return then(ctx, request)
			}
		}
		forwarder := newScriptedForwarder(t, 6, `"class":"repeatable"`, 9, recording(breaking), recording(breaking), recording(answering))
		forwarder.Forward(t.Context(), newScriptedCall())
		if len(sent) != 3 {
			t.Fatalf("Forward: got attempts with the remaining times %v, want 3 attempts", sent)
		}
		for i := range 2 {
			if sent[i]-sent[i+1] < lost {
				t.Errorf("attempt %d, sent %v after the one before: got the remaining time %v, want at most %v", i+2, lost, sent[i+1], sent[i]-lost)
			}
		}
	})
}

// A failure response is retried on one other worker if the call is idempotent, in time, and within a fraction of the
// retry budget. Whatever the result of the retry, the caller gets an answer from a worker.
func TestFailureResponseRetriedOnAnotherWorker(t *testing.T) {
	const repeatable, once = `"class":"repeatable"`, `"class":"once"`
	// slow answers with a failure after its service time of 300 ms.
	slow := func(_ context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
		time.Sleep(300 * time.Millisecond)
		return &schema.ForwardResponse{Request: request.Request, Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 500, ServiceTimeNanos: int64(300 * time.Millisecond)}, nil
	}
	for name, test := range map[string]struct {
		route      string
		floor      float64 // retry budget, because the ratio is 0
		fraction   float64 // FailureRetryFraction
		script     []attemptScript
		wantSent   int // number of attempts
		wantStatus int32
	}{
		"one failure: retried":                                     {repeatable, 2, 0.5, []attemptScript{failing, answering}, 2, 200},
		"non-idempotent: not retried":                              {once, 9, 0.5, []attemptScript{failing, answering}, 1, 500},
		"no fraction of the budget: not retried":                   {repeatable, 9, 0, []attemptScript{failing, answering}, 1, 500},
		"fraction of the budget used up: not retried":              {repeatable, 1, 0.5, []attemptScript{failing, answering}, 1, 500},
		"route's maximum reached: not retried":                     {repeatable + `,"tries":1`, 9, 0.5, []attemptScript{failing, answering}, 1, 500},
		"worker hardly ever fails: not retried":                    {repeatable, 9, 0.5, []attemptScript{failingOf(100, 4), answering}, 1, 500},
		"worker fails some calls: retried":                         {repeatable, 9, 0.5, []attemptScript{failingOf(100, 5), answering}, 2, 200},
		"retry fails as well: no second retry":                     {repeatable, 9, 0.5, []attemptScript{failing, failing, answering}, 2, 500},
		"retry refused for capacity: failure returned":             {repeatable, 9, 0.5, []attemptScript{failing, refusing(errs.QueueFull, 9, false), answering}, 2, 500},
		"retry loses its connection: failure returned":             {repeatable, 9, 0.5, []attemptScript{failing, breaking, answering}, 2, 500},
		"retry refused by a newer configuration: failure returned": {repeatable, 9, 0.5, []attemptScript{failing, refusing(errs.StalePlan, 0, false), answering}, 2, 500},
		"lost connection, then failure: retried":                   {repeatable, 9, 0.5, []attemptScript{breaking, failing, answering}, 3, 200},
		"refused for capacity, then failure: not retried":          {repeatable, 9, 0.5, []attemptScript{refusing(errs.QueueFull, 9, false), failing, answering}, 2, 500},
		"retry within the latency target: retried":                 {repeatable + `,"aim":"700ms"`, 9, 0.5, []attemptScript{slow, answering}, 2, 200},
		"retry too late for the latency target: not retried":       {repeatable + `,"aim":"500ms"`, 9, 0.5, []attemptScript{slow, answering}, 1, 500},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				forwarder := newScriptedForwarder(t, 6, test.route, test.floor, test.script...)
				forwarder.SetLimits(Limits{PlanOptions: plan.Options{MaxDeadline: 10 * time.Second}, RetryFloor: test.floor, FailureRetryFraction: test.fraction})
				result := forwarder.Forward(t.Context(), newScriptedCall())
				if len(forwarder.sent) != test.wantSent || result.Err != nil || result.Response.Status != test.wantStatus || forwarder.waited > 0 {
					t.Errorf("Forward: got attempts at %v, error %v, status %d and %d waits for updates, want %d attempts, no error, status %d and no wait",
						forwarder.sent, result.Err, result.Response.Status, forwarder.waited, test.wantSent, test.wantStatus)
				}
			})
		})
	}
}

// A failure of the fallback version may be retried. A failure of a canary version may not, so that it counts against
// that version.
func TestCanaryFailureIsNotRetried(t *testing.T) {
	const repeatable = `"class":"repeatable"`
	synctest.Test(t, func(t *testing.T) {
		forwarder := newScriptedForwarder(t, 6, repeatable, 9, failing, answering)
		forwarder.SetLimits(Limits{PlanOptions: plan.Options{MaxDeadline: 10 * time.Second}, RetryFloor: 9, FailureRetryFraction: 1})
		item := func(kind, name, body string) *schema.Item {
			return &schema.Item{Kind: kind, Name: name, Body: []byte(body), Version: &schema.Version{Sequence: 1}}
		}
		snapshot, faults := config.Compile(config.State{}.Merge([]*schema.Item{item("service", "shop", `{"versions":["0","1"],"fallback":"0"}`), item("route", "r", `{"service":"shop","prefix":"/","horizon":"3200ms",`+repeatable+`}`),
			item("flag", "release.shop", `{"on":true,"salt":"","variations":["0","1"],"offVariation":0,"fallthrough":{"variation":1}}`)}), 1)
		if len(faults) > 0 {
			t.Fatalf("config.Compile: got faults %v, want none", faults)
		}
		view := &plan.View{Config: snapshot, Directory: forwarder.View().Directory}
		forwarder.View = func() *plan.View { return view }
		failed, _ := failing(t.Context(), &schema.ForwardRequest{})
		for version, want := range map[string]bool{"0": true, "1": false} {
			callPlan := &plan.Plan{Route: &config.Route{}, Service: "shop", Verdict: plan.Verdict{Version: version}, Class: config.ClassIdempotent}
			if got := forwarder.mayRetryFailure(&CallResult{Plan: callPlan}, &callProgress{lastResponse: notExecuted(errs.NoWorker, 0)}, failed, time.Second); got != want {
				t.Errorf("mayRetryFailure for version %s: got %t, want %t", version, got, want)
			}
		}
	})
}

// Without FreeProxyRejections every attempt but the first is charged to the retry budget, even if no worker was reached.
func TestEveryRetryIsChargedWithoutFreeProxyRejections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := newScriptedForwarder(t, 6, `"class":"once"`, 2, refusing(errs.QueueFull, 0, false))
		forwarder.FreeProxyRejections = false
		forwarder.Forward(t.Context(), newScriptedCall())
		if len(forwarder.sent) != 3 {
			t.Errorf("Forward with a budget of 2 retries: got attempts at %v, want 3 attempts", forwarder.sent)
		}
	})
}

// If no worker has capacity, the caller is refused at once, with the shortest time after which a worker expects
// capacity. If no worker is known, the caller is refused within a fourth of the latency target, in time to call again.
func TestRefusalsArePrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const route = `"class":"once","aim":"800ms"`
		call := newScriptedCall()
		forwarder := newScriptedForwarder(t, 3, route, 0, refusing(errs.QueueFull, 300*time.Millisecond, false), refusing(errs.DeadlineExceeded, 100*time.Millisecond, false), refusing(errs.QueueFull, 0, false))
		startedAt := time.Now()
		if result := forwarder.Forward(t.Context(), call); len(forwarder.sent) != 2 || time.Since(startedAt) > 0 || time.Duration(result.Response.RetryAfterNanos) != 100*time.Millisecond {
			t.Errorf("Forward without capacity: got %d attempts in %v and retry after %v, want 2 attempts in 0s and retry after 100ms",
				len(forwarder.sent), time.Since(startedAt), time.Duration(result.Response.RetryAfterNanos))
		}
		forwarder = newScriptedForwarder(t, 0, route, 0, answering)
		startedAt = time.Now()
		if result := forwarder.Forward(t.Context(), call); result.Response.ErrorCode != string(errs.NoWorker) || time.Since(startedAt) > 200*time.Millisecond {
			t.Errorf("Forward without workers: got code %q after %v, want %q within 200ms", result.Response.ErrorCode, time.Since(startedAt), errs.NoWorker)
		}
	})
}

// BenchmarkForward measures the cost of the forwarder itself, without the network, for a call that its first candidate
// answers.
func BenchmarkForward(b *testing.B) {
	for _, class := range []string{"repeatable", "once"} {
		b.Run(class, func(b *testing.B) {
			forwarder := newScriptedForwarder(b, 5, `"class":"`+class+`"`, 9, answering)
			call := newScriptedCall()
			b.ReportAllocs()
			for b.Loop() {
				forwarder.sent = forwarder.sent[:0]
				if result := forwarder.Forward(context.Background(), call); result.Err != nil {
					b.Fatalf("Forward: %v", result.Err)
				}
			}
		})
	}
}
