package proxy

import (
	"context"
	"math/rand/v2"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/options"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/transport"
)

// retryCountArrivals is the value of the option "extra_counts" with which a retry counts against the retry budget only
// if the call has reached a worker. By default every attempt after the first one counts.
const retryCountArrivals = "arrivals"

// wireDispatch creates both sides of a call: the forwarder, which runs at the caller's proxy, and the runner, which runs
// at the worker's proxy. The order of creation matters, because each component uses earlier ones.
func (s *Server) wireDispatch() {
	opts := s.initialOptions
	mayCallAs := map[string]bool{}
	for caller := range options.SplitPairs(opts.Callers) {
		mayCallAs[caller] = true
	}
	s.localPeer = transport.LocalPeer("proxy", opts.Name, mayCallAs)
	s.workers = s.newWorkers()
	s.runner = s.newRunner()
	s.canaries = dispatch.NewCanaryGuard(
		canaryOptions(opts),
		s.currentFleetSize,
		func() dispatch.VersionGuards { return s.view().Config },
	)
	s.forwarder = s.newForwarder()
}

// currentFleetSize returns the number of proxies that share mesh-wide limits.
func (s *Server) currentFleetSize() int { return int(s.fleetSize.Load()) }

// newWorkers creates the table of local workers.
func (s *Server) newWorkers() *dispatch.Workers {
	opts := s.initialOptions
	return dispatch.NewWorkers(dispatch.WorkersOptions{
		Proxy:               opts.Name,
		Incarnation:         s.processIncarnation,
		Zone:                opts.Area,
		MaxMissedHeartbeats: opts.Silence,
		MaxWorkers:          maxLocalWorkers,
		MaxConns:            int(opts.Buffer),
		MaxBodyBytes:        int(opts.BodyMost),
		Now:                 s.now,
		Uplink:              s.uplink,
		NoLivenessConn:      s.extensions.workerIDHeartbeat > 0,
		DiscoveryGrace:      discoveryGraceHeartbeats * s.extensions.workerIDHeartbeat,
		Dial:                s.extensions.dialWorker,
	}, s.publishWorkers)
}

// newRunner creates the runner, which sends calls to local workers.
func (s *Server) newRunner() *dispatch.Runner {
	opts := s.initialOptions
	return dispatch.NewRunner(dispatch.Runner{
		Workers:     s.workers,
		Codec:       s.extensions.workerCodec,
		Outliers:    s.outliers,
		Disconnects: &s.disconnects,
		MaxOverrun:  s.leaseDuration / overrunDivisor,
		View:        s.view,
		HasLease:    s.servingGate.IsOpen,
		Now:         s.now,
		ServeStale:  s.servesStale(),
		AwaitConfig: func(ctx context.Context, revision uint64) {
			s.journal.Wait(ctx, func(state MeshState) bool { return state.config.Revision >= revision })
		},
		RevisionOutdated: func(revision uint64) bool {
			return !s.servesStale() && s.journal.View().Outdated(revision, s.now(), s.leaseDuration/renewalsPerLease)
		},
	}, int(opts.Remembered))
}

// newForwarder creates the forwarder, which plans the calls of local callers and sends them to the workers' proxies.
func (s *Server) newForwarder() *dispatch.Forwarder {
	opts := s.initialOptions
	forwarder := &dispatch.Forwarder{
		Name:        opts.Name,
		Incarnation: s.processIncarnation,
		Limits:      forwarderLimits(opts),
		View:        s.view,
		HasLease:    s.servingGate.IsOpen,
		Now:         s.now,
		Random:      rand.Float64,
		Outliers:    s.outliers,
		Canaries:    s.canaries,
		Counter:     s.callCounter,
		FleetSize:   s.currentFleetSize,
		AwaitView: func(ctx context.Context, ready func(*plan.View) bool) {
			s.journal.Wait(ctx, func(state MeshState) bool { return ready(state.view) })
		},
		AwaitLease:          s.servingGate.AwaitWithinGrace,
		Send:                s.sendAttempt,
		NoAttemptTimeout:    true,
		FreeProxyRejections: opts.ExtraCounts == retryCountArrivals,
		OnConfigLag:         s.leaveLaggingRegistry,
		ReserveKey:          s.reserveKey,
		KeyReleaseTimeout:   s.leaseDuration / keyReleaseTimeoutDivisor,
	}
	return forwarder.Init(int(opts.Remembered))
}
