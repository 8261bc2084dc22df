package dispatch

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/scheduleexplorer"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// A request that the runner refuses has the outcome "not executed" and the code of the reason, and no worker runs it.
func TestRefusedRequestsDoNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		change func(fixture *workerFixture, request *schema.ForwardRequest)
		peer   transport.Peer
		want   errs.Code
	}{
		"caller not allowed for the peer":       {func(_ *workerFixture, request *schema.ForwardRequest) { request.Caller = "saves" }, client, errs.CallerNotAllowed},
		"peer without a certificate":            {func(*workerFixture, *schema.ForwardRequest) {}, transport.Peer{}, errs.CallerNotAllowed},
		"body that does not match its checksum": {func(_ *workerFixture, request *schema.ForwardRequest) { request.Body = []byte("x") }, client, errs.MalformedRequest},
		"instance no longer registered":         {func(_ *workerFixture, request *schema.ForwardRequest) { request.Instance = "p/old/1" }, client, errs.WrongInstance},
		"version that is not the worker's":      {func(_ *workerFixture, request *schema.ForwardRequest) { request.Version = "2" }, client, errs.WrongInstance},
		"service that is not the worker's":      {func(_ *workerFixture, request *schema.ForwardRequest) { request.Service = "saves" }, client, errs.WrongInstance},
		"version not in the configuration":      {func(_ *workerFixture, request *schema.ForwardRequest) { request.Version = "9" }, client, errs.VersionNotAllowed},
		"service not in the configuration":      {func(_ *workerFixture, request *schema.ForwardRequest) { request.Service = "nowhere" }, client, errs.VersionNotAllowed},
		"plan of an outdated revision":          {func(_ *workerFixture, request *schema.ForwardRequest) { request.Revision = 3 }, client, errs.StalePlan},
		"deadline passed":                       {func(_ *workerFixture, request *schema.ForwardRequest) { request.TimeLeftNanos = 0 }, client, errs.DeadlineExceeded},
		"proxy without a lease": {func(fixture *workerFixture, _ *schema.ForwardRequest) {
			fixture.runner.HasLease = func() bool { return false }
		}, client, errs.NoLease},
		"worker draining": {func(fixture *workerFixture, _ *schema.ForwardRequest) {
			description := fixture.describe("127.0.0.1:1", fixture.workersByAddress["127.0.0.1:1"])
			description.Draining = true
			_, _ = fixture.workers.Register(description)
		}, client, errs.WorkerDraining},
		"worker with overdue heartbeats": {func(fixture *workerFixture, _ *schema.ForwardRequest) {
			time.Sleep(4 * time.Second)
			fixture.workers.DropUnresponsive()
		}, client, errs.WrongInstance},
		"address taken by another worker that is registered": {func(fixture *workerFixture, _ *schema.ForwardRequest) {
			fixture.workersByAddress["127.0.0.1:1"] = &fakeWorker{token: "new", service: "saves", version: "1"}
			_, _ = fixture.workers.Register(fixture.describe("127.0.0.1:1", fixture.workersByAddress["127.0.0.1:1"]))
		}, client, errs.WrongInstance},
		"address taken by another worker that is not registered yet": {func(fixture *workerFixture, _ *schema.ForwardRequest) {
			fixture.workersByAddress["127.0.0.1:1"] = &fakeWorker{token: "new", service: "saves", version: "1"}
		}, client, errs.WrongInstance},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newWorkerFixture(t)
				instance, _ := fixture.addWorker(t, "127.0.0.1:1", "shop", "1", "token")
				request := newForwardRequest("r1", instance)
				test.change(fixture, request)
				got := fixture.runner.Run(t.Context(), test.peer, request)
				if got.Outcome != schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED || got.ErrorCode != string(test.want) {
					t.Errorf("Run: got %v with code %q, want CALL_OUTCOME_NOT_EXECUTED with code %q", got.Outcome, got.ErrorCode, test.want)
				}
				if runs := fixture.recordedRuns(); len(runs) > 0 {
					t.Errorf("after the refusal: got runs %+v, want none", runs)
				}
			})
		})
	}
}

// A worker's response is passed on only if it is valid and complete. Otherwise the outcome is unknown.
func TestOnlyCompleteResponsesArePassedOn(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		want   schema.CallOutcome
	}{
		"complete":                           {jsonAnswer(`{"a":1}`), schema.CallOutcome_CALL_OUTCOME_ANSWERED},
		"complete, in chunks":                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: Content-Length\r\n\r\n3\r\nabc\r\n0\r\n\r\n", schema.CallOutcome_CALL_OUTCOME_ANSWERED},
		"complete, with an error status":     {"HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno", schema.CallOutcome_CALL_OUTCOME_ANSWERED},
		"truncated body":                     {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", schema.CallOutcome_CALL_OUTCOME_UNKNOWN},
		"truncated chunk":                    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc", schema.CallOutcome_CALL_OUTCOME_UNKNOWN},
		"no length, ended by the connection": {"HTTP/1.1 200 OK\r\n\r\nabc", schema.CallOutcome_CALL_OUTCOME_UNKNOWN},
		"invalid status line":                {"HTTP/1.1 9 ?\r\nContent-Length: 0\r\n\r\n", schema.CallOutcome_CALL_OUTCOME_UNKNOWN},
		"not HTTP":                           {"this is not an answer at all\r\n\r\n", schema.CallOutcome_CALL_OUTCOME_UNKNOWN},
		"invalid JSON":                       {strings.Replace(jsonAnswer(`{"a":1}`), `{"a":1}`, `{"a":1]`, 1), schema.CallOutcome_CALL_OUTCOME_UNKNOWN},
		"body above the limit":               {jsonAnswer(`"` + strings.Repeat("x", 5000) + `"`), schema.CallOutcome_CALL_OUTCOME_UNKNOWN},
		"no response after the request ran":  {"", schema.CallOutcome_CALL_OUTCOME_UNKNOWN},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newWorkerFixture(t)
				instance, worker := fixture.addWorker(t, "127.0.0.1:1", "shop", "1", "token")
				worker.answer = func(string) string {
					// An incomplete response is followed by the end of the connection.
					if test.want == schema.CallOutcome_CALL_OUTCOME_UNKNOWN {
						go func() {
							time.Sleep(time.Millisecond)
							fixture.lock.Lock()
							defer fixture.lock.Unlock()
							for _, conn := range fixture.conns["127.0.0.1:1"][2:] {
								_ = conn.Close() // a pipe cannot fail to close
							}
						}()
					}
					return test.answer
				}
				if got := fixture.runner.Run(t.Context(), client, newForwardRequest("r1", instance)); got.Outcome != test.want {
					t.Errorf("Run: got %v with code %q, want %v", got.Outcome, got.ErrorCode, test.want)
				}
			})
		})
	}
}

// A worker gets no request after it has reported that it is draining, and a request that is delivered twice runs at
// most once. This holds in every order of the two deliveries and the report. The exploration must find a seeded fault:
// the deliveries do not share the set of request ids.
func TestDuplicateDeliveryRunsAtMostOnceInEveryOrder(t *testing.T) {
	explore := func(seeded bool) scheduleexplorer.Outcome {
		return scheduleexplorer.Explore(t, 20000, func(t *testing.T, run *scheduleexplorer.Execution) func() error {
			t.Helper()
			fixture := newWorkerFixture(t)
			instance, worker := fixture.addWorker(t, "127.0.0.1:1", "shop", "1", "token")
			var runsAtDraining int // number of runs when the worker was draining, plus 1; 0 before
			for _, name := range []string{"first", "again"} {
				run.Go(name, func(yield func()) {
					runner := *fixture.runner
					runner.HasLease = func() bool { yield(); return true }
					if seeded {
						runner.recentIDs = NewRecentIDs(8)
					}
					runner.Run(t.Context(), client, newForwardRequest("r1", instance))
				})
			}
			run.Go("draining", func(yield func()) {
				description := fixture.describe("127.0.0.1:1", worker)
				description.Draining = true
				yield()
				_, _ = fixture.workers.Register(description)
				runsAtDraining = len(fixture.recordedRuns()) + 1
			})
			return func() error {
				runs := fixture.recordedRuns()
				if len(runs) > 1 {
					return fmt.Errorf("the request ran %d times, want at most once", len(runs))
				}
				if runsAtDraining > 0 && len(runs) >= runsAtDraining {
					return errors.New("the request ran after the worker had reported that it is draining")
				}
				return nil
			}
		})
	}
	if faulty := explore(true); faulty.Failure == "" {
		t.Error("Explore with the seeded fault: got no failure, want one")
	}
	correct := explore(false)
	if correct.Failure != "" {
		t.Errorf("Explore: got the failure %q, want none", correct.Failure)
	}
	t.Logf("explored %d orders", correct.Schedules)
}

// Of three concurrent requests under one key at most one runs, in every order, and none is answered unless one ran. The
// exploration must find a seeded fault: each request has a key of its own.
func TestOneKeyRunsAtMostOnceInEveryOrder(t *testing.T) {
	explore := func(seeded bool) scheduleexplorer.Outcome {
		return scheduleexplorer.Explore(t, 20000, func(t *testing.T, run *scheduleexplorer.Execution) func() error {
			t.Helper()
			cache := NewIdempotencyCache(8)
			var runs, answered atomic.Int32
			for _, name := range []string{"a", "b", "c"} {
				run.Go(name, func(yield func()) {
					key := "key"
					if seeded {
						key += name
					}
					got := cache.Do(t.Context(), key, []byte("body"), func(string) (*schema.ForwardResponse, string) {
						yield()
						runs.Add(1)
						return &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200, Body: []byte("one")}, "w"
					})
					if string(got.Body) == "one" {
						answered.Add(1)
					}
				})
			}
			return func() error {
				if runs.Load() > 1 {
					return fmt.Errorf("requests under the key ran %d times, want at most once", runs.Load())
				}
				if answered.Load() > 0 && runs.Load() == 0 {
					return fmt.Errorf("%d requests were answered, but none ran", answered.Load())
				}
				return nil
			}
		})
	}
	if explore(true).Failure == "" {
		t.Error("Explore with the seeded fault: got no failure, want one")
	}
	if correct := explore(false); correct.Failure != "" {
		t.Errorf("Explore: got the failure %q, want none", correct.Failure)
	}
}

// A repeat runs only if the earlier request under the key did not run, or if its outcome is unknown and an instance may
// know it. Otherwise the repeat gets the result of the earlier request. A request with another body is refused.
func TestRepeatGetsFinalResult(t *testing.T) {
	cache := NewIdempotencyCache(2)
	runs := 0
	attempt := func(key, body string, outcome schema.CallOutcome, instance string) *schema.ForwardResponse {
		return cache.Do(context.Background(), key, []byte(body), func(string) (*schema.ForwardResponse, string) {
			runs++
			return &schema.ForwardResponse{Outcome: outcome}, instance
		})
	}
	unknown, notRun, answered := schema.CallOutcome_CALL_OUTCOME_UNKNOWN, schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, schema.CallOutcome_CALL_OUTCOME_ANSWERED
	for i, test := range []struct {
		key, body string
		outcome   schema.CallOutcome // result of the run, if there is one
		instance  string             // instance that the run tried
		want      schema.CallOutcome
		wantRuns  int // runs of all steps so far
	}{
		{"k", "b", notRun, "", notRun, 1},      // the key is free again
		{"k", "b", unknown, "w", unknown, 2},   // unknown, tried at an instance
		{"k", "b", notRun, "w", unknown, 3},    // the repeat did not run there, which leaves the first unknown
		{"k", "x", answered, "w", notRun, 3},   // another body under the key is refused
		{"k", "b", answered, "w", answered, 4}, // the instance answers a later repeat
		{"k", "b", answered, "w", answered, 4}, // answered from the cache
		{"u", "b", unknown, "", unknown, 5},    // unknown, and no instance knows the result
		{"u", "b", answered, "", unknown, 5},   // remains unknown, and is not run
		{"v", "b", answered, "", answered, 6},  // the cache is full, so the oldest key is evicted
	} {
		if got := attempt(test.key, test.body, test.outcome, test.instance); got.Outcome != test.want || runs != test.wantRuns {
			t.Errorf("step %d: Do(%q, %q): got %v after %d runs, want %v after %d runs", i, test.key, test.body, got.Outcome, runs, test.want, test.wantRuns)
		}
	}
}

// Large answers evict older ones, so that retained bodies never exceed bytesPerKey bytes for each key of the bound.
func TestIdempotencyCacheIsBoundedInBytes(t *testing.T) {
	cache := NewIdempotencyCache(100)
	large := make([]byte, 10*bytesPerKey)
	for i := range 50 {
		cache.Do(context.Background(), fmt.Sprint(i), nil, func(string) (*schema.ForwardResponse, string) {
			return &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Body: large}, "w"
		})
	}
	if cache.answerBytes > 100*bytesPerKey || len(cache.order) != 10 || len(cache.entries) != 10 {
		t.Errorf("after 50 large answers: got %d bytes in %d keys, %d of them ordered, want at most %d bytes in 10 keys",
			cache.answerBytes, len(cache.entries), len(cache.order), 100*bytesPerKey)
	}
	runs := 0
	for _, key := range []string{"0", "49"} {
		cache.Do(context.Background(), key, nil, func(string) (*schema.ForwardResponse, string) {
			runs++
			return &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED}, "w"
		})
	}
	if runs != 1 {
		t.Errorf("repeats of the oldest and the newest key: got %d runs, want 1, of the evicted oldest key", runs)
	}
}

// A request that was refused as not executed does not run when it is delivered again, even if no check refuses it then.
func TestRefusedRequestNeverRunsLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newWorkerFixture(t)
		instance, _ := fixture.addWorker(t, "127.0.0.1:1", "shop", "1", "token")
		leased := false
		fixture.runner.HasLease = func() bool { return leased }
		if got := fixture.runner.Run(t.Context(), client, newForwardRequest("r1", instance)); got.Outcome != schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED {
			t.Fatalf("Run(r1) without a lease: got %v, want CALL_OUTCOME_NOT_EXECUTED", got.Outcome)
		}
		leased = true
		if got := fixture.runner.Run(t.Context(), client, newForwardRequest("r1", instance)); got.Outcome != schema.CallOutcome_CALL_OUTCOME_UNKNOWN || len(fixture.recordedRuns()) > 0 {
			t.Errorf("second Run(r1), with a lease: got %v and runs %+v, want CALL_OUTCOME_UNKNOWN and no run", got.Outcome, fixture.recordedRuns())
		}
		if got := fixture.runner.Run(t.Context(), client, newForwardRequest("r2", instance)); got.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED {
			t.Errorf("Run(r2) with a lease: got %v, want CALL_OUTCOME_ANSWERED", got.Outcome)
		}
	})
}

// The runner reports a worker's failed calls: failure responses, truncated responses, and calls that had no response
// after far longer than calls take. Calls that had too little time for such a conclusion are not reported as failed.
func TestRunnerReportsFailedRuns(t *testing.T) {
	const answers = 20
	for name, test := range map[string]struct {
		answer     string        // response to each of the last five calls; empty for none
		timeLeft   time.Duration // time that each of these calls has
		wantFailed uint32
	}{
		"answers: no failures":                         {jsonAnswer(`{"a":1}`), time.Minute, 0},
		"answers with a failure: failed":               {"HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno", time.Minute, 5},
		"truncates responses: failed":                  {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", 500 * time.Millisecond, 5},
		"hangs: failed":                                {"", 500 * time.Millisecond, 5},
		"has less time than calls take: not failed":    {"", 150 * time.Millisecond, 0},
		"refuses without running the call: not failed": {"HTTP/1.1 421 Misdirected\r\n" + HeaderRefused + ": token\r\nContent-Length: 0\r\n\r\n", time.Minute, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newWorkerFixture(t)
				fixture.runner.Outliers = NewOutlierDetector(5, time.Hour)
				instance, worker := fixture.addWorker(t, "127.0.0.1:1", "shop", "1", "token")
				testEnded := make(chan struct{})
				defer close(testEnded)
				answer := jsonAnswer(`{"a":1}`)
				worker.answer = func(string) string {
					time.Sleep(100 * time.Millisecond)
					if answer == "" || strings.Contains(answer, "10\r\n\r\nabc") {
						<-testEnded
					}
					return answer
				}
				run := func(number int, timeLeft time.Duration) *schema.ForwardResponse {
					request := newForwardRequest(fmt.Sprint("r", number), instance)
					request.TimeLeftNanos = int64(timeLeft)
					return fixture.runner.Run(t.Context(), client, request)
				}
				for number := range answers {
					if got := run(number, time.Minute); got.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED || got.RecentFailures != 0 || got.RecentRuns != 0 {
						t.Fatalf("Run(r%d): got %v with %d of %d runs failed, want an answer and no report", number, got.Outcome, got.RecentFailures, got.RecentRuns)
					}
				}
				answer = test.answer
				for number := range 5 {
					run(answers+number, test.timeLeft)
				}
				if ran, failed := fixture.runner.Outliers.RunCounts(instance, fixture.now()); failed != test.wantFailed || (failed > 0 && ran != answers+failed) {
					t.Errorf("RunCounts: got %d failed of %d, want %d failed of %d (of 0 if none failed)", failed, ran, test.wantFailed, answers+test.wantFailed)
				}
			})
		})
	}
}
