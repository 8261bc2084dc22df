package testbed

import (
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
		_ = inbound.Close() // nothing was written to it
		return
	}
	outbound, err := net.Dial("tcp", r.target)
	if err != nil {
		// A refused connection must look refused from the other side of the relay too.
		_ = inbound.(*net.TCPConn).SetLinger(0) // reset rather than close; best effort
		_ = inbound.Close()
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
	// Ends the other copy; what an end lost is for the processes to find out.
	_ = inbound.Close()
	_ = outbound.Close()
}

// Close ends the relay.
func (r *Relay) Close() { _ = r.listener.Close() }
