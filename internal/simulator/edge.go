package simulator

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/config"
	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/fakebackend"
	"meadowhinge/internal/journal"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/proxy"
	"meadowhinge/internal/release"
	"meadowhinge/internal/session"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// Settings of the simulated proxies.
const (
	horizonMost = 10 * time.Second
	extraRatio  = fakebackend.RetryBudgetRatio
	extraFloor  = fakebackend.RetryBudgetFloor
	dialBound   = lease / 16
	remembered  = 1 << 14
)

type proxyNode struct {
	machine
	index       int
	incarnation uint64
	start       time.Duration
	gate        *session.LeaseGate
	fleet       *session.FleetSize
	members     atomic.Int64
	journal     *journal.Journal[proxy.Event, proxy.MeshState]
	workers     *dispatch.Workers
	runner      *dispatch.Runner
	carrier     *dispatch.Forwarder
	trials      *dispatch.CanaryGuard
	tally       *dispatch.CallCounter
	facts       *dispatch.OutlierDetector
	counter     uint64
	feedAt      int
	lagging     atomic.Bool
	open        atomic.Bool // callers are let in
	politely    atomic.Bool // it is ending, and takes no new callers
	conns       *connections

	// of a serving world
	tie    *session.RegistrySelector
	sits   map[string]*sitting
	told   int64
	untold bool
	toldAt time.Duration
}

func (w *World) areaOf(index int) string { return fmt.Sprint("area-", index%3) }

// startProxy begins a proxy's life, as its daemon's assembly does.
func (w *World) startProxy(node *proxyNode) {
	w.rise(&node.machine)
	node.incarnation, node.start, node.counter = uint64(w.next()), w.now, 0
	life, start, clock, name := node.life, node.start, node.clock, node.name
	now := func() time.Duration { return clock.at(w.time()) - clock.at(start) }
	node.open.Store(false)
	node.politely.Store(false)
	node.lagging.Store(false)
	node.conns = &connections{}
	gate := session.NewLeaseGate(lease, now)
	node.gate, node.fleet = gate, session.NewFleetSize(64, lease)
	node.members.Store(64)
	held := journal.New(proxy.EmptyMeshState(), 8, proxy.Fold)
	node.journal = held
	view := func() *plan.View { return held.View().View() }
	leased := func() bool {
		switch {
		case w.Options.Serving:
			return held.View().ConfigRevision() > 0
		case w.plant == PlantEternal && gate.ExpiresAt() > 0, w.plant == PlantHasty && held.View().ConfigRevision() > 0:
			return true
		}
		return gate.Open()
	}
	trying := dispatch.DefaultCanaryOptions
	if w.plant == PlantDeaf {
		trying.MaxFailures = 1 << 40
	}
	// Where the duty keeps the bound, proxies do not take the evidence from it.
	if w.Options.Bound {
		trying.MaxFailures = termTrips
	}
	node.trials = dispatch.NewCanaryGuard(trying, func() int { return int(node.members.Load()) }, func() dispatch.VersionGuards { return view().Config })
	node.tally = dispatch.NewCallCounter(512)
	node.facts = dispatch.NewOutlierDetector(5, 5*time.Second)
	conns := node.conns
	node.workers = dispatch.NewWorkers(dispatch.WorkersOptions{Proxy: name, Incarnation: node.incarnation, Zone: w.areaOf(node.index), MaxMissedHeartbeats: 3, MaxWorkers: 64, MaxConns: 256,
		MaxBodyBytes: 1 << 16, Now: now, Dial: func(address string) (net.Conn, error) { return w.dial(address, conns) }}, func() { w.workersChanged(node, life) })
	node.runner = dispatch.NewRunner(dispatch.Runner{Workers: node.workers, Outliers: node.facts, View: view, HasLease: leased, Now: now, MaxOverrun: lease / 16,
		AwaitConfig: func(ctx context.Context, sequence uint64) {
			if held.View().ConfigRevision() < sequence && !w.Options.Serving {
				held.Wait(ctx, func(picture proxy.MeshState) bool { return picture.ConfigRevision() >= sequence })
				w.stagger(ctx)
			}
		},
		RevisionOutdated: func(sequence uint64) bool {
			return !w.Options.Serving && held.View().Outdated(sequence, now(), lease/session.RenewalsPerLease)
		}}, map[bool]int{true: 1, false: remembered}[w.plant == PlantNoSeen])
	floor := w.Options.Floor
	if w.plant == PlantNoBudget {
		floor = 1e9
	}
	node.carrier = (&dispatch.Forwarder{Name: name, Incarnation: node.incarnation,
		Limits: dispatch.Limits{PlanOptions: plan.Options{Zone: w.areaOf(node.index), MaxDeadline: horizonMost, Warmup: 5 * time.Second}, RetryRatio: extraRatio, RetryFloor: floor}, View: view,
		AwaitView: func(ctx context.Context, ready func(*plan.View) bool) {
			held.Wait(ctx, func(picture proxy.MeshState) bool { return ready(picture.View()) })
			w.stagger(ctx)
		},
		AwaitLease: func(ctx context.Context) bool {
			if leased() {
				return true
			}
			if w.Options.Serving {
				return false
			}
			defer w.stagger(ctx)
			return gate.Await(ctx)
		}, OnConfigLag: func() { node.lagging.Store(true) },
		HasLease: leased, FleetSize: func() int { return int(node.members.Load()) }, Now: now, Random: func() float64 { return w.own(name).Float64() }, Send: w.sender(node, life), Outliers: node.facts,
		NoAttemptTimeout: w.Options.Leaving > 0, Canaries: node.trials, Counter: node.tally, ReserveKey: w.claimer(node, life, now), KeyReleaseTimeout: lease / 64}).Init(remembered)
	if w.Options.Serving {
		w.serveEdge(node)
	} else {
		for i := range w.regs {
			w.every(&node.machine, lease/session.RenewalsPerLease, func() { w.renew(node, i, 0, nil) })
		}
		w.feed(node)
		w.every(&node.machine, lease/session.RenewalsPerLease, func() { w.tell(node, true) })
	}
	w.every(&node.machine, w.tableLease()/(4*session.RenewalsPerLease), func() {
		if _, any := release.JudgedServices(view().Config); any {
			w.tell(node, false)
		}
	})
	w.every(&node.machine, poll, func() {
		// Callers are let in once the proxy can decide.
		if leased() || w.plant == PlantHasty {
			node.open.Store(true)
		}
	})
}

// clockOf is a proxy's own time since it started.
func (node *proxyNode) clockOf(now time.Duration) time.Duration {
	return node.clock.at(now) - node.clock.at(node.start)
}

func (w *World) endProxy(node *proxyNode) {
	w.History.judgeDepartures(node)
	w.fall(&node.machine)
	node.open.Store(false)
	node.conns.close()
}

// feed pulls what a proxy lacks, by its vector.
func (w *World) feed(node *proxyNode) {
	busy := time.Duration(0)
	w.every(&node.machine, poll, func() {
		if node.lagging.Swap(false) {
			node.feedAt++
		}
		if busy > w.now {
			return
		}
		// A feed that stays silent is left after a while.
		if busy != 0 {
			node.feedAt++
		}
		busy = w.now + lease/(2*session.RenewalsPerLease)
		target := w.regs[node.feedAt%len(w.regs)]
		journal := node.journal
		held := journal.View()
		vector, sequence := held.Vector(), held.ConfigRevision()
		w.deliver(&node.machine, &target.machine, func() {
			event := proxy.Event{Sources: target.table.SourcesNewerThan(w.ageOf(target), vector)}
			if stable := target.table.CommittedRevision(); stable > sequence {
				event.ConfigRevision = stable
				event.Items, event.Complete = target.state.ChangesAfter(sequence)
				if w.plant == PlantRevives {
					event.Complete = false
				}
			}
			w.deliver(&target.machine, &node.machine, func() {
				// An answer to what a proxy asked before it was killed reaches nobody: the links went with it.
				if busy = 0; node.journal == journal || w.plant == PlantHaunts {
					w.apply(node, event)
				}
			})
		})
	})
}

// apply takes news; a setup is used once a majority of registries knows of it. The first needs
// no telling, for without a lease nothing is shown by it yet.
func (w *World) apply(node *proxyNode, event proxy.Event) {
	if held := node.journal.View().Items(); w.plant == PlantOpen {
		event.Items = slices.DeleteFunc(event.Items, func(item *schema.Item) bool {
			return item.Kind == "service" && held[config.Key(item.Kind, item.Name)] != nil
		})
	}
	journal := node.journal
	use := func() {
		if node.journal != journal {
			return // the proxy was killed meanwhile, and what it knew is gone
		}
		if node.journal.View().ConfigRevision() < event.ConfigRevision || len(event.Sources) > 0 {
			event.At = node.clockOf(w.now)
			before := node.journal.View().ConfigRevision()
			if after := node.journal.Append(event).ConfigRevision(); after > before {
				w.History.applied(w.now, node)
				for i := range w.regs {
					w.renew(node, i, 0, nil)
				}
			}
		}
	}
	if event.ConfigRevision <= node.journal.View().ConfigRevision() || node.journal.View().ConfigRevision() == 0 {
		use()
		return
	}
	heard := map[string]bool{}
	used := false
	for i := range w.regs {
		w.renew(node, i, event.ConfigRevision, func(seat string) {
			if heard[seat] = true; len(heard) > seatCount/2 && !used {
				used = true
				use()
			}
		})
	}
}

func (w *World) renew(node *proxyNode, i int, knows uint64, heard func(seat string)) {
	target := w.regs[i]
	asked := node.clockOf(w.now)
	applied := node.journal.View().ConfigRevision()
	renew := &schema.LeaseRequest{Proxy: node.name, Incarnation: node.incarnation, Applied: applied, Received: knows, LeaseNanos: int64(lease)}
	gate := node.gate
	w.deliver(&node.machine, &target.machine, func() {
		reply := target.table.RenewLease(w.ageOf(target), renew)
		w.deliver(&target.machine, &node.machine, func() {
			if node.incarnation != renew.Incarnation {
				return
			}
			node.members.Store(node.fleet.Observe(node.clockOf(w.now), int64(reply.FleetSize)))
			if heard != nil {
				heard(reply.Member)
			}
			if reply.Granted {
				gate.RecordGrant(reply.Member, seatCount, asked)
			}
			// Another registry knows more than the one that feeds this proxy.
			if reply.Committed > node.journal.View().ConfigRevision() && node.feedAt%len(w.regs) != i && w.roll(4) == 0 {
				node.feedAt = i
			}
		})
	})
}

// source is what a proxy tells of itself, under a new stamp each time.
func (node *proxyNode) source(area string) *schema.Source {
	node.counter++
	return &schema.Source{Name: node.name, Version: &schema.SourceVersion{Incarnation: node.incarnation, Counter: node.counter}, Address: node.name, Zone: area, Workers: node.workers.List()}
}

// workersChanged lets the mesh know, this proxy first. It may be called by a goroutine, as when
// a worker's connection ends, so it is done as an event.
func (w *World) workersChanged(node *proxyNode, life int) {
	w.after(0, func() {
		if node.up && node.life == life {
			w.on(&node.machine, 0, func() { w.tell(node, true) })
		}
	})
}

// tell reports counts, and with whole the proxy's workers too.
func (w *World) tell(node *proxyNode, whole bool) {
	report := &schema.ProxyReport{Proxy: node.name, Incarnation: node.incarnation}
	if whole {
		node.workers.DropUnresponsive()
		report.Source = node.source(w.areaOf(node.index))
		event := proxy.Event{At: node.clockOf(w.now), Sources: []*schema.Source{report.Source}}
		if !w.Options.Serving {
			event.SourceTimeout = lease / 4
		}
		picture := node.journal.Append(event)
		node.facts.Retain(picture.KnownWorkers())
	}
	setup := node.journal.View().View().Config
	judged, _ := release.JudgedServices(setup)
	report.WorkCounts, report.Applied = node.runner.WorkCounts.Report(judged), setup.Revision
	if whole {
		for _, count := range node.tally.Counts(setup.Revision) {
			report.Counts = append(report.Counts, proto.Clone(count).(*schema.VerdictCount))
		}
	}
	asked := node.clockOf(w.now)
	target := w.regs[node.feedAt%len(w.regs)]
	trials := node.trials
	if w.Options.Serving {
		w.tellSitting(node, report, func(told []*schema.Canary) { trials.ApplyGrants(asked, told) })
		trials.ForgetUnguarded()
		return
	}
	w.deliver(&node.machine, &target.machine, func() {
		target.table.ApplyReport(w.ageOf(target), report)
		told := target.table.CanaryGrants(w.ageOf(target))
		w.deliver(&target.machine, &node.machine, func() {
			if node.incarnation == report.Incarnation {
				trials.ApplyGrants(asked, told)
			}
		})
	})
	trials.ForgetUnguarded()
}

// hopAnswer is what comes back of a dispatch.
type hopAnswer struct {
	carried *schema.ForwardResponse
	err     error
}

// peerOf is how a proxy stands before another: it may speak for its own callers.
func (w *World) peerOf(node *proxyNode) transport.Peer {
	speaks := map[string]bool{"client": true, "saves": true}
	return transport.LocalPeer("proxy", node.name, speaks)
}

// claimer takes a key to the registries.
func (w *World) claimer(node *proxyNode, life int, now func() time.Duration) dispatch.KeyReserver {
	return func(ctx context.Context, claim *schema.KeyReservation) (session.ReservationOutcome, *schema.KeyReservation) {
		if w.plant == PlantNoClaims {
			return session.ReservationGranted, nil
		}
		if !w.thawed(&node.machine, life) {
			return session.ReservationNoMajority, nil
		}
		bound := session.ReservationRoundTimeout(lease)
		bounded, cancel := context.WithTimeout(ctx, bound)
		defer cancel()
		answers := make(chan session.ReservationAnswer, seatCount)
		round := session.NewReservationRound(claim, seatCount, now(), bound)
		for _, reg := range w.regs {
			sent := proto.Clone(claim).(*schema.KeyReservation)
			w.deliverBy(w.own(fmt.Sprint(claim.Request, claim.Instance, claim.Release, reg.name)), &node.machine, &reg.machine, func() {
				claimed := reg.claims.Apply(w.ageOf(reg), sent)
				w.deliver(&reg.machine, &node.machine, func() { answers <- session.ReservationAnswer{MemberID: reg.name, Response: claimed} })
			})
		}
		verdict, holder := round.AwaitOutcome(bounded, seatCount, answers, now)
		// A proxy that was frozen meanwhile goes on when it thaws.
		if !w.thawed(&node.machine, life) {
			return session.ReservationNoMajority, nil
		}
		return verdict, holder
	}
}
