package registry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// OperatorSpeech is a way in which operators speak to the registry. The product's own pages are
// one; another is put before them by WithOperatorSpeech.
type OperatorSpeech interface {
	// Handle answers a call of this speech and tells whether it was one.
	Handle(call *fasthttp.RequestCtx, desk Desk) bool
}

// Desk is what a speech may ask of the registry.
type Desk interface {
	// Offer hands in a change and gives what became of it, or nil if that is not known when ctx
	// ends; it is worked on further. The same items, handed in again meanwhile, join it.
	Offer(ctx context.Context, change *schema.Change) *schema.Outcome
	// State gives all items, tombstones included, no older than any yes given before the call;
	// false if that cannot be told before ctx ends.
	State(ctx context.Context) ([]*schema.Item, bool)
	// Plan states a plan that moves all of a service's calls to a version over a time. A plan for
	// that version that is under way already is left as it is, and accepted.
	Plan(ctx context.Context, service, version string, over time.Duration) *schema.Outcome
	// PlanState tells how the plan for a service stands and for which version it is; the state is
	// empty if there is none, known false if that cannot be told before ctx ends.
	PlanState(ctx context.Context, service string) (state PlanEnd, version string, known bool)
}

// PlanEnd is how a release plan stands.
type PlanEnd string

// How a plan stands, as operators are told.
const (
	PlanUnderWay PlanEnd = "under way"
	PlanDone     PlanEnd = "done" // the version is the service's fallback now
	PlanBack     PlanEnd = "back" // the version was found bad
)

// offered is a change on its way.
type offered struct {
	done    chan struct{}
	outcome *schema.Outcome // once done is closed; nil for not known
}

// sumOf tells changes apart by all that they ask for, down to how the operator said it.
func sumOf(change *schema.Change) string {
	sum := sha256.New()
	for _, item := range change.Items {
		fmt.Fprintf(sum, "%q %q %d %t %q %q\n", item.Kind, item.Name, item.Given, item.Deleted, item.Body, item.Said)
	}
	for _, one := range change.Expected {
		fmt.Fprintf(sum, "%q %q %d\n", one.Kind, one.Name, one.Sequence)
	}
	fmt.Fprint(sum, change.ByGiven)
	return hex.EncodeToString(sum.Sum(nil))
}

// Offer hands in a change; its id, unless it has one, is made here.
func (s *Server) Offer(ctx context.Context, change *schema.Change) *schema.Outcome {
	sum := sumOf(change)
	s.lock.Lock()
	one := s.offers[sum]
	if one == nil {
		one = &offered{done: make(chan struct{})}
		s.offers[sum] = one
		s.offerSerial++
		if change.Id == "" {
			change.Id = fmt.Sprintf("%s-%x-%d", s.options.Seat, s.born, s.offerSerial)
		}
		go s.carryOffer(sum, one, change)
	}
	s.lock.Unlock()
	select {
	case <-one.done:
		return one.outcome
	case <-ctx.Done():
		return nil
	}
}

// carryOffer keeps at a change after whoever handed it in has stopped waiting.
func (s *Server) carryOffer(sum string, one *offered, change *schema.Change) {
	bounded, cancel := context.WithTimeout(context.Background(), time.Duration(s.given().AnswerMost))
	defer cancel()
	submitted := s.offer(bounded, change)
	if outcome := submitted.GetOutcome(); outcome != nil {
		if outcome.Ruling != schema.Ruling_RULING_ACCEPTED || s.acknowledge(bounded, outcome.Version.GetSequence()) == nil {
			one.outcome = outcome
		}
	}
	s.lock.Lock()
	delete(s.offers, sum)
	s.lock.Unlock()
	close(one.done)
}

// State gives all items as of a moment after the call began.
func (s *Server) State(ctx context.Context) ([]*schema.Item, bool) {
	for ctx.Err() == nil {
		back, err := s.store.ReadIndex(ctx, &schema.Nothing{})
		if err != nil || back.Undecided {
			s.pause(ctx, retryParts)
			continue
		}
		for ctx.Err() == nil {
			s.lock.Lock()
			stable, items, moved := s.table.stable, s.state, s.moved
			s.lock.Unlock()
			if stable >= back.Committed {
				return items.Items(), true
			}
			select {
			case <-moved:
			case <-ctx.Done():
			}
		}
	}
	return nil, false
}

// Plan states a release plan as one change.
func (s *Server) Plan(ctx context.Context, service, version string, over time.Duration) *schema.Outcome {
	for ctx.Err() == nil {
		if _, known := s.State(ctx); !known {
			return nil
		}
		compiled, state := s.compiledState()
		step, err := release.Place(compiled, state, release.Order{Service: service, Version: version, Over: over})
		switch {
		case err != nil && defect.KindOf(err) == defect.BadSetup:
			return &schema.Outcome{Ruling: schema.Ruling_RULING_INVALID, Faults: []*schema.Fault{{Path: "release." + service, Reason: err.Error()}}}
		case err != nil:
			return nil
		case step == nil:
			return &schema.Outcome{Ruling: schema.Ruling_RULING_ACCEPTED}
		}
		s.lock.Lock()
		s.offerSerial++
		change := step.Change(s.options.Seat, s.born, s.offerSerial, state)
		s.lock.Unlock()
		// A step of another hand came between: look again.
		if outcome := s.Offer(ctx, change); outcome.GetRuling() != schema.Ruling_RULING_CONFLICT {
			return outcome
		}
	}
	return nil
}

// PlanState tells how a release plan stands.
func (s *Server) PlanState(ctx context.Context, service string) (state PlanEnd, version string, known bool) {
	if _, known := s.State(ctx); !known {
		return "", "", false
	}
	version, stands := release.StateOf(s.compiled(), service)
	switch stands {
	case "":
		return "", "", true
	case release.Done:
		return PlanDone, version, true
	case release.Back:
		return PlanBack, version, true
	}
	return PlanUnderWay, version, true
}
