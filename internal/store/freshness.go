package store

import (
	"cmp"
	"slices"
	"time"
)

// freshness tracks the latest time such that this replica's committed state includes every change acknowledged before
// it. Readers that accept a bounded staleness then need no read index. Its zero value is ready to use.
//
// An acknowledged change is durable at a majority. So once every member of some majority has reported the last sequence
// of its content, and all of those sequences are committed here, this replica has everything that was acknowledged
// before the earliest of those reports.
type freshness struct {
	reports map[string]*peerReport // the reports of each replica, by its name; nil before the first
}

// peerReport holds what the reports of one replica prove.
type peerReport struct {
	everFresh       bool          // a report has been committed here completely
	freshAt         time.Duration // time of the latest such report; valid if everFresh
	awaitedSequence uint64        // a reported sequence that is not committed here yet; 0 for none
	reportedAt      time.Duration // time of the report of awaitedSequence
}

// recordReport records that a replica's content reached a sequence at the time now, when everything up to committed was
// committed here.
//
// Of the reports beyond committed, the first is kept until it is committed, not the last: under a steady stream of
// changes the last one would never be committed, and the replica would seem stale forever.
func (f *freshness) recordReport(replica string, now time.Duration, sequence, committed uint64) {
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
		// A sequence lower than the awaited one means that a later leader discarded uncommitted entries.
		report.reportedAt, report.awaitedSequence = now, sequence
	}
}

// advance records that everything up to the sequence committed is committed here.
func (f *freshness) advance(committed uint64) {
	for _, report := range f.reports {
		if report.awaitedSequence != 0 && report.awaitedSequence <= committed {
			report.everFresh, report.freshAt, report.awaitedSequence = true, report.reportedAt, 0
		}
	}
}

// majorityFreshAt returns the latest time for which the reports of a majority of the members prove freshness, and
// whether there is one. majority is the number of members needed.
func (f *freshness) majorityFreshAt(members []string, majority int) (time.Duration, bool) {
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

// CommittedAge returns the staleness bound of this replica's committed state: the state includes every change that was
// acknowledged more than age before now. known is false if there is no such bound yet. It is always false on a replica
// that is not a member, whose own report proves nothing.
func (r *Replica) CommittedAge(now time.Duration) (age time.Duration, known bool) {
	if !r.isMember() {
		return 0, false
	}
	r.freshness.recordReport(r.config.Name, now, r.sequence, r.committedSequence)
	members := append([]string{r.config.Name}, r.otherMembers...)
	at, known := r.freshness.majorityFreshAt(members, r.majority())
	return now - at, known
}
