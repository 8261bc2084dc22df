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

// updatesByFullScan is the names that NextUpdates has to list for a session, found by looking at all sources. It states the rule
// anew, without the update log.
func updatesByFullScan(f *FleetState, cursor *SessionCursor) []string {
	toProxy := cursor.peerMemberID == ""
	from, started, reaches := cursor.sentSequence, cursor.started, f.directory.reachedBy[cursor.peerMemberID]
	if !toProxy && !slices.Equal(reaches, cursor.peerReaches) {
		from, started = 0, false
	}
	relays := func(home string) bool {
		return toProxy || !started || home == "a" || (home != cursor.peerMemberID && !slices.Contains(reaches, home))
	}
	lacks := func(name string, entry *sourceEntry, sequence uint64) bool {
		return sequence > from && isNewerVersion(entry.source.Version, cursor.vector[name]) && relays(entry.source.HomeRegistry)
	}
	var names []string
	for name, entry := range f.sources {
		sequence := entry.updateSequence
		if toProxy {
			sequence = entry.proxyUpdateSequence
		}
		if lacks(name, entry, sequence) {
			names = append(names, name)
		}
	}
	for name, entry := range f.directory.incarnationOnly {
		if (!toProxy || name == cursor.node) && lacks(name, entry, entry.updateSequence) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Whatever is merged, ended, evicted or known by incarnation only, sessions are sent the same by the update log as by a scan of all
// sources; and the log's length stays in proportion to the number of sources.
func TestUpdatesMatchFullScan(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 8))
		state := NewFleetState(FleetStateOptions{MemberID: "a", Lease: testLease, MaxSources: 12, MaxCounts: 4, WithoutLeases: true})
		state.SetMemberCount(3)
		cursors := []*SessionCursor{
			NewSessionCursor("p0", "", nil),
			NewSessionCursor("p1", "", map[string]*schema.SourceVersion{"p2": {Incarnation: 2}}),
			NewSessionCursor("registry/b", "b", nil),
			NewSessionCursor("registry/c", "c", nil),
		}
		incarnations, now := map[string]uint64{}, time.Duration(0)
		for step := range 400 {
			now += time.Duration(random.Int64N(int64(testLease / 16)))
			changeFleetState(random, state, incarnations, now, step)
			cursor := cursors[random.IntN(len(cursors))]
			state.sweep(now)
			want, got := updatesByFullScan(state, cursor), []string{}
			for _, update := range state.NextUpdates(now, cursor) {
				got = append(got, update.Name)
			}
			if !slices.Equal(got, want) {
				t.Fatalf("seed %d, step %d: %s is sent %v, not %v", seed, step, cursor.node, got, want)
			}
			if logLength := len(state.directory.updateLog); logLength > updateLogMaxRatio*(len(state.sources)+2) {
				t.Fatalf("seed %d, step %d: a log of %d for %d sources", seed, step, logLength, len(state.sources))
			}
		}
	}
}

// changeFleetState does one thing, drawn at random, that may change what sessions are sent.
func changeFleetState(random *rand.Rand, state *FleetState, incarnations map[string]uint64, now time.Duration, step int) {
	name := fmt.Sprint("p", random.IntN(16))
	source := &schema.Source{
		Name:         name,
		HomeRegistry: []string{"a", "b", "c"}[random.IntN(3)],
		Address:      fmt.Sprint(random.IntN(2)),
		Version:      &schema.SourceVersion{Incarnation: incarnations[name], Counter: uint64(step)},
	}
	switch random.IntN(8) {
	case 0:
		incarnations[name]++
	case 1:
		observed := incarnations[name] + uint64(random.IntN(3))
		state.ObserveVector(now, map[string]*schema.SourceVersion{name: {Incarnation: observed}})
	case 2:
		state.RecordPeerHeard(now, []string{"b", "c"}[random.IntN(2)], [][]string{{"c"}, {"b"}, {}}[random.IntN(3)])
	case 3:
		source.Version.Ended = true
		state.MergeSource(now, source)
	case 4:
		state.ConfirmCurrent(now)
	default:
		state.MergeSource(now, source)
	}
}

// BenchmarkNextUpdates measures what one update of one proxy costs a registry that sends it to every session, by their number.
func BenchmarkNextUpdates(b *testing.B) {
	for _, proxies := range []int{50, 200, 820} {
		b.Run(fmt.Sprint(proxies), func(b *testing.B) {
			state := NewFleetState(FleetStateOptions{MemberID: "a", Lease: testLease, MaxSources: 4096, MaxCounts: 4, WithoutLeases: true})
			source := func(i int, counter uint64) *schema.Source {
				return &schema.Source{
					Name:         fmt.Sprint("p", i),
					HomeRegistry: "a",
					Version:      &schema.SourceVersion{Incarnation: 1, Counter: counter},
					Workers:      []*schema.Worker{{Instance: fmt.Sprint("w", i), Draining: counter%2 == 0}},
				}
			}
			var cursors []*SessionCursor
			for i := range proxies {
				state.OpenSession(0, source(i, 1))
				cursors = append(cursors, NewSessionCursor(fmt.Sprint("p", i), "", nil))
			}
			for _, cursor := range cursors {
				state.NextUpdates(0, cursor)
			}
			for turn := 0; b.Loop(); turn++ {
				state.MergeSource(0, source(0, uint64(turn+2)))
				for _, cursor := range cursors {
					if updates := state.NextUpdates(0, cursor); len(updates) != 1 || !strings.HasPrefix(updates[0].Name, "p0") {
						b.Fatal(updates)
					}
					state.LiveProxies(0)
				}
			}
		})
	}
}
