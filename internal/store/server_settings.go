package store

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"meadowhinge/internal/options"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// optionsPollTimeouts is how many silence bounds lie between two looks at the settings file.
const optionsPollTimeouts = 4

// applyOptions goes on by settings that have changed.
func (s *Server) applyOptions(updated *schema.StoreOptions) {
	s.step(func(at time.Duration) []Action {
		s.liveOptions = updated
		return s.replica.SetLimits(at, replicaConfig(updated))
	})
}

// currentOptions are the settings in force, as far as they may change.
func (s *Server) currentOptions() *schema.StoreOptions {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.liveOptions
}

// newTransport makes the links' ends: with keys, or plain ones that need none.
func newTransport(opts *schema.StoreOptions) (*transport.Transport, error) {
	if opts.Links == plaintextLinks {
		return transport.NewPlaintext("store", opts.Seat, nil, transport.WithLocalAddress(opts.Listen)), nil
	}
	return transport.NewTLS(opts.Certificate, opts.Authority, transport.WithLocalAddress(opts.Listen))
}

const plaintextLinks = "plain"

// replicaConfig makes a replica's options. Without an order members are named by their IPs, and the
// seeds are the first members where all of them start for the first time.
func replicaConfig(opts *schema.StoreOptions) Config {
	cfg := Config{Name: opts.Seat, StaticMembers: options.SplitList(opts.Order), Address: opts.Advertise, ToleratedLosses: int(opts.Losses), NewIncarnation: randomIncarnation,
		HeartbeatTimeout: time.Duration(opts.Silence), StallTimeout: time.Duration(opts.Stall), MaxEntries: int(opts.EntriesMost),
		MaxOutcomes: int(opts.OutcomesMost), MaxUncommittedEntries: int(opts.Buffer), MaxOperatorTombstones: int(opts.DroppedMost)}
	if cfg.Address == "" {
		cfg.Address = opts.Listen
	}
	if len(cfg.StaticMembers) > 0 {
		return cfg
	}
	for _, seed := range options.SplitList(opts.Seeds) {
		if address, err := netip.ParseAddrPort(seed); err == nil {
			cfg.Seeds = append(cfg.Seeds, address.Addr().String())
		}
	}
	slices.Sort(cfg.Seeds)
	cfg.Seeds = slices.Compact(cfg.Seeds)
	if opts.Founding && slices.Contains(cfg.Seeds, cfg.Name) {
		cfg.Founders = cfg.Seeds
	}
	cfg.ExpandsMembership = opts.Founding && cfg.Founders == nil
	return cfg
}

// randomIncarnation draws an incarnation: there is nobody to ask, and only whether two are equal matters.
func randomIncarnation() uint64 { return 1 + rand.Uint64N(math.MaxUint64-1) }

// storeAddress is where a replica named by its IP stands: every store has the same port.
func storeAddress(opts *schema.StoreOptions, name string) string {
	own, err := netip.ParseAddrPort(opts.Listen)
	address, nameErr := netip.ParseAddr(name)
	if err != nil || nameErr != nil {
		return ""
	}
	return netip.AddrPortFrom(address, own.Port()).String()
}
