package dispatch

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"meadowhinge/internal/errs"
)

// WorkerQueue is the admission queue in front of one worker, held by the worker's proxy. All requests for the worker
// pass through it, so the queue knows the worker's load. It sends the worker no more requests than it can work on,
// keeps the rest in order, and refuses at once a request that would be answered too late. A refused request was never
// sent to the worker.
type WorkerQueue struct {
	maxRunning int     // upper bound on running requests, whatever the worker reports
	uplink     *Uplink // link that responses are sent over; nil if its bandwidth is not known

	// lock guards the fields below. It may be taken while the lock of Workers or of reservedAdmissions is held.
	lock                sync.Mutex
	slots               int                             // requests that the worker works on at once; 0 if not reported
	reducedLimit        int                             // bound on running requests after the worker rejected one; 0 for no such bound
	answersSinceReduced int                             // answers since reducedLimit last changed
	running             int                             // requests admitted and not yet released
	lastProgressAt      time.Duration                   // last admission or release of a request, on the process clock
	waiting             []*QueuedRequest                // sorted by precedes
	closedReason        errs.Code                       // code by which every request is refused; empty while the queue is open
	overall             serviceTimeEstimate             // estimate for all requests
	byRoute             map[string]*serviceTimeEstimate // estimates for the requests of each route
	answerTransferTime  time.Duration                   // moving mean of the time to send one answer over the uplink; 0 if not known
}

// AdmissionRequest is what the queue must know of a request to decide on it. Times are on the process clock.
type AdmissionRequest struct {
	Route    string
	Priority uint32        // 0 is the highest; larger numbers are lower priorities
	TargetAt time.Duration // latency target: an answer has its full value until then; 0 for no target
	Deadline time.Duration // an answer is useless afterwards
}

// Admission is the queue's decision on a request.
type Admission struct {
	Refusal    errs.Code     // code of the refusal; empty if the request is admitted
	RetryAfter time.Duration // time after which capacity is expected; 0 if not known
}

// QueuedRequest is a request that waits for admission. Times are on the process clock.
type QueuedRequest struct {
	Admission   chan Admission // receives the decision; buffered, so that the queue never blocks on it
	request     AdmissionRequest
	arrivedAt   time.Duration // start of the wait
	serviceTime time.Duration // expected service time
	deviation   time.Duration // mean deviation of the service time, added as a safety margin
	latestStart time.Duration // latest start of the run for an answer in time
}

// cost returns the worker's time that a request is expected to take, weighted by its priority.
func (q *QueuedRequest) cost() float64 { return priorityCost(q.serviceTime, q.request.Priority) }

// priorityCost returns a service time in nanoseconds, multiplied by priorityFactor for each step below priority 0.
func priorityCost(serviceTime time.Duration, priority uint32) float64 {
	return float64(serviceTime) * math.Pow(priorityFactor, float64(priority))
}

// precedes reports whether a request is admitted before another one. The request with the lower cost is admitted first.
// So as many requests as possible are served when not all can be. A cheap route that other work waits for is therefore
// not refused. Of two requests with the same route and priority, or the same cost, the one that must start earlier is
// admitted first.
func (q *QueuedRequest) precedes(other *QueuedRequest) bool {
	sameKind := q.request.Route == other.request.Route && q.request.Priority == other.request.Priority
	if ownCost, otherCost := q.cost(), other.cost(); ownCost != otherCost && !sameKind {
		return ownCost < otherCost
	}
	return q.latestStart <= other.latestStart
}

// Ratios and bounds of the queue. A divisor n stands for the fraction 1/n.
const (
	overlapDivisor        = 16   // requests sent beyond the slots, to hide the network latency: one, plus 1/16 of the slots
	averagingDivisor      = 8    // weight of one sample in the moving means is 1/8
	displaceDivisor       = 4    // a request that has waited for over 1/4 of the time to its target is not displaced any more
	increaseAfterFactor   = 2    // a reduced limit n grows by one after 2n answers
	unmeasuredQueueFactor = 2    // while service times are not known, up to 2 requests may wait for each that may run
	shortRequestFactor    = 2    // a request is short if it takes at most 1/2 of the mean service time
	priorityFactor        = 2    // a cost counts twice as much at the next lower priority
	fractionWindowFactor  = 32   // window, in mean service times, for the fraction of the worker's time that a route uses
	maxPrecedingFraction  = 0.95 // upper bound on the fraction of the worker's time that preceding routes use
	maxWaitNumerator      = 3    // a request waits for at most 3/8 of its time left, so that another worker can still serve it
	maxWaitDenominator    = 8
	maxRoutes             = 1024 // routes with records of their own, per worker; also used by OutlierDetector
)

// NewWorkerQueue returns the queue of a worker that gets at most maxRunning requests at once. slots is how many
// requests the worker reports to work on at once, 0 if it does not report that.
func NewWorkerQueue(maxRunning, slots int) *WorkerQueue {
	return &WorkerQueue{maxRunning: maxRunning, slots: slots, byRoute: map[string]*serviceTimeEstimate{}}
}

// withUplink also limits the running requests by the uplink's capacity for their answers. It must be called before the
// queue is used, and returns the queue.
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
	// Answers beyond the uplink's capacity would only wait in the kernel, without regard to priority.
	if q.answerTransferTime > 0 && q.overall.known {
		limit = min(limit, 1+int(q.uplinkBacklogTarget()/q.answerTransferTime))
	}
	return max(1, limit)
}

// uplinkBacklogTarget returns how long the uplink may need for the answers of all running requests: enough to keep it
// busy while the next requests run. The caller holds the lock.
func (q *WorkerQueue) uplinkBacklogTarget() time.Duration {
	return q.overall.mean + q.overall.mean/overlapDivisor
}

// hasCapacity reports whether one more request may run. The uplink's backlog and the answers of the running requests must
// not exceed uplinkBacklogTarget together. One request may always run, because requests are admitted from the queue when
// another one ends. The caller holds the lock.
func (q *WorkerQueue) hasCapacity() bool {
	switch {
	case q.running == 0:
		return true
	case q.running >= q.limit():
		return false
	}
	return q.answerTransferTime == 0 || q.uplink.Backlog()+time.Duration(q.running)*q.answerTransferTime <= q.uplinkBacklogTarget()
}

// expectedWait returns how long a request is expected to wait behind requests whose service times add up to workAhead.
// A worker that makes no progress is assumed to stay so for as long as it has been already. The caller holds the lock.
func (q *WorkerQueue) expectedWait(now, workAhead time.Duration) time.Duration {
	return max((q.overall.mean+workAhead)/time.Duration(q.limit()), now-q.lastProgressAt)
}

// expectedWaitBehind returns how long a request is expected to wait behind workAhead, and behind requests of other
// routes that arrive meanwhile and precede it. The caller holds the lock.
func (q *WorkerQueue) expectedWaitBehind(now time.Duration, queued *QueuedRequest, workAhead time.Duration) time.Duration {
	precedingFraction, cost := 0.0, queued.cost()
	for route, estimate := range q.byRoute {
		if route != queued.request.Route && priorityCost(estimate.mean, estimate.priority) < cost {
			precedingFraction += estimate.timeFractionAt(now, fractionWindowFactor*q.overall.mean)
		}
	}
	return time.Duration(float64(q.expectedWait(now, workAhead)) / (1 - min(precedingFraction, maxPrecedingFraction)))
}

// answerBy returns when a request should be answered: at its latency target, or at its deadline if that is earlier.
func (r *AdmissionRequest) answerBy() time.Duration {
	if r.TargetAt != 0 {
		return min(r.TargetAt, r.Deadline)
	}
	return r.Deadline
}

// lateness returns how long after the time it should be answered a request is expected to be answered, if it first
// waits for the given time. 0 or less means in time. A short request has until its deadline, because refusing it would
// free little capacity. The caller holds the lock.
func (q *WorkerQueue) lateness(now time.Duration, queued *QueuedRequest, wait time.Duration) time.Duration {
	answerBy := queued.request.answerBy()
	if queued.serviceTime*shortRequestFactor <= q.overall.mean {
		answerBy = queued.request.Deadline
	}
	return now + wait + queued.serviceTime + queued.deviation + q.uplink.Backlog() - answerBy
}

// Admit admits a request, refuses it or queues it. If the request is queued, the second result is not nil, and the
// caller must get the decision by [WorkerQueue.Wait]. Each admitted request must be passed to [WorkerQueue.Release].
//
// The code of a refusal is errs.DeadlineExceeded if the deadline has passed, and the code given to [WorkerQueue.Close]
// once the queue is closed. Otherwise it is errs.QueueFull: the request would be late, the queue has no room while
// service times are not known, or the worker is busy and reports no slots.
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

// newQueuedRequest returns a queued request with the estimates for its route. The caller holds the lock.
func (q *WorkerQueue) newQueuedRequest(now time.Duration, request AdmissionRequest) *QueuedRequest {
	queued := &QueuedRequest{request: request, arrivedAt: now}
	queued.serviceTime, queued.deviation = q.expectedServiceTime(request.Route)
	if estimate := q.byRoute[request.Route]; estimate != nil {
		estimate.priority = request.Priority
	}
	queued.latestStart = request.answerBy() - (queued.serviceTime + queued.deviation)
	return queued
}

// position returns the index of a request in the queue, and the sum of the service times of the requests before it. The
// caller holds the lock.
func (q *WorkerQueue) position(queued *QueuedRequest) (position int, workAhead time.Duration) {
	for position < len(q.waiting) && q.waiting[position].precedes(queued) {
		workAhead += q.waiting[position].serviceTime
		position++
	}
	return position, workAhead
}

// refuseFull returns the refusal of a request that would be late by lateness. RetryAfter is that time, or the time
// until a running request is expected to end if that is longer. The caller holds the lock.
func (q *WorkerQueue) refuseFull(now, lateness time.Duration) Admission {
	return Admission{Refusal: errs.QueueFull, RetryAfter: max(lateness, q.expectedWait(now, 0))}
}

// displace refuses the requests from an index on that would now be late and have time left to try another worker. A
// request that has waited long is kept, because it is better served late than not at all. workAhead is the sum of the
// service times of the requests before the index. The caller holds the lock.
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

// Remove removes a queued request, so that no decision on it will be made. It returns false if the decision has already
// been made. The decision is then in the request's Admission channel.
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

// Wait waits for the decision on a queued request, for at most maxWaitNumerator/maxWaitDenominator of the time left, so
// that another worker can still serve the request. It then removes the request from the queue and refuses it with
// errs.QueueFull. When ctx ends it refuses the request with the code of [contextErrorCode].
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

// RunResult is the result of an admitted request, as far as the queue distinguishes results.
type RunResult int

// Results of admitted requests.
const (
	ResultNoAnswer RunResult = iota // the request was not sent to the worker, or got no valid answer
	ResultAnswered                  // the worker answered, and not with a failure
	ResultRejected                  // the worker rejected the request without running it
	ResultFailed                    // the worker answered with a failure
)

// Release ends an admission and admits the next requests. took is the time since the request was admitted. route may be
// empty if the result is ResultNoAnswer.
func (q *WorkerQueue) Release(now time.Duration, route string, result RunResult, took time.Duration) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.running--
	q.lastProgressAt = now
	switch result {
	case ResultAnswered, ResultFailed:
		// A quick failure does not count as a service time, because it would make a failing worker look fast.
		if mean, _ := q.expectedServiceTime(route); result == ResultAnswered || took >= mean {
			q.recordServiceTime(now, route, took)
		}
		q.raiseReducedLimit()
	case ResultRejected:
		q.reducedLimit, q.answersSinceReduced = max(1, q.running), 0
	}
	q.admitNext(now)
}

// raiseReducedLimit raises the reduced limit by one after enough answers, and lifts it once it exceeds the slots. So a
// worker that rejected a request gets its slots back one by one. The caller holds the lock.
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

// RecordResponseSize records the size of a response, from which the queue learns how much of the uplink responses need.
func (q *WorkerQueue) RecordResponseSize(bytes int) {
	if transferTime := q.uplink.TransferTime(bytes); transferTime > 0 {
		q.lock.Lock()
		defer q.lock.Unlock()
		if q.answerTransferTime == 0 {
			q.answerTransferTime = transferTime
		}
		q.answerTransferTime += (transferTime - q.answerTransferTime) / averagingDivisor
	}
}

// admitNext admits requests from the head of the queue while there is capacity, and refuses those whose deadline has
// passed. The caller holds the lock.
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

// Close refuses all queued and all later requests with the given code. Running requests are not affected.
func (q *WorkerQueue) Close(reason errs.Code) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.closedReason = reason
	for _, queued := range q.waiting {
		queued.Admission <- Admission{Refusal: reason}
	}
	q.waiting = nil
}

// SetSlots sets how many requests the worker works on at once, 0 if it does not report that, and admits the requests
// for which there is now capacity.
func (q *WorkerQueue) SetSlots(now time.Duration, slots int) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.slots = slots
	q.admitNext(now)
}

// ServiceTime returns the moving mean of the time that the worker takes for a request, 0 if none was measured yet.
func (q *WorkerQueue) ServiceTime() time.Duration {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.overall.mean
}

// Load returns how many requests are running and how many are waiting. slots is how many requests the worker may run at
// once, 0 if the worker does not report slots.
func (q *WorkerQueue) Load() (running, waiting, slots uint32) {
	q.lock.Lock()
	defer q.lock.Unlock()
	return uint32(q.running), uint32(len(q.waiting)), uint32(min(q.slots, q.limit()))
}
