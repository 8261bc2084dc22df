package transport

import (
	"maps"
	"net"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/reflect/protoreflect"
	"storj.io/drpc"

	"meadowhinge/schema"
)

// Traffic holds the traffic counters of a transport since its creation.
type Traffic struct {
	BytesReceived     uint64            `json:"in"`       // bytes received from sockets
	BytesSent         uint64            `json:"out"`      // bytes sent to sockets
	ConnectionsOpened uint64            `json:"opened"`   // connections that this process opened
	Served            map[string]uint64 `json:"served"`   // RPCs served, by RPC name
	Messages          map[string]uint64 `json:"messages"` // messages of served RPCs in both directions, by RPC name
}

// OnSent sets a function that is called after each write to a socket with the number of bytes written. It must be
// called before the first connection opens.
func (t *Transport) OnSent(notify func(bytes int)) { t.meter.onSent = notify }

// meter counts the traffic of a transport.
type meter struct {
	in, out, opened atomic.Uint64
	onSent          func(bytes int) // set by OnSent; may be nil

	lock             sync.Mutex        // guards served and messages
	served, messages map[string]uint64 // as in Traffic; nil until the first RPC
}

// Traffic returns a copy of the counters.
func (t *Transport) Traffic() Traffic {
	t.meter.lock.Lock()
	defer t.meter.lock.Unlock()
	return Traffic{
		BytesReceived:     t.meter.in.Load(),
		BytesSent:         t.meter.out.Load(),
		ConnectionsOpened: t.meter.opened.Load(),
		Served:            maps.Clone(t.meter.served),
		Messages:          maps.Clone(t.meter.messages),
	}
}

// countingConn adds the bytes read from and written to a connection to the transport's counters.
type countingConn struct {
	net.Conn
	meter *meter
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	c.meter.in.Add(uint64(count))
	return count, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(from []byte) (int, error) {
	count, err := c.Conn.Write(from)
	c.meter.out.Add(uint64(count))
	if c.meter.onSent != nil {
		c.meter.onSent(count)
	}
	return count, err
}

// unaryRPCs is the set of names of the RPCs with one message in each direction.
var unaryRPCs = findUnaryRPCs(schema.File_mesh_proto.Services())

func findUnaryRPCs(services protoreflect.ServiceDescriptors) map[string]bool {
	found := map[string]bool{}
	for i := range services.Len() {
		methods := services.Get(i).Methods()
		for j := range methods.Len() {
			if method := methods.Get(j); !method.IsStreamingClient() && !method.IsStreamingServer() {
				found["/"+string(services.Get(i).FullName())+"/"+string(method.Name())] = true
			}
		}
	}
	return found
}

// countingHandler counts the RPCs that it passes to a handler, and their messages.
type countingHandler struct {
	drpc.Handler
	meter *meter
}

// HandleRPC counts an RPC and passes it to the handler.
func (c countingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	c.meter.count(&c.meter.served, rpc)
	// With manual flushing, the response of a unary RPC and the end of the stream go out in one write.
	if flusher, isFlusher := stream.(interface{ SetManualFlush(bool) }); isFlusher && unaryRPCs[rpc] {
		flusher.SetManualFlush(true)
	}
	return c.Handler.HandleRPC(countingStream{stream, c.meter, rpc}, rpc)
}

// count adds one to the count of an RPC in counts, which points to served or messages of m.
func (m *meter) count(counts *map[string]uint64, rpc string) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if *counts == nil {
		*counts = map[string]uint64{}
	}
	(*counts)[rpc]++
}

// countingStream counts the messages of one RPC.
type countingStream struct {
	drpc.Stream
	meter *meter
	rpc   string
}

// MsgSend counts and sends a message.
func (s countingStream) MsgSend(message drpc.Message, encoding drpc.Encoding) error {
	s.meter.count(&s.meter.messages, s.rpc)
	return s.Stream.MsgSend(message, encoding)
}

// MsgRecv receives a message, and counts it if there is no error.
func (s countingStream) MsgRecv(message drpc.Message, encoding drpc.Encoding) error {
	err := s.Stream.MsgRecv(message, encoding)
	if err == nil {
		s.meter.count(&s.meter.messages, s.rpc)
	}
	return err
}
