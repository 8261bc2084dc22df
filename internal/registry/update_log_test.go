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

// updatesByFullScan returns the names of the sources that NextUpdates must return for a session. It implements the rule
// independently, by a scan of all sources instead of the update log.
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

// TestUpdatesMatchFullScan applies random merges, ends, evictions and incarnation-only sources. The update log must
// yield the same updates for each session as a scan of all sources, and its length must stay proportional to their
// number.
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
				t.Fatalf("seed %d, step %d: NextUpdates for %s: got %v, want %v", seed, step, cursor.node, got, want)
			}
			if logLength := len(state.directory.updateLog); logLength > updateLogMaxRatio*(len(state.sources)+2) {
				t.Fatalf("seed %d, step %d: length of the update log for %d sources: got %d, want at most %d",
					seed, step, len(state.sources), logLength, updateLogMaxRatio*(len(state.sources)+2))
			}
		}
	}
}

// changeFleetState applies one random event that may change the updates for sessions.
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

// BenchmarkNextUpdates measures the cost of sending one update of one proxy to every session, for several numbers of
// sessions.
func BenchmarkNextUpdates(b *testing.B) {
	for _, proxies := range []int{50, 200, 820} {
		b.Run(fmt.Sprint("sessions ", proxies), func(b *testing.B) {
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
						b.Fatalf("NextUpdates: got %v, want one update of p0", updates)
					}
					state.LiveProxies(0)
				}
			}
		})
	}
}
