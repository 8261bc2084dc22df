package proxy

import (
	"maps"
	"slices"
	"strings"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// Event is what happened: setup or sources arrived.
type Event struct {
	At             time.Duration
	ConfigRevision uint64
	Items          []*schema.Item
	Complete       bool
	Sources        []*schema.Source
	SourceTimeout  time.Duration // drop sources not heard from for this long, if others are
}

type sourceRecord struct {
	source     *schema.Source
	receivedAt time.Duration
}

// MeshState is all that is folded from the journal; readers take its plan view.
type MeshState struct {
	items            config.State
	config           *config.Snapshot
	sources          map[string]sourceRecord
	droppedVersions  map[string]*schema.SourceVersion // of sources dropped as silent: only newer news brings one back
	workers          map[string]workerRecord          // by instance of a worker
	appliedRevisions []appliedRevision

	directory plan.Directory
	view      *plan.View
}

// workerRecord is since when a worker is known, and how many sources list it.
type workerRecord struct {
	firstSeenAt time.Duration
	sourceCount int
}

// appliedRevision tells when a setup was applied, and so when the ones before it went.
type appliedRevision struct {
	revision  uint64
	appliedAt time.Duration
}

// minHeardRatio is the part of the sources that must be heard for the silent rest to be dropped.
const minHeardRatio = 0.8

// maxAppliedRevisions bounds the memory of replacements.
const maxAppliedRevisions = 64

// EmptyMeshState is what a proxy knows at first: nothing.
func EmptyMeshState() MeshState {
	compiled, _ := config.Compile(config.State{}, 0)
	return MeshState{items: config.State{}, config: compiled, sources: map[string]sourceRecord{}, droppedVersions: map[string]*schema.SourceVersion{}, workers: map[string]workerRecord{}, directory: plan.Directory{},
		view: &plan.View{Config: compiled, Directory: plan.Directory{}}}
}

// Fold makes the next picture. An older setup than the one held changes nothing, whoever
// sends it: a node never falls back.
func Fold(before MeshState, event Event) MeshState {
	after := before
	if event.ConfigRevision > before.config.Revision {
		after.items = before.items.Apply(event.Items, event.Complete)
		after.config, _ = config.CompileIncremental(before.config, after.items, event.ConfigRevision)
		after.appliedRevisions = append(append([]appliedRevision(nil), before.appliedRevisions...), appliedRevision{event.ConfigRevision, event.At})
		if len(after.appliedRevisions) > maxAppliedRevisions {
			after.appliedRevisions = after.appliedRevisions[1:]
		}
	}
	if len(event.Sources) > 0 || event.SourceTimeout > 0 {
		after.applySources(before, event)
	}
	after.view = &plan.View{Config: after.config, Directory: after.directory}
	return after
}

// applySources folds what sources told. Only what they told anew is worked out again: in a large
// mesh every change of one proxy's workers comes to all others.
func (m *MeshState) applySources(before MeshState, event Event) {
	m.sources, m.droppedVersions = maps.Clone(before.sources), maps.Clone(before.droppedVersions)
	changed := map[string]bool{} // by source: it is another than before, or gone
	if event.SourceTimeout > 0 {
		m.dropSilentSources(before, event, changed)
	}
	for _, source := range event.Sources {
		// Of a bare source nothing is known but that it was seen.
		if source.IncarnationOnly {
			continue
		}
		existing, found := m.sources[source.Name]
		if (!found && isNewer(source.Version, m.droppedVersions[source.Name])) || (found && isNewer(source.Version, existing.source.Version)) {
			m.sources[source.Name] = sourceRecord{source, event.At}
			delete(m.droppedVersions, source.Name)
			changed[source.Name] = true
		}
	}
	if len(changed) > 0 {
		m.updateDirectory(before, event.At, slices.Sorted(maps.Keys(changed)))
	}
}

// dropSilentSources drops the sources that were silent for long. When many are silent at once it is the feed
// that failed, as in a split core, not they: then all are kept, and those that are dead are found
// out by calling them.
func (m *MeshState) dropSilentSources(before MeshState, event Event, changed map[string]bool) {
	var silent []string
	for name, record := range before.sources {
		if event.At-record.receivedAt > event.SourceTimeout {
			silent = append(silent, name)
		}
	}
	if heardCount := len(before.sources) - len(silent); float64(heardCount) <= minHeardRatio*float64(len(before.sources)) {
		return
	}
	for _, name := range silent {
		m.droppedVersions[name] = m.sources[name].source.Version
		delete(m.sources, name)
		changed[name] = true
	}
}

// updateDirectory brings the directory and the list of workers up to the sources that moved.
func (m *MeshState) updateDirectory(before MeshState, now time.Duration, changed []string) {
	m.workers, m.directory = maps.Clone(before.workers), maps.Clone(before.directory)
	var updatedSources []*schema.Source
	changedServices := map[string]bool{}
	// What is listed anew is counted before what is no longer, so that a worker that goes from one
	// source to another keeps the time since when it is known.
	for _, name := range changed {
		record, found := m.sources[name]
		if !found {
			continue
		}
		updatedSources = append(updatedSources, record.source)
		for _, worker := range record.source.Workers {
			changedServices[worker.Service] = true
			entry, isListed := m.workers[worker.Instance]
			if !isListed {
				entry.firstSeenAt = now
			}
			entry.sourceCount++
			m.workers[worker.Instance] = entry
		}
	}
	for _, name := range changed {
		record, found := before.sources[name]
		if !found {
			continue
		}
		for _, worker := range record.source.Workers {
			changedServices[worker.Service] = true
			entry := m.workers[worker.Instance]
			if entry.sourceCount--; entry.sourceCount == 0 {
				delete(m.workers, worker.Instance)
			} else {
				m.workers[worker.Instance] = entry
			}
		}
	}
	added := plan.DirectoryOf(updatedSources, func(instance string) time.Duration { return m.workers[instance].firstSeenAt },
		func(source string) time.Duration { return m.sources[source].receivedAt })
	for service := range changedServices {
		pools := map[string][]plan.Endpoint{}
		for version, pool := range before.directory[service] {
			for _, endpoint := range pool {
				if _, isChanged := slices.BinarySearch(changed, endpoint.Proxy); !isChanged {
					pools[version] = append(pools[version], endpoint)
				}
			}
		}
		for version, pool := range added[service] {
			pools[version] = append(pools[version], pool...)
			slices.SortStableFunc(pools[version], func(a, b plan.Endpoint) int { return strings.Compare(a.Proxy, b.Proxy) })
		}
		if m.directory[service] = pools; len(pools) == 0 {
			delete(m.directory, service)
		}
	}
}

func isNewer(a, b *schema.SourceVersion) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	if a.GetCounter() != b.GetCounter() {
		return a.GetCounter() > b.GetCounter()
	}
	return a.GetEnded() && !b.GetEnded()
}

// View is what plans are made from.
func (m MeshState) View() *plan.View { return m.view }

// ConfigRevision is the setup in use.
func (m MeshState) ConfigRevision() uint64 { return m.config.Revision }

// Items is the items of the setup in use.
func (m MeshState) Items() config.State { return m.items }

// Outdated tells whether a setup was replaced longer ago than a bound.
func (m MeshState) Outdated(revision uint64, now, grace time.Duration) bool {
	for _, applied := range m.appliedRevisions {
		if applied.revision > revision {
			return now-applied.appliedAt > grace
		}
	}
	return false
}

// Vector is what this proxy has of each source.
func (m MeshState) Vector() map[string]*schema.SourceVersion {
	vector := make(map[string]*schema.SourceVersion, len(m.sources))
	for name, record := range m.sources {
		vector[name] = record.source.Version
	}
	// A registry keeps silent sources longer; it need not send them again.
	for name, stamp := range m.droppedVersions {
		vector[name] = stamp
	}
	return vector
}

// KnownWorkers is every worker that is listed.
func (m MeshState) KnownWorkers() map[string]bool {
	instances := make(map[string]bool, len(m.workers))
	for instance := range m.workers {
		instances[instance] = true
	}
	return instances
}
