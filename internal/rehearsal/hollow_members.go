package rehearsal

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
	reach    []reached

	lock    sync.Mutex
	proxy   *proxy.Hollow
	joined  time.Time
	backed  bool                     // has a setup since it joined
	applied []applied                // setups it took into use, in order
	told    map[uint64]time.Duration // when it made its own last news, by counter
	life    uint64                   // the incarnation of which told is
	before  transport.Traffic        // of the lives before this one
}

// applied is a setup that came into use at a member.
type applied struct {
	setup uint64
	at    time.Duration
}

// hollowWorker is a worker that only beats, and the number of its service.
type hollowWorker struct {
	dispatch.WorkerDescription
	service int
}

// reached is a route that a member's calls use.
type reached struct {
	route, service, flag string
	versions             []string
}

// toldKept is of how many of a member's last news it is known when they were made.
const toldKept = 4096

// hollowFleet is all hollow members and what is measured at them.
type hollowFleet struct {
	given   *schema.HollowOptions
	core    *Fleet
	members []*hollowMember
	frame   *daemon.Environment
	now     func() time.Duration
	dice    *rand.Rand

	named     map[string]*hollowMember
	lock      sync.Mutex // of the histograms
	staleness *hdrhistogram.Histogram
	news      *hdrhistogram.Histogram
	backs     *hdrhistogram.Histogram
	moves     *hdrhistogram.Histogram
	restarts  int
	losses    int
	measuring atomic.Bool
}

// Bounds of the histograms, in microseconds.
const (
	spanLeast  = 1
	spanMost   = int64(10 * time.Minute / time.Microsecond)
	spanDigits = 3
)

func newSpans() *hdrhistogram.Histogram { return hdrhistogram.New(spanLeast, spanMost, spanDigits) }

// record notes a time in a histogram.
func record(into *hdrhistogram.Histogram, took time.Duration) {
	_ = into.RecordValue(min(max(spanLeast, int64(took/time.Microsecond)), spanMost))
}

// newHollowFleet lays out the members; none has joined yet.
func newHollowFleet(given *schema.HollowOptions, core *Fleet, now func() time.Duration) (*hollowFleet, error) {
	f := &hollowFleet{given: given, core: core, now: now, dice: rand.New(rand.NewPCG(uint64(given.Seed), 2)),
		frame: &daemon.Environment{Log: logr.Discard(), Draining: &atomic.Bool{}}, staleness: newSpans(), news: newSpans(), backs: newSpans(), moves: newSpans(), named: map[string]*hollowMember{}}
	for i := range int(given.Members) {
		settings, err := core.hollowSettings(given, i)
		if err != nil {
			return nil, err
		}
		member := &hollowMember{index: i, settings: settings, told: map[uint64]time.Duration{}}
		for j := range int(given.Reach) {
			member.reach = append(member.reach, reachedBy(given, i, j))
		}
		f.members = append(f.members, member)
		f.named[settings.Name] = member
	}
	workers := int(given.Workers)
	if workers == 0 {
		workers = len(f.members)
	}
	for i := range workers {
		member := f.members[i%len(f.members)]
		version := versionOld
		if i/int(given.Services)%2 == 1 {
			version = versionNew
		}
		member.workers = append(member.workers, hollowWorker{dispatch.WorkerDescription{Address: fmt.Sprintf("127.%d.250.2:%d", core.net, 1+i), Service: serviceName(i % int(given.Services)),
			Version: version, Zone: member.settings.Area, Token: fmt.Sprintf("token-%d", i), HeartbeatMS: time.Duration(given.Beat).Milliseconds()}, i % int(given.Services)})
	}
	return f, nil
}

// serviceName and routeName name what a hollow setup holds.
func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }
func routeName(i int) string   { return fmt.Sprintf("route-%d", i) }

// reachedBy spreads what members' calls use over the routes.
func reachedBy(given *schema.HollowOptions, member, j int) reached {
	route := (member*int(given.Reach) + j) % int(given.Routes)
	service := serviceName(route % int(given.Services))
	one := reached{route: routeName(route), service: service, flag: config.VersionFlagKey(service), versions: []string{versionOld}}
	if route%int(given.Services) < int(given.Releases) {
		one.versions = append(one.versions, versionNew)
	}
	return one
}

// join lets a member join the mesh.
func (f *hollowFleet) join(m *hollowMember) error {
	m.lock.Lock()
	m.joined, m.backed, m.told = time.Now(), false, map[uint64]time.Duration{}
	m.lock.Unlock()
	joined, err := proxy.JoinHollow(f.frame, m.settings, func(seen proxy.Seen) { f.seen(m, seen) })
	if err != nil {
		return err
	}
	m.lock.Lock()
	m.proxy = joined
	m.lock.Unlock()
	return f.beat(m)
}

// seen notes what came into a member's picture.
func (f *hollowFleet) seen(m *hollowMember, seen proxy.Seen) {
	now := f.now()
	m.lock.Lock()
	for _, source := range seen.Sources {
		if source.Name == m.settings.Name {
			m.life = source.Version.GetIncarnation()
			m.told[source.Version.GetCounter()] = now
			delete(m.told, source.Version.GetCounter()-toldKept)
		}
	}
	backed := m.backed || seen.ConfigRevision == 0
	if seen.ConfigRevision > 0 {
		m.applied, m.backed = append(m.applied, applied{seen.ConfigRevision, now}), true
	}
	joined := m.joined
	m.lock.Unlock()
	if !f.measuring.Load() {
		return
	}
	if !backed {
		f.note(f.backs, time.Since(joined))
	}
	for _, source := range seen.Sources {
		// What a restarted member is told at first is no news.
		if source.Name != m.settings.Name && time.Since(joined) > f.core.lease {
			if made, known := f.named[source.Name].madeAt(source.Version); known {
				f.note(f.news, now-made)
			}
		}
	}
}

// madeAt is when a member told what bears a stamp.
func (m *hollowMember) madeAt(stamp *schema.SourceVersion) (time.Duration, bool) {
	if m == nil {
		return 0, false
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	made, known := m.told[stamp.GetCounter()]
	return made, known && m.life == stamp.GetIncarnation()
}

// note records a time in one of the fleet's histograms.
func (f *hollowFleet) note(into *hdrhistogram.Histogram, took time.Duration) {
	f.lock.Lock()
	defer f.lock.Unlock()
	record(into, took)
}

// beat lets a member's workers describe themselves.
func (f *hollowFleet) beat(m *hollowMember) error {
	for _, worker := range m.workers {
		said := worker.WorkerDescription
		said.Load = rand.Float64()
		if err := m.held().Heartbeat(said); err != nil {
			return err
		}
	}
	return nil
}

// held is the proxy that holds a member's place now.
func (m *hollowMember) held() *proxy.Hollow {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.proxy
}

// beatSteps is in how many turns of one beat the members' workers are heard.
const beatSteps = 50

// keepBeating lets all workers beat until stop closes, and counts what calls would.
func (f *hollowFleet) keepBeating(stop <-chan struct{}) {
	ticker := time.NewTicker(time.Duration(f.given.Beat) / beatSteps)
	defer ticker.Stop()
	for step := 0; ; step++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for i := step % beatSteps; i < len(f.members); i += beatSteps {
			m := f.members[i]
			_ = f.beat(m)
			held := m.held()
			f.work(m)
			for _, one := range m.reach {
				for _, version := range one.versions {
					held.Count(&dispatch.CallResult{Plan: &plan.Plan{Route: &config.Route{Name: one.route}, Service: one.service,
						Verdict: plan.Verdict{Flag: one.flag, Version: version, Reason: flag.ReasonFallthrough, ConfigRevision: held.ConfigRevision()}},
						Response: &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200}}, time.Millisecond)
				}
			}
		}
	}
}

// How a hollow worker's calls look: so many with each beat, of about so long.
const (
	callsEach = 4
	workLeast = 20 * time.Millisecond
	workTimes = 8
)

// work lets a member's workers answer a few calls, each of one of its service's routes.
func (f *hollowFleet) work(m *hollowMember) {
	for _, worker := range m.workers {
		for j := range int(f.given.Reach) {
			route := worker.service + j*int(f.given.Services)
			if route >= int(f.given.Routes) {
				break
			}
			for range callsEach {
				m.held().Work(worker.Service, worker.Version, routeName(route), time.Duration(float64(workLeast)*(1+workTimes*rand.Float64())))
			}
		}
	}
}

// keepRestarting kills members and brings them back until stop closes.
func (f *hollowFleet) keepRestarting(stop <-chan struct{}) {
	if f.given.Restarts == 0 {
		return
	}
	ticker := time.NewTicker(time.Duration(float64(time.Minute) / f.given.Restarts))
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		m := f.members[f.dice.IntN(len(f.members))]
		m.held().End()
		if f.rejoin(m) == nil {
			f.restarts++
		}
	}
}

// rejoin brings a member back that was ended.
func (f *hollowFleet) rejoin(m *hollowMember) error {
	held := m.held()
	m.lock.Lock()
	m.before = sumTraffic(m.before, held.Traffic())
	m.lock.Unlock()
	return f.join(m)
}

// Bounds of losses.
const (
	lossLeases  = 2 // each takes so many: it is away for the first, and settles in the second
	seatsToLose = 3 // a core has at least, of which one can be away
	moveCheck   = 10 * time.Millisecond
)

// keepLosing kills core machines, then zones, one after the other and each for a lease, until all
// that the settings ask for were, or stop closes.
func (f *hollowFleet) keepLosing(stop <-chan struct{}) {
	for i := range int(f.given.CoresLost + f.given.ZonesLost) {
		area, seat := "", i%int(f.given.Seats)
		if zone := i - int(f.given.CoresLost); zone >= 0 {
			area, seat = f.core.area(zone%int(f.given.Zones)), -1
		}
		if !f.lose(stop, area, seat) {
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
func (f *hollowFleet) lose(stop <-chan struct{}, area string, seat int) bool {
	var lost []*Process
	gone := map[string]bool{}
	for i := range f.core.Registries {
		if i == seat || (area != "" && f.core.area(i) == area) {
			lost = append(lost, f.core.Registries[i], f.core.Stores[i])
			gone[fmt.Sprintf("%s:%d", f.core.core(i), portRegistry)] = true
		}
	}
	var ended, moving []*hollowMember
	for _, m := range f.members {
		if area != "" && m.settings.Area == area {
			ended = append(ended, m)
		} else if gone[m.held().Status().Registry] {
			moving = append(moving, m)
		}
	}
	at := f.now()
	for _, process := range lost {
		process.Kill()
	}
	for _, m := range ended {
		m.held().End()
	}
	back, over := time.After(f.core.lease), false
	for !over {
		moving = slices.DeleteFunc(moving, func(m *hollowMember) bool {
			registry := m.held().Status().Registry
			moved := registry != "" && !gone[registry]
			if moved {
				f.note(f.moves, f.now()-at)
			}
			return moved
		})
		select {
		case <-stop:
			over = true
		case <-back:
			over = true
		case <-time.After(moveCheck):
		}
	}
	// What did not find another session in all that time counts as the longest there is.
	for range moving {
		f.note(f.moves, f.now()-at)
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

// staleEvery is how often it is looked at how old members' pictures are, and at how many.
const (
	staleEvery = time.Second
	staleAt    = 8
)

// keepLooking notes how old some members' pictures are: in sessions as they say themselves, else
// by what they know of each other one.
func (f *hollowFleet) keepLooking(stop <-chan struct{}) {
	ticker := time.NewTicker(staleEvery)
	defer ticker.Stop()
	dice := rand.New(rand.NewPCG(uint64(f.given.Seed), 3))
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for range staleAt {
			held := f.members[dice.IntN(len(f.members))].held()
			if f.given.Mode == open {
				if status := held.Status(); status.StalenessKnown {
					f.note(f.staleness, time.Duration(status.StalenessMS)*time.Millisecond)
				}
				continue
			}
			for name, stamp := range held.Vector() {
				if made, known := f.named[name].madeAt(stamp); known {
					f.note(f.staleness, f.now()-made)
				}
			}
		}
	}
}

// awaitJoined waits until every member has the setup and knows every worker.
func (f *hollowFleet) awaitJoined(ctx context.Context, setup uint64, workers int, patience time.Duration) error {
	deadline := time.Now().Add(patience)
	for _, m := range f.members {
		for {
			status := m.held().Status()
			if status.ConfigRevision >= setup && status.KnownWorkers >= workers {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s has setup %d of %d and knows %d workers of %d", m.settings.Name, status.ConfigRevision, setup, status.KnownWorkers, workers)
			}
			if !pause(ctx, joinCheck) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// has tells whether every member uses a setup, or one after it.
func (f *hollowFleet) has(setup uint64) bool {
	return !slices.ContainsFunc(f.members, func(m *hollowMember) bool { return m.held().ConfigRevision() < setup })
}

const joinCheck = 20 * time.Millisecond

// traffic sums what went over all members' links.
func (f *hollowFleet) traffic() transport.Traffic {
	var sum transport.Traffic
	for _, m := range f.members {
		sum = sumTraffic(sum, sumTraffic(m.before, m.held().Traffic()))
	}
	return sum
}

func sumTraffic(a, b transport.Traffic) transport.Traffic {
	return transport.Traffic{In: a.In + b.In, Out: a.Out + b.Out, Opened: a.Opened + b.Opened}
}

// end ends every member.
func (f *hollowFleet) end() {
	for _, m := range f.members {
		if held := m.held(); held != nil {
			held.End()
		}
	}
}
