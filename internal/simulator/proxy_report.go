package simulator

import (
	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/proxy"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// nextSource returns the proxy's own source of the service directory, its workers, under a new version.
func (node *proxyNode) nextSource(zone string) *schema.Source {
	node.sourceCounter++
	return &schema.Source{
		Name:    node.name,
		Version: &schema.SourceVersion{Incarnation: node.incarnation, Counter: node.sourceCounter},
		Address: node.name,
		Zone:    zone,
		Workers: node.workers.List(),
	}
}

// onWorkersChanged reports the workers of a proxy after a change. It is called by goroutines too, for example when the
// connection of a worker ends, so it schedules an event.
func (w *World) onWorkersChanged(node *proxyNode, processRun int) {
	w.schedule(0, func() {
		if node.up && node.processRun == processRun {
			w.scheduleOn(&node.process, 0, func() { w.sendReport(node, true) })
		}
	})
}

// sendReport reports a proxy's work counts to its registry and takes the canary grants from the reply. withSource also
// applies and reports the proxy's workers, and the counts of calls by version.
func (w *World) sendReport(node *proxyNode, withSource bool) {
	report := &schema.ProxyReport{Proxy: node.name, Incarnation: node.incarnation}
	if withSource {
		report.Source = w.applyOwnSource(node)
	}
	snapshot := node.journal.View().View().Config
	guarded, _ := release.EvaluatedServices(snapshot)
	report.WorkCounts = node.runner.RunCounter.Report(guarded)
	report.Applied = snapshot.Revision
	if withSource {
		for _, count := range node.callCounter.Counts(snapshot.Revision) {
			report.Counts = append(report.Counts, proto.Clone(count).(*schema.VerdictCount))
		}
	}
	sentAt := node.localTime(w.now)
	canaries := node.canaries
	applyGrants := func(grants []*schema.Canary) { canaries.ApplyGrants(sentAt, grants) }
	if w.Options.ServeStale {
		w.sendSessionReport(node, report, applyGrants)
	} else {
		w.sendFeedReport(node, report, applyGrants)
	}
	canaries.DropUnguarded()
}

// applyOwnSource applies a new version of a proxy's own source to its view and returns the source.
func (w *World) applyOwnSource(node *proxyNode) *schema.Source {
	node.workers.DropUnresponsive()
	source := node.nextSource(w.zoneOf(node.index))
	event := proxy.Event{At: node.localTime(w.now), Sources: []*schema.Source{source}}
	if !w.Options.ServeStale {
		event.SourceTimeout = leaseDuration / 4
	}
	state := node.journal.Append(event)
	node.outliers.Retain(state.KnownWorkers())
	return source
}

// sendFeedReport sends a report to the registry that feeds a proxy. Nothing repeats it: the next report is due soon.
func (w *World) sendFeedReport(node *proxyNode, report *schema.ProxyReport, onReply func(grants []*schema.Canary)) {
	target := w.registries[node.feedIndex%len(w.registries)]
	w.send(&node.process, &target.process, func() {
		target.table.ApplyReport(w.uptime(target), report)
		grants := target.table.CanaryGrants(w.uptime(target))
		w.send(&target.process, &node.process, func() {
			if node.incarnation == report.Incarnation {
				onReply(grants)
			}
		})
	})
}

// sendSessionReport sends a report to the registry that a proxy has its session with. A report of workers stays pending
// until a reply arrives, and is sent again meanwhile.
func (w *World) sendSessionReport(node *proxyNode, report *schema.ProxyReport, onReply func(grants []*schema.Canary)) {
	target := w.registryNamed(node.selector.Current())
	if report.Source != nil {
		node.reportPending = true
		node.reportedAt = w.now
	}
	if target == nil {
		return
	}
	processRun, counter := node.processRun, node.sourceCounter
	sent := proto.Clone(report).(*schema.ProxyReport)
	w.send(&node.process, &target.process, func() {
		target.table.ApplyReport(w.uptime(target), sent)
		grants := target.table.CanaryGrants(w.uptime(target))
		w.send(&target.process, &node.process, func() {
			if node.processRun != processRun {
				return
			}
			// A reply to an older report does not acknowledge the newest one.
			if node.sourceCounter == counter && report.Source != nil {
				node.reportPending = false
			}
			onReply(grants)
		})
	})
}
