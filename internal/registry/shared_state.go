package registry

import (
	"context"
	"sync"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// Intervals: a lease divided by the constant.
const (
	retryIntervalDivisor = 40  // interval between attempts of a call that fails
	batchDivisor         = 400 // time for which updates are collected before they are sent together
)

// quickRetries is the number of failures after which the exponential backoff reaches its longest interval, that of
// retryIntervalDivisor. Early retries are quick because at the start of a machine its store comes up shortly after its
// registry, and the member finds the others shortly after that.
const quickRetries = 5

// backoffDivisor returns the number by which to divide a lease for the wait after a number of consecutive failures,
// from 1.
func backoffDivisor(failures int) int { return retryIntervalDivisor << max(0, quickRetries-failures) }

// sharedState is the state that the components of one registry share.
type sharedState struct {
	config      *serverConfig
	startedAt   time.Time // start of the registry, from which now counts
	incarnation uint64    // incarnation of this registry process

	// lock guards all fields below together: a reader of a revision, the configuration and the channel that announces
	// the next revision needs a consistent set. It is not held during RPCs or while waiting on a channel. Components
	// whose own fields are guarded by it say so at their declaration.
	lock         sync.Mutex
	fleetState   *FleetState
	reservations *ReservationTable
	membership   *membership
	configCache  *configCache
	// stateChanged is closed and replaced when a change occurred that sessions or waiters for a revision must check.
	// A waiter must read it under the same hold of lock under which it found its condition false, or it misses the
	// wake-up.
	stateChanged chan struct{}
	// heartbeatTick is closed and replaced at every heartbeat tick.
	heartbeatTick chan struct{}
}

func newSharedState(cfg *serverConfig, live *liveOptions, incarnation uint64) *sharedState {
	members := newMembership(cfg, live, incarnation)
	memberCount := members.count()
	s := &sharedState{
		config:      cfg,
		startedAt:   time.Now(),
		incarnation: incarnation,
		fleetState: NewFleetState(FleetStateOptions{
			MemberID:      cfg.memberID,
			Lease:         cfg.lease,
			MaxSources:    int(cfg.maxSources),
			MaxCounts:     int(cfg.maxCounts),
			WithoutLeases: cfg.acknowledgesAfterCommit,
		}),
		reservations: NewReservationTable(ReservationOptions{
			Lease:           cfg.lease,
			Window:          cfg.reservationWindow,
			MaxReservations: int(cfg.maxReservations),
			MemberCount:     memberCount,
		}),
		membership:    members,
		configCache:   newConfigCache(),
		stateChanged:  make(chan struct{}),
		heartbeatTick: make(chan struct{}),
	}
	s.fleetState.SetMemberCount(memberCount)
	return s
}

// now returns the time since the registry started, which is the time base of all state.
func (s *sharedState) now() time.Duration { return time.Since(s.startedAt) }

// broadcastChangeLocked wakes all goroutines that wait for stateChanged. The caller holds the lock.
func (s *sharedState) broadcastChangeLocked() {
	close(s.stateChanged)
	s.stateChanged = make(chan struct{})
}

// awaitCommitted waits until this registry has a revision, and reports whether that happened before ctx ended.
// onReached, if not nil, is called under the same hold of the lock under which the revision was found.
func (s *sharedState) awaitCommitted(ctx context.Context, revision uint64, onReached func()) bool {
	for ctx.Err() == nil {
		s.lock.Lock()
		reached := s.fleetState.committedRevision >= revision
		if reached && onReached != nil {
			onReached()
		}
		stateChanged := s.stateChanged
		s.lock.Unlock()
		if reached {
			return true
		}
		select {
		case <-stateChanged:
		case <-ctx.Done():
		}
	}
	return false
}

// committedRevision returns the revision of the configuration that this registry has; zero for none.
func (s *sharedState) committedRevision() uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.fleetState.committedRevision
}

// compiledConfig returns the compiled committed configuration and the items from which it was compiled.
func (s *sharedState) compiledConfig() (*config.Snapshot, config.State) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.configCache.compiled(s.fleetState.committedRevision), s.configCache.state
}

// memberCount returns the number of core members.
func (s *sharedState) memberCount() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.membership.count()
}

// sources returns all sources of the service directory, sorted by name. Stored sources are immutable.
func (s *sharedState) sources() []*schema.Source {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.fleetState.SourcesNewerThan(s.now(), nil)
}

// localCounts returns the call counts that proxies reported to this registry: see FleetState.ReportedCounts.
func (s *sharedState) localCounts(workCountsOnly bool) *schema.CountsReply {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.fleetState.ReportedCounts(s.now(), workCountsOnly)
}

// setCanaryGrants stores the canary grants of the rollout controller, which runs here or on another member.
func (s *sharedState) setCanaryGrants(grants []*schema.Canary) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.fleetState.SetCanaryGrants(s.now(), grants)
}

// compareLeaseLocked records whether a node is configured with another lease duration. leaseNanos is the node's lease
// in nanoseconds; zero if it did not send one. The caller holds the lock.
func (s *sharedState) compareLeaseLocked(node string, leaseNanos int64) {
	s.fleetState.CompareSetting(node, "lease", time.Duration(leaseNanos).String(), s.config.lease.String(), leaseNanos != 0)
}

// waitLeaseFraction waits for a lease divided by divisor, or until ctx ends.
func (s *sharedState) waitLeaseFraction(ctx context.Context, divisor int) {
	wait(ctx, s.config.lease/time.Duration(divisor))
}

// wait waits for a duration, or until ctx ends.
func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
