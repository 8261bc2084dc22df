package session

import (
	"strconv"
	"time"
)

// endpointClass is the preference class of a registry. A lower class is preferred.
type endpointClass int

// The classes, from the best to the worst.
const (
	// classHealthy is a registry of this proxy's zone, or of an unknown zone, without a known fault.
	classHealthy endpointClass = iota
	// classOtherZone is a registry of another zone without a known fault.
	classOtherZone
	// classSuspect is a registry that failed or was stale within the cooldown, or a seed that the
	// registries do not list.
	classSuspect
	// classDegraded is a registry that has a stale configuration, was stale within the stale retry interval, or
	// misses heartbeats. It ranks below classSuspect, because a registry that failed longer ago may have
	// recovered and is worth a try.
	classDegraded
	// classFailed is a registry that failed within the last heartbeat interval.
	classFailed
)

// String returns the class as it appears in the reasons of actions, which are logged.
func (c endpointClass) String() string {
	switch c {
	case classHealthy:
		return "healthy"
	case classOtherZone:
		return "in another zone"
	case classSuspect:
		return "failed recently"
	case classDegraded:
		return "stale or unresponsive"
	case classFailed:
		return "failed"
	}
	return "class " + strconv.Itoa(int(c))
}

// degradedAfterHeartbeats is the number of heartbeat intervals without a heartbeat after which a registry
// counts as degraded, and a session with another one is opened beside it.
const degradedAfterHeartbeats = 1.5

// unresponsiveAfter returns the time without a heartbeat after which a registry counts as degraded.
func (o SelectorOptions) unresponsiveAfter() time.Duration {
	return time.Duration(degradedAfterHeartbeats * float64(o.HeartbeatInterval))
}

// Retry intervals for a stale registry, relative to the heartbeat interval. They take effect only while all
// registries are stale.
const (
	// staleRetryHeartbeats is the retry interval, in heartbeat intervals, once an up-to-date registry was found.
	staleRetryHeartbeats = 2
	// initialRetryDivisor gives the retry interval before that: one heartbeat interval divided by this constant.
	initialRetryDivisor = 4
)

// staleRetryInterval returns how long a registry that was stale remains degraded. Before this proxy has found
// any up-to-date registry it retries sooner, because it has no configuration to continue with. When the core
// starts at the same time, its registries reach the quorum one by one.
func (s *RegistrySelector) staleRetryInterval() time.Duration {
	if s.foundUpToDate {
		return staleRetryHeartbeats * s.options.HeartbeatInterval
	}
	return s.options.HeartbeatInterval / initialRetryDivisor
}

// isStale reports whether the registry's configuration may be older than MaxStaleness. A registry that does not
// report its staleness counts as stale. Before graceUntil, no registry counts as stale.
func (s *RegistrySelector) isStale(now time.Duration, endpoint *registryEndpoint) bool {
	return now >= s.graceUntil && (!endpoint.stalenessReported || now-endpoint.freshAsOf > s.options.MaxStaleness)
}

// class returns the preference class of a registry. The first case that applies decides.
func (s *RegistrySelector) class(now time.Duration, endpoint *registryEndpoint) endpointClass {
	unresponsive := now >= s.graceUntil && endpoint.sessionOpen && now-endpoint.lastActivityAt() > s.options.unresponsiveAfter()
	staleInSession := endpoint.sessionOpen && endpoint.heartbeatReceived && s.isStale(now, endpoint)
	unlistedSeed := !endpoint.sessionOpen && !endpoint.advertised && s.membersKnown
	switch {
	case endpoint.failedWithin(now, s.options.HeartbeatInterval):
		return classFailed
	case unresponsive, staleInSession, endpoint.staleWithin(now, s.staleRetryInterval()):
		return classDegraded
	case endpoint.failedWithin(now, s.options.FailureCooldown),
		endpoint.staleWithin(now, s.options.FailureCooldown),
		unlistedSeed:
		return classSuspect
	case endpoint.zone != "" && s.options.Zone != "" && endpoint.zone != s.options.Zone:
		return classOtherZone
	}
	return classHealthy
}
