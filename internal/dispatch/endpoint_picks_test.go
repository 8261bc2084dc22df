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

// Placing beats the simple ways by what calls lose together, late or between zones; and it is
// late less often than whoever looks at nothing or stays in the own zone.
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

func expectBestPicks(t *testing.T, layout simOptions, utilization float64) {
	worlds := map[string]*simWorld{}
	text := fmt.Sprintf("%v %v used %.2f, silent %v, cold %d, times %d:", layout.zones, layout.speeds, utilization, layout.noLoadReports, layout.restarted, layout.times)
	for _, name := range []string{"planned", "random", "own zone", "least in flight"} {
		options := layout
		options.utilization, options.pick, options.length, options.shares, options.swing = utilization, simPickers[name], 20*time.Second, []float64{.31, .36, .33}, 0.15
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

// Where zones hold their own, next to nothing crosses; where one cannot, what it lacks crosses
// evenly over time, not by turns.
func TestSpillIsSmooth(t *testing.T) {
	even := simulate(simOptions{zones: []int{4, 4, 4}, speeds: []float64{1}, shares: []float64{1. / 3, 1. / 3, 1. / 3}, utilization: 0.6, pick: simPickers["planned"], length: 20 * time.Second})
	if even.crossedFraction() > 0.01 {
		t.Errorf("%.3f cross though every zone holds its own", even.crossedFraction())
	}
	short := simulate(simOptions{zones: []int{2, 2, 1}, speeds: []float64{1}, shares: []float64{.31, .36, .33}, utilization: 0.8, pick: simPickers["planned"], length: 30 * time.Second})
	seconds := short.zoneCrossed[2][6:29]
	sum, squares := 0.0, 0.0
	for _, count := range seconds {
		sum, squares = sum+float64(count), squares+float64(count*count)
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

// A worker that fails is passed by, by the others' measure, and gets its calls back by and by.
func TestFailingWorkersArePassedBy(t *testing.T) {
	compiled, _ := config.Compile(config.State{}.With([]*schema.Item{
		{Kind: "service", Name: "s", Version: &schema.Version{Sequence: 1}, Body: []byte(`{"versions":["1"],"fallback":"1"}`)},
		{Kind: "route", Name: "r", Version: &schema.Version{Sequence: 1}, Body: []byte(`{"service":"s","prefix":"/"}`)}}), 1)
	random := rand.New(rand.NewPCG(1, 2))
	for name, test := range map[string]struct {
		failing          [3]float64 // part of each worker's calls
		fromPart, toPart float64    // of calls that worker 0 may get while it fails
	}{
		"none":               {[3]float64{}, 0.25, 0.42},
		"a few":              {[3]float64{0.02, 0, 0}, 0.25, 0.42},
		"half of one's":      {[3]float64{0.5, 0, 0}, 0, 0.2},
		"all of one's":       {[3]float64{1, 0, 0}, 0, 0.1},
		"all alike":          {[3]float64{0.3, 0.3, 0.3}, 0.25, 0.42},
		"two of three, half": {[3]float64{0.5, 0.5, 0}, 0, 0.4},
	} {
		detector := NewOutlierDetector(5, 5*time.Second)
		view := &plan.View{Config: compiled, Directory: plan.Directory{"s": {"1": {{Instance: "w0", Proxy: "p0"}, {Instance: "w1", Proxy: "p1"}, {Instance: "w2", Proxy: "p2"}}}}}
		now := time.Duration(0)
		simulateCalls := func(calls int, failing [3]float64) (got [3]float64) {
			for range calls {
				now += 10 * time.Millisecond
				made, err := plan.Make(view, &plan.Request{Method: "GET", Path: "/", Header: func(string) (string, bool) { return "", false }}, plan.Options{MaxDeadline: time.Minute}, LocalState{detector, nil}, now, random.Float64)
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
			t.Errorf("%s: the parts are %.2f", name, got)
		}
		simulateCalls(1500, [3]float64{})
		if got := simulateCalls(500, [3]float64{}); got[0] < 0.25 {
			t.Errorf("%s: sound again, the parts are %.2f", name, got)
		}
	}
}

// The ways of judging workers that the product's own is held against.
const (
	judgedNotAtAll      = "not at all"
	judgedByConsecutive = "failures in a row"       // five, as a caller's proxy sees them
	judgedByOwnRecord   = "its own callers' record" // and the part that fails, as it sees it: the product's way before
)

// judgedState is facts as another way of judging has them.
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

// simulateGrownFleet is a service of a grown fleet, of which every so manyth worker fails part of its calls.
func simulateGrownFleet(judgedBy string, failingEvery int, failing float64) *simWorld {
	return simulate(simOptions{zones: []int{9, 11, 9}, speeds: []float64{0.7, 0.7, 1.6}, times: 3, utilization: 0.6, pick: simPickers["planned"], length: 40 * time.Second,
		shares: []float64{.31, .36, .33}, seed: 7, failingEvery: failingEvery, failing: failing, judgedBy: judgedBy})
}

// relativeCalls is how many calls every so manyth worker got, of what all alike would get.
func (w *simWorld) relativeCalls(failingEvery int) float64 {
	calls, workers := 0, 0
	for i, count := range w.byWorker {
		if i%failingEvery == failingEvery-1 {
			calls, workers = calls+count, workers+1
		}
	}
	return float64(calls) / float64(w.calls) * float64(len(w.workers)) / float64(workers)
}

// spread is by how much calls differ between workers that are alike, as a part of their mean.
func (w *simWorld) spread() float64 {
	alike := map[[2]float64][]float64{}
	for i, one := range w.workers {
		key := [2]float64{float64(one.zone), one.speed}
		alike[key] = append(alike[key], float64(w.byWorker[i]))
	}
	sum, count := 0.0, 0.0
	for _, calls := range alike {
		mean := 0.0
		for _, one := range calls {
			mean += one / float64(len(calls))
		}
		for _, one := range calls {
			sum, count = sum+math.Abs(one-mean)/mean, count+1
		}
	}
	return sum / count
}

// In a fleet each proxy calls a worker seldom, so that by what it sees alone it finds out late who
// fails; and who fails quickly looks idle. What the proxy beside tells of all calls finds it out: by
// size of fault, how much is called at those who fail, and how many calls fail.
func TestGreyWorkersOfAFleet(t *testing.T) {
	const failingEvery = 4
	for _, test := range []struct {
		failing  float64
		partMost float64 // of the calls that a worker gets by its number, that one who fails may get
		ownMost  float64 // failures, as a part of those by the callers' own record
	}{{0, 1.1, 1}, {0.02, 1.15, 1.1}, {0.1, 1, 0.85}, {0.2, 0.75, 0.7}, {0.4, 0.55, 0.65}, {0.8, 0.4, 0.65}} {
		t.Run(fmt.Sprint(test.failing), func(t *testing.T) {
			t.Parallel()
			failed, text := map[string]float64{}, ""
			for _, judgedBy := range []string{judgedNotAtAll, judgedByConsecutive, judgedByOwnRecord, ""} {
				world := simulateGrownFleet(judgedBy, failingEvery, test.failing)
				failed[judgedBy] = float64(world.failed) / float64(world.calls)
				text += fmt.Sprintf(" %q: failed %.4f, late %.4f, part %.2f;", judgedBy, failed[judgedBy], world.lateFraction(), world.relativeCalls(failingEvery))
				if judgedBy == "" && world.relativeCalls(failingEvery) > test.partMost {
					t.Errorf("who fails gets %.2f of its part", world.relativeCalls(failingEvery))
				}
			}
			t.Log(text)
			if failed[""] > test.ownMost*failed[judgedByOwnRecord] {
				t.Errorf("too many fail:%s", text)
			}
		})
	}
}

// Where all fail alike nobody is the outlier: chance convicts hardly anybody, so calls stay as evenly
// spread over workers that are alike as where none fails.
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
