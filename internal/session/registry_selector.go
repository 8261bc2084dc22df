package session

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"meadowhinge/schema"
)

// SelectorOptions holds the identity of the selecting proxy, and the time limits of a RegistrySelector.
type SelectorOptions struct {
	ProxyName         string        // name of this proxy; its hash spreads proxies over equally good registries
	Zone              string        // zone of this proxy; registries of the same zone are preferred
	HeartbeatInterval time.Duration // longest time between two heartbeats of a responsive registry
	HeartbeatTimeout  time.Duration // time without a heartbeat after which a session is closed
	MaxStaleness      time.Duration // age above which a registry's configuration is stale
	FailureCooldown   time.Duration // time for which a failed or stale registry ranks below the others
}

// Action tells the caller to open or close a session with a registry.
type Action struct {
	Open      bool   // true opens a session, false closes it
	Candidate bool   // the session opens beside the current one, and replaces it if it turns out better
	Address   string // address of the registry
	Reason    string // reason of the action, for the log
}

// The reasons of actions. An action that opens a session beside the current one has the class of the
// current registry as its reason instead.
const (
	reasonNoSession        = "no current session"
	reasonHeartbeatTimeout = "heartbeat timeout"
	reasonReplaced         = "replaced by a better registry"
	reasonCandidateNoGain  = "candidate is no better"
)

// RegistrySelector selects the registry that a proxy subscribes to. It prefers one of the proxy's own zone,
// and uses another while that one is unresponsive, down, or partitioned from the core. It opens a new session
// before it closes the old one, unless the old one has failed, so at most two sessions are open.
//
// It is a step function: the caller reports events with their times, and carries out the returned
// actions in order. It is not safe for concurrent use; the proxy guards it with its lock.
type RegistrySelector struct {
	options   SelectorOptions
	seeds     []string                     // addresses from the settings
	endpoints map[string]*registryEndpoint // known registries, by address
	// membersKnown is set once the registries have reported the addresses of the core members.
	membersKnown bool
	// current is the address of the session in use, empty for none.
	current string
	// candidate is the address of the session opened to become the current one, empty for none. It is set even if
	// there is no current session, unlike Action.Candidate.
	candidate string
	// nextTickAt is the time at which the next Tick is due. It is 0 if NextTick was not called since the last
	// event.
	nextTickAt time.Duration
	// foundUpToDate is set once a registry was found whose configuration was not stale.
	foundUpToDate bool
	// graceUntil is the time before which no registry counts as unresponsive or stale. A stall of this process
	// sets it.
	graceUntil time.Duration
}

// NewRegistrySelector returns a selector that knows only the seed addresses.
func NewRegistrySelector(options SelectorOptions, seeds []string) *RegistrySelector {
	s := &RegistrySelector{options: options, endpoints: map[string]*registryEndpoint{}}
	s.SetSeeds(seeds)
	return s
}

// SetSeeds replaces the seed addresses. Open sessions stay open.
func (s *RegistrySelector) SetSeeds(seeds []string) {
	s.seeds = seeds
	for _, address := range seeds {
		s.ensureEndpoint(address)
	}
}

// ensureEndpoint returns the registry at an address, and adds it if it is not known yet.
func (s *RegistrySelector) ensureEndpoint(address string) *registryEndpoint {
	endpoint := s.endpoints[address]
	if endpoint == nil {
		endpoint = &registryEndpoint{address: address}
		s.endpoints[address] = endpoint
	}
	return endpoint
}

// SetCoreMembers replaces the addresses that the registries advertise. An empty list is ignored. An address
// that is no longer listed is removed, unless it is a seed or has an open session.
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
			endpoint.advertised = true
			endpoint.zone = member.Zone
		}
	}
	for address, endpoint := range s.endpoints {
		if !endpoint.advertised && !endpoint.sessionOpen && !slices.Contains(s.seeds, address) {
			delete(s.endpoints, address)
		}
	}
}

// Current returns the address of the session in use, empty for none.
func (s *RegistrySelector) Current() string { return s.current }

// RecordHeartbeat records a message received in a session, any of which counts as a heartbeat, and returns the
// actions to carry out. staleness is
// the age that the registry's configuration may have. If stalenessReported is false, the age is unknown.
func (s *RegistrySelector) RecordHeartbeat(now time.Duration, address string, stalenessReported bool, staleness time.Duration) []Action {
	s.detectStall(now)
	endpoint := s.endpoints[address]
	if endpoint == nil || !endpoint.sessionOpen {
		return s.Tick(now)
	}
	endpoint.heartbeatReceived = true
	endpoint.lastHeartbeatAt = now
	endpoint.stalenessReported = stalenessReported
	endpoint.freshAsOf = now - staleness
	endpoint.failed = false
	if endpoint.stale = s.isStale(now, endpoint); endpoint.stale {
		endpoint.staleAt = now
	}
	s.foundUpToDate = s.foundUpToDate || !endpoint.stale
	return s.Tick(now)
}

// RecordSessionEnd records that a session ended or could not be opened, and returns the actions to carry out.
func (s *RegistrySelector) RecordSessionEnd(now time.Duration, address string) []Action {
	s.detectStall(now)
	if endpoint := s.endpoints[address]; endpoint != nil && endpoint.sessionOpen {
		s.recordFailure(now, endpoint)
	}
	return s.Tick(now)
}

// Tick evaluates the sessions and returns the actions to carry out. It must be called no later than at the
// time that NextTick returns.
func (s *RegistrySelector) Tick(now time.Duration) []Action {
	s.detectStall(now)
	actions := s.closeUnresponsive(now)
	actions = append(actions, s.resolveCandidate(now)...)
	if s.candidate != "" {
		return actions
	}
	return append(actions, s.openCandidate(now)...)
}

// NextTick returns when Tick must be called if no event comes before.
func (s *RegistrySelector) NextTick(now time.Duration) time.Duration {
	next := now + s.options.HeartbeatTimeout
	for _, endpoint := range s.endpoints {
		if !endpoint.sessionOpen {
			continue
		}
		// A limit is first exceeded one nanosecond after it.
		for _, deadline := range []time.Duration{
			endpoint.lastActivityAt() + s.options.unresponsiveAfter() + 1,
			endpoint.lastActivityAt() + s.options.HeartbeatTimeout,
			endpoint.freshAsOf + s.options.MaxStaleness + 1,
		} {
			if deadline > now {
				next = min(next, deadline)
			}
		}
	}
	if s.graceUntil > now {
		next = min(next, s.graceUntil)
	}
	switch {
	case s.candidate != "": // no retry before the candidate's first heartbeat or its timeout
	case !s.foundUpToDate:
		next = min(next, now+s.staleRetryInterval())
	case s.current == "":
		next = min(next, now+s.options.HeartbeatInterval)
	}
	s.nextTickAt = next
	return next
}

// stallDivisor gives the delay after a Tick was due above which this process counts as stalled: a heartbeat interval
// divided by this constant.
const stallDivisor = 2

// detectStall detects that this process was stalled, because neither Tick nor an event came until well after the Tick
// was due. Messages that arrived during a stall are not processed yet, so the registries must not be treated as silent
// for that time. The length of the stall is added to the times of their last activity. For one heartbeat interval no
// registry counts as unresponsive or stale.
func (s *RegistrySelector) detectStall(now time.Duration) {
	if late := now - s.nextTickAt; s.nextTickAt > 0 && late > s.options.HeartbeatInterval/stallDivisor {
		for _, endpoint := range s.endpoints {
			endpoint.openedAt += late
			endpoint.lastHeartbeatAt += late
		}
		s.graceUntil = now + s.options.HeartbeatInterval
	}
	s.nextTickAt = 0
}

// recordFailure closes a session because its registry failed.
func (s *RegistrySelector) recordFailure(now time.Duration, endpoint *registryEndpoint) {
	endpoint.fail(now)
	if s.current == endpoint.address {
		s.current = ""
	}
	if s.candidate == endpoint.address {
		s.candidate = ""
	}
}

// closeUnresponsive closes the sessions without a heartbeat within HeartbeatTimeout.
func (s *RegistrySelector) closeUnresponsive(now time.Duration) []Action {
	if now < s.graceUntil {
		return nil
	}
	var actions []Action
	for _, address := range s.sortedAddresses() {
		endpoint := s.endpoints[address]
		if endpoint.sessionOpen && now-endpoint.lastActivityAt() >= s.options.HeartbeatTimeout {
			s.recordFailure(now, endpoint)
			actions = append(actions, Action{Address: address, Reason: reasonHeartbeatTimeout})
		}
	}
	return actions
}

// resolveCandidate decides on the candidate session once it has had its first heartbeat. The candidate replaces
// the current session if it is better or there is none. Otherwise it is closed.
func (s *RegistrySelector) resolveCandidate(now time.Duration) []Action {
	candidate := s.endpoints[s.candidate]
	if candidate == nil || !candidate.heartbeatReceived {
		return nil
	}
	s.candidate = ""
	current := s.endpoints[s.current]
	if current != nil && s.class(now, candidate) >= s.class(now, current) {
		candidate.close()
		return []Action{{Address: candidate.address, Reason: reasonCandidateNoGain}}
	}
	var actions []Action
	if current != nil {
		current.close()
		actions = append(actions, Action{Address: s.current, Reason: reasonReplaced})
	}
	s.current = candidate.address
	return actions
}

// openCandidate opens a session with the best registry if it is better than the current one or there is no
// current one.
func (s *RegistrySelector) openCandidate(now time.Duration) []Action {
	best, current := s.bestEndpoint(now), s.endpoints[s.current]
	switch {
	case best == nil, best == current:
		return nil
	// While all registries fail, each is dialled at most once a heartbeat interval to avoid a busy loop.
	case current == nil && best.failed && now-best.failedAt < s.options.HeartbeatInterval:
		return nil
	case current != nil && s.class(now, best) >= s.class(now, current):
		return nil
	}
	best.open(now)
	s.candidate = best.address
	reason := reasonNoSession
	if current != nil {
		reason = s.class(now, current).String()
	}
	return []Action{{Open: true, Candidate: current != nil, Address: best.address, Reason: reason}}
}

// bestEndpoint returns the most preferred registry, nil if none is known.
func (s *RegistrySelector) bestEndpoint(now time.Duration) *registryEndpoint {
	var best *registryEndpoint
	for address, endpoint := range s.endpoints {
		// A seed is always eligible. Once the registries list their own addresses, a seed that is not listed
		// ranks as classSuspect, so it is used only while none of the listed ones is better.
		if !endpoint.advertised && s.membersKnown && !slices.Contains(s.seeds, address) {
			continue
		}
		if best == nil || s.compareEndpoints(now, endpoint, best) < 0 {
			best = endpoint
		}
	}
	return best
}

// compareEndpoints orders registries, the preferred one first. It compares the class first, and then the time of the
// last failure if the class is classFailed or classSuspect. Among equal registries the current one comes first, and
// the others follow in an order that differs between proxies.
func (s *RegistrySelector) compareEndpoints(now time.Duration, a, b *registryEndpoint) int {
	classA, classB := s.class(now, a), s.class(now, b)
	if classA != classB {
		return cmp.Compare(classA, classB)
	}
	// The registry that failed longest ago is retried first.
	if (classA == classFailed || classA == classSuspect) && a.lastFailureAt() != b.lastFailureAt() {
		return cmp.Compare(a.lastFailureAt(), b.lastFailureAt())
	}
	switch s.current {
	case a.address:
		return -1
	case b.address:
		return 1
	}
	return cmp.Or(
		cmp.Compare(s.affinityHash(a.address), s.affinityHash(b.address)),
		strings.Compare(a.address, b.address),
	)
}

// affinityHash returns a sort key that gives each proxy its own order of equally good registries.
func (s *RegistrySelector) affinityHash(address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(s.options.ProxyName + " " + address)) // a hash never fails to write
	return hash.Sum64()
}

// sortedAddresses returns the addresses of all known registries in a fixed order, which keeps the order of
// actions deterministic.
func (s *RegistrySelector) sortedAddresses() []string {
	addresses := make([]string, 0, len(s.endpoints))
	for address := range s.endpoints {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}
