package registry

import (
	"context"
	"time"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// acknowledger waits until every proxy with a valid lease has applied a committed revision. Its fields do not change
// after construction.
type acknowledger struct {
	state *sharedState
	peers *peerClients
}

func newAcknowledger(state *sharedState, peers *peerClients) *acknowledger {
	return &acknowledger{state: state, peers: peers}
}

// await waits until no proxy can use a configuration older than revision, and reports whether that happened before
// ctx ended. If not, laggards names the proxies whose leases still allow an older configuration, in no order. With
// the option acknowledge-after set to "stable" it returns true at once.
func (a *acknowledger) await(ctx context.Context, revision uint64) (laggards []string, acknowledged bool) {
	if a.state.config.acknowledgesAfterCommit {
		return nil, true
	}
	acknowledgement := NewAcknowledgement(a.state.memberCount())
	for {
		replies, stateChanged := a.setFences(ctx, revision)
		lagging := map[string]bool{}
		for _, reply := range replies {
			for _, laggard := range reply.Laggards {
				lagging[laggard.Proxy] = true
			}
			if acknowledgement.Record(reply) {
				a.state.lock.Lock()
				a.state.fleetState.traceAcknowledged(a.state.now(), revision)
				a.state.lock.Unlock()
				return nil, true
			}
		}
		select {
		case <-ctx.Done():
			for name := range lagging {
				laggards = append(laggards, name)
			}
			return laggards, false
		case <-stateChanged:
		case <-time.After(a.state.config.lease / batchDivisor):
		}
	}
}

// setFences sets the fence on this registry and on all others, and returns the replies received. stateChanged is closed
// at the next state change of this registry after its own fence was set.
func (a *acknowledger) setFences(ctx context.Context, revision uint64) (replies []*schema.FenceReply, stateChanged chan struct{}) {
	s := a.state
	s.lock.Lock()
	own := s.fleetState.SetFence(s.now(), revision)
	stateChanged = s.stateChanged
	s.lock.Unlock()
	others := callOtherRegistries(ctx, a.peers, s.config.lease/session.RenewalsPerLease,
		func(ctx context.Context, peer schema.DRPCRegistryClient) (*schema.FenceReply, error) {
			return peer.Bar(ctx, &schema.FenceRequest{Revision: revision})
		})
	return append([]*schema.FenceReply{own}, others...), stateChanged
}
