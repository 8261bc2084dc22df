package simulator

import (
	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/proxy"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// nextSource is what a proxy tells of itself, under a new stamp each time.
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

// onWorkersChanged lets the mesh know, this proxy first. It may be called by a goroutine, as when
// a worker's connection ends, so it is done as an event.
func (w *World) onWorkersChanged(node *proxyNode, processRun int) {
	w.schedule(0, func() {
		if node.up && node.processRun == processRun {
			w.scheduleOn(&node.process, 0, func() { w.sendReport(node, true) })
		}
	})
}

// sendReport reports counts, and with whole the proxy's workers too.
func (w *World) sendReport(node *proxyNode, withSource bool) {
	report := &schema.ProxyReport{Proxy: node.name, Incarnation: node.incarnation}
	if withSource {
		node.workers.DropUnresponsive()
		report.Source = node.nextSource(w.zoneOf(node.index))
		event := proxy.Event{At: node.localTime(w.now), Sources: []*schema.Source{report.Source}}
		if !w.Options.ServeStale {
			event.SourceTimeout = leaseDuration / 4
		}
		picture := node.journal.Append(event)
		node.outliers.Retain(picture.KnownWorkers())
	}
	snapshot := node.journal.View().View().Config
	guarded, _ := release.JudgedServices(snapshot)
	report.WorkCounts = node.runner.WorkCounts.Report(guarded)
	report.Applied = snapshot.Revision
	if withSource {
		for _, count := range node.callCounter.Counts(snapshot.Revision) {
			report.Counts = append(report.Counts, proto.Clone(count).(*schema.VerdictCount))
		}
	}
	sentAt := node.localTime(w.now)
	target := w.registries[node.feedIndex%len(w.registries)]
	canaries := node.canaries
	if w.Options.ServeStale {
		w.sendHomeReport(node, report, func(grants []*schema.Canary) { canaries.ApplyGrants(sentAt, grants) })
		canaries.ForgetUnguarded()
		return
	}
	w.send(&node.process, &target.process, func() {
		target.table.ApplyReport(w.uptime(target), report)
		grants := target.table.CanaryGrants(w.uptime(target))
		w.send(&target.process, &node.process, func() {
			if node.incarnation == report.Incarnation {
				canaries.ApplyGrants(sentAt, grants)
			}
		})
	})
	canaries.ForgetUnguarded()
}

// sendHomeReport tells a registry in session what is new; it is told again if no word of it comes.
func (w *World) sendHomeReport(node *proxyNode, report *schema.ProxyReport, onReply func(canaries []*schema.Canary)) {
	target := w.registryNamed(node.selector.Current())
	if report.Source != nil {
		node.reportPending, node.reportedAt = true, w.now
	}
	if target == nil {
		return
	}
	processRun, counter := node.processRun, node.sourceCounter
	sent := proto.Clone(report).(*schema.ProxyReport)
	w.send(&node.process, &target.process, func() {
		target.table.ApplyReport(w.uptime(target), sent)
		canaries := target.table.CanaryGrants(w.uptime(target))
		w.send(&target.process, &node.process, func() {
			if node.processRun == processRun {
				if node.sourceCounter == counter && report.Source != nil {
					node.reportPending = false
				}
				onReply(canaries)
			}
		})
	})
}
