package session

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"meadowhinge/schema"
)

var tieOptions = TieOptions{Name: "p", Area: "x", Beat: 4, Silence: 8, Lag: 20, Back: 32}

var threeCores = []*schema.Core{{Seat: "a", Address: "a", Area: "x"}, {Seat: "b", Address: "b", Area: "y"}, {Seat: "c", Address: "c", Area: "z"}}

// tied is a proxy in a world of registries that say something every beat while they can.
type tied struct {
	tie     *Tie
	now     time.Duration
	next    time.Duration // when the tie wants to be asked
	open    map[string]time.Duration
	mute    map[string]bool // says nothing
	dead    map[string]bool // ends its sessions at once
	stale   map[string]time.Duration
	none    time.Duration // without a session that counts, now
	longest time.Duration // and at the most, after the first
	begun   bool
	log     []string
}

func newTied(cores []*schema.Core, seeds ...string) *tied {
	w := &tied{tie: NewTie(tieOptions, seeds), open: map[string]time.Duration{}, mute: map[string]bool{}, dead: map[string]bool{}, stale: map[string]time.Duration{}}
	w.tie.Cores(cores)
	return w
}

func (w *tied) do(acts []TieAct) {
	for _, act := range acts {
		if !act.Open {
			delete(w.open, act.Address)
			w.log = append(w.log, fmt.Sprintf("%d -%s", w.now, act.Address))
			continue
		}
		w.open[act.Address] = w.now
		w.log = append(w.log, fmt.Sprintf("%d +%s", w.now, act.Address))
	}
}

// until lets time go by, a unit at a time.
func (w *tied) until(end time.Duration) {
	for ; w.now < end; w.now++ {
		if w.now >= w.next {
			w.do(w.tie.Tick(w.now))
			w.next = w.tie.Next(w.now)
		}
		for _, address := range w.tie.sorted() {
			begun, open := w.open[address]
			switch {
			case !open:
			case w.dead[address]:
				delete(w.open, address)
				w.do(w.tie.Ended(w.now, address))
				w.next = w.tie.Next(w.now)
			case w.mute[address]:
			case (w.now-begun)%tieOptions.Beat == 1:
				w.do(w.tie.Heard(w.now, address, true, w.stale[address]))
				w.next = w.tie.Next(w.now)
			}
		}
		if w.none++; w.tie.Current() != "" {
			w.none, w.begun = 0, true
		}
		if w.begun {
			w.longest = max(w.longest, w.none)
		}
		if len(w.open) > 2 {
			w.log = append(w.log, "too many sessions")
		}
	}
}

// A proxy keeps to the registry of its zone, and leaves it for another within bounds.
func TestTie(t *testing.T) {
	for name, one := range map[string]struct {
		cores []*schema.Core
		seeds []string
		play  func(w *tied)
		at    string        // the session that counts at the end, of several by comma
		gap   time.Duration // the longest time without any, from the first on
	}{
		"calm":                      {threeCores, nil, func(w *tied) { w.until(100) }, "a", 0},
		"seeds alone":               {nil, []string{"b"}, func(w *tied) { w.until(30) }, "b", 0},
		"cores are learnt":          {nil, []string{"b"}, func(w *tied) { w.until(10); w.tie.Cores(threeCores); w.until(20) }, "a", 0},
		"its registry is killed":    {threeCores, nil, func(w *tied) { w.until(21); w.dead["a"] = true; w.until(40) }, "b,c", 3},
		"and comes back":            {threeCores, nil, func(w *tied) { w.until(21); w.dead["a"] = true; w.until(30); w.dead["a"] = false; w.until(100) }, "a", 3},
		"its registry falls silent": {threeCores, nil, func(w *tied) { w.until(21); w.mute["a"] = true; w.until(40) }, "b,c", 0},
		"two are silent":            {threeCores, nil, func(w *tied) { w.until(21); w.mute["a"], w.mute["b"] = true, true; w.until(60) }, "c", 10},
		"its registry is cut off":   {threeCores, nil, func(w *tied) { w.until(21); w.stale["a"] = 30; w.until(40) }, "b,c", 0},
		"and is whole again":        {threeCores, nil, func(w *tied) { w.until(21); w.stale["a"] = 30; w.until(40); w.stale["a"] = 0; w.until(100) }, "a", 0},
		"all are cut off": {threeCores, nil, func(w *tied) {
			w.until(21)
			w.stale["a"], w.stale["b"], w.stale["c"] = 30, 30, 30
			w.until(100)
		}, "a", 0},
		"all but one are cut off": {threeCores, nil, func(w *tied) { w.stale["a"], w.stale["b"] = 30, 30; w.until(40) }, "c", 0},
		"all are gone": {threeCores, []string{"d"}, func(w *tied) {
			w.until(21)
			w.dead["a"], w.dead["b"], w.dead["c"] = true, true, true
			w.until(60)
		}, "d", 20},
		"back in touch with one cut off first": {threeCores, nil, func(w *tied) {
			w.until(21)
			w.stale["a"], w.dead["a"], w.dead["b"], w.dead["c"] = 30, true, true, true
			w.until(41)
			w.dead["a"] = false
			w.until(44)
			w.dead["b"], w.dead["c"] = false, false
			w.until(60)
		}, "b,c", 30},
		"the core is whole again but for its own": {threeCores, nil, func(w *tied) {
			w.until(21)
			w.stale["a"], w.stale["b"], w.stale["c"] = 30, 30, 30
			w.until(45)
			w.stale["b"], w.stale["c"] = 0, 0
			w.until(45 + 3*tieOptions.Beat)
		}, "b,c", 0},
		"the core started with it and one registry finds it late": {threeCores, nil, func(w *tied) {
			w.stale["a"], w.stale["b"], w.stale["c"] = 30, 30, 30
			w.until(6)
			w.stale["b"], w.stale["c"] = 0, 0
			w.until(6 + tieOptions.Beat)
		}, "b,c", 0},
		"the process is stalled": {threeCores, nil, func(w *tied) {
			w.until(21)
			w.now = 51
			w.until(53)
			if len(w.open) != 1 {
				w.log = append(w.log, "too many sessions")
			}
			w.until(80)
		}, "a", 0},
		"a dead seed is not called while others answer": {threeCores, []string{"d"}, func(w *tied) {
			w.dead["d"] = true
			w.until(21)
			w.stale["a"] = 30
			w.until(60)
			if strings.Contains(strings.Join(w.log, ","), "+d") {
				w.log = append(w.log, "too many sessions")
			}
		}, "b,c", 0},
	} {
		w := newTied(one.cores, one.seeds...)
		one.play(w)
		if current := w.tie.Current(); current == "" || !strings.Contains(one.at, current) || strings.Contains(strings.Join(w.log, ","), "too many") {
			t.Errorf("%s: at %q, want %q: %v", name, current, one.at, w.log)
		}
		if w.longest > one.gap {
			t.Errorf("%s: %d without a session, want %d at most: %v", name, w.longest, one.gap, w.log)
		}
	}
}

// Seeds given while a proxy runs are tried once nothing known can be reached; the session that is
// open goes on.
func TestTieTakesOtherSeeds(t *testing.T) {
	w := newTied(threeCores, "a", "b", "c")
	w.until(100)
	w.tie.Seeds([]string{"d"})
	w.until(200)
	if w.tie.Current() != "a" || len(w.log) != 1 {
		t.Fatalf("in session with %q: %s", w.tie.Current(), strings.Join(w.log, ", "))
	}
	for _, address := range []string{"a", "b", "c"} {
		w.dead[address] = true
	}
	w.until(400)
	if w.tie.Current() != "d" {
		t.Errorf("in session with %q: %s", w.tie.Current(), strings.Join(w.log, ", "))
	}
}
