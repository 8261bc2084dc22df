package session

import (
	"strconv"
	"time"
)

// endpointClass ranks registries: a lower class is preferred.
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
	// classDegraded is a registry that has a stale configuration, was stale a moment ago, or misses
	// heartbeats. It ranks below classSuspect: a registry that failed longer ago may be well again, so it
	// is tried rather than stay with a degraded one.
	classDegraded
	// classFailed is a registry that failed within the last heartbeat interval.
	classFailed
)

// String names the class in the reasons of actions, which are logged.
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

// suspectAfterHeartbeats is the number of heartbeat intervals without a heartbeat after which a
// registry counts as degraded, and another one is opened beside it.
const suspectAfterHeartbeats = 1.5

// unresponsiveAfter is the time without a heartbeat after which a registry counts as degraded.
func (o SelectorOptions) unresponsiveAfter() time.Duration {
	return time.Duration(suspectAfterHeartbeats * float64(o.HeartbeatInterval))
}

// Retry intervals for a stale registry, relative to the heartbeat interval. They matter only while all
// registries are stale.
const (
	staleRetryHeartbeats = 2 // intervals, once an up-to-date registry has been found
	initialRetryDivisor  = 4 // fraction of an interval, before that
)

// staleRetryInterval is how long a registry that was stale stays degraded. Before this proxy has found
// any up-to-date registry it retries sooner: it has no configuration to continue with, and when the
// core starts at the same time, its registries reach the quorum one by one.
func (s *RegistrySelector) staleRetryInterval() time.Duration {
	if s.foundUpToDate {
		return staleRetryHeartbeats * s.options.HeartbeatInterval
	}
	return s.options.HeartbeatInterval / initialRetryDivisor
}

// isStale reports whether the registry's configuration may be older than allowed. A registry that
// does not report its staleness counts as stale.
func (s *RegistrySelector) isStale(now time.Duration, endpoint *registryEndpoint) bool {
	return now >= s.graceUntil && (!endpoint.stalenessReported || now-endpoint.freshAsOf > s.options.MaxStaleness)
}

// class ranks a registry by what this proxy knows of it. The order of the cases decides.
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
