package simulator

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// History records what happens in a world, and every breach of a never-rule found in it.
type History struct {
	world *World
	lock  sync.Mutex // guards all fields below, except those with another rule
	// closed is set by World.Close: outcomes are not recorded any more.
	closed bool

	// Totals for reports and golden digests.
	Decisions              int                       // dispatches of calls by proxies
	WellConnectedDecisions int                       // of these, by proxies in touch; counted only with Options.ServeStale
	Attempts               int                       // attempts by callers
	Answered               int                       // attempts with a response from a worker
	WorkerRuns             int                       // requests that workers ran
	AnsweredRetries        int                       // answered attempts of calls that had been attempted before
	Acknowledgements       int                       // changes acknowledged to operators
	RefusedChanges         int                       // rulings other than accepted
	Unsent                 int                       // attempts that no proxy admitted
	BlockedCalls           int                       // calls that a blocked version would have got
	CancelledCalls         int                       // attempts that the caller cancelled
	MaxTombstones          int                       // the most that any copy of the configuration held
	Purges                 int                       // purges of tombstones
	Rejections             map[string]int            // rejected calls by the fault blamed and the cause
	Disconnects            dispatch.DisconnectCounts // of all runs of all proxies
	EventHash              uint64                    // over the due times of all events; World.lock guards it
	Violations             map[string][]string       // descriptions by rule, at most maxViolationsKept of each

	// What callers, workers and operators did and saw.
	operations       map[string]*operation
	acknowledgements []revisionAt // by time, with increasing revisions
	lastAcknowledged uint64
	rulings          map[string]schema.Ruling   // by change
	departedAt       map[string]time.Duration   // by token: when the worker began to drain or ended
	retryTimes       map[string][]time.Duration // by service: dispatches after the first of their call
	badVersions      []*badVersion
	inFlight         map[versionKey]int // calls in flight at workers; World.lock guards it

	// What configurations are known and shown.
	snapshots         map[uint64]*config.Snapshot // by revision, as compiled by the first registry
	contentBySequence map[uint64]string           // fingerprint of the configuration at each sequence
	shownRevisions    map[string][]revisionAt     // by member
	invalidItems      map[string]bool             // keys of items that only invalid changes contain
	purgedUpTo        uint64
	lastUsedRevision  map[string]uint64 // by proxy
	processRuns       map[string]int    // by proxy: the run that lastUsedRevision belongs to
}

// versionKey names a version of a service.
type versionKey struct{ service, version string }

// newHistory creates the empty history of a world.
func newHistory(w *World) *History {
	return &History{
		world:             w,
		Rejections:        map[string]int{},
		operations:        map[string]*operation{},
		rulings:           map[string]schema.Ruling{},
		departedAt:        map[string]time.Duration{},
		retryTimes:        map[string][]time.Duration{},
		inFlight:          map[versionKey]int{},
		snapshots:         map[uint64]*config.Snapshot{},
		contentBySequence: map[uint64]string{},
		shownRevisions:    map[string][]revisionAt{},
		invalidItems:      map[string]bool{},
		lastUsedRevision:  map[string]uint64{},
		processRuns:       map[string]int{},
	}
}

// revisionAt is a revision and the time from which it was known.
type revisionAt struct {
	at       time.Duration
	revision uint64
}

// operation is one call that a caller wants executed, with all its attempts and runs.
type operation struct {
	id, caller, service, path string
	nonIdempotent, keyed      bool // keyed: under an idempotency key
	attempts                  []*callerAttempt
	runs                      []workerRun
	startedAt                 time.Duration
}

// callerAttempt is one attempt of an operation as its caller saw it.
type callerAttempt struct {
	proxy              *proxyNode
	sentAt, finishedAt time.Duration
	outcome            string               // one of the constants outcomeX
	result             *dispatch.CallResult // nil if the connection was lost or never opened
}

// workerRun is one execution of an operation by a worker.
type workerRun struct {
	worker        *workerNode
	at            time.Duration
	attemptNumber int
	requestID     string        // of the dispatch
	endedAt       time.Duration // recorded only in worlds whose callers cancel
}

// faultRecord is a fault that was injected and how long it lasted.
type faultRecord struct {
	name               string
	startedAt, endedAt time.Duration // endedAt is zero while the fault is active
	mayReject          bool          // the fault may cause rejected calls
	hitsCore           bool          // the fault takes a core host, which must cost nothing while the others run
}

// badVersion counts the calls of an unhealthy version and its service since the version became unhealthy.
type badVersion struct {
	service, version                     string
	serviceCalls, versionCalls, failures int

	failureLimitAt time.Duration // of the failure that reached the limit
	lastCallAt     time.Duration
	lateCallAt     time.Duration // of the first call after the bound that follows failureLimitAt, 0 for none
}

// startOperation records a new operation of a caller.
func (h *History) startOperation(id string, kind callKind, keyed bool) *operation {
	h.lock.Lock()
	defer h.lock.Unlock()
	started := &operation{
		id:            id,
		caller:        kind.caller,
		service:       kind.service,
		path:          kind.path,
		nonIdempotent: kind.nonIdempotent,
		keyed:         keyed,
		startedAt:     h.world.time(),
	}
	h.operations[id] = started
	return started
}

// beginWorkerCall counts a call that a worker begins, and returns the calls in flight at its version. The caller holds
// World.lock.
func (h *History) beginWorkerCall(worker *workerNode) int {
	key := versionKey{worker.service, worker.version}
	h.inFlight[key]++
	return h.inFlight[key]
}

// recordDeparture records when a worker began to drain or ended, whichever came first.
func (h *History) recordDeparture(token string, at time.Duration) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if _, recorded := h.departedAt[token]; !recorded {
		h.departedAt[token] = at
	}
}

// recordSnapshot records a configuration that a registry serves.
func (h *History) recordSnapshot(snapshot *config.Snapshot) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.snapshots[snapshot.Revision] == nil {
		h.snapshots[snapshot.Revision] = snapshot
	}
}

// recordAcknowledgement records that a change was acknowledged to its operator.
func (h *History) recordAcknowledgement(now time.Duration, sequence uint64) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.Acknowledgements++
	if sequence > h.lastAcknowledged {
		h.lastAcknowledged = sequence
		h.acknowledgements = append(h.acknowledgements, revisionAt{now, sequence})
	}
}

// acknowledgedAt returns the highest revision that had been acknowledged at a time. The caller holds the lock.
func (h *History) acknowledgedAt(at time.Duration) uint64 {
	index := sort.Search(len(h.acknowledgements), func(i int) bool { return h.acknowledgements[i].at > at }) - 1
	if index < 0 {
		return 0
	}
	return h.acknowledgements[index].revision
}

// addInvalidItem records the key of an item that must never be in force.
func (h *History) addInvalidItem(key string) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.invalidItems[key] = true
}

// outcomes lists what the callers of an operation saw, for breach texts.
func (o *operation) outcomes() string {
	var parts []string
	for _, attempt := range o.attempts {
		code := ""
		if attempt.result != nil && attempt.result.Err != nil {
			code = string(errs.CodeOf(attempt.result.Err))
		}
		parts = append(parts, fmt.Sprintf("%s@%v:%s %s", attempt.proxy.name, attempt.sentAt, attempt.outcome, code))
	}
	return strings.Join(parts, ", ")
}

// sortedOperationIDs returns the ids of operations in a fixed order.
func sortedOperationIDs(operations map[string]*operation) []string {
	ids := make([]string, 0, len(operations))
	for id := range operations {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
