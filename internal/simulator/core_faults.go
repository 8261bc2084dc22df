package simulator

import (
	"slices"
	"time"
)

// What a fault of a core alone does. A machine that is cut off counts as lost: none goes for good
// meanwhile.
const (
	lossTemporary = iota
	lossPermanent
	lossPartition
)

// CoreFaults are the kinds of fault of a core alone. Lost says how many machines are lost by it;
// act gives what ends it.
var CoreFaults = []struct {
	name string
	lost int
	kind int
	act  func(w *coreWorld) (mend func())
}{
	{"power lost", 1, lossTemporary, func(w *coreWorld) func() { return w.crashAndRestart(w.loseRandomMember(), false) }},
	{"disk lost", 1, lossTemporary, func(w *coreWorld) func() { return w.crashAndRestart(w.loseRandomMember(), true) }},
	{"power lost right after a yes", 1, lossTemporary, func(w *coreWorld) func() { return w.crashLeaderAfterAcknowledgement(false) }},
	{"disk lost right after a yes", 1, lossTemporary, func(w *coreWorld) func() { return w.crashLeaderAfterAcknowledgement(true) }},
	{"machine replaced", 1, lossPermanent, func(w *coreWorld) func() { return w.replaceMember(false) }},
	{"machine replaced, and back later", 1, lossPermanent, func(w *coreWorld) func() { return w.replaceMember(true) }},
	{"machine frozen", 1, lossTemporary, func(w *coreWorld) func() {
		node := w.loseRandomMember()
		w.freeze(&node.process, w.now+w.randomDuration(12*time.Second))
		return func() { w.freeze(&node.process, 0) }
	}},
	{"disk stalls", 1, lossTemporary, func(w *coreWorld) func() {
		node := w.loseRandomMember()
		node.stalledUntil = w.now + 3*time.Second + w.randomDuration(3*time.Second)
		return func() { w.endDiskStall(node) }
	}},
	{"disk refuses", 1, lossTemporary, func(w *coreWorld) func() {
		node := w.loseRandomMember()
		node.failsUntil = w.now + w.randomDuration(6*time.Second)
		return func() { node.failsUntil = 0 }
	}},
	{"disk slow", 1, lossTemporary, func(w *coreWorld) func() {
		node := w.loseRandomMember()
		node.maxExtraSyncDelay = 50 * time.Millisecond
		return func() { node.maxExtraSyncDelay = 0 }
	}},
	{"all lose power", 0, lossTemporary, func(w *coreWorld) func() { return w.crashAll(0) }},
	{"all lose power, and some their disks", 0, lossTemporary, func(w *coreWorld) func() { return w.crashAll(w.options.MaxLosses) }},
	{"one cut off", 0, lossPartition, func(w *coreWorld) func() {
		lone := w.randomMember().host()
		return w.partition(func(a, b string) bool { return a == lone || b == lone })
	}},
	{"one cut off one way", 0, lossPartition, func(w *coreWorld) func() {
		lone, inward := w.randomMember().host(), w.randomInt(2) == 0
		return w.partition(func(a, b string) bool { return inward && b == lone || !inward && a == lone })
	}},
	{"split in two", 0, lossPartition, func(w *coreWorld) func() {
		side := map[string]bool{}
		for _, node := range w.activeMembers() {
			side[node.host()] = w.randomInt(2) == 0
		}
		return w.partition(func(a, b string) bool { return side[a] != side[b] })
	}},
	{"each alone", 0, lossPartition, func(w *coreWorld) func() { return w.partition(func(string, string) bool { return true }) }},
	{"one link one way", 0, lossPartition, func(w *coreWorld) func() {
		from, to := w.randomMember().host(), w.randomMember().host()
		return w.partition(func(a, b string) bool { return a == from && b == to })
	}},
	{"lossy links", 0, lossTemporary, func(w *coreWorld) func() {
		w.withLock(func() { w.lossRate = 0.3 * w.random.Float64() })
		return func() { w.withLock(func() { w.lossRate = 0 }) }
	}},
	{"slow links", 0, lossTemporary, func(w *coreWorld) func() {
		w.withLock(func() { w.maxExtraDelay = time.Duration(w.random.Int64N(int64(400 * time.Millisecond))) })
		return func() { w.withLock(func() { w.maxExtraDelay = 0 }) }
	}},
}

// lossRecord is a fault and the machines that are lost by it.
type lossRecord struct {
	kind  int
	count int
	nodes []*memberNode
}

// loseRandomMember draws a machine that is not lost already.
func (w *coreWorld) loseRandomMember() *memberNode {
	for {
		if node := w.randomMember(); !node.lost {
			node.lost = true
			w.currentLoss.nodes = append(w.currentLoss.nodes, node)
			return node
		}
	}
}

// crashAndRestart takes the power of a machine, and perhaps its disk; it comes back where it was.
func (w *coreWorld) crashAndRestart(node *memberNode, loseDisk bool) func() {
	w.crashMember(node)
	if loseDisk {
		node.disk = nil
	}
	return func() { w.startWithSeeds(node) }
}

// crashLeaderAfterAcknowledgement waits for the next yes and takes the holder then.
func (w *coreWorld) crashLeaderAfterAcknowledgement(loseDisk bool) func() {
	var repair func()
	ended, loss := false, w.currentLoss
	w.onAcknowledged = append(w.onAcknowledged, func() {
		for _, node := range w.activeMembers() {
			if !ended && repair == nil && node.up && !node.lost && "store-"+node.replica.Status().Leader == node.name {
				node.lost = true
				loss.nodes = append(loss.nodes, node)
				repair = w.crashAndRestart(node, loseDisk)
			}
		}
	})
	return func() {
		if ended = true; repair != nil {
			repair()
		}
	}
}

// replaceMember takes a machine away for good and lets another come, empty, under another name.
func (w *coreWorld) replaceMember(oldReturns bool) func() {
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

// crashAll takes the power of every machine at once, and the disks of a few; all are back within a second.
func (w *coreWorld) crashAll(lostDisks int) func() {
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
	return func() {}
}

// partition cuts the links between machines.
func (w *coreWorld) partition(isCut func(a, b string) bool) func() {
	var links [][2]string
	for _, a := range w.activeMembers() {
		for _, b := range w.activeMembers() {
			if a != b && isCut(a.host(), b.host()) {
				links = append(links, [2]string{a.host(), b.host()})
			}
		}
	}
	return w.cutLinks(links)
}

// injectCoreFaults lets faults come and go; no more machines are lost at once than is promised to be survived.
func (w *coreWorld) injectCoreFaults(until time.Duration) {
	var injectNext func()
	injectNext = func() {
		if w.now > until {
			return
		}
		chosen := CoreFaults[w.randomInt(len(CoreFaults))]
		pause := w.randomDuration(6 * time.Second)
		all := chosen.name[:3] == "all"
		if len(w.options.OnlyFaults) > 0 && !slices.Contains(w.options.OnlyFaults, chosen.name) || w.lostCount+chosen.lost > w.options.MaxLosses || all && w.lostCount > 0 ||
			chosen.kind == lossPermanent && w.activeFaultsByKind[lossPartition] > 0 || chosen.kind == lossPartition && w.activeFaultsByKind[lossPermanent] > 0 {
			w.schedule(w.randomDuration(time.Second), injectNext)
			return
		}
		loss := &lossRecord{count: chosen.lost}
		if all {
			loss.count = w.options.MaxLosses
		}
		loss.kind = chosen.kind
		w.currentLoss = loss
		w.lostCount += loss.count
		w.activeFaultsByKind[loss.kind]++
		w.activeFaults++
		w.lastFaultAt = w.now
		repair := chosen.act(w)
		w.schedule(w.randomDuration(8*time.Second), func() {
			repair()
			w.activeFaults--
			w.lastFaultAt = w.now
			w.requireComplete(catchUpTime)
			w.schedule(catchUpTime, func() { w.releaseLoss(loss) })
		})
		w.schedule(pause, injectNext)
	}
	injectNext()
}

// releaseLoss lets what was lost count as back, once it is: a loss more than is promised may come no sooner.
func (w *coreWorld) releaseLoss(loss *lossRecord) {
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
