package registry

import (
	"context"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// Ratios to the lease.
const (
	peerHeartbeatTicks = 4 // beats of a session between registries: bytes between zones are dear
	startupHoldDivisor = 2 // how long a registry that has just started may keep its setup to itself
)

// runHeartbeats lets all sessions send their signs of life in one go, so that an idle registry wakes once
// for all of them, and has a look at the roster.
func (s *Server) runHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(s.leaseDuration / session.HeartbeatsPerLease)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.lock.Lock()
		before := s.fleetState.directory.lastSequence
		s.fleetState.sweep(s.now())
		if s.fleetState.directory.lastSequence != before {
			s.broadcastChange()
		}
		close(s.heartbeatTick)
		s.heartbeatTick = make(chan struct{})
		s.lock.Unlock()
	}
}

// Attend serves a session: what the node lacks at first, then whatever is new.
func (s *Server) Attend(request *schema.SubscribeRequest, stream schema.DRPCRegistry_AttendStream) error {
	ctx := stream.Context()
	fromRegistry := request.Member != nil
	if fromRegistry {
		if err := s.requireRegistry(ctx); err != nil {
			return err
		}
	} else if err := s.requireProxy(ctx, request.Node); err != nil {
		return err
	}
	if (request.Source != nil && request.Source.Name != request.Node) || (request.Tentative && fromRegistry) {
		return errs.New(errs.Unauthorized, request.Node)
	}
	s.lock.Lock()
	s.fleetState.CompareSetting(request.Node, "lease", time.Duration(request.LeaseNanos).String(), s.leaseDuration.String(), request.LeaseNanos != 0)
	s.fleetState.ObserveVector(s.now(), request.Vector)
	stateChanged := s.observeMember(request.Member)
	switch {
	case request.Tentative:
		s.fleetState.OpenProvisionalSession(request.Node)
	case request.Source != nil:
		stateChanged = s.fleetState.OpenSession(s.now(), request.Source) || stateChanged
	}
	if stateChanged {
		s.broadcastChange()
	}
	s.lock.Unlock()
	if request.Tentative || request.Source != nil {
		s.log.V(1).Info("session begins", "proxy", request.Node)
		defer func() {
			s.lock.Lock()
			s.fleetState.CloseSession(s.now(), request.Node)
			s.lock.Unlock()
			s.log.V(1).Info("session ends", "proxy", request.Node)
		}()
	}
	progress := &sessionProgress{cursor: NewSessionCursor(request.Node, request.GetMember().GetId(), request.Vector), toRegistry: fromRegistry, revision: request.Revision}
	for onHeartbeat := true; ; {
		s.lock.Lock()
		update, hasContent := s.nextUpdate(progress)
		stateChanged, heartbeatTick := s.stateChanged, s.heartbeatTick
		s.lock.Unlock()
		if hasContent || onHeartbeat && heartbeatDue(s.now()-progress.lastSentAt, time.Duration(request.HeartbeatNanos), s.leaseDuration) {
			if err := stream.Send(update); err != nil {
				return err
			}
			progress.lastSentAt = s.now()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-heartbeatTick:
			onHeartbeat = true
			continue
		case <-stateChanged:
		}
		// News come in flocks: those of a moment are sent together.
		s.waitLeaseFraction(ctx, batchDivisor)
		select {
		case <-heartbeatTick:
			onHeartbeat = true
		default:
			onHeartbeat = false
		}
	}
}

// heartbeatDue tells, at a beat, whether a session's node that was told something so long ago is owed a sign
// of life now: by the next beat it would have waited for longer than it was promised. News between
// two beats must not put the next sign off, or whoever hears it would take this registry for silent.
func heartbeatDue(sinceLastSend, promisedInterval, leaseDuration time.Duration) bool {
	return sinceLastSend+leaseDuration/session.HeartbeatsPerLease > promisedInterval+leaseDuration/batchDivisor
}

// sessionProgress is what a session's node has been told.
type sessionProgress struct {
	cursor      *SessionCursor
	toRegistry  bool
	revision    uint64
	members     []*schema.CoreMember
	liveProxies uint32
	started     bool
	lastSentAt  time.Duration
}

// nextUpdate makes what a node is to be told now, and tells whether it is worth more than a sign of
// life; the caller holds the lock.
func (s *Server) nextUpdate(progress *sessionProgress) (update *schema.Update, hasContent bool) {
	now := s.now()
	update = &schema.Update{Sources: s.fleetState.NextUpdates(now, progress.cursor)}
	age, confirmed := s.fleetState.Staleness(now)
	// A registry that has just started may hold an older setup than was promised in an earlier
	// life. It finds out what is newest first, unless the core cannot tell.
	if update.StalenessKnown, update.StalenessNanos = confirmed, int64(age); s.servesConfig(now) {
		if update.Revision = s.fleetState.committedRevision; !progress.toRegistry && update.Revision > progress.revision {
			update.Items, update.Complete = s.configState.ChangesAfter(progress.revision)
			update.Items = withoutOperatorText(update.Items)
			progress.revision = update.Revision
			hasContent = true
		}
	} else {
		update.StalenessKnown = false
	}
	if members := s.reachableMembers(); !sameMembers(members, progress.members) {
		progress.members, update.CoreMembers = members, members
		hasContent = true
	}
	if progress.toRegistry {
		update.Reachable = s.fleetState.ReachableRegistries(now)
	}
	if liveProxies := uint32(s.fleetState.LiveProxies(now)); !progress.toRegistry && liveProxies != progress.liveProxies {
		progress.liveProxies, update.FleetSize = liveProxies, liveProxies
		hasContent = true
	}
	hasContent = hasContent || !progress.started || len(update.Sources) > 0
	progress.started = true
	return update, hasContent
}

// servesConfig tells whether this registry may show its setup.
func (s *Server) servesConfig(now time.Duration) bool {
	return s.fleetState.caughtUp || now >= s.leaseDuration/startupHoldDivisor
}

// subscribeToPeer has a session with the registry at an address, and begins another when it ends.
func (s *Server) subscribeToPeer(ctx context.Context, address string) {
	for ctx.Err() == nil {
		memberID, err := s.runPeerSubscription(ctx, address)
		if memberID != "" && ctx.Err() == nil {
			s.log.V(1).Info("registry lost", "at", address, "why", errs.CodeOf(err))
		}
		s.waitLeaseFraction(ctx, retryPauseDivisor)
	}
}

// runPeerSubscription has one session with a registry; it gives its seat if it was heard.
func (s *Server) runPeerSubscription(ctx context.Context, address string) (memberID string, err error) {
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	// A registry that says nothing for a lease is as good as gone.
	watchdog := time.AfterFunc(s.leaseDuration, cancel)
	defer watchdog.Stop()
	s.lock.Lock()
	request := &schema.SubscribeRequest{Node: "registry/" + s.initialOptions.Seat, Vector: s.fleetState.Vector(), Member: s.coreMembers[s.initialOptions.Seat], LeaseNanos: int64(s.leaseDuration),
		HeartbeatNanos: int64(peerHeartbeatTicks * s.leaseDuration / session.HeartbeatsPerLease)}
	s.lock.Unlock()
	stream, err := schema.NewDRPCRegistryClient(s.rpcTransport.Conn(bounded, address)).Attend(bounded, request)
	if err != nil {
		return "", errs.Wrap(err, errs.PeerConnectFailed, address)
	}
	for {
		update, err := stream.Recv()
		if err != nil {
			return memberID, errs.Wrap(err, errs.PeerConnectionLost, address)
		}
		watchdog.Reset(s.leaseDuration)
		if memberID == "" {
			s.log.V(1).Info("registry heard", "at", address)
		}
		s.lock.Lock()
		changed := false
		for _, member := range update.CoreMembers {
			changed = s.observeMember(member) || changed
			if member.Address == address {
				memberID = member.Id
			}
		}
		for _, source := range update.Sources {
			changed = s.fleetState.MergeSource(s.now(), source) || changed
		}
		if memberID != "" {
			s.fleetState.RecordPeerHeard(s.now(), memberID, update.Reachable)
		}
		if changed {
			s.broadcastChange()
		}
		s.lock.Unlock()
	}
}

// syncWithPeer keeps this registry level with the one at an address: by a session, or by polls
// where an order rules.
func (s *Server) syncWithPeer(ctx context.Context, address string) {
	if s.memberOrder == nil {
		s.subscribeToPeer(ctx, address)
	} else {
		s.pollPeer(ctx, address)
	}
}
