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

// History records what happens in a World and the violations of invariants found in it. Events and goroutines write it
// during the run; tests read it after World.Close.
type History struct {
	world *World
	lock  sync.Mutex // guards all fields below, except where noted
	// closed is set by World.Close. Outcomes are not recorded after that.
	closed bool

	// Totals for test reports and golden digests.
	Decisions              int                       // dispatches of attempts to workers by proxies
	WellConnectedDecisions int                       // decisions of well-connected proxies, with Options.ServeStale
	Attempts               int                       // attempts of callers
	Answered               int                       // attempts with a response from a worker
	WorkerRuns             int                       // requests that workers ran
	AnsweredRetries        int                       // answered attempts that were not the first of their call
	Acknowledgements       int                       // changes acknowledged to operators
	RefusedChanges         int                       // recorded rulings other than accepted
	Unsent                 int                       // attempts at proxies that were down or did not admit callers
	BlockedCalls           int                       // attempts that got another version because theirs was blocked
	CancelledCalls         int                       // attempts that their caller cancelled
	MaxTombstones          int                       // largest number of tombstones in any copy of the configuration
	Purges                 int                       // number of purges of tombstones
	Rejections             map[string]int            // number of rejected attempts, by the fault blamed and the cause
	Disconnects            dispatch.DisconnectCounts // sum over all runs of all proxies
	EventHash              uint64                    // hash of the due times of all events; World.lock guards it
	Violations             map[string][]string       // descriptions by kind of violation, at most maxViolationsKept of each

	// What callers, workers and operators did and saw.
	operations       map[string]*operation      // operations by id
	acknowledgements []revisionAt               // in order of time, with increasing revisions
	lastAcknowledged uint64                     // highest acknowledged revision
	rulings          map[string]schema.Ruling   // last ruling on each change, by its id
	departedAt       map[string]time.Duration   // virtual time at which each worker began to drain or ended, by token
	retryTimes       map[string][]time.Duration // virtual times of the dispatches that were retries, by service
	badVersions      []*badVersion              // unhealthy versions whose exposure is checked
	inFlight         map[versionKey]int         // number of calls in flight at workers; World.lock guards it

	// What configurations exist, and which processes showed them.
	snapshots         map[uint64]*config.Snapshot // configurations by revision, as the first registry compiled them
	contentBySequence map[uint64]string           // fingerprint of the configuration at each sequence
	shownRevisions    map[string][]revisionAt     // committed revisions of each member, in order of time
	invalidItems      map[string]bool             // keys of items that occur only in invalid changes
	purgedUpTo        uint64                      // highest sequence up to which tombstones were purged
	lastUsedRevision  map[string]uint64           // highest revision that each proxy dispatched by, by name
	processRuns       map[string]int              // run of each proxy that lastUsedRevision belongs to
}

// versionKey identifies a version of a service.
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

// revisionAt is a revision and the virtual time from which it was known.
type revisionAt struct {
	at       time.Duration
	revision uint64
}

// operation is one call of a caller, with all its attempts and runs.
type operation struct {
	id, caller, service, path string
	nonIdempotent, keyed      bool             // keyed: with an idempotency key
	attempts                  []*callerAttempt // attempts that have ended
	runs                      []workerRun
	startedAt                 time.Duration // virtual time
}

// callerAttempt is one attempt of an operation as its caller saw it.
type callerAttempt struct {
	proxy              *proxyNode           // proxy that the caller sent the attempt to
	sentAt, finishedAt time.Duration        // virtual time
	outcome            string               // one of the outcome constants, or a name from dispatch.OutcomeName
	result             *dispatch.CallResult // result from the forwarder; nil if the caller got none
}

// workerRun is one execution of an operation by a worker.
type workerRun struct {
	worker        *workerNode
	at            time.Duration // virtual time of the start
	attemptNumber int           // index into operation.attempts
	requestID     string        // request id of the dispatch
	endedAt       time.Duration // virtual time of the end; 0 unless callers cancel in this world
}

// faultRecord records when an injected fault was active.
type faultRecord struct {
	name               string
	startedAt, endedAt time.Duration // virtual times; endedAt is 0 while the fault is active
	mayReject          bool          // the mesh may reject calls because of the fault
	hitsCore           bool          // as in fault; without mayReject, one such fault alone must not cause rejected calls
}

// badVersion counts the calls of an unhealthy version and of its service while the version is unhealthy. A call of the
// version counts as a failure if it fails or takes longer than slowServiceTime. Packages fakebackend and testbed call
// such a version faulty.
type badVersion struct {
	service, version                     string
	serviceCalls, versionCalls, failures int

	failureLimitAt time.Duration // virtual time of the version's failure number fakebackend.FaultyVersionFailures, 0 before
	lastCallAt     time.Duration // virtual time of the version's last call
	lateCallAt     time.Duration // virtual time of the first call after failureLimitAt plus the bound, 0 for none
}

// startOperation records a new operation of a caller and returns it.
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

// beginWorkerCall counts a call that a worker begins, and returns the number of calls in flight at its version,
// including this one. The caller holds World.lock.
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

// recordSnapshot records the configuration that a registry serves, unless its revision is recorded already.
func (h *History) recordSnapshot(snapshot *config.Snapshot) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.snapshots[snapshot.Revision] == nil {
		h.snapshots[snapshot.Revision] = snapshot
	}
}

// recordAcknowledgement records that a change was acknowledged to its operator. A sequence that is not
// higher than any before, such as 0, only increases the count.
func (h *History) recordAcknowledgement(now time.Duration, sequence uint64) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.Acknowledgements++
	if sequence > h.lastAcknowledged {
		h.lastAcknowledged = sequence
		h.acknowledgements = append(h.acknowledgements, revisionAt{now, sequence})
	}
}

// acknowledgedAt returns the highest revision that had been acknowledged by a virtual time, or 0. The caller holds
// History.lock.
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

// outcomes describes the attempts of an operation as its caller saw them, for the texts of violations.
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

// sortedOperationIDs returns the ids of operations in ascending order, so that every iteration has the same order.
func sortedOperationIDs(operations map[string]*operation) []string {
	ids := make([]string, 0, len(operations))
	for id := range operations {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
