package simulator

import (
	"math/rand/v2"
	"strings"
	"time"
)

// hostOf returns the name of the host that a process runs on. The replica and the registry of a member share a core
// host. Every proxy has a host of its own, named like the proxy.
func hostOf(name string) string {
	if member, found := strings.CutPrefix(name, "store-"); found && member != "" {
		return "core-" + member
	}
	if member, found := strings.CutPrefix(name, "registry-"); found && member != "" {
		return "core-" + member
	}
	return name
}

// coreHost returns the name of the host of the i-th member.
func coreHost(i int) string { return "core-" + memberName(i) }

// linksBetween returns the two links between hosts, one in each direction.
func linksBetween(a, b string) [][2]string { return [][2]string{{a, b}, {b, a}} }

// isPartitioned reports whether the link from one process to another is cut in this direction.
func (w *World) isPartitioned(from, to *process) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.partitionedLinks[[2]string{hostOf(from.name), hostOf(to.name)}]
}

// isPartitionedEitherWay reports whether the link between two processes is cut in either direction. No session
// survives on such a link.
func (w *World) isPartitionedEitherWay(a, b *process) bool {
	return w.isPartitioned(a, b) || w.isPartitioned(b, a)
}

// canReach reports whether one process can call another now: the other responds and no link between them is cut.
func (w *World) canReach(from, to *process) bool {
	return w.isResponsive(to) && !w.isPartitionedEitherWay(from, to)
}

// sampleLink draws whether the link from one process to another loses a message, and the latency of the message. Links
// within a host lose nothing.
func (w *World) sampleLink(from, to *process, random *rand.Rand) (delay time.Duration, lost bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	fromHost, toHost := hostOf(from.name), hostOf(to.name)
	if fromHost != toHost && (w.partitionedLinks[[2]string{fromHost, toHost}] || random.Float64() < w.lossRate) {
		lost = true
	}
	maxDelay := 4*time.Millisecond + w.maxExtraDelay
	return time.Millisecond + time.Duration(random.Int64N(int64(maxDelay))), lost
}

// send sends a message from one process to another and calls run at the receiver when the message arrives. It does not
// call run if the link loses the message or the receiver's run ends before. Only events call it.
func (w *World) send(from, to *process, run func()) { w.sendWith(w.random, from, to, run) }

// sendWith is send with the given random stream instead of World.random. Goroutines call it.
func (w *World) sendWith(random *rand.Rand, from, to *process, run func()) {
	delay, lost := w.sampleLink(from, to, random)
	if lost {
		return
	}
	w.schedule(delay, func() {
		// The link may be cut while the message is in flight.
		if w.isPartitioned(from, to) {
			return
		}
		w.scheduleOn(to, 0, run)
	})
}

// partitionCore cuts the links between core hosts for which isPartitioned is true, and returns a function that
// restores them.
func (w *World) partitionCore(isPartitioned func(i, j int) bool) (heal func()) {
	var links [][2]string
	for i := range memberCount {
		for j := range memberCount {
			if i != j && isPartitioned(i, j) {
				links = append(links, [2]string{coreHost(i), coreHost(j)})
			}
		}
	}
	return w.partitionLinks(links)
}

// partitionLinks cuts links, each from its first host to its second, and returns a function that restores them, even
// those that another fault has cut too.
func (w *World) partitionLinks(links [][2]string) (heal func()) {
	w.withLock(func() {
		for _, link := range links {
			w.partitionedLinks[link] = true
			w.recordDisturbance(w.time(), link[0], link[1])
		}
	})
	return func() {
		w.withLock(func() {
			for _, link := range links {
				delete(w.partitionedLinks, link)
				w.recordDisturbance(w.time(), link[0], link[1])
			}
		})
	}
}
