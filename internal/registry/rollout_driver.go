package registry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"meadowhinge/internal/config"
	"meadowhinge/internal/release"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// Intervals and timeouts of the rollout driver: a lease divided by the constant.
const (
	// rolloutTickDivisor sets the interval between two ticks, and the timeout of the RPCs for which a tick waits.
	rolloutTickDivisor = 4 * session.RenewalsPerLease
	rolloutStepDivisor = session.RenewalsPerLease // shortest interval between two steps of a plan
	// quorumContactDivisor sets the highest age of the store's quorum contact at which its registry may control
	// rollouts.
	quorumContactDivisor = session.RenewalsPerLease / 2
	// predecessorTimeoutDivisor sets how long a predecessor keeps control after it last reported that it may control
	// rollouts.
	predecessorTimeoutDivisor = session.RenewalsPerLease
	predecessorQueryDivisor   = 2 * session.RenewalsPerLease // timeout of one query of a predecessor
	stepWriteDivisor          = session.RenewalsPerLease / 4 // timeout of writing one step
)

// rolloutDriver runs the rollout controller while this registry controls rollouts. Control belongs to the first
// member, in the order of preference for leadership, that is in contact with a quorum. The driver gathers counts, lets
// release.Controller decide, and writes each step as an ordinary change. The store refuses the steps of a
// replaced controller as stale.
type rolloutDriver struct {
	// The fields from state to log do not change after construction.
	state     *sharedState
	options   *liveOptions
	store     schema.DRPCStoreClient
	peers     *peerClients
	submitter *changeSubmitter
	log       logr.Logger

	staleSteps atomic.Uint64 // number of steps that the store refused as those of a replaced controller

	// Used only by run's goroutine.
	controller *release.Controller // nil while this registry has no control, so that each term starts with a new one
	fleetSize  *session.FleetSize  // estimated number of proxies, the base of the reporting fraction

	// Guarded by sharedState.lock.
	hadQuorumContact bool                    // whether quorumContactAt is set
	quorumContactAt  time.Duration           // when this member's store last knew that it had contact with a majority
	predecessors     map[string]*predecessor // registries of the members before this one in membership.list, by id
	stepsInFlight    map[inFlightStep]bool   // steps that are being written
}

// predecessor is the registry of a member before this one in the order of preference for leadership. While it may
// control rollouts, this registry does not. Its fields are guarded by sharedState.lock.
type predecessor struct {
	lastActiveAt  time.Duration // when it last replied that it may control rollouts; at first, when it was first queried
	queryInFlight bool          // whether a query is running
}

// inFlightStep identifies a step in flight. An urgent step, which is a rollback, does not wait for an ordinary step of
// the same name.
type inFlightStep struct {
	name   string // release.Step.Name, such as the name of a plan
	urgent bool   // release.Step.Urgent: whether the step is a rollback
}

func newRolloutDriver(state *sharedState, live *liveOptions, store schema.DRPCStoreClient, peers *peerClients,
	submitter *changeSubmitter, log logr.Logger,
) *rolloutDriver {
	return &rolloutDriver{
		state:         state,
		options:       live,
		store:         store,
		peers:         peers,
		submitter:     submitter,
		log:           log,
		fleetSize:     session.NewFleetSize(state.config.maxSources, state.config.lease),
		predecessors:  map[string]*predecessor{},
		stepsInFlight: map[inFlightStep]bool{},
	}
}

// run calls tick at the interval of rolloutTickDivisor until ctx ends.
func (d *rolloutDriver) run(ctx context.Context) {
	ticker := time.NewTicker(d.state.config.lease / rolloutTickDivisor)
	defer ticker.Stop()
	for serial := uint64(0); ; serial++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.tick(ctx, serial)
	}
}

// tick gathers counts and reconciles all release plans once, if this registry controls rollouts. All changes of one
// tick have the same serial, so only the names of the steps make their ids differ.
func (d *rolloutDriver) tick(ctx context.Context, serial uint64) {
	snapshot, state := d.state.compiledConfig()
	workers := WorkerPoolsOf(d.state.sources())
	if !release.NeedsControl(snapshot, workers) {
		d.forgetPredecessors()
		d.controller = nil
		return
	}
	d.refreshQuorumContact(ctx)
	if !d.hasControl(ctx) {
		d.controller = nil
		return
	}
	d.ensureController()
	canaryGrants := d.controller.CanaryGrants(snapshot)
	d.state.setCanaryGrants(canaryGrants)
	counts, reportingFraction := d.gatherCounts(ctx, canaryGrants)
	steps, err := d.controller.Reconcile(d.state.now(), snapshot, state, release.FleetObservation{
		Counts:            counts,
		ReportingFraction: reportingFraction,
		Workers:           workers,
		KnownFor:          d.knownFor,
	})
	if err != nil {
		d.log.Error(err, "computing rollout steps failed")
	}
	// Send the grants again after the decision: a version that was judged bad is then blocked by the replies to the
	// next reports, before the block is committed.
	d.state.setCanaryGrants(d.controller.CanaryGrants(snapshot))
	for _, step := range steps {
		d.writeStepAsync(ctx, step, serial, state)
	}
}

// ensureController creates a controller if there is none, and applies the current options to it.
func (d *rolloutDriver) ensureController() {
	if d.controller == nil {
		minStepInterval := d.state.config.lease / rolloutStepDivisor
		d.controller = release.NewController(d.options.rolloutOptions(), d.state.config.memberID, minStepInterval)
	}
	d.controller.SetOptions(d.options.rolloutOptions())
}

// mayControlLocked reports whether this registry may control rollouts: it must grant leases, and its store must
// recently have been in contact with a quorum. A registry that is partitioned from the core may not control rollouts,
// since it has too few counts to stop a bad version in time. It also could not write a rollback. The caller holds the
// lock.
func (d *rolloutDriver) mayControlLocked() bool {
	now := d.state.now()
	if !d.state.fleetState.GrantsLeases(now) || !d.hadQuorumContact {
		return false
	}
	return now-d.quorumContactAt <= d.state.config.lease/quorumContactDivisor
}

// refreshQuorumContact queries the store for the age of its last known contact with a majority.
func (d *rolloutDriver) refreshQuorumContact(ctx context.Context) {
	after := d.state.committedRevision()
	timeoutCtx, cancel := context.WithTimeout(ctx, d.state.config.lease/rolloutTickDivisor)
	defer cancel()
	reply, err := d.store.Follow(timeoutCtx, &schema.FollowRequest{AfterSequence: after, WaitNanos: 0})
	if err != nil || !reply.StalenessKnown {
		return // quorumContactAt stays, and in time becomes too old for control
	}
	d.state.lock.Lock()
	defer d.state.lock.Unlock()
	d.hadQuorumContact = true
	d.quorumContactAt = d.state.now() - time.Duration(reply.StalenessNanos)
}

// hasControl reports whether this registry may control rollouts and no predecessor does. Predecessors are queried in
// separate goroutines, so that an unresponsive one causes no delay. A predecessor counts as in control until the time
// of predecessorTimeoutDivisor has passed since it last replied that it may control rollouts, or since it was first
// queried. A member whose address is not known counts as not in control.
func (d *rolloutDriver) hasControl(ctx context.Context) bool {
	d.state.lock.Lock()
	defer d.state.lock.Unlock()
	inControl := d.mayControlLocked()
	now := d.state.now()
	for _, member := range d.state.membership.list() {
		if member.Id == d.state.config.memberID {
			break
		}
		if member.Address == "" {
			continue
		}
		earlierMember := d.predecessors[member.Id]
		if earlierMember == nil {
			earlierMember = &predecessor{lastActiveAt: now}
			d.predecessors[member.Id] = earlierMember
		}
		inControl = inControl && now-earlierMember.lastActiveAt > d.state.config.lease/predecessorTimeoutDivisor
		if !earlierMember.queryInFlight {
			earlierMember.queryInFlight = true
			go d.queryPredecessor(ctx, earlierMember, member.Address)
		}
	}
	return inControl
}

// queryPredecessor queries a predecessor's status, and records the time if it may control rollouts.
func (d *rolloutDriver) queryPredecessor(ctx context.Context, queried *predecessor, address string) {
	timeoutCtx, cancel := context.WithTimeout(ctx, d.state.config.lease/predecessorQueryDivisor)
	defer cancel()
	status, err := d.peers.clientAt(timeoutCtx, address).Look(timeoutCtx, &schema.Empty{})
	d.state.lock.Lock()
	defer d.state.lock.Unlock()
	queried.queryInFlight = false
	if err == nil && status.MayControlRollouts {
		queried.lastActiveAt = d.state.now()
	}
}

// forgetPredecessors resets the predecessors while there is nothing to control. When that changes, each predecessor
// again counts as in control for the time of predecessorTimeoutDivisor.
func (d *rolloutDriver) forgetPredecessors() {
	d.state.lock.Lock()
	defer d.state.lock.Unlock()
	clear(d.predecessors)
}

// gatherCounts returns the merged work counts of all registries that reply, and distributes the canary grants in the
// requests. The second result is the number of proxies that reported recently, as a fraction of the estimated number of
// proxies.
func (d *rolloutDriver) gatherCounts(ctx context.Context, canaryGrants []*schema.Canary) ([]*schema.SourceCounts, float64) {
	request := &schema.CountsRequest{Controller: d.state.config.memberID, Canaries: canaryGrants, WorkOnly: true}
	replies := callOtherRegistries(ctx, d.peers, d.state.config.lease/rolloutTickDivisor,
		func(ctx context.Context, peer schema.DRPCRegistryClient) (*schema.CountsReply, error) {
			return peer.Counts(ctx, request)
		})
	replies = append(replies, d.state.localCounts(true))
	reporting := 0
	for _, reply := range replies {
		reporting += int(reply.Reporting)
	}
	d.state.lock.Lock()
	liveProxies := d.state.fleetState.LiveProxies(d.state.now())
	d.state.lock.Unlock()
	fleetSize := d.fleetSize.Observe(d.state.now(), int64(liveProxies))
	return MergeCounts(replies), float64(reporting) / float64(fleetSize)
}

// knownFor returns how long this registry has had a revision: see FleetState.KnownFor.
func (d *rolloutDriver) knownFor(revision uint64) time.Duration {
	d.state.lock.Lock()
	defer d.state.lock.Unlock()
	return d.state.fleetState.KnownFor(d.state.now(), revision)
}

// writeStepAsync writes a step in a separate goroutine. It drops the step if an earlier step of the same name is still
// being written. A rollback is dropped only for another rollback. state is the configuration from which the step was
// decided.
func (d *rolloutDriver) writeStepAsync(ctx context.Context, step release.Step, serial uint64, state config.State) {
	key := inFlightStep{step.Name, step.Urgent}
	d.state.lock.Lock()
	defer d.state.lock.Unlock()
	if d.stepsInFlight[key] {
		return
	}
	d.stepsInFlight[key] = true
	if step.Message != "" {
		d.log.Info(step.Message, append([]any{"step", step.Name}, step.LogFields...)...)
	}
	change := step.Change(d.state.config.memberID, d.state.incarnation, serial, state)
	go func() {
		d.writeStep(ctx, change)
		d.state.lock.Lock()
		defer d.state.lock.Unlock()
		delete(d.stepsInFlight, key)
	}()
}

// writeStep proposes a step as an ordinary change. It waits until this registry has the committed change, so that the
// plan's next step is decided from its result. A step that is refused or undecided is dropped, and a later tick decides
// again.
func (d *rolloutDriver) writeStep(ctx context.Context, change *schema.Change) {
	timeoutCtx, cancel := context.WithTimeout(ctx, d.state.config.lease/stepWriteDivisor)
	defer cancel()
	outcome := d.submitter.propose(timeoutCtx, change).GetOutcome()
	switch outcome.GetRuling() {
	case schema.Ruling_RULING_STALE:
		d.staleSteps.Add(1)
	case schema.Ruling_RULING_ACCEPTED:
		d.state.awaitCommitted(timeoutCtx, outcome.Version.Sequence, nil)
	}
}
