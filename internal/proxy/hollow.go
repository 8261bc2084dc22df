package proxy

import (
	"context"
	"net"
	"time"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/options"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// Hollow is a proxy without listeners, like a hollow node of Kubernetes' kubemark. Sessions, mesh state and worker
// heartbeats are those of a real proxy, but no call passes through it. The testbed runs many of them in one process.
// The methods are safe for concurrent use.
type Hollow struct {
	server    *Server
	cancel    context.CancelFunc
	transport *transport.Transport
}

// AppliedEvent describes one event that a hollow proxy applied to its mesh state.
type AppliedEvent struct {
	At             time.Time        // wall-clock time of the application
	ConfigRevision uint64           // revision of the newly applied configuration; 0 if the configuration did not change
	Sources        []*schema.Source // all sources of the event, also those that were not newer than the known ones
}

// JoinHollow starts a hollow proxy, which joins the mesh through the registries in opts. Its workers are simulated and
// have no socket. onApplied is called for each event applied to the mesh state. It runs while the journal is locked, so
// it must return quickly. JoinHollow fails if the RPC transport cannot be created, for example for an unusable
// certificate.
func JoinHollow(environment *daemon.Environment, opts *schema.ProxyOptions, onApplied func(AppliedEvent)) (*Hollow, error) {
	rpcTransport, err := newTransport(opts, options.SplitPairs(opts.Callers))
	if err != nil {
		return nil, err
	}
	fold := func(before MeshState, event Event) MeshState {
		after := Fold(before, event)
		applied := AppliedEvent{At: time.Now(), Sources: event.Sources}
		if after.ConfigRevision() > before.ConfigRevision() {
			applied.ConfigRevision = after.ConfigRevision()
		}
		onApplied(applied)
		return after
	}
	// The connection to a simulated worker stays open until the proxy closes it.
	dial := func(string) (net.Conn, error) {
		proxySide, _ := net.Pipe()
		return proxySide, nil
	}
	server := newServer(rpcTransport, environment, opts, func(target *extensions) {
		target.foldEvent, target.dialWorker = fold, dial
	})
	ctx, cancel := context.WithCancel(context.Background())
	server.startSessions(ctx)
	return &Hollow{server: server, cancel: cancel, transport: rpcTransport}, nil
}

// Kill closes all connections of the proxy without a graceful shutdown, like a killed process.
func (h *Hollow) Kill() {
	h.cancel()
	h.transport.Close()
}

// Heartbeat registers a worker or renews its registration, as a request to the workers' listener does. It fails if the
// registration is rejected.
func (h *Hollow) Heartbeat(description dispatch.WorkerDescription) error {
	_, err := h.server.workers.Register(description)
	return err
}

// RecordResult adds the result and duration of a call of a local caller to the verdict counts.
func (h *Hollow) RecordResult(result *dispatch.CallResult, duration time.Duration) {
	h.server.callCounter.Add(result, duration)
}

// RecordWork adds a call to the work counts as if a local worker had answered it with status 200 after duration.
func (h *Hollow) RecordWork(service, version, route string, duration time.Duration) {
	revision := h.server.view().Config.VersionRevision(service, version)
	work := h.server.runner.RunCounter.Begin(service, version, route, revision)
	work.End(h.server.now(), duration, &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200})
}

// ConfigRevision returns the revision of the configuration in use, 0 for none.
func (h *Hollow) ConfigRevision() uint64 { return h.server.journal.View().ConfigRevision() }

// Traffic returns the traffic counters of the proxy's RPC transport.
func (h *Hollow) Traffic() transport.Traffic { return h.transport.Traffic() }

// Status returns the content of the proxy's page /status.
func (h *Hollow) Status() Status { return h.server.status() }

// Vector returns the version of each source in the proxy's directory, see [MeshState.Vector].
func (h *Hollow) Vector() map[string]*schema.SourceVersion { return h.server.journal.View().Vector() }
