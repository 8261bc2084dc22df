package testbed

import (
	"math/rand/v2"
	"sync"
	"time"
)

// LinkFaults holds the faults of the links of a fleet. A link is one direction of the connection between two machines
// and is identified by their IP addresses, the sender's first. Fault injection and relays use it concurrently.
type LinkFaults struct {
	lock        sync.Mutex            // guards all fields
	partitioned map[[2]string]bool    // links that are cut
	lossRatio   map[[2]string]float64 // fraction of the data sent on a link that is lost and retransmitted, so it arrives late
	changed     chan struct{}         // closed and replaced when partitioned changes
}

// NewLinkFaults returns a LinkFaults without any faults.
func NewLinkFaults() *LinkFaults {
	return &LinkFaults{partitioned: map[[2]string]bool{}, lossRatio: map[[2]string]float64{}, changed: make(chan struct{})}
}

// retransmitTimeout is the delay of a lost packet, after which TCP sends it again.
const retransmitTimeout = 250 * time.Millisecond

// SetLoss sets the fraction of the data on a link that is lost and retransmitted; 0 for none.
func (f *LinkFaults) SetLoss(from, to string, ratio float64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if ratio > 0 {
		f.lossRatio[[2]string{from, to}] = ratio
	} else {
		delete(f.lossRatio, [2]string{from, to})
	}
}

// retransmitDelay draws the delay of the next data on a link: one retransmitTimeout for each time in a row that it is
// lost, up to four. The draws are not seeded.
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

// SetPartitioned cuts a link or, with false, restores it.
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

// Heal ends all faults of all links.
func (f *LinkFaults) Heal() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.partitioned, f.lossRatio = map[[2]string]bool{}, map[[2]string]float64{}
	close(f.changed)
	f.changed = make(chan struct{})
}

// awaitOpen waits until a link is not cut. It returns false if done closes before that.
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
