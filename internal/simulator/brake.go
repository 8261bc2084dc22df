package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/release"
	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// BrakePlant is a fault put into the brake, to show that its checker sees it.
type BrakePlant string

// The plants of the brake.
const (
	BrakeSound       BrakePlant = ""
	BrakeDeaf        BrakePlant = "deaf: neither the proxies nor the duty look at failures"
	BrakeEasy        BrakePlant = "easy: the duty finds any version fine"
	BrakeHairTrigger BrakePlant = "hair trigger: a few failures turn a version back"
)

// Kinds of new version.
const (
	KindGood     = "good"
	KindBadStart = "bad from the start"
	KindBadRoute = "bad on one route"
	KindBadLate  = "bad late, at a high share"
	KindBadLoad  = "bad under load"
	KindSlow     = "slow"
	KindBadSplit = "bad while the core is split"
	KindBadGone  = "bad once the core is gone"
	KindAlike    = "both versions fail alike"
	KindFew      = "a few failures"
)

// Kinds lists them all.
var Kinds = []string{KindGood, KindBadStart, KindBadRoute, KindBadLate, KindBadLoad, KindSlow, KindBadSplit, KindBadGone, KindAlike, KindFew}

// Bounds of the brake's simulation.
const (
	brakeProxies = 14
	brakeRate    = 300 // calls a second of the service
	tellEvery    = 250 * time.Millisecond
	trialGrant   = time.Second
	passedOn     = 500 * time.Millisecond
	badFraction  = 0.1
	badSlack     = 50
	badAfter     = 5 * time.Second
)

// BrakeRun is what came of one release plan.
type BrakeRun struct {
	Calls, BadCalls, Failures int
	State                     string
	Reason                    string
	Share                     float64
	Breaches                  []string
}

type brakeProxy struct {
	trials *dispatch.Trials
	tally  map[[2]string]*schema.Count // by variation and route
	told   []*schema.Count             // as its registry has it
	reg    int
}

// PlayBrake runs a plan against one kind of new version, with the proxies' own brake and the
// duty's own judgement of the daemons, on a virtual clock.
func PlayBrake(seed uint64, kind string, plant BrakePlant) BrakeRun {
	w := &World{dice: rand.New(rand.NewPCG(seed, 23))}
	plan := &setup.Release{Name: "r", Service: "shop", Version: "2", Target: 60, Over: 20 * time.Second, Pace: "go"}
	steering := release.Defaults
	if plant == BrakeHairTrigger {
		steering.FailuresMost, steering.Excess = 2, 0
	}
	var run BrakeRun
	var progress setup.Progress
	badFrom, split, gone := time.Duration(0), false, false
	if kind == KindBadLate || kind == KindBadSplit || kind == KindBadGone {
		badFrom = 35 * time.Second
	}
	if kind == KindBadSplit {
		w.after(badFrom, func() { split = true })
	}
	if kind == KindBadGone {
		w.after(badFrom, func() { gone = true })
	}
	members := func() int { return brakeProxies }
	part := int64(40)
	if plant == BrakeDeaf {
		part, steering.FailuresMost = 1<<40, 1<<40
	}
	var proxies []*brakeProxy
	for i := range brakeProxies {
		proxies = append(proxies, &brakeProxy{trials: dispatch.NewTrials(trialGrant, part, members), tally: map[[2]string]*schema.Count{}, reg: i % seatCount})
	}
	// Each registry alone in a split takes the duty for itself; whole, it is the first one's.
	var duties [seatCount]struct {
		trial *schema.Trial
		brake release.Brake
	}
	dutyOf := func(reg int) int {
		if split {
			return reg
		}
		return 0
	}
	handed := [seatCount]time.Duration{}
	var fiftieth time.Duration
	inFlightNew := 0

	ill := func(version, route string) (fails bool, took time.Duration) {
		took = time.Millisecond + time.Duration(w.dice.Int64N(int64(4*time.Millisecond)))
		bad := version == "2" && w.now >= badFrom
		switch kind {
		case KindBadStart, KindBadLate, KindBadSplit, KindBadGone:
			fails = bad
		case KindBadRoute:
			fails = bad && route == "buy"
		case KindBadLoad:
			// Fails once more than a few calls are under way at once.
			fails = bad && inFlightNew > 3 && w.dice.IntN(2) == 0
			if version == "2" {
				took *= 10
			}
		case KindSlow:
			if bad {
				took = 300 * time.Millisecond
			}
		case KindAlike:
			fails = w.dice.IntN(3) == 0
		case KindFew:
			fails = version == "2" && w.dice.IntN(200) == 0
		}
		return fails, took
	}
	sent := func(proxy *brakeProxy) {
		route := "look"
		if w.dice.IntN(4) == 0 {
			route = "buy"
		}
		version := "1"
		if w.dice.IntN(100000) < progress.Weight && progress.State != release.Back && !proxy.trials.Held("shop", "2", w.now) {
			version = "2"
		}
		fails, took := ill(version, route)
		isBad := version == "2" && w.now >= badFrom && kind != KindGood && kind != KindAlike && kind != KindFew
		if w.now >= badFrom {
			run.Calls++
		}
		if isBad {
			run.BadCalls++
			if run.Failures >= badSlack && w.now > fiftieth+badAfter {
				run.Breaches = append(run.Breaches, fmt.Sprintf("a call %v after failure 50", w.now-fiftieth))
			}
		}
		call := proxy.trials.Begin("shop", version, w.now)
		if version == "2" {
			inFlightNew++
		}
		w.after(took, func() {
			proxy.trials.End(call, w.now, fails)
			if version == "2" {
				inFlightNew--
			}
			key := [2]string{version, route}
			if proxy.tally[key] == nil {
				proxy.tally[key] = &schema.Count{Service: "shop", Variation: version, Route: route, Outcome: "answered"}
			}
			line := proxy.tally[key]
			line.Calls, line.Nanos = line.Calls+1, line.Nanos+uint64(took)
			if fails {
				line.Failures++
			}
			if isBad && (fails || kind == KindSlow) {
				if run.Failures++; run.Failures == badSlack {
					fiftieth = w.now
				}
			}
		})
	}
	for _, proxy := range proxies {
		var next func()
		next = func() {
			sent(proxy)
			w.after(time.Duration(w.dice.ExpFloat64()*float64(time.Second)*brakeProxies/brakeRate), next)
		}
		w.after(time.Duration(w.dice.Int64N(int64(time.Second))), next)
		var tell func()
		tell = func() {
			asked := w.now
			if gone {
				return
			}
			w.after(time.Millisecond+time.Duration(w.dice.Int64N(int64(5*time.Millisecond))), func() {
				proxy.told = nil
				for _, line := range proxy.tally {
					proxy.told = append(proxy.told, &schema.Count{Service: line.Service, Variation: line.Variation, Route: line.Route, Outcome: line.Outcome,
						Calls: line.Calls, Failures: line.Failures, Nanos: line.Nanos})
				}
				trial := duties[dutyOf(proxy.reg)].trial
				if trial != nil && (w.now-handed[proxy.reg] <= passedOn || trial.Stopped) {
					proxy.trials.Granted(asked, []*schema.Trial{{Service: trial.Service, Version: trial.Version, Stopped: trial.Stopped, Fine: trial.Fine}})
				}
			})
			w.after(tellEvery, tell)
		}
		w.after(time.Duration(w.dice.Int64N(int64(tellEvery))), tell)
	}
	var first, lately release.Evidence
	stepped, started := time.Duration(0), false
	var steer func(reg int)
	steer = func(reg int) {
		if gone {
			return
		}
		w.after(tellEvery, func() { steer(reg) })
		// Another registry takes the duty only after it has not heard the ones before it.
		if reg != 0 && (!split || w.now < badFrom+time.Duration(reg)*passedOn) {
			return
		}
		duty := &duties[reg]
		if duty.trial == nil {
			duty.trial = &schema.Trial{Service: "shop", Version: "2"}
		}
		var counts []*schema.SourceCounts
		for _, proxy := range proxies {
			if dutyOf(proxy.reg) == reg {
				counts = append(counts, &schema.SourceCounts{Counts: proxy.told})
				handed[proxy.reg] = w.now
			}
		}
		evidence := release.Gather(counts, "shop", "2")
		heard := float64(len(counts)) / brakeProxies
		reason, bad := duty.brake.Look(steering, evidence, heard)
		duty.trial.Stopped = duty.trial.Stopped || bad
		duty.trial.Fine = duty.brake.Fine(steering, heard) && !duty.trial.Stopped
		if plant == BrakeEasy {
			bad, duty.trial.Stopped, duty.trial.Fine = false, false, true
		}
		if reg != 0 {
			return
		}
		if !started {
			started, first, lately, stepped = true, evidence, evidence, w.now
		}
		if !bad && w.now-stepped < time.Second && progress.State != "" {
			return
		}
		after := steering.Step(plan, progress, evidence.Since(first), evidence.Since(lately), w.now-stepped)
		if bad && after.State != release.Back {
			after.State, after.Reason, after.Weight, after.Share = release.Back, reason, 0, 0
		}
		stepped, lately = w.now, evidence
		// The change needs a majority, which a split core does not have.
		if split {
			return
		}
		w.after(30*time.Millisecond, func() { progress = after })
	}
	for reg := range seatCount {
		w.after(0, func() { steer(reg) })
	}
	w.Run(60 * time.Second)
	if float64(run.BadCalls) > badFraction*float64(run.Calls)+badSlack {
		run.Breaches = append(run.Breaches, fmt.Sprintf("%d of %d calls went to the bad version", run.BadCalls, run.Calls))
	}
	run.State, run.Reason, run.Share = progress.State, progress.Reason, progress.Share
	good := kind == KindGood || kind == KindAlike || kind == KindFew
	if good && run.State == release.Back {
		run.Breaches = append(run.Breaches, "a good version was turned back: "+run.Reason)
	}
	return run
}
