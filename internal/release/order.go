package release

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/flag"
	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// Order asks that all calls of a service move to a version within a time.
type Order struct {
	Service string
	Version string
	Over    time.Duration
}

// standingKind names the items that say which versions a service has that leaves them out itself:
// the release duty writes them, by what workers tell and by what comes of plans.
const standingKind = "standing"

// Place turns an order into the step that states it: the version is allowed, the flag can give
// it, and the plan says how. An order that is under way already, or done, needs no step.
func Place(compiled *setup.Setup, state setup.State, order Order) (*Step, error) {
	service := compiled.Services[order.Service]
	switch {
	case service == nil:
		return nil, defect.New(defect.BadSetup, fmt.Sprintf("service %q does not exist", order.Service))
	case order.Version == "" || order.Over <= 0:
		return nil, defect.New(defect.BadSetup, "an order needs a version and a time")
	}
	fallback := service.Fallback
	if fallback == "" {
		return nil, defect.New(defect.NoMajority, fmt.Sprintf("no version of %q is known yet", order.Service))
	}
	if version, state := StateOf(compiled, order.Service); version == order.Version && state != "" && state != Back {
		return nil, nil
	}
	step := &Step{Name: "order-" + order.Service}
	put := func(kind, name string, body any) error {
		text, err := json.Marshal(body)
		step.Items = append(step.Items, &schema.Item{Kind: kind, Name: name, Body: text})
		return defect.Wrap(err, defect.Internal, kind+" "+name)
	}
	drop := func(kind, name string) {
		if held := state[setup.Key(kind, name)]; held != nil && !held.Deleted {
			step.Items = append(step.Items, &schema.Item{Kind: kind, Name: name, Deleted: true})
		}
	}
	// One service has one plan: an order takes the place of what was planned before.
	for name, planned := range compiled.Releases {
		if planned.Service == order.Service && name != order.Service {
			drop("release", name)
			drop("progress", name)
		}
	}
	drop("progress", order.Service)
	drop("stop", setup.StopName(order.Service, order.Version))
	if !service.Allows(order.Version) && !stands(compiled, order.Service) {
		return nil, defect.New(defect.BadSetup, fmt.Sprintf("service %q does not list version %q", order.Service, order.Version))
	}
	if stands(compiled, order.Service) {
		if err := put(standingKind, order.Service, standingOf(fallback, order.Version)); err != nil {
			return nil, err
		}
	}
	// No call yet: the duty's first step gives the version its trial.
	if err := put("flag", setup.FlagOf(order.Service), rollout(compiled, order.Service, fallback, order.Version, 0)); err != nil {
		return nil, err
	}
	err := put("release", order.Service, setup.Release{Service: order.Service, Version: order.Version, Target: 100, OverIn: order.Over.String(), Pace: "go", By: setup.ByTerm})
	return step, err
}

// StateOf tells which version was last ordered for a service, and what has come of it: a state
// of its plan, or nothing if no plan is known.
func StateOf(compiled *setup.Setup, service string) (version, state string) {
	for name, planned := range compiled.Releases {
		if planned.Service != service {
			continue
		}
		progress := compiled.Progress[name]
		switch {
		case progress == nil && planned.Version == compiled.FallbackOf(service):
			return planned.Version, Done
		case progress == nil || progress.Set != identity(planned):
			return planned.Version, Trial
		}
		return planned.Version, progress.State
	}
	return "", ""
}

// rollout is the flag that gives a version so many of a service's calls, in a hundred thousand.
func rollout(compiled *setup.Setup, service, fallback, version string, weight int) *flag.Flag {
	key := setup.FlagOf(service)
	decider := &flag.Flag{On: true, Salt: service, Variations: []string{fallback}}
	if held := compiled.Flags.Flags[key]; held != nil {
		decider.Salt = held.Salt
	}
	if version == fallback {
		decider.Fallthrough.Variation = new(int)
		return decider
	}
	decider.Variations = append(decider.Variations, version)
	decider.Fallthrough.Rollout = &flag.Rollout{Variations: []flag.Weighted{{Variation: 1, Weight: weight}, {Variation: 0, Weight: flag.Whole - weight}}}
	return decider
}

// stands tells whether a service's versions are what stands for it, and not an operator's word.
func stands(compiled *setup.Setup, service string) bool {
	held, standing := compiled.Services[service], compiled.Standing[service]
	return held != nil && standing != nil && slices.Equal(held.Versions, standing.Versions) && held.Fallback == standing.Fallback
}

// standingOf is the fallback version and one more, if it is another.
func standingOf(fallback, version string) setup.Standing {
	versions := []string{fallback}
	if version != fallback {
		versions = append(versions, version)
	}
	return setup.Standing{Versions: versions, Fallback: fallback}
}

// identity is the plan that a progress is of.
func identity(planned *setup.Release) string { return planned.Service + " " + planned.Version }
