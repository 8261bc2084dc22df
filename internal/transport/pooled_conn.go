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

// pooledConn is a drpc.Conn to an address whose calls each have a network connection of their own.
type pooledConn struct {
	transport *Transport
	address   string
}

// Close does nothing: the network connections belong to the transport.
func (c pooledConn) Close() error { return nil }

// Closed gives a nil channel, since a pooledConn is never closed: it opens another network connection where one
// broke.
func (c pooledConn) Closed() <-chan struct{} { return nil }

// open opens a stream on an idle or a new network connection. Nothing has been sent on it.
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
		_ = conn.Close() // the error of the stream is the one that counts
		// An idle connection that broke carried nothing of this call, so another one is tried.
		if fresh || ctx.Err() != nil {
			return nil, nil, errs.Wrap(err, errs.PeerConnectFailed, c.address)
		}
	}
}

// release returns a connection after a call. If the call was cancelled, the drpc library is closing the
// connection already, so no other call may get it.
func (t *Transport) release(ctx context.Context, address string, conn *drpcconn.Conn) {
	if ctx.Err() != nil {
		_ = conn.Close() // nothing uses it any more
		return
	}
	t.idle.put(address, conn)
}

// messageBuffers are the buffers into which messages are encoded before they are sent.
var messageBuffers = sync.Pool{New: func() any { return new([]byte) }}

// maxPooledBufferBytes is the largest buffer that is kept for the next message.
const maxPooledBufferBytes = 64 << 10

// rawWriter is implemented by drpc's streams, beside the interface drpc.Stream.
type rawWriter interface {
	RawWrite(kind drpcwire.Kind, data []byte) error
}

// Invoke makes a unary call. The request and the end of the stream go out in one write, and the response is read
// up to the end of the stream from the other side; so neither side needs another write to free the connection.
func (c pooledConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	conn, stream, err := c.open(ctx, rpc, enc)
	if err != nil {
		return err
	}
	defer c.transport.release(ctx, c.address, conn)
	defer func() { _ = stream.Close() }() // the call's own error is the one that counts
	if err := sendMessage(stream, enc, in); err != nil {
		return err
	}
	if err := stream.CloseSend(); err != nil {
		return err
	}
	if err := stream.MsgRecv(out, enc); err != nil {
		return err
	}
	_ = stream.MsgRecv(nil, endOfStreamEncoding{}) // the response is complete, whether or not the end arrives
	return nil
}

// sendMessage encodes a message into a pooled buffer and writes it, without a flush.
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

// endOfStreamEncoding reads the end of a stream: a message in its place is an error.
type endOfStreamEncoding struct{}

// Marshal fails: nothing is sent with this encoding.
func (endOfStreamEncoding) Marshal(drpc.Message) ([]byte, error) { return nil, io.ErrUnexpectedEOF }

// Unmarshal fails: the other side sent a message where the stream must end.
func (endOfStreamEncoding) Unmarshal([]byte, drpc.Message) error { return io.ErrUnexpectedEOF }

// NewStream opens a stream on a network connection of its own, which is released when the stream ends.
func (c pooledConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	conn, stream, err := c.open(ctx, rpc, enc)
	if err != nil {
		return nil, err
	}
	//nolint:contextcheck // ctx is the caller's, as it should be; the stream's own context only tells when it ends
	context.AfterFunc(stream.Context(), func() { c.transport.release(ctx, c.address, conn) })
	return stream, nil
}
