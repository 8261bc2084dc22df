package store

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
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
	options *schema.StoreOptions
	ends    *link.Ends
	log     logr.Logger
	started time.Time

	lock     sync.Mutex
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
	broken   chan error
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
	order := orderOf(given)
	if self := ends.Self(); self.Role != "store" || self.Name != given.Seat {
		return defect.New(defect.BadOptions, fmt.Sprintf("certificate is for %s %q, not store %q", self.Role, self.Name, given.Seat))
	}
	listed := false
	for _, name := range order {
		listed = listed || name == given.Seat
	}
	if !listed {
		return defect.New(defect.BadOptions, "seat: is not in order")
	}
	folder := filepath.Join(given.Data, "setup")
	opened, records, err := Open(folder)
	if defect.KindOf(err) == defect.DiskCorrupt && err != nil {
		// Rot in the middle: the seat starts empty and is refilled by the others.
		frame.Log.Error(err, "log is corrupt and set aside; refilling from the other seats")
		if err = SetAside(folder); err == nil {
			opened, records, err = Open(folder)
		}
	}
	if err != nil {
		return err
	}
	disk := running.under(opened)
	defer disk.Close()
	incarnation := uint64(time.Now().UnixNano())
	if len(records) == 0 {
		// The incarnation is synced before any letter leaves, so that a seat is never two.
		if err := disk.Write([]*schema.Record{{Incarnation: incarnation}}, false); err != nil {
			return err
		}
	}
	listener, err := net.Listen("tcp", given.Listen)
	if err != nil {
		return defect.Wrap(err, defect.BadOptions, "listen")
	}
	address := given.Advertise
	if address == "" {
		address = given.Listen
	}
	s := &Server{options: given, ends: ends, log: frame.Log, started: time.Now(), tickets: map[string]chan any{}, times: map[uint64]*[3]int64{},
		moved: make(chan struct{}), outboxes: map[string]chan *schema.SeatLetter{},
		wake: make(chan struct{}, 1), broken: make(chan error, 1)}
	s.seat = NewSeat(Options{Name: given.Seat, Order: order, Address: address, Silence: time.Duration(given.Silence),
		Stall: time.Duration(given.Stall), EntriesMost: int(given.EntriesMost), OutcomesMost: int(given.OutcomesMost),
		BufferMost: int(given.Buffer), DroppedMost: int(given.DroppedMost)}, incarnation, records)
	for _, name := range order {
		if name != given.Seat {
			s.outboxes[name] = make(chan *schema.SeatLetter, given.Buffer)
		}
	}
	// The map is whole before anybody reads it, and never changes after.
	for name := range s.outboxes {
		go s.post(ctx, name)
	}
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

	// The clock runs several times within each ping's interval.
	ticker := time.NewTicker(time.Duration(given.Silence) / (pingsPerSilence * 4))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			frame.Draining.Store(true)
			return nil
		case err := <-served:
			return err
		case err := <-s.broken:
			return err
		case <-ticker.C:
			s.step(func(now time.Duration) []Action { return s.seat.Tick(now) })
		}
	}
}

// endsOf makes the links' ends: with keys, or plain ones that need none.
func endsOf(given *schema.StoreOptions) (*link.Ends, error) {
	if given.Links == plainLinks {
		return link.Plain("store", given.Seat, nil, link.WithFrom(given.Listen)), nil
	}
	return link.Load(given.Certificate, given.Authority, link.WithFrom(given.Listen))
}

const plainLinks = "plain"

// orderOf names the seats: those of the order or, without one, the IPs of the seeds.
func orderOf(given *schema.StoreOptions) []string {
	if given.Order != "" {
		return options.List(given.Order)
	}
	var names []string
	for _, seed := range options.List(given.Seeds) {
		if place, err := netip.ParseAddrPort(seed); err == nil {
			names = append(names, place.Addr().String())
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

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
	for _, action := range event(time.Since(s.started)) {
		switch one := action.(type) {
		case Send:
			// A full buffer means the peer is slow or gone; what is lost is sent again.
			select {
			case s.outboxes[one.Letter.To] <- one.Letter:
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
				s.step(func(now time.Duration) []Action { return s.seat.DiskFailed(now) })
				s.broken <- err
				return
			}
			records = nil
			s.step(func(now time.Duration) []Action { return s.seat.Synced(now, one.Mark) })
		}
	}
}

// addressOf finds where a seat is reached: where it last spoke from, else every seed.
func (s *Server) addressesOf(name string) []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	if address := s.seat.Addresses()[name]; address != "" && s.options.Order == "" {
		return []string{address}
	} else if address != "" {
		return append([]string{address}, options.List(s.options.Seeds)...)
	}
	// Seats that are named by their IPs are found by their names.
	if s.options.Order == "" {
		return []string{placeOf(s.options, name)}
	}
	return options.List(s.options.Seeds)
}

// post sends letters to one seat, in order, as many at once as are waiting.
func (s *Server) post(ctx context.Context, name string) {
	for {
		var letters []*schema.SeatLetter
		select {
		case <-ctx.Done():
			return
		case first := <-s.outboxes[name]:
			letters = append(letters, first)
		}
		for more := true; more && len(letters) < int(s.options.Buffer); {
			select {
			case next := <-s.outboxes[name]:
				letters = append(letters, next)
			default:
				more = false
			}
		}
		// A seat may stand at any seed, or have come back elsewhere; letters name whom they are
		// for, and a store that is not the one meant ignores them.
		for i, address := range s.addressesOf(name) {
			bounded, cancel := context.WithTimeout(ctx, time.Duration(s.options.Silence))
			_, err := schema.NewDRPCStoreClient(s.ends.To(bounded, address)).Deliver(bounded, &schema.SeatLetters{Letters: letters})
			cancel()
			if err == nil && i == 0 && s.known(name) {
				break
			}
		}
	}
}

func (s *Server) known(name string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.seat.Addresses()[name] != ""
}

// Deliver takes letters from another seat.
func (s *Server) Deliver(ctx context.Context, letters *schema.SeatLetters) (*schema.Nothing, error) {
	peer := link.PeerOf(ctx)
	for _, letter := range letters.Letters {
		// Only the seat named in the certificate may speak as that seat.
		if peer.Role != "store" || peer.Name != letter.From {
			s.ends.Refused.Add(1)
			return nil, defect.New(defect.Stranger, letter.From)
		}
		s.step(func(now time.Duration) []Action { return s.seat.Deliver(now, letter) })
	}
	return &schema.Nothing{}, nil
}

// await runs an event under a new ticket and waits for its end.
func (s *Server) await(ctx context.Context, event func(now time.Duration, ticket string) []Action) any {
	s.lock.Lock()
	if len(s.tickets) >= int(s.options.Buffer) {
		s.lock.Unlock()
		return nil
	}
	s.nextID++
	ticket := fmt.Sprintf("%s-%d-%d", s.options.Seat, s.started.UnixNano(), s.nextID)
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

// vouched adds how fresh the stable state is.
func (s *Server) vouched(back *schema.StableBack) *schema.StableBack {
	s.lock.Lock()
	defer s.lock.Unlock()
	age, known := s.seat.Fresh(time.Since(s.started))
	back.AgeNanos, back.Vouched = int64(age), known
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
