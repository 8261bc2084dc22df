package dispatch

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"meadowhinge/internal/interleave"
	"meadowhinge/internal/link"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/registry"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

const claimLease = 8 * time.Second

// desk is three registries' claims, and two proxies whose callers have one key between them.
// Each proxy sees another worker, behind another proxy, so that only the claims keep the
// request from running twice.
type desk struct {
	stages [2]*stage
	lock   sync.Mutex // of claims: a key is let go beside the thread that had it
	claims [3]*registry.Claims
	hung   [3]bool // a registry that does not answer
	began  time.Time
	single bool // planted: one registry's word is enough
	lost   [2]func(order int) bool
	told   [2][]*Ended
}

func newDesk(t testing.TB) *desk {
	d := &desk{stages: [2]*stage{newStage(t), newStage(t)}, began: time.Now()}
	for i := range d.claims {
		d.claims[i] = d.fresh()
		d.claims[i].Unused()
	}
	return d
}

func (d *desk) fresh() *registry.Claims {
	return registry.NewClaims(registry.ClaimsOptions{Lease: claimLease, Window: 4 * claimLease, Most: 64, Seats: 3})
}

func (d *desk) now() time.Duration { return time.Since(d.began) }

// restart lets a registry begin anew and, if it is sound, read the others before it counts.
func (d *desk) restart(i int, way string) {
	fresh := d.fresh()
	if way == countsAtOnce {
		fresh.Unused()
	}
	d.lock.Lock()
	d.claims[i] = fresh
	d.lock.Unlock()
	switch way {
	case countsAtOnce:
		return
	case readsLater:
		time.Sleep(fresh.ReadsFrom())
	}
	d.refill(i)
}

// Ways in which a registry begins anew; only the first is sound.
const (
	readsLater   = "reads the others once no round of its earlier life can go on"
	readsAtOnce  = "reads the others at once"
	countsAtOnce = "counts at once"
)

func (d *desk) refill(i int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for other := range d.claims {
		if other != i {
			d.claims[i].Fill(d.now(), fmt.Sprint(other), d.claims[other].Page(d.now(), 0))
		}
	}
}

// claimer takes claims to the registries one after another, yielding before each.
func (d *desk) claimer(from int, yield func()) Claimer {
	return func(_ context.Context, claim *schema.Claim) (session.ClaimVerdict, *schema.Claim) {
		seats := 3
		if d.single {
			seats = 1
		}
		round := session.NewClaiming(claim, seats, d.now(), session.ClaimBound(claimLease))
		for i := range 3 {
			seat := (from + i) % 3
			yield()
			if !d.hung[seat] {
				d.lock.Lock()
				claimed := d.claims[seat].Take(d.now(), claim)
				d.lock.Unlock()
				round.Take(d.now(), fmt.Sprint(seat), claimed)
			}
			if verdict := round.Verdict(i == 2); verdict != session.ClaimOpen {
				return verdict, round.Holder
			}
		}
		return round.Verdict(true), round.Holder
	}
}

// caller is one of the two proxies.
func (d *desk) caller(t testing.TB, which int, yield func()) *Carrier {
	s := d.stages[which]
	view := &plan.View{Setup: s.view.Setup, Directory: plan.Directory{"shop": {"1": {}}}}
	for _, one := range s.workers.List() {
		view.Directory["shop"]["1"] = append(view.Directory["shop"]["1"], plan.Candidate{Instance: one.Instance, Proxy: fmt.Sprint("beside-", which)})
	}
	sent := 0
	return (&Carrier{Name: fmt.Sprint("q", which), Incarnation: 1, Bounds: Bounds{Options: plan.Options{HorizonMost: 2 * time.Second}, ExtraFloor: 10}, View: func() *plan.View { return view },
		AwaitView:  func(context.Context, func(*plan.View) bool) {},
		AwaitLease: func(context.Context) bool { return true }, Lagging: func() {}, Leased: func() bool { return true }, Members: func() int { return 1 },
		Now: d.now, Dice: func() float64 { return 0 }, Soundness: NewSoundness(5, time.Second), Trials: NewTrials(TrialDefaults, func() int { return 1 }, func() Guards { return stated{} }), Tally: NewTally(64),
		Claim: d.claimer(which, yield), ClaimPause: time.Hour,
		SendOn: func(ctx context.Context, candidate plan.Candidate, carry *schema.Carry) (*schema.Carried, error) {
			yield()
			sent++
			target := d.stages[0]
			if candidate.Proxy == "beside-1" {
				target = d.stages[1]
			}
			carried := target.runner.Run(ctx, link.Local("proxy", "q", map[string]bool{"client": true}), carry)
			if lost := d.lost[which]; lost != nil && lost(sent) {
				return unknown("LINK_LOST"), nil
			}
			return carried, nil
		}}).Start(16)
}

func (d *desk) call(key, body string) *Call {
	return &Call{Target: "/shop/buy", Body: []byte(body), Request: plan.Request{Caller: "client", Method: "POST", Path: "/shop/buy", Keyed: true, Idempotency: key,
		Header: func(string) (string, bool) { return "ann", true }}}
}

func (d *desk) runs() int { return len(d.stages[0].ledger()) + len(d.stages[1].ledger()) }

// judge holds what was told against what ran: one run at most, and none of what was told so.
func (d *desk) judge() error {
	ran := map[string]bool{}
	for _, s := range d.stages {
		for _, one := range s.ledger() {
			ran[one.request[:strings.LastIndex(one.request, "-")]] = true
		}
	}
	if count := d.runs(); count > 1 {
		return fmt.Errorf("ran %d times: %v", count, ran)
	}
	for _, told := range d.told {
		for _, one := range told {
			if one.Carried.Ending == schema.Ending_ENDING_NOT_RUN && ran[one.ID] {
				return fmt.Errorf("%s was told not run, and ran", one.ID)
			}
			if one.Carried.Ending == schema.Ending_ENDING_ANSWERED && len(ran) == 0 {
				return fmt.Errorf("%s was answered, and nothing ran", one.ID)
			}
		}
	}
	return nil
}

// Two callers ask under one key at two proxies, in every order of their claims, a registry's
// restart and their dispatches: one run. It fails where one registry's word is enough, and
// where a registry that restarted counts before it has read the others.
func TestEveryOrderOfOneKeyAtTwoProxies(t *testing.T) {
	explore := func(single bool, restart string) interleave.Outcome {
		return interleave.Explore(t, 200000, func(t *testing.T, run *interleave.Run) func() error {
			d := newDesk(t)
			d.single = single
			for i, s := range d.stages {
				s.enter(t, "127.0.0.1:1", "shop", "1", fmt.Sprint("token-", i))
			}
			for which := range 2 {
				run.Go(fmt.Sprint("caller-", which), func(yield func()) {
					d.told[which] = append(d.told[which], d.caller(t, which, yield).Carry(t.Context(), d.call("key", "{}")))
				})
			}
			if restart != "" {
				run.Go("restart", func(func()) { d.restart(1, restart) })
			}
			return d.judge
		})
	}
	for name, one := range map[string]struct {
		single  bool
		restart string
		broken  bool
	}{
		"sound":                           {},
		"a registry restarts":             {restart: readsLater},
		"planted: one registry is enough": {single: true, broken: true},
		"planted: counts at once":         {restart: countsAtOnce, broken: true},
		"planted: reads at once":          {restart: readsAtOnce, broken: true},
	} {
		outcome := explore(one.single, one.restart)
		if (outcome.Failure != "") != one.broken {
			t.Errorf("%s: %q after %d orders", name, outcome.Failure, outcome.Orders)
		}
		t.Logf("%s: %d orders", name, outcome.Orders)
	}
}

// A key asked for again elsewhere, after each single loss, runs once; the repeat gets the
// first answer where that can still be known.
func TestRepeatElsewhere(t *testing.T) {
	answered, unknownEnding, notRunEnding := schema.Ending_ENDING_ANSWERED, schema.Ending_ENDING_UNKNOWN, schema.Ending_ENDING_NOT_RUN
	for name, one := range map[string]struct {
		before func(d *desk)            // the first try
		after  func(d *desk)            // it
		body   string                   // of the repeat, where another
		first  schema.Ending            //
		again  schema.Ending            //
		runs   int                      //
		lost   func(order int) bool     // answers of the first try that are lost
		check  func(*testing.T, *Ended) // of the repeat
	}{
		"the first was answered":        {first: answered, again: answered, runs: 1},
		"the first's answer was lost":   {first: unknownEnding, again: answered, runs: 1, lost: func(int) bool { return true }},
		"the worker's proxy is lost":    {first: unknownEnding, again: unknownEnding, runs: 1, lost: func(int) bool { return true }, after: func(d *desk) { d.stages[0].runner.memory = NewMemory(8) }},
		"a core machine is lost after":  {first: answered, again: answered, runs: 1, after: func(d *desk) { d.hung[1] = true }},
		"a core machine is lost before": {first: answered, again: answered, runs: 1, before: func(d *desk) { d.hung[2] = true }},
		"one core machine after another comes back empty": {first: unknownEnding, again: answered, runs: 1, lost: func(int) bool { return true }, after: func(d *desk) {
			for i := range 3 {
				d.restart(i, readsLater)
			}
		}},
		"two core machines are lost at once": {first: answered, again: notRunEnding, runs: 1, after: func(d *desk) {
			d.claims[0], d.claims[1] = d.fresh(), d.fresh()
			time.Sleep(claimLease)
			d.refill(0)
			d.refill(1)
			// The third still has the key, but its word alone would not keep another from running.
			d.claims[2] = d.fresh()
		}},
		"no majority of registries": {first: notRunEnding, again: answered, runs: 1, before: func(d *desk) { d.hung[0], d.hung[1] = true, true }, after: func(d *desk) {
			d.hung[0], d.hung[1] = false, false
		}},
		"another body under the key": {first: answered, again: notRunEnding, runs: 1, body: "{1}", check: func(t *testing.T, ended *Ended) {
			if ended.Carried.Defect != "IDEMPOTENCY_KEY_REUSED" {
				t.Error(ended.Carried.Defect)
			}
		}},
		"the first never ran": {first: notRunEnding, again: answered, runs: 1, before: func(d *desk) {
			said := d.stages[0].saying("127.0.0.1:1", d.stages[0].actors["127.0.0.1:1"])
			said.Leaving = true
			_, _ = d.stages[0].workers.Describe(said)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDesk(t)
				for i, s := range d.stages {
					s.enter(t, "127.0.0.1:1", "shop", "1", fmt.Sprint("token-", i))
				}
				first, second := d.caller(t, 0, func() {}), d.caller(t, 1, func() {})
				if one.before != nil {
					one.before(d)
				}
				d.lost[0] = one.lost
				d.told[0] = append(d.told[0], first.Carry(t.Context(), d.call("key", "{}")))
				if one.after != nil {
					one.after(d)
				}
				body := "{}"
				if one.body != "" {
					body = one.body
				}
				again := second.Carry(t.Context(), d.call("key", body))
				d.told[1] = append(d.told[1], again)
				if got := d.told[0][0].Carried; got.Ending != one.first {
					t.Errorf("the first ended %v with %s, want %v", got.Ending, got.Defect, one.first)
				}
				if again.Carried.Ending != one.again {
					t.Errorf("the repeat ended %v with %s, want %v", again.Carried.Ending, again.Carried.Defect, one.again)
				}
				if d.runs() != one.runs {
					t.Errorf("%d runs, want %d", d.runs(), one.runs)
				}
				if err := d.judge(); err != nil {
					t.Error(err)
				}
				if one.check != nil {
					one.check(t, again)
				}
			})
		})
	}
}

// A worker's proxy that has a newer setup may refuse what the older one allowed: the call is
// planned anew by the newer one as soon as it is here, and answered.
func TestNewerSetupElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDesk(t)
		for i, s := range d.stages {
			s.enter(t, "127.0.0.1:1", "shop", "1", fmt.Sprint("token-", i))
		}
		carrier := d.caller(t, 0, func() {})
		older, arrives := carrier.View(), time.Now().Add(700*time.Millisecond)
		newer := &plan.View{Setup: compiled(t, 6), Directory: older.Directory}
		carrier.View = func() *plan.View {
			if time.Now().Before(arrives) {
				return older
			}
			return newer
		}
		carrier.AwaitView = func(ctx context.Context, ready func(*plan.View) bool) {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(arrives)):
			}
		}
		send := carrier.SendOn
		refused := 0
		carrier.SendOn = func(ctx context.Context, candidate plan.Candidate, carry *schema.Carry) (*schema.Carried, error) {
			if carry.Setup < 6 {
				refused++
				carried := notRun("VERSION_NOT_ALLOWED", 6)
				carried.Request = carry.Request
				return carried, nil
			}
			return send(ctx, candidate, carry)
		}
		ended := carrier.Carry(t.Context(), d.call("key", "{}"))
		if ended.Err != nil || refused != 1 || ended.Plan.Verdict.Setup != 6 {
			t.Errorf("ended %v after %d refusals, by setup %d", ended.Err, refused, ended.Plan.Verdict.Setup)
		}
	})
}
