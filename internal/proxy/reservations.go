package proxy

import (
	"context"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// pendingReservation is a reservation, or release, of an idempotency key on its way to one registry.
type pendingReservation struct {
	ctx         context.Context // of the call that reserves; the request lives no longer than it
	reservation *schema.KeyReservation
	answers     chan session.ReservationAnswer // has room for the answers of all registries, so that sending never blocks
}

// maxReservationBatch bounds the reservations that wait for one registry and those that are sent at once.
const maxReservationBatch = 1024

// reserveKey sends a reservation to every registry and returns as soon as it is granted or refused, with the
// conflicting reservation if there is one.
func (s *Server) reserveKey(ctx context.Context, reservation *schema.KeyReservation) (session.ReservationOutcome, *schema.KeyReservation) {
	timeout := session.ReservationAttemptTimeout(s.leaseDuration)
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	addresses := s.registryAddresses()
	s.lock.Lock()
	round := session.NewReservationAttempt(reservation, s.coreSize, s.now(), timeout)
	s.lock.Unlock()
	answers := make(chan session.ReservationAnswer, len(addresses))
	for _, address := range addresses {
		select {
		case s.reservationQueue(address) <- &pendingReservation{bounded, reservation, answers}:
		default:
			answers <- session.ReservationAnswer{} // the queue is full, so this registry gives no answer
		}
	}
	return round.AwaitOutcome(bounded, len(addresses), answers, s.now)
}

// reservationQueue is the queue to one registry; the first reservation starts the goroutine that sends it.
func (s *Server) reservationQueue(address string) chan *pendingReservation {
	s.lock.Lock()
	defer s.lock.Unlock()
	queue := s.reservationQueues[address]
	if queue == nil {
		queue = make(chan *pendingReservation, maxReservationBatch)
		s.reservationQueues[address] = queue
		go s.sendReservations(s.linkContext, address, queue)
	}
	return queue
}

// sendReservations sends the reservations of a queue to one registry until ctx ends. What arrives while one batch is
// under way is sent with the next, so that many calls at once cost few messages.
func (s *Server) sendReservations(ctx context.Context, address string, queue chan *pendingReservation) {
	var batch []*pendingReservation // its memory is reused
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-queue:
			batch = collectBatch(append(batch[:0], first), queue)
			if remaining := dropAbandoned(batch); len(remaining) > 0 {
				s.sendReservationBatch(ctx, address, remaining)
			}
			clear(batch)
		}
	}
}

// collectBatch appends what waits in the queue to a batch, up to maxReservationBatch.
func collectBatch(batch []*pendingReservation, queue chan *pendingReservation) []*pendingReservation {
	for len(batch) < maxReservationBatch {
		select {
		case next := <-queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// dropAbandoned removes, in place, the reservations whose calls have ended while they waited. A release is sent in any
// case.
func dropAbandoned(batch []*pendingReservation) []*pendingReservation {
	remaining := batch[:0]
	for _, pending := range batch {
		if pending.ctx.Err() != nil && !pending.reservation.Release {
			pending.answers <- session.ReservationAnswer{}
			continue
		}
		remaining = append(remaining, pending)
	}
	return remaining
}

// sendReservationBatch sends a batch to one registry and distributes its replies, which come in the order of the
// batch. A reservation without a reply gets an empty answer.
func (s *Server) sendReservationBatch(ctx context.Context, address string, batch []*pendingReservation) {
	request := &schema.ReserveRequest{}
	for _, pending := range batch {
		request.Reservations = append(request.Reservations, pending.reservation)
	}
	bounded, cancel := context.WithTimeout(ctx, session.ReservationAttemptTimeout(s.leaseDuration))
	reply, err := s.registryClient(bounded, address).Claim(bounded, request)
	cancel()
	for i, pending := range batch {
		if err != nil || i >= len(reply.Replies) {
			pending.answers <- session.ReservationAnswer{}
			continue
		}
		pending.answers <- session.ReservationAnswer{MemberID: reply.Member, Response: reply.Replies[i]}
	}
}
