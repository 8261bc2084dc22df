package simulator

import (
	"fmt"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/registry"
	"meadowhinge/internal/release"
	"meadowhinge/internal/session"
	"meadowhinge/internal/store"
	"meadowhinge/schema"
)

type registryNode struct {
	process
	incarnation    uint64
	startedAt      time.Duration
	table          *registry.FleetState
	reservations   *registry.ReservationTable
	state          config.State
	snapshot       *config.Snapshot
	member         *memberNode
	subscriptions  map[string]*subscription // with other registries, in a serving world
	controller     *release.Controller
	stepsSubmitted uint64
}

func (w *World) startRegistry(node *registryNode) {
	w.startProcess(&node.process)
	node.incarnation = uint64(w.nextID())
	node.startedAt = w.now
	node.state = config.State{}
	node.controller = nil
	node.snapshot, _ = config.Compile(node.state, 0)
	node.table = registry.NewFleetState(registry.FleetStateOptions{
		MemberID:      node.name[len("registry-"):],
		Lease:         w.registryLease(),
		MaxSources:    64,
		MaxCounts:     256,
		WithoutLeases: w.Options.ServeStale,
	})
	node.reservations = registry.NewReservationTable(registry.ReservationOptions{
		Lease:           leaseDuration,
		Window:          keyReservationWindow,
		MaxReservations: 1 << 16,
		MemberCount:     memberCount,
	})
	if w.seededFault == SeededReservationsForgotten {
		node.reservations.MarkNeverUsed()
	}
	w.scheduleEvery(&node.process, pollInterval, func() {
		member := node.member
		if !w.isResponsive(&member.process) {
			return
		}
		committed, state := member.replica.Committed()
		if committed > node.table.CommittedRevision() {
			update := store.ItemsAfter(state, committed, node.table.CommittedRevision())
			node.state = node.state.Apply(update.Items, update.Complete)
			w.History.checkContent(w.now, node.name, committed, node.state)
			node.snapshot, _ = config.CompileIncremental(node.snapshot, node.state, committed)
			w.History.recordSnapshot(node.snapshot)
			node.table.SetCommitted(w.uptime(node), committed)
		}
	})
	readIndexKnown := false
	w.scheduleEvery(&node.process, 4*pollInterval, func() {
		if readIndexKnown || !w.isResponsive(&node.member.process) {
			return
		}
		if w.seededFault == SeededYoungRegistryGrants {
			node.table.MarkCaughtUp()
			return
		}
		ticket := fmt.Sprint("stand-", w.nextID())
		node.member.pendingReplies[ticket] = func(result any) {
			reply := result.(*schema.ReadIndexReply)
			if reply.Undecided || readIndexKnown {
				return
			}
			readIndexKnown = true
			if reply.Empty {
				node.reservations.MarkNeverUsed()
			}
			w.scheduleEvery(&node.process, pollInterval, func() {
				if node.table.CommittedRevision() >= reply.Committed {
					node.table.MarkCaughtUp()
				}
			})
		}
		w.execute(node.member, node.member.replica.ReadIndex(node.member.clock.at(w.now), ticket))
	})
	for _, other := range w.registries {
		if other == node {
			continue
		}
		if !w.Options.ServeStale {
			w.scheduleEvery(&node.process, pollInterval, func() { w.pullSources(node, other) })
		}
		w.scheduleEvery(&node.process, leaseDuration/16, func() { w.recoverReservations(node, other) })
	}
	w.scheduleEvery(&node.process, w.registryLease()/(4*session.RenewalsPerLease), func() { w.runController(node) })
	if w.Options.ServeStale {
		w.startRegistrySubscriptions(node)
	}
}

// registryLease is the lease of the registries' tables.
func (w *World) registryLease() time.Duration {
	if w.Options.ServeStale {
		return servingLease
	}
	return leaseDuration
}

func (w *World) uptime(node *registryNode) time.Duration {
	uptime := node.clock.at(w.now) - node.clock.at(node.startedAt)
	// A planted fault lets the table believe that it has been up for a lease already.
	if w.seededFault == SeededYoungRegistryGrants {
		uptime += leaseDuration
	}
	return uptime
}

// pullSources keeps a registry level with another.
func (w *World) pullSources(node, other *registryNode) {
	vector := node.table.Vector()
	w.send(&node.process, &other.process, func() {
		if sources := other.table.SourcesNewerThan(w.uptime(other), vector); len(sources) > 0 {
			w.send(&other.process, &node.process, func() {
				for _, source := range sources {
					node.table.MergeSource(w.uptime(node), source)
				}
			})
		}
	})
}

// recoverReservations lets a registry that started anew read what another holds.
func (w *World) recoverReservations(node, other *registryNode) {
	if age := w.uptime(node); node.reservations.IsAuthoritative(age) || age < node.reservations.RecoveryStartsAt() {
		return
	}
	var readPage func(after uint64)
	readPage = func(after uint64) {
		w.send(&node.process, &other.process, func() {
			page := other.reservations.Page(w.uptime(other), after)
			w.send(&other.process, &node.process, func() {
				node.reservations.MergePage(w.uptime(node), other.name, page)
				if !page.Last {
					readPage(page.Reservations[len(page.Reservations)-1].Position)
				}
			})
		})
	}
	readPage(0)
}

func (w *World) registryNamed(name string) *registryNode {
	for _, node := range w.registries {
		if node.name == name {
			return node
		}
	}
	return nil
}

// isCoreRecovered tells whether every seat is up, counts, and holds on its disk what is acknowledged,
// and every registry knows again which keys are claimed.
func (w *World) isCoreRecovered() bool {
	for i, node := range w.members {
		if !node.up || !node.replica.Status().Member || node.replica.Status().Durable < w.History.lastAcknowledged {
			return false
		}
		registryNode := w.registries[i]
		if !registryNode.up || !registryNode.reservations.IsAuthoritative(w.uptime(registryNode)) || !registryNode.table.GrantsLeases(w.uptime(registryNode)) {
			return false
		}
	}
	return true
}
