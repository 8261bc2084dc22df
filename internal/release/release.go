// Package release steers release plans: from what was counted of the old and the new version
// to the next set point, or to a stop. It is a step function; the registry that has the
// release duty drives it.
package release

import (
	"math"
	"time"

	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// The states of a plan.
const (
	Trial = "trial" // the new version gets little, until enough is known of it on each route
	Ramp  = "ramp"  // its share rises over the plan's time
	Hold  = "hold"  // its share stays, as the operator wants or for want of evidence
	Done  = "done"  // the target is reached
	Back  = "back"  // turned back: the flag is off
)

// operatorsWord is the reason of a plan that the operator turned back.
const operatorsWord = "the operator turned it back"

// Options bound the steering.
type Options struct {
	TrialShare   float64 // percent that a version gets before it is known
	CallsEnough  uint64  // of the new version on a route, to know it there
	FailuresMost uint64  // of the new version since its trial began, before it may be turned back
	Excess       float64 // failures as a part of calls that the new version may have above the old
	Times        float64 // and as a multiple of the old version's
	Certain      float64 // standard errors by which it must exceed the old version's, or it may be chance
	SlowTimes    float64 // mean time as a multiple of the old version's that counts as failing
	Steps        int     // that a ramp is made in
	Sure         float64 // logarithm of how much likelier than not a version must be bad to be stopped
	BadShare     float64 // part of a service's calls that a bad version may get in a plan's time, 0 for no such bound
	BadMargin    float64 // and calls beyond it
	FinishAt     float64 // part of its time after which a plan by its term leaves the trial
}

// Defaults are the settings' presets.
var Defaults = Options{TrialShare: 10, CallsEnough: 30, FailuresMost: 15, Excess: 0.02, Times: 2, Certain: 5, SlowTimes: 5, Steps: 20, Sure: 12, FinishAt: 0.6}

// Count is what was seen of a version on a route.
type Count struct {
	Calls, Failures uint64
	Spent           time.Duration
	Times           [TimeSteps]uint64 // calls that did not fail, by how long they took
	Open            uint64            // under way now
}

func (c *Count) add(other Count) {
	c.Calls, c.Failures, c.Spent, c.Open = c.Calls+other.Calls, c.Failures+other.Failures, c.Spent+other.Spent, c.Open+other.Open
	for step, count := range other.Times {
		c.Times[step] += count
	}
}

func (c Count) rate() float64 {
	if c.Calls == 0 {
		return 0
	}
	return float64(c.Failures) / float64(c.Calls)
}

func (c Count) mean() float64 {
	if c.Calls == 0 {
		return 0
	}
	return float64(c.Spent) / float64(c.Calls)
}

// chance is the standard error of the difference of two versions' rates, were they alike.
func chance(before, after Count) float64 {
	both := before
	both.add(after)
	rate := both.rate()
	spread := 1 / float64(after.Calls)
	if before.Calls > 0 {
		spread += 1 / float64(before.Calls)
	}
	return math.Sqrt(rate * (1 - rate) * spread)
}

// Evidence is what was counted of a service's versions: by route of its fallback version, the
// old one, and of the new one that is judged; in all of any other, which may be bad itself and
// so says nothing of what is usual.
type Evidence struct {
	Old, New map[string]Count
	Rest     Count
}

// openFor is how long what a proxy told to be under way counts: a dead one says no more of it.
const openFor = time.Second

// Gather sorts what proxies saw of the workers beside them into evidence of one version, as it
// was stated, against another.
func Gather(counts []*schema.SourceCounts, service, version string, plan uint64, fallback string) Evidence {
	evidence := Evidence{Old: map[string]Count{}, New: map[string]Count{}}
	for _, source := range counts {
		for _, line := range source.Works {
			if line.Service != service {
				continue
			}
			one := Count{Calls: line.Calls, Failures: line.Failures, Spent: time.Duration(line.Nanos)}
			for step, count := range line.Times {
				one.Times[min(step, TimeSteps-1)] += uint64(count)
			}
			if time.Duration(source.AgoNanos) <= openFor {
				one.Open = uint64(line.Open)
			}
			var side map[string]Count
			switch {
			case line.Version == version && line.Plan == plan:
				side = evidence.New
			// What was learned of a version under another statement says nothing under this one.
			case line.Version == version:
				continue
			case line.Version == fallback:
				side = evidence.Old
			default:
				evidence.Rest.add(one)
				continue
			}
			sum := side[line.Route]
			sum.add(one)
			side[line.Route] = sum
		}
	}
	return evidence
}

// less is a count less what it was before. A proxy's counts can vanish with it; what is left is
// then not less than nothing.
func (c Count) less(was Count) Count {
	left := Count{Calls: c.Calls - min(was.Calls, c.Calls), Failures: c.Failures - min(was.Failures, c.Failures), Spent: c.Spent - min(was.Spent, c.Spent), Open: c.Open}
	for step, count := range c.Times {
		left.Times[step] = count - min(was.Times[step], count)
	}
	return left
}

// Since is the evidence that came after an earlier gathering.
func (e Evidence) Since(before Evidence) Evidence {
	minus := func(now, then map[string]Count) map[string]Count {
		left := map[string]Count{}
		for route, count := range now {
			left[route] = count.less(then[route])
		}
		return left
	}
	return Evidence{Old: minus(e.Old, before.Old), New: minus(e.New, before.New), Rest: e.Rest.less(before.Rest)}
}

func total(counts map[string]Count) (sum Count) {
	for _, count := range counts {
		sum.add(count)
	}
	return sum
}

// Share is the new version's part of the calls, in percent.
func (e Evidence) Share() float64 {
	all, after := total(e.Old), total(e.New)
	all.add(after)
	all.add(e.Rest)
	if all.Calls == 0 {
		return 0
	}
	return 100 * float64(after.Calls) / float64(all.Calls)
}

// usualCalls is how much an old version's past may weigh, to the calls that make it known.
const usualCalls = 10

// scaled is a count as if it had been of at most so many calls.
func (c Count) scaled(most uint64) Count {
	if c.Calls <= most {
		return c
	}
	part := float64(most) / float64(c.Calls)
	return Count{Calls: most, Failures: uint64(part * float64(c.Failures)), Spent: time.Duration(part * float64(c.Spent))}
}

// Bad tells whether the new version fails, over all or on one route, and in what way. What
// hits both versions alike is not held against the new one. usual is what the old version used
// to be, where it gets no calls any more that it could be known by now.
func (o Options) Bad(evidence Evidence, usual map[string]Count) (string, bool) {
	judge := func(before, after, usual Count, where string) (string, bool) {
		before.add(usual.scaled(usualCalls * o.CallsEnough))
		if after.Failures >= o.FailuresMost && after.rate() > o.Times*before.rate()+o.Excess && after.rate()-before.rate() > o.Certain*chance(before, after) {
			return "fails " + where, true
		}
		if after.Calls >= o.CallsEnough && before.Calls >= o.CallsEnough && after.mean() > o.SlowTimes*before.mean() {
			return "is slow " + where, true
		}
		return "", false
	}
	if reason, bad := judge(total(evidence.Old), total(evidence.New), total(usual), "on the whole"); bad {
		return reason, true
	}
	for route, after := range evidence.New {
		before := evidence.Old[route]
		// Where the old version had no call of late, how it fares elsewhere is all there is to go by.
		if before.Calls == 0 {
			before = total(evidence.Old)
		}
		if reason, bad := judge(before, after, usual[route], "on route "+route); bad {
			return reason, true
		}
	}
	return "", false
}

// known tells whether the new version has been seen enough on every route that the old one
// serves, and is no worse there.
func (o Options) known(evidence Evidence) bool {
	any := false
	for route, before := range evidence.Old {
		// A route that hardly anyone calls cannot hold a release up for ever.
		if before.Calls < 10*o.CallsEnough {
			continue
		}
		any = true
		if after := evidence.New[route]; after.Calls < o.CallsEnough || after.rate() > o.Times*before.rate()+o.Excess {
			return false
		}
	}
	return any || total(evidence.New).Calls >= o.CallsEnough
}

// Step decides the next progress of a plan. whole is the evidence since the plan began,
// lately what came since the last step, passed the time since then.
func (o Options) Step(plan *setup.Release, before setup.Progress, whole, lately Evidence, passed time.Duration) setup.Progress {
	after := before
	switch {
	// What was turned back as bad stays so; what the operator turned back, the operator may resume.
	case before.State == Back && (before.Reason != operatorsWord || plan.Pace == "back"):
		return after
	case before.State == Back:
		before.State, after = "", setup.Progress{Duty: before.Duty, Holder: before.Holder, Set: before.Set}
	case plan.Pace == "back":
		after.State, after.Reason, after.Share, after.Weight = Back, operatorsWord, 0, 0
		return after
	}
	for _, evidence := range []Evidence{lately, whole} {
		if reason, bad := o.Bad(evidence, nil); bad {
			after.State, after.Reason, after.Share, after.Weight = Back, "the version "+reason, 0, 0
			return after
		}
	}
	if plan.Pace == "hold" {
		after.State, after.Reason = Hold, "the operator holds it"
		return after
	}
	trial := min(o.TrialShare, plan.Target)
	switch {
	case !o.known(whole):
		after.State, after.Reason, after.Share = Trial, "not yet seen enough on each route", trial
	case total(lately.New).Calls < o.CallsEnough/uint64(3) && before.Share < plan.Target:
		after.State, after.Reason = Hold, "too few calls to go on by"
		after.Share = max(before.Share, trial)
	default:
		after.Elapsed += int64(passed)
		after.Share = max(trial, min(plan.Target, plan.Target*float64(after.Elapsed)/float64(plan.Over)))
		after.State, after.Reason = Ramp, "no worse than the old version"
		if after.Share >= plan.Target {
			after.State, after.Reason = Done, "the target is reached"
		}
	}
	after.Weight = o.weight(before, after, lately.Share())
	return after
}

// weight turns a set point into the flag's weight. Contexts do not all call alike, so the
// share that was measured corrects it, within bounds, and never above the trial's share.
func (o Options) weight(before, after setup.Progress, measured float64) int {
	wanted := after.Share
	weight := wanted
	if before.Weight > 0 && measured > 0 && math.Abs(before.Share-wanted) < 1e-9 {
		weight = float64(before.Weight)/1000 + (wanted-measured)/2
	}
	weight = max(wanted/2, min(weight, wanted*1.5))
	if after.State == Trial {
		weight = min(weight, o.TrialShare)
	}
	return int(min(100, weight) * 1000)
}

// Differs tells whether a step is worth a change of setup.
func Differs(before, after setup.Progress) bool {
	return before.State != after.State || before.Reason != after.Reason || math.Abs(before.Share-after.Share) >= 0.5 ||
		math.Abs(float64(before.Weight-after.Weight)) >= 500
}
