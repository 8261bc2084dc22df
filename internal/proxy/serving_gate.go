package proxy

import (
	"context"
	"time"

	"meadowhinge/internal/journal"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// servingGate is where calls pass while this proxy may decide them.
type servingGate interface {
	Open() bool
	// Await waits a moment for the gate to open, AwaitFirst as long as ctx does.
	Await(ctx context.Context) bool
	AwaitFirst(ctx context.Context) bool
}

// staleModeServe is the setting under which a proxy goes on by what it knows, however old that is.
const staleModeServe = "serve"

// configGate is open for good from the first setup on: a proxy that serves in doubt needs no
// lease, for nobody waits until it can no longer use older rules.
type configGate struct {
	journal *journal.Journal[Event, MeshState]
}

func (g configGate) hasConfig(state MeshState) bool { return state.config.Revision > 0 }

func (g configGate) Open() bool { return g.hasConfig(g.journal.View()) }

func (g configGate) Await(context.Context) bool { return g.Open() }

func (g configGate) AwaitFirst(ctx context.Context) bool {
	g.journal.Wait(ctx, g.hasConfig)
	return g.Open()
}

// linkModePlaintext is the setting under which links have no keys.
const linkModePlaintext = "plain"

// newTransport opens this process's side of the links, as the settings say.
func newTransport(opts *schema.ProxyOptions, callers map[string]string) (*transport.Transport, error) {
	transportOptions := []transport.Option{transport.WithLocalAddress(opts.Listen), transport.WithDialTimeout(time.Duration(opts.Lease) / dialTimeoutDivisor)}
	if opts.Links != linkModePlaintext {
		return transport.NewTLS(opts.Certificate, opts.Authority, transportOptions...)
	}
	var callerNames []string
	for caller := range callers {
		callerNames = append(callerNames, caller)
	}
	return transport.NewPlaintext("proxy", opts.Name, callerNames, transportOptions...), nil
}

// servesStale tells whether this proxy serves by whatever it knows.
func servesStale(opts *schema.ProxyOptions) bool { return opts.Doubt == staleModeServe }
