package registry

import (
	"context"
	"sync"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// Fractions of a lease.
const (
	retryIntervalDivisor = 40  // between two attempts of a call that fails
	batchDivisor         = 400 // for which updates are collected before they are sent together
)

// quickRetries is how many attempts are made at shorter and ever longer intervals before those of retryIntervalDivisor. When a
// machine starts, its store is up a moment after its registry, and the member finds the others a moment later still.
const quickRetries = 5

// backoffDivisor is the fraction of a lease to wait after so many failures in a row.
func backoffDivisor(failures int) int { return retryIntervalDivisor << max(0, quickRetries-failures) }

// sharedState is what the components of one registry share.
type sharedState struct {
	config      *serverConfig
	startedAt   time.Time // now counts from here
	incarnation uint64    // of this registry's process

	// lock guards all fields below, together: a reader of a revision, of the configuration and of the channel that announces the
	// next revision needs those of one instant. It is held neither during RPCs nor while a channel is waited for. Components
	// whose own fields are guarded by it say so at their declaration.
	lock         sync.Mutex
	fleetState   *FleetState
	reservations *ReservationTable
	membership   *membership
	configCache  *configCache
	// stateChanged is closed and replaced when something changed that subscribers, or whoever waits for a revision, should look
	// at. A waiter reads it under the same hold of lock under which it found its condition false, or it misses the wake-up.
	stateChanged chan struct{}
	// heartbeatTick is closed and replaced whenever sessions may be due a heartbeat.
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

// now is the time since the registry started, which all state is kept by.
func (s *sharedState) now() time.Duration { return time.Since(s.startedAt) }

// broadcastChangeLocked wakes everyone who waits for stateChanged; the caller holds the lock.
func (s *sharedState) broadcastChangeLocked() {
	close(s.stateChanged)
	s.stateChanged = make(chan struct{})
}

// awaitCommitted waits until this registry has a revision, and tells whether it came before ctx ended. onReached, if not nil, is
// called with the lock held, at the instant at which the revision was found.
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

// committedRevision is the revision of the configuration that this registry has.
func (s *sharedState) committedRevision() uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.fleetState.committedRevision
}

// compiledConfig is the committed configuration, compiled, and the items from which it was compiled.
func (s *sharedState) compiledConfig() (*config.Snapshot, config.State) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.configCache.compiled(s.fleetState.committedRevision), s.configCache.state
}

// memberCount is how many members the core has.
func (s *sharedState) memberCount() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.membership.count()
}

// sources lists all sources of the service directory. They are never changed once they are stored.
func (s *sharedState) sources() []*schema.Source {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.fleetState.SourcesNewerThan(s.now(), nil)
}

// localCounts gives the call counts that proxies reported to this registry.
func (s *sharedState) localCounts(workCountsOnly bool) *schema.CountsReply {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.fleetState.ReportedCounts(s.now(), workCountsOnly)
}

// setCanaryGrants takes the canary grants of the rollout controller, here or on another member.
func (s *sharedState) setCanaryGrants(grants []*schema.Canary) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.fleetState.SetCanaryGrants(s.now(), grants)
}

// compareLeaseLocked records whether a node is configured with another lease; leaseNanos is zero if
// the node did not send its own. The caller holds the lock.
func (s *sharedState) compareLeaseLocked(node string, leaseNanos int64) {
	s.fleetState.CompareSetting(node, "lease", time.Duration(leaseNanos).String(), s.config.lease.String(), leaseNanos != 0)
}

// waitLeaseFraction waits for a fraction of a lease, or until ctx ends.
func (s *sharedState) waitLeaseFraction(ctx context.Context, divisor int) {
	wait(ctx, s.config.lease/time.Duration(divisor))
}

// wait waits for a time, or until ctx ends.
func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
