package transport

import (
	"maps"
	"net"
	"sync"
	"sync/atomic"

	"storj.io/drpc"

	"meadowhinge/schema"
)

// Traffic is what has gone over this process's links since it started.
type Traffic struct {
	In       uint64            `json:"in"`       // bytes, as the sockets carried them
	Out      uint64            `json:"out"`      // the same
	Opened   uint64            `json:"opened"`   // links that this process opened
	Served   map[string]uint64 `json:"served"`   // calls taken, by what was called
	Messages map[string]uint64 `json:"messages"` // that went either way in them
}

// OnSent has whoever wants to know hear of the bytes that go out; it is set before the first link.
func (t *Transport) OnSent(notify func(bytes int)) { t.meter.onSent = notify }

// meter counts what goes over links.
type meter struct {
	in, out, opened atomic.Uint64
	onSent          func(bytes int) // hears of what goes out; may be nil

	lock             sync.Mutex
	served, messages map[string]uint64
}

// Traffic tells what has gone over this process's links.
func (t *Transport) Traffic() Traffic {
	t.meter.lock.Lock()
	defer t.meter.lock.Unlock()
	return Traffic{In: t.meter.in.Load(), Out: t.meter.out.Load(), Opened: t.meter.opened.Load(), Served: maps.Clone(t.meter.served), Messages: maps.Clone(t.meter.messages)}
}

// countingConn counts the bytes of one link.
type countingConn struct {
	net.Conn
	meter *meter
}

func (m countingConn) Read(into []byte) (int, error) {
	count, err := m.Conn.Read(into)
	m.meter.in.Add(uint64(count))
	return count, err
}

func (m countingConn) Write(from []byte) (int, error) {
	count, err := m.Conn.Write(from)
	m.meter.out.Add(uint64(count))
	if m.meter.onSent != nil {
		m.meter.onSent(count)
	}
	return count, err
}

// unaryRPCs are the calls that have one message each way.
var unaryRPCs = func() map[string]bool {
	found := map[string]bool{}
	services := schema.File_mesh_proto.Services()
	for i := range services.Len() {
		methods := services.Get(i).Methods()
		for j := range methods.Len() {
			if one := methods.Get(j); !one.IsStreamingClient() && !one.IsStreamingServer() {
				found["/"+string(services.Get(i).FullName())+"/"+string(one.Name())] = true
			}
		}
	}
	return found
}()

// countingHandler counts the calls that a handler takes.
type countingHandler struct {
	drpc.Handler
	meter *meter
}

func (c countingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	c.meter.count(&c.meter.served, rpc)
	// A single answer goes out with the word that nothing follows it, in one write.
	if flusher, isFlusher := stream.(interface{ SetManualFlush(bool) }); isFlusher && unaryRPCs[rpc] {
		flusher.SetManualFlush(true)
	}
	return c.Handler.HandleRPC(countingStream{stream, c.meter, rpc}, rpc)
}

// count counts one by its name.
func (m *meter) count(counts *map[string]uint64, rpc string) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if *counts == nil {
		*counts = map[string]uint64{}
	}
	(*counts)[rpc]++
}

// countingStream counts the messages of one call.
type countingStream struct {
	drpc.Stream
	meter *meter
	rpc   string
}

func (s countingStream) MsgSend(message drpc.Message, encoding drpc.Encoding) error {
	s.meter.count(&s.meter.messages, s.rpc)
	return s.Stream.MsgSend(message, encoding)
}

func (s countingStream) MsgRecv(message drpc.Message, encoding drpc.Encoding) error {
	err := s.Stream.MsgRecv(message, encoding)
	if err == nil {
		s.meter.count(&s.meter.messages, s.rpc)
	}
	return err
}
