package release

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
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
	sources map[sourceKey]*schema.SourceCounts
}

// sourceKey is a life of a proxy.
type sourceKey struct {
	proxy       string
	incarnation uint64
}

// guard is what is known of one version under one statement of it.
type guard struct {
	statement uint64
	brake     Brake
	suspicion Suspicion
	strength  float64 // of the suspicion, as of the last gathering
	why       string
	stopped   string // why, once the brake was pulled
	fine      bool   // as of the last gathering
}

// course is what is known of a plan under one statement of it.
type course struct {
	statement uint64
	first     Evidence
	lately    Evidence
	steppedAt time.Duration
	// Of a plan by its term:
	firstAt time.Duration // of first, from which it is measured what is needed
	since   [2]int64      // when its step began, and with what weight
	balance float64       // of the suspicion then
	needed  float64       // calls under way at all the service's workers
	rate    float64       // calls a second
}

// Sight is what a duty sees of the fleet.
type Sight struct {
	Counts []*schema.SourceCounts
	Heard  float64 // the part of the fleet that the counts tell of
	// Workers are those that live, by service and version.
	Workers map[[2]string]Pool
	// Known is how long this registry has known what was stated in a sequence.
	Known func(sequence uint64) time.Duration
}

// Pool is the workers of a version.
type Pool struct {
	Workers int
	Slots   int // together, 0 if any does not tell
}

// inTouch is how long a proxy may be silent before nothing waits for it.
const inTouch = time.Second

// behind counts the proxies that do not go by a setup yet.
func (s Sight) behind(sequence uint64) int {
	count := 0
	for _, source := range s.Counts {
		if time.Duration(source.AgoNanos) <= inTouch && source.Applied < sequence {
			count++
		}
	}
	return count
}

// Step is a change that the duty wants written, against the versions it was made from.
type Step struct {
	Name  string
	Items []*schema.Item
	Says  string // what is worth a line in the log
	// Urgent steps turn a version back; they wait for no other.
	Urgent bool
}

// Due tells whether there is anything for a duty to look at.
func Due(compiled *setup.Setup, workers map[[2]string]Pool) bool {
	if len(compiled.Guards) > 0 || len(standSteps(compiled, workers)) > 0 {
		return true
	}
	for name := range compiled.Progress {
		if compiled.Releases[name] == nil {
			return true
		}
	}
	for name, planned := range compiled.Releases {
		// What is done by its term, or was turned back, asks for nothing any more.
		progress := compiled.Progress[name]
		if planned.By != setup.ByTerm || progress == nil || progress.Set != identity(planned) || running(progress.State) ||
			progress.Reason == operatorsWord && planned.Pace != "back" {
			return true
		}
	}
	return false
}

// running tells whether a plan in a state goes on.
func running(state string) bool { return state != Done && state != Back }

// Judged tells of which services the work done is to be told, for a version is judged by it, and
// whether there are any.
func Judged(compiled *setup.Setup) (judges func(service string) bool, any bool) {
	judged := map[string]bool{}
	for service := range compiled.Guards {
		judged[service] = true
	}
	for name, planned := range compiled.Releases {
		progress := compiled.Progress[name]
		if progress == nil || progress.Set != identity(planned) || running(progress.State) {
			judged[planned.Service] = true
		}
	}
	return func(service string) bool { return judged[service] }, len(judged) > 0
}

// Rebound sets the bounds that versions and plans are judged by from now on.
func (d *Duty) Rebound(options Options) { d.options = options }

// NewDuty begins the duty anew at a seat; a plan makes at most one step in least.
func NewDuty(options Options, seat string, least time.Duration) *Duty {
	return &Duty{options: options, seat: seat, least: least, guards: map[[2]string]*guard{}, courses: map[string]*course{}, sources: map[sourceKey]*schema.SourceCounts{}}
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

// Look judges every guarded version and steers every plan by what was seen.
func (d *Duty) Look(now time.Duration, compiled *setup.Setup, state setup.State, sight Sight) ([]Step, error) {
	steps := standSteps(compiled, sight.Workers)
	sight.Counts = d.remember(sight.Counts)
	var failed error
	for key := range d.guards {
		if _, guarded := compiled.Statement(key[0], key[1]); !guarded && !settling(compiled, key[0], key[1]) {
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
			d.judge(held, Gather(sight.Counts, service, version, statement, compiled.FallbackOf(service)), sight.Heard, alone(compiled, service, version))
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
		var step *Step
		var err error
		if planned.By == setup.ByTerm {
			step, err = d.term(now, compiled, state, planned, sight)
		} else {
			step, err = d.steer(now, compiled, state, planned, Gather(sight.Counts, planned.Service, planned.Version, planned.Sequence, compiled.FallbackOf(planned.Service)))
		}
		if err != nil {
			failed = err
		} else if step != nil {
			steps = append(steps, *step)
		}
	}
	return steps, failed
}

// remember gives what was told with what was told before of sources that nobody tells of now, so
// that no sum falls: a registry that can't be reached takes its proxies' counts with it.
func (d *Duty) remember(counts []*schema.SourceCounts) []*schema.SourceCounts {
	told := map[sourceKey]bool{}
	for i, source := range counts {
		key := sourceKey{source.Proxy, source.Incarnation}
		told[key] = true
		if held := d.sources[key]; held != nil && callsOf(held) > callsOf(source) {
			source = &schema.SourceCounts{Proxy: source.Proxy, Incarnation: source.Incarnation, Works: held.Works, Applied: source.Applied, AgoNanos: source.AgoNanos}
			counts[i] = source
		}
		d.sources[key] = source
	}
	for key, held := range d.sources {
		if !told[key] {
			// What it had under way, and which setup it goes by, is not known any more.
			counts = append(counts, &schema.SourceCounts{Proxy: held.Proxy, Incarnation: held.Incarnation, Works: held.Works, AgoNanos: math.MaxInt64})
		}
	}
	return counts
}

func callsOf(source *schema.SourceCounts) (calls uint64) {
	for _, line := range source.Works {
		calls += line.Calls
	}
	return calls
}

// judge looks at one version's evidence.
func (d *Duty) judge(held *guard, evidence Evidence, heard float64, alone bool) {
	if reason, bad := held.brake.Look(d.options, evidence, heard); bad && held.stopped == "" {
		held.stopped = reason
	}
	held.fine = held.brake.Fine(d.options, heard)
	if held.strength, held.why = held.suspicion.Look(d.options, evidence, alone); held.strength >= 1 && held.stopped == "" {
		held.stopped = held.why
	}
}

// alone tells whether a plan gives a version all calls.
func alone(compiled *setup.Setup, service, version string) bool {
	name, planned := planFor(compiled, service, version)
	progress := compiled.Progress[name]
	return planned != nil && progress != nil && progress.Set == identity(planned) && progress.Share >= 100
}

// settling tells whether a plan has just made a version the fallback and waits for the last calls
// at the old one: it is not guarded any more, but still judged.
func settling(compiled *setup.Setup, service, version string) bool {
	name, planned := planFor(compiled, service, version)
	progress := compiled.Progress[name]
	return planned != nil && progress != nil && progress.Set == identity(planned) && progress.State == Settle
}

// neededOver is the time over which it is measured how many calls are under way.
const neededOver = time.Second

// writtenParts is how often in a plan's time its progress is written though nothing changes, so
// that a registry that starts later knows about how late it is.
const writtenParts = 6

// term makes the next step of a plan that goes by its term, if one is due.
func (d *Duty) term(now time.Duration, compiled *setup.Setup, state setup.State, planned *setup.Release, sight Sight) (*Step, error) {
	service, before := compiled.Services[planned.Service], setup.Progress{}
	if service == nil || service.Fallback == "" {
		return nil, nil
	}
	sequence, elapsed := planned.Sequence, sight.Known(planned.Sequence)
	if known := compiled.Progress[planned.Name]; known != nil && known.Set == identity(planned) {
		before, sequence = *known, state[setup.Key("progress", planned.Name)].Version.GetSequence()
		// A registry that started later than the plan goes on from what was written of it.
		elapsed = max(elapsed, time.Duration(before.Elapsed)+sight.Known(sequence))
	}
	if before.From == "" {
		before.From = service.Fallback
	}
	if before.State == Done {
		return nil, nil
	}
	if before.From == planned.Version {
		// It is in place already: nothing moves.
		after := before
		after.State, after.Reason, after.Share = Done, "the version has all calls", planned.Target
		return d.termStep(planned, compiled, state, before, after)
	}
	evidence := Gather(sight.Counts, planned.Service, planned.Version, planned.Sequence, before.From)
	key := [2]string{planned.Service, planned.Version}
	held := d.guards[key]
	if held == nil || held.statement != planned.Sequence {
		held = &guard{statement: planned.Sequence}
		d.guards[key] = held
	}
	if _, guarded := compiled.Statement(key[0], key[1]); !guarded {
		d.judge(held, evidence, sight.Heard, alone(compiled, key[0], key[1]))
	}
	taken := d.courses[planned.Name]
	if taken == nil {
		taken = &course{statement: planned.Sequence, first: evidence, firstAt: now}
		d.courses[planned.Name] = taken
	}
	// What is written now and then without a move begins no new step.
	if since := [2]int64{before.Since, int64(before.Weight)}; taken.since != since {
		taken.since, taken.balance = since, held.suspicion.Balance()
	}
	if passed := now - taken.firstAt; passed >= neededOver {
		lately := evidence.Since(taken.first)
		all := total(lately.Old)
		all.add(total(lately.New))
		all.add(lately.Rest)
		taken.needed, taken.rate, taken.first, taken.firstAt = underWay(all, passed), float64(all.Calls)/passed.Seconds(), evidence, now
	}
	pool := sight.Workers[key]
	seen := Term{Elapsed: elapsed, Turn: d.least, Suspicion: held.strength, Why: held.why, Trust: taken.balance - held.suspicion.Balance(), Calls: total(evidence.New).Calls,
		Rate: taken.rate, Needed: taken.needed, Slots: float64(pool.Slots), Workers: pool.Workers, Behind: sight.behind(sequence), Open: total(evidence.Old).Open, Stands: stands(compiled, planned.Service)}
	if held.stopped != "" {
		seen.Suspicion, seen.Why = 1, held.stopped
	}
	return d.termStep(planned, compiled, state, before, d.options.ByTerm(planned, before, seen))
}

// termStep writes a plan's progress, and with it what follows from it.
func (d *Duty) termStep(planned *setup.Release, compiled *setup.Setup, state setup.State, before, after setup.Progress) (*Step, error) {
	moved := before.State != after.State || before.Weight != after.Weight || before.Reason != after.Reason
	if !moved && after.Elapsed-before.Elapsed < int64(planned.Over)/writtenParts {
		return nil, nil
	}
	after.Set, after.Holder = identity(planned), d.seat
	// Another seat's progress is taken over under a higher epoch, which shuts that seat out.
	if before.Holder != d.seat {
		after.Duty++
	}
	step := &Step{Name: planned.Name, Urgent: after.State == Back}
	if moved {
		step.Says = fmt.Sprintf("%s of %s: %s at %g %%, %v after it was stated: %s", planned.Version, planned.Service, after.State, after.Share,
			time.Duration(after.Elapsed).Round(time.Millisecond), after.Reason)
	}
	put := func(kind, name string, body any) error {
		text, err := json.Marshal(body)
		step.Items = append(step.Items, &schema.Item{Kind: kind, Name: name, Body: text})
		return defect.Wrap(err, defect.Internal, kind+" "+name)
	}
	if !moved || after.State == Done {
		return step, put("progress", planned.Name, after)
	}
	// An operator's own flag keeps its targets and rules.
	if !stands(compiled, planned.Service) {
		items, err := stepItems(planned, compiled, state, after)
		step.Items = items
		return step, err
	}
	fallback, version, decider := after.From, planned.Version, rollout(compiled, planned.Service, after.From, planned.Version, after.Weight)
	switch after.State {
	case Back:
		decider.On = false
	case Settle:
		fallback, decider = version, rollout(compiled, planned.Service, version, version, 0)
	}
	if err := put("flag", setup.FlagOf(planned.Service), decider); err != nil {
		return nil, err
	}
	if standing := standingOf(fallback, version); compiled.Standing[planned.Service].Fallback != fallback {
		if err := put(standingKind, planned.Service, standing); err != nil {
			return nil, err
		}
	}
	return step, put("progress", planned.Name, after)
}

// standSteps state what stands for services of which no versions are stated: the version that
// their workers told, or most of them, before any plan.
func standSteps(compiled *setup.Setup, workers map[[2]string]Pool) []Step {
	var steps []Step
	for _, name := range slices.Sorted(maps.Keys(compiled.Services)) {
		if service := compiled.Services[name]; service.Versions != nil || service.Fallback != "" || compiled.Standing[name] != nil {
			continue
		}
		first, most := "", 0
		for key, pool := range workers {
			if key[0] == name && (pool.Workers > most || pool.Workers == most && key[1] < first) {
				first, most = key[1], pool.Workers
			}
		}
		if first == "" {
			continue
		}
		step := Step{Name: "standing-" + name, Says: name + " has version " + first + " by what its workers tell"}
		for _, one := range []struct {
			kind, name string
			body       any
		}{{standingKind, name, standingOf(first, first)}, {"flag", setup.FlagOf(name), rollout(compiled, name, first, first, 0)}} {
			body, err := json.Marshal(one.body)
			// A flag that an operator wrote before stays.
			if err == nil && (one.kind != "flag" || compiled.Flags.Flags[one.name] == nil) {
				step.Items = append(step.Items, &schema.Item{Kind: one.kind, Name: one.name, Body: body})
			}
		}
		steps = append(steps, step)
	}
	return steps
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
	return &Step{Name: planned.Name, Items: items, Urgent: after.State == Back}, err
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
