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

// attemptSender is a proxy's way to the worker's side: its own, or another proxy's over a link that
// may be cut, slow, lossy, or end in a dead or frozen machine.
func (w *World) attemptSender(node *proxyNode, processRun int) dispatch.Sender {
	peer := w.peerOf(node)
	return func(ctx context.Context, candidate plan.Endpoint, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
		// What is left of an earlier life does nothing any more.
		if currentRun, _, up := w.processRunOf(&node.process); !up || currentRun != processRun {
			<-ctx.Done()
			return nil, errs.New(errs.PeerConnectionLost, "this proxy is dead")
		}
		if !request.RecallOnly && !request.AdmissionOnly {
			w.History.recordDispatch(w.time(), node, request)
		}
		if !w.awaitThaw(&node.process, processRun) {
			<-ctx.Done()
			return nil, errs.New(errs.PeerConnectionLost, "this proxy is dead")
		}
		if candidate.Proxy == node.name {
			return node.runner.Run(ctx, peer, request), nil
		}
		forwarded := proto.Clone(request).(*schema.ForwardRequest)
		results := make(chan forwardResult, 1)
		w.forwardToPeer(node, candidate.Proxy, peer, forwarded, results)
		select {
		case result := <-results:
			return result.response, result.err
		case <-ctx.Done():
			w.propagateCancel(node, candidate.Proxy, request.Request)
			return nil, errs.New(errs.PeerConnectionLost, "no answer in time")
		}
	}
}

// forwardResult is what comes back of a dispatch.
type forwardResult struct {
	response *schema.ForwardResponse
	err      error
}

// peerOf is how a proxy stands before another: it may speak for its own callers.
func (w *World) peerOf(node *proxyNode) transport.Peer {
	callers := map[string]bool{"client": true, "saves": true}
	return transport.LocalPeer("proxy", node.name, callers)
}

func (w *World) forwardToPeer(node *proxyNode, name string, peer transport.Peer, request *schema.ForwardRequest,
	results chan forwardResult) {
	random := w.derivedRandom(request.Request)
	var target *proxyNode
	for _, candidate := range w.proxies {
		if candidate.name == name {
			target = candidate
		}
	}
	lost := func() { results <- forwardResult{nil, w.lostLinkError()} }
	unopened := func(after time.Duration) {
		w.schedule(after, func() { results <- forwardResult{nil, errs.New(errs.PeerConnectFailed, name)} })
	}
	delay, dropped := w.sampleLink(&node.process, &target.process, random)
	_, _, up := w.processRunOf(&target.process)
	switch {
	case !up:
		unopened(delay)
		return
	case w.seededFault == SeededSpuriousUnopened && random.IntN(8) == 0:
		unopened(delay)
		return
	// A link that does not open is known for it after a while; one that was open says nothing.
	case (dropped || w.isPartitioned(&target.process, &node.process)) && random.IntN(2) == 0:
		unopened(dialTimeout)
		return
	case dropped:
		// What was sent may still arrive, once the link is whole, long after it was given up on.
		if random.IntN(2) == 0 {
			w.schedule(time.Duration(random.Int64N(int64(12*time.Second))), func() {
				if !w.isPartitioned(&node.process, &target.process) {
					w.scheduleOn(&target.process, 0,
						func() { w.serveForward(target, peer, request, func(*schema.ForwardResponse) {}, func() {}) })
				}
			})
		}
		if w.seededFault == SeededLostLinkAsUnopened {
			w.schedule(dialTimeout, lost)
		}
		return
	}
	w.lock.Lock()
	duplicated := random.Float64() < w.duplicationRate
	w.lock.Unlock()
	if duplicated {
		w.schedule(delay+time.Duration(random.Int64N(int64(time.Second))), func() {
			w.scheduleOn(&target.process, 0, func() {
				w.serveForward(target, peer, proto.Clone(request).(*schema.ForwardRequest), func(*schema.ForwardResponse) {}, func() {})
			})
		})
	}
	w.schedule(delay, func() {
		w.scheduleOn(&target.process, 0, func() {
			w.serveForward(target, peer, request, func(response *schema.ForwardResponse) {
				returnRandom := w.derivedRandom("back " + request.Request)
				delay, dropped := w.sampleLink(&target.process, &node.process, returnRandom)
				if !dropped {
					w.schedule(delay, func() { results <- forwardResult{w.maybeCorrupt(response, returnRandom), nil} })
				}
			}, lost)
		})
	})
}

func (w *World) lostLinkError() error {
	if w.seededFault == SeededLostLinkAsUnopened {
		return errs.New(errs.PeerConnectFailed, "lost")
	}
	return errs.New(errs.PeerConnectionLost, "lost")
}

// maybeCorrupt alters an answer now and then on the way; a checksum that fits would be a forgery.
func (w *World) maybeCorrupt(response *schema.ForwardResponse, random *rand.Rand) *schema.ForwardResponse {
	received := proto.Clone(response).(*schema.ForwardResponse)
	w.lock.Lock()
	rate := w.corruptionRate
	w.lock.Unlock()
	if rate == 0 || random.Float64() >= rate || len(received.Body) == 0 {
		return received
	}
	received.Body = append([]byte(nil), received.Body...)
	received.Body[random.IntN(len(received.Body))] ^= 1
	if w.seededFault == SeededForgedChecksum {
		received.Checksum = crc32.ChecksumIEEE(received.Body)
	}
	return received
}

// serveForward runs a dispatch at the proxy that it came to. Should that proxy die, the link is lost.
func (w *World) serveForward(target *proxyNode, peer transport.Peer, request *schema.ForwardRequest,
	answer func(*schema.ForwardResponse), lost func()) {
	processRun, exited, _ := w.processRunOf(&target.process)
	runner := target.runner
	// Somebody else now and then sends under a name that is not its own.
	if request.Caller == "client" && w.derivedRandom("stranger "+request.Request).IntN(100) == 0 {
		forged := proto.Clone(request).(*schema.ForwardRequest)
		forged.Request = "forged-" + request.Request
		forged.Caller = "saves"
		forged.RecallOnly = false
		impostor := transport.LocalPeer("proxy", "stranger", map[string]bool{"client": true})
		if w.seededFault == SeededAnyCallerAccepted {
			impostor = transport.LocalPeer("proxy", "stranger", map[string]bool{"client": true, "saves": true})
		}
		go runner.Run(context.Background(), impostor, forged)
	}
	done := make(chan *schema.ForwardResponse, 1)
	ctx := callContext(request.Request)
	if w.Options.CallerCancelRate > 0 {
		ctx = w.cancellableContext(request.Request)
	}
	go func() { done <- runner.Run(ctx, peer, request) }()
	go func() {
		select {
		case response := <-done:
			if w.awaitThaw(&target.process, processRun) {
				answer(response)
				return
			}
			lost()
		case <-exited:
			lost()
		}
	}()
}
