package simulator

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/fakebackend"
)

// close judges what can be judged only when all is over.
func (h *History) close() {
	h.lock.Lock()
	defer h.lock.Unlock()
	calls := map[string][]time.Duration{}
	for _, id := range sortedOps(h.ops) {
		one := h.ops[id]
		if one.once && len(one.runs) > 1 {
			var runs []string
			for _, run := range one.runs {
				runs = append(runs, fmt.Sprintf("%s at %s (%s) at %v", run.request, run.worker.name, run.worker.beside.name, run.at))
			}
			h.breach(RuleTwice, "%s (keyed %v) ran %d times: %s; asked %s", id, one.keyed, len(one.runs), strings.Join(runs, ", "), one.told())
		}
		h.judgeLeft(one)
		for ask, entry := range one.asks {
			calls[one.service] = append(calls[one.service], entry.sent)
			for _, run := range one.runs {
				if run.ask == ask && entry.outcome == "not-run" {
					h.breach(RuleNotRun, "%s ran at %v and was told %s", id, run.at, one.told())
				}
			}
		}
	}
	for service, extras := range h.extras {
		list := calls[service]
		slices.Sort(list)
		slices.Sort(extras)
		from := 0
		for i, at := range extras {
			for extras[from] < at-fakebackend.RetryBudgetWindow {
				from++
			}
			inside := sort.Search(len(list), func(i int) bool { return list[i] > at }) - sort.Search(len(list), func(i int) bool { return list[i] >= at-fakebackend.RetryBudgetWindow })
			if float64(i-from+1) > fakebackend.RetryBudgetRatio*float64(inside)+h.world.Options.Floor {
				h.breach(RuleBudget, "%v: %s had %d extra tries on %d calls in ten seconds", at, service, i-from+1, inside)
			}
		}
	}
	for _, bad := range h.bad {
		if float64(bad.its) > fakebackend.FaultyVersionRatio*float64(bad.all)+fakebackend.FaultyVersionFloor {
			h.breach(RuleBad, "%s %s got %d of %d calls since it was bad, %d of them failures", bad.service, bad.version, bad.its, bad.all, bad.failures)
		}
		if bad.late > 0 {
			h.breach(RuleBad, "%s %s got a call %v after its fiftieth failure", bad.service, bad.version, bad.late-bad.fiftieth)
		}
	}
}

// told lists what the callers of an op were told.
func (o *op) told() string {
	var parts []string
	for _, entry := range o.asks {
		kind := ""
		if entry.ended != nil && entry.ended.Err != nil {
			kind = string(errs.CodeOf(entry.ended.Err))
		}
		parts = append(parts, fmt.Sprintf("%s@%v:%s %s", entry.proxy.name, entry.sent, entry.outcome, kind))
	}
	return strings.Join(parts, ", ")
}

func sortedOps(ops map[string]*op) []string {
	ids := make([]string, 0, len(ops))
	for id := range ops {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
