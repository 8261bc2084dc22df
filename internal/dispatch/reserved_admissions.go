package dispatch

import (
	"sync"
	"time"
)

// reservationDivisor is the part of the time left for which an admission is reserved after a capacity check.
const reservationDivisor = 16

// reservedAdmissions are admissions that were granted to capacity checks, for the requests that follow them.
type reservedAdmissions struct {
	lock      sync.Mutex                    // guards byRequest; held while an admission is released to its WorkerQueue
	byRequest map[string]*reservedAdmission // by request id
}

// reservedAdmission is an admission of a worker's queue that a request has yet to use.
type reservedAdmission struct {
	queue *WorkerQueue
	now   func() time.Duration
	timer *time.Timer // releases the admission if the request does not arrive
}

// release returns the admission to the queue, which admits the next request.
func (r *reservedAdmission) release() { r.queue.Release(r.now(), "", ResultNotRun, 0) }

// reserve reserves an admission, which the queue has granted already, for a request.
func (r *reservedAdmissions) reserve(request string, queue *WorkerQueue, now func() time.Duration, lifetime time.Duration) {
	reservation := &reservedAdmission{queue: queue, now: now}
	r.lock.Lock()
	defer r.lock.Unlock()
	// A capacity check that arrived twice was admitted twice; one admission is enough.
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

// take reports whether an admission of the queue is reserved for a request, and passes it to the caller.
func (r *reservedAdmissions) take(request string, queue *WorkerQueue) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	reservation := r.byRequest[request]
	if reservation == nil {
		return false
	}
	reservation.timer.Stop()
	delete(r.byRequest, request)
	// It was reserved at a worker that has been replaced meanwhile.
	if reservation.queue != queue {
		reservation.release()
		return false
	}
	return true
}
