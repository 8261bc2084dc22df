package simulator

import (
	"fmt"
	"time"

	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

type shown struct {
	at    time.Duration
	setup uint64
}

// History is what happened, and every breach of a never-rule found in it.
type History struct {
	Decisions  int
	TurnedAway int
	Yeses      int
	Refusals   int
	Breaches   map[string][]string
	Print      uint64 // of all events and their times: equal prints are equal runs

	yes     uint64 // highest acknowledged setup
	yesAt   time.Duration
	shown   map[string][]shown
	last    map[string]uint64
	orders  map[uint64]string // what each stable sequence is: the change that took it
	markers map[string]bool   // items that only invalid changes name
	rulings map[string]schema.Ruling
}

// The rules that are judged exactly, in virtual time.
const (
	RuleOlder     = "handled by older rules after a yes"
	RuleFallback  = "fell back to an older setup"
	RuleInvalid   = "invalid change in force"
	RuleLost      = "acknowledged work lost"
	RuleForked    = "two setups under one sequence"
	RuleRuling    = "a ruling changed"
	RuleRecovery  = "not back within the bound"
	breachesShown = 5
)

func (h *History) breach(rule, format string, values ...any) {
	if h.Breaches == nil {
		h.Breaches = map[string][]string{}
	}
	if len(h.Breaches[rule]) < breachesShown {
		h.Breaches[rule] = append(h.Breaches[rule], fmt.Sprintf(format, values...))
	}
}

// decision judges one call: no bound of seconds is needed here, for time is exact.
func (h *History) decision(now time.Duration, node string, applied uint64, state setup.State) {
	h.Decisions++
	if applied < h.yes {
		h.breach(RuleOlder, "%v: %s decided by %d; %d was acknowledged at %v", now, node, applied, h.yes, h.yesAt)
	}
	if h.last == nil {
		h.last = map[string]uint64{}
	}
	if applied < h.last[node] {
		h.breach(RuleFallback, "%v: %s decided by %d after %d", now, node, applied, h.last[node])
	}
	h.last[node] = max(h.last[node], applied)
	for marker := range h.markers {
		if item := state[marker]; item != nil {
			h.breach(RuleInvalid, "%v: %s holds %s", now, node, marker)
		}
	}
}

// observeSeat holds what a seat shows against what any seat ever showed.
func (w *World) observeSeat(node *seatNode) {
	stable, state := node.seat.Stable()
	h := &w.History
	known := h.shown[node.name]
	if len(known) > 0 && known[len(known)-1].setup == stable {
		return
	}
	h.shown[node.name] = append(known, shown{w.now, stable})
	// What stands at a sequence is told by the items that took it.
	print := fmt.Sprint(stable, ":")
	for _, item := range state.Items() {
		print += fmt.Sprintf(" %s/%s@%d", item.Kind, item.Name, item.Version.Sequence)
	}
	if held, found := h.orders[stable]; !found {
		h.orders[stable] = print
	} else if held != print {
		h.breach(RuleForked, "%v: %s shows %q; another showed %q", w.now, node.name, print, held)
	}
}

// yesGiven notes an acknowledgement.
func (h *History) yesGiven(now time.Duration, sequence uint64) {
	h.Yeses++
	if sequence > h.yes {
		h.yes, h.yesAt = sequence, now
	}
}

// ruled notes what an operator was told of a change; it may never be told otherwise later.
func (h *History) ruled(now time.Duration, id string, ruling schema.Ruling) {
	if ruling == schema.Ruling_RULING_UNKNOWN {
		return
	}
	if held, found := h.rulings[id]; found && held != ruling {
		h.breach(RuleRuling, "%v: %s was %v and is now %v", now, id, held, ruling)
	}
	h.rulings[id] = ruling
	if ruling != schema.Ruling_RULING_ACCEPTED {
		h.Refusals++
	}
}
