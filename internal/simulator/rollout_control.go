package simulator

import (
	"time"

	"meadowhinge/internal/registry"
	"meadowhinge/internal/release"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// isController reports whether a registry is the rollout controller from its own point of view: the first in the
// static order, among itself and the registries that it reaches, that may control rollouts.
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

// mayControlRollouts reports whether a registry is able to control rollouts. It must grant leases, and its member must
// have confirmed its committed state within a quarter of a lease.
func (w *World) mayControlRollouts(node *registryNode) bool {
	member := node.member
	if !node.table.GrantsLeases(w.uptime(node)) || !w.isResponsive(&member.process) {
		return false
	}
	// The seeded fault allows one controller in each part of a partitioned core, and their decisions conflict.
	if w.seededFault == SeededAlwaysHealthy {
		return true
	}
	staleness, known := member.replica.CommittedAge(member.clock.at(w.now))
	return known && staleness <= w.registryLease()/4
}

// runController runs one round of rollout control if the registry is the controller. It distributes canary grants,
// gathers the call counts from all registries and submits the resulting steps.
func (w *World) runController(node *registryNode) {
	snapshot, state := node.snapshot, node.state
	workers := registry.WorkerPoolsOf(node.table.SourcesNewerThan(w.uptime(node), nil))
	if !release.NeedsControl(snapshot, workers) || !w.isController(node) {
		node.controller = nil
		return
	}
	if node.controller == nil {
		interval := w.registryLease() / session.RenewalsPerLease
		node.controller = release.NewController(w.controllerOptions(), node.table.MemberID(), interval)
	}
	controller := node.controller
	canaries := controller.CanaryGrants(snapshot)
	if w.seededFault == SeededAlwaysHealthy {
		for _, canary := range canaries {
			canary.Blocked, canary.Healthy = false, true
		}
	}
	node.table.SetCanaryGrants(w.uptime(node), canaries)
	replies := w.gatherCounts(node, canaries)
	// Registries that have not replied by then do not take part in this round.
	w.scheduleOn(&node.process, w.registryLease()/(8*session.RenewalsPerLease), func() {
		if node.controller != controller {
			return
		}
		allReplies := append(*replies, node.table.ReportedCounts(w.uptime(node), true))
		steps, err := controller.Reconcile(w.uptime(node), snapshot, state, w.fleetObservation(node, allReplies, workers))
		if err != nil {
			w.History.recordViolation(ViolationRecoveryTime, "%v: rollout control at %s failed: %v", w.now, node.name, err)
		}
		if w.seededFault != SeededAlwaysHealthy {
			node.table.SetCanaryGrants(w.uptime(node), controller.CanaryGrants(snapshot))
		}
		for _, step := range steps {
			node.stepsSubmitted++
			change := step.Change(node.name, node.incarnation, node.stepsSubmitted, state)
			w.submitChange(node, change, func(schema.Ruling, uint64) {})
		}
	})
}

// controllerOptions returns the options of the rollout controller, changed by a seeded fault and
// Options.BoundExposure.
func (w *World) controllerOptions() release.Options {
	options := release.Defaults
	if w.seededFault == SeededFailuresIgnored {
		options.FailureThreshold = 1 << 40
		options.LatencyMultiple = 1e9
		options.RollbackLogOdds = 1e9
	}
	if w.seededFault == SeededOversensitiveGuard {
		options.FailureThreshold = 2
		options.FailureRateMargin = 0
		options.MinStandardErrors = 0
	}
	if w.Options.BoundExposure {
		options.CanaryPercent = orderCanaryPercent
		options.MaxBadFraction = orderBadFraction
		options.BadCallsMargin = orderBadMargin
		options.FailureRateMargin = orderFailureExcess
	}
	return options
}

// gatherCounts sends canary grants to the other registries and collects their call counts. It appends replies to the
// returned list as they arrive.
func (w *World) gatherCounts(node *registryNode, canaries []*schema.Canary) *[]*schema.CountsReply {
	replies := &[]*schema.CountsReply{}
	for _, other := range w.registries {
		if other == node {
			continue
		}
		w.send(&node.process, &other.process, func() {
			other.table.SetCanaryGrants(w.uptime(other), canaries)
			reply := other.table.ReportedCounts(w.uptime(other), true)
			w.send(&other.process, &node.process, func() { *replies = append(*replies, reply) })
		})
	}
	return replies
}

// fleetObservation returns the observation of the fleet that the controller decides by. The reporting fraction is a
// fraction of all proxies.
func (w *World) fleetObservation(
	node *registryNode, replies []*schema.CountsReply, workers map[[2]string]release.WorkerPool,
) release.FleetObservation {
	reporting := 0
	for _, reply := range replies {
		reporting += int(reply.Reporting)
	}
	return release.FleetObservation{
		Counts:            registry.MergeCounts(replies),
		ReportingFraction: float64(reporting) / float64(len(w.proxies)),
		Workers:           workers,
		KnownFor:          func(sequence uint64) time.Duration { return node.table.KnownFor(w.uptime(node), sequence) },
	}
}
