package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// The planner's picks lose less to late calls and calls between zones, taken together, than simple strategies do. They are
// late less often than picks by zone alone, and hardly more often than random ones.
func TestEndpointPicks(t *testing.T) {
	layouts := []simOptions{
		{zones: []int{2, 2, 1}, speeds: []float64{1.4, 1.0, 1.4, 1.0, 0.6}},
		{zones: []int{1, 1, 1}, speeds: []float64{0.7, 0.7, 1.6}},
		{zones: []int{4, 4, 4}, speeds: []float64{0.6, 1.0, 1.0, 1.5}},
		{zones: []int{2, 2, 1}, speeds: []float64{0.6, 1.0, 1.4}, noLoadReports: true},
		{zones: []int{2, 2, 1}, speeds: []float64{0.6, 1.0, 1.4}, restarted: 2},
		{zones: []int{9, 11, 9}, speeds: []float64{0.7, 0.7, 1.6}, times: 3},
	}
	for index, layout := range layouts {
		for _, utilization := range []float64{0.5, 0.7, 0.95} {
			t.Run(fmt.Sprintf("%d, used %.2f", index, utilization), func(t *testing.T) {
				t.Parallel()
				expectBestPicks(t, layout, utilization)
			})
		}
	}
}

// expectBestPicks compares the planner's picks with the other strategies in one layout.
func expectBestPicks(t *testing.T, layout simOptions, utilization float64) {
	t.Helper()
	worlds := map[string]*simWorld{}
	text := fmt.Sprintf("%v %v used %.2f, silent %v, cold %d, times %d:", layout.zones, layout.speeds, utilization, layout.noLoadReports, layout.restarted, layout.times)
	for _, name := range []string{"planned", "random", "own zone", "least in flight"} {
		options := layout
		options.utilization, options.pick, options.length = utilization, simPickers[name], 20*time.Second
		options.shares, options.swing = []float64{.31, .36, .33}, 0.15
		worlds[name] = simulate(options)
		text += fmt.Sprintf("  %s %.3f late %.3f across", name, worlds[name].lateFraction(), worlds[name].crossedFraction())
	}
	t.Log(text)
	planned := worlds["planned"]
	for name, other := range worlds {
		if name != "planned" && planned.cost() >= other.cost() {
			t.Errorf("%s loses less: %s", name, text)
		}
	}
	if planned.lateFraction() > worlds["own zone"].lateFraction() || planned.lateFraction() > 1.2*worlds["random"].lateFraction() {
		t.Errorf("late more often: %s", text)
	}
	if planned.crossedFraction() > 0.5*worlds["least in flight"].crossedFraction() {
		t.Errorf("crosses too much: %s", text)
	}
}

// Hardly any call crosses while each zone has capacity for its own. Where one lacks it, its excess crosses evenly over time, and
// not in bursts.
func TestSpillIsSmooth(t *testing.T) {
	even := simulate(simOptions{
		zones:       []int{4, 4, 4},
		speeds:      []float64{1},
		shares:      []float64{1. / 3, 1. / 3, 1. / 3},
		utilization: 0.6,
		pick:        simPickers["planned"],
		length:      20 * time.Second,
	})
	if even.crossedFraction() > 0.01 {
		t.Errorf("%.3f cross though every zone has capacity for its own", even.crossedFraction())
	}
	short := simulate(simOptions{
		zones:       []int{2, 2, 1},
		speeds:      []float64{1},
		shares:      []float64{.31, .36, .33},
		utilization: 0.8,
		pick:        simPickers["planned"],
		length:      30 * time.Second,
	})
	seconds := short.zoneCrossed[2][6:29]
	sum, squares := 0.0, 0.0
	for _, count := range seconds {
		sum += float64(count)
		squares += float64(count * count)
	}
	mean := sum / float64(len(seconds))
	spread := math.Sqrt(squares/float64(len(seconds))-mean*mean) / mean
	t.Logf("a second %.1f cross from the short zone, spread %.2f; late %.3f", mean, spread, short.lateFraction())
	if mean < 20 || spread > 0.5 || slices.Min(seconds) == 0 {
		t.Errorf("crossings by second: %v", seconds)
	}
	if others := short.crossed; others > 2*int(sum) {
		t.Errorf("%d crossed in all, %v from the zone that is short", others, sum)
	}
}

// A worker that fails more than the others is avoided, and gets its calls back gradually once it is healthy.
func TestFailingWorkersArePassedBy(t *testing.T) {
	compiled, _ := config.Compile(config.State{}.With([]*schema.Item{
		{Kind: "service", Name: "s", Version: &schema.Version{Sequence: 1}, Body: []byte(`{"versions":["1"],"fallback":"1"}`)},
		{Kind: "route", Name: "r", Version: &schema.Version{Sequence: 1}, Body: []byte(`{"service":"s","prefix":"/"}`)}}), 1)
	random := rand.New(rand.NewPCG(1, 2))
	for name, test := range map[string]struct {
		failing          [3]float64 // fraction of each worker's calls that fail
		fromPart, toPart float64    // bounds on the fraction of calls that worker 0 gets while it fails
	}{
		"none":               {[3]float64{}, 0.25, 0.42},
		"a few":              {[3]float64{0.02, 0, 0}, 0.25, 0.42},
		"half of one's":      {[3]float64{0.5, 0, 0}, 0, 0.2},
		"all of one's":       {[3]float64{1, 0, 0}, 0, 0.1},
		"all alike":          {[3]float64{0.3, 0.3, 0.3}, 0.25, 0.42},
		"two of three, half": {[3]float64{0.5, 0.5, 0}, 0, 0.4},
	} {
		t.Run(name, func(t *testing.T) {
			detector := NewOutlierDetector(5, 5*time.Second)
			view := &plan.View{Config: compiled, Directory: plan.Directory{"s": {"1": {
				{Instance: "w0", Proxy: "p0"},
				{Instance: "w1", Proxy: "p1"},
				{Instance: "w2", Proxy: "p2"},
			}}}}
			request := &plan.Request{Method: "GET", Path: "/", Header: func(string) (string, bool) { return "", false }}
			now := time.Duration(0)
			simulateCalls := func(calls int, failing [3]float64) (got [3]float64) {
				for range calls {
					now += 10 * time.Millisecond
					made, err := plan.Make(view, request, plan.Options{MaxDeadline: time.Minute}, LocalState{detector, nil}, now, random.Float64)
					if err != nil {
						t.Fatal(err)
					}
					worker := int(made.Candidates[0].Instance[1] - '0')
					got[worker] += 1 / float64(calls)
					detector.BeginCall(made.Candidates[0].Instance, now)
					detector.EndCall(made.Candidates[0].Instance, now, random.Float64() < failing[worker])
				}
				return got
			}
			simulateCalls(200, test.failing)
			if got := simulateCalls(1000, test.failing); got[0] < test.fromPart || got[0] > test.toPart {
				t.Errorf("the fractions are %.2f", got)
			}
			simulateCalls(1500, [3]float64{})
			if got := simulateCalls(500, [3]float64{}); got[0] < 0.25 {
				t.Errorf("healthy again, the fractions are %.2f", got)
			}
		})
	}
}

// Strategies of judging workers that the detector's own is compared with.
const (
	judgedNotAtAll      = "not at all"
	judgedByConsecutive = "failures in a row"       // five consecutive ones, as a caller's proxy sees them
	judgedByOwnRecord   = "its own callers' record" // and the failure ratio as a caller's proxy sees it, without the worker's proxy's report
)

// judgedState is what another strategy knows of workers.
type judgedState struct {
	plan.LocalState
	judgedBy string
}

func (j judgedState) Stats(worker *plan.Endpoint, now time.Duration) plan.EndpointStats {
	stats := j.LocalState.Stats(worker, now)
	switch j.judgedBy {
	case judgedNotAtAll:
		stats.Ejected, stats.RecentCalls, stats.RecentFailures = stats.Unreachable, 0, 0
	case judgedByConsecutive:
		stats.RecentCalls, stats.RecentFailures = 0, 0
	}
	return stats
}

// simulateGrownFleet simulates a service in a large fleet. Every failingEvery-th worker fails a fraction of its calls.
func simulateGrownFleet(judgedBy string, failingEvery int, failing float64) *simWorld {
	return simulate(simOptions{
		zones:        []int{9, 11, 9},
		speeds:       []float64{0.7, 0.7, 1.6},
		times:        3,
		utilization:  0.6,
		pick:         simPickers["planned"],
		length:       40 * time.Second,
		shares:       []float64{.31, .36, .33},
		seed:         7,
		failingEvery: failingEvery,
		failing:      failing,
		judgedBy:     judgedBy,
	})
}

// relativeCalls returns how many calls every failingEvery-th worker got, relative to an equal share.
func (w *simWorld) relativeCalls(failingEvery int) float64 {
	calls, workers := 0, 0
	for i, count := range w.byWorker {
		if i%failingEvery == failingEvery-1 {
			calls, workers = calls+count, workers+1
		}
	}
	return float64(calls) / float64(w.calls) * float64(len(w.workers)) / float64(workers)
}

// spread returns the mean deviation of calls between workers of the same zone and speed, as a fraction of their mean.
func (w *simWorld) spread() float64 {
	alike := map[[2]float64][]float64{}
	for i, worker := range w.workers {
		key := [2]float64{float64(worker.zone), worker.speed}
		alike[key] = append(alike[key], float64(w.byWorker[i]))
	}
	sum, count := 0.0, 0.0
	for _, calls := range alike {
		mean := 0.0
		for _, count := range calls {
			mean += count / float64(len(calls))
		}
		for _, workerCalls := range calls {
			sum += math.Abs(workerCalls-mean) / mean
			count++
		}
	}
	return sum / count
}

// In a large fleet each proxy rarely calls a given worker, so that by its own record it detects a failing one late; and a worker
// that fails quickly looks idle. The report of the worker's proxy detects it. Bounds are given by failure ratio: how much a failing
// worker is called, and how many calls fail.
func TestGreyWorkersOfAFleet(t *testing.T) {
	const failingEvery = 4
	for _, test := range []struct {
		failing  float64
		partMost float64 // a failing worker's calls, relative to an equal share
		ownMost  float64 // failures, relative to those by the callers' own record
	}{{0, 1.1, 1}, {0.02, 1.15, 1.1}, {0.1, 1, 0.85}, {0.2, 0.75, 0.7}, {0.4, 0.55, 0.65}, {0.8, 0.4, 0.65}} {
		t.Run(fmt.Sprint(test.failing), func(t *testing.T) {
			t.Parallel()
			failed, text := map[string]float64{}, ""
			for _, judgedBy := range []string{judgedNotAtAll, judgedByConsecutive, judgedByOwnRecord, ""} {
				world := simulateGrownFleet(judgedBy, failingEvery, test.failing)
				failed[judgedBy] = float64(world.failed) / float64(world.calls)
				text += fmt.Sprintf(" %q: failed %.4f, late %.4f, part %.2f;", judgedBy, failed[judgedBy], world.lateFraction(), world.relativeCalls(failingEvery))
				if judgedBy == "" && world.relativeCalls(failingEvery) > test.partMost {
					t.Errorf("a failing worker gets %.2f of an equal share", world.relativeCalls(failingEvery))
				}
			}
			t.Log(text)
			if failed[""] > test.ownMost*failed[judgedByOwnRecord] {
				t.Errorf("too many fail:%s", text)
			}
		})
	}
}

// Where all workers fail alike none is an outlier: hardly any is avoided by chance, so calls stay as evenly spread over equal workers
// as where none fails.
func TestNobodyIsConvictedByChance(t *testing.T) {
	healthySpread := simulateGrownFleet("", 1, 0).spread()
	for failing, most := range map[float64]float64{0.02: 0.05, 0.1: 0.05, 0.3: 0.1} {
		t.Run(fmt.Sprint(failing), func(t *testing.T) {
			t.Parallel()
			world := simulateGrownFleet("", 1, failing)
			t.Logf("spread %.3f, where none fails %.3f; late %.4f", world.spread(), healthySpread, world.lateFraction())
			if world.spread() > healthySpread+most {
				t.Errorf("calls are spread by %.3f, where none fails by %.3f", world.spread(), healthySpread)
			}
		})
	}
}
