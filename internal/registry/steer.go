package registry

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/config"
	"meadowhinge/internal/daemon"
	"meadowhinge/internal/release"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// Ratios to the lease.
const (
	rolloutTickDivisor        = 4 * session.RenewalsPerLease // how often counts are gathered and trials granted
	rolloutStepDivisor        = session.RenewalsPerLease     // the shortest time between two steps of a plan
	quorumContactDivisor      = session.RenewalsPerLease / 2 // how long a store may not have heard a majority for its registry to steer
	predecessorTimeoutDivisor = session.RenewalsPerLease     // how long a registry that steered is taken to go on
	stepWriteDivisor          = session.RenewalsPerLease / 4 // how long a step may be on its way
)

func (s *Server) setCanaryGrants(grants []*schema.Canary) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.fleetState.SetCanaryGrants(s.now(), grants)
}

// rolloutState is what the loop of the release duty keeps. All but ticks is guarded by the server's lock.
type rolloutState struct {
	quorumContactAt  time.Duration           // when the store beside last knew that a majority is with it
	hadQuorumContact bool                    // whether it ever did
	predecessors     map[string]*predecessor // by seat: those before this one in the order
	stepsInFlight    map[string]bool         // steps on their way to the store
}

// predecessor is a registry that has the duty before this one, while it steers.
type predecessor struct {
	lastActiveAt  time.Duration // when it last said so, or was first asked
	queryInFlight bool
}

// mayControlRollouts tells whether this registry may have the release duty; the caller holds the lock. One
// that is cut off from the core has no part in it: it sees too little to stop a version in time,
// and could not write that it did.
func (s *Server) mayControlRollouts() bool {
	now := s.now()
	return s.fleetState.GrantsLeases(now) && s.rollout.hadQuorumContact && now-s.rollout.quorumContactAt <= s.leaseDuration/quorumContactDivisor
}

// refreshQuorumContact asks the store beside whether it is in touch with the core.
func (s *Server) refreshQuorumContact(ctx context.Context) {
	s.lock.Lock()
	after := s.fleetState.committedRevision
	s.lock.Unlock()
	bounded, cancel := context.WithTimeout(ctx, s.leaseDuration/rolloutTickDivisor)
	defer cancel()
	reply, err := s.store.Follow(bounded, &schema.FollowRequest{AfterSequence: after, WaitNanos: 0})
	if err != nil || !reply.StalenessKnown {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.rollout.hadQuorumContact, s.rollout.quorumContactAt = true, s.now()-time.Duration(reply.StalenessNanos)
}

// hasControl tells whether no registry before this one in the order steers. They are asked on the
// side, so that a dead one holds nobody up; one that was not asked yet is taken to steer.
func (s *Server) hasControl(ctx context.Context) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	inControl, now := s.mayControlRollouts(), s.now()
	for _, member := range s.members() {
		if member.Id == s.initialOptions.Seat {
			break
		}
		if member.Address == "" {
			continue
		}
		earlier := s.rollout.predecessors[member.Id]
		if earlier == nil {
			earlier = &predecessor{lastActiveAt: now}
			s.rollout.predecessors[member.Id] = earlier
		}
		inControl = inControl && now-earlier.lastActiveAt > s.leaseDuration/predecessorTimeoutDivisor
		if !earlier.queryInFlight {
			earlier.queryInFlight = true
			go s.queryPredecessor(ctx, earlier, member.Address)
		}
	}
	return inControl
}

func (s *Server) queryPredecessor(ctx context.Context, earlier *predecessor, address string) {
	bounded, cancel := context.WithTimeout(ctx, s.leaseDuration/canaryGrantDivisor)
	defer cancel()
	status, err := schema.NewDRPCRegistryClient(s.rpcTransport.Conn(bounded, address)).Look(bounded, &schema.Empty{})
	s.lock.Lock()
	defer s.lock.Unlock()
	if earlier.queryInFlight = false; err == nil && status.MayControlRollouts {
		earlier.lastActiveAt = s.now()
	}
}

// runRolloutController does the release duty whenever it falls on this registry.
func (s *Server) runRolloutController(ctx context.Context) {
	ticker := time.NewTicker(s.leaseDuration / rolloutTickDivisor)
	defer ticker.Stop()
	var controller *release.Controller
	for serial := uint64(0); ; serial++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		snapshot, state := s.configSnapshotAndState()
		workers := s.workerPools()
		if !release.NeedsControl(snapshot, workers) {
			s.forgetPredecessors()
			controller = nil
			continue
		}
		if s.refreshQuorumContact(ctx); !s.hasControl(ctx) {
			controller = nil
			continue
		}
		if controller == nil {
			controller = release.NewController(s.rolloutOptions(), s.initialOptions.Seat, s.leaseDuration/rolloutStepDivisor)
		}
		controller.SetOptions(s.rolloutOptions())
		canaryGrants := controller.CanaryGrants(snapshot)
		s.setCanaryGrants(canaryGrants)
		counts, reportingFraction := s.gatherCounts(ctx, canaryGrants)
		steps, err := controller.Reconcile(s.now(), snapshot, state, release.FleetObservation{Counts: counts, HeardFraction: reportingFraction, Workers: workers, KnownFor: s.knownFor})
		if err != nil {
			s.log.Error(err, "release step")
		}
		// A stop goes out with the next answers, before it is written to the setup.
		s.setCanaryGrants(controller.CanaryGrants(snapshot))
		for _, step := range steps {
			s.writeStepAsync(ctx, step, serial, state)
		}
	}
}

// forgetPredecessors forgets who steered: there is nothing to steer.
func (s *Server) forgetPredecessors() {
	s.lock.Lock()
	defer s.lock.Unlock()
	clear(s.rollout.predecessors)
}

// writeStepAsync writes a step on the side, unless the one before it is still on its way. One that turns a
// version back waits for none.
func (s *Server) writeStepAsync(ctx context.Context, step release.Step, serial uint64, state config.State) {
	key := fmt.Sprint(step.Name, step.Urgent)
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.rollout.stepsInFlight[key] {
		return
	}
	s.rollout.stepsInFlight[key] = true
	if step.Message != "" {
		s.log.Info("release step", "plan", step.Name, "says", step.Message)
	}
	change := step.Change(s.initialOptions.Seat, s.incarnation, serial, state)
	go func() {
		s.writeStep(ctx, change)
		s.lock.Lock()
		defer s.lock.Unlock()
		delete(s.rollout.stepsInFlight, key)
	}()
}

// rolloutOptions is the duty's options as the settings have them.
func (s *Server) rolloutOptions() release.Options {
	opts := s.currentOptions()
	return release.Options{CanaryPercent: 100 * opts.TrialShare, MinCalls: uint64(opts.CallsEnough), FailureThreshold: uint64(opts.BrakeFailures), FailureRateMargin: opts.BrakeExcess,
		FailureRateMultiple: opts.BrakeTimes, MinStandardErrors: opts.BrakeCertain, LatencyMultiple: opts.BrakeSlow, RampSteps: int(opts.Steps), RollbackLogOdds: opts.BrakeSure, CanaryEndFraction: opts.FinishAt,
		MaxBadFraction: opts.BadShare, BadCallsMargin: float64(opts.BadMargin)}
}

// workerPools counts the workers that live, by service and version.
func (s *Server) workerPools() map[[2]string]release.WorkerPool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return WorkerPoolsOf(s.fleetState.SourcesNewerThan(s.now(), nil))
}

// knownFor is how long this registry has known what was stated in a sequence.
func (s *Server) knownFor(sequence uint64) time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.fleetState.KnownFor(s.now(), sequence)
}

// gatherCounts collects the counts of all registries reached, handing out trials with the call. It
// tells of what part of the fleet they are.
func (s *Server) gatherCounts(ctx context.Context, canaryGrants []*schema.Canary) ([]*schema.SourceCounts, float64) {
	answers := append(callOtherRegistries(ctx, s, s.leaseDuration/rolloutTickDivisor, func(ctx context.Context, peer schema.DRPCRegistryClient) (*schema.CountsReply, error) {
		return peer.Counts(ctx, &schema.CountsRequest{Controller: s.initialOptions.Seat, Canaries: canaryGrants, WorkOnly: true})
	}), s.localCounts(true))
	reporting := 0
	for _, answer := range answers {
		reporting += int(answer.Reporting)
	}
	s.lock.Lock()
	fleetSize := s.fleetSize.Observe(s.now(), int64(s.fleetState.LiveProxies(s.now())))
	s.lock.Unlock()
	return MergeCounts(answers), float64(reporting) / float64(fleetSize)
}

// writeStep states a step as an ordinary change, and waits until it is seen in this registry's own
// setup, so that the next step is thought of after it.
func (s *Server) writeStep(ctx context.Context, change *schema.Change) {
	bounded, cancel := context.WithTimeout(ctx, s.leaseDuration/stepWriteDivisor)
	defer cancel()
	reply := s.propose(bounded, change)
	if reply.GetOutcome().GetRuling() == schema.Ruling_RULING_STALE {
		s.staleSteps.Add(1)
	}
	for reply.GetOutcome().GetRuling() == schema.Ruling_RULING_ACCEPTED && bounded.Err() == nil {
		s.lock.Lock()
		reached, stateChanged := s.fleetState.committedRevision >= reply.Outcome.Version.Sequence, s.stateChanged
		s.lock.Unlock()
		if reached {
			return
		}
		select {
		case <-stateChanged:
		case <-bounded.Done():
		}
	}
}

// ReleaseView is a plan beside what has come of it.
type ReleaseView struct {
	Name               string  `json:"name"`
	Service            string  `json:"service"`
	Version            string  `json:"version"`
	Target             float64 `json:"target"`
	Duration           string  `json:"over"`
	Pace               string  `json:"pace"`
	State              string  `json:"state"`
	Reason             string  `json:"reason"`
	Percentage         float64 `json:"share"`    // the set point now
	MeasuredPercentage float64 `json:"measured"` // of all calls counted
	ControllerTerm     uint64  `json:"duty"`
	Controller         string  `json:"holder"`
}

func (s *Server) handleReleases(call *fasthttp.RequestCtx) {
	snapshot := s.configSnapshot()
	counts := s.collectCounts(context.Background())
	views := []ReleaseView{}
	for name, planned := range snapshot.Releases {
		view := ReleaseView{Name: name, Service: planned.Service, Version: planned.Version, Target: planned.Target, Duration: planned.DurationText, Pace: planned.Control,
			MeasuredPercentage: release.GatherVersionCounts(counts, planned.Service, planned.Version, planned.Revision, snapshot.FallbackOf(planned.Service)).NewPercent()}
		if progress := snapshot.Progress[name]; progress != nil {
			view.State, view.Reason, view.Percentage, view.ControllerTerm, view.Controller = progress.State, progress.Reason, progress.Percentage, progress.ControllerTerm, progress.Controller
		}
		views = append(views, view)
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Name < views[j].Name })
	daemon.WriteJSON(call, fasthttp.StatusOK, views)
}
