package session

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"meadowhinge/schema"
)

// SelectorOptions are whose tie it is and the times it goes by.
type SelectorOptions struct {
	ProxyName         string        // of this proxy: proxies spread over the registries by it
	Zone              string        // its zone: a registry there is taken first
	HeartbeatInterval time.Duration // how often a registry says something at the least
	HeartbeatTimeout  time.Duration // a registry silent for so long is left
	MaxStaleness      time.Duration // and one whose setup may be so old
	FailureCooldown   time.Duration // how long one that failed or lagged is not tried again while another does
}

// Action opens or ends a session with the registry at an address.
type Action struct {
	Open      bool
	Candidate bool // beside the session that counts, which stays until this one is heard and is better
	Address   string
	Reason    string
}

// RegistrySelector is with which registry a proxy has its session: one of its own zone if it can, and another
// as long as that one is silent, gone, or cut off from the core. A new session is opened before
// the old one is ended, unless that one is dead. It is a step function of what is heard and when.
type RegistrySelector struct {
	options       SelectorOptions
	seeds         []string
	endpoints     map[string]*registryEndpoint
	membersKnown  bool          // the registries told who they are
	current       string        // the session that counts, empty for none
	candidate     string        // one that was opened to take its place
	nextTickAt    time.Duration // when Tick was to be called at the latest; 0 for not said
	foundUpToDate bool          // some registry was in touch with the core, once
	graceUntil    time.Duration // until when nobody is taken to be silent or to lag, after a stall of this process
}

// registryEndpoint is an address where a registry is, or may be.
type registryEndpoint struct {
	address           string
	zone              string
	advertised        bool // by the registries themselves
	sessionOpen       bool
	openedAt          time.Duration
	heartbeatReceived bool
	lastHeartbeatAt   time.Duration // in this session
	failed            bool
	failedAt          time.Duration
	stale             bool
	staleAt           time.Duration
	stalenessReported bool          // it told how old its setup may be
	freshAsOf         time.Duration // of what time its setup is known to be the newest
}

// NewRegistrySelector starts from addresses that were given.
func NewRegistrySelector(options SelectorOptions, seeds []string) *RegistrySelector {
	s := &RegistrySelector{options: options, endpoints: map[string]*registryEndpoint{}}
	s.SetSeeds(seeds)
	return s
}

// SetSeeds takes other addresses to start from. Sessions that are open stay.
func (s *RegistrySelector) SetSeeds(seeds []string) {
	s.seeds = seeds
	for _, address := range seeds {
		s.ensureEndpoint(address)
	}
}

func (s *RegistrySelector) ensureEndpoint(address string) *registryEndpoint {
	endpoint := s.endpoints[address]
	if endpoint == nil {
		endpoint = &registryEndpoint{address: address}
		s.endpoints[address] = endpoint
	}
	return endpoint
}

// SetCoreMembers takes where the registries say that they are.
func (s *RegistrySelector) SetCoreMembers(members []*schema.CoreMember) {
	if len(members) == 0 {
		return
	}
	s.membersKnown = true
	for _, endpoint := range s.endpoints {
		endpoint.advertised = false
	}
	for _, member := range members {
		if member.Address != "" {
			endpoint := s.ensureEndpoint(member.Address)
			endpoint.advertised, endpoint.zone = true, member.Zone
		}
	}
	for address, endpoint := range s.endpoints {
		if !endpoint.advertised && !endpoint.sessionOpen && !slices.Contains(s.seeds, address) {
			delete(s.endpoints, address)
		}
	}
}

// Current is the address of the session that counts, empty for none.
func (s *RegistrySelector) Current() string { return s.current }

// stallDivisor is the part of a beat by which a call that is late shows that this process stalled.
const stallDivisor = 2

// detectStall finds out whether this process was stalled: what came meanwhile has not been looked at
// yet, so its own silence must not be taken for that of registries.
func (s *RegistrySelector) detectStall(now time.Duration) {
	if late := now - s.nextTickAt; s.nextTickAt > 0 && late > s.options.HeartbeatInterval/stallDivisor {
		for _, endpoint := range s.endpoints {
			endpoint.openedAt, endpoint.lastHeartbeatAt = endpoint.openedAt+late, endpoint.lastHeartbeatAt+late
		}
		s.graceUntil = now + s.options.HeartbeatInterval
	}
	s.nextTickAt = 0
}

// RecordHeartbeat takes a sign of life in a session, and how old the registry's setup may be.
func (s *RegistrySelector) RecordHeartbeat(now time.Duration, address string, stalenessReported bool, staleness time.Duration) []Action {
	s.detectStall(now)
	endpoint := s.endpoints[address]
	if endpoint == nil || !endpoint.sessionOpen {
		return s.Tick(now)
	}
	endpoint.heartbeatReceived, endpoint.lastHeartbeatAt, endpoint.stalenessReported, endpoint.freshAsOf, endpoint.failed = true, now, stalenessReported, now-staleness, false
	if endpoint.stale = s.isStale(now, endpoint); endpoint.stale {
		endpoint.staleAt = now
	}
	s.foundUpToDate = s.foundUpToDate || !endpoint.stale
	return s.Tick(now)
}

// RecordSessionEnd takes the end of a session, or that it could not be opened.
func (s *RegistrySelector) RecordSessionEnd(now time.Duration, address string) []Action {
	s.detectStall(now)
	if endpoint := s.endpoints[address]; endpoint != nil && endpoint.sessionOpen {
		s.markFailed(now, endpoint)
	}
	return s.Tick(now)
}

func (s *RegistrySelector) markFailed(now time.Duration, endpoint *registryEndpoint) {
	endpoint.sessionOpen, endpoint.heartbeatReceived, endpoint.failed, endpoint.failedAt = false, false, true, now
	if s.current == endpoint.address {
		s.current = ""
	}
	if s.candidate == endpoint.address {
		s.candidate = ""
	}
}

// isStale tells whether a registry's setup may be too old.
func (s *RegistrySelector) isStale(now time.Duration, endpoint *registryEndpoint) bool {
	return now >= s.graceUntil && (!endpoint.stalenessReported || now-endpoint.freshAsOf > s.options.MaxStaleness)
}

// suspectAfterHeartbeats is how many beats may be missed before another registry is tried beside a silent one.
const suspectAfterHeartbeats = 1.5

// lastActivityAt is when a session gave its last sign of life, or began.
func (e *registryEndpoint) lastActivityAt() time.Duration {
	if e.heartbeatReceived {
		return e.lastHeartbeatAt
	}
	return e.openedAt
}

// lastFailureAt is when a registry was last found wanting.
func (e *registryEndpoint) lastFailureAt() time.Duration { return max(e.failedAt, e.staleAt) }

// Ratios to a beat, of how long one that lagged is not tried again, if all do.
const (
	staleRetryHeartbeats = 2
	initialRetryDivisor  = 4 // as long as none was found that does not
)

// staleRetryInterval is that time. A proxy that has just started holds nothing that it could go on by,
// and where the core started with it, the registries find the core again one by one.
func (s *RegistrySelector) staleRetryInterval() time.Duration {
	if s.foundUpToDate {
		return staleRetryHeartbeats * s.options.HeartbeatInterval
	}
	return s.options.HeartbeatInterval / initialRetryDivisor
}

// Classes of registries, the better ones first.
const (
	classHealthy   = iota
	classOtherZone // in another zone
	classSuspect   // failed or lagged not long ago: tried again only if there is nothing better than a lagging one
	classDegraded  // not in touch with the core, or silent for a moment
	classFailed    // just now
)

// class tells how good a registry is, as far as it is known.
func (s *RegistrySelector) class(now time.Duration, endpoint *registryEndpoint) int {
	withinCooldown := func(at time.Duration) bool { return now-at < s.options.FailureCooldown }
	failed, stale := !endpoint.sessionOpen && endpoint.failed, !endpoint.sessionOpen && endpoint.stale
	unresponsive := now >= s.graceUntil && endpoint.sessionOpen && now-endpoint.lastActivityAt() > time.Duration(suspectAfterHeartbeats*float64(s.options.HeartbeatInterval))
	switch {
	case failed && now-endpoint.failedAt < s.options.HeartbeatInterval:
		return classFailed
	case unresponsive, endpoint.sessionOpen && endpoint.heartbeatReceived && s.isStale(now, endpoint), stale && now-endpoint.staleAt < s.staleRetryInterval():
		return classDegraded
	case failed && withinCooldown(endpoint.failedAt), stale && withinCooldown(endpoint.staleAt), !endpoint.sessionOpen && !endpoint.advertised && s.membersKnown:
		return classSuspect
	case endpoint.zone != "" && s.options.Zone != "" && endpoint.zone != s.options.Zone:
		return classOtherZone
	}
	return classHealthy
}

// affinityHash puts registries of one class in an order of this proxy's own.
func (s *RegistrySelector) affinityHash(address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(s.options.ProxyName + " " + address))
	return hash.Sum64()
}

// bestEndpoint is the registry to have a session with.
func (s *RegistrySelector) bestEndpoint(now time.Duration) *registryEndpoint {
	var endpoints []*registryEndpoint
	for address, endpoint := range s.endpoints {
		// Addresses that were given matter until the registries say where they are, and again,
		// as the class has it, when none of those can be reached.
		if endpoint.advertised || !s.membersKnown || slices.Contains(s.seeds, address) {
			endpoints = append(endpoints, endpoint)
		}
	}
	slices.SortFunc(endpoints, func(a, b *registryEndpoint) int {
		classA, classB := s.class(now, a), s.class(now, b)
		switch {
		case classA != classB:
			return classA - classB
		case (classA == classFailed || classA == classSuspect) && a.lastFailureAt() != b.lastFailureAt():
			return int(a.lastFailureAt() - b.lastFailureAt())
		case a.address == s.current || b.address == s.current:
			if a.address == s.current {
				return -1
			}
			return 1
		}
		if hashA, hashB := s.affinityHash(a.address), s.affinityHash(b.address); hashA != hashB {
			if hashA < hashB {
				return -1
			}
			return 1
		}
		return strings.Compare(a.address, b.address)
	})
	if len(endpoints) == 0 {
		return nil
	}
	return endpoints[0]
}

// Tick looks at the sessions and tells what to do.
func (s *RegistrySelector) Tick(now time.Duration) []Action {
	s.detectStall(now)
	var actions []Action
	for _, address := range s.sortedAddresses() {
		if endpoint := s.endpoints[address]; endpoint.sessionOpen && now >= s.graceUntil && now-endpoint.lastActivityAt() >= s.options.HeartbeatTimeout {
			s.markFailed(now, endpoint)
			actions = append(actions, Action{Address: address, Reason: "silent"})
		}
	}
	// What was opened to take a session's place takes it once it is heard and is the better one.
	if endpoint := s.endpoints[s.candidate]; endpoint != nil && endpoint.heartbeatReceived {
		if current := s.endpoints[s.current]; current == nil || s.class(now, endpoint) < s.class(now, current) {
			if current != nil {
				current.sessionOpen, current.heartbeatReceived = false, false
				actions = append(actions, Action{Address: s.current, Reason: "another is better"})
			}
			s.current, s.candidate = endpoint.address, ""
		} else {
			endpoint.sessionOpen, endpoint.heartbeatReceived = false, false
			actions = append(actions, Action{Address: endpoint.address, Reason: "it is no better"})
			s.candidate = ""
		}
	}
	if s.candidate != "" {
		return actions
	}
	best, current := s.bestEndpoint(now), s.endpoints[s.current]
	switch {
	case best == nil, best == current:
		return actions
	// Each is tried again after a while, so that not all are called over and over when none answers.
	case current == nil && best.failed && now-best.failedAt < s.options.HeartbeatInterval:
		return actions
	case current != nil && s.class(now, best) >= s.class(now, current):
		return actions
	}
	best.sessionOpen, best.openedAt, best.heartbeatReceived = true, now, false
	s.candidate = best.address
	reason := "none"
	if current != nil {
		reason = classNames[s.class(now, current)]
	}
	return append(actions, Action{Open: true, Candidate: current != nil, Address: best.address, Reason: reason})
}

var classNames = map[int]string{classHealthy: "sound", classOtherZone: "in another zone", classDegraded: "lags", classSuspect: "failed before", classFailed: "failed"}

func (s *RegistrySelector) sortedAddresses() []string {
	addresses := make([]string, 0, len(s.endpoints))
	for address := range s.endpoints {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// NextTick is when Tick must be called at the latest, if nothing is heard before.
func (s *RegistrySelector) NextTick(now time.Duration) time.Duration {
	next := now + s.options.HeartbeatTimeout
	for _, endpoint := range s.endpoints {
		if !endpoint.sessionOpen {
			continue
		}
		for _, deadline := range []time.Duration{endpoint.lastActivityAt() + time.Duration(suspectAfterHeartbeats*float64(s.options.HeartbeatInterval)) + 1, endpoint.lastActivityAt() + s.options.HeartbeatTimeout, endpoint.freshAsOf + s.options.MaxStaleness + 1} {
			if deadline > now {
				next = min(next, deadline)
			}
		}
	}
	if s.graceUntil > now {
		next = min(next, s.graceUntil)
	}
	switch {
	case s.candidate != "":
	case !s.foundUpToDate:
		next = min(next, now+s.staleRetryInterval())
	case s.current == "":
		next = min(next, now+s.options.HeartbeatInterval)
	}
	s.nextTickAt = next
	return next
}
