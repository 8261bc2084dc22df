package release

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/flag"
	"meadowhinge/schema"
)

// RolloutOrder asks that all calls of a service move to a version within a time.
type RolloutOrder struct {
	Service string
	Version string
	Within  time.Duration
}

// standingKind names the items that say which versions a service has that leaves them out itself:
// the release duty writes them, by what workers tell and by what comes of plans.
const standingKind = "standing"

// PlanRollout turns an order into the step that states it: the version is allowed, the flag can give
// it, and the plan says how. An order that is under way already, or done, needs no step.
func PlanRollout(compiled *config.Snapshot, state config.State, order RolloutOrder) (*Step, error) {
	service := compiled.Services[order.Service]
	switch {
	case service == nil:
		return nil, errs.New(errs.InvalidConfig, fmt.Sprintf("service %q does not exist", order.Service))
	case order.Version == "" || order.Within <= 0:
		return nil, errs.New(errs.InvalidConfig, "an order needs a version and a time")
	}
	fallback := service.Fallback
	if fallback == "" {
		return nil, errs.New(errs.NoQuorum, fmt.Sprintf("no version of %q is known yet", order.Service))
	}
	if version, state := RolloutState(compiled, order.Service); version == order.Version && state != "" && state != StateRolledBack {
		return nil, nil
	}
	step := &Step{Name: "order-" + order.Service}
	put := func(kind, name string, body any) error {
		encoded, err := json.Marshal(body)
		step.Items = append(step.Items, &schema.Item{Kind: kind, Name: name, Body: encoded})
		return errs.Wrap(err, errs.Internal, kind+" "+name)
	}
	remove := func(kind, name string) {
		if current := state[config.Key(kind, name)]; current != nil && !current.Deleted {
			step.Items = append(step.Items, &schema.Item{Kind: kind, Name: name, Deleted: true})
		}
	}
	// One service has one plan: an order takes the place of what was planned before.
	for name, plan := range compiled.Releases {
		if plan.Service == order.Service && name != order.Service {
			remove("release", name)
			remove("progress", name)
		}
	}
	remove("progress", order.Service)
	remove("stop", config.StopName(order.Service, order.Version))
	if !service.AllowsVersion(order.Version) && !hasOwnStanding(compiled, order.Service) {
		return nil, errs.New(errs.InvalidConfig, fmt.Sprintf("service %q does not list version %q", order.Service, order.Version))
	}
	if hasOwnStanding(compiled, order.Service) {
		if err := put(standingKind, order.Service, newStanding(fallback, order.Version)); err != nil {
			return nil, err
		}
	}
	// No call yet: the duty's first step gives the version its trial.
	if err := put("flag", config.VersionFlagKey(order.Service), newRolloutFlag(compiled, order.Service, fallback, order.Version, 0)); err != nil {
		return nil, err
	}
	err := put("release", order.Service, config.Release{Service: order.Service, Version: order.Version, Target: 100, DurationText: order.Within.String(), Control: "go", Strategy: config.StrategyDeadline})
	return step, err
}

// RolloutState tells which version was last ordered for a service, and what has come of it: a state
// of its plan, or nothing if no plan is known.
func RolloutState(compiled *config.Snapshot, service string) (version, state string) {
	for name, plan := range compiled.Releases {
		if plan.Service != service {
			continue
		}
		progress := compiled.Progress[name]
		switch {
		case progress == nil && plan.Version == compiled.FallbackOf(service):
			return plan.Version, StateDone
		case progress == nil || progress.PlanID != planIdentity(plan):
			return plan.Version, StateCanary
		}
		return plan.Version, progress.State
	}
	return "", ""
}

// newRolloutFlag is the flag that gives a version so many of a service's calls, in a hundred thousand.
func newRolloutFlag(compiled *config.Snapshot, service, fallback, version string, weight int) *flag.Flag {
	key := config.VersionFlagKey(service)
	rolloutFlag := &flag.Flag{On: true, Salt: service, Variations: []string{fallback}}
	if current := compiled.Flags.Flags[key]; current != nil {
		rolloutFlag.Salt = current.Salt
	}
	if version == fallback {
		rolloutFlag.Fallthrough.Variation = new(int)
		return rolloutFlag
	}
	rolloutFlag.Variations = append(rolloutFlag.Variations, version)
	rolloutFlag.Fallthrough.Rollout = &flag.Rollout{Variations: []flag.WeightedVariation{{Variation: 1, Weight: weight}, {Variation: 0, Weight: flag.TotalWeight - weight}}}
	return rolloutFlag
}

// hasOwnStanding tells whether a service's versions are what stands for it, and not an operator's word.
func hasOwnStanding(compiled *config.Snapshot, service string) bool {
	definition, standing := compiled.Services[service], compiled.DiscoveredVersions[service]
	return definition != nil && standing != nil && slices.Equal(definition.Versions, standing.Versions) && definition.Fallback == standing.Fallback
}

// newStanding is the fallback version and one more, if it is another.
func newStanding(fallback, version string) config.DiscoveredVersions {
	versions := []string{fallback}
	if version != fallback {
		versions = append(versions, version)
	}
	return config.DiscoveredVersions{Versions: versions, Fallback: fallback}
}

// planIdentity is the plan that a progress is of.
func planIdentity(plan *config.Release) string { return plan.Service + " " + plan.Version }
