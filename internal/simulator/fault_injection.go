package simulator

import (
	"slices"
	"time"
)

// drawFault picks a fault by the dice, among those that the options allow.
func (w *World) drawFault() *fault {
	for {
		chosen := &Faults[w.randomInt(len(Faults))]
		// It ends the claims of a whole window, and with them most of what a seed could show.
		if chosen.name == wholeCorePowerLoss && len(w.Options.OnlyFaults) == 0 && w.randomInt(8) > 0 {
			continue
		}
		if (len(w.Options.OnlyFaults) == 0 || slices.Contains(w.Options.OnlyFaults, chosen.name)) && (!w.Options.HarmlessFaultsOnly || !chosen.mayReject) {
			return chosen
		}
	}
}

// injectFaults lets faults come and go. In a free world they come one at a time.
func (w *World) injectFaults(until time.Duration) {
	coreDown, faultIndex := false, 0
	var injectNext func()
	injectNext = func() {
		if w.now > until {
			return
		}
		chosen := w.drawFault()
		skipped := w.Options.SkipFaults[faultIndex]
		faultIndex++
		pause := w.randomDuration(5 * time.Second)
		// One core machine at a time may lose its process or its disk; links may fail besides.
		if (chosen.hitsCore && coreDown) || skipped {
			w.schedule(pause, injectNext)
			return
		}
		record := &faultRecord{name: chosen.name, startedAt: w.now, mayReject: chosen.mayReject, hitsCore: chosen.hitsCore}
		w.lock.Lock()
		w.faults = append(w.faults, record)
		w.lock.Unlock()
		repair := chosen.inject(w)
		coreDown = coreDown || chosen.hitsCore
		w.schedule(w.randomDuration(maxFaultDuration), func() {
			repair()
			if chosen.hitsCore && w.seededFault == SeededNoRecovery && w.now > until/2 {
				for _, node := range w.members[:2] {
					w.crashMember(node)
				}
			}
			recordEnd := func() {
				w.lock.Lock()
				record.endedAt = w.now
				w.lock.Unlock()
				if w.Options.HarmlessFaultsOnly {
					w.schedule(2*leaseDuration, injectNext)
				}
			}
			if !chosen.hitsCore {
				recordEnd()
				return
			}
			// Only one core machine's loss at a time is promised to be survived, so the next goes
			// only once this one has been refilled by the others.
			var awaitCoreRecovery func()
			awaitCoreRecovery = func() {
				if w.isCoreRecovered() {
					coreDown = false
					recordEnd()
					return
				}
				w.schedule(time.Second, awaitCoreRecovery)
			}
			w.schedule(time.Second, awaitCoreRecovery)
		})
		if !w.Options.HarmlessFaultsOnly {
			w.schedule(pause, injectNext)
		}
	}
	injectNext()
}
