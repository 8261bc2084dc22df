package store

import (
	"context"
	"fmt"
	"slices"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/options"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// This file sends and receives the messages between replicas. Each other replica has an outbox and a goroutine that
// sends from it, the sender, which keeps a stream open to each possible address of that replica. Sending is best effort:
// the state machine resends whatever must arrive.

// peerStream is an open Deliver stream to one address. Only the sender that opened it uses it.
type peerStream struct {
	schema.DRPCStore_DeliverClient
	cancel context.CancelFunc     // ends the stream
	header *schema.ReplicaMessage // header of the last message sent with one; the body is nil
}

// outbox returns the queue of messages for a replica. The first call for a replica starts its sender. The caller holds
// s.lock.
func (s *Server) outbox(name string) chan *schema.ReplicaMessage {
	if s.outboxes[name] == nil {
		s.outboxes[name] = make(chan *schema.ReplicaMessage, s.initialOptions.Buffer)
		go s.sendLoop(s.ctx, name, s.outboxes[name])
	}
	return s.outboxes[name]
}

// sendLoop is the sender for one replica. It sends the messages of the outbox in order until ctx ends, all that are
// waiting in one batch.
func (s *Server) sendLoop(ctx context.Context, name string, outbox chan *schema.ReplicaMessage) {
	streams := map[string]*peerStream{} // the open streams, by address
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
		// With a static member list, a replica may run at any seed or may have come back at another one. Every message
		// names its receiver, and other replicas ignore it.
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

// drainOutbox returns a message and those waiting behind it, at most as many as the outbox holds.
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

// addressesOf returns the addresses to try for a replica, in order. If known, it is enough that the messages are written
// to one of them. Otherwise they must go to all, since the replica may run at any of them.
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

// sendTo writes messages to the stream for an address, which it opens if needed, and reports whether it succeeded. A
// stream from an earlier call may have broken since, which shows only when it is written to. It is then reopened once.
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

// openStream opens a Deliver stream to an address. The caller closes it by its cancel function.
func (s *Server) openStream(ctx context.Context, address string) (*peerStream, error) {
	streamCtx, cancel := context.WithCancel(ctx)
	stream, err := schema.NewDRPCStoreClient(s.transport.Conn(streamCtx, address)).Deliver(streamCtx)
	if err != nil {
		cancel()
		return nil, err
	}
	return &peerStream{stream, cancel, &schema.ReplicaMessage{}}, nil
}

// compressHeaders returns the messages without those headers that equal the previous one in the stream: most messages
// are heartbeats, which are small compared with the header. Deliver restores the headers.
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

// equalHeaders reports whether two messages are equal in all fields except the body.
func equalHeaders(a, b *schema.ReplicaMessage) bool {
	return a.From == b.From &&
		a.To == b.To &&
		a.Address == b.Address &&
		a.Incarnation == b.Incarnation &&
		a.Founder == b.Founder
}

// setHeader copies the header of one message, which is every field except the body, to another message.
func setHeader(message, header *schema.ReplicaMessage) {
	message.From = header.From
	message.To = header.To
	message.Address = header.Address
	message.Incarnation = header.Incarnation
	message.Founder = header.Founder
}

// Deliver receives messages from another replica until the stream ends. It fails with errs.Unauthorized if the sender
// named in a message is not the authenticated peer, or the peer is not a store.
func (s *Server) Deliver(stream schema.DRPCStore_DeliverStream) error {
	peer := transport.PeerFromContext(stream.Context())
	header := &schema.ReplicaMessage{}
	for {
		messages, err := stream.Recv()
		if err != nil {
			return nil // the sender closed the stream, or the connection broke; the sender opens another one
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
				return errs.New(errs.Unauthorized, fmt.Sprintf("message from %q on a stream of %s %q", message.From, peer.Role, peer.Name))
			}
			s.step(func(now time.Duration) []Action { return s.replica.Step(now, message) })
		}
	}
}
