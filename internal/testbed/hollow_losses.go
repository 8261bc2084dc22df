package testbed

import (
	"fmt"
	"slices"
	"time"
)

// Timing and limits of losses.
const (
	leasesPerLoss     = 2                     // leases that each loss needs: one during which it lasts, and one for recovery
	minMembersForLoss = 3                     // smallest number of core members of which one may be lost
	failoverPoll      = 10 * time.Millisecond // time between two checks whether members have moved to another registry
)

// lossLoop kills CoresLost core machines, then the machines of ZonesLost zones, one loss after another. Each lasts for a
// lease and is followed by a lease for recovery. The loop ends early if stop closes.
func (f *hollowFleet) lossLoop(stop <-chan struct{}) {
	for i := range int(f.opts.CoresLost + f.opts.ZonesLost) {
		zone, member := "", i%int(f.opts.Seats)
		if zoneIndex := i - int(f.opts.CoresLost); zoneIndex >= 0 {
			zone, member = f.core.zone(zoneIndex%int(f.opts.Zones)), -1
		}
		if !f.injectLoss(stop, zone, member) {
			return
		}
		f.losses++
		select {
		case <-stop:
			return
		case <-time.After(f.core.lease):
		}
	}
}

// injectLoss kills the core machine with the given index or, if zone is not empty, all core machines and hollow members
// of a zone. It restarts them after a lease. Meanwhile it records how long the members that had a session with a lost
// registry take to get one with another. It returns false if stop closed meanwhile.
func (f *hollowFleet) injectLoss(stop <-chan struct{}, zone string, member int) bool {
	var lost []*Process
	lostRegistries := map[string]bool{}
	for i := range f.core.Registries {
		if i == member || (zone != "" && f.core.zone(i) == zone) {
			lost = append(lost, f.core.Registries[i], f.core.Stores[i])
			lostRegistries[fmt.Sprintf("%s:%d", f.core.coreAddress(i), portRegistry)] = true
		}
	}
	var ended, moving []*hollowMember
	for _, m := range f.members {
		if zone != "" && m.settings.Area == zone {
			ended = append(ended, m)
		} else if lostRegistries[m.current().Status().Registry] {
			moving = append(moving, m)
		}
	}
	at := f.now()
	for _, process := range lost {
		process.Kill()
	}
	for _, m := range ended {
		m.current().Kill()
	}
	leaseOver, over := time.After(f.core.lease), false
	for !over {
		moving = slices.DeleteFunc(moving, func(m *hollowMember) bool {
			registry := m.current().Status().Registry
			moved := registry != "" && !lostRegistries[registry]
			if moved {
				f.recordLatency(f.failovers, f.now()-at)
			}
			return moved
		})
		select {
		case <-stop:
			over = true
		case <-leaseOver:
			over = true
		case <-time.After(failoverPoll):
		}
	}
	// A member that still has no other session is recorded with the whole duration of the loss.
	for range moving {
		f.recordLatency(f.failovers, f.now()-at)
	}
	for _, process := range lost {
		_ = process.Start() // a process that does not start shows in the recorded latencies
	}
	for _, m := range ended {
		_ = f.rejoin(m) // a member that does not rejoin has no recorded recovery
	}
	select {
	case <-stop:
		return false
	default:
		return true
	}
}

// restartLoop restarts random members, Restarts per minute, until stop closes.
func (f *hollowFleet) restartLoop(stop <-chan struct{}) {
	if f.opts.Restarts == 0 {
		return
	}
	ticker := time.NewTicker(time.Duration(float64(time.Minute) / f.opts.Restarts))
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		m := f.members[f.rng.IntN(len(f.members))]
		m.current().Kill()
		if f.rejoin(m) == nil {
			f.restarts++
		}
	}
}

// rejoin makes a member that was ended join again, as a new incarnation.
func (f *hollowFleet) rejoin(m *hollowMember) error {
	ended := m.current()
	m.lock.Lock()
	m.priorTraffic = sumTraffic(m.priorTraffic, ended.Traffic())
	m.lock.Unlock()
	return f.join(m)
}
