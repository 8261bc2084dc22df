package release

// Ratios of the brake's windows to one gathering of counts.
const (
	shortWindow = 4  // a burst of failures shows here, however many good calls came before
	longWindow  = 20 // and a slower one here
	fineEvery   = 4  // gatherings between two that are kept for fineWindow
	fineWindow  = 60 // of those
	fineHeard   = 0.9
)

// Brake keeps the last gatherings of a plan's evidence and tells when the version must be
// stopped at once.
type Brake struct {
	recent []Evidence
	sparse []Evidence // one in fineEvery
	looks  int
}

// Look takes a gathering. heard is the part of the fleet that it tells of: a duty that hears
// half of the proxies judges by half of the failures, for the rest fail unheard.
func (b *Brake) Look(options Options, evidence Evidence, heard float64) (reason string, bad bool) {
	b.recent = append(b.recent, evidence)
	if len(b.recent) > longWindow+1 {
		b.recent = b.recent[1:]
	}
	if b.looks%fineEvery == 0 {
		b.sparse = append(b.sparse, evidence)
		if len(b.sparse) > fineWindow {
			b.sparse = b.sparse[1:]
		}
	}
	b.looks++
	options.FailuresMost = max(1, uint64(float64(options.FailuresMost)*min(1, heard)))
	for _, window := range []int{shortWindow, longWindow} {
		from := max(0, len(b.recent)-1-window)
		if reason, bad = options.Bad(evidence.Since(b.recent[from])); bad {
			return reason, true
		}
	}
	return "", false
}

// Fine tells whether proxies that stopped by themselves may try the version out again: nearly
// all of the fleet was heard, and even what may have been chance was not seen of late.
func (b *Brake) Fine(options Options, heard float64) bool {
	if heard < fineHeard || len(b.recent) == 0 {
		return false
	}
	lately := b.recent[len(b.recent)-1].Since(b.sparse[0])
	before, after := total(lately.Old), total(lately.New)
	return after.Failures < options.FailuresMost || after.rate() <= options.Times*before.rate()+options.Excess
}
