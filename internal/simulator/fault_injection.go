package simulator

import (
	"slices"
	"time"
)

// drawFault draws one of the Faults that the options allow.
func (w *World) drawFault() *fault {
	for {
		chosen := &Faults[w.randomInt(len(Faults))]
		// A power loss of the whole core voids the key reservations of a whole window. Calls under keys are then refused,
		// and the seed tests little else. So seven in eight draws of it are discarded.
		if chosen.name == corePowerLoss && len(w.Options.OnlyFaults) == 0 && w.randomInt(8) > 0 {
			continue
		}
		isAllowed := len(w.Options.OnlyFaults) == 0 || slices.Contains(w.Options.OnlyFaults, chosen.name)
		if isAllowed && (!w.Options.HarmlessFaultsOnly || !chosen.mayReject) {
			return chosen
		}
	}
}

// faultInjection begins and ends faults of a World until a point in virtual time.
type faultInjection struct {
	*World
	until    time.Duration // virtual time after which no fault begins
	coreDown bool          // a fault with hitsCore began, and the core has not fully recovered from it
	drawn    int           // number of faults drawn so far; the index into Options.SkipFaults
}

// injectFaults injects faults until a point in virtual time. Several may be active at once; with
// Options.HarmlessFaultsOnly only one.
func (w *World) injectFaults(until time.Duration) {
	injection := &faultInjection{World: w, until: until}
	injection.injectNext()
}

// injectNext draws a fault, begins it if that is allowed now, and schedules its end and the next draw.
func (f *faultInjection) injectNext() {
	if f.now > f.until {
		return
	}
	chosen := f.drawFault()
	skipped := f.Options.SkipFaults[f.drawn]
	f.drawn++
	interval := f.randomDuration(5 * time.Second)
	// Only one fault with hitsCore may be active at a time. Links may fail in addition.
	if (chosen.hitsCore && f.coreDown) || skipped {
		f.schedule(interval, f.injectNext)
		return
	}
	record := &faultRecord{name: chosen.name, startedAt: f.now, mayReject: chosen.mayReject, hitsCore: chosen.hitsCore}
	f.withLock(func() { f.faults = append(f.faults, record) })
	repair := chosen.inject(f.World)
	f.coreDown = f.coreDown || chosen.hitsCore
	f.schedule(f.randomDuration(maxFaultDuration), func() { f.end(chosen, record, repair) })
	if !f.Options.HarmlessFaultsOnly {
		f.schedule(interval, f.injectNext)
	}
}

// end repairs a fault. A fault with hitsCore lasts until the other members have brought the lost one up to date.
func (f *faultInjection) end(chosen *fault, record *faultRecord, repair func()) {
	repair()
	if chosen.hitsCore && f.seededFault == SeededNoRecovery && f.now > f.until/2 {
		for _, node := range f.members[:2] {
			f.crashMember(node)
		}
	}
	if !chosen.hitsCore {
		f.recordEnd(record)
		return
	}
	f.schedule(time.Second, func() {
		f.retryEvery(time.Second, func() bool {
			if !f.isCoreRecovered() {
				return false
			}
			f.coreDown = false
			f.recordEnd(record)
			return true
		})
	})
}

// recordEnd records the end of a fault. With Options.HarmlessFaultsOnly it also schedules the next fault.
func (f *faultInjection) recordEnd(record *faultRecord) {
	f.withLock(func() { record.endedAt = f.now })
	if f.Options.HarmlessFaultsOnly {
		f.schedule(2*leaseDuration, f.injectNext)
	}
}
