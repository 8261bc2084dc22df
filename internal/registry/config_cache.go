package registry

import (
	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// configCache holds the committed configuration and its compiled form. It is not safe for concurrent use:
// sharedState.lock guards it. Stored states and snapshots are immutable, so readers may use them without the lock.
type configCache struct {
	state    config.State     // committed items
	snapshot *config.Snapshot // compiled form of state if fresh, otherwise of an earlier state; never nil
	fresh    bool             // whether snapshot was compiled from the current state
}

func newConfigCache() *configCache {
	state := config.State{}
	snapshot, _ := config.Compile(state, 0) // an empty state has no faults to report
	return &configCache{state: state, snapshot: snapshot}
}

// apply applies committed items. If complete is true, they replace the whole state.
func (c *configCache) apply(items []*schema.Item, complete bool) {
	c.state = c.state.Apply(items, complete)
	c.fresh = false // the next read compiles the state
}

// compiled returns the compiled configuration, and compiles it first if the state has changed. revision is the revision
// of the state.
func (c *configCache) compiled(revision uint64) *config.Snapshot {
	if !c.fresh {
		// The stores compile a change before they commit it, so committed items have no faults.
		c.snapshot, _ = config.CompileIncremental(c.snapshot, c.state, revision)
		c.fresh = true
	}
	return c.snapshot
}

// changesAfter returns the items that changed after a proxy's revision. If complete is true, they replace all items
// that the proxy has. The operators' source text of the items is left out: it is large, and proxies do not use it.
func (c *configCache) changesAfter(revision uint64) (items []*schema.Item, complete bool) {
	items, complete = c.state.ChangesAfter(revision)
	stripped := make([]*schema.Item, len(items))
	for i, item := range items {
		stripped[i] = item
		if len(item.OperatorBody) > 0 {
			stripped[i] = &schema.Item{
				Kind:            item.Kind,
				Name:            item.Name,
				Version:         item.Version,
				Body:            item.Body,
				Deleted:         item.Deleted,
				OperatorVersion: item.OperatorVersion,
			}
		}
	}
	return stripped, complete
}
