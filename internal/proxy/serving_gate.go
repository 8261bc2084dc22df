package proxy

import (
	"context"

	"meadowhinge/internal/journal"
)

// servingGate is open while this proxy may serve calls. The implementation is session.LeaseGate under a lease and
// configGate without one.
type servingGate interface {
	// IsOpen reports whether the gate is open now.
	IsOpen() bool
	// AwaitWithinGrace waits for the gate to open, at most for a short grace time that the implementation sets, or until
	// ctx ends. It reports whether the gate is open.
	AwaitWithinGrace(ctx context.Context) bool
	// AwaitOpen waits until the gate opens for the first time or ctx ends. It reports whether the gate is open.
	AwaitOpen(ctx context.Context) bool
}

// configGate opens with the first configuration and never closes. A proxy that serves stale configuration needs no
// lease, because no registry waits until the proxy has stopped using an older one.
type configGate struct {
	journal *journal.Journal[Event, MeshState]
}

// hasConfig reports whether state contains a configuration.
func (g configGate) hasConfig(state MeshState) bool { return state.config.Revision > 0 }

// IsOpen reports whether a configuration has arrived.
func (g configGate) IsOpen() bool { return g.hasConfig(g.journal.View()) }

// AwaitWithinGrace returns at once: calls are not delayed to wait for the first configuration.
func (g configGate) AwaitWithinGrace(context.Context) bool { return g.IsOpen() }

// AwaitOpen waits until a configuration arrives or ctx ends. It reports whether one has arrived.
func (g configGate) AwaitOpen(ctx context.Context) bool {
	g.journal.Wait(ctx, g.hasConfig)
	return g.IsOpen()
}
