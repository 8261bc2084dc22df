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

// minWindowLeases is how many leases a key reservation must be valid at least: it must outlive every call that may still run under
// it, and the leases of that time.
const minWindowLeases = 4

// Values of options that are choices.
const (
	linksPlaintext         = "plain"  // option links
	acknowledgeAfterCommit = "stable" // option acknowledge-after
)

// serverConfig is a registry's checked configuration, as far as it holds from start to end. Nothing changes it after
// newServerConfig; options that may change meanwhile are in liveOptions.
type serverConfig struct {
	memberID          string // of the core member on this machine
	advertisedAddress string // IP:port at which proxies and other registries reach this one
	zone              string

	memberOrder     []string // ids of all core members in the order of leadership; nil where the stores agree on the members
	memberOrderText string   // the option as it was set; other registries compare it with theirs

	listenAddress         string // of RPCs
	operatorListenAddress string // of the operators' HTTP interface
	probeListenAddress    string // of readiness, liveness and status pages
	storeAddress          string // of the store on this machine

	lease             time.Duration
	reservationWindow time.Duration

	maxSources      int64 // proxies that are listed
	maxCounts       int64 // lines of counts in one proxy's report
	maxReservations int64
	maxChangeBytes  int64 // of an operator's request body

	// acknowledgesAfterCommit: a change is acknowledged once it is committed, and nothing rests on leases.
	acknowledgesAfterCommit bool
}

// newServerConfig checks the options and derives from them what the registry works with. It does not change opts.
func newServerConfig(opts *schema.RegistryOptions) (*serverConfig, error) {
	if opts.KeyWindow < minWindowLeases*opts.Lease {
		return nil, errs.New(errs.InvalidOptions, fmt.Sprintf("key-window: must be at least %d leases", minWindowLeases))
	}
	address := opts.Advertise
	if address == "" {
		address = opts.Listen
	}
	memberID := opts.Seat
	if opts.Order == "" {
		// Where the stores agree on the members, they name each by its IP.
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

// nodeName is how this registry names itself to other registries.
func (c *serverConfig) nodeName() string { return "registry/" + c.memberID }

// ipOf gives the IP of IP:port.
func ipOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// newTransport opens the transport of the registry's RPCs, with TLS unless the options say plaintext.
func newTransport(opts *schema.RegistryOptions) (*transport.Transport, error) {
	localAddress := transport.WithLocalAddress(opts.Listen)
	if opts.Links == linksPlaintext {
		return transport.NewPlaintext("registry", opts.Seat, nil, localAddress), nil
	}
	return transport.NewTLS(opts.Certificate, opts.Authority, localAddress)
}

// checkIdentity checks that the certificate is the registry's of this member.
func checkIdentity(self transport.Peer, memberID string) error {
	if self.Role != "registry" || self.Name != memberID {
		return errs.New(errs.InvalidOptions,
			fmt.Sprintf("certificate is for %s %q, not registry %q", self.Role, self.Name, memberID))
	}
	return nil
}

// liveOptions are the options that may change while the registry runs. All methods are safe for concurrent use.
type liveOptions struct {
	current atomic.Pointer[schema.RegistryOptions] // never changed once stored
}

func newLiveOptions(opts *schema.RegistryOptions) *liveOptions {
	live := &liveOptions{}
	live.current.Store(proto.Clone(opts).(*schema.RegistryOptions))
	return live
}

// update puts changed options into force; they are a *schema.RegistryOptions.
func (l *liveOptions) update(updated proto.Message) {
	l.current.Store(updated.(*schema.RegistryOptions))
}

// seeds are the addresses at which other registries may be.
func (l *liveOptions) seeds() []string { return options.SplitList(l.current.Load().Seeds) }

// drainTimeout is how long calls in flight are waited for at the end.
func (l *liveOptions) drainTimeout() time.Duration { return time.Duration(l.current.Load().Drain) }

// changeTimeout is the longest wait for a change to be acknowledged.
func (l *liveOptions) changeTimeout() time.Duration {
	return time.Duration(l.current.Load().AnswerMost)
}

// rolloutOptions are the rollout controller's options.
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
