package registry

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

const (
	// pollWaitDivisor sets how long one poll of a peer may wait for updates: a lease divided by pollWaitDivisor.
	pollWaitDivisor = 2
	// peerHeartbeatTicks is the heartbeat interval of a session between registries, in heartbeat ticks of a lease divided
	// by session.HeartbeatsPerLease. It is longer than that of proxies, since traffic between zones is expensive.
	peerHeartbeatTicks = 4
)

// peerSync replicates the service directory and the member addresses of the other registries to this one. It subscribes
// to each registry, or polls it if a static member order is set. Its fields do not change after construction.
type peerSync struct {
	state *sharedState
	peers *peerClients
	log   logr.Logger
}

func newPeerSync(state *sharedState, peers *peerClients, log logr.Logger) *peerSync {
	return &peerSync{state: state, peers: peers, log: log}
}

// run syncs with all other registries until ctx ends. It starts and stops the sync with a registry as its address
// becomes known or obsolete.
func (p *peerSync) run(ctx context.Context) {
	cancelByAddress := map[string]context.CancelFunc{}
	for {
		p.state.lock.Lock()
		addresses := p.state.membership.peerAddresses()
		stateChanged := p.state.stateChanged
		p.state.lock.Unlock()
		for address, stop := range cancelByAddress {
			if !addresses[address] {
				stop()
				delete(cancelByAddress, address)
			}
		}
		for address := range addresses {
			if cancelByAddress[address] == nil {
				peerCtx, cancel := context.WithCancel(ctx)
				cancelByAddress[address] = cancel
				go p.syncWithPeer(peerCtx, address)
			}
		}
		select {
		case <-stateChanged:
		case <-ctx.Done():
			return
		}
	}
}

// syncWithPeer syncs with the registry at an address until ctx ends.
func (p *peerSync) syncWithPeer(ctx context.Context, address string) {
	if p.state.config.memberOrder == nil {
		p.subscribeToPeer(ctx, address)
	} else {
		p.pollPeer(ctx, address)
	}
}

// pollPeer polls the registry at an address until ctx ends.
func (p *peerSync) pollPeer(ctx context.Context, address string) {
	for ctx.Err() == nil {
		request := p.pollRequest()
		timeoutCtx, cancel := context.WithTimeout(ctx, p.state.config.lease)
		response, err := p.peers.clientAt(timeoutCtx, address).Feed(timeoutCtx, request)
		cancel()
		if err != nil {
			p.state.waitLeaseFraction(ctx, retryIntervalDivisor)
			continue
		}
		p.state.lock.Lock()
		if p.mergePeerUpdateLocked(response.CoreMembers, response.Sources) {
			p.state.broadcastChangeLocked()
		}
		p.state.lock.Unlock()
	}
}

// pollRequest returns the request of one poll, with this registry's current version vector.
func (p *peerSync) pollRequest() *schema.FeedRequest {
	s := p.state
	s.lock.Lock()
	defer s.lock.Unlock()
	return &schema.FeedRequest{
		Node:       s.config.nodeName(),
		Vector:     s.fleetState.Vector(),
		WaitNanos:  int64(s.config.lease / pollWaitDivisor),
		Member:     s.membership.own(),
		LeaseNanos: int64(s.config.lease),
		MemberList: s.config.memberOrderText,
	}
}

// mergePeerUpdateLocked merges members and sources received from another registry, and reports whether any of them were
// new. The caller holds the lock.
func (p *peerSync) mergePeerUpdateLocked(members []*schema.CoreMember, sources []*schema.Source) bool {
	changed := false
	for _, member := range members {
		changed = p.state.membership.observe(member) || changed
	}
	for _, source := range sources {
		changed = p.state.fleetState.MergeSource(p.state.now(), source) || changed
	}
	return changed
}

// subscribeToPeer keeps a subscription to the registry at an address until ctx ends. It resubscribes whenever the
// subscription ends.
func (p *peerSync) subscribeToPeer(ctx context.Context, address string) {
	for ctx.Err() == nil {
		memberID, err := p.runPeerSubscription(ctx, address)
		if memberID != "" && ctx.Err() == nil {
			p.log.V(1).Info("peer registry subscription ended", "address", address, "code", errs.CodeOf(err))
		}
		p.state.waitLeaseFraction(ctx, retryIntervalDivisor)
	}
}

// runPeerSubscription runs one subscription until it fails, and always returns an error: errs.PeerConnectFailed or
// errs.PeerConnectionLost. memberID is the member id of the peer; it is empty if no received update contained it.
func (p *peerSync) runPeerSubscription(ctx context.Context, address string) (memberID string, err error) {
	lease := p.state.config.lease
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A registry that has sent nothing for a lease counts as lost, even if the connection is open.
	watchdog := time.AfterFunc(lease, cancel)
	defer watchdog.Stop()
	stream, err := p.peers.clientAt(streamCtx, address).Attend(streamCtx, p.subscribeRequest())
	if err != nil {
		return "", errs.Wrap(err, errs.PeerConnectFailed, address)
	}
	for {
		update, err := stream.Recv()
		if err != nil {
			return memberID, errs.Wrap(err, errs.PeerConnectionLost, address)
		}
		watchdog.Reset(lease)
		if memberID == "" {
			p.log.V(1).Info("peer registry connected", "address", address)
		}
		for _, member := range update.CoreMembers {
			if member.Address == address {
				memberID = member.Id
			}
		}
		p.applyPeerUpdate(memberID, update)
	}
}

// applyPeerUpdate applies an update from a peer. memberID is the peer's member id; it is empty while unknown.
func (p *peerSync) applyPeerUpdate(memberID string, update *schema.Update) {
	p.state.lock.Lock()
	defer p.state.lock.Unlock()
	changed := p.mergePeerUpdateLocked(update.CoreMembers, update.Sources)
	if memberID != "" {
		p.state.fleetState.RecordPeerHeard(p.state.now(), memberID, update.Reachable)
	}
	if changed {
		p.state.broadcastChangeLocked()
	}
}

// subscribeRequest returns the request of a subscription, with this registry's current version vector.
func (p *peerSync) subscribeRequest() *schema.SubscribeRequest {
	s := p.state
	s.lock.Lock()
	defer s.lock.Unlock()
	return &schema.SubscribeRequest{
		Node:           s.config.nodeName(),
		Vector:         s.fleetState.Vector(),
		Member:         s.membership.own(),
		LeaseNanos:     int64(s.config.lease),
		HeartbeatNanos: int64(peerHeartbeatTicks * s.config.lease / session.HeartbeatsPerLease),
	}
}
