package release

import (
	"testing"
	"time"

	"meadowhinge/internal/config"
)

// TestPlanRolloutCreatesOneChange checks that an order is one valid change and that a repeated order is no
// change. A version that was rolled back can be ordered again, and an order for another version replaces the plan.
func TestPlanRolloutCreatesOneChange(t *testing.T) {
	store := newFakeStore(t)
	if version, state := RolloutState(store.compiled(), "shop"); version != "" || state != "" {
		t.Errorf("RolloutState() before any order = %q, %q, want both empty", version, state)
	}
	if store.planRollout("2") == nil {
		t.Fatal("PlanRollout() of version 2 = nil, want a step")
	}
	if got := store.compiled().Flags.Flags["release.shop"].ReachableVariations(); len(got) != 1 || got[0] != "1" {
		t.Errorf("reachable variations before the first step = %v, want only version \"1\"", got)
	}
	if store.planRollout("2") != nil {
		t.Error("PlanRollout() of a version in rollout returned a step, want nil")
	}
	firstRevision := store.compiled().Releases["shop"].Revision
	store.write(store.jsonItem("progress", "shop", config.Progress{PlanID: "shop 2", State: StateRolledBack}))
	if version, state := RolloutState(store.compiled(), "shop"); version != "2" || state != StateRolledBack {
		t.Errorf("RolloutState() after a rollback = %q, %q, want \"2\" and %q", version, state, StateRolledBack)
	}
	if store.planRollout("2") == nil {
		t.Error("PlanRollout() of a version that was rolled back = nil, want a step")
	}
	_, state := RolloutState(store.compiled(), "shop")
	if state != StateCanary || store.compiled().Releases["shop"].Revision == firstRevision {
		t.Errorf("second order: state = %q with revision %d, want %q and a revision other than %d",
			state, store.compiled().Releases["shop"].Revision, StateCanary, firstRevision)
	}
	store.planRollout("3")
	if version, state := RolloutState(store.compiled(), "shop"); version != "3" || state != StateCanary {
		t.Errorf("RolloutState() after an order for another version = %q, %q, want \"3\" and %q", version, state, StateCanary)
	}
}

// TestPlanRolloutRejectsInvalidOrders checks that PlanRollout fails for an invalid order.
func TestPlanRolloutRejectsInvalidOrders(t *testing.T) {
	store := newFakeStore(t)
	for name, order := range map[string]RolloutOrder{
		"unknown service":  {"saves", "2", time.Second},
		"unlisted version": {"shop", "9", time.Second},
		"no version":       {"shop", "", time.Second},
		"no deadline":      {"shop", "2", 0},
	} {
		t.Run(name, func(t *testing.T) {
			if step, err := PlanRollout(store.compiled(), store.state, order); err == nil {
				t.Errorf("PlanRollout(%+v) = %v, want an error", order, step)
			}
		})
	}
}
