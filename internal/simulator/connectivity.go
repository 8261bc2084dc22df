package simulator

import (
	"time"
)

// settleTime is how long a host must have been free of faults to count as undisturbed.
const settleTime = 3 * time.Second

// everyHost is the pseudo-host that recordDisturbance records faults of all links under.
const everyHost = "every host"

// recordDisturbance records that a fault affects hosts until a point in virtual time. The caller holds World.lock.
func (w *World) recordDisturbance(until time.Duration, hosts ...string) {
	for _, host := range hosts {
		w.disturbedAt[host] = max(w.disturbedAt[host], until)
	}
}

// isProxyUndisturbed reports whether no fault has affected the host of a proxy for settleTime.
func (w *World) isProxyUndisturbed(node *proxyNode) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.isHostUndisturbed(node.name)
}

// isHostUndisturbed reports whether no fault has affected a host for settleTime. The caller holds World.lock.
func (w *World) isHostUndisturbed(host string) bool {
	at, known := w.disturbedAt[host]
	return !known || w.time()-at >= settleTime
}

// isWellConnected reports whether a proxy is well connected. With Options.ServeStale, the bounds on the propagation
// of the configuration apply only to such proxies. No fault may have affected the proxy, the links or the core for
// settleTime, and the proxy must be connected to every core host that itself reaches a majority, of which there must
// be at least one.
func (w *World) isWellConnected(node *proxyNode) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.lossRate > 0 || w.maxExtraDelay > 0 || !node.up {
		return false
	}
	if !w.isHostUndisturbed(everyHost) || !w.isHostUndisturbed(node.name) || !w.isCoreUndisturbed() {
		return false
	}
	hasMajority := false
	for i := range memberCount {
		if w.reachableMembers(i) <= memberCount/2 {
			continue
		}
		hasMajority = true
		if !w.isConnected(coreHost(i), node.name) {
			return false
		}
	}
	return hasMajority
}

// isCoreUndisturbed reports whether no fault has affected a core host or its disk for settleTime. The caller holds
// World.lock.
func (w *World) isCoreUndisturbed() bool {
	now := w.time()
	for _, member := range w.members {
		hasDiskFault := member.maxExtraSyncDelay > 0 || now-member.stalledUntil < settleTime
		if hasDiskFault || !w.isHostUndisturbed(member.host()) {
			return false
		}
	}
	return true
}

// reachableMembers returns the number of core hosts, including itself, that are up and connected to the i-th one. It
// is 0 if the i-th host is down. The caller holds World.lock.
func (w *World) reachableMembers(i int) int {
	isUp := func(i int) bool { return w.members[i].up && w.registries[i].up }
	reachable := 0
	for j := range memberCount {
		if isUp(i) && isUp(j) && w.isConnected(coreHost(i), coreHost(j)) {
			reachable++
		}
	}
	return reachable
}

// isConnected reports whether the link between two hosts is up in both directions. The caller holds World.lock.
func (w *World) isConnected(a, b string) bool {
	return !w.partitionedLinks[[2]string{a, b}] && !w.partitionedLinks[[2]string{b, a}]
}
