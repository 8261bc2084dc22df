package simulator

import (
	"net"
	"sync"
)

// connections are the open ends that close with a life.
type connections struct {
	lock   sync.Mutex
	open   []net.Conn
	closed bool
}

func (c *connections) add(conn net.Conn) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.closed {
		conn.Close()
		return
	}
	c.open = append(c.open, conn)
}

func (c *connections) close() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.closed = true
	for _, conn := range c.open {
		conn.Close()
	}
	c.open = nil
}
