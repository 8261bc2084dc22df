package store

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/defect"
	"meadowhinge/internal/link"
	"meadowhinge/internal/options"
	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// Server runs a replica: its clock, its disk, its links.
type Server struct {
	schema.DRPCStoreUnimplementedServer
	options *schema.StoreOptions // as they were at the start
	ends    *link.Ends
	log     logr.Logger
	ctx     context.Context
	started time.Time
	life    uint64 // tells this process's tickets from those of others

	lock     sync.Mutex
	current  *schema.StoreOptions // as they are now, where they may change
	replica  *Replica
	tickets  map[string]chan any
	nextID   uint64
	moved    chan struct{} // closed and replaced when the committed state moves
	lastSeen uint64
	reached  [3]uint64
	times    map[uint64]*[3]int64 // by sequence: when it was taken, synced, committed
	outboxes map[string]chan *schema.ReplicaMessage
	writes   []Persist     // waiting to be synced; bounded by what the replica admits
	wake     chan struct{} // tells the writer that there is something to do
	timer    *time.Timer   // of the replica's next tick
	wakeAt   time.Duration
}

// Log is a disk as the daemon uses it: what Write returned for is synced.
type Log interface {
	Write(records []*schema.Record, whole bool) error
	Close() error
}

// Option changes how a store runs.
type Option func(*running)

type running struct{ under func(Log) Log }

// WithDisk puts something between the daemon and its disk, as rehearsals do to make it slow.
func WithDisk(under func(Log) Log) Option { return func(r *running) { r.under = under } }

// Run serves a store until ctx ends.
func Run(ctx context.Context, frame *daemon.Frame, given *schema.StoreOptions, changes ...Option) error {
	running := &running{under: func(disk Log) Log { return disk }}
	for _, change := range changes {
		change(running)
	}
	ends, err := endsOf(given)
	if err != nil {
		return err
	}
	defer ends.Close()
	order := options.List(given.Order)
	if self := ends.Self(); self.Role != "store" || self.Name != given.Seat {
		return defect.New(defect.BadOptions, fmt.Sprintf("certificate is for %s %q, not store %q", self.Role, self.Name, given.Seat))
	}
	if len(order) > 0 && !slices.Contains(order, given.Seat) {
		return defect.New(defect.BadOptions, "seat: is not in order")
	}
	replicaOptions := replicaOptionsOf(given)
	disk, records := openDisk(ctx, frame.Log, given, replicaOptions, running.under)
	if disk == nil {
		return nil
	}
	defer disk.Close()
	listener, err := net.Listen("tcp", given.Listen)
	if err != nil {
		return defect.Wrap(err, defect.BadOptions, "listen")
	}
	s := &Server{options: given, current: given, ends: ends, log: frame.Log, started: time.Now(), life: rand.Uint64(), ctx: ctx, tickets: map[string]chan any{}, times: map[uint64]*[3]int64{},
		moved: make(chan struct{}), outboxes: map[string]chan *schema.ReplicaMessage{}, wake: make(chan struct{}, 1), timer: time.NewTimer(0)}
	s.replica = NewReplica(replicaOptions, 0, records)
	frame.Follow(ctx, replicaLooks*replicaOptions.Silence, func(now proto.Message) { s.follow(now.(*schema.StoreOptions)) })
	go s.write(ctx, disk)
	mux := drpcmux.New()
	if err := schema.DRPCRegisterStore(mux, s); err != nil {
		return defect.Wrap(err, defect.Internal, "mux")
	}
	frame.Page("/certificate", ends.Certificate)
	frame.Page("/traffic", func() any { return ends.Traffic() })
	frame.Page("/status", func() any { return s.status() })
	if given.ProbeListen != "" {
		if err := frame.Probe(given.ProbeListen, s.soundness); err != nil {
			return err
		}
	}
	served := make(chan error, 1)
	go func() { served <- ends.Serve(ctx, listener, mux, "store", "registry") }()
	frame.Log.V(1).Info("store up", "replica", given.Seat, "listen", given.Listen, "records", len(records))

	defer s.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			frame.Draining.Store(true)
			return nil
		case err := <-served:
			return err
		case <-s.timer.C:
			s.step(func(now time.Duration) []Action {
				s.wakeAt = 0
				return s.replica.Tick(now)
			})
		}
	}
}

// replicaLooks is how many silence bounds lie between two looks at the settings file.
const replicaLooks = 4

// follow goes on by settings that have changed.
func (s *Server) follow(now *schema.StoreOptions) {
	s.step(func(at time.Duration) []Action {
		s.current = now
		return s.replica.Rebound(at, replicaOptionsOf(now))
	})
}

// given are the settings in force, as far as they may change.
func (s *Server) given() *schema.StoreOptions {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.current
}

// endsOf makes the links' ends: with keys, or plain ones that need none.
func endsOf(given *schema.StoreOptions) (*link.Ends, error) {
	if given.Links == plainLinks {
		return link.Plain("store", given.Seat, nil, link.WithFrom(given.Listen)), nil
	}
	return link.Load(given.Certificate, given.Authority, link.WithFrom(given.Listen))
}

const plainLinks = "plain"

// replicaOptionsOf makes a replica's options. Without an order members are named by their IPs, and the
// seeds are the first members where all of them start for the first time.
func replicaOptionsOf(given *schema.StoreOptions) Options {
	made := Options{Name: given.Seat, Order: options.List(given.Order), Address: given.Advertise, Losses: int(given.Losses), Draw: draw,
		Silence: time.Duration(given.Silence), Stall: time.Duration(given.Stall), EntriesMost: int(given.EntriesMost),
		OutcomesMost: int(given.OutcomesMost), BufferMost: int(given.Buffer), DroppedMost: int(given.DroppedMost)}
	if made.Address == "" {
		made.Address = given.Listen
	}
	if len(made.Order) > 0 {
		return made
	}
	for _, seed := range options.List(given.Seeds) {
		if place, err := netip.ParseAddrPort(seed); err == nil {
			made.Seeds = append(made.Seeds, place.Addr().String())
		}
	}
	slices.Sort(made.Seeds)
	made.Seeds = slices.Compact(made.Seeds)
	if given.Founding && slices.Contains(made.Seeds, made.Name) {
		made.Founders = made.Seeds
	}
	made.Raise = given.Founding && made.Founders == nil
	return made
}

// draw draws an incarnation: there is nobody to ask, and only whether two are equal matters.
func draw() uint64 { return 1 + rand.Uint64N(math.MaxUint64-1) }

// openDisk opens the log, and writes the first record of an empty one. A disk that refuses is
// asked again until ctx ends; then it gives nil.
func openDisk(ctx context.Context, log logr.Logger, given *schema.StoreOptions, replica Options, under func(Log) Log) (Log, []*schema.Record) {
	for {
		disk, records, err := tryDisk(log, given, replica, under)
		if err == nil {
			return disk, records
		}
		log.Error(err, "the disk refuses; asking it again")
		select {
		case <-ctx.Done():
			return nil, nil
		case <-time.After(replica.Stall / retriesPerStall):
		}
	}
}

func tryDisk(log logr.Logger, given *schema.StoreOptions, replica Options, under func(Log) Log) (Log, []*schema.Record, error) {
	opened, records, err := Open(given.Data)
	if err != nil && defect.KindOf(err) == defect.DiskCorrupt {
		// Rot: the replica starts empty and is refilled by the others.
		log.Error(err, "log is corrupt and set aside; refilling from the other members")
		if err = SetAside(given.Data); err == nil {
			opened, records, err = Open(given.Data)
		}
	}
	if err != nil {
		return nil, nil, err
	}
	disk := under(opened)
	if len(records) == 0 {
		records = []*schema.Record{Birth(replica, draw())}
		if err := disk.Write(records, true); err != nil {
			disk.Close()
			return nil, nil, err
		}
	}
	return disk, records, nil
}

// retriesPerStall is how often, in a stall bound, a disk that refuses is asked again.
const retriesPerStall = 8

// placeOf is where a replica named by its IP stands: every store has the same port.
func placeOf(given *schema.StoreOptions, name string) string {
	own, err := netip.ParseAddrPort(given.Listen)
	place, wrong := netip.ParseAddr(name)
	if err != nil || wrong != nil {
		return ""
	}
	return netip.AddrPortFrom(place, own.Port()).String()
}

func (s *Server) soundness() daemon.Soundness {
	status := s.status()
	if status.Leader == "" || !status.Member || status.Unfit {
		return daemon.Soundness{Reason: string(defect.NoMajority)}
	}
	return daemon.Soundness{Ready: true}
}

func (s *Server) status() *schema.ReplicaStatus {
	s.lock.Lock()
	defer s.lock.Unlock()
	status := s.replica.Status()
	status.RefusedPeers = s.ends.Refused.Load()
	age, vouched := s.replica.Fresh(time.Since(s.started))
	status.Vouched, status.MajorityAgeNanos = vouched, int64(age)
	return status
}

// step runs one event through the replica and hands out its actions.
func (s *Server) step(event func(now time.Duration) []Action) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.act(event(time.Since(s.started)))
}

// act hands actions out; the caller holds the lock.
func (s *Server) act(actions []Action) {
	for _, action := range actions {
		switch one := action.(type) {
		case Send:
			// A full buffer means the peer is slow or gone; what is lost is sent again.
			select {
			case s.outbox(one.Message.To) <- one.Message:
			default:
			}
		case Persist:
			s.writes = append(s.writes, one)
			select {
			case s.wake <- struct{}{}:
			default:
			}
		case Reply:
			s.end(one.Result.Ticket, one.Result)
		case ReadIndexReady:
			s.end(one.Result.Ticket, one.Result)
		}
	}
	if wakes := s.replica.Wakes(); s.wakeAt == 0 || wakes < s.wakeAt {
		s.wakeAt = wakes
		s.timer.Reset(wakes - time.Since(s.started))
	}
	s.noteTimes()
	if committed, _ := s.replica.Committed(); committed != s.lastSeen {
		s.lastSeen = committed
		close(s.moved)
		s.moved = make(chan struct{})
	}
}

// timesKept is how many sequences the tracer can still be told of.
const timesKept = 4096

// noteTimes writes down when sequences were first appended, durable and committed here; the caller
// holds the lock.
func (s *Server) noteTimes() {
	now := s.replica.Reached()
	if now == s.reached {
		return
	}
	wall := time.Now().UnixNano()
	for stage := range now {
		// A snapshot can bring many sequences at once; only the last of them were ever asked about.
		from := max(s.reached[stage]+1, now[stage]-min(now[stage], timesKept)+1)
		for sequence := from; sequence <= now[stage]; sequence++ {
			if s.times[sequence] == nil {
				s.times[sequence] = &[3]int64{}
			}
			s.times[sequence][stage] = wall
			delete(s.times, sequence-min(sequence, timesKept))
		}
	}
	s.reached = now
}

// Trace tells when a change was where in this store.
func (s *Server) Trace(_ context.Context, ask *schema.Ask) (*schema.ReplicaTrace, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	trace := &schema.ReplicaTrace{Replica: s.options.Seat, Leader: s.replica.Status().Leader}
	trace.Outcome, trace.Known = s.replica.Accepted(ask.ChangeId)
	if trace.Known {
		if times := s.times[trace.Outcome.Version.Sequence]; times != nil {
			trace.Appended, trace.Durable, trace.Committed = times[0], times[1], times[2]
		}
	}
	return trace, nil
}

func (s *Server) end(ticket string, result any) {
	if waiting, found := s.tickets[ticket]; found {
		delete(s.tickets, ticket)
		waiting <- result
	}
}

// write syncs records in order; whatever piled up during one sync goes into the next.
func (s *Server) write(ctx context.Context, disk Log) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		s.lock.Lock()
		batch := s.writes
		s.writes = nil
		s.lock.Unlock()
		// Records before a whole one can go, so each whole one closes its group.
		var records []*schema.Record
		for i, one := range batch {
			records = append(records, one.Record)
			if !one.Whole && i < len(batch)-1 {
				continue
			}
			if err := disk.Write(records, one.Whole); err != nil {
				s.log.Error(err, "the disk refuses a write; the whole state is written again until it takes it")
				if !s.rewrite(ctx, disk) {
					return
				}
				break // what is left of the batch is in what was written
			}
			records = nil
			s.step(func(now time.Duration) []Action { return s.replica.Synced(now, one.Mark) })
		}
	}
}

// rewrite writes the whole state, again and again, to a disk that refused a write.
func (s *Server) rewrite(ctx context.Context, disk Log) bool {
	for {
		s.step(func(now time.Duration) []Action { return s.replica.DiskFailed(now) })
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Duration(s.given().Stall) / retriesPerStall):
		}
		s.lock.Lock()
		// It stands for everything that waits to be written.
		s.writes = nil
		s.act(s.replica.Rewrite(time.Since(s.started)))
		whole := s.writes[0]
		s.writes = s.writes[1:]
		s.lock.Unlock()
		if disk.Write([]*schema.Record{whole.Record}, true) == nil {
			s.step(func(now time.Duration) []Action { return s.replica.Synced(now, whole.Mark) })
			return true
		}
	}
}

// outbox is where messages for a replica wait to be posted; the caller holds the lock.
func (s *Server) outbox(name string) chan *schema.ReplicaMessage {
	if s.outboxes[name] == nil {
		s.outboxes[name] = make(chan *schema.ReplicaMessage, s.options.Buffer)
		go s.post(s.ctx, name, s.outboxes[name])
	}
	return s.outboxes[name]
}

// addressesOf finds where a replica is reached: where it last spoke from, else every seed.
func (s *Server) addressesOf(name string) (addresses []string, known bool) {
	s.lock.Lock()
	address := s.replica.Addresses()[name]
	s.lock.Unlock()
	// Replicas that are named by their IPs are found by their names.
	if address == "" && s.options.Order == "" {
		address = placeOf(s.options, name)
	}
	if s.options.Order == "" {
		return []string{address}, true
	}
	if address != "" {
		return append([]string{address}, options.List(s.given().Seeds)...), true
	}
	return options.List(s.given().Seeds), false
}

// wire is an open stream of messages to one address.
type wire struct {
	schema.DRPCStore_DeliverClient
	end     context.CancelFunc
	heading *schema.ReplicaMessage // what its messages have in common
}

// post sends messages to one replica, in order, as many at once as are waiting.
func (s *Server) post(ctx context.Context, name string, outbox chan *schema.ReplicaMessage) {
	wires := map[string]*wire{}
	for {
		var messages []*schema.ReplicaMessage
		select {
		case <-ctx.Done():
			for _, one := range wires {
				one.end()
			}
			return
		case first := <-outbox:
			messages = append(messages, first)
		}
		for more := true; more && len(messages) < int(s.options.Buffer); {
			select {
			case next := <-outbox:
				messages = append(messages, next)
			default:
				more = false
			}
		}
		// A replica may stand at any seed, or have come back elsewhere; messages name whom they are
		// for, and a store that is not the one meant ignores them.
		addresses, known := s.addressesOf(name)
		for _, address := range addresses {
			if s.carry(ctx, wires, address, messages) && known {
				break
			}
		}
		for address, one := range wires {
			if !slices.Contains(addresses, address) {
				one.end()
				delete(wires, address)
			}
		}
	}
}

// carry sends messages over the wire to an address. One that was open may have broken long since,
// so a second is tried.
func (s *Server) carry(ctx context.Context, wires map[string]*wire, address string, messages []*schema.ReplicaMessage) bool {
	for {
		open, was := wires[address]
		if !was {
			bounded, end := context.WithCancel(ctx)
			stream, err := schema.NewDRPCStoreClient(s.ends.To(bounded, address)).Deliver(bounded)
			if err != nil {
				end()
				return false
			}
			open = &wire{stream, end, &schema.ReplicaMessage{}}
			wires[address] = open
		}
		err := open.Send(&schema.ReplicaMessages{Messages: open.shorten(messages)})
		if err == nil {
			return true
		}
		open.end()
		delete(wires, address)
		if !was {
			return false
		}
	}
}

// shorten leaves out of messages what the one before said too: heartbeats are most of what is sent.
func (w *wire) shorten(messages []*schema.ReplicaMessage) (short []*schema.ReplicaMessage) {
	for _, message := range messages {
		if sameHeading(message, w.heading) {
			message = &schema.ReplicaMessage{Body: message.Body}
		} else {
			w.heading = &schema.ReplicaMessage{}
			lengthen(w.heading, message)
		}
		short = append(short, message)
	}
	return short
}

func sameHeading(a, b *schema.ReplicaMessage) bool {
	return a.From == b.From && a.To == b.To && a.Address == b.Address && a.Incarnation == b.Incarnation && a.Founder == b.Founder
}

// lengthen puts back what shorten left out.
func lengthen(message, heading *schema.ReplicaMessage) {
	message.From, message.To, message.Address, message.Incarnation, message.Founder = heading.From, heading.To, heading.Address, heading.Incarnation, heading.Founder
}

// Deliver takes messages from another replica.
func (s *Server) Deliver(stream schema.DRPCStore_DeliverStream) error {
	peer := link.PeerOf(stream.Context())
	heading := &schema.ReplicaMessage{}
	for {
		messages, err := stream.Recv()
		if err != nil {
			return nil // whoever sent them has gone
		}
		for _, message := range messages.Messages {
			if message.From == "" {
				lengthen(message, heading)
			} else {
				heading = &schema.ReplicaMessage{}
				lengthen(heading, message)
			}
			// Only the replica named in the certificate may speak as that replica.
			if peer.Role != "store" || peer.Name != message.From {
				s.ends.Refused.Add(1)
				return defect.New(defect.Stranger, message.From)
			}
			s.step(func(now time.Duration) []Action { return s.replica.Deliver(now, message) })
		}
	}
}

// await runs an event under a new ticket and waits for its end.
func (s *Server) await(ctx context.Context, event func(now time.Duration, ticket string) []Action) any {
	s.lock.Lock()
	if len(s.tickets) >= int(s.options.Buffer) {
		s.lock.Unlock()
		return nil
	}
	s.nextID++
	ticket := fmt.Sprintf("%s-%x-%d", s.options.Seat, s.life, s.nextID)
	waiting := make(chan any, 1)
	s.tickets[ticket] = waiting
	s.lock.Unlock()
	s.step(func(now time.Duration) []Action { return event(now, ticket) })
	select {
	case result := <-waiting:
		return result
	case <-ctx.Done():
		s.lock.Lock()
		delete(s.tickets, ticket)
		s.lock.Unlock()
		return nil
	}
}

// Propose takes a change from the registry of this machine and answers once it is settled.
func (s *Server) Propose(ctx context.Context, submit *schema.Proposal) (*schema.ProposalReply, error) {
	result, _ := s.await(ctx, func(now time.Duration, ticket string) []Action {
		return s.replica.Propose(now, &schema.Proposal{Ticket: ticket, Change: submit.Change, DutyEpoch: submit.DutyEpoch})
	}).(*schema.ProposalReply)
	if result == nil {
		result = &schema.ProposalReply{Undecided: true}
	}
	return result, nil
}

// ReadIndex answers with a committed sequence that no yes given before lies above.
func (s *Server) ReadIndex(ctx context.Context, _ *schema.Nothing) (*schema.ReadIndexReply, error) {
	result, _ := s.await(ctx, func(now time.Duration, ticket string) []Action {
		return s.replica.ReadIndex(now, ticket)
	}).(*schema.ReadIndexReply)
	if result == nil {
		result = &schema.ReadIndexReply{Undecided: true}
	}
	return result, nil
}

// Inquire tells what became of a change.
func (s *Server) Inquire(_ context.Context, ask *schema.Ask) (*schema.ProposalReply, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	outcome, settled := s.replica.OutcomeOf(ask.ChangeId)
	return &schema.ProposalReply{Outcome: outcome, Undecided: !settled}, nil
}

// Follow waits for committed state beyond a sequence and gives what is new.
func (s *Server) Follow(ctx context.Context, ask *schema.FollowRequest) (*schema.FollowReply, error) {
	horizon := time.NewTimer(time.Duration(ask.WaitNanos))
	defer horizon.Stop()
	for {
		s.lock.Lock()
		committed, state := s.replica.Committed()
		moved := s.moved
		s.lock.Unlock()
		if committed > ask.After {
			return s.vouched(Difference(state, committed, ask.After)), nil
		}
		select {
		case <-moved:
		case <-horizon.C:
			return s.vouched(&schema.FollowReply{Committed: committed}), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// vouched adds how fresh the committed state is, and who the members are.
func (s *Server) vouched(back *schema.FollowReply) *schema.FollowReply {
	s.lock.Lock()
	defer s.lock.Unlock()
	age, known := s.replica.Fresh(time.Since(s.started))
	back.AgeNanos, back.Vouched, back.Cores = int64(age), known, s.replica.Members()
	return back
}

// Difference lists the items of a state newer than a sequence, or all when it is 0.
func Difference(state setup.State, committed, after uint64) *schema.FollowReply {
	back := &schema.FollowReply{Committed: committed}
	back.Items, back.Whole = state.After(after)
	return back
}

// Look gives the replica's status.
func (s *Server) Look(context.Context, *schema.Nothing) (*schema.ReplicaStatus, error) {
	return s.status(), nil
}
