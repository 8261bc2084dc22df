package testbed

import (
	"math/rand/v2"
	"sync"
	"time"
)

// LinkFaults says which links are faulty. A link goes from one machine to another, one direction by itself, and
// is named by their IP addresses. Scenarios set faults, relays obey them, at the same time.
type LinkFaults struct {
	lock        sync.Mutex // guards all fields
	partitioned map[[2]string]bool
	lossRatio   map[[2]string]float64 // part of what is sent that is lost at first, and arrives late
	changed     chan struct{}         // closed and replaced when a partition changes
}

// NewLinkFaults starts without faults.
func NewLinkFaults() *LinkFaults {
	return &LinkFaults{partitioned: map[[2]string]bool{}, lossRatio: map[[2]string]float64{}, changed: make(chan struct{})}
}

// retransmitTimeout is how late a lost packet arrives after all: TCP sends it again.
const retransmitTimeout = 250 * time.Millisecond

// SetLoss makes a link lose a part of what is sent at first; 0 for none.
func (f *LinkFaults) SetLoss(from, to string, ratio float64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if ratio > 0 {
		f.lossRatio[[2]string{from, to}] = ratio
	} else {
		delete(f.lossRatio, [2]string{from, to})
	}
}

// retransmitDelay draws how late the next data arrives.
func (f *LinkFaults) retransmitDelay(from, to string) time.Duration {
	f.lock.Lock()
	ratio := f.lossRatio[[2]string{from, to}]
	f.lock.Unlock()
	delay := time.Duration(0)
	for ratio > 0 && rand.Float64() < ratio && delay < 4*retransmitTimeout {
		delay += retransmitTimeout
	}
	return delay
}

// SetPartitioned cuts a link or heals it.
func (f *LinkFaults) SetPartitioned(from, to string, partitioned bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if partitioned {
		f.partitioned[[2]string{from, to}] = true
	} else {
		delete(f.partitioned, [2]string{from, to})
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// Heal ends every fault.
func (f *LinkFaults) Heal() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.partitioned, f.lossRatio = map[[2]string]bool{}, map[[2]string]float64{}
	close(f.changed)
	f.changed = make(chan struct{})
}

// awaitOpen returns true once the link is not cut, or false when done closes first.
func (f *LinkFaults) awaitOpen(from, to string, done <-chan struct{}) bool {
	for {
		f.lock.Lock()
		partitioned, changed := f.partitioned[[2]string{from, to}], f.changed
		f.lock.Unlock()
		if !partitioned {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}
