// Package registry takes all outside calls: operators' changes, proxies' sessions and
// leases, the directory of workers, and the counts of verdicts.
package registry

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// Ratios to the lease.
const (
	sourceRetentionLeases = 2 // leases that a silent proxy's workers stay listed here
)

// FleetStateOptions bound a table.
type FleetStateOptions struct {
	MemberID      string
	Lease         time.Duration
	MaxSources    int
	MaxCounts     int
	WithoutLeases bool // nothing rests on leases: there are none to wait for after a start
}

type proxyIncarnation struct {
	proxy       string
	incarnation uint64
}

type lease struct {
	appliedRevision uint64
	expiresAt       time.Duration
}

type sourceEntry struct {
	source              *schema.Source
	receivedAt          time.Duration
	updateSequence      uint64 // in the order in which news were taken here
	proxyUpdateSequence uint64 // place from which proxies have to be told of it
}

type revisionCommit struct {
	revision    uint64
	committedAt time.Duration
}

// FleetState is a registry's whole memory. It is a step function of events and the time since
// the registry started; it does no I/O and its caller guards it.
type FleetState struct {
	options             FleetStateOptions
	caughtUp            bool // has read what was stable when it started
	leases              map[proxyIncarnation]*lease
	requiredRevision    uint64 // no lease below this setup, ever again
	committedRevision   uint64
	newestKnownRevision uint64 // the newest setup any proxy said it has; it is stable somewhere
	recentCommits       []revisionCommit
	sources             map[string]*sourceEntry
	countsByIncarnation map[proxyIncarnation]*schema.SourceCounts
	countsByAge         []proxyIncarnation // counts, oldest first
	reportedAt          map[proxyIncarnation]time.Duration
	traces              map[uint64]*trace
	lastTraced          uint64 // sequence traced last
	canaryGrants        []*schema.Canary
	canaryGrantsAt      time.Duration // when the release duty last handed them out
	settingMismatches   map[string]string
	sweptAt             time.Duration
	directory           directory
}

// trace is when a setup was where, as far as this registry saw.
type trace struct {
	seenAt         time.Duration
	acknowledgedAt time.Duration
	appliedAt      map[string]time.Duration // by proxy
}

// maxTraces is how many setups the tracer can still be told of.
const maxTraces = 1024

// NewFleetState makes the memory of a registry that has just started.
func NewFleetState(options FleetStateOptions) *FleetState {
	return &FleetState{options: options, leases: map[proxyIncarnation]*lease{}, sources: map[string]*sourceEntry{}, countsByIncarnation: map[proxyIncarnation]*schema.SourceCounts{}, traces: map[uint64]*trace{}, reportedAt: map[proxyIncarnation]time.Duration{}, settingMismatches: map[string]string{}, directory: newDirectory()}
}

// MarkCaughtUp tells that the registry knows at least what was stable when it started.
func (t *FleetState) MarkCaughtUp() { t.caughtUp = true }

// SetCommitted tells how far the setup is stable.
func (t *FleetState) SetCommitted(now time.Duration, revision uint64) {
	if revision <= t.committedRevision {
		return
	}
	for sequence := max(t.lastTraced+1, revision-min(revision, maxTraces)+1); sequence <= revision; sequence++ {
		t.traces[sequence] = &trace{seenAt: now, appliedAt: map[string]time.Duration{}}
		delete(t.traces, sequence-min(sequence, maxTraces))
	}
	t.lastTraced = revision
	t.committedRevision = revision
	t.recentCommits = append(t.recentCommits, revisionCommit{revision, now})
}

// KnownFor is how long a sequence has been known here; nothing if it is not kept any more.
func (t *FleetState) KnownFor(now time.Duration, sequence uint64) time.Duration {
	if traced := t.traces[sequence]; traced != nil {
		return now - traced.seenAt
	}
	return 0
}

// GrantsLeases tells whether leases are given. A registry that has just started may have given
// leases and set fences it forgot, so it waits until those leases have run out.
func (t *FleetState) GrantsLeases(now time.Duration) bool {
	return t.caughtUp && (t.options.WithoutLeases || now >= t.options.Lease)
}

// sweepIfDue sweeps unless that was done just now.
func (t *FleetState) sweepIfDue(now time.Duration) {
	if now-t.sweptAt >= t.options.Lease/sweepDivisor {
		t.sweep(now)
	}
}

// sweep drops what has run out and raises the bar for lagging proxies.
func (t *FleetState) sweep(now time.Duration) {
	t.sweptAt = now
	for len(t.recentCommits) > 0 && now-t.recentCommits[0].committedAt > t.options.Lease/session.RenewalsPerLease {
		t.requiredRevision = max(t.requiredRevision, t.recentCommits[0].revision)
		t.recentCommits = t.recentCommits[1:]
	}
	for key, entry := range t.leases {
		if entry.expiresAt <= now {
			delete(t.leases, key)
		}
	}
	for name, entry := range t.sources {
		// Proxies in session say nothing while nothing changes: see retire.
		if entry.source.HomeRegistry == "" && now-entry.receivedAt > sourceRetentionLeases*t.options.Lease {
			delete(t.sources, name)
		}
	}
	t.endLostSources(now)
}

// RenewLease grants or refuses a lease.
func (t *FleetState) RenewLease(now time.Duration, request *schema.LeaseRequest) *schema.LeaseReply {
	t.sweep(now)
	t.newestKnownRevision = max(t.newestKnownRevision, t.committedRevision, request.Applied, request.Received)
	reply := &schema.LeaseReply{Committed: t.newestKnownRevision, FleetSize: uint32(t.LiveProxies(now)), Member: t.options.MemberID}
	key := proxyIncarnation{request.Proxy, request.Incarnation}
	existing := t.leases[key]
	t.CompareSetting("proxy "+request.Proxy, "lease", time.Duration(request.LeaseNanos).String(), t.options.Lease.String(), request.LeaseNanos != 0)
	switch {
	// A proxy that counts on a longer lease than is kept here would decide after its end.
	case request.LeaseNanos != 0 && time.Duration(request.LeaseNanos) != t.options.Lease:
		reply.Reason = "LEASE_DIFFERS"
	case !t.GrantsLeases(now):
		reply.Reason = "REGISTRY_YOUNG"
	case request.Applied < t.requiredRevision:
		reply.Reason = "LAGS"
	// A proxy without a lease starts from the newest setup that any proxy may have shown, so
	// that a restart never falls back.
	case existing == nil && request.Applied < t.newestKnownRevision:
		reply.Reason = "LAGS"
	case existing == nil && len(t.leases) >= 2*t.options.MaxSources:
		reply.Reason = "BUFFER_FULL"
	default:
		reply.Granted = true
		if existing == nil {
			existing = &lease{}
			t.leases[key] = existing
		}
		existing.expiresAt = now + t.options.Lease
	}
	// What is applied counts even where the lease is refused: it may free an acknowledgement.
	if existing != nil {
		for sequence := max(existing.appliedRevision+1, request.Applied-min(request.Applied, maxTraces)+1); sequence <= request.Applied; sequence++ {
			if traced := t.traces[sequence]; traced != nil && traced.appliedAt[request.Proxy] == 0 {
				traced.appliedAt[request.Proxy] = now
			}
		}
		existing.appliedRevision = max(existing.appliedRevision, request.Applied)
	}
	return reply
}

// SetFence sets a fence: from now on no lease is granted below the setup. It tells which leases
// still stand below it.
func (t *FleetState) SetFence(now time.Duration, revision uint64) *schema.FenceReply {
	t.sweep(now)
	if !t.GrantsLeases(now) {
		return &schema.FenceReply{Member: t.options.MemberID}
	}
	t.requiredRevision = max(t.requiredRevision, revision)
	fenced := &schema.FenceReply{Member: t.options.MemberID, Authoritative: true}
	for key, standing := range t.leases {
		if standing.appliedRevision < revision {
			fenced.Laggards = append(fenced.Laggards, &schema.Laggard{Proxy: key.proxy, Incarnation: key.incarnation,
				Applied: standing.appliedRevision, LeaseLeftNanos: int64(standing.expiresAt - now)})
		}
	}
	return fenced
}

// newerStamp orders the news of one source.
func newerStamp(a, b *schema.SourceVersion) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	if a.GetCounter() != b.GetCounter() {
		return a.GetCounter() > b.GetCounter()
	}
	return a.GetEnded() && !b.GetEnded()
}

// MergeSource takes a source's news if it is newer than what is held.
func (t *FleetState) MergeSource(now time.Duration, source *schema.Source) bool {
	if source == nil || source.Version == nil {
		return false
	}
	if source.IncarnationOnly {
		return t.mergeIncarnationOnly(now, source)
	}
	existing := t.sources[source.Name]
	if existing != nil && !newerStamp(source.Version, existing.source.Version) {
		return false
	}
	if existing == nil && len(t.sources) >= t.options.MaxSources && !t.evictEndedSource() {
		return false
	}
	t.storeSource(now, source)
	return true
}

// evictEndedSource forgets the ended source that was taken longest ago.
func (t *FleetState) evictEndedSource() bool {
	oldest := ""
	for name, entry := range t.sources {
		if entry.source.Version.GetEnded() && (oldest == "" || entry.updateSequence < t.sources[oldest].updateSequence) {
			oldest = name
		}
	}
	delete(t.sources, oldest)
	return oldest != ""
}

// ApplyReport takes a proxy's report; counts only grow within an incarnation.
func (t *FleetState) ApplyReport(now time.Duration, report *schema.ProxyReport) bool {
	t.reportedAt[proxyIncarnation{report.Proxy, report.Incarnation}] = now
	if len(report.Counts)+len(report.WorkCounts) <= t.options.MaxCounts {
		t.recordCounts(&schema.SourceCounts{Proxy: report.Proxy, Incarnation: report.Incarnation, Counts: report.Counts, WorkCounts: report.WorkCounts, Applied: report.Applied})
	}
	t.adoptSource(report.Source)
	if report.Source.GetShuttingDown() {
		report.Source.Version.Ended = true
	}
	return t.MergeSource(now, report.Source)
}

// ReportedCounts gives what proxies told of their verdicts, and how many of them did of late; with works
// only what versions are judged by.
func (t *FleetState) ReportedCounts(now time.Duration, workCountsOnly bool) *schema.CountsReply {
	response := &schema.CountsReply{Reporting: uint32(t.recentReporters(now))}
	for key, stored := range t.countsByIncarnation {
		counts := &schema.SourceCounts{Proxy: stored.Proxy, Incarnation: stored.Incarnation, WorkCounts: stored.WorkCounts, Applied: stored.Applied, AgeNanos: int64(now - t.reportedAt[key])}
		if !workCountsOnly {
			counts.Counts = stored.Counts
		}
		response.Sources = append(response.Sources, counts)
	}
	return response
}

// recentReporters counts the proxies that told something within an eighth of a lease.
func (t *FleetState) recentReporters(now time.Duration) int {
	count := 0
	for key, at := range t.reportedAt {
		if now-at <= t.options.Lease/session.RenewalsPerLease {
			count++
		} else if now-at > sourceRetentionLeases*t.options.Lease {
			delete(t.reportedAt, key)
		}
	}
	return count
}

// recordCounts keeps, for one incarnation of a proxy, the report that counted most; what a report
// leaves out stays as it was told.
func (t *FleetState) recordCounts(reported *schema.SourceCounts) {
	key := proxyIncarnation{reported.Proxy, reported.Incarnation}
	existing := t.countsByIncarnation[key]
	if existing == nil {
		existing = &schema.SourceCounts{Proxy: reported.Proxy, Incarnation: reported.Incarnation}
		t.countsByAge = append(t.countsByAge, key)
	}
	merged := &schema.SourceCounts{Proxy: existing.Proxy, Incarnation: existing.Incarnation, Counts: existing.Counts, WorkCounts: existing.WorkCounts, Applied: max(existing.Applied, reported.Applied)}
	if totalCalls(reported) > 0 && totalCalls(reported) >= totalCalls(existing) {
		merged.Counts = reported.Counts
	}
	if len(reported.WorkCounts) > 0 && totalWorkCalls(reported) >= totalWorkCalls(existing) {
		merged.WorkCounts = reported.WorkCounts
	}
	t.countsByIncarnation[key] = merged
	// Counts of incarnations long gone make room, oldest first.
	for len(t.countsByAge) > 4*t.options.MaxSources {
		delete(t.countsByIncarnation, t.countsByAge[0])
		t.countsByAge = t.countsByAge[1:]
	}
}

func totalCalls(counts *schema.SourceCounts) uint64 {
	var calls uint64
	for _, count := range counts.GetCounts() {
		calls += count.Calls
	}
	return calls
}

// totalWorkCalls adds up what workers ended.
func totalWorkCalls(counts *schema.SourceCounts) uint64 {
	var calls uint64
	for _, work := range counts.GetWorkCounts() {
		calls += work.Calls
	}
	return calls
}

// SourcesNewerThan lists the sources that a vector lacks.
func (t *FleetState) SourcesNewerThan(now time.Duration, vector map[string]*schema.SourceVersion) []*schema.Source {
	t.sweep(now)
	var newer []*schema.Source
	for name, entry := range t.sources {
		if newerStamp(entry.source.Version, vector[name]) {
			newer = append(newer, entry.source)
		}
	}
	sort.Slice(newer, func(i, j int) bool { return newer[i].Name < newer[j].Name })
	return newer
}

// canaryGrantDivisor is the part of a lease for which what the release duty handed out is passed on.
const canaryGrantDivisor = 2 * session.RenewalsPerLease

// SetCanaryGrants takes what the release duty hands out.
func (t *FleetState) SetCanaryGrants(now time.Duration, grants []*schema.Canary) {
	t.canaryGrants, t.canaryGrantsAt = grants, now
}

// CanaryGrants is what this registry may pass on to its proxies.
func (t *FleetState) CanaryGrants(now time.Duration) []*schema.Canary {
	var forwarded []*schema.Canary
	fresh := now-t.canaryGrantsAt <= t.options.Lease/canaryGrantDivisor
	for _, grant := range t.canaryGrants {
		// A stop is passed on for ever; a grant only while the duty is heard.
		if fresh || grant.Blocked {
			forwarded = append(forwarded, grant)
		}
	}
	return forwarded
}

// maxSettingMismatches bounds what is kept of settings that contradict.
const maxSettingMismatches = 64

// CompareSetting notes or forgets that a setting, which must be the same everywhere, is another elsewhere.
func (t *FleetState) CompareSetting(who, setting, theirs, ours string, reported bool) {
	key := who + ": " + setting
	if !reported || theirs == ours {
		delete(t.settingMismatches, key)
	} else if len(t.settingMismatches) < maxSettingMismatches {
		t.settingMismatches[key] = fmt.Sprintf("%s is %s there, %s here", key, theirs, ours)
	}
}

// SettingMismatches lists settings of others that contradict this registry's.
func (t *FleetState) SettingMismatches() []string {
	return slices.Sorted(maps.Values(t.settingMismatches))
}

// MemberID is whose table this is.
func (t *FleetState) MemberID() string { return t.options.MemberID }

// CommittedRevision is how far the registry knows the setup to be stable.
func (t *FleetState) CommittedRevision() uint64 { return t.committedRevision }

// Vector is what this table has of each source.
func (t *FleetState) Vector() map[string]*schema.SourceVersion {
	vector := map[string]*schema.SourceVersion{}
	for name, entry := range t.sources {
		vector[name] = entry.source.Version
	}
	// Of what was only seen, nothing is had of its last life.
	for name, entry := range t.directory.incarnationOnly {
		if seen := (&schema.SourceVersion{Incarnation: entry.source.Version.Incarnation}); newerStamp(seen, vector[name]) {
			vector[name] = seen
		}
	}
	return vector
}

// LiveProxies counts the proxies whose session stands. All sessions ask at each piece of news, so they
// are counted once for all of them.
func (t *FleetState) LiveProxies(now time.Duration) int {
	if directory := &t.directory; directory.countedSequence != directory.lastSequence || now-directory.countedAt >= t.options.Lease/sweepDivisor {
		directory.liveProxies, directory.countedSequence, directory.countedAt = t.countLiveProxies(now), directory.lastSequence, now
	}
	return t.directory.liveProxies
}

func (t *FleetState) countLiveProxies(now time.Duration) int {
	count := 0
	for _, entry := range t.sources {
		leased := entry.source.HomeRegistry == "" && now-entry.receivedAt <= t.options.Lease
		inSession := entry.source.HomeRegistry != "" && !entry.source.Version.GetEnded()
		if leased || inSession {
			count++
		}
	}
	return count
}

// Leases lists the leases that stand.
func (t *FleetState) Leases(now time.Duration) []*schema.Laggard {
	t.sweep(now)
	var listed []*schema.Laggard
	for key, standing := range t.leases {
		listed = append(listed, &schema.Laggard{Proxy: key.proxy, Incarnation: key.incarnation, Applied: standing.appliedRevision, LeaseLeftNanos: int64(standing.expiresAt - now)})
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].Proxy < listed[j].Proxy })
	return listed
}

// Acknowledgement gathers the answers to a fence. It is done once a majority of registries
// has no lease left below the setup: any lease still standing was granted by one of them.
type Acknowledgement struct {
	memberCount     int
	withoutLaggards map[string]bool
}

// NewAcknowledgement waits for a majority of so many seats.
func NewAcknowledgement(memberCount int) *Acknowledgement {
	return &Acknowledgement{memberCount: memberCount, withoutLaggards: map[string]bool{}}
}

// Record notes an answer and tells whether the fence is done. A fenced registry without
// laggards stays without, so it need not be asked again.
func (a *Acknowledgement) Record(fenced *schema.FenceReply) bool {
	if fenced.Authoritative && len(fenced.Laggards) == 0 {
		a.withoutLaggards[fenced.Member] = true
	}
	return len(a.withoutLaggards) > a.memberCount/2
}
