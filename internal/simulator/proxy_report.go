package simulator

import (
	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/proxy"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// nextSource returns the next version of the proxy's own source of the service directory, which lists its workers.
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

// onWorkersChanged reports the workers of a proxy after a change. Goroutines call it too, for example when a worker's
// connection ends, so it schedules an event.
func (w *World) onWorkersChanged(node *proxyNode, processRun int) {
	w.schedule(0, func() {
		if node.up && node.processRun == processRun {
			w.scheduleOn(&node.process, 0, func() { w.sendReport(node, true) })
		}
	})
}

// sendReport sends a proxy's work counts to its registry and applies the canary grants in the reply. If withSource is
// set, it also applies and reports the proxy's own source, and reports the call counts by version.
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

// applyOwnSource drops unresponsive workers, applies a new version of the proxy's own source to its view, and returns
// the source.
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

// sendFeedReport sends a report to the registry that feeds a proxy. A lost report is not repeated, because the next
// one is due soon.
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

// sendSessionReport sends a report to the registry that a proxy has its session with, if there is one. A report with a
// source stays pending until its reply arrives; see startProxySubscriptions for the repetition.
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
