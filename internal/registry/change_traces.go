package registry

import "time"

// maxTraces is the number of newest revisions for which traces are kept.
const maxTraces = 1024

// trace records when a revision reached each stage, as this registry observed it. Times count from the start of the
// registry; zero means not observed.
type trace struct {
	seenAt         time.Duration            // when this registry first had the revision, or a newer one
	acknowledgedAt time.Duration            // when this registry first found the revision to be acknowledged
	appliedAt      map[string]time.Duration // when a proxy first reported the revision as applied, by proxy
}

// startTraces starts traces for the revisions after lastTraced up to revision, which is newly committed here, and drops
// the oldest ones beyond maxTraces.
func (f *FleetState) startTraces(now time.Duration, revision uint64) {
	first := max(f.lastTraced+1, revision-min(revision, maxTraces)+1)
	for sequence := first; sequence <= revision; sequence++ {
		f.traces[sequence] = &trace{seenAt: now, appliedAt: map[string]time.Duration{}}
		delete(f.traces, sequence-min(sequence, maxTraces))
	}
	f.lastTraced = revision
}

// traceApplied records that a proxy has moved from revision before to revision applied, and so has applied all
// revisions in between.
func (f *FleetState) traceApplied(now time.Duration, proxy string, before, applied uint64) {
	first := max(before+1, applied-min(applied, maxTraces)+1)
	for sequence := first; sequence <= applied; sequence++ {
		if traced := f.traces[sequence]; traced != nil && traced.appliedAt[proxy] == 0 {
			traced.appliedAt[proxy] = now
		}
	}
}

// traceAcknowledged records when this registry first found a revision to be acknowledged.
func (f *FleetState) traceAcknowledged(now time.Duration, revision uint64) {
	if traced := f.traces[revision]; traced != nil && traced.acknowledgedAt == 0 {
		traced.acknowledgedAt = now
	}
}

// KnownFor returns how long this registry has had a committed revision. It returns zero if the registry does not have
// the revision yet, or has dropped its trace.
func (f *FleetState) KnownFor(now time.Duration, revision uint64) time.Duration {
	if traced := f.traces[revision]; traced != nil {
		return now - traced.seenAt
	}
	return 0
}

// HasHadFor reports whether this registry has had a committed revision for at least a time span. A revision whose trace
// was dropped counts as had for any span.
func (f *FleetState) HasHadFor(now time.Duration, revision uint64, span time.Duration) bool {
	if traced := f.traces[revision]; traced != nil {
		return now-traced.seenAt >= span
	}
	return revision <= f.committedRevision
}
