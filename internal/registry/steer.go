package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/defect"
	"meadowhinge/internal/release"
	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// Ratios to the lease.
const (
	steerParts = 4 * LeaseParts // how often counts are gathered and trials granted
	trialParts = 2 * LeaseParts // how long a registry passes on what the duty handed out
	stepParts  = LeaseParts     // the shortest time between two steps of a plan
)

// course is what the duty remembers of a plan; all that must outlive it is in its progress.
type course struct {
	started   bool
	first     release.Evidence
	lately    release.Evidence
	brake     release.Brake
	steppedAt time.Duration
	stopped   string // why, once the brake was pulled
	fine      bool   // as of the last gathering
}

// trialsHere is what this registry may pass on to its proxies; the caller holds the lock.
func (s *Server) trialsHere() []*schema.Trial {
	var passed []*schema.Trial
	fresh := s.now()-s.trialsAt <= s.lease/trialParts
	for _, one := range s.trials {
		// A stop is passed on for ever; a grant only while the duty is heard.
		if fresh || one.Stopped {
			passed = append(passed, one)
		}
	}
	return passed
}

func (s *Server) takeTrials(trials []*schema.Trial) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.trials, s.trialsAt = trials, s.now()
}

// hasDuty tells whether no registry before this one in the order can have the release duty.
func (s *Server) hasDuty(ctx context.Context) bool {
	for _, seat := range s.order {
		if seat == s.options.Seat {
			break
		}
		s.lock.Lock()
		core := s.cores[seat]
		s.lock.Unlock()
		if core == nil {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, s.lease/trialParts)
		status, err := schema.NewDRPCRegistryClient(s.ends.To(bounded, core.Address)).Look(bounded, &schema.Nothing{})
		cancel()
		if err == nil && status.Grants {
			return false
		}
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.table.Grants(s.now())
}

// steer does the release duty whenever it falls on this registry.
func (s *Server) steer(ctx context.Context) {
	ticker := time.NewTicker(s.lease / steerParts)
	defer ticker.Stop()
	courses := map[string]*course{}
	for serial := 0; ; serial++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		compiled := s.compiled()
		if len(compiled.Releases)+len(compiled.Progress) == 0 || !s.hasDuty(ctx) {
			courses = map[string]*course{}
			continue
		}
		var trials []*schema.Trial
		for name, planned := range compiled.Releases {
			held := courses[name]
			progress := compiled.Progress[name]
			stopped := (held != nil && held.stopped != "") || (progress != nil && progress.State == release.Back)
			trials = append(trials, &schema.Trial{Service: planned.Service, Version: planned.Version, Stopped: stopped, Plan: planned.Sequence, Fine: held != nil && held.fine && !stopped})
		}
		s.takeTrials(trials)
		counts, heard := s.gather(ctx, trials)
		for name := range compiled.Progress {
			if compiled.Releases[name] == nil {
				s.write(ctx, serial, []*schema.Item{{Kind: "progress", Name: name, Deleted: true}})
			}
		}
		for name, planned := range compiled.Releases {
			if courses[name] == nil {
				courses[name] = &course{}
			}
			s.steerOne(ctx, serial, compiled, planned, courses[name], release.Gather(counts, planned.Service, planned.Version), heard)
		}
		for name := range courses {
			if compiled.Releases[name] == nil {
				delete(courses, name)
			}
		}
	}
}

// gather collects the counts of all registries reached, handing out trials with the call. It
// tells of what part of the fleet they are.
func (s *Server) gather(ctx context.Context, trials []*schema.Trial) ([]*schema.SourceCounts, float64) {
	answers := append(others(ctx, s, s.lease/trialParts, func(ctx context.Context, peer schema.DRPCRegistryClient) (*schema.CountsBack, error) {
		return peer.Counts(ctx, &schema.CountsAsk{Duty: s.options.Seat, Trials: trials})
	}), s.countsHere())
	telling := 0
	for _, answer := range answers {
		telling += int(answer.Telling)
	}
	s.lock.Lock()
	members := s.fleet.Note(s.now(), int64(s.table.members(s.now())))
	s.lock.Unlock()
	return mostOf(answers), float64(telling) / float64(members)
}

// steerOne brakes or steps one plan.
func (s *Server) steerOne(ctx context.Context, serial int, compiled *setup.Setup, planned *setup.Release, held *course, evidence release.Evidence, heard float64) {
	now := s.now()
	before := setup.Progress{}
	identity := planned.Service + " " + planned.Version
	if known := compiled.Progress[planned.Name]; known != nil && known.Set == identity {
		before = *known
	}
	if !held.started {
		held.started, held.first, held.lately, held.steppedAt = true, evidence, evidence, now
	}
	if reason, bad := held.brake.Look(release.Defaults, evidence, heard); bad && held.stopped == "" && before.State != release.Back {
		held.stopped = reason
		s.stopTrial(planned)
		s.log.V(1).Info("brake", "release", planned.Name, "reason", reason)
	}
	held.fine = held.brake.Fine(release.Defaults, heard)
	pause := max(planned.Over/time.Duration(release.Defaults.Steps), s.lease/stepParts)
	due := now-held.steppedAt >= pause || before.State == "" || held.stopped != "" || (planned.Pace == "back") != (before.State == release.Back)
	if !due {
		return
	}
	after := release.Defaults.Step(planned, before, evidence.Since(held.first), evidence.Since(held.lately), now-held.steppedAt)
	if held.stopped != "" {
		after.State, after.Reason, after.Share, after.Weight = release.Back, "the version "+held.stopped, 0, 0
	}
	held.steppedAt = now
	if total := evidence.Since(held.lately); before.State == "" || total.Share() > 0 {
		held.lately = evidence
	}
	if !release.Differs(before, after) {
		return
	}
	after.Set, after.Holder, after.Duty = identity, s.options.Seat, before.Duty
	// Another seat's progress is taken over under a higher epoch, which shuts that seat out.
	if before.Holder != s.options.Seat {
		after.Duty++
	}
	items, err := s.stepItems(planned, compiled, after)
	if err != nil {
		s.log.Error(err, "release step", "release", planned.Name)
		return
	}
	s.write(ctx, serial, items)
}

// stopTrial fans a stop out with the next answers, before it is written to the setup.
func (s *Server) stopTrial(planned *setup.Release) {
	s.lock.Lock()
	defer s.lock.Unlock()
	// Answers under way still read the trials handed out before, so those are left as they are.
	marked := make([]*schema.Trial, len(s.trials))
	for i, one := range s.trials {
		marked[i] = &schema.Trial{Service: one.Service, Version: one.Version, Stopped: one.Stopped || one.Service == planned.Service, Plan: one.Plan}
	}
	s.trials = marked
}

// stepItems are the plan's progress and the flag that follows it, to be written as one.
func (s *Server) stepItems(planned *setup.Release, compiled *setup.Setup, after setup.Progress) ([]*schema.Item, error) {
	key := setup.FlagOf(planned.Service)
	s.lock.Lock()
	held := s.state[setup.Key("flag", key)]
	s.lock.Unlock()
	decider, service := compiled.Flags.Flags[key], compiled.Services[planned.Service]
	if held == nil || decider == nil || service == nil {
		return nil, defect.New(defect.BadSetup, key+" is gone")
	}
	place := func(version string) int {
		for i, variation := range decider.Variations {
			if variation == version {
				return i
			}
		}
		return 0
	}
	body := map[string]any{}
	if err := json.Unmarshal(held.Body, &body); err != nil {
		return nil, defect.Wrap(err, defect.BadSetup, key)
	}
	if after.State == release.Back {
		body["on"], body["offVariation"] = false, place(service.Fallback)
	} else {
		rollout := map[string]any{}
		if through, _ := body["fallthrough"].(map[string]any); through != nil {
			if set, _ := through["rollout"].(map[string]any); set != nil {
				rollout = set
			}
		}
		rollout["variations"] = []map[string]int{{"variation": place(planned.Version), "weight": after.Weight}, {"variation": place(service.Fallback), "weight": 100000 - after.Weight}}
		body["on"], body["fallthrough"] = true, map[string]any{"rollout": rollout}
	}
	flagBody, err := json.Marshal(body)
	if err != nil {
		return nil, defect.Wrap(err, defect.Internal, key)
	}
	progressBody, err := json.Marshal(after)
	if err != nil {
		return nil, defect.Wrap(err, defect.Internal, planned.Name)
	}
	return []*schema.Item{{Kind: "flag", Name: key, Body: flagBody}, {Kind: "progress", Name: planned.Name, Body: progressBody}}, nil
}

// write states a step as an ordinary change against the versions it was made from: whatever
// somebody else wrote meanwhile makes it a conflict, and it is thought over again.
func (s *Server) write(ctx context.Context, serial int, items []*schema.Item) {
	change := &schema.Change{Id: fmt.Sprintf("steer-%s-%x-%d-%s", s.options.Seat, s.born, serial, items[len(items)-1].Name), Items: items}
	s.lock.Lock()
	for _, item := range items {
		if held := s.state[setup.Key(item.Kind, item.Name)]; held != nil && !held.Deleted {
			change.Expected = append(change.Expected, &schema.Expected{Kind: item.Kind, Name: item.Name, Sequence: held.Version.Sequence})
		}
	}
	s.lock.Unlock()
	bounded, cancel := context.WithTimeout(ctx, s.lease/LeaseParts)
	defer cancel()
	submitted, err := s.store.Offer(bounded, &schema.Submit{Change: change})
	if err == nil && !submitted.Undecided && submitted.Outcome.Ruling == schema.Ruling_RULING_STALE {
		s.stale.Add(1)
	}
	// The step is seen in this registry's own setup before the next one is thought of.
	if err == nil && submitted.Outcome.GetRuling() == schema.Ruling_RULING_ACCEPTED {
		for bounded.Err() == nil {
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
			Measured: release.Gather(counts, planned.Service, planned.Version).Share()}
		if progress := compiled.Progress[name]; progress != nil {
			one.State, one.Reason, one.Share, one.Duty, one.Holder = progress.State, progress.Reason, progress.Share, progress.Duty, progress.Holder
		}
		shown = append(shown, one)
	}
	sort.Slice(shown, func(i, j int) bool { return shown[i].Name < shown[j].Name })
	daemon.Answer(call, fasthttp.StatusOK, shown)
}
