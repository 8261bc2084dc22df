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

// attemptSender returns the function by which a proxy sends an attempt to the proxy of a worker. That is the proxy
// itself, or another one over a link. The link may be cut, slow or lossy, and the other proxy may be down or frozen.
func (w *World) attemptSender(node *proxyNode, processRun int) dispatch.Sender {
	peer := peerOf(node)
	return func(ctx context.Context, candidate plan.Endpoint, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
		// Goroutines that remain from an earlier run must have no effect.
		if currentRun, _, up := w.processRunOf(&node.process); !up || currentRun != processRun {
			<-ctx.Done()
			return nil, errs.New(errs.PeerConnectionLost, "the run of the sending proxy has ended")
		}
		if !request.RecallOnly && !request.AdmissionOnly {
			w.History.recordDispatch(w.time(), node, request)
		}
		if !w.awaitThaw(&node.process, processRun) {
			<-ctx.Done()
			return nil, errs.New(errs.PeerConnectionLost, "the run of the sending proxy has ended")
		}
		if candidate.Proxy == node.name {
			return node.runner.Run(ctx, peer, request), nil
		}
		call := &peerCall{
			world:   w,
			from:    node,
			to:      w.proxyNamed(candidate.Proxy),
			peer:    peer,
			request: proto.Clone(request).(*schema.ForwardRequest),
			results: make(chan forwardResult, 1),
		}
		call.start() //nolint:contextcheck // the other proxy learns of a cancellation only through propagateCancel
		select {
		case result := <-call.results:
			return result.response, result.err
		case <-ctx.Done():
			w.propagateCancel(node, candidate.Proxy, request.Request)
			return nil, errs.New(errs.PeerConnectionLost, "no response in time")
		}
	}
}

// forwardResult is the result of a peer RPC at the sending proxy.
type forwardResult struct {
	response *schema.ForwardResponse
	err      error
}

// peerCall is one peer RPC from a proxy to another.
type peerCall struct {
	world    *World
	from, to *proxyNode
	peer     transport.Peer // the sender as the receiver sees it
	request  *schema.ForwardRequest
	results  chan forwardResult // buffered for the one result that the sender receives
}

// peerOf returns the authenticated identity of a proxy at another one. The proxy is authorized for all callers.
func peerOf(node *proxyNode) transport.Peer {
	callers := map[string]bool{"client": true, "saves": true}
	return transport.LocalPeer("proxy", node.name, callers)
}

// start draws whether the connection opens, whether the request is lost or duplicated, and the delays, and schedules
// the results. The golden histories fix the order of the draws.
func (c *peerCall) start() {
	w := c.world
	random := w.derivedRandom(c.request.Request)
	delay, dropped := w.sampleLink(&c.from.process, &c.to.process, random)
	_, _, up := w.processRunOf(&c.to.process)
	switch {
	case !up:
		c.failToConnect(delay)
		return
	case w.seededFault == SeededSpuriousConnectFailed && random.IntN(8) == 0:
		c.failToConnect(delay)
		return
	// In half of the cases of a broken link the connection does not open, which the sender learns after the dial timeout.
	// In the others it was open already, and the sender learns nothing.
	case (dropped || w.isPartitioned(&c.to.process, &c.from.process)) && random.IntN(2) == 0:
		c.failToConnect(dialTimeout)
		return
	case dropped:
		c.lose(random)
		return
	}
	c.maybeDuplicate(delay, random)
	w.schedule(delay, func() {
		w.scheduleOn(&c.to.process, 0, func() { w.serveForward(c.to, c.peer, c.request, c.respond, c.reportConnectionLost) })
	})
}

// failToConnect reports after a delay that the connection never opened. The sender then knows that nothing was
// executed.
func (c *peerCall) failToConnect(delay time.Duration) {
	c.world.schedule(delay, func() {
		c.results <- forwardResult{nil, errs.New(errs.PeerConnectFailed, c.to.name)}
	})
}

// lose loses the request on an open connection. In half of the cases the request still arrives up to 12 s later, long
// after the sender has given up, if the link is up then.
func (c *peerCall) lose(random *rand.Rand) {
	w := c.world
	if random.IntN(2) == 0 {
		w.schedule(time.Duration(random.Int64N(int64(12*time.Second))), func() {
			if !w.isPartitioned(&c.from.process, &c.to.process) {
				w.scheduleOn(&c.to.process, 0, func() { c.serveDiscardingResponse(c.request) })
			}
		})
	}
	if w.seededFault == SeededConnectionLostAsConnectFailed {
		w.schedule(dialTimeout, c.reportConnectionLost)
	}
}

// maybeDuplicate draws whether the request arrives a second time, and schedules the duplicate.
func (c *peerCall) maybeDuplicate(delay time.Duration, random *rand.Rand) {
	w := c.world
	w.lock.Lock()
	duplicated := random.Float64() < w.duplicationRate
	w.lock.Unlock()
	if duplicated {
		w.schedule(delay+time.Duration(random.Int64N(int64(time.Second))), func() {
			w.scheduleOn(&c.to.process, 0, func() { c.serveDiscardingResponse(proto.Clone(c.request).(*schema.ForwardRequest)) })
		})
	}
}

// serveDiscardingResponse serves a request whose response is lost.
func (c *peerCall) serveDiscardingResponse(request *schema.ForwardRequest) {
	c.world.serveForward(c.to, c.peer, request, func(*schema.ForwardResponse) {}, func() {})
}

// respond sends the response back over the link, which may lose or corrupt it.
func (c *peerCall) respond(response *schema.ForwardResponse) {
	w := c.world
	random := w.derivedRandom("back " + c.request.Request)
	delay, dropped := w.sampleLink(&c.to.process, &c.from.process, random)
	if !dropped {
		w.schedule(delay, func() { c.results <- forwardResult{w.maybeCorrupt(response, random), nil} })
	}
}

// reportConnectionLost reports that an open connection was lost. The outcome of the request is then unknown.
func (c *peerCall) reportConnectionLost() {
	c.results <- forwardResult{nil, c.world.connectionLostError()}
}

// connectionLostError returns the error for a connection that was lost after it opened.
func (w *World) connectionLostError() error {
	if w.seededFault == SeededConnectionLostAsConnectFailed {
		return errs.New(errs.PeerConnectFailed, "the connection was lost")
	}
	return errs.New(errs.PeerConnectionLost, "the connection was lost")
}

// maybeCorrupt returns a copy of a response as it arrives. With a probability of World.corruptionRate one bit of its
// body is flipped. The checksum still is that of the original, except with SeededForgedChecksum.
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

// serveForward runs a forwarded request at the proxy that received it. It calls respond with the response, or
// calls lost if the run of that proxy ends first.
func (w *World) serveForward(
	target *proxyNode, peer transport.Peer, request *schema.ForwardRequest,
	respond func(*schema.ForwardResponse), lost func(),
) {
	processRun, exited, _ := w.processRunOf(&target.process)
	runner := target.runner
	w.maybeForgeCaller(runner, request)
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
				respond(response)
				return
			}
			lost()
		case <-exited:
			lost()
		}
	}()
}

// maybeForgeCaller draws one in a hundred requests of the caller "client" and runs a copy of it that an unauthorized
// peer sends in the name of another caller. The runner must refuse the copy.
func (w *World) maybeForgeCaller(runner *dispatch.Runner, request *schema.ForwardRequest) {
	if request.Caller != "client" || w.derivedRandom("stranger "+request.Request).IntN(100) != 0 {
		return
	}
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
