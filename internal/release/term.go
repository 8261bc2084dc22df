package release

import (
	"math"
	"time"

	"meadowhinge/internal/setup"
)

// Settle is the state in which a plan's version has all calls, and calls that were under way at
// the old one end; once none is, the plan is done.
const Settle = "settle"

// Ratios of a plan that goes by its term.
const (
	probeShare = 25  // a step between the trial and all, in percent
	doubtful   = 0.3 // a suspicion from which a plan does not go on
	trusted    = 3   // and a trust up to which
	knownParts = 3   // of the calls that make a version known, so many must have been seen
	carries    = 0.75
	backTurns  = 1.25 // that a version has a quarter or all calls until it is turned back, or goes on
	wholeTurns = 2    // that a version has all calls before it takes the old one's place: load shows only then
	trialFloor = 0.25 // of the trial's share that a version gets at the least
	resizeFrom = 0.2  // a share on trial that is wrong by this part is set anew
	settleMost = 3    // in turns, how long calls may take to end at the old version before the plan is done all the same
)

// Term is what a plan by its term goes by, beside what is counted.
type Term struct {
	Elapsed   time.Duration // since the plan was stated
	Turn      time.Duration // the shortest time between two steps
	Suspicion float64       // 1 and above: the version is bad
	Why       string
	Trust     float64 // logarithm of how much likelier it is sound than bad by what was seen in this step
	Calls     uint64  // of the new version that ended since it was stated
	Rate      float64 // calls a second of all the service's versions, 0 for not known
	Needed    float64 // calls under way at all the service's workers on average
	Slots     float64 // of the new version's workers together, 0 for not told
	Workers   int     // of the new version
	Behind    int     // proxies that do not go by the last step yet
	Open      uint64  // calls under way at the old version's workers
	Stands    bool    // the plan may make its version the fallback
}

// onTrial is the reason of a plan that waits for its term.
const onTrial = "on trial until shortly before the term"

// trialShare is the share on trial, in percent. A version that shows only with all calls that it
// is bad has by then had its trial, and gets a quarter and then all calls until it is turned back; all
// that together must stay within what a bad version may get.
func (o Options) trialShare(over time.Duration, seen Term) float64 {
	if o.BadShare == 0 || seen.Rate == 0 {
		return o.TrialShare
	}
	turn := seen.Turn.Seconds()
	reserve := (probeShare/100.0*backTurns + wholeTurns) * turn
	calls := o.BadShare*over.Seconds()*seen.Rate + o.BadMargin - reserve*seen.Rate
	return max(trialFloor*o.TrialShare, min(o.TrialShare, 100*calls/(seen.Rate*o.FinishAt*over.Seconds())))
}

// ByTerm decides the next progress of a plan that goes by its term: a share on trial for most of
// its time, then a quarter, then all, and done before the term. What a version can get that turns bad
// however late is so bounded over the whole of the plan's time.
func (o Options) ByTerm(plan *setup.Release, before setup.Progress, seen Term) setup.Progress {
	after := before
	after.Elapsed = max(before.Elapsed, int64(seen.Elapsed))
	move := func(state, reason string, share float64) setup.Progress {
		after.State, after.Reason, after.Share, after.Weight, after.Since = state, reason, share, int(share*1000), after.Elapsed
		return after
	}
	inStep := time.Duration(after.Elapsed - before.Since)
	trial := min(o.trialShare(plan.Over, seen), plan.Target)
	resumes := before.State == Back && before.Reason == operatorsWord && plan.Pace != "back"
	switch {
	case before.State == Done, before.State == Back && !resumes:
		return before
	case plan.Pace == "back":
		return move(Back, operatorsWord, 0)
	case seen.Suspicion >= 1:
		return move(Back, "the version "+seen.Why, 0)
	case before.State == "" || resumes:
		return move(Trial, onTrial, trial)
	case before.State == Settle:
		idle := seen.Behind == 0 && seen.Open == 0
		if inStep >= seen.Turn && idle || inStep >= settleMost*seen.Turn {
			return move(Done, "the version has all calls", plan.Target)
		}
		return after
	case before.State == Trial && seen.Rate > 0 && math.Abs(trial-before.Share) > resizeFrom*before.Share:
		return move(Trial, onTrial, trial)
	case plan.Pace == "hold", time.Duration(after.Elapsed) < time.Duration(o.FinishAt*float64(plan.Over)):
		return after
	// What was hardly seen or can't carry all calls stays where it is.
	case seen.Calls < o.CallsEnough/knownParts, seen.Slots > 0 && seen.Slots < carries*seen.Needed, seen.Behind > 0 && inStep < settleMost*seen.Turn:
		return after
	// More calls tell soon what the trial could not.
	case before.Share < min(probeShare, plan.Target):
		return move(Ramp, "it shows what it does with more calls", min(probeShare, plan.Target))
	case seen.Suspicion > doubtful && before.Share > min(probeShare, plan.Target):
		return move(Ramp, "it is in doubt, and shows what it does with fewer calls", min(probeShare, plan.Target))
	case seen.Suspicion > doubtful, seen.Trust < trusted:
		return after
	case inStep < seen.Turn || before.Share >= plan.Target && inStep < wholeTurns*seen.Turn:
		return after
	case before.Share < plan.Target:
		return move(Ramp, "no worse than the old version", plan.Target)
	case plan.Target < 100 || !seen.Stands:
		return move(Done, "the target is reached", plan.Target)
	}
	return move(Settle, "it takes the old version's place", plan.Target)
}
