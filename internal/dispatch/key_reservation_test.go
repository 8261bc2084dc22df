package dispatch

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"meadowhinge/internal/plan"
	"meadowhinge/internal/registry"
	"meadowhinge/internal/scheduleexplorer"
	"meadowhinge/internal/session"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// reservationLease is the length of the lease that the registries' reservation tables are configured with.
const reservationLease = 8 * time.Second

// keyFixture holds the reservation tables of three registries, and two proxies whose callers use the same key. Each
// proxy knows a different worker, behind a different proxy, so that only the reservations prevent the request from
// running twice.
type keyFixture struct {
	fixtures             [2]*workerFixture // fixtures of the workers that the proxies know, by proxy
	lock                 sync.Mutex        // guards registries; a key is released in a goroutine of its own
	registries           [3]*registry.ReservationTable
	unresponsive         [3]bool                 // registries that do not respond
	startedAt            time.Time               // start of the process clock of all processes
	seededSingleRegistry bool                    // seeded fault: one registry counts as a majority
	lost                 [2]func(order int) bool // reports whether the response to message number order is lost, by proxy; nil for none
	results              [2][]*CallResult        // results by proxy
}

// newKeyFixture returns a fixture without workers, whose registries have never been used.
func newKeyFixture(tb testing.TB) *keyFixture {
	tb.Helper()
	fixture := &keyFixture{fixtures: [2]*workerFixture{newWorkerFixture(tb), newWorkerFixture(tb)}, startedAt: time.Now()}
	for i := range fixture.registries {
		fixture.registries[i] = fixture.newReservationTable()
		fixture.registries[i].SetNeverUsed()
	}
	return fixture
}

// newReservationTable returns the empty table of one of three registries.
func (f *keyFixture) newReservationTable() *registry.ReservationTable {
	return registry.NewReservationTable(registry.ReservationOptions{Lease: reservationLease, Window: 4 * reservationLease, MaxReservations: 64, MemberCount: 3})
}

// now returns the process clock of all processes in the fixture.
func (f *keyFixture) now() time.Duration { return time.Since(f.startedAt) }

// restartRegistry replaces a registry's table by an empty one, which then recovers in one of the ways below.
func (f *keyFixture) restartRegistry(i int, recovery string) {
	table := f.newReservationTable()
	if recovery == skipRecovery {
		table.SetNeverUsed()
	}
	f.lock.Lock()
	f.registries[i] = table
	f.lock.Unlock()
	switch recovery {
	case skipRecovery:
		return
	case recoverAfterRounds:
		time.Sleep(table.RecoveryStartsAt())
	}
	f.refillRegistry(i)
}

// Ways in which a restarted registry recovers. Only recoverAfterRounds is correct.
const (
	recoverAfterRounds = "reads the other tables once no round of its earlier incarnation can continue"
	recoverAtOnce      = "reads the other tables at once"
	skipRecovery       = "votes at once, without reading the other tables"
)

// refillRegistry copies the reservations of the other registries to a registry.
func (f *keyFixture) refillRegistry(i int) {
	f.lock.Lock()
	defer f.lock.Unlock()
	for other := range f.registries {
		if other != i {
			f.registries[i].MergePage(f.now(), fmt.Sprint(other), f.registries[other].Page(f.now(), 0))
		}
	}
}

// newReserver returns a KeyReserver that asks the registries one after another, beginning with registry from. It yields
// before each.
func (f *keyFixture) newReserver(from int, yield func()) KeyReserver {
	return func(_ context.Context, reservation *schema.KeyReservation) (session.ReservationOutcome, *schema.KeyReservation) {
		members := 3
		if f.seededSingleRegistry {
			members = 1
		}
		round := session.NewReservationAttempt(reservation, members, f.now(), session.ReservationAttemptTimeout(reservationLease))
		for i := range 3 {
			member := (from + i) % 3
			yield()
			if !f.unresponsive[member] {
				f.lock.Lock()
				reply := f.registries[member].Apply(f.now(), reservation)
				f.lock.Unlock()
				round.Record(f.now(), fmt.Sprint(member), reply)
			}
			if outcome := round.Outcome(i == 2); outcome != session.ReservationPending {
				return outcome, round.Conflicting
			}
		}
		return round.Outcome(true), round.Conflicting
	}
}

// newForwarder returns the forwarder of proxy number caller. It yields before each message.
func (f *keyFixture) newForwarder(caller int, yield func()) *Forwarder {
	fixture := f.fixtures[caller]
	view := &plan.View{Config: fixture.view.Config, Directory: plan.Directory{"shop": {"1": {}}}}
	for _, worker := range fixture.workers.List() {
		view.Directory["shop"]["1"] = append(view.Directory["shop"]["1"], plan.Endpoint{Instance: worker.Instance, Proxy: fmt.Sprint("worker-proxy-", caller)})
	}
	sent := 0
	forwarder := &Forwarder{
		Name:        fmt.Sprint("q", caller),
		Incarnation: 1,
		Limits:      Limits{PlanOptions: plan.Options{MaxDeadline: 2 * time.Second}, RetryFloor: 10},
		View:        func() *plan.View { return view },
		AwaitView:   func(context.Context, func(*plan.View) bool) {},
		AwaitLease:  func(context.Context) bool { return true },
		OnConfigLag: func() {},
		HasLease:    func() bool { return true },
		FleetSize:   func() int { return 1 },
		Now:         f.now,
		Random:      func() float64 { return 0 },
		Outliers:    NewOutlierDetector(5, time.Second),
		Canaries:    NewCanaryGuard(DefaultCanaryOptions, func() int { return 1 }, func() VersionGuards { return fakeGuards{} }),
		Counter:     NewCallCounter(64),
		ReserveKey:  f.newReserver(caller, yield),

		KeyReleaseTimeout: time.Hour,
		Send: func(ctx context.Context, candidate plan.Endpoint, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
			yield()
			sent++
			target := f.fixtures[0]
			if candidate.Proxy == "worker-proxy-1" {
				target = f.fixtures[1]
			}
			response := target.runner.Run(ctx, transport.LocalPeer("proxy", "q", map[string]bool{"client": true}), request)
			if answerLost := f.lost[caller]; answerLost != nil && answerLost(sent) {
				return outcomeUnknown("LINK_LOST"), nil
			}
			return response, nil
		},
	}
	return forwarder.Init(16)
}

// newCall returns a non-idempotent call with an idempotency key.
func (f *keyFixture) newCall(key, body string) *Call {
	return &Call{Target: "/shop/buy", Body: []byte(body), Request: plan.Request{
		Caller:            "client",
		Method:            "POST",
		Path:              "/shop/buy",
		HasIdempotencyKey: true,
		IdempotencyKey:    key,
		Header:            func(string) (string, bool) { return "ann", true },
	}}
}

// countRuns returns the number of runs on both workers.
func (f *keyFixture) countRuns() int {
	return len(f.fixtures[0].recordedRuns()) + len(f.fixtures[1].recordedRuns())
}

// check returns an error if the results contradict the runs: more than one request ran, a request ran that was reported
// as not executed, or a request was answered and none ran.
func (f *keyFixture) check() error {
	ran := map[string]bool{}
	for _, fixture := range f.fixtures {
		for _, run := range fixture.recordedRuns() {
			ran[run.request[:strings.LastIndex(run.request, "-")]] = true
		}
	}
	if count := f.countRuns(); count > 1 {
		return fmt.Errorf("got %d runs, of the calls %v, want at most one", count, ran)
	}
	for _, results := range f.results {
		for _, result := range results {
			if result.Response.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED && ran[result.ID] {
				return fmt.Errorf("call %s was reported as not executed, but ran", result.ID)
			}
			if result.Response.Outcome == schema.CallOutcome_CALL_OUTCOME_ANSWERED && len(ran) == 0 {
				return fmt.Errorf("call %s was answered, but nothing ran", result.ID)
			}
		}
	}
	return nil
}

// Two callers use one key at two proxies. In every order of their reservations, their attempts and the restart of a
// registry, at most one request runs. The exploration must find the seeded faults: one registry counts as a majority,
// or a restarted registry votes before it has recovered.
func TestOneKeyAtTwoProxiesRunsAtMostOnceInEveryOrder(t *testing.T) {
	explore := func(t *testing.T, single bool, restart string) scheduleexplorer.Outcome {
		t.Helper()
		return scheduleexplorer.Explore(t, 200000, func(t *testing.T, run *scheduleexplorer.Execution) func() error {
			t.Helper()
			fixture := newKeyFixture(t)
			fixture.seededSingleRegistry = single
			for i, workers := range fixture.fixtures {
				workers.addWorker(t, "127.0.0.1:1", "shop", "1", fmt.Sprint("token-", i))
			}
			for which := range 2 {
				run.Go(fmt.Sprint("caller-", which), func(yield func()) {
					fixture.results[which] = append(fixture.results[which], fixture.newForwarder(which, yield).Forward(t.Context(), fixture.newCall("key", "{}")))
				})
			}
			if restart != "" {
				run.Go("restart", func(func()) { fixture.restartRegistry(1, restart) })
			}
			return fixture.check
		})
	}
	for name, test := range map[string]struct {
		single      bool   // one registry counts as a majority
		restart     string // how the registry that restarts recovers; empty if none restarts
		wantFailure bool
	}{
		"no restart: at most one run":                          {},
		"registry restarts: at most one run":                   {restart: recoverAfterRounds},
		"seeded fault, one registry counts as majority: found": {single: true, wantFailure: true},
		"seeded fault, no recovery: found":                     {restart: skipRecovery, wantFailure: true},
		"seeded fault, recovers at once: found":                {restart: recoverAtOnce, wantFailure: true},
	} {
		t.Run(name, func(t *testing.T) {
			outcome := explore(t, test.single, test.restart)
			if (outcome.Failure != "") != test.wantFailure {
				t.Errorf("Explore: got the failure %q after %d orders, want a failure: %t", outcome.Failure, outcome.Schedules, test.wantFailure)
			}
			t.Logf("explored %d orders", outcome.Schedules)
		})
	}
}

// A request that is repeated at another proxy runs at most once, whatever single fault comes before the repeat. The
// repeat gets the first answer if that can still be known.
func TestRepeatAtAnotherProxyRunsAtMostOnce(t *testing.T) {
	answered, unknown, notRun := schema.CallOutcome_CALL_OUTCOME_ANSWERED, schema.CallOutcome_CALL_OUTCOME_UNKNOWN, schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED
	for name, test := range map[string]struct {
		before func(fixture *keyFixture)     // done before the first request; nil for nothing
		after  func(fixture *keyFixture)     // done between the first request and the repeat; nil for nothing
		body   string                        // body of the repeat; empty for that of the first request
		first  schema.CallOutcome            // wanted outcome of the first request
		again  schema.CallOutcome            // wanted outcome of the repeat
		runs   int                           // wanted number of runs of both together
		lost   func(order int) bool          // whether the response to an attempt of the first request is lost; nil for none
		check  func(*testing.T, *CallResult) // further check of the repeat's result; nil for none
	}{
		"first request answered: repeat answered":                {first: answered, again: answered, runs: 1},
		"answer to the first request lost: repeat answered":      {first: unknown, again: answered, runs: 1, lost: func(int) bool { return true }},
		"worker's proxy loses its results: repeat unknown":       {first: unknown, again: unknown, runs: 1, lost: func(int) bool { return true }, after: func(fixture *keyFixture) { fixture.fixtures[0].runner.idempotency = NewIdempotencyCache(8) }},
		"registry lost after the first request: repeat answered": {first: answered, again: answered, runs: 1, after: func(fixture *keyFixture) { fixture.unresponsive[1] = true }},
		"registry lost before the first request: both answered":  {first: answered, again: answered, runs: 1, before: func(fixture *keyFixture) { fixture.unresponsive[2] = true }},
		"registries restart empty, one after another: repeat answered": {first: unknown, again: answered, runs: 1, lost: func(int) bool { return true }, after: func(fixture *keyFixture) {
			for i := range 3 {
				fixture.restartRegistry(i, recoverAfterRounds)
			}
		}},
		"two registries lost at once: repeat not executed": {first: answered, again: notRun, runs: 1, after: func(fixture *keyFixture) {
			fixture.registries[0], fixture.registries[1] = fixture.newReservationTable(), fixture.newReservationTable()
			time.Sleep(reservationLease)
			fixture.refillRegistry(0)
			fixture.refillRegistry(1)
			// The third table still had the reservation, but a single one would not prevent another run.
			fixture.registries[2] = fixture.newReservationTable()
		}},
		"no majority of registries for the first request: repeat runs": {first: notRun, again: answered, runs: 1, before: func(fixture *keyFixture) { fixture.unresponsive[0], fixture.unresponsive[1] = true, true }, after: func(fixture *keyFixture) {
			fixture.unresponsive[0], fixture.unresponsive[1] = false, false
		}},
		"repeat with another body: refused": {first: answered, again: notRun, runs: 1, body: "{1}", check: func(t *testing.T, result *CallResult) {
			t.Helper()
			if result.Response.ErrorCode != "IDEMPOTENCY_KEY_REUSED" {
				t.Errorf("repeat with another body: got code %q, want IDEMPOTENCY_KEY_REUSED", result.Response.ErrorCode)
			}
		}},
		"first request did not run: repeat runs": {first: notRun, again: answered, runs: 1, before: func(fixture *keyFixture) {
			description := fixture.fixtures[0].describe("127.0.0.1:1", fixture.fixtures[0].workersByAddress["127.0.0.1:1"])
			description.Draining = true
			_, _ = fixture.fixtures[0].workers.Register(description)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newKeyFixture(t)
				for i, workers := range fixture.fixtures {
					workers.addWorker(t, "127.0.0.1:1", "shop", "1", fmt.Sprint("token-", i))
				}
				first, second := fixture.newForwarder(0, func() {}), fixture.newForwarder(1, func() {})
				if test.before != nil {
					test.before(fixture)
				}
				fixture.lost[0] = test.lost
				fixture.results[0] = append(fixture.results[0], first.Forward(t.Context(), fixture.newCall("key", "{}")))
				if test.after != nil {
					test.after(fixture)
				}
				body := "{}"
				if test.body != "" {
					body = test.body
				}
				again := second.Forward(t.Context(), fixture.newCall("key", body))
				fixture.results[1] = append(fixture.results[1], again)
				if got := fixture.results[0][0].Response; got.Outcome != test.first {
					t.Errorf("first Forward: got %v with code %q, want %v", got.Outcome, got.ErrorCode, test.first)
				}
				if again.Response.Outcome != test.again {
					t.Errorf("repeated Forward: got %v with code %q, want %v", again.Response.Outcome, again.Response.ErrorCode, test.again)
				}
				if fixture.countRuns() != test.runs {
					t.Errorf("after both calls: got %d runs, want %d", fixture.countRuns(), test.runs)
				}
				if err := fixture.check(); err != nil {
					t.Errorf("results and runs: %v", err)
				}
				if test.check != nil {
					test.check(t, again)
				}
			})
		})
	}
}

// A worker's proxy with a newer configuration may refuse a version that the older one allowed. The call then waits for
// the newer configuration, is planned again under it, and is answered.
func TestCallIsReplannedUnderNewerConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newKeyFixture(t)
		for i, workers := range fixture.fixtures {
			workers.addWorker(t, "127.0.0.1:1", "shop", "1", fmt.Sprint("token-", i))
		}
		forwarder := fixture.newForwarder(0, func() {})
		older, arrives := forwarder.View(), time.Now().Add(700*time.Millisecond)
		newer := &plan.View{Config: compileConfig(t, 6), Directory: older.Directory}
		forwarder.View = func() *plan.View {
			if time.Now().Before(arrives) {
				return older
			}
			return newer
		}
		forwarder.AwaitView = func(ctx context.Context, _ func(*plan.View) bool) {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(arrives)):
			}
		}
		send := forwarder.Send
		refused := 0
		forwarder.Send = func(ctx context.Context, candidate plan.Endpoint, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
			if request.Revision < 6 {
				refused++
				response := notExecuted("VERSION_NOT_ALLOWED", 6)
				response.Request = request.Request
				return response, nil
			}
			return send(ctx, candidate, request)
		}
		result := forwarder.Forward(t.Context(), fixture.newCall("key", "{}"))
		if result.Err != nil || refused != 1 || result.Plan.Verdict.ConfigRevision != 6 {
			t.Errorf("Forward: got error %v after %d refusals, planned under revision %d, want no error after 1 refusal under revision 6",
				result.Err, refused, result.Plan.Verdict.ConfigRevision)
		}
	})
}
