package proxy_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/link"
	"meadowhinge/internal/proxy"
	"meadowhinge/internal/registry"
	"meadowhinge/internal/session"
	"meadowhinge/internal/standin"
	"meadowhinge/internal/store"
	"meadowhinge/schema"
)

// Settings of the small core; all else is a ratio to the lease.
const coreLease = 2 * time.Second

// smallCore is three core machines on addresses of their own, on plain links.
type smallCore struct {
	t          *testing.T
	net24      string // the part of the loopback net that this run has for itself
	hosts      []string
	port       int // of the registries; the next ones are the stores' and the operators'
	registries []func()
}

func quietFrame() *daemon.Frame { return &daemon.Frame{Log: logr.Discard(), Draining: &atomic.Bool{}} }

// running runs something until it is stopped.
func running(t *testing.T, run func(ctx context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	return sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

func newSmallCore(t *testing.T) *smallCore {
	octet, held, err := standin.ClaimNet()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { held.Close() })
	c := &smallCore{t: t, port: standin.PortsFrom, net24: fmt.Sprintf("127.%d.0", octet)}
	for i := range 3 {
		c.hosts = append(c.hosts, fmt.Sprint(c.net24, ".10", i))
	}
	for i, host := range c.hosts {
		data := t.TempDir()
		stop := running(t, func(ctx context.Context) error {
			return store.Run(ctx, quietFrame(), &schema.StoreOptions{Seat: host, Listen: c.at(i, 1), Seeds: c.seeds(1), Data: data, Founding: true, Links: "plain", Losses: 1,
				Silence: int64(coreLease / 4), Stall: int64(time.Second), EntriesMost: 64, OutcomesMost: 64, Buffer: 64})
		})
		t.Cleanup(stop)
		c.registries = append(c.registries, nil)
		c.start(i)
	}
	t.Cleanup(func() {
		for _, stop := range c.registries {
			stop()
		}
	})
	return c
}

func (c *smallCore) at(i, place int) string { return fmt.Sprintf("%s:%d", c.hosts[i], c.port+place) }

func (c *smallCore) seeds(place int) string {
	return c.at(0, place) + "," + c.at(1, place) + "," + c.at(2, place)
}

func (c *smallCore) start(i int) {
	c.registries[i] = running(c.t, func(ctx context.Context) error {
		return registry.Run(ctx, quietFrame(), &schema.RegistryOptions{Seat: c.hosts[i], Area: fmt.Sprint("area-", i), Listen: c.at(i, 0), Seeds: c.seeds(0), Store: c.at(i, 1),
			OperatorListen: c.at(i, 2), ProbeListen: c.hosts[i] + ":0", Links: "plain", AcknowledgeAfter: "stable", Lease: int64(coreLease), KeyWindow: int64(8 * coreLease),
			Drain: int64(time.Second), AnswerMost: int64(10 * time.Second), SourcesMost: 64, CountsMost: 64, ClaimsMost: 64, SetupMost: 1 << 20, Steps: 20, TrialShare: 0.1})
	})
}

// change hands a change to a store and waits until it is decided.
func (c *smallCore) change(i int, change *schema.Change) {
	c.t.Helper()
	ends := link.Plain("registry", "operator", nil)
	defer ends.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		back, err := schema.NewDRPCStoreClient(ends.To(ctx, c.at(i, 1))).Propose(ctx, &schema.Proposal{Change: change})
		if err == nil && !back.Undecided {
			if back.Outcome.Ruling != schema.Ruling_RULING_ACCEPTED {
				c.t.Fatal(back.Outcome)
			}
			return
		}
	}
	c.t.Fatal("the change was not decided")
}

// fleetMember is a proxy without listeners, and what came into its picture.
type fleetMember struct {
	*proxy.Hollow
	name  string
	moved chan struct{} // has room for one word that something came
}

func (c *smallCore) join(i int) *fleetMember {
	c.t.Helper()
	m := &fleetMember{name: fmt.Sprint(c.net24, ".11", i), moved: make(chan struct{}, 1)}
	var err error
	m.Hollow, err = proxy.JoinHollow(quietFrame(), &schema.ProxyOptions{Name: m.name, Area: fmt.Sprint("area-", i), Listen: m.name + ":9", Seeds: c.seeds(0), Callers: "shop=" + c.net24 + ".1:9",
		Links: "plain", Doubt: "serve", Lease: int64(coreLease), Buffer: 16, BodyMost: 1 << 16, MembersMost: 8, Silence: 600, Remembered: 100, FailuresMost: 5, HorizonMost: int64(time.Second)},
		func(proxy.Seen) {
			select {
			case m.moved <- struct{}{}:
			default:
			}
		})
	if err != nil {
		c.t.Fatal(err)
	}
	return m
}

func (m *fleetMember) beat(t *testing.T, service string) {
	t.Helper()
	if err := m.Beat(dispatch.Description{Address: m.name + ":80", Service: service, Version: "v1", Area: "x", BeatMS: 1000, Token: "t"}); err != nil {
		t.Fatal(err)
	}
}

// await waits until a proxy's picture is as it should be.
func (m *fleetMember) await(t *testing.T, what string, ready func(proxy.Status) bool) {
	t.Helper()
	patience := time.NewTimer(20 * time.Second)
	defer patience.Stop()
	// What a status tells beside the picture moves with the registry's signs of life.
	beat := time.NewTicker(coreLease / session.BeatParts)
	defer beat.Stop()
	for !ready(m.Status()) {
		select {
		case <-m.moved:
		case <-beat.C:
		case <-patience.C:
			t.Fatalf("%s: not %s: %+v", m.name, what, m.Status())
		}
	}
}

func segment(name string) *schema.Change {
	return &schema.Change{Id: name, Items: []*schema.Item{{Kind: "segment", Name: name, Body: []byte(`{"salt":""}`)}}}
}

// Proxies know each other's workers and every change through whichever registry they are in
// session with, and go on when registries end and come back and when they do so themselves.
func TestSessionsThroughRestarts(t *testing.T) {
	c := newSmallCore(t)
	var members []*fleetMember
	for i := range c.hosts {
		members = append(members, c.join(i))
		members[i].beat(t, "shop")
	}
	defer func() {
		for _, m := range members {
			m.End()
		}
	}()
	c.change(0, segment("one"))
	everywhere := func(setup uint64, workers int) {
		t.Helper()
		for _, m := range members {
			m.await(t, fmt.Sprintf("at setup %d with %d workers", setup, workers), func(status proxy.Status) bool { return status.Setup >= setup && status.Known == workers })
		}
	}
	setup := func() uint64 { return members[0].Setup() }
	everywhere(1, 3)
	for i, m := range members {
		m.await(t, "in session with the registry of its zone, and sure of its picture", func(status proxy.Status) bool {
			return status.Registry == c.at(i, 0) && status.Vouched && status.AgeMS < coreLease.Milliseconds() && status.Members == 3
		})
	}

	// A registry ends: its proxy goes to another, and a change that is made meanwhile comes to all.
	before := setup()
	c.registries[0]()
	c.change(1, segment("two"))
	everywhere(before+1, 3)
	members[0].await(t, "with another registry", func(status proxy.Status) bool { return status.Registry != "" && status.Registry != c.at(0, 0) })
	c.start(0)
	members[0].await(t, "back in its zone", func(status proxy.Status) bool { return status.Registry == c.at(0, 0) })

	// A proxy is restarted: what its new life tells is believed though its count began anew.
	members[2].End()
	members[2] = c.join(2)
	members[2].beat(t, "shop")
	members[2].beat(t, "shop")
	before = setup()
	c.change(2, segment("three"))
	everywhere(before+1, 3)
	for _, m := range members {
		m.await(t, "told the new life", func(proxy.Status) bool {
			return m.Vector()[members[2].name].GetIncarnation() == members[2].Vector()[members[2].name].GetIncarnation()
		})
	}

	// All registries end at once and forget everything; the proxies' sessions bring it back.
	for _, stop := range c.registries {
		stop()
	}
	for i := range c.hosts {
		c.start(i)
	}
	before = setup()
	c.change(0, segment("four"))
	everywhere(before+1, 3)
	// A proxy that stays away is no longer listed.
	members[1].End()
	members = append(members[:1], members[2])
	everywhere(before+1, 2)
}
