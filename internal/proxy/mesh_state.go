package proxy

import (
	"maps"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// Event is one entry of the journal: a configuration, sources, or both, have arrived.
type Event struct {
	At             time.Duration // since the proxy started
	ConfigRevision uint64        // of the configuration; 0 for an event without one
	Items          []*schema.Item
	Complete       bool // Items are the complete configuration, otherwise those that changed
	Sources        []*schema.Source
	SourceTimeout  time.Duration // drop sources not heard from for so long while others are; 0 to drop none
}

// sourceRecord is the newest version of a source, and when it arrived.
type sourceRecord struct {
	source     *schema.Source
	receivedAt time.Duration
}

// MeshState is everything that a proxy knows of the mesh, folded from the journal's events by [Fold]. It is immutable:
// readers share it without a lock.
type MeshState struct {
	items            config.State
	config           *config.Snapshot                 // compiled from items
	sources          map[string]sourceRecord          // proxies by name
	droppedVersions  map[string]*schema.SourceVersion // of sources dropped after a timeout: only a newer version brings one back
	workers          map[string]workerRecord          // by the worker's instance name
	appliedRevisions []appliedRevision                // the last ones, in ascending order

	directory plan.Directory // the workers of all sources, by service and version
	view      *plan.View     // config and directory together, as calls use them
}

// workerRecord says since when a worker is known and how many sources list it.
type workerRecord struct {
	firstSeenAt time.Duration
	sourceCount int
}

// appliedRevision says when a configuration was applied, and thereby when it replaced the one before it.
type appliedRevision struct {
	revision  uint64
	appliedAt time.Duration
}

// maxAppliedRevisions bounds MeshState.appliedRevisions.
const maxAppliedRevisions = 64

// EmptyMeshState is the state of a proxy that has received nothing.
func EmptyMeshState() MeshState {
	compiled, _ := config.Compile(config.State{}, 0) // there is nothing that could fail to compile
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

// Fold returns the state after an event; before stays as it is. A configuration that is not newer than the current one
// changes nothing, whoever sends it: a proxy never goes back.
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

// applyConfig applies an event's configuration.
func (m *MeshState) applyConfig(before MeshState, event Event) {
	m.items = before.items.Apply(event.Items, event.Complete)
	// The field errors are not used: items are checked where they are accepted, and the snapshot holds all that compile.
	m.config, _ = config.CompileIncremental(before.config, m.items, event.ConfigRevision)
	m.appliedRevisions = append([]appliedRevision(nil), before.appliedRevisions...)
	m.appliedRevisions = append(m.appliedRevisions, appliedRevision{event.ConfigRevision, event.At})
	if len(m.appliedRevisions) > maxAppliedRevisions {
		m.appliedRevisions = m.appliedRevisions[1:]
	}
}

// View is the configuration and directory by which calls are planned.
func (m MeshState) View() *plan.View { return m.view }

// ConfigRevision is the revision of the configuration in use, 0 for none.
func (m MeshState) ConfigRevision() uint64 { return m.config.Revision }

// Items are the items of the configuration in use. They must not be changed.
func (m MeshState) Items() config.State { return m.items }

// Outdated reports whether a configuration was replaced here longer ago than grace.
func (m MeshState) Outdated(revision uint64, now, grace time.Duration) bool {
	for _, applied := range m.appliedRevisions {
		if applied.revision > revision {
			return now-applied.appliedAt > grace
		}
	}
	return false
}

// Vector is the version of each source that this proxy has, by the source's name. A registry sends only newer ones.
func (m MeshState) Vector() map[string]*schema.SourceVersion {
	vector := make(map[string]*schema.SourceVersion, len(m.sources))
	for name, record := range m.sources {
		vector[name] = record.source.Version
	}
	// A registry retains sources that are not heard from for longer; it need not send them again.
	maps.Copy(vector, m.droppedVersions)
	return vector
}

// KnownWorkers is the set of all listed workers' instance names.
func (m MeshState) KnownWorkers() map[string]bool {
	instances := make(map[string]bool, len(m.workers))
	for instance := range m.workers {
		instances[instance] = true
	}
	return instances
}
