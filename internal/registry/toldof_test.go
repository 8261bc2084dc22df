package registry

import (
	"testing"
	"time"

	"meadowhinge/schema"
)

// Only workers that stay are told to a proxy that starts anew, and none of one that had ended.
func TestToldOf(t *testing.T) {
	for name, one := range map[string]struct {
		source *schema.Source
		want   int
	}{
		"unknown":     {nil, 0},
		"one of two":  {&schema.Source{Workers: []*schema.Worker{{Instance: "a"}, {Instance: "b", Leaving: true}}}, 1},
		"it had gone": {&schema.Source{Workers: []*schema.Worker{{Instance: "a", Gone: true}}}, 0},
		"ended":       {&schema.Source{Ended: true, Workers: []*schema.Worker{{Instance: "a"}}}, 0},
	} {
		table := NewTable(TableOptions{Seat: "s", Lease: time.Second, SourcesMost: 4, CountsMost: 4, Leaseless: true})
		if one.source != nil {
			one.source.Name, one.source.Stamp = "p", &schema.Stamp{Incarnation: 1, Counter: 1}
			table.Arrive(0, one.source)
		}
		if got := table.ToldOf("p"); len(got) != one.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
