package simulator

import (
	"slices"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/proxy"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// startFeed starts the periodic task that fetches updates for a proxy from one registry at a time. The proxy moves on
// to the next registry when the current one does not respond in time, or when a call has found that the proxy's
// configuration lags behind.
func (w *World) startFeed(node *proxyNode) {
	busyUntil := time.Duration(0) // virtual time at which the request in flight times out; 0 for none
	w.scheduleEvery(&node.process, pollInterval, func() {
		if node.lagging.Swap(false) {
			node.feedIndex++
		}
		if busyUntil > w.now {
			return
		}
		if timedOut := busyUntil != 0; timedOut {
			node.feedIndex++
		}
		busyUntil = w.now + leaseDuration/(2*session.RenewalsPerLease)
		target := w.registries[node.feedIndex%len(w.registries)]
		proxyJournal := node.journal
		view := proxyJournal.View()
		vector, revision := view.Vector(), view.ConfigRevision()
		w.send(&node.process, &target.process, func() {
			event := w.feedUpdate(target, vector, revision)
			w.send(&target.process, &node.process, func() {
				busyUntil = 0
				// The response to a request of an earlier run is lost, because the connection broke with that run.
				if node.journal == proxyJournal || w.seededFault == SeededStaleFeedReply {
					w.applyUpdate(node, event)
				}
			})
		})
	})
}

// feedUpdate returns the update from a registry for a proxy: the sources newer than the proxy's vector, and the
// changes after its configuration revision.
func (w *World) feedUpdate(target *registryNode, vector map[string]*schema.SourceVersion, revision uint64) proxy.Event {
	event := proxy.Event{Sources: target.table.SourcesNewerThan(w.uptime(target), vector)}
	if committed := target.table.CommittedRevision(); committed > revision {
		event.ConfigRevision = committed
		event.Items, event.Complete = target.state.ChangesAfter(revision)
		if w.seededFault == SeededDeltaAfterPurge {
			event.Complete = false
		}
	}
	return event
}

// applyUpdate applies an update at a proxy that decides calls under leases. It applies a newer configuration only
// after a majority of the registries has recorded, with a lease renewal, that the proxy received it. The first
// configuration needs no majority, because the proxy has no lease yet and decides nothing by it.
func (w *World) applyUpdate(node *proxyNode, event proxy.Event) {
	if w.seededFault == SeededNoAuthorization {
		current := node.journal.View().Items()
		event.Items = slices.DeleteFunc(event.Items, func(item *schema.Item) bool {
			return item.Kind == "service" && current[config.Key(item.Kind, item.Name)] != nil
		})
	}
	proxyJournal := node.journal
	applyNow := func() {
		if node.journal == proxyJournal { // otherwise the run that received the update has ended
			w.appendUpdate(node, event)
		}
	}
	current := node.journal.View().ConfigRevision()
	if event.ConfigRevision <= current || current == 0 {
		applyNow()
		return
	}
	heardFrom := map[string]bool{}
	applied := false
	for i := range w.registries {
		w.renewLease(node, i, event.ConfigRevision, func(memberID string) {
			if heardFrom[memberID] = true; len(heardFrom) > memberCount/2 && !applied {
				applied = true
				applyNow()
			}
		})
	}
}

// appendUpdate appends an update to a proxy's journal, unless it contains nothing new. It reports a new configuration
// to all registries with lease renewals.
func (w *World) appendUpdate(node *proxyNode, event proxy.Event) {
	before := node.journal.View().ConfigRevision()
	if before >= event.ConfigRevision && len(event.Sources) == 0 {
		return
	}
	event.At = node.localTime(w.now)
	if after := node.journal.Append(event).ConfigRevision(); after > before {
		w.History.observeProxy(w.now, node)
		for i := range w.registries {
			w.renewLease(node, i, 0, nil)
		}
	}
}

// renewLease requests a lease from the i-th registry. The request also reports the configuration revisions that the
// proxy has applied and received; received is 0 unless a newer configuration waits to be applied. If onReply is not
// nil, it is called with the id of the member that replied.
func (w *World) renewLease(node *proxyNode, i int, received uint64, onReply func(memberID string)) {
	target := w.registries[i]
	sentAt := node.localTime(w.now)
	request := &schema.LeaseRequest{
		Proxy:       node.name,
		Incarnation: node.incarnation,
		Applied:     node.journal.View().ConfigRevision(),
		Received:    received,
		LeaseNanos:  int64(leaseDuration),
	}
	leaseGate := node.leaseGate
	w.send(&node.process, &target.process, func() {
		reply := target.table.RenewLease(w.uptime(target), request)
		w.send(&target.process, &node.process, func() {
			if node.incarnation != request.Incarnation {
				return
			}
			node.fleetSize.Store(node.fleetEstimate.Observe(node.localTime(w.now), int64(reply.FleetSize)))
			if onReply != nil {
				onReply(reply.Member)
			}
			if reply.Granted {
				leaseGate.RecordGrant(reply.Member, memberCount, sentAt)
			}
			// A registry with a newer configuration than the proxy becomes its feed in a quarter of the cases.
			isAhead := reply.Committed > node.journal.View().ConfigRevision()
			if isAhead && node.feedIndex%len(w.registries) != i && w.randomInt(4) == 0 {
				node.feedIndex = i
			}
		})
	})
}
