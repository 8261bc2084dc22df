package registry

import (
	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// configCache is the committed configuration and its compiled form. It is not safe for concurrent use: sharedState.lock guards
// it. States and snapshots are never changed once they are stored, so readers keep them without the lock.
type configCache struct {
	state    config.State
	snapshot *config.Snapshot // of an earlier state unless fresh
	fresh    bool
}

func newConfigCache() *configCache {
	state := config.State{}
	snapshot, _ := config.Compile(state, 0) // an empty state has no faults
	return &configCache{state: state, snapshot: snapshot}
}

// apply applies committed items; complete tells that they replace the state rather than change it.
func (c *configCache) apply(items []*schema.Item, complete bool) {
	c.state = c.state.Apply(items, complete)
	c.fresh = false // compiled at the next read
}

// compiled is the compiled configuration; revision is that of the state.
func (c *configCache) compiled(revision uint64) *config.Snapshot {
	if !c.fresh {
		// The stores compile a change before they commit it, so committed items have no faults to report here.
		c.snapshot, _ = config.CompileIncremental(c.snapshot, c.state, revision)
		c.fresh = true
	}
	return c.snapshot
}

// changesAfter gives a proxy the items that changed after its revision; complete tells that they replace what it has.
// The text in which operators wrote the items is left out: it is large, and proxies have no use for it.
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
