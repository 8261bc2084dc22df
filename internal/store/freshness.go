package store

import (
	"cmp"
	"slices"
	"time"
)

// freshness knows up to what time this replica's committed state includes every acknowledged change, for readers
// that may read it without a read index if it is not too old.
//
// An acknowledged change is durable at a majority. So once each member of some majority has reported how far
// its content reaches, and all of that is committed here, nothing acknowledged before the earliest of those reports
// is missing here.
type freshness struct {
	reports map[string]*peerReport // by replica name
}

// peerReport is what one replica's reports prove.
type peerReport struct {
	everFresh bool
	freshAt   time.Duration // of its latest report that is committed here completely; valid if everFresh
	// awaitedSequence is a reported sequence that is not committed here yet, 0 for none, and reportedAt the time
	// of that report.
	awaitedSequence uint64
	reportedAt      time.Duration
}

// observe records that a replica's content reached a sequence at a time, while committed was committed here.
//
// Of the reports beyond what is committed here, the first is kept until it is committed, not the last: under a
// steady stream of changes the last one never would be, and the replica would seem stale forever.
func (f *freshness) observe(replica string, now time.Duration, sequence, committed uint64) {
	if f.reports == nil {
		f.reports = map[string]*peerReport{}
	}
	report := f.reports[replica]
	if report == nil {
		report = &peerReport{}
		f.reports[replica] = report
	}
	f.advance(committed)
	switch {
	case sequence <= committed:
		report.everFresh, report.freshAt, report.awaitedSequence = true, now, 0
	case report.awaitedSequence == 0 || sequence < report.awaitedSequence:
		// A lower sequence than before: entries that were not committed were dropped in a later term.
		report.reportedAt, report.awaitedSequence = now, sequence
	}
}

// advance records that everything up to a sequence is committed here.
func (f *freshness) advance(committed uint64) {
	for _, report := range f.reports {
		if report.awaitedSequence != 0 && report.awaitedSequence <= committed {
			report.everFresh, report.freshAt, report.awaitedSequence = true, report.reportedAt, 0
		}
	}
}

// majorityTime is the latest time that the reports of a majority of the members prove; false if there is none.
func (f *freshness) majorityTime(members []string, majority int) (time.Duration, bool) {
	var times []time.Duration
	for _, replica := range members {
		if report := f.reports[replica]; report != nil && report.everFresh {
			times = append(times, report.freshAt)
		}
	}
	if len(times) < majority {
		return 0, false
	}
	slices.SortFunc(times, func(a, b time.Duration) int { return cmp.Compare(b, a) }) // latest first
	return times[majority-1], true
}

// CommittedAge returns how long ago this replica's committed state was known to include every acknowledged change;
// false if it never was. A replica that is no member never knows: its own report proves nothing.
func (r *Replica) CommittedAge(now time.Duration) (age time.Duration, known bool) {
	if !r.isMember() {
		return 0, false
	}
	r.freshness.observe(r.config.Name, now, r.sequence, r.committedSequence)
	members := append([]string{r.config.Name}, r.otherMembers...)
	at, known := r.freshness.majorityTime(members, r.majority())
	return now - at, known
}
