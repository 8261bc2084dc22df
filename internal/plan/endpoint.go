package plan

import (
	"time"
)

// Endpoint is a worker that may get a call.
type Endpoint struct {
	Instance    string
	Proxy       string
	Address     string // of the worker's proxy
	Zone        string
	Load        float64
	FirstSeenAt time.Duration // when it was first known, on this process's clock
	Slots       int           // requests that it works on at once, 0 for not told
	Running     int           // requests that it worked on when it was last told of
	Waiting     int           // and that waited, at it or at its proxy
	ServiceTime time.Duration // moving mean of what it takes for a request, 0 for not told
	ReportedAt  time.Duration // when that was told, on this process's clock
	WarmUntil   time.Duration // until when it is slow after its start, on this process's clock
}

// EndpointStats is what a process knows of a worker beyond the directory.
type EndpointStats struct {
	InFlight       int           // calls that it has there now
	OtherInFlight  float64       // calls of others there, by its best guess
	Slots          int           // requests that the worker works on at once, 0 for not known
	ServiceTime    time.Duration // what the worker takes for a request once it has it, 0 for not known
	RecentCalls    float64       // of late, through this process
	RecentFailures float64       // of these
	Full           bool          // it was refused for want of room a moment ago
	Ejected        bool          // it failed too often in a row, or its proxy could not be reached
	Unreachable    bool          // its proxy gave no answer of late
}

// LocalState are what a process knows of workers beyond the directory.
type LocalState interface {
	Stats(worker *Endpoint, now time.Duration) EndpointStats
	// VersionBlocked tells whether a version other than the fallback must not be used now.
	VersionBlocked(service, version string, now time.Duration) bool
}
