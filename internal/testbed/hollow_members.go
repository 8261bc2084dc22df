package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"meadowhinge/internal/config"
	"meadowhinge/internal/daemon"
	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/flag"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/proxy"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// hollowMember is a place in the fleet, and the hollow proxy that holds it now.
type hollowMember struct {
	index    int
	settings *schema.ProxyOptions
	workers  []hollowWorker
	reach    []calledRoute

	lock         sync.Mutex
	proxy        *proxy.Hollow
	joined       time.Time
	recovered    bool                     // has a setup since it joined
	applied      []appliedConfig          // setups it took into use, in order
	reportedAt   map[uint64]time.Duration // when it made its own last news, by counter
	incarnation  uint64                   // the incarnation of which told is
	priorTraffic transport.Traffic        // of the lives before this one
}

// appliedConfig is a setup that came into use at a member.
type appliedConfig struct {
	revision uint64
	at       time.Duration
}

// hollowWorker is a worker that only beats, and the number of its service.
type hollowWorker struct {
	dispatch.WorkerDescription
	service int
}

// calledRoute is a route that a member's calls use.
type calledRoute struct {
	route, service, flag string
	versions             []string
}

// maxReportedTimes is of how many of a member's last news it is known when they were made.
const maxReportedTimes = 4096

// hollowFleet is all hollow members and what is measured at them.
type hollowFleet struct {
	opts    *schema.HollowOptions
	core    *Fleet
	members []*hollowMember
	frame   *daemon.Environment
	now     func() time.Duration
	rng     *rand.Rand

	byName        map[string]*hollowMember
	lock          sync.Mutex // of the histograms
	staleness     *hdrhistogram.Histogram
	workerUpdates *hdrhistogram.Histogram
	recoveries    *hdrhistogram.Histogram
	failovers     *hdrhistogram.Histogram
	restarts      int
	losses        int
	measuring     atomic.Bool
}

// Bounds of the histograms, in microseconds.
const (
	minLatencyMicros = 1
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	latencyDigits    = 3
)

func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
}

// recordLatency notes a time in a histogram.
func recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	_ = histogram.RecordValue(min(max(minLatencyMicros, int64(latency/time.Microsecond)), maxLatencyMicros))
}

// newHollowFleet lays out the members; none has joined yet.
func newHollowFleet(opts *schema.HollowOptions, core *Fleet, now func() time.Duration) (*hollowFleet, error) {
	f := &hollowFleet{opts: opts, core: core, now: now, rng: rand.New(rand.NewPCG(uint64(opts.Seed), 2)),
		frame: &daemon.Environment{Log: logr.Discard(), Draining: &atomic.Bool{}}, staleness: newLatencyHistogram(), workerUpdates: newLatencyHistogram(), recoveries: newLatencyHistogram(), failovers: newLatencyHistogram(), byName: map[string]*hollowMember{}}
	for i := range int(opts.Members) {
		settings, err := core.hollowSettings(opts, i)
		if err != nil {
			return nil, err
		}
		member := &hollowMember{index: i, settings: settings, reportedAt: map[uint64]time.Duration{}}
		for j := range int(opts.Reach) {
			member.reach = append(member.reach, routeCalledBy(opts, i, j))
		}
		f.members = append(f.members, member)
		f.byName[settings.Name] = member
	}
	workers := int(opts.Workers)
	if workers == 0 {
		workers = len(f.members)
	}
	for i := range workers {
		member := f.members[i%len(f.members)]
		version := versionOld
		if i/int(opts.Services)%2 == 1 {
			version = versionNew
		}
		member.workers = append(member.workers, hollowWorker{dispatch.WorkerDescription{Address: fmt.Sprintf("127.%d.250.2:%d", core.netOctet, 1+i), Service: serviceName(i % int(opts.Services)),
			Version: version, Zone: member.settings.Area, Token: fmt.Sprintf("token-%d", i), HeartbeatMS: time.Duration(opts.Beat).Milliseconds()}, i % int(opts.Services)})
	}
	return f, nil
}

// serviceName and routeName name what a hollow setup holds.
func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }
func routeName(i int) string   { return fmt.Sprintf("route-%d", i) }

// routeCalledBy spreads what members' calls use over the routes.
func routeCalledBy(opts *schema.HollowOptions, member, j int) calledRoute {
	route := (member*int(opts.Reach) + j) % int(opts.Routes)
	service := serviceName(route % int(opts.Services))
	called := calledRoute{route: routeName(route), service: service, flag: config.VersionFlagKey(service), versions: []string{versionOld}}
	if route%int(opts.Services) < int(opts.Releases) {
		called.versions = append(called.versions, versionNew)
	}
	return called
}

// join lets a member join the mesh.
func (f *hollowFleet) join(m *hollowMember) error {
	m.lock.Lock()
	m.joined, m.recovered, m.reportedAt = time.Now(), false, map[uint64]time.Duration{}
	m.lock.Unlock()
	joined, err := proxy.JoinHollow(f.frame, m.settings, func(seen proxy.Seen) { f.observe(m, seen) })
	if err != nil {
		return err
	}
	m.lock.Lock()
	m.proxy = joined
	m.lock.Unlock()
	return f.heartbeat(m)
}

// observe notes what came into a member's picture.
func (f *hollowFleet) observe(m *hollowMember, seen proxy.Seen) {
	now := f.now()
	m.lock.Lock()
	for _, source := range seen.Sources {
		if source.Name == m.settings.Name {
			m.incarnation = source.Version.GetIncarnation()
			m.reportedAt[source.Version.GetCounter()] = now
			delete(m.reportedAt, source.Version.GetCounter()-maxReportedTimes)
		}
	}
	recovered := m.recovered || seen.ConfigRevision == 0
	if seen.ConfigRevision > 0 {
		m.applied, m.recovered = append(m.applied, appliedConfig{seen.ConfigRevision, now}), true
	}
	joined := m.joined
	m.lock.Unlock()
	if !f.measuring.Load() {
		return
	}
	if !recovered {
		f.recordLatency(f.recoveries, time.Since(joined))
	}
	for _, source := range seen.Sources {
		// What a restarted member is told at first is no news.
		if source.Name != m.settings.Name && time.Since(joined) > f.core.lease {
			if updated, found := f.byName[source.Name].updatedAt(source.Version); found {
				f.recordLatency(f.workerUpdates, now-updated)
			}
		}
	}
}

// updatedAt is when a member told what bears a stamp.
func (m *hollowMember) updatedAt(stamp *schema.SourceVersion) (time.Duration, bool) {
	if m == nil {
		return 0, false
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	updated, found := m.reportedAt[stamp.GetCounter()]
	return updated, found && m.incarnation == stamp.GetIncarnation()
}

// recordLatency records a time in one of the fleet's histograms.
func (f *hollowFleet) recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	f.lock.Lock()
	defer f.lock.Unlock()
	recordLatency(histogram, latency)
}

// heartbeat lets a member's workers describe themselves.
func (f *hollowFleet) heartbeat(m *hollowMember) error {
	for _, worker := range m.workers {
		description := worker.WorkerDescription
		description.Load = rand.Float64()
		if err := m.current().Heartbeat(description); err != nil {
			return err
		}
	}
	return nil
}

// current is the proxy that holds a member's place now.
func (m *hollowMember) current() *proxy.Hollow {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.proxy
}

// heartbeatSteps is in how many turns of one beat the members' workers are heard.
const heartbeatSteps = 50

// heartbeatLoop lets all workers beat until stop closes, and counts what calls would.
func (f *hollowFleet) heartbeatLoop(stop <-chan struct{}) {
	ticker := time.NewTicker(time.Duration(f.opts.Beat) / heartbeatSteps)
	defer ticker.Stop()
	for step := 0; ; step++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for i := step % heartbeatSteps; i < len(f.members); i += heartbeatSteps {
			m := f.members[i]
			_ = f.heartbeat(m)
			proxyNow := m.current()
			f.simulateWork(m)
			for _, called := range m.reach {
				for _, version := range called.versions {
					proxyNow.Count(&dispatch.CallResult{Plan: &plan.Plan{Route: &config.Route{Name: called.route}, Service: called.service,
						Verdict: plan.Verdict{Flag: called.flag, Version: version, Reason: flag.ReasonFallthrough, ConfigRevision: proxyNow.ConfigRevision()}},
						Response: &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200}}, time.Millisecond)
				}
			}
		}
	}
}

// How a hollow worker's calls look: so many with each beat, of about so long.
const (
	callsPerHeartbeat = 4
	minWork           = 20 * time.Millisecond
	workSpread        = 8
)

// simulateWork lets a member's workers answer a few calls, each of one of its service's routes.
func (f *hollowFleet) simulateWork(m *hollowMember) {
	for _, worker := range m.workers {
		for j := range int(f.opts.Reach) {
			route := worker.service + j*int(f.opts.Services)
			if route >= int(f.opts.Routes) {
				break
			}
			for range callsPerHeartbeat {
				m.current().Work(worker.Service, worker.Version, routeName(route), time.Duration(float64(minWork)*(1+workSpread*rand.Float64())))
			}
		}
	}
}

// restartLoop kills members and brings them back until stop closes.
func (f *hollowFleet) restartLoop(stop <-chan struct{}) {
	if f.opts.Restarts == 0 {
		return
	}
	ticker := time.NewTicker(time.Duration(float64(time.Minute) / f.opts.Restarts))
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		m := f.members[f.rng.IntN(len(f.members))]
		m.current().End()
		if f.rejoin(m) == nil {
			f.restarts++
		}
	}
}

// rejoin brings a member back that was ended.
func (f *hollowFleet) rejoin(m *hollowMember) error {
	ended := m.current()
	m.lock.Lock()
	m.priorTraffic = sumTraffic(m.priorTraffic, ended.Traffic())
	m.lock.Unlock()
	return f.join(m)
}

// Bounds of losses.
const (
	leasesPerLoss     = 2 // each takes so many: it is away for the first, and settles in the second
	minMembersForLoss = 3 // a core has at least, of which one can be away
	failoverPoll      = 10 * time.Millisecond
)

// lossLoop kills core machines, then zones, one after the other and each for a lease, until all
// that the settings ask for were, or stop closes.
func (f *hollowFleet) lossLoop(stop <-chan struct{}) {
	for i := range int(f.opts.CoresLost + f.opts.ZonesLost) {
		zone, member := "", i%int(f.opts.Seats)
		if zoneIndex := i - int(f.opts.CoresLost); zoneIndex >= 0 {
			zone, member = f.core.zone(zoneIndex%int(f.opts.Zones)), -1
		}
		if !f.lose(stop, zone, member) {
			return
		}
		f.losses++
		select {
		case <-stop:
			return
		case <-time.After(f.core.lease):
		}
	}
}

// lose kills a seat, or all that stands in a zone, brings it back after a lease, and notes how soon the
// members that were in session there have another session. False if stop closed meanwhile.
func (f *hollowFleet) lose(stop <-chan struct{}, zone string, member int) bool {
	var lost []*Process
	lostRegistries := map[string]bool{}
	for i := range f.core.Registries {
		if i == member || (zone != "" && f.core.zone(i) == zone) {
			lost = append(lost, f.core.Registries[i], f.core.Stores[i])
			lostRegistries[fmt.Sprintf("%s:%d", f.core.coreAddress(i), portRegistry)] = true
		}
	}
	var ended, moving []*hollowMember
	for _, m := range f.members {
		if zone != "" && m.settings.Area == zone {
			ended = append(ended, m)
		} else if lostRegistries[m.current().Status().Registry] {
			moving = append(moving, m)
		}
	}
	at := f.now()
	for _, process := range lost {
		process.Kill()
	}
	for _, m := range ended {
		m.current().End()
	}
	back, over := time.After(f.core.lease), false
	for !over {
		moving = slices.DeleteFunc(moving, func(m *hollowMember) bool {
			registry := m.current().Status().Registry
			moved := registry != "" && !lostRegistries[registry]
			if moved {
				f.recordLatency(f.failovers, f.now()-at)
			}
			return moved
		})
		select {
		case <-stop:
			over = true
		case <-back:
			over = true
		case <-time.After(failoverPoll):
		}
	}
	// What did not find another session in all that time counts as the longest there is.
	for range moving {
		f.recordLatency(f.failovers, f.now()-at)
	}
	for _, process := range lost {
		_ = process.Start()
	}
	for _, m := range ended {
		_ = f.rejoin(m)
	}
	select {
	case <-stop:
		return false
	default:
		return true
	}
}

// stalenessInterval is how often it is looked at how old members' pictures are, and at how many.
const (
	stalenessInterval = time.Second
	stalenessSamples  = 8
)

// measureStaleness notes how old some members' pictures are: in sessions as they say themselves, else
// by what they know of each other one.
func (f *hollowFleet) measureStaleness(stop <-chan struct{}) {
	ticker := time.NewTicker(stalenessInterval)
	defer ticker.Stop()
	rng := rand.New(rand.NewPCG(uint64(f.opts.Seed), 3))
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for range stalenessSamples {
			proxyNow := f.members[rng.IntN(len(f.members))].current()
			if f.opts.Mode == modeOpen {
				if status := proxyNow.Status(); status.StalenessKnown {
					f.recordLatency(f.staleness, time.Duration(status.StalenessMS)*time.Millisecond)
				}
				continue
			}
			for name, stamp := range proxyNow.Vector() {
				if updated, found := f.byName[name].updatedAt(stamp); found {
					f.recordLatency(f.staleness, f.now()-updated)
				}
			}
		}
	}
}

// awaitJoined waits until every member has the setup and knows every worker.
func (f *hollowFleet) awaitJoined(ctx context.Context, revision uint64, workers int, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, m := range f.members {
		for {
			status := m.current().Status()
			if status.ConfigRevision >= revision && status.KnownWorkers >= workers {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s has setup %d of %d and knows %d workers of %d", m.settings.Name, status.ConfigRevision, revision, status.KnownWorkers, workers)
			}
			if !sleepContext(ctx, joinPoll) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// allApplied tells whether every member uses a setup, or one after it.
func (f *hollowFleet) allApplied(revision uint64) bool {
	return !slices.ContainsFunc(f.members, func(m *hollowMember) bool { return m.current().ConfigRevision() < revision })
}

const joinPoll = 20 * time.Millisecond

// traffic sums what went over all members' links.
func (f *hollowFleet) traffic() transport.Traffic {
	var sum transport.Traffic
	for _, m := range f.members {
		sum = sumTraffic(sum, sumTraffic(m.priorTraffic, m.current().Traffic()))
	}
	return sum
}

func sumTraffic(a, b transport.Traffic) transport.Traffic {
	return transport.Traffic{In: a.In + b.In, Out: a.Out + b.Out, Opened: a.Opened + b.Opened}
}

// end ends every member.
func (f *hollowFleet) end() {
	for _, m := range f.members {
		if ended := m.current(); ended != nil {
			ended.End()
		}
	}
}
