package dispatch

import (
	"math"
	"time"
)

// serviceTimeEstimate holds the estimated service time of a route's requests, or of all requests, and the fraction of
// the worker's time that the route uses. The lock of the WorkerQueue guards it.
type serviceTimeEstimate struct {
	mean         time.Duration // moving mean of the service time
	deviation    time.Duration // moving mean of the absolute deviation from mean
	known        bool          // set once a request has been measured
	priority     uint32        // priority of the route's last request
	timeFraction float64       // fraction of the worker's time that the route uses, decayed up to updatedAt
	updatedAt    time.Duration // last update of timeFraction, on the process clock
}

// timeFractionAt returns the fraction of the worker's time that the route uses, decayed up to now. It decays
// exponentially, to 1/e in each window.
func (e *serviceTimeEstimate) timeFractionAt(now, window time.Duration) float64 {
	if window <= 0 || now <= e.updatedAt {
		return e.timeFraction
	}
	return e.timeFraction * math.Exp(-float64(now-e.updatedAt)/float64(window))
}

// expectedServiceTime returns the estimated service time of a route's requests and its mean deviation. For a route that
// was not measured yet it returns the estimate of all requests. The caller holds the lock.
func (q *WorkerQueue) expectedServiceTime(route string) (mean, deviation time.Duration) {
	if estimate := q.byRoute[route]; estimate != nil {
		return estimate.mean, estimate.deviation
	}
	return q.overall.mean, q.overall.deviation
}

// recordServiceTime updates the estimates with the service time of a request that ended at now. Once maxRoutes routes
// have estimates, it drops those of all routes first. The caller holds the lock.
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
