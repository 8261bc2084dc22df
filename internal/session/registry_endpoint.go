package session

import "time"

// registryEndpoint is an address at which a registry runs or may run, with what this proxy knows of it.
// Only RegistrySelector writes its fields.
type registryEndpoint struct {
	address    string
	zone       string // as the registries report it, empty if unknown
	advertised bool   // listed by the registries themselves, rather than a seed alone

	sessionOpen       bool
	openedAt          time.Duration // of the open session
	heartbeatReceived bool          // in the open session
	lastHeartbeatAt   time.Duration // of the latest session; valid while heartbeatReceived

	failed   bool          // the last session ended or could not be opened; cleared by a heartbeat
	failedAt time.Duration // valid while failed

	stale             bool          // the last heartbeat showed an outdated configuration
	staleAt           time.Duration // of that heartbeat
	stalenessReported bool          // the last heartbeat said how old the registry's configuration may be
	freshAsOf         time.Duration // time at which that configuration was certainly the newest
}

// lastActivityAt is when the open session last had a heartbeat, or was opened.
func (e *registryEndpoint) lastActivityAt() time.Duration {
	if e.heartbeatReceived {
		return e.lastHeartbeatAt
	}
	return e.openedAt
}

// lastFailureAt is when the registry last failed or was stale.
func (e *registryEndpoint) lastFailureAt() time.Duration { return max(e.failedAt, e.staleAt) }

// failedWithin reports whether the registry has no session because it failed less than a given time ago.
func (e *registryEndpoint) failedWithin(now, period time.Duration) bool {
	return !e.sessionOpen && e.failed && now-e.failedAt < period
}

// staleWithin reports whether the registry has no session and was stale less than a given time ago.
func (e *registryEndpoint) staleWithin(now, period time.Duration) bool {
	return !e.sessionOpen && e.stale && now-e.staleAt < period
}

// open starts a session.
func (e *registryEndpoint) open(now time.Duration) {
	e.sessionOpen = true
	e.openedAt = now
	e.heartbeatReceived = false
}

// close ends the session without blaming the registry.
func (e *registryEndpoint) close() {
	e.sessionOpen = false
	e.heartbeatReceived = false
}

// fail ends the session because the registry failed.
func (e *registryEndpoint) fail(now time.Duration) {
	e.close()
	e.failed = true
	e.failedAt = now
}
