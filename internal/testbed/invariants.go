package testbed

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"meadowhinge/internal/fakebackend"
)

// Finding is the judgement of one never-rule.
type Finding struct {
	Rule       string   `json:"rule"`
	Checked    int      `json:"judged"` // how many entries the rule was held against
	Violations int      `json:"breaches"`
	Examples   []string `json:"examples,omitempty"`
}

// maxExamples bounds what is printed of each rule.
const maxExamples = 5

func (f *Finding) addViolation(format string, values ...any) {
	f.Violations++
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, fmt.Sprintf(format, values...))
	}
}

// invariants hold a ledger against each never-rule that can be seen from outside.
var invariants = []struct {
	rule  string
	check func(*History, *Deployment, *Finding)
}{
	{"a once request never runs twice", func(l *History, _ *Deployment, f *Finding) {
		runs := executionsByOperation(l)
		for _, call := range l.Calls {
			if !call.NonIdempotent {
				continue
			}
			f.Checked++
			if count := len(runs[call.Operation]); count > 1 {
				f.addViolation("%s ran %d times: %v", call.Operation, count, runs[call.Operation])
			}
		}
	}},
	{"a request answered not-run never runs", func(l *History, _ *Deployment, f *Finding) {
		runs := executionsByOperation(l)
		for _, call := range l.Calls {
			if call.Outcome != "not-run" {
				continue
			}
			f.Checked++
			for _, run := range runs[call.Operation] {
				// What was asked for again may run then: only the ask that was refused may not.
				if run.CallerRetry == call.CallerRetry {
					f.addViolation("%s was answered not-run (%s) and ran: %v", call.Operation, call.ErrorCode, run)
				}
			}
		}
	}},
	{"every answer is the caller's own, whole and unaltered", func(l *History, _ *Deployment, f *Finding) {
		runs := executionsByOperation(l)
		for _, call := range l.Calls {
			if call.Outcome != "answered" {
				continue
			}
			f.Checked++
			switch {
			case call.Echoed != call.Operation:
				f.addViolation("%s got the answer of %q", call.Operation, call.Echoed)
			case !call.Intact:
				f.addViolation("%s got an answer that was cut or altered", call.Operation)
			case len(runs[call.Operation]) == 0:
				f.addViolation("%s was answered but never ran", call.Operation)
			}
		}
	}},
	{"a worker runs only what it was sent, by the caller named", func(l *History, _ *Deployment, f *Finding) {
		sent := map[string]CallEntry{}
		for _, call := range l.Calls {
			sent[call.Operation] = call
		}
		for _, run := range l.Executions {
			f.Checked++
			call, found := sent[run.Operation]
			if !found {
				f.addViolation("%s ran %q, which nobody sent", run.Worker, run.Operation)
			} else if call.Caller != run.Caller || call.Service != run.Service {
				f.addViolation("%s ran %s as from %s for %s; it was from %s for %s", run.Worker, run.Operation, run.Caller, run.Service, call.Caller, call.Service)
			}
		}
	}},
	{"no call reaches a version or service that no setup allowed", func(l *History, d *Deployment, f *Finding) {
		for _, run := range l.Executions {
			f.Checked++
			if run.Version != versionOld && run.Version != versionNew {
				f.addViolation("%s of version %s ran %s", run.Worker, run.Version, run.Operation)
			}
		}
	}},
	{"no new call reaches a worker 2 s after it left", func(l *History, _ *Deployment, f *Finding) {
		left := map[string]time.Duration{}
		for _, leave := range l.WorkerExits {
			left[leave.Worker] = leave.At
		}
		for _, run := range l.Executions {
			at, gone := left[run.Worker]
			if !gone {
				continue
			}
			f.Checked++
			if run.At > at+l.DrainingBound {
				f.addViolation("%s ran %s %v after it left", run.Worker, run.Operation, run.At-at)
			}
		}
	}},
	{"no call sent 2 s after a yes is handled by older rules", func(l *History, _ *Deployment, f *Finding) {
		// The highest acknowledged setup at each time, in the order of the yeses.
		var yeses []ChangeEntry
		for _, change := range l.Changes {
			if change.Acknowledged {
				yeses = append(yeses, change)
			}
		}
		sort.Slice(yeses, func(i, j int) bool { return yeses[i].Answered < yeses[j].Answered })
		for i := 1; i < len(yeses); i++ {
			yeses[i].Sequence = max(yeses[i].Sequence, yeses[i-1].Sequence)
		}
		for _, call := range l.Calls {
			if call.ConfigRevision == 0 {
				continue
			}
			place := sort.Search(len(yeses), func(i int) bool { return yeses[i].Answered+fakebackend.ConfigPropagationBound > call.Sent }) - 1
			if place < 0 {
				continue
			}
			f.Checked++
			if call.ConfigRevision < yeses[place].Sequence {
				f.addViolation("%s at %s was handled by setup %d, %v after %d was acknowledged", call.Operation, call.Proxy, call.ConfigRevision, call.Sent-yeses[place].Answered, yeses[place].Sequence)
			}
		}
	}},
	{"no node falls back to an older setup after 1/4 s", func(l *History, _ *Deployment, f *Finding) {
		shown := map[string][]ConfigViewEntry{}
		for _, one := range l.ConfigViews {
			shown[one.Node] = append(shown[one.Node], one)
		}
		for _, call := range l.Calls {
			if call.ConfigRevision > 0 {
				shown[call.Proxy] = append(shown[call.Proxy], ConfigViewEntry{Node: call.Proxy, Requested: call.Sent, Received: call.Received, ConfigRevision: call.ConfigRevision})
			}
		}
		for node, entries := range shown {
			byGot := append([]ConfigViewEntry(nil), entries...)
			sort.Slice(byGot, func(i, j int) bool { return byGot[i].Received < byGot[j].Received })
			sort.Slice(entries, func(i, j int) bool { return entries[i].Requested < entries[j].Requested })
			highest, next := uint64(0), 0
			for _, one := range entries {
				for next < len(byGot) && byGot[next].Received+fakebackend.ConfigRegressionBound < one.Requested {
					highest = max(highest, byGot[next].ConfigRevision)
					next++
				}
				f.Checked++
				if one.ConfigRevision < highest {
					f.addViolation("%s showed %d after it had shown %d", node, one.ConfigRevision, highest)
				}
			}
		}
	}},
	{"no invalid change takes effect or goes unrefused", func(l *History, _ *Deployment, f *Finding) {
		markers := map[string]string{}
		for _, change := range l.Changes {
			if !change.Invalid {
				continue
			}
			markers[change.InvalidItem] = change.ID
			f.Checked++
			if change.Ruling == "accepted" {
				f.addViolation("%s was accepted", change.ID)
			}
		}
		for _, shown := range l.ConfigViews {
			for _, item := range shown.Items {
				if id, found := markers[item]; found {
					f.addViolation("%s showed %s of invalid change %s", shown.Node, item, id)
				}
			}
		}
	}},
	{"a bad version gets 1/10 + 50 at most, none 5 s after failure 50", func(l *History, _ *Deployment, f *Finding) {
		for _, bad := range l.FaultyVersions {
			var failures []time.Duration
			all, its := 0, []time.Duration{}
			for _, run := range l.Executions {
				if run.Service != bad.Service || run.At < bad.From {
					continue
				}
				all++
				if run.Version == bad.Version {
					its = append(its, run.At)
					if run.Faulty {
						failures = append(failures, run.At)
					}
				}
			}
			f.Checked += all
			if float64(len(its)) > fakebackend.FaultyVersionRatio*float64(all)+fakebackend.FaultyVersionFloor {
				f.addViolation("%s %s got %d of %d calls after it turned bad", bad.Service, bad.Version, len(its), all)
			}
			slices.Sort(failures)
			if len(failures) < fakebackend.FaultyVersionFailures {
				continue
			}
			for _, at := range its {
				if at > failures[fakebackend.FaultyVersionFailures-1]+fakebackend.FaultyVersionBound {
					f.addViolation("%s %s got a call %v after failure 50", bad.Service, bad.Version, at-failures[fakebackend.FaultyVersionFailures-1])
				}
			}
		}
	}},
	{"extra tries stay within 1/5 + 60 in any 10 s", func(l *History, _ *Deployment, f *Finding) {
		byService := map[string][]CallEntry{}
		for _, call := range l.Calls {
			byService[call.Service] = append(byService[call.Service], call)
		}
		for service, calls := range byService {
			sort.Slice(calls, func(i, j int) bool { return calls[i].Sent < calls[j].Sent })
			first, extras := 0, 0
			for i, call := range calls {
				extras += max(0, call.Attempts-1)
				for calls[first].Sent < call.Sent-fakebackend.RetryBudgetWindow {
					extras -= max(0, calls[first].Attempts-1)
					first++
				}
				f.Checked++
				if bound := fakebackend.RetryBudgetRatio*float64(i-first+1) + fakebackend.RetryBudgetFloor; float64(extras) > bound {
					f.addViolation("%s had %d extra tries on %d calls in the 10 s up to %v", service, extras, i-first+1, call.Sent)
				}
			}
		}
	}},
	{"acknowledged changes are there at the end", func(l *History, _ *Deployment, f *Finding) {
		f.Checked = l.SurvivedChanges + len(l.LostChanges)
		for _, lost := range l.LostChanges {
			f.addViolation("%s", lost)
		}
	}},
	{"a call that a worker is at is answered, whatever is planned", func(l *History, _ *Deployment, f *Finding) {
		runs := executionsByOperation(l)
		for _, call := range l.Calls {
			if call.Outcome != "unknown" || call.Status != 0 || len(runs[call.Operation]) == 0 {
				continue
			}
			if f.Checked++; l.faultBehindRejection(call) == "" {
				f.addViolation("%s at %s, sent at %v, ended without an answer at %v; it ran: %v", call.Operation, call.Proxy, call.Sent, call.Received, runs[call.Operation])
			}
		}
	}},
	{"workers are freed when the callers of repeatable calls leave", func(l *History, _ *Deployment, f *Finding) {
		if l.DisconnectBound == 0 {
			return
		}
		ends := map[string][]ExecutionEndEntry{}
		for _, end := range l.ExecutionEnds {
			ends[end.Operation] = append(ends[end.Operation], end)
		}
		for _, call := range l.Calls {
			if call.Outcome != outcomeDisconnected || call.NonIdempotent || l.peerMessagesDelayed(call.Sent, call.Received+l.DisconnectBound) {
				continue
			}
			for _, end := range ends[call.Operation] {
				if f.Checked++; end.At > call.Received+l.DisconnectBound {
					f.addViolation("%s ran at %s for %v after its caller left at %v", call.Operation, end.Worker, end.At-call.Received, call.Received)
				}
			}
		}
	}},
	{"no proxy counts a breach of what must hold of departures", func(l *History, _ *Deployment, f *Finding) {
		for life, counts := range l.Disconnects {
			f.Checked += int(counts.Detected + counts.Dequeued + counts.Canceled + counts.RanToEnd)
			for range counts.Violations() {
				f.addViolation("%s: %+v", life, counts)
			}
		}
	}},
	{"no proper call is turned away without cause", func(l *History, _ *Deployment, f *Finding) {
		if !l.CheckRejections {
			return
		}
		for _, call := range l.Calls {
			if f.Checked++; call.rejected() && l.faultBehindRejection(call) == "" {
				f.addViolation("%s at %s, sent at %v, got %q after %v", call.Operation, call.Proxy, call.Sent, call.ErrorCode, call.Received-call.Sent)
			}
		}
	}},
}

func executionsByOperation(l *History) map[string][]ExecutionEntry {
	executions := map[string][]ExecutionEntry{}
	for _, execution := range l.Executions {
		executions[execution.Operation] = append(executions[execution.Operation], execution)
	}
	return executions
}

// CheckInvariants holds the ledger against every checker.
func CheckInvariants(l *History, d *Deployment) []Finding {
	l.lock.Lock()
	defer l.lock.Unlock()
	var findings []Finding
	for _, invariant := range invariants {
		finding := Finding{Rule: invariant.rule}
		invariant.check(l, d, &finding)
		findings = append(findings, finding)
	}
	return findings
}
