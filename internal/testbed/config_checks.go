package testbed

import (
	"slices"
	"sort"
	"time"

	"meadowhinge/internal/fakebackend"
)

// checkVersionsAllowed checks that only versions that the configuration lists execute requests.
func checkVersionsAllowed(h *History, _ *Deployment, result *Finding) {
	for _, execution := range h.Executions {
		result.Checked++
		if execution.Version != versionOld && execution.Version != versionNew {
			result.addViolation("%s of version %s ran %s", execution.Worker, execution.Version, execution.Operation)
		}
	}
}

// checkDrainedWorkers checks that a worker gets no request later than DrainingBound after it began to drain or was
// killed.
func checkDrainedWorkers(h *History, _ *Deployment, result *Finding) {
	exits := map[string]time.Duration{}
	for _, exit := range h.WorkerExits {
		exits[exit.Worker] = exit.At
	}
	for _, execution := range h.Executions {
		at, exited := exits[execution.Worker]
		if !exited {
			continue
		}
		result.Checked++
		if execution.At > at+h.DrainingBound {
			result.addViolation("%s ran %s %v after it left", execution.Worker, execution.Operation, execution.At-at)
		}
	}
}

// checkConfigPropagation checks that a request sent later than ConfigPropagationBound after a change was acknowledged
// is handled by that change's configuration revision or a newer one.
func checkConfigPropagation(h *History, _ *Deployment, result *Finding) {
	acknowledged := acknowledgedRevisions(h)
	for _, call := range h.Calls {
		if call.ConfigRevision == 0 {
			continue
		}
		latest := sort.Search(len(acknowledged), func(i int) bool {
			return acknowledged[i].Answered+fakebackend.ConfigPropagationBound > call.Sent
		}) - 1
		if latest < 0 {
			continue
		}
		result.Checked++
		if change := acknowledged[latest]; call.ConfigRevision < change.Sequence {
			result.addViolation("%s at %s was handled by setup %d, %v after %d was acknowledged",
				call.Operation, call.Proxy, call.ConfigRevision, call.Sent-change.Answered, change.Sequence)
		}
	}
}

// acknowledgedRevisions returns the acknowledged changes, ordered by the time of acknowledgement. The Sequence of each
// is raised to the highest that was acknowledged by then.
func acknowledgedRevisions(h *History) []ChangeEntry {
	var acknowledged []ChangeEntry
	for _, change := range h.Changes {
		if change.Acknowledged {
			acknowledged = append(acknowledged, change)
		}
	}
	sort.Slice(acknowledged, func(i, j int) bool { return acknowledged[i].Answered < acknowledged[j].Answered })
	for i := 1; i < len(acknowledged); i++ {
		acknowledged[i].Sequence = max(acknowledged[i].Sequence, acknowledged[i-1].Sequence)
	}
	return acknowledged
}

// checkConfigRegression checks that no node shows an older configuration than it showed ConfigRegressionBound before.
// Requests for views overlap in time, so a view is compared with those that were received that long before it was
// requested.
func checkConfigRegression(h *History, _ *Deployment, result *Finding) {
	for node, views := range configViewsByNode(h) {
		byReceived := slices.Clone(views)
		sort.Slice(byReceived, func(i, j int) bool { return byReceived[i].Received < byReceived[j].Received })
		sort.Slice(views, func(i, j int) bool { return views[i].Requested < views[j].Requested })
		// Both lists are traversed together. highest is the newest revision among byReceived[:next], which holds the
		// views that were received early enough.
		highest, next := uint64(0), 0
		for _, view := range views {
			for next < len(byReceived) && byReceived[next].Received+fakebackend.ConfigRegressionBound < view.Requested {
				highest = max(highest, byReceived[next].ConfigRevision)
				next++
			}
			result.Checked++
			if view.ConfigRevision < highest {
				result.addViolation("%s showed %d after it had shown %d", node, view.ConfigRevision, highest)
			}
		}
	}
}

// configViewsByNode groups the observed configurations by node. Registries show theirs to operators; proxies report
// their revision in responses to calls.
func configViewsByNode(h *History) map[string][]ConfigViewEntry {
	views := map[string][]ConfigViewEntry{}
	for _, view := range h.ConfigViews {
		views[view.Node] = append(views[view.Node], view)
	}
	for _, call := range h.Calls {
		if call.ConfigRevision > 0 {
			views[call.Proxy] = append(views[call.Proxy], ConfigViewEntry{
				Node:           call.Proxy,
				Requested:      call.Sent,
				Received:       call.Received,
				ConfigRevision: call.ConfigRevision,
			})
		}
	}
	return views
}

// checkInvalidChanges checks that no invalid change is accepted, and that no node shows the item that only this change
// names.
func checkInvalidChanges(h *History, _ *Deployment, result *Finding) {
	changeByItem := map[string]string{}
	for _, change := range h.Changes {
		if !change.Invalid {
			continue
		}
		changeByItem[change.InvalidItem] = change.ID
		result.Checked++
		if change.Ruling == "accepted" {
			result.addViolation("%s was accepted", change.ID)
		}
	}
	for _, view := range h.ConfigViews {
		for _, item := range view.Items {
			if id, found := changeByItem[item]; found {
				result.addViolation("%s showed %s of invalid change %s", view.Node, item, id)
			}
		}
	}
}

// checkFaultyVersions checks that a faulty version gets at most FaultyVersionRatio of its service's calls plus
// FaultyVersionFloor, and none later than FaultyVersionBound after its FaultyVersionFailures-th failure.
func checkFaultyVersions(h *History, _ *Deployment, result *Finding) {
	for _, faulty := range h.FaultyVersions {
		ofService, onVersion, failures := h.executionsOnFaulty(faulty)
		result.Checked += ofService
		if float64(len(onVersion)) > fakebackend.FaultyVersionRatio*float64(ofService)+fakebackend.FaultyVersionFloor {
			result.addViolation("%s %s got %d of %d calls after it turned bad", faulty.Service, faulty.Version, len(onVersion), ofService)
		}
		slices.Sort(failures)
		if len(failures) < fakebackend.FaultyVersionFailures {
			continue
		}
		lastTolerated := failures[fakebackend.FaultyVersionFailures-1]
		for _, at := range onVersion {
			if at > lastTolerated+fakebackend.FaultyVersionBound {
				result.addViolation("%s %s got a call %v after failure 50", faulty.Service, faulty.Version, at-lastTolerated)
			}
		}
	}
}

// executionsOnFaulty counts the executions of a service since one of its versions became faulty. It also returns the
// times of the executions on this version, and of those to which the fault applied.
func (h *History) executionsOnFaulty(faulty FaultyVersionEntry) (ofService int, onVersion, failures []time.Duration) {
	for _, execution := range h.Executions {
		if execution.Service != faulty.Service || execution.At < faulty.From {
			continue
		}
		ofService++
		if execution.Version != faulty.Version {
			continue
		}
		onVersion = append(onVersion, execution.At)
		if execution.Faulty {
			failures = append(failures, execution.At)
		}
	}
	return ofService, onVersion, failures
}

// checkAcknowledgedChanges checks that every acknowledged change still had its outcome at the end of the run.
func checkAcknowledgedChanges(h *History, _ *Deployment, result *Finding) {
	result.Checked = h.SurvivedChanges + len(h.LostChanges)
	for _, lost := range h.LostChanges {
		result.addViolation("%s", lost)
	}
}
