package release

// Ratios of the brake's windows to one gathering of counts.
const (
	shortWindow = 4  // a burst of failures shows here, however many good calls came before
	longWindow  = 20 // and a slower one here
	sparseEvery = 4  // gatherings between two that are kept for the windows below
	fineWindow  = 60 // of those: that long a version must have been fine to be tried again
	slowWindow  = 60 // and here what fails seldom, or on a route that is seldom called
	thinWindow  = 300
	fineHeard   = 0.9
)

// Brake keeps the last gatherings of a version's evidence and tells when it must be stopped at
// once.
type Brake struct {
	recent []Evidence
	sparse []Evidence // one in sparseEvery
	looks  int
}

// Look takes a gathering. heard is the part of the fleet that it tells of: a duty that hears
// half of the proxies judges by half of the failures, for the rest fail unheard.
func (b *Brake) Look(options Options, evidence Evidence, heard float64) (reason string, bad bool) {
	b.recent = append(b.recent, evidence)
	if len(b.recent) > longWindow+1 {
		b.recent = b.recent[1:]
	}
	if b.looks%sparseEvery == 0 {
		b.sparse = append(b.sparse, evidence)
		if len(b.sparse) > thinWindow {
			b.sparse = b.sparse[1:]
		}
	}
	b.looks++
	options.FailuresMost = max(1, uint64(float64(options.FailuresMost)*min(1, heard)))
	back := func(kept []Evidence, window int) Evidence { return kept[max(0, len(kept)-1-window)] }
	usual := b.usual(evidence, back(b.recent, longWindow), back(b.sparse, slowWindow))
	for _, from := range []Evidence{back(b.recent, shortWindow), back(b.recent, longWindow), back(b.sparse, slowWindow), back(b.sparse, thinWindow)} {
		if reason, bad = options.Bad(evidence.Since(from), usual); bad {
			return reason, true
		}
	}
	return "", false
}

// Ratios of what stands for an old version that hardly gets calls.
const (
	hardly     = 50  // below this part of the new version's calls it is no measure of anything
	hardlyFrom = 200 // and it takes so many of the new version's to say so
)

// usual is all that was ever counted of the old version, if it hardly gets calls any more. The
// shortest window that has enough calls to tell decides.
func (b *Brake) usual(evidence Evidence, windows ...Evidence) map[string]Count {
	for _, from := range windows {
		lately := evidence.Since(from)
		before, after := total(lately.Old), total(lately.New)
		if after.Calls < hardlyFrom {
			continue
		}
		if before.Calls*hardly < after.Calls {
			return evidence.Old
		}
		return nil
	}
	return nil
}

// Fine tells whether proxies that stopped by themselves may try the version out again: nearly
// all of the fleet was heard, and even what may have been chance was not seen of late.
func (b *Brake) Fine(options Options, heard float64) bool {
	if heard < fineHeard || len(b.recent) == 0 {
		return false
	}
	lately := b.recent[len(b.recent)-1].Since(b.sparse[max(0, len(b.sparse)-fineWindow)])
	before, after := total(lately.Old), total(lately.New)
	return after.Failures < options.FailuresMost || after.rate() <= options.Times*before.rate()+options.Excess
}
