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

// Hollow is a proxy without listeners: its sessions, its picture and its workers' beats are
// those of a proxy, but nobody can call through it. Rehearsals hold many in one process.
type Hollow struct {
	server    *Server
	cancel    context.CancelFunc
	transport *transport.Transport
}

// Seen is what a hollow proxy took into its picture, and when.
type Seen struct {
	At             time.Time
	ConfigRevision uint64 // newly in use, 0 for the one before
	Sources        []*schema.Source
}

// JoinHollow lets a hollow proxy join the mesh. Workers beside it are stand-ins without a
// socket. Whatever comes into its picture is shown to seen, which must be quick.
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
	// A stand-in worker's connection stays open until the proxy closes it.
	dial := func(string) (net.Conn, error) {
		here, _ := net.Pipe()
		return here, nil
	}
	server := newServer(rpcTransport, environment, opts, func(opts *running) { opts.foldEvent, opts.dialWorker = fold, dial })
	ctx, cancel := context.WithCancel(context.Background())
	server.startSessions(ctx)
	return &Hollow{server: server, cancel: cancel, transport: rpcTransport}, nil
}

// End cuts the proxy off, as when its process is killed.
func (h *Hollow) End() {
	h.cancel()
	h.transport.Close()
}

// Heartbeat takes a description, as the workers' listener would.
func (h *Hollow) Heartbeat(description dispatch.WorkerDescription) error {
	_, err := h.server.workers.Register(description)
	return err
}

// Count adds to the counts as calls would.
func (h *Hollow) Count(ended *dispatch.CallResult, took time.Duration) {
	h.server.callCounter.Add(ended, took)
}

// Work notes a call as if it had been handed to a worker beside the proxy and answered.
func (h *Hollow) Work(service, version, route string, took time.Duration) {
	line := h.server.runner.WorkCounts.Begin(service, version, route, h.server.view().Config.VersionRevision(service, version))
	line.End(h.server.now(), took, &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200})
}

// ConfigRevision is the sequence in use.
func (h *Hollow) ConfigRevision() uint64 { return h.server.journal.View().ConfigRevision() }

// Traffic is what went over the proxy's links.
func (h *Hollow) Traffic() transport.Traffic { return h.transport.Traffic() }

// Status is what the proxy says of itself.
func (h *Hollow) Status() Status { return h.server.status() }

// Vector is what the proxy knows of each source.
func (h *Hollow) Vector() map[string]*schema.SourceVersion { return h.server.journal.View().Vector() }
