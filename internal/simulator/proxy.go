package simulator

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/fakebackend"
	"meadowhinge/internal/journal"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/proxy"
	"meadowhinge/internal/release"
	"meadowhinge/internal/session"
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
	node.incarnation = uint64(w.nextID())
	node.startedAt = w.now
	node.sourceCounter = 0
	processRun, startedAt, clock, name := node.processRun, node.startedAt, node.clock, node.name
	now := func() time.Duration { return clock.at(w.time()) - clock.at(startedAt) }
	node.acceptsCallers.Store(false)
	node.draining.Store(false)
	node.lagging.Store(false)
	node.conns = &connections{}
	leaseGate := session.NewLeaseGate(leaseDuration, now)
	node.leaseGate = leaseGate
	node.fleetEstimate = session.NewFleetSize(64, leaseDuration)
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
	node.canaries = dispatch.NewCanaryGuard(canaryOptions, func() int { return int(node.fleetSize.Load()) },
		func() dispatch.VersionGuards { return view().Config })
	node.callCounter = dispatch.NewCallCounter(512)
	node.outliers = dispatch.NewOutlierDetector(5, 5*time.Second)
	conns := node.conns
	node.workers = dispatch.NewWorkers(dispatch.WorkersOptions{
		Proxy:               name,
		Incarnation:         node.incarnation,
		Zone:                w.zoneOf(node.index),
		MaxMissedHeartbeats: 3,
		MaxWorkers:          64,
		MaxConns:            256,

		MaxBodyBytes: 1 << 16,
		Now:          now,
		Dial:         func(address string) (net.Conn, error) { return w.dial(address, conns) },
	}, func() { w.onWorkersChanged(node, processRun) })
	node.runner = dispatch.NewRunner(dispatch.Runner{
		Workers:    node.workers,
		Outliers:   node.outliers,
		View:       view,
		HasLease:   hasLease,
		Now:        now,
		MaxOverrun: leaseDuration / 16,

		AwaitConfig: func(ctx context.Context, sequence uint64) {
			if proxyJournal.View().ConfigRevision() < sequence && !w.Options.ServeStale {
				proxyJournal.Wait(ctx, func(picture proxy.MeshState) bool { return picture.ConfigRevision() >= sequence })
				w.stagger(ctx)
			}
		},

		RevisionOutdated: func(sequence uint64) bool {
			return !w.Options.ServeStale && proxyJournal.View().Outdated(sequence, now(), leaseDuration/session.RenewalsPerLease)
		},
	}, map[bool]int{true: 1, false: maxRememberedRequests}[w.seededFault == SeededNoDuplicateDetection])
	floor := w.Options.RetryFloor
	if w.seededFault == SeededNoRetryBudget {
		floor = 1e9
	}
	node.forwarder = (&dispatch.Forwarder{Name: name, Incarnation: node.incarnation,
		Limits: dispatch.Limits{
			PlanOptions: plan.Options{Zone: w.zoneOf(node.index), MaxDeadline: maxDeadline, Warmup: 5 * time.Second},
			RetryRatio:  retryRatio,
			RetryFloor:  floor,
		}, View: view,
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
		NoAttemptTimeout: w.Options.CallerCancelRate > 0, Canaries: node.canaries, Counter: node.callCounter, ReserveKey: w.keyReserver(node,
			processRun, now), KeyReleaseTimeout: leaseDuration / 64}).Init(maxRememberedRequests)
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

// killProxies ends proxies at once; what gives back starts them again. Their workers stay.
func (w *World) killProxies(nodes []*proxyNode) func() {
	var killed []*proxyNode
	for _, node := range nodes {
		if node.up {
			w.stopProxy(node)
			killed = append(killed, node)
		}
	}
	return func() {
		for _, node := range killed {
			w.startProxy(node)
		}
	}
}

// restartGracefully ends a proxy as SIGTERM does: its workers are told as leaving, callers are turned to
// other proxies, what is under way ends, and then it starts anew.
func (w *World) restartGracefully(node *proxyNode) {
	// Machines are stopped in turn: the next one goes when the last is back.
	if !node.up || w.lastRestarted != nil && (w.lastRestarted.processRun == w.lastRestartedRun || !w.lastRestarted.acceptsCallers.Load()) {
		return
	}
	processRun := node.processRun
	w.lastRestarted, w.lastRestartedRun = node, processRun
	node.workers.DrainAll()
	w.scheduleOn(&node.process, time.Second, func() {
		node.draining.Store(true)
		w.scheduleOn(&node.process, 3*time.Second, func() {
			if node.processRun == processRun {
				w.stopProxy(node)
				w.schedule(w.randomDuration(time.Second), func() { w.startProxy(node) })
			}
		})
	})
}
