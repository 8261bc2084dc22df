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
	"meadowhinge/internal/fakebackend"
	"meadowhinge/internal/proxy"
	"meadowhinge/internal/registry"
	"meadowhinge/internal/session"
	"meadowhinge/internal/store"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// Settings of the small core; all else is a ratio to the lease.
const coreLease = 2 * time.Second

// testCore is three core machines on addresses of their own, on plain links.
type testCore struct {
	t          *testing.T
	subnet     string // the part of the loopback net that this run has for itself
	hosts      []string
	port       int // of the registries; the next ones are the stores' and the operators'
	registries []func()
}

func quietFrame() *daemon.Environment {
	return &daemon.Environment{Log: logr.Discard(), Draining: &atomic.Bool{}}
}

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

func newTestCore(t *testing.T) *testCore {
	octet, claim, err := fakebackend.ReserveLoopbackNet()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { claim.Close() })
	c := &testCore{t: t, port: fakebackend.FirstPort, subnet: fmt.Sprintf("127.%d.0", octet)}
	for i := range 3 {
		c.hosts = append(c.hosts, fmt.Sprint(c.subnet, ".10", i))
	}
	for i, host := range c.hosts {
		data := t.TempDir()
		stop := running(t, func(ctx context.Context) error {
			return store.Run(ctx, quietFrame(), &schema.StoreOptions{Seat: host, Listen: c.addressOf(i, 1), Seeds: c.seeds(1), Data: data, Founding: true, Links: "plain", Losses: 1,
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

func (c *testCore) addressOf(i, portOffset int) string {
	return fmt.Sprintf("%s:%d", c.hosts[i], c.port+portOffset)
}

func (c *testCore) seeds(portOffset int) string {
	return c.addressOf(0, portOffset) + "," + c.addressOf(1, portOffset) + "," + c.addressOf(2, portOffset)
}

func (c *testCore) start(i int) {
	c.registries[i] = running(c.t, func(ctx context.Context) error {
		return registry.Run(ctx, quietFrame(), &schema.RegistryOptions{Seat: c.hosts[i], Area: fmt.Sprint("area-", i), Listen: c.addressOf(i, 0), Seeds: c.seeds(0), Store: c.addressOf(i, 1),
			OperatorListen: c.addressOf(i, 2), ProbeListen: c.hosts[i] + ":0", Links: "plain", AcknowledgeAfter: "stable", Lease: int64(coreLease), KeyWindow: int64(8 * coreLease),
			Drain: int64(time.Second), AnswerMost: int64(10 * time.Second), SourcesMost: 64, CountsMost: 64, ClaimsMost: 64, SetupMost: 1 << 20, Steps: 20, TrialShare: 0.1})
	})
}

// change hands a change to a store and waits until it is decided.
func (c *testCore) change(i int, change *schema.Change) {
	c.t.Helper()
	rpcTransport := transport.NewPlaintext("registry", "operator", nil)
	defer rpcTransport.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		reply, err := schema.NewDRPCStoreClient(rpcTransport.Conn(ctx, c.addressOf(i, 1))).Propose(ctx, &schema.Proposal{Change: change})
		if err == nil && !reply.Undecided {
			if reply.Outcome.Ruling != schema.Ruling_RULING_ACCEPTED {
				c.t.Fatal(reply.Outcome)
			}
			return
		}
	}
	c.t.Fatal("the change was not decided")
}

// testProxy is a proxy without listeners, and what came into its picture.
type testProxy struct {
	*proxy.Hollow
	name    string
	changed chan struct{} // has room for one word that something came
}

func (c *testCore) join(i int) *testProxy {
	c.t.Helper()
	m := &testProxy{name: fmt.Sprint(c.subnet, ".11", i), changed: make(chan struct{}, 1)}
	var err error
	m.Hollow, err = proxy.JoinHollow(quietFrame(), &schema.ProxyOptions{Name: m.name, Area: fmt.Sprint("area-", i), Listen: m.name + ":9", Seeds: c.seeds(0), Callers: "shop=" + c.subnet + ".1:9",
		Links: "plain", Doubt: "serve", Lease: int64(coreLease), Buffer: 16, BodyMost: 1 << 16, MembersMost: 8, Silence: 600, Remembered: 100, FailuresMost: 5, HorizonMost: int64(time.Second)},
		func(proxy.Seen) {
			select {
			case m.changed <- struct{}{}:
			default:
			}
		})
	if err != nil {
		c.t.Fatal(err)
	}
	return m
}

func (p *testProxy) heartbeat(t *testing.T, service string) {
	t.Helper()
	if err := p.Heartbeat(dispatch.WorkerDescription{Address: p.name + ":80", Service: service, Version: "v1", Zone: "x", HeartbeatMS: 1000, Token: "t"}); err != nil {
		t.Fatal(err)
	}
}

// await waits until a proxy's picture is as it should be.
func (p *testProxy) await(t *testing.T, what string, ready func(proxy.Status) bool) {
	t.Helper()
	timeout := time.NewTimer(20 * time.Second)
	defer timeout.Stop()
	// What a status tells beside the picture moves with the registry's signs of life.
	ticker := time.NewTicker(coreLease / session.HeartbeatsPerLease)
	defer ticker.Stop()
	for !ready(p.Status()) {
		select {
		case <-p.changed:
		case <-ticker.C:
		case <-timeout.C:
			t.Fatalf("%s: not %s: %+v", p.name, what, p.Status())
		}
	}
}

func segment(name string) *schema.Change {
	return &schema.Change{Id: name, Items: []*schema.Item{{Kind: "segment", Name: name, Body: []byte(`{"salt":""}`)}}}
}

// Proxies know each other's workers and every change through whichever registry they are in
// session with, and go on when registries end and come back and when they do so themselves.
func TestSessionsThroughRestarts(t *testing.T) {
	c := newTestCore(t)
	var members []*testProxy
	for i := range c.hosts {
		members = append(members, c.join(i))
		members[i].heartbeat(t, "shop")
	}
	defer func() {
		for _, m := range members {
			m.End()
		}
	}()
	c.change(0, segment("one"))
	everywhere := func(revision uint64, workers int) {
		t.Helper()
		for _, m := range members {
			m.await(t, fmt.Sprintf("at setup %d with %d workers", revision, workers), func(status proxy.Status) bool {
				return status.ConfigRevision >= revision && status.KnownWorkers == workers
			})
		}
	}
	revision := func() uint64 { return members[0].ConfigRevision() }
	everywhere(1, 3)
	for i, m := range members {
		m.await(t, "in session with the registry of its zone, and sure of its picture", func(status proxy.Status) bool {
			return status.Registry == c.addressOf(i, 0) && status.StalenessKnown && status.StalenessMS < coreLease.Milliseconds() && status.FleetSize == 3
		})
	}

	// A registry ends: its proxy goes to another, and a change that is made meanwhile comes to all.
	previous := revision()
	c.registries[0]()
	c.change(1, segment("two"))
	everywhere(previous+1, 3)
	members[0].await(t, "with another registry", func(status proxy.Status) bool { return status.Registry != "" && status.Registry != c.addressOf(0, 0) })
	c.start(0)
	members[0].await(t, "back in its zone", func(status proxy.Status) bool { return status.Registry == c.addressOf(0, 0) })

	// A proxy is restarted: what its new life tells is believed though its count began anew.
	members[2].End()
	members[2] = c.join(2)
	members[2].heartbeat(t, "shop")
	members[2].heartbeat(t, "shop")
	previous = revision()
	c.change(2, segment("three"))
	everywhere(previous+1, 3)
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
	previous = revision()
	c.change(0, segment("four"))
	everywhere(previous+1, 3)
	// A proxy that stays away is no longer listed.
	members[1].End()
	members = append(members[:1], members[2])
	everywhere(previous+1, 2)
}
