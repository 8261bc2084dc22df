package registry

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"meadowhinge/schema"
)

// Ratios to the lease of how long sources of sessions stay listed.
const (
	disconnectedLeases      = 1  // after the last session of a proxy ended at its home
	orphanLeases            = 2  // after its home was last heard, if this registry is in touch with the core
	quorumContactAgeDivisor = 2  // part of a lease within which its setup must have been vouched for, for it to be so
	sweepDivisor            = 64 // part of a lease for which sessions need not look again for what has run out
)

// directory is the part of a table that is about sessions: a proxy in session need not say again
// and again that it lives, for its registry sees it. A source stays until its home, the registry
// that had its session, finds the session ended for good, or the home itself is lost.
type directory struct {
	lastSequence    uint64                   // of the news taken last
	updateLog       []updateLogEntry         // of sources, by place; those taken again since are in it twice
	sessions        map[string]int           // open here, by proxy
	disconnectedAt  map[string]time.Duration // when a proxy's last session here ended
	incarnationOnly map[string]*sourceEntry  // incarnations seen of names, above what is held of them
	reachedAt       map[string]time.Duration // when another registry was last heard here, or by one that was
	heardAt         map[string]time.Duration // and when here
	reachedBy       map[string][]string      // which registries another one hears
	confirmedAt     time.Duration            // when the setup here was last known to be the newest
	everConfirmed   bool
	otherRegistries int // registries beside this one
	// liveProxies are so many since the place and the time at which they were counted.
	liveProxies     int
	countedSequence uint64
	countedAt       time.Duration
}

// updateLogEntry is where in the order of all news a source's were taken.
type updateLogEntry struct {
	sequence uint64
	name     string
}

// updateLogMaxRatio is how many times the sources the order may hold before it is put straight.
const updateLogMaxRatio = 2

func newDirectory() directory {
	return directory{sessions: map[string]int{}, disconnectedAt: map[string]time.Duration{}, incarnationOnly: map[string]*sourceEntry{}, reachedAt: map[string]time.Duration{}, heardAt: map[string]time.Duration{}, reachedBy: map[string][]string{}}
}

// OpenSession opens a session of a proxy and takes what it tells of itself.
func (t *FleetState) OpenSession(now time.Duration, source *schema.Source) bool {
	t.directory.sessions[source.Name]++
	t.adoptSource(source)
	return t.MergeSource(now, source)
}

// OpenProvisionalSession opens a session of a proxy that has another one: its source stays with the home of that
// one until the proxy tells of itself here.
func (t *FleetState) OpenProvisionalSession(name string) { t.directory.sessions[name]++ }

// CloseSession ends a session of a proxy.
func (t *FleetState) CloseSession(now time.Duration, name string) {
	t.directory.sessions[name]--
	if t.directory.sessions[name] <= 0 {
		delete(t.directory.sessions, name)
		t.directory.disconnectedAt[name] = now
	}
}

// RecordPeerHeard notes that another registry was heard, and those that it hears itself.
func (t *FleetState) RecordPeerHeard(now time.Duration, memberID string, reaches []string) {
	t.directory.reachedBy[memberID] = reaches
	t.directory.heardAt[memberID], t.directory.reachedAt[memberID] = now, now
	for _, reached := range reaches {
		t.directory.reachedAt[reached] = now
	}
}

// SetMemberCount tells how many seats the core has.
func (t *FleetState) SetMemberCount(memberCount int) { t.directory.otherRegistries = memberCount - 1 }

// ConfirmCurrent notes of what time the setup here is known to be the newest.
func (t *FleetState) ConfirmCurrent(at time.Duration) {
	if !t.directory.everConfirmed || at > t.directory.confirmedAt {
		t.directory.everConfirmed, t.directory.confirmedAt = true, at
	}
}

// Staleness is how long ago the setup here was last known to be the newest; false if it never was.
func (t *FleetState) Staleness(now time.Duration) (time.Duration, bool) {
	return now - t.directory.confirmedAt, t.directory.everConfirmed
}

// hasQuorumContact tells whether this registry's store is in touch with a majority of the core.
func (t *FleetState) hasQuorumContact(now time.Duration) bool {
	age, confirmed := t.Staleness(now)
	return confirmed && age <= t.options.Lease/quorumContactAgeDivisor
}

// adoptSource makes a source that was told here this registry's to mind.
func (t *FleetState) adoptSource(source *schema.Source) {
	if source != nil && t.directory.sessions[source.Name] > 0 {
		source.HomeRegistry = t.options.MemberID
	}
}

// endLostSources lists sources as ended whose proxies are gone.
func (t *FleetState) endLostSources(now time.Duration) {
	for name, entry := range t.sources {
		home := entry.source.HomeRegistry
		if home == "" || entry.source.Version.GetEnded() {
			continue
		}
		lost := false
		if home == t.options.MemberID {
			// After a restart of this registry its proxies are given as long to come back.
			lost = t.directory.sessions[name] == 0 && now-max(t.directory.disconnectedAt[name], entry.receivedAt) > disconnectedLeases*t.options.Lease
		} else {
			// When the others are silent because this registry is cut off, nothing is known of their proxies.
			lost = t.hasQuorumContact(now) && now-max(t.directory.reachedAt[home], entry.receivedAt) > orphanLeases*t.options.Lease
		}
		if lost {
			t.endSource(now, entry.source)
		}
	}
	// Some node lists a proxy that no registry knows any more: if it lived, it would have come.
	// That is only certain while all of them are heard here.
	for _, entry := range t.directory.incarnationOnly {
		if t.hasQuorumContact(now) && len(t.ReachableRegistries(now)) >= t.directory.otherRegistries && now-entry.receivedAt > orphanLeases*t.options.Lease {
			t.endSource(now, entry.source)
		}
	}
}

// endSource lists a source as ended.
func (t *FleetState) endSource(now time.Duration, source *schema.Source) {
	stamp := &schema.SourceVersion{Incarnation: source.Version.GetIncarnation(), Counter: source.Version.GetCounter(), Ended: true}
	t.storeSource(now, &schema.Source{Name: source.Name, Version: stamp, Address: source.Address, Zone: source.Zone, HomeRegistry: t.options.MemberID})
}

// storeSource takes a source's news and gives them a place in the order of all news taken here.
func (t *FleetState) storeSource(now time.Duration, source *schema.Source) {
	t.directory.lastSequence++
	stored := &sourceEntry{source: source, receivedAt: now, updateSequence: t.directory.lastSequence, proxyUpdateSequence: t.directory.lastSequence}
	// A proxy that only changed its registry says nothing new to other proxies.
	if existing := t.sources[source.Name]; existing != nil && sameContent(existing.source, source) {
		stored.proxyUpdateSequence = existing.proxyUpdateSequence
	}
	t.sources[source.Name] = stored
	t.directory.updateLog = append(t.directory.updateLog, updateLogEntry{stored.updateSequence, source.Name})
	if len(t.directory.updateLog) > updateLogMaxRatio*(len(t.sources)+1) {
		t.directory.updateLog = slices.DeleteFunc(t.directory.updateLog, func(entry updateLogEntry) bool {
			existing := t.sources[entry.name]
			return existing == nil || existing.updateSequence != entry.sequence
		})
	}
	if incarnationOnly := t.directory.incarnationOnly[source.Name]; incarnationOnly != nil && !newerStamp(incarnationOnly.source.Version, source.Version) {
		delete(t.directory.incarnationOnly, source.Name)
	}
}

// sameContent tells whether two words of one life say the same, but for loads, which proxies learn
// from answers.
func sameContent(a, b *schema.Source) bool {
	if a.Version.GetIncarnation() != b.Version.GetIncarnation() || a.Version.GetEnded() || b.Version.GetEnded() || a.ShuttingDown != b.ShuttingDown || a.Address != b.Address || a.Zone != b.Zone {
		return false
	}
	return slices.EqualFunc(a.Workers, b.Workers, func(a, b *schema.Worker) bool {
		return a.Instance == b.Instance && a.Service == b.Service && a.Version == b.Version && a.Zone == b.Zone && a.Draining == b.Draining && a.Terminated == b.Terminated && a.Slots == b.Slots
	})
}

// ObserveVector takes from a vector what others saw that is unknown here. A proxy that is restarted must
// go beyond it, or whoever has it would not believe the proxy.
func (t *FleetState) ObserveVector(now time.Duration, vector map[string]*schema.SourceVersion) {
	for name, stamp := range vector {
		t.mergeIncarnationOnly(now, &schema.Source{Name: name, Version: &schema.SourceVersion{Incarnation: stamp.GetIncarnation(), Counter: stamp.GetCounter()}, IncarnationOnly: true, HomeRegistry: t.options.MemberID})
	}
}

// HighestIncarnation is the highest incarnation seen of a name.
func (t *FleetState) HighestIncarnation(name string) uint64 {
	highest := uint64(0)
	if entry := t.sources[name]; entry != nil {
		highest = entry.source.Version.GetIncarnation()
	}
	if entry := t.directory.incarnationOnly[name]; entry != nil {
		highest = max(highest, entry.source.Version.GetIncarnation())
	}
	return highest
}

// ReportedWorkers lists the workers that a proxy told of last and that did not say they were leaving. A
// proxy that is killed loses them, while they live on and speak only with their next beat.
func (t *FleetState) ReportedWorkers(name string) []*schema.Worker {
	entry := t.sources[name]
	if entry == nil || entry.source.ShuttingDown {
		return nil
	}
	var staying []*schema.Worker
	for _, worker := range entry.source.Workers {
		if !worker.Draining && !worker.Terminated {
			staying = append(staying, worker)
		}
	}
	return staying
}

// IncarnationOnlySources lists what is known of incarnations alone beyond a vector; of a proxy's own name, or of all.
func (t *FleetState) IncarnationOnlySources(vector map[string]*schema.SourceVersion, name string) []*schema.Source {
	var listed []*schema.Source
	for sourceName, entry := range t.directory.incarnationOnly {
		if (name == "" || sourceName == name) && entry.source.Version.Incarnation > vector[sourceName].GetIncarnation() {
			listed = append(listed, entry.source)
		}
	}
	return listed
}

func (t *FleetState) mergeIncarnationOnly(now time.Duration, source *schema.Source) bool {
	if existing := t.sources[source.Name]; existing != nil && !newerStamp(source.Version, existing.source.Version) {
		return false
	}
	existing := t.directory.incarnationOnly[source.Name]
	if (existing != nil && !newerStamp(source.Version, existing.source.Version)) || (existing == nil && len(t.directory.incarnationOnly) >= t.options.MaxSources) {
		return false
	}
	t.directory.lastSequence++
	t.directory.incarnationOnly[source.Name] = &sourceEntry{source: source, receivedAt: now, updateSequence: t.directory.lastSequence}
	return true
}

// SessionCursor is how far a session has been told of sources.
type SessionCursor struct {
	node         string
	peerMemberID string // the seat of another registry, empty for a proxy
	peerReaches  []string
	started      bool
	sentSequence uint64
	vector       map[string]*schema.SourceVersion
}

// NewSessionCursor begins a session with a node that has a vector; with a peer, its seat is given.
func NewSessionCursor(node, peerMemberID string, vector map[string]*schema.SourceVersion) *SessionCursor {
	return &SessionCursor{node: node, peerMemberID: peerMemberID, vector: vector}
}

// relaysTo tells whether a session is told of sources of a home. Once level, a registry is told
// of those at home here, and of those of registries that it does not hear itself.
func (t *FleetState) relaysTo(cursor *SessionCursor, home string) bool {
	return cursor.peerMemberID == "" || !cursor.started || home == t.options.MemberID || (home != cursor.peerMemberID && !slices.Contains(cursor.peerReaches, home))
}

// NextUpdates lists the sources that a session has not been told of, and moves it on.
func (t *FleetState) NextUpdates(now time.Duration, cursor *SessionCursor) []*schema.Source {
	t.sweepIfDue(now)
	// What a registry no longer hears, it has to be told from the start.
	if reaches := t.directory.reachedBy[cursor.peerMemberID]; cursor.peerMemberID != "" && !slices.Equal(reaches, cursor.peerReaches) {
		cursor.peerReaches, cursor.started, cursor.sentSequence = reaches, false, 0
	}
	var updates []*schema.Source
	// Every session asks at each piece of news: only what was taken since it last did is looked at.
	from, _ := slices.BinarySearchFunc(t.directory.updateLog, cursor.sentSequence+1, func(logged updateLogEntry, sequence uint64) int { return cmp.Compare(logged.sequence, sequence) })
	for _, logged := range t.directory.updateLog[from:] {
		name, entry := logged.name, t.sources[logged.name]
		if entry == nil || entry.updateSequence != logged.sequence {
			continue
		}
		// A proxy knows of itself; it is told only what was said of it since, or in an earlier life.
		sequence := entry.updateSequence
		if cursor.peerMemberID == "" {
			sequence = entry.proxyUpdateSequence
		}
		if sequence > cursor.sentSequence && newerStamp(entry.source.Version, cursor.vector[name]) && t.relaysTo(cursor, entry.source.HomeRegistry) {
			updates = append(updates, entry.source)
		}
	}
	appendIfUnsent := func(name string, entry *sourceEntry) {
		if entry != nil && entry.updateSequence > cursor.sentSequence && newerStamp(entry.source.Version, cursor.vector[name]) && t.relaysTo(cursor, entry.source.HomeRegistry) {
			updates = append(updates, entry.source)
		}
	}
	if cursor.peerMemberID == "" {
		appendIfUnsent(cursor.node, t.directory.incarnationOnly[cursor.node])
	} else {
		for name, entry := range t.directory.incarnationOnly {
			appendIfUnsent(name, entry)
		}
	}
	slices.SortFunc(updates, func(a, b *schema.Source) int { return strings.Compare(a.Name, b.Name) })
	cursor.started, cursor.sentSequence = true, t.directory.lastSequence
	return updates
}

// SessionCount counts the proxies in session here.
func (t *FleetState) SessionCount() int { return len(t.directory.sessions) }

// ReachableRegistries lists the registries that were heard here within a lease.
func (t *FleetState) ReachableRegistries(now time.Duration) []string {
	var memberIDs []string
	for memberID, at := range t.directory.heardAt {
		if now-at <= t.options.Lease {
			memberIDs = append(memberIDs, memberID)
		}
	}
	slices.Sort(memberIDs)
	return memberIDs
}
