package testbed

import (
	"fmt"
	"strings"
	"time"
)

// startRelease submits a release plan that raises a service's new version to target percent over the given time. It
// returns the service and the ruling on the change.
func (r *testRun) startRelease(service string, target float64, over time.Duration) string {
	operator := NewOperator("release-"+service, r.fleet, r.history, r.now)
	text := fmt.Sprintf("release: %q: {service: %q, version: %q, target: %v, over: %q}\n", "to-"+service, service, versionNew, target, over)
	return service + " " + operator.SubmitChange(1, text, "").Ruling
}

// churnBatch is the number of routes that one change of churnRoutes adds or removes.
const churnBatch = 40

// churnRoutes adds or removes a batch of routes and returns the ruling on the change.
func (r *testRun) churnRoutes(batch int, adds bool) string {
	text := removeRoutesText(batch)
	if adds {
		text = addRoutesText(batch, r.serviceAt(0))
	}
	operator := NewOperator(fmt.Sprintf("churn-%d-%v", batch, adds), r.fleet, r.history, r.now)
	return operator.SubmitChange(batch%r.options.Deployment.CoreMembers, text, "").Ruling
}

// addRoutesText returns the change, in CUE, that adds a batch of routes to a service.
func addRoutesText(batch int, service string) string {
	var text strings.Builder
	for i := range churnBatch {
		fmt.Fprintf(&text, "route: \"churn-%d-%d\": {service: %q, prefix: \"/churn/%d/%d\"}\n", batch, i, service, batch, i)
	}
	return text.String()
}

// removeRoutesText returns the change, in CUE, that removes the routes of addRoutesText.
func removeRoutesText(batch int) string {
	var text strings.Builder
	text.WriteString("remove: route: [")
	for i := range churnBatch {
		fmt.Fprintf(&text, "%q,", fmt.Sprintf("churn-%d-%d", batch, i))
	}
	text.WriteString("]\n")
	return text.String()
}

// releaseInterval is the time between two reads of the release plans.
const releaseInterval = 2 * time.Second

// watchReleases records the set point and the measured percentage of each release plan until stop closes. It logs each
// change of a plan's state.
func (r *testRun) watchReleases(stop <-chan struct{}) {
	operator := NewOperator("watcher", r.fleet, r.history, r.now)
	seen, lastStatus := 0, map[string]string{}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(releaseInterval):
		}
		releases, err := operator.ReadReleases(i % r.options.Deployment.CoreMembers)
		if err != nil {
			continue
		}
		executions := r.executionsSince(seen)
		seen += len(executions)
		for j := range releases {
			release := &releases[j]
			entry := ReleaseEntry{
				At:                 r.now(),
				Release:            release.Name,
				State:              release.State,
				Reason:             release.Reason,
				SetPoint:           release.Percentage,
				MeasuredPercentage: percentageOnVersion(executions, release.Service, release.Version),
			}
			appendEntry(r.history, &r.history.Releases, entry)
			if status := release.State + " " + release.Reason; lastStatus[release.Name] != status {
				lastStatus[release.Name] = status
				r.logf("%6.1f s: plan %s: %s, set point %.1f, measured %.1f",
					entry.At.Seconds(), release.Name, status, entry.SetPoint, entry.MeasuredPercentage)
			}
		}
	}
}

// executionsSince returns the executions recorded after the first count. Recorded entries never change, so the result
// may be read without the history's lock.
func (r *testRun) executionsSince(count int) []ExecutionEntry {
	r.history.lock.Lock()
	defer r.history.lock.Unlock()
	return r.history.Executions[count:]
}

// percentageOnVersion returns the percentage of a service's executions that were on one version; 0 if the service had
// none.
func percentageOnVersion(executions []ExecutionEntry, service, version string) float64 {
	total, onVersion := 0, 0
	for _, execution := range executions {
		if execution.Service != service {
			continue
		}
		total++
		if execution.Version == version {
			onVersion++
		}
	}
	return 100 * float64(onVersion) / float64(max(1, total))
}
