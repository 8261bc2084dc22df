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

func (s *Server) status() *schema.ReplicaStatus {
	s.lock.Lock()
	defer s.lock.Unlock()
	status := s.replica.Status()
	status.RefusedPeers = s.transport.RejectedPeers.Load()
	age, known := s.replica.CommittedAge(time.Since(s.started))
	status.StalenessKnown, status.StalenessNanos = known, int64(age)
	return status
}

func (s *Server) readiness() daemon.Readiness {
	status := s.status()
	if status.Leader == "" || !status.Member || status.Unfit {
		return daemon.Readiness{Reason: string(errs.NoQuorum)}
	}
	return daemon.Readiness{Ready: true}
}
