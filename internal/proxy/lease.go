package proxy

import (
	"context"
	"sync"
	"time"

	"meadowhinge/schema"
)

// renewLoop renews the lease with every loopCount-th registry, from the loopIndex-th on. The loops run side by side, so
// that one registry that does not answer delays only its own loop.
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

// announceRevision announces a configuration revision to a majority of registries before this proxy uses it, and
// reports whether a majority answered. If this proxy is restarted after that, every majority holds a registry that
// refuses it a lease below the revision.
func (s *Server) announceRevision(ctx context.Context, revision uint64) bool {
	addresses := s.registryAddresses()
	memberIDs := make(chan string, len(addresses))
	bounded, cancel := context.WithTimeout(ctx, s.leaseDuration/renewalsPerLease)
	var requests sync.WaitGroup
	for _, address := range addresses {
		requests.Go(func() { memberIDs <- s.renewLease(bounded, address, revision) })
	}
	// A majority suffices, but cancelling the calls that are still under way would close their connections.
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

// isCoreMajority reports whether count members are a majority of the core; false while its size is not known.
func (s *Server) isCoreMajority(count int) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.coreSize > 0 && count > s.coreSize/2
}

// renewLease requests a lease from one registry; the grant counts from before the request was sent. receivedRevision
// is the configuration revision that this proxy has received and is about to use, 0 for none. It returns the ID of the
// member that answered, whether it granted the lease or not, and "" if none did.
func (s *Server) renewLease(ctx context.Context, address string, receivedRevision uint64) string {
	bounded, cancel := context.WithTimeout(ctx, s.leaseDuration/renewalsPerLease)
	defer cancel()
	requestedAt := s.now()
	appliedRevision := s.journal.View().config.Revision
	reply, err := s.registryClient(bounded, address).Lease(bounded, &schema.LeaseRequest{
		Proxy:       s.initialOptions.Name,
		Incarnation: s.processIncarnation,
		Applied:     appliedRevision,
		Received:    receivedRevision,
		LeaseNanos:  int64(s.leaseDuration),
	})
	if err != nil {
		return "" // the next renewal tries again; a lease that ends closes the serving gate
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

// switchLaggingRegistry moves on to the next registry once some other one has had a newer configuration than the one
// applied here for too long: then the one that this proxy polls lags behind. The caller holds s.lock.
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
