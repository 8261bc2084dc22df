package testbed

import (
	"fmt"
	"net"
	"sync"
	"time"

	"meadowhinge/internal/errs"
)

// Relay is a TCP relay in front of a port of a machine. It forwards data in both directions and applies the faults of
// the links between the two machines. On a cut link, data and new connections wait without an error, as on a network
// that drops packets.
type Relay struct {
	listener net.Listener
	target   string // IP:port to which connections are forwarded
	machine  string // IP address that names the target's machine in faults
	faults   *LinkFaults
}

// NewRelay starts a relay that listens at an address and forwards connections to the target. machine is the IP address
// by which faults name the target's machine. It fails with errs.Internal if it cannot listen.
func NewRelay(address, target, machine string, faults *LinkFaults) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, fmt.Sprintf("relay for %s cannot listen at %s", target, address))
	}
	r := &Relay{listener: listener, target: target, machine: machine, faults: faults}
	go r.acceptLoop()
	return r, nil
}

// acceptLoop accepts connections until the relay is closed.
func (r *Relay) acceptLoop() {
	for {
		inbound, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(inbound)
	}
}

// forward relays one connection. Each direction is subject to the faults of its own link.
func (r *Relay) forward(inbound net.Conn) {
	// Processes dial from the address of their machine, so the remote address identifies the machine.
	from := inbound.RemoteAddr().(*net.TCPAddr).IP.String()
	done := make(chan struct{})
	var once sync.Once
	finish := func() { once.Do(func() { close(done) }) }
	if !r.faults.awaitOpen(from, r.machine, done) {
		_ = inbound.Close() // nothing was written, so nothing can be lost
		return
	}
	outbound, err := net.Dial("tcp", r.target)
	if err != nil {
		// If the target refuses the connection, the inbound side must not see an orderly close.
		_ = inbound.(*net.TCPConn).SetLinger(0) // makes Close reset the connection; best effort
		_ = inbound.Close()
		return
	}
	relayBytes := func(source, sink net.Conn, from, to string) {
		defer finish()
		buffer := make([]byte, 32<<10)
		for {
			n, err := source.Read(buffer)
			if n > 0 {
				// As in TCP, a lost packet also delays the data that follows it.
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
	// This ends the copy in the other direction. The processes must cope with data that is lost.
	_ = inbound.Close()
	_ = outbound.Close()
}

// Close closes the listener. Open connections are relayed until one of their processes ends them.
func (r *Relay) Close() { _ = r.listener.Close() }
