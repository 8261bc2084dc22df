package dispatch

import (
	"math"
	"time"
)

// callRecord counts the recent calls of a worker and how many of them failed. Both counts decay to 1/e in a window, so
// that a worker that has failed gets its calls back gradually. The lock of the workerState guards it.
type callRecord struct {
	calls, failed float64
	updatedAt     time.Duration // as of when the counts are
}

// decayed returns both counts as of a moment.
func (r *callRecord) decayed(now, window time.Duration) (calls, failed float64) {
	if now <= r.updatedAt || r.calls == 0 {
		return r.calls, r.failed
	}
	decay := math.Exp(-float64(now-r.updatedAt) / float64(window))
	return r.calls * decay, r.failed * decay
}

// add counts a call.
func (r *callRecord) add(now, window time.Duration, failed bool) {
	r.calls, r.failed = r.decayed(now, window)
	r.updatedAt = max(r.updatedAt, now)
	if r.calls++; failed {
		r.failed++
	}
}
