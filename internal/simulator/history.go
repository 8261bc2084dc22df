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

func (h *History) startOperation(id, caller, service, path string, nonIdempotent, keyed bool) *operation {
	h.lock.Lock()
	defer h.lock.Unlock()
	operation := &operation{
		id:            id,
		caller:        caller,
		service:       service,
		path:          path,
		nonIdempotent: nonIdempotent,
		keyed:         keyed,
		startedAt:     h.world.time(),
	}
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

// acknowledgedAt is the highest setup that had been acknowledged at a time; the caller holds the lock.
func (h *History) acknowledgedAt(at time.Duration) uint64 {
	index := sort.Search(len(h.acknowledgements), func(i int) bool { return h.acknowledgements[i].at > at }) - 1
	if index < 0 {
		return 0
	}
	return h.acknowledgements[index].revision
}

func (h *History) markInvalid(item string) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.invalidItems[item] = true
}

// outcomes lists what the callers of an op were told.
func (o *operation) outcomes() string {
	var parts []string
	for _, attempt := range o.attempts {
		kind := ""
		if attempt.result != nil && attempt.result.Err != nil {
			kind = string(errs.CodeOf(attempt.result.Err))
		}
		parts = append(parts, fmt.Sprintf("%s@%v:%s %s", attempt.proxy.name, attempt.sentAt, attempt.outcome, kind))
	}
	return strings.Join(parts, ", ")
}

func sortedOperationIDs(operations map[string]*operation) []string {
	ids := make([]string, 0, len(operations))
	for id := range operations {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
