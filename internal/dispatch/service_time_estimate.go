package dispatch

import (
	"math"
	"time"
)

// serviceTimeEstimate is how long requests take, of late, and which part of the worker's time is theirs.
type serviceTimeEstimate struct {
	mean         time.Duration
	deviation    time.Duration // how far from the mean they commonly are
	known        bool
	priority     uint32
	timeFraction float64
	updatedAt    time.Duration // as of when
}

// timeFractionAt is the part of the worker's time at a moment; it fades over a span.
func (e *serviceTimeEstimate) timeFractionAt(now, window time.Duration) float64 {
	if window <= 0 || now <= e.updatedAt {
		return e.timeFraction
	}
	return e.timeFraction * math.Exp(-float64(now-e.updatedAt)/float64(window))
}

// expectedServiceTime is how long a request of a route takes, and by how much it may well be longer.
func (q *WorkerQueue) expectedServiceTime(route string) (mean, deviation time.Duration) {
	if estimate := q.byRoute[route]; estimate != nil {
		return estimate.mean, estimate.deviation
	}
	return q.overall.mean, q.overall.deviation
}

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
	routeEstimate.timeFraction, routeEstimate.updatedAt = routeEstimate.timeFractionAt(now, window)+float64(took)/float64(q.limit())/float64(window), now
}
