package transport

import (
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
)

// Limits of idle connections.
const (
	maxIdleTime       = time.Minute     // idle time after which a sweep closes a connection
	sweepInterval     = maxIdleTime / 4 // minimum time between two sweeps
	maxIdlePerAddress = 256             // connections beyond this number are closed instead of kept
)

// idleConns is the stack of idle connections to one address. The connection that was used last is reused first, so
// that surplus connections stay idle and expire.
type idleConns struct {
	conns []idleConn // idle connections, ordered by the time at which they became idle, oldest first
}

// idleConn is an idle connection.
type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time // time at which the connection became idle
}

// connPool holds all idle connections of a transport.
type connPool struct {
	lock      sync.Mutex            // guards the fields below
	byAddress map[string]*idleConns // a sweep removes addresses without idle connections
	sweptAt   time.Time             // time of the last sweep
	closed    bool                  // set by close; put then closes connections instead of keeping them
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// get removes and returns an idle connection to an address that is still open. It returns nil if there is none.
func (p *connPool) get(address string) *drpcconn.Conn {
	p.lock.Lock()
	defer p.lock.Unlock()
	idle := p.byAddress[address]
	if idle == nil {
		return nil
	}
	for count := len(idle.conns); count > 0; count-- {
		conn := idle.conns[count-1].conn
		idle.conns[count-1] = idleConn{}
		idle.conns = idle.conns[:count-1]
		if !isClosed(conn) {
			return conn
		}
	}
	return nil
}

// put keeps an open connection for a later RPC, or closes it if the pool is full or closed. It also closes the
// connections that have expired, if a sweep is due.
func (p *connPool) put(address string, conn *drpcconn.Conn) {
	if isClosed(conn) {
		return
	}
	retained, expired := p.add(address, conn, time.Now())
	if !retained {
		expired = append(expired, conn)
	}
	// Closing can block, so the lock is not held.
	for _, stale := range expired {
		_ = stale.Close() // the connection is unused, so the error does not matter
	}
}

// add keeps a connection if there is room, and sweeps the pool if a sweep is due. It reports whether the connection
// was kept, and returns the expired connections for the caller to close.
func (p *connPool) add(address string, conn *drpcconn.Conn, now time.Time) (retained bool, expired []*drpcconn.Conn) {
	p.lock.Lock()
	defer p.lock.Unlock()
	idle := p.byAddress[address]
	if idle == nil {
		idle = &idleConns{}
		p.byAddress[address] = idle
	}
	retained = !p.closed && len(idle.conns) < maxIdlePerAddress
	if retained {
		idle.conns = append(idle.conns, idleConn{conn, now})
	}
	if now.Sub(p.sweptAt) > sweepInterval {
		p.sweptAt = now
		expired = p.sweep(now)
	}
	return retained, expired
}

// sweep removes and returns the connections that were idle for longer than maxIdleTime or that have closed by
// themselves. The caller holds the lock during the call, and closes the returned connections after releasing it.
func (p *connPool) sweep(now time.Time) (expired []*drpcconn.Conn) {
	for address, idle := range p.byAddress {
		retained := idle.conns[:0]
		for _, candidate := range idle.conns {
			if isClosed(candidate.conn) || now.Sub(candidate.since) > maxIdleTime {
				expired = append(expired, candidate.conn)
			} else {
				retained = append(retained, candidate)
			}
		}
		clear(idle.conns[len(retained):])
		idle.conns = retained
		if len(retained) == 0 {
			delete(p.byAddress, address)
		}
	}
	return expired
}

// close closes every idle connection. Connections in use are closed when they are put back.
func (p *connPool) close() {
	p.lock.Lock()
	p.closed = true
	all := p.byAddress
	p.byAddress = map[string]*idleConns{}
	p.lock.Unlock()
	for _, idle := range all {
		for _, entry := range idle.conns {
			_ = entry.conn.Close() // the connection is unused, so the error does not matter
		}
	}
}
