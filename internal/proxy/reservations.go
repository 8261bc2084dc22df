package proxy

import (
	"context"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// pendingReservation is a reservation of an idempotency key, or its release, that waits to be sent to one registry.
type pendingReservation struct {
	ctx         context.Context                  // context of the attempt; ends when reserveKey returns
	reservation *schema.KeyReservation           // reservation or release to send
	responses   chan session.ReservationResponse // receives one response per registry; buffered for all of them
}

// maxReservationBatch is the capacity of the queue to one registry, and the maximum number of reservations in one
// request.
const maxReservationBatch = 1024

// reserveKey sends a reservation to every registry and returns as soon as the outcome is decided, at the latest when ctx
// ends or the attempt times out. The second result is the conflicting reservation, nil if there is none.
func (s *Server) reserveKey(ctx context.Context, reservation *schema.KeyReservation) (session.ReservationOutcome, *schema.KeyReservation) {
	timeout := session.ReservationAttemptTimeout(s.leaseDuration)
	attemptCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	addresses := s.registryAddresses()
	s.lock.Lock()
	attempt := session.NewReservationAttempt(reservation, s.coreSize, s.now(), timeout)
	s.lock.Unlock()
	responses := make(chan session.ReservationResponse, len(addresses))
	for _, address := range addresses {
		select {
		case s.reservationQueue(address) <- &pendingReservation{attemptCtx, reservation, responses}:
		default:
			responses <- session.ReservationResponse{} // the queue is full: count this registry as not answering
		}
	}
	return attempt.AwaitOutcome(attemptCtx, len(addresses), responses, s.now)
}

// reservationQueue returns the queue to the registry at address. The first use of an address creates the queue and
// starts the goroutine that sends its reservations.
func (s *Server) reservationQueue(address string) chan *pendingReservation {
	s.lock.Lock()
	defer s.lock.Unlock()
	queue := s.reservationQueues[address]
	if queue == nil {
		queue = make(chan *pendingReservation, maxReservationBatch)
		s.reservationQueues[address] = queue
		go s.sendReservations(s.rpcContext, address, queue)
	}
	return queue
}

// sendReservations sends the reservations of a queue to one registry until ctx ends. Reservations that arrive while a
// batch is in flight form the next batch, so that many concurrent calls cost few messages.
func (s *Server) sendReservations(ctx context.Context, address string, queue chan *pendingReservation) {
	var batch []*pendingReservation // the backing array is reused
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

// collectBatch appends the queued reservations to batch, up to maxReservationBatch in total. It does not block.
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

// dropAbandoned removes, in place, the reservations whose context ended while they were queued, and gives them an empty
// response. Releases are kept in any case.
func dropAbandoned(batch []*pendingReservation) []*pendingReservation {
	remaining := batch[:0]
	for _, pending := range batch {
		if pending.ctx.Err() != nil && !pending.reservation.Release {
			pending.responses <- session.ReservationResponse{}
			continue
		}
		remaining = append(remaining, pending)
	}
	return remaining
}

// sendReservationBatch sends a batch to one registry and distributes the replies, which are in the order of the batch. A
// reservation without a reply gets an empty response.
func (s *Server) sendReservationBatch(ctx context.Context, address string, batch []*pendingReservation) {
	request := &schema.ReserveRequest{}
	for _, pending := range batch {
		request.Reservations = append(request.Reservations, pending.reservation)
	}
	requestCtx, cancel := context.WithTimeout(ctx, session.ReservationAttemptTimeout(s.leaseDuration))
	reply, err := s.registryClient(requestCtx, address).Claim(requestCtx, request)
	cancel()
	for i, pending := range batch {
		if err != nil || i >= len(reply.Replies) {
			pending.responses <- session.ReservationResponse{}
			continue
		}
		pending.responses <- session.ReservationResponse{MemberID: reply.Member, Response: reply.Replies[i]}
	}
}
