package registry

import (
	"testing"
	"time"

	"meadowhinge/schema"
)

// Of a source's updates the one of the newest version is kept; and a node is listed what its vector lacks, and no more.
func TestSourcesNewerThanVector(t *testing.T) {
	state := newFleetStates(1)[0]
	source := func(name string, counter uint64) *schema.Source {
		return &schema.Source{Name: name, Version: &schema.SourceVersion{Incarnation: 1, Counter: counter}}
	}
	for _, update := range []*schema.Source{source("p", 2), source("p", 1), source("q", 1)} {
		state.MergeSource(0, update)
	}
	newer := state.SourcesNewerThan(0, map[string]*schema.SourceVersion{"q": {Incarnation: 1, Counter: 1}})
	if len(newer) != 1 || newer[0].Version.Counter != 2 {
		t.Errorf("beyond the vector: %v", newer)
	}
	if newer := state.SourcesNewerThan(3*testLease, nil); len(newer) != 0 {
		t.Errorf("sources that do not report any more are still listed: %v", newer)
	}
}

// A proxy that starts again gets only those of its workers that stay, and none if it had shut down gracefully.
func TestReportedWorkers(t *testing.T) {
	for name, test := range map[string]struct {
		source *schema.Source
		want   int
	}{
		"unknown":        {nil, 0},
		"one of two":     {&schema.Source{Workers: []*schema.Worker{{Instance: "a"}, {Instance: "b", Draining: true}}}, 1},
		"had terminated": {&schema.Source{Workers: []*schema.Worker{{Instance: "a", Terminated: true}}}, 0},
		"shut down":      {&schema.Source{ShuttingDown: true, Workers: []*schema.Worker{{Instance: "a"}}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			state := NewFleetState(FleetStateOptions{
				MemberID: "s", Lease: time.Second, MaxSources: 4, MaxCounts: 4, WithoutLeases: true,
			})
			if test.source != nil {
				test.source.Name = "p"
				test.source.Version = &schema.SourceVersion{Incarnation: 1, Counter: 1}
				state.OpenSession(0, test.source)
			}
			if got := state.ReportedWorkers("p"); len(got) != test.want {
				t.Errorf("%v, want %d", got, test.want)
			}
		})
	}
}
