package proxy

import (
	"context"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// claimTicket is a claim on its way to one registry.
type claimTicket struct {
	ctx    context.Context
	claim  *schema.Claim
	answer chan session.ClaimAnswer // has room for every answer, so that nobody waits to give one
}

// claimsMost bounds the claims that wait for one registry, and that go to it at once.
const claimsMost = 1024

// claim takes a claim to every registry and comes back as soon as it is won or lost.
func (s *Server) claim(ctx context.Context, claim *schema.Claim) (session.ClaimVerdict, *schema.Claim) {
	bound := session.ClaimBound(s.lease)
	bounded, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	addresses := s.registries()
	s.lock.Lock()
	round := session.NewClaiming(claim, s.seats, s.now(), bound)
	s.lock.Unlock()
	answers := make(chan session.ClaimAnswer, len(addresses))
	for _, address := range addresses {
		select {
		case s.askingAt(address) <- &claimTicket{bounded, claim, answers}:
		default:
			answers <- session.ClaimAnswer{}
		}
	}
	return round.Gather(bounded, len(addresses), answers, s.now)
}

// askingAt is the way to one registry; the first claim opens it.
func (s *Server) askingAt(address string) chan *claimTicket {
	s.lock.Lock()
	defer s.lock.Unlock()
	way := s.asking[address]
	if way == nil {
		way = make(chan *claimTicket, claimsMost)
		s.asking[address] = way
		go s.carryClaims(address, way)
	}
	return way
}

// carryClaims takes claims to one registry; what comes while one batch is under way goes with
// the next, so that a rush of purchases costs few messages.
func (s *Server) carryClaims(address string, way chan *claimTicket) {
	for {
		var batch []*claimTicket
		select {
		case <-s.linked.Done():
			return
		case first := <-way:
			batch = append(batch, first)
		}
		for more := true; more && len(batch) < claimsMost; {
			select {
			case next := <-way:
				batch = append(batch, next)
			default:
				more = false
			}
		}
		asked := &schema.Claims{}
		var going []*claimTicket
		for _, ticket := range batch {
			// Who gave up waiting meanwhile wants no claim any more.
			if ticket.ctx.Err() != nil && !ticket.claim.Drop {
				ticket.answer <- session.ClaimAnswer{}
				continue
			}
			going = append(going, ticket)
			asked.Claims = append(asked.Claims, ticket.claim)
		}
		if len(going) == 0 {
			continue
		}
		bounded, cancel := context.WithTimeout(s.linked, session.ClaimBound(s.lease))
		back, err := schema.NewDRPCRegistryClient(s.ends.To(bounded, address)).Claim(bounded, asked)
		cancel()
		for i, ticket := range going {
			if err != nil || i >= len(back.Claimed) {
				ticket.answer <- session.ClaimAnswer{}
				continue
			}
			ticket.answer <- session.ClaimAnswer{Seat: back.Seat, Claimed: back.Claimed[i]}
		}
	}
}
