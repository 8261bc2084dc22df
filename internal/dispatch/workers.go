package dispatch

import (
	"fmt"
	"net"
	"sort"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// localWorker is a worker beside this proxy.
type localWorker struct {
	instance        string
	address         string // the same for as long as the registration lives
	description     WorkerDescription
	lastHeartbeatAt time.Duration
	livenessConn    net.Conn // open as long as the worker lives; its end is the worker's end
	conns           *connPool
	queue           *WorkerQueue
}

// Workers are the workers beside this proxy, each registration under an instance of its own.
type Workers struct {
	lock            sync.Mutex
	options         WorkersOptions
	byAddress       map[string]*localWorker // by address: an address is one worker's at a time
	byInstance      map[string]*localWorker
	deregisteredIDs *RecentIDs // ids of workers that said they are gone: they never come back
	serial          uint64
	shuttingDown    bool                // this proxy itself is ending
	bodyMemory      *semaphore.Weighted // for large bodies
	onChange        func()
}

// WorkersOptions bound what is kept of workers.
type WorkersOptions struct {
	Proxy               string
	Incarnation         uint64
	Zone                string
	MaxMissedHeartbeats int64 // beats missed before a worker is dropped
	MaxWorkers          int
	MaxConns            int
	MaxBodyBytes        int
	MaxBodyMemory       int     // bytes of large bodies that are read at once, 0 for enough of them
	Uplink              *Uplink // that answers leave by
	Now                 func() time.Duration
	Dial                func(address string) (net.Conn, error)
	// NoLivenessConn: no connection is held to each worker to learn of its end, where workers
	// close or count such connections.
	NoLivenessConn bool
	// DiscoveryGrace is how long a proxy that has just started may lack workers that are there and known
	// by ids of their own.
	DiscoveryGrace time.Duration
}

// NewWorkers makes an empty list; onChange is called whenever what others should know changes.
func NewWorkers(options WorkersOptions, onChange func()) *Workers {
	if options.MaxBodyMemory == 0 {
		options.MaxBodyMemory = max(options.MaxBodyBytes, minBodyMemory)
	}
	return &Workers{bodyMemory: semaphore.NewWeighted(int64(options.MaxBodyMemory)), options: options, byAddress: map[string]*localWorker{}, byInstance: map[string]*localWorker{}, deregisteredIDs: NewRecentIDs(deregisteredRetained), onChange: onChange}
}

// Register takes a worker's description and tells the instance it stands under.
func (w *Workers) Register(description WorkerDescription) (string, error) {
	now := w.options.Now()
	w.lock.Lock()
	existing := w.byAddress[description.Address]
	if description.ID != "" {
		// A worker's own id finds it wherever it stands.
		if byID := w.byInstance[description.ID]; byID != nil && (description.Deregistered || description.Serial < byID.description.Serial || byID.address == description.Address) {
			existing = byID
		}
		if description.Deregistered {
			w.deregisteredIDs.AddIfNew(description.ID)
		}
	}
	sameWorker := existing != nil && existing.description.token() == description.token() && (description.Deregistered || (existing.description.Service == description.Service && existing.description.Version == description.Version))
	switch {
	case description.Deregistered:
		// Only the worker itself may say that it is gone; a stranger at its address may not.
		if sameWorker {
			w.remove(existing)
		}
		w.lock.Unlock()
		if sameWorker {
			w.onChange()
		}
		return "", nil
	// What comes late is taken note of, and changes nothing.
	case description.ID != "" && w.deregisteredIDs.Contains(description.ID):
		w.lock.Unlock()
		return description.ID, nil
	case sameWorker && description.Serial < existing.description.Serial:
		w.lock.Unlock()
		return existing.instance, nil
	case sameWorker:
		// A worker that said it is leaving does not come back under the same token.
		description.Draining = description.Draining || existing.description.Draining
		visibleChange := description.Draining != existing.description.Draining || description.Zone != existing.description.Zone || description.Slots != existing.description.Slots
		slotsChanged := description.Slots != existing.description.Slots
		existing.description, existing.lastHeartbeatAt = description, now
		w.lock.Unlock()
		// What still waits for a worker that leaves is better off with another.
		if description.Draining {
			existing.queue.Close(errs.WorkerDraining)
		}
		if slotsChanged {
			existing.queue.SetSlots(now, int(description.Slots))
		}
		if visibleChange {
			w.onChange()
		}
		return existing.instance, nil
	}
	// Another worker now stands at this address, or this one at another: the old registration
	// ends before anything else.
	removed := existing != nil
	if existing != nil {
		w.remove(existing)
	}
	if byID := w.byInstance[description.ID]; description.ID != "" && byID != nil {
		w.remove(byID)
		removed = true
	}
	full := len(w.byAddress) >= w.options.MaxWorkers
	w.lock.Unlock()
	if removed {
		w.onChange()
	}
	if full {
		return "", errs.New(errs.QueueFull, "too many workers at this proxy")
	}
	var livenessConn net.Conn
	if !w.options.NoLivenessConn {
		var err error
		if livenessConn, err = w.options.Dial(description.Address); err != nil {
			return "", errs.Wrap(err, errs.WorkerConnectFailed, description.Address)
		}
	}
	w.lock.Lock()
	w.serial++
	worker := &localWorker{instance: fmt.Sprintf("%s/%s/%x.%d", w.options.Proxy, description.Address, w.options.Incarnation, w.serial),
		address: description.Address, description: description, lastHeartbeatAt: now, livenessConn: livenessConn,
		conns: &connPool{address: description.Address, dial: w.options.Dial, now: w.options.Now}, queue: NewWorkerQueue(w.options.MaxConns, int(description.Slots)).withUplink(w.options.Uplink)}
	if description.Draining {
		worker.queue.Close(errs.WorkerDraining)
	}
	if description.ID != "" {
		worker.instance = description.ID
		// It may have said meanwhile that it is gone.
		if w.deregisteredIDs.Contains(description.ID) {
			w.lock.Unlock()
			return description.ID, nil
		}
	}
	for _, competing := range []*localWorker{w.byAddress[description.Address], w.byInstance[worker.instance]} {
		if competing != nil {
			w.remove(competing)
		}
	}
	w.byAddress[description.Address], w.byInstance[worker.instance] = worker, worker
	w.lock.Unlock()
	if livenessConn != nil {
		go w.watchLiveness(worker)
	}
	w.onChange()
	return worker.instance, nil
}

// Restore takes a worker for being where it was, as an earlier life of this proxy told: whoever else
// stands there by now refuses what is not meant for it. The worker's own word, whatever it is, comes
// first, and if it misses a beat, it is dropped.
func (w *Workers) Restore(description WorkerDescription) {
	w.lock.Lock()
	known := description.ID == "" || w.deregisteredIDs.Contains(description.ID) || w.byAddress[description.Address] != nil || w.byInstance[description.ID] != nil
	w.lock.Unlock()
	if known || !w.options.NoLivenessConn || len(description.Validate()) > 0 {
		return
	}
	if _, err := w.Register(description); err != nil {
		return
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	if worker := w.byInstance[description.ID]; worker != nil && worker.description == description {
		worker.lastHeartbeatAt -= time.Duration((w.options.MaxMissedHeartbeats-1)*description.HeartbeatMS) * time.Millisecond
	}
}

// watchLiveness waits for the end of a worker's tether. The kernel closes it when the worker dies,
// long before its beats are missed.
func (w *Workers) watchLiveness(worker *localWorker) {
	buffer := make([]byte, 1)
	_, _ = worker.livenessConn.Read(buffer)
	w.lock.Lock()
	current := w.byAddress[worker.address] == worker
	if current {
		w.remove(worker)
	}
	w.lock.Unlock()
	if current {
		w.onChange()
	}
}

// remove ends a registration; the caller holds the lock.
func (w *Workers) remove(worker *localWorker) {
	if w.byAddress[worker.address] == worker {
		delete(w.byAddress, worker.address)
	}
	if w.byInstance[worker.instance] == worker {
		delete(w.byInstance, worker.instance)
	}
	if worker.livenessConn != nil {
		worker.livenessConn.Close()
	}
	worker.conns.close()
	worker.queue.Close(errs.WrongInstance)
}

// DropUnresponsive drops the workers that fell silent.
func (w *Workers) DropUnresponsive() {
	now := w.options.Now()
	removed := false
	w.lock.Lock()
	for _, worker := range w.byAddress {
		if now-worker.lastHeartbeatAt > time.Duration(w.options.MaxMissedHeartbeats*worker.description.HeartbeatMS)*time.Millisecond {
			w.remove(worker)
			removed = true
		}
	}
	w.lock.Unlock()
	if removed {
		w.onChange()
	}
}

// remainingWarmup is how long a worker is still slow after its start.
func (w *Workers) remainingWarmup(worker *localWorker) time.Duration {
	return max(0, time.Duration(worker.description.WarmupMS)*time.Millisecond-(w.options.Now()-worker.lastHeartbeatAt))
}

// List is what others should know of the workers here.
func (w *Workers) List() []*schema.Worker {
	w.lock.Lock()
	defer w.lock.Unlock()
	var workers []*schema.Worker
	for _, worker := range w.byAddress {
		zone := worker.description.Zone
		if zone == "" {
			zone = w.options.Zone
		}
		running, waiting, _ := worker.queue.Load()
		workers = append(workers, &schema.Worker{Running: running, Queued: waiting, Instance: worker.instance, Service: worker.description.Service, Version: worker.description.Version,
			Zone: zone, Load: worker.description.Load, Draining: worker.description.Draining || w.shuttingDown,
			Slots: worker.description.Slots, WarmupLeftNanos: int64(w.remainingWarmup(worker)), ServiceTimeNanos: int64(worker.queue.ServiceTime())})
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].Instance < workers[j].Instance })
	return workers
}

// find gives the live registration that a request was meant for.
func (w *Workers) find(request *schema.ForwardRequest) (*localWorker, string, errs.Code) {
	w.lock.Lock()
	defer w.lock.Unlock()
	worker := w.byInstance[request.Instance]
	switch {
	case worker == nil && w.options.Now() < w.options.DiscoveryGrace:
		return nil, "", errs.ProxyWarmingUp
	case worker == nil, worker.description.Service != request.Service, worker.description.Version != request.Version:
		return nil, "", errs.WrongInstance
	case worker.description.Draining:
		return nil, "", errs.WorkerDraining
	}
	return worker, worker.description.token(), ""
}

// Load is how much a worker here has at hand and before it, and how many it works on at once.
func (w *Workers) Load(instance string) (running, waiting, slots uint32, serviceTime time.Duration) {
	w.lock.Lock()
	worker := w.byInstance[instance]
	w.lock.Unlock()
	if worker == nil {
		return 0, 0, 0, 0
	}
	running, waiting, slots = worker.queue.Load()
	return running, waiting, slots, worker.queue.ServiceTime()
}

// removeDisowned drops a registration whose address turned out to be somebody else's.
func (w *Workers) removeDisowned(worker *localWorker) {
	w.lock.Lock()
	w.remove(worker)
	w.lock.Unlock()
	w.onChange()
}

// DrainAll tells the mesh that every worker here is leaving, as when the proxy itself is told
// to end. What comes all the same is served: only the workers' own word turns it away.
func (w *Workers) DrainAll() {
	w.lock.Lock()
	w.shuttingDown = true
	w.lock.Unlock()
	w.onChange()
}
