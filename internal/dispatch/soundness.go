package dispatch

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// workerFacts is what this process has seen of a worker.
type workerFacts struct {
	inFlight atomic.Int64
	failures atomic.Int64 // in a row
	until    atomic.Int64 // ejected until
	full     atomic.Int64 // without room until
	heardAt  atomic.Int64 // when its proxy answered last, or when calls began to wait there
	disowned atomic.Bool  // its proxy knows it no more, or it is leaving: it never comes back

	lock sync.Mutex
	// Calls through this process; calls of all, as the worker's proxy told of them; and as this
	// process saw them, where it is that proxy.
	own, told, ran record
	// Its load as its proxy told it last, less what this process has there.
	loadAt time.Duration
	loaded bool
	slots  int
	others float64       // at that time
	usual  float64       // moving mean of others
	pace   time.Duration // as told, or else as seen from here; 0 for not known
	turned float64       // part of the calls of late that were refused for want of room
	// taking is by route, for those of which it turned calls away of late.
	taking map[string]*taking
}

// taking is of how many calls a worker was asked of late, and how many it took.
type taking struct {
	asked, taken float64
	at           time.Duration
}

func (t *taking) fade(now, span time.Duration) {
	if now > t.at {
		left := math.Exp(-float64(now-t.at) / float64(span))
		t.asked, t.taken, t.at = t.asked*left, t.taken*left, now
	}
}

// Ratios of what is known of workers.
const (
	fullParts   = 64   // the part of an ejection for which a worker without room is tried last, if not told
	turnedParts = 8    // the part of news that goes into how many are refused
	usualParts  = 16.0 // the part of news that goes into the usual load
	paceParts   = 8    // the part of news that goes into the pace

	// A proxy that owes answers and gives none for so many times what its worker takes, and so
	// long a part of an ejection, is tried last until it gives one; twice as many if it owes one
	// alone, for one call may just take long.
	// Where a worker takes few calls of a route, it is asked this many times as many as it takes, as
	// seen over this part of an ejection: what it would turn away costs it and its link as much
	// as what it tells of it, and the caller is told sooner.
	askTimes = 2
	askParts = 2
	askLeast = 1 // calls that it is taken to have taken besides

	silentTimes = 4
	silentParts = 25
)

// Soundness keeps facts of workers by instance; it implements plan.Facts.
type Soundness struct {
	facts  *xsync.Map[string, *workerFacts]
	lost   *xsync.Map[string, time.Duration] // proxies that were not reached, and until when that counts
	losing atomic.Int64                      // how many these are, about
	most   atomic.Int64
	ejects atomic.Int64 // for how long
}

// NewSoundness ejects a worker for a time after so many failures in a row.
func NewSoundness(most int64, ejection time.Duration) *Soundness {
	s := &Soundness{facts: xsync.NewMap[string, *workerFacts](), lost: xsync.NewMap[string, time.Duration]()}
	s.Rebound(most, ejection)
	return s
}

// Rebound sets other bounds; what is known of workers stays.
func (s *Soundness) Rebound(most int64, ejection time.Duration) {
	s.most.Store(most)
	s.ejects.Store(int64(ejection))
}

func (s *Soundness) ejection() time.Duration { return time.Duration(s.ejects.Load()) }

func (s *Soundness) of(instance string) *workerFacts {
	if facts, found := s.facts.Load(instance); found {
		return facts
	}
	facts, _ := s.facts.LoadOrCompute(instance, func() (*workerFacts, bool) { return &workerFacts{}, false })
	return facts
}

// See gives what this process knows of a worker.
func (s *Soundness) See(worker *plan.Candidate, now time.Duration) plan.Seen {
	seen := plan.Seen{Slots: worker.Slots, Pace: worker.Pace}
	unreached := s.losing.Load() > 0 && s.proxyLost(worker.Proxy, now)
	facts, found := s.facts.Load(worker.Instance)
	if !found {
		seen.Others = float64(worker.Running + worker.Waiting)
		seen.Unreached, seen.Ejected = unreached, unreached
		return seen
	}
	seen.InFlight = int(facts.inFlight.Load())
	silence := now - time.Duration(facts.heardAt.Load())
	seen.Full = int64(now) < facts.full.Load()
	seen.Unreached = unreached || facts.disowned.Load()
	seen.Ejected = seen.Unreached || int64(now) < facts.until.Load()
	facts.lock.Lock()
	defer facts.lock.Unlock()
	seen.Calls, seen.Failures = facts.seen(now, s.ejection())
	if facts.pace > 0 {
		seen.Pace = facts.pace
	}
	if seen.InFlight > 0 && seen.Pace > 0 && silence > max(silentTimes*(seen.Pace+seen.Pace/time.Duration(seen.InFlight)), s.ejection()/silentParts) {
		seen.Ejected = true
	}
	if !facts.loaded {
		if facts.own.calls > 0 {
			// Its answers tell no load, and what the directory says is older than most calls last: by it
			// all would go to the same worker at once. Only what this process has there is sure.
			seen.Slots, seen.Others = 0, 0
		} else {
			seen.Others = float64(worker.Running + worker.Waiting)
		}
		return seen
	}
	// Of what the last answer and the directory told, the later counts; and the older it is, the
	// more it gives way to what is usual, for the calls it counted are over by then.
	seen.Slots = facts.slots
	last, at := facts.others, facts.loadAt
	if worker.Told > at {
		last, at = max(0, float64(worker.Running+worker.Waiting-seen.InFlight)), worker.Told
	}
	age := float64(now-at) / float64(max(seen.Pace, time.Millisecond))
	seen.Others = facts.usual + (last-facts.usual)/(1+max(0, age))
	return seen
}

// seen is how many calls a worker had of late and how many of them failed, by who saw the most of it:
// each caller's proxy alone sees few. What is lost on the way is the proxy's beside it, see Lost.
func (f *workerFacts) seen(now, span time.Duration) (calls, failed float64) {
	calls, failed = f.own.seen(now, span)
	for _, other := range [2]*record{&f.told, &f.ran} {
		if more, ill := other.seen(now, span); more > calls {
			calls, failed = more, ill
		}
	}
	return calls, failed
}

// Ran notes how a call ended that a worker beside this process ran, whoever's it was.
func (s *Soundness) Ran(instance string, now time.Duration, failed bool) {
	facts := s.of(instance)
	facts.lock.Lock()
	facts.ran.note(now, s.ejection(), failed)
	facts.lock.Unlock()
}

// Record is what others are to be told of the calls that a worker beside this process ran of late;
// nothing where none failed.
func (s *Soundness) Record(instance string, now time.Duration) (ran, failed uint32) {
	facts, found := s.facts.Load(instance)
	if !found {
		return 0, 0
	}
	facts.lock.Lock()
	calls, ill := facts.ran.seen(now, s.ejection())
	facts.lock.Unlock()
	if failed = uint32(math.Round(ill)); failed == 0 {
		return 0, 0
	}
	return uint32(math.Round(calls)), failed
}

// proxyLost tells whether a proxy gave no answer of late.
func (s *Soundness) proxyLost(proxy string, now time.Duration) bool {
	until, lost := s.lost.Load(proxy)
	return lost && now < until
}

// Disown notes that a worker's own proxy refused for it. An instance is never used again, so
// this holds until the directory drops it.
func (s *Soundness) Disown(instance string) { s.of(instance).disowned.Store(true) }

// Lost notes that a proxy gave no answer. One miss is enough: unlike a worker's error
// it says the same of every worker behind it, and each further try would hang as long.
func (s *Soundness) Lost(proxy string, now time.Duration) {
	if _, known := s.lost.LoadAndStore(proxy, now+s.ejection()); !known {
		s.losing.Add(1)
	}
}

// Reached notes that a proxy answered.
func (s *Soundness) Reached(proxy string) {
	if s.losing.Load() == 0 {
		return
	}
	if _, known := s.lost.LoadAndDelete(proxy); known {
		s.losing.Add(-1)
	}
}

// Begin notes a call sent to a worker.
func (s *Soundness) Begin(instance string, now time.Duration) {
	facts := s.of(instance)
	if facts.inFlight.Add(1) == 1 {
		facts.heardAt.Store(int64(now))
	}
}

// End notes how a call ended.
func (s *Soundness) End(instance string, now time.Duration, failed bool) {
	facts := s.of(instance)
	facts.inFlight.Add(-1)
	facts.lock.Lock()
	facts.own.note(now, s.ejection(), failed)
	facts.lock.Unlock()
	if !failed {
		if facts.failures.Load() != 0 {
			facts.failures.Store(0)
		}
		return
	}
	if facts.failures.Add(1) >= s.most.Load() {
		facts.until.Store(int64(now + s.ejection()))
		facts.failures.Store(0)
	}
}

// CalledOff notes that a call sent to a worker ended with its caller, which says nothing of the worker.
func (s *Soundness) CalledOff(instance string) { s.of(instance).inFlight.Add(-1) }

// Ended takes what came back of a call sent to a worker, took being how long that was: how it
// ended, the load that the worker's proxy told with it, and whether there was room.
func (s *Soundness) Ended(instance string, now, took time.Duration, carried *schema.Carried) {
	if facts := s.of(instance); turnedAway(carried) {
		// It says nothing of how sound the worker is, only that it is tried last until there is room.
		facts.inFlight.Add(-1)
		back := time.Duration(carried.BackNanos)
		if back <= 0 {
			back = s.ejection() / fullParts
		}
		facts.full.Store(int64(now + min(back, s.ejection())))
	} else {
		s.End(instance, now, carried.Ending != schema.Ending_ENDING_ANSWERED || carried.Status >= 500)
	}
	facts := s.of(instance)
	if carried.Slots > 0 || carried.Ending == schema.Ending_ENDING_ANSWERED {
		facts.heardAt.Store(int64(now))
	}
	facts.heard(now, took, carried)
}

// Turns is the part of the calls sent to a worker of late that were refused for want of room.
func (s *Soundness) Turns(instance string) float64 {
	facts := s.of(instance)
	facts.lock.Lock()
	defer facts.lock.Unlock()
	return facts.turned
}

// Asked notes whether a worker that was asked took a call of a route.
func (s *Soundness) Asked(instance, route string, now time.Duration, carried *schema.Carried) {
	facts, full := s.of(instance), turnedAway(carried)
	facts.lock.Lock()
	defer facts.lock.Unlock()
	one := facts.taking[route]
	switch {
	case one == nil && !full:
		return
	case one == nil:
		if facts.taking == nil || len(facts.taking) >= routesMost {
			facts.taking = map[string]*taking{}
		}
		one = &taking{at: now}
		facts.taking[route] = one
	}
	one.fade(now, s.ejection()/askParts)
	if one.asked++; !full {
		one.taken++
	}
}

// Spares tells whether a worker is better not asked for a call this time, as it turned so many of
// its route away, and when there may be room. What it is spared counts as asked.
func (s *Soundness) Spares(instance, route string, now time.Duration, dice plan.Dice) (back time.Duration, spared bool) {
	facts, found := s.facts.Load(instance)
	if !found {
		return 0, false
	}
	facts.lock.Lock()
	defer facts.lock.Unlock()
	one := facts.taking[route]
	if one == nil {
		return 0, false
	}
	one.fade(now, s.ejection()/askParts)
	if over := one.asked - askTimes*(one.taken+askLeast); over <= 0 || dice() >= over/(one.asked+1) {
		return 0, false
	}
	one.asked++
	return max(time.Duration(facts.full.Load())-now, s.ejection()/fullParts), true
}

// turnedAway tells whether a call was refused for want of room or time, by who knows the worker best.
func turnedAway(carried *schema.Carried) bool {
	kind := defect.Kind(carried.Defect)
	return carried.Ending == schema.Ending_ENDING_NOT_RUN && (kind == defect.BufferFull || kind == defect.HorizonPast)
}

// heard takes the load that was told with an answer or a refusal.
func (f *workerFacts) heard(now, took time.Duration, carried *schema.Carried) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.turned -= f.turned / turnedParts
	if turnedAway(carried) {
		f.turned += 1.0 / turnedParts
	}
	// Its proxy knows best how long the worker takes; from here, the way and the wait are in it too.
	told := time.Duration(carried.PaceNanos)
	if told == 0 && carried.Ending == schema.Ending_ENDING_ANSWERED {
		told = took
	}
	if f.pace == 0 {
		f.pace = told
	}
	if told > 0 {
		f.pace += (told - f.pace) / paceParts
	}
	if carried.Slots == 0 {
		return
	}
	f.told = record{float64(carried.Ran), float64(min(carried.Failed, carried.Ran)), now}
	f.slots = int(carried.Slots)
	f.others = max(0, float64(int64(carried.Running)+int64(carried.Waiting)-f.inFlight.Load()))
	if !f.loaded {
		f.usual = f.others
	}
	f.usual += (f.others - f.usual) / usualParts
	f.loadAt, f.loaded = now, true
}

// Keep forgets workers that are no longer listed, so that memory does not grow with replacements.
func (s *Soundness) Keep(listed map[string]bool) {
	s.facts.Range(func(instance string, facts *workerFacts) bool {
		if !listed[instance] && facts.inFlight.Load() == 0 {
			s.facts.Delete(instance)
		}
		return true
	})
}
