package simulator

import (
	"net"
	"sync"
)

// connections are the open connections of a worker, or of a proxy to its workers, that break when its run ends.
type connections struct {
	lock   sync.Mutex
	open   []net.Conn
	closed bool
}

// add registers a connection; it closes the connection at once if the run has ended.
func (c *connections) add(conn net.Conn) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.closed {
		_ = conn.Close() // closing a pipe never fails
		return
	}
	c.open = append(c.open, conn)
}

// close breaks all connections, and every one that is added later.
func (c *connections) close() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.closed = true
	for _, conn := range c.open {
		_ = conn.Close() // closing a pipe never fails
	}
	c.open = nil
}
