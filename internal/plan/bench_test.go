package plan

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// BenchmarkMake measures the plan of a request whose route is not split and whose version flag has a rollout.
func BenchmarkMake(b *testing.B) {
	for _, pool := range []int{5, 40} {
		b.Run(fmt.Sprint(pool, " workers"), func(b *testing.B) {
			var workers []Endpoint
			for i := range pool {
				workers = append(workers, Endpoint{
					Instance:       fmt.Sprint("w", i),
					Proxy:          fmt.Sprint("p", i),
					Zone:           []string{"near", "far", "away"}[i%3],
					Slots:          18,
					ActiveRequests: i % 7,
					ServiceTime:    1e8,
				})
			}
			view := viewOfBodies(b, benchBodies, Directory{"shop": {"1": workers, "2": workers}})
			request := newRequest("GET", "/a/x", nil)
			request.Host, request.Identity = "a.example", "9c41d07be2a35f68"
			random := rand.New(rand.NewPCG(1, 1))
			var local LocalState = fakeLocalState{}
			randomFloat := random.Float64
			b.ReportAllocs()
			for b.Loop() {
				if _, err := New(view, request, options, local, 0, randomFloat); err != nil {
					b.Fatalf("New(): %v", err)
				}
			}
		})
	}
}

// benchBodies is a configuration as JSON bodies by kind and name.
var benchBodies = map[string]string{"service/shop": `{"versions":["1","2"],"fallback":"1"}`,
	"route/r":           `{"service":"shop","host":"a.example","prefix":"/a/","aim":"200ms","horizon":"800ms"}`,
	"flag/release.shop": `{"on":true,"salt":"s","variations":["1","2"],"offVariation":0,"fallthrough":{"rollout":{"variations":[{"variation":0,"weight":90000},{"variation":1,"weight":10000}]}}}`}

// TestNewAllocatesPlanAndCandidatesOnly checks that New allocates the plan and its candidates and nothing else. The
// flag's evaluation must not allocate.
func TestNewAllocatesPlanAndCandidatesOnly(t *testing.T) {
	view := viewOfBodies(t, benchBodies, Directory{"shop": {"1": workers("a", "b", "far1"), "2": workers("c")}})
	request := newRequest("GET", "/a/x", nil)
	request.Host, request.Identity = "a.example", "9c41d07be2a35f68"
	random := rand.New(rand.NewPCG(1, 1))
	var local LocalState = fakeLocalState{}
	randomFloat := random.Float64
	allocations := testing.AllocsPerRun(1000, func() { _, _ = New(view, request, options, local, 0, randomFloat) })
	if allocations > 2 && !raceEnabled {
		t.Errorf("New() made %v allocations, want at most 2", allocations)
	}
}
