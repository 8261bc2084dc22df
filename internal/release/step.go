package release

import (
	"encoding/json"
	"fmt"

	"meadowhinge/internal/config"
	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// The kinds of the items that steps write, and the prefix of the changes' ids.
const (
	flagKind     = "flag"
	releaseKind  = "release"
	progressKind = "progress"
	stopKind     = "stop"
	// discoveredVersionsKind names the items that say which versions a service has whose configuration
	// leaves them out. This package writes them, from worker registrations, orders and plans.
	discoveredVersionsKind = "standing"

	changeIDPrefix = "steer-"
)

// Step is a set of items to be written to the configuration as one change.
type Step struct {
	Name  string         // of the plan, or of what else the step is about; part of the change's id
	Items []*schema.Item // without versions: the store assigns them
	// Message and LogFields are the step's log line, the fields as alternating keys and values. The message
	// is empty for a step that is not worth a line.
	Message   string
	LogFields []any
	// Urgent steps roll a version back. They do not wait for other steps in flight.
	Urgent bool
}

// Preconditions are the current versions of the items that the step writes. If another writer changes
// one of them first, the change conflicts, and the next round decides anew.
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

// Change is the step as a change. Member, its incarnation and a serial number of its own make the id unique.
func (s Step) Change(memberID string, incarnation, serial uint64, state config.State) *schema.Change {
	return &schema.Change{
		Id:       fmt.Sprintf(changeIDPrefix+"%s-%x-%d-%s", memberID, incarnation, serial, s.Name),
		Items:    s.Items,
		Expected: s.Preconditions(state),
	}
}

// newItem encodes an item. The errors are internal ones.
func newItem(kind, name string, body any) (*schema.Item, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, kind+" "+name)
	}
	return &schema.Item{Kind: kind, Name: name, Body: encoded}, nil
}

// put appends an item to the step.
func (s *Step) put(kind, name string, body any) error {
	item, err := newItem(kind, name, body)
	if err != nil {
		return err
	}
	s.Items = append(s.Items, item)
	return nil
}

// remove appends the deletion of an item to the step, if the item exists.
func (s *Step) remove(state config.State, kind, name string) {
	if current := state[config.Key(kind, name)]; current != nil && !current.Deleted {
		s.Items = append(s.Items, &schema.Item{Kind: kind, Name: name, Deleted: true})
	}
}

// versionStopStep states that a version gets no calls any more.
func versionStopStep(service, version, verdict string) (Step, error) {
	name := config.StopName(service, version)
	step := Step{Name: name}
	err := step.put(stopKind, name, config.VersionStop{Service: service, Version: version, Reason: versionReason(verdict)})
	return step, err
}
