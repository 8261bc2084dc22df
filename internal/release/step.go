package release

import (
	"encoding/json"
	"fmt"

	"meadowhinge/internal/config"
	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// The configuration item kinds that steps write, and the prefix of their change ids.
const (
	kindFlag     = "flag"
	kindRelease  = "release"
	kindProgress = "progress"
	kindStop     = "stop"
	// kindDiscoveredVersions is the kind of the items that list the versions of a service whose own
	// configuration lists none. This package derives them from worker registrations, rollout orders and plans.
	kindDiscoveredVersions = "standing"

	changeIDPrefix = "steer-"
)

// Step is a set of items to be written to the configuration as one change.
type Step struct {
	// Name identifies the step's subject, such as a plan or a stop. It is part of the change id.
	Name string
	// Items are the items to write. They carry no versions: the store assigns them.
	Items []*schema.Item
	// Message is the text of the step's log line. It is empty for a step that is not logged.
	Message string
	// LogFields are the fields of the step's log line, as alternating keys and values.
	LogFields []any
	// Urgent marks a step that rolls a version back. Such a step does not wait for other steps in flight.
	Urgent bool
}

// Preconditions returns the current versions of those items of the step that exist already. If another writer
// changes one of them first, or creates one of the others, the change conflicts, and the next round computes a new
// step.
func (s Step) Preconditions(state config.State) []*schema.ExpectedVersion {
	var expected []*schema.ExpectedVersion
	for _, item := range s.Items {
		if current := state[config.Key(item.Kind, item.Name)]; current != nil && !current.Deleted {
			expected = append(expected, &schema.ExpectedVersion{
				Kind:     item.Kind,
				Name:     item.Name,
				Sequence: current.Version.Sequence,
			})
		}
	}
	return expected
}

// Change returns the configuration change that writes the step. The change id is unique because it contains
// the id of the writing member, the member's incarnation and a serial number within that incarnation.
func (s Step) Change(memberID string, incarnation, serial uint64, state config.State) *schema.Change {
	return &schema.Change{
		Id:       fmt.Sprintf(changeIDPrefix+"%s-%x-%d-%s", memberID, incarnation, serial, s.Name),
		Items:    s.Items,
		Expected: s.Preconditions(state),
	}
}

// newItem returns an item with the JSON encoding of body. It fails with code errs.Internal if body cannot be
// encoded.
func newItem(kind, name string, body any) (*schema.Item, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, fmt.Sprintf("encoding %s %q", kind, name))
	}
	return &schema.Item{Kind: kind, Name: name, Body: encoded}, nil
}

// appendItem adds the item to the step. It fails with code errs.Internal if body cannot be encoded.
func (s *Step) appendItem(kind, name string, body any) error {
	item, err := newItem(kind, name, body)
	if err != nil {
		return err
	}
	s.Items = append(s.Items, item)
	return nil
}

// appendDeletion adds the deletion of an item to the step, if the item exists.
func (s *Step) appendDeletion(state config.State, kind, name string) {
	if current := state[config.Key(kind, name)]; current != nil && !current.Deleted {
		s.Items = append(s.Items, &schema.Item{Kind: kind, Name: name, Deleted: true})
	}
}

// versionStopStep returns the step that stops a version, so that it gets no more calls.
func versionStopStep(service, version, verdict string) (Step, error) {
	name := config.StopName(service, version)
	step := Step{Name: name}
	err := step.appendItem(kindStop, name, config.VersionStop{Service: service, Version: version, Reason: versionReason(verdict)})
	return step, err
}
