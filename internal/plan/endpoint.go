package plan

import "time"

// Endpoint is a worker that may get a call, as the directory lists it. Times are on the clock of this process.
type Endpoint struct {
	Instance    string        // the registration's id
	Proxy       string        // name of the proxy beside the worker
	Address     string        // of that proxy
	Zone        string        // of the worker
	Load        float64       // additional load that the worker reports, by which one without slots gets fewer calls
	FirstSeenAt time.Duration // when the worker was first known here
	Slots       int           // requests that the worker works on at once, 0 for not reported
	Running     int           // requests that it worked on at ReportedAt
	Waiting     int           // requests that waited for it at ReportedAt, at the worker or at its proxy
	ServiceTime time.Duration // moving mean of the time that it takes for a request, 0 for not reported
	ReportedAt  time.Duration // when its proxy reported Slots, Running, Waiting and ServiceTime
	WarmUntil   time.Duration // until when the worker is in its slow start
}

// EndpointStats is what a process knows of a worker besides the directory. Package dispatch fills it in.
type EndpointStats struct {
	InFlight       int           // calls of this process at the worker
	OtherInFlight  float64       // estimated calls of other processes there
	Slots          int           // requests that the worker works on at once, 0 for not known
	ServiceTime    time.Duration // what the worker takes for a request once it runs, 0 for not known
	RecentCalls    float64       // decaying count of the worker's calls
	RecentFailures float64       // decaying count of those that failed
	Full           bool          // it recently refused a call for lack of capacity
	Ejected        bool          // it failed too often in a row, owes responses, or is unreachable
	Unreachable    bool          // its proxy was recently not reached, or does not know the worker any more
}

// LocalState is what a process knows of workers and versions besides its view. It is called concurrently.
type LocalState interface {
	// Stats returns what is known of a worker as of now.
	Stats(worker *Endpoint, now time.Duration) EndpointStats
	// VersionBlocked reports whether a version other than the fallback must not be used now.
	VersionBlocked(service, version string, now time.Duration) bool
}
