package testbed

import (
	"fmt"
	"strings"
	"time"
)

// startRelease states a plan for a service.
func (r *testRun) startRelease(service string, target float64, over time.Duration) string {
	operator := NewOperator("release-"+service, r.fleet, r.history, r.now)
	text := fmt.Sprintf("release: %q: {service: %q, version: %q, target: %v, over: %q}\n", "to-"+service, service, versionNew, target, over)
	return service + " " + operator.SubmitChange(1, text, "").Ruling
}

// churnRoutes adds forty routes, or removes them.
func (r *testRun) churnRoutes(batch int, adds bool) string {
	var text strings.Builder
	for i := range 40 {
		if adds {
			fmt.Fprintf(&text, "route: \"churn-%d-%d\": {service: %q, prefix: \"/churn/%d/%d\"}\n", batch, i, r.serviceAt(0), batch, i)
		} else if i == 0 {
			text.WriteString("remove: route: [")
		}
		if !adds {
			fmt.Fprintf(&text, "%q,", fmt.Sprintf("churn-%d-%d", batch, i))
		}
	}
	if !adds {
		text.WriteString("]\n")
	}
	return NewOperator(fmt.Sprintf("churn-%d-%v", batch, adds), r.fleet, r.history, r.now).SubmitChange(batch%r.options.Deployment.CoreMembers, text.String(), "").Ruling
}

// watchReleases writes down set point and measured share as time goes on.
func (r *testRun) watchReleases(stop <-chan struct{}, logf func(string, ...any)) {
	operator := NewOperator("watcher", r.fleet, r.history, r.now)
	seen, last := 0, map[string]string{}
	for turn := 0; ; turn++ {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Second):
		}
		shown, err := operator.ReadReleases(turn % r.options.Deployment.CoreMembers)
		if err != nil {
			continue
		}
		r.history.lock.Lock()
		runs := r.history.Executions[seen:]
		seen = len(r.history.Executions)
		r.history.lock.Unlock()
		for _, release := range shown {
			total, onVersion := 0, 0
			for _, run := range runs {
				if run.Service == release.Service {
					total++
					if run.Version == release.Version {
						onVersion++
					}
				}
			}
			entry := ReleaseEntry{At: r.now(), Release: release.Name, State: release.State, Reason: release.Reason, SetPoint: release.Percentage, MeasuredPercentage: 100 * float64(onVersion) / float64(max(1, total))}
			appendEntry(r.history, &r.history.Releases, entry)
			if status := release.State + " " + release.Reason; last[release.Name] != status {
				last[release.Name] = status
				logf("%6.1f s: plan %s: %s, set point %.1f, measured %.1f", entry.At.Seconds(), release.Name, status, entry.SetPoint, entry.MeasuredPercentage)
			}
		}
	}
}
