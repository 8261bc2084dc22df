package simulator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/proxy"
	"meadowhinge/internal/registry"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// Where proxies serve stale, they hold sessions with registries instead of leases, and a change is acknowledged as soon
// as it is committed. What the mesh promises then binds only proxies in touch; see World.isWellConnected.

// startRegistrySubscriptions starts the loops of a registry that serves sessions.
func (w *World) startRegistrySubscriptions(node *registryNode) {
	node.table.SetMemberCount(memberCount)
	node.subscriptions = map[string]*subscription{}
	w.scheduleEvery(&node.process, pollInterval, func() { w.confirmCurrent(node) })
	for _, other := range w.registries {
		if other != node {
			w.subscribeToPeer(node, other)
		}
	}
}

// confirmCurrent records how recently the registry's member confirmed its committed state.
func (w *World) confirmCurrent(node *registryNode) {
	member := node.member
	if !w.isResponsive(&member.process) {
		return
	}
	if committed, _ := member.replica.Committed(); committed < node.table.CommittedRevision() {
		return
	}
	if staleness, known := member.replica.CommittedAge(member.clock.at(w.now)); known {
		node.table.ConfirmCurrent(w.uptime(node) - staleness)
	}
}

// subscribeToPeer keeps a registry subscribed to another: it subscribes again when the subscription has ended, when the
// other restarted, and when nothing was heard for a lease.
func (w *World) subscribeToPeer(node, other *registryNode) {
	lastUpdateAt := time.Duration(0)
	w.scheduleEvery(&node.process, pollInterval, func() {
		current := node.subscriptions[other.name]
		if current != nil {
			timedOut := w.now-lastUpdateAt > servingLease
			isSameRun := other.processRun == current.serverRun || current.serverRun == 0
			if !current.closed && !timedOut && isSameRun {
				return
			}
			current.closed = true
		}
		lastUpdateAt = w.now
		vector, memberID := node.table.Vector(), node.table.MemberID()
		sub := &subscription{server: other, client: &node.process, peer: true}
		sub.handle = func(update *schema.Update) {
			lastUpdateAt = w.now
			for _, source := range update.Sources {
				node.table.MergeSource(w.uptime(node), source)
			}
			node.table.RecordPeerHeard(w.uptime(node), other.table.MemberID(), update.Reachable)
		}
		node.subscriptions[other.name] = sub
		w.openSubscription(sub, func() {
			other.table.ObserveVector(w.uptime(other), vector)
			sub.position = registry.NewSessionCursor(node.name, memberID, vector)
		})
	})
}

// nextIncarnation returns an incarnation above one that was seen: the upper half counts up, the lower half is unique in
// the world.
func (w *World) nextIncarnation(seen uint64) uint64 {
	const shift = 32
	return (seen>>shift+1)<<shift | uint64(w.nextID())
}

// startProxySubscriptions starts the loops of a proxy that holds sessions with registries.
func (w *World) startProxySubscriptions(node *proxyNode) {
	node.incarnation = w.nextIncarnation(0)
	node.reportedFleetSize = 0
	node.selector = w.newSelector(node)
	node.subscriptions = map[string]*subscription{}
	node.reportPending = false
	w.scheduleEvery(&node.process, pollInterval, func() {
		w.dropBrokenSubscriptions(node)
		w.applySelectorActions(node, node.selector.Tick(node.localTime(w.now)))
		isOverdue := w.now-node.reportedAt > servingLease/session.RenewalsPerLease
		if node.reportPending && node.selector.Current() != "" && isOverdue {
			w.sendReport(node, true)
		}
	})
	w.scheduleEvery(&node.process, servingLease/session.HeartbeatsPerLease, node.workers.DropUnresponsive)
}

// newSelector returns what selects the registry of a proxy, with all registries as seeds.
func (w *World) newSelector(node *proxyNode) *session.RegistrySelector {
	maxStaleness := float64(servingLease) / session.MaxStalenessDivisor
	if w.seededFault == SeededNoRegistryFailover {
		maxStaleness = float64(time.Hour)
	}
	var seeds []string
	for _, registryNode := range w.registries {
		seeds = append(seeds, registryNode.name)
	}
	return session.NewRegistrySelector(session.SelectorOptions{
		ProxyName:         node.name,
		Zone:              w.zoneOf(node.index),
		HeartbeatInterval: servingLease / session.HeartbeatsPerLease,
		HeartbeatTimeout:  servingLease / session.HeartbeatTimeoutDivisor,
		MaxStaleness:      time.Duration(maxStaleness),
		FailureCooldown:   servingLease,
	}, seeds)
}

// dropBrokenSubscriptions drops the subscriptions of a proxy that have ended. A crashed registry's connections are reset
// as soon as the reset gets through.
func (w *World) dropBrokenSubscriptions(node *proxyNode) {
	for _, registryNode := range w.registries {
		current := node.subscriptions[registryNode.name]
		if current == nil {
			continue
		}
		hasRestarted := current.serverRun != 0 && registryNode.processRun != current.serverRun
		isEnded := current.closed || !registryNode.up || hasRestarted
		if isEnded && !w.isPartitionedEitherWay(&node.process, &registryNode.process) {
			current.closed = true
			delete(node.subscriptions, registryNode.name)
			w.applySelectorActions(node, node.selector.RecordSessionEnd(node.localTime(w.now), registryNode.name))
		}
	}
}

// applySelectorActions closes and opens the sessions that a proxy's selector decides on.
func (w *World) applySelectorActions(node *proxyNode, actions []session.Action) {
	for _, action := range actions {
		if existing := node.subscriptions[action.Address]; existing != nil {
			existing.closed = true
			delete(node.subscriptions, action.Address)
		}
		if action.Open {
			w.openProxySession(node, action)
		}
	}
	// A probed session that the selector has chosen becomes the proxy's session.
	if current := node.subscriptions[node.selector.Current()]; current != nil && current.tentative {
		current.tentative = false
		w.sendReport(node, true)
	}
}

// openProxySession opens a session of a proxy with a registry. Only a candidate session, which the proxy probes beside
// its current one, does not bring the proxy's own source.
func (w *World) openProxySession(node *proxyNode, action session.Action) {
	registryNode := w.registryNamed(action.Address)
	state := node.journal.View()
	var sentSource *schema.Source
	if !action.Candidate {
		source := node.nextSource(w.zoneOf(node.index))
		state = node.journal.Append(proxy.Event{At: node.localTime(w.now), Sources: []*schema.Source{source}})
		sentSource = proto.Clone(source).(*schema.Source)
	}
	vector := state.Vector()
	sub := &subscription{
		server:    registryNode,
		client:    &node.process,
		revision:  state.ConfigRevision(),
		tentative: action.Candidate,
	}
	sub.handle = func(update *schema.Update) { w.applySubscriptionUpdate(node, action.Address, update) }
	node.subscriptions[action.Address] = sub
	w.openSubscription(sub, func() {
		registryNode.table.ObserveVector(w.uptime(registryNode), vector)
		sub.position = registry.NewSessionCursor(node.name, "", vector)
		if action.Candidate {
			registryNode.table.OpenProvisionalSession(node.name)
		} else {
			registryNode.table.OpenSession(w.uptime(registryNode), sentSource)
		}
	})
}

// applySubscriptionUpdate applies an update from a session as the proxy's daemon does.
func (w *World) applySubscriptionUpdate(node *proxyNode, address string, update *schema.Update) {
	now := node.localTime(w.now)
	before := node.journal.View().ConfigRevision()
	if update.Revision > before || len(update.Sources) > 0 {
		event := proxy.Event{
			At:             now,
			ConfigRevision: update.Revision,
			Items:          update.Items,
			Complete:       update.Complete,
			Sources:        update.Sources,
		}
		if w.seededFault == SeededDeltaAfterPurge {
			event.Complete = false
		}
		state := node.journal.Append(event)
		node.outliers.Retain(state.KnownWorkers())
		if state.ConfigRevision() > before {
			w.History.observeProxy(w.now, node)
		}
	}
	for _, source := range update.Sources {
		version := source.Version
		// The directory holds the proxy's own source of an incarnation that ended or is newer: go beyond it.
		if source.Name == node.name && session.IsSuperseded(node.incarnation, version.GetIncarnation(), version.GetEnded()) {
			node.incarnation = w.nextIncarnation(version.GetIncarnation())
			w.sendReport(node, true)
		}
	}
	if update.FleetSize > 0 {
		node.reportedFleetSize = int64(update.FleetSize)
	}
	node.fleetSize.Store(node.fleetEstimate.Observe(now, node.reportedFleetSize))
	node.selector.SetCoreMembers(update.CoreMembers)
	staleness := time.Duration(update.StalenessNanos)
	w.applySelectorActions(node, node.selector.RecordHeartbeat(now, address, update.StalenessKnown, staleness))
}
