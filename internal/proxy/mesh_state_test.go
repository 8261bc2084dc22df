package proxy

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/schema"
)

func source(name string, counter uint64, workers ...string) *schema.Source {
	made := &schema.Source{Name: name, Address: "127.0.0.1:1", Version: &schema.SourceVersion{Incarnation: 1, Counter: counter}}
	for _, instance := range workers {
		made.Workers = append(made.Workers, &schema.Worker{Instance: instance, Service: "shop", Version: "1"})
	}
	return made
}

func item(name string, sequence uint64) *schema.Item {
	return &schema.Item{Kind: "segment", Name: name, Body: []byte(`{"salt":""}`), Version: &schema.Version{Term: 1, Sequence: sequence}}
}

// Older news changes nothing, whoever brings it.
func TestStateNeverGoesBack(t *testing.T) {
	initial := Fold(EmptyMeshState(), Event{ConfigRevision: 5, Items: []*schema.Item{item("a", 5)}, Sources: []*schema.Source{source("p", 3, "w")}})
	after := Fold(initial, Event{ConfigRevision: 4, Items: []*schema.Item{item("b", 4)}, Sources: []*schema.Source{source("p", 2)}})
	if after.config.Revision != 5 || after.items["segment/b"] != nil || len(after.view.Directory["shop"]["1"]) != 1 {
		t.Errorf("fell back to %d, %v", after.config.Revision, after.view.Directory)
	}
	// What was folded before is not touched by what is folded after.
	later := Fold(initial, Event{ConfigRevision: 6, Items: []*schema.Item{item("b", 6)}})
	if initial.items["segment/b"] != nil || later.items["segment/b"] == nil || later.items["segment/a"] == nil {
		t.Error("a view changed after it was made")
	}
}

// A source that falls silent is dropped while others are heard, and kept when many are silent.
func TestSilentSourcesAreDropped(t *testing.T) {
	var all []*schema.Source
	for i := range 10 {
		all = append(all, source(fmt.Sprint("p", i), 1, fmt.Sprint("w", i)))
	}
	initial := Fold(EmptyMeshState(), Event{Sources: all})
	for heard, want := range map[int]int{10: 10, 9: 9, 8: 10, 5: 10, 1: 10} {
		var updates []*schema.Source
		for i := range heard {
			updates = append(updates, source(fmt.Sprint("p", i), 2, fmt.Sprint("w", i)))
		}
		later := Fold(initial, Event{At: 10 * time.Second, Sources: updates})
		if got := len(Fold(later, Event{At: 10 * time.Second, SourceTimeout: time.Second}).view.Directory["shop"]["1"]); got != want {
			t.Errorf("%d of 10 heard: %d workers left, want %d", heard, got, want)
		}
	}
}

func TestOutdated(t *testing.T) {
	state := Fold(EmptyMeshState(), Event{At: 0, ConfigRevision: 5})
	state = Fold(state, Event{At: 10 * time.Second, ConfigRevision: 6})
	for _, test := range []struct {
		sequence uint64
		now      time.Duration
		want     bool
	}{{6, time.Hour, false}, {5, 11 * time.Second, false}, {5, 11*time.Second + 1, true}, {4, 10 * time.Second, true}} {
		if got := state.Outdated(test.sequence, test.now, time.Second); got != test.want {
			t.Errorf("%d at %v: %v", test.sequence, test.now, got)
		}
	}
}

// A source that was dropped comes back with newer news only: a registry that still holds the
// old would else bring it back again and again.
func TestDroppedSourceStaysDropped(t *testing.T) {
	all := []*schema.Source{source("p", 2, "w")}
	var heard []*schema.Source
	for i := range 9 {
		all = append(all, source(fmt.Sprint("q", i), 1))
		heard = append(heard, source(fmt.Sprint("q", i), 2))
	}
	state := Fold(EmptyMeshState(), Event{Sources: all})
	state = Fold(state, Event{At: 10 * time.Second, Sources: heard})
	state = Fold(state, Event{At: 10 * time.Second, SourceTimeout: time.Second})
	if stamp := state.Vector()["p"]; len(state.sources) != 9 || stamp.GetCounter() != 2 {
		t.Fatalf("%d sources, and %v of the one swept", len(state.sources), stamp)
	}
	if again := Fold(state, Event{At: 10 * time.Second, Sources: all[:1]}); len(again.sources) != 9 {
		t.Error("old news brought it back")
	}
	if back := Fold(state, Event{At: 10 * time.Second, Sources: []*schema.Source{source("p", 3, "w")}}); len(back.sources) != 10 {
		t.Error("newer news did not bring it back")
	}
}
