package proxy

import (
	"context"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/options"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// registrySession is one subscription with a registry while a proxy serves without a lease.
type registrySession struct {
	address string
	cancel  context.CancelFunc
	// candidate is set while another session is the current one: this one replaces it if it proves better. It belongs to
	// the goroutine of maintainSession; the session's own goroutine gets the value at the start as an argument.
	candidate bool
}

// sessionEvent is an update that a session received, or its end.
type sessionEvent struct {
	session *registrySession
	update  *schema.Update // nil for the end
	err     error          // why it ended
}

// newRegistrySelector makes the state machine that selects the registry, by this proxy's options.
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

// sessionManager opens and closes sessions as the registry selector decides. It belongs to the goroutine of
// maintainSession; only events is shared, with the goroutines of the sessions.
type sessionManager struct {
	server   *Server
	sessions map[string]*registrySession // open ones, by address
	events   chan sessionEvent
}

// maintainSession keeps a session with a registry until ctx ends.
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
			// An event that a session sent before it was closed says nothing of the session that replaced it.
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

// handleEvent hands an event to the registry selector and removes a session that has ended.
func (m *sessionManager) handleEvent(event sessionEvent) []session.Action {
	actions := m.server.recordSessionEvent(event)
	if event.update == nil {
		event.session.cancel()
		delete(m.sessions, event.session.address)
	}
	return actions
}

// tick lets the registry selector act on the time that has passed.
func (m *sessionManager) tick() []session.Action {
	m.server.lock.Lock()
	defer m.server.lock.Unlock()
	return m.server.registrySelector.Tick(m.server.now())
}

// applyActions closes and opens sessions; they end with ctx.
func (m *sessionManager) applyActions(ctx context.Context, actions []session.Action) {
	for _, action := range actions {
		m.server.log.V(1).Info("registry session changed", "registry", action.Address, "open", action.Open, "reason", action.Reason)
		if existing := m.sessions[action.Address]; existing != nil {
			existing.cancel()
			delete(m.sessions, action.Address)
		}
		if action.Open {
			bounded, cancel := context.WithCancel(ctx)
			opened := &registrySession{address: action.Address, cancel: cancel, candidate: action.Candidate}
			m.sessions[action.Address] = opened
			go m.server.subscribe(bounded, opened, action.Candidate, m.events)
		}
	}
}

// reportToNewCurrent wakes the report of this proxy if the selector has made a candidate the current session: a candidate
// has not published this proxy's workers.
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

// nextTickAt is when the selector must be called next if no event comes before.
func (m *sessionManager) nextTickAt() time.Duration {
	s := m.server
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.registrySelector.NextTick(s.now())
}

// recordSessionEvent records an update or the end of a session with the registry selector.
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

// subscribe runs one session with a registry until it or ctx ends: it applies each update and sends it as an event,
// and then its end. A candidate does not publish this proxy's workers: if it were closed again, its registry would
// list the proxy as ended, although it has a session elsewhere.
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

// newSubscribeRequest says what this proxy has, so that the registry sends what it lacks.
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

// applyUpdate applies what a registry sent in a session to the mesh state, and records what it says of the core and
// of its own staleness. Under a lease applyPulledUpdate is its counterpart.
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
	// Whatever the registry had at that time is in the mesh state now.
	if freshAsOf := now - time.Duration(update.StalenessNanos); update.StalenessKnown && freshAsOf > s.freshAsOf {
		s.freshAsOf = freshAsOf
	}
}

// sessionState returns the address of the registry of the current session, empty for none, and how old the
// configuration here may be, if that is known.
func (s *Server) sessionState() (address string, staleness time.Duration, known bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.registrySelector.Current(), s.now() - s.freshAsOf, s.freshAsOf > 0
}
