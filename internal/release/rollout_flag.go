package release

import (
	"encoding/json"
	"fmt"
	"slices"

	"meadowhinge/internal/config"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/flag"
	"meadowhinge/schema"
)

// newRolloutFlag returns the flag that gives a version the weight, from 0 to flag.TotalWeight, of a service's
// calls and the fallback version the rest. It keeps the salt of an existing flag, so that contexts keep their
// buckets.
func newRolloutFlag(compiled *config.Snapshot, service, fallback, version string, weight int) *flag.Flag {
	rolloutFlag := &flag.Flag{On: true, Salt: service, Variations: []string{fallback}}
	if current := compiled.Flags.Flags[config.VersionFlagKey(service)]; current != nil {
		rolloutFlag.Salt = current.Salt
	}
	if version == fallback {
		rolloutFlag.Fallthrough.Variation = new(int) // variation 0, set explicitly
		return rolloutFlag
	}
	rolloutFlag.Variations = append(rolloutFlag.Variations, version)
	rolloutFlag.Fallthrough.Rollout = &flag.Rollout{Variations: []flag.WeightedVariation{
		{Variation: 1, Weight: weight},
		{Variation: 0, Weight: flag.TotalWeight - weight},
	}}
	return rolloutFlag
}

// flagAndProgressItems returns the operator's flag, edited to follow a plan's progress, and the progress itself,
// to be written as one change. It fails with code errs.InvalidConfig if the flag or the service no longer exists
// or the flag cannot be decoded, and with errs.Internal if the encoding fails.
func flagAndProgressItems(plan *config.Release, compiled *config.Snapshot, state config.State,
	after config.Progress) ([]*schema.Item, error) {
	key := config.VersionFlagKey(plan.Service)
	flagItem := state[config.Key(kindFlag, key)]
	rolloutFlag, service := compiled.Flags.Flags[key], compiled.Services[plan.Service]
	if flagItem == nil || rolloutFlag == nil || service == nil {
		return nil, errs.New(errs.InvalidConfig, fmt.Sprintf("flag %q or service %q no longer exists", key, plan.Service))
	}
	flagFields := map[string]any{}
	if err := json.Unmarshal(flagItem.Body, &flagFields); err != nil {
		return nil, errs.Wrap(err, errs.InvalidConfig, fmt.Sprintf("decoding flag %q", key))
	}
	editRolloutFlag(flagFields, rolloutFlag.Variations, plan.Version, service.Fallback, after)
	flagBody, err := json.Marshal(flagFields)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, fmt.Sprintf("encoding flag %q", key))
	}
	progressBody, err := json.Marshal(after)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, fmt.Sprintf("encoding progress of plan %q", plan.Name))
	}
	return []*schema.Item{
		{Kind: kindFlag, Name: key, Body: flagBody},
		{Kind: kindProgress, Name: plan.Name, Body: progressBody},
	}, nil
}

// editRolloutFlag sets the weights of an operator's flag to those of a progress. If the plan is rolled back, it
// turns the flag off, with the fallback version as the off variation. It edits the decoded JSON rather than a
// flag.Flag, so that the operator's targets, rules and unknown fields are kept.
func editRolloutFlag(flagFields map[string]any, variations []string, version, fallback string, after config.Progress) {
	// A version that the flag does not list counts as its first variation.
	variationIndex := func(name string) int { return max(0, slices.Index(variations, name)) }
	if after.State == StateRolledBack {
		flagFields["on"] = false
		flagFields["offVariation"] = variationIndex(fallback)
		return
	}
	rolloutFields := map[string]any{}
	if fallthroughFields, _ := flagFields["fallthrough"].(map[string]any); fallthroughFields != nil {
		if existing, _ := fallthroughFields["rollout"].(map[string]any); existing != nil {
			rolloutFields = existing
		}
	}
	rolloutFields["variations"] = []map[string]int{
		{"variation": variationIndex(version), "weight": after.Weight},
		{"variation": variationIndex(fallback), "weight": flag.TotalWeight - after.Weight},
	}
	flagFields["on"] = true
	flagFields["fallthrough"] = map[string]any{"rollout": rolloutFields}
}
