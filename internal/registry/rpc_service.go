package registry

import (
	"context"
	"fmt"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// digestBytes is the required length of the key and of the body digest in a key reservation, both of which are digests.
const digestBytes = 32

// rpcService serves the RPCs of proxies and of other registries; the transport admits no other peers. Its fields do not
// change after construction.
//
// Lease, Greet, Tell and Attend are for the proxy that the request names. Bar, Counts and Read are for registries, and
// so are Feed and Attend if the request has a member. For any other peer these methods fail with errs.Unauthorized.
// Claim refuses single reservations instead. Look, and Feed without a member, are open to both kinds of peer.
type rpcService struct {
	schema.DRPCRegistryUnimplementedServer
	state     *sharedState
	transport *transport.Transport
	sessions  *sessionServer
	status    *statusReporter
}

func newRPCService(state *sharedState, rpcTransport *transport.Transport, sessions *sessionServer, status *statusReporter) *rpcService {
	return &rpcService{state: state, transport: rpcTransport, sessions: sessions, status: status}
}

// requireProxy fails with errs.Unauthorized unless the peer is the proxy of this name.
func (r *rpcService) requireProxy(ctx context.Context, name string) error {
	if peer := transport.PeerFromContext(ctx); peer.Role != "proxy" || peer.Name != name {
		r.transport.RejectedPeers.Add(1)
		return errs.New(errs.Unauthorized, fmt.Sprintf("peer %s %q is not proxy %q", peer.Role, peer.Name, name))
	}
	return nil
}

// requireRegistry fails with errs.Unauthorized unless the peer is a registry.
func (r *rpcService) requireRegistry(ctx context.Context) error {
	if peer := transport.PeerFromContext(ctx); peer.Role != "registry" {
		r.transport.RejectedPeers.Add(1)
		return errs.New(errs.Unauthorized, fmt.Sprintf("peer %s %q is not a registry", peer.Role, peer.Name))
	}
	return nil
}

// Lease renews a proxy's lease at this registry. The reply also contains the registries' addresses, since a lease needs
// grants from a majority.
func (r *rpcService) Lease(ctx context.Context, request *schema.LeaseRequest) (*schema.LeaseReply, error) {
	if err := r.requireProxy(ctx, request.Proxy); err != nil {
		return nil, err
	}
	s := r.state
	s.lock.Lock()
	defer s.lock.Unlock()
	reply := s.fleetState.RenewLease(s.now(), request)
	reply.CoreMembers = s.membership.reachable()
	reply.CoreSize = uint32(s.membership.count())
	return reply, nil
}

// Greet returns, to a proxy that starts, the highest known incarnation of its name and the workers of its last report.
func (r *rpcService) Greet(ctx context.Context, greeting *schema.IncarnationRequest) (*schema.IncarnationReply, error) {
	if err := r.requireProxy(ctx, greeting.Proxy); err != nil {
		return nil, err
	}
	s := r.state
	s.lock.Lock()
	defer s.lock.Unlock()
	return &schema.IncarnationReply{
		Incarnation: s.fleetState.HighestIncarnation(greeting.Proxy),
		Workers:     s.fleetState.ReportedWorkers(greeting.Proxy),
	}, nil
}

// Feed serves one long poll. It replies once there are updates that the node lacks, or after the requested wait,
// which is at most a lease. Registries set request.Member and get sources; other nodes also get the configuration.
func (r *rpcService) Feed(ctx context.Context, request *schema.FeedRequest) (*schema.FeedReply, error) {
	if request.Member != nil {
		if err := r.requireRegistry(ctx); err != nil {
			return nil, err
		}
	}
	r.observePoll(request)
	deadline := time.NewTimer(min(time.Duration(request.WaitNanos), r.state.config.lease))
	defer deadline.Stop()
	for {
		reply, stateChanged := r.feedReply(request)
		newConfig := request.Member == nil && reply.Revision > request.Revision
		if len(reply.Sources) > 0 || newConfig {
			return reply, nil
		}
		select {
		case <-stateChanged:
		case <-deadline.C:
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// observePoll records what a poll reports about its node: member address, settings and version vector.
func (r *rpcService) observePoll(request *schema.FeedRequest) {
	s := r.state
	s.lock.Lock()
	defer s.lock.Unlock()
	if request.Member != nil {
		if s.membership.observe(request.Member) {
			s.broadcastChangeLocked()
		}
		s.compareLeaseLocked(request.Node, request.LeaseNanos)
		s.fleetState.CompareSetting(request.Node, "order",
			request.MemberList, s.config.memberOrderText, request.MemberList != "")
	}
	s.fleetState.ObserveVector(s.now(), request.Vector)
}

// feedReply returns the current reply to a poll. stateChanged is closed when the reply may have changed.
func (r *rpcService) feedReply(request *schema.FeedRequest) (reply *schema.FeedReply, stateChanged chan struct{}) {
	s := r.state
	s.lock.Lock()
	defer s.lock.Unlock()
	reply = &schema.FeedReply{
		Sources:     s.fleetState.SourcesNewerThan(s.now(), request.Vector),
		Revision:    s.fleetState.committedRevision,
		CoreMembers: s.membership.reachable(),
	}
	incarnationsOf := request.Node
	if request.Member != nil {
		incarnationsOf = "" // a registry gets the incarnation-only sources of all names
	}
	reply.Sources = append(reply.Sources, s.fleetState.IncarnationOnlySources(request.Vector, incarnationsOf)...)
	if request.Member == nil && s.fleetState.committedRevision > request.Revision {
		reply.Items, reply.Complete = s.configCache.changesAfter(request.Revision)
	}
	return reply, s.stateChanged
}

// Attend serves a session, which is a node's subscription to updates, and returns when the session ends. It fails with
// errs.Unauthorized if the request's source has another name than the node, or if a registry asks for a provisional
// session.
func (r *rpcService) Attend(request *schema.SubscribeRequest, stream schema.DRPCRegistry_AttendStream) error {
	ctx := stream.Context()
	fromRegistry := request.Member != nil
	if fromRegistry {
		if err := r.requireRegistry(ctx); err != nil {
			return err
		}
	} else if err := r.requireProxy(ctx, request.Node); err != nil {
		return err
	}
	if (request.Source != nil && request.Source.Name != request.Node) || (request.Tentative && fromRegistry) {
		return errs.New(errs.Unauthorized, fmt.Sprintf("subscription of %q with source %q, provisional %v",
			request.Node, request.Source.GetName(), request.Tentative))
	}
	return r.sessions.serve(request, stream)
}

// Tell records a proxy's report of its workers and call counts, and replies with the current canary grants. It fails
// with errs.Unauthorized if the report's source has another name than the proxy.
func (r *rpcService) Tell(ctx context.Context, report *schema.ProxyReport) (*schema.ReportReply, error) {
	if err := r.requireProxy(ctx, report.Proxy); err != nil {
		return nil, err
	}
	if report.Source != nil && report.Source.Name != report.Proxy {
		return nil, errs.New(errs.Unauthorized,
			fmt.Sprintf("report of proxy %q with source %q", report.Proxy, report.Source.Name))
	}
	s := r.state
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.fleetState.ApplyReport(s.now(), report) {
		s.broadcastChangeLocked()
	}
	return &schema.ReportReply{Canaries: s.fleetState.CanaryGrants(s.now())}, nil
}

// Bar sets a fence for another registry that is waiting for a revision to be acknowledged.
func (r *rpcService) Bar(ctx context.Context, request *schema.FenceRequest) (*schema.FenceReply, error) {
	if err := r.requireRegistry(ctx); err != nil {
		return nil, err
	}
	s := r.state
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.fleetState.SetFence(s.now(), request.Revision), nil
}

// Counts returns, to another registry, the call counts that proxies reported here. The rollout controller's request
// also carries its canary grants.
func (r *rpcService) Counts(ctx context.Context, request *schema.CountsRequest) (*schema.CountsReply, error) {
	if err := r.requireRegistry(ctx); err != nil {
		return nil, err
	}
	if request.Controller != "" {
		r.state.setCanaryGrants(request.Canaries)
	}
	return r.state.localCounts(request.WorkOnly), nil
}

// Look returns this registry's status to any peer.
func (r *rpcService) Look(context.Context, *schema.Empty) (*schema.RegistryStatus, error) {
	return r.status.current(), nil
}

// Claim grants or refuses a proxy's reservations of idempotency keys. The reply has one result for each reservation, in
// the order of the request.
func (r *rpcService) Claim(ctx context.Context, request *schema.ReserveRequest) (*schema.ReserveReply, error) {
	peer := transport.PeerFromContext(ctx)
	s := r.state
	s.lock.Lock()
	defer s.lock.Unlock()
	now := s.now()
	reply := &schema.ReserveReply{Member: s.config.memberID, CoreSize: uint32(s.membership.count())}
	for _, reservation := range request.Reservations {
		if !mayReserve(peer, reservation) {
			s.reservations.Refused++
			reply.Replies = append(reply.Replies,
				&schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_UNAUTHORIZED})
			continue
		}
		reply.Replies = append(reply.Replies, s.reservations.Apply(now, reservation))
	}
	return reply, nil
}

// mayReserve reports whether a peer may make a reservation: it must be the proxy that the reservation names and be
// allowed to call as the reservation's caller. Key and body digest must have the length digestBytes.
func mayReserve(peer transport.Peer, reservation *schema.KeyReservation) bool {
	if peer.Role != "proxy" || peer.Name != reservation.Proxy || !peer.MayCallAs(reservation.Caller) {
		return false
	}
	return len(reservation.Key) == digestBytes && len(reservation.BodyDigest) == digestBytes
}

// Read returns a page of this registry's reservations to another registry that has restarted.
func (r *rpcService) Read(ctx context.Context, request *schema.ReservationsRequest) (*schema.ReservationsPage, error) {
	if err := r.requireRegistry(ctx); err != nil {
		return nil, err
	}
	s := r.state
	s.lock.Lock()
	defer s.lock.Unlock()
	page := s.reservations.Page(s.now(), request.After)
	page.Member = s.config.memberID
	return page, nil
}
