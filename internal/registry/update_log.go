package registry

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"meadowhinge/schema"
)

// updateLogMaxRatio is the number of update log entries per source above which the log is compacted.
const updateLogMaxRatio = 2

// updateLogEntry records one update of a source. A session reads the log from its cursor on, instead of scanning all
// sources at each update.
type updateLogEntry struct {
	sequence uint64 // updateSequence of the source's entry when the update was stored
	name     string // name of the updated source
}

// appendUpdate appends an update of a source to the log. Entries of the source's earlier updates stay until the log is
// compacted. Readers skip them, since their sequence differs from the source's updateSequence.
func (f *FleetState) appendUpdate(name string, sequence uint64) {
	f.directory.updateLog = append(f.directory.updateLog, updateLogEntry{sequence, name})
	if len(f.directory.updateLog) <= updateLogMaxRatio*(len(f.sources)+1) {
		return
	}
	f.directory.updateLog = slices.DeleteFunc(f.directory.updateLog, func(logged updateLogEntry) bool {
		entry := f.sources[logged.name]
		return entry == nil || entry.updateSequence != logged.sequence
	})
}

// SessionCursor is the position of one session in the updates of sources. It is not safe for concurrent use.
type SessionCursor struct {
	node         string                           // name of the node to which the session sends updates
	peerMemberID string                           // member id of a node that is a registry; empty for a proxy
	peerReaches  []string                         // members whose registries that registry hears, as of the last update
	started      bool                             // whether all sources that the node lacked have been sent
	sentSequence uint64                           // highest sequence that the session has processed
	vector       map[string]*schema.SourceVersion // the node's version vector when the session started
}

// NewSessionCursor returns the cursor of a new session with a node that has the given version vector. peerMemberID is
// the node's member id if it is a registry, and empty for a proxy.
func NewSessionCursor(node, peerMemberID string, vector map[string]*schema.SourceVersion) *SessionCursor {
	return &SessionCursor{node: node, peerMemberID: peerMemberID, vector: vector}
}

// relaysTo reports whether a session sends updates of sources with a home registry. A proxy gets all updates. A
// registry first gets all sources, and then only updates of this registry's own sources and of those whose home
// registry it does not hear itself.
func (f *FleetState) relaysTo(cursor *SessionCursor, homeRegistry string) bool {
	if cursor.peerMemberID == "" || !cursor.started || homeRegistry == f.options.MemberID {
		return true
	}
	return homeRegistry != cursor.peerMemberID && !slices.Contains(cursor.peerReaches, homeRegistry)
}

// isUnsent reports whether a session still has to send a source. sequence is the source's proxyUpdateSequence if the
// session is with a proxy, and its updateSequence if it is with a registry or the source is incarnation-only.
func (f *FleetState) isUnsent(cursor *SessionCursor, sequence uint64, source *schema.Source) bool {
	return sequence > cursor.sentSequence && isNewerVersion(source.Version, cursor.vector[source.Name]) &&
		f.relaysTo(cursor, source.HomeRegistry)
}

// NextUpdates returns, sorted by name, the sources that a session has not sent yet, and advances its cursor.
func (f *FleetState) NextUpdates(now time.Duration, cursor *SessionCursor) []*schema.Source {
	f.sweepIfDue(now)
	toProxy := cursor.peerMemberID == ""
	// If the peer hears other registries than before, start again: sources of a registry that it no longer hears must
	// now be relayed to it.
	if reaches := f.directory.reachedBy[cursor.peerMemberID]; !toProxy && !slices.Equal(reaches, cursor.peerReaches) {
		cursor.peerReaches = reaches
		cursor.started = false
		cursor.sentSequence = 0
	}
	updates := f.unsentSources(cursor)
	if toProxy {
		// A proxy gets only the incarnation-only source of its own name, whose incarnation it must exceed.
		if entry := f.directory.incarnationOnly[cursor.node]; entry != nil && f.isUnsent(cursor, entry.updateSequence, entry.source) {
			updates = append(updates, entry.source)
		}
	} else {
		for _, entry := range f.directory.incarnationOnly {
			if f.isUnsent(cursor, entry.updateSequence, entry.source) {
				updates = append(updates, entry.source)
			}
		}
	}
	slices.SortFunc(updates, func(a, b *schema.Source) int { return strings.Compare(a.Name, b.Name) })
	cursor.started = true
	cursor.sentSequence = f.directory.lastSequence
	return updates
}

// unsentSources returns the sources, except incarnation-only ones, that a session has not sent yet.
func (f *FleetState) unsentSources(cursor *SessionCursor) []*schema.Source {
	var updates []*schema.Source
	// All sessions read the log at each update, so read only the entries after the cursor.
	from, _ := slices.BinarySearchFunc(f.directory.updateLog, cursor.sentSequence+1,
		func(logged updateLogEntry, sequence uint64) int { return cmp.Compare(logged.sequence, sequence) })
	for _, logged := range f.directory.updateLog[from:] {
		entry := f.sources[logged.name]
		if entry == nil || entry.updateSequence != logged.sequence {
			continue
		}
		sequence := entry.updateSequence
		if cursor.peerMemberID == "" {
			sequence = entry.proxyUpdateSequence
		}
		if f.isUnsent(cursor, sequence, entry.source) {
			updates = append(updates, entry.source)
		}
	}
	return updates
}
