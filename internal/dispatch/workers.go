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

// localWorker is one registration of a local worker. The lock of Workers guards description and lastHeartbeatAt. The
// other fields do not change.
type localWorker struct {
	instance        string            // id of the registration
	address         string            // IP:port
	description     WorkerDescription // last description from the worker
	lastHeartbeatAt time.Duration     // arrival of the last heartbeat, on the process clock
	livenessConn    net.Conn          // idle connection that ends when the worker does; nil if none is held
	conns           *connPool         // connections for requests
	queue           *WorkerQueue      // requests that wait for the worker
}

// Workers holds the registrations of the local workers. Each registration has an instance id of its own.
type Workers struct {
	options    WorkersOptions
	bodyMemory *semaphore.Weighted // memory in bytes for the large response bodies that are being read
	onChange   func()              // called without the lock after each change that other proxies should see

	// lock guards the fields below. The locks of queues and of connection pools may be taken while it is held.
	lock            sync.Mutex
	byAddress       map[string]*localWorker // keyed by address, which only one registration has at a time
	byInstance      map[string]*localWorker // keyed by instance
	deregisteredIDs *RecentIDs              // ids of workers that have deregistered and never return
	serial          uint64                  // serial number of the last registration
	shuttingDown    bool                    // this proxy itself is shutting down
}

// WorkersOptions configure [Workers].
type WorkersOptions struct {
	Proxy               string // name of this proxy
	Incarnation         uint64 // incarnation of this proxy, another one for each of its processes
	Zone                string // zone of workers that report none
	MaxMissedHeartbeats int64  // a worker that misses more heartbeats than this in a row is dropped
	MaxWorkers          int    // maximum number of registrations
	MaxConns            int    // maximum number of requests running on one worker
	MaxBodyBytes        int    // maximum size of a response body
	// MaxBodyMemory bounds the bytes of all large response bodies that are being read. 0 stands for the larger one of
	// MaxBodyBytes and minBodyMemory.
	MaxBodyMemory int
	Uplink        *Uplink                                // link that responses are sent over; nil if its bandwidth is not known
	Now           func() time.Duration                   // returns the process clock
	Dial          func(address string) (net.Conn, error) // opens a connection to a worker
	// NoLivenessConn turns off the idle connection that is held to each worker to detect its end. It is set for workers
	// that close or count such connections.
	NoLivenessConn bool
	// DiscoveryGrace is the uptime of this process up to which workers that register under ids of their own may not have
	// registered yet. Until then, requests for unknown workers are refused with errs.ProxyWarmingUp.
	DiscoveryGrace time.Duration
}

// NewWorkers returns an empty set of registrations. onChange is called after each change that other proxies should see,
// without the lock, so that it may call methods of Workers.
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

// Register applies a description from a worker: a registration, a heartbeat, or a deregistration. It returns the
// instance under which the worker is registered, which is empty after a deregistration. A description that is older than
// the last one, or that arrives after the deregistration of its ID, changes nothing. The error has the code
// errs.QueueFull if there are too many workers, and errs.WorkerConnectFailed if the liveness connection fails.
func (w *Workers) Register(description WorkerDescription) (string, error) {
	now := w.options.Now()
	w.lock.Lock()
	existing, sameWorker := w.match(&description)
	switch {
	case description.Deregistered:
		// Only the worker itself may deregister, not another one at the same address.
		if sameWorker {
			w.remove(existing)
		}
		w.lock.Unlock()
		if sameWorker {
			w.onChange()
		}
		return "", nil
	// A late description from a worker that has deregistered changes nothing.
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
		return "", errs.New(errs.QueueFull, fmt.Sprintf("worker %s cannot register: this proxy already has the maximum of %d workers", description.Address, w.options.MaxWorkers))
	}
	return w.registerNew(description, now)
}

// match returns the registration that a description concerns, nil if there is none, and reports whether it belongs to
// the same worker. It also records the ID of a worker that deregisters. The caller holds the lock.
func (w *Workers) match(description *WorkerDescription) (existing *localWorker, sameWorker bool) {
	existing = w.byAddress[description.Address]
	if description.ID != "" {
		// A worker with an id of its own is found by that id at its present address. At another address it is found only
		// if it deregisters or the description is late. Otherwise it registers anew at the other address.
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

// descriptionChanges are the differences between two descriptions of a worker that the queue or other proxies must
// know.
type descriptionChanges struct {
	draining     bool   // the worker is draining now
	slotsChanged bool   // the number of slots differs
	newSlots     uint32 // number of slots; valid if slotsChanged
	visible      bool   // other proxies should see the change
}

// refresh applies a heartbeat to a registration, and returns what changed. The caller holds the lock of Workers.
func (l *localWorker) refresh(description WorkerDescription, now time.Duration) descriptionChanges {
	// A worker that has reported that it is draining remains so as long as its token is the same.
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

// applyChanges updates a worker's queue after a heartbeat, and calls onChange if other proxies should see the change.
// The caller does not hold the lock.
func (w *Workers) applyChanges(worker *localWorker, changes descriptionChanges, now time.Duration) {
	// Requests that still wait for a draining worker are better served by another one.
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

// removeReplaced removes the registrations that a new one replaces: another worker's at the same address, and the same
// worker's at another address. They are removed before anything else is done, so that they get no more requests. It
// reports whether there were any. The caller holds the lock.
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

// registerNew adds a registration and returns its instance. The caller does not hold the lock, because opening the
// liveness connection takes time.
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

// insert adds a registration, and removes those that were added under its address or id since the caller released the
// lock. It returns nil if the worker has deregistered since then.
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

// newLocalWorker returns a registration under the worker's own id or, if it has none, under an id that no other
// registration has. The caller holds the lock.
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
// arrives. Any description from a worker takes precedence, and a single missed heartbeat drops the restored worker. If
// another worker has taken over its address, that worker refuses requests that are not meant for it.
//
// Restore does nothing for a worker without an id of its own, for an invalid description, or if NoLivenessConn is not
// set. It also does nothing if the worker has deregistered, or if its id or its address is registered already.
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

// watchLiveness waits for the end of a worker's liveness connection, and then removes the registration. The kernel
// closes the connection when the worker dies, long before heartbeats are missed.
func (w *Workers) watchLiveness(worker *localWorker) {
	buffer := make([]byte, 1)
	_, _ = worker.livenessConn.Read(buffer) // the worker is removed for any result of the read
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

// remove removes a registration, closes its connections and refuses its queued requests with errs.WrongInstance. The
// caller holds the lock.
func (w *Workers) remove(worker *localWorker) {
	if w.byAddress[worker.address] == worker {
		delete(w.byAddress, worker.address)
	}
	if w.byInstance[worker.instance] == worker {
		delete(w.byInstance, worker.instance)
	}
	if worker.livenessConn != nil {
		_ = worker.livenessConn.Close() // nothing was written to the connection, so an error loses nothing
	}
	worker.conns.close()
	worker.queue.Close(errs.WrongInstance)
}

// DropUnresponsive removes the workers that have missed more than MaxMissedHeartbeats heartbeats.
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

// remainingWarmup returns the time left of a worker's slow start, 0 once it has ended. The caller holds the lock.
func (w *Workers) remainingWarmup(worker *localWorker) time.Duration {
	return max(0, time.Duration(worker.description.WarmupMS)*time.Millisecond-(w.options.Now()-worker.lastHeartbeatAt))
}

// List returns the directory entries of the local workers, ordered by instance.
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

// find returns the registration that a request is meant for and the worker's token. If the request must be refused, it
// returns only the code of the refusal, which is empty otherwise.
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

// Load returns how many requests a local worker runs, how many wait for it, how many it may run at once, and its
// service time. All are 0 for a worker that is not registered.
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

// removeStale removes a registration at whose address another worker, or none, was found.
func (w *Workers) removeStale(worker *localWorker) {
	w.lock.Lock()
	w.remove(worker)
	w.lock.Unlock()
	w.onChange()
}

// DrainAll reports all local workers as draining, because this proxy is shutting down. Requests that still arrive are
// served unless the worker itself has reported that it is draining.
func (w *Workers) DrainAll() {
	w.lock.Lock()
	w.shuttingDown = true
	w.lock.Unlock()
	w.onChange()
}
