package proxy

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// Under a lease workers are reported renewalsPerLease times per lease. Without a lease they are reported only after a
// change or a failed report. Verdict counts have a separate interval.
func TestReportSchedule(t *testing.T) {
	const lease = 8 * time.Second
	for name, test := range map[string]struct {
		servesStale                      bool
		turn                             int
		reportWorkers                    bool
		now                              time.Duration
		wantWorkers, wantVerdicts, retry bool
		wantNextTurn                     time.Duration
	}{
		"lease, first turn":            {wantWorkers: true, wantNextTurn: lease / reportsPerLease},
		"lease, turn without workers":  {turn: 3, wantNextTurn: lease / reportsPerLease},
		"lease, turn with workers":     {turn: 4, wantWorkers: true, wantNextTurn: lease / reportsPerLease},
		"lease, verdict counts due":    {turn: 1, now: 4 * time.Second, wantVerdicts: true, wantNextTurn: lease / reportsPerLease},
		"no lease, nothing changed":    {servesStale: true, turn: 4, now: 15 * time.Second, wantNextTurn: 16 * time.Second},
		"no lease, workers changed":    {servesStale: true, turn: 1, reportWorkers: true, wantWorkers: true, wantNextTurn: 16 * time.Second},
		"no lease, verdict counts due": {servesStale: true, turn: 1, now: 16 * time.Second, wantVerdicts: true, wantNextTurn: 16 * time.Second},
		"no lease, last report failed": {
			servesStale: true, turn: 1, reportWorkers: true, wantWorkers: true, retry: true, wantNextTurn: 200 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			schedule := newReportSchedule(test.servesStale, lease)
			if !schedule.reportWorkers {
				t.Error("newReportSchedule: reportWorkers is false, want true for the first turn")
			}
			schedule.turn, schedule.reportWorkers = test.turn, test.reportWorkers
			if workers, verdicts := schedule.due(test.now); workers != test.wantWorkers || verdicts != test.wantVerdicts {
				t.Errorf("due(%s) = workers %t, verdict counts %t; want %t, %t",
					test.now, workers, verdicts, test.wantWorkers, test.wantVerdicts)
			}
			if got := schedule.nextTurn(test.retry); got != test.wantNextTurn {
				t.Errorf("nextTurn(%t) = %s, want %s", test.retry, got, test.wantNextTurn)
			}
		})
	}
}

// A failed report of the workers is repeated in the next turn, also if that begins before the pause is over because the
// configuration changed. Without a lease the workers would otherwise stay unknown to every registry.
func TestFailedReportStaysDue(t *testing.T) {
	for name, test := range map[string]struct {
		workersChanged, retry, want bool
	}{
		"last report failed":                     {retry: true, want: true},
		"last report failed and workers changed": {workersChanged: true, retry: true, want: true},
		"workers changed":                        {workersChanged: true, want: true},
		"neither":                                {},
	} {
		t.Run(name, func(t *testing.T) {
			schedule := newReportSchedule(true, time.Second)
			schedule.beginTurn(test.workersChanged, test.retry)
			if workers, _ := schedule.due(0); workers != test.want {
				t.Errorf("due after beginTurn(%t, %t) = workers %t, want %t", test.workersChanged, test.retry, workers, test.want)
			}
		})
	}
}

// failingRegistry refuses the first report of a proxy and accepts the others.
type failingRegistry struct {
	schema.DRPCRegistryUnimplementedServer
	reports chan *schema.ProxyReport // all reports, also the refused one
	refused atomic.Bool              // whether a report was refused
}

func (r *failingRegistry) Tell(_ context.Context, report *schema.ProxyReport) (*schema.ReportReply, error) {
	r.reports <- report
	if r.refused.CompareAndSwap(false, true) {
		return nil, errors.New("refused by the test")
	}
	return &schema.ReportReply{}, nil
}

// startFailingRegistry starts a registry that refuses the first report, and returns it with its address.
func startFailingRegistry(t *testing.T) (started *failingRegistry, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	started = &failingRegistry{reports: make(chan *schema.ProxyReport, 16)}
	mux := drpcmux.New()
	if err := schema.DRPCRegisterRegistry(mux, started); err != nil {
		t.Fatal(err)
	}
	registryTransport := transport.NewPlaintext("registry", "r", nil)
	go func() { _ = registryTransport.Serve(t.Context(), listener, mux, "proxy") }()
	return started, listener.Addr().String()
}

// The workers are reported again when the configuration changes in the pause after their report failed. The change
// cancelled the repeat before, and the workers stayed unknown to every registry.
func TestConfigChangeKeepsFailedReportDue(t *testing.T) {
	registry, address := startFailingRegistry(t)
	const longLease = time.Hour // a repeat after the ordinary pause would come long after the end of the test
	server := newServer(transport.NewPlaintext("proxy", "p", nil), &daemon.Environment{Draining: &atomic.Bool{}},
		&schema.ProxyOptions{Name: "p", Doubt: staleModeServe, Lease: int64(longLease), Seeds: address, Buffer: 1})
	server.registrySelector.SetSeeds([]string{address})
	server.registrySelector.Tick(server.now())
	server.registrySelector.RecordHeartbeat(server.now(), address, true, 0)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		server.reportLoop(ctx)
		close(ended)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	<-registry.reports
	server.configChanged <- struct{}{}
	select {
	case repeated := <-registry.reports:
		if repeated.Source == nil {
			t.Error("report after the change of configuration has no workers, want those of the failed report")
		}
	case <-time.After(testTimeout):
		t.Errorf("no report within %v after the change of configuration, want the failed one again", testTimeout)
	}
}
