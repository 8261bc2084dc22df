package plan

import (
	"hash/fnv"
	"math"
	"sort"
	"sync"
	"time"
)

// Candidate is a worker that may get a call.
type Candidate struct {
	Instance string
	Proxy    string
	Address  string // of the worker's proxy
	Area     string
	Load     float64
	Since    time.Duration // when it was first known, on this process's clock
	Slots    int           // requests that it works on at once, 0 for not told
	Running  int           // requests that it worked on when it was last told of
	Waiting  int           // and that waited, at it or at its proxy
	Pace     time.Duration // moving mean of what it takes for a request, 0 for not told
	Told     time.Duration // when that was told, on this process's clock
	Warm     time.Duration // until when it is slow after its start, on this process's clock
}

// Directory lists workers by service and version.
type Directory map[string]map[string][]Candidate

// Seen is what a process knows of a worker beyond the directory.
type Seen struct {
	InFlight  int           // calls that it has there now
	Others    float64       // calls of others there, by its best guess
	Slots     int           // requests that the worker works on at once, 0 for not known
	Pace      time.Duration // what the worker takes for a request once it has it, 0 for not known
	Calls     float64       // of late, through this process
	Failures  float64       // of these
	Full      bool          // it was refused for want of room a moment ago
	Ejected   bool          // it failed too often in a row, or its proxy could not be reached
	Unreached bool          // its proxy gave no answer of late
}

// Facts are what a process knows of workers beyond the directory.
type Facts interface {
	See(worker *Candidate, now time.Duration) Seen
	// Held tells whether a version other than the fallback must not be used now.
	Held(service, version string, now time.Duration) bool
}

// Ratios of placing.
const (
	ejectedMost = 2   // at most 1/ejectedMost of a pool may be ejected
	warmFloor   = 0.1 // share a worker starts with, where it does not tell how long it is slow
	warmTimes   = 2.0 // how much longer a worker takes that is slow after its start
	crowding    = 0.1 // how much longer it takes with its last slot than with its first

	// Another zone is as good as the own one but for the bytes between. It is used in so far as the
	// wait in the own one eats up what the aim leaves beside the work: from the first part on more
	// and more, from the second always. In between, zones settle where one is as short as they are.
	spillFrom  = 0.15
	spillUpTo  = 0.4
	spillGain  = 0.8 // and only to where a call takes less than this part of the time
	spillBlind = 3.0 // where slots are not known: only from this many times the load
	spillSoon  = 2   // and only where calls take longer than this part of the aim

	// A worker is passed by in so far as it fails more than the others do: from the first part of
	// its calls on more and more, from the second always.
	failFrom   = 0.15
	failUpTo   = 0.5
	failAlike  = 0.25 // where the others fail in this part of their calls, a row of failures says nothing
	failBefore = 4.0  // calls that it is taken to have served well before any was seen
	failDoubts = 2.0  // and it is given the benefit of so many standard errors of what was seen

	packUpTo = 0.8 // of its slots that a worker is given where calls are packed

	fullTimes = 2.0 // a worker that was full is for calls that have this many times its pace left beside the wait

	candidatesMost = 8 // a plan has no more; who is through with them makes another
	nearLooked     = 6 // of a larger pool only so many are looked at
	farLooked      = 4
)

// rated is a worker of a pool that was looked at.
type rated struct {
	at    int
	time  float64 // that one more call is expected to take, in nanoseconds, or in calls where nothing is known
	wait  float64 // of that, before the worker begins on it
	group int
	seen  Seen
}

// The groups of workers, in the order in which they are tried.
const (
	near = iota // of the own zone
	far
	doubtful // that fail more than others: who has room may still answer well
	full     // without room
	passed   // that are not reached, or fail all there is
	groups
)

// lookedMost is how many workers are looked at, of a larger pool.
const lookedMost = nearLooked + farLooked

// placing is one choice among a pool. It is used over and over, for its space.
type placing struct {
	pool    []Candidate
	options Options
	facts   Facts
	now     time.Duration
	dice    Dice
	aim     time.Duration
	looked  []rated
	groups  [groups][]int // of places among those looked at
}

var placings = sync.Pool{New: func() any { return &placing{} }}

// place picks workers for a call, in the order in which to try them: of the own zone first unless
// that would make the call late, the likely quickest in front; then those without room, then
// those that fail.
//
// Packed, the calls of all proxies go to as few workers as have room for them: so each of these shows
// what it does under load, though there is less to do than the pool has room for.
func place(pool []Candidate, packed bool, aim time.Duration, options Options, facts Facts, now time.Duration, dice Dice) []Candidate {
	if len(pool) == 0 {
		return nil
	}
	p := placings.Get().(*placing)
	p.pool, p.options, p.facts, p.now, p.dice, p.aim = pool, options, facts, now, dice, aim
	defer func() {
		p.pool, p.facts, p.dice = nil, nil, nil
		placings.Put(p)
	}()
	if len(pool) <= lookedMost {
		p.look(0, len(pool), len(pool))
	} else {
		p.look(min(int(dice()*float64(len(pool))), len(pool)-1), nearLooked, farLooked)
		// Where nobody of those is any good, all are looked at.
		if len(p.groups[near])+len(p.groups[far]) == 0 && len(p.looked) < len(pool) {
			p.look(0, len(pool), len(pool))
		}
	}
	if len(p.groups[near]) > 0 && len(p.groups[far]) > 0 && p.spills() {
		p.groups[near], p.groups[far] = p.groups[far], p.groups[near]
	}
	chosen := make([]Candidate, 0, min(len(p.looked), candidatesMost))
	if packed {
		if first := p.takeFirstWithRoom(); first >= 0 {
			chosen = append(chosen, pool[first])
		}
	}
	for _, group := range p.groups {
		for len(group) > 0 && len(chosen) < candidatesMost {
			best := p.draw(group)
			chosen = append(chosen, pool[p.looked[group[best]].at])
			group[best] = group[len(group)-1]
			group = group[:len(group)-1]
		}
	}
	return chosen
}

// takeFirstWithRoom takes, of the workers that tell their slots and have room by the bound for
// packing, the first by name, so that all proxies take the same; it gives its place in the pool, -1 for
// none.
func (p *placing) takeFirstWithRoom() int {
	best, from, place := -1, 0, 0
	for _, group := range []int{near, far} {
		for i, looked := range p.groups[group] {
			one := &p.looked[looked]
			room := float64(one.seen.InFlight)+one.seen.Others+1 <= packUpTo*float64(one.seen.Slots)
			if room && (best < 0 || p.pool[one.at].Instance < p.pool[best].Instance) {
				best, from, place = one.at, group, i
			}
		}
	}
	if best >= 0 {
		group := p.groups[from]
		group[place] = group[len(group)-1]
		p.groups[from] = group[:len(group)-1]
	}
	return best
}

// look rates workers from a place in the pool on, at most so many near and far ones, and sorts
// them into groups.
func (p *placing) look(start, nearMost, farMost int) {
	p.looked = p.looked[:0]
	for i := range p.groups {
		p.groups[i] = p.groups[i][:0]
	}
	left := [2]int{near: nearMost, far: farMost}
	for i := range p.pool {
		at := start + i
		if at >= len(p.pool) {
			at -= len(p.pool)
		}
		group := far
		if p.pool[at].Area == p.options.Area {
			group = near
		}
		if left[group] > 0 {
			left[group]--
			p.looked = append(p.looked, rated{at: at, group: group, seen: p.facts.See(&p.pool[at], p.now)})
		}
		if left[near]+left[far] == 0 {
			break
		}
	}
	p.rate()
	calls, failures := 0.0, 0.0
	for i := range p.looked {
		calls, failures = calls+p.looked[i].seen.Calls, failures+p.looked[i].seen.Failures
	}
	for i := range p.looked {
		one := &p.looked[i]
		busy := one.seen.Full && p.tooFull(one)
		if busy {
			one.group = full
		}
		// Beyond the ratio nobody more is passed by: when all fail alike, none is the outlier.
		if len(p.groups[passed])+len(p.groups[doubtful]) < len(p.looked)/ejectedMost {
			switch lost, fails := p.fails(&one.seen, calls-one.seen.Calls, failures-one.seen.Failures); {
			case lost:
				one.group = passed
			case fails && !busy:
				one.group = doubtful
			}
		}
		p.groups[one.group] = append(p.groups[one.group], i)
	}
}

// fails tells whether a worker is lost for now, or else whether it is passed by this time for failing
// more than the others do. As what was seen of it fades, it gets its calls back by and by.
func (p *placing) fails(seen *Seen, calls, failures float64) (lost, fails bool) {
	others := failures / (calls + failBefore)
	switch {
	case seen.Unreached, seen.Ejected && others < failAlike:
		return true, false
	case seen.Failures == 0:
		return false, false
	}
	part := seen.Failures / (seen.Calls + failBefore)
	more := part - others
	// Few calls have to fail by much to be believed; of many, what is beyond doubt is enough.
	sure := more - failDoubts*math.Sqrt(part*(1-part)/(seen.Calls+failBefore))
	chance := max((more-failFrom)/(failUpTo-failFrom), sure/failFrom)
	return false, chance > 0 && (chance >= 1 || p.dice() < chance)
}

// tooFull tells whether a worker that had no room for a call a moment ago has likely none for this
// one: what one route's aim does not allow, another's may.
func (p *placing) tooFull(one *rated) bool {
	return one.seen.Slots == 0 || p.aim <= 0 || one.wait+fullTimes*float64(one.seen.Pace) > float64(p.aim)
}

// rate says of each worker looked at how long one more call would take there.
func (p *placing) rate() {
	sum, known := 0.0, 0.0
	for i := range p.looked {
		if seen := &p.looked[i].seen; seen.Pace > 0 && seen.Slots > 0 {
			sum, known = sum+float64(seen.Pace), known+1
		}
	}
	usual := 1.0
	if known > 0 {
		usual = sum / known
	}
	for i := range p.looked {
		one, worker := &p.looked[i], &p.pool[p.looked[i].at]
		calls := float64(one.seen.InFlight) + one.seen.Others + 1
		if one.seen.Slots == 0 {
			warm := 1.0
			if age := p.now - worker.Since; p.options.Warmup > 0 && age < p.options.Warmup {
				warm = max(warmFloor, float64(age)/float64(p.options.Warmup))
			}
			one.time = usual * calls * (1 + worker.Load) / warm
			continue
		}
		pace := float64(one.seen.Pace)
		if pace == 0 {
			pace = usual
			if p.now < worker.Warm {
				pace *= warmTimes
			}
		}
		busy := calls / float64(one.seen.Slots)
		one.wait = pace * max(0, busy-1)
		one.time = pace*(1+crowding*min(1, busy*busy)) + one.wait
	}
}

// spills tells whether another zone is tried first this time. The more the wait here would make
// calls late, the more of them go: by chance, so that proxies don't change over all at once.
func (p *placing) spills() bool {
	best, blind := &p.looked[p.groups[near][0]], false
	for _, i := range p.groups[near] {
		one := &p.looked[i]
		blind = blind || one.seen.Slots == 0
		if one.time < best.time {
			best = one
		}
	}
	away := &p.looked[p.groups[far][p.draw(p.groups[far])]]
	if blind {
		// Where it is known at least how long calls take, and that is soon enough, they stay.
		soon := p.aim > 0 && best.seen.Pace > 0 && best.seen.Pace < p.aim/spillSoon
		return !soon && best.time > spillBlind*away.time
	}
	if best.wait == 0 || away.time > spillGain*best.time {
		return false
	}
	work := best.time - best.wait
	spare := max(float64(p.aim)-work, work)
	part := best.wait / spare
	return part > spillFrom && p.dice() < (part-spillFrom)/(spillUpTo-spillFrom)
}

// draw picks the better of two of a group, drawn at random.
func (p *placing) draw(group []int) int {
	if len(group) == 1 {
		return 0
	}
	first := min(int(p.dice()*float64(len(group))), len(group)-1)
	second := min(int(p.dice()*float64(len(group)-1)), len(group)-2)
	if second >= first {
		second++
	}
	if p.looked[group[second]].time < p.looked[group[first]].time {
		return second
	}
	return first
}

// rendezvous orders a pool by a key, so that a repeat reaches the worker that had it first. Who
// is not reached comes last: each key would else pay for the same loss anew from the budget.
func rendezvous(pool []Candidate, key string, unreached func(*Candidate) bool) []Candidate {
	ordered := append([]Candidate(nil), pool...)
	weight := func(one Candidate) uint64 {
		hash := fnv.New64a()
		hash.Write([]byte(key + "\x00" + one.Instance))
		// A final mix, because FNV alone lets the last bytes decide too little.
		sum := hash.Sum64()
		sum ^= sum >> 33
		sum *= 0xff51afd7ed558ccd
		return sum ^ sum>>33
	}
	sort.Slice(ordered, func(i, j int) bool {
		if a, b := unreached(&ordered[i]), unreached(&ordered[j]); a != b {
			return b
		}
		return weight(ordered[i]) > weight(ordered[j])
	})
	return ordered
}
