package simulator

import (
	"testing"
	"testing/synctest"
	"time"

	"meadowhinge/internal/store"
	"meadowhinge/schema"
)

// TestFaultsEndWhenRepaired checks that a process that thaws early runs its deferred tasks at once and only once, and
// that syncs continue at once on a disk whose stall ends early. Otherwise a process would respond while its own
// timers and its disk stand still, which does not happen in the real world.
func TestFaultsEndWhenRepaired(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		w := NewWorld(1, SeededNone, Options{Empty: true})
		defer w.Close()
		frozen := &memberNode{process: w.newProcess("store-y")}
		w.startProcess(&frozen.process)
		var ran []time.Duration
		w.freeze(&frozen.process, 10*time.Second)
		w.scheduleOn(&frozen.process, time.Second, func() { ran = append(ran, w.now) })
		w.schedule(3*time.Second, func() { w.freeze(&frozen.process, 0) })
		w.Run(20 * time.Second)
		if len(ran) != 1 || ran[0] != 3*time.Second {
			t.Errorf("the deferred task ran at %v, want once at the thaw at %v", ran, 3*time.Second)
		}
		stalled := &memberNode{process: w.newProcess("store-x"), replicaConfig: newReplicaConfig("x", nil, 0)}
		w.members = append(w.members, stalled)
		w.startMember(stalled)
		synced := time.Duration(0)
		stalled.stalledUntil = w.now + 10*time.Second
		w.execute(stalled, []store.Action{store.Persist{WriteID: 1, Record: &schema.Record{VotedTerm: 1}}})
		w.schedule(2*time.Second, func() { w.endDiskStall(stalled) })
		var checkSynced func()
		checkSynced = func() {
			if len(stalled.pendingWrites) == 0 && synced == 0 {
				synced = w.now
			}
			w.schedule(10*time.Millisecond, checkSynced)
		}
		checkSynced()
		w.Run(40 * time.Second)
		if synced < 22*time.Second || synced > 22*time.Second+100*time.Millisecond {
			t.Errorf("the pending write was synced at %v, want between 22s and 22.1s; the stall ended at 22s", synced)
		}
	})
}
