package simulator

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"sort"
	"strings"
	"sync"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/fakebackend"
	"meadowhinge/schema"
)

type revisionAt struct {
	at       time.Duration
	revision uint64
}

// operation is one thing a caller wants done, however often it asks for it.
type operation struct {
	id, caller, service, path string
	nonIdempotent, keyed      bool
	attempts                  []*callerAttempt
	runs                      []workerRun
	startedAt                 time.Duration
}

// callerAttempt is one asking, as the caller saw it.
type callerAttempt struct {
	proxy              *proxyNode
	sentAt, finishedAt time.Duration
	outcome            string
	result             *dispatch.CallResult // nil if the connection was lost or never opened
}

type workerRun struct {
	worker        *workerNode
	at            time.Duration
	attemptNumber int
	requestID     string // the dispatch
	endedAt       time.Duration
}

// faultRecord is a fault and how long it went on.
type faultRecord struct {
	name               string
	startedAt, endedAt time.Duration
	mayReject          bool // it may turn callers away
	hitsCore           bool // it takes a core machine, which costs nothing while the others stand
}

// badVersion is what a version that is not sound got of its service's calls since it was so.
type badVersion struct {
	service, version                       string
	serviceCalls, versionCalls, failures   int
	failureLimitAt, lastCallAt, lateCallAt time.Duration
}

// History is what happened, and every breach of a never-rule found in it.
type History struct {
	lock              sync.Mutex
	Decisions         int
	InTouchDecisions  int // of them at proxies in touch
	Attempts          int
	Answered          int
	WorkerRuns        int
	AnsweredRetries   int // asks under a key that had been asked for before, and were answered
	Acknowledgements  int
	RefusedChanges    int
	Breaches          map[string][]string
	EventHash         uint64         // of all events and their times: equal prints are equal runs
	Rejections        map[string]int // proper calls turned away, by fault and cause
	Unsent            int
	MaxTombstones     int // the most that any copy held
	Purges            int // how often tombstones were let go
	purgedUpTo        uint64
	BlockedCalls      int
	CancelledCalls    int                       // callers that left before they were answered
	Disconnects       dispatch.DisconnectCounts // of all lives of proxies
	world             *World
	acknowledgements  []revisionAt // by time, the highest acknowledged setup
	lastAcknowledged  uint64
	shownRevisions    map[string][]revisionAt
	lastUsedRevision  map[string]uint64
	processRuns       map[string]int    // of proxies, that last belongs to
	contentBySequence map[uint64]string // what each stable sequence is: the change that took it
	invalidItems      map[string]bool   // items that only invalid changes name
	rulings           map[string]schema.Ruling
	operations        map[string]*operation
	departedAt        map[string]time.Duration // by token: when its worker said that it leaves, or ended
	snapshots         map[uint64]*config.Snapshot
	retryTimes        map[string][]time.Duration // by service: dispatches after the first of their call
	inFlight          map[string]int             // calls under way, by service and version
	badVersions       []*badVersion
	closed            bool
}

// The rules that are judged exactly, in virtual time.
const (
	RuleRanTwice           = "a once request ran twice"
	RuleNotExecutedRan     = "a request refused as not run ran"
	RuleWrongAnswer        = "an answer was not its caller's own, whole and unaltered"
	RuleUnauthorizedRun    = "a worker ran what it was not sent, or by a false claim"
	RuleDisallowedCall     = "a call reached what no setup in force allowed"
	RuleCallAfterDrain     = "a worker got a call 2 s after it left"
	RuleStaleConfig        = "handled by older rules after a yes"
	RuleRevisionDecreased  = "fell back to an older setup"
	RuleInvalidConfig      = "invalid change in force"
	RuleRetryBudget        = "extra tries beyond the budget"
	RuleBadVersionExposure = "a bad version got too many calls"
	RuleCauselessRejection = "a proper call was turned away without cause"
	RuleAcknowledgedLost   = "acknowledged work lost"
	RuleDivergedState      = "two setups under one sequence"
	RuleRulingChanged      = "a ruling changed"
	RuleRecoveryTime       = "not back within the bound"
	RuleHealthyRolledBack  = "a good version was turned back"
	RuleRunAfterCancel     = "a worker went on for a caller that had left"
	maxBreachesShown       = 5
)

func (h *History) recordBreach(rule, format string, values ...any) {
	if h.Breaches == nil {
		h.Breaches = map[string][]string{}
	}
	if len(h.Breaches[rule]) < maxBreachesShown {
		h.Breaches[rule] = append(h.Breaches[rule], fmt.Sprintf(format, values...))
	}
}

// acknowledgedAt is the highest setup that had been acknowledged at a time; the caller holds the lock.
func (h *History) acknowledgedAt(at time.Duration) uint64 {
	index := sort.Search(len(h.acknowledgements), func(i int) bool { return h.acknowledgements[i].at > at }) - 1
	if index < 0 {
		return 0
	}
	return h.acknowledgements[index].revision
}

// recordDispatch judges one call as it is sent: no bound of seconds is needed, for time is exact.
func (h *History) recordDispatch(now time.Duration, node *proxyNode, request *schema.ForwardRequest) {
	inTouch := !h.world.Options.ServeStale || h.world.inTouch(node)
	h.lock.Lock()
	defer h.lock.Unlock()
	h.Decisions++
	if minRevision := h.acknowledgedAt(now - fakebackend.ConfigPropagationBound); h.world.Options.ServeStale {
		if inTouch {
			h.InTouchDecisions++
		}
		if inTouch && request.Revision < minRevision {
			h.recordBreach(RuleStaleConfig, "%v: %s, in touch, sent %s by %d; %d was acknowledged %v before", now, node.name, request.Request, request.Revision, minRevision, fakebackend.ConfigPropagationBound)
		}
	} else if request.Revision < h.lastAcknowledged {
		h.recordBreach(RuleStaleConfig, "%v: %s sent %s by %d; %d was acknowledged", now, node.name, request.Request, request.Revision, h.lastAcknowledged)
	}
	// In doubt a proxy serves by what it knows, so only within one life it knows never less.
	if h.processRuns[node.name] != node.processRun && h.world.Options.ServeStale {
		h.lastUsedRevision[node.name], h.processRuns[node.name] = 0, node.processRun
	}
	if request.Revision < h.lastUsedRevision[node.name] {
		h.recordBreach(RuleRevisionDecreased, "%v: %s sent %s by %d after %d", now, node.name, request.Request, request.Revision, h.lastUsedRevision[node.name])
	}
	h.lastUsedRevision[node.name] = max(h.lastUsedRevision[node.name], request.Revision)
	for marker := range h.invalidItems {
		if item := node.journal.View().Items()[marker]; item != nil {
			h.recordBreach(RuleInvalidConfig, "%v: %s holds %s", now, node.name, marker)
		}
	}
	if !strings.HasSuffix(request.Request, "-1") {
		if h.retryTimes == nil {
			h.retryTimes = map[string][]time.Duration{}
		}
		h.retryTimes[request.Service] = append(h.retryTimes[request.Service], now)
	}
}

func (h *History) startOperation(id, caller, service, path string, nonIdempotent, keyed bool) *operation {
	h.lock.Lock()
	defer h.lock.Unlock()
	operation := &operation{id: id, caller: caller, service: service, path: path, nonIdempotent: nonIdempotent, keyed: keyed, startedAt: h.world.time()}
	h.operations[id] = operation
	return operation
}

// beginWorkerCall counts a call that a worker of a version has begun; the world's lock is held.
func (h *History) beginWorkerCall(worker *workerNode) int {
	if h.inFlight == nil {
		h.inFlight = map[string]int{}
	}
	h.inFlight[worker.service+worker.version]++
	return h.inFlight[worker.service+worker.version]
}

func (h *History) recordDeparture(token string, at time.Duration) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if _, recorded := h.departedAt[token]; !recorded {
		h.departedAt[token] = at
	}
}

// recordSnapshot notes a setup that a registry gives out.
func (h *History) recordSnapshot(snapshot *config.Snapshot) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.snapshots[snapshot.Revision] == nil {
		h.snapshots[snapshot.Revision] = snapshot
	}
}

// recordRun judges a run by a worker.
func (h *History) recordRun(now time.Duration, worker *workerNode, id string, attemptNumber int, caller, requestID string, failed bool) {
	// A proxy that was frozen between its last look and the handing over is bound by its lease, or
	// where there is none by what binds machines in touch.
	bound := !h.world.Options.ServeStale || h.world.isUndisturbed(worker.proxy)
	h.lock.Lock()
	defer h.lock.Unlock()
	h.WorkerRuns++
	requested := h.operations[id]
	if requested == nil || requested.caller != caller || requested.service != worker.service {
		h.recordBreach(RuleUnauthorizedRun, "%v: %s ran %s (%s) as from %q", now, worker.name, id, requestID, caller)
		return
	}
	requested.runs = append(requested.runs, workerRun{worker, now, attemptNumber, requestID, 0})
	if at, left := h.departedAt[worker.token]; left && bound && now > at+fakebackend.DrainingBound {
		h.recordBreach(RuleCallAfterDrain, "%v: %s ran %s %v after it left", now, worker.name, id, now-at)
	}
	// What was in force when it was asked for, or came into force since, may have allowed it.
	sent := requested.startedAt
	if attemptNumber < len(requested.attempts) {
		sent = requested.attempts[attemptNumber].sentAt
	}
	minRevision, allowed := h.acknowledgedAt(sent-fakebackend.ConfigPropagationBound), false
	// A proxy that is out of touch may go by any setup there ever was.
	if h.world.Options.ServeStale {
		minRevision = 0
	}
	for sequence, snapshot := range h.snapshots {
		if sequence < minRevision {
			continue
		}
		if service := snapshot.Services[worker.service]; service != nil && service.AllowsVersion(worker.version) && service.AllowsCaller(caller) {
			allowed = true
			break
		}
	}
	if !allowed {
		h.recordBreach(RuleDisallowedCall, "%v: %s of version %s ran %s from %s; no setup since %d allows it", now, worker.name, worker.version, id, caller, minRevision)
	}
	for _, bad := range h.badVersions {
		if bad.service != worker.service {
			continue
		}
		degradation := h.world.degradations[[2]string{bad.service, bad.version}]
		if degradation == nil || now < degradation.From || (degradation.Until > 0 && now >= degradation.Until) {
			continue
		}
		bad.serviceCalls++
		if worker.version != bad.version {
			continue
		}
		bad.versionCalls++
		bad.lastCallAt = now
		if bad.failures >= fakebackend.FaultyVersionFailures && now > bad.failureLimitAt+fakebackend.FaultyVersionBound && bad.lateCallAt == 0 {
			bad.lateCallAt = now
		}
		if failed {
			if bad.failures++; bad.failures == fakebackend.FaultyVersionFailures {
				bad.failureLimitAt = now
			}
		}
	}
}

// recordOutcome judges what a caller was told.
func (h *History) recordOutcome(now time.Duration, operation *operation, attempt *callerAttempt) {
	h.lock.Lock()
	defer h.lock.Unlock()
	// What is under way when the run ends has no outcome.
	if h.closed {
		return
	}
	attempt.finishedAt = now
	operation.attempts = append(operation.attempts, attempt)
	h.Attempts++
	switch attempt.outcome {
	case "unsent":
		h.Unsent++
		return
	case outcomeCancelled:
		h.CancelledCalls++
		return
	}
	if attempt.result == nil {
		h.recordRejection(attempt, "connection lost")
		return
	}
	if callPlan := attempt.result.Plan; callPlan != nil {
		if minRevision := h.acknowledgedAt(attempt.sentAt - fakebackend.ConfigPropagationBound); !h.world.Options.ServeStale && callPlan.Verdict.ConfigRevision < minRevision {
			h.recordBreach(RuleStaleConfig, "%v: %s, asked at %v, was handled by %d; %d had been acknowledged", now, operation.id, attempt.sentAt, callPlan.Verdict.ConfigRevision, minRevision)
		}
		if callPlan.Verdict.Reason == "HELD" {
			h.BlockedCalls++
		}
	}
	if attempt.result.Err != nil {
		// A caller that was withdrawn is refused rightly.
		if errs.CodeOf(attempt.result.Err) != errs.CallerNotAllowed {
			h.recordRejection(attempt, string(errs.CodeOf(attempt.result.Err)))
		}
		return
	}
	h.Answered++
	if len(operation.attempts) > 1 {
		h.AnsweredRetries++
	}
	var got fakebackend.Reply
	response := attempt.result.Response
	if json.Unmarshal(response.Body, &got) != nil || got.Operation != operation.id || !got.IsIntact() {
		h.recordBreach(RuleWrongAnswer, "%v: %s got %q", now, operation.id, response.Body)
	}
	if len(operation.runs) == 0 {
		h.recordBreach(RuleWrongAnswer, "%v: %s was answered and had not run", now, operation.id)
	}
}

// recordRejection counts a proper call that was turned away under the fault that may have caused it.
func (h *History) recordRejection(attempt *callerAttempt, cause string) {
	w := h.world
	blamed := ""
	touches := func(record *faultRecord) bool {
		return record.startedAt <= attempt.finishedAt && (record.endedAt == 0 || attempt.sentAt <= record.endedAt+2*leaseDuration)
	}
	coreFaults := 0
	for _, record := range w.faults {
		if !touches(record) {
			continue
		}
		if record.hitsCore {
			coreFaults++
		}
		// One core machine gone costs nothing; with another besides, a majority may be.
		if record.mayReject || coreFaults > 1 {
			blamed = record.name
			break
		}
	}
	if blamed == "" {
		h.recordBreach(RuleCauselessRejection, "%v: asked at %v at %s: %s", attempt.finishedAt, attempt.sentAt, attempt.proxy.name, cause)
		blamed = "no fault"
	}
	h.Rejections[blamed+": "+cause]++
}

// observeMember holds what a seat shows against what anyone ever showed.
func (w *World) observeMember(node *memberNode) {
	committed, state := node.replica.Committed()
	h := w.History
	h.lock.Lock()
	previous := h.shownRevisions[node.name]
	changed := len(previous) == 0 || previous[len(previous)-1].revision != committed
	if changed {
		h.shownRevisions[node.name] = append(previous, revisionAt{w.now, committed})
	}
	h.lock.Unlock()
	if changed {
		h.checkContent(w.now, node.name, committed, state)
	}
}

// observeProxy holds what a proxy uses against what anyone ever showed.
func (h *History) observeProxy(now time.Duration, node *proxyNode) {
	view := node.journal.View()
	if h.world.seededFault != SeededNoAuthorization {
		h.checkContent(now, node.name, view.ConfigRevision(), view.Items())
	}
}

// checkContent compares what stands at a sequence: each item by the change that took it. Removed
// items count as absent, for copies let go of their tombstones at different times.
func (h *History) checkContent(now time.Duration, name string, sequence uint64, state config.State) {
	sum := fnv.New64a()
	for _, item := range state.Items() {
		if !item.Deleted {
			fmt.Fprintf(sum, "%s/%s@%d ", item.Kind, item.Name, item.Version.Sequence)
		}
	}
	fingerprint := fmt.Sprint(sequence, ":", sum.Sum64())
	h.lock.Lock()
	defer h.lock.Unlock()
	if purgedUpTo := state.PurgedUpTo(); purgedUpTo > h.purgedUpTo {
		h.purgedUpTo = purgedUpTo
		h.Purges++
	}
	tombstones, _ := state.Tombstones()
	h.MaxTombstones = max(h.MaxTombstones, tombstones)
	if existing, found := h.contentBySequence[sequence]; !found {
		h.contentBySequence[sequence] = fingerprint
	} else if existing != fingerprint {
		h.recordBreach(RuleDivergedState, "%v: %s shows %q; another showed %q", now, name, fingerprint, existing)
	}
}

// recordAcknowledgement notes an acknowledgement.
func (h *History) recordAcknowledgement(now time.Duration, sequence uint64) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.Acknowledgements++
	if sequence > h.lastAcknowledged {
		h.lastAcknowledged = sequence
		h.acknowledgements = append(h.acknowledgements, revisionAt{now, sequence})
	}
}

// recordRuling notes what an operator was told of a change; it may never be told otherwise later.
func (h *History) recordRuling(now time.Duration, id string, ruling schema.Ruling) {
	if ruling == schema.Ruling_RULING_UNKNOWN {
		return
	}
	h.lock.Lock()
	defer h.lock.Unlock()
	if existing, found := h.rulings[id]; found && existing != ruling {
		h.recordBreach(RuleRulingChanged, "%v: %s was %v and is now %v", now, id, existing, ruling)
	}
	h.rulings[id] = ruling
	if ruling != schema.Ruling_RULING_ACCEPTED {
		h.RefusedChanges++
	}
}
