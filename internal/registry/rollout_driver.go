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

// Fractions of a lease.
const (
	rolloutTickDivisor        = 4 * session.RenewalsPerLease // between two ticks, and the bound on each RPC of a tick
	rolloutStepDivisor        = session.RenewalsPerLease     // the shortest time between two steps of a plan
	quorumContactDivisor      = session.RenewalsPerLease / 2 // the age of a store's quorum contact up to which its registry may control
	predecessorTimeoutDivisor = session.RenewalsPerLease     // after which a predecessor that does not say it may control is passed over
	predecessorQueryDivisor   = 2 * session.RenewalsPerLease // bound on one query of a predecessor
	stepWriteDivisor          = session.RenewalsPerLease / 4 // bound on writing one step
)

// rolloutDriver runs the rollout controller while this registry is in control of rollouts: while its member is the first, in the
// order of leadership, that is in contact with a quorum. It observes, decides by release.Controller, and writes each step as an
// ordinary change; a controller that was replaced meanwhile has its steps refused by the store as stale.
type rolloutDriver struct {
	// Set at the start.
	state     *sharedState
	options   *liveOptions
	store     schema.DRPCStoreClient
	peers     *peerClients
	submitter *changeSubmitter
	log       logr.Logger

	staleSteps atomic.Uint64 // steps that the store refused because a later term had a controller

	// Used by run's goroutine only.
	controller *release.Controller // nil while this registry is not in control, so that each term begins with a new one
	fleetSize  *session.FleetSize  // how many proxies there are, to tell how many of them the counts come from

	// Guarded by sharedState.lock.
	hadQuorumContact bool                    // the store here has ever known that a majority was in contact with it
	quorumContactAt  time.Duration           // when it last did
	predecessors     map[string]*predecessor // the members before this one, by id
	stepsInFlight    map[inFlightStep]bool   // being written
}

// predecessor is a registry that comes before this one in the order of leadership: while it may control rollouts, this one does
// not. Its fields are guarded by sharedState.lock.
type predecessor struct {
	lastActiveAt  time.Duration // when it last said that it may control, or when the first query of it began
	queryInFlight bool
}

// inFlightStep tells the steps in flight apart. A rollback is written beside the plan's step before it.
type inFlightStep struct {
	name   string
	urgent bool
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

// run ticks until ctx ends.
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

// tick gathers counts, judges versions and moves plans once, if this registry is in control. All changes of one tick have the
// same serial; their ids differ by the name of the step.
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
	// A version that was found bad is blocked with the replies to the next reports, before the block is written.
	d.state.setCanaryGrants(d.controller.CanaryGrants(snapshot))
	for _, step := range steps {
		d.writeStepAsync(ctx, step, serial, state)
	}
}

// ensureController makes a controller if there is none, and puts the current options into force.
func (d *rolloutDriver) ensureController() {
	if d.controller == nil {
		minStepInterval := d.state.config.lease / rolloutStepDivisor
		d.controller = release.NewController(d.options.rolloutOptions(), d.state.config.memberID, minStepInterval)
	}
	d.controller.SetOptions(d.options.rolloutOptions())
}

// mayControlLocked tells whether this registry may be the rollout controller. One that is partitioned from the core may not: it
// has too few counts to stop a bad version in time, and could not write that it did. The caller holds the lock.
func (d *rolloutDriver) mayControlLocked() bool {
	now := d.state.now()
	if !d.state.fleetState.GrantsLeases(now) || !d.hadQuorumContact {
		return false
	}
	return now-d.quorumContactAt <= d.state.config.lease/quorumContactDivisor
}

// refreshQuorumContact asks the store how long ago it knew that a majority was in contact with it.
func (d *rolloutDriver) refreshQuorumContact(ctx context.Context) {
	after := d.state.committedRevision()
	bounded, cancel := context.WithTimeout(ctx, d.state.config.lease/rolloutTickDivisor)
	defer cancel()
	reply, err := d.store.Follow(bounded, &schema.FollowRequest{AfterSequence: after, WaitNanos: 0})
	if err != nil || !reply.StalenessKnown {
		return // quorumContactAt stays, and with time becomes too old to control
	}
	d.state.lock.Lock()
	defer d.state.lock.Unlock()
	d.hadQuorumContact = true
	d.quorumContactAt = d.state.now() - time.Duration(reply.StalenessNanos)
}

// hasControl tells whether this registry may control rollouts and no member before it in the order does. The members before it
// are queried in goroutines of their own, so that a dead one delays nothing; one that has not replied yet counts as in control.
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

// queryPredecessor asks a predecessor whether it may control rollouts.
func (d *rolloutDriver) queryPredecessor(ctx context.Context, queried *predecessor, address string) {
	bounded, cancel := context.WithTimeout(ctx, d.state.config.lease/predecessorQueryDivisor)
	defer cancel()
	status, err := d.peers.at(bounded, address).Look(bounded, &schema.Empty{})
	d.state.lock.Lock()
	defer d.state.lock.Unlock()
	queried.queryInFlight = false
	if err == nil && status.MayControlRollouts {
		queried.lastActiveAt = d.state.now()
	}
}

// forgetPredecessors forgets who was in control, since there is nothing to control. Once there is, each predecessor counts as in
// control again for the time of predecessorTimeoutDivisor.
func (d *rolloutDriver) forgetPredecessors() {
	d.state.lock.Lock()
	defer d.state.lock.Unlock()
	clear(d.predecessors)
}

// gatherCounts collects the work counts of all registries that reply, and hands out canary grants with the request. It also
// gives the fraction of the fleet's proxies that reported recently.
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

// knownFor is for how long a revision has been held here.
func (d *rolloutDriver) knownFor(revision uint64) time.Duration {
	d.state.lock.Lock()
	defer d.state.lock.Unlock()
	return d.state.fleetState.KnownFor(d.state.now(), revision)
}

// writeStepAsync writes a step in a goroutine of its own, unless the same plan's step before it is still being written. A
// rollback waits only for a rollback. state is the one that the step was decided from.
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

// writeStep proposes a step as an ordinary change, and waits until this registry has the committed change, so that the plan's next
// step is decided from its result. A step that is refused or undecided is dropped: the next ticks decide anew.
func (d *rolloutDriver) writeStep(ctx context.Context, change *schema.Change) {
	bounded, cancel := context.WithTimeout(ctx, d.state.config.lease/stepWriteDivisor)
	defer cancel()
	outcome := d.submitter.propose(bounded, change).GetOutcome()
	switch outcome.GetRuling() {
	case schema.Ruling_RULING_STALE:
		d.staleSteps.Add(1)
	case schema.Ruling_RULING_ACCEPTED:
		d.state.awaitCommitted(bounded, outcome.Version.Sequence, nil)
	}
}
