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

// Server runs a seat: its clock, its disk, its links.
type Server struct {
	schema.DRPCStoreUnimplementedServer
	options *schema.StoreOptions // as they were at the start
	ends    *link.Ends
	log     logr.Logger
	ctx     context.Context
	started time.Time
	life    uint64 // tells this process's tickets from those of others

	lock     sync.Mutex
	live     *schema.StoreOptions // as they are now, where they may change
	seat     *Seat
	tickets  map[string]chan any
	nextID   uint64
	moved    chan struct{} // closed and replaced when the stable state moves
	lastSeen uint64
	reached  [3]uint64
	times    map[uint64]*[3]int64 // by sequence: when it was taken, synced, stable
	outboxes map[string]chan *schema.SeatLetter
	writes   []Persist     // waiting to be synced; bounded by what the seat admits
	wake     chan struct{} // tells the writer that there is something to do
	timer    *time.Timer   // of the seat's next tick
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
	seatOptions := seatOptionsOf(given)
	disk, records := openDisk(ctx, frame.Log, given, seatOptions, running.under)
	if disk == nil {
		return nil
	}
	defer disk.Close()
	listener, err := net.Listen("tcp", given.Listen)
	if err != nil {
		return defect.Wrap(err, defect.BadOptions, "listen")
	}
	s := &Server{options: given, live: given, ends: ends, log: frame.Log, started: time.Now(), life: rand.Uint64(), ctx: ctx, tickets: map[string]chan any{}, times: map[uint64]*[3]int64{},
		moved: make(chan struct{}), outboxes: map[string]chan *schema.SeatLetter{}, wake: make(chan struct{}, 1), timer: time.NewTimer(0)}
	s.seat = NewSeat(seatOptions, 0, records)
	frame.Follow(ctx, seatLooks*seatOptions.Silence, func(now proto.Message) { s.follow(now.(*schema.StoreOptions)) })
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
	frame.Log.V(1).Info("store up", "seat", given.Seat, "listen", given.Listen, "records", len(records))

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
				return s.seat.Tick(now)
			})
		}
	}
}

// seatLooks is how many silence bounds lie between two looks at the settings file.
const seatLooks = 4

// follow goes on by settings that have changed.
func (s *Server) follow(now *schema.StoreOptions) {
	s.step(func(at time.Duration) []Action {
		s.live = now
		return s.seat.Rebound(at, seatOptionsOf(now))
	})
}

// given are the settings in force, as far as they may change.
func (s *Server) given() *schema.StoreOptions {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.live
}

// endsOf makes the links' ends: with keys, or plain ones that need none.
func endsOf(given *schema.StoreOptions) (*link.Ends, error) {
	if given.Links == plainLinks {
		return link.Plain("store", given.Seat, nil, link.WithFrom(given.Listen)), nil
	}
	return link.Load(given.Certificate, given.Authority, link.WithFrom(given.Listen))
}

const plainLinks = "plain"

// seatOptionsOf makes a seat's options. Without an order seats are named by their IPs, and the
// seeds are the first seats where all of them start for the first time.
func seatOptionsOf(given *schema.StoreOptions) Options {
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
func openDisk(ctx context.Context, log logr.Logger, given *schema.StoreOptions, seat Options, under func(Log) Log) (Log, []*schema.Record) {
	for {
		disk, records, err := tryDisk(log, given, seat, under)
		if err == nil {
			return disk, records
		}
		log.Error(err, "the disk refuses; asking it again")
		select {
		case <-ctx.Done():
			return nil, nil
		case <-time.After(seat.Stall / retriesPerStall):
		}
	}
}

func tryDisk(log logr.Logger, given *schema.StoreOptions, seat Options, under func(Log) Log) (Log, []*schema.Record, error) {
	opened, records, err := Open(given.Data)
	if err != nil && defect.KindOf(err) == defect.DiskCorrupt {
		// Rot: the seat starts empty and is refilled by the others.
		log.Error(err, "log is corrupt and set aside; refilling from the other seats")
		if err = SetAside(given.Data); err == nil {
			opened, records, err = Open(given.Data)
		}
	}
	if err != nil {
		return nil, nil, err
	}
	disk := under(opened)
	if len(records) == 0 {
		records = []*schema.Record{Birth(seat, draw())}
		if err := disk.Write(records, true); err != nil {
			disk.Close()
			return nil, nil, err
		}
	}
	return disk, records, nil
}

// retriesPerStall is how often, in a stall bound, a disk that refuses is asked again.
const retriesPerStall = 8

// placeOf is where a seat named by its IP stands: every store has the same port.
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
	if status.Holder == "" || !status.Counted || status.Unfit {
		return daemon.Soundness{Reason: string(defect.NoMajority)}
	}
	return daemon.Soundness{Ready: true}
}

func (s *Server) status() *schema.SeatStatus {
	s.lock.Lock()
	defer s.lock.Unlock()
	status := s.seat.Status()
	status.RefusedPeers = s.ends.Refused.Load()
	return status
}

// step runs one event through the seat and hands out its actions.
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
			case s.outbox(one.Letter.To) <- one.Letter:
			default:
			}
		case Persist:
			s.writes = append(s.writes, one)
			select {
			case s.wake <- struct{}{}:
			default:
			}
		case Reply:
			s.end(one.Submitted.Ticket, one.Submitted)
		case ReplyBarrier:
			s.end(one.Back.Ticket, one.Back)
		}
	}
	if wakes := s.seat.Wakes(); s.wakeAt == 0 || wakes < s.wakeAt {
		s.wakeAt = wakes
		s.timer.Reset(wakes - time.Since(s.started))
	}
	s.noteTimes()
	if stable, _ := s.seat.Stable(); stable != s.lastSeen {
		s.lastSeen = stable
		close(s.moved)
		s.moved = make(chan struct{})
	}
}

// timesKept is how many sequences the tracer can still be told of.
const timesKept = 4096

// noteTimes writes down when sequences were first taken, synced and stable here; the caller
// holds the lock.
func (s *Server) noteTimes() {
	now := s.seat.Reached()
	if now == s.reached {
		return
	}
	wall := time.Now().UnixNano()
	for stage := range now {
		// A digest can bring many sequences at once; only the last of them were ever asked about.
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
func (s *Server) Trace(_ context.Context, ask *schema.Ask) (*schema.SeatTrace, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	trace := &schema.SeatTrace{Seat: s.options.Seat, Holder: s.seat.Status().Holder}
	trace.Outcome, trace.Known = s.seat.Accepted(ask.ChangeId)
	if trace.Known {
		if times := s.times[trace.Outcome.Version.Sequence]; times != nil {
			trace.Taken, trace.Synced, trace.Stable = times[0], times[1], times[2]
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
			s.step(func(now time.Duration) []Action { return s.seat.Synced(now, one.Mark) })
		}
	}
}

// rewrite writes the whole state, again and again, to a disk that refused a write.
func (s *Server) rewrite(ctx context.Context, disk Log) bool {
	for {
		s.step(func(now time.Duration) []Action { return s.seat.DiskFailed(now) })
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Duration(s.given().Stall) / retriesPerStall):
		}
		s.lock.Lock()
		// It stands for everything that waits to be written.
		s.writes = nil
		s.act(s.seat.Rewrite(time.Since(s.started)))
		whole := s.writes[0]
		s.writes = s.writes[1:]
		s.lock.Unlock()
		if disk.Write([]*schema.Record{whole.Record}, true) == nil {
			s.step(func(now time.Duration) []Action { return s.seat.Synced(now, whole.Mark) })
			return true
		}
	}
}

// outbox is where letters for a seat wait to be posted; the caller holds the lock.
func (s *Server) outbox(name string) chan *schema.SeatLetter {
	if s.outboxes[name] == nil {
		s.outboxes[name] = make(chan *schema.SeatLetter, s.options.Buffer)
		go s.post(s.ctx, name, s.outboxes[name])
	}
	return s.outboxes[name]
}

// addressesOf finds where a seat is reached: where it last spoke from, else every seed.
func (s *Server) addressesOf(name string) (addresses []string, known bool) {
	s.lock.Lock()
	address := s.seat.Addresses()[name]
	s.lock.Unlock()
	// Seats that are named by their IPs are found by their names.
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

// wire is an open stream of letters to one address.
type wire struct {
	schema.DRPCStore_DeliverClient
	end     context.CancelFunc
	heading *schema.SeatLetter // what its letters have in common
}

// post sends letters to one seat, in order, as many at once as are waiting.
func (s *Server) post(ctx context.Context, name string, outbox chan *schema.SeatLetter) {
	wires := map[string]*wire{}
	for {
		var letters []*schema.SeatLetter
		select {
		case <-ctx.Done():
			for _, one := range wires {
				one.end()
			}
			return
		case first := <-outbox:
			letters = append(letters, first)
		}
		for more := true; more && len(letters) < int(s.options.Buffer); {
			select {
			case next := <-outbox:
				letters = append(letters, next)
			default:
				more = false
			}
		}
		// A seat may stand at any seed, or have come back elsewhere; letters name whom they are
		// for, and a store that is not the one meant ignores them.
		addresses, known := s.addressesOf(name)
		for _, address := range addresses {
			if s.carry(ctx, wires, address, letters) && known {
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

// carry sends letters over the wire to an address. One that was open may have broken long since,
// so a second is tried.
func (s *Server) carry(ctx context.Context, wires map[string]*wire, address string, letters []*schema.SeatLetter) bool {
	for {
		open, was := wires[address]
		if !was {
			bounded, end := context.WithCancel(ctx)
			stream, err := schema.NewDRPCStoreClient(s.ends.To(bounded, address)).Deliver(bounded)
			if err != nil {
				end()
				return false
			}
			open = &wire{stream, end, &schema.SeatLetter{}}
			wires[address] = open
		}
		err := open.Send(&schema.SeatLetters{Letters: open.shorten(letters)})
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

// shorten leaves out of letters what the one before said too: pings are most of what is sent.
func (w *wire) shorten(letters []*schema.SeatLetter) (short []*schema.SeatLetter) {
	for _, letter := range letters {
		if sameHeading(letter, w.heading) {
			letter = &schema.SeatLetter{Body: letter.Body}
		} else {
			w.heading = &schema.SeatLetter{}
			lengthen(w.heading, letter)
		}
		short = append(short, letter)
	}
	return short
}

func sameHeading(a, b *schema.SeatLetter) bool {
	return a.From == b.From && a.To == b.To && a.Address == b.Address && a.Incarnation == b.Incarnation && a.Founder == b.Founder
}

// lengthen puts back what shorten left out.
func lengthen(letter, heading *schema.SeatLetter) {
	letter.From, letter.To, letter.Address, letter.Incarnation, letter.Founder = heading.From, heading.To, heading.Address, heading.Incarnation, heading.Founder
}

// Deliver takes letters from another seat.
func (s *Server) Deliver(stream schema.DRPCStore_DeliverStream) error {
	peer := link.PeerOf(stream.Context())
	heading := &schema.SeatLetter{}
	for {
		letters, err := stream.Recv()
		if err != nil {
			return nil // whoever sent them has gone
		}
		for _, letter := range letters.Letters {
			if letter.From == "" {
				lengthen(letter, heading)
			} else {
				heading = &schema.SeatLetter{}
				lengthen(heading, letter)
			}
			// Only the seat named in the certificate may speak as that seat.
			if peer.Role != "store" || peer.Name != letter.From {
				s.ends.Refused.Add(1)
				return defect.New(defect.Stranger, letter.From)
			}
			s.step(func(now time.Duration) []Action { return s.seat.Deliver(now, letter) })
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

// Offer takes a change from the registry of this machine and answers once it is settled.
func (s *Server) Offer(ctx context.Context, submit *schema.Submit) (*schema.Submitted, error) {
	result, _ := s.await(ctx, func(now time.Duration, ticket string) []Action {
		return s.seat.Offer(now, &schema.Submit{Ticket: ticket, Change: submit.Change, DutyEpoch: submit.DutyEpoch})
	}).(*schema.Submitted)
	if result == nil {
		result = &schema.Submitted{Undecided: true}
	}
	return result, nil
}

// Stand answers with a stable sequence that no yes given before lies above.
func (s *Server) Stand(ctx context.Context, _ *schema.Nothing) (*schema.BarrierBack, error) {
	result, _ := s.await(ctx, func(now time.Duration, ticket string) []Action {
		return s.seat.Stand(now, ticket)
	}).(*schema.BarrierBack)
	if result == nil {
		result = &schema.BarrierBack{Undecided: true}
	}
	return result, nil
}

// Inquire tells what became of a change.
func (s *Server) Inquire(_ context.Context, ask *schema.Ask) (*schema.Submitted, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	outcome, settled := s.seat.OutcomeOf(ask.ChangeId)
	return &schema.Submitted{Outcome: outcome, Undecided: !settled}, nil
}

// Follow waits for stable state beyond a sequence and gives what is new.
func (s *Server) Follow(ctx context.Context, ask *schema.StableAsk) (*schema.StableBack, error) {
	horizon := time.NewTimer(time.Duration(ask.WaitNanos))
	defer horizon.Stop()
	for {
		s.lock.Lock()
		stable, state := s.seat.Stable()
		moved := s.moved
		s.lock.Unlock()
		if stable > ask.After {
			return s.vouched(Difference(state, stable, ask.After)), nil
		}
		select {
		case <-moved:
		case <-horizon.C:
			return s.vouched(&schema.StableBack{Stable: stable}), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// vouched adds how fresh the stable state is, and who the seats are.
func (s *Server) vouched(back *schema.StableBack) *schema.StableBack {
	s.lock.Lock()
	defer s.lock.Unlock()
	age, known := s.seat.Fresh(time.Since(s.started))
	back.AgeNanos, back.Vouched, back.Cores = int64(age), known, s.seat.Seats()
	return back
}

// Difference lists the items of a state newer than a sequence, or all when it is 0.
func Difference(state setup.State, stable, after uint64) *schema.StableBack {
	back := &schema.StableBack{Stable: stable}
	back.Items, back.Whole = state.After(after)
	return back
}

// Look gives the seat's status.
func (s *Server) Look(context.Context, *schema.Nothing) (*schema.SeatStatus, error) {
	return s.status(), nil
}
