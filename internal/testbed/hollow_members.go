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

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/proxy"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// hollowMember is a place in the fleet and the hollow proxy that runs there now: a proxy without listeners, in this
// process.
type hollowMember struct {
	index    int
	settings *schema.ProxyOptions
	workers  []hollowWorker
	reach    []calledRoute

	lock         sync.Mutex // guards the fields below
	proxy        *proxy.Hollow
	joined       time.Time
	recovered    bool                     // has applied a configuration since it joined
	applied      []appliedConfig          // in order
	reportedAt   map[uint64]time.Duration // when it made its own last updates, by their counter
	incarnation  uint64                   // that reportedAt is of
	priorTraffic transport.Traffic        // of the incarnations before this one
}

// appliedConfig is a configuration revision and when a member applied it.
type appliedConfig struct {
	revision uint64
	at       time.Duration
}

// hollowWorker is a worker that only sends heartbeats.
type hollowWorker struct {
	dispatch.WorkerDescription
	service int
}

// maxReportedTimes is for how many of a member's own updates it is remembered when they were made.
const maxReportedTimes = 4096

// hollowFleet is all hollow members and what is measured at them.
type hollowFleet struct {
	opts        *schema.HollowOptions
	core        *Fleet
	members     []*hollowMember
	environment *daemon.Environment // of all members
	now         func() time.Duration
	rng         *rand.Rand

	byName        map[string]*hollowMember
	lock          sync.Mutex // guards the histograms while members run
	staleness     *hdrhistogram.Histogram
	workerUpdates *hdrhistogram.Histogram
	recoveries    *hdrhistogram.Histogram
	failovers     *hdrhistogram.Histogram
	restarts      int
	losses        int
	measuring     atomic.Bool // before, nothing is recorded
}

// newHollowFleet lays out the members and spreads workers over them; none has joined yet.
func newHollowFleet(opts *schema.HollowOptions, core *Fleet, now func() time.Duration) (*hollowFleet, error) {
	f := &hollowFleet{
		opts:          opts,
		core:          core,
		now:           now,
		rng:           rand.New(rand.NewPCG(uint64(opts.Seed), 2)),
		environment:   &daemon.Environment{Log: logr.Discard(), Draining: &atomic.Bool{}},
		staleness:     newLatencyHistogram(),
		workerUpdates: newLatencyHistogram(),
		recoveries:    newLatencyHistogram(),
		failovers:     newLatencyHistogram(),
		byName:        map[string]*hollowMember{},
	}
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
		service := i % int(opts.Services)
		description := dispatch.WorkerDescription{
			Address:     fmt.Sprintf("127.%d.250.2:%d", core.netOctet, 1+i), // nobody calls it
			Service:     serviceName(service),
			Version:     version,
			Zone:        member.settings.Area,
			Token:       fmt.Sprintf("token-%d", i),
			HeartbeatMS: time.Duration(opts.Beat).Milliseconds(),
		}
		member.workers = append(member.workers, hollowWorker{description, service})
	}
	return f, nil
}

// serviceName names the i-th service of a hollow configuration.
func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

// routeName names the i-th route of a hollow configuration.
func routeName(i int) string { return fmt.Sprintf("route-%d", i) }

// join lets a member join the mesh and registers its workers.
func (f *hollowFleet) join(m *hollowMember) error {
	m.lock.Lock()
	m.joined = time.Now()
	m.recovered = false
	m.reportedAt = map[uint64]time.Duration{}
	m.lock.Unlock()
	joined, err := proxy.JoinHollow(f.environment, m.settings, func(seen proxy.Seen) { f.observe(m, seen) })
	if err != nil {
		return err
	}
	m.lock.Lock()
	m.proxy = joined
	m.lock.Unlock()
	return f.heartbeat(m)
}

// observe records what a member learned: configurations, and updates of other members' workers.
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
		m.applied = append(m.applied, appliedConfig{seen.ConfigRevision, now})
		m.recovered = true
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
		// What a restarted member learns at first is no update.
		if source.Name != m.settings.Name && time.Since(joined) > f.core.lease {
			if updated, found := f.byName[source.Name].updatedAt(source.Version); found {
				f.recordLatency(f.workerUpdates, now-updated)
			}
		}
	}
}

// updatedAt is when a member made the update of a source version, if that was in its present incarnation.
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

// current is the proxy that runs at a member's place now.
func (m *hollowMember) current() *proxy.Hollow {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.proxy
}

// How often the staleness of members' views is measured, and at how many of them.
const (
	stalenessInterval = time.Second
	stalenessSamples  = 8
)

// measureStaleness records how stale some members' views are: in open mode as they report it, else by the age of the
// newest update that they have of each other member.
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

// awaitJoined waits until every member has the configuration and knows every worker. The timeout is for all
// together.
func (f *hollowFleet) awaitJoined(ctx context.Context, revision uint64, workers int, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, m := range f.members {
		for {
			status := m.current().Status()
			if status.ConfigRevision >= revision && status.KnownWorkers >= workers {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s has setup %d of %d and knows %d workers of %d",
					m.settings.Name, status.ConfigRevision, revision, status.KnownWorkers, workers)
			}
			if !sleepContext(ctx, joinPoll) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// allApplied tells whether every member has applied a revision or a later one.
func (f *hollowFleet) allApplied(revision uint64) bool {
	return !slices.ContainsFunc(f.members, func(m *hollowMember) bool { return m.current().ConfigRevision() < revision })
}

// joinPoll is between two looks at what is awaited.
const joinPoll = 20 * time.Millisecond

// traffic sums the traffic of all incarnations of all members.
func (f *hollowFleet) traffic() transport.Traffic {
	var sum transport.Traffic
	for _, m := range f.members {
		sum = sumTraffic(sum, sumTraffic(m.endedTraffic(), m.current().Traffic()))
	}
	return sum
}

// endedTraffic is the traffic of the incarnations that have ended.
func (m *hollowMember) endedTraffic() transport.Traffic {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.priorTraffic
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
