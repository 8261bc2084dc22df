package dispatch

import (
	"maps"
	"sync"
	"time"

	"meadowhinge/schema"
)

// minSlowTime is the time below which no call counts as too slow.
const minSlowTime = 50 * time.Millisecond

// CanaryOptions bound one proxy's part of the rollback guard.
type CanaryOptions struct {
	GrantDuration time.Duration // how long a grant is valid
	MaxFailures   int64         // failures of a version that the whole fleet may take
	FailureRatio  float64       // a version may fail this many times as often as the fallback version
	FailureExcess float64       // and in this part of its calls more than that
	SlowFactor    float64       // a call that takes this many times the fallback version's mean counts as failed
}

// DefaultCanaryOptions are the defaults of the settings.
var DefaultCanaryOptions = CanaryOptions{GrantDuration: time.Second, MaxFailures: 40, FailureRatio: 2, FailureExcess: 0.02, SlowFactor: 10}

// CanaryGuard is one proxy's part of the rollback guard. A version other than its service's fallback is used only
// under a short grant from the registries, and only until this proxy has taken its own part of the allowed
// failures; so a failing version loses its calls even while the registries cannot be reached.
type CanaryGuard struct {
	fleetSize func() int // proxies in the fleet
	guards    func() VersionGuards

	lock       sync.Mutex // guards the fields below
	options    CanaryOptions
	grants     map[versionKey]canaryGrant
	localStops map[versionKey]localStop     // versions of which this proxy has taken its part of the failures
	windows    map[versionKey]*canaryWindow // what this proxy saw of versions
}

// versionKey identifies a version of a service.
type versionKey struct{ service, version string }

// VersionGuards is what the configuration in use says of versions; config.Snapshot implements it.
type VersionGuards interface {
	// GuardedRevision reports whether a version is guarded, and the revision at which its guard was configured.
	GuardedRevision(service, version string) (revision uint64, guarded bool)
	// FallbackOf returns the version that the service's other versions are compared with.
	FallbackOf(service string) string
}

// canaryGrant is the registries' grant of a version. Like a localStop it is valid only under the guard for which it was
// given, not under a later configuration.
type canaryGrant struct {
	guardedRevision uint64
	expiresAt       time.Duration // on the clock of the process
	stopped         bool          // the registries have stopped the version
}

// localStop is this proxy's own stop of a version. It is valid until the rollout controller, knowing of the failures
// that led to it, finds the version healthy, or until the version's guard is configured again.
type localStop struct {
	guardedRevision uint64
	stoppedAt       time.Duration
}

// judgementGrants is how many grant durations it takes, at most, until the failures that this proxy reported have been
// evaluated and the result has come back.
const judgementGrants = 2

// canaryWindow is what this proxy saw of a version in the last DefaultRetryWindow.
type canaryWindow struct {
	slots    [windowSlots]canarySlot // a ring, by number modulo its length
	inFlight map[*CanaryCall]bool
}

// canarySlot counts what ended in one slot of the window.
type canarySlot struct {
	number          int64 // of the slot since the clock began
	calls, failures float64
	spent           time.Duration // total time that the calls took
}

// canarySlotLength is the length of one slot of a window.
const canarySlotLength = DefaultRetryWindow / windowSlots

// CanaryCall is one call under way to a service with a version in canary.
type CanaryCall struct {
	key       versionKey
	startedAt time.Duration
	window    *canaryWindow
}

// NewCanaryGuard returns a guard without any grant: all versions but the fallbacks are blocked.
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

// SetOptions sets other bounds. Grants and stops are kept.
func (g *CanaryGuard) SetOptions(options CanaryOptions) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.options = options
}

// ApplyGrants applies a registry's grants. They count from when they were requested, so that no delay extends them.
func (g *CanaryGuard) ApplyGrants(requestedAt time.Duration, grants []*schema.Canary) {
	g.lock.Lock()
	defer g.lock.Unlock()
	guards := g.guards()
	for _, granted := range grants {
		key := versionKey{granted.Service, granted.Version}
		// A grant for another guard is outdated, or belongs to a configuration that has not arrived here yet.
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
		judged := requestedAt >= stop.stoppedAt+judgementGrants*g.options.GrantDuration
		if stopped && granted.Healthy && judged {
			delete(g.localStops, key)
			delete(g.windows, key)
		}
		// The registries' stop is valid until the guard is configured again, whatever is granted later.
		g.grants[key] = canaryGrant{
			guardedRevision: granted.PlanSequence,
			expiresAt:       max(current.expiresAt, requestedAt+g.options.GrantDuration),
			stopped:         current.stopped || granted.Blocked,
		}
	}
}

// ForgetUnguarded drops what is known of versions that are not guarded any more.
func (g *CanaryGuard) ForgetUnguarded() {
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
		return unguarded(key) && guards.FallbackOf(key.service) != key.version
	})
}

// window returns the window of a version. The caller holds the lock.
func (g *CanaryGuard) window(key versionKey) *canaryWindow {
	window := g.windows[key]
	if window == nil {
		window = &canaryWindow{inFlight: map[*CanaryCall]bool{}}
		g.windows[key] = window
	}
	return window
}

// sum adds up the slots within the window.
func (w *canaryWindow) sum(now time.Duration) (calls, failures float64, spent time.Duration) {
	number := int64(now / canarySlotLength)
	for _, slot := range w.slots {
		if number-slot.number < windowSlots {
			calls += slot.calls
			failures += slot.failures
			spent += slot.spent
		}
	}
	return calls, failures, spent
}

// fallbackStats sums what was seen of the service's fallback version. The caller holds the lock.
func (g *CanaryGuard) fallbackStats(service string, now time.Duration) (calls, failures float64, mean time.Duration) {
	window := g.windows[versionKey{service, g.guards().FallbackOf(service)}]
	if window == nil {
		return 0, 0, 0
	}
	calls, failures, spent := window.sum(now)
	if calls > 0 {
		mean = spent / time.Duration(calls)
	}
	return calls, failures, mean
}

// Begin records a call to a version. It must be passed to [CanaryGuard.End] or [CanaryGuard.Discard].
func (g *CanaryGuard) Begin(service, version string, now time.Duration) *CanaryCall {
	g.lock.Lock()
	defer g.lock.Unlock()
	call := &CanaryCall{key: versionKey{service, version}, startedAt: now}
	call.window = g.window(call.key)
	call.window.inFlight[call] = true
	return call
}

// End records how a call ended. One that took far longer than the fallback version's calls counts as failed.
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
	slot.spent += now - call.startedAt
	if failed || g.isTooSlow(call, now) {
		slot.failures++
	}
}

// Discard forgets a call whose caller disconnected: how it would have ended is not known.
func (g *CanaryGuard) Discard(call *CanaryCall) {
	g.lock.Lock()
	defer g.lock.Unlock()
	delete(call.window.inFlight, call)
}

// isTooSlow reports whether a call takes far longer than the fallback version's calls. The caller holds the lock.
func (g *CanaryGuard) isTooSlow(call *CanaryCall, now time.Duration) bool {
	calls, _, mean := g.fallbackStats(call.key.service, now)
	slowTime := max(minSlowTime, time.Duration(g.options.SlowFactor*float64(mean)))
	return call.key.version != g.guards().FallbackOf(call.key.service) && calls > 0 && now-call.startedAt > slowTime
}

// VersionBlocked reports whether a version other than the fallback must not be used now: it has no valid grant, or
// this proxy has taken its part of the allowed failures, and they are more than the fallback version would have had.
// In the second case the version is stopped here.
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
	// A call that hangs counts as failed now: until its end many more would follow it.
	for open := range window.inFlight {
		if g.isTooSlow(open, now) {
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

// hasValidGrant reports whether a version is granted under its present guard and not stopped. The caller holds the
// lock.
func (g *CanaryGuard) hasValidGrant(key versionKey, guardedRevision uint64, now time.Duration) bool {
	grant, found := g.grants[key]
	if !found || grant.guardedRevision != guardedRevision || grant.stopped || now >= grant.expiresAt {
		return false
	}
	stop, stopped := g.localStops[key]
	return !stopped || stop.guardedRevision != guardedRevision
}
