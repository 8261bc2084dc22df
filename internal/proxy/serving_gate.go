package proxy

import (
	"context"

	"meadowhinge/internal/journal"
)

// servingGate is open while this proxy may decide calls: session.LeaseGate under a lease, configGate without one.
type servingGate interface {
	// IsOpen reports whether the gate is open now.
	IsOpen() bool
	// AwaitWithinGrace waits a short while, at most until ctx ends, for the gate to open, and reports whether it is open.
	AwaitWithinGrace(ctx context.Context) bool
	// AwaitOpen waits until the gate opens for the first time or ctx ends, and reports whether it is open.
	AwaitOpen(ctx context.Context) bool
}

// configGate opens with the first configuration and never closes: a proxy that serves stale needs no lease, because
// no registry waits until it can no longer use older rules.
type configGate struct {
	journal *journal.Journal[Event, MeshState]
}

// hasConfig reports whether a state has a configuration.
func (g configGate) hasConfig(state MeshState) bool { return state.config.Revision > 0 }

// IsOpen reports whether a configuration has arrived.
func (g configGate) IsOpen() bool { return g.hasConfig(g.journal.View()) }

// AwaitWithinGrace does not wait: calls are not held for a first configuration.
func (g configGate) AwaitWithinGrace(context.Context) bool { return g.IsOpen() }

// AwaitOpen waits until a configuration arrives or ctx ends.
func (g configGate) AwaitOpen(ctx context.Context) bool {
	g.journal.Wait(ctx, g.hasConfig)
	return g.IsOpen()
}
