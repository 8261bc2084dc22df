package proxy

import (
	"context"
	"time"

	"meadowhinge/schema"
)

// pullLoop receives configuration and sources under a lease. It long-polls the current registry for newer versions
// until ctx ends.
func (s *Server) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		address, rotation := s.currentRegistry()
		state := s.journal.View()
		update, err := s.pollUpdate(ctx, address, rotation, state)
		if err != nil {
			s.switchRegistry(rotation)
			s.sleepLeaseFraction(ctx, retryBackoffDivisor)
			continue
		}
		s.lock.Lock()
		s.recordCoreMembers(update.CoreMembers)
		s.lock.Unlock()
		s.checkSuperseded(update.Sources)
		if !s.applyPulledUpdate(ctx, update, state.config.Revision) {
			s.sleepLeaseFraction(ctx, retryBackoffDivisor)
		}
	}
}

// pollUpdate requests everything newer than state. The registry answers as soon as it has an update, or with an empty
// reply after the poll time. The poll is cancelled when this proxy leaves the registry of rotation.
func (s *Server) pollUpdate(ctx context.Context, address string, rotation int, state MeshState) (*schema.FeedReply, error) {
	requestCtx, cancel := context.WithTimeout(ctx, s.leaseDuration/longPollDivisor+s.leaseDuration/renewalsPerLease)
	defer cancel()
	go s.cancelOnSwitch(requestCtx, cancel, rotation)
	return s.registryClient(requestCtx, address).Feed(requestCtx, &schema.FeedRequest{
		Node:      s.initialOptions.Name,
		Vector:    state.Vector(),
		Revision:  state.config.Revision,
		WaitNanos: int64(s.leaseDuration / longPollDivisor),
	})
}

// applyPulledUpdate applies an update that was pulled with a state of revision previousRevision. It returns false if the
// update brings a new configuration that could not be announced to a majority of registries. The update is then dropped
// and pulled again.
//
// It does less than applyUpdate, its counterpart without a lease. The outlier detector is pruned by the next report of
// workers, and reportLoop is not woken, because its next turn follows within a reportsPerLease-th of the lease.
func (s *Server) applyPulledUpdate(ctx context.Context, update *schema.FeedReply, previousRevision uint64) bool {
	isNewConfig := update.Revision > previousRevision
	if len(update.Sources) == 0 && !isNewConfig {
		return true
	}
	// The first configuration need not be announced, because no call is served by it before a lease is granted.
	if isNewConfig && previousRevision > 0 && !s.announceRevision(ctx, update.Revision) {
		return false
	}
	s.journal.Append(Event{
		At:             s.now(),
		ConfigRevision: update.Revision,
		Items:          update.Items,
		Complete:       update.Complete,
		Sources:        update.Sources,
	})
	// Report the applied revision at once: the acknowledgement of the change may wait for this proxy.
	if isNewConfig {
		for _, address := range s.registryAddresses() {
			go s.renewLease(ctx, address, 0)
		}
	}
	return true
}

// cancelOnSwitch calls cancel once this proxy has left the registry of rotation. It returns when ctx ends.
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
