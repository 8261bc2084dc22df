package store

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// Operator versions never fall: tombstones that bear one stay, and bar older orders, until there are too many.
func TestOperatorVersionTombstones(t *testing.T) {
	c := newFoundedCore(1)
	serial := 0
	propose := func(name string, version uint64, deleted bool) {
		t.Helper()
		serial++
		id := fmt.Sprint("given-", serial)
		item := &schema.Item{Kind: "segment", Name: name, OperatorVersion: version, Deleted: deleted}
		if !deleted {
			item.Body = []byte(`{"salt":""}`)
		}
		change := &schema.Change{Id: id, ByOperatorVersion: true, Items: []*schema.Item{item}}
		c.act("b", c.replicas["b"].Propose(c.now, &schema.Proposal{Ticket: id, Change: change}))
		if got := c.replies[id]; got.GetOutcome().GetRuling() != schema.Ruling_RULING_ACCEPTED {
			t.Fatalf("%s: %v", id, got)
		}
	}
	maxTombstones := testConfig("a").MaxOperatorTombstones
	for i := range maxTombstones {
		propose(fmt.Sprint("s", i), 5, false)
		propose(fmt.Sprint("s", i), 7, true)
		c.advance(100 * time.Millisecond)
	}
	for i := range maxTombstones {
		propose(fmt.Sprint("s", i), 6, false)
	}
	_, state := c.replicas["c"].Committed()
	for i := range maxTombstones {
		if item := state[config.Key("segment", fmt.Sprint("s", i))]; item == nil || !item.Deleted || item.OperatorVersion != 7 {
			t.Errorf("s%d: %v", i, item)
		}
	}
	for i := range 2 * maxTombstones {
		propose(fmt.Sprint("more", i), 1, true)
		c.advance(100 * time.Millisecond)
	}
	_, state = c.replicas["c"].Committed()
	if _, dropped := state.Tombstones(); len(dropped) > maxTombstones+maxTombstones/2 {
		t.Errorf("%d tombstones are retained", len(dropped))
	}
}
