package simulator

import (
	"testing"
	"testing/synctest"
	"time"

	"meadowhinge/internal/store"
	"meadowhinge/schema"
)

// A machine that thaws before it was to goes on at once with all it was held up in, once; and so
// does a disk whose stall ends early. A machine half awake, that answers but whose own clock and
// disk stand still, is no fault that there is.
func TestFaultsEndWhenMended(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		w := NewWorld(1, PlantNone, Options{Bare: true})
		defer w.Close()
		m := &seatNode{machine: w.machine("store-y")}
		w.rise(&m.machine)
		var ran []time.Duration
		w.freeze(&m.machine, 10*time.Second)
		w.on(&m.machine, time.Second, func() { ran = append(ran, w.now) })
		w.after(3*time.Second, func() { w.freeze(&m.machine, 0) })
		w.Run(20 * time.Second)
		if len(ran) != 1 || ran[0] != 3*time.Second {
			t.Errorf("what was held up ran at %v", ran)
		}
		node := &seatNode{machine: w.machine("store-x"), options: seatOptions("x", nil, 0)}
		w.seats = append(w.seats, node)
		w.startSeat(node)
		synced := time.Duration(0)
		node.stalledTo = w.now + 10*time.Second
		w.act(node, []store.Action{store.Persist{WriteID: 1, Record: &schema.Record{VotedTerm: 1}}})
		w.after(2*time.Second, func() { w.unstall(node) })
		var look func()
		look = func() {
			if len(node.writing) == 0 && synced == 0 {
				synced = w.now
			}
			w.after(10*time.Millisecond, look)
		}
		look()
		w.Run(40 * time.Second)
		if synced < 22*time.Second || synced > 22*time.Second+100*time.Millisecond {
			t.Errorf("synced at %v", synced)
		}
	})
}
