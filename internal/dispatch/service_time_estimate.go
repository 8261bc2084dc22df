package dispatch

import (
	"math"
	"time"
)

// serviceTimeEstimate is how long requests take, and which part of the worker's time they use. The lock of the
// WorkerQueue guards it.
type serviceTimeEstimate struct {
	mean         time.Duration // moving mean
	deviation    time.Duration // moving mean of the distance from it
	known        bool          // at least one request was measured
	priority     uint32        // of the route's last request
	timeFraction float64       // of the worker's time, as of updatedAt
	updatedAt    time.Duration
}

// timeFractionAt returns the part of the worker's time at a moment. It decays to 1/e in a window.
func (e *serviceTimeEstimate) timeFractionAt(now, window time.Duration) float64 {
	if window <= 0 || now <= e.updatedAt {
		return e.timeFraction
	}
	return e.timeFraction * math.Exp(-float64(now-e.updatedAt)/float64(window))
}

// expectedServiceTime returns how long a request of a route takes, and by how much it may well take longer. The caller
// holds the lock.
func (q *WorkerQueue) expectedServiceTime(route string) (mean, deviation time.Duration) {
	if estimate := q.byRoute[route]; estimate != nil {
		return estimate.mean, estimate.deviation
	}
	return q.overall.mean, q.overall.deviation
}

// recordServiceTime updates the estimates with a request that has run. The caller holds the lock.
func (q *WorkerQueue) recordServiceTime(now time.Duration, route string, took time.Duration) {
	if len(q.byRoute) >= maxRoutes {
		clear(q.byRoute)
	}
	routeEstimate := q.byRoute[route]
	if routeEstimate == nil {
		routeEstimate = &serviceTimeEstimate{}
		q.byRoute[route] = routeEstimate
	}
	for _, estimate := range []*serviceTimeEstimate{&q.overall, routeEstimate} {
		if !estimate.known {
			estimate.mean, estimate.known = took, true
		}
		estimate.deviation += ((took - estimate.mean).Abs() - estimate.deviation) / averagingDivisor
		estimate.mean += (took - estimate.mean) / averagingDivisor
	}
	window := fractionWindowFactor * q.overall.mean
	routeEstimate.timeFraction = routeEstimate.timeFractionAt(now, window) + float64(took)/float64(q.limit())/float64(window)
	routeEstimate.updatedAt = now
}
