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

// scriptedForwarder is a forwarder whose attempts end as a script says, one after the other.
type scriptedForwarder struct {
	*Forwarder
	sent   []string // instances, in the order of the attempts
	waited int      // how often the call waited for an update
}

// attemptScript decides how an attempt ends.
type attemptScript func(ctx context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error)

// refusing proves that nothing ran; reachedWorker says that the worker itself refused.
func refusing(code errs.Code, retryAfter time.Duration, reachedWorker bool) attemptScript {
	return func(_ context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
		return &schema.ForwardResponse{Request: request.Request, Outcome: schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, ErrorCode: string(code), RetryAfterNanos: int64(retryAfter), ReachedWorker: reachedWorker}, nil
	}
}

func failing(_ context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
	return &schema.ForwardResponse{Request: request.Request, Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 500}, nil
}

// failingOf fails, and reports how many recent calls the worker ran and how many of them failed.
func failingOf(ran, failed uint32) attemptScript {
	return func(_ context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
		return &schema.ForwardResponse{Request: request.Request, Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 500, Slots: 9, RecentRuns: ran, RecentFailures: failed}, nil
	}
}

func answering(_ context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
	return &schema.ForwardResponse{Request: request.Request, Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200}, nil
}

func breaking(context.Context, *schema.ForwardRequest) (*schema.ForwardResponse, error) {
	return nil, errs.New(errs.PeerConnectionLost, "connection reset")
}

func unopened(context.Context, *schema.ForwardRequest) (*schema.ForwardResponse, error) {
	return nil, errs.New(errs.PeerConnectFailed, "connection refused")
}

func hanging(ctx context.Context, _ *schema.ForwardRequest) (*schema.ForwardResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// newScriptedCall returns a call that the route of a scripted forwarder takes.
func newScriptedCall() *Call {
	return &Call{Target: "/a", Request: plan.Request{
		Caller: "client",
		Method: "GET",
		Path:   "/a",
		Header: func(string) (string, bool) { return "", false },
	}}
}

// newScriptedForwarder returns a forwarder with one service, a number of workers, and a route to it. Route is a part of the
// route's configuration; after the end of the script its last entry repeats.
func newScriptedForwarder(tb testing.TB, workers int, route string, floor float64, script ...attemptScript) *scriptedForwarder {
	tb.Helper()
	item := func(kind, name, body string) *schema.Item {
		return &schema.Item{Kind: kind, Name: name, Body: []byte(body), Version: &schema.Version{Sequence: 1}}
	}
	state := config.State{}.With([]*schema.Item{item("service", "shop", `{"versions":["1"],"fallback":"1"}`),
		item("route", "r", `{"service":"shop","prefix":"/","horizon":"3200ms",`+route+`}`)})
	compiled, faults := config.Compile(state, 1)
	if len(faults) > 0 {
		tb.Fatal(faults)
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

		NoAttemptTimeout:  true,
		FreeProxyRefusals: true,
		Send: func(ctx context.Context, candidate plan.Endpoint, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
			attempt := len(scripted.sent)
			scripted.sent = append(scripted.sent, candidate.Instance)
			return script[min(attempt, len(script)-1)](ctx, request)
		},
	}
	scripted.Init(16)
	return scripted
}

// Looking for a first worker is free; each further worker is charged to the retry budget, and a non-idempotent request
// goes to no other worker after it may have run.
func TestNextCandidate(t *testing.T) {
	const repeatable, once = `"class":"repeatable"`, `"class":"once"`
	full := refusing(errs.QueueFull, 0, false)
	wait := refusing(errs.QueueFull, 9*time.Millisecond, false)
	rejected := refusing(errs.QueueFull, 0, true)
	for name, test := range map[string]struct {
		route  string
		floor  float64
		script []attemptScript
		sent   int
		ending schema.CallOutcome
		code   errs.Code
	}{
		"refused by proxies, then answered":           {once, 0, []attemptScript{full, refusing(errs.DeadlineExceeded, 0, false), unopened, refusing(errs.WorkerDraining, 0, false), answering}, 5, schema.CallOutcome_CALL_OUTCOME_ANSWERED, ""},
		"two report that they have no capacity":       {repeatable, 9, []attemptScript{full, wait, full, wait, answering}, 4, schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, errs.QueueFull},
		"rejected by a worker, with no budget":        {repeatable, 0, []attemptScript{rejected, answering}, 1, schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, errs.QueueFull},
		"rejected by a worker, with a budget":         {once, 1, []attemptScript{rejected, answering}, 2, schema.CallOutcome_CALL_OUTCOME_ANSWERED, ""},
		"rejected by two, with a budget of one":       {once, 1, []attemptScript{rejected, rejected, answering}, 2, schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, errs.QueueFull},
		"rejected by as many as the route allows":     {once + `,"tries":2`, 9, []attemptScript{full, rejected, full, rejected, answering}, 4, schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, errs.QueueFull},
		"connection lost, non-idempotent":             {once, 9, []attemptScript{breaking, answering}, 1, schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.PeerConnectionLost},
		"connection lost, idempotent":                 {repeatable, 1, []attemptScript{breaking, answering}, 2, schema.CallOutcome_CALL_OUTCOME_ANSWERED, ""},
		"connection lost, idempotent, with no budget": {repeatable, 0, []attemptScript{breaking, answering}, 1, schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.PeerConnectionLost},
		"connection lost, idempotent, one attempt":    {repeatable + `,"tries":1`, 9, []attemptScript{breaking, answering}, 1, schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.PeerConnectionLost},
		"connection lost, then refused everywhere":    {repeatable, 9, []attemptScript{breaking, full}, 6, schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.PeerConnectionLost},
		"no answer in all the time there is":          {repeatable, 9, []attemptScript{hanging}, 1, schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.DeadlineExceeded},
		"refused, then no answer, non-idempotent":     {once, 9, []attemptScript{full, hanging, answering}, 2, schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.DeadlineExceeded},
		"an answer that is a failure is the worker's": {repeatable, 9, []attemptScript{failing, answering}, 1, schema.CallOutcome_CALL_OUTCOME_ANSWERED, ""},
		"an answer to another request is no answer": {once, 9, []attemptScript{func(context.Context, *schema.ForwardRequest) (*schema.ForwardResponse, error) {
			return &schema.ForwardResponse{Request: "other", Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200}, nil
		}}, 1, schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.InvalidResponse},
		"an incomplete answer is no answer": {once, 9, []attemptScript{func(_ context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
			return &schema.ForwardResponse{Request: request.Request, Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200, Body: []byte("a"), Length: 2}, nil
		}}, 1, schema.CallOutcome_CALL_OUTCOME_UNKNOWN, errs.InvalidResponse},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				forwarder := newScriptedForwarder(t, 6, test.route, test.floor, test.script...)
				result := forwarder.Forward(t.Context(), newScriptedCall())
				if len(forwarder.sent) != test.sent || result.Response.Outcome != test.ending || (test.code != "" && result.Response.ErrorCode != string(test.code)) {
					t.Errorf("sent to %v, ended %v %s; want %d, %v %s", forwarder.sent, result.Response.Outcome, result.Response.ErrorCode, test.sent, test.ending, test.code)
				}
				seen := map[string]bool{}
				for _, instance := range forwarder.sent {
					if seen[instance] {
						t.Errorf("sent to %s twice", instance)
					}
					seen[instance] = true
				}
			})
		})
	}
}

// Each attempt carries the time that is left when it is sent, not the time that the call came with.
func TestRemainingTimeIsSentAnew(t *testing.T) {
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
			t.Fatalf("sent with %v left", sent)
		}
		for i := range 2 {
			if sent[i]-sent[i+1] < lost {
				t.Errorf("sent with %v left, then %v later with %v", sent[i], lost, sent[i+1])
			}
		}
	})
}

// A failure response is retried on one other worker if the call is idempotent, in time, and within a fraction of the
// retry budget. Whatever the retry comes to, the caller gets a worker's answer.
func TestFailedAnswerIsRetriedElsewhere(t *testing.T) {
	const repeatable, once = `"class":"repeatable"`, `"class":"once"`
	slow := func(_ context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
		time.Sleep(300 * time.Millisecond)
		return &schema.ForwardResponse{Request: request.Request, Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 500, ServiceTimeNanos: int64(300 * time.Millisecond)}, nil
	}
	for name, test := range map[string]struct {
		route    string
		floor    float64
		fraction float64
		script   []attemptScript
		sent     int
		status   int32
	}{
		"answered by another":                    {repeatable, 2, 0.5, []attemptScript{failing, answering}, 2, 200},
		"not a non-idempotent call":              {once, 9, 0.5, []attemptScript{failing, answering}, 1, 500},
		"not without a fraction of the budget":   {repeatable, 9, 0, []attemptScript{failing, answering}, 1, 500},
		"not beyond its fraction":                {repeatable, 1, 0.5, []attemptScript{failing, answering}, 1, 500},
		"not beyond the route's maximum":         {repeatable + `,"tries":1`, 9, 0.5, []attemptScript{failing, answering}, 1, 500},
		"not of a worker that hardly ever fails": {repeatable, 9, 0.5, []attemptScript{failingOf(100, 4), answering}, 1, 500},
		"of a worker that fails some":            {repeatable, 9, 0.5, []attemptScript{failingOf(100, 5), answering}, 2, 200},
		"one other only":                         {repeatable, 9, 0.5, []attemptScript{failing, failing, answering}, 2, 500},
		"the other has no capacity":              {repeatable, 9, 0.5, []attemptScript{failing, refusing(errs.QueueFull, 9, false), answering}, 2, 500},
		"the other's answer is lost":             {repeatable, 9, 0.5, []attemptScript{failing, breaking, answering}, 2, 500},
		"the other has a newer configuration":    {repeatable, 9, 0.5, []attemptScript{failing, refusing(errs.StalePlan, 0, false), answering}, 2, 500},
		"after a lost answer":                    {repeatable, 9, 0.5, []attemptScript{breaking, failing, answering}, 3, 200},
		"not after a refusal for capacity":       {repeatable, 9, 0.5, []attemptScript{refusing(errs.QueueFull, 9, false), failing, answering}, 2, 500},
		"in time":                                {repeatable + `,"aim":"700ms"`, 9, 0.5, []attemptScript{slow, answering}, 2, 200},
		"not where it would come too late":       {repeatable + `,"aim":"500ms"`, 9, 0.5, []attemptScript{slow, answering}, 1, 500},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				forwarder := newScriptedForwarder(t, 6, test.route, test.floor, test.script...)
				forwarder.SetLimits(Limits{PlanOptions: plan.Options{MaxDeadline: 10 * time.Second}, RetryFloor: test.floor, FailureRetryFraction: test.fraction})
				result := forwarder.Forward(t.Context(), newScriptedCall())
				if len(forwarder.sent) != test.sent || result.Err != nil || result.Response.Status != test.status || forwarder.waited > 0 {
					t.Errorf("sent to %v, ended %v %d, waited for updates %d times; want %d, %d", forwarder.sent, result.Err, result.Response.Status, forwarder.waited, test.sent, test.status)
				}
			})
		})
	}
	// The failures of a version in canary are not retried.
	synctest.Test(t, func(t *testing.T) {
		forwarder := newScriptedForwarder(t, 6, repeatable, 9, failing, answering)
		forwarder.SetLimits(Limits{PlanOptions: plan.Options{MaxDeadline: 10 * time.Second}, RetryFloor: 9, FailureRetryFraction: 1})
		item := func(kind, name, body string) *schema.Item {
			return &schema.Item{Kind: kind, Name: name, Body: []byte(body), Version: &schema.Version{Sequence: 1}}
		}
		snapshot, faults := config.Compile(config.State{}.With([]*schema.Item{item("service", "shop", `{"versions":["0","1"],"fallback":"0"}`), item("route", "r", `{"service":"shop","prefix":"/","horizon":"3200ms",`+repeatable+`}`),
			item("flag", "release.shop", `{"on":true,"salt":"","variations":["0","1"],"offVariation":0,"fallthrough":{"variation":1}}`)}), 1)
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		view := &plan.View{Config: snapshot, Directory: forwarder.View().Directory}
		forwarder.View = func() *plan.View { return view }
		failed, _ := failing(t.Context(), &schema.ForwardRequest{})
		for version, want := range map[string]bool{"0": true, "1": false} {
			callPlan := &plan.Plan{Route: &config.Route{}, Service: "shop", Verdict: plan.Verdict{Version: version}, Class: config.ClassIdempotent}
			if got := forwarder.mayRetryFailure(&CallResult{Plan: callPlan}, &callProgress{lastResponse: notExecuted(errs.NoWorker, 0)}, failed, time.Second); got != want {
				t.Errorf("version %s: retried %v", version, got)
			}
		}
	})
}

// Without FreeProxyRefusals every attempt but the first is charged, also while the call looks for its first worker.
func TestEveryAttemptCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := newScriptedForwarder(t, 6, `"class":"once"`, 2, refusing(errs.QueueFull, 0, false))
		forwarder.FreeProxyRefusals = false
		forwarder.Forward(t.Context(), newScriptedCall())
		if len(forwarder.sent) != 3 {
			t.Errorf("sent to %v, want the first and two paid for", forwarder.sent)
		}
	})
}

// A caller is refused at once where no worker has capacity, with the time when one will. Where no worker is known, it is
// refused in time to call again.
func TestRefusalsComeAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const route = `"class":"once","aim":"800ms"`
		call := newScriptedCall()
		forwarder := newScriptedForwarder(t, 3, route, 0, refusing(errs.QueueFull, 300*time.Millisecond, false), refusing(errs.DeadlineExceeded, 100*time.Millisecond, false), refusing(errs.QueueFull, 0, false))
		startedAt := time.Now()
		if result := forwarder.Forward(t.Context(), call); len(forwarder.sent) != 2 || time.Since(startedAt) > 0 || time.Duration(result.Response.RetryAfterNanos) != 100*time.Millisecond {
			t.Errorf("%d tries, %v, back after %v", len(forwarder.sent), time.Since(startedAt), time.Duration(result.Response.RetryAfterNanos))
		}
		forwarder = newScriptedForwarder(t, 0, route, 0, answering)
		startedAt = time.Now()
		if result := forwarder.Forward(t.Context(), call); result.Response.ErrorCode != string(errs.NoWorker) || time.Since(startedAt) > 200*time.Millisecond {
			t.Errorf("%s after %v", result.Response.ErrorCode, time.Since(startedAt))
		}
	})
}

// BenchmarkForward measures what a forwarder itself costs for a call whose first candidate answers, without the network.
func BenchmarkForward(b *testing.B) {
	for _, class := range []string{"repeatable", "once"} {
		b.Run(class, func(b *testing.B) {
			forwarder := newScriptedForwarder(b, 5, `"class":"`+class+`"`, 9, answering)
			call := newScriptedCall()
			b.ReportAllocs()
			for b.Loop() {
				forwarder.sent = forwarder.sent[:0]
				if result := forwarder.Forward(context.Background(), call); result.Err != nil {
					b.Fatal(result.Err)
				}
			}
		})
	}
}
