package registry

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/options"
	"meadowhinge/internal/release"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// minWindowLeases is the minimum of the option key-window, in leases. A key reservation must outlive every call that
// may still run under it. It must also outlive the leases that were valid during such a call.
const minWindowLeases = 4

// Values of enumerated options.
const (
	linksPlaintext         = "plain"  // option links: RPCs without TLS
	acknowledgeAfterCommit = "stable" // option acknowledge-after: a change is acknowledged once it is committed
)

// serverConfig is the checked part of a registry's configuration that does not change while it runs. Options that may
// change are in liveOptions.
type serverConfig struct {
	memberID          string // id of the core member on this machine
	advertisedAddress string // IP:port at which proxies and other registries reach this one
	zone              string // zone of the core member

	// memberOrder lists the ids of all core members in order of preference for leadership, as the option order sets it.
	// It is nil if the stores agree on the members instead.
	memberOrder     []string
	memberOrderText string // text of the option order; registries compare it with each other's

	listenAddress         string // IP:port for RPCs
	operatorListenAddress string // IP:port for the operators' HTTP API
	probeListenAddress    string // IP:port for readiness, liveness and status pages
	storeAddress          string // IP:port of the store on this machine

	lease             time.Duration // lease duration, the same on every process
	reservationWindow time.Duration // how long a key reservation is valid; option key-window

	maxSources      int64 // most proxies that the service directory lists
	maxCounts       int64 // most lines of call counts in one proxy's report
	maxReservations int64 // most valid key reservations
	maxChangeBytes  int64 // largest body of an operator's request, in bytes

	acknowledgesAfterCommit bool // a change is acknowledged once it is committed, without regard to leases
}

// newServerConfig checks the options and returns the server configuration derived from them. It fails with
// errs.InvalidOptions if key-window is shorter than minWindowLeases leases. It does not change opts.
func newServerConfig(opts *schema.RegistryOptions) (*serverConfig, error) {
	if opts.KeyWindow < minWindowLeases*opts.Lease {
		return nil, errs.New(errs.InvalidOptions, fmt.Sprintf("key-window: %v is shorter than %d leases of %v",
			time.Duration(opts.KeyWindow), minWindowLeases, time.Duration(opts.Lease)))
	}
	address := opts.Advertise
	if address == "" {
		address = opts.Listen
	}
	memberID := opts.Seat
	if opts.Order == "" {
		// Without a static member order the stores identify each member by its IP.
		memberID = ipOf(address)
	}
	return &serverConfig{
		memberID:                memberID,
		advertisedAddress:       address,
		zone:                    opts.Area,
		memberOrder:             options.SplitList(opts.Order),
		memberOrderText:         opts.Order,
		listenAddress:           opts.Listen,
		operatorListenAddress:   opts.OperatorListen,
		probeListenAddress:      opts.ProbeListen,
		storeAddress:            opts.Store,
		lease:                   time.Duration(opts.Lease),
		reservationWindow:       time.Duration(opts.KeyWindow),
		maxSources:              opts.SourcesMost,
		maxCounts:               opts.CountsMost,
		maxReservations:         opts.ClaimsMost,
		maxChangeBytes:          opts.SetupMost,
		acknowledgesAfterCommit: opts.AcknowledgeAfter == acknowledgeAfterCommit,
	}, nil
}

// nodeName returns the name by which this registry identifies itself to other registries.
func (c *serverConfig) nodeName() string { return "registry/" + c.memberID }

// ipOf returns the IP of IP:port, or address itself if it has no port.
func ipOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// newTransport returns the transport for the registry's RPCs. It uses TLS unless the option links selects plaintext.
func newTransport(opts *schema.RegistryOptions) (*transport.Transport, error) {
	localAddress := transport.WithLocalAddress(opts.Listen)
	if opts.Links == linksPlaintext {
		return transport.NewPlaintext("registry", opts.Seat, nil, localAddress), nil
	}
	return transport.NewTLS(opts.Certificate, opts.Authority, localAddress)
}

// checkIdentity fails with errs.InvalidOptions unless the certificate identifies the registry of this member.
func checkIdentity(self transport.Peer, memberID string) error {
	if self.Role != "registry" || self.Name != memberID {
		return errs.New(errs.InvalidOptions,
			fmt.Sprintf("certificate is for %s %q, not registry %q", self.Role, self.Name, memberID))
	}
	return nil
}

// liveOptions holds the options that may change while the registry runs. All methods are safe for concurrent use.
type liveOptions struct {
	current atomic.Pointer[schema.RegistryOptions] // replaced as a whole, never changed in place
}

func newLiveOptions(opts *schema.RegistryOptions) *liveOptions {
	live := &liveOptions{}
	live.current.Store(proto.Clone(opts).(*schema.RegistryOptions))
	return live
}

// update replaces the options. updated must be a *schema.RegistryOptions, which the caller no longer changes.
func (l *liveOptions) update(updated proto.Message) {
	l.current.Store(updated.(*schema.RegistryOptions))
}

// seeds returns the addresses at which to look for other registries.
func (l *liveOptions) seeds() []string { return options.SplitList(l.current.Load().Seeds) }

// drainTimeout returns the longest wait, at shutdown, for operators' requests in flight.
func (l *liveOptions) drainTimeout() time.Duration { return time.Duration(l.current.Load().Drain) }

// changeTimeout returns the longest time to decide and acknowledge a change.
func (l *liveOptions) changeTimeout() time.Duration {
	return time.Duration(l.current.Load().AnswerMost)
}

// rolloutOptions returns the options of the rollout controller.
func (l *liveOptions) rolloutOptions() release.Options {
	opts := l.current.Load()
	return release.Options{
		CanaryPercent:       100 * opts.TrialShare,
		MinCalls:            uint64(opts.CallsEnough),
		FailureThreshold:    uint64(opts.BrakeFailures),
		FailureRateMargin:   opts.BrakeExcess,
		FailureRateMultiple: opts.BrakeTimes,
		MinStandardErrors:   opts.BrakeCertain,
		LatencyMultiple:     opts.BrakeSlow,
		RampSteps:           int(opts.Steps),
		RollbackLogOdds:     opts.BrakeSure,
		CanaryEndFraction:   opts.FinishAt,
		MaxBadFraction:      opts.BadShare,
		BadCallsMargin:      float64(opts.BadMargin),
	}
}
