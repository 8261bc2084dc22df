package registry

import (
	"slices"
	"time"

	"meadowhinge/schema"
)

// Multiples and fractions of a lease that decide when a source counts as lost.
const (
	disconnectedLeases      = 1  // after the last session of a proxy with its home registry ended
	orphanLeases            = 2  // after its home registry was last heard from, if this registry has quorum contact
	quorumContactAgeDivisor = 2  // fraction within which the configuration must have been confirmed as current for quorum contact
	sweepDivisor            = 64 // fraction within which sessions need not look again for what has expired
)

// directory is the part of the service directory that is about sessions. A proxy in session need not repeat that it is alive,
// since the registry of that session, the home registry of its source, sees it. The source stays listed until the home registry finds that
// the session ended and did not come back, or until the home registry itself is lost.
type directory struct {
	lastSequence uint64           // of the newest update
	updateLog    []updateLogEntry // of all sources, by sequence; see appendUpdate

	sessions       map[string]int           // number of open sessions with this registry, by proxy; no zeros
	disconnectedAt map[string]time.Duration // when a proxy's last session with this registry ended

	// incarnationOnly has the names of which another node has seen an incarnation that this registry holds no update of. A proxy
	// that restarts must exceed it, or that node ignores its updates.
	incarnationOnly map[string]*sourceEntry

	// Other registries, by member. heardAt is this registry's own peer subscription. reachedAt also counts what a peer that is
	// heard here hears; so a registry with a partitioned link to this one is not taken for lost.
	heardAt         map[string]time.Duration
	reachedAt       map[string]time.Duration
	reachedBy       map[string][]string // which registries each hears, as it reported last
	otherRegistries int                 // members of the core, less this one

	everConfirmed bool
	confirmedAt   time.Duration // when the configuration here was last known to be the core's newest, if everConfirmed

	// The result of LiveProxies, and for which update and time it holds.
	liveProxies     int
	countedSequence uint64
	countedAt       time.Duration
}

func newDirectory() directory {
	return directory{
		sessions:        map[string]int{},
		disconnectedAt:  map[string]time.Duration{},
		incarnationOnly: map[string]*sourceEntry{},
		heardAt:         map[string]time.Duration{},
		reachedAt:       map[string]time.Duration{},
		reachedBy:       map[string][]string{},
	}
}

// OpenSession opens a session of a proxy and stores what it reports of itself. It tells whether the directory changed.
func (f *FleetState) OpenSession(now time.Duration, source *schema.Source) bool {
	f.directory.sessions[source.Name]++
	f.adoptSource(source)
	return f.MergeSource(now, source)
}

// OpenProvisionalSession opens a session of a proxy that has a session with another registry. That registry stays the home of
// the source until the proxy reports itself here.
func (f *FleetState) OpenProvisionalSession(name string) { f.directory.sessions[name]++ }

// CloseSession ends one session of a proxy, opened by OpenSession or OpenProvisionalSession.
func (f *FleetState) CloseSession(now time.Duration, name string) {
	f.directory.sessions[name]--
	if f.directory.sessions[name] <= 0 {
		delete(f.directory.sessions, name)
		f.directory.disconnectedAt[name] = now
	}
}

// SessionCount counts the proxies in session with this registry.
func (f *FleetState) SessionCount() int { return len(f.directory.sessions) }

// RecordPeerHeard records that another registry was heard from, and which registries that one hears.
func (f *FleetState) RecordPeerHeard(now time.Duration, memberID string, reaches []string) {
	f.directory.reachedBy[memberID] = reaches
	f.directory.heardAt[memberID] = now
	f.directory.reachedAt[memberID] = now
	for _, reached := range reaches {
		f.directory.reachedAt[reached] = now
	}
}

// ReachableRegistries lists, sorted, the members whose registries were heard from here within a lease.
func (f *FleetState) ReachableRegistries(now time.Duration) []string {
	var memberIDs []string
	for memberID, at := range f.directory.heardAt {
		if now-at <= f.options.Lease {
			memberIDs = append(memberIDs, memberID)
		}
	}
	slices.Sort(memberIDs)
	return memberIDs
}

// SetMemberCount sets how many members the core has, this one included.
func (f *FleetState) SetMemberCount(memberCount int) { f.directory.otherRegistries = memberCount - 1 }

// ConfirmCurrent records the time as of which the configuration here is known to be the core's newest.
func (f *FleetState) ConfirmCurrent(at time.Duration) {
	if !f.directory.everConfirmed || at > f.directory.confirmedAt {
		f.directory.everConfirmed = true
		f.directory.confirmedAt = at
	}
}

// Staleness is how long ago the configuration here was last known to be the core's newest; false if it never was.
func (f *FleetState) Staleness(now time.Duration) (time.Duration, bool) {
	return now - f.directory.confirmedAt, f.directory.everConfirmed
}

// hasQuorumContact tells whether this registry's store is in contact with a majority of the core.
func (f *FleetState) hasQuorumContact(now time.Duration) bool {
	age, confirmed := f.Staleness(now)
	return confirmed && age <= f.options.Lease/quorumContactAgeDivisor
}

// adoptSource makes this registry the home of a source that its proxy reports in a session with it.
func (f *FleetState) adoptSource(source *schema.Source) {
	if source != nil && f.directory.sessions[source.Name] > 0 {
		source.HomeRegistry = f.options.MemberID
	}
}

// endLostSources ends the sources whose proxies are lost.
func (f *FleetState) endLostSources(now time.Duration) {
	for name, entry := range f.sources {
		if f.isLost(now, name, entry) {
			f.endSource(now, entry.source)
		}
	}
	// Another node still lists a proxy of which no registry has an update: had it been alive, it would have opened a session. That is certain
	// only while all registries are heard from here.
	for _, entry := range f.directory.incarnationOnly {
		allHeard := f.hasQuorumContact(now) && len(f.ReachableRegistries(now)) >= f.directory.otherRegistries
		if allHeard && now-entry.receivedAt > orphanLeases*f.options.Lease {
			f.endSource(now, entry.source)
		}
	}
}

// isLost tells whether the proxy of a source has been without a session for so long that its source is ended.
func (f *FleetState) isLost(now time.Duration, name string, entry *sourceEntry) bool {
	homeRegistry := entry.source.HomeRegistry
	switch {
	case homeRegistry == "" || entry.source.Version.GetEnded():
		return false
	case homeRegistry == f.options.MemberID:
		// A source received, or restored from another registry after a restart of this one, has as long to open a session.
		lastInSession := max(f.directory.disconnectedAt[name], entry.receivedAt)
		return f.directory.sessions[name] == 0 && now-lastInSession > disconnectedLeases*f.options.Lease
	default:
		// A partitioned registry hears none of the others, and so knows nothing of their proxies: they stay listed.
		lastReached := max(f.directory.reachedAt[homeRegistry], entry.receivedAt)
		return f.hasQuorumContact(now) && now-lastReached > orphanLeases*f.options.Lease
	}
}

// endSource replaces a source by its tombstone, without workers and with this registry as home.
func (f *FleetState) endSource(now time.Duration, source *schema.Source) {
	ended := &schema.SourceVersion{
		Incarnation: source.Version.GetIncarnation(),
		Counter:     source.Version.GetCounter(),
		Ended:       true,
	}
	f.storeSource(now, &schema.Source{
		Name:         source.Name,
		Version:      ended,
		Address:      source.Address,
		Zone:         source.Zone,
		HomeRegistry: f.options.MemberID,
	})
}

// ObserveVector records which incarnations another node has seen that are unknown here.
func (f *FleetState) ObserveVector(now time.Duration, vector map[string]*schema.SourceVersion) {
	for name, version := range vector {
		f.mergeIncarnationOnly(now, &schema.Source{
			Name:            name,
			Version:         &schema.SourceVersion{Incarnation: version.GetIncarnation(), Counter: version.GetCounter()},
			IncarnationOnly: true,
			HomeRegistry:    f.options.MemberID,
		})
	}
}

// mergeIncarnationOnly stores an incarnation-only source if it is newer than what is known of the name, and tells whether it was.
func (f *FleetState) mergeIncarnationOnly(now time.Duration, source *schema.Source) bool {
	if reported := f.sources[source.Name]; reported != nil && !isNewerVersion(source.Version, reported.source.Version) {
		return false
	}
	existing := f.directory.incarnationOnly[source.Name]
	if existing != nil && !isNewerVersion(source.Version, existing.source.Version) {
		return false
	}
	if existing == nil && len(f.directory.incarnationOnly) >= f.options.MaxSources {
		return false
	}
	f.directory.lastSequence++
	f.directory.incarnationOnly[source.Name] = &sourceEntry{
		source:         source,
		receivedAt:     now,
		updateSequence: f.directory.lastSequence,
	}
	return true
}

// HighestIncarnation is the highest incarnation known of a proxy's name; zero for none.
func (f *FleetState) HighestIncarnation(name string) uint64 {
	highest := uint64(0)
	if entry := f.sources[name]; entry != nil {
		highest = entry.source.Version.GetIncarnation()
	}
	if entry := f.directory.incarnationOnly[name]; entry != nil {
		highest = max(highest, entry.source.Version.GetIncarnation())
	}
	return highest
}

// IncarnationOnlySources lists the incarnation-only sources beyond a version vector: that of one name, or all if name is empty.
func (f *FleetState) IncarnationOnlySources(vector map[string]*schema.SourceVersion, name string) []*schema.Source {
	var listed []*schema.Source
	for sourceName, entry := range f.directory.incarnationOnly {
		if (name == "" || sourceName == name) && entry.source.Version.Incarnation > vector[sourceName].GetIncarnation() {
			listed = append(listed, entry.source)
		}
	}
	return listed
}
