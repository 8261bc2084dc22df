package plan

import (
	"time"

	"meadowhinge/schema"
)

// DirectoryOf folds sources into a directory; since tells when each worker was first known, and
// told when a source was heard.
func DirectoryOf(sources []*schema.Source, since, told func(name string) time.Duration) Directory {
	directory := Directory{}
	for _, source := range sources {
		for _, worker := range source.Workers {
			if worker.Leaving || worker.Gone {
				continue
			}
			byVersion := directory[worker.Service]
			if byVersion == nil {
				byVersion = map[string][]Candidate{}
				directory[worker.Service] = byVersion
			}
			candidate := Candidate{Instance: worker.Instance, Proxy: source.Name, Address: source.Address, Area: worker.Area, Load: worker.Load,
				Slots: int(worker.Slots), Running: int(worker.Running), Waiting: int(worker.Waiting), Pace: time.Duration(worker.PaceNanos)}
			if since != nil {
				candidate.Since = since(worker.Instance)
			}
			if told != nil {
				candidate.Told = told(source.Name)
				candidate.Warm = candidate.Told + time.Duration(worker.WarmNanos)
			}
			byVersion[worker.Version] = append(byVersion[worker.Version], candidate)
		}
	}
	return directory
}
