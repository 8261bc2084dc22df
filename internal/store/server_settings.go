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

// optionsPollTimeouts is the number of heartbeat timeouts between two checks of the settings file for changes.
const optionsPollTimeouts = 4

// plaintextLinks is the value of the setting "links" for connections without TLS, on a trusted network.
const plaintextLinks = "plain"

// applyOptions applies settings that were changed while the store runs; see Replica.SetLimits.
func (s *Server) applyOptions(updated *schema.StoreOptions) {
	s.step(func(now time.Duration) []Action {
		s.liveOptions = updated
		return s.replica.SetLimits(now, replicaConfig(updated))
	})
}

// currentOptions returns the settings after their last change.
func (s *Server) currentOptions() *schema.StoreOptions {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.liveOptions
}

// newTransport returns the RPC transport: mutual TLS, or plaintext under the name in the settings.
func newTransport(opts *schema.StoreOptions) (*transport.Transport, error) {
	if opts.Links == plaintextLinks {
		return transport.NewPlaintext("store", opts.Seat, nil, transport.WithLocalAddress(opts.Listen)), nil
	}
	return transport.NewTLS(opts.Certificate, opts.Authority, transport.WithLocalAddress(opts.Listen))
}

// replicaConfig derives the replica's configuration from the settings. Without a static member list, members are named
// by their IP addresses, and the seeds are the founders if the settings say that the core starts for the first time.
func replicaConfig(opts *schema.StoreOptions) Config {
	cfg := Config{
		Name:                  opts.Seat,
		Address:               opts.Advertise,
		StaticMembers:         options.SplitList(opts.Order),
		ToleratedLosses:       int(opts.Losses),
		NewIncarnation:        randomIncarnation,
		HeartbeatTimeout:      time.Duration(opts.Silence),
		StallTimeout:          time.Duration(opts.Stall),
		MaxEntries:            int(opts.EntriesMost),
		MaxOutcomes:           int(opts.OutcomesMost),
		MaxUncommittedEntries: int(opts.Buffer),
		MaxOperatorTombstones: int(opts.DroppedMost),
	}
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

// randomIncarnation returns a random incarnation other than 0, which means none. Incarnations are only compared for
// equality, and there is no authority that could assign numbers.
func randomIncarnation() uint64 { return 1 + rand.Uint64N(math.MaxUint64-1) }

// storeAddress returns the host:port of a replica that is named by its IP address: all stores listen on the same port.
// It is empty if the name is not an IP address or this store's own listen address is invalid.
func storeAddress(opts *schema.StoreOptions, name string) string {
	own, err := netip.ParseAddrPort(opts.Listen)
	address, nameErr := netip.ParseAddr(name)
	if err != nil || nameErr != nil {
		return ""
	}
	return netip.AddrPortFrom(address, own.Port()).String()
}
