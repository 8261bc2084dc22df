package simulator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/registry"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// servingLease is the base of all intervals and timeouts of sessions, with Options.ServeStale.
const servingLease = 4 * time.Second

// subscription is a session of a proxy or another registry (the client) with a registry (the server). Updates arrive
// in order. The loss of an update ends the subscription. Only events use it.
type subscription struct {
	server     *registryNode
	serverRun  int // run of the server that serves the client; 0 until the request has reached the server
	client     *process
	clientRun  int                  // run of the client that opened the subscription
	peer       bool                 // the client is a registry
	tentative  bool                 // the client probes the server beside its current session
	closed     bool                 // no update is sent or handled anymore
	handle     func(*schema.Update) // applies an update at the client
	inbox      []*schema.Update     // updates that have arrived but are not handled yet, in order
	lastSentAt time.Duration        // virtual time at which the server last sent an update
	// lastArrivalAt is the virtual time at which the last update sent arrives. The next one arrives later, which keeps
	// the order.
	lastArrivalAt time.Duration

	// The state of the server: what it has sent already.
	position        *registry.SessionCursor // position in the sources of the service directory
	revision        uint64                  // revision of the configuration
	fleetSize       uint32                  // last fleet size sent, in proxies
	sentCoreMembers bool                    // the core members have been sent
	started         bool                    // the first update has been sent
}

// coreMembers returns the core members as registries announce them.
func (w *World) coreMembers() []*schema.CoreMember {
	var members []*schema.CoreMember
	for i, node := range w.registries {
		members = append(members, &schema.CoreMember{Id: memberName(i), Address: node.name, Zone: w.zoneOf(i)})
	}
	return members
}

// openSubscription sends the request for a subscription to its server. When the request arrives, onReached runs and
// the server begins to serve.
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

// isBroken reports whether the subscription has ended from the server's point of view.
func (s *subscription) isBroken() bool {
	return s.closed || !s.client.up || s.client.processRun != s.clientRun
}

// serveSubscription sends an update or a heartbeat to the client if one is due, and schedules itself again until the
// subscription ends.
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
	const heartbeatsPerPeerUpdate = 4 // heartbeat intervals of a proxy session in one of a session between registries
	interval := servingLease / session.HeartbeatsPerLease
	if sub.peer {
		interval = heartbeatsPerPeerUpdate * servingLease / session.HeartbeatsPerLease
	}
	if isDue || w.now-sub.lastSentAt >= interval {
		sub.lastSentAt = w.now
		if !w.sendUpdate(sub, update) {
			// The transport closes a connection on which nothing is acknowledged for a while.
			w.scheduleOn(&server.process, servingLease/8, func() {
				sub.closed = true
				w.serveSubscription(sub)
			})
			return
		}
	}
	w.scheduleOn(&server.process, pollInterval, func() { w.serveSubscription(sub) })
}

// sendUpdate sends an update to the client, which handles updates in the order sent. It returns false if the link
// loses the update or is cut.
func (w *World) sendUpdate(sub *subscription, update *schema.Update) bool {
	server := &sub.server.process
	delay, lost := w.sampleLink(server, sub.client, w.random)
	if lost || w.isPartitionedEitherWay(server, sub.client) {
		return false
	}
	sub.lastArrivalAt = max(sub.lastArrivalAt+1, w.now+delay)
	w.schedule(sub.lastArrivalAt-w.now, func() {
		if w.isPartitioned(server, sub.client) || sub.client.processRun != sub.clientRun {
			sub.closed = true
			return
		}
		sub.inbox = append(sub.inbox, update)
		w.scheduleOn(sub.client, 0, func() {
			first := sub.inbox[0]
			sub.inbox = sub.inbox[1:]
			if !sub.closed {
				sub.handle(first)
			}
		})
	})
	return true
}

// nextUpdate returns the next update of a subscription as the server's daemon builds it. isDue reports whether the
// update must be sent without waiting for the next heartbeat. A registry that has just started announces neither its
// configuration nor its staleness.
func (w *World) nextUpdate(sub *subscription) (update *schema.Update, isDue bool) {
	node := sub.server
	now := w.uptime(node)
	update = &schema.Update{}
	for _, source := range node.table.NextUpdates(now, sub.position) {
		update.Sources = append(update.Sources, proto.Clone(source).(*schema.Source))
	}
	staleness, known := node.table.Staleness(now)
	update.StalenessKnown = known
	update.StalenessNanos = int64(staleness)
	if node.table.GrantsLeases(now) || now >= servingLease/2 {
		if update.Revision = node.table.CommittedRevision(); !sub.peer && update.Revision > sub.revision {
			update.Items, update.Complete = node.state.ChangesAfter(sub.revision)
			sub.revision = update.Revision
			isDue = true
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
