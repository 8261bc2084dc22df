package simulator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/store"
	"meadowhinge/schema"
)

// memberNode is one member of the core: a replica of the store with its disk. Only events use it. One exception is
// World.isWellConnected, which reads its disk faults from goroutines; no event runs meanwhile.
type memberNode struct {
	process
	replica       *store.Replica
	replicaConfig store.Config     // configuration that the next run starts with
	incarnation   uint64           // identity of the disk's content; new for each empty disk
	disk          []*schema.Record // durable records, which survive a crash
	pendingWrites []store.Persist  // writes that are not durable yet, in order
	syncsStarted  int              // number of syncs started; a superseded sync has no effect
	nextTickAt    time.Duration    // local time of the next scheduled tick; 0 for none

	// Faults of the disk.
	stalledUntil      time.Duration // virtual time before which no sync finishes
	failsUntil        time.Duration // virtual time before which every sync fails
	maxExtraSyncDelay time.Duration // upper bound of the random latency added to each sync

	// Callbacks by ticket, called once with the reply. A restart drops them.
	pendingRulings     map[string]func(*schema.ProposalReply)
	pendingReadIndexes map[string]func(*schema.ReadIndexReply)

	// The fields below are used only by RunCore.
	lost    bool // a fault took the member, and the core has not fully recovered from it
	removed bool // the member was removed from the core for good
}

// memberName returns the id of the i-th member: "a", "b" and so on.
func memberName(i int) string { return string(rune('a' + i)) }

// newReplicaConfig returns the configuration of a replica. Without static members the replica discovers the core from
// its seeds.
func newReplicaConfig(name string, staticMembers []string, toleratedLosses int) store.Config {
	return store.Config{
		Name:                  name,
		StaticMembers:         staticMembers,
		Address:               name,
		ToleratedLosses:       toleratedLosses,
		HeartbeatTimeout:      heartbeatTimeout,
		StallTimeout:          stallTimeout,
		MaxEntries:            16,
		MaxOutcomes:           4096,
		MaxUncommittedEntries: 64,
		MaxOperatorTombstones: 64,
	}
}

// startMember begins a run of a member with the records on its disk. An empty disk gets a new incarnation.
func (w *World) startMember(node *memberNode) {
	w.startProcess(&node.process)
	node.pendingWrites = nil
	node.pendingRulings = map[string]func(*schema.ProposalReply){}
	node.pendingReadIndexes = map[string]func(*schema.ReadIndexReply){}
	node.nextTickAt = 0
	node.replicaConfig.NewIncarnation = func() uint64 { return uint64(w.nextID()) }
	replicaConfig := node.replicaConfig
	if len(node.disk) == 0 {
		// The seeded fault makes the empty disk pass for the lost one.
		if w.seededFault != SeededWipedMemberInQuorum || node.incarnation == 0 {
			node.incarnation = uint64(w.nextID())
		} else {
			replicaConfig.Founders = memberNames(node.replica)
			replicaConfig.ExpandsMembership = false
		}
		node.disk = []*schema.Record{store.InitialRecord(replicaConfig, node.incarnation)}
		// Only the very first start may found or expand the core.
		node.replicaConfig.Founders = nil
		node.replicaConfig.ExpandsMembership = false
	}
	node.replica = store.NewReplica(replicaConfig, node.incarnation, node.disk)
	w.scheduleOn(&node.process, 0, func() { w.tick(node) })
}

// memberNames returns the ids of the members in the membership that a replica knows.
func memberNames(replica *store.Replica) (names []string) {
	for _, member := range replica.Status().Membership.GetMembers() {
		names = append(names, member.Id)
	}
	return names
}

// tick advances a replica to the member's local time.
func (w *World) tick(node *memberNode) {
	node.nextTickAt = 0
	w.execute(node, node.replica.Tick(node.clock.at(w.now)))
}

// scheduleTick schedules the tick that a replica requests, as its daemon does. It supersedes a tick that is scheduled
// for a later time.
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

// memberNamed returns the member with an id, or nil.
func (w *World) memberNamed(id string) *memberNode {
	for _, node := range w.members {
		if node.name == "store-"+id {
			return node
		}
	}
	return nil
}

// execute carries out the actions that a step of a replica returned, and then schedules the replica's next tick.
func (w *World) execute(node *memberNode, actions []store.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case store.Send:
			w.sendToMember(node, action.Message)
		case store.Persist:
			action.Record = proto.Clone(action.Record).(*schema.Record)
			node.pendingWrites = append(node.pendingWrites, action)
			if len(node.pendingWrites) == 1 {
				w.syncNext(node)
			}
		case store.Reply:
			resolveReply(node.pendingRulings, action.Result.Ticket, action.Result)
		case store.ReadIndexReady:
			resolveReply(node.pendingReadIndexes, action.Result.Ticket, action.Result)
		}
	}
	w.scheduleTick(node)
	w.observeMember(node)
}

// sendToMember sends a message of a replica to the member that it is addressed to, if there is one.
func (w *World) sendToMember(node *memberNode, message *schema.ReplicaMessage) {
	receiver := w.memberNamed(message.To)
	if receiver == nil {
		return
	}
	message = proto.Clone(message).(*schema.ReplicaMessage)
	w.send(&node.process, &receiver.process, func() {
		w.execute(receiver, receiver.replica.Step(receiver.clock.at(w.now), message))
	})
}

// resolveReply calls the callback of a ticket with its reply and removes it. Tickets of an earlier run have no
// callback.
func resolveReply[Reply any](pending map[string]func(Reply), ticket string, reply Reply) {
	if onReply := pending[ticket]; onReply != nil {
		delete(pending, ticket)
		onReply(reply)
	}
}

// syncNext makes the first pending write durable after the disk's latency, then continues with the next.
func (w *World) syncNext(node *memberNode) {
	node.syncsStarted++
	syncID := node.syncsStarted
	delay := w.randomDuration(8*time.Millisecond + node.maxExtraSyncDelay)
	if node.stalledUntil > w.now {
		delay += node.stalledUntil - w.now
	}
	w.scheduleOn(&node.process, delay, func() {
		if syncID != node.syncsStarted {
			return // the stall ended early, and another sync has started
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

// endDiskStall ends the stall of a disk. A sync that waits for the end of the stall starts again at once.
func (w *World) endDiskStall(node *memberNode) {
	if node.stalledUntil > w.now && len(node.pendingWrites) > 0 && node.up {
		node.stalledUntil = 0
		w.syncNext(node)
	}
	node.stalledUntil = 0
}

// failWrites reports a failed write to the replica and rewrites the snapshot later, as the daemon does.
func (w *World) failWrites(node *memberNode) {
	w.execute(node, node.replica.DiskFailed(node.clock.at(w.now)))
	w.scheduleOn(&node.process, stallTimeout/8, func() {
		node.pendingWrites = nil
		w.execute(node, node.replica.RewriteSnapshot(node.clock.at(w.now)))
	})
}

// persist puts a record on the disk, in place of the whole log if the write says so.
func (w *World) persist(node *memberNode, write store.Persist) {
	if write.ReplacesLog {
		node.disk = nil
	}
	node.disk = append(node.disk, write.Record)
}

// crashMember cuts the power of a member. Its pending writes are lost, except for a random prefix that reached the
// disk.
func (w *World) crashMember(node *memberNode) {
	// The seeded fault also drops records that the disk had reported as durable.
	if w.seededFault == SeededSyncedWritesLost {
		for remaining := 1 + w.randomInt(3); remaining > 0 && len(node.disk) > 1; remaining-- {
			last := len(node.disk) - 1
			if node.disk[last].Snapshot != nil {
				break
			}
			node.disk = node.disk[:last]
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

// host returns the host that the member runs on.
func (n *memberNode) host() string { return hostOf(n.name) }
