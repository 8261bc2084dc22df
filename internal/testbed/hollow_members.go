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

// hollowMember is a member of the mesh that runs as a sequence of hollow proxies. A hollow proxy is a proxy without
// listeners that runs in this process; each restart of the member begins a new one, as a new incarnation.
type hollowMember struct {
	index    int // index in hollowFleet.members
	settings *schema.ProxyOptions
	workers  []hollowWorker // workers that are registered with the member
	reach    []calledRoute  // routes that the member's callers call

	lock         sync.Mutex               // guards the fields below
	proxy        *proxy.Hollow            // current incarnation, or the last one if it was ended; nil before the first
	joined       time.Time                // time at which the current incarnation began to join
	recovered    bool                     // the current incarnation has applied a configuration
	applied      []appliedConfig          // configurations that all incarnations applied, in order
	reportedAt   map[uint64]time.Duration // times of the current incarnation's last updates, since the run began, by counter
	incarnation  uint64                   // number of the incarnation that made the updates in reportedAt
	priorTraffic transport.Traffic        // traffic of the incarnations that have ended
}

// appliedConfig records that a member applied a configuration revision.
type appliedConfig struct {
	revision uint64
	at       time.Duration // time at which it was applied, since the run began
}

// hollowWorker is a worker that exists only as the heartbeats that are sent for it.
type hollowWorker struct {
	dispatch.WorkerDescription
	service int // index of its service
}

// maxReportedTimes is the number of updates of a member for which reportedAt keeps the times.
const maxReportedTimes = 4096

// hollowFleet holds all hollow members and what is measured at them.
type hollowFleet struct {
	opts        *schema.HollowOptions
	core        *Fleet
	members     []*hollowMember
	environment *daemon.Environment  // shared by all members
	now         func() time.Duration // time since the run began
	rng         *rand.Rand           // source of restartLoop's choices

	byName        map[string]*hollowMember // members by the name of their proxy
	lock          sync.Mutex               // guards the histograms while members run
	staleness     *hdrhistogram.Histogram  // HollowReport.Staleness
	workerUpdates *hdrhistogram.Histogram  // HollowReport.WorkerUpdates
	recoveries    *hdrhistogram.Histogram  // HollowReport.Recovery
	failovers     *hdrhistogram.Histogram  // HollowReport.RegistryFailover
	restarts      int                      // number of restarts; only restartLoop writes it
	losses        int                      // number of losses; only lossLoop writes it
	measuring     atomic.Bool              // observe records latencies only while this is set
}

// newHollowFleet makes the members and spreads workers over them. No member joins yet.
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

// serviceName returns the name of the i-th service of a hollow configuration.
func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

// routeName returns the name of the i-th route of a hollow configuration.
func routeName(i int) string { return fmt.Sprintf("route-%d", i) }

// join makes a member join the mesh as a new incarnation and registers its workers.
func (f *hollowFleet) join(m *hollowMember) error {
	m.lock.Lock()
	m.joined = time.Now()
	m.recovered = false
	m.reportedAt = map[uint64]time.Duration{}
	m.lock.Unlock()
	joined, err := proxy.JoinHollow(f.environment, m.settings, func(event proxy.AppliedEvent) { f.observe(m, event) })
	if err != nil {
		return err
	}
	m.lock.Lock()
	m.proxy = joined
	m.lock.Unlock()
	return f.heartbeat(m)
}

// observe records what a member applied: configurations, its own updates, and updates of other members' workers. It is
// the callback of proxy.JoinHollow.
func (f *hollowFleet) observe(m *hollowMember, event proxy.AppliedEvent) {
	now := f.now()
	m.lock.Lock()
	for _, source := range event.Sources {
		if source.Name == m.settings.Name {
			m.incarnation = source.Version.GetIncarnation()
			m.reportedAt[source.Version.GetCounter()] = now
			delete(m.reportedAt, source.Version.GetCounter()-maxReportedTimes)
		}
	}
	recovered := m.recovered || event.ConfigRevision == 0
	if event.ConfigRevision > 0 {
		m.applied = append(m.applied, appliedConfig{event.ConfigRevision, now})
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
	for _, source := range event.Sources {
		// What a member learns within a lease after it joined may be old, so it does not count as an update.
		if source.Name != m.settings.Name && time.Since(joined) > f.core.lease {
			if updated, found := f.byName[source.Name].updatedAt(source.Version); found {
				f.recordLatency(f.workerUpdates, now-updated)
			}
		}
	}
}

// updatedAt returns when a member made the update with the given source version. It returns false if that is unknown,
// or if the update was made by another incarnation. The member may be nil.
func (m *hollowMember) updatedAt(version *schema.SourceVersion) (time.Duration, bool) {
	if m == nil {
		return 0, false
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	updated, found := m.reportedAt[version.GetCounter()]
	return updated, found && m.incarnation == version.GetIncarnation()
}

// recordLatency records a time in one of the fleet's histograms.
func (f *hollowFleet) recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	f.lock.Lock()
	defer f.lock.Unlock()
	recordLatency(histogram, latency)
}

// current returns the proxy of the member's current incarnation, or of the last one if that was ended; nil before the
// first.
func (m *hollowMember) current() *proxy.Hollow {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.proxy
}

// Sampling by measureStaleness.
const (
	stalenessInterval = time.Second // time between two rounds
	stalenessSamples  = 8           // number of members sampled in each round
)

// measureStaleness samples the staleness of the views of random members until stop closes. In open mode the members
// report it themselves. In other modes it is the age of the newest update that the member has of each other member.
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
			current := f.members[rng.IntN(len(f.members))].current()
			if f.opts.Mode == modeOpen {
				if status := current.Status(); status.StalenessKnown {
					f.recordLatency(f.staleness, time.Duration(status.StalenessMS)*time.Millisecond)
				}
				continue
			}
			for name, version := range current.Vector() {
				if updated, found := f.byName[name].updatedAt(version); found {
					f.recordLatency(f.staleness, f.now()-updated)
				}
			}
		}
	}
}

// awaitJoined waits until every member has the given configuration revision or a newer one and knows at least the given
// number of workers. The timeout covers all members together. It fails once the timeout is over, or with ctx's error.
func (f *hollowFleet) awaitJoined(ctx context.Context, revision uint64, workers int, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, m := range f.members {
		for {
			status := m.current().Status()
			if status.ConfigRevision >= revision && status.KnownWorkers >= workers {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("hollow member %s did not join within %v: it has configuration revision %d, want %d, and knows %d workers, want %d",
					m.settings.Name, timeout, status.ConfigRevision, revision, status.KnownWorkers, workers)
			}
			if !sleepContext(ctx, joinPoll) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// allApplied reports whether every member has applied a configuration revision or a newer one.
func (f *hollowFleet) allApplied(revision uint64) bool {
	return !slices.ContainsFunc(f.members, func(m *hollowMember) bool { return m.current().ConfigRevision() < revision })
}

// joinPoll is the time between two checks of a condition that is waited for.
const joinPoll = 20 * time.Millisecond

// traffic returns the total traffic of all incarnations of all members.
func (f *hollowFleet) traffic() transport.Traffic {
	var sum transport.Traffic
	for _, m := range f.members {
		sum = sumTraffic(sum, sumTraffic(m.endedTraffic(), m.current().Traffic()))
	}
	return sum
}

// endedTraffic returns the total traffic of the member's incarnations that have ended.
func (m *hollowMember) endedTraffic() transport.Traffic {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.priorTraffic
}

// sumTraffic adds bytes and opened connections; the other fields of the result are empty.
func sumTraffic(a, b transport.Traffic) transport.Traffic {
	return transport.Traffic{
		BytesReceived:     a.BytesReceived + b.BytesReceived,
		BytesSent:         a.BytesSent + b.BytesSent,
		ConnectionsOpened: a.ConnectionsOpened + b.ConnectionsOpened,
	}
}

// end ends every member.
func (f *hollowFleet) end() {
	for _, m := range f.members {
		if ended := m.current(); ended != nil {
			ended.Kill()
		}
	}
}
