// Package interleave tries every interleaving of a few threads. Each thread runs the real
// code and gives up its turn at the points where it calls yield; which thread goes on there
// is what is varied, until no order is left untried.
package scheduleexplorer

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Execution is one order being tried.
type Execution struct {
	threads    []*thread
	trace      []string
	progressed chan struct{} // some thread has parked or is done
}

type thread struct {
	name   string
	resume chan struct{}
	// A thread that the clock wakes has no other tie to whoever looks at these.
	parked atomic.Bool
	done   atomic.Bool
}

// Go adds a thread. Its body starts parked, as if it had just yielded.
func (e *Execution) Go(name string, body func(yield func())) {
	added := &thread{name: name, resume: make(chan struct{})}
	e.threads = append(e.threads, added)
	go func() {
		yield := func() {
			added.parked.Store(true)
			e.signalProgress()
			<-added.resume
		}
		yield()
		body(yield)
		added.done.Store(true)
		e.signalProgress()
	}()
}

func (e *Execution) signalProgress() {
	select {
	case e.progressed <- struct{}{}:
	default:
	}
}

// Outcome is what all the orders gave.
type Outcome struct {
	Schedules int
	Failure   string // the first failure, and the order that led to it
}

// maxVirtualWait bounds how long threads may wait for the virtual clock in one order.
const maxVirtualWait = 100 * time.Second

// Explore runs build once for each order. build starts threads and gives a check, which
// must hold after every step and at the end. It stops at the first failure, or fails the
// test if there are more orders than most.
func Explore(t *testing.T, maxSchedules int, build func(t *testing.T, execution *Execution) (check func() error)) Outcome {
	t.Helper()
	var outcome Outcome
	var choices []int
	for {
		if outcome.Schedules == maxSchedules {
			t.Fatalf("more than %d orders", maxSchedules)
		}
		outcome.Schedules++
		var branchCounts []int
		synctest.Test(t, func(t *testing.T) {
			execution := &Execution{progressed: make(chan struct{}, 1)}
			check := build(t, execution)
			branchCounts = execution.execute(choices, func() bool {
				if err := check(); err != nil && outcome.Failure == "" {
					outcome.Failure = fmt.Sprintf("%v, after %s", err, strings.Join(execution.trace, " "))
				}
				return outcome.Failure == ""
			})
		})
		if outcome.Failure != "" {
			return outcome
		}
		// The next order differs at the last point where another thread could have gone on.
		nextChoices := make([]int, len(branchCounts))
		copy(nextChoices, choices)
		position := len(branchCounts) - 1
		for position >= 0 && nextChoices[position]+1 >= branchCounts[position] {
			position--
		}
		if position < 0 {
			return outcome
		}
		choices = append(nextChoices[:position:position], nextChoices[position]+1)
	}
}

// execute follows the choices, then always the first thread; it tells how many there were at
// each point.
func (e *Execution) execute(choices []int, invariantHolds func() bool) []int {
	var branchCounts []int
	checking := true
	for {
		synctest.Wait()
		// What has stirred so far is looked at now.
		select {
		case <-e.progressed:
		default:
		}
		if checking {
			checking = invariantHolds()
		}
		var ready []*thread
		unfinished := 0
		for _, candidate := range e.threads {
			if !candidate.done.Load() {
				unfinished++
			}
			if candidate.parked.Load() {
				ready = append(ready, candidate)
			}
		}
		if unfinished == 0 {
			return branchCounts
		}
		if len(ready) == 0 {
			// Every thread waits for the clock or for another: let time pass until one goes on.
			select {
			case <-e.progressed:
			case <-time.After(maxVirtualWait):
				panic("threads wait for each other for ever: " + strings.Join(e.trace, " "))
			}
			continue
		}
		choice := 0
		if len(branchCounts) < len(choices) {
			choice = choices[len(branchCounts)]
		}
		branchCounts = append(branchCounts, len(ready))
		e.trace = append(e.trace, ready[choice].name)
		ready[choice].parked.Store(false)
		ready[choice].resume <- struct{}{}
	}
}
