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

// Options of the simulated proxies.
const (
	maxDeadline           = 10 * time.Second
	retryRatio            = fakebackend.RetryBudgetRatio
	retryFloor            = fakebackend.RetryBudgetFloor
	dialTimeout           = leaseDuration / 16
	maxRememberedRequests = 1 << 14
	initialFleetSize      = 64 // fleet size that a proxy assumes until it learns the real one, in proxies
)

// proxyNode is one proxy. startProxy sets most fields anew for each run of the process. Events read and write them.
// Goroutines use only the atomic fields and values that are safe for concurrent use.
type proxyNode struct {
	process
	index          int           // position in World.proxies; determines the zone
	incarnation    uint64        // incarnation of the proxy's source in the service directory
	startedAt      time.Duration // virtual time at which the current run began
	leaseGate      *session.LeaseGate
	fleetEstimate  *session.FleetSize
	fleetSize      atomic.Int64 // latest estimate of fleetEstimate, in proxies
	journal        *journal.Journal[proxy.Event, proxy.MeshState]
	workers        *dispatch.Workers
	runner         *dispatch.Runner
	forwarder      *dispatch.Forwarder
	canaries       *dispatch.CanaryGuard
	callCounter    *dispatch.CallCounter
	outliers       *dispatch.OutlierDetector
	sourceCounter  uint64       // number of versions of the proxy's source that this run has published
	feedIndex      int          // index of the registry that feeds this proxy, modulo the number of registries
	lagging        atomic.Bool  // a call found that this proxy's configuration lags behind another proxy's
	acceptsCallers atomic.Bool  // the proxy has been able to decide calls in this run
	draining       atomic.Bool  // the proxy is shutting down and admits no new callers
	conns          *connections // connections to the proxy's workers

	// The fields below are used only with Options.ServeStale.
	selector          *session.RegistrySelector
	subscriptions     map[string]*subscription // sessions with registries, by name of the registry
	reportedFleetSize int64                    // last fleet size in an update from a registry; 0 before the first
	reportPending     bool                     // the registry has not replied to the last report of workers
	reportedAt        time.Duration            // virtual time of the last report of workers
}

// proxyRuntime holds what the parts of a proxy share in one run. Its fields never change, so a closure that outlives a
// crash keeps the journal and the lease gate of its own run.
type proxyRuntime struct {
	world       *World
	node        *proxyNode
	name        string
	incarnation uint64 // incarnation at the start of the run
	processRun  int
	now         func() time.Duration // local time since the start of the run
	journal     *journal.Journal[proxy.Event, proxy.MeshState]
	leaseGate   *session.LeaseGate
	conns       *connections
}

// zoneOf returns the zone of the proxy or member with an index.
func (w *World) zoneOf(index int) string { return fmt.Sprint("area-", index%3) }

// startProxy begins a run of a proxy and assembles its components as the daemon does.
func (w *World) startProxy(node *proxyNode) {
	w.startProcess(&node.process)
	run := w.newProxyRuntime(node)
	node.canaries = run.newCanaryGuard()
	node.callCounter = dispatch.NewCallCounter(512)
	node.outliers = dispatch.NewOutlierDetector(5, 5*time.Second)
	node.workers = run.newWorkers()
	node.runner = run.newRunner()
	node.forwarder = run.newForwarder()
	if w.Options.ServeStale {
		w.startProxySubscriptions(node)
	} else {
		w.startProxyLeases(node)
	}
	w.scheduleEvery(&node.process, w.registryLease()/(4*session.RenewalsPerLease), func() {
		if _, hasEvaluated := release.EvaluatedServices(run.view().Config); hasEvaluated {
			w.sendReport(node, false)
		}
	})
	w.scheduleEvery(&node.process, pollInterval, func() {
		// Callers are admitted once the proxy can decide calls.
		if run.hasLease() || w.seededFault == SeededAdmitsBeforeLease {
			node.acceptsCallers.Store(true)
		}
	})
}

// newProxyRuntime resets the state of a proxy for a new run and returns the shared parts.
func (w *World) newProxyRuntime(node *proxyNode) *proxyRuntime {
	node.incarnation = uint64(w.nextID())
	node.startedAt = w.now
	node.sourceCounter = 0
	startedAt, clock := node.startedAt, node.clock
	now := func() time.Duration { return clock.at(w.time()) - clock.at(startedAt) }
	node.acceptsCallers.Store(false)
	node.draining.Store(false)
	node.lagging.Store(false)
	node.conns = &connections{}
	node.leaseGate = session.NewLeaseGate(leaseDuration, now)
	node.fleetEstimate = session.NewFleetSize(initialFleetSize, leaseDuration)
	node.fleetSize.Store(initialFleetSize)
	node.journal = journal.New(proxy.EmptyMeshState(), 8, proxy.Fold)
	return &proxyRuntime{
		world:       w,
		node:        node,
		name:        node.name,
		incarnation: node.incarnation,
		processRun:  node.processRun,
		now:         now,
		journal:     node.journal,
		leaseGate:   node.leaseGate,
		conns:       node.conns,
	}
}

// startProxyLeases starts the periodic tasks of a proxy that decides calls under leases.
func (w *World) startProxyLeases(node *proxyNode) {
	const interval = leaseDuration / session.RenewalsPerLease
	for i := range w.registries {
		w.scheduleEvery(&node.process, interval, func() { w.renewLease(node, i, 0, nil) })
	}
	w.startFeed(node)
	w.scheduleEvery(&node.process, interval, func() { w.sendReport(node, true) })
}

// view returns the view that the proxy plans calls by now.
func (r *proxyRuntime) view() *plan.View { return r.journal.View().View() }

// hasLease reports whether the proxy may decide calls. It needs a lease or, with Options.ServeStale, any
// configuration.
func (r *proxyRuntime) hasLease() bool {
	w := r.world
	hasConfig := r.journal.View().ConfigRevision() > 0
	switch {
	case w.Options.ServeStale:
		return hasConfig
	case w.seededFault == SeededLeaseNeverExpires && r.leaseGate.ExpiresAt() > 0,
		w.seededFault == SeededAdmitsBeforeLease && hasConfig:
		return true
	}
	return r.leaseGate.IsOpen()
}

// fleetSize returns the proxy's estimate of the number of proxies in the fleet.
func (r *proxyRuntime) fleetSize() int { return int(r.node.fleetSize.Load()) }

// newCanaryGuard returns the guard that limits the calls to versions in canary.
func (r *proxyRuntime) newCanaryGuard() *dispatch.CanaryGuard {
	options := dispatch.DefaultCanaryOptions
	if r.world.seededFault == SeededFailuresIgnored {
		options.MaxFailures = 1 << 40
	}
	// Where rollout control bounds the exposure, the proxies must let through enough failures for it to see.
	if r.world.Options.BoundExposure {
		options.MaxFailures = orderMaxFailures
	}
	return dispatch.NewCanaryGuard(options, r.fleetSize, func() dispatch.VersionGuards { return r.view().Config })
}

// newWorkers returns the table of the workers that register with the proxy.
func (r *proxyRuntime) newWorkers() *dispatch.Workers {
	options := dispatch.WorkersOptions{
		Proxy:               r.name,
		Incarnation:         r.incarnation,
		Zone:                r.world.zoneOf(r.node.index),
		MaxMissedHeartbeats: 3,
		MaxWorkers:          64,
		MaxConns:            256,
		MaxBodyBytes:        1 << 16,
		Now:                 r.now,
		Dial:                func(address string) (net.Conn, error) { return r.world.dial(address, r.conns) },
	}
	return dispatch.NewWorkers(options, func() { r.world.onWorkersChanged(r.node, r.processRun) })
}

// newRunner returns the runner, which runs forwarded requests at the proxy's workers.
func (r *proxyRuntime) newRunner() *dispatch.Runner {
	remembered := maxRememberedRequests
	if r.world.seededFault == SeededNoDuplicateDetection {
		remembered = 1
	}
	return dispatch.NewRunner(dispatch.Runner{
		Workers:          r.node.workers,
		Outliers:         r.node.outliers,
		View:             r.view,
		HasLease:         r.hasLease,
		Now:              r.now,
		MaxOverrun:       leaseDuration / 16,
		AwaitConfig:      r.awaitConfig,
		RevisionOutdated: r.revisionOutdated,
	}, remembered)
}

// awaitConfig waits until the proxy has a configuration of at least the given revision, or ctx ends. With
// Options.ServeStale it does not wait.
func (r *proxyRuntime) awaitConfig(ctx context.Context, revision uint64) {
	if r.journal.View().ConfigRevision() < revision && !r.world.Options.ServeStale {
		r.journal.Wait(ctx, func(state proxy.MeshState) bool { return state.ConfigRevision() >= revision })
		r.world.stagger(ctx)
	}
}

// revisionOutdated reports whether a revision was replaced at this proxy longer ago than another proxy may lag behind.
// With Options.ServeStale none is, as there is no bound.
func (r *proxyRuntime) revisionOutdated(revision uint64) bool {
	return !r.world.Options.ServeStale &&
		r.journal.View().Outdated(revision, r.now(), leaseDuration/session.RenewalsPerLease)
}

// newForwarder returns the forwarder, which plans the calls of the proxy's callers and sends their attempts.
func (r *proxyRuntime) newForwarder() *dispatch.Forwarder {
	w, node := r.world, r.node
	floor := w.Options.RetryFloor
	if w.seededFault == SeededNoRetryBudget {
		floor = 1e9
	}
	forwarder := &dispatch.Forwarder{
		Name:        r.name,
		Incarnation: r.incarnation,
		Limits: dispatch.Limits{
			PlanOptions: plan.Options{Zone: w.zoneOf(node.index), MaxDeadline: maxDeadline, Warmup: 5 * time.Second},
			RetryRatio:  retryRatio,
			RetryFloor:  floor,
		},
		View:              r.view,
		AwaitView:         r.awaitView,
		AwaitLease:        r.awaitLease,
		OnConfigLag:       func() { node.lagging.Store(true) },
		HasLease:          r.hasLease,
		FleetSize:         r.fleetSize,
		Now:               r.now,
		Random:            func() float64 { return w.derivedRandom(r.name).Float64() },
		Send:              w.attemptSender(node, r.processRun),
		Outliers:          node.outliers,
		NoAttemptTimeout:  w.Options.CallerCancelRate > 0,
		Canaries:          node.canaries,
		Counter:           node.callCounter,
		ReserveKey:        w.keyReserver(node, r.processRun, r.now),
		KeyReleaseTimeout: leaseDuration / 64,
	}
	return forwarder.Init(maxRememberedRequests)
}

// awaitView waits until the view fulfills a condition, or ctx ends.
func (r *proxyRuntime) awaitView(ctx context.Context, ready func(*plan.View) bool) {
	r.journal.Wait(ctx, func(state proxy.MeshState) bool { return ready(state.View()) })
	r.world.stagger(ctx)
}

// awaitLease waits for a lease within the grace period and reports whether the proxy may decide. With
// Options.ServeStale there is no lease to wait for.
func (r *proxyRuntime) awaitLease(ctx context.Context) bool {
	if r.hasLease() {
		return true
	}
	if r.world.Options.ServeStale {
		return false
	}
	defer r.world.stagger(ctx)
	return r.leaseGate.AwaitWithinGrace(ctx)
}

// proxyNamed returns the proxy with a name, or nil.
func (w *World) proxyNamed(name string) *proxyNode {
	for _, node := range w.proxies {
		if node.name == name {
			return node
		}
	}
	return nil
}

// localTime converts virtual time to the proxy's local time since the start of its run.
func (node *proxyNode) localTime(now time.Duration) time.Duration {
	return node.clock.at(now) - node.clock.at(node.startedAt)
}

// stopProxy crashes a proxy. Its connections break; its workers go on.
func (w *World) stopProxy(node *proxyNode) {
	w.History.collectDisconnects(node)
	w.stopProcess(&node.process)
	node.acceptsCallers.Store(false)
	node.conns.close()
}

// killProxies crashes those of the given proxies that are up, and returns a function that starts them again. Their
// workers go on.
func (w *World) killProxies(nodes []*proxyNode) (restart func()) {
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

// drawHalfOfProxies draws each proxy with probability one half.
func (w *World) drawHalfOfProxies() []*proxyNode {
	var half []*proxyNode
	for _, node := range w.proxies {
		if w.randomInt(2) == 0 {
			half = append(half, node)
		}
	}
	return half
}

// restartGracefully shuts a proxy down as SIGTERM does and starts it again. The proxy reports its workers as
// draining. A second later it admits no new callers. Three seconds later, when the calls in flight have ended, the
// process exits. It does nothing if the proxy is down or another graceful restart is not complete.
func (w *World) restartGracefully(node *proxyNode) {
	// Only one proxy restarts at a time: the previous one must be back and admit callers.
	isLastRestarting := w.lastRestarted != nil &&
		(w.lastRestarted.processRun == w.lastRestartedRun || !w.lastRestarted.acceptsCallers.Load())
	if !node.up || isLastRestarting {
		return
	}
	processRun := node.processRun
	w.lastRestarted = node
	w.lastRestartedRun = processRun
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
