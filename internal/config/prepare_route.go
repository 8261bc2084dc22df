package config

import (
	"fmt"
	"math"
	"time"

	"meadowhinge/internal/flag"
	"meadowhinge/schema"
)

// maxTargetPastDeadline limits how far the latency target of a route may exceed its deadline. A target that
// exceeds it by this much or more is reported as a fault, since it is most likely a mistake.
const maxTargetPastDeadline = time.Minute

// prepare sets the fields of a decoded route that are derived from its item, and reports the faults that the item
// has by itself, without regard to other items.
func (r *Route) prepare(item *schema.Item, add faultReporter) {
	path := itemPath(kindRoute, item.Name)
	r.Name = item.Name
	r.operatorVersion = item.OperatorVersion
	if r.HostText != nil {
		// An omitted host means any host, so a host that is given must not be empty.
		if r.Host = NormalizeHost(*r.HostText); r.Host == "" {
			add(path+".host", "must not be empty")
		}
	}
	r.parseTimes(path, add)
	if r.MaxAttempts < 0 {
		add(path+".tries", "must not be negative, got %d", r.MaxAttempts)
	}
	if r.Class != "" && r.Class != ClassNonIdempotent && r.Class != ClassIdempotent {
		add(path+".class", "class %q does not exist, must be %q or %q", r.Class, ClassNonIdempotent, ClassIdempotent)
	}
	if len(r.Split) > 0 {
		r.buildSplitFlag(path, add)
	}
}

// parseTimes parses the deadline and the latency target of the route, and reports their faults.
func (r *Route) parseTimes(path string, add faultReporter) {
	if r.DeadlineText != "" {
		r.Deadline = parsePositiveDuration(r.DeadlineText, path+".horizon", add)
	}
	if r.LatencyTargetText == "" {
		return
	}
	r.LatencyTarget = parsePositiveDuration(r.LatencyTargetText, path+".aim", add)
	if r.Deadline > 0 && r.LatencyTarget-r.Deadline >= maxTargetPastDeadline {
		add(path+".aim", "exceeds the horizon by %v, must be less than %v", r.LatencyTarget-r.Deadline, maxTargetPastDeadline)
	}
}

// buildSplitFlag makes the flag that picks the service of a split route, a percentage rollout over its services.
// A split with a negative weight, or without any weight, is reported and gets no flag. A service in addition to the
// split is reported too.
func (r *Route) buildSplitFlag(path string, add faultReporter) {
	if r.Service != "" {
		add(path+".service", "must be left out if a split is given, got %q", r.Service)
	}
	totalWeight := 0.0
	for i, weighted := range r.Split {
		if weighted.Weight < 0 {
			add(fmt.Sprintf("%s.split[%d].weight", path, i), "must not be negative, got %v", weighted.Weight)
			return
		}
		totalWeight += weighted.Weight
	}
	if totalWeight <= 0 {
		add(path+".split", "at least one weight must be above zero")
		return
	}
	splitFlag := &flag.Flag{Key: r.SplitFlagKey(), On: true, Salt: r.Name}
	rollout := &flag.Rollout{}
	cumulativeWeight, previousBound := 0.0, 0
	for i, weighted := range r.Split {
		cumulativeWeight += weighted.Weight
		// Rounding the cumulative weights, not each weight, makes the rounded weights add up to flag.TotalWeight.
		bound := int(math.Round(cumulativeWeight / totalWeight * flag.TotalWeight))
		splitFlag.Variations = append(splitFlag.Variations, weighted.Service)
		rollout.Variations = append(rollout.Variations, flag.WeightedVariation{Variation: i, Weight: bound - previousBound})
		previousBound = bound
	}
	splitFlag.Fallthrough.Rollout = rollout
	splitFlag.Prepare()
	r.splitFlag = splitFlag
}
