package release

import (
	"encoding/json"
	"testing"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// fakeStore is a state that steps are written to, as a store would.
type fakeStore struct {
	t        *testing.T
	state    config.State
	sequence uint64
}

func (s *fakeStore) write(items ...*schema.Item) {
	s.t.Helper()
	s.sequence++
	for _, item := range items {
		item.Version = &schema.Version{Term: 1, Sequence: s.sequence}
	}
	s.state = s.state.With(items)
	if _, faults := config.Compile(s.state, s.sequence); len(faults) > 0 {
		s.t.Fatalf("step %d is refused: %v", s.sequence, faults)
	}
}

func (s *fakeStore) compiled() *config.Snapshot {
	compiled, _ := config.Compile(s.state, s.sequence)
	return compiled
}

func (s *fakeStore) jsonItem(kind, name string, content any) *schema.Item {
	encoded, err := json.Marshal(content)
	if err != nil {
		s.t.Fatal(err)
	}
	return &schema.Item{Kind: kind, Name: name, Body: encoded}
}

func newFakeStore(t *testing.T) *fakeStore {
	store := &fakeStore{t: t, state: config.State{}}
	store.write(&schema.Item{Kind: "service", Name: "shop", Body: []byte(`{"versions":["1","2","3"],"fallback":"1","callers":["client"]}`)})
	return store
}

func (s *fakeStore) planRollout(version string) *Step {
	s.t.Helper()
	step, err := PlanRollout(s.compiled(), s.state, RolloutOrder{"shop", version, 12 * time.Second})
	if err != nil {
		s.t.Fatal(err)
	}
	if step != nil {
		s.write(step.Items...)
	}
	return step
}

// An order is one valid change; again it is none; after it was turned back it is stated anew; and
// another version takes its place.
func TestPlanRollout(t *testing.T) {
	store := newFakeStore(t)
	if version, state := RolloutState(store.compiled(), "shop"); version != "" || state != "" {
		t.Errorf("before any order: %q %q", version, state)
	}
	if store.planRollout("2") == nil {
		t.Fatal("the order needs no step")
	}
	if got := store.compiled().Flags.Flags["release.shop"].ReachableVariations(); len(got) != 1 || got[0] != "1" {
		t.Errorf("calls before the first step may get %v", got)
	}
	if store.planRollout("2") != nil {
		t.Error("an order under way is stated again")
	}
	firstRevision := store.compiled().Releases["shop"].Revision
	store.write(store.jsonItem("progress", "shop", config.Progress{PlanID: "shop 2", State: StateRolledBack}))
	if version, state := RolloutState(store.compiled(), "shop"); version != "2" || state != StateRolledBack {
		t.Errorf("turned back: %q %q", version, state)
	}
	if store.planRollout("2") == nil {
		t.Error("what was turned back can't be ordered again")
	}
	if _, state := RolloutState(store.compiled(), "shop"); state != StateCanary || store.compiled().Releases["shop"].Revision == firstRevision {
		t.Errorf("ordered again: %s", state)
	}
	store.planRollout("3")
	if version, state := RolloutState(store.compiled(), "shop"); version != "3" || state != StateCanary {
		t.Errorf("another version ordered: %q %q", version, state)
	}
}

func TestPlanRolloutRejectsBadOrders(t *testing.T) {
	store := newFakeStore(t)
	for name, order := range map[string]RolloutOrder{
		"no such service":    {"saves", "2", time.Second},
		"a version unlisted": {"shop", "9", time.Second},
		"no version":         {"shop", "", time.Second},
		"no time":            {"shop", "2", 0},
	} {
		if step, err := PlanRollout(store.compiled(), store.state, order); err == nil {
			t.Errorf("%s: %v", name, step)
		}
	}
}
