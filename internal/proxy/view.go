// Package proxy is the node beside callers and workers: it decides each call by the flags
// and carries it out.
package proxy

import (
	"maps"
	"slices"
	"strings"
	"time"

	"meadowhinge/internal/plan"
	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// Event is what happened: setup or sources arrived.
type Event struct {
	At      time.Duration
	Setup   uint64
	Items   []*schema.Item
	Whole   bool
	Sources []*schema.Source
	Sweep   time.Duration // drop sources not heard from for this long, if others are
}

type known struct {
	source *schema.Source
	at     time.Duration
}

// Picture is all that is folded from the journal; readers take its plan view.
type Picture struct {
	state    setup.State
	setup    *setup.Setup
	sources  map[string]known
	swept    map[string]*schema.Stamp // of sources dropped as silent: only newer news brings one back
	since    map[string]listed        // by instance of a worker
	replaced []replacement

	directory plan.Directory
	view      *plan.View
}

// listed is since when a worker is known, and how many sources list it.
type listed struct {
	first   time.Duration
	sources int
}

// replacement tells when a setup was applied, and so when the ones before it went.
type replacement struct {
	sequence uint64
	at       time.Duration
}

// sweepRatio is the part of the sources that must be heard for the silent rest to be dropped.
const sweepRatio = 0.8

// replacedKept bounds the memory of replacements.
const replacedKept = 64

// EmptyPicture is what a proxy knows at first: nothing.
func EmptyPicture() Picture {
	compiled, _ := setup.Compile(setup.State{}, 0)
	return Picture{state: setup.State{}, setup: compiled, sources: map[string]known{}, swept: map[string]*schema.Stamp{}, since: map[string]listed{}, directory: plan.Directory{},
		view: &plan.View{Setup: compiled, Directory: plan.Directory{}}}
}

// Fold makes the next picture. An older setup than the one held changes nothing, whoever
// sends it: a node never falls back.
func Fold(before Picture, event Event) Picture {
	after := before
	if event.Setup > before.setup.Sequence {
		after.state = before.state.Taking(event.Items, event.Whole)
		after.setup, _ = setup.CompileAfter(before.setup, after.state, event.Setup)
		after.replaced = append(append([]replacement(nil), before.replaced...), replacement{event.Setup, event.At})
		if len(after.replaced) > replacedKept {
			after.replaced = after.replaced[1:]
		}
	}
	if len(event.Sources) > 0 || event.Sweep > 0 {
		after.takeSources(before, event)
	}
	after.view = &plan.View{Setup: after.setup, Directory: after.directory}
	return after
}

// takeSources folds what sources told. Only what they told anew is worked out again: in a large
// mesh every change of one proxy's workers comes to all others.
func (p *Picture) takeSources(before Picture, event Event) {
	p.sources, p.swept = maps.Clone(before.sources), maps.Clone(before.swept)
	moved := map[string]bool{} // by source: it is another than before, or gone
	if event.Sweep > 0 {
		p.sweep(before, event, moved)
	}
	for _, source := range event.Sources {
		// Of a bare source nothing is known but that it was seen.
		if source.Bare {
			continue
		}
		held, found := p.sources[source.Name]
		if (!found && newer(source.Stamp, p.swept[source.Name])) || (found && newer(source.Stamp, held.source.Stamp)) {
			p.sources[source.Name] = known{source, event.At}
			delete(p.swept, source.Name)
			moved[source.Name] = true
		}
	}
	if len(moved) > 0 {
		p.relist(before, event.At, slices.Sorted(maps.Keys(moved)))
	}
}

// sweep drops the sources that were silent for long. When many are silent at once it is the feed
// that failed, as in a split core, not they: then all are kept, and those that are dead are found
// out by calling them.
func (p *Picture) sweep(before Picture, event Event, moved map[string]bool) {
	var silent []string
	for name, held := range before.sources {
		if event.At-held.at > event.Sweep {
			silent = append(silent, name)
		}
	}
	if fresh := len(before.sources) - len(silent); float64(fresh) <= sweepRatio*float64(len(before.sources)) {
		return
	}
	for _, name := range silent {
		p.swept[name] = p.sources[name].source.Stamp
		delete(p.sources, name)
		moved[name] = true
	}
}

// relist brings the directory and the list of workers up to the sources that moved.
func (p *Picture) relist(before Picture, now time.Duration, moved []string) {
	p.since, p.directory = maps.Clone(before.since), maps.Clone(before.directory)
	var fresh []*schema.Source
	touched := map[string]bool{}
	// What is listed anew is counted before what is no longer, so that a worker that goes from one
	// source to another keeps the time since when it is known.
	for _, name := range moved {
		held, found := p.sources[name]
		if !found {
			continue
		}
		fresh = append(fresh, held.source)
		for _, worker := range held.source.Workers {
			touched[worker.Service] = true
			one, listed := p.since[worker.Instance]
			if !listed {
				one.first = now
			}
			one.sources++
			p.since[worker.Instance] = one
		}
	}
	for _, name := range moved {
		held, found := before.sources[name]
		if !found {
			continue
		}
		for _, worker := range held.source.Workers {
			touched[worker.Service] = true
			one := p.since[worker.Instance]
			if one.sources--; one.sources == 0 {
				delete(p.since, worker.Instance)
			} else {
				p.since[worker.Instance] = one
			}
		}
	}
	added := plan.DirectoryOf(fresh, func(instance string) time.Duration { return p.since[instance].first },
		func(source string) time.Duration { return p.sources[source].at })
	for service := range touched {
		pools := map[string][]plan.Candidate{}
		for version, pool := range before.directory[service] {
			for _, candidate := range pool {
				if _, gone := slices.BinarySearch(moved, candidate.Proxy); !gone {
					pools[version] = append(pools[version], candidate)
				}
			}
		}
		for version, pool := range added[service] {
			pools[version] = append(pools[version], pool...)
			slices.SortStableFunc(pools[version], func(a, b plan.Candidate) int { return strings.Compare(a.Proxy, b.Proxy) })
		}
		if p.directory[service] = pools; len(pools) == 0 {
			delete(p.directory, service)
		}
	}
}

func newer(a, b *schema.Stamp) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	if a.GetCounter() != b.GetCounter() {
		return a.GetCounter() > b.GetCounter()
	}
	return a.GetEnded() && !b.GetEnded()
}

// View is what plans are made from.
func (p Picture) View() *plan.View { return p.view }

// Sequence is the setup in use.
func (p Picture) Sequence() uint64 { return p.setup.Sequence }

// State is the items of the setup in use.
func (p Picture) State() setup.State { return p.state }

// Outdated tells whether a setup was replaced longer ago than a bound.
func (p Picture) Outdated(sequence uint64, now, bound time.Duration) bool {
	for _, one := range p.replaced {
		if one.sequence > sequence {
			return now-one.at > bound
		}
	}
	return false
}

// Vector is what this proxy has of each source.
func (p Picture) Vector() map[string]*schema.Stamp {
	vector := make(map[string]*schema.Stamp, len(p.sources))
	for name, held := range p.sources {
		vector[name] = held.source.Stamp
	}
	// A registry keeps silent sources longer; it need not send them again.
	for name, stamp := range p.swept {
		vector[name] = stamp
	}
	return vector
}

// Known is every worker that is listed.
func (p Picture) Known() map[string]bool {
	listed := make(map[string]bool, len(p.since))
	for instance := range p.since {
		listed[instance] = true
	}
	return listed
}
