package transport

import (
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
)

// Bounds on idle connections.
const (
	maxIdleTime       = time.Minute // before one is closed
	sweepInterval     = maxIdleTime / 4
	maxIdlePerAddress = 256
)

// idleConns are the idle connections to one address. The one used last is reused first, so that the ones beyond
// what is needed stay idle and are closed.
type idleConns struct {
	conns []idleConn
}

type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

// connPool has all idle connections of a transport.
type connPool struct {
	lock      sync.Mutex            // guards all fields
	byAddress map[string]*idleConns // without addresses that have no idle connection left after a sweep
	sweptAt   time.Time
	closed    bool // connections are closed instead of kept
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// get gives an idle connection that is still open, nil for none.
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

// put keeps a connection for the next call, if it is still open and there is room.
func (p *connPool) put(address string, conn *drpcconn.Conn) {
	if isClosed(conn) {
		return
	}
	retained, expired := p.add(address, conn, time.Now())
	if !retained {
		expired = append(expired, conn)
	}
	// Closed without the lock, as closing may take its time.
	for _, stale := range expired {
		_ = stale.Close() // nothing uses it any more
	}
}

// add keeps a connection if there is room, and takes out the expired ones if a sweep is due.
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

// sweep takes out the connections that were idle too long, and those that closed by themselves. The caller holds
// the lock, and closes what sweep gives.
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

// close closes every idle connection; those with a call are closed when they are put back.
func (p *connPool) close() {
	p.lock.Lock()
	p.closed = true
	all := p.byAddress
	p.byAddress = map[string]*idleConns{}
	p.lock.Unlock()
	for _, idle := range all {
		for _, entry := range idle.conns {
			_ = entry.conn.Close() // nothing uses it any more
		}
	}
}
