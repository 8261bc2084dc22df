package testbed

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of losses.
const (
	leasesPerLoss     = 2 // a loss takes so many: it lasts for the first, and recovery has the second
	minMembersForLoss = 3 // of the core, of which one may be lost
	failoverPoll      = 10 * time.Millisecond
)

// lossLoop kills core machines, then zones, one after the other and each for a lease, until the settings' number is
// reached or stop closes.
func (f *hollowFleet) lossLoop(stop <-chan struct{}) {
	for i := range int(f.opts.CoresLost + f.opts.ZonesLost) {
		zone, member := "", i%int(f.opts.Seats)
		if zoneIndex := i - int(f.opts.CoresLost); zoneIndex >= 0 {
			zone, member = f.core.zone(zoneIndex%int(f.opts.Zones)), -1
		}
		if !f.lose(stop, zone, member) {
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

// lose kills a core machine, or everything in a zone, starts it again after a lease, and records how soon the
// members that had sessions there have one elsewhere. It returns false if stop closed meanwhile.
func (f *hollowFleet) lose(stop <-chan struct{}, zone string, member int) bool {
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
		m.current().End()
	}
	back, over := time.After(f.core.lease), false
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
		case <-back:
			over = true
		case <-time.After(failoverPoll):
		}
	}
	// A member without another session by now counts with the whole time.
	for range moving {
		f.recordLatency(f.failovers, f.now()-at)
	}
	for _, process := range lost {
		_ = process.Start() // without it, the losses and latencies show it
	}
	for _, m := range ended {
		_ = f.rejoin(m) // a member that stays away shows as one that never recovered
	}
	select {
	case <-stop:
		return false
	default:
		return true
	}
}

// restartLoop ends members and lets them join again, one after another, until stop closes.
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
		m.current().End()
		if f.rejoin(m) == nil {
			f.restarts++
		}
	}
}

// rejoin lets a member that was ended join again, as a new incarnation.
func (f *hollowFleet) rejoin(m *hollowMember) error {
	ended := m.current()
	m.lock.Lock()
	m.priorTraffic = sumTraffic(m.priorTraffic, ended.Traffic())
	m.lock.Unlock()
	return f.join(m)
}
