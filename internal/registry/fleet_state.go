package registry

import (
	"time"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// sourceRetentionLeases is how long a source without a home registry stays listed after its last update, in leases.
// The time of a proxy's last report is kept as long.
const sourceRetentionLeases = 2

// FleetStateOptions are the identity and the limits of a FleetState.
type FleetStateOptions struct {
	MemberID string        // id of the core member to which this registry belongs
	Lease    time.Duration // lease duration, the same on every process; other intervals are multiples or fractions of it
	// MaxSources is the most proxies that the service directory lists. Up to maxLeasesPerSource times as many leases
	// are kept, and call counts of up to maxCountsPerSource times as many proxy incarnations.
	MaxSources    int
	MaxCounts     int  // most lines of call counts in one proxy's report; the counts of a longer report are ignored
	WithoutLeases bool // changes are acknowledged without leases, so a new registry waits for none to expire
}

// proxyIncarnation identifies one process among those that ran under a proxy's name.
type proxyIncarnation struct {
	proxy       string
	incarnation uint64
}

// FleetState is one registry's knowledge of the fleet: leases, the service directory, call counts, canary grants and
// traces of changes. It is a step function of events and of the time since the registry started, which all methods take
// as now. It does no I/O and reads no clock. It is not safe for concurrent use; in a server sharedState.lock guards it.
type FleetState struct {
	options  FleetStateOptions
	caughtUp bool          // whether this registry has the revision that was committed when it started
	sweptAt  time.Duration // when sweep last ran

	// The next three revisions only grow.
	committedRevision   uint64           // revision of the configuration that this registry has; zero for none
	newestKnownRevision uint64           // newest revision that this registry or a proxy had, as of the last RenewLease
	requiredRevision    uint64           // lowest applied revision with which a proxy is granted a lease
	recentCommits       []revisionCommit // commits that are not required yet, oldest first; see sweep

	leases map[proxyIncarnation]*lease // granted leases; expired ones are dropped by sweep

	sources   map[string]*sourceEntry // the service directory: each proxy's newest source, by proxy
	directory directory               // session state of the service directory

	countsByIncarnation map[proxyIncarnation]*schema.SourceCounts // call counts; see recordCounts
	countsByAge         []proxyIncarnation                        // the keys of countsByIncarnation, first added first
	reportedAt          map[proxyIncarnation]time.Duration        // when the last report of an incarnation arrived

	traces     map[uint64]*trace // traces of the newest revisions, by revision
	lastTraced uint64            // newest revision for which a trace was started; zero for none

	canaryGrants   []*schema.Canary // grants that the rollout controller sent last; never changed in place
	canaryGrantsAt time.Duration    // when the rollout controller last sent canaryGrants

	settingMismatches map[string]string // description of each mismatch, by "node: setting"
}

// NewFleetState returns the state of a registry that has just started.
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

// MemberID returns the id of the core member to which this registry belongs.
func (f *FleetState) MemberID() string { return f.options.MemberID }

// SetCaughtUp records that the registry has at least the revision that was committed when it started.
func (f *FleetState) SetCaughtUp() { f.caughtUp = true }

// CommittedRevision returns the revision of the configuration that this registry has; zero for none.
func (f *FleetState) CommittedRevision() uint64 { return f.committedRevision }

// SetCommitted records that, at now, this registry has the configuration of a committed revision. A revision that is
// not newer changes nothing.
func (f *FleetState) SetCommitted(now time.Duration, revision uint64) {
	if revision <= f.committedRevision {
		return
	}
	f.startTraces(now, revision)
	f.committedRevision = revision
	f.recentCommits = append(f.recentCommits, revisionCommit{revision, now})
}

// sweepIfDue sweeps unless the last sweep was less than a lease divided by sweepDivisor ago.
func (f *FleetState) sweepIfDue(now time.Duration) {
	if now-f.sweptAt >= f.options.Lease/sweepDivisor {
		f.sweep(now)
	}
}

// sweep drops expired leases and sources, ends the sources of lost proxies, and raises requiredRevision to the newest
// revision that this registry received more than one lease renewal interval ago. That is the time that proxies have to
// apply a revision.
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
		// A proxy in session reports only changes, so the age of its source means nothing: see endLostSources.
		if entry.source.HomeRegistry == "" && now-entry.receivedAt > sourceRetentionLeases*f.options.Lease {
			delete(f.sources, name)
		}
	}
	f.endLostSources(now)
}
