package registry

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// configSync follows the store on this machine and copies the committed configuration and the list of core members into
// the shared state. Its fields do not change after construction.
type configSync struct {
	state *sharedState
	store schema.DRPCStoreClient
	log   logr.Logger
}

func newConfigSync(state *sharedState, store schema.DRPCStoreClient, log logr.Logger) *configSync {
	return &configSync{state: state, store: store, log: log}
}

// followStore long-polls the store and applies the revisions that it commits, until ctx ends.
func (c *configSync) followStore(ctx context.Context) {
	lease := c.state.config.lease
	for failures := 0; ctx.Err() == nil; {
		after := c.state.committedRevision()
		timeoutCtx, cancel := context.WithTimeout(ctx, lease)
		reply, err := c.store.Follow(timeoutCtx, &schema.FollowRequest{
			AfterSequence: after,
			WaitNanos:     int64(lease / session.HeartbeatsPerLease),
		})
		cancel()
		if err != nil {
			failures++
			c.state.waitLeaseFraction(ctx, backoffDivisor(failures))
			continue
		}
		failures = 0
		c.applyCommitted(reply)
	}
}

// applyCommitted applies a reply of the store and wakes the sessions, which push the changes to proxies. A revision
// that is not newer leaves the configuration unchanged, since a store that lost its log reports older revisions while
// it is restored.
func (c *configSync) applyCommitted(reply *schema.FollowReply) {
	s := c.state
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.membership.setAgreed(reply.Members) {
		c.log.V(1).Info("core membership changed", "members", len(reply.Members))
		s.fleetState.SetMemberCount(s.membership.count())
		s.broadcastChangeLocked()
	}
	if reply.StalenessKnown && reply.Committed >= s.fleetState.committedRevision {
		s.fleetState.ConfirmCurrent(s.now() - time.Duration(reply.StalenessNanos))
	}
	if reply.Committed <= s.fleetState.committedRevision {
		return
	}
	s.configCache.apply(reply.Items, reply.Complete)
	s.fleetState.SetCommitted(s.now(), reply.Committed)
	s.broadcastChangeLocked()
}

// catchUp waits until this registry has the revision that was committed when it started, and then marks the fleet state
// as caught up. Until then the registry grants no leases and shows operators no configuration.
func (c *configSync) catchUp(ctx context.Context) {
	s := c.state
	for failures := 1; ctx.Err() == nil; failures++ {
		timeoutCtx, cancel := context.WithTimeout(ctx, s.config.lease/session.RenewalsPerLease)
		readIndex, err := c.store.ReadIndex(timeoutCtx, &schema.Empty{})
		cancel()
		if err == nil && !readIndex.Undecided {
			if readIndex.Empty {
				s.lock.Lock()
				s.reservations.SetNeverUsed()
				s.lock.Unlock()
			}
			caughtUp := s.awaitCommitted(ctx, readIndex.Committed, func() {
				s.fleetState.SetCaughtUp()
				s.broadcastChangeLocked()
			})
			if caughtUp {
				return
			}
		}
		s.waitLeaseFraction(ctx, backoffDivisor(failures))
	}
}
