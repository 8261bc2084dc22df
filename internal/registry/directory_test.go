package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// fakeFleet simulates the states of three registries and proxies in session with them. Every step and every fault is
// drawn at random from a seed.
type fakeFleet struct {
	t            *testing.T
	seed         uint64
	random       *rand.Rand
	now          time.Duration           // simulated time, which all registries share
	states       []*FleetState           // states of the registries, by registry index
	incarnations []int                   // number of starts of each registry, by registry index
	up           []bool                  // whether each registry runs, by registry index
	partitioned  map[[2]string]bool      // pairs of node names that cannot reach each other, in either order
	peerSessions map[[2]int]*fakeSession // sessions between registries, by the indexes of subscriber and peer
	proxies      []*fakeProxy
}

// fakeSession is the registry side of a session.
type fakeSession struct {
	cursor       *SessionCursor
	incarnations [2]int // incarnations of both ends at the start of the session; it ends when either restarts
}

// fakeProxy is a proxy with its copy of the service directory.
type fakeProxy struct {
	name           string
	up             bool
	processCount   int                       // number of starts
	incarnation    uint64                    // incarnation in its source's version
	counter        uint64                    // counter in its source's version
	contentVersion uint64                    // number of changes of its reported workers since its start
	registryIndex  int                       // registry with which it is in session; -1 for none
	session        *fakeSession              // session with that registry; meaningless if registryIndex is -1
	directory      map[string]*schema.Source // sources that it was sent, and its own
	steadySince    time.Duration             // start of an unbroken time in session with registries in quorum contact
	provisional    *provisionalSession       // provisional session in addition to session; nil for none
}

// provisionalSession is a provisional session with one incarnation of a registry. ticksLeft counts down to its end.
type provisionalSession struct{ registryIndex, registryIncarnation, ticksLeft int }

// fleetTick is the simulated time of one step.
const fleetTick = testLease / session.RenewalsPerLease

// fakeRegistries is the number of registries in a fakeFleet.
const fakeRegistries = 3

func newFakeFleet(t *testing.T, seed uint64, proxies int) *fakeFleet {
	t.Helper()
	f := &fakeFleet{
		t:            t,
		seed:         seed,
		random:       rand.New(rand.NewPCG(seed, 3)),
		states:       make([]*FleetState, fakeRegistries),
		incarnations: make([]int, fakeRegistries),
		up:           make([]bool, fakeRegistries),
		partitioned:  map[[2]string]bool{},
		peerSessions: map[[2]int]*fakeSession{},
	}
	for i := range fakeRegistries {
		f.startRegistry(i)
	}
	for i := range proxies {
		f.proxies = append(f.proxies, &fakeProxy{name: fmt.Sprint("p", i), registryIndex: -1})
		f.startProxy(f.proxies[i])
	}
	return f
}

// memberIDAt returns the member id of the registry with index i.
func memberIDAt(i int) string { return string(rune('a' + i)) }

// startRegistry starts a registry with an empty state.
func (f *fakeFleet) startRegistry(i int) {
	f.states[i] = NewFleetState(FleetStateOptions{
		MemberID: memberIDAt(i), Lease: testLease, MaxSources: 32, MaxCounts: 4, WithoutLeases: true,
	})
	f.states[i].SetMemberCount(fakeRegistries)
	f.incarnations[i]++
	f.up[i] = true
}

// startProxy starts a new process of a proxy, without a session.
func (f *fakeFleet) startProxy(p *fakeProxy) {
	if provisional := p.provisional; provisional != nil && f.isOpen(provisional) {
		f.states[provisional.registryIndex].CloseSession(f.now, p.name)
	}
	*p = fakeProxy{
		name:          p.name,
		up:            true,
		processCount:  p.processCount + 1,
		registryIndex: -1,
		directory:     map[string]*schema.Source{},
	}
	// The proxy queries each reachable registry with probability one half. If it misses the highest incarnation, it
	// learns later that its own is superseded.
	p.incarnation = session.NextIncarnation(0)
	for i, state := range f.states {
		if f.up[i] && f.random.IntN(2) == 0 && !f.arePartitioned(p.name, memberIDAt(i)) {
			p.incarnation = session.NextIncarnation(state.HighestIncarnation(p.name))
		}
	}
}

// isOpen reports whether the registry of a provisional session still has the session.
func (f *fakeFleet) isOpen(provisional *provisionalSession) bool {
	return f.up[provisional.registryIndex] && f.incarnations[provisional.registryIndex] == provisional.registryIncarnation
}

// arePartitioned reports whether two nodes cannot reach each other.
func (f *fakeFleet) arePartitioned(a, b string) bool {
	return f.partitioned[[2]string{a, b}] || f.partitioned[[2]string{b, a}]
}

// hasQuorumContact reports whether a registry is up and reaches a majority of the registries, including itself.
func (f *fakeFleet) hasQuorumContact(i int) bool {
	reached := 0
	for j := range f.states {
		if f.up[j] && (i == j || !f.arePartitioned(memberIDAt(i), memberIDAt(j))) {
			reached++
		}
	}
	return f.up[i] && reached > 1
}

// source returns the proxy's next report of itself. Its one worker's name identifies the process and the content
// version.
func (p *fakeProxy) source() *schema.Source {
	p.counter++
	return &schema.Source{
		Name:    p.name,
		Version: &schema.SourceVersion{Incarnation: p.incarnation, Counter: p.counter},
		Workers: []*schema.Worker{{Instance: fmt.Sprintf("%s-%d-%d", p.name, p.processCount, p.contentVersion)}},
	}
}

// vector returns the proxy's version vector.
func (p *fakeProxy) vector() map[string]*schema.SourceVersion {
	vector := map[string]*schema.SourceVersion{}
	for name, source := range p.directory {
		vector[name] = source.Version
	}
	return vector
}

// applyUpdates applies updates from a registry. It reports whether the proxy took a new incarnation because its own was
// superseded.
func (p *fakeProxy) applyUpdates(updates []*schema.Source) (superseded bool) {
	for _, source := range updates {
		if source.Name == p.name && session.IsSuperseded(p.incarnation, source.Version.Incarnation, source.Version.Ended) {
			p.incarnation, superseded = session.NextIncarnation(source.Version.Incarnation), true
		}
		existing := p.directory[source.Name]
		if !source.IncarnationOnly && (existing == nil || isNewerVersion(source.Version, existing.Version)) {
			p.directory[source.Name] = source
		}
	}
	return superseded
}

// cloneSources returns deep copies of sources, as sending them over the network would.
func cloneSources(sources ...*schema.Source) []*schema.Source {
	var copies []*schema.Source
	for _, source := range sources {
		copies = append(copies, proto.Clone(source).(*schema.Source))
	}
	return copies
}

// report makes a proxy store its own source and, if its session is intact, report it to its registry.
func (f *fakeFleet) report(p *fakeProxy, source *schema.Source) {
	p.directory[p.name] = source
	if p.registryIndex >= 0 && f.hasIntactSession(p) {
		report := &schema.ProxyReport{Proxy: p.name, Incarnation: uint64(p.processCount), Source: cloneSources(source)[0]}
		f.states[p.registryIndex].ApplyReport(f.now, report)
	}
}

// stepProvisionalSession opens a provisional session at random. After a few ticks it either moves the proxy to that
// session's registry or closes the session.
func (f *fakeFleet) stepProvisionalSession(p *fakeProxy) {
	at := f.random.IntN(fakeRegistries)
	mayOpen := p.provisional == nil && p.registryIndex >= 0 && at != p.registryIndex && f.reaches(p, at)
	switch {
	case mayOpen && f.random.IntN(8) == 0:
		f.states[at].ObserveVector(f.now, p.vector())
		f.states[at].OpenProvisionalSession(p.name)
		p.provisional = &provisionalSession{at, f.incarnations[at], 1 + f.random.IntN(3)}
		return
	case p.provisional == nil:
		return
	}
	provisional := p.provisional
	open := f.isOpen(provisional)
	if provisional.ticksLeft--; open && provisional.ticksLeft > 0 && p.up {
		return
	}
	p.provisional = nil
	mayMove := open && p.up && f.hasQuorumContact(provisional.registryIndex) && f.reaches(p, provisional.registryIndex)
	if mayMove && f.random.IntN(2) == 0 {
		f.closeSession(p)
		p.registryIndex = provisional.registryIndex
		p.session = &fakeSession{
			cursor:       NewSessionCursor(p.name, "", p.vector()),
			incarnations: [2]int{provisional.registryIncarnation, p.processCount},
		}
		f.report(p, p.source())
		return
	}
	if open {
		f.states[provisional.registryIndex].CloseSession(f.now, p.name)
	}
}

// reaches reports whether a registry is up and not partitioned from a proxy.
func (f *fakeFleet) reaches(p *fakeProxy, registryIndex int) bool {
	return f.up[registryIndex] && !f.arePartitioned(p.name, memberIDAt(registryIndex))
}

// closeSession ends a proxy's session. The registry's side is closed only if the registry runs and has not restarted.
func (f *fakeFleet) closeSession(p *fakeProxy) {
	if p.registryIndex >= 0 && f.up[p.registryIndex] && p.session.incarnations[0] == f.incarnations[p.registryIndex] {
		f.states[p.registryIndex].CloseSession(f.now, p.name)
	}
	p.registryIndex = -1
}

// hasIntactSession reports whether both ends of a proxy's session are up, have not restarted and reach each other.
func (f *fakeFleet) hasIntactSession(p *fakeProxy) bool {
	current := [2]int{f.incarnations[p.registryIndex], p.processCount}
	return p.up && p.session.incarnations == current && f.reaches(p, p.registryIndex)
}

// step advances the time by fleetTick, and with it all registries and proxies.
func (f *fakeFleet) step() {
	f.now += fleetTick
	f.syncRegistries()
	for _, p := range f.proxies {
		f.stepProxy(p)
	}
	f.check()
}

// syncRegistries makes every registry receive the updates that its reachable peers send.
func (f *fakeFleet) syncRegistries() {
	for i, state := range f.states {
		if f.hasQuorumContact(i) {
			state.ConfirmCurrent(f.now)
		}
		for j, peer := range f.states {
			pair := [2]int{i, j}
			if i == j || !f.up[i] || !f.up[j] || f.arePartitioned(memberIDAt(i), memberIDAt(j)) {
				delete(f.peerSessions, pair)
				continue
			}
			peerSession, incarnations := f.peerSessions[pair], [2]int{f.incarnations[i], f.incarnations[j]}
			if peerSession == nil || peerSession.incarnations != incarnations {
				peer.ObserveVector(f.now, state.Vector())
				peerSession = &fakeSession{NewSessionCursor(memberIDAt(i), memberIDAt(i), state.Vector()), incarnations}
				f.peerSessions[pair] = peerSession
			}
			for _, source := range cloneSources(peer.NextUpdates(f.now, peerSession.cursor)...) {
				state.MergeSource(f.now, source)
			}
			state.RecordPeerHeard(f.now, memberIDAt(j), peer.ReachableRegistries(f.now))
		}
	}
}

// stepProxy makes a proxy leave a lost registry, open a session with another one, and receive updates from its
// registry.
func (f *fakeFleet) stepProxy(p *fakeProxy) {
	f.stepProvisionalSession(p)
	if p.registryIndex >= 0 && (!f.hasIntactSession(p) || (!f.hasQuorumContact(p.registryIndex) && f.random.IntN(3) == 0)) {
		f.closeSession(p)
	}
	if !p.up {
		return
	}
	if p.registryIndex < 0 {
		f.openSession(p)
	}
	if p.registryIndex >= 0 {
		updates := f.states[p.registryIndex].NextUpdates(f.now, p.session.cursor)
		if p.applyUpdates(cloneSources(updates...)) {
			f.report(p, p.source())
		}
	}
	if p.registryIndex < 0 || !f.hasQuorumContact(p.registryIndex) {
		p.steadySince = f.now
	}
}

// openSession opens a session with a reachable registry that has quorum contact. If there is none, it tries a registry
// drawn at random.
func (f *fakeFleet) openSession(p *fakeProxy) {
	at := f.random.IntN(fakeRegistries)
	for _, candidate := range f.random.Perm(fakeRegistries) {
		if f.hasQuorumContact(candidate) && !f.arePartitioned(p.name, memberIDAt(candidate)) {
			at = candidate
		}
	}
	if !f.reaches(p, at) {
		return
	}
	source := p.source()
	p.directory[p.name] = source
	p.registryIndex, p.steadySince = at, f.now
	p.session = &fakeSession{NewSessionCursor(p.name, "", p.vector()), [2]int{f.incarnations[at], p.processCount}}
	f.states[at].ObserveVector(f.now, p.vector())
	f.states[at].OpenSession(f.now, cloneSources(source)[0])
}

// check fails the test if a proxy does not list another one although both have been in session, with registries in
// quorum contact, for more than two leases.
func (f *fakeFleet) check() {
	f.t.Helper()
	for _, p := range f.proxies {
		for _, other := range f.proxies {
			steady := p.up && other.up && f.now-other.steadySince > 2*testLease && f.now-p.steadySince > 2*testLease
			if listed := p.directory[other.name]; steady && (listed == nil || listed.Version.Ended) {
				f.t.Fatalf("seed %d at %v: proxy %s lists %s as %v, want a source that has not ended, since %s is in session",
					f.seed, f.now, p.name, other.name, listed, other.name)
			}
		}
	}
}

// fault injects one random event: a changed report, a crash, a shutdown, a restart, a partition or the end of all
// partitions.
func (f *fakeFleet) fault() {
	p, i := f.proxies[f.random.IntN(len(f.proxies))], f.random.IntN(fakeRegistries)
	switch f.random.IntN(9) {
	case 0:
		if p.up {
			p.contentVersion++
			f.report(p, p.source())
		}
	case 1:
		p.up = false
	case 2:
		// The proxy shuts down gracefully.
		if p.up {
			last := p.source()
			last.ShuttingDown, last.Workers = true, nil
			f.report(p, last)
			p.up = false
		}
	case 3:
		f.closeSession(p)
		f.startProxy(p)
	case 4:
		f.up[i] = false
	case 5:
		if !f.up[i] {
			f.startRegistry(i)
		}
	case 6:
		f.partitioned[[2]string{memberIDAt(i), memberIDAt((i + 1) % fakeRegistries)}] = true
	case 7:
		f.partitioned[[2]string{p.name, memberIDAt(i)}] = true
	case 8:
		clear(f.partitioned)
	}
}

// TestDirectoryConverges injects random restarts, crashes, moves and partitions. Once the faults have stopped, every
// proxy must list every live proxy with its last report, and no dead one.
func TestDirectoryConverges(t *testing.T) {
	for seed := range uint64(300) {
		f := newFakeFleet(t, seed, 4)
		for range 300 {
			if f.random.IntN(4) == 0 {
				f.fault()
			}
			f.step()
		}
		clear(f.partitioned)
		for i := range f.states {
			if !f.up[i] {
				f.startRegistry(i)
			}
		}
		for range 8 * session.RenewalsPerLease {
			f.step()
		}
		for _, p := range f.proxies {
			for _, other := range f.proxies {
				if !p.up {
					continue
				}
				listed := p.directory[other.name]
				last := fmt.Sprintf("%s-%d-%d", other.name, other.processCount, other.contentVersion)
				lists := listed != nil && len(listed.Workers) > 0
				if lists != other.up || (lists && listed.Workers[0].Instance != last) {
					t.Fatalf("seed %d: proxy %s lists %s as %v; want workers listed %v, last reported worker %s",
						seed, p.name, other.name, listed, other.up, last)
				}
			}
		}
		if liveProxies := f.states[0].LiveProxies(f.now); liveProxies != f.upCount() {
			t.Fatalf("seed %d: LiveProxies: got %d, want %d", seed, liveProxies, f.upCount())
		}
	}
}

// upCount returns the number of proxies that run.
func (f *fakeFleet) upCount() int {
	count := 0
	for _, p := range f.proxies {
		if p.up {
			count++
		}
	}
	return count
}

// TestSourcesOfLostHomeRegistryEndWithQuorumContact checks that a registry ends the sources of a lost home registry if
// it has quorum contact. Without it, the registry itself may be the partitioned one, so it must keep them listed.
func TestSourcesOfLostHomeRegistryEndWithQuorumContact(t *testing.T) {
	for _, quorumContact := range []bool{true, false} {
		t.Run(fmt.Sprint("quorum contact ", quorumContact), func(t *testing.T) {
			state := NewFleetState(FleetStateOptions{
				MemberID: "a", Lease: testLease, MaxSources: 4, MaxCounts: 4, WithoutLeases: true,
			})
			state.MergeSource(0, &schema.Source{
				Name: "p", HomeRegistry: "b", Version: &schema.SourceVersion{Incarnation: 1, Counter: 1},
			})
			state.RecordPeerHeard(0, "b", nil)
			for now := time.Duration(0); now <= 3*testLease; now += fleetTick {
				if quorumContact {
					state.ConfirmCurrent(now)
				}
				state.sweep(now)
			}
			if ended := state.sources["p"].source.Version.GetEnded(); ended != quorumContact {
				t.Errorf("source of the lost registry: got ended %v, want %v", ended, quorumContact)
			}
		})
	}
}
