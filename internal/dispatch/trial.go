package dispatch

import (
	"sync"
	"time"

	"meadowhinge/schema"
)

// Ratios of the brake at one proxy.
const (
	trialTimes  = 2.0  // the new version's failures as a multiple of the old version's
	trialExcess = 0.02 // and above them, as a part of calls
	trialSlow   = 10   // a call this many times as long as the old version's mean has failed
	slowFloor   = 50 * time.Millisecond
)

// Trials is one proxy's part of the brake: a version on trial is used only under a short
// grant, and only until this proxy has taken its own part of the failures allowed.
type Trials struct {
	lock     sync.Mutex
	length   time.Duration
	failures float64 // for the whole fleet
	members  func() int
	granted  map[string]trialGrant // by service
	tripped  map[string]tripped    // services in which this proxy has taken its part
	seen     map[[2]string]*trialWindow
}

type trialGrant struct {
	version string
	plan    uint64
	until   time.Duration
	stopped bool
}

// tripped is this proxy's own stop: it stands until the duty, knowing of the failures that
// led to it, finds the version fine, or the plan is stated anew.
type tripped struct {
	plan uint64
	at   time.Duration
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

// NewTrials takes the time a grant lasts and the failures that the fleet may take.
func NewTrials(length time.Duration, failures int64, members func() int) *Trials {
	return &Trials{length: length, failures: float64(failures), members: members, granted: map[string]trialGrant{}, tripped: map[string]tripped{}, seen: map[[2]string]*trialWindow{}}
}

// Granted takes a registry's answer; the grant counts from when it was asked for.
func (t *Trials) Granted(asked time.Duration, trials []*schema.Trial) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, one := range trials {
		held := t.granted[one.Service]
		// What was told under an older statement of the plan is no news.
		if one.Plan < held.plan {
			continue
		}
		if stop, stopped := t.tripped[one.Service]; stopped && (one.Plan > stop.plan || (one.Fine && asked >= stop.at+judgedParts*t.length)) {
			delete(t.tripped, one.Service)
			delete(t.seen, [2]string{one.Service, one.Version})
		}
		// A stop stands until the operator states the plan anew, whoever grants later.
		stopped := one.Stopped || (held.stopped && held.plan == one.Plan)
		t.granted[one.Service] = trialGrant{one.Version, one.Plan, max(held.until, asked+t.length), stopped}
	}
}

// Forget drops what is known of services that have no plan any more.
func (t *Trials) Forget(planned func(service string) bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for service := range t.granted {
		if !planned(service) {
			delete(t.granted, service)
		}
	}
	for service := range t.tripped {
		if !planned(service) {
			delete(t.tripped, service)
		}
	}
	for key := range t.seen {
		if !planned(key[0]) {
			delete(t.seen, key)
		}
	}
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
	number := int64(now / (window / windowSlots))
	for _, slot := range w.slots {
		if number-slot.number < windowSlots {
			calls, failures, spent = calls+slot.calls, failures+slot.failures, spent+slot.spent
		}
	}
	return calls, failures, spent
}

// old sums what was seen of the service's other versions.
func (t *Trials) old(service, version string, now time.Duration) (calls, failures float64, mean time.Duration) {
	var spent time.Duration
	for key, seen := range t.seen {
		if key[0] == service && key[1] != version {
			c, f, s := seen.sum(now)
			calls, failures, spent = calls+c, failures+f, spent+s
		}
	}
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
	number := int64(now / (window / windowSlots))
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

// tooLong tells whether a call takes far longer than the old version's do.
func (t *Trials) tooLong(call *TrialCall, now time.Duration) bool {
	calls, _, mean := t.old(call.key[0], call.key[1], now)
	return calls > 0 && now-call.began > max(slowFloor, trialSlow*mean)
}

// Held tells whether a version on trial must not be used now.
func (t *Trials) Held(service, version string, now time.Duration) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	grant, found := t.granted[service]
	if _, stopped := t.tripped[service]; stopped || !found || grant.version != version || grant.stopped || now >= grant.until {
		return true
	}
	seen := t.window([2]string{service, version})
	calls, failures, _ := seen.sum(now)
	// A call that hangs is a failure already; waiting for its end would let many more follow.
	for open := range seen.open {
		if t.tooLong(open, now) {
			calls, failures = calls+1, failures+1
		}
	}
	part := max(1, t.failures/float64(max(1, t.members())))
	oldCalls, oldFailures, _ := t.old(service, version, now)
	oldRate := 0.0
	if oldCalls > 0 {
		oldRate = oldFailures / oldCalls
	}
	if failures+1 <= part || failures/calls <= trialTimes*oldRate+trialExcess {
		return false
	}
	t.tripped[service] = tripped{grant.plan, now}
	return true
}

// Facts is all that a proxy knows of workers and versions beyond its view.
type Facts struct {
	*Soundness
	*Trials
}
