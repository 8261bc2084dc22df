package plan

import (
	"sync"
	"time"
)

// Ratios of picking endpoints.
const (
	maxEjectedDivisor = 2   // at most 1/maxEjectedDivisor of a pool may be ejected
	slowStartFloor    = 0.1 // part of the calls that a worker begins with, where it does not report its slow start
	slowStartFactor   = 2.0 // how many times longer a worker takes in the slow start that it reports
	lastSlotSlowdown  = 0.1 // how much longer a worker takes with its last slot in use than with its first

	// Calls spill to other zones in so far as the wait in the own zone uses up what the latency target leaves besides
	// the service time: increasingly from spillStart of it, and always from spillAlways. In between, the zones
	// settle where the wait in both is alike.
	spillStart             = 0.15
	spillAlways            = 0.4
	spillMaxTimeRatio      = 0.8 // and only to where a call takes less than this part of the time
	spillUnknownSlotsRatio = 3.0 // where slots are not known: only from this many times the load
	spillTargetDivisor     = 2   // and only where calls take longer than this part of the latency target

	// A worker is avoided in so far as it fails more than the others: increasingly from excessFailureStart of its
	// calls, and always from excessFailureAlways.
	excessFailureStart    = 0.15
	excessFailureAlways   = 0.5
	commonFailureRate     = 0.25 // where the others fail in this part of their calls, consecutive failures mean nothing
	assumedSuccesses      = 4.0  // calls that a worker is assumed to have served before any was seen
	failureStandardErrors = 2.0  // excess that is explained by chance, in standard errors

	maxPackedUtilization = 0.8 // of the slots of a worker that gets the calls where they are packed

	fullServiceTimes = 2.0 // a worker that was full gets calls that have this many service times left besides the wait

	maxCandidates     = 8 // of one plan; a call that has tried all of them gets another plan
	sameZoneSampled   = 6 // workers of a larger pool that are rated
	otherZonesSampled = 4
)

// ratedEndpoint is a worker of the sample with what a call is expected to take there.
type ratedEndpoint struct {
	poolIndex    int
	expectedTime float64 // nanoseconds that one more call takes; where no service time is known, calls
	expectedWait float64 // the part of expectedTime before the worker begins with the call
	group        int
	stats        EndpointStats
}

// The groups of workers, in the order in which they are tried.
const (
	sameZone   = iota // in this proxy's zone
	otherZones        // in other zones
	suspect           // fail more than others; those with capacity may still answer well
	atCapacity        // without capacity
	unusable          // not reached, or fail all calls
	groupCount
)

// maxSampled is the size of the sample of a larger pool.
const maxSampled = sameZoneSampled + otherZonesSampled

// picker is one pick of endpoints from a pool. Pickers are reused for their memory; one is used by one goroutine at a time.
type picker struct {
	pool          []Endpoint
	options       Options
	local         LocalState
	now           time.Duration
	random        Random
	latencyTarget time.Duration
	sampled       []ratedEndpoint
	groups        [groupCount][]int // indexes into sampled
}

// pickerPool has the pickers that are not in use.
var pickerPool = sync.Pool{New: func() any { return &picker{} }}

// pickEndpoints picks workers for a call, in the order in which to try them: first those of this zone, unless that would
// make the call late, with the one that is likely the fastest in front; then those without capacity, then those
// that fail.
//
// If packed is set, the calls of all proxies go to as few workers as have capacity for them. So each of these shows
// how it performs under load, though there are fewer calls than the pool has capacity for.
func pickEndpoints(
	pool []Endpoint, packed bool, latencyTarget time.Duration, options Options, local LocalState, now time.Duration, random Random,
) []Endpoint {
	if len(pool) == 0 {
		return nil
	}
	p := pickerPool.Get().(*picker)
	p.pool, p.options, p.latencyTarget = pool, options, latencyTarget
	p.local, p.now, p.random = local, now, random
	defer func() {
		p.pool, p.local, p.random = nil, nil, nil
		pickerPool.Put(p)
	}()
	p.rate()
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

// rate rates the whole pool if it is small, and else a random sample of it.
func (p *picker) rate() {
	poolSize := len(p.pool)
	if poolSize <= maxSampled {
		p.rateSample(0, poolSize, poolSize)
		return
	}
	start := min(int(p.random()*float64(poolSize)), poolSize-1)
	p.rateSample(start, sameZoneSampled, otherZonesSampled)
	// Where no worker of the sample is good, all are rated.
	if len(p.groups[sameZone])+len(p.groups[otherZones]) == 0 && len(p.sampled) < poolSize {
		p.rateSample(0, poolSize, poolSize)
	}
}

// takeFirstWithCapacity removes from the groups the first worker by name that reports its slots and has capacity within
// the bound for packing; by name, so that all proxies take the same one. It returns the worker's index in the pool,
// -1 for none.
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

// rateSample samples at most so many workers of this zone and of others, from an index of the pool on, and sorts them
// into groups.
func (p *picker) rateSample(start, sameZoneLimit, otherZonesLimit int) {
	p.drawSample(start, sameZoneLimit, otherZonesLimit)
	p.estimateTimes()
	p.groupSample()
}

// drawSample takes workers in the order of the pool, from an index on and around, until both limits are reached.
func (p *picker) drawSample(start, sameZoneLimit, otherZonesLimit int) {
	p.sampled = p.sampled[:0]
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
			stats := p.local.Stats(&p.pool[poolIndex], p.now)
			p.sampled = append(p.sampled, ratedEndpoint{poolIndex: poolIndex, group: group, stats: stats})
		}
		if remaining[sameZone]+remaining[otherZones] == 0 {
			break
		}
	}
}

// groupSample sorts the sample into groups: its workers begin in the group of their zone, and are moved to another if
// they lack capacity or fail.
func (p *picker) groupSample() {
	for i := range p.groups {
		p.groups[i] = p.groups[i][:0]
	}
	calls, failures := 0.0, 0.0
	for i := range p.sampled {
		calls += p.sampled[i].stats.RecentCalls
		failures += p.sampled[i].stats.RecentFailures
	}
	for i := range p.sampled {
		rated := &p.sampled[i]
		lacksCapacity := rated.stats.Full && p.likelyFull(rated)
		if lacksCapacity {
			rated.group = atCapacity
		}
		// Beyond this part of the sample no more workers are avoided: when all fail alike, none is the outlier.
		if len(p.groups[unusable])+len(p.groups[suspect]) < len(p.sampled)/maxEjectedDivisor {
			othersCalls, othersFailures := calls-rated.stats.RecentCalls, failures-rated.stats.RecentFailures
			switch ejected, avoid := p.assessFailures(&rated.stats, othersCalls, othersFailures); {
			case ejected:
				rated.group = unusable
			case avoid && !lacksCapacity:
				rated.group = suspect
			}
		}
		p.groups[rated.group] = append(p.groups[rated.group], i)
	}
}

// estimateTimes estimates how long one more call would take at each worker of the sample.
func (p *picker) estimateTimes() {
	baseline := p.meanServiceTime()
	for i := range p.sampled {
		rated := &p.sampled[i]
		endpoint := &p.pool[rated.poolIndex]
		calls := float64(rated.stats.InFlight) + rated.stats.OtherInFlight + 1
		if rated.stats.Slots == 0 {
			rated.expectedTime = baseline * calls * (1 + endpoint.Load) / p.slowStartFraction(endpoint)
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

// meanServiceTime returns the mean service time of the sample, in nanoseconds, or 1 where none is known.
func (p *picker) meanServiceTime() float64 {
	sum, measured := 0.0, 0.0
	for i := range p.sampled {
		if stats := &p.sampled[i].stats; stats.ServiceTime > 0 && stats.Slots > 0 {
			sum += float64(stats.ServiceTime)
			measured++
		}
	}
	if measured == 0 {
		return 1
	}
	return sum / measured
}

// slowStartFraction returns the part of its calls that a worker gets in its slow start, 1 once that is over.
func (p *picker) slowStartFraction(endpoint *Endpoint) float64 {
	age := p.now - endpoint.FirstSeenAt
	if p.options.Warmup <= 0 || age >= p.options.Warmup {
		return 1
	}
	return max(slowStartFloor, float64(age)/float64(p.options.Warmup))
}

// shouldSpill reports whether another zone is tried first this time. The more the wait in this zone would make calls
// late, the more of them spill; at random, so that proxies do not switch all at once.
func (p *picker) shouldSpill() bool {
	best := &p.sampled[p.groups[sameZone][0]]
	slotsUnknown := false
	for _, i := range p.groups[sameZone] {
		rated := &p.sampled[i]
		slotsUnknown = slotsUnknown || rated.stats.Slots == 0
		if rated.expectedTime < best.expectedTime {
			best = rated
		}
	}
	remote := &p.sampled[p.groups[otherZones][p.pickOfTwo(p.groups[otherZones])]]
	if slotsUnknown {
		// Where at least the service time is known, and is short enough, calls stay.
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

// pickOfTwo draws two workers of a group at random and returns the index, in the group, of the one with the shorter
// expected time.
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
