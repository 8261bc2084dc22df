package proxy

import (
	"context"
	"time"

	"meadowhinge/internal/journal"
	"meadowhinge/internal/link"
	"meadowhinge/schema"
)

// gate is where calls pass while this proxy may decide them.
type gate interface {
	Open() bool
	// Await waits a moment for the gate to open, AwaitFirst as long as ctx does.
	Await(ctx context.Context) bool
	AwaitFirst(ctx context.Context) bool
}

// doubtServe is the setting under which a proxy goes on by what it knows, however old that is.
const doubtServe = "serve"

// pictureGate is open for good from the first setup on: a proxy that serves in doubt needs no
// lease, for nobody waits until it can no longer use older rules.
type pictureGate struct {
	journal *journal.Journal[Event, Picture]
}

func (g pictureGate) holds(held Picture) bool { return held.setup.Sequence > 0 }

func (g pictureGate) Open() bool { return g.holds(g.journal.View()) }

func (g pictureGate) Await(context.Context) bool { return g.Open() }

func (g pictureGate) AwaitFirst(ctx context.Context) bool {
	g.journal.Wait(ctx, g.holds)
	return g.Open()
}

// linksPlain is the setting under which links have no keys.
const linksPlain = "plain"

// linksOf opens this process's side of the links, as the settings say.
func linksOf(given *schema.ProxyOptions, callers map[string]string) (*link.Ends, error) {
	changes := []link.Option{link.WithFrom(given.Listen), link.WithDial(time.Duration(given.Lease) / dialParts)}
	if given.Links != linksPlain {
		return link.Load(given.Certificate, given.Authority, changes...)
	}
	var speaks []string
	for caller := range callers {
		speaks = append(speaks, caller)
	}
	return link.Plain("proxy", given.Name, speaks, changes...), nil
}

// serving tells whether this proxy serves by whatever it knows.
func serving(given *schema.ProxyOptions) bool { return given.Doubt == doubtServe }
