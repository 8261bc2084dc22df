package proxy

import (
	"context"

	"meadowhinge/internal/journal"
)

// servingGate is open while this proxy may decide calls: session.LeaseGate under a lease, configGate without one.
type servingGate interface {
	// Open reports whether the gate is open now.
	Open() bool
	// Await waits a short while, at most until ctx ends, for the gate to open, and reports whether it is open.
	Await(ctx context.Context) bool
	// AwaitFirst waits until the gate opens for the first time or ctx ends, and reports whether it is open.
	AwaitFirst(ctx context.Context) bool
}

// configGate opens with the first configuration and never closes: a proxy that serves stale needs no lease, because
// no registry waits until it can no longer use older rules.
type configGate struct {
	journal *journal.Journal[Event, MeshState]
}

// hasConfig reports whether a state has a configuration.
func (g configGate) hasConfig(state MeshState) bool { return state.config.Revision > 0 }

// Open reports whether a configuration has arrived.
func (g configGate) Open() bool { return g.hasConfig(g.journal.View()) }

// Await does not wait: calls are not held for a first configuration.
func (g configGate) Await(context.Context) bool { return g.Open() }

// AwaitFirst waits until a configuration arrives or ctx ends.
func (g configGate) AwaitFirst(ctx context.Context) bool {
	g.journal.Wait(ctx, g.hasConfig)
	return g.Open()
}
