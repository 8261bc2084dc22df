package simulator

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/journal"
	"meadowhinge/internal/link"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/proxy"
	"meadowhinge/internal/release"
	"meadowhinge/internal/session"
	"meadowhinge/internal/setup"
	"meadowhinge/internal/standin"
	"meadowhinge/schema"
)

// Settings of the simulated proxies.
const (
	horizonMost = 10 * time.Second
	extraRatio  = standin.BudgetRatio
	extraFloor  = standin.BudgetFloor
	dialBound   = lease / 16
	remembered  = 1 << 14
)

type proxyNode struct {
	machine
	index       int
	incarnation uint64
	start       time.Duration
	gate        *session.Gate
	fleet       *session.Fleet
	members     atomic.Int64
	journal     *journal.Journal[proxy.Event, proxy.Picture]
	workers     *dispatch.Workers
	runner      *dispatch.Runner
	carrier     *dispatch.Carrier
	trials      *dispatch.Trials
	tally       *dispatch.Tally
	facts       *dispatch.Soundness
	counter     uint64
	feedAt      int
	lagging     atomic.Bool
	open        atomic.Bool // callers are let in
	politely    atomic.Bool // it is ending, and takes no new callers
	conns       *connections

	// of a serving world
	tie    *session.Tie
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
	gate := session.NewGate(lease, now)
	node.gate, node.fleet = gate, session.NewFleet(64, lease)
	node.members.Store(64)
	held := journal.New(proxy.EmptyPicture(), 8, proxy.Fold)
	node.journal = held
	view := func() *plan.View { return held.View().View() }
	leased := func() bool {
		switch {
		case w.Options.Serving:
			return held.View().Sequence() > 0
		case w.plant == PlantEternal && gate.Until() > 0, w.plant == PlantHasty && held.View().Sequence() > 0:
			return true
		}
		return gate.Open()
	}
	trying := dispatch.TrialDefaults
	if w.plant == PlantDeaf {
		trying.Failures = 1 << 40
	}
	// Where the duty keeps the bound, proxies do not take the evidence from it.
	if w.Options.Bound {
		trying.Failures = termTrips
	}
	node.trials = dispatch.NewTrials(trying, func() int { return int(node.members.Load()) }, func() dispatch.Guards { return view().Setup })
	node.tally = dispatch.NewTally(512)
	node.facts = dispatch.NewSoundness(5, 5*time.Second)
	conns := node.conns
	node.workers = dispatch.NewWorkers(dispatch.WorkersOptions{Proxy: name, Incarnation: node.incarnation, Area: w.areaOf(node.index), Silence: 3, Most: 64, ConnsMost: 256,
		BodyMost: 1 << 16, Now: now, Dial: func(address string) (net.Conn, error) { return w.dial(address, conns) }}, func() { w.workersChanged(node, life) })
	node.runner = dispatch.NewRunner(dispatch.Runner{Workers: node.workers, Soundness: node.facts, View: view, Leased: leased, Now: now, OverrunMost: lease / 16,
		AwaitSetup: func(ctx context.Context, sequence uint64) {
			if held.View().Sequence() < sequence && !w.Options.Serving {
				held.Wait(ctx, func(picture proxy.Picture) bool { return picture.Sequence() >= sequence })
				w.stagger(ctx)
			}
		},
		Outdated: func(sequence uint64) bool {
			return !w.Options.Serving && held.View().Outdated(sequence, now(), lease/session.LeaseParts)
		}}, map[bool]int{true: 1, false: remembered}[w.plant == PlantNoSeen])
	floor := w.Options.Floor
	if w.plant == PlantNoBudget {
		floor = 1e9
	}
	node.carrier = (&dispatch.Carrier{Name: name, Incarnation: node.incarnation,
		Bounds: dispatch.Bounds{Options: plan.Options{Area: w.areaOf(node.index), HorizonMost: horizonMost, Warmup: 5 * time.Second}, ExtraRatio: extraRatio, ExtraFloor: floor}, View: view,
		AwaitView: func(ctx context.Context, ready func(*plan.View) bool) {
			held.Wait(ctx, func(picture proxy.Picture) bool { return ready(picture.View()) })
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
		}, Lagging: func() { node.lagging.Store(true) },
		Leased: leased, Members: func() int { return int(node.members.Load()) }, Now: now, Dice: func() float64 { return w.own(name).Float64() }, SendOn: w.sender(node, life), Soundness: node.facts,
		Patient: w.Options.Leaving > 0, Trials: node.trials, Tally: node.tally, Claim: w.claimer(node, life, now), ClaimPause: lease / 64}).Start(remembered)
	if w.Options.Serving {
		w.serveEdge(node)
	} else {
		for i := range w.regs {
			w.every(&node.machine, lease/session.LeaseParts, func() { w.renew(node, i, 0, nil) })
		}
		w.feed(node)
		w.every(&node.machine, lease/session.LeaseParts, func() { w.tell(node, true) })
	}
	w.every(&node.machine, w.tableLease()/(4*session.LeaseParts), func() {
		if _, any := release.Judged(view().Setup); any {
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
		busy = w.now + lease/(2*session.LeaseParts)
		target := w.regs[node.feedAt%len(w.regs)]
		journal := node.journal
		held := journal.View()
		vector, sequence := held.Vector(), held.Sequence()
		w.deliver(&node.machine, &target.machine, func() {
			event := proxy.Event{Sources: target.table.Feed(w.ageOf(target), vector)}
			if stable := target.table.Stable(); stable > sequence {
				event.Setup = stable
				event.Items, event.Whole = target.state.After(sequence)
				if w.plant == PlantRevives {
					event.Whole = false
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
	if held := node.journal.View().State(); w.plant == PlantOpen {
		event.Items = slices.DeleteFunc(event.Items, func(item *schema.Item) bool {
			return item.Kind == "service" && held[setup.Key(item.Kind, item.Name)] != nil
		})
	}
	journal := node.journal
	use := func() {
		if node.journal != journal {
			return // the proxy was killed meanwhile, and what it knew is gone
		}
		if node.journal.View().Sequence() < event.Setup || len(event.Sources) > 0 {
			event.At = node.clockOf(w.now)
			before := node.journal.View().Sequence()
			if after := node.journal.Append(event).Sequence(); after > before {
				w.History.applied(w.now, node)
				for i := range w.regs {
					w.renew(node, i, 0, nil)
				}
			}
		}
	}
	if event.Setup <= node.journal.View().Sequence() || node.journal.View().Sequence() == 0 {
		use()
		return
	}
	heard := map[string]bool{}
	used := false
	for i := range w.regs {
		w.renew(node, i, event.Setup, func(seat string) {
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
	applied := node.journal.View().Sequence()
	renew := &schema.Renew{Proxy: node.name, Incarnation: node.incarnation, Applied: applied, Knows: knows, LeaseNanos: int64(lease)}
	gate := node.gate
	w.deliver(&node.machine, &target.machine, func() {
		reply := target.table.Renew(w.ageOf(target), renew)
		w.deliver(&target.machine, &node.machine, func() {
			if node.incarnation != renew.Incarnation {
				return
			}
			node.members.Store(node.fleet.Note(node.clockOf(w.now), int64(reply.Members)))
			if heard != nil {
				heard(reply.Seat)
			}
			if reply.Granted {
				gate.Granted(reply.Seat, seatCount, asked)
			}
			// Another registry knows more than the one that feeds this proxy.
			if reply.Stable > node.journal.View().Sequence() && node.feedAt%len(w.regs) != i && w.roll(4) == 0 {
				node.feedAt = i
			}
		})
	})
}

// source is what a proxy tells of itself, under a new stamp each time.
func (node *proxyNode) source(area string) *schema.Source {
	node.counter++
	return &schema.Source{Name: node.name, Stamp: &schema.Stamp{Incarnation: node.incarnation, Counter: node.counter}, Address: node.name, Area: area, Workers: node.workers.List()}
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
	report := &schema.Report{Proxy: node.name, Incarnation: node.incarnation}
	if whole {
		node.workers.Sweep()
		report.Source = node.source(w.areaOf(node.index))
		event := proxy.Event{At: node.clockOf(w.now), Sources: []*schema.Source{report.Source}}
		if !w.Options.Serving {
			event.Sweep = lease / 4
		}
		picture := node.journal.Append(event)
		node.facts.Keep(picture.Known())
	}
	setup := node.journal.View().View().Setup
	judged, _ := release.Judged(setup)
	report.Works, report.Applied = node.runner.Works.Tell(judged), setup.Sequence
	if whole {
		for _, count := range node.tally.Counts(setup.Sequence) {
			report.Counts = append(report.Counts, proto.Clone(count).(*schema.Count))
		}
	}
	asked := node.clockOf(w.now)
	target := w.regs[node.feedAt%len(w.regs)]
	trials := node.trials
	if w.Options.Serving {
		w.tellSitting(node, report, func(told []*schema.Trial) { trials.Granted(asked, told) })
		trials.Forget()
		return
	}
	w.deliver(&node.machine, &target.machine, func() {
		target.table.Tell(w.ageOf(target), report)
		told := target.table.Trials(w.ageOf(target))
		w.deliver(&target.machine, &node.machine, func() {
			if node.incarnation == report.Incarnation {
				trials.Granted(asked, told)
			}
		})
	})
	trials.Forget()
}

// hopAnswer is what comes back of a dispatch.
type hopAnswer struct {
	carried *schema.Carried
	err     error
}

// peerOf is how a proxy stands before another: it may speak for its own callers.
func (w *World) peerOf(node *proxyNode) link.Peer {
	speaks := map[string]bool{"client": true, "saves": true}
	return link.Local("proxy", node.name, speaks)
}

// claimer takes a key to the registries.
func (w *World) claimer(node *proxyNode, life int, now func() time.Duration) dispatch.Claimer {
	return func(ctx context.Context, claim *schema.Claim) (session.ClaimVerdict, *schema.Claim) {
		if w.plant == PlantNoClaims {
			return session.ClaimWon, nil
		}
		if !w.thawed(&node.machine, life) {
			return session.ClaimLost, nil
		}
		bound := session.ClaimBound(lease)
		bounded, cancel := context.WithTimeout(ctx, bound)
		defer cancel()
		answers := make(chan session.ClaimAnswer, seatCount)
		round := session.NewClaiming(claim, seatCount, now(), bound)
		for _, reg := range w.regs {
			sent := proto.Clone(claim).(*schema.Claim)
			w.deliverBy(w.own(fmt.Sprint(claim.Request, claim.Instance, claim.Drop, reg.name)), &node.machine, &reg.machine, func() {
				claimed := reg.claims.Take(w.ageOf(reg), sent)
				w.deliver(&reg.machine, &node.machine, func() { answers <- session.ClaimAnswer{Seat: reg.name, Claimed: claimed} })
			})
		}
		verdict, holder := round.Gather(bounded, seatCount, answers, now)
		// A proxy that was frozen meanwhile goes on when it thaws.
		if !w.thawed(&node.machine, life) {
			return session.ClaimLost, nil
		}
		return verdict, holder
	}
}
