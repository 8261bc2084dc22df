package proxy

import (
	"maps"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// Event is one entry of the journal. It carries a configuration, sources, or both. A source is a proxy as the publisher
// of its local workers, see [schema.Source].
type Event struct {
	At             time.Duration    // time of the event, counted from the start of the proxy
	ConfigRevision uint64           // revision of the configuration; 0 for an event without one
	Items          []*schema.Item   // configuration items
	Complete       bool             // whether Items is the complete configuration; otherwise it holds only the changed items
	Sources        []*schema.Source // new versions of sources
	// SourceTimeout is the age after which a source that sent no update is dropped while most others are live, 0 to drop
	// none.
	SourceTimeout time.Duration
}

// sourceRecord is the newest version of a source and the time of its arrival.
type sourceRecord struct {
	source     *schema.Source
	receivedAt time.Duration // counted from the start of the proxy
}

// MeshState is the state of the mesh as one proxy knows it: the configuration and the directory of workers. [Fold]
// computes it from the events of the journal. A value is immutable, so readers share it without a lock.
type MeshState struct {
	items            config.State
	config           *config.Snapshot                 // snapshot compiled from items
	sources          map[string]sourceRecord          // sources by proxy name, without the dropped ones
	droppedVersions  map[string]*schema.SourceVersion // last versions of timed-out sources; only newer ones restore them
	workers          map[string]workerRecord          // listed workers by instance name
	appliedRevisions []appliedRevision                // the last maxAppliedRevisions revisions, in ascending order

	directory plan.Directory // workers of all sources, by service and version
	view      *plan.View     // config and directory as the planner reads them
}

// workerRecord tracks one worker across the sources that list it.
type workerRecord struct {
	firstSeenAt time.Duration // when the worker was first listed, counted from the start of the proxy
	sourceCount int           // number of sources that list the worker; at least 1
}

// appliedRevision records when a configuration was applied, which is also when it replaced its predecessor.
type appliedRevision struct {
	revision  uint64
	appliedAt time.Duration
}

// maxAppliedRevisions bounds MeshState.appliedRevisions.
const maxAppliedRevisions = 64

// EmptyMeshState returns the state of a proxy that has received neither configuration nor sources.
func EmptyMeshState() MeshState {
	compiled, _ := config.Compile(config.State{}, 0) // an empty configuration has no items that could fail to compile
	return MeshState{
		items:           config.State{},
		config:          compiled,
		sources:         map[string]sourceRecord{},
		droppedVersions: map[string]*schema.SourceVersion{},
		workers:         map[string]workerRecord{},
		directory:       plan.Directory{},
		view:            &plan.View{Config: compiled, Directory: plan.Directory{}},
	}
}

// Fold returns the state after an event and leaves before unchanged. A configuration or source that is not newer than
// the current one is ignored, whoever sent it, so that a proxy never returns to an older state.
func Fold(before MeshState, event Event) MeshState {
	after := before
	if event.ConfigRevision > before.config.Revision {
		after.applyConfig(before, event)
	}
	if len(event.Sources) > 0 || event.SourceTimeout > 0 {
		after.applySources(before, event)
	}
	after.view = &plan.View{Config: after.config, Directory: after.directory}
	return after
}

// applyConfig applies the configuration of an event and records its revision.
func (m *MeshState) applyConfig(before MeshState, event Event) {
	m.items = before.items.Apply(event.Items, event.Complete)
	// Field errors are ignored: items are validated before they are committed, and the snapshot holds all items that
	// compile.
	m.config, _ = config.CompileIncremental(before.config, m.items, event.ConfigRevision)
	m.appliedRevisions = append([]appliedRevision(nil), before.appliedRevisions...)
	m.appliedRevisions = append(m.appliedRevisions, appliedRevision{event.ConfigRevision, event.At})
	if len(m.appliedRevisions) > maxAppliedRevisions {
		m.appliedRevisions = m.appliedRevisions[1:]
	}
}

// View returns the configuration and the directory by which calls are planned.
func (m MeshState) View() *plan.View { return m.view }

// ConfigRevision returns the revision of the configuration in use, 0 if none has arrived.
func (m MeshState) ConfigRevision() uint64 { return m.config.Revision }

// Items returns the items of the configuration in use. The caller must not modify them.
func (m MeshState) Items() config.State { return m.items }

// Outdated reports whether a newer configuration replaced the given revision more than grace before now. Only the last
// maxAppliedRevisions revisions are considered.
func (m MeshState) Outdated(revision uint64, now, grace time.Duration) bool {
	for _, applied := range m.appliedRevisions {
		if applied.revision > revision {
			return now-applied.appliedAt > grace
		}
	}
	return false
}

// Vector returns the version vector of the directory: the version of each source by name. A registry sends only newer
// versions.
func (m MeshState) Vector() map[string]*schema.SourceVersion {
	vector := make(map[string]*schema.SourceVersion, len(m.sources))
	for name, record := range m.sources {
		vector[name] = record.source.Version
	}
	// A registry retains timed-out sources for longer than a proxy does. Their versions stay in the vector, so that the
	// registry does not send them again.
	maps.Copy(vector, m.droppedVersions)
	return vector
}

// KnownWorkers returns the set of the instance names of all listed workers.
func (m MeshState) KnownWorkers() map[string]bool {
	instances := make(map[string]bool, len(m.workers))
	for instance := range m.workers {
		instances[instance] = true
	}
	return instances
}
