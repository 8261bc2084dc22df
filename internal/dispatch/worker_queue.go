package dispatch

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"meadowhinge/internal/errs"
)

// WorkerQueue queues the requests for one worker at the proxy beside it. That proxy is the only way to the worker,
// so it knows how much work the worker has: it sends the worker no more than it can work on, keeps the rest in
// order, and refuses at once what would be answered too late. A refused request was never sent to the worker.
type WorkerQueue struct {
	maxRunning int     // requests sent to the worker at once, whatever the worker reports
	uplink     *Uplink // that responses leave by, nil if its bandwidth is not known

	lock                sync.Mutex       // guards the fields below; may be taken while the lock of Workers or reservedAdmissions is held
	slots               int              // requests that the worker works on at once, 0 for not reported
	reducedLimit        int              // bound on running since the worker rejected a request, 0 for none
	answersSinceReduced int              // answers since the bound last changed
	running             int              // admitted and not released
	lastProgressAt      time.Duration    // when a request was last admitted or released
	waiting             []*QueuedRequest // in the order of goesBefore
	closedReason        errs.Code        // refuses all requests, empty while the queue is open
	overall             serviceTimeEstimate
	byRoute             map[string]*serviceTimeEstimate
	answerTransferTime  time.Duration // moving mean of the time that an answer takes on the uplink
}

// AdmissionRequest is a request that waits to be sent to the worker. Times are on the clock of the process.
type AdmissionRequest struct {
	Route    string
	Priority uint32        // 0 is the highest
	TargetAt time.Duration // latency target: an answer is worth most until then, 0 for none
	Deadline time.Duration // an answer is worth nothing after it
}

// Admission is the queue's decision on a request.
type Admission struct {
	Refusal    errs.Code     // empty: the request is admitted
	RetryAfter time.Duration // when capacity is expected, from now; 0 for not known
}

// QueuedRequest is a request that waits for admission.
type QueuedRequest struct {
	Admission   chan Admission // buffered, so that the queue never blocks on it
	request     AdmissionRequest
	arrivedAt   time.Duration
	serviceTime time.Duration // that the request is expected to take
	deviation   time.Duration // by which it may well take longer
	latestStart time.Duration // when it must start to be answered in time
}

// cost is the worker's time that a request takes, weighted by its priority.
func (q *QueuedRequest) cost() float64 { return priorityCost(q.serviceTime, q.request.Priority) }

func priorityCost(serviceTime time.Duration, priority uint32) float64 {
	return float64(serviceTime) * math.Pow(priorityFactor, float64(priority))
}

// goesBefore reports whether a request goes before another one. First is the one that costs less of the worker's
// time for its priority: so as many as possible are served where not all can be, and a route that other work waits
// for is not refused. Of the same route and priority, first is the one that must start earlier.
func (q *QueuedRequest) goesBefore(other *QueuedRequest) bool {
	sameKind := q.request.Route == other.request.Route && q.request.Priority == other.request.Priority
	if ownCost, otherCost := q.cost(), other.cost(); ownCost != otherCost && !sameKind {
		return ownCost < otherCost
	}
	return q.latestStart <= other.latestStart
}

// Ratios of the queue.
const (
	overlapDivisor        = 16   // besides one, this part of the slots is sent ahead, to hide the network's latency
	averagingDivisor      = 8    // each answer moves a mean by this part
	displaceDivisor       = 4    // after this part of the time to its target, a waiting request is not refused any more
	increaseAfterFactor   = 2    // a reduced limit grows by one after this many answers for each request in it
	unmeasuredQueueFactor = 2    // requests that may wait for each that runs, while service times are not known
	shortRequestFactor    = 2    // a request is short if it takes this part of the mean
	priorityFactor        = 2    // a priority is worth this many times the next lower one
	fractionWindowFactor  = 32   // mean service times in the window over which a route's part of the worker's time is measured
	maxPrecedingFraction  = 0.95 // upper bound on the part of the worker's time that goes to routes that precede
	maxWaitNumerator      = 3    // a request waits for at most 3/8 of its time left, so that another worker can still serve it
	maxWaitDenominator    = 8
	maxRoutes             = 1024 // routes with an estimate of their own
)

// NewWorkerQueue returns the queue of a worker that gets at most maxRunning requests at once and has reported the
// given slots, 0 for not reported.
func NewWorkerQueue(maxRunning, slots int) *WorkerQueue {
	return &WorkerQueue{maxRunning: maxRunning, slots: slots, byRoute: map[string]*serviceTimeEstimate{}}
}

// withUplink limits running requests by the bandwidth that their answers need. It is called before the queue is used.
func (q *WorkerQueue) withUplink(uplink *Uplink) *WorkerQueue {
	q.uplink = uplink
	return q
}

// limit returns how many requests may run at once. The caller holds the lock.
func (q *WorkerQueue) limit() int {
	limit := q.maxRunning
	if q.slots > 0 {
		limit = min(limit, q.slots+1+q.slots/overlapDivisor)
	}
	if q.reducedLimit > 0 {
		limit = min(limit, q.reducedLimit)
	}
	// More answers than the uplink can send would only wait there, in no order of priority.
	if q.answerTransferTime > 0 && q.overall.known {
		limit = min(limit, 1+int(q.uplinkBacklogTarget()/q.answerTransferTime))
	}
	return max(1, limit)
}

// uplinkBacklogTarget is how much of the uplink's time the answers under way may take: enough to keep it busy while
// the next requests run. The caller holds the lock.
func (q *WorkerQueue) uplinkBacklogTarget() time.Duration {
	return q.overall.mean + q.overall.mean/overlapDivisor
}

// hasCapacity reports whether one more request may run. The uplink's backlog counts against the answers, but one
// request may always run, because its end admits the next. The caller holds the lock.
func (q *WorkerQueue) hasCapacity() bool {
	switch {
	case q.running == 0:
		return true
	case q.running >= q.limit():
		return false
	}
	return q.answerTransferTime == 0 || q.uplink.Backlog()+time.Duration(q.running)*q.answerTransferTime <= q.uplinkBacklogTarget()
}

// expectedWait returns how long a request waits behind work that takes the worker so long. A worker that is full and
// completes nothing is assumed to go on like this for as long as it has already. The caller holds the lock.
func (q *WorkerQueue) expectedWait(now, workAhead time.Duration) time.Duration {
	return max((q.overall.mean+workAhead)/time.Duration(q.limit()), now-q.lastProgressAt)
}

// expectedWaitBehind returns how long a request waits behind the work ahead, and behind requests of other routes that
// arrive meanwhile and go before it. The caller holds the lock.
func (q *WorkerQueue) expectedWaitBehind(now time.Duration, queued *QueuedRequest, workAhead time.Duration) time.Duration {
	precedingFraction, cost := 0.0, queued.cost()
	for route, estimate := range q.byRoute {
		if route != queued.request.Route && priorityCost(estimate.mean, estimate.priority) < cost {
			precedingFraction += estimate.timeFractionAt(now, fractionWindowFactor*q.overall.mean)
		}
	}
	return time.Duration(float64(q.expectedWait(now, workAhead)) / (1 - min(precedingFraction, maxPrecedingFraction)))
}

// answerBy returns when a request should be answered.
func (r *AdmissionRequest) answerBy() time.Duration {
	if r.TargetAt != 0 {
		return min(r.TargetAt, r.Deadline)
	}
	return r.Deadline
}

// lateness returns by how much a request would be answered too late after a wait, 0 or less for in time. A request
// that is short compared to the others may use its whole deadline: refusing it would free little capacity. The caller
// holds the lock.
func (q *WorkerQueue) lateness(now time.Duration, queued *QueuedRequest, wait time.Duration) time.Duration {
	answerBy := queued.request.answerBy()
	if queued.serviceTime*shortRequestFactor <= q.overall.mean {
		answerBy = queued.request.Deadline
	}
	return now + wait + queued.serviceTime + queued.deviation + q.uplink.Backlog() - answerBy
}

// Admit admits a request, queues it, or refuses it. If it is queued, the decision comes over the returned
// request's Admission, and the caller must [WorkerQueue.Wait] for it. Each admitted request must be released.
func (q *WorkerQueue) Admit(now time.Duration, request AdmissionRequest) (Admission, *QueuedRequest) {
	q.lock.Lock()
	defer q.lock.Unlock()
	switch {
	case q.closedReason != "":
		return Admission{Refusal: q.closedReason}, nil
	case now >= request.Deadline:
		return Admission{Refusal: errs.DeadlineExceeded}, nil
	case q.hasCapacity() && len(q.waiting) == 0:
		q.running++
		q.lastProgressAt = now
		return Admission{}, nil
	}
	queued := q.newQueuedRequest(now, request)
	position, workAhead := q.position(queued)
	if !q.overall.known {
		if q.slots == 0 || position >= unmeasuredQueueFactor*q.limit() {
			return Admission{Refusal: errs.QueueFull}, nil
		}
	} else if lateness := q.lateness(now, queued, q.expectedWaitBehind(now, queued, workAhead)); lateness > 0 || q.slots == 0 {
		return q.refuseFull(now, lateness), nil
	}
	queued.Admission = make(chan Admission, 1)
	q.waiting = slices.Insert(q.waiting, position, queued)
	q.displace(now, position+1, workAhead+queued.serviceTime)
	return Admission{}, queued
}

// newQueuedRequest returns a request with what its route's estimates say of it. The caller holds the lock.
func (q *WorkerQueue) newQueuedRequest(now time.Duration, request AdmissionRequest) *QueuedRequest {
	queued := &QueuedRequest{request: request, arrivedAt: now}
	queued.serviceTime, queued.deviation = q.expectedServiceTime(request.Route)
	if estimate := q.byRoute[request.Route]; estimate != nil {
		estimate.priority = request.Priority
	}
	queued.latestStart = request.answerBy() - (queued.serviceTime + queued.deviation)
	return queued
}

// position returns where a request goes in the queue, and the worker's time that the requests before it take. The caller
// holds the lock.
func (q *WorkerQueue) position(queued *QueuedRequest) (position int, workAhead time.Duration) {
	for position < len(q.waiting) && q.waiting[position].goesBefore(queued) {
		workAhead += q.waiting[position].serviceTime
		position++
	}
	return position, workAhead
}

// refuseFull returns the refusal of a request that would be late. It may be sent again once its lateness, and the work
// that is running, are over. The caller holds the lock.
func (q *WorkerQueue) refuseFull(now, lateness time.Duration) Admission {
	return Admission{Refusal: errs.QueueFull, RetryAfter: max(lateness, q.expectedWait(now, 0))}
}

// displace refuses the requests from an index on that would now be late, for as long as they have good prospects at
// another worker: a request that has waited long is better served late than not at all. The caller holds the lock.
func (q *WorkerQueue) displace(now time.Duration, from int, workAhead time.Duration) {
	retained := q.waiting[:from]
	for _, queued := range q.waiting[from:] {
		lateness := q.lateness(now, queued, q.expectedWaitBehind(now, queued, workAhead))
		if lateness > 0 && now-queued.arrivedAt <= (queued.request.answerBy()-queued.arrivedAt)/displaceDivisor {
			queued.Admission <- q.refuseFull(now, lateness)
			continue
		}
		retained = append(retained, queued)
		workAhead += queued.serviceTime
	}
	clear(q.waiting[len(retained):])
	q.waiting = retained
}

// Remove removes a request that does not wait any more. It returns false if the request is not queued, because the
// decision has been made: then the decision is in its Admission.
func (q *WorkerQueue) Remove(queued *QueuedRequest) bool {
	q.lock.Lock()
	defer q.lock.Unlock()
	for i, waiting := range q.waiting {
		if waiting == queued {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Wait waits for the decision on a queued request, but only for a part of the time left, so that another worker can
// still serve the request in the rest.
func (q *WorkerQueue) Wait(ctx context.Context, queued *QueuedRequest, remaining time.Duration) Admission {
	timer := time.NewTimer(remaining * maxWaitNumerator / maxWaitDenominator)
	defer timer.Stop()
	refused := Admission{Refusal: errs.QueueFull, RetryAfter: queued.serviceTime}
	select {
	case admission := <-queued.Admission:
		return admission
	case <-ctx.Done():
		refused = Admission{Refusal: contextErrorCode(ctx)}
	case <-timer.C:
	}
	if q.Remove(queued) {
		return refused
	}
	return <-queued.Admission
}

// RunResult is what became of a request that was admitted.
type RunResult int

// The results that the queue distinguishes.
const (
	ResultNotRun   RunResult = iota // it was not sent to the worker, or did not complete
	ResultAnswered                  // it ran to its end
	ResultRejected                  // the worker rejected it
	ResultFailed                    // it ran, and its answer is a failure
)

// Release ends an admission after the time that it took, and admits the next requests. The route may be empty if the
// result is ResultNotRun.
func (q *WorkerQueue) Release(now time.Duration, route string, result RunResult, took time.Duration) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.running--
	q.lastProgressAt = now
	switch result {
	case ResultAnswered, ResultFailed:
		// A quick failure says nothing of how long requests take: it would make a failing worker look fast.
		if mean, _ := q.expectedServiceTime(route); result == ResultAnswered || took >= mean {
			q.recordServiceTime(now, route, took)
		}
		q.raiseReducedLimit()
	case ResultRejected:
		q.reducedLimit, q.answersSinceReduced = max(1, q.running), 0
	}
	q.admitNext(now)
}

// raiseReducedLimit lets one more request run after enough answers: since it rejected a request, the worker gets its
// slots back one by one. The caller holds the lock.
func (q *WorkerQueue) raiseReducedLimit() {
	q.answersSinceReduced++
	if q.reducedLimit == 0 || q.answersSinceReduced < increaseAfterFactor*q.reducedLimit {
		return
	}
	q.answersSinceReduced = 0
	q.reducedLimit++
	if q.reducedLimit > q.slots {
		q.reducedLimit = 0
	}
}

// RecordAnswerSize records how many bytes an answer had.
func (q *WorkerQueue) RecordAnswerSize(bytes int) {
	if transferTime := q.uplink.TransferTime(bytes); transferTime > 0 {
		q.lock.Lock()
		defer q.lock.Unlock()
		if q.answerTransferTime == 0 {
			q.answerTransferTime = transferTime
		}
		q.answerTransferTime += (transferTime - q.answerTransferTime) / averagingDivisor
	}
}

// admitNext admits requests from the head of the queue while there is capacity. The caller holds the lock.
func (q *WorkerQueue) admitNext(now time.Duration) {
	for len(q.waiting) > 0 && q.hasCapacity() {
		first := q.waiting[0]
		q.waiting[0] = nil
		q.waiting = q.waiting[1:]
		if now >= first.request.Deadline {
			first.Admission <- Admission{Refusal: errs.DeadlineExceeded}
			continue
		}
		q.running++
		q.lastProgressAt = now
		first.Admission <- Admission{}
	}
}

// Close refuses all queued and all later requests, with the reason as code. Requests that are running go on.
func (q *WorkerQueue) Close(reason errs.Code) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.closedReason = reason
	for _, queued := range q.waiting {
		queued.Admission <- Admission{Refusal: reason}
	}
	q.waiting = nil
}

// SetSlots sets how many requests the worker works on at once, 0 for not reported.
func (q *WorkerQueue) SetSlots(now time.Duration, slots int) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.slots = slots
	q.admitNext(now)
}

// ServiceTime returns the moving mean of the time that the worker takes for a request, 0 for not known.
func (q *WorkerQueue) ServiceTime() time.Duration {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.overall.mean
}

// Load returns how many requests are running and waiting, and how many the worker can work on at once.
func (q *WorkerQueue) Load() (running, waiting, slots uint32) {
	q.lock.Lock()
	defer q.lock.Unlock()
	return uint32(q.running), uint32(len(q.waiting)), uint32(min(q.slots, q.limit()))
}
