package simulator

import (
	"context"
	"hash/crc32"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// sender is a proxy's way to the worker's side: its own, or another proxy's over a link that
// may be cut, slow, lossy, or end in a dead or frozen machine.
func (w *World) sender(node *proxyNode, life int) dispatch.Sender {
	peer := w.peerOf(node)
	return func(ctx context.Context, candidate plan.Endpoint, given *schema.ForwardRequest) (*schema.ForwardResponse, error) {
		// What is left of an earlier life does nothing any more.
		if now, _, up := w.lifeOf(&node.machine); !up || now != life {
			<-ctx.Done()
			return nil, errs.New(errs.PeerConnectionLost, "this proxy is dead")
		}
		if !given.RecallOnly && !given.AdmissionOnly {
			w.History.dispatched(w.time(), node, given)
		}
		if !w.thawed(&node.machine, life) {
			<-ctx.Done()
			return nil, errs.New(errs.PeerConnectionLost, "this proxy is dead")
		}
		if candidate.Proxy == node.name {
			return node.runner.Run(ctx, peer, given), nil
		}
		carry := proto.Clone(given).(*schema.ForwardRequest)
		answers := make(chan hopAnswer, 1)
		w.hop(node, candidate.Proxy, peer, carry, answers)
		select {
		case answer := <-answers:
			return answer.carried, answer.err
		case <-ctx.Done():
			w.hangUp(node, candidate.Proxy, given.Request)
			return nil, errs.New(errs.PeerConnectionLost, "no answer in time")
		}
	}
}

func (w *World) hop(node *proxyNode, name string, peer transport.Peer, carry *schema.ForwardRequest, answers chan hopAnswer) {
	dice := w.own(carry.Request)
	var target *proxyNode
	for _, one := range w.proxies {
		if one.name == name {
			target = one
		}
	}
	lost := func() { answers <- hopAnswer{nil, w.lostLink()} }
	unopened := func(after time.Duration) {
		w.after(after, func() { answers <- hopAnswer{nil, errs.New(errs.PeerConnectFailed, name)} })
	}
	delay, dropped := w.passes(&node.machine, &target.machine, dice)
	_, _, up := w.lifeOf(&target.machine)
	switch {
	case !up:
		unopened(delay)
		return
	case w.plant == PlantAway && dice.IntN(8) == 0:
		unopened(delay)
		return
	// A link that does not open is known for it after a while; one that was open says nothing.
	case (dropped || w.isCut(&target.machine, &node.machine)) && dice.IntN(2) == 0:
		unopened(dialBound)
		return
	case dropped:
		// What was sent may still arrive, once the link is whole, long after it was given up on.
		if dice.IntN(2) == 0 {
			w.after(time.Duration(dice.Int64N(int64(12*time.Second))), func() {
				if !w.isCut(&node.machine, &target.machine) {
					w.on(&target.machine, 0, func() { w.serve(target, peer, carry, func(*schema.ForwardResponse) {}, func() {}) })
				}
			})
		}
		if w.plant == PlantFalseNo {
			w.after(dialBound, lost)
		}
		return
	}
	w.lock.Lock()
	twice := dice.Float64() < w.repeat
	w.lock.Unlock()
	if twice {
		w.after(delay+time.Duration(dice.Int64N(int64(time.Second))), func() {
			w.on(&target.machine, 0, func() {
				w.serve(target, peer, proto.Clone(carry).(*schema.ForwardRequest), func(*schema.ForwardResponse) {}, func() {})
			})
		})
	}
	w.after(delay, func() {
		w.on(&target.machine, 0, func() {
			w.serve(target, peer, carry, func(carried *schema.ForwardResponse) {
				back := w.own("back " + carry.Request)
				delay, dropped := w.passes(&target.machine, &node.machine, back)
				if !dropped {
					w.after(delay, func() { answers <- hopAnswer{w.mangled(carried, back), nil} })
				}
			}, lost)
		})
	})
}

func (w *World) lostLink() error {
	if w.plant == PlantFalseNo {
		return errs.New(errs.PeerConnectFailed, "lost")
	}
	return errs.New(errs.PeerConnectionLost, "lost")
}

// mangled alters an answer now and then on the way; a checksum that fits would be a forgery.
func (w *World) mangled(carried *schema.ForwardResponse, dice *rand.Rand) *schema.ForwardResponse {
	came := proto.Clone(carried).(*schema.ForwardResponse)
	w.lock.Lock()
	part := w.mangle
	w.lock.Unlock()
	if part == 0 || dice.Float64() >= part || len(came.Body) == 0 {
		return came
	}
	came.Body = append([]byte(nil), came.Body...)
	came.Body[dice.IntN(len(came.Body))] ^= 1
	if w.plant == PlantForged {
		came.Checksum = crc32.ChecksumIEEE(came.Body)
	}
	return came
}

// serve runs a dispatch at the proxy that it came to. Should that proxy die, the link is lost.
func (w *World) serve(target *proxyNode, peer transport.Peer, carry *schema.ForwardRequest, answer func(*schema.ForwardResponse), lost func()) {
	life, died, _ := w.lifeOf(&target.machine)
	runner := target.runner
	// Somebody else now and then sends under a name that is not its own.
	if carry.Caller == "client" && w.own("stranger "+carry.Request).IntN(100) == 0 {
		forged := proto.Clone(carry).(*schema.ForwardRequest)
		forged.Request, forged.Caller, forged.RecallOnly = "forged-"+carry.Request, "saves", false
		stranger := transport.LocalPeer("proxy", "stranger", map[string]bool{"client": true})
		if w.plant == PlantClaimsAll {
			stranger = transport.LocalPeer("proxy", "stranger", map[string]bool{"client": true, "saves": true})
		}
		go runner.Run(context.Background(), stranger, forged)
	}
	done := make(chan *schema.ForwardResponse, 1)
	ctx := called(carry.Request)
	if w.Options.Leaving > 0 {
		ctx = w.linkedCall(carry.Request)
	}
	go func() { done <- runner.Run(ctx, peer, carry) }()
	go func() {
		select {
		case carried := <-done:
			if w.thawed(&target.machine, life) {
				answer(carried)
				return
			}
			lost()
		case <-died:
			lost()
		}
	}()
}
