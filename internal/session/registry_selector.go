package session

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"meadowhinge/schema"
)

// SelectorOptions say for which proxy a RegistrySelector selects, and its time limits.
type SelectorOptions struct {
	ProxyName         string        // spreads the proxies over registries that are equally good
	Zone              string        // of this proxy: a registry of the same zone is preferred
	HeartbeatInterval time.Duration // longest time between two heartbeats of a responsive registry
	HeartbeatTimeout  time.Duration // time without a heartbeat after which a session is closed
	MaxStaleness      time.Duration // age of a registry's configuration from which it counts as stale
	FailureCooldown   time.Duration // how long a failed or stale registry ranks below the others
}

// Action tells the caller to open or close a session with a registry.
type Action struct {
	Open      bool   // false closes the session
	Candidate bool   // the session opens beside the current one, and replaces it once it proves better
	Address   string // of the registry
	Reason    string // for the log
}

// The reasons of actions. An action that opens a session beside the current one gives the class of
// the current registry instead.
const (
	reasonNoSession        = "no current session"
	reasonHeartbeatTimeout = "heartbeat timeout"
	reasonReplaced         = "replaced by a better registry"
	reasonCandidateNoGain  = "candidate is no better"
)

// RegistrySelector selects the registry that a proxy subscribes to: one of its own zone if possible,
// another while that one is unresponsive, down, or partitioned from the core. It opens a new session
// before it closes the old one, unless the old one has failed, so at most two sessions are open.
//
// It is a step function: the caller reports events with their times, and carries out the returned
// actions in order. It is not safe for concurrent use; the proxy guards it with its lock.
type RegistrySelector struct {
	options       SelectorOptions
	seeds         []string                     // addresses from the settings
	endpoints     map[string]*registryEndpoint // by address
	membersKnown  bool                         // the registries have reported their own addresses
	current       string                       // address of the session in use, empty for none
	candidate     string                       // address of the session opened to replace it, or to become the first
	nextTickAt    time.Duration                // when the next Tick is due; 0 if NextTick was not called since the last event
	foundUpToDate bool                         // some registry was not stale, once
	graceUntil    time.Duration                // after a stall of this process: no registry counts as unresponsive or stale before
}

// NewRegistrySelector makes a selector that knows the seed addresses alone.
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

func (s *RegistrySelector) ensureEndpoint(address string) *registryEndpoint {
	endpoint := s.endpoints[address]
	if endpoint == nil {
		endpoint = &registryEndpoint{address: address}
		s.endpoints[address] = endpoint
	}
	return endpoint
}

// SetCoreMembers replaces the addresses that the registries advertise. An empty list is ignored. An
// address that is no longer listed is forgotten, unless it is a seed or has an open session.
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

// Current is the address of the session in use, empty for none.
func (s *RegistrySelector) Current() string { return s.current }

// RecordHeartbeat records a message received in a session. The registry's configuration may be as old as
// staleness says; without stalenessReported its age is unknown.
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

// RecordSessionEnd records that a session ended, or could not be opened.
func (s *RegistrySelector) RecordSessionEnd(now time.Duration, address string) []Action {
	s.detectStall(now)
	if endpoint := s.endpoints[address]; endpoint != nil && endpoint.sessionOpen {
		s.recordFailure(now, endpoint)
	}
	return s.Tick(now)
}

// Tick evaluates the sessions and returns what the caller must open and close. It must be called when
// NextTick says, at the latest.
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
		// One nanosecond beyond a limit is the first moment at which it is exceeded.
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
	case s.candidate != "": // a retry waits for the candidate's first heartbeat or its timeout
	case !s.foundUpToDate:
		next = min(next, now+s.staleRetryInterval())
	case s.current == "":
		next = min(next, now+s.options.HeartbeatInterval)
	}
	s.nextTickAt = next
	return next
}

// stallDivisor is the fraction of a heartbeat interval by which a call must be late to show that this
// process was stalled.
const stallDivisor = 2

// detectStall finds out whether this process was stalled. Messages that came during a stall are not
// processed yet, so the registries must not be blamed for its length: it is added to the times of
// the last activity, and for one heartbeat interval no registry counts as unresponsive or stale.
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

// closeUnresponsive closes the sessions that had no heartbeat within the timeout.
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

// resolveCandidate decides about the candidate session once it has had its first heartbeat: it
// replaces the current session if it is better or there is none, otherwise it is closed.
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

// openCandidate opens a session with the best registry if that is better than the current one, or if
// there is no current one.
func (s *RegistrySelector) openCandidate(now time.Duration) []Action {
	best, current := s.bestEndpoint(now), s.endpoints[s.current]
	switch {
	case best == nil, best == current:
		return nil
	// One attempt a heartbeat interval, so that registries which all fail are not dialled in a busy loop.
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

// bestEndpoint is the registry to have a session with, nil if none is known.
func (s *RegistrySelector) bestEndpoint(now time.Duration) *registryEndpoint {
	var best *registryEndpoint
	for address, endpoint := range s.endpoints {
		// A seed always counts: its class puts it last once the registries list their own addresses,
		// so it is used again only when none of those can be reached.
		if !endpoint.advertised && s.membersKnown && !slices.Contains(s.seeds, address) {
			continue
		}
		if best == nil || s.compareEndpoints(now, endpoint, best) < 0 {
			best = endpoint
		}
	}
	return best
}

// compareEndpoints orders registries, the preferred one first: by class, then by the time of the last
// failure where there was one, then the current one, then in an order that differs between proxies.
func (s *RegistrySelector) compareEndpoints(now time.Duration, a, b *registryEndpoint) int {
	classA, classB := s.class(now, a), s.class(now, b)
	if classA != classB {
		return cmp.Compare(classA, classB)
	}
	// The one that failed longest ago is retried first.
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

// affinityHash gives each proxy an order of its own among registries that are equally good.
func (s *RegistrySelector) affinityHash(address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(s.options.ProxyName + " " + address)) // a hash never fails to write
	return hash.Sum64()
}

func (s *RegistrySelector) sortedAddresses() []string {
	addresses := make([]string, 0, len(s.endpoints))
	for address := range s.endpoints {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}
