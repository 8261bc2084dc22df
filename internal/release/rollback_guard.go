package release

// The windows of a rollback guard, in samples. The controller takes a sample each time it gathers counts.
const (
	shortWindow = 4  // shows a burst of failures, however many good calls came before
	longWindow  = 20 // shows a lower rate of failures

	// Every sparseSampleEvery-th sample is also kept for the windows below, which count in those. They
	// show rare failures, and failures on a route with few calls.
	sparseSampleEvery = 4
	sparseShortWindow = 60
	sparseLongWindow  = 300

	recoveryWindow      = 60  // sparse samples over which a version must have been fine to recover
	recoveryMinFraction = 0.9 // fraction of the fleet that must have reported for a version to recover
)

// RollbackGuard keeps the latest samples of a version's counts, and decides by sliding windows over them
// whether the version must be stopped. The zero value is ready to use. It is not safe for concurrent use.
type RollbackGuard struct {
	recentSamples []VersionCounts // the last longWindow+1
	sparseSamples []VersionCounts // every sparseSampleEvery-th sample, the last sparseLongWindow of those
	sampleCount   int             // samples taken so far
}

// Observe takes a sample and reports whether the version must be stopped, and why. The fraction of the
// fleet that the counts cover scales the failure threshold: a controller that half of the proxies
// report to sees half of the failures.
func (g *RollbackGuard) Observe(options Options, counts VersionCounts, reportingFraction float64) (verdict string, failing bool) {
	g.addSample(counts)
	options.FailureThreshold = max(1, uint64(float64(options.FailureThreshold)*min(1, reportingFraction)))
	short := sampleAgo(g.recentSamples, shortWindow)
	long := sampleAgo(g.recentSamples, longWindow)
	sparseShort := sampleAgo(g.sparseSamples, sparseShortWindow)
	sparseLong := sampleAgo(g.sparseSamples, sparseLongWindow)
	baseline := g.baseline(counts, long, sparseShort)
	for _, windowStart := range []VersionCounts{short, long, sparseShort, sparseLong} {
		if verdict, failing = options.IsFailing(counts.Since(windowStart), baseline); failing {
			return verdict, true
		}
	}
	return "", false
}

func (g *RollbackGuard) addSample(counts VersionCounts) {
	g.recentSamples = append(g.recentSamples, counts)
	if len(g.recentSamples) > longWindow+1 {
		g.recentSamples = g.recentSamples[1:]
	}
	if g.sampleCount%sparseSampleEvery == 0 {
		g.sparseSamples = append(g.sparseSamples, counts)
		if len(g.sparseSamples) > sparseLongWindow {
			g.sparseSamples = g.sparseSamples[1:]
		}
	}
	g.sampleCount++
}

// sampleAgo is the sample that lies the given number of samples before the latest, or the oldest one.
func sampleAgo(samples []VersionCounts, window int) VersionCounts {
	return samples[max(0, len(samples)-1-window)]
}

// Bounds from which an old version gets too few calls for the new one to be compared with it.
const (
	sparseBaselineRatio    = 50  // the old version must have at least one call to this many of the new one's
	sparseBaselineMinCalls = 200 // calls of the new version that a window must have to decide that
)

// baseline is all that was ever counted of the old version if that hardly gets calls any more, or nil if
// its calls within the windows are enough to compare with. The first window with enough calls of the
// new version decides, so they are passed with the shortest one first.
func (g *RollbackGuard) baseline(counts VersionCounts, windowStarts ...VersionCounts) map[string]CallStats {
	for _, windowStart := range windowStarts {
		inWindow := counts.Since(windowStart)
		oldStats, newStats := total(inWindow.Old), total(inWindow.New)
		if newStats.Calls < sparseBaselineMinCalls {
			continue
		}
		if oldStats.Calls*sparseBaselineRatio < newStats.Calls {
			return counts.Old
		}
		return nil
	}
	return nil
}

// Recovered reports whether proxies that stopped using the version on their own may use it again: nearly
// the whole fleet reported, and in the window the version's failures are below the threshold or its rate is
// within the old version's bounds. Unlike IsFailing, it makes no allowance for chance.
func (g *RollbackGuard) Recovered(options Options, reportingFraction float64) bool {
	if reportingFraction < recoveryMinFraction || len(g.recentSamples) == 0 {
		return false
	}
	latest := g.recentSamples[len(g.recentSamples)-1]
	// recoveryWindow counts the sparse samples in the window, the first of them included.
	inWindow := latest.Since(sampleAgo(g.sparseSamples, recoveryWindow-1))
	oldStats, newStats := total(inWindow.Old), total(inWindow.New)
	return newStats.Failures < options.FailureThreshold ||
		!options.exceedsBaseline(newStats.failureRate(), oldStats.failureRate())
}
