package dispatch

import (
	"maps"
	"sync"
	"time"

	"meadowhinge/schema"
)

// slowFloor is what no call is too slow below.
const slowFloor = 50 * time.Millisecond

// TrialOptions bound one proxy's part of the brake.
type TrialOptions struct {
	Length   time.Duration // how long a grant lasts
	Failures int64         // that the whole fleet may take
	Times    float64       // a version's failures as a multiple of the fallback version's
	Excess   float64       // and above them, as a part of calls
	Slow     float64       // a call this many times as long as the fallback version's mean has failed
}

// TrialDefaults are the settings' presets.
var TrialDefaults = TrialOptions{Length: time.Second, Failures: 40, Times: 2, Excess: 0.02, Slow: 10}

// Trials is one proxy's part of the brake: a version other than its service's fallback is used
// only under a short grant, and only until this proxy has taken its own part of the failures
// allowed.
type Trials struct {
	lock    sync.Mutex
	options TrialOptions
	members func() int
	guards  func() Guards
	granted map[[2]string]trialGrant // by service and version
	tripped map[[2]string]tripped    // where this proxy has taken its part
	seen    map[[2]string]*trialWindow
}

// Guards is what the setup in use says of versions; setup.Setup has it.
type Guards interface {
	// Statement tells whether a version is guarded, and under what that was stated of it.
	Statement(service, version string) (sequence uint64, guarded bool)
	// FallbackOf names the version that others are held against.
	FallbackOf(service string) string
}

// trialGrant and tripped hold only under the statement they were learned under.
type trialGrant struct {
	statement uint64
	until     time.Duration
	stopped   bool
}

// tripped is this proxy's own stop: it stands until the duty, knowing of the failures that
// led to it, finds the version fine, or something else is stated of it.
type tripped struct {
	statement uint64
	at        time.Duration
}

// judgedParts is how many lengths of a grant it takes, at most, until what this proxy told
// has been judged and the judgement has come back.
const judgedParts = 2

// trialWindow is what this proxy saw of a version of late, in slots as a budget has.
type trialWindow struct {
	slots [windowSlots]struct {
		number          int64
		calls, failures float64
		spent           time.Duration
	}
	open map[*TrialCall]bool
}

// TrialCall is one call under way to a service with a version on trial.
type TrialCall struct {
	key    [2]string
	began  time.Duration
	window *trialWindow
}

// NewTrials begins without any grant.
func NewTrials(options TrialOptions, members func() int, guards func() Guards) *Trials {
	return &Trials{options: options, members: members, guards: guards,
		granted: map[[2]string]trialGrant{}, tripped: map[[2]string]tripped{}, seen: map[[2]string]*trialWindow{}}
}

// Rebound sets other bounds; grants and stops stay.
func (t *Trials) Rebound(options TrialOptions) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.options = options
}

// Granted takes a registry's answer; the grant counts from when it was asked for.
func (t *Trials) Granted(asked time.Duration, trials []*schema.Trial) {
	t.lock.Lock()
	defer t.lock.Unlock()
	guards := t.guards()
	for _, one := range trials {
		key := [2]string{one.Service, one.Version}
		// What was told under another statement is of the past, or of a setup not here yet.
		if statement, guarded := guards.Statement(one.Service, one.Version); !guarded || statement != one.Plan {
			continue
		}
		held := t.granted[key]
		if held.statement != one.Plan {
			held = trialGrant{statement: one.Plan}
			delete(t.tripped, key)
			delete(t.seen, key)
		}
		if stop, stopped := t.tripped[key]; stopped && one.Fine && asked >= stop.at+judgedParts*t.options.Length {
			delete(t.tripped, key)
			delete(t.seen, key)
		}
		// A stop stands until something else is stated, whoever grants later.
		t.granted[key] = trialGrant{one.Plan, max(held.until, asked+t.options.Length), held.stopped || one.Stopped}
	}
}

// Forget drops what is known of versions that are not guarded any more.
func (t *Trials) Forget() {
	t.lock.Lock()
	defer t.lock.Unlock()
	guards := t.guards()
	gone := func(key [2]string) bool {
		_, guarded := guards.Statement(key[0], key[1])
		return !guarded
	}
	maps.DeleteFunc(t.granted, func(key [2]string, _ trialGrant) bool { return gone(key) })
	maps.DeleteFunc(t.tripped, func(key [2]string, _ tripped) bool { return gone(key) })
	maps.DeleteFunc(t.seen, func(key [2]string, _ *trialWindow) bool { return gone(key) && guards.FallbackOf(key[0]) != key[1] })
}

func (t *Trials) window(key [2]string) *trialWindow {
	held := t.seen[key]
	if held == nil {
		held = &trialWindow{open: map[*TrialCall]bool{}}
		t.seen[key] = held
	}
	return held
}

// sum adds up the slots that are not too old.
func (w *trialWindow) sum(now time.Duration) (calls, failures float64, spent time.Duration) {
	number := int64(now / (BudgetWindow / windowSlots))
	for _, slot := range w.slots {
		if number-slot.number < windowSlots {
			calls, failures, spent = calls+slot.calls, failures+slot.failures, spent+slot.spent
		}
	}
	return calls, failures, spent
}

// old sums what was seen of the service's fallback version.
func (t *Trials) old(service string, now time.Duration) (calls, failures float64, mean time.Duration) {
	seen := t.seen[[2]string{service, t.guards().FallbackOf(service)}]
	if seen == nil {
		return 0, 0, 0
	}
	calls, failures, spent := seen.sum(now)
	if calls > 0 {
		mean = spent / time.Duration(calls)
	}
	return calls, failures, mean
}

// Begin notes a call sent to a version.
func (t *Trials) Begin(service, version string, now time.Duration) *TrialCall {
	t.lock.Lock()
	defer t.lock.Unlock()
	call := &TrialCall{key: [2]string{service, version}, began: now}
	call.window = t.window(call.key)
	call.window.open[call] = true
	return call
}

// End notes how it ended.
func (t *Trials) End(call *TrialCall, now time.Duration, failed bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	held := call.window
	delete(held.open, call)
	number := int64(now / (BudgetWindow / windowSlots))
	slot := &held.slots[number%windowSlots]
	if slot.number != number {
		slot.number, slot.calls, slot.failures, slot.spent = number, 0, 0, 0
	}
	slot.calls++
	slot.spent += now - call.began
	if failed || t.tooLong(call, now) {
		slot.failures++
	}
}

// Drop forgets a call whose caller left: how it would have ended is not known.
func (t *Trials) Drop(call *TrialCall) {
	t.lock.Lock()
	defer t.lock.Unlock()
	delete(call.window.open, call)
}

// tooLong tells whether a call takes far longer than the old version's do.
func (t *Trials) tooLong(call *TrialCall, now time.Duration) bool {
	calls, _, mean := t.old(call.key[0], now)
	return call.key[1] != t.guards().FallbackOf(call.key[0]) && calls > 0 && now-call.began > max(slowFloor, time.Duration(t.options.Slow*float64(mean)))
}

// Held tells whether a version other than the fallback must not be used now.
func (t *Trials) Held(service, version string, now time.Duration) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	key := [2]string{service, version}
	statement, _ := t.guards().Statement(service, version)
	grant, found := t.granted[key]
	stop, stopped := t.tripped[key]
	if !found || grant.statement != statement || grant.stopped || now >= grant.until || (stopped && stop.statement == statement) {
		return true
	}
	seen := t.window(key)
	calls, failures, _ := seen.sum(now)
	// A call that hangs is a failure already; waiting for its end would let many more follow.
	for open := range seen.open {
		if t.tooLong(open, now) {
			calls, failures = calls+1, failures+1
		}
	}
	part := max(1, float64(t.options.Failures)/float64(max(1, t.members())))
	oldCalls, oldFailures, _ := t.old(service, now)
	oldRate := 0.0
	if oldCalls > 0 {
		oldRate = oldFailures / oldCalls
	}
	if failures+1 <= part || failures/calls <= t.options.Times*oldRate+t.options.Excess {
		return false
	}
	t.tripped[key] = tripped{statement, now}
	return true
}

// Facts is all that a proxy knows of workers and versions beyond its view.
type Facts struct {
	*Soundness
	*Trials
}
