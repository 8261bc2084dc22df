package testbed

import (
	"math/rand/v2"
	"sync"
	"time"
)

// LinkFaults says which links are cut, each way by itself.
type LinkFaults struct {
	lock        sync.Mutex
	partitioned map[[2]string]bool
	lossRatio   map[[2]string]float64 // part of what is sent that is lost at first, and comes late
	changed     chan struct{}
}

// NewLinkFaults starts with every link whole.
func NewLinkFaults() *LinkFaults {
	return &LinkFaults{partitioned: map[[2]string]bool{}, lossRatio: map[[2]string]float64{}, changed: make(chan struct{})}
}

// retransmitTimeout is how long what a link lost takes to come after all, as TCP sends it again.
const retransmitTimeout = 250 * time.Millisecond

// SetLoss lets a part of what is sent from one machine to another be lost at first; 0 for none.
func (c *LinkFaults) SetLoss(from, to string, ratio float64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if ratio > 0 {
		c.lossRatio[[2]string{from, to}] = ratio
	} else {
		delete(c.lossRatio, [2]string{from, to})
	}
}

// retransmitDelay draws how late something sent comes.
func (c *LinkFaults) retransmitDelay(from, to string) time.Duration {
	c.lock.Lock()
	ratio := c.lossRatio[[2]string{from, to}]
	c.lock.Unlock()
	delay := time.Duration(0)
	for ratio > 0 && rand.Float64() < ratio && delay < 4*retransmitTimeout {
		delay += retransmitTimeout
	}
	return delay
}

// SetPartitioned cuts or mends the way from one machine to another.
func (c *LinkFaults) SetPartitioned(from, to string, partitioned bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if partitioned {
		c.partitioned[[2]string{from, to}] = true
	} else {
		delete(c.partitioned, [2]string{from, to})
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// Heal makes every link whole.
func (c *LinkFaults) Heal() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.partitioned, c.lossRatio = map[[2]string]bool{}, map[[2]string]float64{}
	close(c.changed)
	c.changed = make(chan struct{})
}

// awaitOpen returns once the way is open, or false when done closes first.
func (c *LinkFaults) awaitOpen(from, to string, done <-chan struct{}) bool {
	for {
		c.lock.Lock()
		partitioned, changed := c.partitioned[[2]string{from, to}], c.changed
		c.lock.Unlock()
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
