package release

import (
	"fmt"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// RolloutOrder is an operator's request to shift all calls of a service to a version.
type RolloutOrder struct {
	Service string        // name of the service
	Version string        // version that is to get all calls
	Within  time.Duration // deadline, counted from the time when the order is written; must be above 0
}

// PlanRollout returns the step that creates the plan for an order. The step allows the version, adds it to the
// service's flag and writes a deadline plan. It is nil if the service's plan shifts calls to the version
// already, or has done so. PlanRollout fails with code errs.InvalidConfig if the order is invalid. It fails
// with code errs.NoQuorum if no version of the service is known, because one may become known later, and with code
// errs.Internal if an item cannot be encoded.
func PlanRollout(compiled *config.Snapshot, state config.State, order RolloutOrder) (*Step, error) {
	service := compiled.Services[order.Service]
	switch {
	case service == nil:
		return nil, errs.New(errs.InvalidConfig, fmt.Sprintf("service %q does not exist", order.Service))
	case order.Version == "" || order.Within <= 0:
		return nil, errs.New(errs.InvalidConfig, fmt.Sprintf(
			"rollout of service %q needs a version and a deadline above 0, got version %q within %v",
			order.Service, order.Version, order.Within))
	case service.Fallback == "":
		return nil, errs.New(errs.NoQuorum, fmt.Sprintf("no version of service %q is known yet", order.Service))
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
		if err := step.appendItem(kindDiscoveredVersions, order.Service, newDiscoveredVersions(service.Fallback, order.Version)); err != nil {
			return nil, err
		}
	}
	// The version gets no calls yet. The controller's first step moves the plan to the canary state.
	rolloutFlag := newRolloutFlag(compiled, order.Service, service.Fallback, order.Version, 0)
	if err := step.appendItem(kindFlag, config.VersionFlagKey(order.Service), rolloutFlag); err != nil {
		return nil, err
	}
	err := step.appendItem(kindRelease, order.Service, config.Release{
		Service:      order.Service,
		Version:      order.Version,
		Target:       maxPercent,
		DurationText: order.Within.String(),
		Control:      controlGo,
		Strategy:     config.StrategyDeadline,
	})
	return step, err
}

// kindRefusedOrder is the kind of the item that stands for a refused order. No configuration has items of this kind.
const kindRefusedOrder = "refused-order"

// RefusedOrder returns a step that every store refuses, so that the refusal of an invalid order is stored under the id of
// the order, for its copies.
func RefusedOrder(order RolloutOrder) *Step {
	return &Step{
		Name:  "order-" + order.Service,
		Items: []*schema.Item{{Kind: kindRefusedOrder, Name: order.Service, Body: []byte("{}")}},
	}
}

// removeSuperseded adds the deletion of the items that an order replaces. These are the progress of the previous plan
// of the same name, a stop of the version, and other plans of the service with their progress. Other plans are
// deleted because a service has only one plan.
func (s *Step) removeSuperseded(compiled *config.Snapshot, state config.State, order RolloutOrder) {
	for name, plan := range compiled.Releases {
		if plan.Service == order.Service && name != order.Service {
			s.appendDeletion(state, kindRelease, name)
			s.appendDeletion(state, kindProgress, name)
		}
	}
	s.appendDeletion(state, kindProgress, order.Service)
	s.appendDeletion(state, kindStop, config.StopName(order.Service, order.Version))
}

// RolloutState returns the version of a service's plan and the state of that plan. Both are empty if the service
// has no plan. A plan without recorded progress is done if its version is the fallback, and else a canary.
func RolloutState(compiled *config.Snapshot, service string) (version, state string) {
	for _, plan := range compiled.Releases {
		if plan.Service != service {
			continue
		}
		recorded := progressOf(compiled, plan)
		switch {
		case recorded != nil:
			return plan.Version, recorded.State
		case compiled.Progress[plan.Name] == nil && plan.Version == compiled.FallbackVersion(service):
			return plan.Version, StateDone
		}
		return plan.Version, StateCanary
	}
	return "", ""
}

// planIdentity returns the config.Progress.PlanID of a plan's progress.
func planIdentity(plan *config.Release) string { return plan.Service + " " + plan.Version }

// progressOf returns the recorded progress of a plan. It is nil if there is none, if it belongs to another plan
// that had the same name, or if plan is nil.
func progressOf(compiled *config.Snapshot, plan *config.Release) *config.Progress {
	if plan == nil {
		return nil
	}
	if recorded := compiled.Progress[plan.Name]; recorded != nil && recorded.PlanID == planIdentity(plan) {
		return recorded
	}
	return nil
}

// planFor returns the plan for a version of a service, nil if there is none.
func planFor(compiled *config.Snapshot, service, version string) *config.Release {
	for _, plan := range compiled.Releases {
		if plan.Service == service && plan.Version == version {
			return plan
		}
	}
	return nil
}
