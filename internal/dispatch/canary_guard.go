package dispatch

import (
	"maps"
	"sync"
	"time"

	"meadowhinge/schema"
)

// minSlowTime is what no call is too slow below.
const minSlowTime = 50 * time.Millisecond

// CanaryOptions bound one proxy's part of the brake.
type CanaryOptions struct {
	GrantDuration time.Duration // how long a grant lasts
	MaxFailures   int64         // that the whole fleet may take
	FailureRatio  float64       // a version's failures as a multiple of the fallback version's
	FailureExcess float64       // and above them, as a part of calls
	SlowFactor    float64       // a call this many times as long as the fallback version's mean has failed
}

// DefaultCanaryOptions are the settings' presets.
var DefaultCanaryOptions = CanaryOptions{GrantDuration: time.Second, MaxFailures: 40, FailureRatio: 2, FailureExcess: 0.02, SlowFactor: 10}

// CanaryGuard is one proxy's part of the brake: a version other than its service's fallback is used
// only under a short grant, and only until this proxy has taken its own part of the failures
// allowed.
type CanaryGuard struct {
	lock       sync.Mutex
	options    CanaryOptions
	fleetSize  func() int
	guards     func() VersionGuards
	grants     map[[2]string]canaryGrant // by service and version
	localStops map[[2]string]localStop   // where this proxy has taken its part
	windows    map[[2]string]*canaryWindow
}

// VersionGuards is what the setup in use says of versions; setup.Snapshot has it.
type VersionGuards interface {
	// GuardedRevision tells whether a version is guarded, and under what that was stated of it.
	GuardedRevision(service, version string) (sequence uint64, guarded bool)
	// FallbackOf names the version that others are held against.
	FallbackOf(service string) string
}

// canaryGrant and tripped hold only under the statement they were learned under.
type canaryGrant struct {
	statementSequence uint64
	expiresAt         time.Duration
	stopped           bool
}

// localStop is this proxy's own stop: it stands until the duty, knowing of the failures that
// led to it, finds the version fine, or something else is stated of it.
type localStop struct {
	statementSequence uint64
	stoppedAt         time.Duration
}

// judgementGrants is how many lengths of a grant it takes, at most, until what this proxy told
// has been judged and the judgement has come back.
const judgementGrants = 2

// canaryWindow is what this proxy saw of a version of late, in slots as a budget has.
type canaryWindow struct {
	slots [windowSlots]struct {
		number          int64
		calls, failures float64
		spent           time.Duration
	}
	inFlight map[*CanaryCall]bool
}

// CanaryCall is one call under way to a service with a version on trial.
type CanaryCall struct {
	key       [2]string
	startedAt time.Duration
	window    *canaryWindow
}

// NewCanaryGuard begins without any grant.
func NewCanaryGuard(options CanaryOptions, fleetSize func() int, guards func() VersionGuards) *CanaryGuard {
	return &CanaryGuard{options: options, fleetSize: fleetSize, guards: guards,
		grants: map[[2]string]canaryGrant{}, localStops: map[[2]string]localStop{}, windows: map[[2]string]*canaryWindow{}}
}

// SetOptions sets other bounds; grants and stops stay.
func (g *CanaryGuard) SetOptions(options CanaryOptions) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.options = options
}

// ApplyGrants takes a registry's answer; the grant counts from when it was asked for.
func (g *CanaryGuard) ApplyGrants(requestedAt time.Duration, grants []*schema.Canary) {
	g.lock.Lock()
	defer g.lock.Unlock()
	guards := g.guards()
	for _, granted := range grants {
		key := [2]string{granted.Service, granted.Version}
		// What was told under another statement is of the past, or of a setup not here yet.
		if statementSequence, guarded := guards.GuardedRevision(granted.Service, granted.Version); !guarded || statementSequence != granted.PlanSequence {
			continue
		}
		current := g.grants[key]
		if current.statementSequence != granted.PlanSequence {
			current = canaryGrant{statementSequence: granted.PlanSequence}
			delete(g.localStops, key)
			delete(g.windows, key)
		}
		if stop, stopped := g.localStops[key]; stopped && granted.Healthy && requestedAt >= stop.stoppedAt+judgementGrants*g.options.GrantDuration {
			delete(g.localStops, key)
			delete(g.windows, key)
		}
		// A stop stands until something else is stated, whoever grants later.
		g.grants[key] = canaryGrant{granted.PlanSequence, max(current.expiresAt, requestedAt+g.options.GrantDuration), current.stopped || granted.Blocked}
	}
}

// ForgetUnguarded drops what is known of versions that are not guarded any more.
func (g *CanaryGuard) ForgetUnguarded() {
	g.lock.Lock()
	defer g.lock.Unlock()
	guards := g.guards()
	unguarded := func(key [2]string) bool {
		_, guarded := guards.GuardedRevision(key[0], key[1])
		return !guarded
	}
	maps.DeleteFunc(g.grants, func(key [2]string, _ canaryGrant) bool { return unguarded(key) })
	maps.DeleteFunc(g.localStops, func(key [2]string, _ localStop) bool { return unguarded(key) })
	maps.DeleteFunc(g.windows, func(key [2]string, _ *canaryWindow) bool {
		return unguarded(key) && guards.FallbackOf(key[0]) != key[1]
	})
}

func (g *CanaryGuard) window(key [2]string) *canaryWindow {
	window := g.windows[key]
	if window == nil {
		window = &canaryWindow{inFlight: map[*CanaryCall]bool{}}
		g.windows[key] = window
	}
	return window
}

// sum adds up the slots that are not too old.
func (w *canaryWindow) sum(now time.Duration) (calls, failures float64, spent time.Duration) {
	number := int64(now / (DefaultRetryWindow / windowSlots))
	for _, slot := range w.slots {
		if number-slot.number < windowSlots {
			calls, failures, spent = calls+slot.calls, failures+slot.failures, spent+slot.spent
		}
	}
	return calls, failures, spent
}

// fallbackStats sums what was seen of the service's fallback version.
func (g *CanaryGuard) fallbackStats(service string, now time.Duration) (calls, failures float64, mean time.Duration) {
	window := g.windows[[2]string{service, g.guards().FallbackOf(service)}]
	if window == nil {
		return 0, 0, 0
	}
	calls, failures, spent := window.sum(now)
	if calls > 0 {
		mean = spent / time.Duration(calls)
	}
	return calls, failures, mean
}

// Begin notes a call sent to a version.
func (g *CanaryGuard) Begin(service, version string, now time.Duration) *CanaryCall {
	g.lock.Lock()
	defer g.lock.Unlock()
	call := &CanaryCall{key: [2]string{service, version}, startedAt: now}
	call.window = g.window(call.key)
	call.window.inFlight[call] = true
	return call
}

// End notes how it ended.
func (g *CanaryGuard) End(call *CanaryCall, now time.Duration, failed bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	window := call.window
	delete(window.inFlight, call)
	number := int64(now / (DefaultRetryWindow / windowSlots))
	slot := &window.slots[number%windowSlots]
	if slot.number != number {
		slot.number, slot.calls, slot.failures, slot.spent = number, 0, 0, 0
	}
	slot.calls++
	slot.spent += now - call.startedAt
	if failed || g.isTooSlow(call, now) {
		slot.failures++
	}
}

// Discard forgets a call whose caller left: how it would have ended is not known.
func (g *CanaryGuard) Discard(call *CanaryCall) {
	g.lock.Lock()
	defer g.lock.Unlock()
	delete(call.window.inFlight, call)
}

// isTooSlow tells whether a call takes far longer than the old version's do.
func (g *CanaryGuard) isTooSlow(call *CanaryCall, now time.Duration) bool {
	calls, _, mean := g.fallbackStats(call.key[0], now)
	return call.key[1] != g.guards().FallbackOf(call.key[0]) && calls > 0 && now-call.startedAt > max(minSlowTime, time.Duration(g.options.SlowFactor*float64(mean)))
}

// VersionBlocked tells whether a version other than the fallback must not be used now.
func (g *CanaryGuard) VersionBlocked(service, version string, now time.Duration) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	key := [2]string{service, version}
	statementSequence, _ := g.guards().GuardedRevision(service, version)
	grant, found := g.grants[key]
	stop, stopped := g.localStops[key]
	if !found || grant.statementSequence != statementSequence || grant.stopped || now >= grant.expiresAt || (stopped && stop.statementSequence == statementSequence) {
		return true
	}
	window := g.window(key)
	calls, failures, _ := window.sum(now)
	// A call that hangs is a failure already; waiting for its end would let many more follow.
	for open := range window.inFlight {
		if g.isTooSlow(open, now) {
			calls, failures = calls+1, failures+1
		}
	}
	failureAllowance := max(1, float64(g.options.MaxFailures)/float64(max(1, g.fleetSize())))
	oldCalls, oldFailures, _ := g.fallbackStats(service, now)
	oldRate := 0.0
	if oldCalls > 0 {
		oldRate = oldFailures / oldCalls
	}
	if failures+1 <= failureAllowance || failures/calls <= g.options.FailureRatio*oldRate+g.options.FailureExcess {
		return false
	}
	g.localStops[key] = localStop{statementSequence, now}
	return true
}
