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

// coreLease is the lease duration in these tests, from which the other times are derived.
const coreLease = 2 * time.Second

// testCore is a core of three members without certificates. Each member has a store and a registry on its own loopback
// address.
type testCore struct {
	t          *testing.T
	subnet     string   // first three octets of the loopback addresses reserved for this test
	hosts      []string // address of each member
	port       int      // port of the registries; the stores use the next one, the operators' API the one after it
	registries []func() // functions that stop the registry of each member
}

// quietEnvironment returns the environment of a process that discards its log.
func quietEnvironment() *daemon.Environment {
	return &daemon.Environment{Log: logr.Discard(), Draining: &atomic.Bool{}}
}

// runUntilStopped runs a server until stop is called. stop waits for the server and reports its error to the test.
func runUntilStopped(t *testing.T, run func(ctx context.Context) error) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	return sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("server stopped with error: %v", err)
		}
	})
}

// newTestCore starts a core. It ends with the test.
func newTestCore(t *testing.T) *testCore {
	t.Helper()
	octet, reservation, err := fakebackend.ReserveLoopbackNet()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = reservation.Close() }) // the end of the process releases it otherwise
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
		c.startRegistry(i)
	}
	t.Cleanup(func() {
		for _, stop := range c.registries {
			stop()
		}
	})
	return c
}

// addressOf returns the address of a server of member i. portOffset is 0 for the registry, 1 for the store and 2 for the
// operators' API.
func (c *testCore) addressOf(i, portOffset int) string {
	return fmt.Sprintf("%s:%d", c.hosts[i], c.port+portOffset)
}

// seeds returns the addresses of one kind of server at all members, as an option value. portOffset is that of addressOf.
func (c *testCore) seeds(portOffset int) string {
	return c.addressOf(0, portOffset) + "," + c.addressOf(1, portOffset) + "," + c.addressOf(2, portOffset)
}

// startRegistry starts the registry of member i.
func (c *testCore) startRegistry(i int) {
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

// propose proposes a change to the store of member i and retries until the change is accepted, at most 20 seconds.
func (c *testCore) propose(i int, change *schema.Change) {
	c.t.Helper()
	rpcTransport := transport.NewPlaintext("registry", "operator", nil)
	defer rpcTransport.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		reply, err := schema.NewDRPCStoreClient(rpcTransport.Conn(ctx, c.addressOf(i, 1))).Propose(ctx, &schema.Proposal{Change: change})
		if err == nil && !reply.Undecided {
			if reply.Outcome.Ruling != schema.Ruling_RULING_ACCEPTED {
				c.t.Fatalf("outcome of change %s: %v, want RULING_ACCEPTED", change.Id, reply.Outcome)
			}
			return
		}
	}
	c.t.Fatalf("change %s proposed to member %d was not decided within 20s", change.Id, i)
}

// testProxy is a hollow proxy that signals changes of its mesh state.
type testProxy struct {
	*proxy.Hollow
	name    string
	changed chan struct{} // signaled when the mesh state has changed; buffered for one signal
}

// startProxy starts hollow proxy number i in the zone of member i.
func (c *testCore) startProxy(i int) *testProxy {
	c.t.Helper()
	p := &testProxy{name: fmt.Sprint(c.subnet, ".11", i), changed: make(chan struct{}, 1)}
	var err error
	opts := &schema.ProxyOptions{
		Name:         p.name,
		Area:         fmt.Sprint("area-", i),
		Listen:       p.name + ":9",
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
	p.Hollow, err = proxy.JoinHollow(quietEnvironment(), opts, func(proxy.AppliedEvent) {
		select {
		case p.changed <- struct{}{}:
		default:
		}
	})
	if err != nil {
		c.t.Fatal(err)
	}
	return p
}

// heartbeat sends a heartbeat of the proxy's local worker.
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

// await waits until ready accepts the status of the proxy, at most 20 seconds. want describes the status in the failure
// message.
func (p *testProxy) await(t *testing.T, want string, ready func(proxy.Status) bool) {
	t.Helper()
	timeout := time.NewTimer(20 * time.Second)
	defer timeout.Stop()
	// The parts of the status that are not in the mesh state change with the heartbeats of the registry.
	ticker := time.NewTicker(coreLease / session.HeartbeatsPerLease)
	defer ticker.Stop()
	for !ready(p.Status()) {
		select {
		case <-p.changed:
		case <-ticker.C:
		case <-timeout.C:
			t.Fatalf("proxy %s after 20s: want %s, got status %+v", p.name, want, p.Status())
		}
	}
}

// segmentChange returns a change that creates one configuration item.
func segmentChange(name string) *schema.Change {
	return &schema.Change{Id: name, Items: []*schema.Item{{Kind: "segment", Name: name, Body: []byte(`{"salt":""}`)}}}
}

// Each proxy learns of the workers of all others and of every configuration through the registry of its session, even if
// registries or proxies restart.
func TestSessionsSurviveRestarts(t *testing.T) {
	c := newTestCore(t)
	var proxies []*testProxy
	for i := range c.hosts {
		proxies = append(proxies, c.startProxy(i))
		proxies[i].heartbeat(t, "shop")
	}
	defer func() {
		for _, p := range proxies {
			p.Kill()
		}
	}()
	c.propose(0, segmentChange("one"))
	awaitAll := func(revision uint64, workers int) {
		t.Helper()
		for _, p := range proxies {
			p.await(t, fmt.Sprintf("configuration revision %d and %d workers", revision, workers), func(status proxy.Status) bool {
				return status.ConfigRevision >= revision && status.KnownWorkers == workers
			})
		}
	}
	revision := func() uint64 { return proxies[0].ConfigRevision() }
	awaitAll(1, 3)
	for i, p := range proxies {
		p.await(t, "a session with the registry of its zone, a staleness below the lease and a fleet of 3", func(status proxy.Status) bool {
			isFresh := status.StalenessKnown && status.StalenessMS < coreLease.Milliseconds()
			return status.Registry == c.addressOf(i, 0) && isFresh && status.FleetSize == 3
		})
	}

	// A registry stops. Its proxy switches to another one, and a change made meanwhile reaches all proxies.
	previous := revision()
	c.registries[0]()
	c.propose(1, segmentChange("two"))
	awaitAll(previous+1, 3)
	proxies[0].await(t, "a session with the registry of another zone", func(status proxy.Status) bool {
		return status.Registry != "" && status.Registry != c.addressOf(0, 0)
	})
	c.startRegistry(0)
	proxies[0].await(t, "a session with the restarted registry of its zone", func(status proxy.Status) bool {
		return status.Registry == c.addressOf(0, 0)
	})

	// A proxy restarts. The counter of its source starts again, but the others accept the source because of its new
	// incarnation.
	proxies[2].Kill()
	proxies[2] = c.startProxy(2)
	proxies[2].heartbeat(t, "shop")
	proxies[2].heartbeat(t, "shop")
	previous = revision()
	c.propose(2, segmentChange("three"))
	awaitAll(previous+1, 3)
	for _, p := range proxies {
		p.await(t, "the new incarnation of the restarted proxy", func(proxy.Status) bool {
			return p.Vector()[proxies[2].name].GetIncarnation() == proxies[2].Vector()[proxies[2].name].GetIncarnation()
		})
	}

	// All registries stop at once and lose the directory. The sessions of the proxies restore it.
	for _, stop := range c.registries {
		stop()
	}
	for i := range c.hosts {
		c.startRegistry(i)
	}
	previous = revision()
	c.propose(0, segmentChange("four"))
	awaitAll(previous+1, 3)
	// A proxy that ends without a restart is removed from the directory.
	proxies[1].Kill()
	proxies = append(proxies[:1], proxies[2])
	awaitAll(previous+1, 2)
}
