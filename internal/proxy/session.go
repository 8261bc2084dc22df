package proxy

import (
	"context"
	"time"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/options"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// establishIncarnation finds an incarnation above all that registries saw of this proxy's name. Whatever is
// seen later that is higher still, mind goes beyond.
func (s *Server) establishIncarnation(ctx context.Context) {
	for ctx.Err() == nil {
		addresses := s.registryAddresses()
		replies := make(chan *schema.IncarnationReply, len(addresses))
		bounded, cancel := context.WithTimeout(ctx, s.leaseDuration/renewalsPerLease)
		for _, address := range addresses {
			go func() {
				reply, err := schema.NewDRPCRegistryClient(s.transport.Conn(bounded, address)).Greet(bounded, &schema.IncarnationRequest{Proxy: s.initialOptions.Name})
				if err != nil {
					reply = nil
				}
				replies <- reply
			}()
		}
		for range addresses {
			if reply := <-replies; reply != nil {
				s.lock.Lock()
				s.processIncarnation = session.NextIncarnation(reply.Incarnation)
				s.sourceIncarnation, s.forwarder.Incarnation = s.processIncarnation, s.processIncarnation
				s.lock.Unlock()
				s.restoreWorker(reply.Workers)
				// A call cut short would take its link with it.
				time.AfterFunc(s.leaseDuration/renewalsPerLease, cancel)
				return
			}
		}
		cancel()
		s.sleepLeaseFraction(ctx, retryPauseDivisor)
	}
}

// restoreWorker goes on with the worker beside this proxy that an earlier life of it told of.
func (s *Server) restoreWorker(reported []*schema.Worker) {
	if s.initialOptions.Beside == "" || s.extensions.workerIDHeartbeat == 0 || len(reported) != 1 {
		return
	}
	worker := reported[0]
	s.workers.Restore(dispatch.WorkerDescription{ID: worker.Instance, Address: s.initialOptions.Beside, Service: worker.Service, Version: worker.Version, Zone: worker.Zone,
		Slots: worker.Slots, WarmupMS: time.Duration(worker.WarmupLeftNanos).Milliseconds(), HeartbeatMS: s.extensions.workerIDHeartbeat.Milliseconds()})
}

// checkSuperseded looks for what is said of this proxy itself: where an earlier life's word is higher than
// its own, or its own life was taken for ended, it tells of itself anew under a higher one.
func (s *Server) checkSuperseded(sources []*schema.Source) {
	for _, source := range sources {
		if source.Name != s.initialOptions.Name {
			continue
		}
		s.lock.Lock()
		listedIncarnation := source.Version.GetIncarnation()
		superseded := session.IsSuperseded(s.sourceIncarnation, listedIncarnation, source.Version.GetEnded())
		if superseded {
			s.sourceIncarnation = session.NextIncarnation(listedIncarnation)
		}
		s.lock.Unlock()
		if superseded {
			s.log.V(1).Info("another life of this proxy was listed; telling anew")
			s.publishWorkers()
		}
	}
}

// registrySession is one session as it is kept up.
type registrySession struct {
	address   string
	cancel    context.CancelFunc
	candidate bool // beside the session that counts
}

// sessionEvent is what came of a session: a sign of life, or its end.
type sessionEvent struct {
	session *registrySession
	update  *schema.Update // nil for the end
	err     error
}

// newRegistrySelector makes the tie of this proxy as its settings have it.
func (s *Server) newRegistrySelector() *session.RegistrySelector {
	return session.NewRegistrySelector(session.SelectorOptions{ProxyName: s.initialOptions.Name, Zone: s.initialOptions.Area, HeartbeatInterval: s.leaseDuration / session.HeartbeatsPerLease, HeartbeatTimeout: s.leaseDuration / session.HeartbeatTimeoutDivisor,
		MaxStaleness: time.Duration(float64(s.leaseDuration) / session.MaxStalenessDivisor), FailureCooldown: s.leaseDuration}, options.SplitList(s.initialOptions.Seeds))
}

// maintainSession keeps a session with a registry.
func (s *Server) maintainSession(ctx context.Context) {
	events := make(chan sessionEvent)
	sessions := map[string]*registrySession{}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var actions []session.Action
		select {
		case <-ctx.Done():
			return
		case event := <-events:
			// What is left of a session that was ended here says nothing of the next one.
			if sessions[event.session.address] != event.session {
				continue
			}
			if actions = s.recordSessionEvent(event); event.update == nil {
				event.session.cancel()
				delete(sessions, event.session.address)
			}
		case <-timer.C:
			s.lock.Lock()
			actions = s.registrySelector.Tick(s.now())
			s.lock.Unlock()
		}
		for _, action := range actions {
			s.log.V(1).Info("registry", "at", action.Address, "opened", action.Open, "why", action.Reason)
			if existing := sessions[action.Address]; existing != nil {
				existing.cancel()
				delete(sessions, action.Address)
			}
			if action.Open {
				bounded, cancel := context.WithCancel(ctx)
				sessions[action.Address] = &registrySession{action.Address, cancel, action.Candidate}
				go s.subscribe(bounded, sessions[action.Address], action.Candidate, events)
			}
		}
		s.workers.DropUnresponsive()
		s.lock.Lock()
		nextTickAt, current := s.registrySelector.NextTick(s.now()), sessions[s.registrySelector.Current()]
		s.lock.Unlock()
		// A session on trial that is taken makes its registry the one to mind this proxy.
		if current != nil && current.candidate {
			current.candidate = false
			wake(s.reportNow)
		}
		timer.Reset(nextTickAt - s.now())
	}
}

// recordSessionEvent tells the tie what came of a session.
func (s *Server) recordSessionEvent(event sessionEvent) []session.Action {
	s.lock.Lock()
	defer s.lock.Unlock()
	if event.update == nil {
		s.log.V(1).Info("session ended", "registry", event.session.address, "why", errs.CodeOf(event.err))
		return s.registrySelector.RecordSessionEnd(s.now(), event.session.address)
	}
	s.registrySelector.SetCoreMembers(event.update.CoreMembers)
	return s.registrySelector.RecordHeartbeat(s.now(), event.session.address, event.update.StalenessKnown, time.Duration(event.update.StalenessNanos))
}

// subscribe has one session with a registry. One on trial tells nothing of this proxy: were it given
// up, its registry would take the proxy for gone, though it has a session elsewhere.
func (s *Server) subscribe(ctx context.Context, registry *registrySession, candidate bool, events chan<- sessionEvent) {
	send := func(event sessionEvent) {
		select {
		case events <- event:
		case <-ctx.Done():
		}
	}
	state, request := s.journal.View(), &schema.SubscribeRequest{Node: s.initialOptions.Name, Tentative: candidate, HeartbeatNanos: int64(s.leaseDuration / session.HeartbeatsPerLease), LeaseNanos: int64(s.leaseDuration)}
	if !candidate {
		request.Source = s.localSource()
		state = s.journal.Append(Event{At: s.now(), Sources: []*schema.Source{request.Source}})
	}
	request.Vector, request.Revision = state.Vector(), state.config.Revision
	stream, err := schema.NewDRPCRegistryClient(s.transport.Conn(ctx, registry.address)).Attend(ctx, request)
	for err == nil {
		var update *schema.Update
		if update, err = stream.Recv(); err == nil {
			s.applyUpdate(update)
			send(sessionEvent{registry, update, nil})
		}
	}
	send(sessionEvent{registry, nil, err})
}

// applyUpdate folds what a registry sent into the picture.
func (s *Server) applyUpdate(update *schema.Update) {
	now := s.now()
	previousRevision := s.journal.View().config.Revision
	if len(update.Sources) > 0 || update.Revision > previousRevision {
		state := s.journal.Append(Event{At: now, ConfigRevision: update.Revision, Items: update.Items, Complete: update.Complete, Sources: update.Sources})
		s.outliers.Retain(state.KnownWorkers())
		if state.config.Revision != previousRevision {
			s.log.V(1).Info("setup", "sequence", state.config.Revision)
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
	// All that this registry had when it said so is in the picture now.
	if freshAsOf := now - time.Duration(update.StalenessNanos); update.StalenessKnown && freshAsOf > s.freshAsOf {
		s.freshAsOf = freshAsOf
	}
}

// sessionState tells with which registry this proxy is in session and how old its picture may be.
func (s *Server) sessionState() (address string, staleness time.Duration, known bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.registrySelector.Current(), s.now() - s.freshAsOf, s.freshAsOf > 0
}

// announceShutdown tells that this proxy ends, so that nobody waits for it to come back.
func (s *Server) announceShutdown() {
	address, _ := s.currentRegistry()
	if !servesStale(s.initialOptions) || address == "" {
		return
	}
	source := s.localSource()
	source.Workers, source.ShuttingDown = nil, true
	bounded, cancel := context.WithTimeout(context.Background(), s.leaseDuration/renewalsPerLease)
	defer cancel()
	if _, err := schema.NewDRPCRegistryClient(s.transport.Conn(bounded, address)).Tell(bounded, &schema.ProxyReport{Proxy: s.initialOptions.Name, Incarnation: s.processIncarnation, Source: source}); err != nil {
		s.log.V(1).Info("left without a farewell", "why", errs.CodeOf(err))
	}
}
