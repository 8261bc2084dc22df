package dispatch

import (
	"maps"
	"sync"
	"time"

	"meadowhinge/schema"
)

// minSlowTime is the duration up to which no call counts as too slow.
const minSlowTime = 50 * time.Millisecond

// CanaryOptions are the limits of a [CanaryGuard]. A proxy's share of MaxFailures is MaxFailures divided by the number of
// proxies, and at least 1. A version is stopped once one more failure would exceed the proxy's share, and its failure
// rate exceeds FailureRatio times the fallback version's rate plus FailureExcess.
type CanaryOptions struct {
	GrantDuration time.Duration // how long a grant is valid
	MaxFailures   int64         // failures of a version that the proxies of the fleet tolerate together
	FailureRatio  float64       // tolerated failure rate, as a multiple of the fallback version's rate
	FailureExcess float64       // failure rate tolerated in addition, as a fraction of the version's calls
	SlowFactor    float64       // a call that takes over SlowFactor times the fallback version's mean duration counts as failed
}

// DefaultCanaryOptions are the options that apply unless the settings say otherwise.
var DefaultCanaryOptions = CanaryOptions{GrantDuration: time.Second, MaxFailures: 40, FailureRatio: 2, FailureExcess: 0.02, SlowFactor: 10}

// CanaryGuard stops failing canary versions at one proxy. A canary version is a version other than its service's
// fallback. The proxy uses it only under a short-lived grant from the registries, and only until it has seen its own
// share of the tolerated failures. So a failing version loses its calls even while the registries cannot be reached.
type CanaryGuard struct {
	fleetSize func() int           // returns the number of proxies in the fleet
	guards    func() VersionGuards // returns the guards of the current configuration

	lock       sync.Mutex // guards the fields below
	options    CanaryOptions
	grants     map[versionKey]canaryGrant   // latest grant of each version
	localStops map[versionKey]localStop     // versions that this proxy has stopped itself
	windows    map[versionKey]*canaryWindow // recent calls of this proxy to each version
}

// versionKey identifies a version of a service.
type versionKey struct{ service, version string }

// VersionGuards tells which versions the current configuration guards. config.Snapshot implements it.
type VersionGuards interface {
	// GuardedRevision reports whether a version is guarded, and returns the revision at which its guard was configured.
	GuardedRevision(service, version string) (revision uint64, guarded bool)
	// FallbackVersion returns the version that the service's other versions are compared with.
	FallbackVersion(service string) string
}

// canaryGrant is the registries' grant of a version. Like a localStop it is valid only for the guard that it was given
// for, not for one that was configured later.
type canaryGrant struct {
	guardedRevision uint64        // revision at which the guard was configured
	expiresAt       time.Duration // end of the grant, on the process clock
	stopped         bool          // the registries have stopped the version
}

// localStop is this proxy's own stop of a version. It is valid until the version's guard is configured again, or until
// the rollout controller finds the version healthy although it knows of the failures that led to the stop.
type localStop struct {
	guardedRevision uint64        // revision at which the guard was configured
	stoppedAt       time.Duration // time of the stop, on the process clock
}

// evaluationGrants is the maximum time, in grant durations, until the failures that this proxy reported have been
// evaluated and the result has come back.
const evaluationGrants = 2

// canaryWindow holds this proxy's calls to a version in the last DefaultRetryWindow, and those in flight.
type canaryWindow struct {
	slots    [windowSlots]canarySlot // a ring, indexed by slot number modulo its length
	inFlight map[*CanaryCall]bool    // calls that have begun and not ended
}

// canarySlot counts the calls that ended in one slot of the window.
type canarySlot struct {
	number          int64 // number of the slot since the start of the process clock
	calls, failures float64
	totalTime       time.Duration // sum of the durations of the calls
}

// canarySlotLength is the length of one slot of a window.
const canarySlotLength = DefaultRetryWindow / windowSlots

// CanaryCall is a call in flight to a service that has guarded versions. [CanaryGuard.Begin] returns it.
type CanaryCall struct {
	key       versionKey
	startedAt time.Duration // time of Begin, on the process clock
	window    *canaryWindow // window of the version when the call began
}

// NewCanaryGuard returns a guard without any grant, which blocks all versions but the fallbacks.
func NewCanaryGuard(options CanaryOptions, fleetSize func() int, guards func() VersionGuards) *CanaryGuard {
	return &CanaryGuard{
		fleetSize:  fleetSize,
		guards:     guards,
		options:    options,
		grants:     map[versionKey]canaryGrant{},
		localStops: map[versionKey]localStop{},
		windows:    map[versionKey]*canaryWindow{},
	}
}

// SetOptions replaces the options. Grants and stops are kept.
func (g *CanaryGuard) SetOptions(options CanaryOptions) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.options = options
}

// ApplyGrants applies a registry's grants. Their duration starts at requestedAt, so that no delay extends them.
func (g *CanaryGuard) ApplyGrants(requestedAt time.Duration, grants []*schema.Canary) {
	g.lock.Lock()
	defer g.lock.Unlock()
	guards := g.guards()
	for _, granted := range grants {
		key := versionKey{granted.Service, granted.Version}
		// A grant for another guard is outdated, or is for a configuration that has not arrived here yet.
		guardedRevision, guarded := guards.GuardedRevision(granted.Service, granted.Version)
		if !guarded || guardedRevision != granted.PlanSequence {
			continue
		}
		current := g.grants[key]
		if current.guardedRevision != granted.PlanSequence {
			current = canaryGrant{guardedRevision: granted.PlanSequence}
			delete(g.localStops, key)
			delete(g.windows, key)
		}
		stop, stopped := g.localStops[key]
		evaluated := requestedAt >= stop.stoppedAt+evaluationGrants*g.options.GrantDuration
		if stopped && granted.Healthy && evaluated {
			delete(g.localStops, key)
			delete(g.windows, key)
		}
		// A stop by the registries is valid until the guard is configured again, whatever is granted later.
		g.grants[key] = canaryGrant{
			guardedRevision: granted.PlanSequence,
			expiresAt:       max(current.expiresAt, requestedAt+g.options.GrantDuration),
			stopped:         current.stopped || granted.Blocked,
		}
	}
}

// DropUnguarded drops the grants, stops and windows of versions that are not guarded any more. It keeps the windows
// of fallback versions, which guarded versions are compared with.
func (g *CanaryGuard) DropUnguarded() {
	g.lock.Lock()
	defer g.lock.Unlock()
	guards := g.guards()
	unguarded := func(key versionKey) bool {
		_, guarded := guards.GuardedRevision(key.service, key.version)
		return !guarded
	}
	maps.DeleteFunc(g.grants, func(key versionKey, _ canaryGrant) bool { return unguarded(key) })
	maps.DeleteFunc(g.localStops, func(key versionKey, _ localStop) bool { return unguarded(key) })
	maps.DeleteFunc(g.windows, func(key versionKey, _ *canaryWindow) bool {
		return unguarded(key) && guards.FallbackVersion(key.service) != key.version
	})
}

// window returns the window of a version, and adds one if there is none. The caller holds the lock.
func (g *CanaryGuard) window(key versionKey) *canaryWindow {
	window := g.windows[key]
	if window == nil {
		window = &canaryWindow{inFlight: map[*CanaryCall]bool{}}
		g.windows[key] = window
	}
	return window
}

// sum adds up the slots that lie within the window ending at now.
func (w *canaryWindow) sum(now time.Duration) (calls, failures float64, totalTime time.Duration) {
	number := int64(now / canarySlotLength)
	for _, slot := range w.slots {
		if number-slot.number < windowSlots {
			calls += slot.calls
			failures += slot.failures
			totalTime += slot.totalTime
		}
	}
	return calls, failures, totalTime
}

// fallbackStats returns the recent calls and failures of the service's fallback version, and the mean duration of the
// calls. It returns zeros if there were none. The caller holds the lock.
func (g *CanaryGuard) fallbackStats(service string, now time.Duration) (calls, failures float64, mean time.Duration) {
	window := g.windows[versionKey{service, g.guards().FallbackVersion(service)}]
	if window == nil {
		return 0, 0, 0
	}
	calls, failures, totalTime := window.sum(now)
	if calls > 0 {
		mean = totalTime / time.Duration(calls)
	}
	return calls, failures, mean
}

// Begin records that a call to a version begins. The result must be passed to [CanaryGuard.End] or
// [CanaryGuard.Discard].
func (g *CanaryGuard) Begin(service, version string, now time.Duration) *CanaryCall {
	g.lock.Lock()
	defer g.lock.Unlock()
	call := &CanaryCall{key: versionKey{service, version}, startedAt: now}
	call.window = g.window(call.key)
	call.window.inFlight[call] = true
	return call
}

// End records how a call ended. A call that took far longer than the fallback version's calls counts as failed.
func (g *CanaryGuard) End(call *CanaryCall, now time.Duration, failed bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	window := call.window
	delete(window.inFlight, call)
	number := int64(now / canarySlotLength)
	slot := &window.slots[number%windowSlots]
	if slot.number != number {
		*slot = canarySlot{number: number}
	}
	slot.calls++
	slot.totalTime += now - call.startedAt
	if failed || g.isTooSlow(call, now) {
		slot.failures++
	}
}

// Discard drops a call whose caller disconnected, because how it would have ended is not known.
func (g *CanaryGuard) Discard(call *CanaryCall) {
	g.lock.Lock()
	defer g.lock.Unlock()
	delete(call.window.inFlight, call)
}

// isTooSlow reports whether a call takes far longer than the fallback version's calls. The caller holds the lock.
func (g *CanaryGuard) isTooSlow(call *CanaryCall, now time.Duration) bool {
	calls, _, mean := g.fallbackStats(call.key.service, now)
	slowTime := max(minSlowTime, time.Duration(g.options.SlowFactor*float64(mean)))
	return call.key.version != g.guards().FallbackVersion(call.key.service) && calls > 0 && now-call.startedAt > slowTime
}

// VersionBlocked reports whether a version other than the fallback must not be used now. A version is blocked if it has
// no valid grant, or if it has reached the limits described at [CanaryOptions]. In the second case this proxy stops the
// version.
func (g *CanaryGuard) VersionBlocked(service, version string, now time.Duration) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	key := versionKey{service, version}
	guardedRevision, _ := g.guards().GuardedRevision(service, version)
	if !g.hasValidGrant(key, guardedRevision, now) {
		return true
	}
	window := g.window(key)
	calls, failures, _ := window.sum(now)
	// A call that hangs counts as failed now, because many more calls would follow it before it ends.
	for call := range window.inFlight {
		if g.isTooSlow(call, now) {
			calls++
			failures++
		}
	}
	failureAllowance := max(1, float64(g.options.MaxFailures)/float64(max(1, g.fleetSize())))
	fallbackCalls, fallbackFailures, _ := g.fallbackStats(service, now)
	fallbackRate := 0.0
	if fallbackCalls > 0 {
		fallbackRate = fallbackFailures / fallbackCalls
	}
	if failures+1 <= failureAllowance || failures/calls <= g.options.FailureRatio*fallbackRate+g.options.FailureExcess {
		return false
	}
	g.localStops[key] = localStop{guardedRevision: guardedRevision, stoppedAt: now}
	return true
}

// hasValidGrant reports whether a version has an unexpired grant for its present guard, and is stopped neither by the
// registries nor by this proxy. The caller holds the lock.
func (g *CanaryGuard) hasValidGrant(key versionKey, guardedRevision uint64, now time.Duration) bool {
	grant, found := g.grants[key]
	if !found || grant.guardedRevision != guardedRevision || grant.stopped || now >= grant.expiresAt {
		return false
	}
	stop, stopped := g.localStops[key]
	return !stopped || stop.guardedRevision != guardedRevision
}
