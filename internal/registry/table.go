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
	keptSources = 2 // leases that a silent proxy's workers stay listed here
)

// TableOptions bound a table.
type TableOptions struct {
	Seat        string
	Lease       time.Duration
	SourcesMost int
	CountsMost  int
	Leaseless   bool // nothing rests on leases: there are none to wait for after a start
}

type leaseKey struct {
	proxy       string
	incarnation uint64
}

type lease struct {
	applied uint64
	until   time.Duration
}

type heldSource struct {
	source *schema.Source
	at     time.Duration
	place  uint64 // in the order in which news were taken here
	shown  uint64 // place from which proxies have to be told of it
}

type stableMark struct {
	setup uint64
	at    time.Duration
}

// Table is a registry's whole memory. It is a step function of events and the time since
// the registry started; it does no I/O and its caller guards it.
type Table struct {
	options  TableOptions
	current  bool // has read what was stable when it started
	leases   map[leaseKey]*lease
	required uint64 // no lease below this setup, ever again
	stable   uint64
	known    uint64 // the newest setup any proxy said it has; it is stable somewhere
	marks    []stableMark
	sources  map[string]*heldSource
	counts   map[leaseKey]*schema.SourceCounts
	told     []leaseKey // counts, oldest first
	toldAt   map[leaseKey]time.Duration
	traces   map[uint64]*trace
	newest   uint64 // sequence traced last
	trials   []*schema.Trial
	trialsAt time.Duration // when the release duty last handed them out
	odd      map[string]string
	sweptAt  time.Duration
	roster   roster
}

// trace is when a setup was where, as far as this registry saw.
type trace struct {
	seen    time.Duration
	yes     time.Duration
	applied map[string]time.Duration // by proxy
}

// tracesKept is how many setups the tracer can still be told of.
const tracesKept = 1024

// NewTable makes the memory of a registry that has just started.
func NewTable(options TableOptions) *Table {
	return &Table{options: options, leases: map[leaseKey]*lease{}, sources: map[string]*heldSource{}, counts: map[leaseKey]*schema.SourceCounts{}, traces: map[uint64]*trace{}, toldAt: map[leaseKey]time.Duration{}, odd: map[string]string{}, roster: newRoster()}
}

// SetCurrent tells that the registry knows at least what was stable when it started.
func (t *Table) SetCurrent() { t.current = true }

// SetStable tells how far the setup is stable.
func (t *Table) SetStable(now time.Duration, setup uint64) {
	if setup <= t.stable {
		return
	}
	for sequence := max(t.newest+1, setup-min(setup, tracesKept)+1); sequence <= setup; sequence++ {
		t.traces[sequence] = &trace{seen: now, applied: map[string]time.Duration{}}
		delete(t.traces, sequence-min(sequence, tracesKept))
	}
	t.newest = setup
	t.stable = setup
	t.marks = append(t.marks, stableMark{setup, now})
}

// KnownFor is how long a sequence has been known here; nothing if it is not kept any more.
func (t *Table) KnownFor(now time.Duration, sequence uint64) time.Duration {
	if traced := t.traces[sequence]; traced != nil {
		return now - traced.seen
	}
	return 0
}

// Grants tells whether leases are given. A registry that has just started may have given
// leases and set fences it forgot, so it waits until those leases have run out.
func (t *Table) Grants(now time.Duration) bool {
	return t.current && (t.options.Leaseless || now >= t.options.Lease)
}

// sweepSoon sweeps unless that was done just now.
func (t *Table) sweepSoon(now time.Duration) {
	if now-t.sweptAt >= t.options.Lease/sweptParts {
		t.sweep(now)
	}
}

// sweep drops what has run out and raises the bar for lagging proxies.
func (t *Table) sweep(now time.Duration) {
	t.sweptAt = now
	for len(t.marks) > 0 && now-t.marks[0].at > t.options.Lease/session.LeaseParts {
		t.required = max(t.required, t.marks[0].setup)
		t.marks = t.marks[1:]
	}
	for key, held := range t.leases {
		if held.until <= now {
			delete(t.leases, key)
		}
	}
	for name, held := range t.sources {
		// Proxies in session say nothing while nothing changes: see retire.
		if held.source.Home == "" && now-held.at > keptSources*t.options.Lease {
			delete(t.sources, name)
		}
	}
	t.retire(now)
}

// Renew grants or refuses a lease.
func (t *Table) Renew(now time.Duration, renew *schema.Renew) *schema.Renewed {
	t.sweep(now)
	t.known = max(t.known, t.stable, renew.Applied, renew.Knows)
	reply := &schema.Renewed{Stable: t.known, Members: uint32(t.Members(now)), Seat: t.options.Seat}
	key := leaseKey{renew.Proxy, renew.Incarnation}
	held := t.leases[key]
	t.Differs("proxy "+renew.Proxy, "lease", time.Duration(renew.LeaseNanos).String(), t.options.Lease.String(), renew.LeaseNanos != 0)
	switch {
	// A proxy that counts on a longer lease than is kept here would decide after its end.
	case renew.LeaseNanos != 0 && time.Duration(renew.LeaseNanos) != t.options.Lease:
		reply.Reason = "LEASE_DIFFERS"
	case !t.Grants(now):
		reply.Reason = "REGISTRY_YOUNG"
	case renew.Applied < t.required:
		reply.Reason = "LAGS"
	// A proxy without a lease starts from the newest setup that any proxy may have shown, so
	// that a restart never falls back.
	case held == nil && renew.Applied < t.known:
		reply.Reason = "LAGS"
	case held == nil && len(t.leases) >= 2*t.options.SourcesMost:
		reply.Reason = "BUFFER_FULL"
	default:
		reply.Granted = true
		if held == nil {
			held = &lease{}
			t.leases[key] = held
		}
		held.until = now + t.options.Lease
	}
	// What is applied counts even where the lease is refused: it may free an acknowledgement.
	if held != nil {
		for sequence := max(held.applied+1, renew.Applied-min(renew.Applied, tracesKept)+1); sequence <= renew.Applied; sequence++ {
			if traced := t.traces[sequence]; traced != nil && traced.applied[renew.Proxy] == 0 {
				traced.applied[renew.Proxy] = now
			}
		}
		held.applied = max(held.applied, renew.Applied)
	}
	return reply
}

// Bar sets a fence: from now on no lease is granted below the setup. It tells which leases
// still stand below it.
func (t *Table) Bar(now time.Duration, setup uint64) *schema.Fenced {
	t.sweep(now)
	if !t.Grants(now) {
		return &schema.Fenced{Seat: t.options.Seat}
	}
	t.required = max(t.required, setup)
	fenced := &schema.Fenced{Seat: t.options.Seat, Counts: true}
	for key, held := range t.leases {
		if held.applied < setup {
			fenced.Laggards = append(fenced.Laggards, &schema.Laggard{Proxy: key.proxy, Incarnation: key.incarnation,
				Applied: held.applied, LeftNanos: int64(held.until - now)})
		}
	}
	return fenced
}

// newerStamp orders the news of one source.
func newerStamp(a, b *schema.Stamp) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	if a.GetCounter() != b.GetCounter() {
		return a.GetCounter() > b.GetCounter()
	}
	return a.GetEnded() && !b.GetEnded()
}

// Merge takes a source's news if it is newer than what is held.
func (t *Table) Merge(now time.Duration, source *schema.Source) bool {
	if source == nil || source.Stamp == nil {
		return false
	}
	if source.Bare {
		return t.learnBare(now, source)
	}
	held := t.sources[source.Name]
	if held != nil && !newerStamp(source.Stamp, held.source.Stamp) {
		return false
	}
	if held == nil && len(t.sources) >= t.options.SourcesMost && !t.makeRoom() {
		return false
	}
	t.put(now, source)
	return true
}

// makeRoom forgets the ended source that was taken longest ago.
func (t *Table) makeRoom() bool {
	oldest := ""
	for name, held := range t.sources {
		if held.source.Stamp.GetEnded() && (oldest == "" || held.place < t.sources[oldest].place) {
			oldest = name
		}
	}
	delete(t.sources, oldest)
	return oldest != ""
}

// Tell takes a proxy's report; counts only grow within an incarnation.
func (t *Table) Tell(now time.Duration, report *schema.Report) bool {
	t.toldAt[leaseKey{report.Proxy, report.Incarnation}] = now
	if len(report.Counts)+len(report.Works) <= t.options.CountsMost {
		t.keepCounts(&schema.SourceCounts{Proxy: report.Proxy, Incarnation: report.Incarnation, Counts: report.Counts, Works: report.Works, Applied: report.Applied})
	}
	t.own(report.Source)
	if report.Source.GetEnded() {
		report.Source.Stamp.Ended = true
	}
	return t.Merge(now, report.Source)
}

// Counts gives what proxies told of their verdicts, and how many of them did of late; with works
// only what versions are judged by.
func (t *Table) Counts(now time.Duration, works bool) *schema.CountsBack {
	back := &schema.CountsBack{Telling: uint32(t.telling(now))}
	for key, held := range t.counts {
		given := &schema.SourceCounts{Proxy: held.Proxy, Incarnation: held.Incarnation, Works: held.Works, Applied: held.Applied, AgoNanos: int64(now - t.toldAt[key])}
		if !works {
			given.Counts = held.Counts
		}
		back.Sources = append(back.Sources, given)
	}
	return back
}

// telling counts the proxies that told something within an eighth of a lease.
func (t *Table) telling(now time.Duration) int {
	count := 0
	for key, at := range t.toldAt {
		if now-at <= t.options.Lease/session.LeaseParts {
			count++
		} else if now-at > keptSources*t.options.Lease {
			delete(t.toldAt, key)
		}
	}
	return count
}

// keepCounts keeps, for one incarnation of a proxy, the report that counted most; what a report
// leaves out stays as it was told.
func (t *Table) keepCounts(given *schema.SourceCounts) {
	key := leaseKey{given.Proxy, given.Incarnation}
	held := t.counts[key]
	if held == nil {
		held = &schema.SourceCounts{Proxy: given.Proxy, Incarnation: given.Incarnation}
		t.told = append(t.told, key)
	}
	kept := &schema.SourceCounts{Proxy: held.Proxy, Incarnation: held.Incarnation, Counts: held.Counts, Works: held.Works, Applied: max(held.Applied, given.Applied)}
	if callsIn(given) > 0 && callsIn(given) >= callsIn(held) {
		kept.Counts = given.Counts
	}
	if len(given.Works) > 0 && worksIn(given) >= worksIn(held) {
		kept.Works = given.Works
	}
	t.counts[key] = kept
	// Counts of incarnations long gone make room, oldest first.
	for len(t.told) > 4*t.options.SourcesMost {
		delete(t.counts, t.told[0])
		t.told = t.told[1:]
	}
}

func callsIn(counts *schema.SourceCounts) uint64 {
	var calls uint64
	for _, line := range counts.GetCounts() {
		calls += line.Calls
	}
	return calls
}

// worksIn adds up what workers ended.
func worksIn(counts *schema.SourceCounts) uint64 {
	var calls uint64
	for _, line := range counts.GetWorks() {
		calls += line.Calls
	}
	return calls
}

// Feed lists the sources that a vector lacks.
func (t *Table) Feed(now time.Duration, vector map[string]*schema.Stamp) []*schema.Source {
	t.sweep(now)
	var news []*schema.Source
	for name, held := range t.sources {
		if newerStamp(held.source.Stamp, vector[name]) {
			news = append(news, held.source)
		}
	}
	sort.Slice(news, func(i, j int) bool { return news[i].Name < news[j].Name })
	return news
}

// trialParts is the part of a lease for which what the release duty handed out is passed on.
const trialParts = 2 * session.LeaseParts

// TakeTrials takes what the release duty hands out.
func (t *Table) TakeTrials(now time.Duration, trials []*schema.Trial) {
	t.trials, t.trialsAt = trials, now
}

// Trials is what this registry may pass on to its proxies.
func (t *Table) Trials(now time.Duration) []*schema.Trial {
	var passed []*schema.Trial
	fresh := now-t.trialsAt <= t.options.Lease/trialParts
	for _, one := range t.trials {
		// A stop is passed on for ever; a grant only while the duty is heard.
		if fresh || one.Stopped {
			passed = append(passed, one)
		}
	}
	return passed
}

// oddMost bounds what is kept of settings that contradict.
const oddMost = 64

// Differs notes or forgets that a setting, which must be the same everywhere, is another elsewhere.
func (t *Table) Differs(who, setting, theirs, ours string, told bool) {
	key := who + ": " + setting
	if !told || theirs == ours {
		delete(t.odd, key)
	} else if len(t.odd) < oddMost {
		t.odd[key] = fmt.Sprintf("%s is %s there, %s here", key, theirs, ours)
	}
}

// Odd lists settings of others that contradict this registry's.
func (t *Table) Odd() []string { return slices.Sorted(maps.Values(t.odd)) }

// Seat is whose table this is.
func (t *Table) Seat() string { return t.options.Seat }

// Stable is how far the registry knows the setup to be stable.
func (t *Table) Stable() uint64 { return t.stable }

// Vector is what this table has of each source.
func (t *Table) Vector() map[string]*schema.Stamp {
	vector := map[string]*schema.Stamp{}
	for name, held := range t.sources {
		vector[name] = held.source.Stamp
	}
	// Of what was only seen, nothing is had of its last life.
	for name, held := range t.roster.bare {
		if seen := (&schema.Stamp{Incarnation: held.source.Stamp.Incarnation}); newerStamp(seen, vector[name]) {
			vector[name] = seen
		}
	}
	return vector
}

// Members counts the proxies whose session stands. All sessions ask at each piece of news, so they
// are counted once for all of them.
func (t *Table) Members(now time.Duration) int {
	if r := &t.roster; r.countedTo != r.place || now-r.countedAt >= t.options.Lease/sweptParts {
		r.members, r.countedTo, r.countedAt = t.countMembers(now), r.place, now
	}
	return t.roster.members
}

func (t *Table) countMembers(now time.Duration) int {
	count := 0
	for _, held := range t.sources {
		leased := held.source.Home == "" && now-held.at <= t.options.Lease
		inSession := held.source.Home != "" && !held.source.Stamp.GetEnded()
		if leased || inSession {
			count++
		}
	}
	return count
}

// Leases lists the leases that stand.
func (t *Table) Leases(now time.Duration) []*schema.Laggard {
	t.sweep(now)
	var listed []*schema.Laggard
	for key, held := range t.leases {
		listed = append(listed, &schema.Laggard{Proxy: key.proxy, Incarnation: key.incarnation, Applied: held.applied, LeftNanos: int64(held.until - now)})
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].Proxy < listed[j].Proxy })
	return listed
}

// Acknowledgement gathers the answers to a fence. It is done once a majority of registries
// has no lease left below the setup: any lease still standing was granted by one of them.
type Acknowledgement struct {
	seats int
	freed map[string]bool
}

// NewAcknowledgement waits for a majority of so many seats.
func NewAcknowledgement(seats int) *Acknowledgement {
	return &Acknowledgement{seats: seats, freed: map[string]bool{}}
}

// Take notes an answer and tells whether the fence is done. A fenced registry without
// laggards stays without, so it need not be asked again.
func (a *Acknowledgement) Take(fenced *schema.Fenced) bool {
	if fenced.Counts && len(fenced.Laggards) == 0 {
		a.freed[fenced.Seat] = true
	}
	return len(a.freed) > a.seats/2
}
