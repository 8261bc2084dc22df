package release

// Ratios of the brake's windows to one gathering of counts.
const (
	shortWindow       = 4  // a burst of failures shows here, however many good calls came before
	longWindow        = 20 // and a slower one here
	sparseSampleEvery = 4  // gatherings between two that are kept for the windows below
	recoveryWindow    = 60 // of those: that long a version must have been fine to be tried again
	sparseShortWindow = 60 // and here what fails seldom, or on a route that is seldom called
	sparseLongWindow  = 300
	recoveryMinHeard  = 0.9
)

// RollbackGuard keeps the last gatherings of a version's evidence and tells when it must be stopped at
// once.
type RollbackGuard struct {
	recentSamples []VersionCounts
	sparseSamples []VersionCounts // one in sparseSampleEvery
	sampleCount   int
}

// Observe takes a gathering. heard is the part of the fleet that it tells of: a duty that hears
// half of the proxies judges by half of the failures, for the rest fail unheard.
func (g *RollbackGuard) Observe(options Options, counts VersionCounts, heardFraction float64) (reason string, bad bool) {
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
	options.FailureThreshold = max(1, uint64(float64(options.FailureThreshold)*min(1, heardFraction)))
	sampleAgo := func(samples []VersionCounts, window int) VersionCounts { return samples[max(0, len(samples)-1-window)] }
	baseline := g.baseline(counts, sampleAgo(g.recentSamples, longWindow), sampleAgo(g.sparseSamples, sparseShortWindow))
	for _, windowStart := range []VersionCounts{sampleAgo(g.recentSamples, shortWindow), sampleAgo(g.recentSamples, longWindow), sampleAgo(g.sparseSamples, sparseShortWindow), sampleAgo(g.sparseSamples, sparseLongWindow)} {
		if reason, bad = options.IsFailing(counts.Since(windowStart), baseline); bad {
			return reason, true
		}
	}
	return "", false
}

// Ratios of what stands for an old version that hardly gets calls.
const (
	sparseBaselineRatio    = 50  // below this part of the new version's calls it is no measure of anything
	sparseBaselineMinCalls = 200 // and it takes so many of the new version's to say so
)

// baseline is all that was ever counted of the old version, if it hardly gets calls any more. The
// shortest window that has enough calls to tell decides.
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

// Recovered tells whether proxies that stopped by themselves may try the version out again: nearly
// all of the fleet was heard, and even what may have been chance was not seen of late.
func (g *RollbackGuard) Recovered(options Options, heardFraction float64) bool {
	if heardFraction < recoveryMinHeard || len(g.recentSamples) == 0 {
		return false
	}
	inWindow := g.recentSamples[len(g.recentSamples)-1].Since(g.sparseSamples[max(0, len(g.sparseSamples)-recoveryWindow)])
	oldStats, newStats := total(inWindow.Old), total(inWindow.New)
	return newStats.Failures < options.FailureThreshold || newStats.failureRate() <= options.FailureRateMultiple*oldStats.failureRate()+options.FailureRateMargin
}
