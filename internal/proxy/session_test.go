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

// coreLease is the lease's duration in these tests; all other times are parts of it.
const coreLease = 2 * time.Second

// testCore is a core of three members, each with a store and a registry on an address of its own, without
// certificates.
type testCore struct {
	t          *testing.T
	subnet     string // the part of the loopback net that this run has reserved
	hosts      []string
	port       int      // of the registries; the stores use the next one, the operators' API the one after it
	registries []func() // stop a registry
}

// quietEnvironment is the environment of a process without a log.
func quietEnvironment() *daemon.Environment {
	return &daemon.Environment{Log: logr.Discard(), Draining: &atomic.Bool{}}
}

// runUntilStopped runs a server until stop is called, and fails the test if it ends with an error.
func runUntilStopped(t *testing.T, run func(ctx context.Context) error) (stop func()) {
	t.Helper()
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

// newTestCore starts a core; it ends with the test.
func newTestCore(t *testing.T) *testCore {
	t.Helper()
	octet, reservation, err := fakebackend.ReserveLoopbackNet()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = reservation.Close() }) // the reservation ends with the process at the latest
	c := &testCore{t: t, port: fakebackend.FirstPort, subnet: fmt.Sprintf("127.%d.0", octet)}
	for i := range 3 {
		c.hosts = append(c.hosts, fmt.Sprint(c.subnet, ".10", i))
	}
	for i, host := range c.hosts {
		data := t.TempDir()
		stop := runUntilStopped(t, func(ctx context.Context) error {
			return store.Run(ctx, quietEnvironment(), &schema.StoreOptions{
				Seat:         host,
				Listen:       c.addressOf(i, 1),
				Seeds:        c.seeds(1),
				Data:         data,
				Founding:     true,
				Links:        "plain",
				Losses:       1,
				Silence:      int64(coreLease / 4),
				Stall:        int64(time.Second),
				EntriesMost:  64,
				OutcomesMost: 64,
				Buffer:       64,
			})
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

// addressOf is the address of a server of the i-th member; portOffset is 0 for the registry, 1 for the store, 2 for the
// operators' API.
func (c *testCore) addressOf(i, portOffset int) string {
	return fmt.Sprintf("%s:%d", c.hosts[i], c.port+portOffset)
}

// seeds are the addresses of one kind of server at all members.
func (c *testCore) seeds(portOffset int) string {
	return c.addressOf(0, portOffset) + "," + c.addressOf(1, portOffset) + "," + c.addressOf(2, portOffset)
}

// start starts the registry of the i-th member.
func (c *testCore) start(i int) {
	c.registries[i] = runUntilStopped(c.t, func(ctx context.Context) error {
		return registry.Run(ctx, quietEnvironment(), &schema.RegistryOptions{
			Seat:             c.hosts[i],
			Area:             fmt.Sprint("area-", i),
			Listen:           c.addressOf(i, 0),
			Seeds:            c.seeds(0),
			Store:            c.addressOf(i, 1),
			OperatorListen:   c.addressOf(i, 2),
			ProbeListen:      c.hosts[i] + ":0",
			Links:            "plain",
			AcknowledgeAfter: "stable",
			Lease:            int64(coreLease),
			KeyWindow:        int64(8 * coreLease),
			Drain:            int64(time.Second),
			AnswerMost:       int64(10 * time.Second),
			SourcesMost:      64,
			CountsMost:       64,
			ClaimsMost:       64,
			SetupMost:        1 << 20,
			Steps:            20,
			TrialShare:       0.1,
		})
	})
}

// change proposes a change to the store of the i-th member until it is decided.
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

// testProxy is a proxy without listeners.
type testProxy struct {
	*proxy.Hollow
	name    string
	changed chan struct{} // gets a value when the mesh state has changed; has room for one
}

// join starts the proxy with number i, in the zone of the i-th member.
func (c *testCore) join(i int) *testProxy {
	c.t.Helper()
	m := &testProxy{name: fmt.Sprint(c.subnet, ".11", i), changed: make(chan struct{}, 1)}
	var err error
	opts := &schema.ProxyOptions{
		Name:         m.name,
		Area:         fmt.Sprint("area-", i),
		Listen:       m.name + ":9",
		Seeds:        c.seeds(0),
		Callers:      "shop=" + c.subnet + ".1:9",
		Links:        "plain",
		Doubt:        "serve",
		Lease:        int64(coreLease),
		Buffer:       16,
		BodyMost:     1 << 16,
		MembersMost:  8,
		Silence:      600,
		Remembered:   100,
		FailuresMost: 5,
		HorizonMost:  int64(time.Second),
	}
	m.Hollow, err = proxy.JoinHollow(quietEnvironment(), opts, func(proxy.Seen) {
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

// heartbeat sends the heartbeat of a worker beside the proxy.
func (p *testProxy) heartbeat(t *testing.T, service string) {
	t.Helper()
	description := dispatch.WorkerDescription{
		Address:     p.name + ":80",
		Service:     service,
		Version:     "v1",
		Zone:        "x",
		HeartbeatMS: 1000,
		Token:       "t",
	}
	if err := p.Heartbeat(description); err != nil {
		t.Fatal(err)
	}
}

// await waits until a proxy's status is ready, at most 20 seconds; what names the state waited for.
func (p *testProxy) await(t *testing.T, what string, ready func(proxy.Status) bool) {
	t.Helper()
	timeout := time.NewTimer(20 * time.Second)
	defer timeout.Stop()
	// What a status shows beside the mesh state changes with the registry's heartbeats.
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

// segment is a change that creates one item.
func segment(name string) *schema.Change {
	return &schema.Change{Id: name, Items: []*schema.Item{{Kind: "segment", Name: name, Body: []byte(`{"salt":""}`)}}}
}

// Proxies learn of each other's workers and of every configuration through whichever registry they have a session with,
// also when registries or proxies end and come back.
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
			m.await(t, fmt.Sprintf("at configuration %d with %d workers", revision, workers), func(status proxy.Status) bool {
				return status.ConfigRevision >= revision && status.KnownWorkers == workers
			})
		}
	}
	revision := func() uint64 { return members[0].ConfigRevision() }
	everywhere(1, 3)
	for i, m := range members {
		m.await(t, "in session with the registry of its zone, with a known staleness", func(status proxy.Status) bool {
			isFresh := status.StalenessKnown && status.StalenessMS < coreLease.Milliseconds()
			return status.Registry == c.addressOf(i, 0) && isFresh && status.FleetSize == 3
		})
	}

	// A registry ends: its proxy changes to another, and a change made meanwhile reaches all.
	previous := revision()
	c.registries[0]()
	c.change(1, segment("two"))
	everywhere(previous+1, 3)
	members[0].await(t, "with another registry", func(status proxy.Status) bool {
		return status.Registry != "" && status.Registry != c.addressOf(0, 0)
	})
	c.start(0)
	members[0].await(t, "back in its zone", func(status proxy.Status) bool { return status.Registry == c.addressOf(0, 0) })

	// A proxy is restarted: the others accept its sources although their counter starts again, for the new incarnation.
	members[2].End()
	members[2] = c.join(2)
	members[2].heartbeat(t, "shop")
	members[2].heartbeat(t, "shop")
	previous = revision()
	c.change(2, segment("three"))
	everywhere(previous+1, 3)
	for _, m := range members {
		m.await(t, "informed of the new incarnation", func(proxy.Status) bool {
			return m.Vector()[members[2].name].GetIncarnation() == members[2].Vector()[members[2].name].GetIncarnation()
		})
	}

	// All registries end at once and lose the directory; the proxies' sessions restore it.
	for _, stop := range c.registries {
		stop()
	}
	for i := range c.hosts {
		c.start(i)
	}
	previous = revision()
	c.change(0, segment("four"))
	everywhere(previous+1, 3)
	// A proxy that does not come back is no longer listed.
	members[1].End()
	members = append(members[:1], members[2])
	everywhere(previous+1, 2)
}
