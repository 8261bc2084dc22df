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

// localWorker is a worker beside this proxy. The lock of Workers guards description and lastHeartbeatAt; the other
// fields do not change.
type localWorker struct {
	instance        string // the registration's id
	address         string
	description     WorkerDescription
	lastHeartbeatAt time.Duration // on the clock of the process
	livenessConn    net.Conn      // ends with the worker; nil if no such connection is held
	conns           *connPool
	queue           *WorkerQueue
}

// Workers are the workers beside this proxy. Each registration has an instance of its own.
type Workers struct {
	options    WorkersOptions
	bodyMemory *semaphore.Weighted // in bytes, for large bodies of responses that are read at the same time
	onChange   func()              // called without the lock

	lock            sync.Mutex              // guards the fields below; the locks of queues and connPools may be taken under it
	byAddress       map[string]*localWorker // an address is one worker's at a time
	byInstance      map[string]*localWorker
	deregisteredIDs *RecentIDs // ids of workers that deregistered: they never come back
	serial          uint64     // of the last registration
	shuttingDown    bool       // this proxy itself is shutting down
}

// WorkersOptions bound what is retained of workers, and say how they are reached.
type WorkersOptions struct {
	Proxy               string // name of this proxy
	Incarnation         uint64 // of this proxy's process
	Zone                string // of workers that do not report one
	MaxMissedHeartbeats int64  // a worker that misses more is dropped
	MaxWorkers          int
	MaxConns            int     // requests sent to one worker at a time
	MaxBodyBytes        int     // of a response
	MaxBodyMemory       int     // bytes of large bodies that are read at the same time, 0 for a default
	Uplink              *Uplink // that responses leave by, nil if its bandwidth is not known
	Now                 func() time.Duration
	Dial                func(address string) (net.Conn, error)
	// NoLivenessConn: no connection is held to each worker to detect its end, for workers that close or count such
	// connections.
	NoLivenessConn bool
	// DiscoveryGrace is the uptime until which this proxy may not know yet of workers that register under ids of
	// their own.
	DiscoveryGrace time.Duration
}

// NewWorkers returns an empty registry of workers. onChange is called after each change that other proxies should
// see, without the lock, so that it may call methods of Workers.
func NewWorkers(options WorkersOptions, onChange func()) *Workers {
	if options.MaxBodyMemory == 0 {
		options.MaxBodyMemory = max(options.MaxBodyBytes, minBodyMemory)
	}
	return &Workers{
		options:         options,
		bodyMemory:      semaphore.NewWeighted(int64(options.MaxBodyMemory)),
		onChange:        onChange,
		byAddress:       map[string]*localWorker{},
		byInstance:      map[string]*localWorker{},
		deregisteredIDs: NewRecentIDs(deregisteredRetained),
	}
}

// Register applies a worker's description, which is its registration, its heartbeat and its deregistration in one.
// It returns the instance under which the worker is registered, empty for one that deregistered. The error has the
// code errs.QueueFull for too many workers, and errs.WorkerConnectFailed if the liveness connection fails.
func (w *Workers) Register(description WorkerDescription) (string, error) {
	now := w.options.Now()
	w.lock.Lock()
	existing, sameWorker := w.match(&description)
	switch {
	case description.Deregistered:
		// Only the worker itself may deregister; another one at its address may not.
		if sameWorker {
			w.remove(existing)
		}
		w.lock.Unlock()
		if sameWorker {
			w.onChange()
		}
		return "", nil
	// A late description of a worker that has deregistered changes nothing.
	case description.ID != "" && w.deregisteredIDs.Contains(description.ID):
		w.lock.Unlock()
		return description.ID, nil
	case sameWorker && description.Serial < existing.description.Serial:
		w.lock.Unlock()
		return existing.instance, nil
	case sameWorker:
		changes := existing.refresh(description, now)
		w.lock.Unlock()
		w.applyChanges(existing, changes, now)
		return existing.instance, nil
	}
	replaced := w.removeReplaced(existing, description.ID)
	full := len(w.byAddress) >= w.options.MaxWorkers
	w.lock.Unlock()
	if replaced {
		w.onChange()
	}
	if full {
		return "", errs.New(errs.QueueFull, "too many workers at this proxy")
	}
	return w.registerNew(description, now)
}

// match finds the registration that a description is about, and reports whether it is the same worker's. The caller
// holds the lock.
func (w *Workers) match(description *WorkerDescription) (existing *localWorker, sameWorker bool) {
	existing = w.byAddress[description.Address]
	if description.ID != "" {
		// A worker with an id of its own is found by it, whatever its address.
		byID := w.byInstance[description.ID]
		if byID != nil && (description.Deregistered || description.Serial < byID.description.Serial || byID.address == description.Address) {
			existing = byID
		}
		if description.Deregistered {
			w.deregisteredIDs.AddIfNew(description.ID)
		}
	}
	if existing == nil || existing.description.token() != description.token() {
		return existing, false
	}
	sameVersion := existing.description.Service == description.Service && existing.description.Version == description.Version
	return existing, description.Deregistered || sameVersion
}

// descriptionChanges are the changes of a description that matter to others than the worker.
type descriptionChanges struct {
	draining     bool // the worker is draining now
	slotsChanged bool
	newSlots     uint32 // valid if slotsChanged
	visible      bool   // other proxies should see the change
}

// refresh applies a heartbeat to a registration. The caller holds the lock of Workers.
func (l *localWorker) refresh(description WorkerDescription, now time.Duration) descriptionChanges {
	// A worker that has reported that it is draining does not come back under the same token.
	description.Draining = description.Draining || l.description.Draining
	changes := descriptionChanges{
		draining:     description.Draining,
		slotsChanged: description.Slots != l.description.Slots,
		newSlots:     description.Slots,
	}
	changes.visible = changes.slotsChanged || description.Draining != l.description.Draining || description.Zone != l.description.Zone
	l.description, l.lastHeartbeatAt = description, now
	return changes
}

// applyChanges brings a worker's queue up to date with its description. The caller does not hold the lock.
func (w *Workers) applyChanges(worker *localWorker, changes descriptionChanges, now time.Duration) {
	// Requests that still wait for a draining worker have better prospects elsewhere.
	if changes.draining {
		worker.queue.Close(errs.WorkerDraining)
	}
	if changes.slotsChanged {
		worker.queue.SetSlots(now, int(changes.newSlots))
	}
	if changes.visible {
		w.onChange()
	}
}

// removeReplaced ends the registrations that a new one takes the place of: another worker's at its address, and its
// own under another address. They end before anything else. The caller holds the lock.
func (w *Workers) removeReplaced(existing *localWorker, id string) (removed bool) {
	if existing != nil {
		w.remove(existing)
		removed = true
	}
	if byID := w.byInstance[id]; id != "" && byID != nil {
		w.remove(byID)
		removed = true
	}
	return removed
}

// registerNew registers a worker that was not registered, or as another one. The caller does not hold the lock, for
// the liveness connection takes time.
func (w *Workers) registerNew(description WorkerDescription, now time.Duration) (string, error) {
	var livenessConn net.Conn
	if !w.options.NoLivenessConn {
		var err error
		if livenessConn, err = w.options.Dial(description.Address); err != nil {
			return "", errs.Wrap(err, errs.WorkerConnectFailed, description.Address)
		}
	}
	worker := w.insert(description, now, livenessConn)
	if worker == nil {
		return description.ID, nil
	}
	if livenessConn != nil {
		go w.watchLiveness(worker)
	}
	w.onChange()
	return worker.instance, nil
}

// insert adds a registration, and ends those that were added under its address or id since the lock was released.
// It returns nil if the worker has deregistered since.
func (w *Workers) insert(description WorkerDescription, now time.Duration, livenessConn net.Conn) *localWorker {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.serial++
	worker := w.newLocalWorker(description, now, livenessConn)
	if description.Draining {
		worker.queue.Close(errs.WorkerDraining)
	}
	if description.ID != "" && w.deregisteredIDs.Contains(description.ID) {
		return nil
	}
	for _, competing := range []*localWorker{w.byAddress[worker.address], w.byInstance[worker.instance]} {
		if competing != nil {
			w.remove(competing)
		}
	}
	w.byAddress[worker.address] = worker
	w.byInstance[worker.instance] = worker
	return worker
}

// newLocalWorker returns a worker under its own id, or under an instance that no other registration has. The caller
// holds the lock.
func (w *Workers) newLocalWorker(description WorkerDescription, now time.Duration, livenessConn net.Conn) *localWorker {
	instance := description.ID
	if instance == "" {
		instance = fmt.Sprintf("%s/%s/%x.%d", w.options.Proxy, description.Address, w.options.Incarnation, w.serial)
	}
	return &localWorker{
		instance:        instance,
		address:         description.Address,
		description:     description,
		lastHeartbeatAt: now,
		livenessConn:    livenessConn,
		conns:           &connPool{address: description.Address, dial: w.options.Dial, now: w.options.Now},
		queue:           NewWorkerQueue(w.options.MaxConns, int(description.Slots)).withUplink(w.options.Uplink),
	}
}

// Restore registers a worker that an earlier incarnation of this proxy knew, until the worker's own description
// arrives. If another worker has its address by now, that one refuses requests that are not meant for it. Any
// description from the worker takes precedence, and a single missed heartbeat drops the worker.
func (w *Workers) Restore(description WorkerDescription) {
	w.lock.Lock()
	known := description.ID == "" ||
		w.deregisteredIDs.Contains(description.ID) ||
		w.byAddress[description.Address] != nil ||
		w.byInstance[description.ID] != nil
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

// watchLiveness waits for the end of a worker's liveness connection. The kernel closes it when the worker dies, long
// before heartbeats are missed.
func (w *Workers) watchLiveness(worker *localWorker) {
	buffer := make([]byte, 1)
	_, _ = worker.livenessConn.Read(buffer) // whatever ends the read, the connection is of no more use
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

// remove ends a registration. The caller holds the lock.
func (w *Workers) remove(worker *localWorker) {
	if w.byAddress[worker.address] == worker {
		delete(w.byAddress, worker.address)
	}
	if w.byInstance[worker.instance] == worker {
		delete(w.byInstance, worker.instance)
	}
	if worker.livenessConn != nil {
		_ = worker.livenessConn.Close() // nothing was written to it that could be lost
	}
	worker.conns.close()
	worker.queue.Close(errs.WrongInstance)
}

// DropUnresponsive drops the workers whose heartbeats are overdue.
func (w *Workers) DropUnresponsive() {
	now := w.options.Now()
	removed := false
	w.lock.Lock()
	for _, worker := range w.byAddress {
		timeout := time.Duration(w.options.MaxMissedHeartbeats*worker.description.HeartbeatMS) * time.Millisecond
		if now-worker.lastHeartbeatAt > timeout {
			w.remove(worker)
			removed = true
		}
	}
	w.lock.Unlock()
	if removed {
		w.onChange()
	}
}

// remainingWarmup returns how long a worker is still in its slow start. The caller holds the lock.
func (w *Workers) remainingWarmup(worker *localWorker) time.Duration {
	return max(0, time.Duration(worker.description.WarmupMS)*time.Millisecond-(w.options.Now()-worker.lastHeartbeatAt))
}

// List returns what other proxies should know of the workers here, ordered by instance.
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
		workers = append(workers, &schema.Worker{
			Running:          running,
			Queued:           waiting,
			Instance:         worker.instance,
			Service:          worker.description.Service,
			Version:          worker.description.Version,
			Zone:             zone,
			Load:             worker.description.Load,
			Draining:         worker.description.Draining || w.shuttingDown,
			Slots:            worker.description.Slots,
			WarmupLeftNanos:  int64(w.remainingWarmup(worker)),
			ServiceTimeNanos: int64(worker.queue.ServiceTime()),
		})
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].Instance < workers[j].Instance })
	return workers
}

// find returns the registration that a request is meant for and the worker's token, or the code of the refusal, which
// is empty if the worker is found.
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

// Load returns how many requests a worker here runs, how many wait for it, how many slots it has and its service time;
// all 0 for a worker that is not registered.
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

// removeDisowned ends a registration at whose address there is another worker, or none.
func (w *Workers) removeDisowned(worker *localWorker) {
	w.lock.Lock()
	w.remove(worker)
	w.lock.Unlock()
	w.onChange()
}

// DrainAll reports every worker here as draining, because this proxy is shutting down. Requests that still arrive are
// served, unless the worker itself has reported that it is draining.
func (w *Workers) DrainAll() {
	w.lock.Lock()
	w.shuttingDown = true
	w.lock.Unlock()
	w.onChange()
}
