package simulator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/proxy"
	"meadowhinge/internal/registry"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// With Options.ServeStale, proxies hold sessions with registries instead of leases, and a change is acknowledged as
// soon as it is committed. The bounds on the propagation of the configuration then apply only to well-connected
// proxies; see World.isWellConnected.

// startRegistrySubscriptions starts the periodic tasks of a registry that serves sessions.
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

// confirmCurrent records when the registry's member last confirmed that its committed state is current. It does
// nothing while the member does not respond or has committed less than the registry knows.
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

// subscribeToPeer keeps a registry subscribed to another. It subscribes again when the subscription has ended, when
// the other registry has restarted, and when no update has arrived for servingLease.
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

// nextIncarnation returns an incarnation that is higher than a given one and unique in the world. The upper 32 bits
// count up, the lower 32 bits are a unique id.
func (w *World) nextIncarnation(seen uint64) uint64 {
	const shift = 32
	return (seen>>shift+1)<<shift | uint64(w.nextID())
}

// startProxySubscriptions starts the periodic tasks of a proxy that holds sessions with registries. They also repeat a
// report that a registry has not replied to.
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

// newSelector returns the selector of a proxy, which chooses the registry of its session, with all registries as
// seeds.
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

// dropBrokenSubscriptions drops the subscriptions of a proxy that have ended, and tells its selector. The proxy
// learns that a registry has crashed by a connection reset, as soon as the link between them is up.
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

// applySelectorActions closes and opens sessions of a proxy as its selector decided.
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
	// A candidate session that the selector has chosen becomes the proxy's current session.
	if current := node.subscriptions[node.selector.Current()]; current != nil && current.tentative {
		current.tentative = false
		w.sendReport(node, true)
	}
}

// openProxySession opens a session of a proxy with a registry. The request carries the proxy's own source, unless the
// session is a candidate, which the proxy only probes beside its current session.
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

// applySubscriptionUpdate applies an update that a proxy received in the session with the registry at an address, as
// the proxy's daemon does.
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
		// The service directory has the proxy's own source under an incarnation that has ended or is newer. The proxy must
		// publish under a higher one.
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
