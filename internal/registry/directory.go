package registry

import (
	"slices"
	"time"

	"meadowhinge/schema"
)

// Timeouts of the service directory. Constants named ...Leases are multiples of a lease; those named ...Divisor
// divide it.
const (
	// disconnectedLeases is how long a proxy may be without a session with its home registry before its source is
	// ended.
	disconnectedLeases = 1
	// orphanLeases is how long a source's home registry may go unheard before the source is ended. The source is ended
	// only by a registry that has quorum contact. An incarnation-only source without an update is ended after the same
	// time.
	orphanLeases = 2
	// quorumContactAgeDivisor sets the highest age of the last confirmation that this registry's configuration is
	// current, at which the registry has quorum contact.
	quorumContactAgeDivisor = 2
	// sweepDivisor sets the shortest interval between two sweeps that sessions trigger, and the longest time for which
	// the number of live proxies is cached.
	sweepDivisor = 64
)

// directory holds the session state of the service directory. A proxy in session does not send keepalives: its home
// registry, which is the registry of that session, observes the session. The proxy's source stays listed until its home
// registry finds that the session ended and was not reopened in time, or until the home registry itself is lost.
type directory struct {
	lastSequence uint64           // sequence of the newest update; zero for none
	updateLog    []updateLogEntry // updates of sources, in the order of their sequences; see appendUpdate

	sessions       map[string]int           // number of open sessions with this registry, by proxy; no entry for none
	disconnectedAt map[string]time.Duration // when a proxy's last session with this registry ended, by proxy

	// incarnationOnly holds, by proxy, incarnations that another node has seen and of which this registry has no
	// update. A proxy that restarts must use a higher incarnation, or that node ignores its updates.
	incarnationOnly map[string]*sourceEntry

	// heardAt is when this registry's own peer subscription last received an update, by member.
	heardAt map[string]time.Duration
	// reachedAt is when this registry last heard another registry, or last heard from a peer that hears it, by member.
	// With it, a registry whose link to this one is partitioned does not count as lost.
	reachedAt map[string]time.Duration
	// reachedBy lists the members that each registry hears, as it last reported them, by member.
	reachedBy       map[string][]string
	otherRegistries int // number of core members without this one

	everConfirmed bool          // whether confirmedAt is set
	confirmedAt   time.Duration // when the configuration of this registry was last known to be the core's newest

	liveProxies     int           // cached result of LiveProxies
	countedSequence uint64        // lastSequence at the time of the cached count
	countedAt       time.Duration // when liveProxies was counted
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

// OpenSession counts a new session of a proxy, makes this registry the home registry of the proxy's source, and stores
// the source as MergeSource does. It reports whether the service directory changed.
func (f *FleetState) OpenSession(now time.Duration, source *schema.Source) bool {
	f.directory.sessions[source.Name]++
	f.adoptSource(source)
	return f.MergeSource(now, source)
}

// OpenProvisionalSession counts a new session of a proxy that also has a session with another registry. That registry
// stays the source's home registry until the proxy sends its own source to this one.
func (f *FleetState) OpenProvisionalSession(name string) { f.directory.sessions[name]++ }

// CloseSession ends one session of a proxy that OpenSession or OpenProvisionalSession opened.
func (f *FleetState) CloseSession(now time.Duration, name string) {
	f.directory.sessions[name]--
	if f.directory.sessions[name] <= 0 {
		delete(f.directory.sessions, name)
		f.directory.disconnectedAt[name] = now
	}
}

// SessionCount returns the number of proxies that have a session with this registry.
func (f *FleetState) SessionCount() int { return len(f.directory.sessions) }

// RecordPeerHeard records that an update of another member's registry arrived. reaches lists the members whose
// registries that registry hears itself.
func (f *FleetState) RecordPeerHeard(now time.Duration, memberID string, reaches []string) {
	f.directory.reachedBy[memberID] = reaches
	f.directory.heardAt[memberID] = now
	f.directory.reachedAt[memberID] = now
	for _, reached := range reaches {
		f.directory.reachedAt[reached] = now
	}
}

// ReachableRegistries returns, sorted, the other members whose registries this registry has heard from within a lease.
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

// SetMemberCount sets the number of core members, including this one.
func (f *FleetState) SetMemberCount(memberCount int) { f.directory.otherRegistries = memberCount - 1 }

// ConfirmCurrent records that, as of the time at, the configuration of this registry is known to be the core's
// newest. An earlier time than the recorded one changes nothing.
func (f *FleetState) ConfirmCurrent(at time.Duration) {
	if !f.directory.everConfirmed || at > f.directory.confirmedAt {
		f.directory.everConfirmed = true
		f.directory.confirmedAt = at
	}
}

// Staleness returns how long ago the configuration of this registry was last known to be the core's newest. The second
// result is false if it never was.
func (f *FleetState) Staleness(now time.Duration) (time.Duration, bool) {
	return now - f.directory.confirmedAt, f.directory.everConfirmed
}

// hasQuorumContact reports whether this registry's store was recently in contact with a majority of the core.
func (f *FleetState) hasQuorumContact(now time.Duration) bool {
	age, confirmed := f.Staleness(now)
	return confirmed && age <= f.options.Lease/quorumContactAgeDivisor
}

// adoptSource makes this registry the home registry of source if the source's proxy has a session with it. source may
// be nil.
func (f *FleetState) adoptSource(source *schema.Source) {
	if source != nil && f.directory.sessions[source.Name] > 0 {
		source.HomeRegistry = f.options.MemberID
	}
}

// endLostSources ends the sources of lost proxies, and incarnation-only sources for which no update came in time.
func (f *FleetState) endLostSources(now time.Duration) {
	for name, entry := range f.sources {
		if f.isLost(now, name, entry) {
			f.endSource(now, entry.source)
		}
	}
	// Another node has seen an incarnation of a proxy of which no registry has an update. A live proxy would have opened
	// a session with some registry by now. That is certain only while this registry hears all others.
	for _, entry := range f.directory.incarnationOnly {
		allHeard := f.hasQuorumContact(now) && len(f.ReachableRegistries(now)) >= f.directory.otherRegistries
		if allHeard && now-entry.receivedAt > orphanLeases*f.options.Lease {
			f.endSource(now, entry.source)
		}
	}
}

// isLost reports whether a source's proxy has had no session for so long that the source must be ended.
func (f *FleetState) isLost(now time.Duration, name string, entry *sourceEntry) bool {
	homeRegistry := entry.source.HomeRegistry
	switch {
	case homeRegistry == "" || entry.source.Version.GetEnded():
		return false
	case homeRegistry == f.options.MemberID:
		// receivedAt gives a proxy the same time to open a session if its source was just received, or was restored
		// from another registry after a restart of this one.
		lastInSession := max(f.directory.disconnectedAt[name], entry.receivedAt)
		return f.directory.sessions[name] == 0 && now-lastInSession > disconnectedLeases*f.options.Lease
	default:
		// A partitioned registry hears no others and cannot know whether their proxies are alive, so they stay listed.
		lastReached := max(f.directory.reachedAt[homeRegistry], entry.receivedAt)
		return f.hasQuorumContact(now) && now-lastReached > orphanLeases*f.options.Lease
	}
}

// endSource replaces a source by its tombstone, which has no workers and this registry as home registry.
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

// ObserveVector records, from another node's version vector, the incarnations that are newer than those known here.
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

// mergeIncarnationOnly stores an incarnation-only source if it is newer than what is known of its name and there is
// room among MaxSources. It reports whether the source was stored.
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

// HighestIncarnation returns the highest known incarnation of a proxy's name; zero for none.
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

// IncarnationOnlySources returns the incarnation-only sources with a higher incarnation than the version vector has, in
// no order. An empty name selects all of them, otherwise only the source of that name is returned.
func (f *FleetState) IncarnationOnlySources(vector map[string]*schema.SourceVersion, name string) []*schema.Source {
	var listed []*schema.Source
	for sourceName, entry := range f.directory.incarnationOnly {
		if (name == "" || sourceName == name) && entry.source.Version.Incarnation > vector[sourceName].GetIncarnation() {
			listed = append(listed, entry.source)
		}
	}
	return listed
}
