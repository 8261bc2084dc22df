package proxy

import (
	"maps"
	"slices"
	"strings"
	"time"

	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// minLiveRatio is a fraction of all sources. Timed-out sources are dropped only while more than this fraction is live.
const minLiveRatio = 0.8

// applySources applies the sources of an event. It recomputes only the affected services, because in a large mesh each
// change of one proxy's workers reaches every other proxy.
func (m *MeshState) applySources(before MeshState, event Event) {
	m.sources, m.droppedVersions = maps.Clone(before.sources), maps.Clone(before.droppedVersions)
	changed := map[string]bool{} // names of new, changed and dropped sources
	if event.SourceTimeout > 0 {
		m.dropTimedOutSources(before, event, changed)
	}
	for _, source := range event.Sources {
		// An incarnation-only source tells the incarnation of a proxy, but not its workers.
		if source.IncarnationOnly {
			continue
		}
		current := m.droppedVersions[source.Name]
		if existing, found := m.sources[source.Name]; found {
			current = existing.source.Version
		}
		if isNewer(source.Version, current) {
			m.sources[source.Name] = sourceRecord{source, event.At}
			delete(m.droppedVersions, source.Name)
			changed[source.Name] = true
		}
	}
	if len(changed) > 0 {
		m.updateDirectory(before, event.At, slices.Sorted(maps.Keys(changed)))
	}
}

// dropTimedOutSources drops the sources that sent no update for longer than the event's timeout. If many time out at
// once, the likely cause is a failed path to them, as in a partitioned core. In that case all are retained, and outlier
// detection finds the dead ones as calls fail.
func (m *MeshState) dropTimedOutSources(before MeshState, event Event, changed map[string]bool) {
	var timedOut []string
	for name, record := range before.sources {
		if event.At-record.receivedAt > event.SourceTimeout {
			timedOut = append(timedOut, name)
		}
	}
	liveCount := len(before.sources) - len(timedOut)
	if float64(liveCount) <= minLiveRatio*float64(len(before.sources)) {
		return
	}
	for _, name := range timedOut {
		m.droppedVersions[name] = m.sources[name].source.Version
		delete(m.sources, name)
		changed[name] = true
	}
}

// updateDirectory updates workers and directory from the changed sources, whose names are sorted.
func (m *MeshState) updateDirectory(before MeshState, now time.Duration, changed []string) {
	m.workers, m.directory = maps.Clone(before.workers), maps.Clone(before.directory)
	var updatedSources []*schema.Source
	changedServices := map[string]bool{}
	// New lists are counted before old ones are subtracted. The count of a worker that moves from one source to another
	// therefore never reaches zero, and the worker keeps its firstSeenAt.
	for _, name := range changed {
		if record, found := m.sources[name]; found {
			updatedSources = append(updatedSources, record.source)
			m.countListed(record.source, now, changedServices)
		}
	}
	for _, name := range changed {
		if record, found := before.sources[name]; found {
			m.uncountListed(record.source, changedServices)
		}
	}
	added := plan.NewDirectory(
		updatedSources,
		func(instance string) time.Duration { return m.workers[instance].firstSeenAt },
		func(source string) time.Duration { return m.sources[source].receivedAt },
	)
	for service := range changedServices {
		m.rebuildPools(service, before.directory[service], added[service], changed)
	}
}

// countListed adds one to the source count of each worker that source lists, and adds their services to
// changedServices.
func (m *MeshState) countListed(source *schema.Source, now time.Duration, changedServices map[string]bool) {
	for _, worker := range source.Workers {
		changedServices[worker.Service] = true
		entry, isListed := m.workers[worker.Instance]
		if !isListed {
			entry.firstSeenAt = now
		}
		entry.sourceCount++
		m.workers[worker.Instance] = entry
	}
}

// uncountListed reverses countListed for a replaced or dropped version of a source. A worker that no source lists any
// more is removed.
func (m *MeshState) uncountListed(source *schema.Source, changedServices map[string]bool) {
	for _, worker := range source.Workers {
		changedServices[worker.Service] = true
		entry := m.workers[worker.Instance]
		if entry.sourceCount--; entry.sourceCount == 0 {
			delete(m.workers, worker.Instance)
		} else {
			m.workers[worker.Instance] = entry
		}
	}
}

// rebuildPools rebuilds the endpoint pools of a service, one pool for each version. It keeps the endpoints of unchanged
// sources and merges the added ones. Each pool is sorted by proxy name.
func (m *MeshState) rebuildPools(service string, previous, added map[string][]plan.Endpoint, changed []string) {
	pools := map[string][]plan.Endpoint{}
	for version, pool := range previous {
		for _, endpoint := range pool {
			if _, isChanged := slices.BinarySearch(changed, endpoint.Proxy); !isChanged {
				pools[version] = append(pools[version], endpoint)
			}
		}
	}
	for version, pool := range added {
		pools[version] = append(pools[version], pool...)
		slices.SortStableFunc(pools[version], func(a, b plan.Endpoint) int { return strings.Compare(a.Proxy, b.Proxy) })
	}
	if len(pools) == 0 {
		delete(m.directory, service)
		return
	}
	m.directory[service] = pools
}

// isNewer reports whether version a of a source supersedes version b. Incarnations are compared first, then counters;
// with both equal, an ended version supersedes one that has not ended. A nil version is older than any other.
func isNewer(a, b *schema.SourceVersion) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	if a.GetCounter() != b.GetCounter() {
		return a.GetCounter() > b.GetCounter()
	}
	return a.GetEnded() && !b.GetEnded()
}
