package rehearsal

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
	to       string
	cuts     *Cuts
}

// Cuts says which links are cut, each way by itself.
type Cuts struct {
	lock  sync.Mutex
	cut   map[[2]string]bool
	lossy map[[2]string]float64 // part of what is sent that is lost at first, and comes late
	moved chan struct{}
}

// resend is how long what a link lost takes to come after all, as TCP sends it again.
const resend = 250 * time.Millisecond

// NewCuts starts with every link whole.
func NewCuts() *Cuts {
	return &Cuts{cut: map[[2]string]bool{}, lossy: map[[2]string]float64{}, moved: make(chan struct{})}
}

// Lose lets a part of what is sent from one machine to another be lost at first; 0 for none.
func (c *Cuts) Lose(from, to string, part float64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if part > 0 {
		c.lossy[[2]string{from, to}] = part
	} else {
		delete(c.lossy, [2]string{from, to})
	}
}

// late draws how late something sent comes.
func (c *Cuts) late(from, to string) time.Duration {
	c.lock.Lock()
	part := c.lossy[[2]string{from, to}]
	c.lock.Unlock()
	wait := time.Duration(0)
	for part > 0 && rand.Float64() < part && wait < 4*resend {
		wait += resend
	}
	return wait
}

// Set cuts or mends the way from one machine to another.
func (c *Cuts) Set(from, to string, cut bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if cut {
		c.cut[[2]string{from, to}] = true
	} else {
		delete(c.cut, [2]string{from, to})
	}
	close(c.moved)
	c.moved = make(chan struct{})
}

// Mend makes every link whole.
func (c *Cuts) Mend() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.cut, c.lossy = map[[2]string]bool{}, map[[2]string]float64{}
	close(c.moved)
	c.moved = make(chan struct{})
}

// wait returns once the way is open, or false when done closes first.
func (c *Cuts) wait(from, to string, done <-chan struct{}) bool {
	for {
		c.lock.Lock()
		cut, moved := c.cut[[2]string{from, to}], c.moved
		c.lock.Unlock()
		if !cut {
			return true
		}
		select {
		case <-moved:
		case <-done:
			return false
		}
	}
}

// NewRelay listens at address for machine to and passes on to target.
func NewRelay(address, target, to string, cuts *Cuts) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "relay")
	}
	r := &Relay{listener: listener, target: target, to: to, cuts: cuts}
	go r.serve()
	return r, nil
}

func (r *Relay) serve() {
	for {
		inward, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(inward)
	}
}

func (r *Relay) pass(inward net.Conn) {
	// Machines dial from their own address, so the peer's address names the machine.
	from := inward.RemoteAddr().(*net.TCPAddr).IP.String()
	done := make(chan struct{})
	var once sync.Once
	end := func() { once.Do(func() { close(done) }) }
	if !r.cuts.wait(from, r.to, done) {
		inward.Close()
		return
	}
	outward, err := net.Dial("tcp", r.target)
	if err != nil {
		// A refused connection must look refused from the other side of the relay too.
		inward.(*net.TCPConn).SetLinger(0)
		inward.Close()
		return
	}
	move := func(source, sink net.Conn, from, to string) {
		defer end()
		buffer := make([]byte, 32<<10)
		for {
			n, err := source.Read(buffer)
			if n > 0 {
				// What is behind it in the stream waits with it.
				time.Sleep(r.cuts.late(from, to))
				if !r.cuts.wait(from, to, done) {
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
	go move(inward, outward, from, r.to)
	go move(outward, inward, r.to, from)
	<-done
	inward.Close()
	outward.Close()
}

// Close ends the relay.
func (r *Relay) Close() { r.listener.Close() }
