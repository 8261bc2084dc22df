package simulator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/proxy"
	"meadowhinge/internal/registry"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// A serving world is one whose proxies serve in doubt: they hold sessions in place of leases, and
// a change is acknowledged once it is stable. What is promised then binds machines in touch.

// servingLease is what the ratios of sessions refer to.
const servingLease = 4 * time.Second

// inTouchAfter is how long nothing may have troubled a machine, or the core, for it to be in touch.
const inTouchAfter = 3 * time.Second

// subscription is a session with a registry as the world carries it: what the registry sends comes in
// order, or not at all any more.
type subscription struct {
	server          *registryNode
	serverRun       int
	client          *process
	clientRun       int
	position        *registry.SessionCursor
	peer            bool
	tentative       bool // the client has another session
	revision        uint64
	fleetSize       uint32
	started         bool
	sentCoreMembers bool
	lastSentAt      time.Duration    // last
	lastArrivalAt   time.Duration    // what was sent last
	inbox           []*schema.Update // and not taken yet, as by a frozen client
	closed          bool             // nothing goes through it any more
	handle          func(*schema.Update)
}

// zoneOfMember is where a core machine stands.
func (w *World) zoneOfMember(i int) string { return w.zoneOf(i) }

// coreMembers is what registries tell of themselves.
func (w *World) coreMembers() []*schema.CoreMember {
	var members []*schema.CoreMember
	for i, node := range w.registries {
		members = append(members, &schema.CoreMember{Id: memberName(i), Address: node.name, Zone: w.zoneOfMember(i)})
	}
	return members
}

func (w *World) registryNamed(name string) *registryNode {
	for _, node := range w.registries {
		if node.name == name {
			return node
		}
	}
	return nil
}

// isPartitionedEitherWay tells whether a link is cut in one direction or the other: no session stands on it.
func (w *World) isPartitionedEitherWay(a, b *process) bool {
	return w.isPartitioned(a, b) || w.isPartitioned(b, a)
}

// openSubscription opens a session; asked runs at the registry once it is reached.
func (w *World) openSubscription(sub *subscription, onReached func()) {
	sub.clientRun = sub.client.processRun
	w.send(sub.client, &sub.server.process, func() {
		if sub.closed {
			return
		}
		sub.serverRun = sub.server.processRun
		onReached()
		w.serveSubscription(sub)
	})
}

// isBroken tells whether the registry's side of a session finds it ended.
func (s *subscription) isBroken() bool {
	return s.closed || !s.client.up || s.client.processRun != s.clientRun
}

// serveSubscription sends what is new, and a sign of life now and then.
func (w *World) serveSubscription(sub *subscription) {
	server := sub.server
	if sub.isBroken() {
		sub.closed = true
		if !sub.peer {
			server.table.CloseSession(w.uptime(server), sub.client.name)
		}
		return
	}
	update, isDue := w.nextUpdate(sub)
	heartbeats := time.Duration(1)
	if sub.peer {
		heartbeats = 4
	}
	if isDue || w.now-sub.lastSentAt >= heartbeats*servingLease/session.HeartbeatsPerLease {
		sub.lastSentAt = w.now
		delay, lost := w.sampleLink(&server.process, sub.client, w.random)
		if lost || w.isPartitionedEitherWay(&server.process, sub.client) {
			// A link on which nothing is acknowledged is ended after a while.
			w.scheduleOn(&server.process, servingLease/8, func() { sub.closed = true; w.serveSubscription(sub) })
			return
		}
		sub.lastArrivalAt = max(sub.lastArrivalAt+1, w.now+delay)
		w.schedule(sub.lastArrivalAt-w.now, func() {
			if !w.isPartitioned(&server.process, sub.client) && sub.client.processRun == sub.clientRun {
				sub.inbox = append(sub.inbox, update)
				w.scheduleOn(sub.client, 0, func() {
					first := sub.inbox[0]
					sub.inbox = sub.inbox[1:]
					if !sub.closed {
						sub.handle(first)
					}
				})
			} else {
				sub.closed = true
			}
		})
	}
	w.scheduleOn(&server.process, pollInterval, func() { w.serveSubscription(sub) })
}

// nextUpdate is what a registry's daemon makes for a session.
func (w *World) nextUpdate(sub *subscription) (update *schema.Update, isDue bool) {
	node := sub.server
	now := w.uptime(node)
	update = &schema.Update{}
	for _, source := range node.table.NextUpdates(now, sub.position) {
		update.Sources = append(update.Sources, proto.Clone(source).(*schema.Source))
	}
	staleness, known := node.table.Staleness(now)
	update.StalenessKnown, update.StalenessNanos = known, int64(staleness)
	if node.table.GrantsLeases(now) || now >= servingLease/2 {
		if update.Revision = node.table.CommittedRevision(); !sub.peer && update.Revision > sub.revision {
			update.Items, update.Complete = node.state.ChangesAfter(sub.revision)
			sub.revision, isDue = update.Revision, true
		}
	} else {
		update.StalenessKnown = false
	}
	if !sub.sentCoreMembers {
		sub.sentCoreMembers, update.CoreMembers, isDue = true, w.coreMembers(), true
	}
	if fleetSize := uint32(node.table.LiveProxies(now)); !sub.peer && fleetSize != sub.fleetSize {
		sub.fleetSize, update.FleetSize, isDue = fleetSize, fleetSize, true
	}
	if sub.peer {
		update.Reachable = node.table.ReachableRegistries(now)
	}
	isDue = isDue || !sub.started || len(update.Sources) > 0
	sub.started = true
	return update, isDue
}

// ---- registries ----

// startRegistrySubscriptions starts the part of a registry's life that is about sessions.
func (w *World) startRegistrySubscriptions(node *registryNode) {
	node.table.SetMemberCount(memberCount)
	node.subscriptions = map[string]*subscription{}
	w.scheduleEvery(&node.process, pollInterval, func() {
		if member := node.member; w.isResponsive(&member.process) {
			if committed, _ := member.replica.Committed(); committed >= node.table.CommittedRevision() {
				if staleness, known := member.replica.CommittedAge(member.clock.at(w.now)); known {
					node.table.ConfirmCurrent(w.uptime(node) - staleness)
				}
			}
		}
	})
	for _, other := range w.registries {
		if other == node {
			continue
		}
		heardAt := time.Duration(0)
		w.scheduleEvery(&node.process, pollInterval, func() {
			current := node.subscriptions[other.name]
			timedOut := w.now-heardAt > servingLease
			if current != nil && !current.closed && !timedOut && (other.processRun == current.serverRun || current.serverRun == 0) {
				return
			}
			if current != nil {
				current.closed = true
			}
			heardAt = w.now
			vector, memberID := node.table.Vector(), node.table.MemberID()
			sub := &subscription{server: other, client: &node.process, peer: true}
			sub.handle = func(update *schema.Update) {
				heardAt = w.now
				for _, source := range update.Sources {
					node.table.MergeSource(w.uptime(node), source)
				}
				node.table.RecordPeerHeard(w.uptime(node), other.table.MemberID(), update.Reachable)
			}
			node.subscriptions[other.name] = sub
			w.openSubscription(sub, func() {
				other.table.ObserveVector(w.uptime(other), vector)
				sub.position = registry.NewSessionCursor(node.name, memberID, vector)
			})
		})
	}
}

// ---- proxies ----

// nextIncarnation is one above all seen, with bits of the world's own.
func (w *World) nextIncarnation(seen uint64) uint64 {
	const shift = 32
	return (seen>>shift+1)<<shift | uint64(w.nextID())
}

// startProxySubscriptions starts the part of a proxy's life that is about sessions.
func (w *World) startProxySubscriptions(node *proxyNode) {
	node.incarnation, node.reportedFleetSize = w.nextIncarnation(0), 0
	lag := float64(servingLease) / session.MaxStalenessDivisor
	if w.seededFault == SeededNoRegistryFailover {
		lag = float64(time.Hour)
	}
	var seeds []string
	for _, registryNode := range w.registries {
		seeds = append(seeds, registryNode.name)
	}
	node.selector = session.NewRegistrySelector(session.SelectorOptions{ProxyName: node.name, Zone: w.zoneOf(node.index), HeartbeatInterval: servingLease / session.HeartbeatsPerLease,
		HeartbeatTimeout: servingLease / session.HeartbeatTimeoutDivisor, MaxStaleness: time.Duration(lag), FailureCooldown: servingLease}, seeds)
	node.subscriptions, node.reportPending = map[string]*subscription{}, false
	w.scheduleEvery(&node.process, pollInterval, func() {
		now := node.localTime(w.now)
		for _, registryNode := range w.registries {
			current := node.subscriptions[registryNode.name]
			// A dead process's links are reset, as soon as that gets through.
			if current != nil && (current.closed || !registryNode.up || (current.serverRun != 0 && registryNode.processRun != current.serverRun)) && !w.isPartitionedEitherWay(&node.process, &registryNode.process) {
				current.closed = true
				delete(node.subscriptions, registryNode.name)
				w.applySelectorActions(node, node.selector.RecordSessionEnd(now, registryNode.name))
			}
		}
		w.applySelectorActions(node, node.selector.Tick(now))
		if node.reportPending && node.selector.Current() != "" && w.now-node.reportedAt > servingLease/session.RenewalsPerLease {
			w.sendReport(node, true)
		}
	})
	w.scheduleEvery(&node.process, servingLease/session.HeartbeatsPerLease, node.workers.DropUnresponsive)
}

// applySelectorActions carries out what a proxy's tie wants.
func (w *World) applySelectorActions(node *proxyNode, actions []session.Action) {
	for _, action := range actions {
		if picture := node.subscriptions[action.Address]; picture != nil {
			picture.closed = true
			delete(node.subscriptions, action.Address)
		}
		if !action.Open {
			continue
		}
		registryNode, picture, sentSource := w.registryNamed(action.Address), node.journal.View(), (*schema.Source)(nil)
		if !action.Candidate {
			source := node.nextSource(w.zoneOf(node.index))
			picture = node.journal.Append(proxy.Event{At: node.localTime(w.now), Sources: []*schema.Source{source}})
			sentSource = proto.Clone(source).(*schema.Source)
		}
		vector := picture.Vector()
		sub := &subscription{server: registryNode, client: &node.process, revision: picture.ConfigRevision(), tentative: action.Candidate}
		sub.handle = func(update *schema.Update) { w.applySubscriptionUpdate(node, action.Address, update) }
		node.subscriptions[action.Address] = sub
		w.openSubscription(sub, func() {
			registryNode.table.ObserveVector(w.uptime(registryNode), vector)
			sub.position = registry.NewSessionCursor(node.name, "", vector)
			if action.Candidate {
				registryNode.table.OpenProvisionalSession(node.name)
			} else {
				registryNode.table.OpenSession(w.uptime(registryNode), sentSource)
			}
		})
	}
	// A session on trial that is taken makes its registry the one to mind this proxy.
	if current := node.subscriptions[node.selector.Current()]; current != nil && current.tentative {
		current.tentative = false
		w.sendReport(node, true)
	}
}

// applySubscriptionUpdate does what a proxy's daemon does with what a session brings.
func (w *World) applySubscriptionUpdate(node *proxyNode, address string, update *schema.Update) {
	now := node.localTime(w.now)
	before := node.journal.View().ConfigRevision()
	if update.Revision > before || len(update.Sources) > 0 {
		event := proxy.Event{At: now, ConfigRevision: update.Revision, Items: update.Items, Complete: update.Complete, Sources: update.Sources}
		if w.seededFault == SeededDeltaAfterPurge {
			event.Complete = false
		}
		picture := node.journal.Append(event)
		node.outliers.Retain(picture.KnownWorkers())
		if picture.ConfigRevision() > before {
			w.History.observeProxy(w.now, node)
		}
	}
	for _, source := range update.Sources {
		if source.Name == node.name && session.IsSuperseded(node.incarnation, source.Version.GetIncarnation(), source.Version.GetEnded()) {
			node.incarnation = w.nextIncarnation(source.Version.GetIncarnation())
			w.sendReport(node, true)
		}
	}
	if update.FleetSize > 0 {
		node.reportedFleetSize = int64(update.FleetSize)
	}
	node.fleetSize.Store(node.fleetEstimate.Observe(now, node.reportedFleetSize))
	node.selector.SetCoreMembers(update.CoreMembers)
	w.applySelectorActions(node, node.selector.RecordHeartbeat(now, address, update.StalenessKnown, time.Duration(update.StalenessNanos)))
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

// ---- who is in touch ----

// markDisturbed notes that something was done to a site.
func (w *World) markDisturbed(until time.Duration, hosts ...string) {
	for _, host := range hosts {
		w.disturbedAt[host] = max(w.disturbedAt[host], until)
	}
}

// isUndisturbed tells whether nothing troubled a proxy's own machine for a while.
func (w *World) isUndisturbed(node *proxyNode) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	at, known := w.disturbedAt[node.name]
	return !known || w.time()-at >= inTouchAfter
}

// inTouch tells whether what is promised binds a proxy: nothing troubled it for a while, the core
// is settled, and it reaches every core machine that itself reaches most of the core.
func (w *World) inTouch(node *proxyNode) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	now := w.time()
	isUndisturbed := func(host string) bool { at, known := w.disturbedAt[host]; return !known || now-at >= inTouchAfter }
	if w.lossRate > 0 || w.maxExtraDelay > 0 || !isUndisturbed(everyHost) || !isUndisturbed(node.name) || !node.up {
		return false
	}
	isUp, reachable := [memberCount]bool{}, [memberCount]int{}
	for i, member := range w.members {
		if !isUndisturbed(hostOf(member.name)) || member.maxExtraSyncDelay > 0 || now-member.stalledUntil < inTouchAfter {
			return false
		}
		isUp[i] = member.up && w.registries[i].up
	}
	isConnected := func(a, b string) bool {
		return !w.partitionedLinks[[2]string{a, b}] && !w.partitionedLinks[[2]string{b, a}]
	}
	hasMajority := false
	for i := range memberCount {
		for j := range memberCount {
			if isUp[i] && isUp[j] && isConnected("core-"+memberName(i), "core-"+memberName(j)) {
				reachable[i]++
			}
		}
		if reachable[i] > memberCount/2 {
			hasMajority = true
			if !isConnected("core-"+memberName(i), node.name) {
				return false
			}
		}
	}
	return hasMajority
}

// everyHost is disturbed when all links are.
const everyHost = "every site"
