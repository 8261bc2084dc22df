package release

import (
	"testing"
	"time"

	"meadowhinge/internal/config"
)

// TestPlanRollout checks that an order is one valid change, that a repeated one is none, that a version that was
// rolled back can be ordered again, and that an order for another version replaces the plan.
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
		t.Error("an order in progress is stated again")
	}
	firstRevision := store.compiled().Releases["shop"].Revision
	store.write(store.jsonItem("progress", "shop", config.Progress{PlanID: "shop 2", State: StateRolledBack}))
	if version, state := RolloutState(store.compiled(), "shop"); version != "2" || state != StateRolledBack {
		t.Errorf("rolled back: %q %q", version, state)
	}
	if store.planRollout("2") == nil {
		t.Error("what was rolled back can't be ordered again")
	}
	_, state := RolloutState(store.compiled(), "shop")
	if state != StateCanary || store.compiled().Releases["shop"].Revision == firstRevision {
		t.Errorf("ordered again: %s", state)
	}
	store.planRollout("3")
	if version, state := RolloutState(store.compiled(), "shop"); version != "3" || state != StateCanary {
		t.Errorf("another version ordered: %q %q", version, state)
	}
}

// TestPlanRolloutRejectsBadOrders checks that an impossible order is an error and no step.
func TestPlanRolloutRejectsBadOrders(t *testing.T) {
	store := newFakeStore(t)
	for name, order := range map[string]RolloutOrder{
		"no such service":    {"saves", "2", time.Second},
		"a version unlisted": {"shop", "9", time.Second},
		"no version":         {"shop", "", time.Second},
		"no time":            {"shop", "2", 0},
	} {
		t.Run(name, func(t *testing.T) {
			if step, err := PlanRollout(store.compiled(), store.state, order); err == nil {
				t.Errorf("planned %v", step)
			}
		})
	}
}
