package simulator

import (
	"slices"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/proxy"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// startFeed pulls what a proxy lacks, by its vector.
func (w *World) startFeed(node *proxyNode) {
	busyUntil := time.Duration(0)
	w.scheduleEvery(&node.process, pollInterval, func() {
		if node.lagging.Swap(false) {
			node.feedIndex++
		}
		if busyUntil > w.now {
			return
		}
		// A feed that stays silent is left after a while.
		if busyUntil != 0 {
			node.feedIndex++
		}
		busyUntil = w.now + leaseDuration/(2*session.RenewalsPerLease)
		target := w.registries[node.feedIndex%len(w.registries)]
		proxyJournal := node.journal
		view := proxyJournal.View()
		vector, sequence := view.Vector(), view.ConfigRevision()
		w.send(&node.process, &target.process, func() {
			event := proxy.Event{Sources: target.table.SourcesNewerThan(w.uptime(target), vector)}
			if committed := target.table.CommittedRevision(); committed > sequence {
				event.ConfigRevision = committed
				event.Items, event.Complete = target.state.ChangesAfter(sequence)
				if w.seededFault == SeededDeltaAfterPurge {
					event.Complete = false
				}
			}
			w.send(&target.process, &node.process, func() {
				// An answer to what a proxy asked before it was killed reaches nobody: the links went with it.
				if busyUntil = 0; node.journal == proxyJournal || w.seededFault == SeededStaleFeedReply {
					w.applyUpdate(node, event)
				}
			})
		})
	})
}

// applyUpdate takes news; a setup is used once a majority of registries knows of it. The first needs
// no telling, for without a lease nothing is shown by it yet.
func (w *World) applyUpdate(node *proxyNode, event proxy.Event) {
	if current := node.journal.View().Items(); w.seededFault == SeededNoAuthorization {
		event.Items = slices.DeleteFunc(event.Items, func(item *schema.Item) bool {
			return item.Kind == "service" && current[config.Key(item.Kind, item.Name)] != nil
		})
	}
	proxyJournal := node.journal
	applyNow := func() {
		if node.journal != proxyJournal {
			return // the proxy was killed meanwhile, and what it knew is gone
		}
		if node.journal.View().ConfigRevision() < event.ConfigRevision || len(event.Sources) > 0 {
			event.At = node.localTime(w.now)
			before := node.journal.View().ConfigRevision()
			if after := node.journal.Append(event).ConfigRevision(); after > before {
				w.History.observeProxy(w.now, node)
				for i := range w.registries {
					w.renewLease(node, i, 0, nil)
				}
			}
		}
	}
	if event.ConfigRevision <= node.journal.View().ConfigRevision() || node.journal.View().ConfigRevision() == 0 {
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

func (w *World) renewLease(node *proxyNode, i int, received uint64, onReply func(memberID string)) {
	target := w.registries[i]
	sentAt := node.localTime(w.now)
	applied := node.journal.View().ConfigRevision()
	request := &schema.LeaseRequest{
		Proxy:       node.name,
		Incarnation: node.incarnation,
		Applied:     applied,
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
			// Another registry knows more than the one that feeds this proxy.
			if reply.Committed > node.journal.View().ConfigRevision() && node.feedIndex%len(w.registries) != i && w.randomInt(4) == 0 {
				node.feedIndex = i
			}
		})
	})
}
