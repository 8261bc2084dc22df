package proxy

import (
	"context"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/options"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// registrySession is one subscription with a registry. A proxy that serves without a lease uses sessions instead of
// polling.
type registrySession struct {
	address string             // registry address
	cancel  context.CancelFunc // ends the subscription
	// candidate is true while another session is the current one and the selector tries this one as its replacement.
	// Only the goroutine of maintainSession accesses the field; the goroutine of the session gets the initial value as
	// an argument.
	candidate bool
}

// sessionEvent is an update received in a session, or the end of the session.
type sessionEvent struct {
	session *registrySession
	update  *schema.Update // nil for the end of the session
	err     error          // cause of the end; nil for an update
}

// newRegistrySelector creates the state machine that selects the registry of this proxy.
func (s *Server) newRegistrySelector() *session.RegistrySelector {
	return session.NewRegistrySelector(session.SelectorOptions{
		ProxyName:         s.initialOptions.Name,
		Zone:              s.initialOptions.Area,
		HeartbeatInterval: s.leaseDuration / session.HeartbeatsPerLease,
		HeartbeatTimeout:  s.leaseDuration / session.HeartbeatTimeoutDivisor,
		MaxStaleness:      time.Duration(float64(s.leaseDuration) / session.MaxStalenessDivisor),
		FailureCooldown:   s.leaseDuration,
	}, options.SplitList(s.initialOptions.Seeds))
}

// sessionManager opens and closes sessions as the registry selector decides. It is confined to the goroutine of
// maintainSession, except that the goroutines of the sessions send on events.
type sessionManager struct {
	server   *Server
	sessions map[string]*registrySession // open sessions by registry address
	events   chan sessionEvent           // updates and ends of sessions; unbuffered
}

// maintainSession keeps a session with a registry open until ctx ends, and drops unresponsive local workers.
func (s *Server) maintainSession(ctx context.Context) {
	manager := &sessionManager{server: s, sessions: map[string]*registrySession{}, events: make(chan sessionEvent)}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var actions []session.Action
		select {
		case <-ctx.Done():
			return
		case event := <-manager.events:
			// An event of a closed session does not apply to its replacement at the same address.
			if manager.sessions[event.session.address] != event.session {
				continue
			}
			actions = manager.handleEvent(event)
		case <-timer.C:
			actions = manager.tick()
		}
		manager.applyActions(ctx, actions)
		s.workers.DropUnresponsive()
		manager.reportToNewCurrent()
		timer.Reset(manager.nextTickAt() - s.now())
	}
}

// handleEvent passes an event to the registry selector and removes an ended session. It returns the selector's actions.
func (m *sessionManager) handleEvent(event sessionEvent) []session.Action {
	actions := m.server.recordSessionEvent(event)
	if event.update == nil {
		event.session.cancel()
		delete(m.sessions, event.session.address)
	}
	return actions
}

// tick runs the timers of the registry selector and returns its actions.
func (m *sessionManager) tick() []session.Action {
	m.server.lock.Lock()
	defer m.server.lock.Unlock()
	return m.server.registrySelector.Tick(m.server.now())
}

// applyActions closes and opens sessions. Opened sessions end with ctx.
func (m *sessionManager) applyActions(ctx context.Context, actions []session.Action) {
	for _, action := range actions {
		m.server.log.V(1).Info("registry session changed", "registry", action.Address, "open", action.Open, "reason", action.Reason)
		if existing := m.sessions[action.Address]; existing != nil {
			existing.cancel()
			delete(m.sessions, action.Address)
		}
		if action.Open {
			sessionCtx, cancel := context.WithCancel(ctx)
			opened := &registrySession{address: action.Address, cancel: cancel, candidate: action.Candidate}
			m.sessions[action.Address] = opened
			go m.server.subscribe(sessionCtx, opened, action.Candidate, m.events)
		}
	}
}

// reportToNewCurrent wakes reportLoop if the selector has promoted a candidate to the current session. A candidate does
// not publish the local workers, so the registry still lacks them.
func (m *sessionManager) reportToNewCurrent() {
	s := m.server
	s.lock.Lock()
	current := m.sessions[s.registrySelector.Current()]
	s.lock.Unlock()
	if current != nil && current.candidate {
		current.candidate = false
		wake(s.reportNow)
	}
}

// nextTickAt returns the time, counted from the start of the proxy, of the selector's next tick if no event precedes it.
func (m *sessionManager) nextTickAt() time.Duration {
	s := m.server
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.registrySelector.NextTick(s.now())
}

// recordSessionEvent passes an update or the end of a session to the registry selector and returns the selector's
// actions.
func (s *Server) recordSessionEvent(event sessionEvent) []session.Action {
	s.lock.Lock()
	defer s.lock.Unlock()
	if event.update == nil {
		s.log.V(1).Info("registry session ended", "registry", event.session.address, "code", errs.CodeOf(event.err))
		return s.registrySelector.RecordSessionEnd(s.now(), event.session.address)
	}
	s.registrySelector.SetCoreMembers(event.update.CoreMembers)
	staleness := time.Duration(event.update.StalenessNanos)
	return s.registrySelector.RecordHeartbeat(s.now(), event.session.address, event.update.StalenessKnown, staleness)
}

// subscribe runs one session with a registry until the stream fails or ctx ends. It applies each update, sends it as an
// event, and sends a last event for the end.
//
// A candidate does not publish the local workers. If a candidate that had published them were closed, its registry
// would list this proxy as ended although the proxy has a session with another registry.
func (s *Server) subscribe(ctx context.Context, registry *registrySession, candidate bool, events chan<- sessionEvent) {
	send := func(event sessionEvent) {
		select {
		case events <- event:
		case <-ctx.Done():
		}
	}
	request := s.newSubscribeRequest(candidate)
	stream, err := s.registryClient(ctx, registry.address).Attend(ctx, request)
	for err == nil {
		var update *schema.Update
		if update, err = stream.Recv(); err == nil {
			s.applyUpdate(update)
			send(sessionEvent{session: registry, update: update})
		}
	}
	send(sessionEvent{session: registry, err: err})
}

// newSubscribeRequest builds the request that opens a session. It carries the versions that this proxy has, so that the
// registry sends only newer ones.
func (s *Server) newSubscribeRequest(candidate bool) *schema.SubscribeRequest {
	request := &schema.SubscribeRequest{
		Node:           s.initialOptions.Name,
		Tentative:      candidate,
		HeartbeatNanos: int64(s.leaseDuration / session.HeartbeatsPerLease),
		LeaseNanos:     int64(s.leaseDuration),
	}
	state := s.journal.View()
	if !candidate {
		request.Source = s.newLocalSource()
		state = s.journal.Append(Event{At: s.now(), Sources: []*schema.Source{request.Source}})
	}
	request.Vector, request.Revision = state.Vector(), state.config.Revision
	return request
}

// applyUpdate applies an update received in a session to the mesh state. It also records the core members, the fleet
// size and the staleness of the registry. Its counterpart under a lease is applyPulledUpdate.
func (s *Server) applyUpdate(update *schema.Update) {
	now := s.now()
	previousRevision := s.journal.View().config.Revision
	if len(update.Sources) > 0 || update.Revision > previousRevision {
		state := s.journal.Append(Event{
			At:             now,
			ConfigRevision: update.Revision,
			Items:          update.Items,
			Complete:       update.Complete,
			Sources:        update.Sources,
		})
		s.outliers.Retain(state.KnownWorkers())
		if state.config.Revision != previousRevision {
			s.log.V(1).Info("configuration applied", "revision", state.config.Revision)
			wake(s.configChanged)
		}
	}
	s.checkSuperseded(update.Sources)
	s.lock.Lock()
	defer s.lock.Unlock()
	s.recordCoreMembers(update.CoreMembers)
	if len(update.CoreMembers) > 0 {
		s.coreSize = len(update.CoreMembers)
	}
	if update.FleetSize > 0 {
		s.reportedFleetSize = int64(update.FleetSize)
	}
	s.fleetSize.Store(s.fleetSizeEstimate.Observe(now, s.reportedFleetSize))
	// The mesh state now includes everything that was committed up to this time.
	if freshAsOf := now - time.Duration(update.StalenessNanos); update.StalenessKnown && freshAsOf > s.freshAsOf {
		s.freshAsOf = freshAsOf
	}
}

// sessionState returns the registry address of the current session, empty if there is none, and an upper bound on the
// staleness of this proxy's configuration. The bound is valid only if known is true.
func (s *Server) sessionState() (address string, staleness time.Duration, known bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.registrySelector.Current(), s.now() - s.freshAsOf, s.freshAsOf > 0
}
