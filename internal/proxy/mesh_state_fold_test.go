package proxy

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// fullState is the state of foldFromScratch, the reference implementation of Fold for sources. The fields correspond to
// those of MeshState; firstSeenAt holds workerRecord.firstSeenAt by instance name.
type fullState struct {
	sources         map[string]sourceRecord
	droppedVersions map[string]*schema.SourceVersion
	firstSeenAt     map[string]time.Duration
	directory       plan.Directory
}

// foldFromScratch returns the state after an event, recomputed from all sources.
func foldFromScratch(before fullState, event Event) fullState {
	after := fullState{
		sources:         map[string]sourceRecord{},
		droppedVersions: map[string]*schema.SourceVersion{},
		firstSeenAt:     map[string]time.Duration{},
	}
	maps.Copy(after.droppedVersions, before.droppedVersions)
	liveCount := 0
	for _, record := range before.sources {
		if event.At-record.receivedAt <= event.SourceTimeout {
			liveCount++
		}
	}
	dropsTimedOut := event.SourceTimeout > 0 && float64(liveCount) > minLiveRatio*float64(len(before.sources))
	for name, record := range before.sources {
		if !dropsTimedOut || event.At-record.receivedAt <= event.SourceTimeout {
			after.sources[name] = record
		} else {
			after.droppedVersions[name] = record.source.Version
		}
	}
	for _, source := range event.Sources {
		if source.IncarnationOnly {
			continue
		}
		record, found := after.sources[source.Name]
		isKnown := found && !isNewer(source.Version, record.source.Version)
		isDropped := !found && !isNewer(source.Version, after.droppedVersions[source.Name])
		if !isKnown && !isDropped {
			after.sources[source.Name] = sourceRecord{source, event.At}
			delete(after.droppedVersions, source.Name)
		}
	}
	var list []*schema.Source
	for _, record := range after.sources {
		list = append(list, record.source)
		for _, worker := range record.source.Workers {
			after.firstSeenAt[worker.Instance] = event.At
			if first, found := before.firstSeenAt[worker.Instance]; found {
				after.firstSeenAt[worker.Instance] = first
			}
		}
	}
	slices.SortFunc(list, func(a, b *schema.Source) int { return strings.Compare(a.Name, b.Name) })
	after.directory = plan.NewDirectory(list, func(instance string) time.Duration { return after.firstSeenAt[instance] },
		func(source string) time.Duration { return after.sources[source].receivedAt })
	return after
}

// randomEvent returns the event number step with a few sources, some of them older than earlier ones.
func randomEvent(random *rand.Rand, step int) Event {
	event := Event{At: time.Duration(step) * time.Second}
	for range random.IntN(4) {
		source := &schema.Source{
			Name:            fmt.Sprint("p", random.IntN(12)),
			Address:         "127.0.0.1:1",
			Version:         &schema.SourceVersion{Incarnation: uint64(1 + step/1000), Counter: uint64(step - random.IntN(3))},
			IncarnationOnly: random.IntN(20) == 0,
		}
		// There are few instances, so that some move from one source to another and some are listed twice.
		for range random.IntN(4) {
			source.Workers = append(source.Workers, &schema.Worker{
				Instance: fmt.Sprint("w", random.IntN(20)),
				Service:  fmt.Sprint("s", random.IntN(3)),
				Version:  fmt.Sprint(random.IntN(2)),
				Draining: random.IntN(5) == 0,
				Load:     random.Float64(),
			})
		}
		event.Sources = append(event.Sources, source)
	}
	if random.IntN(10) == 0 {
		event.SourceTimeout = 40 * time.Second
	}
	return event
}

// Fold, which is incremental, returns the same state as a full recomputation and does not modify the state before the
// event.
func TestIncrementalFoldEqualsFullFold(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	incremental, full := EmptyMeshState(), fullState{}
	for step := range 3000 {
		event := randomEvent(random, step)
		before, directoryBefore := incremental, plan.NewDirectory(nil, nil, nil)
		for service, pools := range incremental.directory {
			directoryBefore[service] = map[string][]plan.Endpoint{}
			for version, pool := range pools {
				directoryBefore[service][version] = append([]plan.Endpoint(nil), pool...)
			}
		}
		incremental, full = Fold(incremental, event), foldFromScratch(full, event)
		firstSeenAt := map[string]time.Duration{}
		for instance, entry := range incremental.workers {
			firstSeenAt[instance] = entry.firstSeenAt
		}
		for subject, diff := range map[string]string{
			"directory":        cmp.Diff(full.directory, incremental.view.Directory),
			"workers":          cmp.Diff(full.firstSeenAt, firstSeenAt),
			"directory before": cmp.Diff(directoryBefore, before.directory),
		} {
			if diff != "" {
				t.Fatalf("event %d: %s differs (-want +got):\n%s", step, subject, diff)
			}
		}
		if len(full.sources) != len(incremental.sources) || len(full.droppedVersions) != len(incremental.droppedVersions) {
			t.Fatalf("event %d: %d sources, want %d; %d dropped sources, want %d", step,
				len(incremental.sources), len(full.sources), len(incremental.droppedVersions), len(full.droppedVersions))
		}
	}
}

// BenchmarkFold measures Fold of one changed source into a mesh of the given number of proxies.
func BenchmarkFold(b *testing.B) {
	for _, size := range []int{15, 200, 820} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var all []*schema.Source
			for i := range size {
				listed := newSource(fmt.Sprintf("10.0.%d.%d", i/250, i%250), 1, fmt.Sprintf("w-%d", i))
				listed.Workers[0].Service = fmt.Sprint("s", i%150)
				all = append(all, listed)
			}
			state := Fold(EmptyMeshState(), Event{At: 1, Sources: all})
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				state = Fold(state, Event{At: 2, Sources: []*schema.Source{newSource("10.0.0.1", uint64(n+2), "w-1")}})
			}
		})
	}
}
