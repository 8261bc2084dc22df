package simulator

import (
	"fmt"
	"time"

	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// TermKind is a way in which a version that is ordered goes, and what troubles the mesh meanwhile.
type TermKind struct {
	Name string
	Ill  Illness // From counts from when the version's workers start; unset for a sound one
	// Both hits the old version in the same way, Half only every other worker of the new one: these
	// are troubles that say nothing of a version.
	Both, Half bool
	Rate       float64       // calls a second of the whole fleet; seven in ten are the service's
	Work       time.Duration // that a call takes
	Workers    int           // of either version
	Over       time.Duration
	Core       string // what befalls the core machine with the duty: "killed" or "cut"
	Herd       bool   // half of the proxies are killed at once
}

// Good tells whether the version is sound.
func (k TermKind) Good() bool { return k.Ill.Fails == 0 || k.Both || k.Half }

// Bounds of what a bad version may get.
const (
	termTrial   = 8 // percent on trial at the most
	termShare   = 0.1
	termMargin  = 50
	termExcess  = 0.06 // of failures that any version may have
	termTrips   = 400
	termUndo    = 5 * time.Second
	termFifty   = 50
	termStarts  = 1300 * time.Millisecond // the version's workers come so long after the order
	termAfter   = 8 * time.Second         // what is watched beyond the term
	termAway    = 3 * time.Second         // that a core machine is away
	termCut     = 4800 * time.Millisecond
	termTrouble = 5 * time.Second
)

// TermRun is what came of an order.
type TermRun struct {
	State    string        // of the plan when its term was over
	At       time.Duration // when it came to that
	Its, All int           // calls that reached the version, and the service, until the term
	Bad      int           // of its calls that ended badly
	Late     bool          // it got a call later after its fiftieth bad one than may be
	Lost     int           // calls under way at the old version when its workers ended
	Breaches map[string][]string
}

// Exposed tells whether a bad version got more than it may.
func (r TermRun) Exposed(k TermKind) bool {
	return !k.Good() && (r.Late || float64(r.Its) > termShare*float64(r.All)+termMargin)
}

// PlayTerm orders a version and tells what came of it. It must run inside a bubble.
func PlayTerm(seed uint64, kind TermKind) TermRun {
	w := NewWorld(seed, PlantNone, Options{Proxies: 14, Rate: kind.Rate, Quiet: true, Serving: true, Bound: true, Work: kind.Work, Errors: 0.004})
	w.begin()
	// The service leaves its versions out; what its workers tell stands.
	for _, one := range w.all() {
		if one.service == "shop" && one.version == "2" {
			w.endWorker(one)
		}
	}
	begin := func(version string) {
		for i := range kind.Workers {
			w.startWorker(w.proxies[(i*3+len(version)+int(version[0]))%len(w.proxies)], "shop", version, "")
		}
	}
	begin("1")
	w.faults = append(w.faults, &faultEntry{name: "a version is ordered", from: w.now, costs: true})
	w.insist(func() {}, &schema.Item{Kind: "service", Name: "shop", Body: []byte(`{"callers":["client","saves"]}`)},
		&schema.Item{Kind: "flag", Name: "release.shop", Deleted: true})
	w.Run(w.now + 4*time.Second)

	run, ordered := TermRun{}, time.Duration(0)
	w.place(release.RolloutOrder{Service: "shop", Version: "2", Within: kind.Over}, func() { ordered = w.now })
	for ordered == 0 {
		w.Run(w.now + 50*time.Millisecond)
	}
	w.after(termStarts, func() { begin("2") })
	if kind.Ill.Fails > 0 {
		w.troubles(kind, ordered+termStarts)
	}
	term, fiftieth := ordered+kind.Over, time.Duration(0)
	w.links(func() {
		w.observed = func(one *workerNode, bad bool) {
			now := w.time()
			if one.service != "shop" || now < ordered {
				return
			}
			if now < term {
				run.All++
			}
			if one.version != "2" {
				return
			}
			if now < term {
				run.Its++
			}
			run.Late = run.Late || fiftieth > 0 && now > fiftieth+termUndo
			if bad {
				if run.Bad++; run.Bad == termFifty {
					fiftieth = now
				}
			}
		}
	})
	// Trouble comes when it hurts most: while the version leaves its trial.
	moment := time.Duration(float64(kind.Over)*release.Defaults.CanaryEndFraction) + w.upTo(1500*time.Millisecond)
	if !kind.Good() {
		moment = termStarts + kind.Ill.From + w.upTo(1500*time.Millisecond)
	}
	w.after(moment, func() { w.strike(kind) })
	for w.now < term+termAfter {
		w.Run(w.now + 50*time.Millisecond)
		if run.State != release.StateDone && run.State != release.StateRolledBack {
			for _, node := range w.regs {
				if !node.up || node.setup == nil {
					continue
				}
				if _, state := release.RolloutState(node.setup, "shop"); state == release.StateDone || state == release.StateRolledBack {
					run.State, run.At = state, w.now-ordered
				}
			}
			// The old workers end at once.
			if run.State == release.StateDone {
				run.Lost = w.History.under["shop1"]
				for _, one := range w.all() {
					if one.service == "shop" && one.version == "1" {
						w.endWorker(one)
					}
				}
			}
		}
	}
	w.Close()
	w.History.close()
	run.Breaches = w.History.Breaches
	return run
}

// place states an order at some registry until it is taken.
func (w *World) place(order release.RolloutOrder, then func()) {
	placed := false
	var try func()
	try = func() {
		if placed {
			return
		}
		node := w.regs[w.roll(len(w.regs))]
		if node.setup != nil {
			if step, err := release.PlanRollout(node.setup, node.state, order); err == nil && step != nil {
				node.steps++
				w.submit(node, step.Change(node.name+"-order", node.born, node.steps, node.state), func(ruling schema.Ruling, _ uint64) {
					if ruling == schema.Ruling_RULING_ACCEPTED && !placed {
						placed = true
						then()
					}
				})
			}
		}
		w.after(300*time.Millisecond, try)
	}
	try()
}

// troubles lets versions or workers go wrong as the kind says.
func (w *World) troubles(kind TermKind, starts time.Duration) {
	ill := kind.Ill
	ill.From += starts
	if kind.Both || kind.Half {
		// Troubles that come to any workers last for a while only.
		ill.Until = ill.From + termTrouble
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	if !kind.Half {
		w.ills[[2]string{"shop", "2"}] = &ill
	}
	if kind.Both {
		w.ills[[2]string{"shop", "1"}] = &ill
	}
	if kind.Half {
		w.halfIll = &ill
	}
}

// strike troubles the core machine that has the duty, or the proxies.
func (w *World) strike(kind TermKind) {
	switch kind.Core {
	case "killed":
		w.crashSeat(w.seats[0])
		w.fall(&w.regs[0].machine)
		w.after(termAway, func() { w.startSeat(w.seats[0]); w.startRegistry(w.regs[0]) })
	case "cut":
		w.after(termCut, w.split(func(i, j int) bool { return i == 0 || j == 0 }))
	}
	if kind.Herd {
		var herd []*proxyNode
		for _, node := range w.proxies {
			if w.roll(2) == 0 {
				herd = append(herd, node)
			}
		}
		w.after(1100*time.Millisecond, w.kill(herd))
	}
}

// TermKinds are all that orders are tried with.
var TermKinds = func() []TermKind {
	bad := []TermKind{
		{Name: "errors", Ill: Illness{Fails: 0.35}},
		{Name: "slow", Ill: Illness{Fails: 0.35, Times: 8}},
		{Name: "late", Ill: Illness{Fails: 0.35, From: 3 * time.Second}},
		{Name: "one route", Ill: Illness{Fails: 0.45, Route: "/shop/buy"}},
		{Name: "under load", Ill: Illness{Fails: 0.35, Load: -1}},
		{Name: "errors, duty killed", Ill: Illness{Fails: 0.35}, Core: "killed"},
		{Name: "errors, duty cut off", Ill: Illness{Fails: 0.35}, Core: "cut"},
		{Name: "late, herd killed", Ill: Illness{Fails: 0.35, From: 3 * time.Second}, Herd: true},
	}
	good := []TermKind{
		{Name: "good"},
		{Name: "good, 5 % lost at all workers", Ill: Illness{Fails: 0.05, From: 3 * time.Second}, Both: true},
		{Name: "good, 5 % lost at half of the new", Ill: Illness{Fails: 0.05, From: 3 * time.Second}, Half: true},
		{Name: "good, duty killed", Core: "killed"},
		{Name: "good, duty cut off", Core: "cut"},
		{Name: "good, herd killed", Herd: true},
	}
	var all []TermKind
	for _, load := range []struct {
		rate    float64
		work    time.Duration
		workers int
		over    time.Duration
	}{{143, 60 * time.Millisecond, 3, 12 * time.Second}, {320, 120 * time.Millisecond, 5, 16 * time.Second}, {660, 60 * time.Millisecond, 5, 14 * time.Second}} {
		for _, one := range append(append([]TermKind{}, bad...), good...) {
			one.Rate, one.Work, one.Workers, one.Over = load.rate, load.work, load.workers, load.over
			if one.Ill.Load < 0 {
				// Half of what is under way with all calls.
				one.Ill.Load = int(0.35 * load.rate * load.work.Seconds())
			}
			one.Name = fmt.Sprintf("%s, %.0f a second, over %v", one.Name, 0.7*load.rate, load.over)
			all = append(all, one)
		}
	}
	return all
}()
