// Package store keeps the setup: admission under an epoch, majority sync, repair, and who the
// seats are that do so.
//
// Seat is a step function: an event and the time go in, actions come out. It does no
// I/O, so the daemon, the simulator and the interleaving checker all run this same code.
package store

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// Send is a letter for another seat.
type Send struct{ Letter *schema.SeatLetter }

// Persist asks for a record to be synced; Synced must be stepped with its mark afterwards,
// marks in the order they were given. Whole means that records before it may be dropped.
type Persist struct {
	Mark   uint64
	Record *schema.Record
	Whole  bool
}

// Reply ends a ticket given with Offer.
type Reply struct{ Submitted *schema.Submitted }

// ReplyBarrier ends a ticket given with Stand.
type ReplyBarrier struct{ Back *schema.BarrierBack }

// Action is one of Send, Persist, Reply, ReplyBarrier.
type Action any

// Options are the bounds a seat works within.
type Options struct {
	Name         string
	Address      string
	Order        []string      // all seats, where an operator orders them
	Founders     []string      // the first seats, at the first start of all without an order
	Seeds        []string      // whom a seat asks that has no place among the seats
	Raise        bool          // first start of all, and not a founder: one seat more is wanted
	Losses       int           // disks that may be lost at once
	Draw         func() uint64 // an incarnation that no other folder has
	Silence      time.Duration
	Stall        time.Duration
	EntriesMost  int
	OutcomesMost int
	BufferMost   int
	DroppedMost  int // tombstones that bear an operator's version and are kept

	planted plantedFault // by tests of the checks
}

// Ratios to the bounds in Options.
const (
	pingsPerSilence   = 3  // pings that fit into the silence bound, so that one late one does not count
	hurriesPerSilence = 15 // the same, for a seat that does not reach a majority
	newsPerSilence    = 30 // least pause between pings that tell something new
	campaignsPerStall = 1  // a campaign that takes longer than the stall bound starts again
)

// wholeBytes is what entries may take on disk, at the least, before the whole state is written in
// their place; a larger state is written once they take as much as it several times.
const (
	wholeBytes = 1 << 20
	wholeTimes = 2
)

type phase int

const (
	idle phase = iota
	campaigning
	installing
	active
)

type afterSync struct {
	mark    uint64
	at      time.Duration
	epoch   uint64
	seq     uint64
	letters []*schema.SeatLetter
	promise uint64
	asked   *schema.Promise // by whom the promise was asked for; answered once synced
	from    string
}

// peer is another seat, as far as it is known here.
type peer struct {
	incarnation uint64
	founder     bool
	heardAt     time.Duration
	heard       bool
	ping        *schema.Ping
	told        *schema.Ping // the last ping in full to it, and how often it was said in short since
	inShort     int
	// what a candidate or the holder knows of it under its epoch
	epoch, acked, sent uint64
	have               *schema.Version // what it held when it was last told of; a hint
	tells              bool            // it told so itself under this epoch
	wholeAt            time.Duration   // when the whole state was last sent to it
	vote               *schema.Promised
	confirmed          uint64
	read               *schema.ReadBack
	learns, raise      bool // asks for a seat
}

type waiter struct {
	ticket string
	to     string // seat to answer, empty for this process
}

// sentOn is a ticket of this machine's registry that waits for the holder's answer.
type sentOn struct {
	holder  string
	at      time.Duration
	barrier bool
}

type barrier struct {
	waiter
	round uint64
}

// Seat is one copy of the setup.
type Seat struct {
	options     Options
	incarnation uint64
	founder     bool // its folder has been there since the first seats were
	raise       bool

	promised   uint64
	promisedTo string
	epoch      uint64
	seq        uint64
	state      setup.State
	set        *schema.Seats // the latest taken, stable or not: it counts
	baseSeq    uint64
	base       setup.State
	baseSet    *schema.Seats
	entries    []*schema.Entry // from baseSeq+1 to seq
	outcomes   map[string]*schema.Outcome
	ordered    []string // change ids, oldest first

	syncedEpoch, syncedSeq uint64
	stable                 uint64
	stableEpoch            uint64
	stableState            setup.State
	stableSet              *schema.Seats
	sinceWhole             int
	bytesSince             int
	bytesWhole             int
	purgeAt                uint64       // stable sequence from which the holder looks for tombstones again
	compiled               *setup.Setup // of the last change taken here, to compile the next one after

	nextMark uint64
	pending  []afterSync

	peers     map[string]*peer // the other seats of the set
	others    []string         // their names in the agreed order, so that a run can be replayed
	guests    map[string]*peer // who asks for a seat, and who knows of newer seats than this one
	addresses map[string]string
	toldSet   *schema.Seats // stable seats that another told of
	phase     phase
	phaseAt   time.Duration
	upon      *schema.Version // what the holder held when its epoch began
	born      bool
	bornAt    time.Duration // the first time that was told
	lastPing  time.Duration
	pinged    bool
	saidLast  string // what is new in a ping, as it was last sent
	serial    uint32
	knockedAt time.Duration
	highest   uint64 // highest epoch seen anywhere
	round     uint64
	readRound uint64
	readAt    time.Duration
	joins     bool                // reading showed that there are seats already
	waiters   map[string][]waiter // by change id, at the holder
	barriers  []barrier
	sentOn    map[string]sentOn
	fresh     freshness
	refused   bool // the disk refuses writes

	actions []Action
	now     time.Duration
}

// Rebound sets other bounds, and whom to ask. Who this seat is, with whom, and how many copies a
// change needs stay as they were at its start.
func (s *Seat) Rebound(now time.Duration, options Options) []Action {
	s.begin(now)
	held := &s.options
	held.Seeds, held.Silence, held.Stall = options.Seeds, options.Silence, options.Stall
	held.EntriesMost, held.OutcomesMost, held.DroppedMost = options.EntriesMost, options.OutcomesMost, options.DroppedMost
	s.tick()
	return s.actions
}

// NewSeat makes a seat from what its disk held; records nil and a new incarnation make an empty one.
func NewSeat(options Options, incarnation uint64, records []*schema.Record) *Seat {
	s := &Seat{options: options, incarnation: incarnation, state: setup.State{}, base: setup.State{}, stableState: setup.State{},
		set: &schema.Seats{}, baseSet: &schema.Seats{}, stableSet: &schema.Seats{}, outcomes: map[string]*schema.Outcome{}, peers: map[string]*peer{},
		guests: map[string]*peer{}, addresses: map[string]string{}, waiters: map[string][]waiter{}, sentOn: map[string]sentOn{}}
	for _, record := range records {
		s.fold(record)
	}
	s.reseat()
	s.syncedEpoch, s.syncedSeq = s.epoch, s.seq
	s.highest = s.promised
	return s
}

// Birth is the first record of an empty folder. It must be synced before the seat says anything,
// so that no incarnation ever stands for two folders.
func Birth(options Options, incarnation uint64) *schema.Record {
	record := &schema.Record{Incarnation: incarnation, Raise: options.Raise}
	if slices.Contains(options.Founders, options.Name) {
		record.Founder, record.Digest = true, &schema.Digest{Seats: founding(options.Founders)}
	}
	return record
}

// fold applies a record read back from disk.
func (s *Seat) fold(record *schema.Record) {
	if record.Incarnation != 0 {
		s.incarnation = record.Incarnation
	}
	if record.Promised > s.promised {
		s.promised, s.promisedTo = record.Promised, record.PromisedTo
	}
	s.founder = s.founder || record.Founder
	s.raise = s.raise || record.Raise
	if record.Digest != nil {
		s.raise = record.Raise
		s.replace(record.Digest)
	}
	for _, entry := range record.Entries {
		if entry.Version.Sequence == s.seq+1 {
			s.append(entry)
		}
	}
	s.epoch = max(s.epoch, record.Epoch)
}

// replace takes a digest as the whole working state.
func (s *Seat) replace(digest *schema.Digest) {
	s.epoch, s.seq = digest.Epoch, digest.Sequence
	s.state = setup.State{}.With(digest.Items)
	if s.set = digest.Seats; s.set == nil {
		s.set = &schema.Seats{}
	}
	s.base, s.baseSeq, s.baseSet, s.entries = s.state, s.seq, s.set, nil
	s.outcomes, s.ordered = map[string]*schema.Outcome{}, nil
	for _, outcome := range digest.Outcomes {
		s.remember(outcome)
	}
	s.reseat()
}

func (s *Seat) remember(outcome *schema.Outcome) {
	if _, known := s.outcomes[outcome.ChangeId]; !known {
		s.ordered = append(s.ordered, outcome.ChangeId)
	}
	s.outcomes[outcome.ChangeId] = outcome
	// The memory of outcomes is bounded; the oldest ids are forgotten first.
	for len(s.ordered) > s.options.OutcomesMost {
		delete(s.outcomes, s.ordered[0])
		s.ordered = s.ordered[1:]
	}
}

func (s *Seat) append(entry *schema.Entry) {
	s.entries = append(s.entries, entry)
	s.seq = entry.Version.Sequence
	if len(entry.Items) > 0 {
		s.state = s.state.With(entry.Items)
	}
	if entry.Seats != nil {
		s.set = entry.Seats
		s.reseat()
	}
	s.remember(entry.Outcome)
	s.sinceWhole++
	s.bytesSince += proto.Size(entry)
}

func (s *Seat) digest() *schema.Digest {
	digest := &schema.Digest{Epoch: s.epoch, Sequence: s.seq, Items: s.state.Items(), Seats: s.set}
	for _, id := range s.ordered {
		digest.Outcomes = append(digest.Outcomes, s.outcomes[id])
	}
	return digest
}

// stableDigest is the state as shown outside; outcomes later than it are left out.
func (s *Seat) stableDigest() *schema.Digest {
	digest := &schema.Digest{Epoch: s.stableEpoch, Sequence: s.stable, Items: s.stableState.Items(), Seats: s.stableSet}
	for _, id := range s.ordered {
		if outcome := s.outcomes[id]; outcome.Version.Sequence <= s.stable {
			digest.Outcomes = append(digest.Outcomes, outcome)
		}
	}
	return digest
}

// advance moves the stable mark; seq must be stable under the epoch this seat is in.
func (s *Seat) advance(seq uint64) {
	seq = min(seq, s.seq)
	// A digest newer than the mark hides the states between: wait until the mark reaches it.
	if seq < s.baseSeq || (seq <= s.stable && s.stableEpoch == s.epoch) || seq < s.stable {
		return
	}
	state, set, from := s.stableState, s.stableSet, s.stable
	if from < s.baseSeq || s.stableEpoch != s.epoch {
		state, set, from = s.base, s.baseSet, s.baseSeq
	}
	var items []*schema.Item
	for _, entry := range s.entries {
		if entry.Version.Sequence > from && entry.Version.Sequence <= seq {
			items = append(items, entry.Items...)
			if entry.Seats != nil {
				set = entry.Seats
			}
		}
	}
	if len(items) > 0 {
		state = state.With(items)
	}
	s.stableState, s.stableSet, s.stable, s.stableEpoch = state, set, seq, s.epoch
	s.trim()
	s.answerWaiters()
}

// trim lets go of entries that are stable and beyond the bound.
func (s *Seat) trim() {
	if len(s.entries) < 2*s.options.EntriesMost {
		return
	}
	keepFrom := min(s.stable, s.seq-uint64(s.options.EntriesMost))
	cut := 0
	var items []*schema.Item
	for cut < len(s.entries) && s.entries[cut].Version.Sequence <= keepFrom {
		items = append(items, s.entries[cut].Items...)
		if s.entries[cut].Seats != nil {
			s.baseSet = s.entries[cut].Seats
		}
		cut++
	}
	if cut == 0 {
		return
	}
	s.base, s.baseSeq = s.base.With(items), s.entries[cut-1].Version.Sequence
	s.entries = append([]*schema.Entry(nil), s.entries[cut:]...)
}

// Stable gives the state that may be shown outside.
func (s *Seat) Stable() (uint64, setup.State) { return s.stable, s.stableState }

// Seats lists the seats as far as they are stable, where they agree on them themselves.
func (s *Seat) Seats() []*schema.Core {
	if len(s.options.Order) > 0 {
		return nil
	}
	return s.stableSet.Seats
}

// OutcomeOf tells what became of a change, if it is settled here.
func (s *Seat) OutcomeOf(changeID string) (*schema.Outcome, bool) {
	outcome, found := s.outcomes[changeID]
	if !found || outcome.Version.Sequence > s.stable {
		return nil, false
	}
	return outcome, true
}

// Accepted tells what was decided of a change, whether or not that is stable yet.
func (s *Seat) Accepted(changeID string) (*schema.Outcome, bool) {
	outcome, found := s.outcomes[changeID]
	return outcome, found
}

// Reached is how far this seat has come: taken, synced and stable sequences.
func (s *Seat) Reached() [3]uint64 { return [3]uint64{s.seq, s.syncedSeq, s.stable} }

// Status is what an operator sees of the seat.
func (s *Seat) Status() *schema.SeatStatus {
	status := &schema.SeatStatus{Seat: s.options.Name, Holder: s.holder(), Epoch: s.epoch, Promised: s.promised, Sequence: s.seq,
		Synced: s.syncedSeq, Stable: s.stable, Counted: s.member(), Unfit: s.unfit(), Seats: s.set, Refuses: s.refused}
	for _, name := range s.others {
		if s.hears(s.peers[name]) {
			status.Heard = append(status.Heard, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.guests)) {
		if one := s.guests[name]; one.learns && s.hears(one) {
			status.Waiting = append(status.Waiting, name)
		}
	}
	return status
}

// Addresses tells where each other seat was last heard from, or is said to stand.
func (s *Seat) Addresses() map[string]string { return s.addresses }

func (s *Seat) begin(now time.Duration) {
	if !s.born {
		s.born, s.bornAt = true, now
	}
	s.now, s.actions = now, nil
}

func (s *Seat) send(to string, letter *schema.SeatLetter) {
	letter.From, letter.To, letter.Address, letter.Incarnation, letter.Founder = s.options.Name, to, s.options.Address, s.incarnation, s.founder
	s.actions = append(s.actions, Send{letter})
}

// persist asks for a sync and keeps what must wait for it.
func (s *Seat) persist(record *schema.Record, then afterSync) {
	s.nextMark++
	whole := record.Digest != nil
	// Every so many entries or bytes the whole state is written, so that the log in front can go.
	if !whole && (s.sinceWhole >= s.options.EntriesMost || s.bytesSince >= max(wholeBytes, wholeTimes*s.bytesWhole)) {
		record, whole = &schema.Record{Digest: s.digest()}, true
	}
	if whole {
		s.fill(record)
	}
	then.mark, then.at, then.epoch, then.seq = s.nextMark, s.now, s.epoch, s.seq
	s.pending = append(s.pending, then)
	s.actions = append(s.actions, Persist{Mark: s.nextMark, Record: record, Whole: whole})
}

// fill adds to the whole state what else a folder must hold once everything before it may go.
func (s *Seat) fill(record *schema.Record) {
	record.Incarnation, record.Promised, record.PromisedTo, record.Founder, record.Raise = s.incarnation, s.promised, s.promisedTo, s.founder, s.raise
	s.sinceWhole, s.bytesSince, s.bytesWhole = 0, 0, proto.Size(record)
}

// Synced tells that every record up to mark is on disk.
func (s *Seat) Synced(now time.Duration, mark uint64) []Action {
	s.begin(now)
	s.refused = false
	for len(s.pending) > 0 && s.pending[0].mark <= mark {
		done := s.pending[0]
		s.pending = s.pending[1:]
		if done.epoch == s.epoch {
			// Within an epoch the synced mark only grows; a new epoch starts it afresh.
			if s.syncedEpoch != done.epoch || done.seq > s.syncedSeq {
				s.syncedEpoch, s.syncedSeq = done.epoch, done.seq
			}
		}
		for _, letter := range done.letters {
			s.send(letter.To, letter)
		}
		if done.asked != nil && s.promised == done.promise {
			s.vote(done.from, done.asked)
		}
		if s.phase == campaigning {
			s.tally()
		}
		s.settle()
	}
	s.tend()
	return s.actions
}

// DiskFailed tells that the disk refused a write. Nothing that waits for it is said, and the duty
// goes to another seat, until Rewrite has succeeded.
func (s *Seat) DiskFailed(now time.Duration) []Action {
	s.begin(now)
	s.refused = true
	s.stepDown()
	return s.actions
}

// Rewrite asks for the whole state to be written in place of all that the disk has refused.
func (s *Seat) Rewrite(now time.Duration) []Action {
	s.begin(now)
	record := &schema.Record{Digest: s.digest()}
	s.fill(record)
	return append(s.actions, Persist{Mark: s.nextMark, Record: record, Whole: true})
}
