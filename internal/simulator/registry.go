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

// registryNode is one registry, with the member of the core on the same host. startRegistry sets most fields anew for
// each run. Only events use them.
type registryNode struct {
	process
	incarnation    uint64        // unique in the world, new for each run
	startedAt      time.Duration // virtual time at which the current run began
	table          *registry.FleetState
	reservations   *registry.ReservationTable
	state          config.State             // items of the configuration that the registry knows as committed
	snapshot       *config.Snapshot         // compiled form of state
	member         *memberNode              // member that the registry takes the configuration from
	subscriptions  map[string]*subscription // subscriptions to other registries, by name; with Options.ServeStale
	controller     *release.Controller      // nil while this registry does not control rollouts
	stepsSubmitted uint64                   // number of rollout steps submitted; makes the ids of their changes unique
}

// startRegistry begins a run of a registry and schedules the periodic tasks of its daemon.
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

// resetRegistry gives a registry the empty state of a new run.
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

// followMember takes over the configuration that the registry's member has committed.
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

// scheduleCatchUp requests a read index from the member until it gets one, and marks the registry as caught up once
// its configuration has reached that index. Until then the registry grants nothing.
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

// registryLease returns the lease duration that the registries' tables are configured with: servingLease with
// Options.ServeStale, otherwise leaseDuration.
func (w *World) registryLease() time.Duration {
	if w.Options.ServeStale {
		return servingLease
	}
	return leaseDuration
}

// uptime returns a registry's local time since the start of its run.
func (w *World) uptime(node *registryNode) time.Duration {
	uptime := node.clock.at(w.now) - node.clock.at(node.startedAt)
	// The seeded fault makes the registry appear to have been up for a whole lease already.
	if w.seededFault == SeededYoungRegistryGrants {
		uptime += leaseDuration
	}
	return uptime
}

// pullSources fetches from another registry the sources of the service directory that it knows in newer versions.
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

// recoverReservations makes a restarted registry read all key reservations of another, page by page. It does nothing
// once the registry's table is authoritative, or while it is too early to read.
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

// registryNamed returns the registry with a name, or nil.
func (w *World) registryNamed(name string) *registryNode {
	for _, node := range w.registries {
		if node.name == name {
			return node
		}
	}
	return nil
}

// crashCoreHost cuts the power of a core host: its member and its registry crash.
func (w *World) crashCoreHost(i int) {
	w.crashMember(w.members[i])
	w.stopProcess(&w.registries[i].process)
}

// startCoreHost starts the member and the registry of a core host again.
func (w *World) startCoreHost(i int) {
	w.startMember(w.members[i])
	w.startRegistry(w.registries[i])
}

// isCoreRecovered reports whether the core of a mesh has recovered. Every member must be up, a voting member, and have
// stored durably what is acknowledged. Every registry must be up, grant leases and know the key reservations again.
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
