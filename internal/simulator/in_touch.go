package simulator

import (
	"time"
)

// inTouchAfter is how long nothing may have troubled a machine, or the core, for it to be in touch.
const inTouchAfter = 3 * time.Second

// everyHost is disturbed when all links are.
const everyHost = "every site"

// markDisturbed notes that something was done to a site.
func (w *World) markDisturbed(until time.Duration, hosts ...string) {
	for _, host := range hosts {
		w.disturbedAt[host] = max(w.disturbedAt[host], until)
	}
}

// isUndisturbed tells whether nothing troubled a proxy's own machine for a while.
func (w *World) isUndisturbed(node *proxyNode) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	at, known := w.disturbedAt[node.name]
	return !known || w.time()-at >= inTouchAfter
}

// inTouch tells whether what is promised binds a proxy: nothing troubled it for a while, the core
// is settled, and it reaches every core machine that itself reaches most of the core.
func (w *World) inTouch(node *proxyNode) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	now := w.time()
	isUndisturbed := func(host string) bool { at, known := w.disturbedAt[host]; return !known || now-at >= inTouchAfter }
	if w.lossRate > 0 || w.maxExtraDelay > 0 || !isUndisturbed(everyHost) || !isUndisturbed(node.name) || !node.up {
		return false
	}
	isUp, reachable := [memberCount]bool{}, [memberCount]int{}
	for i, member := range w.members {
		if !isUndisturbed(hostOf(member.name)) || member.maxExtraSyncDelay > 0 || now-member.stalledUntil < inTouchAfter {
			return false
		}
		isUp[i] = member.up && w.registries[i].up
	}
	isConnected := func(a, b string) bool {
		return !w.partitionedLinks[[2]string{a, b}] && !w.partitionedLinks[[2]string{b, a}]
	}
	hasMajority := false
	for i := range memberCount {
		for j := range memberCount {
			if isUp[i] && isUp[j] && isConnected("core-"+memberName(i), "core-"+memberName(j)) {
				reachable[i]++
			}
		}
		if reachable[i] > memberCount/2 {
			hasMajority = true
			if !isConnected("core-"+memberName(i), node.name) {
				return false
			}
		}
	}
	return hasMajority
}
