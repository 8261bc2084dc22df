package link

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

// Tell has whoever wants to know hear of the bytes that go out; it is set before the first link.
func (e *Ends) Tell(carried func(bytes int)) { e.meter.carried = carried }

// meter counts what goes over links.
type meter struct {
	in, out, opened atomic.Uint64
	carried         func(bytes int) // hears of what goes out; may be nil

	lock             sync.Mutex
	served, messages map[string]uint64
}

// Traffic tells what has gone over this process's links.
func (e *Ends) Traffic() Traffic {
	e.meter.lock.Lock()
	defer e.meter.lock.Unlock()
	return Traffic{In: e.meter.in.Load(), Out: e.meter.out.Load(), Opened: e.meter.opened.Load(), Served: maps.Clone(e.meter.served), Messages: maps.Clone(e.meter.messages)}
}

// metered counts the bytes of one link.
type metered struct {
	net.Conn
	meter *meter
}

func (m metered) Read(into []byte) (int, error) {
	count, err := m.Conn.Read(into)
	m.meter.in.Add(uint64(count))
	return count, err
}

func (m metered) Write(from []byte) (int, error) {
	count, err := m.Conn.Write(from)
	m.meter.out.Add(uint64(count))
	if m.meter.carried != nil {
		m.meter.carried(count)
	}
	return count, err
}

// single are the calls that have one message each way.
var single = func() map[string]bool {
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

// counting counts the calls that a handler takes.
type counting struct {
	drpc.Handler
	meter *meter
}

func (c counting) HandleRPC(stream drpc.Stream, rpc string) error {
	c.meter.note(&c.meter.served, rpc)
	// A single answer goes out with the word that nothing follows it, in one write.
	if held, can := stream.(interface{ SetManualFlush(bool) }); can && single[rpc] {
		held.SetManualFlush(true)
	}
	return c.Handler.HandleRPC(heard{stream, c.meter, rpc}, rpc)
}

// note counts one by its name.
func (m *meter) note(counts *map[string]uint64, rpc string) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if *counts == nil {
		*counts = map[string]uint64{}
	}
	(*counts)[rpc]++
}

// heard counts the messages of one call.
type heard struct {
	drpc.Stream
	meter *meter
	rpc   string
}

func (h heard) MsgSend(message drpc.Message, encoding drpc.Encoding) error {
	h.meter.note(&h.meter.messages, h.rpc)
	return h.Stream.MsgSend(message, encoding)
}

func (h heard) MsgRecv(message drpc.Message, encoding drpc.Encoding) error {
	err := h.Stream.MsgRecv(message, encoding)
	if err == nil {
		h.meter.note(&h.meter.messages, h.rpc)
	}
	return err
}
