package plan

import (
	"sync"
	"time"
)

// Load balancing parameters.
const (
	maxEjectedDivisor = 2   // the workers ejected or avoided are at most the sample size divided by this
	slowStartFloor    = 0.1 // fraction of its full share of calls at which a worker starts, if its slots are unknown
	lastSlotSlowdown  = 0.1 // relative increase of the service time from the first to the last slot in use
	// slowStartFactor is the multiple of the sample's mean service time that is expected of a worker in the slow start
	// that it reports, while its own service time is unknown.
	slowStartFactor = 2.0

	// Zone spillover. The slack is the time that the latency target leaves besides the service time, and at least one
	// service time. Calls spill to other zones with a probability that rises with the fraction of the slack that the
	// wait in the own zone takes. The probability is 0 up to spillStart and 1 from spillAlways. In between, the zones
	// settle at a load where both have a similar wait.
	spillStart  = 0.15
	spillAlways = 0.4
	// spillMaxTimeRatio is the largest ratio of the expected time in the other zone to that in the own zone.
	spillMaxTimeRatio = 0.8
	// spillUnknownSlotsRatio is the ratio of the expected time in the own zone to that in the other zone above which
	// calls spill if slots are unknown.
	spillUnknownSlotsRatio = 3.0
	// spillTargetDivisor applies if slots are unknown. Calls do not spill if the service time is known and shorter than
	// the latency target divided by this constant.
	spillTargetDivisor = 2

	// Outlier avoidance. Failure rates are fractions of a worker's recent calls. A worker is avoided with a probability
	// that rises with the excess of its failure rate over the rate of the others, from 0 at excessFailureStart to 1 at
	// excessFailureAlways. The part of the excess beyond failureStandardErrors is significant. By that part alone, the
	// probability rises from 0 at no significant excess to 1 at excessFailureStart. The higher probability applies.
	excessFailureStart    = 0.15
	excessFailureAlways   = 0.5
	commonFailureRate     = 0.25 // failure rate of the others from which consecutive failures do not eject a worker
	assumedSuccesses      = 4.0  // successful calls that each worker is assumed to have served before the first one seen
	failureStandardErrors = 2.0  // standard errors of the excess that are attributed to chance

	maxPackedUtilization = 0.8 // largest fraction of a worker's slots that packed calls may occupy

	// fullServiceTimes is the number of service times that the latency target of a call must leave besides the expected
	// wait at a worker that recently had no capacity. If it leaves less, the worker is taken to be without capacity.
	fullServiceTimes = 2.0

	maxCandidates     = 8 // largest number of candidates of a plan; a call that has tried all of them gets another plan
	sameZoneSampled   = 6 // workers in the own zone that are sampled from a large pool
	otherZonesSampled = 4 // workers in other zones that are sampled from a large pool
)

// scoredEndpoint is a sampled worker with the expected time of a call.
type scoredEndpoint struct {
	poolIndex int // index in picker.pool
	// expectedTime is the expected time of one more call, in nanoseconds. If no service time is known in the sample, its
	// unit is a number of calls.
	expectedTime float64
	expectedWait float64 // part of expectedTime before the worker starts the call, in the same unit; 0 if slots are unknown
	group        int     // group of the worker, such as sameZone
	stats        EndpointStats
}

// The groups of workers, in the order in which they are tried.
const (
	sameZone   = iota // workers in this proxy's zone
	otherZones        // workers in other zones
	suspect           // workers with capacity that fail more than others; a call may still succeed there
	atCapacity        // workers without capacity
	unusable          // workers that are unreachable or ejected
	groupCount
)

// maxSampled is the number of workers sampled from a large pool. A pool of at most this size is scored as a whole.
const maxSampled = sameZoneSampled + otherZonesSampled

// picker holds the working state of one selection of endpoints from a pool. Pickers are reused to save allocations. One
// goroutine at a time uses a picker.
type picker struct {
	pool          []Endpoint // workers to select from; not modified
	options       Options
	local         LocalState
	now           time.Duration // time of the selection, on the clock of this process
	random        Random
	latencyTarget time.Duration     // latency target of the call, 0 for none
	sampled       []scoredEndpoint  // sampled workers
	groups        [groupCount][]int // indexes into sampled, by group
}

// pickerPool holds pickers that are not in use.
var pickerPool = sync.Pool{New: func() any { return &picker{} }}

// pickEndpoints returns up to maxCandidates workers for a call, in the order in which to try them. Workers of this zone
// come first, unless their wait would make the call late, then those of other zones. Within a group, the better of two
// workers drawn at random comes first. Workers that fail more than others follow, then those without capacity, then
// those that are unusable.
//
// If packed is set, all proxies send their calls to as few workers as have capacity for them. Each of these workers
// then shows how it performs under load, although there are fewer calls than the pool has capacity for.
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
	p.scorePool()
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

// scorePool scores the whole pool if it is small, and else a random sample of it.
func (p *picker) scorePool() {
	poolSize := len(p.pool)
	if poolSize <= maxSampled {
		p.scoreSample(0, poolSize, poolSize)
		return
	}
	start := min(int(p.random()*float64(poolSize)), poolSize-1)
	p.scoreSample(start, sameZoneSampled, otherZonesSampled)
	// If every sampled worker lacks capacity or fails, the whole pool is scored.
	if len(p.groups[sameZone])+len(p.groups[otherZones]) == 0 && len(p.sampled) < poolSize {
		p.scoreSample(0, poolSize, poolSize)
	}
}

// takeFirstWithCapacity removes one worker from the groups and returns its index in the pool, or -1 if there is none. It
// takes the first worker by instance id that reports its slots and stays within maxPackedUtilization. The order by id
// makes all proxies take the same worker.
func (p *picker) takeFirstWithCapacity() int {
	best, fromGroup, position := -1, 0, 0
	for _, group := range []int{sameZone, otherZones} {
		for i, sampleIndex := range p.groups[group] {
			scored := &p.sampled[sampleIndex]
			hasCapacity := float64(scored.stats.InFlight)+scored.stats.OtherInFlight+1 <= maxPackedUtilization*float64(scored.stats.Slots)
			if hasCapacity && (best < 0 || p.pool[scored.poolIndex].Instance < p.pool[best].Instance) {
				best, fromGroup, position = scored.poolIndex, group, i
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

// scoreSample samples workers of this zone and of others up to the given limits, starting at an index of the pool. It
// estimates their times and assigns them to groups.
func (p *picker) scoreSample(start, sameZoneLimit, otherZonesLimit int) {
	p.drawSample(start, sameZoneLimit, otherZonesLimit)
	p.estimateTimes()
	p.groupSample()
}

// drawSample takes workers in the order of the pool, starting at an index and wrapping around, until both limits are
// reached.
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
			p.sampled = append(p.sampled, scoredEndpoint{poolIndex: poolIndex, group: group, stats: stats})
		}
		if remaining[sameZone]+remaining[otherZones] == 0 {
			break
		}
	}
}

// groupSample assigns the sampled workers to groups. A worker is in the group of its zone unless it lacks capacity or
// fails.
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
		scored := &p.sampled[i]
		lacksCapacity := scored.stats.AtCapacity && p.likelyFull(scored)
		if lacksCapacity {
			scored.group = atCapacity
		}
		// Only a limited part of the sample is ejected or avoided, because no worker is an outlier when all fail alike.
		if len(p.groups[unusable])+len(p.groups[suspect]) < len(p.sampled)/maxEjectedDivisor {
			othersCalls, othersFailures := calls-scored.stats.RecentCalls, failures-scored.stats.RecentFailures
			switch ejected, avoid := p.assessFailures(&scored.stats, othersCalls, othersFailures); {
			case ejected:
				scored.group = unusable
			case avoid && !lacksCapacity:
				scored.group = suspect
			}
		}
		p.groups[scored.group] = append(p.groups[scored.group], i)
	}
}

// estimateTimes estimates the time and the wait of one more call at each sampled worker.
func (p *picker) estimateTimes() {
	baseline := p.meanServiceTime()
	for i := range p.sampled {
		scored := &p.sampled[i]
		endpoint := &p.pool[scored.poolIndex]
		calls := float64(scored.stats.InFlight) + scored.stats.OtherInFlight + 1
		if scored.stats.Slots == 0 {
			scored.expectedTime = baseline * calls * (1 + endpoint.Load) / p.slowStartFraction(endpoint)
			continue
		}
		serviceTime := float64(scored.stats.ServiceTime)
		if serviceTime == 0 {
			serviceTime = baseline
			if p.now < endpoint.WarmUntil {
				serviceTime *= slowStartFactor
			}
		}
		utilization := calls / float64(scored.stats.Slots)
		scored.expectedWait = serviceTime * max(0, utilization-1)
		scored.expectedTime = serviceTime*(1+lastSlotSlowdown*min(1, utilization*utilization)) + scored.expectedWait
	}
}

// meanServiceTime returns the mean service time of the sample, in nanoseconds, or 1 if none is known.
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

// slowStartFraction returns the fraction of its full share of calls that a worker gets during slow start, 1 after it.
func (p *picker) slowStartFraction(endpoint *Endpoint) float64 {
	age := p.now - endpoint.FirstSeenAt
	if p.options.Warmup <= 0 || age >= p.options.Warmup {
		return 1
	}
	return max(slowStartFloor, float64(age)/float64(p.options.Warmup))
}

// shouldSpill reports whether other zones are tried first for this call. The probability rises with the expected wait in
// this zone. The choice is random so that proxies do not all switch at once.
func (p *picker) shouldSpill() bool {
	best := &p.sampled[p.groups[sameZone][0]]
	slotsUnknown := false
	for _, i := range p.groups[sameZone] {
		scored := &p.sampled[i]
		slotsUnknown = slotsUnknown || scored.stats.Slots == 0
		if scored.expectedTime < best.expectedTime {
			best = scored
		}
	}
	remote := &p.sampled[p.groups[otherZones][p.pickOfTwo(p.groups[otherZones])]]
	if slotsUnknown {
		// If the service time is known and short enough, calls stay in this zone.
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

// pickOfTwo draws two different workers of a group at random and returns the index, in the group, of the one with the
// shorter expected time (power of two choices).
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
