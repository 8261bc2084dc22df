package proxy

import (
	"context"
	"sync"
	"time"

	"meadowhinge/schema"
)

// renewLoop renews the lease renewalsPerLease times per lease with every loopCount-th registry, starting with number
// loopIndex, until ctx ends. The loops run concurrently, so that an unresponsive registry delays only its own loop.
func (s *Server) renewLoop(ctx context.Context, loopIndex, loopCount int) {
	ticker := time.NewTicker(s.leaseDuration / renewalsPerLease)
	defer ticker.Stop()
	for {
		for index, address := range s.registryAddresses() {
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

// announceRevision announces a configuration revision to the registries before this proxy applies it, and reports
// whether a majority of the core answered. After that, any majority contains a registry that refuses a lease below the
// revision, so that this proxy cannot return to an older configuration after a restart.
func (s *Server) announceRevision(ctx context.Context, revision uint64) bool {
	addresses := s.registryAddresses()
	memberIDs := make(chan string, len(addresses))
	requestCtx, cancel := context.WithTimeout(ctx, s.leaseDuration/renewalsPerLease)
	var requests sync.WaitGroup
	for _, address := range addresses {
		requests.Go(func() { memberIDs <- s.renewLease(requestCtx, address, revision) })
	}
	// A majority suffices, but cancelling the remaining requests would close their connections.
	go func() {
		requests.Wait()
		cancel()
	}()
	answered := map[string]bool{}
	for range addresses {
		if memberID := <-memberIDs; memberID != "" {
			answered[memberID] = true
		}
		if s.isCoreMajority(len(answered)) {
			return true
		}
	}
	return false
}

// isCoreMajority reports whether count members form a majority of the core. It is false while the size of the core is
// unknown.
func (s *Server) isCoreMajority(count int) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.coreSize > 0 && count > s.coreSize/2
}

// renewLease requests a lease from one registry. A grant is counted from the time before the request was sent, so that
// it never ends later here than at the registry. receivedRevision is the configuration revision that this proxy has
// received and is about to apply, 0 for none.
//
// It returns the ID of the member that answered, whether or not that member granted the lease, and "" if the request
// failed.
func (s *Server) renewLease(ctx context.Context, address string, receivedRevision uint64) string {
	requestCtx, cancel := context.WithTimeout(ctx, s.leaseDuration/renewalsPerLease)
	defer cancel()
	requestedAt := s.now()
	appliedRevision := s.journal.View().config.Revision
	reply, err := s.registryClient(requestCtx, address).Lease(requestCtx, &schema.LeaseRequest{
		Proxy:       s.initialOptions.Name,
		Incarnation: s.processIncarnation,
		Applied:     appliedRevision,
		Received:    receivedRevision,
		LeaseNanos:  int64(s.leaseDuration),
	})
	if err != nil {
		return "" // the next renewal tries again, and the serving gate closes when the lease expires
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.recordCoreMembers(reply.CoreMembers)
	s.coreSize = max(s.coreSize, int(reply.CoreSize))
	s.fleetSize.Store(s.fleetSizeEstimate.Observe(s.now(), int64(reply.FleetSize)))
	s.switchLaggingRegistry(requestedAt, reply.Committed <= appliedRevision)
	if reply.Granted {
		s.leaseGate.RecordGrant(reply.Member, int(reply.CoreSize), requestedAt)
	}
	return reply.Member
}

// switchLaggingRegistry moves on to the next registry if the polled one lags behind. That is the case once some registry
// has had a newer configuration than the applied one for longer than a feedLagDivisor-th of the lease. upToDate is
// true if the registry that just answered has nothing newer. now is the time at which that registry was asked. The caller
// holds s.lock.
func (s *Server) switchLaggingRegistry(now time.Duration, upToDate bool) {
	switch {
	case upToDate:
		s.behindSince = 0
	case s.behindSince == 0:
		s.behindSince = now
	case now-s.behindSince > s.leaseDuration/feedLagDivisor:
		s.behindSince = 0
		s.registryRotation++
	}
}
