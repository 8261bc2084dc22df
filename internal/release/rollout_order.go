package release

import (
	"fmt"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/errs"
)

// RolloutOrder is an operator's request that all calls of a service move to a version.
type RolloutOrder struct {
	Service string
	Version string
	Within  time.Duration // deadline, counted from when the order is written; above 0
}

// PlanRollout turns an order into the step that states its plan: the version is allowed, the flag can
// give it, and the plan says by when. The step is nil if the service's plan moves calls to the version
// already, or has done so. An impossible order is an errs.InvalidConfig error, and an order for a service
// without any known version an errs.NoQuorum error, because the versions may become known later.
func PlanRollout(compiled *config.Snapshot, state config.State, order RolloutOrder) (*Step, error) {
	service := compiled.Services[order.Service]
	switch {
	case service == nil:
		return nil, errs.New(errs.InvalidConfig, fmt.Sprintf("service %q does not exist", order.Service))
	case order.Version == "" || order.Within <= 0:
		return nil, errs.New(errs.InvalidConfig, "an order needs a version and a time")
	case service.Fallback == "":
		return nil, errs.New(errs.NoQuorum, fmt.Sprintf("no version of %q is known yet", order.Service))
	}
	version, planState := RolloutState(compiled, order.Service)
	if version == order.Version && planState != "" && planState != StateRolledBack {
		return nil, nil
	}
	discovered := usesDiscoveredVersions(compiled, order.Service)
	if !service.AllowsVersion(order.Version) && !discovered {
		return nil, errs.New(errs.InvalidConfig, fmt.Sprintf("service %q does not list version %q", order.Service, order.Version))
	}
	step := &Step{Name: "order-" + order.Service}
	step.removeSuperseded(compiled, state, order)
	if discovered {
		if err := step.put(discoveredVersionsKind, order.Service, newDiscoveredVersions(service.Fallback, order.Version)); err != nil {
			return nil, err
		}
	}
	// The version gets no call yet: the controller's first step moves the plan to the canary state.
	rolloutFlag := newRolloutFlag(compiled, order.Service, service.Fallback, order.Version, 0)
	if err := step.put(flagKind, config.VersionFlagKey(order.Service), rolloutFlag); err != nil {
		return nil, err
	}
	err := step.put(releaseKind, order.Service, config.Release{
		Service:      order.Service,
		Version:      order.Version,
		Target:       maxPercent,
		DurationText: order.Within.String(),
		Control:      controlGo,
		Strategy:     config.StrategyDeadline,
	})
	return step, err
}

// removeSuperseded deletes what an order replaces: other plans of the service, since a service has one
// plan, the progress of the plan before, and a stop of the version.
func (s *Step) removeSuperseded(compiled *config.Snapshot, state config.State, order RolloutOrder) {
	for name, plan := range compiled.Releases {
		if plan.Service == order.Service && name != order.Service {
			s.remove(state, releaseKind, name)
			s.remove(state, progressKind, name)
		}
	}
	s.remove(state, progressKind, order.Service)
	s.remove(state, stopKind, config.StopName(order.Service, order.Version))
}

// RolloutState is the version of a service's plan, and the state of that plan. Both are empty if the
// service has no plan.
func RolloutState(compiled *config.Snapshot, service string) (version, state string) {
	for _, plan := range compiled.Releases {
		if plan.Service != service {
			continue
		}
		recorded := progressOf(compiled, plan)
		switch {
		case recorded != nil:
			return plan.Version, recorded.State
		case compiled.Progress[plan.Name] == nil && plan.Version == compiled.FallbackOf(service):
			return plan.Version, StateDone
		}
		return plan.Version, StateCanary
	}
	return "", ""
}

// planIdentity is the plan that a progress belongs to, config.Progress.PlanID.
func planIdentity(plan *config.Release) string { return plan.Service + " " + plan.Version }

// progressOf is the recorded progress of a plan; nil if there is none, if it is of another plan that had
// the same name, or if plan is nil.
func progressOf(compiled *config.Snapshot, plan *config.Release) *config.Progress {
	if plan == nil {
		return nil
	}
	if recorded := compiled.Progress[plan.Name]; recorded != nil && recorded.PlanID == planIdentity(plan) {
		return recorded
	}
	return nil
}

// planFor is the plan for a version of a service, nil for none.
func planFor(compiled *config.Snapshot, service, version string) *config.Release {
	for _, plan := range compiled.Releases {
		if plan.Service == service && plan.Version == version {
			return plan
		}
	}
	return nil
}
