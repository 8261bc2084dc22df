// Package interleave tries every interleaving of a few threads. Each thread runs the real
// code and gives up its turn at the points where it calls yield; which thread goes on there
// is what is varied, until no order is left untried.
package interleave

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Run is one order being tried.
type Run struct {
	threads []*thread
	trace   []string
	stirred chan struct{} // some thread has parked or is done
}

type thread struct {
	name string
	turn chan struct{}
	// A thread that the clock wakes has no other tie to whoever looks at these.
	parked atomic.Bool
	done   atomic.Bool
}

// Go adds a thread. Its body starts parked, as if it had just yielded.
func (r *Run) Go(name string, body func(yield func())) {
	one := &thread{name: name, turn: make(chan struct{})}
	r.threads = append(r.threads, one)
	go func() {
		yield := func() {
			one.parked.Store(true)
			r.stir()
			<-one.turn
		}
		yield()
		body(yield)
		one.done.Store(true)
		r.stir()
	}()
}

func (r *Run) stir() {
	select {
	case r.stirred <- struct{}{}:
	default:
	}
}

// Outcome is what all the orders gave.
type Outcome struct {
	Orders  int
	Failure string // the first failure, and the order that led to it
}

// waitMost bounds how long threads may wait for the virtual clock in one order.
const waitMost = 100 * time.Second

// Explore runs build once for each order. build starts threads and gives a check, which
// must hold after every step and at the end. It stops at the first failure, or fails the
// test if there are more orders than most.
func Explore(t *testing.T, most int, build func(t *testing.T, run *Run) (check func() error)) Outcome {
	t.Helper()
	var outcome Outcome
	var choices []int
	for {
		if outcome.Orders == most {
			t.Fatalf("more than %d orders", most)
		}
		outcome.Orders++
		var options []int
		synctest.Test(t, func(t *testing.T) {
			run := &Run{stirred: make(chan struct{}, 1)}
			check := build(t, run)
			options = run.play(choices, func() bool {
				if err := check(); err != nil && outcome.Failure == "" {
					outcome.Failure = fmt.Sprintf("%v, after %s", err, strings.Join(run.trace, " "))
				}
				return outcome.Failure == ""
			})
		})
		if outcome.Failure != "" {
			return outcome
		}
		// The next order differs at the last point where another thread could have gone on.
		taken := make([]int, len(options))
		copy(taken, choices)
		place := len(options) - 1
		for place >= 0 && taken[place]+1 >= options[place] {
			place--
		}
		if place < 0 {
			return outcome
		}
		choices = append(taken[:place:place], taken[place]+1)
	}
}

// play follows the choices, then always the first thread; it tells how many there were at
// each point.
func (r *Run) play(choices []int, sound func() bool) []int {
	var options []int
	going := true
	for {
		synctest.Wait()
		// What has stirred so far is looked at now.
		select {
		case <-r.stirred:
		default:
		}
		if going {
			going = sound()
		}
		var ready []*thread
		left := 0
		for _, one := range r.threads {
			if !one.done.Load() {
				left++
			}
			if one.parked.Load() {
				ready = append(ready, one)
			}
		}
		if left == 0 {
			return options
		}
		if len(ready) == 0 {
			// Every thread waits for the clock or for another: let time pass until one goes on.
			select {
			case <-r.stirred:
			case <-time.After(waitMost):
				panic("threads wait for each other for ever: " + strings.Join(r.trace, " "))
			}
			continue
		}
		choice := 0
		if len(options) < len(choices) {
			choice = choices[len(options)]
		}
		options = append(options, len(ready))
		r.trace = append(r.trace, ready[choice].name)
		ready[choice].parked.Store(false)
		ready[choice].turn <- struct{}{}
	}
}
