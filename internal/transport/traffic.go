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

// Traffic is what a transport has carried since it was made.
type Traffic struct {
	In       uint64            `json:"in"`       // bytes received from sockets
	Out      uint64            `json:"out"`      // bytes sent to sockets
	Opened   uint64            `json:"opened"`   // connections that this process opened
	Served   map[string]uint64 `json:"served"`   // RPCs served, by name
	Messages map[string]uint64 `json:"messages"` // messages of the RPCs served, in both directions, by name
}

// OnSent sets a function that is called with the number of bytes after each write. It must be set before the
// first connection.
func (t *Transport) OnSent(notify func(bytes int)) { t.meter.onSent = notify }

// meter counts the traffic of a transport.
type meter struct {
	in, out, opened atomic.Uint64
	onSent          func(bytes int) // see OnSent; may be nil

	lock             sync.Mutex // guards the maps
	served, messages map[string]uint64
}

// Traffic gives a copy of the counts.
func (t *Transport) Traffic() Traffic {
	t.meter.lock.Lock()
	defer t.meter.lock.Unlock()
	return Traffic{
		In:       t.meter.in.Load(),
		Out:      t.meter.out.Load(),
		Opened:   t.meter.opened.Load(),
		Served:   maps.Clone(t.meter.served),
		Messages: maps.Clone(t.meter.messages),
	}
}

// countingConn counts the bytes of one connection.
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

// unaryRPCs are the names of the RPCs with one message in each direction.
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

// countingHandler counts the RPCs that a handler serves.
type countingHandler struct {
	drpc.Handler
	meter *meter
}

// HandleRPC counts an RPC and hands it to the handler.
func (c countingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	c.meter.count(&c.meter.served, rpc)
	// Without a flush after the message, a unary RPC's response and the end of the stream are one write.
	if flusher, isFlusher := stream.(interface{ SetManualFlush(bool) }); isFlusher && unaryRPCs[rpc] {
		flusher.SetManualFlush(true)
	}
	return c.Handler.HandleRPC(countingStream{stream, c.meter, rpc}, rpc)
}

// count adds one to an RPC's count in one of the meter's maps.
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

// MsgRecv receives a message and counts it unless there is an error.
func (s countingStream) MsgRecv(message drpc.Message, encoding drpc.Encoding) error {
	err := s.Stream.MsgRecv(message, encoding)
	if err == nil {
		s.meter.count(&s.meter.messages, s.rpc)
	}
	return err
}
