package proxy

import (
	"context"
	"sort"
	"sync"
	"time"

	"meadowhinge/internal/options"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// wake wakes a loop without waiting for it.
func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// publishWorkers lets the whole mesh know, this proxy first.
func (s *Server) publishWorkers() {
	s.journal.Append(Event{At: s.now(), Sources: []*schema.Source{s.localSource()}})
	wake(s.reportNow)
}

// localSource is what this proxy tells of itself, under a new stamp each time.
func (s *Server) localSource() *schema.Source {
	workers := s.workers.List()
	s.lock.Lock()
	defer s.lock.Unlock()
	s.sourceCounter++
	return &schema.Source{Name: s.initialOptions.Name, Version: &schema.SourceVersion{Incarnation: s.sourceIncarnation, Counter: s.sourceCounter},
		Address: s.address, Zone: s.initialOptions.Area, Workers: workers}
}

// registryAddresses lists where registries may be reached: where they said they are, then the seeds.
func (s *Server) registryAddresses() []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	var memberIDs []string
	for memberID := range s.coreMembers {
		memberIDs = append(memberIDs, memberID)
	}
	sort.Strings(memberIDs)
	var addresses []string
	seen := map[string]bool{}
	for _, memberID := range memberIDs {
		if address := s.coreMembers[memberID].Address; !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, address := range options.SplitList(s.currentOptions().Seeds) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (s *Server) recordCoreMembers(members []*schema.CoreMember) {
	for _, member := range members {
		if known := s.coreMembers[member.Id]; known == nil || member.Incarnation > known.Incarnation {
			s.coreMembers[member.Id] = member
		}
	}
}

// renewLoop keeps the lease with one of the registries, the i-th of those known, of so many loops.
func (s *Server) renewLoop(ctx context.Context, loopIndex, loopCount int) {
	ticker := time.NewTicker(s.leaseDuration / renewalsPerLease)
	defer ticker.Stop()
	for {
		addresses := s.registryAddresses()
		for index, address := range addresses {
			// Each loop minds the addresses of its own place.
			if index%loopCount == loopIndex {
				s.renewLease(ctx, address, 0)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// announceRevision lets a majority of registries know of a setup before this proxy uses it. Were
// this proxy restarted after it, one of any majority would refuse it a lease below that.
func (s *Server) announceRevision(ctx context.Context, revision uint64) bool {
	addresses := s.registryAddresses()
	memberIDs := make(chan string, len(addresses))
	bounded, cancel := context.WithTimeout(ctx, s.leaseDuration/renewalsPerLease)
	var requests sync.WaitGroup
	for _, address := range addresses {
		requests.Go(func() { memberIDs <- s.renewLease(bounded, address, revision) })
	}
	// The majority is enough to go on by, but a call cut short would take its link with it.
	go func() {
		requests.Wait()
		cancel()
	}()
	answered := map[string]bool{}
	for range addresses {
		if memberID := <-memberIDs; memberID != "" {
			answered[memberID] = true
		}
		s.lock.Lock()
		majority := s.coreSize > 0 && len(answered) > s.coreSize/2
		s.lock.Unlock()
		if majority {
			return true
		}
	}
	return false
}

// renewLease asks one registry to renew; the grant counts from before it was asked. It gives
// the seat that answered, whether it granted or not.
func (s *Server) renewLease(ctx context.Context, address string, receivedRevision uint64) string {
	bounded, cancel := context.WithTimeout(ctx, s.leaseDuration/renewalsPerLease)
	defer cancel()
	requestedAt := s.now()
	applied := s.journal.View().config.Revision
	reply, err := schema.NewDRPCRegistryClient(s.transport.Conn(bounded, address)).Lease(bounded, &schema.LeaseRequest{Proxy: s.initialOptions.Name, Incarnation: s.processIncarnation, Applied: applied, Received: receivedRevision, LeaseNanos: int64(s.leaseDuration)})
	if err != nil {
		return ""
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.recordCoreMembers(reply.CoreMembers)
	s.coreSize = max(s.coreSize, int(reply.CoreSize))
	s.fleetSize.Store(s.fleetSizeEstimate.Observe(s.now(), int64(reply.FleetSize)))
	switch {
	case reply.Committed <= applied:
		s.behindSince = 0
	// Some registry knows more than the one that feeds this proxy: change over if it lasts.
	case s.behindSince == 0:
		s.behindSince = requestedAt
	case requestedAt-s.behindSince > s.leaseDuration/feedLagDivisor:
		s.behindSince = 0
		s.registryRotation++
	}
	if !reply.Granted {
		return reply.Member
	}
	s.leaseGate.RecordGrant(reply.Member, int(reply.CoreSize), requestedAt)
	return reply.Member
}

// currentRegistry is the registry this proxy has its session with.
func (s *Server) currentRegistry() (string, int) {
	if servesStale(s.initialOptions) {
		s.lock.Lock()
		defer s.lock.Unlock()
		return s.registrySelector.Current(), 0
	}
	addresses := s.registryAddresses()
	s.lock.Lock()
	defer s.lock.Unlock()
	// Proxies spread over the registries by name, and move on when theirs fails them.
	preferred := 0
	for _, char := range s.initialOptions.Name {
		preferred = preferred*31 + int(char)
	}
	if preferred < 0 {
		preferred = -preferred
	}
	return addresses[(preferred+s.registryRotation)%len(addresses)], s.registryRotation
}

// switchRegistry leaves a registry that failed, unless that was done already.
func (s *Server) switchRegistry(rotation int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.registryRotation == rotation {
		s.registryRotation++
	}
}

// leaveLaggingRegistry leaves a registry whose feed is behind what another proxy already has.
func (s *Server) leaveLaggingRegistry() {
	_, rotation := s.currentRegistry()
	s.switchRegistry(rotation)
}

func (s *Server) sleepLeaseFraction(ctx context.Context, divisor time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(s.leaseDuration / divisor):
	}
}

// pullLoop pulls what this proxy lacks, by its vector.
func (s *Server) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		address, rotation := s.currentRegistry()
		state := s.journal.View()
		bounded, cancel := context.WithTimeout(ctx, s.leaseDuration/longPollDivisor+s.leaseDuration/renewalsPerLease)
		go s.cancelOnSwitch(bounded, cancel, rotation)
		update, err := schema.NewDRPCRegistryClient(s.transport.Conn(bounded, address)).Feed(bounded, &schema.FeedRequest{Node: s.initialOptions.Name,
			Vector: state.Vector(), Revision: state.config.Revision, WaitNanos: int64(s.leaseDuration / longPollDivisor)})
		cancel()
		if err != nil {
			s.switchRegistry(rotation)
			s.sleepLeaseFraction(ctx, retryPauseDivisor)
			continue
		}
		s.lock.Lock()
		s.recordCoreMembers(update.CoreMembers)
		s.lock.Unlock()
		s.checkSuperseded(update.Sources)
		if len(update.Sources) == 0 && update.Revision <= state.config.Revision {
			continue
		}
		// The first setup needs no telling: without a lease nothing is shown by it yet.
		if update.Revision > state.config.Revision && state.config.Revision > 0 && !s.announceRevision(ctx, update.Revision) {
			s.sleepLeaseFraction(ctx, retryPauseDivisor)
			continue
		}
		s.journal.Append(Event{At: s.now(), ConfigRevision: update.Revision, Items: update.Items, Complete: update.Complete, Sources: update.Sources})
		// An applied change is told at once: its acknowledgement may be waiting for this proxy.
		if update.Revision > state.config.Revision {
			for _, address := range s.registryAddresses() {
				go s.renewLease(ctx, address, 0)
			}
		}
	}
}

// cancelOnSwitch ends a poll when this proxy has left the registry it polls.
func (s *Server) cancelOnSwitch(ctx context.Context, cancel context.CancelFunc, rotation int) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.leaseDuration / feedLagDivisor):
		}
		s.lock.Lock()
		switched := s.registryRotation != rotation
		s.lock.Unlock()
		if switched {
			cancel()
			return
		}
	}
}

// reportLoop reports workers and counts to the registry of this proxy's session.
func (s *Server) reportLoop(ctx context.Context) {
	changed := true
	judgedRevision, anyJudged, isJudged := uint64(0), false, func(string) bool { return false }
	verdictInterval, verdictsReportedAt := s.leaseDuration/verdictReportsPerLease, time.Duration(0)
	if servesStale(s.initialOptions) {
		verdictInterval = staleVerdictReportLeases * s.leaseDuration
	}
	for turn := 0; ; turn++ {
		// Loads and liveness are told every renewalsPerLease-th of a lease, a change at once; what was
		// seen of workers oftener, but only while some version is to be judged by it; counts of
		// verdicts, which nothing waits for, more seldom. In a session the registry sees that this
		// proxy lives, and hardly anything is told while nothing changes.
		includeWorkers := changed || (!servesStale(s.initialOptions) && turn%(reportsPerLease/renewalsPerLease) == 0)
		if snapshot := s.view().Config; snapshot.Revision != judgedRevision {
			isJudged, anyJudged = release.JudgedServices(snapshot)
			judgedRevision = snapshot.Revision
		}
		includeVerdicts := s.now()-verdictsReportedAt >= verdictInterval
		reported := true
		if anyJudged || includeWorkers || includeVerdicts {
			if reported = s.report(ctx, includeWorkers, includeVerdicts, isJudged); reported && includeVerdicts {
				verdictsReportedAt = s.now()
			}
		}
		timer := time.After(verdictInterval)
		switch {
		case !reported && includeWorkers && servesStale(s.initialOptions):
			timer = time.After(s.leaseDuration / retryPauseDivisor)
		case anyJudged || !servesStale(s.initialOptions):
			timer = time.After(s.leaseDuration / reportsPerLease)
		}
		select {
		case <-ctx.Done():
			return
		case <-timer:
			changed = !reported && includeWorkers && servesStale(s.initialOptions)
		case <-s.configChanged:
			changed = false
		case <-s.reportNow:
			changed = true
		}
	}
}

// report reports what was seen of judged services, with whole this proxy's workers too, and
// counts of verdicts if they are wanted; it tells whether that went well.
func (s *Server) report(ctx context.Context, includeWorkers, includeVerdicts bool, isJudged func(service string) bool) bool {
	defer s.canaries.ForgetUnguarded()
	address, rotation := s.currentRegistry()
	// Without a session there is nobody to tell.
	if address == "" {
		return false
	}
	var source *schema.Source
	switch {
	case includeWorkers && servesStale(s.initialOptions):
		source = s.localSource()
	case includeWorkers:
		s.workers.DropUnresponsive()
		source = s.localSource()
		state := s.journal.Append(Event{At: s.now(), Sources: []*schema.Source{source}, SourceTimeout: s.leaseDuration / sourceTimeoutDivisor})
		s.outliers.Retain(state.KnownWorkers())
	}
	bounded, cancel := context.WithTimeout(ctx, s.leaseDuration/renewalsPerLease)
	requestedAt, snapshot := s.now(), s.view().Config
	report := &schema.ProxyReport{Proxy: s.initialOptions.Name, Incarnation: s.processIncarnation, Source: source, Applied: snapshot.Revision, WorkCounts: s.runner.WorkCounts.Report(isJudged)}
	if includeVerdicts {
		report.Counts = s.callCounter.Counts(snapshot.Revision)
	}
	reply, err := schema.NewDRPCRegistryClient(s.transport.Conn(bounded, address)).Tell(bounded, report)
	cancel()
	if err == nil {
		s.canaries.ApplyGrants(requestedAt, reply.Canaries)
	} else if ctx.Err() == nil && !servesStale(s.initialOptions) {
		s.switchRegistry(rotation)
	}
	return err == nil
}
