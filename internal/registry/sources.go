package registry

import (
	"slices"
	"sort"
	"time"

	"meadowhinge/schema"
)

// sourceEntry is the newest update of one source.
type sourceEntry struct {
	source         *schema.Source // immutable
	receivedAt     time.Duration  // when this registry stored the update, counted from its start
	updateSequence uint64         // local sequence of the update; higher than that of every update stored before
	// proxyUpdateSequence is the updateSequence of the last update that changed anything relevant to other proxies.
	// Sessions of proxies use it; sessions of registries use updateSequence.
	proxyUpdateSequence uint64
}

// isNewerVersion reports whether version a of a source is newer than version b. Versions are ordered by incarnation,
// then by counter; if both are equal, an ended source is newer. A nil version compares as zero.
func isNewerVersion(a, b *schema.SourceVersion) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	if a.GetCounter() != b.GetCounter() {
		return a.GetCounter() > b.GetCounter()
	}
	return a.GetEnded() && !b.GetEnded()
}

// MergeSource stores an update of a source if it is newer than the stored one, and reports whether it was stored. If
// MaxSources are listed, a new source replaces the ended source with the oldest update, or is ignored if none has
// ended. The caller must not change the source afterwards, since sessions send it without holding the lock.
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

// evictEndedSource drops the ended source with the oldest update. It returns false if no source has ended.
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

// storeSource stores an update of a source, appends it to the update log, and drops the incarnation-only source of that
// name unless it is newer.
func (f *FleetState) storeSource(now time.Duration, source *schema.Source) {
	f.directory.lastSequence++
	stored := &sourceEntry{
		source:              source,
		receivedAt:          now,
		updateSequence:      f.directory.lastSequence,
		proxyUpdateSequence: f.directory.lastSequence,
	}
	// An update without relevant changes, such as a move to another registry, need not be sent to other proxies.
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

// sameContent reports whether two updates have the same incarnation and are equivalent for other proxies. Updates of
// ended sources never are. Workers' loads are not compared, since proxies learn them from the responses to calls.
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

// SourcesNewerThan returns, sorted by name, the sources that are newer than in a node's version vector. A nil vector
// selects all sources.
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

// Vector returns this registry's version vector: the version of each known source, by name.
func (f *FleetState) Vector() map[string]*schema.SourceVersion {
	vector := map[string]*schema.SourceVersion{}
	for name, entry := range f.sources {
		vector[name] = entry.source.Version
	}
	// No update of an incarnation-only source's incarnation is known, so its counter is zero.
	for name, entry := range f.directory.incarnationOnly {
		observed := &schema.SourceVersion{Incarnation: entry.source.Version.Incarnation}
		if isNewerVersion(observed, vector[name]) {
			vector[name] = observed
		}
	}
	return vector
}

// LiveProxies returns the number of proxies that have a session with any registry, or whose source has no home registry
// and was updated here within a lease. All sessions call it for each update, so the result is cached until the next
// update of a source, at most for a lease divided by sweepDivisor.
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

// countLiveProxies computes the result of LiveProxies.
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

// ReportedWorkers returns the active workers of a proxy's last report; none if the proxy shut down gracefully. A
// proxy that was killed and restarts needs them, since its workers keep running and contact it only at their next
// heartbeat.
func (f *FleetState) ReportedWorkers(name string) []*schema.Worker {
	entry := f.sources[name]
	if entry == nil || entry.source.ShuttingDown {
		return nil
	}
	var active []*schema.Worker
	for _, worker := range entry.source.Workers {
		if isActive(worker) {
			active = append(active, worker)
		}
	}
	return active
}
