// Package scheduleexplorer runs a test under every interleaving of a few threads. Each thread runs the real code, and
// calls yield at the points where another thread may run. The explorer varies which thread continues at each of these
// points, until it has tried every schedule.
//
// Tests of concurrent code use it, in package dispatch and others. The state of an execution is shared by its threads
// and the explorer, which hand control to each other so that only one of them runs at a time.
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
	trace      []string      // name of the thread that ran at each step
	progressed chan struct{} // one-element buffer; gets a value when a thread yields or ends
}

// thread is a thread of an execution. Its flags are atomic because a thread that wakes from a timer is not synchronized
// with the explorer in any other way.
type thread struct {
	name   string
	resume chan struct{} // a value makes the thread continue after yield
	parked atomic.Bool   // the thread waits in yield
	done   atomic.Bool   // the thread's body has returned
}

// Go adds a thread that runs body once the explorer schedules it. body calls yield where another thread may run.
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
	Schedules int    // number of schedules tried
	Failure   string // first failure and the schedule that led to it; empty if there was none
}

// maxVirtualWait is the virtual time without progress after which an execution counts as deadlocked.
const maxVirtualWait = 100 * time.Second

// Explore runs a test under every schedule. For each schedule it calls build, which adds the threads and returns a
// check. The check is called before the first step and after every step, and its error is a failure. Explore stops at
// the first failure, and fails the test if there are more schedules than maxSchedules. A deadlock panics.
func Explore(t *testing.T, maxSchedules int, build func(t *testing.T, execution *Execution) (check func() error)) Outcome {
	t.Helper()
	var outcome Outcome
	// By step, the index of the thread to run among those that can run. After the last choice the first thread runs.
	var choices []int
	for {
		if outcome.Schedules == maxSchedules {
			t.Fatalf("Explore: the test has more than %d schedules", maxSchedules)
		}
		outcome.Schedules++
		var branchCounts []int // number of threads that could run at each step
		synctest.Test(t, func(t *testing.T) {
			execution := &Execution{progressed: make(chan struct{}, 1)}
			check := build(t, execution)
			branchCounts = execution.execute(choices, func() bool {
				if err := check(); err != nil && outcome.Failure == "" {
					outcome.Failure = fmt.Sprintf("%v, after schedule %s", err, strings.Join(execution.trace, " "))
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

// nextChoices returns the schedule that follows a tried one in depth-first order: it differs at the last step at which
// a later thread could have run. It returns nil after the last schedule.
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

// execute runs the threads to their end. It schedules them by choices and, after the last choice, always runs the first
// thread that can run. It returns the number of threads that could run at each step. check is called before the first
// step and after each step, until it returns false.
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

// discardProgress drops the signal of threads that have already yielded or ended, because execute is about to examine
// all threads.
func (e *Execution) discardProgress() {
	select {
	case <-e.progressed:
	default:
	}
}

// readyThreads returns the threads that can run, and the number of threads that have not ended.
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

// awaitProgress lets virtual time pass until a thread yields or ends. It is called when no thread can run, so each one
// waits for a timer or for another thread.
func (e *Execution) awaitProgress() {
	select {
	case <-e.progressed:
	case <-time.After(maxVirtualWait):
		panic("deadlock: no thread can run after schedule " + strings.Join(e.trace, " "))
	}
}
