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

// fakeFleet is registries and proxies in session with them, whose every step is drawn from a seed.
type fakeFleet struct {
	t            *testing.T
	seed         uint64
	random       *rand.Rand
	now          time.Duration
	tables       []*FleetState
	incarnations []int
	up           []bool
	partitioned  map[[2]string]bool
	peerSessions map[[2]int]*fakeSession // the session of the first registry with the second
	proxies      []*fakeProxy
}

// fakeSession is a session as the registry has it, and in which life of both.
type fakeSession struct {
	cursor       *SessionCursor
	incarnations [2]int
}

// fakeProxy is a proxy.
type fakeProxy struct {
	name           string
	up             bool
	processCount   int
	incarnation    uint64
	counter        uint64
	contentVersion uint64 // how often what it says has changed
	registryIndex  int    // registry, -1 for none
	session        *fakeSession
	directory      map[string]*schema.Source
	steadySince    time.Duration       // in session without a break with a registry that was in touch
	provisional    *provisionalSession // a session on trial beside it
}

// provisionalSession is a session on trial, with a registry in one of its lives.
type provisionalSession struct{ registryIndex, registryIncarnation, ticksLeft int }

const fleetTick = testLease / session.RenewalsPerLease

func newFakeFleet(t *testing.T, seed uint64, proxies int) *fakeFleet {
	f := &fakeFleet{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), partitioned: map[[2]string]bool{}, peerSessions: map[[2]int]*fakeSession{}}
	for i := range 3 {
		f.tables, f.incarnations, f.up = append(f.tables, nil), append(f.incarnations, 0), append(f.up, false)
		f.startTable(i)
	}
	for i := range proxies {
		f.proxies = append(f.proxies, &fakeProxy{name: fmt.Sprint("p", i), registryIndex: -1})
		f.startProxy(f.proxies[i])
	}
	return f
}

func memberIDAt(i int) string { return string(rune('a' + i)) }

func (f *fakeFleet) startTable(i int) {
	f.tables[i] = NewFleetState(FleetStateOptions{MemberID: memberIDAt(i), Lease: testLease, MaxSources: 32, MaxCounts: 4, WithoutLeases: true})
	f.tables[i].SetMemberCount(3)
	f.incarnations[i]++
	f.up[i] = true
}

func (f *fakeFleet) startProxy(p *fakeProxy) {
	if provisional := p.provisional; provisional != nil && f.up[provisional.registryIndex] && f.incarnations[provisional.registryIndex] == provisional.registryIncarnation {
		f.tables[provisional.registryIndex].CloseSession(f.now, p.name)
	}
	*p = fakeProxy{name: p.name, up: true, processCount: p.processCount + 1, registryIndex: -1, directory: map[string]*schema.Source{}}
	// Half of them ask nobody first: what is seen of them later must do.
	p.incarnation = session.NextIncarnation(0)
	for i, table := range f.tables {
		if f.up[i] && f.random.IntN(2) == 0 && !f.arePartitioned(p.name, memberIDAt(i)) {
			p.incarnation = session.NextIncarnation(table.HighestIncarnation(p.name))
		}
	}
}

func (f *fakeFleet) arePartitioned(a, b string) bool {
	return f.partitioned[[2]string{a, b}] || f.partitioned[[2]string{b, a}]
}

// hasQuorumContact tells whether a registry reaches a majority of the core.
func (f *fakeFleet) hasQuorumContact(i int) bool {
	reached := 0
	for j := range f.tables {
		if f.up[j] && (i == j || !f.arePartitioned(memberIDAt(i), memberIDAt(j))) {
			reached++
		}
	}
	return f.up[i] && reached > 1
}

// source is what a proxy tells of itself; its worker's name says how new it is.
func (p *fakeProxy) source() *schema.Source {
	p.counter++
	return &schema.Source{Name: p.name, Version: &schema.SourceVersion{Incarnation: p.incarnation, Counter: p.counter},
		Workers: []*schema.Worker{{Instance: fmt.Sprintf("%s-%d-%d", p.name, p.processCount, p.contentVersion)}}}
}

func (p *fakeProxy) vector() map[string]*schema.SourceVersion {
	vector := map[string]*schema.SourceVersion{}
	for name, source := range p.directory {
		vector[name] = source.Version
	}
	return vector
}

func (p *fakeProxy) applyUpdates(updates []*schema.Source) (overtaken bool) {
	for _, source := range updates {
		if source.Name == p.name && session.IsSuperseded(p.incarnation, source.Version.Incarnation, source.Version.Ended) {
			p.incarnation, overtaken = session.NextIncarnation(source.Version.Incarnation), true
		}
		if existing := p.directory[source.Name]; !source.IncarnationOnly && (existing == nil || newerStamp(source.Version, existing.Version)) {
			p.directory[source.Name] = source
		}
	}
	return overtaken
}

// cloneSources is what comes over a link.
func cloneSources(sources ...*schema.Source) []*schema.Source {
	var copies []*schema.Source
	for _, source := range sources {
		copies = append(copies, proto.Clone(source).(*schema.Source))
	}
	return copies
}

// report lets a proxy say what is new at its registry.
func (f *fakeFleet) report(p *fakeProxy, source *schema.Source) {
	p.directory[p.name] = source
	if p.registryIndex >= 0 && f.hasIntactSession(p) {
		f.tables[p.registryIndex].ApplyReport(f.now, &schema.ProxyReport{Proxy: p.name, Incarnation: uint64(p.processCount), Source: cloneSources(source)[0]})
	}
}

// stepProvisionalSession opens a session on trial now and then, and after a while takes it or gives it up.
func (f *fakeFleet) stepProvisionalSession(p *fakeProxy) {
	switch at := f.random.IntN(3); {
	case p.provisional == nil && p.registryIndex >= 0 && at != p.registryIndex && f.up[at] && !f.arePartitioned(p.name, memberIDAt(at)) && f.random.IntN(8) == 0:
		f.tables[at].ObserveVector(f.now, p.vector())
		f.tables[at].OpenProvisionalSession(p.name)
		p.provisional = &provisionalSession{at, f.incarnations[at], 1 + f.random.IntN(3)}
		return
	case p.provisional == nil:
		return
	}
	provisional := p.provisional
	stands := f.up[provisional.registryIndex] && f.incarnations[provisional.registryIndex] == provisional.registryIncarnation
	if provisional.ticksLeft--; stands && provisional.ticksLeft > 0 && p.up {
		return
	}
	p.provisional = nil
	if stands && p.up && f.hasQuorumContact(provisional.registryIndex) && !f.arePartitioned(p.name, memberIDAt(provisional.registryIndex)) && f.random.IntN(2) == 0 {
		f.closeSession(p)
		p.registryIndex, p.session = provisional.registryIndex, &fakeSession{NewSessionCursor(p.name, "", p.vector()), [2]int{provisional.registryIncarnation, p.processCount}}
		f.report(p, p.source())
		return
	}
	if stands {
		f.tables[provisional.registryIndex].CloseSession(f.now, p.name)
	}
}

// closeSession ends a proxy's session, as its registry sees it.
func (f *fakeFleet) closeSession(p *fakeProxy) {
	if p.registryIndex >= 0 && f.up[p.registryIndex] && p.session.incarnations[0] == f.incarnations[p.registryIndex] {
		f.tables[p.registryIndex].CloseSession(f.now, p.name)
	}
	p.registryIndex = -1
}

// hasIntactSession tells whether a proxy's session is whole.
func (f *fakeFleet) hasIntactSession(p *fakeProxy) bool {
	return p.up && f.up[p.registryIndex] && p.session.incarnations == [2]int{f.incarnations[p.registryIndex], p.processCount} && !f.arePartitioned(p.name, memberIDAt(p.registryIndex))
}

// step lets one beat go by.
func (f *fakeFleet) step() {
	f.now += fleetTick
	for i, table := range f.tables {
		if f.hasQuorumContact(i) {
			table.ConfirmCurrent(f.now)
		}
		for j, other := range f.tables {
			if i == j || !f.up[i] || !f.up[j] || f.arePartitioned(memberIDAt(i), memberIDAt(j)) {
				delete(f.peerSessions, [2]int{i, j})
				continue
			}
			peerSession, incarnations := f.peerSessions[[2]int{i, j}], [2]int{f.incarnations[i], f.incarnations[j]}
			if peerSession == nil || peerSession.incarnations != incarnations {
				other.ObserveVector(f.now, table.Vector())
				peerSession = &fakeSession{NewSessionCursor(memberIDAt(i), memberIDAt(i), table.Vector()), incarnations}
				f.peerSessions[[2]int{i, j}] = peerSession
			}
			for _, source := range cloneSources(other.NextUpdates(f.now, peerSession.cursor)...) {
				table.MergeSource(f.now, source)
			}
			table.RecordPeerHeard(f.now, memberIDAt(j), other.ReachableRegistries(f.now))
		}
	}
	for _, p := range f.proxies {
		f.stepProvisionalSession(p)
		if p.registryIndex >= 0 && (!f.hasIntactSession(p) || (!f.hasQuorumContact(p.registryIndex) && f.random.IntN(3) == 0)) {
			f.closeSession(p)
		}
		if !p.up {
			continue
		}
		if p.registryIndex < 0 {
			at := f.random.IntN(3)
			for _, better := range f.random.Perm(3) {
				if f.hasQuorumContact(better) && !f.arePartitioned(p.name, memberIDAt(better)) {
					at = better
				}
			}
			if f.up[at] && !f.arePartitioned(p.name, memberIDAt(at)) {
				source := p.source()
				p.directory[p.name] = source
				p.registryIndex, p.steadySince = at, f.now
				p.session = &fakeSession{NewSessionCursor(p.name, "", p.vector()), [2]int{f.incarnations[at], p.processCount}}
				f.tables[at].ObserveVector(f.now, p.vector())
				f.tables[at].OpenSession(f.now, cloneSources(source)[0])
			}
		}
		if p.registryIndex >= 0 && p.applyUpdates(cloneSources(f.tables[p.registryIndex].NextUpdates(f.now, p.session.cursor)...)) {
			f.report(p, p.source())
		}
		if p.registryIndex < 0 || !f.hasQuorumContact(p.registryIndex) {
			p.steadySince = f.now
		}
	}
	f.check()
}

// check holds that no proxy loses another that is in session, whatever becomes of the feeds.
func (f *fakeFleet) check() {
	for _, p := range f.proxies {
		for _, other := range f.proxies {
			steady := p.up && other.up && f.now-other.steadySince > 2*testLease && f.now-p.steadySince > 2*testLease
			if listed := p.directory[other.name]; steady && (listed == nil || listed.Version.Ended) {
				f.t.Fatalf("seed %d, %v: %s lost %s, which is in session: %v", f.seed, f.now, p.name, other.name, listed)
			}
		}
	}
}

// fault does something to the fleet.
func (f *fakeFleet) fault() {
	p, i := f.proxies[f.random.IntN(len(f.proxies))], f.random.IntN(3)
	switch f.random.IntN(9) {
	case 0:
		if p.up {
			p.contentVersion++
			f.report(p, p.source())
		}
	case 1:
		p.up = false
	case 2:
		// It ends politely.
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
			f.startTable(i)
		}
	case 6:
		f.partitioned[[2]string{memberIDAt(i), memberIDAt((i + 1) % 3)}] = true
	case 7:
		f.partitioned[[2]string{p.name, memberIDAt(i)}] = true
	case 8:
		clear(f.partitioned)
	}
}

// Whatever restarts, dies, moves and is cut off, once all is calm every proxy lists every living
// one with its last word, and none that is dead.
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
		for i := range f.tables {
			if !f.up[i] {
				f.startTable(i)
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
					t.Fatalf("seed %d: %s has %v of %s (up %v), not %s", seed, p.name, listed, other.name, other.up, last)
				}
			}
		}
		if liveProxies := f.tables[0].LiveProxies(f.now); liveProxies != f.upCount() {
			t.Fatalf("seed %d: %d members, not %d", seed, liveProxies, f.upCount())
		}
	}
}

func (f *fakeFleet) upCount() int {
	count := 0
	for _, p := range f.proxies {
		if p.up {
			count++
		}
	}
	return count
}

// A registry that is cut off from the others keeps their proxies listed; one that is in touch
// with a majority lets those of a lost one go, unless they have come to it.
func TestSourcesOfALostRegistry(t *testing.T) {
	for _, quorumContact := range []bool{true, false} {
		table := NewFleetState(FleetStateOptions{MemberID: "a", Lease: testLease, MaxSources: 4, MaxCounts: 4, WithoutLeases: true})
		table.MergeSource(0, &schema.Source{Name: "p", HomeRegistry: "b", Version: &schema.SourceVersion{Incarnation: 1, Counter: 1}})
		table.RecordPeerHeard(0, "b", nil)
		for now := time.Duration(0); now <= 3*testLease; now += fleetTick {
			if quorumContact {
				table.ConfirmCurrent(now)
			}
			table.sweep(now)
		}
		if ended := table.sources["p"].source.Version.GetEnded(); ended != quorumContact {
			t.Errorf("in touch %v: listed as ended %v", quorumContact, ended)
		}
	}
}
