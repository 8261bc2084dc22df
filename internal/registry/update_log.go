package registry

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"meadowhinge/schema"
)

// updateLogMaxRatio is how many times as many entries as sources the update log may have before it is compacted.
const updateLogMaxRatio = 2

// updateLogEntry says that a source was updated. Sessions read the log from where they stopped, instead of looking at all
// sources at each update.
type updateLogEntry struct {
	sequence uint64
	name     string
}

// appendUpdate appends an update of a source to the log. The entries of the source's earlier updates stay until the log is
// compacted; readers skip them, since the sequence is not the source's any more.
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

// SessionCursor is how far one session has been sent updates of sources. Only that session's goroutine uses it.
type SessionCursor struct {
	node         string
	peerMemberID string   // the member whose registry the session is with; empty for a proxy
	peerReaches  []string // the registries which that registry hears itself, as of the last update
	started      bool     // all sources have been sent once
	sentSequence uint64   // of the newest update sent
	vector       map[string]*schema.SourceVersion
}

// NewSessionCursor starts the cursor of a session with a node that has a version vector. peerMemberID is the member of another
// registry, empty for a proxy.
func NewSessionCursor(node, peerMemberID string, vector map[string]*schema.SourceVersion) *SessionCursor {
	return &SessionCursor{node: node, peerMemberID: peerMemberID, vector: vector}
}

// relaysTo tells whether a session is sent updates of sources with this home registry. A proxy is sent all. A registry is sent
// all at first, and then those of this registry's own sources and of registries that it does not hear itself.
func (f *FleetState) relaysTo(cursor *SessionCursor, homeRegistry string) bool {
	if cursor.peerMemberID == "" || !cursor.started || homeRegistry == f.options.MemberID {
		return true
	}
	return homeRegistry != cursor.peerMemberID && !slices.Contains(cursor.peerReaches, homeRegistry)
}

// isUnsent tells whether a session lacks an update that has this sequence for it.
func (f *FleetState) isUnsent(cursor *SessionCursor, sequence uint64, source *schema.Source) bool {
	return sequence > cursor.sentSequence && isNewerVersion(source.Version, cursor.vector[source.Name]) &&
		f.relaysTo(cursor, source.HomeRegistry)
}

// NextUpdates lists, by name, the sources that a session has not been sent, and moves its cursor on.
func (f *FleetState) NextUpdates(now time.Duration, cursor *SessionCursor) []*schema.Source {
	f.sweepIfDue(now)
	toProxy := cursor.peerMemberID == ""
	// Sources of a registry that the peer no longer hears have to be sent from the start.
	if reaches := f.directory.reachedBy[cursor.peerMemberID]; !toProxy && !slices.Equal(reaches, cursor.peerReaches) {
		cursor.peerReaches = reaches
		cursor.started = false
		cursor.sentSequence = 0
	}
	updates := f.unsentSources(cursor)
	if toProxy {
		// A proxy learns only of its own name what another node has seen of it: it must exceed that.
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

// unsentSources lists the sources, other than incarnation-only ones, that a session has not been sent.
func (f *FleetState) unsentSources(cursor *SessionCursor) []*schema.Source {
	var updates []*schema.Source
	// Every session reads at each update: only entries after its cursor are looked at.
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
