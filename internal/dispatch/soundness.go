package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"meadowhinge/internal/plan"
)

// worker is what this process has seen of a worker.
type workerFacts struct {
	inFlight atomic.Int64
	failures atomic.Int64 // in a row
	until    atomic.Int64 // ejected until
	disowned atomic.Bool  // its proxy knows it no more, or it is leaving: it never comes back
	full     atomic.Int64 // it has no room until
	toldAt   atomic.Int64 // when its load was told last, 0 for never
	running  atomic.Int64
	waiting  atomic.Int64
	slots    atomic.Int64
	pace     atomic.Int64 // moving mean of what it takes for a call, in nanoseconds; 0 for not known
}

// Soundness keeps facts of workers by instance; it implements plan.Facts.
type Soundness struct {
	facts    *xsync.Map[string, *workerFacts]
	lost     *xsync.Map[string, time.Duration] // proxies that were not reached, and until when that counts
	most     int64
	ejection time.Duration
}

// NewSoundness ejects a worker for a time after so many failures in a row.
func NewSoundness(most int64, ejection time.Duration) *Soundness {
	return &Soundness{facts: xsync.NewMap[string, *workerFacts](), lost: xsync.NewMap[string, time.Duration](), most: most, ejection: ejection}
}

func (s *Soundness) of(instance string) *workerFacts {
	facts, _ := s.facts.LoadOrCompute(instance, func() (*workerFacts, bool) { return &workerFacts{}, false })
	return facts
}

// InFlight is how many calls this process has at a worker now.
func (s *Soundness) InFlight(instance string) int {
	if facts, found := s.facts.Load(instance); found {
		return int(facts.inFlight.Load())
	}
	return 0
}

// Ejected tells whether a worker failed too often of late, or its proxy was not reached.
func (s *Soundness) Ejected(worker plan.Candidate, now time.Duration) bool {
	if s.Unreached(worker, now) {
		return true
	}
	facts, found := s.facts.Load(worker.Instance)
	return found && int64(now) < facts.until.Load()
}

// Unreached tells whether a worker's proxy gave no answer of late, or disowned the worker.
func (s *Soundness) Unreached(worker plan.Candidate, now time.Duration) bool {
	if until, lost := s.lost.Load(worker.Proxy); lost && now < until {
		return true
	}
	facts, found := s.facts.Load(worker.Instance)
	return found && facts.disowned.Load()
}

// Disown notes that a worker's own proxy refused for it. An instance is never used again, so
// this holds until the directory drops it.
func (s *Soundness) Disown(instance string) { s.of(instance).disowned.Store(true) }

// Lost notes that a proxy gave no answer. One miss is enough: unlike a worker's error
// it says the same of every worker behind it, and each further try would hang as long.
func (s *Soundness) Lost(proxy string, now time.Duration) { s.lost.Store(proxy, now+s.ejection) }

// Reached notes that a proxy answered.
func (s *Soundness) Reached(proxy string) { s.lost.Delete(proxy) }

// Begin notes a call sent to a worker.
func (s *Soundness) Begin(instance string) { s.of(instance).inFlight.Add(1) }

// End notes how a call ended.
func (s *Soundness) End(instance string, now time.Duration, failed bool) {
	facts := s.of(instance)
	facts.inFlight.Add(-1)
	if !failed {
		facts.failures.Store(0)
		return
	}
	if facts.failures.Add(1) >= s.most {
		facts.until.Store(int64(now + s.ejection))
		facts.failures.Store(0)
	}
}

// paceParts is the part of a new time that goes into a worker's moving mean.
const paceParts = 16

// Served notes how long a worker took for a call that it answered.
func (s *Soundness) Served(instance string, took time.Duration) {
	facts := s.of(instance)
	if before := facts.pace.Load(); before > 0 {
		facts.pace.Store(before + (int64(took)-before)/paceParts)
	} else {
		facts.pace.Store(int64(took))
	}
}

// Told notes a worker's load, as the proxy beside it told it with an answer or a refusal.
func (s *Soundness) Told(instance string, now time.Duration, running, waiting, slots int) {
	facts := s.of(instance)
	facts.running.Store(int64(running))
	facts.waiting.Store(int64(waiting))
	facts.slots.Store(int64(slots))
	facts.toldAt.Store(int64(max(now, 1)))
}

// Full notes that a worker has no room: it is tried last until back has passed, the time in
// which its proxy expects room, 0 for not known.
func (s *Soundness) Full(instance string, now, back time.Duration) {
	if back <= 0 {
		back = s.ejection / fullParts
	}
	s.of(instance).full.Store(int64(now + min(back, s.ejection)))
}

// fullParts is the part of an ejection for which a worker without room is tried last.
const fullParts = 64

// Keep forgets workers that are no longer listed, so that memory does not grow with replacements.
func (s *Soundness) Keep(listed map[string]bool) {
	s.facts.Range(func(instance string, facts *workerFacts) bool {
		if !listed[instance] && facts.inFlight.Load() == 0 {
			s.facts.Delete(instance)
		}
		return true
	})
}
