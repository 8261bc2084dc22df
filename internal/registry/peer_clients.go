package registry

import (
	"context"
	"time"

	"meadowhinge/internal/session"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// peerClients makes RPCs to the other registries. Its fields do not change after construction.
type peerClients struct {
	state     *sharedState
	transport *transport.Transport
}

func newPeerClients(state *sharedState, rpcTransport *transport.Transport) *peerClients {
	return &peerClients{state: state, transport: rpcTransport}
}

// clientAt returns a client of the registry at an address.
func (p *peerClients) clientAt(ctx context.Context, address string) schema.DRPCRegistryClient {
	return schema.NewDRPCRegistryClient(p.transport.Conn(ctx, address))
}

// callOtherRegistries calls every other registry concurrently and returns the successful replies that arrived before
// the timeout, in no order.
func callOtherRegistries[T any](ctx context.Context, p *peerClients, timeout time.Duration,
	call func(context.Context, schema.DRPCRegistryClient) (T, error),
) []T {
	p.state.lock.Lock()
	addresses := p.state.membership.peerAddresses()
	p.state.lock.Unlock()
	timeoutCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	replies := make(chan *T, len(addresses))
	for address := range addresses {
		go func() {
			reply, err := call(timeoutCtx, p.clientAt(timeoutCtx, address))
			if err != nil {
				replies <- nil
				return
			}
			replies <- &reply
		}()
	}
	var received []T
	for range addresses {
		if reply := <-replies; reply != nil {
			received = append(received, *reply)
		}
	}
	return received
}

// collectCounts returns the merged call counts of this registry and of all others that reply within one lease renewal
// interval.
func (p *peerClients) collectCounts(ctx context.Context) []*schema.SourceCounts {
	replies := callOtherRegistries(ctx, p, p.state.config.lease/session.RenewalsPerLease,
		func(ctx context.Context, peer schema.DRPCRegistryClient) (*schema.CountsReply, error) {
			return peer.Counts(ctx, &schema.CountsRequest{})
		})
	return MergeCounts(append(replies, p.state.localCounts(false)))
}
