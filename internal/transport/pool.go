package transport

import (
	"context"
	"io"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcenc"
	"storj.io/drpc/drpcwire"

	"meadowhinge/internal/errs"
)

// Bounds on the links that wait for their next call.
const (
	maxIdleTime       = time.Minute // before one is closed
	sweepInterval     = maxIdleTime / 4
	maxIdlePerAddress = 256 // to one address
)

// idleConns holds the links to one address that wait for their next call; the one used last is
// taken first, so that those too many fall idle and are closed.
type idleConns struct {
	conns []idleConn
}

type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

// connPool hold all links that wait.
type connPool struct {
	lock      sync.Mutex
	byAddress map[string]*idleConns
	sweptAt   time.Time
	closed    bool
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// get gives a link that still stands, nil for none.
func (p *connPool) get(address string) *drpcconn.Conn {
	p.lock.Lock()
	defer p.lock.Unlock()
	waiting := p.byAddress[address]
	if waiting == nil {
		return nil
	}
	for count := len(waiting.conns); count > 0; count-- {
		conn := waiting.conns[count-1].conn
		waiting.conns[count-1] = idleConn{}
		waiting.conns = waiting.conns[:count-1]
		if !isClosed(conn) {
			return conn
		}
	}
	return nil
}

// put keeps a link for the next call, if it still stands.
func (p *connPool) put(address string, conn *drpcconn.Conn) {
	if isClosed(conn) {
		return
	}
	now := time.Now()
	p.lock.Lock()
	waiting := p.byAddress[address]
	if waiting == nil {
		waiting = &idleConns{}
		p.byAddress[address] = waiting
	}
	retained := !p.closed && len(waiting.conns) < maxIdlePerAddress
	if retained {
		waiting.conns = append(waiting.conns, idleConn{conn, now})
	}
	var expired []*drpcconn.Conn
	if now.Sub(p.sweptAt) > sweepInterval {
		p.sweptAt = now
		expired = p.sweep(now)
	}
	p.lock.Unlock()
	if !retained {
		expired = append(expired, conn)
	}
	for _, stale := range expired {
		_ = stale.Close()
	}
}

// sweep takes out the links that waited too long, and those that ended by themselves; the
// caller holds the lock, and closes them.
func (p *connPool) sweep(now time.Time) (expired []*drpcconn.Conn) {
	for address, waiting := range p.byAddress {
		retained := waiting.conns[:0]
		for _, candidate := range waiting.conns {
			if isClosed(candidate.conn) || now.Sub(candidate.since) > maxIdleTime {
				expired = append(expired, candidate.conn)
			} else {
				retained = append(retained, candidate)
			}
		}
		clear(waiting.conns[len(retained):])
		waiting.conns = retained
		if len(retained) == 0 {
			delete(p.byAddress, address)
		}
	}
	return expired
}

// close ends every link that waits; those at a call end with it.
func (p *connPool) close() {
	p.lock.Lock()
	p.closed = true
	all := p.byAddress
	p.byAddress = map[string]*idleConns{}
	p.lock.Unlock()
	for _, waiting := range all {
		for _, entry := range waiting.conns {
			_ = entry.conn.Close()
		}
	}
}

// pooledConn is the way to one address: each call on it takes a link of its own.
type pooledConn struct {
	transport *Transport
	address   string
}

// Close does nothing: what a reach uses outlives it.
func (r pooledConn) Close() error { return nil }

// Closed is never: a reach opens another link where one ended.
func (r pooledConn) Closed() <-chan struct{} { return nil }

// open gives a stream on a link to the address, with nothing sent on it yet.
func (c pooledConn) open(ctx context.Context, rpc string, enc drpc.Encoding) (*drpcconn.Conn, drpc.Stream, error) {
	for {
		conn := c.transport.idle.get(c.address)
		fresh := conn == nil
		if fresh {
			var err error
			if conn, err = c.transport.dialConn(ctx, c.address); err != nil {
				return nil, nil, err
			}
		}
		stream, err := conn.NewStream(ctx, rpc, enc)
		if err == nil {
			return conn, stream, nil
		}
		_ = conn.Close()
		// A link that ended while it waited carried nothing of this call.
		if fresh || ctx.Err() != nil {
			return nil, nil, errs.Wrap(err, errs.PeerConnectFailed, c.address)
		}
	}
}

// release gives a link back after a call. One whose call was called off is being closed by the library,
// which a next call must not meet.
func (t *Transport) release(ctx context.Context, address string, conn *drpcconn.Conn) {
	if ctx.Err() != nil {
		_ = conn.Close()
		return
	}
	t.idle.put(address, conn)
}

// messageBuffers are buffers to write messages into, before they go over a link.
var messageBuffers = sync.Pool{New: func() any { return new([]byte) }}

// maxPooledBufferBytes is the largest buffer that is kept for the next message.
const maxPooledBufferBytes = 64 << 10

// rawWriter is what a stream can do beside the interface.
type rawWriter interface {
	RawWrite(kind drpcwire.Kind, data []byte) error
}

// Invoke calls the other side. What is asked goes out with the word that nothing follows, and
// the answer is read up to the same word from there: so each way is one write, and the link is
// free again without either side having to say so once more.
func (c pooledConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	conn, stream, err := c.open(ctx, rpc, enc)
	if err != nil {
		return err
	}
	defer c.transport.release(ctx, c.address, conn)
	defer stream.Close()
	buffer := messageBuffers.Get().(*[]byte)
	encoded, err := drpcenc.MarshalAppend(in, enc, (*buffer)[:0])
	if err == nil {
		err = stream.(rawWriter).RawWrite(drpcwire.KindMessage, encoded)
	}
	if cap(encoded) <= maxPooledBufferBytes {
		*buffer = encoded
	}
	messageBuffers.Put(buffer)
	if err != nil {
		return err
	}
	if err := stream.CloseSend(); err != nil {
		return err
	}
	if err := stream.MsgRecv(out, enc); err != nil {
		return err
	}
	// The answer is whole; that its end does not come says nothing against it.
	_ = stream.MsgRecv(nil, endOfStreamEncoding{})
	return nil
}

// endOfStreamEncoding refuses to read a message where none may be.
type endOfStreamEncoding struct{}

func (endOfStreamEncoding) Marshal(drpc.Message) ([]byte, error) { return nil, io.ErrUnexpectedEOF }
func (endOfStreamEncoding) Unmarshal([]byte, drpc.Message) error { return io.ErrUnexpectedEOF }

// NewStream opens a stream on a link of its own, which is free again when the stream is done.
func (c pooledConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	conn, stream, err := c.open(ctx, rpc, enc)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(stream.Context(), func() { c.transport.release(ctx, c.address, conn) })
	return stream, nil
}
