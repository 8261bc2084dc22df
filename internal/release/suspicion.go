package release

import (
	"math"
	"math/bits"
	"time"
)

// Bounds of what a sound and a bad version are taken for, as parts of calls that end badly.
const (
	soundAtMost  = 0.06 // a sound version may fail so often while nothing of the old one's does
	soundTimes   = 1.5  // and so many times as often as the old one
	soundBeyond  = 0.03 // and this much beyond
	badBeyond    = 0.2  // a bad one fails so much more often than a sound one may
	badTimes     = 2
	rateMost     = 0.95
	slowSteps    = 4     // two doublings: as slow as this beyond the old version's median is as bad as a failure
	medianFrom   = 20    // calls of the old version on a route, to know its median
	recentKeeps  = 0.8   // part of what came of late that is kept from look to look
	recentFrom   = 20    // calls of the old version of late, to know how it fares just now
	alike        = 0.001 // how unlikely it must be that the old version, of late, fails as the new one does
	wholeOfRoute = ""    // what stands for all routes together
)

// TimeSteps is into how many steps the time of a call falls.
const TimeSteps = 32

// timeFirst is below the length, in bits, of the longest time that falls into the first step.
const timeFirst = 10

// TimeStep is the step that a time falls into: two for each doubling, from a millisecond up.
func TimeStep(took time.Duration) int {
	micros := uint64(max(1, took.Microseconds()))
	length := bits.Len64(micros)
	if length <= timeFirst {
		return 0
	}
	return min(TimeSteps-1, 2*(length-timeFirst)-1+int(micros>>(length-2)&1))
}

// ended is calls that ended, and those of them that ended badly.
type ended struct{ all, bad float64 }

func (e *ended) add(other ended) { e.all, e.bad = e.all+other.all, e.bad+other.bad }

func (e ended) rate() float64 {
	if e.all == 0 {
		return 0
	}
	return e.bad / e.all
}

// Suspicion weighs, call by call, how much likelier what was seen is of a bad version than of a
// sound one. It never falls below nothing, so a version that turns bad late is found as soon as
// one that always was; and it is kept by route, so that one bad route shows.
type Suspicion struct {
	routes map[string]*doubt
	last   Evidence
}

// doubt is the suspicion on one route.
type doubt struct {
	sum      float64
	balance  float64 // as the sum, but that it may fall: below nothing, the version is likelier sound
	old, new ended   // of late
}

// Balance is how much likelier it is, on the whole, that the version is bad than that it is sound,
// as a logarithm; a difference of two tells what was seen between.
func (s *Suspicion) Balance() float64 {
	if whole := s.routes[wholeOfRoute]; whole != nil {
		return whole.balance
	}
	return 0
}

// limit is the first step of time that is too slow on a route, beyond all if it can't be known.
func limit(usual Count) int {
	seen, upTo := uint64(0), uint64(0)
	for _, count := range usual.Times {
		seen += count
	}
	for step, count := range usual.Times {
		if upTo += count; upTo*2 < seen || seen < medianFrom {
			continue
		}
		// Where the median lies high in its step, the steps beyond begin at less than so many times it.
		if high := 2*upTo - seen; high < count {
			step++
		}
		return step + slowSteps
	}
	return TimeSteps
}

// endedOf is a count with what came too late among what ended badly.
func endedOf(count Count, slowFrom int) ended {
	bad := count.Failures
	for step := slowFrom; step < TimeSteps; step++ {
		bad += count.Times[step]
	}
	return ended{float64(count.Calls), float64(min(bad, count.Calls))}
}

// Look takes what came since the last look. It gives the strongest suspicion, 1 being certain,
// and on what it rests. alone says that the old version is to have no calls any more.
func (s *Suspicion) Look(options Options, evidence Evidence, alone bool) (strength float64, reason string) {
	if s.routes == nil {
		s.routes = map[string]*doubt{}
	}
	lately := evidence.Since(s.last)
	s.last = evidence
	var fresh, usual, recent ended
	look := func(route string, fresh, usual, recent ended) *doubt {
		if s.routes[route] == nil {
			s.routes[route] = &doubt{}
		}
		s.routes[route].look(fresh, usual, recent)
		return s.routes[route]
	}
	for route, count := range lately.New {
		slowFrom := limit(evidence.Old[route])
		now, ever, late := endedOf(count, slowFrom), endedOf(evidence.Old[route], slowFrom), endedOf(lately.Old[route], slowFrom)
		look(route, now, ever, late)
		fresh.add(now)
		usual.add(ever)
		recent.add(late)
	}
	whole := look(wholeOfRoute, fresh, usual, recent)
	// Where the old version hardly gets calls any more, only what it used to be can be known.
	gone := alone || whole.old.all*hardly < whole.new.all
	for route, held := range s.routes {
		seen := held.old
		if seen.all < 1 {
			seen = whole.old
		}
		// What the old version, of late, may do just as well is held against nobody. Both are taken
		// over the same time, so that one trouble of all begins for both at once.
		if one := held.sum / options.Sure; one > strength && (gone || atMost(seen, held.new.rate()) <= alike) {
			strength, reason = one, "fails or is slow "+where(route)
		}
	}
	return strength, reason
}

// look weighs fresh calls of the new version against what the old one is usually and of late.
func (d *doubt) look(fresh, usual, recent ended) {
	d.old = ended{recentKeeps*d.old.all + recent.all, recentKeeps*d.old.bad + recent.bad}
	d.new = ended{recentKeeps*d.new.all + fresh.all, recentKeeps*d.new.bad + fresh.bad}
	rate := usual.rate()
	if d.old.all >= recentFrom {
		rate = max(rate, d.old.rate())
	}
	sound := min(0.5, max(soundAtMost, soundTimes*rate+soundBeyond))
	bad := min(rateMost, max(sound+badBeyond, badTimes*sound))
	weight := fresh.bad*math.Log(bad/sound) + (fresh.all-fresh.bad)*math.Log((1-bad)/(1-sound))
	d.sum, d.balance = max(0, d.sum+weight), d.balance+weight
}

// atMost is how likely no more than so many of calls end badly, if each does at a rate.
func atMost(seen ended, rate float64) float64 {
	if rate <= 0 {
		return 1
	}
	if rate = min(rate, rateMost); seen.all < 1 {
		return 1
	}
	// The binomial's terms, one from the other.
	all, sum := math.Round(seen.all), 0.0
	term := all * math.Log(1-rate)
	for count := 0.0; count <= math.Round(seen.bad); count++ {
		sum += math.Exp(term)
		term += math.Log((all-count)/(count+1)) + math.Log(rate/(1-rate))
	}
	return sum
}

func where(route string) string {
	if route == wholeOfRoute {
		return "on the whole"
	}
	return "on route " + route
}

// underWay is how many calls were so on average while so much time passed.
func underWay(count Count, passed time.Duration) float64 {
	if passed <= 0 {
		return 0
	}
	return float64(count.Spent) / float64(passed)
}
