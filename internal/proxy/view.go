// Package proxy is the node beside callers and workers: it decides each call by the flags
// and carries it out.
package proxy

import (
	"sort"
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
	since    map[string]time.Duration
	replaced []replacement
	view     *plan.View
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
	return Picture{state: setup.State{}, setup: compiled, sources: map[string]known{}, swept: map[string]*schema.Stamp{}, since: map[string]time.Duration{},
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
		after.sources = make(map[string]known, len(before.sources)+1)
		after.swept = make(map[string]*schema.Stamp, len(before.swept))
		for name, stamp := range before.swept {
			after.swept[name] = stamp
		}
		fresh := 0
		for _, held := range before.sources {
			if event.At-held.at <= event.Sweep {
				fresh++
			}
		}
		// When many are silent at once it is the feed that failed, as in a split core, not they:
		// then all are kept, and those that are dead are found out by calling them.
		sweeps := event.Sweep > 0 && float64(fresh) > sweepRatio*float64(len(before.sources))
		for name, held := range before.sources {
			if !sweeps || event.At-held.at <= event.Sweep {
				after.sources[name] = held
			} else {
				after.swept[name] = held.source.Stamp
			}
		}
		for _, source := range event.Sources {
			// Of a bare source nothing is known but that it was seen.
			if source.Bare {
				continue
			}
			held, found := after.sources[source.Name]
			if (!found && newer(source.Stamp, after.swept[source.Name])) || (found && newer(source.Stamp, held.source.Stamp)) {
				after.sources[source.Name] = known{source, event.At}
				delete(after.swept, source.Name)
			}
		}
		after.since = map[string]time.Duration{}
		for _, held := range after.sources {
			for _, worker := range held.source.Workers {
				if first, found := before.since[worker.Instance]; found {
					after.since[worker.Instance] = first
				} else {
					after.since[worker.Instance] = event.At
				}
			}
		}
	}
	list := make([]*schema.Source, 0, len(after.sources))
	for _, held := range after.sources {
		list = append(list, held.source)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	after.view = &plan.View{Setup: after.setup, Directory: plan.DirectoryOf(list,
		func(instance string) time.Duration { return after.since[instance] }, func(source string) time.Duration { return after.sources[source].at })}
	return after
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
