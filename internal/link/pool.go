package link

import (
	"context"
	"io"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcenc"
	"storj.io/drpc/drpcwire"

	"meadowhinge/internal/defect"
)

// Bounds on the links that wait for their next call.
const (
	idleMost   = time.Minute // before one is closed
	sweepEvery = idleMost / 4
	shelfMost  = 256 // to one address
)

// shelf holds the links to one address that wait for their next call; the one used last is
// taken first, so that those too many fall idle and are closed.
type shelf struct {
	resting []resting
}

type resting struct {
	conn  *drpcconn.Conn
	since time.Time
}

// shelves hold all links that wait.
type shelves struct {
	lock      sync.Mutex
	byAddress map[string]*shelf
	swept     time.Time
	ended     bool
}

func ended(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// take gives a link that still stands, nil for none.
func (s *shelves) take(address string) *drpcconn.Conn {
	s.lock.Lock()
	defer s.lock.Unlock()
	held := s.byAddress[address]
	if held == nil {
		return nil
	}
	for count := len(held.resting); count > 0; count-- {
		conn := held.resting[count-1].conn
		held.resting[count-1] = resting{}
		held.resting = held.resting[:count-1]
		if !ended(conn) {
			return conn
		}
	}
	return nil
}

// put keeps a link for the next call, if it still stands.
func (s *shelves) put(address string, conn *drpcconn.Conn) {
	if ended(conn) {
		return
	}
	now := time.Now()
	s.lock.Lock()
	held := s.byAddress[address]
	if held == nil {
		held = &shelf{}
		s.byAddress[address] = held
	}
	kept := !s.ended && len(held.resting) < shelfMost
	if kept {
		held.resting = append(held.resting, resting{conn, now})
	}
	var old []*drpcconn.Conn
	if now.Sub(s.swept) > sweepEvery {
		s.swept = now
		old = s.sweep(now)
	}
	s.lock.Unlock()
	if !kept {
		old = append(old, conn)
	}
	for _, one := range old {
		_ = one.Close()
	}
}

// sweep takes out the links that waited too long, and those that ended by themselves; the
// caller holds the lock, and closes them.
func (s *shelves) sweep(now time.Time) (old []*drpcconn.Conn) {
	for address, held := range s.byAddress {
		kept := held.resting[:0]
		for _, one := range held.resting {
			if ended(one.conn) || now.Sub(one.since) > idleMost {
				old = append(old, one.conn)
			} else {
				kept = append(kept, one)
			}
		}
		clear(held.resting[len(kept):])
		held.resting = kept
		if len(kept) == 0 {
			delete(s.byAddress, address)
		}
	}
	return old
}

// close ends every link that waits; those at a call end with it.
func (s *shelves) close() {
	s.lock.Lock()
	s.ended = true
	all := s.byAddress
	s.byAddress = map[string]*shelf{}
	s.lock.Unlock()
	for _, held := range all {
		for _, one := range held.resting {
			_ = one.conn.Close()
		}
	}
}

// reach is the way to one address: each call on it takes a link of its own.
type reach struct {
	ends    *Ends
	address string
}

// Close does nothing: what a reach uses outlives it.
func (r reach) Close() error { return nil }

// Closed is never: a reach opens another link where one ended.
func (r reach) Closed() <-chan struct{} { return nil }

// open gives a stream on a link to the address, with nothing sent on it yet.
func (r reach) open(ctx context.Context, rpc string, enc drpc.Encoding) (*drpcconn.Conn, drpc.Stream, error) {
	for {
		conn := r.ends.resting.take(r.address)
		fresh := conn == nil
		if fresh {
			var err error
			if conn, err = r.ends.open(ctx, r.address); err != nil {
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
			return nil, nil, defect.Wrap(err, defect.LinkUnopened, r.address)
		}
	}
}

// release gives a link back after a call. One whose call was called off is being closed by the library,
// which a next call must not meet.
func (e *Ends) release(ctx context.Context, address string, conn *drpcconn.Conn) {
	if ctx.Err() != nil {
		_ = conn.Close()
		return
	}
	e.resting.put(address, conn)
}

// messages are buffers to write messages into, before they go over a link.
var messages = sync.Pool{New: func() any { return new([]byte) }}

// messageKept is the largest buffer that is kept for the next message.
const messageKept = 64 << 10

// raw is what a stream can do beside the interface.
type raw interface {
	RawWrite(kind drpcwire.Kind, data []byte) error
}

// Invoke calls the other side. What is asked goes out with the word that nothing follows, and
// the answer is read up to the same word from there: so each way is one write, and the link is
// free again without either side having to say so once more.
func (r reach) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	conn, stream, err := r.open(ctx, rpc, enc)
	if err != nil {
		return err
	}
	defer r.ends.release(ctx, r.address, conn)
	defer stream.Close()
	buffer := messages.Get().(*[]byte)
	asked, err := drpcenc.MarshalAppend(in, enc, (*buffer)[:0])
	if err == nil {
		err = stream.(raw).RawWrite(drpcwire.KindMessage, asked)
	}
	if cap(asked) <= messageKept {
		*buffer = asked
	}
	messages.Put(buffer)
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
	_ = stream.MsgRecv(nil, nothingMore{})
	return nil
}

// nothingMore refuses to read a message where none may be.
type nothingMore struct{}

func (nothingMore) Marshal(drpc.Message) ([]byte, error) { return nil, io.ErrUnexpectedEOF }
func (nothingMore) Unmarshal([]byte, drpc.Message) error { return io.ErrUnexpectedEOF }

// NewStream opens a stream on a link of its own, which is free again when the stream is done.
func (r reach) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	conn, stream, err := r.open(ctx, rpc, enc)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(stream.Context(), func() { r.ends.release(ctx, r.address, conn) })
	return stream, nil
}
