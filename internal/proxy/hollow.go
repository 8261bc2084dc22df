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

// Hollow is a proxy without listeners: its sessions, its mesh state and its workers' heartbeats are those of a proxy,
// but no call goes through it. The testbed holds many of them in one process.
type Hollow struct {
	server    *Server
	cancel    context.CancelFunc
	transport *transport.Transport
}

// Seen is what a hollow proxy applied to its mesh state, and when.
type Seen struct {
	At             time.Time
	ConfigRevision uint64 // of a configuration that is newly in use; 0 if it did not change
	Sources        []*schema.Source
}

// JoinHollow makes a hollow proxy join the mesh. Workers beside it are simulated and have no socket. seen is called
// with everything that is applied to its mesh state, while the journal is locked, and must be quick.
func JoinHollow(environment *daemon.Environment, opts *schema.ProxyOptions, seen func(Seen)) (*Hollow, error) {
	rpcTransport, err := newTransport(opts, options.SplitPairs(opts.Callers))
	if err != nil {
		return nil, err
	}
	fold := func(before MeshState, event Event) MeshState {
		after := Fold(before, event)
		applied := Seen{At: time.Now(), Sources: event.Sources}
		if after.ConfigRevision() > before.ConfigRevision() {
			applied.ConfigRevision = after.ConfigRevision()
		}
		seen(applied)
		return after
	}
	// A simulated worker's connection stays open until the proxy closes it.
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

// End disconnects the proxy without a graceful shutdown, as when its process is killed.
func (h *Hollow) End() {
	h.cancel()
	h.transport.Close()
}

// Heartbeat registers a worker or renews its registration, as the workers' listener does.
func (h *Hollow) Heartbeat(description dispatch.WorkerDescription) error {
	_, err := h.server.workers.Register(description)
	return err
}

// Count adds a call's result and duration to the counts.
func (h *Hollow) Count(result *dispatch.CallResult, duration time.Duration) {
	h.server.callCounter.Add(result, duration)
}

// Work counts a call as if a worker beside the proxy had answered it after duration.
func (h *Hollow) Work(service, version, route string, duration time.Duration) {
	revision := h.server.view().Config.VersionRevision(service, version)
	work := h.server.runner.WorkCounts.Begin(service, version, route, revision)
	work.End(h.server.now(), duration, &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200})
}

// ConfigRevision is the revision of the configuration in use.
func (h *Hollow) ConfigRevision() uint64 { return h.server.journal.View().ConfigRevision() }

// Traffic counts what went over the proxy's RPC transport.
func (h *Hollow) Traffic() transport.Traffic { return h.transport.Traffic() }

// Status is what the proxy's page /status shows.
func (h *Hollow) Status() Status { return h.server.status() }

// Vector is the version of each source that the proxy has.
func (h *Hollow) Vector() map[string]*schema.SourceVersion { return h.server.journal.View().Vector() }
