package rehearsal

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"meadowhinge/internal/fakebackend"
)

// Finding is the judgement of one never-rule.
type Finding struct {
	Rule     string   `json:"rule"`
	Judged   int      `json:"judged"` // how many entries the rule was held against
	Breaches int      `json:"breaches"`
	Examples []string `json:"examples,omitempty"`
}

// away tells whether a call was turned away with the mesh's own error, or lost with its proxy.
func (c *CallEntry) away() bool {
	return c.Outcome != "answered" && c.Outcome != "unsent" && c.Outcome != outcomeLeft
}

// examplesMost bounds what is printed of each rule.
const examplesMost = 5

func (f *Finding) breach(format string, values ...any) {
	f.Breaches++
	if len(f.Examples) < examplesMost {
		f.Examples = append(f.Examples, fmt.Sprintf(format, values...))
	}
}

// checkers hold a ledger against each never-rule that can be seen from outside.
var checkers = []struct {
	rule  string
	check func(*Ledger, *Deployment, *Finding)
}{
	{"a once request never runs twice", func(l *Ledger, _ *Deployment, f *Finding) {
		runs := runsByOp(l)
		for _, call := range l.Calls {
			if !call.Once {
				continue
			}
			f.Judged++
			if count := len(runs[call.Op]); count > 1 {
				f.breach("%s ran %d times: %v", call.Op, count, runs[call.Op])
			}
		}
	}},
	{"a request answered not-run never runs", func(l *Ledger, _ *Deployment, f *Finding) {
		runs := runsByOp(l)
		for _, call := range l.Calls {
			if call.Outcome != "not-run" {
				continue
			}
			f.Judged++
			for _, run := range runs[call.Op] {
				// What was asked for again may run then: only the ask that was refused may not.
				if run.Ask == call.Ask {
					f.breach("%s was answered not-run (%s) and ran: %v", call.Op, call.Defect, run)
				}
			}
		}
	}},
	{"every answer is the caller's own, whole and unaltered", func(l *Ledger, _ *Deployment, f *Finding) {
		runs := runsByOp(l)
		for _, call := range l.Calls {
			if call.Outcome != "answered" {
				continue
			}
			f.Judged++
			switch {
			case call.Echoed != call.Op:
				f.breach("%s got the answer of %q", call.Op, call.Echoed)
			case !call.Whole:
				f.breach("%s got an answer that was cut or altered", call.Op)
			case len(runs[call.Op]) == 0:
				f.breach("%s was answered but never ran", call.Op)
			}
		}
	}},
	{"a worker runs only what it was sent, by the caller named", func(l *Ledger, _ *Deployment, f *Finding) {
		sent := map[string]CallEntry{}
		for _, call := range l.Calls {
			sent[call.Op] = call
		}
		for _, run := range l.Runs {
			f.Judged++
			call, found := sent[run.Op]
			if !found {
				f.breach("%s ran %q, which nobody sent", run.Worker, run.Op)
			} else if call.Caller != run.Caller || call.Service != run.Service {
				f.breach("%s ran %s as from %s for %s; it was from %s for %s", run.Worker, run.Op, run.Caller, run.Service, call.Caller, call.Service)
			}
		}
	}},
	{"no call reaches a version or service that no setup allowed", func(l *Ledger, d *Deployment, f *Finding) {
		for _, run := range l.Runs {
			f.Judged++
			if run.Version != versionOld && run.Version != versionNew {
				f.breach("%s of version %s ran %s", run.Worker, run.Version, run.Op)
			}
		}
	}},
	{"no new call reaches a worker 2 s after it left", func(l *Ledger, _ *Deployment, f *Finding) {
		left := map[string]time.Duration{}
		for _, leave := range l.Leaves {
			left[leave.Worker] = leave.At
		}
		for _, run := range l.Runs {
			at, gone := left[run.Worker]
			if !gone {
				continue
			}
			f.Judged++
			if run.At > at+l.LeaveBound {
				f.breach("%s ran %s %v after it left", run.Worker, run.Op, run.At-at)
			}
		}
	}},
	{"no call sent 2 s after a yes is handled by older rules", func(l *Ledger, _ *Deployment, f *Finding) {
		// The highest acknowledged setup at each time, in the order of the yeses.
		var yeses []ChangeEntry
		for _, change := range l.Changes {
			if change.Acknowledged {
				yeses = append(yeses, change)
			}
		}
		sort.Slice(yeses, func(i, j int) bool { return yeses[i].Got < yeses[j].Got })
		for i := 1; i < len(yeses); i++ {
			yeses[i].Sequence = max(yeses[i].Sequence, yeses[i-1].Sequence)
		}
		for _, call := range l.Calls {
			if call.Setup == 0 {
				continue
			}
			place := sort.Search(len(yeses), func(i int) bool { return yeses[i].Got+fakebackend.ConfigPropagationBound > call.Sent }) - 1
			if place < 0 {
				continue
			}
			f.Judged++
			if call.Setup < yeses[place].Sequence {
				f.breach("%s at %s was handled by setup %d, %v after %d was acknowledged", call.Op, call.Proxy, call.Setup, call.Sent-yeses[place].Got, yeses[place].Sequence)
			}
		}
	}},
	{"no node falls back to an older setup after 1/4 s", func(l *Ledger, _ *Deployment, f *Finding) {
		shown := map[string][]ShownEntry{}
		for _, one := range l.Shown {
			shown[one.Node] = append(shown[one.Node], one)
		}
		for _, call := range l.Calls {
			if call.Setup > 0 {
				shown[call.Proxy] = append(shown[call.Proxy], ShownEntry{Node: call.Proxy, Asked: call.Sent, Got: call.Got, Setup: call.Setup})
			}
		}
		for node, entries := range shown {
			byGot := append([]ShownEntry(nil), entries...)
			sort.Slice(byGot, func(i, j int) bool { return byGot[i].Got < byGot[j].Got })
			sort.Slice(entries, func(i, j int) bool { return entries[i].Asked < entries[j].Asked })
			highest, next := uint64(0), 0
			for _, one := range entries {
				for next < len(byGot) && byGot[next].Got+fakebackend.ConfigRegressionBound < one.Asked {
					highest = max(highest, byGot[next].Setup)
					next++
				}
				f.Judged++
				if one.Setup < highest {
					f.breach("%s showed %d after it had shown %d", node, one.Setup, highest)
				}
			}
		}
	}},
	{"no invalid change takes effect or goes unrefused", func(l *Ledger, _ *Deployment, f *Finding) {
		markers := map[string]string{}
		for _, change := range l.Changes {
			if !change.Invalid {
				continue
			}
			markers[change.Marker] = change.ID
			f.Judged++
			if change.Ruling == "accepted" {
				f.breach("%s was accepted", change.ID)
			}
		}
		for _, shown := range l.Shown {
			for _, item := range shown.Items {
				if id, found := markers[item]; found {
					f.breach("%s showed %s of invalid change %s", shown.Node, item, id)
				}
			}
		}
	}},
	{"a bad version gets 1/10 + 50 at most, none 5 s after failure 50", func(l *Ledger, _ *Deployment, f *Finding) {
		for _, bad := range l.Bad {
			var failures []time.Duration
			all, its := 0, []time.Duration{}
			for _, run := range l.Runs {
				if run.Service != bad.Service || run.At < bad.From {
					continue
				}
				all++
				if run.Version == bad.Version {
					its = append(its, run.At)
					if run.Ill {
						failures = append(failures, run.At)
					}
				}
			}
			f.Judged += all
			if float64(len(its)) > fakebackend.FaultyVersionRatio*float64(all)+fakebackend.FaultyVersionFloor {
				f.breach("%s %s got %d of %d calls after it turned bad", bad.Service, bad.Version, len(its), all)
			}
			slices.Sort(failures)
			if len(failures) < fakebackend.FaultyVersionFailures {
				continue
			}
			for _, at := range its {
				if at > failures[fakebackend.FaultyVersionFailures-1]+fakebackend.FaultyVersionBound {
					f.breach("%s %s got a call %v after failure 50", bad.Service, bad.Version, at-failures[fakebackend.FaultyVersionFailures-1])
				}
			}
		}
	}},
	{"extra tries stay within 1/5 + 60 in any 10 s", func(l *Ledger, _ *Deployment, f *Finding) {
		byService := map[string][]CallEntry{}
		for _, call := range l.Calls {
			byService[call.Service] = append(byService[call.Service], call)
		}
		for service, calls := range byService {
			sort.Slice(calls, func(i, j int) bool { return calls[i].Sent < calls[j].Sent })
			first, extras := 0, 0
			for i, call := range calls {
				extras += max(0, call.Tries-1)
				for calls[first].Sent < call.Sent-fakebackend.RetryBudgetWindow {
					extras -= max(0, calls[first].Tries-1)
					first++
				}
				f.Judged++
				if bound := fakebackend.RetryBudgetRatio*float64(i-first+1) + fakebackend.RetryBudgetFloor; float64(extras) > bound {
					f.breach("%s had %d extra tries on %d calls in the 10 s up to %v", service, extras, i-first+1, call.Sent)
				}
			}
		}
	}},
	{"acknowledged changes are there at the end", func(l *Ledger, _ *Deployment, f *Finding) {
		f.Judged = l.Survived + len(l.Lost)
		for _, lost := range l.Lost {
			f.breach("%s", lost)
		}
	}},
	{"a call that a worker is at is answered, whatever is planned", func(l *Ledger, _ *Deployment, f *Finding) {
		runs := runsByOp(l)
		for _, call := range l.Calls {
			if call.Outcome != "unknown" || call.Status != 0 || len(runs[call.Op]) == 0 {
				continue
			}
			if f.Judged++; l.blamed(call) == "" {
				f.breach("%s at %s, sent at %v, ended without an answer at %v; it ran: %v", call.Op, call.Proxy, call.Sent, call.Got, runs[call.Op])
			}
		}
	}},
	{"workers are freed when the callers of repeatable calls leave", func(l *Ledger, _ *Deployment, f *Finding) {
		if l.DepartBound == 0 {
			return
		}
		ends := map[string][]EndEntry{}
		for _, end := range l.Ends {
			ends[end.Op] = append(ends[end.Op], end)
		}
		for _, call := range l.Calls {
			if call.Outcome != outcomeLeft || call.Once || l.muted(call.Sent, call.Got+l.DepartBound) {
				continue
			}
			for _, end := range ends[call.Op] {
				if f.Judged++; end.At > call.Got+l.DepartBound {
					f.breach("%s ran at %s for %v after its caller left at %v", call.Op, end.Worker, end.At-call.Got, call.Got)
				}
			}
		}
	}},
	{"no proxy counts a breach of what must hold of departures", func(l *Ledger, _ *Deployment, f *Finding) {
		for life, counts := range l.Departures {
			f.Judged += int(counts.Detected + counts.Dequeued + counts.Canceled + counts.RanToEnd)
			for range counts.Violations() {
				f.breach("%s: %+v", life, counts)
			}
		}
	}},
	{"no proper call is turned away without cause", func(l *Ledger, _ *Deployment, f *Finding) {
		if !l.Timed {
			return
		}
		for _, call := range l.Calls {
			if f.Judged++; call.away() && l.blamed(call) == "" {
				f.breach("%s at %s, sent at %v, got %q after %v", call.Op, call.Proxy, call.Sent, call.Defect, call.Got-call.Sent)
			}
		}
	}},
}

// awayAfter is how many leases after a fault's end somebody may still be turned away by it.
const awayAfter = 2

// blamed names the fault that may have turned a call away; empty if none may.
func (l *Ledger) blamed(call CallEntry) string {
	cores := 0
	for i, fault := range l.Faults {
		end := fault.End
		if end == 0 && i+1 < len(l.Faults) {
			end = l.Faults[i+1].At
		}
		if fault.At > call.Got || (end > 0 && call.Sent > end+awayAfter*l.Lease) {
			continue
		}
		if fault.Core {
			cores++
		}
		// One core machine gone costs nothing; with another besides, a majority may be.
		if fault.Costs || cores > 1 {
			return fault.What
		}
	}
	return ""
}

// muteAfter is how long after the end of a fault that holds up what proxies tell each other its traces last.
const muteAfter = 3 * time.Second

// muted tells whether word from one proxy to another may have been held up at some time of a span.
func (l *Ledger) muted(from, to time.Duration) bool {
	for _, fault := range l.Faults {
		if fault.Mute && fault.At < to && (fault.End == 0 || fault.End+muteAfter > from) {
			return true
		}
	}
	return false
}

func runsByOp(l *Ledger) map[string][]RunEntry {
	runs := map[string][]RunEntry{}
	for _, run := range l.Runs {
		runs[run.Op] = append(runs[run.Op], run)
	}
	return runs
}

// Judge holds the ledger against every checker.
func Judge(l *Ledger, d *Deployment) []Finding {
	l.lock.Lock()
	defer l.lock.Unlock()
	var findings []Finding
	for _, one := range checkers {
		finding := Finding{Rule: one.rule}
		one.check(l, d, &finding)
		findings = append(findings, finding)
	}
	return findings
}
