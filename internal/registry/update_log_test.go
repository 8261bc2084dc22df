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

// updatesByFullScan is what a session is to be told, found by looking at everything there is.
func updatesByFullScan(t *FleetState, cursor *SessionCursor) []string {
	from, level, reaches := cursor.sentSequence, cursor.started, t.directory.reachedBy[cursor.peerMemberID]
	if cursor.peerMemberID != "" && !slices.Equal(reaches, cursor.peerReaches) {
		from, level = 0, false
	}
	relays := func(home string) bool {
		return cursor.peerMemberID == "" || !level || home == "a" || (home != cursor.peerMemberID && !slices.Contains(reaches, home))
	}
	var names []string
	for name, entry := range t.sources {
		sequence := entry.updateSequence
		if cursor.peerMemberID == "" {
			sequence = entry.proxyUpdateSequence
		}
		if sequence > from && newerStamp(entry.source.Version, cursor.vector[name]) && relays(entry.source.HomeRegistry) {
			names = append(names, name)
		}
	}
	for name, entry := range t.directory.incarnationOnly {
		if (cursor.peerMemberID != "" || name == cursor.node) && entry.updateSequence > from && newerStamp(entry.source.Version, cursor.vector[name]) && relays(entry.source.HomeRegistry) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Whatever is taken, ended, forgotten or only heard of, sessions are told the same by the order of
// news as by looking at everything; and the order stays of the size of what is held.
func TestUpdatesMatchFullScan(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 8))
		table := NewFleetState(FleetStateOptions{MemberID: "a", Lease: testLease, MaxSources: 12, MaxCounts: 4, WithoutLeases: true})
		table.SetMemberCount(3)
		cursors := []*SessionCursor{NewSessionCursor("p0", "", nil), NewSessionCursor("p1", "", map[string]*schema.SourceVersion{"p2": {Incarnation: 2}}), NewSessionCursor("registry/b", "b", nil), NewSessionCursor("registry/c", "c", nil)}
		incarnations, now := map[string]uint64{}, time.Duration(0)
		for step := range 400 {
			now += time.Duration(random.Int64N(int64(testLease / 16)))
			name := fmt.Sprint("p", random.IntN(16))
			source := &schema.Source{Name: name, HomeRegistry: []string{"a", "b", "c"}[random.IntN(3)], Address: fmt.Sprint(random.IntN(2)),
				Version: &schema.SourceVersion{Incarnation: incarnations[name], Counter: uint64(step)}}
			switch random.IntN(8) {
			case 0:
				incarnations[name]++
			case 1:
				table.ObserveVector(now, map[string]*schema.SourceVersion{name: {Incarnation: incarnations[name] + uint64(random.IntN(3))}})
			case 2:
				table.RecordPeerHeard(now, []string{"b", "c"}[random.IntN(2)], [][]string{{"c"}, {"b"}, {}}[random.IntN(3)])
			case 3:
				source.Version.Ended = true
				table.MergeSource(now, source)
			case 4:
				table.ConfirmCurrent(now)
			default:
				table.MergeSource(now, source)
			}
			cursor := cursors[random.IntN(len(cursors))]
			table.sweep(now)
			want, got := updatesByFullScan(table, cursor), []string{}
			for _, update := range table.NextUpdates(now, cursor) {
				got = append(got, update.Name)
			}
			if !slices.Equal(got, want) {
				t.Fatalf("seed %d, step %d: %s is told of %v, not of %v", seed, step, cursor.node, got, want)
			}
			if logLength := len(table.directory.updateLog); logLength > updateLogMaxRatio*(len(table.sources)+2) {
				t.Fatalf("seed %d, step %d: an order of %d for %d sources", seed, step, logLength, len(table.sources))
			}
		}
	}
}

// The registries' cost of one change of one proxy, told to every session, by how many there are.
func BenchmarkNextUpdates(b *testing.B) {
	for _, proxies := range []int{50, 200, 820} {
		b.Run(fmt.Sprint(proxies), func(b *testing.B) {
			table := NewFleetState(FleetStateOptions{MemberID: "a", Lease: testLease, MaxSources: 4096, MaxCounts: 4, WithoutLeases: true})
			source := func(i int, counter uint64) *schema.Source {
				return &schema.Source{Name: fmt.Sprint("p", i), HomeRegistry: "a", Version: &schema.SourceVersion{Incarnation: 1, Counter: counter}, Workers: []*schema.Worker{{Instance: fmt.Sprint("w", i), Draining: counter%2 == 0}}}
			}
			var cursors []*SessionCursor
			for i := range proxies {
				table.OpenSession(0, source(i, 1))
				cursors = append(cursors, NewSessionCursor(fmt.Sprint("p", i), "", nil))
			}
			for _, cursor := range cursors {
				table.NextUpdates(0, cursor)
			}
			for turn := 0; b.Loop(); turn++ {
				table.MergeSource(0, source(0, uint64(turn+2)))
				for _, cursor := range cursors {
					if updates := table.NextUpdates(0, cursor); len(updates) != 1 || !strings.HasPrefix(updates[0].Name, "p0") {
						b.Fatal(updates)
					}
					table.LiveProxies(0)
				}
			}
		})
	}
}
