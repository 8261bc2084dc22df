package dispatch

import (
	"fmt"
	"net"
	"net/netip"
	"sort"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"meadowhinge/internal/defect"
	"meadowhinge/schema"
)

// Description is what a worker says of itself, every few seconds and when it leaves.
type Description struct {
	Address string  `json:"address"` // where it takes requests
	Service string  `json:"service"`
	Version string  `json:"version"`
	Area    string  `json:"area,omitempty"`
	Load    float64 `json:"load"`
	Leaving bool    `json:"leaving"`
	Gone    bool    `json:"gone"`
	Token   string  `json:"token"`  // handed back with each request, so that the worker knows it was meant
	BeatMS  int64   `json:"beatMs"` // how often it describes itself

	// ID is the worker's own, another for each of its lives. With it the registration is the
	// same wherever and however often it is told, and it stands in place of the token.
	ID     string `json:"id,omitempty"`
	Serial uint64 `json:"serial,omitempty"` // grows with every description; one that comes late changes nothing
	Slots  uint32 `json:"slots,omitempty"`  // requests it works on at once
	WarmMS int64  `json:"warmMs,omitempty"` // how long it is still slow after its start
}

// token is what the worker knows a request by that is meant for it.
func (d *Description) token() string {
	if d.ID != "" {
		return d.ID
	}
	return d.Token
}

// Bounds on a description.
const (
	nameMost  = 64
	tokenMost = 128
	slotsMost = 1 << 16
	beatMost  = time.Minute
	endedKept = 1024
	roomLeast = 64 << 20
)

// Check lists all that is wrong with a description.
func (d *Description) Check() []string {
	var faults []string
	if address, err := netip.ParseAddrPort(d.Address); err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		faults = append(faults, "address: is not IP:port")
	}
	for field, text := range map[string]string{"service": d.Service, "version": d.Version} {
		if text == "" || len(text) > nameMost {
			faults = append(faults, fmt.Sprintf("%s: needs 1 to %d bytes", field, nameMost))
		}
	}
	if len(d.Area) > nameMost {
		faults = append(faults, fmt.Sprintf("area: takes at most %d bytes", nameMost))
	}
	if d.token() == "" || len(d.token()) > tokenMost {
		faults = append(faults, fmt.Sprintf("token: needs 1 to %d bytes, or an id as long", tokenMost))
	}
	if d.WarmMS < 0 || d.Slots > slotsMost {
		faults = append(faults, fmt.Sprintf("slots, warmMs: must be from 0 up, slots to %d", slotsMost))
	}
	if !(d.Load >= 0 && d.Load <= 1e6) {
		faults = append(faults, "load: must be a number from 0 up")
	}
	if beat := time.Duration(d.BeatMS) * time.Millisecond; beat <= 0 || beat > beatMost {
		faults = append(faults, "beatMs: must be above 0 and at most a minute")
	}
	sort.Strings(faults)
	return faults
}

// localWorker is a worker beside this proxy.
type localWorker struct {
	instance string
	address  string // the same for as long as the registration lives
	said     Description
	heardAt  time.Duration
	tether   net.Conn // open as long as the worker lives; its end is the worker's end
	conns    *conns
	buffer   *Buffer
}

// Workers are the workers beside this proxy, each registration under an instance of its own.
type Workers struct {
	lock       sync.Mutex
	options    WorkersOptions
	byPlace    map[string]*localWorker // by address: an address is one worker's at a time
	byInstance map[string]*localWorker
	ended      *Seen // ids of workers that said they are gone: they never come back
	serial     uint64
	parting    bool                // this proxy itself is ending
	room       *semaphore.Weighted // for large bodies
	onChange   func()
}

// WorkersOptions bound what is kept of workers.
type WorkersOptions struct {
	Proxy       string
	Incarnation uint64
	Area        string
	Silence     int64 // beats missed before a worker is dropped
	Most        int
	ConnsMost   int
	BodyMost    int
	RoomMost    int   // bytes of large bodies that are read at once, 0 for enough of them
	Road        *Road // that answers leave by
	Now         func() time.Duration
	Dial        func(address string) (net.Conn, error)
	// Untethered: no connection is held to each worker to learn of its end, where workers
	// close or count such connections.
	Untethered bool
	// Young is how long a proxy that has just started may lack workers that are there and known
	// by ids of their own.
	Young time.Duration
}

// NewWorkers makes an empty list; onChange is called whenever what others should know changes.
func NewWorkers(options WorkersOptions, onChange func()) *Workers {
	if options.RoomMost == 0 {
		options.RoomMost = max(options.BodyMost, roomLeast)
	}
	return &Workers{room: semaphore.NewWeighted(int64(options.RoomMost)), options: options, byPlace: map[string]*localWorker{}, byInstance: map[string]*localWorker{}, ended: NewSeen(endedKept), onChange: onChange}
}

// Describe takes a worker's description and tells the instance it stands under.
func (w *Workers) Describe(said Description) (string, error) {
	now := w.options.Now()
	w.lock.Lock()
	held := w.byPlace[said.Address]
	if said.ID != "" {
		// A worker's own id finds it wherever it stands.
		if named := w.byInstance[said.ID]; named != nil && (said.Gone || said.Serial < named.said.Serial || named.address == said.Address) {
			held = named
		}
		if said.Gone {
			w.ended.First(said.ID)
		}
	}
	same := held != nil && held.said.token() == said.token() && (said.Gone || (held.said.Service == said.Service && held.said.Version == said.Version))
	switch {
	case said.Gone:
		// Only the worker itself may say that it is gone; a stranger at its address may not.
		if same {
			w.drop(held)
		}
		w.lock.Unlock()
		if same {
			w.onChange()
		}
		return "", nil
	// What comes late is taken note of, and changes nothing.
	case said.ID != "" && w.ended.Has(said.ID):
		w.lock.Unlock()
		return said.ID, nil
	case same && said.Serial < held.said.Serial:
		w.lock.Unlock()
		return held.instance, nil
	case same:
		// A worker that said it is leaving does not come back under the same token.
		said.Leaving = said.Leaving || held.said.Leaving
		changed := said.Leaving != held.said.Leaving || said.Area != held.said.Area || said.Slots != held.said.Slots
		slots := said.Slots != held.said.Slots
		held.said, held.heardAt = said, now
		w.lock.Unlock()
		// What still waits for a worker that leaves is better off with another.
		if said.Leaving {
			held.buffer.Shut(defect.Leaving)
		}
		if slots {
			held.buffer.Slots(now, int(said.Slots))
		}
		if changed {
			w.onChange()
		}
		return held.instance, nil
	}
	// Another worker now stands at this address, or this one at another: the old registration
	// ends before anything else.
	dropped := held != nil
	if held != nil {
		w.drop(held)
	}
	if named := w.byInstance[said.ID]; said.ID != "" && named != nil {
		w.drop(named)
		dropped = true
	}
	full := len(w.byPlace) >= w.options.Most
	w.lock.Unlock()
	if dropped {
		w.onChange()
	}
	if full {
		return "", defect.New(defect.BufferFull, "too many workers at this proxy")
	}
	var tether net.Conn
	if !w.options.Untethered {
		var err error
		if tether, err = w.options.Dial(said.Address); err != nil {
			return "", defect.Wrap(err, defect.WorkerUnopened, said.Address)
		}
	}
	w.lock.Lock()
	w.serial++
	fresh := &localWorker{instance: fmt.Sprintf("%s/%s/%x.%d", w.options.Proxy, said.Address, w.options.Incarnation, w.serial),
		address: said.Address, said: said, heardAt: now, tether: tether,
		conns: &conns{address: said.Address, dial: w.options.Dial, now: w.options.Now}, buffer: NewBuffer(w.options.ConnsMost, int(said.Slots)).leaving(w.options.Road)}
	if said.Leaving {
		fresh.buffer.Shut(defect.Leaving)
	}
	if said.ID != "" {
		fresh.instance = said.ID
		// It may have said meanwhile that it is gone.
		if w.ended.Has(said.ID) {
			w.lock.Unlock()
			return said.ID, nil
		}
	}
	for _, raced := range []*localWorker{w.byPlace[said.Address], w.byInstance[fresh.instance]} {
		if raced != nil {
			w.drop(raced)
		}
	}
	w.byPlace[said.Address], w.byInstance[fresh.instance] = fresh, fresh
	w.lock.Unlock()
	if tether != nil {
		go w.watch(fresh)
	}
	w.onChange()
	return fresh.instance, nil
}

// TakeUp takes a worker for being where it was, as an earlier life of this proxy told: whoever else
// stands there by now refuses what is not meant for it. The worker's own word, whatever it is, comes
// first, and if it misses a beat, it is dropped.
func (w *Workers) TakeUp(told Description) {
	w.lock.Lock()
	known := told.ID == "" || w.ended.Has(told.ID) || w.byPlace[told.Address] != nil || w.byInstance[told.ID] != nil
	w.lock.Unlock()
	if known || !w.options.Untethered || len(told.Check()) > 0 {
		return
	}
	if _, err := w.Describe(told); err != nil {
		return
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	if held := w.byInstance[told.ID]; held != nil && held.said == told {
		held.heardAt -= time.Duration((w.options.Silence-1)*told.BeatMS) * time.Millisecond
	}
}

// watch waits for the end of a worker's tether. The kernel closes it when the worker dies,
// long before its beats are missed.
func (w *Workers) watch(held *localWorker) {
	one := make([]byte, 1)
	_, _ = held.tether.Read(one)
	w.lock.Lock()
	current := w.byPlace[held.address] == held
	if current {
		w.drop(held)
	}
	w.lock.Unlock()
	if current {
		w.onChange()
	}
}

// drop ends a registration; the caller holds the lock.
func (w *Workers) drop(held *localWorker) {
	if w.byPlace[held.address] == held {
		delete(w.byPlace, held.address)
	}
	if w.byInstance[held.instance] == held {
		delete(w.byInstance, held.instance)
	}
	if held.tether != nil {
		held.tether.Close()
	}
	held.conns.close()
	held.buffer.Shut(defect.WrongInstance)
}

// Sweep drops the workers that fell silent.
func (w *Workers) Sweep() {
	now := w.options.Now()
	dropped := false
	w.lock.Lock()
	for _, held := range w.byPlace {
		if now-held.heardAt > time.Duration(w.options.Silence*held.said.BeatMS)*time.Millisecond {
			w.drop(held)
			dropped = true
		}
	}
	w.lock.Unlock()
	if dropped {
		w.onChange()
	}
}

// warm is how long a worker is still slow after its start.
func (w *Workers) warm(held *localWorker) time.Duration {
	return max(0, time.Duration(held.said.WarmMS)*time.Millisecond-(w.options.Now()-held.heardAt))
}

// List is what others should know of the workers here.
func (w *Workers) List() []*schema.Worker {
	w.lock.Lock()
	defer w.lock.Unlock()
	var listed []*schema.Worker
	for _, held := range w.byPlace {
		area := held.said.Area
		if area == "" {
			area = w.options.Area
		}
		running, waiting, _ := held.buffer.Load()
		listed = append(listed, &schema.Worker{Running: running, Waiting: waiting, Instance: held.instance, Service: held.said.Service, Version: held.said.Version,
			Area: area, Load: held.said.Load, Leaving: held.said.Leaving || w.parting,
			Slots: held.said.Slots, WarmNanos: int64(w.warm(held)), PaceNanos: int64(held.buffer.Pace())})
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].Instance < listed[j].Instance })
	return listed
}

// find gives the live registration that a request was meant for.
func (w *Workers) find(carry *schema.Carry) (*localWorker, string, defect.Kind) {
	w.lock.Lock()
	defer w.lock.Unlock()
	held := w.byInstance[carry.Instance]
	switch {
	case held == nil && w.options.Now() < w.options.Young:
		return nil, "", defect.ProxyYoung
	case held == nil, held.said.Service != carry.Service, held.said.Version != carry.Version:
		return nil, "", defect.WrongInstance
	case held.said.Leaving:
		return nil, "", defect.Leaving
	}
	return held, held.said.token(), ""
}

// Load is how much a worker here has at hand and before it, and how many it works on at once.
func (w *Workers) Load(instance string) (running, waiting, slots uint32, pace time.Duration) {
	w.lock.Lock()
	held := w.byInstance[instance]
	w.lock.Unlock()
	if held == nil {
		return 0, 0, 0, 0
	}
	running, waiting, slots = held.buffer.Load()
	return running, waiting, slots, held.buffer.Pace()
}

// disown drops a registration whose address turned out to be somebody else's.
func (w *Workers) disown(held *localWorker) {
	w.lock.Lock()
	w.drop(held)
	w.lock.Unlock()
	w.onChange()
}

// LeaveAll tells the mesh that every worker here is leaving, as when the proxy itself is told
// to end. What comes all the same is served: only the workers' own word turns it away.
func (w *Workers) LeaveAll() {
	w.lock.Lock()
	w.parting = true
	w.lock.Unlock()
	w.onChange()
}
