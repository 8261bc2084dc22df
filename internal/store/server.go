package store

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/options"
	"meadowhinge/internal/statuspage"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// Server is a store process: one Replica with its clock, write-ahead log, streams to other replicas and RPC API.
//
// The goroutines are that of Run, which runs the replica's timer, the disk writer, one sender for each other replica,
// and one for each RPC. They pass events to the replica through step.
type Server struct {
	schema.DRPCStoreUnimplementedServer

	// These fields are set by newServer and never modified.
	initialOptions     *schema.StoreOptions // the settings at the start; for settings that may change use currentOptions
	transport          *transport.Transport
	log                logr.Logger
	started            time.Time       // the origin of the replica's clock
	processIncarnation uint64          // random number that distinguishes this process's tickets from those of others
	ctx                context.Context // the context of Run; ends the senders, which any event may start
	writeSignal        chan struct{}   // wakes the disk writer; buffers one signal

	// lock guards the fields below and every call of the replica. It is not held while waiting for disk or network.
	lock             sync.Mutex
	replica          *Replica
	liveOptions      *schema.StoreOptions                   // the settings after the last change of the settings file
	tickets          map[string]chan ticketResult           // requests that wait for a Reply or ReadIndexReady, by ticket
	lastTicketID     uint64                                 // number of the last ticket
	committedChanged chan struct{}                          // closed and replaced when the committed sequence changes
	lastCommitted    uint64                                 // the committed sequence at the last close of committedChanged
	progress         [stageCount]uint64                     // Replica.Progress after the last step
	stageTimes       map[uint64]*[stageCount]int64          // Unix nanoseconds of each stage, 0 for not reached, by sequence
	outboxes         map[string]chan *schema.ReplicaMessage // messages that wait for the sender, by replica name
	pendingWrites    []Persist                              // queue of the disk writer; bounded by what the replica admits
	timer            *time.Timer                            // fires at nextTickAt; runTimer receives from it without lock
	nextTickAt       time.Duration                          // time on the replica's clock; 0 if the timer is not set
}

// Option modifies how Run runs a store.
type Option func(*runOptions)

// runOptions holds what the Options of a Run call set.
type runOptions struct{ wrapLog func(Log) Log }

// WithLogWrapper makes the server use the log that wrapLog returns for the one it has opened. The testbed uses it to slow
// the disk down.
func WithLogWrapper(wrapLog func(Log) Log) Option {
	return func(options *runOptions) { options.wrapLog = wrapLog }
}

// Run serves a store until ctx ends, and then returns nil. It fails with errs.InvalidOptions if the settings contradict
// each other or the certificate, or if the address cannot be listened on. Other errors have the code of what failed. A
// disk that fails is not an error of Run: the server retries until ctx ends.
func Run(ctx context.Context, environment *daemon.Environment, opts *schema.StoreOptions, runOpts ...Option) error {
	run := &runOptions{wrapLog: func(recordLog Log) Log { return recordLog }}
	for _, apply := range runOpts {
		apply(run)
	}
	rpcTransport, err := newTransport(opts)
	if err != nil {
		return err
	}
	defer rpcTransport.Close()
	if err := validateIdentity(rpcTransport, opts); err != nil {
		return err
	}
	cfg := replicaConfig(opts)
	recordLog, records, err := openLogWithRetry(ctx, environment.Log, opts, cfg, run.wrapLog)
	if err != nil {
		return nil // ctx ended before the log could be opened: an ordinary shutdown
	}
	defer func() { _ = recordLog.Close() }() // everything acknowledged is durable already
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return errs.Wrap(err, errs.InvalidOptions, fmt.Sprintf("listen on %q", opts.Listen))
	}
	s := newServer(ctx, environment.Log, opts, rpcTransport)
	s.replica = NewReplica(cfg, 0, records)
	environment.WatchSettings(ctx, optionsPollTimeouts*cfg.HeartbeatTimeout, func(updated proto.Message) {
		s.applyOptions(updated.(*schema.StoreOptions))
	})
	go s.writeLoop(ctx, recordLog)
	mux := drpcmux.New()
	if err := schema.DRPCRegisterStore(mux, s); err != nil {
		return errs.Wrap(err, errs.Internal, "register the store's RPC handlers")
	}
	if err := s.addPages(environment); err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- rpcTransport.Serve(ctx, listener, mux, "store", "registry") }()
	environment.Log.V(1).Info("store serving", "member", opts.Seat, "listen", opts.Listen, "records", len(records))
	return s.runTimer(ctx, environment, served)
}

// validateIdentity checks that the certificate is that of this store, and that a static member list includes the store.
func validateIdentity(rpcTransport *transport.Transport, opts *schema.StoreOptions) error {
	if self := rpcTransport.Self(); self.Role != "store" || self.Name != opts.Seat {
		return errs.New(errs.InvalidOptions, fmt.Sprintf("certificate is for %s %q, not store %q", self.Role, self.Name, opts.Seat))
	}
	staticMembers := options.SplitList(opts.Order)
	if len(staticMembers) > 0 && !slices.Contains(staticMembers, opts.Seat) {
		return errs.New(errs.InvalidOptions, fmt.Sprintf("seat: %q is not listed in order %q", opts.Seat, opts.Order))
	}
	return nil
}

// newServer returns a server without a replica, which the caller sets before it calls anything else. The timer fires at
// once, for the first tick.
func newServer(ctx context.Context, log logr.Logger, opts *schema.StoreOptions, rpcTransport *transport.Transport) *Server {
	return &Server{
		initialOptions:     opts,
		transport:          rpcTransport,
		log:                log,
		started:            time.Now(),
		processIncarnation: rand.Uint64(),
		ctx:                ctx,
		writeSignal:        make(chan struct{}, 1),
		liveOptions:        opts,
		tickets:            map[string]chan ticketResult{},
		committedChanged:   make(chan struct{}),
		stageTimes:         map[uint64]*[stageCount]int64{},
		outboxes:           map[string]chan *schema.ReplicaMessage{},
		timer:              time.NewTimer(0),
	}
}

// addPages adds the store's status pages and, if the settings have an address for it, the readiness probe.
func (s *Server) addPages(environment *daemon.Environment) error {
	environment.AddPage("/certificate", s.transport.Certificate)
	environment.AddPage("/traffic", func() any { return s.transport.Traffic() })
	environment.AddPage("/status", func() any { return statuspage.ReplicaOf(s.status()) })
	if s.initialOptions.ProbeListen == "" {
		return nil
	}
	return environment.ServeProbes(s.initialOptions.ProbeListen, s.readiness)
}

// runTimer ticks the replica until ctx ends or the serving of RPCs ends. In the first case it marks the process as
// draining and returns nil. In the second it returns the error of serving, nil if there was none.
func (s *Server) runTimer(ctx context.Context, environment *daemon.Environment, served <-chan error) error {
	defer s.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			environment.Draining.Store(true)
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

// step passes one event to the replica, under s.lock, and dispatches the resulting actions.
func (s *Server) step(event func(now time.Duration) []Action) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.dispatchActions(event(time.Since(s.started)))
}

// dispatchActions passes the actions of one step to the senders, the disk writer and the waiting requests, and sets the
// timer. The caller holds s.lock.
func (s *Server) dispatchActions(actions []Action) {
	for _, action := range actions {
		switch typed := action.(type) {
		case Send:
			// A full outbox means that the peer is slow or unreachable. The message is dropped; the replica resends
			// whatever must arrive.
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
			s.completeTicket(typed.Result.Ticket, ticketResult{proposal: typed.Result})
		case ReadIndexReady:
			s.completeTicket(typed.Result.Ticket, ticketResult{readIndex: typed.Result})
		}
	}
	s.resetTimer()
	s.recordStageTimes()
	s.notifyCommitted()
}

// resetTimer brings the timer forward if the replica needs its next tick sooner than the timer fires. The caller holds
// s.lock.
func (s *Server) resetTimer() {
	if next := s.replica.NextTickAt(); s.nextTickAt == 0 || next < s.nextTickAt {
		s.nextTickAt = next
		s.timer.Reset(next - time.Since(s.started))
	}
}

// notifyCommitted wakes the Follow calls that wait for a new committed sequence. The caller holds s.lock.
func (s *Server) notifyCommitted() {
	committed, _ := s.replica.Committed()
	if committed == s.lastCommitted {
		return
	}
	s.lastCommitted = committed
	close(s.committedChanged)
	s.committedChanged = make(chan struct{})
}

// status returns the replica's status, completed by the fields that only the server knows.
func (s *Server) status() *schema.ReplicaStatus {
	s.lock.Lock()
	defer s.lock.Unlock()
	status := s.replica.Status()
	status.RefusedPeers = s.transport.RejectedPeers.Load()
	age, known := s.replica.CommittedAge(time.Since(s.started))
	status.StalenessKnown, status.StalenessNanos = known, int64(age)
	return status
}

// readiness returns the answer to the readiness probe: ready while this store is a member, fit to lead, and knows a
// leader.
func (s *Server) readiness() daemon.Readiness {
	status := s.status()
	if status.Leader == "" || !status.Member || status.Unfit {
		return daemon.Readiness{Reason: string(errs.NoQuorum)}
	}
	return daemon.Readiness{Ready: true}
}
