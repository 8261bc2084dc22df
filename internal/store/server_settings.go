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

// optionsPollTimeouts is how many heartbeat timeouts lie between two looks at the settings file.
const optionsPollTimeouts = 4

// plaintextLinks is the value of the setting "links" for a network that is trusted.
const plaintextLinks = "plain"

// applyOptions takes over settings that changed while the store runs.
func (s *Server) applyOptions(updated *schema.StoreOptions) {
	s.step(func(now time.Duration) []Action {
		s.liveOptions = updated
		return s.replica.SetLimits(now, replicaConfig(updated))
	})
}

// currentOptions returns the settings with their latest changes.
func (s *Server) currentOptions() *schema.StoreOptions {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.liveOptions
}

// newTransport makes the RPC transport: mutual TLS, or plaintext with the name taken from the settings.
func newTransport(opts *schema.StoreOptions) (*transport.Transport, error) {
	if opts.Links == plaintextLinks {
		return transport.NewPlaintext("store", opts.Seat, nil, transport.WithLocalAddress(opts.Listen)), nil
	}
	return transport.NewTLS(opts.Certificate, opts.Authority, transport.WithLocalAddress(opts.Listen))
}

// replicaConfig derives the replica's configuration from the settings. Without a static member list, members are
// named by their IPs, and the seeds are the founders where all of them start for the first time.
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

// randomIncarnation draws an incarnation other than 0, which means none. It is only ever compared for equality, and
// there is nobody to hand out numbers.
func randomIncarnation() uint64 { return 1 + rand.Uint64N(math.MaxUint64-1) }

// storeAddress is the address of a replica that is named by its IP: all stores listen on the same port. It is empty
// if the name is no IP.
func storeAddress(opts *schema.StoreOptions, name string) string {
	own, err := netip.ParseAddrPort(opts.Listen)
	address, nameErr := netip.ParseAddr(name)
	if err != nil || nameErr != nil {
		return ""
	}
	return netip.AddrPortFrom(address, own.Port()).String()
}
