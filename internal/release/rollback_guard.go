package release

// Window lengths of a rollback guard. The controller takes one sample in each round.
const (
	shortWindow = 4  // samples; detects a burst of failures, however many good calls came before
	longWindow  = 20 // samples; detects a lower rate of failures

	// Every sparseSampleEvery-th sample is also kept as a sparse sample. The windows of sparse samples detect
	// rare failures, and failures on a route with few calls.
	sparseSampleEvery = 4
	sparseShortWindow = 60  // sparse samples
	sparseLongWindow  = 300 // sparse samples

	recoveryWindow      = 60  // sparse samples over which a version must be healthy to recover
	recoveryMinFraction = 0.9 // fraction of the fleet's proxies that must have reported for a version to recover
)

// RollbackGuard keeps the latest samples of a version's counts, and decides by sliding windows over them
// whether the version must be stopped. The zero value is ready to use. It is not safe for concurrent use.
type RollbackGuard struct {
	recentSamples []VersionCounts // the last longWindow+1 samples, oldest first
	sparseSamples []VersionCounts // the last sparseLongWindow sparse samples, oldest first
	sampleCount   int             // number of samples taken so far
}

// Observe takes a sample and reports whether the version must be stopped, with a verdict that says why.
// reportingFraction is the fraction of the fleet that the counts cover, and scales the failure threshold:
// a controller that half of the proxies report to sees half of the failures.
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

// addSample keeps a sample, every sparseSampleEvery-th one also as a sparse sample, and drops the oldest ones.
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

// sampleAgo returns the sample that was taken window samples before the latest one, or the oldest sample.
func sampleAgo(samples []VersionCounts, window int) VersionCounts {
	return samples[max(0, len(samples)-1-window)]
}

// Thresholds that decide whether the old version gets too few calls for a comparison within a window.
const (
	sparseBaselineRatio    = 50  // largest number of the new version's calls for each call of the old version
	sparseBaselineMinCalls = 200 // calls of the new version that a window needs to decide
)

// baseline returns all counts of the old version if it hardly gets calls any more. It returns nil if the old
// version's calls within the windows are enough for a comparison, or no window can decide. The first window
// with enough calls of the new version decides, so the shortest one is passed first.
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

// Recovered reports whether proxies that stopped using the version on their own may use it again. Nearly the
// whole fleet must have reported. Within recoveryWindow, the version's failures must be below the threshold, or
// its failure rate must be one that the old version's rate allows. Unlike IsFailing, Recovered does not test
// whether a difference is statistically significant.
func (g *RollbackGuard) Recovered(options Options, reportingFraction float64) bool {
	if reportingFraction < recoveryMinFraction || len(g.recentSamples) == 0 {
		return false
	}
	latest := g.recentSamples[len(g.recentSamples)-1]
	// recoveryWindow is the number of sparse samples in the window, including the first.
	inWindow := latest.Since(sampleAgo(g.sparseSamples, recoveryWindow-1))
	oldStats, newStats := total(inWindow.Old), total(inWindow.New)
	return newStats.Failures < options.FailureThreshold ||
		!options.exceedsAllowedRate(newStats.failureRate(), oldStats.failureRate())
}
