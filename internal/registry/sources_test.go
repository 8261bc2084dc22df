package registry

import (
	"testing"
	"time"

	"meadowhinge/schema"
)

// TestSourcesNewerThanReturnsWhatVectorLacks checks that a source keeps its newest update, and that exactly the sources
// newer than a version vector are returned. A source without a home registry must expire.
func TestSourcesNewerThanReturnsWhatVectorLacks(t *testing.T) {
	state := newFleetStates(1)[0]
	source := func(name string, counter uint64) *schema.Source {
		return &schema.Source{Name: name, Version: &schema.SourceVersion{Incarnation: 1, Counter: counter}}
	}
	for _, update := range []*schema.Source{source("p", 2), source("p", 1), source("q", 1)} {
		state.MergeSource(0, update)
	}
	newer := state.SourcesNewerThan(0, map[string]*schema.SourceVersion{"q": {Incarnation: 1, Counter: 1}})
	if len(newer) != 1 || newer[0].Version.Counter != 2 {
		t.Errorf("SourcesNewerThan a vector with q: got %v, want only p with counter 2", newer)
	}
	if newer := state.SourcesNewerThan(3*testLease, nil); len(newer) != 0 {
		t.Errorf("SourcesNewerThan nil, three leases after the last report: got %v, want none", newer)
	}
}

// TestRestartedProxyGetsActiveWorkers checks that a restarted proxy gets only its active workers, and none if it had
// shut down gracefully.
func TestRestartedProxyGetsActiveWorkers(t *testing.T) {
	for name, test := range map[string]struct {
		source *schema.Source
		want   int // number of workers
	}{
		"unknown proxy has no workers":        {nil, 0},
		"draining worker is left out":         {&schema.Source{Workers: []*schema.Worker{{Instance: "a"}, {Instance: "b", Draining: true}}}, 1},
		"terminated worker is left out":       {&schema.Source{Workers: []*schema.Worker{{Instance: "a", Terminated: true}}}, 0},
		"proxy that shut down has no workers": {&schema.Source{ShuttingDown: true, Workers: []*schema.Worker{{Instance: "a"}}}, 0},
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
				t.Errorf("ReportedWorkers: got %v, want %d workers", got, test.want)
			}
		})
	}
}
