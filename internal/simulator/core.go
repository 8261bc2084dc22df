package simulator

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/config"
	"meadowhinge/internal/registry"
	"meadowhinge/internal/release"
	"meadowhinge/internal/session"
	"meadowhinge/internal/store"
	"meadowhinge/schema"
)

type memberNode struct {
	process
	replica           *store.Replica
	replicaConfig     store.Config
	incarnation       uint64
	disk              []*schema.Record // synced
	pendingWrites     []store.Persist
	stalledUntil      time.Duration
	syncsStarted      int // begun
	failsUntil        time.Duration
	maxExtraSyncDelay time.Duration // added to every sync at most
	nextTickAt        time.Duration // by its own clock
	pendingReplies    map[string]func(any)
	lost, removed     bool // of a core alone: taken by a fault, or away for good
}

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

func memberName(i int) string { return string(rune('a' + i)) }

// ---- stores ----

func newReplicaConfig(name string, order []string, losses int) store.Config {
	return store.Config{Name: name, StaticMembers: order, Address: name, ToleratedLosses: losses, HeartbeatTimeout: heartbeatTimeout, StallTimeout: stallTimeout,
		MaxEntries: 16, MaxOutcomes: 4096, MaxUncommittedEntries: 64, MaxOperatorTombstones: 64}
}

func (w *World) startMember(node *memberNode) {
	w.startProcess(&node.process)
	node.pendingWrites, node.pendingReplies, node.nextTickAt = nil, map[string]func(any){}, 0
	node.replicaConfig.NewIncarnation = func() uint64 { return uint64(w.nextID()) }
	replicaConfig := node.replicaConfig
	if len(node.disk) == 0 {
		// The planted fault lets an empty folder pass for the one that was lost.
		if w.seededFault != SeededWipedMemberCounts || node.incarnation == 0 {
			node.incarnation = uint64(w.nextID())
		} else {
			replicaConfig.Founders, replicaConfig.ExpandsMembership = memberNames(node.replica), false
		}
		node.disk = []*schema.Record{store.InitialRecord(replicaConfig, node.incarnation)}
		// Only the first start of all founds anything.
		node.replicaConfig.Founders, node.replicaConfig.ExpandsMembership = nil, false
	}
	node.replica = store.NewReplica(replicaConfig, node.incarnation, node.disk)
	w.scheduleOn(&node.process, 0, func() { w.tick(node) })
}

// memberNames names the seats as one of them knows them.
func memberNames(replica *store.Replica) (names []string) {
	for _, member := range replica.Status().Membership.GetMembers() {
		names = append(names, member.Id)
	}
	return names
}

func (w *World) tick(node *memberNode) {
	node.nextTickAt = 0
	w.execute(node, node.replica.Tick(node.clock.at(w.now)))
}

// scheduleTick lets a seat tick when it wants to, as its daemon does.
func (w *World) scheduleTick(node *memberNode) {
	at := node.replica.NextTickAt()
	if node.nextTickAt != 0 && at >= node.nextTickAt {
		return
	}
	node.nextTickAt = at
	delay := time.Duration(float64(at-node.clock.at(w.now)) / node.clock.rate)
	w.scheduleOn(&node.process, max(delay, time.Microsecond), func() {
		if node.nextTickAt == at {
			w.tick(node)
		}
	})
}

func (w *World) memberNamed(name string) *memberNode {
	for _, node := range w.members {
		if node.name == "store-"+name {
			return node
		}
	}
	return nil
}

func (w *World) execute(node *memberNode, actions []store.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case store.Send:
			receiver := w.memberNamed(action.Message.To)
			if receiver == nil {
				continue
			}
			message := proto.Clone(action.Message).(*schema.ReplicaMessage)
			w.send(&node.process, &receiver.process, func() { w.execute(receiver, receiver.replica.Step(receiver.clock.at(w.now), message)) })
		case store.Persist:
			action.Record = proto.Clone(action.Record).(*schema.Record)
			node.pendingWrites = append(node.pendingWrites, action)
			if len(node.pendingWrites) == 1 {
				w.syncNext(node)
			}
		case store.Reply:
			w.resolveReply(node, action.Result.Ticket, action.Result)
		case store.ReadIndexReady:
			w.resolveReply(node, action.Result.Ticket, action.Result)
		}
	}
	w.scheduleTick(node)
	w.observeMember(node)
}

func (w *World) resolveReply(node *memberNode, ticket string, result any) {
	if onReply := node.pendingReplies[ticket]; onReply != nil {
		delete(node.pendingReplies, ticket)
		onReply(result)
	}
}

// syncNext finishes the first write after the disk's delay, then takes the next.
func (w *World) syncNext(node *memberNode) {
	node.syncsStarted++
	syncID := node.syncsStarted
	delay := w.randomDuration(8*time.Millisecond + node.maxExtraSyncDelay)
	if node.stalledUntil > w.now {
		delay += node.stalledUntil - w.now
	}
	w.scheduleOn(&node.process, delay, func() {
		if syncID != node.syncsStarted {
			return // the stall that it waited for ended before
		}
		if node.stalledUntil > w.now {
			w.syncNext(node)
			return
		}
		if node.failsUntil > w.now {
			w.failWrites(node)
			return
		}
		write := node.pendingWrites[0]
		node.pendingWrites = node.pendingWrites[1:]
		w.persist(node, write)
		if len(node.pendingWrites) > 0 {
			w.syncNext(node)
		}
		w.execute(node, node.replica.Persisted(node.clock.at(w.now), write.WriteID))
	})
}

// endDiskStall ends a disk's stall, and it goes on at once with what it was writing.
func (w *World) endDiskStall(node *memberNode) {
	if node.stalledUntil > w.now && len(node.pendingWrites) > 0 && node.up {
		node.stalledUntil = 0
		w.syncNext(node)
	}
	node.stalledUntil = 0
}

// failWrites is what the daemon does of a disk that refuses a write.
func (w *World) failWrites(node *memberNode) {
	w.execute(node, node.replica.DiskFailed(node.clock.at(w.now)))
	w.scheduleOn(&node.process, stallTimeout/8, func() {
		node.pendingWrites = nil
		w.execute(node, node.replica.RewriteSnapshot(node.clock.at(w.now)))
	})
}

// persist puts a record on the disk for good.
func (w *World) persist(node *memberNode, write store.Persist) {
	if write.ReplacesLog {
		node.disk = nil
	}
	node.disk = append(node.disk, write.Record)
}

// crashMember is a loss of power: what was not synced is gone, but for a part that happened
// to reach the disk.
func (w *World) crashMember(node *memberNode) {
	// The planted disk said "synced" of records that power loss now takes away.
	if w.seededFault == SeededLyingDisk {
		for remaining := 1 + w.randomInt(3); remaining > 0 && len(node.disk) > 1 && node.disk[len(node.disk)-1].Snapshot == nil; remaining-- {
			node.disk = node.disk[:len(node.disk)-1]
		}
	}
	if node.up {
		for range w.randomInt(len(node.pendingWrites) + 1) {
			w.persist(node, node.pendingWrites[0])
			node.pendingWrites = node.pendingWrites[1:]
		}
	}
	w.stopProcess(&node.process)
}

// ---- registries ----

func (w *World) startRegistry(node *registryNode) {
	w.startProcess(&node.process)
	node.incarnation, node.startedAt, node.state, node.controller = uint64(w.nextID()), w.now, config.State{}, nil
	node.snapshot, _ = config.Compile(node.state, 0)
	node.table = registry.NewFleetState(registry.FleetStateOptions{MemberID: node.name[len("registry-"):], Lease: w.registryLease(), MaxSources: 64, MaxCounts: 256, WithoutLeases: w.Options.ServeStale})
	node.reservations = registry.NewReservationTable(registry.ReservationOptions{Lease: leaseDuration, Window: keyReservationWindow, MaxReservations: 1 << 16, MemberCount: memberCount})
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

// canReach tells whether one machine can call another just now.
func (w *World) canReach(from, to *process) bool {
	return w.isResponsive(to) && !w.isPartitioned(from, to) && !w.isPartitioned(to, from)
}

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
			options.FailureThreshold, options.LatencyMultiple, options.RollbackLogOdds = 1<<40, 1e9, 1e9
		}
		if w.seededFault == SeededHairTrigger {
			options.FailureThreshold, options.FailureRateMargin, options.MinStandardErrors = 2, 0, 0
		}
		if w.Options.BoundExposure {
			options.CanaryPercent, options.MaxBadFraction, options.BadCallsMargin, options.FailureRateMargin = orderCanaryPercent, orderBadShare, orderBadMargin, orderFailureExcess
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
		steps, err := controller.Reconcile(w.uptime(node), snapshot, state, release.FleetObservation{Counts: registry.MergeCounts(replies), HeardFraction: float64(reporting) / float64(len(w.proxies)), Workers: workers,
			KnownFor: func(sequence uint64) time.Duration { return node.table.KnownFor(w.uptime(node), sequence) }})
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

// submitChange states a change at a registry and waits for its yes, as the registry's daemon does.
func (w *World) submitChange(node *registryNode, change *schema.Change, onRuling func(ruling schema.Ruling, sequence uint64)) {
	if !w.isResponsive(&node.process) || !w.isResponsive(&node.member.process) {
		return
	}
	ticket := fmt.Sprint("offer-", w.nextID())
	node.member.pendingReplies[ticket] = func(result any) {
		reply := result.(*schema.ProposalReply)
		if reply.Undecided {
			return
		}
		w.scheduleOn(&node.process, 0, func() {
			ruling, sequence := reply.Outcome.Ruling, reply.Outcome.Version.Sequence
			w.History.recordRuling(w.now, change.Id, ruling)
			if ruling != schema.Ruling_RULING_ACCEPTED {
				onRuling(ruling, sequence)
				return
			}
			if w.seededFault == SeededEarlyAcknowledgement || w.Options.ServeStale {
				w.History.recordAcknowledgement(w.now, sequence)
				onRuling(ruling, sequence)
				return
			}
			w.acknowledge(node, sequence, func() { onRuling(ruling, sequence) })
		})
	}
	w.execute(node.member, node.member.replica.Propose(node.member.clock.at(w.now), &schema.Proposal{Ticket: ticket, Change: change}))
}

// acknowledge fences the registries until a majority has no laggard left.
func (w *World) acknowledge(node *registryNode, sequence uint64, onAcknowledged func()) {
	acknowledgement := registry.NewAcknowledgement(memberCount)
	done := false
	deadline := w.now + 3*leaseDuration
	addReply := func(fenceReply *schema.FenceReply) {
		if !done && acknowledgement.Record(fenceReply) {
			done = true
			w.History.recordAcknowledgement(w.now, sequence)
			onAcknowledged()
		}
	}
	var sendFences func()
	sendFences = func() {
		if done || w.now > deadline {
			return
		}
		addReply(node.table.SetFence(w.uptime(node), sequence))
		for _, other := range w.registries {
			if other != node {
				w.send(&node.process, &other.process, func() {
					fenceReply := other.table.SetFence(w.uptime(other), sequence)
					w.send(&other.process, &node.process, func() { addReply(fenceReply) })
				})
			}
		}
		w.scheduleOn(&node.process, pollInterval, sendFences)
	}
	sendFences()
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
