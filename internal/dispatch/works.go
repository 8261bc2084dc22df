package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// Works counts how requests ended that this proxy handed to the workers beside it. It is what
// versions are judged by: no link between proxies, and no death of one, is in it.
type Works struct {
	lines *xsync.Map[workKey, *Worked]
	most  int
}

type workKey struct {
	service, version, route string
	plan                    uint64
}

// Worked is one line of the count; it only grows while the process lives.
type Worked struct {
	calls, failures, nanos atomic.Uint64
	times                  [release.TimeSteps]atomic.Uint32
	open                   atomic.Int32
	lostAt                 atomic.Int64
}

// NewWorks keeps at most so many lines; what comes beyond them is not counted.
func NewWorks(most int) *Works {
	return &Works{lines: xsync.NewMap[workKey, *Worked](), most: most}
}

// Begin notes that a request is handed to a worker of a version; plan is what was stated of it.
func (w *Works) Begin(service, version, route string, plan uint64) *Worked {
	key := workKey{service, version, route, plan}
	line, found := w.lines.Load(key)
	if !found {
		if w.lines.Size() >= w.most {
			return nil
		}
		line, _ = w.lines.LoadOrCompute(key, func() (*Worked, bool) { return &Worked{}, false })
	}
	line.open.Add(1)
	return line
}

// lostTogether is within what time connections that a worker breaks are one failure: its end,
// which says no more of its version than a single one does.
const lostTogether = 100 * time.Millisecond

// End notes how it ended, so long after it was handed over.
func (line *Worked) End(now, took time.Duration, carried *schema.Carried) {
	if line == nil {
		return
	}
	line.open.Add(-1)
	if carried.Ending == schema.Ending_ENDING_NOT_RUN || calledOff(carried) {
		return
	}
	if defect.Kind(carried.Defect) == defect.WorkerLost {
		if before := line.lostAt.Swap(int64(now)); before != 0 && now-time.Duration(before) < lostTogether {
			return
		}
	}
	line.nanos.Add(uint64(took))
	if carried.Ending != schema.Ending_ENDING_ANSWERED || carried.Status >= 500 {
		line.failures.Add(1)
	} else {
		line.times[release.TimeStep(took)].Add(1)
	}
	line.calls.Add(1)
}

// Tell lists the lines of the services that are asked for.
func (w *Works) Tell(asked func(service string) bool) []*schema.Work {
	var told []*schema.Work
	w.lines.Range(func(key workKey, line *Worked) bool {
		if !asked(key.service) {
			return true
		}
		one := &schema.Work{Service: key.service, Version: key.version, Route: key.route, Plan: key.plan, Calls: line.calls.Load(),
			Failures: line.failures.Load(), Nanos: line.nanos.Load(), Open: uint32(max(0, line.open.Load()))}
		for step := range line.times {
			if count := line.times[step].Load(); count > 0 {
				for len(one.Times) < step {
					one.Times = append(one.Times, 0)
				}
				one.Times = append(one.Times, count)
			}
		}
		told = append(told, one)
		return true
	})
	return told
}
