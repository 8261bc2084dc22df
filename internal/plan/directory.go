package plan

import (
	"time"

	"meadowhinge/schema"
)

// DirectoryOf folds sources into a directory; since tells when each worker was first known, and
// told when a source was heard.
func DirectoryOf(sources []*schema.Source, firstSeenAt, reportedAt func(name string) time.Duration) Directory {
	directory := Directory{}
	for _, source := range sources {
		for _, worker := range source.Workers {
			if worker.Draining || worker.Terminated {
				continue
			}
			byVersion := directory[worker.Service]
			if byVersion == nil {
				byVersion = map[string][]Endpoint{}
				directory[worker.Service] = byVersion
			}
			endpoint := Endpoint{Instance: worker.Instance, Proxy: source.Name, Address: source.Address, Zone: worker.Zone, Load: worker.Load,
				Slots: int(worker.Slots), Running: int(worker.Running), Waiting: int(worker.Queued), ServiceTime: time.Duration(worker.ServiceTimeNanos)}
			if firstSeenAt != nil {
				endpoint.FirstSeenAt = firstSeenAt(worker.Instance)
			}
			if reportedAt != nil {
				endpoint.ReportedAt = reportedAt(source.Name)
				endpoint.WarmUntil = endpoint.ReportedAt + time.Duration(worker.WarmupLeftNanos)
			}
			byVersion[worker.Version] = append(byVersion[worker.Version], endpoint)
		}
	}
	return directory
}

// Directory lists workers by service and version.
type Directory map[string]map[string][]Endpoint
