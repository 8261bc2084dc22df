package registry

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// catchUpTimeoutDivisor sets how long after its start a registry withholds its configuration while the core has not
// confirmed the newest revision: a lease divided by catchUpTimeoutDivisor.
const catchUpTimeoutDivisor = 2

// sessionServer pushes updates to subscribed proxies and registries: committed configuration, sources and core members.
// Its fields do not change after construction.
type sessionServer struct {
	state *sharedState
	log   logr.Logger
}

func newSessionServer(state *sharedState, log logr.Logger) *sessionServer {
	return &sessionServer{state: state, log: log}
}

// runHeartbeats calls tickHeartbeat HeartbeatsPerLease times in each lease until ctx ends. All sessions share these
// ticks, so an idle registry wakes up once for all of them.
func (srv *sessionServer) runHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(srv.state.config.lease / session.HeartbeatsPerLease)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		srv.tickHeartbeat()
	}
}

// tickHeartbeat sweeps the fleet state and wakes all sessions to check whether a heartbeat is due.
func (srv *sessionServer) tickHeartbeat() {
	s := srv.state
	s.lock.Lock()
	defer s.lock.Unlock()
	before := s.fleetState.directory.lastSequence
	s.fleetState.sweep(s.now())
	if s.fleetState.directory.lastSequence != before {
		s.broadcastChangeLocked()
	}
	close(s.heartbeatTick)
	s.heartbeatTick = make(chan struct{})
}

// serve serves one session of an authorized node until the stream ends. It first sends everything that the node lacks,
// then updates and heartbeats.
func (srv *sessionServer) serve(request *schema.SubscribeRequest, stream schema.DRPCRegistry_AttendStream) error {
	srv.open(request)
	// Close only a session that open counted. Sessions of registries, and of proxies that send no source, are not
	// counted.
	if request.Tentative || request.Source != nil {
		srv.log.V(1).Info("proxy session opened", "proxy", request.Node)
		defer func() {
			srv.state.lock.Lock()
			srv.state.fleetState.CloseSession(srv.state.now(), request.Node)
			srv.state.lock.Unlock()
			srv.log.V(1).Info("proxy session closed", "proxy", request.Node)
		}()
	}
	return srv.push(request, stream)
}

// open records what a subscription reports about its node. It counts the session if it is provisional or has a source.
func (srv *sessionServer) open(request *schema.SubscribeRequest) {
	s := srv.state
	s.lock.Lock()
	defer s.lock.Unlock()
	s.compareLeaseLocked(request.Node, request.LeaseNanos)
	s.fleetState.ObserveVector(s.now(), request.Vector)
	changed := s.membership.observe(request.Member)
	switch {
	case request.Tentative:
		s.fleetState.OpenProvisionalSession(request.Node)
	case request.Source != nil:
		changed = s.fleetState.OpenSession(s.now(), request.Source) || changed
	}
	if changed {
		s.broadcastChangeLocked()
	}
}

// push sends updates and heartbeats until the stream ends. It returns the error of a failed send.
func (srv *sessionServer) push(request *schema.SubscribeRequest, stream schema.DRPCRegistry_AttendStream) error {
	s := srv.state
	ctx := stream.Context()
	progress := &sessionProgress{
		cursor:     NewSessionCursor(request.Node, request.GetMember().GetId(), request.Vector),
		toRegistry: request.Member != nil,
		revision:   request.Revision,
	}
	for onHeartbeat, ended := true, false; !ended; {
		s.lock.Lock()
		update, hasContent := srv.nextUpdateLocked(progress)
		stateChanged, heartbeatTick := s.stateChanged, s.heartbeatTick
		s.lock.Unlock()
		promisedInterval := time.Duration(request.HeartbeatNanos)
		if hasContent || onHeartbeat && heartbeatDue(s.now()-progress.lastSentAt, promisedInterval, s.config.lease) {
			if err := stream.Send(update); err != nil {
				return err
			}
			progress.lastSentAt = s.now()
		}
		onHeartbeat, ended = srv.awaitNextUpdate(ctx, stateChanged, heartbeatTick)
	}
	return nil
}

// awaitNextUpdate waits until a session has to check for an update again. onHeartbeat reports whether a heartbeat
// tick occurred; ended reports whether the stream ended first. The channels must have been read under the same hold
// of the lock under which the previous update was built.
func (srv *sessionServer) awaitNextUpdate(ctx context.Context, stateChanged, heartbeatTick <-chan struct{}) (onHeartbeat, ended bool) {
	select {
	case <-ctx.Done():
		return false, true
	case <-heartbeatTick:
		return true, false
	case <-stateChanged:
	}
	// Changes come in bursts, so collect them for a short time and send them together.
	srv.state.waitLeaseFraction(ctx, batchDivisor)
	select {
	case <-heartbeatTick:
		return true, false
	default:
		return false, false
	}
}

// heartbeatDue reports, at a heartbeat tick, whether a session must send a heartbeat now. It must if, at the next
// tick, the time since the last send would exceed the promised interval. The tolerance allows for early and late
// ticks. Without this rule, an update between two ticks would delay the next heartbeat by up to a whole interval, and
// the node would count this registry as unresponsive.
func heartbeatDue(sinceLastSend, promisedInterval, lease time.Duration) bool {
	untilNextTick := lease / session.HeartbeatsPerLease
	tolerance := lease / batchDivisor
	return sinceLastSend+untilNextTick > promisedInterval+tolerance
}

// sessionProgress records which updates were sent in one session. Only the session's goroutine uses it, so it needs no
// lock.
type sessionProgress struct {
	cursor      *SessionCursor       // position in the updates of sources
	toRegistry  bool                 // whether the node is a registry; otherwise it is a proxy
	revision    uint64               // revision of the configuration that the node has
	members     []*schema.CoreMember // core members that were sent last
	liveProxies uint32               // number of live proxies that was sent last; sent to proxies only
	started     bool                 // whether the first update was built, which is sent even if it has no content
	lastSentAt  time.Duration        // when an update or heartbeat was last sent; zero before the first
}

// nextUpdateLocked builds the update that a node lacks. hasContent reports whether it is more than a heartbeat; if
// so, the caller must send it, since progress already counts it as sent. The caller holds the lock.
func (srv *sessionServer) nextUpdateLocked(progress *sessionProgress) (update *schema.Update, hasContent bool) {
	s := srv.state
	now := s.now()
	update = &schema.Update{Sources: s.fleetState.NextUpdates(now, progress.cursor)}
	hasContent = srv.addConfigLocked(now, update, progress)
	if members := s.membership.reachable(); !sameMembers(members, progress.members) {
		progress.members = members
		update.CoreMembers = members
		hasContent = true
	}
	if progress.toRegistry {
		update.Reachable = s.fleetState.ReachableRegistries(now)
	}
	if liveProxies := uint32(s.fleetState.LiveProxies(now)); !progress.toRegistry && liveProxies != progress.liveProxies {
		progress.liveProxies = liveProxies
		update.FleetSize = liveProxies
		hasContent = true
	}
	hasContent = hasContent || !progress.started || len(update.Sources) > 0
	progress.started = true
	return update, hasContent
}

// addConfigLocked adds the staleness of this registry's configuration to an update and, for a proxy, the configuration
// changes that it lacks. It reports whether it added changes. The caller holds the lock.
func (srv *sessionServer) addConfigLocked(now time.Duration, update *schema.Update, progress *sessionProgress) bool {
	s := srv.state
	staleness, confirmed := s.fleetState.Staleness(now)
	update.StalenessNanos = int64(staleness)
	// If StalenessKnown is not set, a proxy treats this registry as stale.
	if !srv.servesConfigLocked(now) {
		return false
	}
	update.StalenessKnown = confirmed
	update.Revision = s.fleetState.committedRevision
	if progress.toRegistry || update.Revision <= progress.revision {
		return false
	}
	update.Items, update.Complete = s.configCache.changesAfter(progress.revision)
	progress.revision = update.Revision
	return true
}

// servesConfigLocked reports whether this registry may send its configuration. Right after a restart it may have an
// older configuration than it acknowledged before, so it first catches up with the newest revision. If the core
// cannot confirm that revision, it serves what it has after the time of catchUpTimeoutDivisor. The caller holds the
// lock.
func (srv *sessionServer) servesConfigLocked(now time.Duration) bool {
	return srv.state.fleetState.caughtUp || now >= srv.state.config.lease/catchUpTimeoutDivisor
}
