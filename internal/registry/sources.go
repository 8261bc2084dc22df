package registry

import (
	"slices"
	"sort"
	"time"

	"meadowhinge/schema"
)

// sourceEntry is the newest update of one source: a proxy with its workers.
type sourceEntry struct {
	source         *schema.Source
	receivedAt     time.Duration
	updateSequence uint64 // this registry's own number of the update; greater than that of any update received before
	// proxyUpdateSequence is updateSequence, or that of an earlier update if nothing has changed since that matters to other
	// proxies. Sessions of proxies go by it, sessions of registries by updateSequence.
	proxyUpdateSequence uint64
}

// isNewerVersion tells whether version a of a source is newer than version b: by incarnation, then by counter; of equal ones, an
// ended source is newer. A nil version is older than any.
func isNewerVersion(a, b *schema.SourceVersion) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	if a.GetCounter() != b.GetCounter() {
		return a.GetCounter() > b.GetCounter()
	}
	return a.GetEnded() && !b.GetEnded()
}

// MergeSource stores an update of a source if it is newer than the stored one, and tells whether it was. Neither the caller nor the
// state changes a source after it is stored: sessions send it without the lock.
func (f *FleetState) MergeSource(now time.Duration, source *schema.Source) bool {
	if source == nil || source.Version == nil {
		return false
	}
	if source.IncarnationOnly {
		return f.mergeIncarnationOnly(now, source)
	}
	existing := f.sources[source.Name]
	if existing != nil && !isNewerVersion(source.Version, existing.source.Version) {
		return false
	}
	if existing == nil && len(f.sources) >= f.options.MaxSources && !f.evictEndedSource() {
		return false
	}
	f.storeSource(now, source)
	return true
}

// evictEndedSource makes room for another source: it drops the ended source whose update is the oldest; false if none has ended.
func (f *FleetState) evictEndedSource() bool {
	oldest := ""
	for name, entry := range f.sources {
		if entry.source.Version.GetEnded() && (oldest == "" || entry.updateSequence < f.sources[oldest].updateSequence) {
			oldest = name
		}
	}
	delete(f.sources, oldest)
	return oldest != ""
}

// storeSource stores an update of a source and appends it to the update log.
func (f *FleetState) storeSource(now time.Duration, source *schema.Source) {
	f.directory.lastSequence++
	stored := &sourceEntry{
		source:              source,
		receivedAt:          now,
		updateSequence:      f.directory.lastSequence,
		proxyUpdateSequence: f.directory.lastSequence,
	}
	// A proxy that only moved to another registry has nothing new for other proxies.
	if existing := f.sources[source.Name]; existing != nil && sameContent(existing.source, source) {
		stored.proxyUpdateSequence = existing.proxyUpdateSequence
	}
	f.sources[source.Name] = stored
	f.appendUpdate(source.Name, stored.updateSequence)
	incarnationOnly := f.directory.incarnationOnly[source.Name]
	if incarnationOnly != nil && !isNewerVersion(incarnationOnly.source.Version, source.Version) {
		delete(f.directory.incarnationOnly, source.Name)
	}
}

// sameContent tells whether two updates of one incarnation are the same to other proxies. Workers' loads are left out: proxies
// learn them from the responses of calls.
func sameContent(a, b *schema.Source) bool {
	if a.Version.GetIncarnation() != b.Version.GetIncarnation() || a.Version.GetEnded() || b.Version.GetEnded() {
		return false
	}
	if a.ShuttingDown != b.ShuttingDown || a.Address != b.Address || a.Zone != b.Zone {
		return false
	}
	return slices.EqualFunc(a.Workers, b.Workers, func(a, b *schema.Worker) bool {
		return a.Instance == b.Instance && a.Service == b.Service && a.Version == b.Version && a.Zone == b.Zone &&
			a.Draining == b.Draining && a.Terminated == b.Terminated && a.Slots == b.Slots
	})
}

// SourcesNewerThan lists, by name, the sources that a node with this version vector lacks.
func (f *FleetState) SourcesNewerThan(now time.Duration, vector map[string]*schema.SourceVersion) []*schema.Source {
	f.sweep(now)
	var newer []*schema.Source
	for name, entry := range f.sources {
		if isNewerVersion(entry.source.Version, vector[name]) {
			newer = append(newer, entry.source)
		}
	}
	sort.Slice(newer, func(i, j int) bool { return newer[i].Name < newer[j].Name })
	return newer
}

// Vector is the version of each source that this registry has.
func (f *FleetState) Vector() map[string]*schema.SourceVersion {
	vector := map[string]*schema.SourceVersion{}
	for name, entry := range f.sources {
		vector[name] = entry.source.Version
	}
	// Of a source known by its incarnation only, there is no update of that incarnation: its counter is zero.
	for name, entry := range f.directory.incarnationOnly {
		observed := &schema.SourceVersion{Incarnation: entry.source.Version.Incarnation}
		if isNewerVersion(observed, vector[name]) {
			vector[name] = observed
		}
	}
	return vector
}

// LiveProxies counts the proxies that have a session with any registry, or reported here within a lease. All sessions ask for
// it at each update, so the result is kept until an update or the next sweep is due.
func (f *FleetState) LiveProxies(now time.Duration) int {
	directory := &f.directory
	outdated := directory.countedSequence != directory.lastSequence
	if outdated || now-directory.countedAt >= f.options.Lease/sweepDivisor {
		directory.liveProxies = f.countLiveProxies(now)
		directory.countedSequence = directory.lastSequence
		directory.countedAt = now
	}
	return directory.liveProxies
}

func (f *FleetState) countLiveProxies(now time.Duration) int {
	count := 0
	for _, entry := range f.sources {
		hasHomeRegistry := entry.source.HomeRegistry != ""
		reportedRecently := !hasHomeRegistry && now-entry.receivedAt <= f.options.Lease
		inSession := hasHomeRegistry && !entry.source.Version.GetEnded()
		if reportedRecently || inSession {
			count++
		}
	}
	return count
}

// ReportedWorkers lists the workers of a proxy's last report that neither drain nor have terminated; none if the proxy shut down
// gracefully. A proxy that was killed and starts again needs them: its workers go on, and contact it only at their next
// heartbeat.
func (f *FleetState) ReportedWorkers(name string) []*schema.Worker {
	entry := f.sources[name]
	if entry == nil || entry.source.ShuttingDown {
		return nil
	}
	var staying []*schema.Worker
	for _, worker := range entry.source.Workers {
		if isStaying(worker) {
			staying = append(staying, worker)
		}
	}
	return staying
}
