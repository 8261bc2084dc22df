package simulator

import (
	"fmt"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// Kind is a way in which a new version comes in and goes wrong, or doesn't.
type Kind struct {
	Name string
	// Way of bringing it in: a plan to a share, or a flag written by hand.
	Way    string
	Share  float64 // in percent
	Ill    Illness // From counts from when the version was brought in; unset for a sound one
	Alike  bool    // the fallback version is ill in the same way
	Two    bool    // another service's new version is as bad at the same time
	Core   string  // "split" or "gone" when it turns ill
	Sound  bool    // a few failures that must not turn it back
	Passes bool    // too small a fault to be found within the bound: see docs/limits.md
}

// The ways.
const (
	WayPlan    = "plan"
	WayHand    = "hand"
	WayTarget  = "target"
	WayDone    = "plan, done and cancelled"
	brakeRate  = 150
	brakeAfter = 60 * time.Second
)

// Kinds are all ways that the brake is tried with.
var Kinds = func() []Kind {
	all := []Kind{
		{Name: "good", Way: WayPlan, Share: 60, Sound: true},
		{Name: "a few failures", Way: WayPlan, Share: 60, Ill: Illness{Fails: 0.005}, Sound: true},
		{Name: "one in a hundred fails", Way: WayHand, Share: 50, Ill: Illness{Fails: 0.01}, Sound: true},
		{Name: "both fail alike", Way: WayPlan, Share: 60, Ill: Illness{Fails: 0.33}, Alike: true, Sound: true},
		{Name: "both fail alike of late, at 90 %", Way: WayHand, Share: 90, Ill: Illness{From: 20 * time.Second, Fails: 0.33}, Alike: true, Sound: true},
		{Name: "bad from the start", Way: WayPlan, Share: 60, Ill: Illness{Fails: 1}},
		{Name: "bad on one route", Way: WayPlan, Share: 60, Ill: Illness{Fails: 1, Route: "/shop/buy"}},
		{Name: "bad late, at a high share", Way: WayPlan, Share: 60, Ill: Illness{From: 35 * time.Second, Fails: 1}},
		{Name: "bad under load", Way: WayPlan, Share: 60, Ill: Illness{Fails: 0.5, Load: 1}},
		{Name: "slow", Way: WayPlan, Share: 60, Ill: Illness{Slow: 300 * time.Millisecond}},
		{Name: "a fifth fails", Way: WayPlan, Share: 60, Ill: Illness{Fails: 0.2}},
		{Name: "by hand, bad from the start", Way: WayHand, Share: 50, Ill: Illness{Fails: 1}},
		{Name: "by hand at 100 %, bad late", Way: WayHand, Share: 100, Ill: Illness{From: 20 * time.Second, Fails: 1}},
		{Name: "by hand at 100 %, half fails late", Way: WayHand, Share: 100, Ill: Illness{From: 20 * time.Second, Fails: 0.5}},
		{Name: "by hand, a tenth fails late", Way: WayHand, Share: 50, Ill: Illness{From: 20 * time.Second, Fails: 0.1}},
		{Name: "a target's calls, bad", Way: WayTarget, Share: 20, Ill: Illness{Fails: 1}},
		{Name: "bad after its plan was done and cancelled", Way: WayDone, Share: 60, Ill: Illness{From: 40 * time.Second, Fails: 1}},
		{Name: "two services bad at once", Way: WayHand, Share: 50, Ill: Illness{From: 20 * time.Second, Fails: 1}, Two: true},
		{Name: "slow late at 100 %", Way: WayHand, Share: 100, Ill: Illness{From: 30 * time.Second, Slow: 300 * time.Millisecond}},
	}
	for _, core := range []string{"split", "gone"} {
		all = append(all,
			Kind{Name: "bad late, the core " + core, Way: WayPlan, Share: 60, Ill: Illness{From: 35 * time.Second, Fails: 1}, Core: core},
			Kind{Name: "by hand at 100 %, bad late, the core " + core, Way: WayHand, Share: 100, Ill: Illness{From: 20 * time.Second, Fails: 1}, Core: core},
			Kind{Name: "by hand, a tenth fails late, the core " + core, Way: WayHand, Share: 50, Ill: Illness{From: 20 * time.Second, Fails: 0.1}, Core: core},
			Kind{Name: "two services bad at once, the core " + core, Way: WayHand, Share: 50, Ill: Illness{From: 20 * time.Second, Fails: 1}, Two: true, Core: core})
	}
	return all
}()

// BrakeRun is what came of one kind.
type BrakeRun struct {
	Kind              Kind
	All, Its, Failed  int           // calls of the service since the version was ill, its part, and those of them that failed
	Took              time.Duration // from its first call since it was ill to its last
	Back              bool          // it was turned back or stopped
	Held              int
	Breaches          map[string][]string
	State, WhyStopped string
}

// PlayBrake brings a new version in, in one way, lets it go wrong, and tells what came of it. It
// must run inside a bubble.
func PlayBrake(seed uint64, kind Kind, plant Plant, proxies int) BrakeRun {
	w := NewWorld(seed, plant, Options{Proxies: proxies, Rate: brakeRate, Quiet: true})
	w.begin()
	// Callers know the old version for a while before anything is tried out.
	w.Run(w.now + 5*time.Second)
	services := []string{"shop"}
	if kind.Two {
		services = append(services, "saves")
	}
	brought := w.now
	for _, service := range services {
		switch kind.Way {
		case WayHand:
			w.insist(func() {}, weighted(service, int(kind.Share*1000)))
		case WayTarget:
			w.insist(func() {}, targeted(service, int(kind.Share*10)))
		default:
			w.insist(func() {}, planned(service, kind.Share, 20*time.Second))
		}
		if kind.Way == WayDone {
			w.after(35*time.Second, func() {
				w.insist(func() {}, &schema.Item{Kind: "release", Name: "to-" + service, Deleted: true})
			})
		}
		if kind.Ill.Fails == 0 && kind.Ill.Slow == 0 {
			continue
		}
		ill := kind.Ill
		ill.From += brought
		if kind.Sound {
			w.lock.Lock()
			w.ills[[2]string{service, "2"}] = &ill
			if kind.Alike {
				w.ills[[2]string{service, "1"}] = &ill
			}
			w.lock.Unlock()
			continue
		}
		w.sicken(service, "2", &ill)
	}
	if kind.Core != "" {
		w.after(kind.Ill.From, func() {
			if kind.Core == "split" {
				w.split(func(int, int) bool { return true })
				return
			}
			for _, node := range w.seats {
				w.crashSeat(node)
			}
			for _, node := range w.regs {
				w.fall(&node.machine)
			}
		})
	}
	w.faults = append(w.faults, &faultEntry{name: "a version goes wrong", from: brought, costs: true})
	w.Run(brought + brakeAfter)
	run := BrakeRun{Kind: kind, Held: w.History.HeldCalls}
	for _, node := range w.regs {
		if node.setup == nil {
			continue
		}
		for name, progress := range node.setup.Progress {
			run.State, run.WhyStopped = progress.State, progress.Reason
			run.Back = run.Back || (progress.State == release.StateRolledBack && name != "")
		}
		for _, service := range services {
			if stop := node.setup.ActiveStop(service, "2"); stop != nil {
				run.Back, run.WhyStopped = true, stop.Reason
			}
		}
	}
	w.Close()
	w.History.close()
	for _, bad := range w.History.bad {
		run.All, run.Its, run.Failed = max(run.All, bad.all), max(run.Its, bad.its), max(run.Failed, bad.failures)
		run.Took = max(run.Took, bad.last-brought-kind.Ill.From)
	}
	if kind.Sound && run.Back {
		w.History.breach(RuleGood, "%s: %s", kind.Name, run.WhyStopped)
	}
	run.Breaches = w.History.Breaches
	return run
}

// targeted is a flag that gives version 2 to so many in a thousand of the callers' users.
func targeted(service string, users int) *schema.Item {
	names := ""
	for i := range users {
		if i > 0 {
			names += ","
		}
		names += fmt.Sprintf("%q", fmt.Sprint("user-", i))
	}
	return &schema.Item{Kind: "flag", Name: config.VersionFlagKey(service), Body: []byte(fmt.Sprintf(
		`{"on":true,"salt":"s","variations":["1","2"],"offVariation":0,"fallthrough":{"variation":0},"targets":[{"variation":1,"values":[%s]}]}`, names))}
}
