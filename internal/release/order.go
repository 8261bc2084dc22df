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

// Standing is an item that says which versions a service has that leaves them out itself: the
// release duty writes it, by what workers tell and by what comes of orders.
const Standing = "standing"

// Stood is the body of a standing item.
type Stood struct {
	Versions []string `json:"versions"`
	Fallback string   `json:"fallback"`
}

// stoodOf reads what stands for a service, nil for nothing.
func stoodOf(state setup.State, service string) *Stood {
	item := state[setup.Key(Standing, service)]
	if item == nil || item.Deleted {
		return nil
	}
	stood := &Stood{}
	if json.Unmarshal(item.Body, stood) != nil {
		return nil
	}
	return stood
}

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
	fallback, versions := service.Fallback, service.Versions
	stood := stoodOf(state, order.Service)
	if stood != nil {
		fallback, versions = stood.Fallback, stood.Versions
	}
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
	if !slices.Contains(versions, order.Version) {
		if stood == nil {
			return nil, defect.New(defect.BadSetup, fmt.Sprintf("service %q does not list version %q", order.Service, order.Version))
		}
		if err := put(Standing, order.Service, Stood{Versions: []string{fallback, order.Version}, Fallback: fallback}); err != nil {
			return nil, err
		}
	}
	if order.Version != fallback {
		key := setup.FlagOf(order.Service)
		decider := flag.Flag{On: true, Salt: order.Service, Variations: []string{fallback, order.Version}}
		if held := compiled.Flags.Flags[key]; held != nil {
			decider.Salt = held.Salt
		}
		// No call yet: the duty's first step gives the version its trial.
		decider.Fallthrough.Rollout = &flag.Rollout{Variations: []flag.Weighted{{Variation: 1, Weight: 0}, {Variation: 0, Weight: flag.Whole}}}
		if err := put("flag", key, decider); err != nil {
			return nil, err
		}
	}
	err := put("release", order.Service, setup.Release{Service: order.Service, Version: order.Version, Target: 100, OverIn: order.Over.String(), Pace: "go"})
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
		case planned.Version == compiled.FallbackOf(service):
			return planned.Version, Done
		case progress == nil || progress.Set != identity(planned):
			return planned.Version, Trial
		}
		return planned.Version, progress.State
	}
	return "", ""
}

// identity is the plan that a progress is of.
func identity(planned *setup.Release) string { return planned.Service + " " + planned.Version }
