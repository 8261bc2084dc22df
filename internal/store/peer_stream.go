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

// Messages to other replicas: each has an outbox and a sender, which keeps a stream open to each of the replica's
// possible addresses. Sending is best effort; the replica repeats what matters.

// peerStream is an open Deliver stream to one address. Only its sender uses it.
type peerStream struct {
	schema.DRPCStore_DeliverClient
	cancel context.CancelFunc     // closes the stream
	header *schema.ReplicaMessage // the header of the last message that was sent with one; its body is nil
}

// outbox returns the queue of messages for a replica; it starts the sender with the first. The caller holds the
// lock.
func (s *Server) outbox(name string) chan *schema.ReplicaMessage {
	if s.outboxes[name] == nil {
		s.outboxes[name] = make(chan *schema.ReplicaMessage, s.initialOptions.Buffer)
		go s.sendLoop(s.ctx, name, s.outboxes[name])
	}
	return s.outboxes[name]
}

// sendLoop is the sender for one replica: it sends messages in order, as many at once as wait, until ctx ends.
func (s *Server) sendLoop(ctx context.Context, name string, outbox chan *schema.ReplicaMessage) {
	streams := map[string]*peerStream{} // by address
	for {
		var messages []*schema.ReplicaMessage
		select {
		case <-ctx.Done():
			for _, stream := range streams {
				stream.cancel()
			}
			return
		case first := <-outbox:
			messages = s.drainOutbox(first, outbox)
		}
		// A replica with a static member list may be at any seed, or have come back elsewhere. Messages name the
		// replica that they are for, and any other one ignores them.
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

// drainOutbox returns a message and those that wait behind it, up to the outbox's bound.
func (s *Server) drainOutbox(first *schema.ReplicaMessage, outbox <-chan *schema.ReplicaMessage) []*schema.ReplicaMessage {
	messages := []*schema.ReplicaMessage{first}
	for len(messages) < int(s.initialOptions.Buffer) {
		select {
		case next := <-outbox:
			messages = append(messages, next)
		default:
			return messages
		}
	}
	return messages
}

// addressesOf lists the addresses to try for a replica. known means that one that takes the messages is enough;
// otherwise they go to all, as any may be the replica.
func (s *Server) addressesOf(name string) (addresses []string, known bool) {
	s.lock.Lock()
	address := s.replica.Addresses()[name]
	s.lock.Unlock()
	if s.initialOptions.Order == "" {
		if address == "" {
			address = storeAddress(s.initialOptions, name)
		}
		return []string{address}, true
	}
	seeds := options.SplitList(s.currentOptions().Seeds)
	if address == "" {
		return seeds, false
	}
	return append([]string{address}, seeds...), true
}

// sendTo sends messages to an address. A stream that was open may have broken since, which shows only now, so it is
// then opened anew, once. It returns whether the messages were written.
func (s *Server) sendTo(ctx context.Context, streams map[string]*peerStream, address string, messages []*schema.ReplicaMessage) bool {
	for {
		current, existed := streams[address]
		if !existed {
			opened, err := s.openStream(ctx, address)
			if err != nil {
				return false
			}
			current = opened
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

// openStream opens a Deliver stream to an address; the caller ends it by its cancel.
func (s *Server) openStream(ctx context.Context, address string) (*peerStream, error) {
	streamCtx, cancel := context.WithCancel(ctx)
	stream, err := schema.NewDRPCStoreClient(s.transport.Conn(streamCtx, address)).Deliver(streamCtx)
	if err != nil {
		cancel()
		return nil, err
	}
	return &peerStream{stream, cancel, &schema.ReplicaMessage{}}, nil
}

// compressHeaders leaves out the headers of messages that equal the one before in the stream, since most messages
// are small heartbeats. Deliver puts them back.
func (p *peerStream) compressHeaders(messages []*schema.ReplicaMessage) (compressed []*schema.ReplicaMessage) {
	for _, message := range messages {
		if equalHeaders(message, p.header) {
			message = &schema.ReplicaMessage{Body: message.Body}
		} else {
			p.header = &schema.ReplicaMessage{}
			setHeader(p.header, message)
		}
		compressed = append(compressed, message)
	}
	return compressed
}

// equalHeaders reports whether two messages agree in all but the body.
func equalHeaders(a, b *schema.ReplicaMessage) bool {
	return a.From == b.From &&
		a.To == b.To &&
		a.Address == b.Address &&
		a.Incarnation == b.Incarnation &&
		a.Founder == b.Founder
}

// setHeader makes the header of a message, all but its body, that of another.
func setHeader(message, header *schema.ReplicaMessage) {
	message.From = header.From
	message.To = header.To
	message.Address = header.Address
	message.Incarnation = header.Incarnation
	message.Founder = header.Founder
}

// Deliver receives messages from another replica until the stream ends. A message in another replica's name than
// that of the certificate ends it with errs.Unauthorized.
func (s *Server) Deliver(stream schema.DRPCStore_DeliverStream) error {
	peer := transport.PeerFromContext(stream.Context())
	header := &schema.ReplicaMessage{}
	for {
		messages, err := stream.Recv()
		if err != nil {
			return nil // the sender closed the stream or its connection broke; it opens another one
		}
		for _, message := range messages.Messages {
			if message.From == "" {
				setHeader(message, header)
			} else {
				header = &schema.ReplicaMessage{}
				setHeader(header, message)
			}
			if peer.Role != "store" || peer.Name != message.From {
				s.transport.RejectedPeers.Add(1)
				return errs.New(errs.Unauthorized, message.From)
			}
			s.step(func(now time.Duration) []Action { return s.replica.Step(now, message) })
		}
	}
}
