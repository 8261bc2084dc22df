package proxy

import (
	"context"
	"time"

	"meadowhinge/schema"
)

// pullLoop receives configuration and sources under a lease: it long-polls the current registry for whatever this
// proxy's versions of them lack, until ctx ends.
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

// pollUpdate requests what state lacks; the registry answers when it has something, or after the poll's time. The
// poll is cancelled when this proxy leaves the registry of rotation.
func (s *Server) pollUpdate(ctx context.Context, address string, rotation int, state MeshState) (*schema.FeedReply, error) {
	bounded, cancel := context.WithTimeout(ctx, s.leaseDuration/longPollDivisor+s.leaseDuration/renewalsPerLease)
	defer cancel()
	go s.cancelOnSwitch(bounded, cancel, rotation)
	return s.registryClient(bounded, address).Feed(bounded, &schema.FeedRequest{
		Node:      s.initialOptions.Name,
		Vector:    state.Vector(),
		Revision:  state.config.Revision,
		WaitNanos: int64(s.leaseDuration / longPollDivisor),
	})
}

// applyPulledUpdate applies an update to a state of the given revision. It reports false if the update brings a new
// configuration that cannot be announced yet; the update is then pulled again.
//
// It does less than applyUpdate, its counterpart without a lease: the outlier detector is pruned by the next report,
// which comes within reportsPerLease, and reportLoop is not woken.
func (s *Server) applyPulledUpdate(ctx context.Context, update *schema.FeedReply, previousRevision uint64) bool {
	isNewConfig := update.Revision > previousRevision
	if len(update.Sources) == 0 && !isNewConfig {
		return true
	}
	// The first configuration need not be announced: without a lease no caller has been served by it yet.
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
	// The registries learn of the applied configuration at once: its acknowledgement may wait for this proxy.
	if isNewConfig {
		for _, address := range s.registryAddresses() {
			go s.renewLease(ctx, address, 0)
		}
	}
	return true
}

// cancelOnSwitch cancels a poll when this proxy has left the registry of rotation. It ends with ctx.
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
