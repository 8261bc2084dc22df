package proxy

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/schema"
)

func source(name string, counter uint64, workers ...string) *schema.Source {
	made := &schema.Source{Name: name, Address: "127.0.0.1:1", Stamp: &schema.Stamp{Incarnation: 1, Counter: counter}}
	for _, instance := range workers {
		made.Workers = append(made.Workers, &schema.Worker{Instance: instance, Service: "shop", Version: "1"})
	}
	return made
}

func item(name string, sequence uint64) *schema.Item {
	return &schema.Item{Kind: "segment", Name: name, Body: []byte(`{"salt":""}`), Version: &schema.Version{Epoch: 1, Sequence: sequence}}
}

// Older news changes nothing, whoever brings it.
func TestViewNeverFallsBack(t *testing.T) {
	held := Fold(EmptyPicture(), Event{Setup: 5, Items: []*schema.Item{item("a", 5)}, Sources: []*schema.Source{source("p", 3, "w")}})
	after := Fold(held, Event{Setup: 4, Items: []*schema.Item{item("b", 4)}, Sources: []*schema.Source{source("p", 2)}})
	if after.setup.Sequence != 5 || after.state["segment/b"] != nil || len(after.view.Directory["shop"]["1"]) != 1 {
		t.Errorf("fell back to %d, %v", after.setup.Sequence, after.view.Directory)
	}
	// What was folded before is not touched by what is folded after.
	later := Fold(held, Event{Setup: 6, Items: []*schema.Item{item("b", 6)}})
	if held.state["segment/b"] != nil || later.state["segment/b"] == nil || later.state["segment/a"] == nil {
		t.Error("a view changed after it was made")
	}
}

// A source that falls silent is dropped while others are heard, and kept when many are silent.
func TestSweep(t *testing.T) {
	var all []*schema.Source
	for i := range 10 {
		all = append(all, source(fmt.Sprint("p", i), 1, fmt.Sprint("w", i)))
	}
	held := Fold(EmptyPicture(), Event{Sources: all})
	for heard, want := range map[int]int{10: 10, 9: 9, 8: 10, 5: 10, 1: 10} {
		var news []*schema.Source
		for i := range heard {
			news = append(news, source(fmt.Sprint("p", i), 2, fmt.Sprint("w", i)))
		}
		later := Fold(held, Event{At: 10 * time.Second, Sources: news})
		if got := len(Fold(later, Event{At: 10 * time.Second, Sweep: time.Second}).view.Directory["shop"]["1"]); got != want {
			t.Errorf("%d of 10 heard: %d workers left, want %d", heard, got, want)
		}
	}
}

func TestOutdated(t *testing.T) {
	held := Fold(EmptyPicture(), Event{At: 0, Setup: 5})
	held = Fold(held, Event{At: 10 * time.Second, Setup: 6})
	for _, one := range []struct {
		sequence uint64
		now      time.Duration
		want     bool
	}{{6, time.Hour, false}, {5, 11 * time.Second, false}, {5, 11*time.Second + 1, true}, {4, 10 * time.Second, true}} {
		if got := held.Outdated(one.sequence, one.now, time.Second); got != one.want {
			t.Errorf("%d at %v: %v", one.sequence, one.now, got)
		}
	}
}

// A source that was dropped comes back with newer news only: a registry that still holds the
// old would else bring it back again and again.
func TestSweptStaysSwept(t *testing.T) {
	all := []*schema.Source{source("p", 2, "w")}
	var heard []*schema.Source
	for i := range 9 {
		all = append(all, source(fmt.Sprint("q", i), 1))
		heard = append(heard, source(fmt.Sprint("q", i), 2))
	}
	held := Fold(EmptyPicture(), Event{Sources: all})
	held = Fold(held, Event{At: 10 * time.Second, Sources: heard})
	held = Fold(held, Event{At: 10 * time.Second, Sweep: time.Second})
	if stamp := held.Vector()["p"]; len(held.sources) != 9 || stamp.GetCounter() != 2 {
		t.Fatalf("%d sources, and %v of the one swept", len(held.sources), stamp)
	}
	if again := Fold(held, Event{At: 10 * time.Second, Sources: all[:1]}); len(again.sources) != 9 {
		t.Error("old news brought it back")
	}
	if back := Fold(held, Event{At: 10 * time.Second, Sources: []*schema.Source{source("p", 3, "w")}}); len(back.sources) != 10 {
		t.Error("newer news did not bring it back")
	}
}
