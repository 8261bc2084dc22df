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

// Every refusal on the worker's side has the outcome "not executed", and nothing has run.
func TestRefusalsRunNothing(t *testing.T) {
	for name, test := range map[string]struct {
		change func(fixture *workerFixture, request *schema.ForwardRequest)
		peer   transport.Peer
		want   errs.Code
	}{
		"a caller the peer may not call as":        {func(_ *workerFixture, request *schema.ForwardRequest) { request.Caller = "saves" }, client, errs.CallerNotAllowed},
		"a peer without a certificate":             {func(*workerFixture, *schema.ForwardRequest) {}, transport.Peer{}, errs.CallerNotAllowed},
		"an altered body":                          {func(_ *workerFixture, request *schema.ForwardRequest) { request.Body = []byte("x") }, client, errs.MalformedRequest},
		"an instance that is no longer registered": {func(_ *workerFixture, request *schema.ForwardRequest) { request.Instance = "p/old/1" }, client, errs.WrongInstance},
		"another version":                          {func(_ *workerFixture, request *schema.ForwardRequest) { request.Version = "2" }, client, errs.WrongInstance},
		"another service":                          {func(_ *workerFixture, request *schema.ForwardRequest) { request.Service = "saves" }, client, errs.WrongInstance},
		"a version no configuration lists":         {func(_ *workerFixture, request *schema.ForwardRequest) { request.Version = "9" }, client, errs.VersionNotAllowed},
		"a service no configuration lists":         {func(_ *workerFixture, request *schema.ForwardRequest) { request.Service = "nowhere" }, client, errs.VersionNotAllowed},
		"a plan by a revision replaced long ago":   {func(_ *workerFixture, request *schema.ForwardRequest) { request.Revision = 3 }, client, errs.StalePlan},
		"no time left":                             {func(_ *workerFixture, request *schema.ForwardRequest) { request.TimeLeftNanos = 0 }, client, errs.DeadlineExceeded},
		"a proxy without a lease": {func(fixture *workerFixture, _ *schema.ForwardRequest) {
			fixture.runner.HasLease = func() bool { return false }
		}, client, errs.NoLease},
		"a worker that is draining": {func(fixture *workerFixture, _ *schema.ForwardRequest) {
			description := fixture.describe("127.0.0.1:1", fixture.workersByAddress["127.0.0.1:1"])
			description.Draining = true
			_, _ = fixture.workers.Register(description)
		}, client, errs.WorkerDraining},
		"a worker whose heartbeats are overdue": {func(fixture *workerFixture, _ *schema.ForwardRequest) {
			time.Sleep(4 * time.Second)
			fixture.workers.DropUnresponsive()
		}, client, errs.WrongInstance},
		"an address now another's, registered": {func(fixture *workerFixture, _ *schema.ForwardRequest) {
			fixture.workersByAddress["127.0.0.1:1"] = &fakeWorker{token: "new", service: "saves", version: "1"}
			_, _ = fixture.workers.Register(fixture.describe("127.0.0.1:1", fixture.workersByAddress["127.0.0.1:1"]))
		}, client, errs.WrongInstance},
		"an address now another's, not yet registered": {func(fixture *workerFixture, _ *schema.ForwardRequest) {
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
					t.Errorf("ended %v with %s, want not run with %s", got.Outcome, got.ErrorCode, test.want)
				}
				if runs := fixture.recordedRuns(); len(runs) > 0 {
					t.Errorf("it ran: %v", runs)
				}
			})
		})
	}
}

// A worker's response is passed on only if it is certainly complete.
func TestAnswersMustBeWhole(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		want   schema.CallOutcome
	}{
		"whole":                        {jsonAnswer(`{"a":1}`), schema.CallOutcome_CALL_OUTCOME_ANSWERED},
		"whole, in chunks":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: Content-Length\r\n\r\n3\r\nabc\r\n0\r\n\r\n", schema.CallOutcome_CALL_OUTCOME_ANSWERED},
		"an error of the worker's":     {"HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno", schema.CallOutcome_CALL_OUTCOME_ANSWERED},
		"cut short":                    {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", schema.CallOutcome_CALL_OUTCOME_UNKNOWN},
		"cut short in a chunk":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc", schema.CallOutcome_CALL_OUTCOME_UNKNOWN},
		"ended by the connection":      {"HTTP/1.1 200 OK\r\n\r\nabc", schema.CallOutcome_CALL_OUTCOME_UNKNOWN},
		"garbage for a status":         {"HTTP/1.1 9 ?\r\nContent-Length: 0\r\n\r\n", schema.CallOutcome_CALL_OUTCOME_UNKNOWN},
		"no HTTP":                      {"this is not an answer at all\r\n\r\n", schema.CallOutcome_CALL_OUTCOME_UNKNOWN},
		"JSON that is not":             {strings.Replace(jsonAnswer(`{"a":1}`), `{"a":1}`, `{"a":1]`, 1), schema.CallOutcome_CALL_OUTCOME_UNKNOWN},
		"larger than is taken":         {jsonAnswer(`"` + strings.Repeat("x", 5000) + `"`), schema.CallOutcome_CALL_OUTCOME_UNKNOWN},
		"nothing, the work being done": {"", schema.CallOutcome_CALL_OUTCOME_UNKNOWN},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newWorkerFixture(t)
				instance, worker := fixture.addWorker(t, "127.0.0.1:1", "shop", "1", "token")
				worker.answer = func(string) string {
					// A truncated response is followed by the end of the connection.
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
					t.Errorf("ended %v with %s, want %v", got.Outcome, got.ErrorCode, test.want)
				}
			})
		})
	}
}

// A worker gets no call after it has reported that it is draining, and a request runs once however often it is delivered:
// in every order of two deliveries and the report.
func TestEveryOrderOfDeliveryAndLeaving(t *testing.T) {
	explore := func(seeded bool) scheduleexplorer.Outcome {
		return scheduleexplorer.Explore(t, 20000, func(t *testing.T, run *scheduleexplorer.Execution) func() error {
			t.Helper()
			fixture := newWorkerFixture(t)
			instance, worker := fixture.addWorker(t, "127.0.0.1:1", "shop", "1", "token")
			var runsAtDraining int
			for _, name := range []string{"first", "again"} {
				run.Go(name, func(yield func()) {
					runner := *fixture.runner
					runner.HasLease = func() bool { yield(); return true }
					if seeded {
						runner.recentIDs = NewRecentIDs(8) // each delivery with a set of ids of its own
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
					return fmt.Errorf("ran %d times", len(runs))
				}
				if runsAtDraining > 0 && len(runs) >= runsAtDraining {
					return errors.New("ran after the worker was draining")
				}
				return nil
			}
		})
	}
	if broken := explore(true); broken.Failure == "" {
		t.Error("the seeded fault was not found")
	}
	correct := explore(false)
	if correct.Failure != "" {
		t.Error(correct.Failure)
	}
	t.Logf("%d orders", correct.Schedules)
}

// Of three callers with one key one runs, and the others get its answer, in every order.
func TestEveryOrderOfOneKey(t *testing.T) {
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
					return fmt.Errorf("ran %d times", runs.Load())
				}
				if answered.Load() > 0 && runs.Load() == 0 {
					return errors.New("answered and never ran")
				}
				return nil
			}
		})
	}
	if explore(true).Failure == "" {
		t.Error("the seeded fault was not found")
	}
	if correct := explore(false); correct.Failure != "" {
		t.Error(correct.Failure)
	}
}

// The results of repeats, by the result of the first request and where it was tried.
func TestIdempotencyCache(t *testing.T) {
	cache := NewIdempotencyCache(2)
	runs := 0
	attempt := func(key, body string, ending schema.CallOutcome, instance string) *schema.ForwardResponse {
		return cache.Do(context.Background(), key, []byte(body), func(string) (*schema.ForwardResponse, string) {
			runs++
			return &schema.ForwardResponse{Outcome: ending}, instance
		})
	}
	unknownEnding, notRunEnding, answered := schema.CallOutcome_CALL_OUTCOME_UNKNOWN, schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, schema.CallOutcome_CALL_OUTCOME_ANSWERED
	for i, test := range []struct {
		key, body string
		ending    schema.CallOutcome
		instance  string
		want      schema.CallOutcome
		ran       int
	}{
		{"k", "b", notRunEnding, "", notRunEnding, 1},    // not executed: the key is free again
		{"k", "b", unknownEnding, "w", unknownEnding, 2}, // unknown at an instance
		{"k", "b", notRunEnding, "w", unknownEnding, 3},  // a repeat there that did not run leaves the first unknown
		{"k", "x", answered, "w", notRunEnding, 3},       // the key with another body
		{"k", "b", answered, "w", answered, 4},           // the instance can report on it after all
		{"k", "b", answered, "w", answered, 4},           // from the cache
		{"u", "b", unknownEnding, "", unknownEnding, 5},  // unknown, and no instance can report on it
		{"u", "b", answered, "", unknownEnding, 5},       // stays unknown, and is not run
		{"v", "b", answered, "", answered, 6},            // makes room: the oldest is dropped
	} {
		if got := attempt(test.key, test.body, test.ending, test.instance); got.Outcome != test.want || runs != test.ran {
			t.Errorf("step %d: ended %v after %d runs, want %v after %d", i, got.Outcome, runs, test.want, test.ran)
		}
	}
}

// Large answers push older ones out, so that keys never take more memory than the settings allow.
func TestIdempotencyCacheIsBoundedInBytes(t *testing.T) {
	cache := NewIdempotencyCache(100)
	large := make([]byte, 10*bytesPerKey)
	for i := range 50 {
		cache.Do(context.Background(), fmt.Sprint(i), nil, func(string) (*schema.ForwardResponse, string) {
			return &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Body: large}, "w"
		})
	}
	if cache.answerBytes > 100*bytesPerKey || len(cache.order) != 10 || len(cache.entries) != 10 {
		t.Errorf("%d bytes in %d keys", cache.answerBytes, len(cache.entries))
	}
	runs := 0
	for _, key := range []string{"0", "49"} {
		cache.Do(context.Background(), key, nil, func(string) (*schema.ForwardResponse, string) {
			runs++
			return &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED}, "w"
		})
	}
	if runs != 1 {
		t.Errorf("%d of an old and a new key ran again", runs)
	}
}

// A request that was refused as not executed does not run when it is delivered again, though nothing refuses it then.
func TestWhatWasRefusedNeverRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newWorkerFixture(t)
		instance, _ := fixture.addWorker(t, "127.0.0.1:1", "shop", "1", "token")
		leased := false
		fixture.runner.HasLease = func() bool { return leased }
		if got := fixture.runner.Run(t.Context(), client, newForwardRequest("r1", instance)); got.Outcome != schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED {
			t.Fatalf("ended %v", got.Outcome)
		}
		leased = true
		if got := fixture.runner.Run(t.Context(), client, newForwardRequest("r1", instance)); got.Outcome != schema.CallOutcome_CALL_OUTCOME_UNKNOWN || len(fixture.recordedRuns()) > 0 {
			t.Errorf("delivered again it ended %v, with runs %v", got.Outcome, fixture.recordedRuns())
		}
		if got := fixture.runner.Run(t.Context(), client, newForwardRequest("r2", instance)); got.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED {
			t.Errorf("another request ended %v", got.Outcome)
		}
	})
}

// Each response reports how the worker's calls ended: failures, truncated responses, and calls that were given up after far
// longer than calls take; not those that had less time than calls take.
func TestReportedWorkerRecord(t *testing.T) {
	const answers = 20
	for name, test := range map[string]struct {
		answer   string        // of the last five calls; empty for none
		timeLeft time.Duration // that calls have
		failed   uint32        // reported failures
	}{
		"answers":                {jsonAnswer(`{"a":1}`), time.Minute, 0},
		"fails":                  {"HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno", time.Minute, 5},
		"breaks answers off":     {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", 500 * time.Millisecond, 5},
		"hangs":                  {"", 500 * time.Millisecond, 5},
		"is not given the time":  {"", 150 * time.Millisecond, 0},
		"refuses, and runs none": {"HTTP/1.1 421 Misdirected\r\n" + HeaderRefused + ": token\r\nContent-Length: 0\r\n\r\n", time.Minute, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newWorkerFixture(t)
				fixture.runner.Outliers = NewOutlierDetector(5, time.Hour)
				instance, worker := fixture.addWorker(t, "127.0.0.1:1", "shop", "1", "token")
				hung := make(chan struct{})
				defer close(hung)
				answer := jsonAnswer(`{"a":1}`)
				worker.answer = func(string) string {
					time.Sleep(100 * time.Millisecond)
					if answer == "" || strings.Contains(answer, "10\r\n\r\nabc") {
						<-hung
					}
					return answer
				}
				run := func(number int, timeLeft time.Duration) *schema.ForwardResponse {
					test := newForwardRequest(fmt.Sprint("r", number), instance)
					test.TimeLeftNanos = int64(timeLeft)
					return fixture.runner.Run(t.Context(), client, test)
				}
				for number := range answers {
					if got := run(number, time.Minute); got.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED || got.RecentFailures != 0 || got.RecentRuns != 0 {
						t.Fatal(got)
					}
				}
				answer = test.answer
				for number := range 5 {
					run(answers+number, test.timeLeft)
				}
				if ran, failed := fixture.runner.Outliers.RunCounts(instance, fixture.now()); failed != test.failed || (failed > 0 && ran != answers+failed) {
					t.Errorf("reported: %d of %d failed", failed, ran)
				}
			})
		})
	}
}
