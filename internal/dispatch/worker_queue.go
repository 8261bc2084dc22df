package dispatch

import (
	"context"
	"math"
	"sync"
	"time"

	"meadowhinge/internal/errs"
)

// WorkerQueue is what waits for one worker at the proxy beside it. That proxy is the only way to the
// worker, so it knows exactly how much the worker has at hand: it gives it no more than it can
// work on, lets the rest wait in an order, and refuses at once what would be answered too late.
// What it refuses was never handed over.
type WorkerQueue struct {
	lock                sync.Mutex
	maxRunning          int // handed over at once, whatever the worker says
	slots               int // that the worker works on at once, 0 for not told
	reducedLimit        int // handed over at once since the worker turned something away, 0 for no such bound
	answersSinceReduced int // answers since then
	running             int
	lastProgressAt      time.Duration    // when something was handed over or ended last
	waiting             []*QueuedRequest // by rank, then by when each must start
	closedReason        errs.Code
	overall             serviceTimeEstimate
	byRoute             map[string]*serviceTimeEstimate
	uplink              *Uplink       // that answers leave by
	answerTransferTime  time.Duration // that one takes on it, of late
}

// AdmissionRequest is a request that wants to be handed over.
type AdmissionRequest struct {
	Route    string
	Priority uint32        // 0 goes first
	TargetAt time.Duration // until when an answer is worth most, 0 for no such time
	Deadline time.Duration // until when it is worth anything
}

// Admission is what a request is told: to go, or why not and when to come back.
type Admission struct {
	Refusal    errs.Code // empty: it is its turn
	RetryAfter time.Duration
}

// QueuedRequest is a request that waits for its turn.
type QueuedRequest struct {
	Admission   chan Admission // has room, so that nobody waits to tell it
	request     AdmissionRequest
	arrivedAt   time.Duration
	serviceTime time.Duration // that it is likely to take
	deviation   time.Duration // by which it may well take longer
	latestStart time.Duration // when it must start at the latest to be answered in time
}

// cost is the worker's time that a request takes, against what its rank is worth.
func (q *QueuedRequest) cost() float64 { return priorityCost(q.serviceTime, q.request.Priority) }

func priorityCost(serviceTime time.Duration, priority uint32) float64 {
	return float64(serviceTime) * math.Pow(priorityFactor, float64(priority))
}

// goesBefore tells who goes first: whoever costs less of the worker's time for its rank, so that where
// not all can be served the most are, and what other work waits for is not turned away; of a
// kind, whoever must start earlier.
func (q *QueuedRequest) goesBefore(other *QueuedRequest) bool {
	if ownCost, otherCost := q.cost(), other.cost(); ownCost != otherCost && (q.request.Route != other.request.Route || q.request.Priority != other.request.Priority) {
		return ownCost < otherCost
	}
	return q.latestStart <= other.latestStart
}

// Ratios of the buffer.
const (
	overlapDivisor        = 16   // besides one, this part of the slots is handed over ahead, to hide the way there
	averagingDivisor      = 8    // each answer moves the mean by this part
	displaceDivisor       = 4    // of the time to its aim, after which a request that waits is not sent elsewhere any more
	increaseAfterFactor   = 2    // answers, as a multiple of what is handed over, after which one more is tried
	unmeasuredQueueFactor = 2    // requests that may wait for each that runs, while it is not known how long they take
	shortRequestFactor    = 2    // a request is short that takes this part of the mean
	priorityFactor        = 2    // a rank is worth this many times the one below it
	fractionWindowFactor  = 32   // the mean, over which it is reckoned whose the worker's time is
	maxPrecedingFraction  = 0.95 // of its time that those who go first are reckoned with at the most
	maxWaitNumerator      = 3    // parts of the time left, out of the next number, that a request waits at the most
	maxWaitDenominator    = 8
	maxRoutes             = 1024
)

// NewWorkerQueue hands over at most so many at once.
func NewWorkerQueue(maxRunning, slots int) *WorkerQueue {
	return &WorkerQueue{maxRunning: maxRunning, slots: slots, byRoute: map[string]*serviceTimeEstimate{}}
}

// withUplink has the answers leave by a link.
func (q *WorkerQueue) withUplink(uplink *Uplink) *WorkerQueue {
	q.uplink = uplink
	return q
}

// limit is how many are handed over at once.
func (q *WorkerQueue) limit() int {
	limit := q.maxRunning
	if q.slots > 0 {
		limit = min(limit, q.slots+1+q.slots/overlapDivisor)
	}
	if q.reducedLimit > 0 {
		limit = min(limit, q.reducedLimit)
	}
	// More answers than the link carries away would only wait there, where none goes before another.
	if q.answerTransferTime > 0 && q.overall.known {
		limit = min(limit, 1+int(q.uplinkBacklogTarget()/q.answerTransferTime))
	}
	return max(1, limit)
}

// uplinkBacklogTarget is how much of the link's time answers that are under way may take: what keeps it busy
// while the next ones are worked on.
func (q *WorkerQueue) uplinkBacklogTarget() time.Duration {
	return q.overall.mean + q.overall.mean/overlapDivisor
}

// hasCapacity tells whether one more may be handed over. What is on the link already leaves so much less
// for answers; but one is always under way, whose end gives the next their turn.
func (q *WorkerQueue) hasCapacity() bool {
	switch {
	case q.running == 0:
		return true
	case q.running >= q.limit():
		return false
	}
	return q.answerTransferTime == 0 || q.uplink.Backlog()+time.Duration(q.running)*q.answerTransferTime <= q.uplinkBacklogTarget()
}

// expectedWait is how long a request has to wait before which there is so much work. A worker that is
// full and ends nothing may go on so for as long as it has already.
func (q *WorkerQueue) expectedWait(now, workAhead time.Duration) time.Duration {
	return max((q.overall.mean+workAhead)/time.Duration(q.limit()), now-q.lastProgressAt)
}

// expectedWaitBehind is how long a request has to wait that goes behind so much work, and behind whoever
// comes meanwhile and goes first.
func (q *WorkerQueue) expectedWaitBehind(now time.Duration, queued *QueuedRequest, workAhead time.Duration) time.Duration {
	precedingFraction, cost := 0.0, queued.cost()
	for route, estimate := range q.byRoute {
		if route != queued.request.Route && priorityCost(estimate.mean, estimate.priority) < cost {
			precedingFraction += estimate.timeFractionAt(now, fractionWindowFactor*q.overall.mean)
		}
	}
	return time.Duration(float64(q.expectedWait(now, workAhead)) / (1 - min(precedingFraction, maxPrecedingFraction)))
}

// answerBy is when a request should be answered.
func (r *AdmissionRequest) answerBy() time.Duration {
	if r.TargetAt != 0 {
		return min(r.TargetAt, r.Deadline)
	}
	return r.Deadline
}

// lateness is how much too late a request would be answered that had to wait so long. What is short
// by the measure of the others is better served late: little room is won by turning it away.
func (q *WorkerQueue) lateness(now time.Duration, queued *QueuedRequest, wait time.Duration) time.Duration {
	answerBy := queued.request.answerBy()
	if queued.serviceTime*shortRequestFactor <= q.overall.mean {
		answerBy = queued.request.Deadline
	}
	return now + wait + queued.serviceTime + queued.deviation + q.uplink.Backlog() - answerBy
}

// Admit gives a request its turn, lets it wait, or refuses it.
func (q *WorkerQueue) Admit(now time.Duration, request AdmissionRequest) (Admission, *QueuedRequest) {
	q.lock.Lock()
	defer q.lock.Unlock()
	switch {
	case q.closedReason != "":
		return Admission{Refusal: q.closedReason}, nil
	case now >= request.Deadline:
		return Admission{Refusal: errs.DeadlineExceeded}, nil
	case q.hasCapacity() && len(q.waiting) == 0:
		q.running, q.lastProgressAt = q.running+1, now
		return Admission{}, nil
	}
	queued := &QueuedRequest{request: request, arrivedAt: now}
	queued.serviceTime, queued.deviation = q.expectedServiceTime(request.Route)
	if estimate := q.byRoute[request.Route]; estimate != nil {
		estimate.priority = request.Priority
	}
	queued.latestStart = request.answerBy() - (queued.serviceTime + queued.deviation)
	position, workAhead := 0, time.Duration(0)
	for position < len(q.waiting) && q.waiting[position].goesBefore(queued) {
		workAhead += q.waiting[position].serviceTime
		position++
	}
	if !q.overall.known {
		if q.slots == 0 || position >= unmeasuredQueueFactor*q.limit() {
			return Admission{Refusal: errs.QueueFull}, nil
		}
	} else if lateness := q.lateness(now, queued, q.expectedWaitBehind(now, queued, workAhead)); lateness > 0 || q.slots == 0 {
		return Admission{Refusal: errs.QueueFull, RetryAfter: max(lateness, q.expectedWait(now, 0))}, nil
	}
	queued.Admission = make(chan Admission, 1)
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[position+1:], q.waiting[position:])
	q.waiting[position] = queued
	q.displace(now, position+1, workAhead+queued.serviceTime)
	return Admission{}, queued
}

// displace refuses those from a place on that now would come too late, for as long as they can
// well go elsewhere: who has waited long is better served late than not at all.
func (q *WorkerQueue) displace(now time.Duration, from int, workAhead time.Duration) {
	retained := q.waiting[:from]
	for _, queued := range q.waiting[from:] {
		lateness := q.lateness(now, queued, q.expectedWaitBehind(now, queued, workAhead))
		if lateness > 0 && now-queued.arrivedAt <= (queued.request.answerBy()-queued.arrivedAt)/displaceDivisor {
			queued.Admission <- Admission{Refusal: errs.QueueFull, RetryAfter: max(lateness, q.expectedWait(now, 0))}
			continue
		}
		retained, workAhead = append(retained, queued), workAhead+queued.serviceTime
	}
	clear(q.waiting[len(retained):])
	q.waiting = retained
}

// Remove takes out a request that need not wait any more. False if it was told meanwhile: then
// what it was told waits for it.
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

// Wait waits for a request's turn, but not for so much of the time left that nobody else could
// do anything with the rest.
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

// RunResult is what became of a request that had its turn.
type RunResult int

// The results that count.
const (
	ResultNotRun   RunResult = iota // it was not handed over, or not to its end
	ResultAnswered                  // it ran to its end
	ResultRejected                  // the worker turned it away
	ResultFailed                    // it ran, and its answer is a failure
)

// Release notes that a request which had its turn is over, and gives the next ones theirs.
func (q *WorkerQueue) Release(now time.Duration, route string, result RunResult, took time.Duration) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.running, q.lastProgressAt = q.running-1, now
	switch result {
	case ResultAnswered, ResultFailed:
		// A quick failure says nothing of how long calls take: by it, who fails would look the quickest.
		if mean, _ := q.expectedServiceTime(route); result == ResultAnswered || took >= mean {
			q.recordServiceTime(now, route, took)
		}
		// After it turned something away, the worker gets one more at a time until it is full again.
		if q.answersSinceReduced++; q.reducedLimit > 0 && q.answersSinceReduced >= increaseAfterFactor*q.reducedLimit {
			q.answersSinceReduced = 0
			if q.reducedLimit++; q.reducedLimit > q.slots {
				q.reducedLimit = 0
			}
		}
	case ResultRejected:
		q.reducedLimit, q.answersSinceReduced = max(1, q.running), 0
	}
	q.admitNext(now)
}

// RecordAnswerSize notes how many bytes an answer had.
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

// admitNext gives turns as far as there is room.
func (q *WorkerQueue) admitNext(now time.Duration) {
	for len(q.waiting) > 0 && q.hasCapacity() {
		first := q.waiting[0]
		q.waiting[0] = nil
		q.waiting = q.waiting[1:]
		if now >= first.request.Deadline {
			first.Admission <- Admission{Refusal: errs.DeadlineExceeded}
			continue
		}
		q.running, q.lastProgressAt = q.running+1, now
		first.Admission <- Admission{}
	}
}

// Close refuses all that waits and all that comes; what was handed over goes on to its end.
func (q *WorkerQueue) Close(reason errs.Code) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.closedReason = reason
	for _, queued := range q.waiting {
		queued.Admission <- Admission{Refusal: reason}
	}
	q.waiting = nil
}

// SetSlots takes note of how many requests the worker works on at once.
func (q *WorkerQueue) SetSlots(now time.Duration, slots int) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.slots = slots
	q.admitNext(now)
}

// ServiceTime is how long the worker takes for a request, of late; 0 for not known.
func (q *WorkerQueue) ServiceTime() time.Duration {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.overall.mean
}

// Load is how much the worker has at hand, how much waits for it, and how many it works on at once.
func (q *WorkerQueue) Load() (running, waiting, slots uint32) {
	q.lock.Lock()
	defer q.lock.Unlock()
	return uint32(q.running), uint32(len(q.waiting)), uint32(min(q.slots, q.limit()))
}
