package session

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"meadowhinge/schema"
)

// TieOptions are whose tie it is and the times it goes by.
type TieOptions struct {
	Name    string        // of this proxy: proxies spread over the registries by it
	Area    string        // its zone: a registry there is taken first
	Beat    time.Duration // how often a registry says something at the least
	Silence time.Duration // a registry silent for so long is left
	Lag     time.Duration // and one whose setup may be so old
	Back    time.Duration // how long one that failed or lagged is not tried again while another does
}

// TieAct opens or ends a session with the registry at an address.
type TieAct struct {
	Open    bool
	Trial   bool // beside the session that counts, which stays until this one is heard and is better
	Address string
	Why     string
}

// Tie is with which registry a proxy has its session: one of its own zone if it can, and another
// as long as that one is silent, gone, or cut off from the core. A new session is opened before
// the old one is ended, unless that one is dead. It is a step function of what is heard and when.
type Tie struct {
	options TieOptions
	seeds   []string
	places  map[string]*place
	known   bool          // the registries told who they are
	current string        // the session that counts, empty for none
	opening string        // one that was opened to take its place
	due     time.Duration // when Tick was to be called at the latest; 0 for not said
	fit     bool          // some registry was in touch with the core, once
	grace   time.Duration // until when nobody is taken to be silent or to lag, after a stall of this process
}

// place is an address where a registry is, or may be.
type place struct {
	address  string
	area     string
	listed   bool // by the registries themselves
	open     bool
	begun    time.Duration
	heard    bool
	heardAt  time.Duration // in this session
	failed   bool
	failedAt time.Duration
	lagged   bool
	laggedAt time.Duration
	aged     bool          // it told how old its setup may be
	freshAt  time.Duration // of what time its setup is known to be the newest
}

// NewTie starts from addresses that were given.
func NewTie(options TieOptions, seeds []string) *Tie {
	t := &Tie{options: options, places: map[string]*place{}}
	t.Seeds(seeds)
	return t
}

// Seeds takes other addresses to start from. Sessions that are open stay.
func (t *Tie) Seeds(seeds []string) {
	t.seeds = seeds
	for _, address := range seeds {
		t.at(address)
	}
}

func (t *Tie) at(address string) *place {
	held := t.places[address]
	if held == nil {
		held = &place{address: address}
		t.places[address] = held
	}
	return held
}

// Cores takes where the registries say that they are.
func (t *Tie) Cores(cores []*schema.Core) {
	if len(cores) == 0 {
		return
	}
	t.known = true
	for _, held := range t.places {
		held.listed = false
	}
	for _, core := range cores {
		if core.Address != "" {
			held := t.at(core.Address)
			held.listed, held.area = true, core.Area
		}
	}
	for address, held := range t.places {
		if !held.listed && !held.open && !slices.Contains(t.seeds, address) {
			delete(t.places, address)
		}
	}
}

// Current is the address of the session that counts, empty for none.
func (t *Tie) Current() string { return t.current }

// stallParts is the part of a beat by which a call that is late shows that this process stalled.
const stallParts = 2

// wake finds out whether this process was stalled: what came meanwhile has not been looked at
// yet, so its own silence must not be taken for that of registries.
func (t *Tie) wake(now time.Duration) {
	if late := now - t.due; t.due > 0 && late > t.options.Beat/stallParts {
		for _, held := range t.places {
			held.begun, held.heardAt = held.begun+late, held.heardAt+late
		}
		t.grace = now + t.options.Beat
	}
	t.due = 0
}

// Heard takes a sign of life in a session, and how old the registry's setup may be.
func (t *Tie) Heard(now time.Duration, address string, vouched bool, age time.Duration) []TieAct {
	t.wake(now)
	held := t.places[address]
	if held == nil || !held.open {
		return t.Tick(now)
	}
	held.heard, held.heardAt, held.aged, held.freshAt, held.failed = true, now, vouched, now-age, false
	if held.lagged = t.lags(now, held); held.lagged {
		held.laggedAt = now
	}
	t.fit = t.fit || !held.lagged
	return t.Tick(now)
}

// Ended takes the end of a session, or that it could not be opened.
func (t *Tie) Ended(now time.Duration, address string) []TieAct {
	t.wake(now)
	if held := t.places[address]; held != nil && held.open {
		t.fail(now, held)
	}
	return t.Tick(now)
}

func (t *Tie) fail(now time.Duration, held *place) {
	held.open, held.heard, held.failed, held.failedAt = false, false, true, now
	if t.current == held.address {
		t.current = ""
	}
	if t.opening == held.address {
		t.opening = ""
	}
}

// lags tells whether a registry's setup may be too old.
func (t *Tie) lags(now time.Duration, held *place) bool {
	return now >= t.grace && (!held.aged || now-held.freshAt > t.options.Lag)
}

// suspectTimes is how many beats may be missed before another registry is tried beside a silent one.
const suspectTimes = 1.5

// lastHeard is when a session gave its last sign of life, or began.
func (held *place) lastHeard() time.Duration {
	if held.heard {
		return held.heardAt
	}
	return held.begun
}

// triedAt is when a registry was last found wanting.
func (held *place) triedAt() time.Duration { return max(held.failedAt, held.laggedAt) }

// Ratios to a beat, of how long one that lagged is not tried again, if all do.
const (
	laggedBeats = 2
	firstParts  = 4 // as long as none was found that does not
)

// laggedPause is that time. A proxy that has just started holds nothing that it could go on by,
// and where the core started with it, the registries find the core again one by one.
func (t *Tie) laggedPause() time.Duration {
	if t.fit {
		return laggedBeats * t.options.Beat
	}
	return t.options.Beat / firstParts
}

// Classes of registries, the better ones first.
const (
	classSound    = iota
	classAway     // in another zone
	classDoubtful // failed or lagged not long ago: tried again only if there is nothing better than a lagging one
	classLagging  // not in touch with the core, or silent for a moment
	classFailed   // just now
)

// class tells how good a registry is, as far as it is known.
func (t *Tie) class(now time.Duration, held *place) int {
	recent := func(at time.Duration) bool { return now-at < t.options.Back }
	failed, lagged := !held.open && held.failed, !held.open && held.lagged
	silent := now >= t.grace && held.open && now-held.lastHeard() > time.Duration(suspectTimes*float64(t.options.Beat))
	switch {
	case failed && now-held.failedAt < t.options.Beat:
		return classFailed
	case silent, held.open && held.heard && t.lags(now, held), lagged && now-held.laggedAt < t.laggedPause():
		return classLagging
	case failed && recent(held.failedAt), lagged && recent(held.laggedAt), !held.open && !held.listed && t.known:
		return classDoubtful
	case held.area != "" && t.options.Area != "" && held.area != t.options.Area:
		return classAway
	}
	return classSound
}

// spread puts registries of one class in an order of this proxy's own.
func (t *Tie) spread(address string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(t.options.Name + " " + address))
	return sum.Sum64()
}

// best is the registry to have a session with.
func (t *Tie) best(now time.Duration) *place {
	var places []*place
	for address, held := range t.places {
		// Addresses that were given matter until the registries say where they are, and again,
		// as the class has it, when none of those can be reached.
		if held.listed || !t.known || slices.Contains(t.seeds, address) {
			places = append(places, held)
		}
	}
	slices.SortFunc(places, func(a, b *place) int {
		first, second := t.class(now, a), t.class(now, b)
		switch {
		case first != second:
			return first - second
		case (first == classFailed || first == classDoubtful) && a.triedAt() != b.triedAt():
			return int(a.triedAt() - b.triedAt())
		case a.address == t.current || b.address == t.current:
			if a.address == t.current {
				return -1
			}
			return 1
		}
		if one, other := t.spread(a.address), t.spread(b.address); one != other {
			if one < other {
				return -1
			}
			return 1
		}
		return strings.Compare(a.address, b.address)
	})
	if len(places) == 0 {
		return nil
	}
	return places[0]
}

// Tick looks at the sessions and tells what to do.
func (t *Tie) Tick(now time.Duration) []TieAct {
	t.wake(now)
	var acts []TieAct
	for _, address := range t.sorted() {
		if held := t.places[address]; held.open && now >= t.grace && now-held.lastHeard() >= t.options.Silence {
			t.fail(now, held)
			acts = append(acts, TieAct{Address: address, Why: "silent"})
		}
	}
	// What was opened to take a session's place takes it once it is heard and is the better one.
	if held := t.places[t.opening]; held != nil && held.heard {
		if current := t.places[t.current]; current == nil || t.class(now, held) < t.class(now, current) {
			if current != nil {
				current.open, current.heard = false, false
				acts = append(acts, TieAct{Address: t.current, Why: "another is better"})
			}
			t.current, t.opening = held.address, ""
		} else {
			held.open, held.heard = false, false
			acts = append(acts, TieAct{Address: held.address, Why: "it is no better"})
			t.opening = ""
		}
	}
	if t.opening != "" {
		return acts
	}
	best, current := t.best(now), t.places[t.current]
	switch {
	case best == nil, best == current:
		return acts
	// Each is tried again after a while, so that not all are called over and over when none answers.
	case current == nil && best.failed && now-best.failedAt < t.options.Beat:
		return acts
	case current != nil && t.class(now, best) >= t.class(now, current):
		return acts
	}
	best.open, best.begun, best.heard = true, now, false
	t.opening = best.address
	why := "none"
	if current != nil {
		why = classNames[t.class(now, current)]
	}
	return append(acts, TieAct{Open: true, Trial: current != nil, Address: best.address, Why: why})
}

var classNames = map[int]string{classSound: "sound", classAway: "in another zone", classLagging: "lags", classDoubtful: "failed before", classFailed: "failed"}

func (t *Tie) sorted() []string {
	addresses := make([]string, 0, len(t.places))
	for address := range t.places {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// Next is when Tick must be called at the latest, if nothing is heard before.
func (t *Tie) Next(now time.Duration) time.Duration {
	next := now + t.options.Silence
	for _, held := range t.places {
		if !held.open {
			continue
		}
		for _, at := range []time.Duration{held.lastHeard() + time.Duration(suspectTimes*float64(t.options.Beat)) + 1, held.lastHeard() + t.options.Silence, held.freshAt + t.options.Lag + 1} {
			if at > now {
				next = min(next, at)
			}
		}
	}
	if t.grace > now {
		next = min(next, t.grace)
	}
	switch {
	case t.opening != "":
	case !t.fit:
		next = min(next, now+t.laggedPause())
	case t.current == "":
		next = min(next, now+t.options.Beat)
	}
	t.due = next
	return next
}
