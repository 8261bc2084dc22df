package dispatch

import (
	"sync"
	"time"
)

// reservationDivisor sets how long an admission is reserved after a capacity check: for 1/reservationDivisor of the time
// left.
const reservationDivisor = 16

// reservedAdmissions holds the admissions that were granted to capacity checks, for the requests that follow the
// checks.
type reservedAdmissions struct {
	lock      sync.Mutex                    // guards byRequest; held while an admission is released to its WorkerQueue
	byRequest map[string]*reservedAdmission // keyed by request id
}

// reservedAdmission is an admission by a worker's queue that its request has not used yet.
type reservedAdmission struct {
	queue *WorkerQueue         // queue that granted the admission
	now   func() time.Duration // returns the process clock
	timer *time.Timer          // releases the admission if the request does not arrive
}

// release returns the admission to the queue, which admits the next request.
func (r *reservedAdmission) release() { r.queue.Release(r.now(), "", ResultNoAnswer, 0) }

// reserve reserves an admission that the queue has granted for a request id. It is released after lifetime unless take
// is called for it first.
func (r *reservedAdmissions) reserve(request string, queue *WorkerQueue, now func() time.Duration, lifetime time.Duration) {
	reservation := &reservedAdmission{queue: queue, now: now}
	r.lock.Lock()
	defer r.lock.Unlock()
	// A capacity check that was delivered twice was admitted twice, but its request needs only one admission.
	if earlier := r.byRequest[request]; earlier != nil {
		earlier.timer.Stop()
		earlier.release()
	}
	r.byRequest[request] = reservation
	reservation.timer = time.AfterFunc(lifetime, func() {
		r.lock.Lock()
		defer r.lock.Unlock()
		if r.byRequest[request] == reservation {
			delete(r.byRequest, request)
			reservation.release()
		}
	})
}

// take removes the admission that is reserved for a request id, and reports whether it is an admission by the given
// queue. If so, the caller must release it to the queue.
func (r *reservedAdmissions) take(request string, queue *WorkerQueue) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	reservation := r.byRequest[request]
	if reservation == nil {
		return false
	}
	reservation.timer.Stop()
	delete(r.byRequest, request)
	// The admission was reserved in the queue of a worker that has been replaced meanwhile.
	if reservation.queue != queue {
		reservation.release()
		return false
	}
	return true
}
