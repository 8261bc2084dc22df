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

// The planner's picks cost less, in late calls and calls between zones taken together, than the picks of simple
// strategies. Calls are late less often than with picks by zone alone, and at most 1.2 times as often as with random
// picks.
func TestPlannedPicksCostLeast(t *testing.T) {
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
			t.Run(fmt.Sprintf("layout %d, utilization %.2f", index, utilization), func(t *testing.T) {
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
	text := fmt.Sprintf("zones %v, speeds %v, utilization %.2f, no load reports %t, restarted %d, times %d:", layout.zones, layout.speeds, utilization, layout.noLoadReports, layout.restarted, layout.times)
	for _, name := range []string{"planned", "random", "own zone", "least in flight"} {
		options := layout
		options.utilization, options.pick, options.length = utilization, simPickers[name], 20*time.Second
		options.shares, options.swing = []float64{.31, .36, .33}, 0.15
		worlds[name] = simulate(options)
		text += fmt.Sprintf("  %s: late %.3f, crossed %.3f;", name, worlds[name].lateFraction(), worlds[name].crossedFraction())
	}
	t.Log(text)
	planned := worlds["planned"]
	for name, other := range worlds {
		if name != "planned" && planned.cost() >= other.cost() {
			t.Errorf("cost: got %.4f for planned picks and %.4f for %s, want the least for planned picks; %s", planned.cost(), other.cost(), name, text)
		}
	}
	if planned.lateFraction() > worlds["own zone"].lateFraction() || planned.lateFraction() > 1.2*worlds["random"].lateFraction() {
		t.Errorf("late calls: got the fraction %.4f for planned picks, want at most that of own zone and 1.2 times that of random; %s", planned.lateFraction(), text)
	}
	if planned.crossedFraction() > 0.5*worlds["least in flight"].crossedFraction() {
		t.Errorf("calls between zones: got the fraction %.4f for planned picks, want at most half of that for least in flight; %s", planned.crossedFraction(), text)
	}
}

// At most 1% of the calls leave their zone while each zone has capacity for its own. If a zone lacks capacity, its
// excess calls leave it evenly over time, not in bursts.
func TestZoneOverflowIsSmooth(t *testing.T) {
	even := simulate(simOptions{
		zones:       []int{4, 4, 4},
		speeds:      []float64{1},
		shares:      []float64{1. / 3, 1. / 3, 1. / 3},
		utilization: 0.6,
		pick:        simPickers["planned"],
		length:      20 * time.Second,
	})
	if even.crossedFraction() > 0.01 {
		t.Errorf("calls between zones with capacity in each: got the fraction %.3f, want at most 0.01", even.crossedFraction())
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
	t.Logf("calls that leave the zone without capacity: %.1f a second, relative deviation %.2f; late %.3f", mean, spread, short.lateFraction())
	if mean < 20 || spread > 0.5 || slices.Min(seconds) == 0 {
		t.Errorf("calls that leave the zone without capacity: got %v by second, mean %.1f, relative deviation %.2f, want a mean of at least 20, a deviation of at most 0.5 and some in each second",
			seconds, mean, spread)
	}
	if crossed := short.crossed; crossed > 2*int(sum) {
		t.Errorf("calls between zones: got %d, want at most twice the %v that leave the zone without capacity", crossed, sum)
	}
}

// A worker that fails more calls than the others is avoided, and gets its calls back once it is healthy.
func TestFailingWorkersAreAvoided(t *testing.T) {
	compiled, _ := config.Compile(config.State{}.Merge([]*schema.Item{
		{Kind: "service", Name: "s", Version: &schema.Version{Sequence: 1}, Body: []byte(`{"versions":["1"],"fallback":"1"}`)},
		{Kind: "route", Name: "r", Version: &schema.Version{Sequence: 1}, Body: []byte(`{"service":"s","prefix":"/"}`)}}), 1)
	random := rand.New(rand.NewPCG(1, 2))
	for name, test := range map[string]struct {
		failing                  [3]float64 // fraction of each worker's calls that fail
		minFraction, maxFraction float64    // bounds on the fraction of calls that worker 0 gets while workers fail
	}{
		"no failures: equal share":                             {[3]float64{}, 0.25, 0.42},
		"one worker fails a few calls: equal share":            {[3]float64{0.02, 0, 0}, 0.25, 0.42},
		"one worker fails half of its calls: avoided":          {[3]float64{0.5, 0, 0}, 0, 0.2},
		"one worker fails all calls: avoided":                  {[3]float64{1, 0, 0}, 0, 0.1},
		"all workers fail alike: equal share":                  {[3]float64{0.3, 0.3, 0.3}, 0.25, 0.42},
		"two of three fail half of their calls: limited share": {[3]float64{0.5, 0.5, 0}, 0, 0.4},
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
					made, err := plan.New(view, request, plan.Options{MaxDeadline: time.Minute}, LocalState{detector, nil}, now, random.Float64)
					if err != nil {
						t.Fatalf("plan.New: %v", err)
					}
					worker := int(made.Candidates[0].Instance[1] - '0')
					got[worker] += 1 / float64(calls)
					detector.BeginCall(made.Candidates[0].Instance, now)
					detector.EndCall(made.Candidates[0].Instance, now, random.Float64() < failing[worker])
				}
				return got
			}
			simulateCalls(200, test.failing)
			if got := simulateCalls(1000, test.failing); got[0] < test.minFraction || got[0] > test.maxFraction {
				t.Errorf("fractions of calls by worker while failing: got %.2f, want %v to %v for worker 0", got, test.minFraction, test.maxFraction)
			}
			simulateCalls(1500, [3]float64{})
			if got := simulateCalls(500, [3]float64{}); got[0] < 0.25 {
				t.Errorf("fractions of calls by worker once healthy: got %.2f, want at least 0.25 for worker 0", got)
			}
		})
	}
}

// Strategies of outlier detection that the detector's own is compared with. The detector's own strategy uses all three
// of consecutive failures, the failure rate that the caller's proxy observes, and the report of the worker's proxy.
const (
	detectNothing     = "none"
	detectConsecutive = "consecutive failures"            // only five consecutive failures, as the caller's proxy observes them
	detectOwnRecord   = "own record, no worker's reports" // consecutive failures and the failure rate, as the caller's proxy observes them
)

// detectionState limits a local state to what a strategy of outlier detection knows.
type detectionState struct {
	plan.LocalState
	detection string // one of the strategies above, or empty for the detector's own
}

// Stats implements plan.LocalState.
func (d detectionState) Stats(worker *plan.Endpoint, now time.Duration) plan.EndpointStats {
	stats := d.LocalState.Stats(worker, now)
	switch d.detection {
	case detectNothing:
		stats.Ejected, stats.RecentCalls, stats.RecentFailures = stats.Unreachable, 0, 0
	case detectConsecutive:
		stats.RecentCalls, stats.RecentFailures = 0, 0
	}
	return stats
}

// simulateLargeFleet simulates a service in a large fleet. Every failingEvery-th worker fails the given fraction of its
// calls. detection is a strategy of outlier detection, empty for the detector's own.
func simulateLargeFleet(detection string, failingEvery int, failing float64) *simWorld {
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
		detection:    detection,
	})
}

// relativeCalls returns how many calls the failing workers, every failingEvery-th one, got relative to an equal share.
func (w *simWorld) relativeCalls(failingEvery int) float64 {
	calls, workers := 0, 0
	for i, count := range w.byWorker {
		if i%failingEvery == failingEvery-1 {
			calls, workers = calls+count, workers+1
		}
	}
	return float64(calls) / float64(w.calls) * float64(len(w.workers)) / float64(workers)
}

// spread returns the mean absolute deviation of the calls of workers with the same zone and speed, as a fraction of
// their mean.
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

// In a large fleet each proxy rarely calls a given worker. By its own record, it would detect a partly failing worker
// late, and a worker that fails quickly looks idle. The report of the worker's proxy reveals the failures. For several
// failure rates, the calls to a failing worker and the failed calls are bounded.
func TestPartlyFailingWorkersInLargeFleet(t *testing.T) {
	const failingEvery = 4
	for _, test := range []struct {
		failing          float64 // fraction of a failing worker's calls that fail
		maxRelativeCalls float64 // calls to a failing worker, relative to an equal share
		maxRelativeFails float64 // failed calls, relative to those with detectOwnRecord
	}{{0, 1.1, 1}, {0.02, 1.15, 1.1}, {0.1, 1, 0.85}, {0.2, 0.75, 0.7}, {0.4, 0.55, 0.65}, {0.8, 0.4, 0.65}} {
		t.Run(fmt.Sprintf("failure rate %v", test.failing), func(t *testing.T) {
			t.Parallel()
			failed, text := map[string]float64{}, ""
			for _, detection := range []string{detectNothing, detectConsecutive, detectOwnRecord, ""} {
				world := simulateLargeFleet(detection, failingEvery, test.failing)
				failed[detection] = float64(world.failed) / float64(world.calls)
				text += fmt.Sprintf(" %q: failed %.4f, late %.4f, relative calls %.2f;", detection, failed[detection], world.lateFraction(), world.relativeCalls(failingEvery))
				if detection == "" && world.relativeCalls(failingEvery) > test.maxRelativeCalls {
					t.Errorf("calls to a failing worker, relative to an equal share: got %.2f, want at most %v", world.relativeCalls(failingEvery), test.maxRelativeCalls)
				}
			}
			t.Log(text)
			if failed[""] > test.maxRelativeFails*failed[detectOwnRecord] {
				t.Errorf("failed calls, relative to those with detection by %q: got the fraction %.4f of all calls, want at most %v of %.4f;%s",
					detectOwnRecord, failed[""], test.maxRelativeFails, failed[detectOwnRecord], text)
			}
		})
	}
}

// If all workers fail alike none is an outlier. Hardly any worker is avoided by chance, so the calls are spread about
// as evenly over equal workers as without failures.
func TestEquallyFailingWorkersAreNotOutliers(t *testing.T) {
	healthySpread := simulateLargeFleet("", 1, 0).spread()
	for failing, maxIncrease := range map[float64]float64{0.02: 0.05, 0.1: 0.05, 0.3: 0.1} {
		t.Run(fmt.Sprintf("failure rate %v", failing), func(t *testing.T) {
			t.Parallel()
			world := simulateLargeFleet("", 1, failing)
			t.Logf("spread %.3f, without failures %.3f; late %.4f", world.spread(), healthySpread, world.lateFraction())
			if world.spread() > healthySpread+maxIncrease {
				t.Errorf("spread of the calls over equal workers: got %.3f, want at most %v above the %.3f without failures", world.spread(), maxIncrease, healthySpread)
			}
		})
	}
}
