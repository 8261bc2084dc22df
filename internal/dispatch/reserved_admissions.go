package dispatch

import (
	"sync"
	"time"
)

// reservationDivisor is the part of the time left for which a turn is kept for a request that was enquired for.
const reservationDivisor = 16

// reservedAdmissions are kept for requests that were enquired for and are on their way.
type reservedAdmissions struct {
	lock      sync.Mutex
	byRequest map[string]*reservedAdmission
}

type reservedAdmission struct {
	queue *WorkerQueue
	now   func() time.Duration
	timer *time.Timer
}

// release gives the turn to who waits.
func (r *reservedAdmission) release() { r.queue.Release(r.now(), "", ResultNotRun, 0) }

// reserve keeps a turn at a buffer for a request, for a time.
func (r *reservedAdmissions) reserve(request string, queue *WorkerQueue, now func() time.Duration, lifetime time.Duration) {
	reservation := &reservedAdmission{queue: queue, now: now}
	r.lock.Lock()
	defer r.lock.Unlock()
	// An enquiry that came twice waited twice; one turn is enough.
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

// take tells whether a turn at a buffer is kept for a request, and hands it over.
func (r *reservedAdmissions) take(request string, queue *WorkerQueue) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	reservation := r.byRequest[request]
	if reservation == nil {
		return false
	}
	reservation.timer.Stop()
	delete(r.byRequest, request)
	// It was kept at a worker that has been replaced meanwhile.
	if reservation.queue != queue {
		reservation.release()
		return false
	}
	return true
}
