package release

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

var termOptions = func() Options {
	options := Defaults
	options.TrialShare, options.BadShare, options.BadMargin = 8, 0.1, 50
	return options
}()

// termWorld is a world whose shop leaves its versions out, steered by a duty that can be replaced.
type termWorld struct {
	*world
	duty    *Duty
	now     time.Duration
	seen    map[uint64]time.Duration // when each sequence came
	applied uint64                   // by every proxy; 0 for the newest
	works   map[[2]string]*schema.Work
	workers map[[2]string]Pool
}

func termWorldOf(t *testing.T) *termWorld {
	w := &termWorld{world: &world{t: t, state: setup.State{}}, seen: map[uint64]time.Duration{}, works: map[[2]string]*schema.Work{},
		workers: map[[2]string]Pool{{"shop", "1"}: {Workers: 3, Slots: 54}}}
	w.hold("a")
	w.write(&schema.Item{Kind: "service", Name: "shop", Body: []byte(`{}`)})
	w.look()
	return w
}

// hold lets a registry that has just started take the duty.
func (w *termWorld) hold(seat string) {
	w.duty = NewDuty(termOptions, seat, 500*time.Millisecond)
	w.seen = map[uint64]time.Duration{}
}

// work counts calls that ended at a version's workers.
func (w *termWorld) work(version string, calls, failures uint64, took time.Duration, open uint32) {
	key := [2]string{version, "buy"}
	if w.works[key] == nil {
		w.works[key] = &schema.Work{Service: "shop", Version: version, Route: "buy", Times: make([]uint32, TimeSteps), Plan: w.compiled().Stated("shop", version)}
	}
	line := w.works[key]
	line.Calls, line.Failures, line.Nanos, line.Open = line.Calls+calls, line.Failures+failures, line.Nanos+calls*uint64(took), open
	line.Times[TimeStep(took)] += uint32(calls - failures)
}

// look lets the duty look once and writes its steps.
func (w *termWorld) look() {
	w.t.Helper()
	if w.seen[w.sequence] == 0 {
		for sequence := uint64(1); sequence <= w.sequence; sequence++ {
			if w.seen[sequence] == 0 {
				w.seen[sequence] = w.now
			}
		}
	}
	source := &schema.SourceCounts{Proxy: "p", Incarnation: 1, Applied: w.applied}
	if w.applied == 0 {
		source.Applied = w.sequence
	}
	for _, line := range w.works {
		source.Works = append(source.Works, line)
	}
	steps, err := w.duty.Look(w.now, w.compiled(), w.state, Sight{Counts: []*schema.SourceCounts{source}, Heard: 1, Workers: w.workers,
		Known: func(sequence uint64) time.Duration { return w.now - w.seen[sequence] }})
	if err != nil {
		w.t.Fatal(err)
	}
	for _, step := range steps {
		w.write(step.Items...)
	}
}

// run lets time pass, with so many calls a second that go by the flag's share.
func (w *termWorld) run(span time.Duration, rate int, new func() (failures uint64, took time.Duration)) {
	w.t.Helper()
	const turn = 125 * time.Millisecond
	for end := w.now + span; w.now < end; {
		w.now += turn
		calls := float64(rate) * turn.Seconds()
		share, from, to := 0.0, "1", "2"
		if progress := w.progress(); progress.State != "" {
			from, to = progress.From, w.compiled().Releases["shop"].Version
			if running(progress.State) {
				share = progress.Share / 100
			}
		}
		w.work(from, uint64(calls*(1-share)), 0, 20*time.Millisecond, 0)
		if fresh := uint64(calls * share); fresh > 0 {
			failures, took := uint64(0), 20*time.Millisecond
			if new != nil {
				failures, took = new()
			}
			w.work(to, fresh, min(fresh, failures), took, 0)
		}
		w.look()
	}
}

func (w *termWorld) progress() setup.Progress {
	if progress := w.compiled().Progress["shop"]; progress != nil {
		return *progress
	}
	return setup.Progress{}
}

func (w *termWorld) order(version string, over time.Duration) {
	w.t.Helper()
	step, err := Place(w.compiled(), w.state, Order{"shop", version, over})
	if err != nil || step == nil {
		w.t.Fatal(step, err)
	}
	w.write(step.Items...)
	w.workers[[2]string{"shop", version}] = Pool{Workers: 3, Slots: 54}
}

// What workers tell first stands as the fallback, with a flag that gives it; another version that
// comes without an order does not.
func TestStanding(t *testing.T) {
	w := termWorldOf(t)
	compiled := w.compiled()
	if compiled.FallbackOf("shop") != "1" || compiled.Flags.Flags["release.shop"] == nil || len(compiled.Guards["shop"]) != 0 {
		t.Fatalf("stands %v", compiled.Standing["shop"])
	}
	w.workers[[2]string{"shop", "2"}] = Pool{Workers: 9}
	at := w.sequence
	w.look()
	if w.sequence != at || w.compiled().Services["shop"].Allows("2") {
		t.Error("a version that nobody ordered is taken in")
	}
}

// A good version stays on trial, gets half, then all, takes the old one's place and is done before
// the term; a second order, and one for the version before, go the same way.
func TestGoodByItsTerm(t *testing.T) {
	w := termWorldOf(t)
	for i, version := range []string{"2", "1"} {
		w.order(version, 12*time.Second)
		states := ""
		for w.progress().State != Done {
			w.run(125*time.Millisecond, 400, nil)
			if one := fmt.Sprintf("%s ", w.progress().State); len(states) < len(one) || states[len(states)-len(one):] != one {
				states += one
			}
			if elapsed := time.Duration(w.progress().Elapsed); elapsed > 11*time.Second {
				t.Fatalf("still %v at %v", w.progress(), elapsed)
			}
			if trial := w.progress(); trial.State == Trial && trial.Share > 8 {
				t.Fatalf("on trial with %v %%", trial.Share)
			}
		}
		if want := "trial ramp settle done "; states != want {
			t.Errorf("order %d went %q", i, states)
		}
		compiled := w.compiled()
		if compiled.FallbackOf("shop") != version || len(compiled.Services["shop"].Versions) != 1 || len(compiled.Guards["shop"]) != 0 {
			t.Errorf("after order %d there stands %v", i, compiled.Standing["shop"])
		}
		if told, state := StateOf(compiled, "shop"); told != version || state != Done || Due(compiled, w.workers) {
			t.Errorf("order %d: %s %s", i, told, state)
		}
		w.works = map[[2]string]*schema.Work{}
		w.hold("a")
	}
}

// underLoad lets a version fail so many of each four dozen calls, but only once it has all of a
// service's calls, and tells how its plan stands and how many calls it came to.
func underLoad(t *testing.T, failing uint64) (stands setup.Progress, calls, most uint64) {
	const rate, over = 250, 14 * time.Second
	w := termWorldOf(t)
	w.work("1", 4000, 8, 20*time.Millisecond, 0)
	w.order("2", over)
	ticks := 0
	for time.Duration(w.progress().Elapsed) < over && w.progress().State != Done && w.progress().State != Back {
		w.run(125*time.Millisecond, rate, func() (uint64, time.Duration) {
			if ticks++; w.progress().Share < 100 || ticks%4 != 0 && failing < 12 {
				return 0, 20 * time.Millisecond
			}
			return failing, 20 * time.Millisecond
		})
		if proves := w.compiled().Proving("shop", "2"); proves != (w.progress().State == Ramp) {
			t.Fatalf("at %v it is told to prove itself: %t", w.progress(), proves)
		}
	}
	for key, line := range w.works {
		if key[0] == "2" {
			calls += line.Calls
		}
	}
	return w.progress(), calls, uint64(0.1*rate*over.Seconds()) + 50
}

// A version that fails only under load, and then only one call in twenty-five, shows that with all
// calls alone. It must not come to more than its part of all calls, and must not take over.
func TestBadUnderLoadKeepsTheBound(t *testing.T) {
	if stands, calls, most := underLoad(t, 5); stands.State != Back || calls > most {
		t.Errorf("the plan stands at %v after %d calls, of which %d are allowed", stands, calls, most)
	}
}

// One that fails two calls in five once its workers are full, as they are where calls are packed,
// keeps the bound.
func TestBadOnFullWorkersKeepsTheBound(t *testing.T) {
	if stands, calls, most := underLoad(t, 12); stands.State != Back || calls > most {
		t.Errorf("the plan stands at %v after %d calls, of which %d are allowed", stands, calls, most)
	}
}

// The old workers may end at once when the plan is done, so it is not before every proxy goes by
// the last step and nothing is under way there.
func TestDoneWaitsForTheLastCalls(t *testing.T) {
	w := termWorldOf(t)
	w.order("2", 12*time.Second)
	for w.progress().State != Settle {
		w.run(125*time.Millisecond, 400, nil)
	}
	w.work("1", 0, 0, 0, 2)
	for range 6 {
		w.now += 125 * time.Millisecond
		w.look()
	}
	if w.progress().State != Settle {
		t.Errorf("%s with calls under way", w.progress().State)
	}
	w.work("1", 0, 0, 0, 0)
	w.applied = 1
	w.now += 125 * time.Millisecond
	if w.look(); w.progress().State != Settle {
		t.Errorf("%s with a proxy behind", w.progress().State)
	}
	w.applied = 0
	w.now += 125 * time.Millisecond
	if w.look(); w.progress().State != Done {
		t.Errorf("%s with nothing to wait for", w.progress().State)
	}
}

// What is bad is turned back whenever it shows, also when it has taken the old one's place already,
// and may be ordered again.
func TestBadByItsTerm(t *testing.T) {
	for state, bad := range map[string]func() (uint64, time.Duration){
		Trial:  func() (uint64, time.Duration) { return 1, 20 * time.Millisecond },
		Ramp:   func() (uint64, time.Duration) { return 9, 20 * time.Millisecond },
		Settle: func() (uint64, time.Duration) { return 0, 160 * time.Millisecond },
	} {
		w := termWorldOf(t)
		w.order("2", 12*time.Second)
		for w.progress().State != state {
			w.run(125*time.Millisecond, 400, nil)
		}
		w.run(2*time.Second, 400, bad)
		compiled := w.compiled()
		if progress := w.progress(); progress.State != Back || compiled.FallbackOf("shop") != "1" || compiled.Flags.Flags["release.shop"].On {
			t.Errorf("bad from %s: %v, standing %v", state, progress, compiled.Standing["shop"])
		}
		if _, told := StateOf(compiled, "shop"); told != Back || Due(compiled, w.workers) {
			t.Errorf("bad from %s: told %s", state, told)
		}
		w.order("2", 12*time.Second)
		if w.look(); w.progress().State != Trial {
			t.Errorf("ordered again: %v", w.progress())
		}
	}
}

// A registry that takes the duty over goes on from what was written, one that knew the order from
// that too; what was seen of a version before does not begin anew.
func TestTakingOverByTheTerm(t *testing.T) {
	w := termWorldOf(t)
	w.order("2", 12*time.Second)
	w.run(6*time.Second, 400, nil)
	before := w.progress()
	w.hold("b")
	w.run(500*time.Millisecond, 400, nil)
	if after := time.Duration(w.progress().Elapsed); after < time.Duration(before.Elapsed) {
		t.Errorf("at %v after %v", after, time.Duration(before.Elapsed))
	}
	w.run(5500*time.Millisecond, 400, nil)
	if progress := w.progress(); progress.State != Done || progress.Holder != "b" {
		t.Errorf("%+v", progress)
	}
}

// What can't carry all calls, or was hardly seen, does not get them.
func TestTermNeedsRoomAndEvidence(t *testing.T) {
	w := termWorldOf(t)
	w.order("2", 12*time.Second)
	w.workers[[2]string{"shop", "2"}] = Pool{Workers: 1, Slots: 4}
	w.run(11*time.Second, 400, nil)
	if progress := w.progress(); progress.State != Trial {
		t.Errorf("too small: %v", progress)
	}
	w = termWorldOf(t)
	w.order("2", 12*time.Second)
	w.run(11*time.Second, 4, nil)
	if progress := w.progress(); progress.State != Trial {
		t.Errorf("not seen: %v", progress)
	}
}

// What a version gets that shows with all calls only that it is bad stays within the bound, over
// plans and rates.
func TestTrialShareKeepsTheBound(t *testing.T) {
	turn := 500 * time.Millisecond
	for _, over := range []time.Duration{12 * time.Second, 16 * time.Second, 60 * time.Second} {
		for _, rate := range []float64{20, 100, 223, 460, 900} {
			share := termOptions.trialShare(over, Term{Rate: rate, Turn: turn})
			trial := share / 100 * rate * termOptions.FinishAt * over.Seconds()
			moved := rate * turn.Seconds() * backTurns * (probeShare/100.0 + 1)
			if bound := termOptions.BadShare*rate*over.Seconds() + termOptions.BadMargin; trial+moved > bound*1.15 {
				t.Errorf("%v at %g a second: %.1f %%, %.0f calls of %.0f", over, rate, share, trial+moved, bound)
			}
		}
	}
}
