package plan

import (
	"sync"
	"time"
)

// Ratios of placing.
const (
	maxEjectedDivisor = 2   // at most 1/maxEjectedDivisor of a pool may be ejected
	slowStartFloor    = 0.1 // share a worker starts with, where it does not tell how long it is slow
	slowStartFactor   = 2.0 // how much longer a worker takes that is slow after its start
	lastSlotSlowdown  = 0.1 // how much longer it takes with its last slot than with its first

	// Another zone is as good as the own one but for the bytes between. It is used in so far as the
	// wait in the own one eats up what the aim leaves beside the work: from the first part on more
	// and more, from the second always. In between, zones settle where one is as short as they are.
	spillStart             = 0.15
	spillAlways            = 0.4
	spillMaxTimeRatio      = 0.8 // and only to where a call takes less than this part of the time
	spillUnknownSlotsRatio = 3.0 // where slots are not known: only from this many times the load
	spillTargetDivisor     = 2   // and only where calls take longer than this part of the aim

	// A worker is passed by in so far as it fails more than the others do: from the first part of
	// its calls on more and more, from the second always.
	excessFailureStart    = 0.15
	excessFailureAlways   = 0.5
	commonFailureRate     = 0.25 // where the others fail in this part of their calls, a row of failures says nothing
	assumedSuccesses      = 4.0  // calls that it is taken to have served well before any was seen
	failureStandardErrors = 2.0  // and it is given the benefit of so many standard errors of what was seen

	maxPackedUtilization = 0.8 // of its slots that a worker is given where calls are packed

	fullServiceTimes = 2.0 // a worker that was full is for calls that have this many times its pace left beside the wait

	maxCandidates     = 8 // a plan has no more; who is through with them makes another
	sameZoneSampled   = 6 // of a larger pool only so many are looked at
	otherZonesSampled = 4
)

// ratedEndpoint is a worker of a pool that was looked at.
type ratedEndpoint struct {
	poolIndex    int
	expectedTime float64 // that one more call is expected to take, in nanoseconds, or in calls where nothing is known
	expectedWait float64 // of that, before the worker begins on it
	group        int
	stats        EndpointStats
}

// The groups of workers, in the order in which they are tried.
const (
	sameZone = iota // of the own zone
	otherZones
	suspect    // that fail more than others: who has room may still answer well
	atCapacity // without room
	unusable   // that are not reached, or fail all there is
	groupCount
)

// maxSampled is how many workers are looked at, of a larger pool.
const maxSampled = sameZoneSampled + otherZonesSampled

// picker is one choice among a pool. It is used over and over, for its space.
type picker struct {
	pool          []Endpoint
	options       Options
	local         LocalState
	now           time.Duration
	random        Random
	latencyTarget time.Duration
	sampled       []ratedEndpoint
	groups        [groupCount][]int // of places among those looked at
}

var pickers = sync.Pool{New: func() any { return &picker{} }}

// pickEndpoints picks workers for a call, in the order in which to try them: of the own zone first unless
// that would make the call late, the likely quickest in front; then those without room, then
// those that fail.
//
// Packed, the calls of all proxies go to as few workers as have room for them: so each of these shows
// what it does under load, though there is less to do than the pool has room for.
func pickEndpoints(pool []Endpoint, packed bool, latencyTarget time.Duration, options Options, local LocalState, now time.Duration, random Random) []Endpoint {
	if len(pool) == 0 {
		return nil
	}
	p := pickers.Get().(*picker)
	p.pool, p.options, p.local, p.now, p.random, p.latencyTarget = pool, options, local, now, random, latencyTarget
	defer func() {
		p.pool, p.local, p.random = nil, nil, nil
		pickers.Put(p)
	}()
	if len(pool) <= maxSampled {
		p.sample(0, len(pool), len(pool))
	} else {
		p.sample(min(int(random()*float64(len(pool))), len(pool)-1), sameZoneSampled, otherZonesSampled)
		// Where nobody of those is any good, all are looked at.
		if len(p.groups[sameZone])+len(p.groups[otherZones]) == 0 && len(p.sampled) < len(pool) {
			p.sample(0, len(pool), len(pool))
		}
	}
	if len(p.groups[sameZone]) > 0 && len(p.groups[otherZones]) > 0 && p.shouldSpill() {
		p.groups[sameZone], p.groups[otherZones] = p.groups[otherZones], p.groups[sameZone]
	}
	chosen := make([]Endpoint, 0, min(len(p.sampled), maxCandidates))
	if packed {
		if first := p.takeFirstWithCapacity(); first >= 0 {
			chosen = append(chosen, pool[first])
		}
	}
	for _, group := range p.groups {
		for len(group) > 0 && len(chosen) < maxCandidates {
			best := p.pickOfTwo(group)
			chosen = append(chosen, pool[p.sampled[group[best]].poolIndex])
			group[best] = group[len(group)-1]
			group = group[:len(group)-1]
		}
	}
	return chosen
}

// takeFirstWithCapacity takes, of the workers that tell their slots and have room by the bound for
// packing, the first by name, so that all proxies take the same; it gives its place in the pool, -1 for
// none.
func (p *picker) takeFirstWithCapacity() int {
	best, fromGroup, position := -1, 0, 0
	for _, group := range []int{sameZone, otherZones} {
		for i, sampleIndex := range p.groups[group] {
			rated := &p.sampled[sampleIndex]
			hasCapacity := float64(rated.stats.InFlight)+rated.stats.OtherInFlight+1 <= maxPackedUtilization*float64(rated.stats.Slots)
			if hasCapacity && (best < 0 || p.pool[rated.poolIndex].Instance < p.pool[best].Instance) {
				best, fromGroup, position = rated.poolIndex, group, i
			}
		}
	}
	if best >= 0 {
		group := p.groups[fromGroup]
		group[position] = group[len(group)-1]
		p.groups[fromGroup] = group[:len(group)-1]
	}
	return best
}

// sample rates workers from a place in the pool on, at most so many near and far ones, and sorts
// them into groups.
func (p *picker) sample(start, sameZoneLimit, otherZonesLimit int) {
	p.sampled = p.sampled[:0]
	for i := range p.groups {
		p.groups[i] = p.groups[i][:0]
	}
	remaining := [2]int{sameZone: sameZoneLimit, otherZones: otherZonesLimit}
	for i := range p.pool {
		poolIndex := start + i
		if poolIndex >= len(p.pool) {
			poolIndex -= len(p.pool)
		}
		group := otherZones
		if p.pool[poolIndex].Zone == p.options.Zone {
			group = sameZone
		}
		if remaining[group] > 0 {
			remaining[group]--
			p.sampled = append(p.sampled, ratedEndpoint{poolIndex: poolIndex, group: group, stats: p.local.Stats(&p.pool[poolIndex], p.now)})
		}
		if remaining[sameZone]+remaining[otherZones] == 0 {
			break
		}
	}
	p.estimateTimes()
	calls, failures := 0.0, 0.0
	for i := range p.sampled {
		calls, failures = calls+p.sampled[i].stats.RecentCalls, failures+p.sampled[i].stats.RecentFailures
	}
	for i := range p.sampled {
		rated := &p.sampled[i]
		lacksCapacity := rated.stats.Full && p.likelyFull(rated)
		if lacksCapacity {
			rated.group = atCapacity
		}
		// Beyond the ratio nobody more is passed by: when all fail alike, none is the outlier.
		if len(p.groups[unusable])+len(p.groups[suspect]) < len(p.sampled)/maxEjectedDivisor {
			switch ejected, avoid := p.assessFailures(&rated.stats, calls-rated.stats.RecentCalls, failures-rated.stats.RecentFailures); {
			case ejected:
				rated.group = unusable
			case avoid && !lacksCapacity:
				rated.group = suspect
			}
		}
		p.groups[rated.group] = append(p.groups[rated.group], i)
	}
}

// estimateTimes says of each worker looked at how long one more call would take there.
func (p *picker) estimateTimes() {
	sum, measured := 0.0, 0.0
	for i := range p.sampled {
		if stats := &p.sampled[i].stats; stats.ServiceTime > 0 && stats.Slots > 0 {
			sum, measured = sum+float64(stats.ServiceTime), measured+1
		}
	}
	baseline := 1.0
	if measured > 0 {
		baseline = sum / measured
	}
	for i := range p.sampled {
		rated, endpoint := &p.sampled[i], &p.pool[p.sampled[i].poolIndex]
		calls := float64(rated.stats.InFlight) + rated.stats.OtherInFlight + 1
		if rated.stats.Slots == 0 {
			slowStartFraction := 1.0
			if age := p.now - endpoint.FirstSeenAt; p.options.Warmup > 0 && age < p.options.Warmup {
				slowStartFraction = max(slowStartFloor, float64(age)/float64(p.options.Warmup))
			}
			rated.expectedTime = baseline * calls * (1 + endpoint.Load) / slowStartFraction
			continue
		}
		serviceTime := float64(rated.stats.ServiceTime)
		if serviceTime == 0 {
			serviceTime = baseline
			if p.now < endpoint.WarmUntil {
				serviceTime *= slowStartFactor
			}
		}
		utilization := calls / float64(rated.stats.Slots)
		rated.expectedWait = serviceTime * max(0, utilization-1)
		rated.expectedTime = serviceTime*(1+lastSlotSlowdown*min(1, utilization*utilization)) + rated.expectedWait
	}
}

// shouldSpill tells whether another zone is tried first this time. The more the wait here would make
// calls late, the more of them go: by chance, so that proxies don't change over all at once.
func (p *picker) shouldSpill() bool {
	best, slotsUnknown := &p.sampled[p.groups[sameZone][0]], false
	for _, i := range p.groups[sameZone] {
		rated := &p.sampled[i]
		slotsUnknown = slotsUnknown || rated.stats.Slots == 0
		if rated.expectedTime < best.expectedTime {
			best = rated
		}
	}
	remote := &p.sampled[p.groups[otherZones][p.pickOfTwo(p.groups[otherZones])]]
	if slotsUnknown {
		// Where it is known at least how long calls take, and that is soon enough, they stay.
		fastEnough := p.latencyTarget > 0 && best.stats.ServiceTime > 0 && best.stats.ServiceTime < p.latencyTarget/spillTargetDivisor
		return !fastEnough && best.expectedTime > spillUnknownSlotsRatio*remote.expectedTime
	}
	if best.expectedWait == 0 || remote.expectedTime > spillMaxTimeRatio*best.expectedTime {
		return false
	}
	serviceTime := best.expectedTime - best.expectedWait
	slack := max(float64(p.latencyTarget)-serviceTime, serviceTime)
	waitFraction := best.expectedWait / slack
	return waitFraction > spillStart && p.random() < (waitFraction-spillStart)/(spillAlways-spillStart)
}

// pickOfTwo picks the better of two of a group, drawn at random.
func (p *picker) pickOfTwo(group []int) int {
	if len(group) == 1 {
		return 0
	}
	first := min(int(p.random()*float64(len(group))), len(group)-1)
	second := min(int(p.random()*float64(len(group)-1)), len(group)-2)
	if second >= first {
		second++
	}
	if p.sampled[group[second]].expectedTime < p.sampled[group[first]].expectedTime {
		return second
	}
	return first
}
