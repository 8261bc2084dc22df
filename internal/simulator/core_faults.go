package simulator

import (
	"slices"
	"strings"
	"time"
)

// lossKind classifies the faults of a CoreWorld by what happens to members. Permanent losses and partitions are never
// active at the same time: a partitioned member is as good as lost, and the core need not survive the permanent loss of
// another one meanwhile.
type lossKind int

const (
	lossTemporary lossKind = iota // members, disks or links fail and come back
	lossPermanent                 // a member is removed for good and replaced
	lossPartition                 // links are cut
	lossKindCount                 // number of kinds
)

// coreFault is a kind of fault of a core without a mesh.
type coreFault struct {
	name        string
	membersLost int // number of members that the fault takes; 0 with hitsAll, where CoreOptions.MaxLosses count as lost
	kind        lossKind
	// inject begins the fault and returns a function that ends it.
	inject func(w *CoreWorld) (repair func())
}

// hitsAll reports whether the fault hits all members at once. The names of such faults begin with "all".
func (f coreFault) hitsAll() bool { return strings.HasPrefix(f.name, "all") }

// CoreFaults lists the kinds of fault that RunCore injects. Seeds draw them by index, so a change of the order changes
// recorded histories. Tests select faults by name.
var CoreFaults = []coreFault{
	{"power lost", 1, lossTemporary, func(w *CoreWorld) func() { return w.crashAndRestart(w.loseRandomMember(), false) }},
	{"disk lost", 1, lossTemporary, func(w *CoreWorld) func() { return w.crashAndRestart(w.loseRandomMember(), true) }},
	{"power lost right after an acknowledgement", 1, lossTemporary, func(w *CoreWorld) func() { return w.crashLeaderAfterAcknowledgement(false) }},
	{"disk lost right after an acknowledgement", 1, lossTemporary, func(w *CoreWorld) func() { return w.crashLeaderAfterAcknowledgement(true) }},
	{"member replaced", 1, lossPermanent, func(w *CoreWorld) func() { return w.replaceMember(false) }},
	{"member replaced, and back later", 1, lossPermanent, func(w *CoreWorld) func() { return w.replaceMember(true) }},
	{"member frozen", 1, lossTemporary, (*CoreWorld).freezeRandom},
	{"disk stalls", 1, lossTemporary, (*CoreWorld).stallRandom},
	{"disk writes fail", 1, lossTemporary, (*CoreWorld).failRandomDisk},
	{"disk slow", 1, lossTemporary, (*CoreWorld).slowRandom},
	{"all lose power", 0, lossTemporary, func(w *CoreWorld) func() { return w.crashAll(0) }},
	{"all lose power, and some their disks", 0, lossTemporary, func(w *CoreWorld) func() { return w.crashAll(w.options.MaxLosses) }},
	{"one member isolated", 0, lossPartition, (*CoreWorld).isolateRandom},
	{"one member isolated in one direction", 0, lossPartition, (*CoreWorld).isolateRandomOneWay},
	{"core split in two", 0, lossPartition, (*CoreWorld).splitInTwo},
	{"every member isolated", 0, lossPartition, func(w *CoreWorld) func() { return w.partition(func(string, string) bool { return true }) }},
	{"one link cut in one direction", 0, lossPartition, (*CoreWorld).partitionRandomLink},
	{"lossy links", 0, lossTemporary, func(w *CoreWorld) func() { return w.loseMessages() }},
	{"slow links", 0, lossTemporary, func(w *CoreWorld) func() { return w.delayMessages() }},
}

// freezeRandom and the methods up to partitionRandomLink begin the fault in their name, at random members, and return
// a function that ends it.
func (w *CoreWorld) freezeRandom() func() {
	node := w.loseRandomMember()
	w.freeze(&node.process, w.now+w.randomDuration(12*time.Second))
	return func() { w.freeze(&node.process, 0) }
}

func (w *CoreWorld) stallRandom() func() {
	node := w.loseRandomMember()
	node.stalledUntil = w.now + 3*time.Second + w.randomDuration(3*time.Second)
	return func() { w.endDiskStall(node) }
}

func (w *CoreWorld) failRandomDisk() func() {
	node := w.loseRandomMember()
	node.failsUntil = w.now + w.randomDuration(6*time.Second)
	return func() { node.failsUntil = 0 }
}

func (w *CoreWorld) slowRandom() func() {
	node := w.loseRandomMember()
	node.maxExtraSyncDelay = 50 * time.Millisecond
	return func() { node.maxExtraSyncDelay = 0 }
}

func (w *CoreWorld) isolateRandom() func() {
	isolated := w.randomMember().host()
	return w.partition(func(a, b string) bool { return a == isolated || b == isolated })
}

func (w *CoreWorld) isolateRandomOneWay() func() {
	isolated, inward := w.randomMember().host(), w.randomInt(2) == 0
	return w.partition(func(a, b string) bool { return (inward && b == isolated) || (!inward && a == isolated) })
}

func (w *CoreWorld) splitInTwo() func() {
	side := map[string]bool{}
	for _, node := range w.activeMembers() {
		side[node.host()] = w.randomInt(2) == 0
	}
	return w.partition(func(a, b string) bool { return side[a] != side[b] })
}

func (w *CoreWorld) partitionRandomLink() func() {
	from, to := w.randomMember().host(), w.randomMember().host()
	return w.partition(func(a, b string) bool { return a == from && b == to })
}

// lossRecord is a fault that was injected, with the members that it took.
type lossRecord struct {
	kind  lossKind
	count int           // number of members that count as lost until releaseLoss
	nodes []*memberNode // members whose lost flag the fault has set
}

// loseRandomMember draws an active member that is not lost already, marks it as lost and adds it to the current loss.
func (w *CoreWorld) loseRandomMember() *memberNode {
	for {
		if node := w.randomMember(); !node.lost {
			node.lost = true
			w.currentLoss.nodes = append(w.currentLoss.nodes, node)
			return node
		}
	}
}

// crashAndRestart cuts the power of a member, wipes its disk if loseDisk is set, and returns a function that starts it
// again under the same id.
func (w *CoreWorld) crashAndRestart(node *memberNode, loseDisk bool) (restart func()) {
	w.crashMember(node)
	if loseDisk {
		node.disk = nil
	}
	return func() { w.startWithSeeds(node) }
}

// crashLeaderAfterAcknowledgement crashes the leader at the next acknowledgement and returns a function that starts it
// again. There is no crash if that function is called first.
func (w *CoreWorld) crashLeaderAfterAcknowledgement(loseDisk bool) (restart func()) {
	var restartLeader func()
	ended, loss := false, w.currentLoss
	w.onAcknowledged = append(w.onAcknowledged, func() {
		for _, node := range w.activeMembers() {
			isLeader := "store-"+node.replica.Status().Leader == node.name
			if !ended && restartLeader == nil && node.up && !node.lost && isLeader {
				node.lost = true
				loss.nodes = append(loss.nodes, node)
				restartLeader = w.crashAndRestart(node, loseDisk)
			}
		}
	})
	return func() {
		if ended = true; restartLeader != nil {
			restartLeader()
		}
	}
}

// replaceMember removes a member for good and returns a function that starts an empty replacement under another id. If
// oldReturns is set, the old member starts again 3 to 13 s after the replacement.
func (w *CoreWorld) replaceMember(oldReturns bool) (startReplacement func()) {
	node, loss := w.loseRandomMember(), w.currentLoss
	w.crashMember(node)
	node.removed = true
	w.Replacements++
	return func() {
		if w.seededFault == SeededNoReplacement {
			return
		}
		replacement := w.addMember(memberName(len(w.members)), false)
		replacement.lost = true
		loss.nodes = append(loss.nodes, replacement)
		if oldReturns {
			w.schedule(3*time.Second+w.randomDuration(10*time.Second), func() { w.startWithSeeds(node) })
		}
	}
}

// crashAll cuts the power of every active member at once. It wipes the given number of disks if no member counts as
// lost. But before a fault with hitsAll, injectCoreFault counts MaxLosses members as lost, so no disk is ever wiped.
// All members that are not lost start again within a second.
func (w *CoreWorld) crashAll(lostDisks int) func() {
	for i, node := range w.activeMembers() {
		if node.up {
			w.crashMember(node)
		}
		if w.lostCount == 0 && i < lostDisks {
			node.disk = nil
		}
		w.schedule(w.randomDuration(time.Second), func() {
			if !node.up && !node.lost && !node.removed {
				w.startWithSeeds(node)
			}
		})
	}
	return nothingToRepair
}

// partition cuts the links between active members for whose hosts isPartitioned is true, and returns a function that
// restores them.
func (w *CoreWorld) partition(isPartitioned func(a, b string) bool) (heal func()) {
	var links [][2]string
	for _, a := range w.activeMembers() {
		for _, b := range w.activeMembers() {
			if a != b && isPartitioned(a.host(), b.host()) {
				links = append(links, [2]string{a.host(), b.host()})
			}
		}
	}
	return w.partitionLinks(links)
}

// injectCoreFaults injects faults until a point in virtual time. No more members than CoreOptions.MaxLosses are lost
// at once.
func (w *CoreWorld) injectCoreFaults(until time.Duration) {
	var injectNext func()
	injectNext = func() {
		if w.now > until {
			return
		}
		chosen := CoreFaults[w.randomInt(len(CoreFaults))]
		interval := w.randomDuration(6 * time.Second)
		if !w.allowsFault(chosen) {
			w.schedule(w.randomDuration(time.Second), injectNext)
			return
		}
		w.injectCoreFault(chosen)
		w.schedule(interval, injectNext)
	}
	injectNext()
}

// allowsFault reports whether a fault may begin now.
func (w *CoreWorld) allowsFault(chosen coreFault) bool {
	switch {
	case len(w.options.OnlyFaults) > 0 && !slices.Contains(w.options.OnlyFaults, chosen.name):
		return false
	case w.lostCount+chosen.membersLost > w.options.MaxLosses:
		return false
	case chosen.hitsAll() && w.lostCount > 0:
		return false
	case chosen.kind == lossPermanent && w.activeFaultsByKind[lossPartition] > 0:
		return false
	case chosen.kind == lossPartition && w.activeFaultsByKind[lossPermanent] > 0:
		return false
	}
	return true
}

// injectCoreFault begins a fault and schedules its end.
func (w *CoreWorld) injectCoreFault(chosen coreFault) {
	loss := &lossRecord{kind: chosen.kind, count: chosen.membersLost}
	if chosen.hitsAll() {
		loss.count = w.options.MaxLosses
	}
	w.currentLoss = loss
	w.lostCount += loss.count
	w.activeFaultsByKind[loss.kind]++
	w.activeFaults++
	w.lastFaultAt = w.now
	repair := chosen.inject(w)
	w.schedule(w.randomDuration(8*time.Second), func() {
		repair()
		w.activeFaults--
		w.lastFaultAt = w.now
		w.requireComplete(catchUpTime)
		w.schedule(catchUpTime, func() { w.releaseLoss(loss) })
	})
}

// releaseLoss makes the members of an ended fault count as recovered once the core is complete again. Otherwise the
// next fault could take more members than the core must survive.
func (w *CoreWorld) releaseLoss(loss *lossRecord) {
	if loss.count > 0 && w.incompleteReason() != "" {
		w.schedule(500*time.Millisecond, func() { w.releaseLoss(loss) })
		return
	}
	w.lostCount -= loss.count
	w.activeFaultsByKind[loss.kind]--
	for _, node := range loss.nodes {
		node.lost = false
	}
}
