package simulator

import (
	"net"
	"sync"
)

// connections holds the open connections of a worker, or of a proxy to its workers. They break when its run ends.
type connections struct {
	lock   sync.Mutex // guards the fields below
	open   []net.Conn // connections added before the run ended, including any that have ended themselves
	closed bool       // the run has ended
}

// add adds a connection. It closes the connection at once if the run has ended.
func (c *connections) add(conn net.Conn) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.closed {
		_ = conn.Close() // closing a pipe never fails
		return
	}
	c.open = append(c.open, conn)
}

// close ends the run: it closes all connections, and add closes every later one.
func (c *connections) close() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.closed = true
	for _, conn := range c.open {
		_ = conn.Close() // closing a pipe never fails
	}
	c.open = nil
}
