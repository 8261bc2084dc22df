package registry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"meadowhinge/schema"
)

// newsByWalk is what a session is to be told, found by looking at everything there is.
func newsByWalk(t *Table, position *Position) []string {
	from, level, hears := position.place, position.begun, t.roster.hears[position.peer]
	if position.peer != "" && !slices.Equal(hears, position.hears) {
		from, level = 0, false
	}
	passes := func(home string) bool {
		return position.peer == "" || !level || home == "a" || (home != position.peer && !slices.Contains(hears, home))
	}
	var names []string
	for name, held := range t.sources {
		place := held.place
		if position.peer == "" {
			place = held.shown
		}
		if place > from && newerStamp(held.source.Stamp, position.vector[name]) && passes(held.source.Home) {
			names = append(names, name)
		}
	}
	for name, held := range t.roster.bare {
		if (position.peer != "" || name == position.node) && held.place > from && newerStamp(held.source.Stamp, position.vector[name]) && passes(held.source.Home) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Whatever is taken, ended, forgotten or only heard of, sessions are told the same by the order of
// news as by looking at everything; and the order stays of the size of what is held.
func TestNewsByOrder(t *testing.T) {
	for seed := range uint64(60) {
		dice := rand.New(rand.NewPCG(seed, 8))
		table := NewTable(TableOptions{Seat: "a", Lease: span, SourcesMost: 12, CountsMost: 4, Leaseless: true})
		table.Among(3)
		positions := []*Position{NewPosition("p0", "", nil), NewPosition("p1", "", map[string]*schema.Stamp{"p2": {Incarnation: 2}}), NewPosition("registry/b", "b", nil), NewPosition("registry/c", "c", nil)}
		incarnations, now := map[string]uint64{}, time.Duration(0)
		for step := range 400 {
			now += time.Duration(dice.Int64N(int64(span / 16)))
			name := fmt.Sprint("p", dice.IntN(16))
			source := &schema.Source{Name: name, Home: []string{"a", "b", "c"}[dice.IntN(3)], Address: fmt.Sprint(dice.IntN(2)),
				Stamp: &schema.Stamp{Incarnation: incarnations[name], Counter: uint64(step)}}
			switch dice.IntN(8) {
			case 0:
				incarnations[name]++
			case 1:
				table.Learn(now, map[string]*schema.Stamp{name: {Incarnation: incarnations[name] + uint64(dice.IntN(3))}})
			case 2:
				table.Reach(now, []string{"b", "c"}[dice.IntN(2)], [][]string{{"c"}, {"b"}, {}}[dice.IntN(3)])
			case 3:
				source.Stamp.Ended = true
				table.Merge(now, source)
			case 4:
				table.Vouch(now)
			default:
				table.Merge(now, source)
			}
			position := positions[dice.IntN(len(positions))]
			table.sweep(now)
			want, got := newsByWalk(table, position), []string{}
			for _, one := range table.News(now, position) {
				got = append(got, one.Name)
			}
			if !slices.Equal(got, want) {
				t.Fatalf("seed %d, step %d: %s is told of %v, not of %v", seed, step, position.node, got, want)
			}
			if held := len(table.roster.order); held > orderTimes*(len(table.sources)+2) {
				t.Fatalf("seed %d, step %d: an order of %d for %d sources", seed, step, held, len(table.sources))
			}
		}
	}
}

// The registries' cost of one change of one proxy, told to every session, by how many there are.
func BenchmarkNews(b *testing.B) {
	for _, members := range []int{50, 200, 820} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			table := NewTable(TableOptions{Seat: "a", Lease: span, SourcesMost: 4096, CountsMost: 4, Leaseless: true})
			source := func(i int, counter uint64) *schema.Source {
				return &schema.Source{Name: fmt.Sprint("p", i), Home: "a", Stamp: &schema.Stamp{Incarnation: 1, Counter: counter}, Workers: []*schema.Worker{{Instance: fmt.Sprint("w", i), Leaving: counter%2 == 0}}}
			}
			var positions []*Position
			for i := range members {
				table.Arrive(0, source(i, 1))
				positions = append(positions, NewPosition(fmt.Sprint("p", i), "", nil))
			}
			for _, position := range positions {
				table.News(0, position)
			}
			for turn := 0; b.Loop(); turn++ {
				table.Merge(0, source(0, uint64(turn+2)))
				for _, position := range positions {
					if news := table.News(0, position); len(news) != 1 || !strings.HasPrefix(news[0].Name, "p0") {
						b.Fatal(news)
					}
					table.Members(0)
				}
			}
		})
	}
}
