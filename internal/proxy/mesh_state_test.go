package proxy

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/schema"
)

// newSource returns a version of a source that lists workers of the service "shop".
func newSource(name string, counter uint64, workers ...string) *schema.Source {
	version := &schema.SourceVersion{Incarnation: 1, Counter: counter}
	source := &schema.Source{Name: name, Address: "127.0.0.1:1", Version: version}
	for _, instance := range workers {
		source.Workers = append(source.Workers, &schema.Worker{Instance: instance, Service: "shop", Version: "1"})
	}
	return source
}

// newSegment returns a configuration item of a kind that refers to no other item.
func newSegment(name string, sequence uint64) *schema.Item {
	version := &schema.Version{Term: 1, Sequence: sequence}
	return &schema.Item{Kind: "segment", Name: name, Body: []byte(`{"salt":""}`), Version: version}
}

// Fold ignores an older configuration and an older version of a source, and does not modify earlier states.
func TestFoldIgnoresOlderVersions(t *testing.T) {
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
		t.Errorf("state after older versions: revision %d, items %v, directory %v; want revision 5 without segment/b and one worker",
			after.config.Revision, after.items, after.view.Directory)
	}
	// A later event does not modify the state before it.
	later := Fold(initial, Event{ConfigRevision: 6, Items: []*schema.Item{newSegment("b", 6)}})
	if initial.items["segment/b"] != nil || later.items["segment/b"] == nil || later.items["segment/a"] == nil {
		t.Errorf("items of the state before the event: %v, want only segment/a; after it: %v, want segment/a and segment/b",
			initial.items, later.items)
	}
}

// A timed-out source is dropped while more than minLiveRatio of the sources are live, and retained otherwise.
func TestTimedOutSourcesAreDropped(t *testing.T) {
	var all []*schema.Source
	for i := range 10 {
		all = append(all, newSource(fmt.Sprint("p", i), 1, fmt.Sprint("w", i)))
	}
	initial := Fold(EmptyMeshState(), Event{Sources: all})
	for live, want := range map[int]int{10: 10, 9: 9, 8: 10, 5: 10, 1: 10} {
		t.Run(fmt.Sprint(live, " of 10 live"), func(t *testing.T) {
			var updates []*schema.Source
			for i := range live {
				updates = append(updates, newSource(fmt.Sprint("p", i), 2, fmt.Sprint("w", i)))
			}
			later := Fold(initial, Event{At: 10 * time.Second, Sources: updates})
			later = Fold(later, Event{At: 10 * time.Second, SourceTimeout: time.Second})
			if got := len(later.view.Directory["shop"]["1"]); got != want {
				t.Errorf("workers in the directory after the timeout: %d, want %d", got, want)
			}
		})
	}
}

// A configuration is outdated once a newer one has been applied for longer than the grace time.
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
		"replaced longer ago than the grace time": {5, 11*time.Second + 1, true},
		"older than the first known revision":     {4, 10 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := state.Outdated(test.revision, test.now, time.Second); got != test.want {
				t.Errorf("Outdated(%d, %s, 1s) = %t, want %t", test.revision, test.now, got, test.want)
			}
		})
	}
}

// Only a newer version restores a dropped source. Otherwise a registry that still lists the old version would restore
// the source again and again.
func TestOnlyNewerVersionRestoresDroppedSource(t *testing.T) {
	all := []*schema.Source{newSource("p", 2, "w")}
	var updates []*schema.Source
	for i := range 9 {
		all = append(all, newSource(fmt.Sprint("q", i), 1))
		updates = append(updates, newSource(fmt.Sprint("q", i), 2))
	}
	state := Fold(EmptyMeshState(), Event{Sources: all})
	state = Fold(state, Event{At: 10 * time.Second, Sources: updates})
	state = Fold(state, Event{At: 10 * time.Second, SourceTimeout: time.Second})
	if version := state.Vector()["p"]; len(state.sources) != 9 || version.GetCounter() != 2 {
		t.Fatalf("after the timeout: %d sources, version %v of the dropped source; want 9 sources, counter 2",
			len(state.sources), version)
	}
	if again := Fold(state, Event{At: 10 * time.Second, Sources: all[:1]}); len(again.sources) != 9 {
		t.Errorf("after the old version of the dropped source: %d sources, want 9", len(again.sources))
	}
	restored := Fold(state, Event{At: 10 * time.Second, Sources: []*schema.Source{newSource("p", 3, "w")}})
	if len(restored.sources) != 10 {
		t.Errorf("after a newer version of the dropped source: %d sources, want 10", len(restored.sources))
	}
}
