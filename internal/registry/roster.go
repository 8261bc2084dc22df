package registry

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"meadowhinge/schema"
)

// Ratios to the lease of how long sources of sessions stay listed.
const (
	partedLeases = 1  // after the last session of a proxy ended at its home
	orphanLeases = 2  // after its home was last heard, if this registry is in touch with the core
	vouchedParts = 2  // part of a lease within which its setup must have been vouched for, for it to be so
	sweptParts   = 64 // part of a lease for which sessions need not look again for what has run out
)

// roster is the part of a table that is about sessions: a proxy in session need not say again
// and again that it lives, for its registry sees it. A source stays until its home, the registry
// that had its session, finds the session ended for good, or the home itself is lost.
type roster struct {
	place    uint64                   // of the news taken last
	order    []placed                 // of sources, by place; those taken again since are in it twice
	sessions map[string]int           // open here, by proxy
	parted   map[string]time.Duration // when a proxy's last session here ended
	bare     map[string]*heldSource   // incarnations seen of names, above what is held of them
	reached  map[string]time.Duration // when another registry was last heard here, or by one that was
	direct   map[string]time.Duration // and when here
	hears    map[string][]string      // which registries another one hears
	vouched  time.Duration            // when the setup here was last known to be the newest
	isFresh  bool
	others   int // registries beside this one
	// members are so many since the place and the time at which they were counted.
	members   int
	countedTo uint64
	countedAt time.Duration
}

// placed is where in the order of all news a source's were taken.
type placed struct {
	place uint64
	name  string
}

// orderTimes is how many times the sources the order may hold before it is put straight.
const orderTimes = 2

func newRoster() roster {
	return roster{sessions: map[string]int{}, parted: map[string]time.Duration{}, bare: map[string]*heldSource{}, reached: map[string]time.Duration{}, direct: map[string]time.Duration{}, hears: map[string][]string{}}
}

// Arrive opens a session of a proxy and takes what it tells of itself.
func (t *Table) Arrive(now time.Duration, source *schema.Source) bool {
	t.roster.sessions[source.Name]++
	t.own(source)
	return t.Merge(now, source)
}

// Visit opens a session of a proxy that has another one: its source stays with the home of that
// one until the proxy tells of itself here.
func (t *Table) Visit(name string) { t.roster.sessions[name]++ }

// Depart ends a session of a proxy.
func (t *Table) Depart(now time.Duration, name string) {
	t.roster.sessions[name]--
	if t.roster.sessions[name] <= 0 {
		delete(t.roster.sessions, name)
		t.roster.parted[name] = now
	}
}

// Reach notes that another registry was heard, and those that it hears itself.
func (t *Table) Reach(now time.Duration, seat string, others []string) {
	t.roster.hears[seat] = others
	t.roster.direct[seat], t.roster.reached[seat] = now, now
	for _, other := range others {
		t.roster.reached[other] = now
	}
}

// Among tells how many seats the core has.
func (t *Table) Among(seats int) { t.roster.others = seats - 1 }

// Vouch notes of what time the setup here is known to be the newest.
func (t *Table) Vouch(at time.Duration) {
	if !t.roster.isFresh || at > t.roster.vouched {
		t.roster.isFresh, t.roster.vouched = true, at
	}
}

// Age is how long ago the setup here was last known to be the newest; false if it never was.
func (t *Table) Age(now time.Duration) (time.Duration, bool) {
	return now - t.roster.vouched, t.roster.isFresh
}

// inTouch tells whether this registry's store is in touch with a majority of the core.
func (t *Table) inTouch(now time.Duration) bool {
	age, known := t.Age(now)
	return known && age <= t.options.Lease/vouchedParts
}

// own makes a source that was told here this registry's to mind.
func (t *Table) own(source *schema.Source) {
	if source != nil && t.roster.sessions[source.Name] > 0 {
		source.Home = t.options.Seat
	}
}

// retire lists sources as ended whose proxies are gone.
func (t *Table) retire(now time.Duration) {
	for name, held := range t.sources {
		home := held.source.Home
		if home == "" || held.source.Stamp.GetEnded() {
			continue
		}
		gone := false
		if home == t.options.Seat {
			// After a restart of this registry its proxies are given as long to come back.
			gone = t.roster.sessions[name] == 0 && now-max(t.roster.parted[name], held.at) > partedLeases*t.options.Lease
		} else {
			// When the others are silent because this registry is cut off, nothing is known of their proxies.
			gone = t.inTouch(now) && now-max(t.roster.reached[home], held.at) > orphanLeases*t.options.Lease
		}
		if gone {
			t.end(now, held.source)
		}
	}
	// Some node lists a proxy that no registry knows any more: if it lived, it would have come.
	// That is only certain while all of them are heard here.
	for _, held := range t.roster.bare {
		if t.inTouch(now) && len(t.Reached(now)) >= t.roster.others && now-held.at > orphanLeases*t.options.Lease {
			t.end(now, held.source)
		}
	}
}

// end lists a source as ended.
func (t *Table) end(now time.Duration, source *schema.Source) {
	stamp := &schema.Stamp{Incarnation: source.Stamp.GetIncarnation(), Counter: source.Stamp.GetCounter(), Ended: true}
	t.put(now, &schema.Source{Name: source.Name, Stamp: stamp, Address: source.Address, Area: source.Area, Home: t.options.Seat})
}

// put takes a source's news and gives them a place in the order of all news taken here.
func (t *Table) put(now time.Duration, source *schema.Source) {
	t.roster.place++
	fresh := &heldSource{source: source, at: now, place: t.roster.place, shown: t.roster.place}
	// A proxy that only changed its registry says nothing new to other proxies.
	if held := t.sources[source.Name]; held != nil && sameWord(held.source, source) {
		fresh.shown = held.shown
	}
	t.sources[source.Name] = fresh
	t.roster.order = append(t.roster.order, placed{fresh.place, source.Name})
	if len(t.roster.order) > orderTimes*(len(t.sources)+1) {
		t.roster.order = slices.DeleteFunc(t.roster.order, func(one placed) bool {
			held := t.sources[one.name]
			return held == nil || held.place != one.place
		})
	}
	if bare := t.roster.bare[source.Name]; bare != nil && !newerStamp(bare.source.Stamp, source.Stamp) {
		delete(t.roster.bare, source.Name)
	}
}

// sameWord tells whether two words of one life say the same, but for loads, which proxies learn
// from answers.
func sameWord(a, b *schema.Source) bool {
	if a.Stamp.GetIncarnation() != b.Stamp.GetIncarnation() || a.Stamp.GetEnded() || b.Stamp.GetEnded() || a.Ended != b.Ended || a.Address != b.Address || a.Area != b.Area {
		return false
	}
	return slices.EqualFunc(a.Workers, b.Workers, func(a, b *schema.Worker) bool {
		return a.Instance == b.Instance && a.Service == b.Service && a.Version == b.Version && a.Area == b.Area && a.Leaving == b.Leaving && a.Gone == b.Gone && a.Slots == b.Slots
	})
}

// Learn takes from a vector what others saw that is unknown here. A proxy that is restarted must
// go beyond it, or whoever has it would not believe the proxy.
func (t *Table) Learn(now time.Duration, vector map[string]*schema.Stamp) {
	for name, stamp := range vector {
		t.learnBare(now, &schema.Source{Name: name, Stamp: &schema.Stamp{Incarnation: stamp.GetIncarnation(), Counter: stamp.GetCounter()}, Bare: true, Home: t.options.Seat})
	}
}

// Seen is the highest incarnation seen of a name.
func (t *Table) Seen(name string) uint64 {
	seen := uint64(0)
	if held := t.sources[name]; held != nil {
		seen = held.source.Stamp.GetIncarnation()
	}
	if held := t.roster.bare[name]; held != nil {
		seen = max(seen, held.source.Stamp.GetIncarnation())
	}
	return seen
}

// ToldOf lists the workers that a proxy told of last and that did not say they were leaving. A
// proxy that is killed loses them, while they live on and speak only with their next beat.
func (t *Table) ToldOf(name string) []*schema.Worker {
	held := t.sources[name]
	if held == nil || held.source.Ended {
		return nil
	}
	var staying []*schema.Worker
	for _, worker := range held.source.Workers {
		if !worker.Leaving && !worker.Gone {
			staying = append(staying, worker)
		}
	}
	return staying
}

// Bare lists what is known of incarnations alone beyond a vector; of a proxy's own name, or of all.
func (t *Table) Bare(vector map[string]*schema.Stamp, name string) []*schema.Source {
	var listed []*schema.Source
	for one, held := range t.roster.bare {
		if (name == "" || one == name) && held.source.Stamp.Incarnation > vector[one].GetIncarnation() {
			listed = append(listed, held.source)
		}
	}
	return listed
}

func (t *Table) learnBare(now time.Duration, source *schema.Source) bool {
	if held := t.sources[source.Name]; held != nil && !newerStamp(source.Stamp, held.source.Stamp) {
		return false
	}
	held := t.roster.bare[source.Name]
	if (held != nil && !newerStamp(source.Stamp, held.source.Stamp)) || (held == nil && len(t.roster.bare) >= t.options.SourcesMost) {
		return false
	}
	t.roster.place++
	t.roster.bare[source.Name] = &heldSource{source: source, at: now, place: t.roster.place}
	return true
}

// Position is how far a session has been told of sources.
type Position struct {
	node   string
	peer   string // the seat of another registry, empty for a proxy
	hears  []string
	begun  bool
	place  uint64
	vector map[string]*schema.Stamp
}

// NewPosition begins a session with a node that has a vector; with a peer, its seat is given.
func NewPosition(node, peer string, vector map[string]*schema.Stamp) *Position {
	return &Position{node: node, peer: peer, vector: vector}
}

// passesOn tells whether a session is told of sources of a home. Once level, a registry is told
// of those at home here, and of those of registries that it does not hear itself.
func (t *Table) passesOn(position *Position, home string) bool {
	return position.peer == "" || !position.begun || home == t.options.Seat || (home != position.peer && !slices.Contains(position.hears, home))
}

// News lists the sources that a session has not been told of, and moves it on.
func (t *Table) News(now time.Duration, position *Position) []*schema.Source {
	t.sweepSoon(now)
	// What a registry no longer hears, it has to be told from the start.
	if hears := t.roster.hears[position.peer]; position.peer != "" && !slices.Equal(hears, position.hears) {
		position.hears, position.begun, position.place = hears, false, 0
	}
	var news []*schema.Source
	// Every session asks at each piece of news: only what was taken since it last did is looked at.
	from, _ := slices.BinarySearchFunc(t.roster.order, position.place+1, func(one placed, place uint64) int { return cmp.Compare(one.place, place) })
	for _, one := range t.roster.order[from:] {
		name, held := one.name, t.sources[one.name]
		if held == nil || held.place != one.place {
			continue
		}
		// A proxy knows of itself; it is told only what was said of it since, or in an earlier life.
		place := held.place
		if position.peer == "" {
			place = held.shown
		}
		if place > position.place && newerStamp(held.source.Stamp, position.vector[name]) && t.passesOn(position, held.source.Home) {
			news = append(news, held.source)
		}
	}
	seen := func(name string, held *heldSource) {
		if held != nil && held.place > position.place && newerStamp(held.source.Stamp, position.vector[name]) && t.passesOn(position, held.source.Home) {
			news = append(news, held.source)
		}
	}
	if position.peer == "" {
		seen(position.node, t.roster.bare[position.node])
	} else {
		for name, held := range t.roster.bare {
			seen(name, held)
		}
	}
	slices.SortFunc(news, func(a, b *schema.Source) int { return strings.Compare(a.Name, b.Name) })
	position.begun, position.place = true, t.roster.place
	return news
}

// Sessions counts the proxies in session here.
func (t *Table) Sessions() int { return len(t.roster.sessions) }

// Reached lists the registries that were heard here within a lease.
func (t *Table) Reached(now time.Duration) []string {
	var seats []string
	for seat, at := range t.roster.direct {
		if now-at <= t.options.Lease {
			seats = append(seats, seat)
		}
	}
	slices.Sort(seats)
	return seats
}
