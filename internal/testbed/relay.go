package testbed

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"meadowhinge/internal/errs"
)

// Relay stands in front of a machine's port and lets bytes through, or not, by which
// machine they come from and which way they go. A cut is silent, as a lost link is.
type Relay struct {
	listener net.Listener
	target   string
	machine  string
	faults   *LinkFaults
}

// LinkFaults says which links are cut, each way by itself.
type LinkFaults struct {
	lock        sync.Mutex
	partitioned map[[2]string]bool
	lossRatio   map[[2]string]float64 // part of what is sent that is lost at first, and comes late
	changed     chan struct{}
}

// retransmitTimeout is how long what a link lost takes to come after all, as TCP sends it again.
const retransmitTimeout = 250 * time.Millisecond

// NewLinkFaults starts with every link whole.
func NewLinkFaults() *LinkFaults {
	return &LinkFaults{partitioned: map[[2]string]bool{}, lossRatio: map[[2]string]float64{}, changed: make(chan struct{})}
}

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

// NewRelay listens at address for machine to and passes on to target.
func NewRelay(address, target, machine string, faults *LinkFaults) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "relay")
	}
	r := &Relay{listener: listener, target: target, machine: machine, faults: faults}
	go r.acceptLoop()
	return r, nil
}

func (r *Relay) acceptLoop() {
	for {
		inward, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(inward)
	}
}

func (r *Relay) forward(inbound net.Conn) {
	// Machines dial from their own address, so the peer's address names the machine.
	from := inbound.RemoteAddr().(*net.TCPAddr).IP.String()
	done := make(chan struct{})
	var once sync.Once
	finish := func() { once.Do(func() { close(done) }) }
	if !r.faults.awaitOpen(from, r.machine, done) {
		inbound.Close()
		return
	}
	outbound, err := net.Dial("tcp", r.target)
	if err != nil {
		// A refused connection must look refused from the other side of the relay too.
		inbound.(*net.TCPConn).SetLinger(0)
		inbound.Close()
		return
	}
	copyBytes := func(source, sink net.Conn, from, to string) {
		defer finish()
		buffer := make([]byte, 32<<10)
		for {
			n, err := source.Read(buffer)
			if n > 0 {
				// What is behind it in the stream waits with it.
				time.Sleep(r.faults.retransmitDelay(from, to))
				if !r.faults.awaitOpen(from, to, done) {
					return
				}
				if _, err := sink.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go copyBytes(inbound, outbound, from, r.machine)
	go copyBytes(outbound, inbound, r.machine, from)
	<-done
	inbound.Close()
	outbound.Close()
}

// Close ends the relay.
func (r *Relay) Close() { r.listener.Close() }
