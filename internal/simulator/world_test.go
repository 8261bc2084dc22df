package simulator

import (
	"testing"
	"testing/synctest"
	"time"

	"meadowhinge/internal/store"
	"meadowhinge/schema"
)

// TestFaultsEndWhenRepaired checks that a process that thaws early runs its deferred tasks at once and only once, and that a
// disk whose stall ends early goes on at once. Otherwise a process would respond while its own clock and disk stand still,
// which is no fault of the real world.
func TestFaultsEndWhenRepaired(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		w := NewWorld(1, SeededNone, Options{Empty: true})
		defer w.Close()
		m := &memberNode{process: w.newProcess("store-y")}
		w.startProcess(&m.process)
		var ran []time.Duration
		w.freeze(&m.process, 10*time.Second)
		w.scheduleOn(&m.process, time.Second, func() { ran = append(ran, w.now) })
		w.schedule(3*time.Second, func() { w.freeze(&m.process, 0) })
		w.Run(20 * time.Second)
		if len(ran) != 1 || ran[0] != 3*time.Second {
			t.Errorf("deferred tasks ran at %v", ran)
		}
		node := &memberNode{process: w.newProcess("store-x"), replicaConfig: newReplicaConfig("x", nil, 0)}
		w.members = append(w.members, node)
		w.startMember(node)
		synced := time.Duration(0)
		node.stalledUntil = w.now + 10*time.Second
		w.execute(node, []store.Action{store.Persist{WriteID: 1, Record: &schema.Record{VotedTerm: 1}}})
		w.schedule(2*time.Second, func() { w.endDiskStall(node) })
		var checkSynced func()
		checkSynced = func() {
			if len(node.pendingWrites) == 0 && synced == 0 {
				synced = w.now
			}
			w.schedule(10*time.Millisecond, checkSynced)
		}
		checkSynced()
		w.Run(40 * time.Second)
		if synced < 22*time.Second || synced > 22*time.Second+100*time.Millisecond {
			t.Errorf("synced at %v", synced)
		}
	})
}
