package registry

import "time"

// maxTraces is how many of the newest revisions have a trace.
const maxTraces = 1024

// trace is when a revision reached which stage, as far as this registry observed it. Zero stands for not observed.
type trace struct {
	seenAt         time.Duration            // first committed here
	acknowledgedAt time.Duration            // to the operator, by this registry
	appliedAt      map[string]time.Duration // first reported as applied, by proxy
}

// startTraces starts the traces of all revisions up to one that is committed here now, and drops the oldest beyond maxTraces.
func (f *FleetState) startTraces(now time.Duration, revision uint64) {
	first := max(f.lastTraced+1, revision-min(revision, maxTraces)+1)
	for sequence := first; sequence <= revision; sequence++ {
		f.traces[sequence] = &trace{seenAt: now, appliedAt: map[string]time.Duration{}}
		delete(f.traces, sequence-min(sequence, maxTraces))
	}
	f.lastTraced = revision
}

// traceApplied records that a proxy, which had applied one revision, has now applied a later one and thereby all between.
func (f *FleetState) traceApplied(now time.Duration, proxy string, before, applied uint64) {
	first := max(before+1, applied-min(applied, maxTraces)+1)
	for sequence := first; sequence <= applied; sequence++ {
		if traced := f.traces[sequence]; traced != nil && traced.appliedAt[proxy] == 0 {
			traced.appliedAt[proxy] = now
		}
	}
}

// traceAcknowledged records when a revision was first acknowledged here.
func (f *FleetState) traceAcknowledged(now time.Duration, revision uint64) {
	if traced := f.traces[revision]; traced != nil && traced.acknowledgedAt == 0 {
		traced.acknowledgedAt = now
	}
}

// KnownFor is for how long this registry has had a committed revision; zero if it does not have it yet, or dropped its trace.
func (f *FleetState) KnownFor(now time.Duration, revision uint64) time.Duration {
	if traced := f.traces[revision]; traced != nil {
		return now - traced.seenAt
	}
	return 0
}
