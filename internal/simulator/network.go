package simulator

import (
	"math/rand/v2"
	"time"
)

// hostOf is the machine a process stands on: a store and a registry share one.
func hostOf(name string) string {
	if len(name) > 6 && name[:6] == "store-" {
		return "core-" + name[6:]
	}
	if len(name) > 9 && name[:9] == "registry-" {
		return "core-" + name[9:]
	}
	return name
}

func (w *World) isPartitioned(from, to *process) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.partitionedLinks[[2]string{hostOf(from.name), hostOf(to.name)}]
}

// isPartitionedEitherWay tells whether a link is cut in one direction or the other: no session stands on it.
func (w *World) isPartitionedEitherWay(a, b *process) bool {
	return w.isPartitioned(a, b) || w.isPartitioned(b, a)
}

// canReach tells whether one machine can call another just now.
func (w *World) canReach(from, to *process) bool {
	return w.isResponsive(to) && !w.isPartitioned(from, to) && !w.isPartitioned(to, from)
}

// sampleLink draws whether a link lets a message through, and how long it takes.
func (w *World) sampleLink(from, to *process, random *rand.Rand) (delay time.Duration, lost bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	fromHost, toHost := hostOf(from.name), hostOf(to.name)
	if fromHost != toHost && (w.partitionedLinks[[2]string{fromHost, toHost}] || random.Float64() < w.lossRate) {
		lost = true
	}
	return time.Millisecond + time.Duration(random.Int64N(int64(4*time.Millisecond)+int64(w.maxExtraDelay))), lost
}

// send carries an event's message from one machine to another, if the links let it.
func (w *World) send(from, to *process, run func()) { w.sendWith(w.random, from, to, run) }

func (w *World) sendWith(random *rand.Rand, from, to *process, run func()) {
	delay, lost := w.sampleLink(from, to, random)
	if lost {
		return
	}
	w.schedule(delay, func() {
		// The link may be cut while the message is under way.
		if w.isPartitioned(from, to) {
			return
		}
		w.scheduleOn(to, 0, run)
	})
}

func (w *World) partitionCore(isCut func(i, j int) bool) func() {
	var links [][2]string
	for i := range memberCount {
		for j := range memberCount {
			if i != j && isCut(i, j) {
				links = append(links, [2]string{"core-" + memberName(i), "core-" + memberName(j)})
			}
		}
	}
	return w.cutLinks(links)
}

func (w *World) cutLinks(links [][2]string) func() {
	w.withLock(func() {
		for _, link := range links {
			w.partitionedLinks[link] = true
			w.markDisturbed(w.time(), link[0], link[1])
		}
	})
	return func() {
		w.withLock(func() {
			for _, link := range links {
				delete(w.partitionedLinks, link)
				w.markDisturbed(w.time(), link[0], link[1])
			}
		})
	}
}
