package simulator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/store"
	"meadowhinge/schema"
)

type memberNode struct {
	process
	replica           *store.Replica
	replicaConfig     store.Config
	incarnation       uint64
	disk              []*schema.Record // synced
	pendingWrites     []store.Persist
	stalledUntil      time.Duration
	syncsStarted      int // begun
	failsUntil        time.Duration
	maxExtraSyncDelay time.Duration // added to every sync at most
	nextTickAt        time.Duration // by its own clock
	pendingReplies    map[string]func(any)
	lost, removed     bool // of a core alone: taken by a fault, or away for good
}

func memberName(i int) string { return string(rune('a' + i)) }

func newReplicaConfig(name string, order []string, losses int) store.Config {
	return store.Config{
		Name:             name,
		StaticMembers:    order,
		Address:          name,
		ToleratedLosses:  losses,
		HeartbeatTimeout: heartbeatTimeout,
		StallTimeout:     stallTimeout,

		MaxEntries:            16,
		MaxOutcomes:           4096,
		MaxUncommittedEntries: 64,
		MaxOperatorTombstones: 64,
	}
}

func (w *World) startMember(node *memberNode) {
	w.startProcess(&node.process)
	node.pendingWrites = nil
	node.pendingReplies = map[string]func(any){}
	node.nextTickAt = 0
	node.replicaConfig.NewIncarnation = func() uint64 { return uint64(w.nextID()) }
	replicaConfig := node.replicaConfig
	if len(node.disk) == 0 {
		// The planted fault lets an empty folder pass for the one that was lost.
		if w.seededFault != SeededWipedMemberCounts || node.incarnation == 0 {
			node.incarnation = uint64(w.nextID())
		} else {
			replicaConfig.Founders = memberNames(node.replica)
			replicaConfig.ExpandsMembership = false
		}
		node.disk = []*schema.Record{store.InitialRecord(replicaConfig, node.incarnation)}
		// Only the first start of all founds anything.
		node.replicaConfig.Founders, node.replicaConfig.ExpandsMembership = nil, false
	}
	node.replica = store.NewReplica(replicaConfig, node.incarnation, node.disk)
	w.scheduleOn(&node.process, 0, func() { w.tick(node) })
}

// memberNames names the seats as one of them knows them.
func memberNames(replica *store.Replica) (names []string) {
	for _, member := range replica.Status().Membership.GetMembers() {
		names = append(names, member.Id)
	}
	return names
}

func (w *World) tick(node *memberNode) {
	node.nextTickAt = 0
	w.execute(node, node.replica.Tick(node.clock.at(w.now)))
}

// scheduleTick lets a seat tick when it wants to, as its daemon does.
func (w *World) scheduleTick(node *memberNode) {
	at := node.replica.NextTickAt()
	if node.nextTickAt != 0 && at >= node.nextTickAt {
		return
	}
	node.nextTickAt = at
	delay := time.Duration(float64(at-node.clock.at(w.now)) / node.clock.rate)
	w.scheduleOn(&node.process, max(delay, time.Microsecond), func() {
		if node.nextTickAt == at {
			w.tick(node)
		}
	})
}

func (w *World) memberNamed(name string) *memberNode {
	for _, node := range w.members {
		if node.name == "store-"+name {
			return node
		}
	}
	return nil
}

func (w *World) execute(node *memberNode, actions []store.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case store.Send:
			receiver := w.memberNamed(action.Message.To)
			if receiver == nil {
				continue
			}
			message := proto.Clone(action.Message).(*schema.ReplicaMessage)
			w.send(&node.process, &receiver.process,
				func() { w.execute(receiver, receiver.replica.Step(receiver.clock.at(w.now), message)) })
		case store.Persist:
			action.Record = proto.Clone(action.Record).(*schema.Record)
			node.pendingWrites = append(node.pendingWrites, action)
			if len(node.pendingWrites) == 1 {
				w.syncNext(node)
			}
		case store.Reply:
			w.resolveReply(node, action.Result.Ticket, action.Result)
		case store.ReadIndexReady:
			w.resolveReply(node, action.Result.Ticket, action.Result)
		}
	}
	w.scheduleTick(node)
	w.observeMember(node)
}

func (w *World) resolveReply(node *memberNode, ticket string, result any) {
	if onReply := node.pendingReplies[ticket]; onReply != nil {
		delete(node.pendingReplies, ticket)
		onReply(result)
	}
}

// syncNext finishes the first write after the disk's delay, then takes the next.
func (w *World) syncNext(node *memberNode) {
	node.syncsStarted++
	syncID := node.syncsStarted
	delay := w.randomDuration(8*time.Millisecond + node.maxExtraSyncDelay)
	if node.stalledUntil > w.now {
		delay += node.stalledUntil - w.now
	}
	w.scheduleOn(&node.process, delay, func() {
		if syncID != node.syncsStarted {
			return // the stall that it waited for ended before
		}
		if node.stalledUntil > w.now {
			w.syncNext(node)
			return
		}
		if node.failsUntil > w.now {
			w.failWrites(node)
			return
		}
		write := node.pendingWrites[0]
		node.pendingWrites = node.pendingWrites[1:]
		w.persist(node, write)
		if len(node.pendingWrites) > 0 {
			w.syncNext(node)
		}
		w.execute(node, node.replica.Persisted(node.clock.at(w.now), write.WriteID))
	})
}

// endDiskStall ends a disk's stall, and it goes on at once with what it was writing.
func (w *World) endDiskStall(node *memberNode) {
	if node.stalledUntil > w.now && len(node.pendingWrites) > 0 && node.up {
		node.stalledUntil = 0
		w.syncNext(node)
	}
	node.stalledUntil = 0
}

// failWrites is what the daemon does of a disk that refuses a write.
func (w *World) failWrites(node *memberNode) {
	w.execute(node, node.replica.DiskFailed(node.clock.at(w.now)))
	w.scheduleOn(&node.process, stallTimeout/8, func() {
		node.pendingWrites = nil
		w.execute(node, node.replica.RewriteSnapshot(node.clock.at(w.now)))
	})
}

// persist puts a record on the disk for good.
func (w *World) persist(node *memberNode, write store.Persist) {
	if write.ReplacesLog {
		node.disk = nil
	}
	node.disk = append(node.disk, write.Record)
}

// crashMember is a loss of power: what was not synced is gone, but for a part that happened
// to reach the disk.
func (w *World) crashMember(node *memberNode) {
	// The planted disk said "synced" of records that power loss now takes away.
	if w.seededFault == SeededLyingDisk {
		for remaining := 1 + w.randomInt(3); remaining > 0 && len(node.disk) > 1 && node.disk[len(node.disk)-1].Snapshot == nil; remaining-- {
			node.disk = node.disk[:len(node.disk)-1]
		}
	}
	if node.up {
		for range w.randomInt(len(node.pendingWrites) + 1) {
			w.persist(node, node.pendingWrites[0])
			node.pendingWrites = node.pendingWrites[1:]
		}
	}
	w.stopProcess(&node.process)
}

func (n *memberNode) host() string { return hostOf(n.name) }
