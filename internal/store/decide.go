package store

import (
	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// maxReportedFaults is the maximum number of reasons listed in a refusal. An operator who has corrected these gets
// the remaining ones at the next attempt. Conflicts with expected versions are listed without this limit.
const maxReportedFaults = 32

// kindProgress is the kind of the items in which rollout controllers store their progress.
const kindProgress = "progress"

// Decide rules on a change against a state and returns the entry to append under a version. The change is either
// accepted with all its items, or refused with none of them; see maxReportedFaults for the reasons listed. Decide is a
// pure function, so every replica that leads comes to the same ruling.
//
// previous is the compiled configuration of the state, or nil if the caller has none. It makes compiling cheaper and
// does not affect the ruling. The returned snapshot is the one to pass with the next change.
func Decide(
	state config.State, previous *config.Snapshot, change *schema.Change, version *schema.Version,
) (*schema.Entry, *config.Snapshot) {
	outcome := &schema.ChangeOutcome{ChangeId: change.Id, Version: version}
	entry := &schema.Entry{Version: version, ChangeId: change.Id, Outcome: outcome}
	written := itemsToWrite(state, change, outcome)
	if outcome.Ruling != schema.Ruling_RULING_UNKNOWN {
		return entry, previous
	}
	if fromStaleController(state, written) {
		outcome.Ruling = schema.Ruling_RULING_STALE
		return entry, previous
	}
	items := stampItems(state, change.Id, written, version)
	// A change without effect leaves the state as it is, which is valid.
	if len(items) == 0 {
		outcome.Ruling = schema.Ruling_RULING_ACCEPTED
		return entry, previous
	}
	compiled, faults := config.CompileIncremental(previous, state.Merge(items), version.Sequence)
	if len(faults) > 0 {
		outcome.Ruling = schema.Ruling_RULING_INVALID
		outcome.Faults = faults[:min(len(faults), maxReportedFaults)]
		return entry, previous
	}
	entry.Items = items
	outcome.Ruling = schema.Ruling_RULING_ACCEPTED
	return entry, compiled
}

// itemsToWrite returns the items of a change that are to be written. If the change conflicts with the state, or is
// found to be invalid by itself, it sets the refusal in outcome instead.
func itemsToWrite(state config.State, change *schema.Change, outcome *schema.ChangeOutcome) []*schema.Item {
	if !change.ByOperatorVersion {
		outcome.Current = conflictingItems(state, change)
		if len(outcome.Current) > 0 {
			outcome.Ruling = schema.Ruling_RULING_CONFLICT
		}
		return change.Items
	}
	written, conflicts := selectByOperatorVersion(state, change.Items)
	// Items that are not written are not compiled, so they are checked here: an invalid item must not be accepted
	// merely because a newer version of it exists.
	if len(written) < len(change.Items) {
		if faults := config.Check(change.Items); len(faults) > 0 {
			outcome.Ruling = schema.Ruling_RULING_INVALID
			outcome.Faults = faults[:min(len(faults), maxReportedFaults)]
			return nil
		}
	}
	if len(conflicts) > 0 {
		outcome.Ruling = schema.Ruling_RULING_CONFLICT
		outcome.Current = conflicts[:min(len(conflicts), maxReportedFaults)]
		return nil
	}
	return written
}

// conflictingItems returns the stored sequence of each item of a change for which the writer expected another one. The
// sequence of an item that does not exist, or is a tombstone, is 0.
func conflictingItems(state config.State, change *schema.Change) (current []*schema.ExpectedVersion) {
	expected := map[string]uint64{}
	for _, expectation := range change.Expected {
		expected[config.Key(expectation.Kind, expectation.Name)] = expectation.Sequence
	}
	for _, item := range change.Items {
		key := config.Key(item.Kind, item.Name)
		sequence := uint64(0)
		if existing := state[key]; existing != nil && !existing.Deleted {
			sequence = existing.Version.Sequence
		}
		if expected[key] != sequence {
			current = append(current, &schema.ExpectedVersion{Kind: item.Kind, Name: item.Name, Sequence: sequence})
		}
	}
	return current
}

// fromStaleController reports whether an item comes from a rollout controller that another one has since replaced: the
// item is already stored under a later controller term. Refusing such items fences off the old controller.
func fromStaleController(state config.State, items []*schema.Item) bool {
	for _, item := range items {
		existing := state[config.Key(item.Kind, item.Name)]
		if item.Kind != kindProgress || item.Deleted || existing == nil || existing.Deleted {
			continue
		}
		if config.ControllerTermOf(item) < config.ControllerTermOf(existing) {
			return true
		}
	}
	return false
}

// stampItems returns copies of the items as they are stored, with the version and the id of their change. The operator
// version of an item never decreases, so that a delayed older change cannot revert the item.
func stampItems(state config.State, changeID string, items []*schema.Item, version *schema.Version) []*schema.Item {
	var stamped []*schema.Item
	for _, item := range items {
		existing := state[config.Key(item.Kind, item.Name)]
		stamped = append(stamped, &schema.Item{
			Kind:            item.Kind,
			Name:            item.Name,
			Body:            item.Body,
			Deleted:         item.Deleted,
			Version:         version,
			ChangeId:        changeID,
			OperatorVersion: max(item.OperatorVersion, existing.GetOperatorVersion()),
			OperatorBody:    item.OperatorBody,
		})
	}
	return stamped
}
