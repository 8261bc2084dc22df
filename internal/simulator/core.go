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

type seatNode struct {
	machine
	seat        *store.Replica
	options     store.Config
	incarnation uint64
	disk        []*schema.Record // synced
	writing     []store.Persist
	stalledTo   time.Duration
	syncs       int // begun
	refusesTo   time.Duration
	slowBy      time.Duration // added to every sync at most
	wakesAt     time.Duration // by its own clock
	tickets     map[string]func(any)
	lost, gone  bool // of a core alone: taken by a fault, or away for good
}

type registryNode struct {
	machine
	born   uint64
	start  time.Duration
	table  *registry.FleetState
	claims *registry.ReservationTable
	state  config.State
	setup  *config.Snapshot
	beside *seatNode
	sits   map[string]*sitting // with other registries, in a serving world
	duty   *release.Controller
	steps  uint64
}

func seatName(i int) string { return string(rune('a' + i)) }

// ---- stores ----

func seatOptions(name string, order []string, losses int) store.Config {
	return store.Config{Name: name, StaticMembers: order, Address: name, ToleratedLosses: losses, HeartbeatTimeout: silence, StallTimeout: stall,
		MaxEntries: 16, MaxOutcomes: 4096, MaxUncommittedEntries: 64, MaxOperatorTombstones: 64}
}

func (w *World) startSeat(node *seatNode) {
	w.rise(&node.machine)
	node.writing, node.tickets, node.wakesAt = nil, map[string]func(any){}, 0
	node.options.NewIncarnation = func() uint64 { return uint64(w.next()) }
	options := node.options
	if len(node.disk) == 0 {
		// The planted fault lets an empty folder pass for the one that was lost.
		if w.plant != PlantAmnesia || node.incarnation == 0 {
			node.incarnation = uint64(w.next())
		} else {
			options.Founders, options.ExpandsMembership = seatsOf(node.seat), false
		}
		node.disk = []*schema.Record{store.InitialRecord(options, node.incarnation)}
		// Only the first start of all founds anything.
		node.options.Founders, node.options.ExpandsMembership = nil, false
	}
	node.seat = store.NewReplica(options, node.incarnation, node.disk)
	w.on(&node.machine, 0, func() { w.tick(node) })
}

// seatsOf names the seats as one of them knows them.
func seatsOf(seat *store.Replica) (names []string) {
	for _, one := range seat.Status().Membership.GetMembers() {
		names = append(names, one.Id)
	}
	return names
}

func (w *World) tick(node *seatNode) {
	node.wakesAt = 0
	w.act(node, node.seat.Tick(node.clock.at(w.now)))
}

// rouse lets a seat tick when it wants to, as its daemon does.
func (w *World) rouse(node *seatNode) {
	at := node.seat.NextTickAt()
	if node.wakesAt != 0 && at >= node.wakesAt {
		return
	}
	node.wakesAt = at
	left := time.Duration(float64(at-node.clock.at(w.now)) / node.clock.rate)
	w.on(&node.machine, max(left, time.Microsecond), func() {
		if node.wakesAt == at {
			w.tick(node)
		}
	})
}

func (w *World) seatCalled(name string) *seatNode {
	for _, node := range w.seats {
		if node.name == "store-"+name {
			return node
		}
	}
	return nil
}

func (w *World) act(node *seatNode, actions []store.Action) {
	for _, action := range actions {
		switch one := action.(type) {
		case store.Send:
			to := w.seatCalled(one.Message.To)
			if to == nil {
				continue
			}
			letter := proto.Clone(one.Message).(*schema.ReplicaMessage)
			w.deliver(&node.machine, &to.machine, func() { w.act(to, to.seat.Step(to.clock.at(w.now), letter)) })
		case store.Persist:
			one.Record = proto.Clone(one.Record).(*schema.Record)
			node.writing = append(node.writing, one)
			if len(node.writing) == 1 {
				w.sync(node)
			}
		case store.Reply:
			w.end(node, one.Result.Ticket, one.Result)
		case store.ReadIndexReady:
			w.end(node, one.Result.Ticket, one.Result)
		}
	}
	w.rouse(node)
	w.observeSeat(node)
}

func (w *World) end(node *seatNode, ticket string, result any) {
	if then := node.tickets[ticket]; then != nil {
		delete(node.tickets, ticket)
		then(result)
	}
}

// sync finishes the first write after the disk's delay, then takes the next.
func (w *World) sync(node *seatNode) {
	node.syncs++
	serial := node.syncs
	delay := w.upTo(8*time.Millisecond + node.slowBy)
	if node.stalledTo > w.now {
		delay += node.stalledTo - w.now
	}
	w.on(&node.machine, delay, func() {
		if serial != node.syncs {
			return // the stall that it waited for ended before
		}
		if node.stalledTo > w.now {
			w.sync(node)
			return
		}
		if node.refusesTo > w.now {
			w.refuse(node)
			return
		}
		done := node.writing[0]
		node.writing = node.writing[1:]
		w.keep(node, done)
		if len(node.writing) > 0 {
			w.sync(node)
		}
		w.act(node, node.seat.Persisted(node.clock.at(w.now), done.WriteID))
	})
}

// unstall ends a disk's stall, and it goes on at once with what it was writing.
func (w *World) unstall(node *seatNode) {
	if node.stalledTo > w.now && len(node.writing) > 0 && node.up {
		node.stalledTo = 0
		w.sync(node)
	}
	node.stalledTo = 0
}

// refuse is what the daemon does of a disk that refuses a write.
func (w *World) refuse(node *seatNode) {
	w.act(node, node.seat.DiskFailed(node.clock.at(w.now)))
	w.on(&node.machine, stall/8, func() {
		node.writing = nil
		w.act(node, node.seat.RewriteSnapshot(node.clock.at(w.now)))
	})
}

// keep puts a record on the disk for good.
func (w *World) keep(node *seatNode, one store.Persist) {
	if one.ReplacesLog {
		node.disk = nil
	}
	node.disk = append(node.disk, one.Record)
}

// crashSeat is a loss of power: what was not synced is gone, but for a part that happened
// to reach the disk.
func (w *World) crashSeat(node *seatNode) {
	// The planted disk said "synced" of records that power loss now takes away.
	if w.plant == PlantLyingDisk {
		for lost := 1 + w.roll(3); lost > 0 && len(node.disk) > 1 && node.disk[len(node.disk)-1].Snapshot == nil; lost-- {
			node.disk = node.disk[:len(node.disk)-1]
		}
	}
	if node.up {
		for range w.roll(len(node.writing) + 1) {
			w.keep(node, node.writing[0])
			node.writing = node.writing[1:]
		}
	}
	w.fall(&node.machine)
}

// ---- registries ----

func (w *World) startRegistry(node *registryNode) {
	w.rise(&node.machine)
	node.born, node.start, node.state, node.duty = uint64(w.next()), w.now, config.State{}, nil
	node.setup, _ = config.Compile(node.state, 0)
	node.table = registry.NewFleetState(registry.FleetStateOptions{MemberID: node.name[len("registry-"):], Lease: w.tableLease(), MaxSources: 64, MaxCounts: 256, WithoutLeases: w.Options.Serving})
	node.claims = registry.NewReservationTable(registry.ReservationOptions{Lease: lease, Window: keyWindow, MaxReservations: 1 << 16, MemberCount: seatCount})
	if w.plant == PlantForgets {
		node.claims.MarkNeverUsed()
	}
	w.every(&node.machine, poll, func() {
		beside := node.beside
		if !w.standing(&beside.machine) {
			return
		}
		stable, state := beside.seat.Committed()
		if stable > node.table.CommittedRevision() {
			news := store.ItemsAfter(state, stable, node.table.CommittedRevision())
			node.state = node.state.Apply(news.Items, news.Complete)
			w.History.observe(w.now, node.name, stable, node.state)
			node.setup, _ = config.CompileIncremental(node.setup, node.state, stable)
			w.History.inForce(node.setup)
			node.table.SetCommitted(w.ageOf(node), stable)
		}
	})
	asked := false
	w.every(&node.machine, 4*poll, func() {
		if asked || !w.standing(&node.beside.machine) {
			return
		}
		if w.plant == PlantYoung {
			node.table.MarkCaughtUp()
			return
		}
		ticket := fmt.Sprint("stand-", w.next())
		node.beside.tickets[ticket] = func(result any) {
			back := result.(*schema.ReadIndexReply)
			if back.Undecided || asked {
				return
			}
			asked = true
			if back.Empty {
				node.claims.MarkNeverUsed()
			}
			w.every(&node.machine, poll, func() {
				if node.table.CommittedRevision() >= back.Committed {
					node.table.MarkCaughtUp()
				}
			})
		}
		w.act(node.beside, node.beside.seat.ReadIndex(node.beside.clock.at(w.now), ticket))
	})
	for _, other := range w.regs {
		if other == node {
			continue
		}
		if !w.Options.Serving {
			w.every(&node.machine, poll, func() { w.pullFrom(node, other) })
		}
		w.every(&node.machine, lease/16, func() { w.readClaims(node, other) })
	}
	w.every(&node.machine, w.tableLease()/(4*session.RenewalsPerLease), func() { w.steer(node) })
	if w.Options.Serving {
		w.serveCore(node)
	}
}

// tableLease is the lease of the registries' tables.
func (w *World) tableLease() time.Duration {
	if w.Options.Serving {
		return servingLease
	}
	return lease
}

func (w *World) ageOf(node *registryNode) time.Duration {
	age := node.clock.at(w.now) - node.clock.at(node.start)
	// A planted fault lets the table believe that it has been up for a lease already.
	if w.plant == PlantYoung {
		age += lease
	}
	return age
}

// pullFrom keeps a registry level with another.
func (w *World) pullFrom(node, other *registryNode) {
	vector := node.table.Vector()
	w.deliver(&node.machine, &other.machine, func() {
		if news := other.table.SourcesNewerThan(w.ageOf(other), vector); len(news) > 0 {
			w.deliver(&other.machine, &node.machine, func() {
				for _, source := range news {
					node.table.MergeSource(w.ageOf(node), source)
				}
			})
		}
	})
}

// readClaims lets a registry that started anew read what another holds.
func (w *World) readClaims(node, other *registryNode) {
	if age := w.ageOf(node); node.claims.IsAuthoritative(age) || age < node.claims.RecoveryStartsAt() {
		return
	}
	var read func(after uint64)
	read = func(after uint64) {
		w.deliver(&node.machine, &other.machine, func() {
			page := other.claims.Page(w.ageOf(other), after)
			w.deliver(&other.machine, &node.machine, func() {
				node.claims.MergePage(w.ageOf(node), other.name, page)
				if !page.Last {
					read(page.Reservations[len(page.Reservations)-1].Position)
				}
			})
		})
	}
	read(0)
}

// reaches tells whether one machine can call another just now.
func (w *World) reaches(from, to *machine) bool {
	return w.standing(to) && !w.isCut(from, to) && !w.isCut(to, from)
}

// hasDuty tells whether no registry before this one in the order can have the release duty.
func (w *World) hasDuty(node *registryNode) bool {
	for _, other := range w.regs {
		if other == node {
			break
		}
		if w.reaches(&node.machine, &other.machine) && w.steers(other) {
			return false
		}
	}
	return w.steers(node)
}

// steers tells whether a registry may have the release duty at all.
func (w *World) steers(node *registryNode) bool {
	beside := node.beside
	if !node.table.GrantsLeases(w.ageOf(node)) || !w.standing(&beside.machine) {
		return false
	}
	// A planted fault lets each part of a split core have a duty, whose word can then do harm.
	if w.plant == PlantEasy {
		return true
	}
	age, known := beside.seat.CommittedAge(beside.clock.at(w.now))
	return known && age <= w.tableLease()/4
}

// steer does the release duty whenever it falls on a registry.
func (w *World) steer(node *registryNode) {
	compiled, state := node.setup, node.state
	workers := registry.WorkerPoolsOf(node.table.SourcesNewerThan(w.ageOf(node), nil))
	if !release.NeedsControl(compiled, workers) || !w.hasDuty(node) {
		node.duty = nil
		return
	}
	if node.duty == nil {
		options := release.Defaults
		if w.plant == PlantDeaf {
			options.FailureThreshold, options.LatencyMultiple, options.RollbackLogOdds = 1<<40, 1e9, 1e9
		}
		if w.plant == PlantHairTrigger {
			options.FailureThreshold, options.FailureRateMargin, options.MinStandardErrors = 2, 0, 0
		}
		if w.Options.Bound {
			options.CanaryPercent, options.MaxBadFraction, options.BadCallsMargin, options.FailureRateMargin = termTrial, termShare, termMargin, termExcess
		}
		node.duty = release.NewController(options, node.table.MemberID(), w.tableLease()/session.RenewalsPerLease)
	}
	duty := node.duty
	trials := duty.CanaryGrants(compiled)
	if w.plant == PlantEasy {
		for _, one := range trials {
			one.Blocked, one.Healthy = false, true
		}
	}
	node.table.SetCanaryGrants(w.ageOf(node), trials)
	answers := []*schema.CountsReply{}
	for _, other := range w.regs {
		if other != node {
			w.deliver(&node.machine, &other.machine, func() {
				other.table.SetCanaryGrants(w.ageOf(other), trials)
				back := other.table.ReportedCounts(w.ageOf(other), true)
				w.deliver(&other.machine, &node.machine, func() { answers = append(answers, back) })
			})
		}
	}
	// Whoever has not answered by then is not heard this time.
	w.on(&node.machine, w.tableLease()/(8*session.RenewalsPerLease), func() {
		if node.duty != duty {
			return
		}
		answers = append(answers, node.table.ReportedCounts(w.ageOf(node), true))
		telling := 0
		for _, answer := range answers {
			telling += int(answer.Reporting)
		}
		steps, err := duty.Reconcile(w.ageOf(node), compiled, state, release.FleetObservation{Counts: registry.MergeCounts(answers), HeardFraction: float64(telling) / float64(len(w.proxies)), Workers: workers,
			KnownFor: func(sequence uint64) time.Duration { return node.table.KnownFor(w.ageOf(node), sequence) }})
		if err != nil {
			w.History.breach(RuleRecovery, "%v: a step could not be made: %v", w.now, err)
		}
		if w.plant != PlantEasy {
			node.table.SetCanaryGrants(w.ageOf(node), duty.CanaryGrants(compiled))
		}
		for _, step := range steps {
			node.steps++
			w.submit(node, step.Change(node.name, node.born, node.steps, state), func(schema.Ruling, uint64) {})
		}
	})
}

// submit states a change at a registry and waits for its yes, as the registry's daemon does.
func (w *World) submit(node *registryNode, change *schema.Change, then func(ruling schema.Ruling, sequence uint64)) {
	if !w.standing(&node.machine) || !w.standing(&node.beside.machine) {
		return
	}
	ticket := fmt.Sprint("offer-", w.next())
	node.beside.tickets[ticket] = func(result any) {
		submitted := result.(*schema.ProposalReply)
		if submitted.Undecided {
			return
		}
		w.on(&node.machine, 0, func() {
			ruling, sequence := submitted.Outcome.Ruling, submitted.Outcome.Version.Sequence
			w.History.ruled(w.now, change.Id, ruling)
			if ruling != schema.Ruling_RULING_ACCEPTED {
				then(ruling, sequence)
				return
			}
			if w.plant == PlantEarlyYes || w.Options.Serving {
				w.History.yesGiven(w.now, sequence)
				then(ruling, sequence)
				return
			}
			w.acknowledge(node, sequence, func() { then(ruling, sequence) })
		})
	}
	w.act(node.beside, node.beside.seat.Propose(node.beside.clock.at(w.now), &schema.Proposal{Ticket: ticket, Change: change}))
}

// acknowledge fences the registries until a majority has no laggard left.
func (w *World) acknowledge(node *registryNode, sequence uint64, then func()) {
	fence := registry.NewAcknowledgement(seatCount)
	done := false
	giveUp := w.now + 3*lease
	take := func(fenced *schema.FenceReply) {
		if !done && fence.Record(fenced) {
			done = true
			w.History.yesGiven(w.now, sequence)
			then()
		}
	}
	var round func()
	round = func() {
		if done || w.now > giveUp {
			return
		}
		take(node.table.SetFence(w.ageOf(node), sequence))
		for _, other := range w.regs {
			if other != node {
				w.deliver(&node.machine, &other.machine, func() {
					fenced := other.table.SetFence(w.ageOf(other), sequence)
					w.deliver(&other.machine, &node.machine, func() { take(fenced) })
				})
			}
		}
		w.on(&node.machine, poll, round)
	}
	round()
}

// coreWhole tells whether every seat is up, counts, and holds on its disk what is acknowledged,
// and every registry knows again which keys are claimed.
func (w *World) coreWhole() bool {
	for i, node := range w.seats {
		if !node.up || !node.seat.Status().Member || node.seat.Status().Durable < w.History.yes {
			return false
		}
		reg := w.regs[i]
		if !reg.up || !reg.claims.IsAuthoritative(w.ageOf(reg)) || !reg.table.GrantsLeases(w.ageOf(reg)) {
			return false
		}
	}
	return true
}
