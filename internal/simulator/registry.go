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

// registryNode is one registry, with the member that its daemon runs beside. startRegistry sets the fields anew for each
// run; only events use them.
type registryNode struct {
	process
	incarnation    uint64
	startedAt      time.Duration
	table          *registry.FleetState
	reservations   *registry.ReservationTable
	state          config.State // items of the committed configuration
	snapshot       *config.Snapshot
	member         *memberNode
	subscriptions  map[string]*subscription // with other registries, by name; only with Options.ServeStale
	controller     *release.Controller      // nil while this registry does not control rollouts
	stepsSubmitted uint64                   // changes of rollouts, for their ids
}

// startRegistry begins a run of a registry and the loops that its daemon drives it by.
func (w *World) startRegistry(node *registryNode) {
	w.startProcess(&node.process)
	w.resetRegistry(node)
	w.scheduleEvery(&node.process, pollInterval, func() { w.followMember(node) })
	w.scheduleCatchUp(node)
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

// resetRegistry gives a registry the empty state that a new run begins with.
func (w *World) resetRegistry(node *registryNode) {
	node.incarnation = uint64(w.nextID())
	node.startedAt = w.now
	node.state = config.State{}
	node.controller = nil
	node.snapshot, _ = config.Compile(node.state, 0) // an empty state compiles
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
		node.reservations.SetNeverUsed()
	}
}

// followMember takes over what the registry's member has committed.
func (w *World) followMember(node *registryNode) {
	member := node.member
	if !w.isResponsive(&member.process) {
		return
	}
	committed, state := member.replica.Committed()
	if committed <= node.table.CommittedRevision() {
		return
	}
	update := store.ItemsAfter(state, committed, node.table.CommittedRevision())
	node.state = node.state.Apply(update.Items, update.Complete)
	w.History.checkContent(w.now, node.name, committed, node.state)
	node.snapshot, _ = config.CompileIncremental(node.snapshot, node.state, committed) // the store commits only what compiles
	w.History.recordSnapshot(node.snapshot)
	node.table.SetCommitted(w.uptime(node), committed)
}

// scheduleCatchUp requests a read index until one is known, and marks the registry as caught up once it has committed
// as much. Before that it grants nothing.
func (w *World) scheduleCatchUp(node *registryNode) {
	readIndexKnown := false
	w.scheduleEvery(&node.process, 4*pollInterval, func() {
		if readIndexKnown || !w.isResponsive(&node.member.process) {
			return
		}
		if w.seededFault == SeededYoungRegistryGrants {
			node.table.SetCaughtUp()
			return
		}
		ticket := fmt.Sprint("stand-", w.nextID())
		node.member.pendingReadIndexes[ticket] = func(reply *schema.ReadIndexReply) {
			if reply.Undecided || readIndexKnown {
				return
			}
			readIndexKnown = true
			if reply.Empty {
				node.reservations.SetNeverUsed()
			}
			w.scheduleEvery(&node.process, pollInterval, func() {
				if node.table.CommittedRevision() >= reply.Committed {
					node.table.SetCaughtUp()
				}
			})
		}
		w.execute(node.member, node.member.replica.ReadIndex(node.member.clock.at(w.now), ticket))
	})
}

// registryLease returns the lease that the registries' tables work with.
func (w *World) registryLease() time.Duration {
	if w.Options.ServeStale {
		return servingLease
	}
	return leaseDuration
}

// uptime returns a registry's local time since the start of its run.
func (w *World) uptime(node *registryNode) time.Duration {
	uptime := node.clock.at(w.now) - node.clock.at(node.startedAt)
	// The seeded fault makes the table believe that it has been up for a lease already.
	if w.seededFault == SeededYoungRegistryGrants {
		uptime += leaseDuration
	}
	return uptime
}

// pullSources fetches the sources of the service directory that another registry knows in newer versions.
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

// recoverReservations makes a restarted registry read the key reservations of another, page by page, until its table
// is authoritative.
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

// registryNamed returns the registry of a name, or nil.
func (w *World) registryNamed(name string) *registryNode {
	for _, node := range w.registries {
		if node.name == name {
			return node
		}
	}
	return nil
}

// crashCoreHost cuts the power of the host of a member: its replica and its registry crash.
func (w *World) crashCoreHost(i int) {
	w.crashMember(w.members[i])
	w.stopProcess(&w.registries[i].process)
}

// startCoreHost starts the processes of a core host again.
func (w *World) startCoreHost(i int) {
	w.startMember(w.members[i])
	w.startRegistry(w.registries[i])
}

// isCoreRecovered reports whether every member is up, counts in the quorum and has durably stored what is acknowledged,
// and every registry grants leases and knows the key reservations again.
func (w *World) isCoreRecovered() bool {
	for i, node := range w.members {
		if !node.up || !node.replica.Status().Member || node.replica.Status().Durable < w.History.lastAcknowledged {
			return false
		}
		registryNode := w.registries[i]
		if !registryNode.up {
			return false
		}
		uptime := w.uptime(registryNode)
		if !registryNode.reservations.IsAuthoritative(uptime) || !registryNode.table.GrantsLeases(uptime) {
			return false
		}
	}
	return true
}
