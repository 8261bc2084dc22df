package registry

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/release"
	"meadowhinge/internal/session"
	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// Ratios to the lease.
const (
	steerParts = 4 * session.LeaseParts // how often counts are gathered and trials granted
	stepParts  = session.LeaseParts     // the shortest time between two steps of a plan
	touchParts = session.LeaseParts / 2 // how long a store may not have heard a majority for its registry to steer
	rivalParts = session.LeaseParts     // how long a registry that steered is taken to go on
	writeParts = session.LeaseParts / 4 // how long a step may be on its way
)

func (s *Server) takeTrials(trials []*schema.Trial) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.table.TakeTrials(s.now(), trials)
}

// steering is what the loop of the release duty keeps. All but ticks is guarded by the server's lock.
type steering struct {
	touchedAt time.Duration     // when the store beside last knew that a majority is with it
	touched   bool              // whether it ever did
	rivals    map[string]*rival // by seat: those before this one in the order
	writing   map[string]bool   // steps on their way to the store
}

// rival is a registry that has the duty before this one, while it steers.
type rival struct {
	at     time.Duration // when it last said so, or was first asked
	asking bool
}

// steers tells whether this registry may have the release duty; the caller holds the lock. One
// that is cut off from the core has no part in it: it sees too little to stop a version in time,
// and could not write that it did.
func (s *Server) steers() bool {
	now := s.now()
	return s.table.Grants(now) && s.steering.touched && now-s.steering.touchedAt <= s.lease/touchParts
}

// touch asks the store beside whether it is in touch with the core.
func (s *Server) touch(ctx context.Context) {
	s.lock.Lock()
	after := s.table.stable
	s.lock.Unlock()
	bounded, cancel := context.WithTimeout(ctx, s.lease/steerParts)
	defer cancel()
	back, err := s.store.Follow(bounded, &schema.FollowRequest{After: after, WaitNanos: 0})
	if err != nil || !back.Vouched {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.steering.touched, s.steering.touchedAt = true, s.now()-time.Duration(back.AgeNanos)
}

// hasDuty tells whether no registry before this one in the order steers. They are asked on the
// side, so that a dead one holds nobody up; one that was not asked yet is taken to steer.
func (s *Server) hasDuty(ctx context.Context) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	has, now := s.steers(), s.now()
	for _, core := range s.seats() {
		if core.Seat == s.options.Seat {
			break
		}
		if core.Address == "" {
			continue
		}
		held := s.steering.rivals[core.Seat]
		if held == nil {
			held = &rival{at: now}
			s.steering.rivals[core.Seat] = held
		}
		has = has && now-held.at > s.lease/rivalParts
		if !held.asking {
			held.asking = true
			go s.askRival(ctx, held, core.Address)
		}
	}
	return has
}

func (s *Server) askRival(ctx context.Context, held *rival, address string) {
	bounded, cancel := context.WithTimeout(ctx, s.lease/trialParts)
	defer cancel()
	status, err := schema.NewDRPCRegistryClient(s.ends.To(bounded, address)).Look(bounded, &schema.Nothing{})
	s.lock.Lock()
	defer s.lock.Unlock()
	if held.asking = false; err == nil && status.Steers {
		held.at = s.now()
	}
}

// steer does the release duty whenever it falls on this registry.
func (s *Server) steer(ctx context.Context) {
	ticker := time.NewTicker(s.lease / steerParts)
	defer ticker.Stop()
	var duty *release.Duty
	for serial := uint64(0); ; serial++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		compiled, state := s.compiledState()
		workers := s.pools()
		if !release.Due(compiled, workers) {
			s.idle()
			duty = nil
			continue
		}
		if s.touch(ctx); !s.hasDuty(ctx) {
			duty = nil
			continue
		}
		if duty == nil {
			duty = release.NewDuty(s.release(), s.options.Seat, s.lease/stepParts)
		}
		duty.Rebound(s.release())
		trials := duty.Trials(compiled)
		s.takeTrials(trials)
		counts, heard := s.gather(ctx, trials)
		steps, err := duty.Look(s.now(), compiled, state, release.Sight{Counts: counts, Heard: heard, Workers: workers, Known: s.knownFor})
		if err != nil {
			s.log.Error(err, "release step")
		}
		// A stop goes out with the next answers, before it is written to the setup.
		s.takeTrials(duty.Trials(compiled))
		for _, step := range steps {
			s.put(ctx, step, serial, state)
		}
	}
}

// idle forgets who steered: there is nothing to steer.
func (s *Server) idle() {
	s.lock.Lock()
	defer s.lock.Unlock()
	clear(s.steering.rivals)
}

// put writes a step on the side, unless the one before it is still on its way. One that turns a
// version back waits for none.
func (s *Server) put(ctx context.Context, step release.Step, serial uint64, state setup.State) {
	key := fmt.Sprint(step.Name, step.Urgent)
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.steering.writing[key] {
		return
	}
	s.steering.writing[key] = true
	if step.Says != "" {
		s.log.Info("release step", "plan", step.Name, "says", step.Says)
	}
	change := step.Change(s.options.Seat, s.born, serial, state)
	go func() {
		s.write(ctx, change)
		s.lock.Lock()
		defer s.lock.Unlock()
		delete(s.steering.writing, key)
	}()
}

// release is the duty's options as the settings have them.
func (s *Server) release() release.Options {
	given := s.given()
	return release.Options{TrialShare: 100 * given.TrialShare, CallsEnough: uint64(given.CallsEnough), FailuresMost: uint64(given.BrakeFailures), Excess: given.BrakeExcess,
		Times: given.BrakeTimes, Certain: given.BrakeCertain, SlowTimes: given.BrakeSlow, Steps: int(given.Steps), Sure: given.BrakeSure, FinishAt: given.FinishAt,
		BadShare: given.BadShare, BadMargin: float64(given.BadMargin)}
}

// pools counts the workers that live, by service and version.
func (s *Server) pools() map[[2]string]release.Pool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return PoolsOf(s.table.Feed(s.now(), nil))
}

// PoolsOf counts the workers of sources, by service and version.
func PoolsOf(sources []*schema.Source) map[[2]string]release.Pool {
	pools := map[[2]string]release.Pool{}
	untold := map[[2]string]bool{}
	for _, source := range sources {
		for _, worker := range source.Workers {
			if worker.Leaving || worker.Gone {
				continue
			}
			key := [2]string{worker.Service, worker.Version}
			untold[key] = untold[key] || worker.Slots == 0
			pool := pools[key]
			pool.Workers, pool.Slots = pool.Workers+1, pool.Slots+int(worker.Slots)
			if untold[key] {
				pool.Slots = 0
			}
			pools[key] = pool
		}
	}
	return pools
}

// knownFor is how long this registry has known what was stated in a sequence.
func (s *Server) knownFor(sequence uint64) time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.table.KnownFor(s.now(), sequence)
}

// gather collects the counts of all registries reached, handing out trials with the call. It
// tells of what part of the fleet they are.
func (s *Server) gather(ctx context.Context, trials []*schema.Trial) ([]*schema.SourceCounts, float64) {
	answers := append(others(ctx, s, s.lease/steerParts, func(ctx context.Context, peer schema.DRPCRegistryClient) (*schema.CountsBack, error) {
		return peer.Counts(ctx, &schema.CountsAsk{Duty: s.options.Seat, Trials: trials, Works: true})
	}), s.countsHere(true))
	telling := 0
	for _, answer := range answers {
		telling += int(answer.Telling)
	}
	s.lock.Lock()
	members := s.fleet.Note(s.now(), int64(s.table.Members(s.now())))
	s.lock.Unlock()
	return MostOf(answers), float64(telling) / float64(members)
}

// write states a step as an ordinary change, and waits until it is seen in this registry's own
// setup, so that the next step is thought of after it.
func (s *Server) write(ctx context.Context, change *schema.Change) {
	bounded, cancel := context.WithTimeout(ctx, s.lease/writeParts)
	defer cancel()
	submitted := s.offer(bounded, change)
	if submitted.GetOutcome().GetRuling() == schema.Ruling_RULING_STALE {
		s.stale.Add(1)
	}
	for submitted.GetOutcome().GetRuling() == schema.Ruling_RULING_ACCEPTED && bounded.Err() == nil {
		s.lock.Lock()
		reached, moved := s.table.stable >= submitted.Outcome.Version.Sequence, s.moved
		s.lock.Unlock()
		if reached {
			return
		}
		select {
		case <-moved:
		case <-bounded.Done():
		}
	}
}

// ShownRelease is a plan beside what has come of it.
type ShownRelease struct {
	Name     string  `json:"name"`
	Service  string  `json:"service"`
	Version  string  `json:"version"`
	Target   float64 `json:"target"`
	Over     string  `json:"over"`
	Pace     string  `json:"pace"`
	State    string  `json:"state"`
	Reason   string  `json:"reason"`
	Share    float64 `json:"share"`    // the set point now
	Measured float64 `json:"measured"` // of all calls counted
	Duty     uint64  `json:"duty"`
	Holder   string  `json:"holder"`
}

func (s *Server) pageReleases(call *fasthttp.RequestCtx) {
	compiled := s.compiled()
	counts := s.allCounts(context.Background())
	shown := []ShownRelease{}
	for name, planned := range compiled.Releases {
		one := ShownRelease{Name: name, Service: planned.Service, Version: planned.Version, Target: planned.Target, Over: planned.OverIn, Pace: planned.Pace,
			Measured: release.Gather(counts, planned.Service, planned.Version, planned.Sequence, compiled.FallbackOf(planned.Service)).Share()}
		if progress := compiled.Progress[name]; progress != nil {
			one.State, one.Reason, one.Share, one.Duty, one.Holder = progress.State, progress.Reason, progress.Share, progress.Duty, progress.Holder
		}
		shown = append(shown, one)
	}
	sort.Slice(shown, func(i, j int) bool { return shown[i].Name < shown[j].Name })
	daemon.Answer(call, fasthttp.StatusOK, shown)
}
