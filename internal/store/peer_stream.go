package store

import (
	"context"
	"slices"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/options"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// outbox is where messages for a replica wait to be posted; the caller holds the lock.
func (s *Server) outbox(name string) chan *schema.ReplicaMessage {
	if s.outboxes[name] == nil {
		s.outboxes[name] = make(chan *schema.ReplicaMessage, s.initialOptions.Buffer)
		go s.sendLoop(s.ctx, name, s.outboxes[name])
	}
	return s.outboxes[name]
}

// addressesOf finds where a replica is reached: where it last spoke from, else every seed.
func (s *Server) addressesOf(name string) (addresses []string, known bool) {
	s.lock.Lock()
	address := s.replica.Addresses()[name]
	s.lock.Unlock()
	// Replicas that are named by their IPs are found by their names.
	if address == "" && s.initialOptions.Order == "" {
		address = storeAddress(s.initialOptions, name)
	}
	if s.initialOptions.Order == "" {
		return []string{address}, true
	}
	if address != "" {
		return append([]string{address}, options.SplitList(s.currentOptions().Seeds)...), true
	}
	return options.SplitList(s.currentOptions().Seeds), false
}

// peerStream is an open stream of messages to one address.
type peerStream struct {
	schema.DRPCStore_DeliverClient
	cancel context.CancelFunc
	header *schema.ReplicaMessage // what its messages have in common
}

// sendLoop sends messages to one replica, in order, as many at once as are waiting.
func (s *Server) sendLoop(ctx context.Context, name string, outbox chan *schema.ReplicaMessage) {
	streams := map[string]*peerStream{}
	for {
		var messages []*schema.ReplicaMessage
		select {
		case <-ctx.Done():
			for _, stream := range streams {
				stream.cancel()
			}
			return
		case first := <-outbox:
			messages = append(messages, first)
		}
		for more := true; more && len(messages) < int(s.initialOptions.Buffer); {
			select {
			case next := <-outbox:
				messages = append(messages, next)
			default:
				more = false
			}
		}
		// A replica may stand at any seed, or have come back elsewhere; messages name whom they are
		// for, and a store that is not the one meant ignores them.
		addresses, known := s.addressesOf(name)
		for _, address := range addresses {
			if s.sendTo(ctx, streams, address, messages) && known {
				break
			}
		}
		for address, stream := range streams {
			if !slices.Contains(addresses, address) {
				stream.cancel()
				delete(streams, address)
			}
		}
	}
}

// sendTo sends messages over the wire to an address. One that was open may have broken long since,
// so a second is tried.
func (s *Server) sendTo(ctx context.Context, streams map[string]*peerStream, address string, messages []*schema.ReplicaMessage) bool {
	for {
		current, existed := streams[address]
		if !existed {
			streamCtx, cancel := context.WithCancel(ctx)
			stream, err := schema.NewDRPCStoreClient(s.transport.Conn(streamCtx, address)).Deliver(streamCtx)
			if err != nil {
				cancel()
				return false
			}
			current = &peerStream{stream, cancel, &schema.ReplicaMessage{}}
			streams[address] = current
		}
		err := current.Send(&schema.ReplicaMessages{Messages: current.compressHeaders(messages)})
		if err == nil {
			return true
		}
		current.cancel()
		delete(streams, address)
		if !existed {
			return false
		}
	}
}

// compressHeaders leaves out of messages what the one before said too: heartbeats are most of what is sent.
func (w *peerStream) compressHeaders(messages []*schema.ReplicaMessage) (compressed []*schema.ReplicaMessage) {
	for _, message := range messages {
		if equalHeaders(message, w.header) {
			message = &schema.ReplicaMessage{Body: message.Body}
		} else {
			w.header = &schema.ReplicaMessage{}
			copyHeader(w.header, message)
		}
		compressed = append(compressed, message)
	}
	return compressed
}

func equalHeaders(a, b *schema.ReplicaMessage) bool {
	return a.From == b.From && a.To == b.To && a.Address == b.Address && a.Incarnation == b.Incarnation && a.Founder == b.Founder
}

// copyHeader puts back what shorten left out.
func copyHeader(message, header *schema.ReplicaMessage) {
	message.From, message.To, message.Address, message.Incarnation, message.Founder = header.From, header.To, header.Address, header.Incarnation, header.Founder
}

// Deliver takes messages from another replica.
func (s *Server) Deliver(stream schema.DRPCStore_DeliverStream) error {
	peer := transport.PeerFromContext(stream.Context())
	header := &schema.ReplicaMessage{}
	for {
		messages, err := stream.Recv()
		if err != nil {
			return nil // whoever sent them has gone
		}
		for _, message := range messages.Messages {
			if message.From == "" {
				copyHeader(message, header)
			} else {
				header = &schema.ReplicaMessage{}
				copyHeader(header, message)
			}
			// Only the replica named in the certificate may speak as that replica.
			if peer.Role != "store" || peer.Name != message.From {
				s.transport.RejectedPeers.Add(1)
				return errs.New(errs.Unauthorized, message.From)
			}
			s.step(func(now time.Duration) []Action { return s.replica.Step(now, message) })
		}
	}
}
