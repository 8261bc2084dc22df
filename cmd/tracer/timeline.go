package main

import (
	"io"
	"maps"
	"slices"
	"sort"
	"time"

	"meadowhinge/internal/registry"
)

// step is an event in the progress of the change at one node.
type step struct {
	at    time.Time // time of the event, on the clock of the node's machine
	event string    // text to print: the node and what it did
}

// printTimeline prints the steps of a change ordered by time, and then the nodes that lack it.
func printTimeline(out io.Writer, id string, traces []registry.ChangeTrace, unreachable []string) {
	printAdmission(out, id, traces)
	applied := firstApplied(traces)
	printSteps(out, collectSteps(traces, applied))
	printMissing(out, traces, applied)
	for _, address := range unreachable {
		printf(out, "missing: no answer from the core machine at %s\n", address)
	}
}

// printAdmission prints the ruling on the change. It takes the ruling from the leader's trace, or from the
// trace of a store that received the change in a snapshot and so has no time of appending it.
func printAdmission(out io.Writer, id string, traces []registry.ChangeTrace) {
	for i := range traces {
		entry := &traces[i]
		if !entry.KnownToStore || entry.Revision == 0 {
			continue
		}
		if entry.Appended.IsZero() || entry.Leader == entry.MemberID {
			printf(out, "change %s: %s as %d in epoch %d; the leader is now %s\n",
				id, entry.Ruling, entry.Revision, entry.Term, entry.Leader)
			return
		}
	}
}

// firstApplied returns, by proxy, the earliest time at which the proxy reported to any registry that it had
// applied the change.
func firstApplied(traces []registry.ChangeTrace) map[string]time.Time {
	applied := map[string]time.Time{}
	for i := range traces {
		for proxy, at := range traces[i].Applied {
			if earliest, found := applied[proxy]; !found || at.Before(earliest) {
				applied[proxy] = at
			}
		}
	}
	return applied
}

// collectSteps returns the steps of all nodes ordered by time.
func collectSteps(traces []registry.ChangeTrace, applied map[string]time.Time) []step {
	var steps []step
	add := func(at time.Time, event string) {
		if !at.IsZero() {
			steps = append(steps, step{at, event})
		}
	}
	for i := range traces {
		entry := &traces[i]
		add(entry.Appended, "store "+entry.MemberID+" appended it")
		add(entry.Durable, "store "+entry.MemberID+" synced it")
		add(entry.Committed, "store "+entry.MemberID+" knew it committed")
		add(entry.Seen, "registry "+entry.MemberID+" received it")
		add(entry.Acknowledged, "registry "+entry.MemberID+" acknowledged it")
	}
	for proxy, at := range applied {
		steps = append(steps, step{at, "proxy " + proxy + " applied it"})
	}
	sort.Slice(steps, func(i, j int) bool { return steps[i].at.Before(steps[j].at) })
	return steps
}

// printSteps prints each step with its time of day and the milliseconds since the first step.
func printSteps(out io.Writer, steps []step) {
	for _, entry := range steps {
		sinceFirst := float64(entry.at.Sub(steps[0].at)) / float64(time.Millisecond)
		printf(out, "%s  %+9.3f ms  %s\n", entry.at.Format("15:04:05.000000"), sinceFirst, entry.event)
	}
}

// printMissing prints the stores that are not known to have the committed change, and the proxies with a lease that
// have not reported that they applied it.
func printMissing(out io.Writer, traces []registry.ChangeTrace, applied map[string]time.Time) {
	lagging := map[string]bool{}
	for i := range traces {
		entry := &traces[i]
		for _, proxy := range entry.Laggards {
			lagging[proxy] = true
		}
		switch {
		case entry.StoreUnreachable:
			printf(out, "missing: store %s does not answer its registry\n", entry.MemberID)
		case !entry.KnownToStore:
			printf(out, "missing: store %s does not know the change\n", entry.MemberID)
		case entry.Committed.IsZero() && entry.Ruling != "":
			printf(out, "missing: store %s received it in a snapshot, or does not know yet that it is committed\n", entry.MemberID)
		}
	}
	for _, proxy := range slices.Sorted(maps.Keys(lagging)) {
		if _, found := applied[proxy]; !found {
			printf(out, "missing: proxy %s has a lease and has not applied it\n", proxy)
		}
	}
}
