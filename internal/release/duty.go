package release

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// Duty is what the registry that has the release duty knows of versions and plans. It is a step
// function: the registry gathers counts, lets the duty look at them, hands out the trials and
// writes the steps as changes. All that must outlive the holder is in those changes.
type Duty struct {
	options Options
	seat    string
	least   time.Duration // between two steps of a plan
	guards  map[[2]string]*guard
	courses map[string]*course
}

// guard is what is known of one version under one statement of it.
type guard struct {
	statement uint64
	brake     Brake
	stopped   string // why, once the brake was pulled
	fine      bool   // as of the last gathering
}

// course is what is known of a plan under one statement of it.
type course struct {
	statement uint64
	first     Evidence
	lately    Evidence
	steppedAt time.Duration
}

// Step is a change that the duty wants written, against the versions it was made from.
type Step struct {
	Name  string
	Items []*schema.Item
}

// NewDuty begins the duty anew at a seat; a plan makes at most one step in least.
func NewDuty(options Options, seat string, least time.Duration) *Duty {
	return &Duty{options: options, seat: seat, least: least, guards: map[[2]string]*guard{}, courses: map[string]*course{}}
}

// planFor finds the plan for a version.
func planFor(compiled *setup.Setup, service, version string) (string, *setup.Release) {
	for name, planned := range compiled.Releases {
		if planned.Service == service && planned.Version == version {
			return name, planned
		}
	}
	return "", nil
}

// Trials lists each guarded version, and whether it may be used.
func (d *Duty) Trials(compiled *setup.Setup) []*schema.Trial {
	var trials []*schema.Trial
	for _, service := range slices.Sorted(maps.Keys(compiled.Guards)) {
		for _, version := range compiled.Guards[service] {
			statement, _ := compiled.Statement(service, version)
			trial := &schema.Trial{Service: service, Version: version, Plan: statement}
			name, _ := planFor(compiled, service, version)
			if progress := compiled.Progress[name]; progress != nil && progress.State == Back {
				trial.Stopped = true
			}
			if held := d.guards[[2]string{service, version}]; held != nil && held.statement == statement {
				trial.Stopped = trial.Stopped || held.stopped != ""
				trial.Fine = held.fine && !trial.Stopped
			}
			trial.Stopped = trial.Stopped || compiled.StopOn(service, version) != nil
			trials = append(trials, trial)
		}
	}
	return trials
}

// Look judges every guarded version and steers every plan by what was counted; heard is the
// part of the fleet that the counts tell of.
func (d *Duty) Look(now time.Duration, compiled *setup.Setup, state setup.State, counts []*schema.SourceCounts, heard float64) ([]Step, error) {
	var steps []Step
	var failed error
	for key := range d.guards {
		if _, guarded := compiled.Statement(key[0], key[1]); !guarded {
			delete(d.guards, key)
		}
	}
	for name, held := range d.courses {
		if planned := compiled.Releases[name]; planned == nil || planned.Sequence != held.statement {
			delete(d.courses, name)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(compiled.Guards)) {
		for _, version := range compiled.Guards[service] {
			key := [2]string{service, version}
			statement, _ := compiled.Statement(service, version)
			held := d.guards[key]
			if held == nil || held.statement != statement {
				held = &guard{statement: statement}
				d.guards[key] = held
			}
			d.judge(held, Gather(counts, service, version, compiled.FallbackOf(service)), heard)
			// Without a plan to turn back, the stop is stated by itself, so that it outlives this duty.
			if _, planned := planFor(compiled, service, version); held.stopped != "" && planned == nil && compiled.StopOn(service, version) == nil {
				step, err := stopStep(service, version, held.stopped)
				if err != nil {
					failed = err
					continue
				}
				steps = append(steps, step)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(compiled.Progress)) {
		if compiled.Releases[name] == nil {
			steps = append(steps, Step{Name: name, Items: []*schema.Item{{Kind: "progress", Name: name, Deleted: true}}})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(compiled.Releases)) {
		planned := compiled.Releases[name]
		step, err := d.steer(now, compiled, state, planned, Gather(counts, planned.Service, planned.Version, compiled.FallbackOf(planned.Service)))
		if err != nil {
			failed = err
		} else if step != nil {
			steps = append(steps, *step)
		}
	}
	return steps, failed
}

// judge looks at one version's evidence.
func (d *Duty) judge(held *guard, evidence Evidence, heard float64) {
	if reason, bad := held.brake.Look(d.options, evidence, heard); bad && held.stopped == "" {
		held.stopped = reason
	}
	held.fine = held.brake.Fine(d.options, heard)
}

// steer makes a plan's next step, if one is due and worth a change.
func (d *Duty) steer(now time.Duration, compiled *setup.Setup, state setup.State, planned *setup.Release, evidence Evidence) (*Step, error) {
	before := setup.Progress{}
	identity := identity(planned)
	if known := compiled.Progress[planned.Name]; known != nil && known.Set == identity {
		before = *known
	}
	held := d.courses[planned.Name]
	if held == nil {
		held = &course{statement: planned.Sequence, first: evidence, lately: evidence, steppedAt: now}
		d.courses[planned.Name] = held
	}
	stopped := ""
	if guarded := d.guards[[2]string{planned.Service, planned.Version}]; guarded != nil {
		stopped = guarded.stopped
	}
	pause := max(planned.Over/time.Duration(d.options.Steps), d.least)
	braked := stopped != "" && before.State != Back
	due := now-held.steppedAt >= pause || before.State == "" || braked || (planned.Pace == "back") != (before.State == Back)
	if !due {
		return nil, nil
	}
	after := d.options.Step(planned, before, evidence.Since(held.first), evidence.Since(held.lately), now-held.steppedAt)
	if stopped != "" {
		after.State, after.Reason, after.Share, after.Weight = Back, "the version "+stopped, 0, 0
	}
	held.steppedAt = now
	if lately := evidence.Since(held.lately); before.State == "" || lately.Share() > 0 {
		held.lately = evidence
	}
	if !Differs(before, after) {
		return nil, nil
	}
	after.Set, after.Holder, after.Duty = identity, d.seat, before.Duty
	// Another seat's progress is taken over under a higher epoch, which shuts that seat out.
	if before.Holder != d.seat {
		after.Duty++
	}
	items, err := stepItems(planned, compiled, state, after)
	return &Step{Name: planned.Name, Items: items}, err
}

// stopStep states that a version gets no calls any more.
func stopStep(service, version, reason string) (Step, error) {
	body, err := json.Marshal(setup.Stop{Service: service, Version: version, Reason: "the version " + reason})
	name := setup.StopName(service, version)
	return Step{Name: name, Items: []*schema.Item{{Kind: "stop", Name: name, Body: body}}}, defect.Wrap(err, defect.Internal, name)
}

// stepItems are the plan's progress and the flag that follows it, to be written as one.
func stepItems(planned *setup.Release, compiled *setup.Setup, state setup.State, after setup.Progress) ([]*schema.Item, error) {
	key := setup.FlagOf(planned.Service)
	held := state[setup.Key("flag", key)]
	decider, service := compiled.Flags.Flags[key], compiled.Services[planned.Service]
	if held == nil || decider == nil || service == nil {
		return nil, defect.New(defect.BadSetup, key+" is gone")
	}
	place := func(version string) int { return max(0, slices.Index(decider.Variations, version)) }
	body := map[string]any{}
	if err := json.Unmarshal(held.Body, &body); err != nil {
		return nil, defect.Wrap(err, defect.BadSetup, key)
	}
	if after.State == Back {
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

// Expected is what a step was made against: whatever somebody else wrote meanwhile makes it a
// conflict, and it is thought over again.
func (s Step) Expected(state setup.State) []*schema.Expected {
	var list []*schema.Expected
	for _, item := range s.Items {
		if held := state[setup.Key(item.Kind, item.Name)]; held != nil && !held.Deleted {
			list = append(list, &schema.Expected{Kind: item.Kind, Name: item.Name, Sequence: held.Version.Sequence})
		}
	}
	return list
}

// Change is the step as a change, under an id of the holder's own.
func (s Step) Change(seat string, born, serial uint64, state setup.State) *schema.Change {
	return &schema.Change{Id: fmt.Sprintf("steer-%s-%x-%d-%s", seat, born, serial, s.Name), Items: s.Items, Expected: s.Expected(state)}
}
