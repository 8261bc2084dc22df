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

// fleet is registries and proxies in session with them, whose every step is drawn from a seed.
type fleet struct {
	t       *testing.T
	seed    uint64
	dice    *rand.Rand
	now     time.Duration
	tables  []*Table
	lives   []int
	up      []bool
	cut     map[[2]string]bool
	peers   map[[2]int]*seated // the session of the first registry with the second
	proxies []*member
}

// seated is a session as the registry has it, and in which life of both.
type seated struct {
	position *Position
	lives    [2]int
}

// member is a proxy.
type member struct {
	name        string
	up          bool
	life        int
	incarnation uint64
	counter     uint64
	word        uint64 // how often what it says has changed
	at          int    // registry, -1 for none
	seated      *seated
	known       map[string]*schema.Source
	since       time.Duration // in session without a break with a registry that was in touch
	visit       *visit        // a session on trial beside it
}

// visit is a session on trial, with a registry in one of its lives.
type visit struct{ at, life, beats int }

const fleetBeat = span / session.LeaseParts

func newFleet(t *testing.T, seed uint64, proxies int) *fleet {
	f := &fleet{t: t, seed: seed, dice: rand.New(rand.NewPCG(seed, 3)), cut: map[[2]string]bool{}, peers: map[[2]int]*seated{}}
	for i := range 3 {
		f.tables, f.lives, f.up = append(f.tables, nil), append(f.lives, 0), append(f.up, false)
		f.startTable(i)
	}
	for i := range proxies {
		f.proxies = append(f.proxies, &member{name: fmt.Sprint("p", i), at: -1})
		f.startProxy(f.proxies[i])
	}
	return f
}

func seatOf(i int) string { return string(rune('a' + i)) }

func (f *fleet) startTable(i int) {
	f.tables[i] = NewTable(TableOptions{Seat: seatOf(i), Lease: span, SourcesMost: 32, CountsMost: 4, Leaseless: true})
	f.tables[i].Among(3)
	f.lives[i]++
	f.up[i] = true
}

func (f *fleet) startProxy(p *member) {
	if held := p.visit; held != nil && f.up[held.at] && f.lives[held.at] == held.life {
		f.tables[held.at].Depart(f.now, p.name)
	}
	*p = member{name: p.name, up: true, life: p.life + 1, at: -1, known: map[string]*schema.Source{}}
	// Half of them ask nobody first: what is seen of them later must do.
	p.incarnation = session.NextIncarnation(0)
	for i, table := range f.tables {
		if f.up[i] && f.dice.IntN(2) == 0 && !f.apart(p.name, seatOf(i)) {
			p.incarnation = session.NextIncarnation(table.Seen(p.name))
		}
	}
}

func (f *fleet) apart(a, b string) bool { return f.cut[[2]string{a, b}] || f.cut[[2]string{b, a}] }

// inTouch tells whether a registry reaches a majority of the core.
func (f *fleet) inTouch(i int) bool {
	reached := 0
	for j := range f.tables {
		if f.up[j] && (i == j || !f.apart(seatOf(i), seatOf(j))) {
			reached++
		}
	}
	return f.up[i] && reached > 1
}

// source is what a proxy tells of itself; its worker's name says how new it is.
func (p *member) source() *schema.Source {
	p.counter++
	return &schema.Source{Name: p.name, Stamp: &schema.Stamp{Incarnation: p.incarnation, Counter: p.counter},
		Workers: []*schema.Worker{{Instance: fmt.Sprintf("%s-%d-%d", p.name, p.life, p.word)}}}
}

func (p *member) vector() map[string]*schema.Stamp {
	vector := map[string]*schema.Stamp{}
	for name, source := range p.known {
		vector[name] = source.Stamp
	}
	return vector
}

func (p *member) take(news []*schema.Source) (overtaken bool) {
	for _, source := range news {
		if source.Name == p.name && session.Overtaken(p.incarnation, source.Stamp.Incarnation, source.Stamp.Ended) {
			p.incarnation, overtaken = session.NextIncarnation(source.Stamp.Incarnation), true
		}
		if held := p.known[source.Name]; !source.Bare && (held == nil || newerStamp(source.Stamp, held.Stamp)) {
			p.known[source.Name] = source
		}
	}
	return overtaken
}

// cloned is what comes over a link.
func cloned(sources ...*schema.Source) []*schema.Source {
	var copies []*schema.Source
	for _, one := range sources {
		copies = append(copies, proto.Clone(one).(*schema.Source))
	}
	return copies
}

// tell lets a proxy say what is new at its registry.
func (f *fleet) tell(p *member, source *schema.Source) {
	p.known[p.name] = source
	if p.at >= 0 && f.holds(p) {
		f.tables[p.at].Tell(f.now, &schema.Report{Proxy: p.name, Incarnation: uint64(p.life), Source: cloned(source)[0]})
	}
}

// try opens a session on trial now and then, and after a while takes it or gives it up.
func (f *fleet) try(p *member) {
	switch at := f.dice.IntN(3); {
	case p.visit == nil && p.at >= 0 && at != p.at && f.up[at] && !f.apart(p.name, seatOf(at)) && f.dice.IntN(8) == 0:
		f.tables[at].Learn(f.now, p.vector())
		f.tables[at].Visit(p.name)
		p.visit = &visit{at, f.lives[at], 1 + f.dice.IntN(3)}
		return
	case p.visit == nil:
		return
	}
	held := p.visit
	stands := f.up[held.at] && f.lives[held.at] == held.life
	if held.beats--; stands && held.beats > 0 && p.up {
		return
	}
	p.visit = nil
	if stands && p.up && f.inTouch(held.at) && !f.apart(p.name, seatOf(held.at)) && f.dice.IntN(2) == 0 {
		f.leave(p)
		p.at, p.seated = held.at, &seated{NewPosition(p.name, "", p.vector()), [2]int{held.life, p.life}}
		f.tell(p, p.source())
		return
	}
	if stands {
		f.tables[held.at].Depart(f.now, p.name)
	}
}

// leave ends a proxy's session, as its registry sees it.
func (f *fleet) leave(p *member) {
	if p.at >= 0 && f.up[p.at] && p.seated.lives[0] == f.lives[p.at] {
		f.tables[p.at].Depart(f.now, p.name)
	}
	p.at = -1
}

// holds tells whether a proxy's session is whole.
func (f *fleet) holds(p *member) bool {
	return p.up && f.up[p.at] && p.seated.lives == [2]int{f.lives[p.at], p.life} && !f.apart(p.name, seatOf(p.at))
}

// step lets one beat go by.
func (f *fleet) step() {
	f.now += fleetBeat
	for i, table := range f.tables {
		if f.inTouch(i) {
			table.Vouch(f.now)
		}
		for j, other := range f.tables {
			if i == j || !f.up[i] || !f.up[j] || f.apart(seatOf(i), seatOf(j)) {
				delete(f.peers, [2]int{i, j})
				continue
			}
			held, lives := f.peers[[2]int{i, j}], [2]int{f.lives[i], f.lives[j]}
			if held == nil || held.lives != lives {
				other.Learn(f.now, table.Vector())
				held = &seated{NewPosition(seatOf(i), seatOf(i), table.Vector()), lives}
				f.peers[[2]int{i, j}] = held
			}
			for _, source := range cloned(other.News(f.now, held.position)...) {
				table.Merge(f.now, source)
			}
			table.Reach(f.now, seatOf(j), other.Reached(f.now))
		}
	}
	for _, p := range f.proxies {
		f.try(p)
		if p.at >= 0 && (!f.holds(p) || (!f.inTouch(p.at) && f.dice.IntN(3) == 0)) {
			f.leave(p)
		}
		if !p.up {
			continue
		}
		if p.at < 0 {
			at := f.dice.IntN(3)
			for _, better := range f.dice.Perm(3) {
				if f.inTouch(better) && !f.apart(p.name, seatOf(better)) {
					at = better
				}
			}
			if f.up[at] && !f.apart(p.name, seatOf(at)) {
				source := p.source()
				p.known[p.name] = source
				p.at, p.since = at, f.now
				p.seated = &seated{NewPosition(p.name, "", p.vector()), [2]int{f.lives[at], p.life}}
				f.tables[at].Learn(f.now, p.vector())
				f.tables[at].Arrive(f.now, cloned(source)[0])
			}
		}
		if p.at >= 0 && p.take(cloned(f.tables[p.at].News(f.now, p.seated.position)...)) {
			f.tell(p, p.source())
		}
		if p.at < 0 || !f.inTouch(p.at) {
			p.since = f.now
		}
	}
	f.check()
}

// check holds that no proxy loses another that is in session, whatever becomes of the feeds.
func (f *fleet) check() {
	for _, p := range f.proxies {
		for _, other := range f.proxies {
			steady := p.up && other.up && f.now-other.since > 2*span && f.now-p.since > 2*span
			if held := p.known[other.name]; steady && (held == nil || held.Stamp.Ended) {
				f.t.Fatalf("seed %d, %v: %s lost %s, which is in session: %v", f.seed, f.now, p.name, other.name, held)
			}
		}
	}
}

// fault does something to the fleet.
func (f *fleet) fault() {
	p, i := f.proxies[f.dice.IntN(len(f.proxies))], f.dice.IntN(3)
	switch f.dice.IntN(9) {
	case 0:
		if p.up {
			p.word++
			f.tell(p, p.source())
		}
	case 1:
		p.up = false
	case 2:
		// It ends politely.
		if p.up {
			last := p.source()
			last.Ended, last.Workers = true, nil
			f.tell(p, last)
			p.up = false
		}
	case 3:
		f.leave(p)
		f.startProxy(p)
	case 4:
		f.up[i] = false
	case 5:
		if !f.up[i] {
			f.startTable(i)
		}
	case 6:
		f.cut[[2]string{seatOf(i), seatOf((i + 1) % 3)}] = true
	case 7:
		f.cut[[2]string{p.name, seatOf(i)}] = true
	case 8:
		clear(f.cut)
	}
}

// Whatever restarts, dies, moves and is cut off, once all is calm every proxy lists every living
// one with its last word, and none that is dead.
func TestRosterSettles(t *testing.T) {
	for seed := range uint64(300) {
		f := newFleet(t, seed, 4)
		for range 300 {
			if f.dice.IntN(4) == 0 {
				f.fault()
			}
			f.step()
		}
		clear(f.cut)
		for i := range f.tables {
			if !f.up[i] {
				f.startTable(i)
			}
		}
		for range 8 * session.LeaseParts {
			f.step()
		}
		for _, p := range f.proxies {
			for _, other := range f.proxies {
				if !p.up {
					continue
				}
				held := p.known[other.name]
				last := fmt.Sprintf("%s-%d-%d", other.name, other.life, other.word)
				lists := held != nil && len(held.Workers) > 0
				if lists != other.up || (lists && held.Workers[0].Instance != last) {
					t.Fatalf("seed %d: %s has %v of %s (up %v), not %s", seed, p.name, held, other.name, other.up, last)
				}
			}
		}
		if members := f.tables[0].Members(f.now); members != f.living() {
			t.Fatalf("seed %d: %d members, not %d", seed, members, f.living())
		}
	}
}

func (f *fleet) living() int {
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
func TestOrphansOfALostRegistry(t *testing.T) {
	for _, touch := range []bool{true, false} {
		table := NewTable(TableOptions{Seat: "a", Lease: span, SourcesMost: 4, CountsMost: 4, Leaseless: true})
		table.Merge(0, &schema.Source{Name: "p", Home: "b", Stamp: &schema.Stamp{Incarnation: 1, Counter: 1}})
		table.Reach(0, "b", nil)
		for now := time.Duration(0); now <= 3*span; now += fleetBeat {
			if touch {
				table.Vouch(now)
			}
			table.sweep(now)
		}
		if ended := table.sources["p"].source.Stamp.GetEnded(); ended != touch {
			t.Errorf("in touch %v: listed as ended %v", touch, ended)
		}
	}
}
