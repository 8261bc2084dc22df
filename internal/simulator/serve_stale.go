package simulator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/proxy"
	"meadowhinge/internal/registry"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// startRegistrySubscriptions starts the part of a registry's life that is about sessions.
func (w *World) startRegistrySubscriptions(node *registryNode) {
	node.table.SetMemberCount(memberCount)
	node.subscriptions = map[string]*subscription{}
	w.scheduleEvery(&node.process, pollInterval, func() {
		if member := node.member; w.isResponsive(&member.process) {
			if committed, _ := member.replica.Committed(); committed >= node.table.CommittedRevision() {
				if staleness, known := member.replica.CommittedAge(member.clock.at(w.now)); known {
					node.table.ConfirmCurrent(w.uptime(node) - staleness)
				}
			}
		}
	})
	for _, other := range w.registries {
		if other == node {
			continue
		}
		heardAt := time.Duration(0)
		w.scheduleEvery(&node.process, pollInterval, func() {
			current := node.subscriptions[other.name]
			timedOut := w.now-heardAt > servingLease
			if current != nil && !current.closed && !timedOut && (other.processRun == current.serverRun || current.serverRun == 0) {
				return
			}
			if current != nil {
				current.closed = true
			}
			heardAt = w.now
			vector, memberID := node.table.Vector(), node.table.MemberID()
			sub := &subscription{server: other, client: &node.process, peer: true}
			sub.handle = func(update *schema.Update) {
				heardAt = w.now
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
}

// nextIncarnation is one above all seen, with bits of the world's own.
func (w *World) nextIncarnation(seen uint64) uint64 {
	const shift = 32
	return (seen>>shift+1)<<shift | uint64(w.nextID())
}

// startProxySubscriptions starts the part of a proxy's life that is about sessions.
func (w *World) startProxySubscriptions(node *proxyNode) {
	node.incarnation, node.reportedFleetSize = w.nextIncarnation(0), 0
	lag := float64(servingLease) / session.MaxStalenessDivisor
	if w.seededFault == SeededNoRegistryFailover {
		lag = float64(time.Hour)
	}
	var seeds []string
	for _, registryNode := range w.registries {
		seeds = append(seeds, registryNode.name)
	}
	node.selector = session.NewRegistrySelector(session.SelectorOptions{
		ProxyName:         node.name,
		Zone:              w.zoneOf(node.index),
		HeartbeatInterval: servingLease / session.HeartbeatsPerLease,

		HeartbeatTimeout: servingLease / session.HeartbeatTimeoutDivisor,
		MaxStaleness:     time.Duration(lag),
		FailureCooldown:  servingLease,
	}, seeds)
	node.subscriptions, node.reportPending = map[string]*subscription{}, false
	w.scheduleEvery(&node.process, pollInterval, func() {
		now := node.localTime(w.now)
		for _, registryNode := range w.registries {
			current := node.subscriptions[registryNode.name]
			// A dead process's links are reset, as soon as that gets through.
			if current != nil && (current.closed || !registryNode.up || (current.serverRun != 0 && registryNode.processRun != current.serverRun)) && !w.isPartitionedEitherWay(&node.process, &registryNode.process) {
				current.closed = true
				delete(node.subscriptions, registryNode.name)
				w.applySelectorActions(node, node.selector.RecordSessionEnd(now, registryNode.name))
			}
		}
		w.applySelectorActions(node, node.selector.Tick(now))
		if node.reportPending && node.selector.Current() != "" && w.now-node.reportedAt > servingLease/session.RenewalsPerLease {
			w.sendReport(node, true)
		}
	})
	w.scheduleEvery(&node.process, servingLease/session.HeartbeatsPerLease, node.workers.DropUnresponsive)
}

// applySelectorActions carries out what a proxy's tie wants.
func (w *World) applySelectorActions(node *proxyNode, actions []session.Action) {
	for _, action := range actions {
		if picture := node.subscriptions[action.Address]; picture != nil {
			picture.closed = true
			delete(node.subscriptions, action.Address)
		}
		if !action.Open {
			continue
		}
		registryNode := w.registryNamed(action.Address)
		picture := node.journal.View()
		sentSource := (*schema.Source)(nil)
		if !action.Candidate {
			source := node.nextSource(w.zoneOf(node.index))
			picture = node.journal.Append(proxy.Event{At: node.localTime(w.now), Sources: []*schema.Source{source}})
			sentSource = proto.Clone(source).(*schema.Source)
		}
		vector := picture.Vector()
		sub := &subscription{
			server:    registryNode,
			client:    &node.process,
			revision:  picture.ConfigRevision(),
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
	// A session on trial that is taken makes its registry the one to mind this proxy.
	if current := node.subscriptions[node.selector.Current()]; current != nil && current.tentative {
		current.tentative = false
		w.sendReport(node, true)
	}
}

// applySubscriptionUpdate does what a proxy's daemon does with what a session brings.
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
		picture := node.journal.Append(event)
		node.outliers.Retain(picture.KnownWorkers())
		if picture.ConfigRevision() > before {
			w.History.observeProxy(w.now, node)
		}
	}
	for _, source := range update.Sources {
		if source.Name == node.name && session.IsSuperseded(node.incarnation, source.Version.GetIncarnation(), source.Version.GetEnded()) {
			node.incarnation = w.nextIncarnation(source.Version.GetIncarnation())
			w.sendReport(node, true)
		}
	}
	if update.FleetSize > 0 {
		node.reportedFleetSize = int64(update.FleetSize)
	}
	node.fleetSize.Store(node.fleetEstimate.Observe(now, node.reportedFleetSize))
	node.selector.SetCoreMembers(update.CoreMembers)
	w.applySelectorActions(node, node.selector.RecordHeartbeat(now, address, update.StalenessKnown, time.Duration(update.StalenessNanos)))
}
