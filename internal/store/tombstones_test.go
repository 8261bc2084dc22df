package store

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// An operator version never decreases: tombstones with one are retained, and block outdated changes, until there are too
// many of them.
func TestOperatorVersionTombstonesAreRetained(t *testing.T) {
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
		c.execute("b", c.replicas["b"].Propose(c.now, &schema.Proposal{Ticket: id, Change: change}))
		if got := c.replies[id]; got.GetOutcome().GetRuling() != schema.Ruling_RULING_ACCEPTED {
			t.Fatalf("Propose(%q) of %s under operator version %d got reply %v, want it accepted", id, name, version, got)
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
			t.Errorf("s%d after an outdated change = %v, want a tombstone of operator version 7", i, item)
		}
	}
	for i := range 2 * maxTombstones {
		propose(fmt.Sprint("more", i), 1, true)
		c.advance(100 * time.Millisecond)
	}
	_, state = c.replicas["c"].Committed()
	if _, tombstones := state.Tombstones(); len(tombstones) > maxTombstones+maxTombstones/2 {
		t.Errorf("%d tombstones with an operator version are retained, want at most %d", len(tombstones), maxTombstones+maxTombstones/2)
	}
}
