// Package scheduleexplorer runs a test under every interleaving of a few threads. Each thread runs the real code and
// calls yield at the points where another thread may run; the explorer varies which thread runs there, until every
// schedule has been tried.
//
// Tests of concurrency rules use it, in package dispatch and others. One execution's state is shared by its threads and
// the explorer, which hand over to each other so that only one of them runs at a time.
package scheduleexplorer

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Execution is one run of the threads, under one schedule.
type Execution struct {
	threads    []*thread
	trace      []string      // names of the threads that ran, in order
	progressed chan struct{} // has a value after a thread yielded or ended
}

// thread is a thread of an execution. Its flags are atomic because a thread that the clock wakes is not synchronized
// with the explorer in any other way.
type thread struct {
	name   string
	resume chan struct{} // has a thread that yielded go on
	parked atomic.Bool   // it has yielded
	done   atomic.Bool
}

// Go adds a thread, which waits to be scheduled before it runs body.
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

// signalProgress tells the explorer that a thread yielded or ended.
func (e *Execution) signalProgress() {
	select {
	case e.progressed <- struct{}{}:
	default:
	}
}

// Outcome is the result of an exploration.
type Outcome struct {
	Schedules int    // that were tried
	Failure   string // the first failure and the schedule that led to it, empty for none
}

// maxVirtualWait is the virtual time without progress after which an execution is taken for deadlocked.
const maxVirtualWait = 100 * time.Second

// Explore runs build under every schedule. build starts threads and gives a check, which is called after every step
// and at the end, and whose error is a failure. Explore stops at the first failure, and fails the test if there are
// more schedules than maxSchedules.
func Explore(t *testing.T, maxSchedules int, build func(t *testing.T, execution *Execution) (check func() error)) Outcome {
	t.Helper()
	var outcome Outcome
	var choices []int // by step: index of the thread that runs, among those that can; then always the first
	for {
		if outcome.Schedules == maxSchedules {
			t.Fatalf("more than %d orders", maxSchedules)
		}
		outcome.Schedules++
		var branchCounts []int // by step: how many threads could run
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
		if choices = nextChoices(choices, branchCounts); choices == nil {
			return outcome
		}
	}
}

// nextChoices gives the schedule after one that was tried, in depth-first order: it differs at the last step where
// another thread could have run. It gives nil after the last schedule.
func nextChoices(choices, branchCounts []int) []int {
	next := make([]int, len(branchCounts))
	copy(next, choices)
	for step := len(branchCounts) - 1; step >= 0; step-- {
		if next[step]+1 < branchCounts[step] {
			next[step]++
			return next[:step+1]
		}
	}
	return nil
}

// execute runs the threads to their end, as choices say and then always the first that can run. It gives the number
// of threads that could run at each step. check is called after each step until it gives false.
func (e *Execution) execute(choices []int, check func() bool) (branchCounts []int) {
	checking := true
	for {
		synctest.Wait()
		e.discardProgress()
		if checking {
			checking = check()
		}
		ready, unfinished := e.readyThreads()
		if unfinished == 0 {
			return branchCounts
		}
		if len(ready) == 0 {
			e.awaitProgress()
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

// discardProgress drops the signal of threads that have yielded or ended by now, as execute is about to look at them.
func (e *Execution) discardProgress() {
	select {
	case <-e.progressed:
	default:
	}
}

// readyThreads gives the threads that can run, and the number of those that have not ended.
func (e *Execution) readyThreads() (ready []*thread, unfinished int) {
	for _, candidate := range e.threads {
		if !candidate.done.Load() {
			unfinished++
		}
		if candidate.parked.Load() {
			ready = append(ready, candidate)
		}
	}
	return ready, unfinished
}

// awaitProgress lets virtual time pass until a thread yields or ends: every thread waits for the clock or for another.
func (e *Execution) awaitProgress() {
	select {
	case <-e.progressed:
	case <-time.After(maxVirtualWait):
		panic("deadlock, no thread can run after " + strings.Join(e.trace, " "))
	}
}
