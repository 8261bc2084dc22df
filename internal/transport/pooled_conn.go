package transport

import (
	"context"
	"io"
	"sync"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcenc"
	"storj.io/drpc/drpcwire"

	"meadowhinge/internal/errs"
)

// pooledConn is a drpc.Conn to an address. Each RPC on it takes a network connection of its own from the transport's
// pool, or dials one.
type pooledConn struct {
	transport *Transport // owner of the network connections
	address   string     // IP:port of the peer
}

// Close does nothing: the network connections belong to the transport.
func (c pooledConn) Close() error { return nil }

// Closed returns a nil channel, because a pooledConn never closes: when a network connection breaks, the next RPC
// uses another one.
func (c pooledConn) Closed() <-chan struct{} { return nil }

// open opens a stream on an idle or a new network connection. Nothing has been sent on the stream yet. Its errors are
// those of dialConn.
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
		_ = conn.Close() // the connection is unused, so the error does not matter
		// An idle connection that broke has carried nothing of this RPC, so the RPC is tried on another one.
		if fresh || ctx.Err() != nil {
			return nil, nil, errs.Wrap(err, errs.PeerConnectFailed, c.address)
		}
	}
}

// release returns a connection to the pool after an RPC. If the RPC was cancelled or reached its deadline, the drpc
// library is already closing the connection, so it must not be reused.
func (t *Transport) release(ctx context.Context, address string, conn *drpcconn.Conn) {
	if ctx.Err() != nil {
		_ = conn.Close() // the connection is unused, so the error does not matter
		return
	}
	t.idle.put(address, conn)
}

// messageBuffers holds *[]byte buffers into which messages are encoded before they are sent.
var messageBuffers = sync.Pool{New: func() any { return new([]byte) }}

// maxPooledBufferBytes is the largest capacity of a buffer that goes back into messageBuffers, in bytes. The garbage
// collector frees larger ones.
const maxPooledBufferBytes = 64 << 10

// rawWriter is a method of drpc's stream type that the interface drpc.Stream lacks.
type rawWriter interface {
	RawWrite(kind drpcwire.Kind, data []byte) error
}

// Invoke makes a unary RPC. The request and the end of the stream are sent in one write. The response is read up to
// the server's end of the stream, so that neither side needs another write before the connection can be reused.
func (c pooledConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	conn, stream, err := c.open(ctx, rpc, enc)
	if err != nil {
		return err
	}
	defer c.transport.release(ctx, c.address, conn)
	defer func() { _ = stream.Close() }() // the RPC's own error is returned instead
	if err := sendMessage(stream, enc, in); err != nil {
		return err
	}
	if err := stream.CloseSend(); err != nil {
		return err
	}
	if err := stream.MsgRecv(out, enc); err != nil {
		return err
	}
	_ = stream.MsgRecv(nil, endOfStreamEncoding{}) // the response is complete even if the end of the stream is not received
	return nil
}

// sendMessage encodes a message into a pooled buffer and writes it to the stream without flushing.
func sendMessage(stream drpc.Stream, enc drpc.Encoding, message drpc.Message) error {
	buffer := messageBuffers.Get().(*[]byte)
	encoded, err := drpcenc.MarshalAppend(message, enc, (*buffer)[:0])
	if err == nil {
		err = stream.(rawWriter).RawWrite(drpcwire.KindMessage, encoded)
	}
	if cap(encoded) <= maxPooledBufferBytes {
		*buffer = encoded
	}
	messageBuffers.Put(buffer)
	return err
}

// endOfStreamEncoding is the encoding for receiving the end of a stream: it fails if a message arrives instead.
type endOfStreamEncoding struct{}

// Marshal always fails, because nothing is sent with this encoding.
func (endOfStreamEncoding) Marshal(drpc.Message) ([]byte, error) { return nil, io.ErrUnexpectedEOF }

// Unmarshal always fails: it is called only if the peer sent a message where the stream must end.
func (endOfStreamEncoding) Unmarshal([]byte, drpc.Message) error { return io.ErrUnexpectedEOF }

// NewStream opens a stream on a network connection of its own, which goes back to the pool when the stream ends. Errors
// are PeerConnectFailed, or Unauthorized if the peer's certificate or protocol version is wrong.
func (c pooledConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	conn, stream, err := c.open(ctx, rpc, enc)
	if err != nil {
		return nil, err
	}
	//nolint:contextcheck // release needs the caller's ctx; the stream's own context only signals that the stream ended
	context.AfterFunc(stream.Context(), func() { c.transport.release(ctx, c.address, conn) })
	return stream, nil
}
