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

// inTouchFor is how long nothing may have troubled a machine, or the core, for it to be in touch.
const inTouchFor = 3 * time.Second

// sitting is a session with a registry as the world carries it: what the registry sends comes in
// order, or not at all any more.
type sitting struct {
	server     *registryNode
	serverLife int
	client     *machine
	clientLife int
	position   *registry.SessionCursor
	peer       bool
	trial      bool // the client has another session
	setup      uint64
	members    uint32
	begun      bool
	cores      bool
	sent       time.Duration    // last
	arrives    time.Duration    // what was sent last
	came       []*schema.Update // and not taken yet, as by a frozen client
	over       bool             // nothing goes through it any more
	take       func(*schema.Update)
}

// areaOfSeat is where a core machine stands.
func (w *World) areaOfSeat(i int) string { return w.areaOf(i) }

// coresOf is what registries tell of themselves.
func (w *World) coresOf() []*schema.CoreMember {
	var cores []*schema.CoreMember
	for i, node := range w.regs {
		cores = append(cores, &schema.CoreMember{Id: seatName(i), Address: node.name, Zone: w.areaOfSeat(i)})
	}
	return cores
}

func (w *World) regCalled(name string) *registryNode {
	for _, node := range w.regs {
		if node.name == name {
			return node
		}
	}
	return nil
}

// cutEither tells whether a link is cut in one direction or the other: no session stands on it.
func (w *World) cutEither(a, b *machine) bool { return w.isCut(a, b) || w.isCut(b, a) }

// sit opens a session; asked runs at the registry once it is reached.
func (w *World) sit(one *sitting, asked func()) {
	one.clientLife = one.client.life
	w.deliver(one.client, &one.server.machine, func() {
		if one.over {
			return
		}
		one.serverLife = one.server.life
		asked()
		w.serveSitting(one)
	})
}

// broken tells whether the registry's side of a session finds it ended.
func (one *sitting) broken() bool {
	return one.over || !one.client.up || one.client.life != one.clientLife
}

// serveSitting sends what is new, and a sign of life now and then.
func (w *World) serveSitting(one *sitting) {
	server := one.server
	if one.broken() {
		one.over = true
		if !one.peer {
			server.table.CloseSession(w.ageOf(server), one.client.name)
		}
		return
	}
	news, worth := w.newsFor(one)
	beats := time.Duration(1)
	if one.peer {
		beats = 4
	}
	if worth || w.now-one.sent >= beats*servingLease/session.HeartbeatsPerLease {
		one.sent = w.now
		delay, lost := w.passes(&server.machine, one.client, w.dice)
		if lost || w.cutEither(&server.machine, one.client) {
			// A link on which nothing is acknowledged is ended after a while.
			w.on(&server.machine, servingLease/8, func() { one.over = true; w.serveSitting(one) })
			return
		}
		one.arrives = max(one.arrives+1, w.now+delay)
		w.after(one.arrives-w.now, func() {
			if !w.isCut(&server.machine, one.client) && one.client.life == one.clientLife {
				one.came = append(one.came, news)
				w.on(one.client, 0, func() {
					first := one.came[0]
					one.came = one.came[1:]
					if !one.over {
						one.take(first)
					}
				})
			} else {
				one.over = true
			}
		})
	}
	w.on(&server.machine, poll, func() { w.serveSitting(one) })
}

// newsFor is what a registry's daemon makes for a session.
func (w *World) newsFor(one *sitting) (news *schema.Update, worth bool) {
	node := one.server
	now := w.ageOf(node)
	news = &schema.Update{}
	for _, source := range node.table.NextUpdates(now, one.position) {
		news.Sources = append(news.Sources, proto.Clone(source).(*schema.Source))
	}
	age, known := node.table.Staleness(now)
	news.StalenessKnown, news.StalenessNanos = known, int64(age)
	if node.table.GrantsLeases(now) || now >= servingLease/2 {
		if news.Revision = node.table.CommittedRevision(); !one.peer && news.Revision > one.setup {
			news.Items, news.Complete = node.state.ChangesAfter(one.setup)
			one.setup, worth = news.Revision, true
		}
	} else {
		news.StalenessKnown = false
	}
	if !one.cores {
		one.cores, news.CoreMembers, worth = true, w.coresOf(), true
	}
	if members := uint32(node.table.LiveProxies(now)); !one.peer && members != one.members {
		one.members, news.FleetSize, worth = members, members, true
	}
	if one.peer {
		news.Reachable = node.table.ReachableRegistries(now)
	}
	worth = worth || !one.begun || len(news.Sources) > 0
	one.begun = true
	return news, worth
}

// ---- registries ----

// serveCore starts the part of a registry's life that is about sessions.
func (w *World) serveCore(node *registryNode) {
	node.table.SetMemberCount(seatCount)
	node.sits = map[string]*sitting{}
	w.every(&node.machine, poll, func() {
		if beside := node.beside; w.standing(&beside.machine) {
			if stable, _ := beside.seat.Committed(); stable >= node.table.CommittedRevision() {
				if age, known := beside.seat.CommittedAge(beside.clock.at(w.now)); known {
					node.table.ConfirmCurrent(w.ageOf(node) - age)
				}
			}
		}
	})
	for _, other := range w.regs {
		if other == node {
			continue
		}
		heard := time.Duration(0)
		w.every(&node.machine, poll, func() {
			held := node.sits[other.name]
			silent := w.now-heard > servingLease
			if held != nil && !held.over && !silent && (other.life == held.serverLife || held.serverLife == 0) {
				return
			}
			if held != nil {
				held.over = true
			}
			heard = w.now
			vector, seat := node.table.Vector(), node.table.MemberID()
			one := &sitting{server: other, client: &node.machine, peer: true}
			one.take = func(news *schema.Update) {
				heard = w.now
				for _, source := range news.Sources {
					node.table.MergeSource(w.ageOf(node), source)
				}
				node.table.RecordPeerHeard(w.ageOf(node), other.table.MemberID(), news.Reachable)
			}
			node.sits[other.name] = one
			w.sit(one, func() {
				other.table.ObserveVector(w.ageOf(other), vector)
				one.position = registry.NewSessionCursor(node.name, seat, vector)
			})
		})
	}
}

// ---- proxies ----

// nextIncarnation is one above all seen, with bits of the world's own.
func (w *World) nextIncarnation(seen uint64) uint64 {
	const shift = 32
	return (seen>>shift+1)<<shift | uint64(w.next())
}

// serveEdge starts the part of a proxy's life that is about sessions.
func (w *World) serveEdge(node *proxyNode) {
	node.incarnation, node.told = w.nextIncarnation(0), 0
	lag := float64(servingLease) / session.MaxStalenessDivisor
	if w.plant == PlantStays {
		lag = float64(time.Hour)
	}
	var seeds []string
	for _, reg := range w.regs {
		seeds = append(seeds, reg.name)
	}
	node.tie = session.NewRegistrySelector(session.SelectorOptions{ProxyName: node.name, Zone: w.areaOf(node.index), HeartbeatInterval: servingLease / session.HeartbeatsPerLease,
		HeartbeatTimeout: servingLease / session.HeartbeatTimeoutDivisor, MaxStaleness: time.Duration(lag), FailureCooldown: servingLease}, seeds)
	node.sits, node.untold = map[string]*sitting{}, false
	w.every(&node.machine, poll, func() {
		now := node.clockOf(w.now)
		for _, reg := range w.regs {
			held := node.sits[reg.name]
			// A dead process's links are reset, as soon as that gets through.
			if held != nil && (held.over || !reg.up || (held.serverLife != 0 && reg.life != held.serverLife)) && !w.cutEither(&node.machine, &reg.machine) {
				held.over = true
				delete(node.sits, reg.name)
				w.heed(node, node.tie.RecordSessionEnd(now, reg.name))
			}
		}
		w.heed(node, node.tie.Tick(now))
		if node.untold && node.tie.Current() != "" && w.now-node.toldAt > servingLease/session.RenewalsPerLease {
			w.tell(node, true)
		}
	})
	w.every(&node.machine, servingLease/session.HeartbeatsPerLease, node.workers.DropUnresponsive)
}

// heed carries out what a proxy's tie wants.
func (w *World) heed(node *proxyNode, acts []session.Action) {
	for _, act := range acts {
		if held := node.sits[act.Address]; held != nil {
			held.over = true
			delete(node.sits, act.Address)
		}
		if !act.Open {
			continue
		}
		reg, held, told := w.regCalled(act.Address), node.journal.View(), (*schema.Source)(nil)
		if !act.Candidate {
			source := node.source(w.areaOf(node.index))
			held = node.journal.Append(proxy.Event{At: node.clockOf(w.now), Sources: []*schema.Source{source}})
			told = proto.Clone(source).(*schema.Source)
		}
		vector := held.Vector()
		one := &sitting{server: reg, client: &node.machine, setup: held.ConfigRevision(), trial: act.Candidate}
		one.take = func(news *schema.Update) { w.takeNews(node, act.Address, news) }
		node.sits[act.Address] = one
		w.sit(one, func() {
			reg.table.ObserveVector(w.ageOf(reg), vector)
			one.position = registry.NewSessionCursor(node.name, "", vector)
			if act.Candidate {
				reg.table.OpenProvisionalSession(node.name)
			} else {
				reg.table.OpenSession(w.ageOf(reg), told)
			}
		})
	}
	// A session on trial that is taken makes its registry the one to mind this proxy.
	if current := node.sits[node.tie.Current()]; current != nil && current.trial {
		current.trial = false
		w.tell(node, true)
	}
}

// takeNews does what a proxy's daemon does with what a session brings.
func (w *World) takeNews(node *proxyNode, address string, news *schema.Update) {
	now := node.clockOf(w.now)
	before := node.journal.View().ConfigRevision()
	if news.Revision > before || len(news.Sources) > 0 {
		event := proxy.Event{At: now, ConfigRevision: news.Revision, Items: news.Items, Complete: news.Complete, Sources: news.Sources}
		if w.plant == PlantRevives {
			event.Complete = false
		}
		picture := node.journal.Append(event)
		node.facts.Retain(picture.KnownWorkers())
		if picture.ConfigRevision() > before {
			w.History.applied(w.now, node)
		}
	}
	for _, source := range news.Sources {
		if source.Name == node.name && session.IsSuperseded(node.incarnation, source.Version.GetIncarnation(), source.Version.GetEnded()) {
			node.incarnation = w.nextIncarnation(source.Version.GetIncarnation())
			w.tell(node, true)
		}
	}
	if news.FleetSize > 0 {
		node.told = int64(news.FleetSize)
	}
	node.members.Store(node.fleet.Observe(now, node.told))
	node.tie.SetCoreMembers(news.CoreMembers)
	w.heed(node, node.tie.RecordHeartbeat(now, address, news.StalenessKnown, time.Duration(news.StalenessNanos)))
}

// tellSitting tells a registry in session what is new; it is told again if no word of it comes.
func (w *World) tellSitting(node *proxyNode, report *schema.ProxyReport, answered func(told []*schema.Canary)) {
	target := w.regCalled(node.tie.Current())
	if report.Source != nil {
		node.untold, node.toldAt = true, w.now
	}
	if target == nil {
		return
	}
	life, counter := node.life, node.counter
	sent := proto.Clone(report).(*schema.ProxyReport)
	w.deliver(&node.machine, &target.machine, func() {
		target.table.ApplyReport(w.ageOf(target), sent)
		told := target.table.CanaryGrants(w.ageOf(target))
		w.deliver(&target.machine, &node.machine, func() {
			if node.life == life {
				if node.counter == counter && report.Source != nil {
					node.untold = false
				}
				answered(told)
			}
		})
	})
}

// ---- who is in touch ----

// disturb notes that something was done to a site.
func (w *World) disturb(until time.Duration, sites ...string) {
	for _, one := range sites {
		w.disturbed[one] = max(w.disturbed[one], until)
	}
}

// calm tells whether nothing troubled a proxy's own machine for a while.
func (w *World) calm(node *proxyNode) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	at, known := w.disturbed[node.name]
	return !known || w.time()-at >= inTouchFor
}

// inTouch tells whether what is promised binds a proxy: nothing troubled it for a while, the core
// is settled, and it reaches every core machine that itself reaches most of the core.
func (w *World) inTouch(node *proxyNode) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	now := w.time()
	calm := func(site string) bool { at, known := w.disturbed[site]; return !known || now-at >= inTouchFor }
	if w.loss > 0 || w.slow > 0 || !calm(everySite) || !calm(node.name) || !node.up {
		return false
	}
	runs, reaches := [seatCount]bool{}, [seatCount]int{}
	for i, seat := range w.seats {
		if !calm(site(seat.name)) || seat.slowBy > 0 || now-seat.stalledTo < inTouchFor {
			return false
		}
		runs[i] = seat.up && w.regs[i].up
	}
	whole := func(a, b string) bool { return !w.cuts[[2]string{a, b}] && !w.cuts[[2]string{b, a}] }
	settled := false
	for i := range seatCount {
		for j := range seatCount {
			if runs[i] && runs[j] && whole("core-"+seatName(i), "core-"+seatName(j)) {
				reaches[i]++
			}
		}
		if reaches[i] > seatCount/2 {
			settled = true
			if !whole("core-"+seatName(i), node.name) {
				return false
			}
		}
	}
	return settled
}

// everySite is disturbed when all links are.
const everySite = "every site"
