package release

import (
	"time"

	"meadowhinge/internal/setup"
)

// Settle is the state in which a plan's version has all calls, and calls that were under way at
// the old one end; once none is, the plan is done.
const Settle = "settle"

// Ratios of a plan that goes by its term.
const (
	halfShare  = 50  // a step between the trial and all, in percent
	doubtful   = 0.3 // a suspicion from which a plan does not go on
	knownParts = 3   // of the calls that make a version known, so many must have been seen of late
	carries    = 0.75
	settleMost = 3 // in turns, how long calls may take to end at the old version before the plan is done all the same
)

// Term is what a plan by its term goes by, beside what is counted.
type Term struct {
	Elapsed   time.Duration // since the plan was stated
	Turn      time.Duration // the shortest time between two steps
	Suspicion float64       // 1 and above: the version is bad
	Why       string
	Calls     uint64  // of the new version that ended since it was stated
	Lately    uint64  // and in this step
	Needed    float64 // calls under way at all the service's workers on average
	Slots     float64 // of the new version's workers together, 0 for not told
	Workers   int     // of the new version
	Behind    int     // proxies that do not go by the last step yet
	Open      uint64  // calls under way at the old version's workers
	Stands    bool    // the plan may make its version the fallback
}

// ByTerm decides the next progress of a plan that goes by its term: a share on trial for most of
// its time, then half, then all, and done before the term. What a version can get that turns bad
// however late is so bounded over the whole of the plan's time.
func (o Options) ByTerm(plan *setup.Release, before setup.Progress, seen Term) setup.Progress {
	after := before
	after.Elapsed = max(before.Elapsed, int64(seen.Elapsed))
	move := func(state, reason string, share float64) setup.Progress {
		after.State, after.Reason, after.Share, after.Weight, after.Since = state, reason, share, int(share*1000), after.Elapsed
		return after
	}
	inStep := time.Duration(after.Elapsed - before.Since)
	trial := min(o.TrialShare, plan.Target)
	resumes := before.State == Back && before.Reason == operatorsWord && plan.Pace != "back"
	switch {
	case before.State == Done, before.State == Back && !resumes:
		return before
	case plan.Pace == "back":
		return move(Back, operatorsWord, 0)
	case seen.Suspicion >= 1:
		return move(Back, "the version "+seen.Why, 0)
	case before.State == "" || resumes:
		return move(Trial, "on trial until shortly before the term", trial)
	case before.State == Settle:
		idle := seen.Behind == 0 && seen.Open == 0
		if inStep >= seen.Turn && idle || inStep >= settleMost*seen.Turn {
			return move(Done, "the version has all calls", plan.Target)
		}
		return after
	case plan.Pace == "hold", time.Duration(after.Elapsed) < time.Duration(o.FinishAt*float64(plan.Over)):
		return after
	// What looks bad, can't be judged or can't carry all calls stays where it is.
	case seen.Suspicion > doubtful, seen.Calls < o.CallsEnough/knownParts, seen.Slots > 0 && seen.Slots < carries*seen.Needed, seen.Behind > 0 && inStep < settleMost*seen.Turn:
		return after
	case before.Share < min(halfShare, plan.Target):
		return move(Ramp, "no worse than the old version", min(halfShare, plan.Target))
	case inStep < seen.Turn || seen.Lately < o.CallsEnough/knownParts:
		return after
	case before.Share < plan.Target:
		return move(Ramp, "no worse than the old version", plan.Target)
	case plan.Target < 100 || !seen.Stands:
		return move(Done, "the target is reached", plan.Target)
	}
	return move(Settle, "it takes the old version's place", plan.Target)
}
