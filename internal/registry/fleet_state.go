package registry

import (
	"time"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// sourceRetentionLeases is how many leases the workers of a proxy without a session stay listed after its last report.
const sourceRetentionLeases = 2

// FleetStateOptions bound a FleetState.
type FleetStateOptions struct {
	MemberID      string        // the core member whose registry this is
	Lease         time.Duration // the same on every process; all other intervals are fractions or multiples of it
	MaxSources    int           // proxies that are listed; twice as many may hold a lease, four times as many incarnations have counts
	MaxCounts     int           // lines of counts in one proxy's report; a longer report's counts are ignored
	WithoutLeases bool          // changes are acknowledged without leases: there are none to wait for after a start
}

// proxyIncarnation tells the processes apart that ran under one proxy's name.
type proxyIncarnation struct {
	proxy       string
	incarnation uint64
}

// FleetState is what one registry knows of the fleet: leases, the service directory, call counts, canary grants and traces of
// changes. It is a step function of events and of the time since the registry started (now, in all methods): it does no I/O and
// reads no clock. It is not safe for concurrent use; in a server sharedState.lock guards it.
type FleetState struct {
	options  FleetStateOptions
	caughtUp bool          // the revision that was committed when this registry started is known here
	sweptAt  time.Duration // when sweep last ran

	// Revisions. All three only grow.
	committedRevision   uint64           // of the configuration that this registry has
	newestKnownRevision uint64           // the newest that this registry has or a proxy reported, as of the last lease request
	requiredRevision    uint64           // no lease is granted to a proxy that applied less, ever again
	recentCommits       []revisionCommit // oldest first; each becomes required once proxies have had time to apply it

	leases map[proxyIncarnation]*lease

	// The service directory: what proxies reported of themselves and their workers, by proxy.
	sources   map[string]*sourceEntry
	directory directory

	// Call counts.
	countsByIncarnation map[proxyIncarnation]*schema.SourceCounts
	countsByAge         []proxyIncarnation // the keys of countsByIncarnation, oldest first
	reportedAt          map[proxyIncarnation]time.Duration

	traces     map[uint64]*trace // by revision
	lastTraced uint64            // the newest revision that has, or had, a trace

	canaryGrants   []*schema.Canary // from the rollout controller
	canaryGrantsAt time.Duration    // when it last handed them out

	settingMismatches map[string]string // a sentence, by node and setting
}

// NewFleetState makes the state of a registry that has just started.
func NewFleetState(options FleetStateOptions) *FleetState {
	return &FleetState{
		options:             options,
		leases:              map[proxyIncarnation]*lease{},
		sources:             map[string]*sourceEntry{},
		directory:           newDirectory(),
		countsByIncarnation: map[proxyIncarnation]*schema.SourceCounts{},
		reportedAt:          map[proxyIncarnation]time.Duration{},
		traces:              map[uint64]*trace{},
		settingMismatches:   map[string]string{},
	}
}

// MemberID is the core member whose registry this is.
func (f *FleetState) MemberID() string { return f.options.MemberID }

// SetCaughtUp records that the registry holds at least the revision that was committed when it started.
func (f *FleetState) SetCaughtUp() { f.caughtUp = true }

// CommittedRevision is the revision of the configuration that this registry has.
func (f *FleetState) CommittedRevision() uint64 { return f.committedRevision }

// SetCommitted records that this registry has the configuration of a revision. An older revision changes nothing.
func (f *FleetState) SetCommitted(now time.Duration, revision uint64) {
	if revision <= f.committedRevision {
		return
	}
	f.startTraces(now, revision)
	f.committedRevision = revision
	f.recentCommits = append(f.recentCommits, revisionCommit{revision, now})
}

// sweepIfDue sweeps unless that was done a moment ago.
func (f *FleetState) sweepIfDue(now time.Duration) {
	if now-f.sweptAt >= f.options.Lease/sweepDivisor {
		f.sweep(now)
	}
}

// sweep drops whatever has expired, and raises the revision that lagging proxies must have applied.
func (f *FleetState) sweep(now time.Duration) {
	f.sweptAt = now
	for len(f.recentCommits) > 0 && now-f.recentCommits[0].committedAt > f.options.Lease/session.RenewalsPerLease {
		f.requiredRevision = max(f.requiredRevision, f.recentCommits[0].revision)
		f.recentCommits = f.recentCommits[1:]
	}
	for key, entry := range f.leases {
		if entry.expiresAt <= now {
			delete(f.leases, key)
		}
	}
	for name, entry := range f.sources {
		// A proxy with a session reports only changes, so its age says nothing: see endLostSources.
		if entry.source.HomeRegistry == "" && now-entry.receivedAt > sourceRetentionLeases*f.options.Lease {
			delete(f.sources, name)
		}
	}
	f.endLostSources(now)
}
