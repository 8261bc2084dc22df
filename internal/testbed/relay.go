package testbed

import (
	"net"
	"sync"
	"time"

	"meadowhinge/internal/errs"
)

// Relay stands in front of a machine's port and passes bytes on, unless LinkFaults has the link cut. What is cut
// disappears without an error, as on a lost link.
type Relay struct {
	listener net.Listener
	target   string
	machine  string
	faults   *LinkFaults
}

// NewRelay listens at an address and passes connections on to the target, which is on the given machine.
func NewRelay(address, target, machine string, faults *LinkFaults) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "relay")
	}
	r := &Relay{listener: listener, target: target, machine: machine, faults: faults}
	go r.acceptLoop()
	return r, nil
}

// acceptLoop serves connections until the relay is closed.
func (r *Relay) acceptLoop() {
	for {
		inbound, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(inbound)
	}
}

// forward passes one connection on, each direction under the faults of its own link.
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
	relayBytes := func(source, sink net.Conn, from, to string) {
		defer finish()
		buffer := make([]byte, 32<<10)
		for {
			n, err := source.Read(buffer)
			if n > 0 {
				// Data behind it in the stream waits too, as in TCP.
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
	go relayBytes(inbound, outbound, from, r.machine)
	go relayBytes(outbound, inbound, r.machine, from)
	<-done
	// Ends the other copy; what an end lost is for the processes to find out.
	_ = inbound.Close()
	_ = outbound.Close()
}

// Close ends the listener. Connections end with their processes.
func (r *Relay) Close() { _ = r.listener.Close() }
