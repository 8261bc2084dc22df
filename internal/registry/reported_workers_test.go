package registry

import (
	"testing"
	"time"

	"meadowhinge/schema"
)

// Only workers that stay are told to a proxy that starts anew, and none of one that had ended.
func TestReportedWorkers(t *testing.T) {
	for name, test := range map[string]struct {
		source *schema.Source
		want   int
	}{
		"unknown":     {nil, 0},
		"one of two":  {&schema.Source{Workers: []*schema.Worker{{Instance: "a"}, {Instance: "b", Draining: true}}}, 1},
		"it had gone": {&schema.Source{Workers: []*schema.Worker{{Instance: "a", Terminated: true}}}, 0},
		"ended":       {&schema.Source{ShuttingDown: true, Workers: []*schema.Worker{{Instance: "a"}}}, 0},
	} {
		table := NewFleetState(FleetStateOptions{MemberID: "s", Lease: time.Second, MaxSources: 4, MaxCounts: 4, WithoutLeases: true})
		if test.source != nil {
			test.source.Name, test.source.Version = "p", &schema.SourceVersion{Incarnation: 1, Counter: 1}
			table.OpenSession(0, test.source)
		}
		if got := table.ReportedWorkers("p"); len(got) != test.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
