package simulator

import (
	"time"

	"meadowhinge/internal/registry"
	"meadowhinge/internal/release"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// isController tells whether no registry before this one in the order can have the release duty.
func (w *World) isController(node *registryNode) bool {
	for _, other := range w.registries {
		if other == node {
			break
		}
		if w.canReach(&node.process, &other.process) && w.mayControlRollouts(other) {
			return false
		}
	}
	return w.mayControlRollouts(node)
}

// mayControlRollouts tells whether a registry may have the release duty at all.
func (w *World) mayControlRollouts(node *registryNode) bool {
	member := node.member
	if !node.table.GrantsLeases(w.uptime(node)) || !w.isResponsive(&member.process) {
		return false
	}
	// A planted fault lets each part of a split core have a duty, whose word can then do harm.
	if w.seededFault == SeededAlwaysHealthy {
		return true
	}
	staleness, known := member.replica.CommittedAge(member.clock.at(w.now))
	return known && staleness <= w.registryLease()/4
}

// runController does the release duty whenever it falls on a registry.
func (w *World) runController(node *registryNode) {
	snapshot, state := node.snapshot, node.state
	workers := registry.WorkerPoolsOf(node.table.SourcesNewerThan(w.uptime(node), nil))
	if !release.NeedsControl(snapshot, workers) || !w.isController(node) {
		node.controller = nil
		return
	}
	if node.controller == nil {
		options := release.Defaults
		if w.seededFault == SeededFailuresIgnored {
			options.FailureThreshold = 1 << 40
			options.LatencyMultiple = 1e9
			options.RollbackLogOdds = 1e9
		}
		if w.seededFault == SeededHairTrigger {
			options.FailureThreshold = 2
			options.FailureRateMargin = 0
			options.MinStandardErrors = 0
		}
		if w.Options.BoundExposure {
			options.CanaryPercent = orderCanaryPercent
			options.MaxBadFraction = orderBadShare
			options.BadCallsMargin = orderBadMargin
			options.FailureRateMargin = orderFailureExcess
		}
		node.controller = release.NewController(options, node.table.MemberID(), w.registryLease()/session.RenewalsPerLease)
	}
	controller := node.controller
	canaries := controller.CanaryGrants(snapshot)
	if w.seededFault == SeededAlwaysHealthy {
		for _, canary := range canaries {
			canary.Blocked, canary.Healthy = false, true
		}
	}
	node.table.SetCanaryGrants(w.uptime(node), canaries)
	replies := []*schema.CountsReply{}
	for _, other := range w.registries {
		if other != node {
			w.send(&node.process, &other.process, func() {
				other.table.SetCanaryGrants(w.uptime(other), canaries)
				reply := other.table.ReportedCounts(w.uptime(other), true)
				w.send(&other.process, &node.process, func() { replies = append(replies, reply) })
			})
		}
	}
	// Whoever has not answered by then is not heard this time.
	w.scheduleOn(&node.process, w.registryLease()/(8*session.RenewalsPerLease), func() {
		if node.controller != controller {
			return
		}
		replies = append(replies, node.table.ReportedCounts(w.uptime(node), true))
		reporting := 0
		for _, reply := range replies {
			reporting += int(reply.Reporting)
		}
		steps, err := controller.Reconcile(w.uptime(node), snapshot, state, release.FleetObservation{
			Counts:        registry.MergeCounts(replies),
			HeardFraction: float64(reporting) / float64(len(w.proxies)),
			Workers:       workers,

			KnownFor: func(sequence uint64) time.Duration { return node.table.KnownFor(w.uptime(node), sequence) },
		})
		if err != nil {
			w.History.recordBreach(RuleRecoveryTime, "%v: a step could not be made: %v", w.now, err)
		}
		if w.seededFault != SeededAlwaysHealthy {
			node.table.SetCanaryGrants(w.uptime(node), controller.CanaryGrants(snapshot))
		}
		for _, step := range steps {
			node.stepsSubmitted++
			w.submitChange(node, step.Change(node.name, node.incarnation, node.stepsSubmitted, state), func(schema.Ruling, uint64) {})
		}
	})
}
