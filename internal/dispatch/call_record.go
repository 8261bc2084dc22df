package dispatch

import (
	"math"
	"time"
)

// callRecord counts the recent calls to a worker and how many of them failed. Both counts decay exponentially, to 1/e
// in each window, so that a worker that has failed gets its calls back gradually. It is guarded by the workerState's
// lock.
type callRecord struct {
	calls, failed float64       // decayed up to updatedAt
	updatedAt     time.Duration // time of the last change, on the process clock
}

// decayed returns both counts, decayed up to now. Without calls it returns zeros.
func (r *callRecord) decayed(now, window time.Duration) (calls, failed float64) {
	if now <= r.updatedAt || r.calls == 0 {
		return r.calls, r.failed
	}
	decay := math.Exp(-float64(now-r.updatedAt) / float64(window))
	return r.calls * decay, r.failed * decay
}

// add counts a call that ended at now.
func (r *callRecord) add(now, window time.Duration, failed bool) {
	r.calls, r.failed = r.decayed(now, window)
	r.updatedAt = max(r.updatedAt, now)
	if r.calls++; failed {
		r.failed++
	}
}
