package session

import "time"

// registryEndpoint is an address of a registry, with the state of its session and its recent failures.
// Only RegistrySelector writes its fields.
type registryEndpoint struct {
	address    string // address of the registry
	zone       string // zone that the registries report, empty if unknown
	advertised bool   // the registries list this address; false for an address known only as a seed

	sessionOpen       bool          // a session is open, or is being opened
	openedAt          time.Duration // time at which the session was opened; valid while sessionOpen
	heartbeatReceived bool          // the open session has had a heartbeat
	lastHeartbeatAt   time.Duration // time of the open session's last heartbeat; valid while heartbeatReceived

	failed   bool          // the last session failed or could not be opened; cleared by a heartbeat
	failedAt time.Duration // time of the last failure, 0 if there was none

	stale             bool          // the configuration was stale at the last heartbeat
	staleAt           time.Duration // time of the last heartbeat with a stale configuration, 0 if there was none
	stalenessReported bool          // the last heartbeat reported the age of the registry's configuration
	freshAsOf         time.Duration // latest time at which the registry's configuration was certainly the newest one
}

// lastActivityAt returns when the open session last had a heartbeat, or was opened if it had none.
func (e *registryEndpoint) lastActivityAt() time.Duration {
	if e.heartbeatReceived {
		return e.lastHeartbeatAt
	}
	return e.openedAt
}

// lastFailureAt returns when the registry last failed or was stale, 0 if neither has happened.
func (e *registryEndpoint) lastFailureAt() time.Duration { return max(e.failedAt, e.staleAt) }

// failedWithin reports whether the registry has no session and failed less than period ago.
func (e *registryEndpoint) failedWithin(now, period time.Duration) bool {
	return !e.sessionOpen && e.failed && now-e.failedAt < period
}

// staleWithin reports whether the registry has no session and was stale less than period ago.
func (e *registryEndpoint) staleWithin(now, period time.Duration) bool {
	return !e.sessionOpen && e.stale && now-e.staleAt < period
}

// open records that a session is opened.
func (e *registryEndpoint) open(now time.Duration) {
	e.sessionOpen = true
	e.openedAt = now
	e.heartbeatReceived = false
}

// close records that the session is closed for no fault of the registry.
func (e *registryEndpoint) close() {
	e.sessionOpen = false
	e.heartbeatReceived = false
}

// fail records that the session ended because the registry failed.
func (e *registryEndpoint) fail(now time.Duration) {
	e.close()
	e.failed = true
	e.failedAt = now
}
