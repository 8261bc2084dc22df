package registry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/fakebackend"
	"meadowhinge/internal/session"
	"meadowhinge/internal/store"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// testCoreLease is the lease duration of the daemons that tests run.
const testCoreLease = time.Second

// testCore is a core of real stores and registries, one of each for every member, each member on its own loopback
// address.
type testCore struct {
	hosts       []string // IPs of the members, which are also their ids
	memberOrder string   // value of the option order; empty if the stores agree on the members
}

// testMembers counts the members that this test process has started, to give each a different address.
var testMembers atomic.Int32

// Ports of every member of a testCore.
const (
	testStorePort = fakebackend.FirstPort + iota
	testStoreProbePort
	testRegistryPort
	testRegistryProbePort
	testOperatorPort
)

// address returns IP:port of a member.
func (c *testCore) address(member, port int) string { return fmt.Sprint(c.hosts[member], ":", port) }

// seeds returns the addresses of all members with a port, separated by commas, as the seed options take them.
func (c *testCore) seeds(port int) string {
	var addresses []string
	for member := range c.hosts {
		addresses = append(addresses, c.address(member, port))
	}
	return strings.Join(addresses, ",")
}

// storeOptions returns the options of a member's store, which keeps its data in folder.
func (c *testCore) storeOptions(member int, folder string) *schema.StoreOptions {
	return &schema.StoreOptions{
		Seat:        c.hosts[member],
		Order:       c.memberOrder,
		Listen:      c.address(member, testStorePort),
		Seeds:       c.seeds(testStorePort),
		ProbeListen: c.address(member, testStoreProbePort),
		Data:        folder,
		Founding:    c.memberOrder == "",
		Links:       "plain",
		Silence:     int64(testCoreLease / 2),
		Stall:       int64(5 * time.Second),
		EntriesMost: 64, OutcomesMost: 64, Buffer: 64,
	}
}

// registryOptions returns the options of a member's registry.
func (c *testCore) registryOptions(member int) *schema.RegistryOptions {
	return &schema.RegistryOptions{
		Seat:           c.hosts[member],
		Order:          c.memberOrder,
		Listen:         c.address(member, testRegistryPort),
		Seeds:          c.seeds(testRegistryPort),
		Store:          c.address(member, testStorePort),
		OperatorListen: c.address(member, testOperatorPort),
		ProbeListen:    c.address(member, testRegistryProbePort),
		BrakeFailures:  15, BrakeTimes: 2, BrakeExcess: 0.02, BrakeCertain: 5, BrakeSlow: 5, BrakeSure: 12,
		TrialShare: 0.1, CallsEnough: 30, Steps: 20, FinishAt: 0.6,
		Links:       "plain",
		Lease:       int64(testCoreLease),
		KeyWindow:   int64(minWindowLeases * testCoreLease),
		Drain:       int64(time.Second),
		AnswerMost:  int64(20 * time.Second),
		SourcesMost: 16,
		CountsMost:  64,
		ClaimsMost:  64,
		SetupMost:   1 << 16,
	}
}

// runDaemon runs a daemon until the test ends, and then fails the test if the daemon returned an error. name is the
// daemon's name in the failure.
func runDaemon(t *testing.T, name string, body func(context.Context, *daemon.Environment) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	environment := &daemon.Environment{Log: logr.Discard(), Draining: &atomic.Bool{}}
	go func() { ended <- body(ctx, environment) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("%s at the end of the test: got error %v, want none", name, err)
		}
	})
}

// startTestCore starts a core of members stores and registries, with or without a static member order.
func startTestCore(t *testing.T, members int, staticOrder bool, runOptions ...Option) *testCore {
	t.Helper()
	octet, reservation, err := fakebackend.ReserveLoopbackNet()
	if err != nil {
		t.Fatalf("ReserveLoopbackNet: %v", err)
	}
	t.Cleanup(func() { _ = reservation.Close() })
	core := &testCore{}
	for range members {
		// The probe listener of a daemon that ended stays open for the rest of the test process, so each member needs
		// a new address.
		core.hosts = append(core.hosts, fmt.Sprintf("127.%d.0.%d", octet, testMembers.Add(1)))
	}
	if staticOrder {
		core.memberOrder = strings.Join(core.hosts, ",")
	}
	for member := range members {
		folder := t.TempDir()
		runDaemon(t, "store of member "+core.hosts[member], func(ctx context.Context, environment *daemon.Environment) error {
			return store.Run(ctx, environment, core.storeOptions(member, folder))
		})
		runDaemon(t, "registry of member "+core.hosts[member], func(ctx context.Context, environment *daemon.Environment) error {
			return Run(ctx, environment, core.registryOptions(member), runOptions...)
		})
	}
	return core
}

// request sends a request to a member's operator API, and repeats it until accepted returns true for a response. It
// fails the test after a minute.
func (c *testCore) request(t *testing.T, member int, method, path, body string,
	accepted func(status int, response string) bool,
) (int, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	retry := time.NewTicker(testCoreLease / session.RenewalsPerLease)
	defer retry.Stop()
	for {
		status, response, err := c.requestOnce(ctx, member, method, path, body)
		if err == nil && accepted(status, response) {
			return status, response
		}
		select {
		case <-ctx.Done():
			t.Fatalf("member %d: %s %s: no accepted response within a minute; last got status %d, response %q, error %v",
				member, method, path, status, response, err)
		case <-retry.C:
		}
	}
}

// isDecided accepts any response except 503, which means that there is no quorum yet.
func isDecided(status int, _ string) bool { return status != http.StatusServiceUnavailable }

// containing returns a function that accepts a response with status 200 that contains a text.
func containing(text string) func(int, string) bool {
	return func(status int, response string) bool {
		return status == http.StatusOK && strings.Contains(response, text)
	}
}

// requestOnce sends a request to a member's operator API once. It fails if there is no complete response.
func (c *testCore) requestOnce(ctx context.Context, member int, method, path, body string) (status int, response string, err error) {
	url := "http://" + c.address(member, testOperatorPort) + path
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = reply.Body.Close() }() // the body has been read, or reading it failed
	content, err := io.ReadAll(reply.Body)
	return reply.StatusCode, string(content), err
}

// testProxy is a proxy in session with a registry. It applies each revision at once and reports it when it renews its
// lease.
type testProxy struct {
	client  schema.DRPCRegistryClient
	applied atomic.Uint64     // newest applied revision
	items   chan *schema.Item // items in the order in which the registry pushed them
	granted chan struct{}     // closed once the registry has granted the proxy a lease
}

const testProxyName = "p"

// startTestProxy starts a proxy that opens a session with a member's registry. It waits until that registry has granted
// the proxy a lease.
func startTestProxy(t *testing.T, core *testCore, member int) *testProxy {
	t.Helper()
	proxyTransport := transport.NewPlaintext("proxy", testProxyName, nil)
	t.Cleanup(proxyTransport.Close)
	// The test's context ends the session before the cleanup stops the registry.
	ctx := t.Context()
	proxy := &testProxy{
		client:  schema.NewDRPCRegistryClient(proxyTransport.Conn(ctx, core.address(member, testRegistryPort))),
		items:   make(chan *schema.Item, 16),
		granted: make(chan struct{}),
	}
	stream, err := proxy.client.Attend(ctx, &schema.SubscribeRequest{
		Node:           testProxyName,
		LeaseNanos:     int64(testCoreLease),
		HeartbeatNanos: int64(testCoreLease / session.HeartbeatsPerLease),
		Source: &schema.Source{
			Name:    testProxyName,
			Version: &schema.SourceVersion{Incarnation: 1, Counter: 1},
			Workers: []*schema.Worker{{Instance: "w1", Service: "shop", Version: "v1", Slots: 2}},
		},
	})
	if err != nil {
		t.Fatalf("Attend of proxy %s at the registry of member %d: %v", testProxyName, member, err)
	}
	go proxy.applyUpdates(stream)
	go proxy.renewLeases(ctx)
	<-proxy.granted
	return proxy
}

// applyUpdates records the items and the revision of each update until the session ends.
func (p *testProxy) applyUpdates(stream schema.DRPCRegistry_AttendClient) {
	for {
		update, err := stream.Recv()
		if err != nil {
			return // the test is over
		}
		for _, item := range update.Items {
			p.items <- item
		}
		if update.Revision > p.applied.Load() {
			p.applied.Store(update.Revision)
		}
	}
}

// renewLeases renews the proxy's lease RenewalsPerLease times in each lease until ctx ends.
func (p *testProxy) renewLeases(ctx context.Context) {
	ticker := time.NewTicker(testCoreLease / session.RenewalsPerLease)
	defer ticker.Stop()
	closeGranted := sync.OnceFunc(func() { close(p.granted) })
	for {
		applied := p.applied.Load()
		reply, err := p.client.Lease(ctx, &schema.LeaseRequest{
			Proxy:       testProxyName,
			Incarnation: 1,
			Applied:     applied,
			Received:    applied,
			LeaseNanos:  int64(testCoreLease),
		})
		// The next tick repeats a refused or failed renewal.
		if err == nil && reply.Granted {
			closeGranted()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
