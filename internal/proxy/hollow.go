package proxy

import (
	"context"
	"net"
	"time"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/link"
	"meadowhinge/internal/options"
	"meadowhinge/schema"
)

// Hollow is a proxy without listeners: its sessions, its picture and its workers' beats are
// those of a proxy, but nobody can call through it. Rehearsals hold many in one process.
type Hollow struct {
	server *Server
	end    context.CancelFunc
	ends   *link.Ends
}

// Seen is what a hollow proxy took into its picture, and when.
type Seen struct {
	At      time.Time
	Setup   uint64 // newly in use, 0 for the one before
	Sources []*schema.Source
}

// JoinHollow lets a hollow proxy join the mesh. Workers beside it are stand-ins without a
// socket. Whatever comes into its picture is shown to seen, which must be quick.
func JoinHollow(frame *daemon.Frame, given *schema.ProxyOptions, seen func(Seen)) (*Hollow, error) {
	ends, err := linksOf(given, options.Pairs(given.Callers))
	if err != nil {
		return nil, err
	}
	fold := func(before Picture, event Event) Picture {
		after := Fold(before, event)
		news := Seen{At: time.Now(), Sources: event.Sources}
		if after.Sequence() > before.Sequence() {
			news.Setup = after.Sequence()
		}
		seen(news)
		return after
	}
	// A stand-in worker's connection stays open until the proxy closes it.
	dial := func(string) (net.Conn, error) {
		here, _ := net.Pipe()
		return here, nil
	}
	server := build(ends, frame, given, func(given *running) { given.fold, given.dial = fold, dial })
	ctx, cancel := context.WithCancel(context.Background())
	server.join(ctx)
	return &Hollow{server: server, end: cancel, ends: ends}, nil
}

// End cuts the proxy off, as when its process is killed.
func (h *Hollow) End() {
	h.end()
	h.ends.Close()
}

// Beat takes a description, as the workers' listener would.
func (h *Hollow) Beat(said dispatch.Description) error {
	_, err := h.server.workers.Describe(said)
	return err
}

// Count adds to the counts as calls would.
func (h *Hollow) Count(ended *dispatch.Ended, took time.Duration) { h.server.tally.Add(ended, took) }

// Work notes a call as if it had been handed to a worker beside the proxy and answered.
func (h *Hollow) Work(service, version, route string, took time.Duration) {
	line := h.server.runner.Works.Begin(service, version, route, h.server.view().Setup.Stated(service, version))
	line.End(h.server.now(), took, &schema.Carried{Ending: schema.Ending_ENDING_ANSWERED, Status: 200})
}

// Setup is the sequence in use.
func (h *Hollow) Setup() uint64 { return h.server.journal.View().Sequence() }

// Traffic is what went over the proxy's links.
func (h *Hollow) Traffic() link.Traffic { return h.ends.Traffic() }

// Status is what the proxy says of itself.
func (h *Hollow) Status() Status { return h.server.status() }

// Vector is what the proxy knows of each source.
func (h *Hollow) Vector() map[string]*schema.Stamp { return h.server.journal.View().Vector() }
