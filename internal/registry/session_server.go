package registry

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// catchUpTimeoutDivisor is the fraction of a lease after which a registry that has just started shows its configuration even though
// the core has not confirmed which one is the newest.
const catchUpTimeoutDivisor = 2

// sessionServer pushes updates to subscribed proxies and registries: committed configuration, sources and core members. Its
// fields are set at the start and do not change.
type sessionServer struct {
	state *sharedState
	log   logr.Logger
}

func newSessionServer(state *sharedState, log logr.Logger) *sessionServer {
	return &sessionServer{state: state, log: log}
}

// runHeartbeats ticks until ctx ends. All sessions consider a heartbeat at the same tick, so that an idle registry wakes once for
// all of them.
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

// tickHeartbeat sweeps the fleet state and makes all sessions consider a heartbeat.
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

// serve serves one session of an authorized node until the stream ends: all that the node lacks first, then updates and
// heartbeats.
func (srv *sessionServer) serve(request *schema.SubscribeRequest, stream schema.DRPCRegistry_AttendStream) error {
	srv.open(request)
	// Only a session that open counted is closed: that of a registry, or of a proxy that only listens, has no source.
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

// open records what a subscription says of its node.
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

// push sends updates and heartbeats until the stream ends, or fails with the stream's error.
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

// awaitNextUpdate waits until a session has to look for an update again, and tells whether a heartbeat tick came meanwhile. ended
// tells that the stream ended first. The channels are those of the instant at which the update before was made.
func (srv *sessionServer) awaitNextUpdate(ctx context.Context, stateChanged, heartbeatTick <-chan struct{}) (onHeartbeat, ended bool) {
	select {
	case <-ctx.Done():
		return false, true
	case <-heartbeatTick:
		return true, false
	case <-stateChanged:
	}
	// Changes come in bursts: those of a moment are sent together.
	srv.state.waitLeaseFraction(ctx, batchDivisor)
	select {
	case <-heartbeatTick:
		return true, false
	default:
		return false, false
	}
}

// heartbeatDue tells, at a heartbeat tick, whether a session's node is due a heartbeat: whether at the next tick it would have
// waited longer, since something was last sent, than it was promised. A tick may be a little early or late, hence the tolerance. An
// update between two ticks does not put the heartbeat off by a whole interval, or the node would count this registry as unresponsive.
func heartbeatDue(sinceLastSend, promisedInterval, lease time.Duration) bool {
	untilNextTick := lease / session.HeartbeatsPerLease
	tolerance := lease / batchDivisor
	return sinceLastSend+untilNextTick > promisedInterval+tolerance
}

// sessionProgress is what a session's node has been sent. Only the session's goroutine uses it, and needs no lock for it.
type sessionProgress struct {
	cursor      *SessionCursor // for sources
	toRegistry  bool
	revision    uint64 // of the configuration
	members     []*schema.CoreMember
	liveProxies uint32 // the fleet's size, for proxies only
	started     bool   // the first update, which is sent even if it has nothing new, has been made
	lastSentAt  time.Duration
}

// nextUpdateLocked makes the update that a node lacks, and tells whether it is more than a heartbeat. The caller holds the lock
// and sends the update if hasContent is true, for progress counts it as sent.
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

// addConfigLocked adds the configuration changes that a proxy lacks, and how stale the configuration here may be. It tells
// whether the update has changes. The caller holds the lock.
func (srv *sessionServer) addConfigLocked(now time.Duration, update *schema.Update, progress *sessionProgress) bool {
	s := srv.state
	staleness, confirmed := s.fleetState.Staleness(now)
	update.StalenessNanos = int64(staleness)
	// Without StalenessKnown a proxy takes this registry for stale.
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

// servesConfigLocked tells whether this registry may show its configuration. One that has just started may hold an older
// configuration than it acknowledged in an earlier incarnation, so it finds out first which one is the newest, unless the core
// cannot tell. The caller holds the lock.
func (srv *sessionServer) servesConfigLocked(now time.Duration) bool {
	return srv.state.fleetState.caughtUp || now >= srv.state.config.lease/catchUpTimeoutDivisor
}
