package registry

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// Fractions and multiples of times.
const (
	pollWaitDivisor    = 2 // fraction of a lease that one poll of a peer may wait for updates
	peerHeartbeatTicks = 4 // heartbeat ticks between heartbeats of a session between registries: traffic between zones is expensive
)

// peerSync keeps this registry's service directory and member addresses in step with those of the other registries: by a
// subscription to each, or by polls where a static member order is set. Its fields are set at the start and do not change.
type peerSync struct {
	state *sharedState
	peers *peerClients
	log   logr.Logger
}

func newPeerSync(state *sharedState, peers *peerClients, log logr.Logger) *peerSync {
	return &peerSync{state: state, peers: peers, log: log}
}

// run syncs with all other registries at the addresses known at the time, until ctx ends.
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
				bounded, cancel := context.WithCancel(ctx)
				cancelByAddress[address] = cancel
				go p.syncWithPeer(bounded, address)
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
		bounded, cancel := context.WithTimeout(ctx, p.state.config.lease)
		response, err := p.peers.at(bounded, address).Feed(bounded, request)
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

// mergePeerUpdateLocked takes what another registry knows of members and sources, and tells whether anything of it was new. The
// caller holds the lock.
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

// subscribeToPeer subscribes to the registry at an address, and again whenever the subscription ends, until ctx ends.
func (p *peerSync) subscribeToPeer(ctx context.Context, address string) {
	for ctx.Err() == nil {
		memberID, err := p.runPeerSubscription(ctx, address)
		if memberID != "" && ctx.Err() == nil {
			p.log.V(1).Info("peer registry subscription ended", "address", address, "code", errs.CodeOf(err))
		}
		p.state.waitLeaseFraction(ctx, retryIntervalDivisor)
	}
}

// runPeerSubscription runs one subscription until it fails, which it always does in the end: with PeerConnectFailed or
// PeerConnectionLost. memberID is that of the peer, or empty if no update came that named it.
func (p *peerSync) runPeerSubscription(ctx context.Context, address string) (memberID string, err error) {
	lease := p.state.config.lease
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	// A registry that has sent nothing for a lease counts as lost, even if its connection is open.
	watchdog := time.AfterFunc(lease, cancel)
	defer watchdog.Stop()
	stream, err := p.peers.at(bounded, address).Attend(bounded, p.subscribeRequest())
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

// applyPeerUpdate applies an update of a peer; its memberID is empty until known.
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
