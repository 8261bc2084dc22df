package store

import (
	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// maxReportedFaults bounds the reasons that are kept with a refusal: an operator mends them in turn.
const maxReportedFaults = 32

// Decide decides a change against a state: taken whole, or refused whole with every reason.
// It compiles after an earlier setup, nil for none, and gives the one that it made of a change it took.
func Decide(state config.State, previous *config.Snapshot, change *schema.Change, version *schema.Version) (*schema.Entry, *config.Snapshot) {
	entry := &schema.Entry{Version: version, ChangeId: change.Id, Outcome: &schema.ChangeOutcome{ChangeId: change.Id, Version: version}}
	written := change.Items
	if change.ByOperatorVersion {
		var conflicts []*schema.ExpectedVersion
		written, conflicts = byOperatorVersion(state, change.Items)
		// What can never be right is refused also where a newer version stands in its place.
		if len(written) < len(change.Items) {
			if faults := config.Check(change.Items); len(faults) > 0 {
				entry.Outcome.Ruling, entry.Outcome.Faults = schema.Ruling_RULING_INVALID, faults[:min(len(faults), maxReportedFaults)]
				return entry, previous
			}
		}
		if len(conflicts) > 0 {
			entry.Outcome.Ruling, entry.Outcome.Current = schema.Ruling_RULING_CONFLICT, conflicts[:min(len(conflicts), maxReportedFaults)]
			return entry, previous
		}
	} else if entry.Outcome.Current = conflictingItems(state, change); len(entry.Outcome.Current) > 0 {
		entry.Outcome.Ruling = schema.Ruling_RULING_CONFLICT
		return entry, previous
	}
	// A release duty that has passed on may not write what its successor has written under a later epoch.
	for _, item := range written {
		if existing := state[config.Key(item.Kind, item.Name)]; item.Kind == "progress" && !item.Deleted && existing != nil && !existing.Deleted && config.ControllerTermOf(item) < config.ControllerTermOf(existing) {
			entry.Outcome.Ruling = schema.Ruling_RULING_STALE
			return entry, previous
		}
	}
	var items []*schema.Item
	for _, item := range written {
		// Whoever writes an item without a version of an operator's leaves the one that it had: it
		// must not go down, or an older order could take the item back.
		operatorVersion := max(item.OperatorVersion, state[config.Key(item.Kind, item.Name)].GetOperatorVersion())
		items = append(items, &schema.Item{Kind: item.Kind, Name: item.Name, Body: item.Body, Deleted: item.Deleted, Version: version, ChangeId: change.Id, OperatorVersion: operatorVersion, OperatorBody: item.OperatorBody})
	}
	// What brings nothing new leaves the state as it was, which was valid.
	if len(items) == 0 {
		entry.Outcome.Ruling = schema.Ruling_RULING_ACCEPTED
		return entry, previous
	}
	compiled, faults := config.CompileIncremental(previous, state.With(items), version.Sequence)
	if len(faults) > 0 {
		entry.Outcome.Ruling, entry.Outcome.Faults = schema.Ruling_RULING_INVALID, faults[:min(len(faults), maxReportedFaults)]
		return entry, previous
	}
	entry.Items, entry.Outcome.Ruling = items, schema.Ruling_RULING_ACCEPTED
	return entry, compiled
}

// conflictingItems lists the items of a change that do not stand as the writer expected.
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
