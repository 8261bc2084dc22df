package proxy

import (
	"context"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// pendingReservation is a claim on its way to one registry.
type pendingReservation struct {
	ctx         context.Context
	reservation *schema.KeyReservation
	answers     chan session.ReservationAnswer // has room for every answer, so that nobody waits to give one
}

// maxReservationBatch bounds the claims that wait for one registry, and that go to it at once.
const maxReservationBatch = 1024

// reserveKey takes a claim to every registry and comes back as soon as it is won or lost.
func (s *Server) reserveKey(ctx context.Context, reservation *schema.KeyReservation) (session.ReservationOutcome, *schema.KeyReservation) {
	timeout := session.ReservationRoundTimeout(s.leaseDuration)
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	addresses := s.registryAddresses()
	s.lock.Lock()
	round := session.NewReservationRound(reservation, s.coreSize, s.now(), timeout)
	s.lock.Unlock()
	answers := make(chan session.ReservationAnswer, len(addresses))
	for _, address := range addresses {
		select {
		case s.reservationQueue(address) <- &pendingReservation{bounded, reservation, answers}:
		default:
			answers <- session.ReservationAnswer{}
		}
	}
	return round.AwaitOutcome(bounded, len(addresses), answers, s.now)
}

// reservationQueue is the way to one registry; the first claim opens it.
func (s *Server) reservationQueue(address string) chan *pendingReservation {
	s.lock.Lock()
	defer s.lock.Unlock()
	queue := s.reservationQueues[address]
	if queue == nil {
		queue = make(chan *pendingReservation, maxReservationBatch)
		s.reservationQueues[address] = queue
		go s.sendReservations(address, queue)
	}
	return queue
}

// sendReservations takes claims to one registry; what comes while one batch is under way goes with
// the next, so that a rush of purchases costs few messages.
func (s *Server) sendReservations(address string, queue chan *pendingReservation) {
	for {
		var batch []*pendingReservation
		select {
		case <-s.linkContext.Done():
			return
		case first := <-queue:
			batch = append(batch, first)
		}
		for more := true; more && len(batch) < maxReservationBatch; {
			select {
			case next := <-queue:
				batch = append(batch, next)
			default:
				more = false
			}
		}
		request := &schema.ReserveRequest{}
		var sent []*pendingReservation
		for _, pending := range batch {
			// Who gave up waiting meanwhile wants no claim any more.
			if pending.ctx.Err() != nil && !pending.reservation.Release {
				pending.answers <- session.ReservationAnswer{}
				continue
			}
			sent = append(sent, pending)
			request.Reservations = append(request.Reservations, pending.reservation)
		}
		if len(sent) == 0 {
			continue
		}
		bounded, cancel := context.WithTimeout(s.linkContext, session.ReservationRoundTimeout(s.leaseDuration))
		reply, err := schema.NewDRPCRegistryClient(s.transport.Conn(bounded, address)).Claim(bounded, request)
		cancel()
		for i, pending := range sent {
			if err != nil || i >= len(reply.Replies) {
				pending.answers <- session.ReservationAnswer{}
				continue
			}
			pending.answers <- session.ReservationAnswer{MemberID: reply.Member, Response: reply.Replies[i]}
		}
	}
}
