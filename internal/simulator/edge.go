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
	maxDeadline           = 10 * time.Second
	retryRatio            = fakebackend.RetryBudgetRatio
	retryFloor            = fakebackend.RetryBudgetFloor
	dialTimeout           = leaseDuration / 16
	maxRememberedRequests = 1 << 14
)

type proxyNode struct {
	process
	index          int
	incarnation    uint64
	startedAt      time.Duration
	leaseGate      *session.LeaseGate
	fleetEstimate  *session.FleetSize
	fleetSize      atomic.Int64
	journal        *journal.Journal[proxy.Event, proxy.MeshState]
	workers        *dispatch.Workers
	runner         *dispatch.Runner
	forwarder      *dispatch.Forwarder
	canaries       *dispatch.CanaryGuard
	callCounter    *dispatch.CallCounter
	outliers       *dispatch.OutlierDetector
	sourceCounter  uint64
	feedIndex      int
	lagging        atomic.Bool
	acceptsCallers atomic.Bool // callers are let in
	draining       atomic.Bool // it is ending, and takes no new callers
	conns          *connections

	// of a serving world
	selector          *session.RegistrySelector
	subscriptions     map[string]*subscription
	reportedFleetSize int64
	reportPending     bool
	reportedAt        time.Duration
}

func (w *World) zoneOf(index int) string { return fmt.Sprint("area-", index%3) }

// startProxy begins a proxy's life, as its daemon's assembly does.
func (w *World) startProxy(node *proxyNode) {
	w.startProcess(&node.process)
	node.incarnation, node.startedAt, node.sourceCounter = uint64(w.nextID()), w.now, 0
	processRun, startedAt, clock, name := node.processRun, node.startedAt, node.clock, node.name
	now := func() time.Duration { return clock.at(w.time()) - clock.at(startedAt) }
	node.acceptsCallers.Store(false)
	node.draining.Store(false)
	node.lagging.Store(false)
	node.conns = &connections{}
	leaseGate := session.NewLeaseGate(leaseDuration, now)
	node.leaseGate, node.fleetEstimate = leaseGate, session.NewFleetSize(64, leaseDuration)
	node.fleetSize.Store(64)
	proxyJournal := journal.New(proxy.EmptyMeshState(), 8, proxy.Fold)
	node.journal = proxyJournal
	view := func() *plan.View { return proxyJournal.View().View() }
	hasLease := func() bool {
		switch {
		case w.Options.ServeStale:
			return proxyJournal.View().ConfigRevision() > 0
		case w.seededFault == SeededEternalLease && leaseGate.ExpiresAt() > 0, w.seededFault == SeededDecidesBeforeLease && proxyJournal.View().ConfigRevision() > 0:
			return true
		}
		return leaseGate.Open()
	}
	canaryOptions := dispatch.DefaultCanaryOptions
	if w.seededFault == SeededFailuresIgnored {
		canaryOptions.MaxFailures = 1 << 40
	}
	// Where the duty keeps the bound, proxies do not take the evidence from it.
	if w.Options.BoundExposure {
		canaryOptions.MaxFailures = orderMaxFailures
	}
	node.canaries = dispatch.NewCanaryGuard(canaryOptions, func() int { return int(node.fleetSize.Load()) }, func() dispatch.VersionGuards { return view().Config })
	node.callCounter = dispatch.NewCallCounter(512)
	node.outliers = dispatch.NewOutlierDetector(5, 5*time.Second)
	conns := node.conns
	node.workers = dispatch.NewWorkers(dispatch.WorkersOptions{Proxy: name, Incarnation: node.incarnation, Zone: w.zoneOf(node.index), MaxMissedHeartbeats: 3, MaxWorkers: 64, MaxConns: 256,
		MaxBodyBytes: 1 << 16, Now: now, Dial: func(address string) (net.Conn, error) { return w.dial(address, conns) }}, func() { w.onWorkersChanged(node, processRun) })
	node.runner = dispatch.NewRunner(dispatch.Runner{Workers: node.workers, Outliers: node.outliers, View: view, HasLease: hasLease, Now: now, MaxOverrun: leaseDuration / 16,
		AwaitConfig: func(ctx context.Context, sequence uint64) {
			if proxyJournal.View().ConfigRevision() < sequence && !w.Options.ServeStale {
				proxyJournal.Wait(ctx, func(picture proxy.MeshState) bool { return picture.ConfigRevision() >= sequence })
				w.stagger(ctx)
			}
		},
		RevisionOutdated: func(sequence uint64) bool {
			return !w.Options.ServeStale && proxyJournal.View().Outdated(sequence, now(), leaseDuration/session.RenewalsPerLease)
		}}, map[bool]int{true: 1, false: maxRememberedRequests}[w.seededFault == SeededNoDuplicateDetection])
	floor := w.Options.RetryFloor
	if w.seededFault == SeededNoRetryBudget {
		floor = 1e9
	}
	node.forwarder = (&dispatch.Forwarder{Name: name, Incarnation: node.incarnation,
		Limits: dispatch.Limits{PlanOptions: plan.Options{Zone: w.zoneOf(node.index), MaxDeadline: maxDeadline, Warmup: 5 * time.Second}, RetryRatio: retryRatio, RetryFloor: floor}, View: view,
		AwaitView: func(ctx context.Context, ready func(*plan.View) bool) {
			proxyJournal.Wait(ctx, func(picture proxy.MeshState) bool { return ready(picture.View()) })
			w.stagger(ctx)
		},
		AwaitLease: func(ctx context.Context) bool {
			if hasLease() {
				return true
			}
			if w.Options.ServeStale {
				return false
			}
			defer w.stagger(ctx)
			return leaseGate.Await(ctx)
		}, OnConfigLag: func() { node.lagging.Store(true) },
		HasLease: hasLease, FleetSize: func() int { return int(node.fleetSize.Load()) }, Now: now, Random: func() float64 { return w.derivedRandom(name).Float64() }, Send: w.attemptSender(node, processRun), Outliers: node.outliers,
		NoAttemptTimeout: w.Options.CallerCancelRate > 0, Canaries: node.canaries, Counter: node.callCounter, ReserveKey: w.keyReserver(node, processRun, now), KeyReleaseTimeout: leaseDuration / 64}).Init(maxRememberedRequests)
	if w.Options.ServeStale {
		w.startProxySubscriptions(node)
	} else {
		for i := range w.registries {
			w.scheduleEvery(&node.process, leaseDuration/session.RenewalsPerLease, func() { w.renewLease(node, i, 0, nil) })
		}
		w.startFeed(node)
		w.scheduleEvery(&node.process, leaseDuration/session.RenewalsPerLease, func() { w.sendReport(node, true) })
	}
	w.scheduleEvery(&node.process, w.registryLease()/(4*session.RenewalsPerLease), func() {
		if _, any := release.JudgedServices(view().Config); any {
			w.sendReport(node, false)
		}
	})
	w.scheduleEvery(&node.process, pollInterval, func() {
		// Callers are let in once the proxy can decide.
		if hasLease() || w.seededFault == SeededDecidesBeforeLease {
			node.acceptsCallers.Store(true)
		}
	})
}

// localTime is a proxy's own time since it started.
func (node *proxyNode) localTime(now time.Duration) time.Duration {
	return node.clock.at(now) - node.clock.at(node.startedAt)
}

func (w *World) stopProxy(node *proxyNode) {
	w.History.collectDisconnects(node)
	w.stopProcess(&node.process)
	node.acceptsCallers.Store(false)
	node.conns.close()
}

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
	request := &schema.LeaseRequest{Proxy: node.name, Incarnation: node.incarnation, Applied: applied, Received: received, LeaseNanos: int64(leaseDuration)}
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

// nextSource is what a proxy tells of itself, under a new stamp each time.
func (node *proxyNode) nextSource(zone string) *schema.Source {
	node.sourceCounter++
	return &schema.Source{Name: node.name, Version: &schema.SourceVersion{Incarnation: node.incarnation, Counter: node.sourceCounter}, Address: node.name, Zone: zone, Workers: node.workers.List()}
}

// onWorkersChanged lets the mesh know, this proxy first. It may be called by a goroutine, as when
// a worker's connection ends, so it is done as an event.
func (w *World) onWorkersChanged(node *proxyNode, processRun int) {
	w.schedule(0, func() {
		if node.up && node.processRun == processRun {
			w.scheduleOn(&node.process, 0, func() { w.sendReport(node, true) })
		}
	})
}

// sendReport reports counts, and with whole the proxy's workers too.
func (w *World) sendReport(node *proxyNode, withSource bool) {
	report := &schema.ProxyReport{Proxy: node.name, Incarnation: node.incarnation}
	if withSource {
		node.workers.DropUnresponsive()
		report.Source = node.nextSource(w.zoneOf(node.index))
		event := proxy.Event{At: node.localTime(w.now), Sources: []*schema.Source{report.Source}}
		if !w.Options.ServeStale {
			event.SourceTimeout = leaseDuration / 4
		}
		picture := node.journal.Append(event)
		node.outliers.Retain(picture.KnownWorkers())
	}
	snapshot := node.journal.View().View().Config
	guarded, _ := release.JudgedServices(snapshot)
	report.WorkCounts, report.Applied = node.runner.WorkCounts.Report(guarded), snapshot.Revision
	if withSource {
		for _, count := range node.callCounter.Counts(snapshot.Revision) {
			report.Counts = append(report.Counts, proto.Clone(count).(*schema.VerdictCount))
		}
	}
	sentAt := node.localTime(w.now)
	target := w.registries[node.feedIndex%len(w.registries)]
	canaries := node.canaries
	if w.Options.ServeStale {
		w.sendHomeReport(node, report, func(grants []*schema.Canary) { canaries.ApplyGrants(sentAt, grants) })
		canaries.ForgetUnguarded()
		return
	}
	w.send(&node.process, &target.process, func() {
		target.table.ApplyReport(w.uptime(target), report)
		grants := target.table.CanaryGrants(w.uptime(target))
		w.send(&target.process, &node.process, func() {
			if node.incarnation == report.Incarnation {
				canaries.ApplyGrants(sentAt, grants)
			}
		})
	})
	canaries.ForgetUnguarded()
}

// forwardResult is what comes back of a dispatch.
type forwardResult struct {
	response *schema.ForwardResponse
	err      error
}

// peerOf is how a proxy stands before another: it may speak for its own callers.
func (w *World) peerOf(node *proxyNode) transport.Peer {
	callers := map[string]bool{"client": true, "saves": true}
	return transport.LocalPeer("proxy", node.name, callers)
}

// keyReserver takes a key to the registries.
func (w *World) keyReserver(node *proxyNode, processRun int, now func() time.Duration) dispatch.KeyReserver {
	return func(ctx context.Context, reservation *schema.KeyReservation) (session.ReservationOutcome, *schema.KeyReservation) {
		if w.seededFault == SeededNoKeyReservation {
			return session.ReservationGranted, nil
		}
		if !w.awaitThaw(&node.process, processRun) {
			return session.ReservationNoMajority, nil
		}
		timeout := session.ReservationRoundTimeout(leaseDuration)
		boundedCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		replies := make(chan session.ReservationAnswer, memberCount)
		reservationRound := session.NewReservationRound(reservation, memberCount, now(), timeout)
		for _, registryNode := range w.registries {
			request := proto.Clone(reservation).(*schema.KeyReservation)
			w.sendWith(w.derivedRandom(fmt.Sprint(reservation.Request, reservation.Instance, reservation.Release, registryNode.name)), &node.process, &registryNode.process, func() {
				reply := registryNode.reservations.Apply(w.uptime(registryNode), request)
				w.send(&registryNode.process, &node.process, func() { replies <- session.ReservationAnswer{MemberID: registryNode.name, Response: reply} })
			})
		}
		verdict, holder := reservationRound.AwaitOutcome(boundedCtx, memberCount, replies, now)
		// A proxy that was frozen meanwhile goes on when it thaws.
		if !w.awaitThaw(&node.process, processRun) {
			return session.ReservationNoMajority, nil
		}
		return verdict, holder
	}
}
