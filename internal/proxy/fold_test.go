package proxy

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// wholePicture is what foldWhole keeps.
type wholePicture struct {
	sources   map[string]known
	swept     map[string]*schema.Stamp
	since     map[string]time.Duration
	directory plan.Directory
}

// foldWhole works everything out anew from all sources, with each event.
func foldWhole(before wholePicture, event Event) wholePicture {
	after := wholePicture{sources: map[string]known{}, swept: map[string]*schema.Stamp{}, since: map[string]time.Duration{}}
	for name, stamp := range before.swept {
		after.swept[name] = stamp
	}
	fresh := 0
	for _, held := range before.sources {
		if event.At-held.at <= event.Sweep {
			fresh++
		}
	}
	sweeps := event.Sweep > 0 && float64(fresh) > sweepRatio*float64(len(before.sources))
	for name, held := range before.sources {
		if !sweeps || event.At-held.at <= event.Sweep {
			after.sources[name] = held
		} else {
			after.swept[name] = held.source.Stamp
		}
	}
	for _, source := range event.Sources {
		if source.Bare {
			continue
		}
		held, found := after.sources[source.Name]
		if (!found && newer(source.Stamp, after.swept[source.Name])) || (found && newer(source.Stamp, held.source.Stamp)) {
			after.sources[source.Name] = known{source, event.At}
			delete(after.swept, source.Name)
		}
	}
	var list []*schema.Source
	for _, held := range after.sources {
		list = append(list, held.source)
		for _, worker := range held.source.Workers {
			after.since[worker.Instance] = event.At
			if first, found := before.since[worker.Instance]; found {
				after.since[worker.Instance] = first
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	after.directory = plan.DirectoryOf(list, func(instance string) time.Duration { return after.since[instance] },
		func(source string) time.Duration { return after.sources[source].at })
	return after
}

// Folding by difference gives what folding everything anew gives, and leaves the picture before
// as it was.
func TestFoldByDifference(t *testing.T) {
	dice := rand.New(rand.NewPCG(1, 1))
	held, whole := EmptyPicture(), wholePicture{}
	for turn := range 3000 {
		event := Event{At: time.Duration(turn) * time.Second}
		for range dice.IntN(4) {
			one := &schema.Source{Name: fmt.Sprint("p", dice.IntN(12)), Address: "127.0.0.1:1", Stamp: &schema.Stamp{Incarnation: uint64(1 + turn/1000), Counter: uint64(turn - dice.IntN(3))},
				Bare: dice.IntN(20) == 0}
			// Few instances, so that they go from one source to another and are listed twice.
			for range dice.IntN(4) {
				one.Workers = append(one.Workers, &schema.Worker{Instance: fmt.Sprint("w", dice.IntN(20)), Service: fmt.Sprint("s", dice.IntN(3)), Version: fmt.Sprint(dice.IntN(2)),
					Leaving: dice.IntN(5) == 0, Load: dice.Float64()})
			}
			event.Sources = append(event.Sources, one)
		}
		if dice.IntN(10) == 0 {
			event.Sweep = 40 * time.Second
		}
		before, directory := held, plan.DirectoryOf(nil, nil, nil)
		for service, pools := range held.directory {
			directory[service] = map[string][]plan.Candidate{}
			for version, pool := range pools {
				directory[service][version] = append([]plan.Candidate(nil), pool...)
			}
		}
		held, whole = Fold(held, event), foldWhole(whole, event)
		first := map[string]time.Duration{}
		for instance, one := range held.since {
			first[instance] = one.first
		}
		for what, differs := range map[string]string{"directory": cmp.Diff(whole.directory, held.view.Directory), "workers": cmp.Diff(whole.since, first),
			"the picture before": cmp.Diff(directory, before.directory)} {
			if differs != "" {
				t.Fatalf("turn %d: %s: %s", turn, what, differs)
			}
		}
		if len(whole.sources) != len(held.sources) || len(whole.swept) != len(held.swept) {
			t.Fatalf("turn %d: %d sources of %d, %d swept of %d", turn, len(held.sources), len(whole.sources), len(held.swept), len(whole.swept))
		}
	}
}

func BenchmarkFold(b *testing.B) {
	for _, size := range []int{15, 200, 820} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var all []*schema.Source
			for i := range size {
				one := source(fmt.Sprintf("10.0.%d.%d", i/250, i%250), 1, fmt.Sprintf("w-%d", i))
				one.Workers[0].Service = fmt.Sprint("s", i%150)
				all = append(all, one)
			}
			held := Fold(EmptyPicture(), Event{At: 1, Sources: all})
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				held = Fold(held, Event{At: 2, Sources: []*schema.Source{source("10.0.0.1", uint64(n+2), "w-1")}})
			}
		})
	}
}
