package config

import (
	"fmt"
	"math"
	"time"

	"meadowhinge/internal/flag"
	"meadowhinge/schema"
)

// maxTargetPastDeadline is how far a route's latency target may exceed its deadline: a target past that is
// considered a mistake.
const maxTargetPastDeadline = time.Minute

// finish fills in what is derived from a route's own item, and reports what is wrong with it.
func (r *Route) finish(item *schema.Item, add faultReporter) {
	path := itemPath(kindRoute, item.Name)
	r.Name = item.Name
	r.operatorVersion = item.OperatorVersion
	if r.HostText != nil {
		// A host that is left out means any host; one that is given must not be empty.
		if r.Host = NormalizeHost(*r.HostText); r.Host == "" {
			add(path+".host", "must not be empty")
		}
	}
	r.parseTimes(path, add)
	if r.MaxAttempts < 0 {
		add(path+".tries", "must not be below zero")
	}
	if r.Class != "" && r.Class != ClassNonIdempotent && r.Class != ClassIdempotent {
		add(path+".class", "class %q does not exist", r.Class)
	}
	if len(r.Split) > 0 {
		r.buildSplitFlag(path, add)
	}
}

// parseTimes reads the route's deadline and latency target.
func (r *Route) parseTimes(path string, add faultReporter) {
	if r.DeadlineText != "" {
		r.Deadline = parsePositiveDuration(r.DeadlineText, path+".horizon", add)
	}
	if r.LatencyTargetText == "" {
		return
	}
	r.LatencyTarget = parsePositiveDuration(r.LatencyTargetText, path+".aim", add)
	if r.Deadline > 0 && r.LatencyTarget-r.Deadline >= maxTargetPastDeadline {
		add(path+".aim", "is longer than the horizon by %v", r.LatencyTarget-r.Deadline)
	}
}

// buildSplitFlag makes the flag that picks a split route's service: a percentage rollout over its services.
func (r *Route) buildSplitFlag(path string, add faultReporter) {
	if r.Service != "" {
		add(path+".service", "is stated beside a split")
	}
	totalWeight := 0.0
	for i, weighted := range r.Split {
		if weighted.Weight < 0 {
			add(fmt.Sprintf("%s.split[%d].weight", path, i), "must not be below zero")
			return
		}
		totalWeight += weighted.Weight
	}
	if totalWeight <= 0 {
		add(path+".split", "gives no service any weight")
		return
	}
	decider := &flag.Flag{Key: r.SplitFlagKey(), On: true, Salt: r.Name}
	rollout := &flag.Rollout{}
	cumulativeWeight, previousBound := 0.0, 0
	for i, weighted := range r.Split {
		cumulativeWeight += weighted.Weight
		// The sums are rounded, not the weights, so that the weights add up to flag.TotalWeight.
		bound := int(math.Round(cumulativeWeight / totalWeight * flag.TotalWeight))
		decider.Variations = append(decider.Variations, weighted.Service)
		rollout.Variations = append(rollout.Variations, flag.WeightedVariation{Variation: i, Weight: bound - previousBound})
		previousBound = bound
	}
	decider.Fallthrough.Rollout = rollout
	decider.Prepare()
	r.splitFlag = decider
}
