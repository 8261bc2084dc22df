package store

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"

	"meadowhinge/internal/config"
	"meadowhinge/internal/daemon"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/options"
	"meadowhinge/internal/statuspage"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// Server runs a replica: its clock, its disk, its links.
type Server struct {
	schema.DRPCStoreUnimplementedServer
	initialOptions     *schema.StoreOptions // as they were at the start
	transport          *transport.Transport
	log                logr.Logger
	ctx                context.Context
	started            time.Time
	processIncarnation uint64 // tells this process's tickets from those of others

	lock             sync.Mutex
	liveOptions      *schema.StoreOptions // as they are now, where they may change
	replica          *Replica
	tickets          map[string]chan any
	lastTicketID     uint64
	committedChanged chan struct{} // closed and replaced when the committed state moves
	lastCommitted    uint64
	progress         [3]uint64
	stageTimes       map[uint64]*[3]int64 // by sequence: when it was taken, synced, committed
	outboxes         map[string]chan *schema.ReplicaMessage
	pendingWrites    []Persist     // waiting to be synced; bounded by what the replica admits
	writeSignal      chan struct{} // tells the writer that there is something to do
	timer            *time.Timer   // of the replica's next tick
	nextTickAt       time.Duration
}

// Log is a disk as the daemon uses it: what Write returned for is synced.
type Log interface {
	Write(records []*schema.Record, whole bool) error
	Close() error
}

// Option changes how a store runs.
type Option func(*runOptions)

type runOptions struct{ wrapLog func(Log) Log }

// WithLogWrapper puts something between the daemon and its disk, as rehearsals do to make it slow.
func WithLogWrapper(wrapLog func(Log) Log) Option { return func(r *runOptions) { r.wrapLog = wrapLog } }

// Run serves a store until ctx ends.
func Run(ctx context.Context, frame *daemon.Environment, opts *schema.StoreOptions, runOpts ...Option) error {
	run := &runOptions{wrapLog: func(recordLog Log) Log { return recordLog }}
	for _, apply := range runOpts {
		apply(run)
	}
	rpcTransport, err := newTransport(opts)
	if err != nil {
		return err
	}
	defer rpcTransport.Close()
	staticMembers := options.SplitList(opts.Order)
	if self := rpcTransport.Self(); self.Role != "store" || self.Name != opts.Seat {
		return errs.New(errs.InvalidOptions, fmt.Sprintf("certificate is for %s %q, not store %q", self.Role, self.Name, opts.Seat))
	}
	if len(staticMembers) > 0 && !slices.Contains(staticMembers, opts.Seat) {
		return errs.New(errs.InvalidOptions, "seat: is not in order")
	}
	replicaCfg := replicaConfig(opts)
	recordLog, records := openLogWithRetry(ctx, frame.Log, opts, replicaCfg, run.wrapLog)
	if recordLog == nil {
		return nil
	}
	defer recordLog.Close()
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return errs.Wrap(err, errs.InvalidOptions, "listen")
	}
	s := &Server{initialOptions: opts, liveOptions: opts, transport: rpcTransport, log: frame.Log, started: time.Now(), processIncarnation: rand.Uint64(), ctx: ctx, tickets: map[string]chan any{}, stageTimes: map[uint64]*[3]int64{},
		committedChanged: make(chan struct{}), outboxes: map[string]chan *schema.ReplicaMessage{}, writeSignal: make(chan struct{}, 1), timer: time.NewTimer(0)}
	s.replica = NewReplica(replicaCfg, 0, records)
	frame.WatchSettings(ctx, optionsPollTimeouts*replicaCfg.HeartbeatTimeout, func(now proto.Message) { s.applyOptions(now.(*schema.StoreOptions)) })
	go s.writeLoop(ctx, recordLog)
	mux := drpcmux.New()
	if err := schema.DRPCRegisterStore(mux, s); err != nil {
		return errs.Wrap(err, errs.Internal, "mux")
	}
	frame.AddPage("/certificate", rpcTransport.Certificate)
	frame.AddPage("/traffic", func() any { return rpcTransport.Traffic() })
	frame.AddPage("/status", func() any { return statuspage.ReplicaOf(s.status()) })
	if opts.ProbeListen != "" {
		if err := frame.ServeProbes(opts.ProbeListen, s.readiness); err != nil {
			return err
		}
	}
	served := make(chan error, 1)
	go func() { served <- rpcTransport.Serve(ctx, listener, mux, "store", "registry") }()
	frame.Log.V(1).Info("store up", "replica", opts.Seat, "listen", opts.Listen, "records", len(records))

	defer s.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			frame.Draining.Store(true)
			return nil
		case err := <-served:
			return err
		case <-s.timer.C:
			s.step(func(now time.Duration) []Action {
				s.nextTickAt = 0
				return s.replica.Tick(now)
			})
		}
	}
}

// optionsPollTimeouts is how many silence bounds lie between two looks at the settings file.
const optionsPollTimeouts = 4

// applyOptions goes on by settings that have changed.
func (s *Server) applyOptions(updated *schema.StoreOptions) {
	s.step(func(at time.Duration) []Action {
		s.liveOptions = updated
		return s.replica.SetLimits(at, replicaConfig(updated))
	})
}

// currentOptions are the settings in force, as far as they may change.
func (s *Server) currentOptions() *schema.StoreOptions {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.liveOptions
}

// newTransport makes the links' ends: with keys, or plain ones that need none.
func newTransport(opts *schema.StoreOptions) (*transport.Transport, error) {
	if opts.Links == plaintextLinks {
		return transport.NewPlaintext("store", opts.Seat, nil, transport.WithLocalAddress(opts.Listen)), nil
	}
	return transport.NewTLS(opts.Certificate, opts.Authority, transport.WithLocalAddress(opts.Listen))
}

const plaintextLinks = "plain"

// replicaConfig makes a replica's options. Without an order members are named by their IPs, and the
// seeds are the first members where all of them start for the first time.
func replicaConfig(opts *schema.StoreOptions) Config {
	cfg := Config{Name: opts.Seat, StaticMembers: options.SplitList(opts.Order), Address: opts.Advertise, ToleratedLosses: int(opts.Losses), NewIncarnation: randomIncarnation,
		HeartbeatTimeout: time.Duration(opts.Silence), StallTimeout: time.Duration(opts.Stall), MaxEntries: int(opts.EntriesMost),
		MaxOutcomes: int(opts.OutcomesMost), MaxUncommittedEntries: int(opts.Buffer), MaxOperatorTombstones: int(opts.DroppedMost)}
	if cfg.Address == "" {
		cfg.Address = opts.Listen
	}
	if len(cfg.StaticMembers) > 0 {
		return cfg
	}
	for _, seed := range options.SplitList(opts.Seeds) {
		if address, err := netip.ParseAddrPort(seed); err == nil {
			cfg.Seeds = append(cfg.Seeds, address.Addr().String())
		}
	}
	slices.Sort(cfg.Seeds)
	cfg.Seeds = slices.Compact(cfg.Seeds)
	if opts.Founding && slices.Contains(cfg.Seeds, cfg.Name) {
		cfg.Founders = cfg.Seeds
	}
	cfg.ExpandsMembership = opts.Founding && cfg.Founders == nil
	return cfg
}

// randomIncarnation draws an incarnation: there is nobody to ask, and only whether two are equal matters.
func randomIncarnation() uint64 { return 1 + rand.Uint64N(math.MaxUint64-1) }

// openLogWithRetry opens the log, and writes the first record of an empty one. A disk that refuses is
// asked again until ctx ends; then it gives nil.
func openLogWithRetry(ctx context.Context, log logr.Logger, opts *schema.StoreOptions, cfg Config, wrapLog func(Log) Log) (Log, []*schema.Record) {
	for {
		recordLog, records, err := tryOpenLog(log, opts, cfg, wrapLog)
		if err == nil {
			return recordLog, records
		}
		log.Error(err, "the disk refuses; asking it again")
		select {
		case <-ctx.Done():
			return nil, nil
		case <-time.After(cfg.StallTimeout / retriesPerStallTimeout):
		}
	}
}

func tryOpenLog(log logr.Logger, opts *schema.StoreOptions, cfg Config, wrapLog func(Log) Log) (Log, []*schema.Record, error) {
	opened, records, err := Open(opts.Data)
	if err != nil && errs.CodeOf(err) == errs.DiskCorrupt {
		// Rot: the replica starts empty and is refilled by the others.
		log.Error(err, "log is corrupt and set aside; refilling from the other members")
		if err = SetAside(opts.Data); err == nil {
			opened, records, err = Open(opts.Data)
		}
	}
	if err != nil {
		return nil, nil, err
	}
	recordLog := wrapLog(opened)
	if len(records) == 0 {
		records = []*schema.Record{InitialRecord(cfg, randomIncarnation())}
		if err := recordLog.Write(records, true); err != nil {
			recordLog.Close()
			return nil, nil, err
		}
	}
	return recordLog, records, nil
}

// retriesPerStallTimeout is how often, in a stall bound, a disk that refuses is asked again.
const retriesPerStallTimeout = 8

// storeAddress is where a replica named by its IP stands: every store has the same port.
func storeAddress(opts *schema.StoreOptions, name string) string {
	own, err := netip.ParseAddrPort(opts.Listen)
	address, nameErr := netip.ParseAddr(name)
	if err != nil || nameErr != nil {
		return ""
	}
	return netip.AddrPortFrom(address, own.Port()).String()
}

func (s *Server) readiness() daemon.Readiness {
	status := s.status()
	if status.Leader == "" || !status.Member || status.Unfit {
		return daemon.Readiness{Reason: string(errs.NoQuorum)}
	}
	return daemon.Readiness{Ready: true}
}

func (s *Server) status() *schema.ReplicaStatus {
	s.lock.Lock()
	defer s.lock.Unlock()
	status := s.replica.Status()
	status.RefusedPeers = s.transport.RejectedPeers.Load()
	age, known := s.replica.CommittedAge(time.Since(s.started))
	status.StalenessKnown, status.StalenessNanos = known, int64(age)
	return status
}

// step runs one event through the replica and hands out its actions.
func (s *Server) step(event func(now time.Duration) []Action) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.dispatchActions(event(time.Since(s.started)))
}

// dispatchActions hands actions out; the caller holds the lock.
func (s *Server) dispatchActions(actions []Action) {
	for _, action := range actions {
		switch typed := action.(type) {
		case Send:
			// A full buffer means the peer is slow or gone; what is lost is sent again.
			select {
			case s.outbox(typed.Message.To) <- typed.Message:
			default:
			}
		case Persist:
			s.pendingWrites = append(s.pendingWrites, typed)
			select {
			case s.writeSignal <- struct{}{}:
			default:
			}
		case Reply:
			s.completeTicket(typed.Result.Ticket, typed.Result)
		case ReadIndexReady:
			s.completeTicket(typed.Result.Ticket, typed.Result)
		}
	}
	if next := s.replica.NextTickAt(); s.nextTickAt == 0 || next < s.nextTickAt {
		s.nextTickAt = next
		s.timer.Reset(next - time.Since(s.started))
	}
	s.recordStageTimes()
	if committed, _ := s.replica.Committed(); committed != s.lastCommitted {
		s.lastCommitted = committed
		close(s.committedChanged)
		s.committedChanged = make(chan struct{})
	}
}

// maxStageTimes is how many sequences the tracer can still be told of.
const maxStageTimes = 4096

// recordStageTimes writes down when sequences were first appended, durable and committed here; the caller
// holds the lock.
func (s *Server) recordStageTimes() {
	reached := s.replica.Progress()
	if reached == s.progress {
		return
	}
	nanos := time.Now().UnixNano()
	for stage := range reached {
		// A snapshot can bring many sequences at once; only the last of them were ever asked about.
		from := max(s.progress[stage]+1, reached[stage]-min(reached[stage], maxStageTimes)+1)
		for sequence := from; sequence <= reached[stage]; sequence++ {
			if s.stageTimes[sequence] == nil {
				s.stageTimes[sequence] = &[3]int64{}
			}
			s.stageTimes[sequence][stage] = nanos
			delete(s.stageTimes, sequence-min(sequence, maxStageTimes))
		}
	}
	s.progress = reached
}

// Trace tells when a change was where in this store.
func (s *Server) Trace(_ context.Context, request *schema.ChangeQuery) (*schema.ReplicaTrace, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	trace := &schema.ReplicaTrace{Replica: s.initialOptions.Seat, Leader: s.replica.Status().Leader}
	trace.Outcome, trace.Known = s.replica.AppendedOutcome(request.ChangeId)
	if trace.Known {
		if times := s.stageTimes[trace.Outcome.Version.Sequence]; times != nil {
			trace.Appended, trace.Durable, trace.Committed = times[0], times[1], times[2]
		}
	}
	return trace, nil
}

func (s *Server) completeTicket(ticket string, result any) {
	if results, found := s.tickets[ticket]; found {
		delete(s.tickets, ticket)
		results <- result
	}
}

// writeLoop syncs records in order; whatever piled up during one sync goes into the next.
func (s *Server) writeLoop(ctx context.Context, recordLog Log) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.writeSignal:
		}
		s.lock.Lock()
		batch := s.pendingWrites
		s.pendingWrites = nil
		s.lock.Unlock()
		// Records before a whole one can go, so each whole one closes its group.
		var records []*schema.Record
		for i, write := range batch {
			records = append(records, write.Record)
			if !write.ReplacesLog && i < len(batch)-1 {
				continue
			}
			if err := recordLog.Write(records, write.ReplacesLog); err != nil {
				s.log.Error(err, "the disk refuses a write; the whole state is written again until it takes it")
				if !s.rewriteSnapshot(ctx, recordLog) {
					return
				}
				break // what is left of the batch is in what was written
			}
			records = nil
			s.step(func(now time.Duration) []Action { return s.replica.Persisted(now, write.WriteID) })
		}
	}
}

// rewriteSnapshot writes the whole state, again and again, to a disk that refused a write.
func (s *Server) rewriteSnapshot(ctx context.Context, recordLog Log) bool {
	for {
		s.step(func(now time.Duration) []Action { return s.replica.DiskFailed(now) })
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Duration(s.currentOptions().Stall) / retriesPerStallTimeout):
		}
		s.lock.Lock()
		// It stands for everything that waits to be written.
		s.pendingWrites = nil
		s.dispatchActions(s.replica.RewriteSnapshot(time.Since(s.started)))
		snapshot := s.pendingWrites[0]
		s.pendingWrites = s.pendingWrites[1:]
		s.lock.Unlock()
		if recordLog.Write([]*schema.Record{snapshot.Record}, true) == nil {
			s.step(func(now time.Duration) []Action { return s.replica.Persisted(now, snapshot.WriteID) })
			return true
		}
	}
}

// outbox is where messages for a replica wait to be posted; the caller holds the lock.
func (s *Server) outbox(name string) chan *schema.ReplicaMessage {
	if s.outboxes[name] == nil {
		s.outboxes[name] = make(chan *schema.ReplicaMessage, s.initialOptions.Buffer)
		go s.sendLoop(s.ctx, name, s.outboxes[name])
	}
	return s.outboxes[name]
}

// addressesOf finds where a replica is reached: where it last spoke from, else every seed.
func (s *Server) addressesOf(name string) (addresses []string, known bool) {
	s.lock.Lock()
	address := s.replica.Addresses()[name]
	s.lock.Unlock()
	// Replicas that are named by their IPs are found by their names.
	if address == "" && s.initialOptions.Order == "" {
		address = storeAddress(s.initialOptions, name)
	}
	if s.initialOptions.Order == "" {
		return []string{address}, true
	}
	if address != "" {
		return append([]string{address}, options.SplitList(s.currentOptions().Seeds)...), true
	}
	return options.SplitList(s.currentOptions().Seeds), false
}

// peerStream is an open stream of messages to one address.
type peerStream struct {
	schema.DRPCStore_DeliverClient
	cancel context.CancelFunc
	header *schema.ReplicaMessage // what its messages have in common
}

// sendLoop sends messages to one replica, in order, as many at once as are waiting.
func (s *Server) sendLoop(ctx context.Context, name string, outbox chan *schema.ReplicaMessage) {
	streams := map[string]*peerStream{}
	for {
		var messages []*schema.ReplicaMessage
		select {
		case <-ctx.Done():
			for _, stream := range streams {
				stream.cancel()
			}
			return
		case first := <-outbox:
			messages = append(messages, first)
		}
		for more := true; more && len(messages) < int(s.initialOptions.Buffer); {
			select {
			case next := <-outbox:
				messages = append(messages, next)
			default:
				more = false
			}
		}
		// A replica may stand at any seed, or have come back elsewhere; messages name whom they are
		// for, and a store that is not the one meant ignores them.
		addresses, known := s.addressesOf(name)
		for _, address := range addresses {
			if s.sendTo(ctx, streams, address, messages) && known {
				break
			}
		}
		for address, stream := range streams {
			if !slices.Contains(addresses, address) {
				stream.cancel()
				delete(streams, address)
			}
		}
	}
}

// sendTo sends messages over the wire to an address. One that was open may have broken long since,
// so a second is tried.
func (s *Server) sendTo(ctx context.Context, streams map[string]*peerStream, address string, messages []*schema.ReplicaMessage) bool {
	for {
		current, existed := streams[address]
		if !existed {
			streamCtx, cancel := context.WithCancel(ctx)
			stream, err := schema.NewDRPCStoreClient(s.transport.Conn(streamCtx, address)).Deliver(streamCtx)
			if err != nil {
				cancel()
				return false
			}
			current = &peerStream{stream, cancel, &schema.ReplicaMessage{}}
			streams[address] = current
		}
		err := current.Send(&schema.ReplicaMessages{Messages: current.compressHeaders(messages)})
		if err == nil {
			return true
		}
		current.cancel()
		delete(streams, address)
		if !existed {
			return false
		}
	}
}

// compressHeaders leaves out of messages what the one before said too: heartbeats are most of what is sent.
func (w *peerStream) compressHeaders(messages []*schema.ReplicaMessage) (compressed []*schema.ReplicaMessage) {
	for _, message := range messages {
		if equalHeaders(message, w.header) {
			message = &schema.ReplicaMessage{Body: message.Body}
		} else {
			w.header = &schema.ReplicaMessage{}
			copyHeader(w.header, message)
		}
		compressed = append(compressed, message)
	}
	return compressed
}

func equalHeaders(a, b *schema.ReplicaMessage) bool {
	return a.From == b.From && a.To == b.To && a.Address == b.Address && a.Incarnation == b.Incarnation && a.Founder == b.Founder
}

// copyHeader puts back what shorten left out.
func copyHeader(message, header *schema.ReplicaMessage) {
	message.From, message.To, message.Address, message.Incarnation, message.Founder = header.From, header.To, header.Address, header.Incarnation, header.Founder
}

// Deliver takes messages from another replica.
func (s *Server) Deliver(stream schema.DRPCStore_DeliverStream) error {
	peer := transport.PeerFromContext(stream.Context())
	header := &schema.ReplicaMessage{}
	for {
		messages, err := stream.Recv()
		if err != nil {
			return nil // whoever sent them has gone
		}
		for _, message := range messages.Messages {
			if message.From == "" {
				copyHeader(message, header)
			} else {
				header = &schema.ReplicaMessage{}
				copyHeader(header, message)
			}
			// Only the replica named in the certificate may speak as that replica.
			if peer.Role != "store" || peer.Name != message.From {
				s.transport.RejectedPeers.Add(1)
				return errs.New(errs.Unauthorized, message.From)
			}
			s.step(func(now time.Duration) []Action { return s.replica.Step(now, message) })
		}
	}
}

// awaitResult runs an event under a new ticket and waits for its end.
func (s *Server) awaitResult(ctx context.Context, event func(now time.Duration, ticket string) []Action) any {
	s.lock.Lock()
	if len(s.tickets) >= int(s.initialOptions.Buffer) {
		s.lock.Unlock()
		return nil
	}
	s.lastTicketID++
	ticket := fmt.Sprintf("%s-%x-%d", s.initialOptions.Seat, s.processIncarnation, s.lastTicketID)
	results := make(chan any, 1)
	s.tickets[ticket] = results
	s.lock.Unlock()
	s.step(func(now time.Duration) []Action { return event(now, ticket) })
	select {
	case result := <-results:
		return result
	case <-ctx.Done():
		s.lock.Lock()
		delete(s.tickets, ticket)
		s.lock.Unlock()
		return nil
	}
}

// Propose takes a change from the registry of this machine and answers once it is settled.
func (s *Server) Propose(ctx context.Context, proposal *schema.Proposal) (*schema.ProposalReply, error) {
	result, _ := s.awaitResult(ctx, func(now time.Duration, ticket string) []Action {
		return s.replica.Propose(now, &schema.Proposal{Ticket: ticket, Change: proposal.Change, ControllerTerm: proposal.ControllerTerm})
	}).(*schema.ProposalReply)
	if result == nil {
		result = &schema.ProposalReply{Undecided: true}
	}
	return result, nil
}

// ReadIndex answers with a committed sequence that no yes given before lies above.
func (s *Server) ReadIndex(ctx context.Context, _ *schema.Empty) (*schema.ReadIndexReply, error) {
	result, _ := s.awaitResult(ctx, func(now time.Duration, ticket string) []Action {
		return s.replica.ReadIndex(now, ticket)
	}).(*schema.ReadIndexReply)
	if result == nil {
		result = &schema.ReadIndexReply{Undecided: true}
	}
	return result, nil
}

// Inquire tells what became of a change.
func (s *Server) Inquire(_ context.Context, request *schema.ChangeQuery) (*schema.ProposalReply, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	outcome, committed := s.replica.CommittedOutcome(request.ChangeId)
	return &schema.ProposalReply{Outcome: outcome, Undecided: !committed}, nil
}

// Follow waits for committed state beyond a sequence and gives what is new.
func (s *Server) Follow(ctx context.Context, request *schema.FollowRequest) (*schema.FollowReply, error) {
	deadline := time.NewTimer(time.Duration(request.WaitNanos))
	defer deadline.Stop()
	for {
		s.lock.Lock()
		committed, state := s.replica.Committed()
		changed := s.committedChanged
		s.lock.Unlock()
		if committed > request.AfterSequence {
			return s.withFreshness(ItemsAfter(state, committed, request.AfterSequence)), nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return s.withFreshness(&schema.FollowReply{Committed: committed}), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// withFreshness adds how fresh the committed state is, and who the members are.
func (s *Server) withFreshness(reply *schema.FollowReply) *schema.FollowReply {
	s.lock.Lock()
	defer s.lock.Unlock()
	age, known := s.replica.CommittedAge(time.Since(s.started))
	reply.StalenessNanos, reply.StalenessKnown, reply.Members = int64(age), known, s.replica.Members()
	return reply
}

// ItemsAfter lists the items of a state newer than a sequence, or all when it is 0.
func ItemsAfter(state config.State, committed, after uint64) *schema.FollowReply {
	reply := &schema.FollowReply{Committed: committed}
	reply.Items, reply.Complete = state.ChangesAfter(after)
	return reply
}

// Look gives the replica's status.
func (s *Server) Look(context.Context, *schema.Empty) (*schema.ReplicaStatus, error) {
	return s.status(), nil
}
