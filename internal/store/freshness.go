package store

import (
	"slices"
	"time"
)

// freshness tells when this replica last knew its committed setup to be the newest that anyone was
// promised. What was promised is durable at a majority; so once each of a majority has told how
// far it is, and all of that is committed here, nothing promised before they told is missing here.
// It is a step function of what members tell and how far this one is.
type freshness struct {
	reports map[string]*peerReport
}

// peerReport is what one replica's word is worth.
type peerReport struct {
	everFresh       bool
	freshAt         time.Duration // when it last told of nothing that is not committed here
	reportedAt      time.Duration // when it told of something that is not committed here yet
	awaitedSequence uint64        // that: a sequence, 0 for nothing
}

// observe notes how far a replica says it is. The first word that goes beyond what is committed here is
// kept until that is committed: under a stream of changes the last one never would be.
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
	// A replica that was repaired has let go of what it told of before.
	case report.awaitedSequence == 0 || sequence < report.awaitedSequence:
		report.reportedAt, report.awaitedSequence = now, sequence
	}
}

// advance notes that more is committed here.
func (f *freshness) advance(committed uint64) {
	for _, report := range f.reports {
		if report.awaitedSequence != 0 && report.awaitedSequence <= committed {
			report.everFresh, report.freshAt, report.awaitedSequence = true, report.reportedAt, 0
		}
	}
}

// majorityTime is the latest time of which a majority has vouched; false if none ever has.
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
	slices.SortFunc(times, func(a, b time.Duration) int { return int(b - a) })
	return times[majority-1], true
}

// CommittedAge tells how long ago this replica last knew its committed setup to be the newest that anyone
// was promised; false if it never has.
func (r *Replica) CommittedAge(now time.Duration) (age time.Duration, known bool) {
	// An empty replica's word counts for nothing, not even to itself.
	if !r.isMember() {
		return 0, false
	}
	r.freshness.observe(r.config.Name, now, r.sequence, r.committedSequence)
	at, known := r.freshness.majorityTime(append([]string{r.config.Name}, r.otherMembers...), r.majority())
	return now - at, known
}
