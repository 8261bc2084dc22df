package plan

import "time"

// Endpoint is a worker that may get a call, as the directory lists it. Times are on the clock of this process.
type Endpoint struct {
	Instance       string        // id of the worker's registration
	Proxy          string        // name of the proxy beside the worker
	Address        string        // address of the proxy beside the worker
	Zone           string        // zone of the worker
	Load           float64       // additional load that the worker reports; 1 doubles the expected time; used if Slots is 0
	FirstSeenAt    time.Duration // time at which this process first knew the worker
	Slots          int           // concurrency limit of the worker, 0 if not reported
	ActiveRequests int           // requests that the worker was processing at ReportedAt
	QueuedRequests int           // requests queued at the worker or at its proxy at ReportedAt
	ServiceTime    time.Duration // moving mean of the worker's processing time per request, 0 if not reported
	ReportedAt     time.Duration // time at which the proxy reported Slots, ActiveRequests, QueuedRequests and ServiceTime; 0 if unknown
	WarmUntil      time.Duration // end of the slow start that the worker reported
}

// EndpointStats holds a process's own observations of a worker, besides the directory. Package dispatch fills it in.
type EndpointStats struct {
	InFlight       int           // calls of this process in flight at the worker
	OtherInFlight  float64       // estimated calls of other processes in flight at the worker
	Slots          int           // concurrency limit of the worker, 0 if unknown
	ServiceTime    time.Duration // processing time of a request, without queueing, 0 if unknown
	RecentCalls    float64       // exponentially decaying count of the worker's calls
	RecentFailures float64       // exponentially decaying count of the worker's failed calls
	AtCapacity     bool          // the worker recently refused a call for lack of capacity
	// Ejected says that the worker failed too often in a row, has calls in flight but sent no response for too long,
	// or is unreachable.
	Ejected     bool
	Unreachable bool // the worker's proxy recently could not be reached, or does not know the worker any more
}

// LocalState provides a process's own observations of workers and versions, besides the View. Implementations must be
// safe for concurrent use.
type LocalState interface {
	// Stats returns the statistics of a worker at the time now.
	Stats(worker *Endpoint, now time.Duration) EndpointStats
	// VersionBlocked reports whether a version other than the fallback must not be used at the time now.
	VersionBlocked(service, version string, now time.Duration) bool
}
