package simulator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/registry"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// A serving world is one whose proxies serve in doubt: they hold sessions in place of leases, and
// a change is acknowledged once it is stable. What is promised then binds machines in touch.

// servingLease is what the ratios of sessions refer to.
const servingLease = 4 * time.Second

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
		sub.sentCoreMembers = true
		update.CoreMembers = w.coreMembers()
		isDue = true
	}
	if fleetSize := uint32(node.table.LiveProxies(now)); !sub.peer && fleetSize != sub.fleetSize {
		sub.fleetSize = fleetSize
		update.FleetSize = fleetSize
		isDue = true
	}
	if sub.peer {
		update.Reachable = node.table.ReachableRegistries(now)
	}
	isDue = isDue || !sub.started || len(update.Sources) > 0
	sub.started = true
	return update, isDue
}
