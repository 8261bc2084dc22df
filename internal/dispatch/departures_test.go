package dispatch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// What must hold of runs whose callers left is counted where it does not: only of runs that must end, and only when
// they had time to.
func TestOverrunsAreCounted(t *testing.T) {
	const most = 100 * time.Millisecond
	for name, one := range map[string]struct {
		limited bool
		lasts   time.Duration // from the caller's leaving to the run's end
		want    uint64
	}{
		"ends at once":               {true, 0, 0},
		"ends in time":               {true, most, 0},
		"ends within the grace":      {true, most + most/graceParts - 1, 0},
		"goes on":                    {true, most + most/graceParts + 1, 1},
		"may go on":                  {false, time.Hour, 0},
		"its caller does not leave":  {true, -1, 0},
		"goes on for a long time":    {true, time.Hour, 1},
		"may go on, and ends soon":   {false, 1, 0},
		"ends before it is too late": {true, most / 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began, counts := time.Now(), &Departures{}
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				caller := counts.followCaller(ctx, one.limited, most, func() time.Duration { return time.Since(began) })
				time.Sleep(time.Second)
				if one.lasts >= 0 {
					leave()
					synctest.Wait()
					time.Sleep(one.lasts)
				}
				if _, left := caller.end(); left != (one.lasts >= 0) {
					t.Errorf("left: %t", left)
				}
				time.Sleep(time.Hour)
				if got := counts.Counts().Overrun; got != one.want {
					t.Errorf("%d overruns counted, want %d", got, one.want)
				}
			})
		})
	}
}

// A run ends when its context does: the worker sees its connection end, the call is said to be called off, and
// nothing is held against the worker. One that may not be repeated goes on.
func TestRunsEndWithTheirCallers(t *testing.T) {
	for name, one := range map[string]struct {
		once   bool
		ending schema.Ending
		kind   defect.Kind
		counts DepartureCounts
	}{
		"repeatable": {false, schema.Ending_ENDING_UNKNOWN, defect.CallerGone, DepartureCounts{Told: 1, Stopped: 1}},
		"once":       {true, schema.Ending_ENDING_ANSWERED, "", DepartureCounts{Told: 1, Kept: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStage(t)
				s.runner.OverrunMost, s.runner.Soundness = 100*time.Millisecond, NewSoundness(1, time.Minute)
				instance, who := s.enter(t, "127.0.0.1:1", "shop", "1", "token")
				who.answer = func(string) string {
					time.Sleep(500 * time.Millisecond)
					return whole(`{}`)
				}
				ctx, leave := context.WithCancel(t.Context())
				time.AfterFunc(200*time.Millisecond, leave)
				asked := carry("r1", instance)
				asked.Once = one.once
				began := time.Now()
				got := s.runner.Run(ctx, client, asked)
				if got.Ending != one.ending || got.Defect != string(one.kind) {
					t.Errorf("ended %v with %q", got.Ending, got.Defect)
				}
				if !one.once && time.Since(began) != 200*time.Millisecond {
					t.Errorf("it ended after %v", time.Since(began))
				}
				if counts := s.runner.Departures.Counts(); counts != one.counts {
					t.Errorf("counted %+v", counts)
				}
				if _, failed := s.runner.Soundness.Record(instance, s.now()); failed != 0 {
					t.Error("the call is held against its worker")
				}
				if running, waiting, _, _ := s.workers.Load(instance); running+waiting != 0 {
					t.Errorf("%d running, %d waiting", running, waiting)
				}
				// The next call has a connection of its own.
				if next := s.runner.Run(t.Context(), client, carry("r2", instance)); next.Ending != schema.Ending_ENDING_ANSWERED {
					t.Errorf("the next call ended %v with %q", next.Ending, next.Defect)
				}
			})
		})
	}
}

// A call that its caller's proxy gives up as time runs out has run out of time: that is held against its worker.
func TestGivenUpInTheEndIsNotCalledOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStage(t)
		s.runner.Soundness = NewSoundness(1, time.Minute)
		instance, who := s.enter(t, "127.0.0.1:1", "shop", "1", "token")
		who.answer = func(string) string {
			time.Sleep(5 * time.Second)
			return whole(`{}`)
		}
		asked := carry("r1", instance)
		asked.Once = false
		left := time.Duration(asked.LeftNanos)
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(left-left/shortParts/2, leave)
		if got := s.runner.Run(ctx, client, asked); got.Ending != schema.Ending_ENDING_UNKNOWN || got.Defect != string(defect.HorizonPast) {
			t.Errorf("ended %v with %q", got.Ending, got.Defect)
		}
	})
}

// The caller's side: a call that is called off ends at once, is tried nowhere else, and is no failure of the worker
// or of its version; one under an idempotency key is not called off.
func TestCarryingEndsWithTheCaller(t *testing.T) {
	for name, one := range map[string]struct {
		route, key string
		ending     schema.Ending
		kind       defect.Kind
	}{
		"repeatable":  {`"class":"repeatable"`, "", schema.Ending_ENDING_UNKNOWN, defect.CallerGone},
		"once":        {`"class":"once"`, "", schema.Ending_ENDING_UNKNOWN, defect.CallerGone},
		"under a key": {`"class":"once"`, "k", schema.Ending_ENDING_ANSWERED, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answersAfter := func(ctx context.Context, carry *schema.Carry) (*schema.Carried, error) {
					select {
					case <-ctx.Done():
						return nil, ctx.Err()
					case <-time.After(time.Second):
						return answering(ctx, carry)
					}
				}
				c := startCarrying(t, 3, one.route, 9, answersAfter)
				c.Claim = func(context.Context, *schema.Claim) (session.ClaimVerdict, *schema.Claim) {
					return session.ClaimWon, nil
				}
				ctx, leave := context.WithCancel(t.Context())
				time.AfterFunc(300*time.Millisecond, leave)
				began := time.Now()
				ended := c.Carry(ctx, &Call{Target: "/a", Request: plan.Request{Caller: "client", Method: "GET", Path: "/a", Idempotency: one.key, Header: func(string) (string, bool) { return "", false }}})
				if ended.Carried.Ending != one.ending || ended.Carried.Defect != string(one.kind) || len(c.sent) != 1 {
					t.Errorf("ended %v with %q after %d tries", ended.Carried.Ending, ended.Carried.Defect, len(c.sent))
				}
				if one.key == "" && time.Since(began) != 300*time.Millisecond {
					t.Errorf("it ended after %v", time.Since(began))
				}
				for _, line := range c.Tally.Counts(1) {
					if line.Failures != 0 {
						t.Errorf("counted as a failure: %v", line)
					}
					if one.key == "" && line.Outcome != outcomeCalledOff {
						t.Errorf("counted as %q", line.Outcome)
					}
				}
				seen := c.Soundness.See(&plan.Candidate{Instance: c.sent[0]}, c.Now())
				if seen.InFlight != 0 || seen.Failures != 0 || seen.Ejected {
					t.Errorf("of the worker is kept %+v", seen)
				}
			})
		})
	}
}

// What is called off before it was sent proves that nothing ran, at whichever wait it is.
func TestCalledOffBeforeItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStage(t)
		instance, _ := s.enter(t, "127.0.0.1:1", "shop", "1", "token")
		ctx, leave := context.WithCancel(t.Context())
		leave()
		for _, once := range []bool{false, true} {
			asked := carry("r-"+map[bool]string{true: "once"}[once], instance)
			asked.Once = once
			if got := s.runner.Run(ctx, client, asked); got.Ending != schema.Ending_ENDING_NOT_RUN || got.Defect != string(defect.CallerGone) {
				t.Errorf("once %t: ended %v with %q", once, got.Ending, got.Defect)
			}
		}
		if runs := s.ledger(); len(runs) > 0 {
			t.Errorf("it ran: %v", runs)
		}
		if !errors.Is(ctx.Err(), context.Canceled) || endOf(ctx) != defect.CallerGone {
			t.Error("a caller's leaving is told as something else")
		}
	})
}

// A caller leaves at the very moment of its answer: whichever comes first, the next call on the same worker gets an
// answer of its own, and no connection is left that a call was cut off on.
func TestDeparturesCrossAnswers(t *testing.T) {
	const rounds, took = 300, 100 * time.Millisecond
	ended := map[schema.Ending]int{}
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			s := newStage(t)
			instance, who := s.enter(t, "127.0.0.1:1", "shop", "1", "token")
			who.answer = func(request string) string {
				time.Sleep(took)
				return whole(`{"request":"` + request + `"}`)
			}
			ctx, leave := context.WithCancel(t.Context())
			time.AfterFunc(took, leave)
			first, second := carry("r1", instance), carry("r2", instance)
			first.Once, second.Once = false, false
			got := s.runner.Run(ctx, client, first)
			ended[got.Ending]++
			if got.Ending == schema.Ending_ENDING_ANSWERED && string(got.Body) != `{"request":"r1"}` {
				t.Errorf("the first got %q", got.Body)
			}
			if got = s.runner.Run(t.Context(), client, second); got.Ending != schema.Ending_ENDING_ANSWERED || string(got.Body) != `{"request":"r2"}` {
				t.Errorf("the second ended %v with %q: %q", got.Ending, got.Defect, got.Body)
			}
			if counts := s.runner.Departures.Counts(); counts.Violations() > 0 {
				t.Errorf("counted %+v", counts)
			}
		})
	}
	t.Logf("the first ended %v", ended)
}
