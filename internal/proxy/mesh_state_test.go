package proxy

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/schema"
)

// newSource is a version of a source that lists workers of the service "shop".
func newSource(name string, counter uint64, workers ...string) *schema.Source {
	version := &schema.SourceVersion{Incarnation: 1, Counter: counter}
	source := &schema.Source{Name: name, Address: "127.0.0.1:1", Version: version}
	for _, instance := range workers {
		source.Workers = append(source.Workers, &schema.Worker{Instance: instance, Service: "shop", Version: "1"})
	}
	return source
}

// newSegment is a configuration item of a kind that refers to no other.
func newSegment(name string, sequence uint64) *schema.Item {
	version := &schema.Version{Term: 1, Sequence: sequence}
	return &schema.Item{Kind: "segment", Name: name, Body: []byte(`{"salt":""}`), Version: version}
}

// An older configuration or version of a source changes nothing, whoever sends it.
func TestStateNeverGoesBack(t *testing.T) {
	initial := Fold(EmptyMeshState(), Event{
		ConfigRevision: 5,
		Items:          []*schema.Item{newSegment("a", 5)},
		Sources:        []*schema.Source{newSource("p", 3, "w")},
	})
	after := Fold(initial, Event{
		ConfigRevision: 4,
		Items:          []*schema.Item{newSegment("b", 4)},
		Sources:        []*schema.Source{newSource("p", 2)},
	})
	if after.config.Revision != 5 || after.items["segment/b"] != nil || len(after.view.Directory["shop"]["1"]) != 1 {
		t.Errorf("fell back to %d, %v", after.config.Revision, after.view.Directory)
	}
	// A later event does not change the state before it.
	later := Fold(initial, Event{ConfigRevision: 6, Items: []*schema.Item{newSegment("b", 6)}})
	if initial.items["segment/b"] != nil || later.items["segment/b"] == nil || later.items["segment/a"] == nil {
		t.Error("a state changed after it was made")
	}
}

// A source that is not heard from is dropped while the others are, and retained if many are not heard from.
func TestSilentSourcesAreDropped(t *testing.T) {
	var all []*schema.Source
	for i := range 10 {
		all = append(all, newSource(fmt.Sprint("p", i), 1, fmt.Sprint("w", i)))
	}
	initial := Fold(EmptyMeshState(), Event{Sources: all})
	for heard, want := range map[int]int{10: 10, 9: 9, 8: 10, 5: 10, 1: 10} {
		t.Run(fmt.Sprint(heard, " of 10 heard"), func(t *testing.T) {
			var updates []*schema.Source
			for i := range heard {
				updates = append(updates, newSource(fmt.Sprint("p", i), 2, fmt.Sprint("w", i)))
			}
			later := Fold(initial, Event{At: 10 * time.Second, Sources: updates})
			later = Fold(later, Event{At: 10 * time.Second, SourceTimeout: time.Second})
			if got := len(later.view.Directory["shop"]["1"]); got != want {
				t.Errorf("%d workers left, want %d", got, want)
			}
		})
	}
}

// A configuration is outdated once a newer one has been in use for longer than the grace time.
func TestOutdated(t *testing.T) {
	state := Fold(EmptyMeshState(), Event{At: 0, ConfigRevision: 5})
	state = Fold(state, Event{At: 10 * time.Second, ConfigRevision: 6})
	for name, test := range map[string]struct {
		revision uint64
		now      time.Duration
		want     bool
	}{
		"in use":                         {6, time.Hour, false},
		"replaced within the grace time": {5, 11 * time.Second, false},
		"replaced before it":             {5, 11*time.Second + 1, true},
		"replaced long ago":              {4, 10 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := state.Outdated(test.revision, test.now, time.Second); got != test.want {
				t.Errorf("revision %d at %v: outdated %t", test.revision, test.now, got)
			}
		})
	}
}

// A dropped source comes back with a newer version only: otherwise a registry that still has the old one would bring it
// back again and again.
func TestDroppedSourceStaysDropped(t *testing.T) {
	all := []*schema.Source{newSource("p", 2, "w")}
	var heard []*schema.Source
	for i := range 9 {
		all = append(all, newSource(fmt.Sprint("q", i), 1))
		heard = append(heard, newSource(fmt.Sprint("q", i), 2))
	}
	state := Fold(EmptyMeshState(), Event{Sources: all})
	state = Fold(state, Event{At: 10 * time.Second, Sources: heard})
	state = Fold(state, Event{At: 10 * time.Second, SourceTimeout: time.Second})
	if version := state.Vector()["p"]; len(state.sources) != 9 || version.GetCounter() != 2 {
		t.Fatalf("%d sources, and version %v of the dropped one", len(state.sources), version)
	}
	if again := Fold(state, Event{At: 10 * time.Second, Sources: all[:1]}); len(again.sources) != 9 {
		t.Error("the old version brought it back")
	}
	if back := Fold(state, Event{At: 10 * time.Second, Sources: []*schema.Source{newSource("p", 3, "w")}}); len(back.sources) != 10 {
		t.Error("a newer version did not bring it back")
	}
}
