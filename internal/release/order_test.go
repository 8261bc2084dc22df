package release

import (
	"encoding/json"
	"testing"
	"time"

	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// world is a state that steps are written to, as a store would.
type world struct {
	t        *testing.T
	state    setup.State
	sequence uint64
}

func (w *world) write(items ...*schema.Item) {
	w.t.Helper()
	w.sequence++
	for _, item := range items {
		item.Version = &schema.Version{Epoch: 1, Sequence: w.sequence}
	}
	w.state = w.state.With(items)
	if _, faults := setup.Compile(w.state, w.sequence); len(faults) > 0 {
		w.t.Fatalf("step %d is refused: %v", w.sequence, faults)
	}
}

func (w *world) compiled() *setup.Setup {
	compiled, _ := setup.Compile(w.state, w.sequence)
	return compiled
}

func (w *world) body(kind, name string, body any) *schema.Item {
	text, err := json.Marshal(body)
	if err != nil {
		w.t.Fatal(err)
	}
	return &schema.Item{Kind: kind, Name: name, Body: text}
}

func worldOf(t *testing.T) *world {
	w := &world{t: t, state: setup.State{}}
	w.write(&schema.Item{Kind: "service", Name: "shop", Body: []byte(`{"versions":["1","2","3"],"fallback":"1","callers":["client"]}`)})
	return w
}

func (w *world) place(version string) *Step {
	w.t.Helper()
	step, err := Place(w.compiled(), w.state, Order{"shop", version, 12 * time.Second})
	if err != nil {
		w.t.Fatal(err)
	}
	if step != nil {
		w.write(step.Items...)
	}
	return step
}

// An order is one valid change; again it is none; after it was turned back it is stated anew; and
// another version takes its place.
func TestOrders(t *testing.T) {
	w := worldOf(t)
	if version, state := StateOf(w.compiled(), "shop"); version != "" || state != "" {
		t.Errorf("before any order: %q %q", version, state)
	}
	if w.place("2") == nil {
		t.Fatal("the order needs no step")
	}
	if got := w.compiled().Flags.Flags["release.shop"].Reachable(); len(got) != 1 || got[0] != "1" {
		t.Errorf("calls before the first step may get %v", got)
	}
	if w.place("2") != nil {
		t.Error("an order under way is stated again")
	}
	stated := w.compiled().Releases["shop"].Sequence
	w.write(w.body("progress", "shop", setup.Progress{Set: "shop 2", State: Back}))
	if version, state := StateOf(w.compiled(), "shop"); version != "2" || state != Back {
		t.Errorf("turned back: %q %q", version, state)
	}
	if w.place("2") == nil {
		t.Error("what was turned back can't be ordered again")
	}
	if _, state := StateOf(w.compiled(), "shop"); state != Trial || w.compiled().Releases["shop"].Sequence == stated {
		t.Errorf("ordered again: %s", state)
	}
	w.place("3")
	if version, state := StateOf(w.compiled(), "shop"); version != "3" || state != Trial {
		t.Errorf("another version ordered: %q %q", version, state)
	}
}

func TestBadOrders(t *testing.T) {
	w := worldOf(t)
	for name, order := range map[string]Order{
		"no such service":    {"saves", "2", time.Second},
		"a version unlisted": {"shop", "9", time.Second},
		"no version":         {"shop", "", time.Second},
		"no time":            {"shop", "2", 0},
	} {
		if step, err := Place(w.compiled(), w.state, order); err == nil {
			t.Errorf("%s: %v", name, step)
		}
	}
}
