package plan

import (
	"time"

	"meadowhinge/schema"
)

// Directory lists the workers that may get calls, by service and version. It is immutable once it is part of a View.
type Directory map[string]map[string][]Endpoint

// NewDirectory returns the directory of the workers that proxies report, without those that are draining or terminated.
// firstSeenAt returns when the worker with the given instance id was first known. reportedAt returns when the proxy with
// the given name last reported. Both return times on the clock of this process. Either may be nil, which leaves the
// times that depend on it zero.
func NewDirectory(sources []*schema.Source, firstSeenAt, reportedAt func(name string) time.Duration) Directory {
	directory := Directory{}
	for _, source := range sources {
		for _, worker := range source.Workers {
			if worker.Draining || worker.Terminated {
				continue
			}
			endpoint := newEndpoint(source, worker)
			if firstSeenAt != nil {
				endpoint.FirstSeenAt = firstSeenAt(worker.Instance)
			}
			if reportedAt != nil {
				endpoint.ReportedAt = reportedAt(source.Name)
				endpoint.WarmUntil = endpoint.ReportedAt + time.Duration(worker.WarmupLeftNanos)
			}
			byVersion := directory[worker.Service]
			if byVersion == nil {
				byVersion = map[string][]Endpoint{}
				directory[worker.Service] = byVersion
			}
			byVersion[worker.Version] = append(byVersion[worker.Version], endpoint)
		}
	}
	return directory
}

// newEndpoint returns the endpoint of a worker as reported by the proxy beside it, without times on the clock of this
// process.
func newEndpoint(source *schema.Source, worker *schema.Worker) Endpoint {
	return Endpoint{
		Instance:       worker.Instance,
		Proxy:          source.Name,
		Address:        source.Address,
		Zone:           worker.Zone,
		Load:           worker.Load,
		Slots:          int(worker.Slots),
		ActiveRequests: int(worker.Running),
		QueuedRequests: int(worker.Queued),
		ServiceTime:    time.Duration(worker.ServiceTimeNanos),
	}
}
