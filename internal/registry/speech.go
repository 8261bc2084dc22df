package registry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// OperatorAPI is a way in which operators speak to the registry. The product's own pages are
// one; another is put before them by WithOperatorAPI.
type OperatorAPI interface {
	// Handle answers a call of this speech and tells whether it was one.
	Handle(call *fasthttp.RequestCtx, desk OperatorBackend) bool
}

// OperatorBackend is what a speech may ask of the registry.
type OperatorBackend interface {
	// SubmitChange hands in a change and gives what became of it, or nil if that is not known when ctx
	// ends; it is worked on further. The same items, handed in again meanwhile, join it.
	SubmitChange(ctx context.Context, change *schema.Change) *schema.ChangeOutcome
	// ReadItems gives all items, tombstones included, no older than any yes given before the call;
	// false if that cannot be told before ctx ends.
	ReadItems(ctx context.Context) ([]*schema.Item, bool)
	// StartRollout states a plan that moves all of a service's calls to a version over a time. A plan for
	// that version that is under way already is left as it is, and accepted.
	StartRollout(ctx context.Context, service, version string, over time.Duration) *schema.ChangeOutcome
	// RolloutStatus tells how the plan for a service stands and for which version it is; the state is
	// empty if there is none, known false if that cannot be told before ctx ends.
	RolloutStatus(ctx context.Context, service string) (state RolloutStatus, version string, known bool)
}

// RolloutStatus is how a release plan stands.
type RolloutStatus string

// How a plan stands, as operators are told.
const (
	RolloutInProgress RolloutStatus = "under way"
	RolloutDone       RolloutStatus = "done" // the version is the service's fallback now
	RolloutRolledBack RolloutStatus = "back" // the version was found bad
)

// pendingChange is a change on its way.
type pendingChange struct {
	done    chan struct{}
	outcome *schema.ChangeOutcome // once done is closed; nil for not known
}

// changeDigest tells changes apart by all that they ask for, down to how the operator said it.
func changeDigest(change *schema.Change) string {
	hash := sha256.New()
	for _, item := range change.Items {
		fmt.Fprintf(hash, "%q %q %d %t %q %q\n", item.Kind, item.Name, item.OperatorVersion, item.Deleted, item.Body, item.OperatorBody)
	}
	for _, expected := range change.Expected {
		fmt.Fprintf(hash, "%q %q %d\n", expected.Kind, expected.Name, expected.Sequence)
	}
	fmt.Fprint(hash, change.ByOperatorVersion)
	return hex.EncodeToString(hash.Sum(nil))
}

// SubmitChange hands in a change; its id, unless it has one, is made here.
func (s *Server) SubmitChange(ctx context.Context, change *schema.Change) *schema.ChangeOutcome {
	digest := changeDigest(change)
	s.lock.Lock()
	pending := s.pendingChanges[digest]
	if pending == nil {
		pending = &pendingChange{done: make(chan struct{})}
		s.pendingChanges[digest] = pending
		s.changeSerial++
		if change.Id == "" {
			change.Id = fmt.Sprintf("%s-%x-%d", s.initialOptions.Seat, s.incarnation, s.changeSerial)
		}
		go s.completeChange(digest, pending, change)
	}
	s.lock.Unlock()
	select {
	case <-pending.done:
		return pending.outcome
	case <-ctx.Done():
		return nil
	}
}

// completeChange keeps at a change after whoever handed it in has stopped waiting.
func (s *Server) completeChange(digest string, pending *pendingChange, change *schema.Change) {
	bounded, cancel := context.WithTimeout(context.Background(), time.Duration(s.currentOptions().AnswerMost))
	defer cancel()
	reply := s.propose(bounded, change)
	if outcome := reply.GetOutcome(); outcome != nil {
		if outcome.Ruling != schema.Ruling_RULING_ACCEPTED || s.awaitAcknowledgement(bounded, outcome.Version.GetSequence()) == nil {
			pending.outcome = outcome
		}
	}
	s.lock.Lock()
	delete(s.pendingChanges, digest)
	s.lock.Unlock()
	close(pending.done)
}

// ReadItems gives all items as of a moment after the call began.
func (s *Server) ReadItems(ctx context.Context) ([]*schema.Item, bool) {
	for ctx.Err() == nil {
		readIndex, err := s.store.ReadIndex(ctx, &schema.Empty{})
		if err != nil || readIndex.Undecided {
			s.waitLeaseFraction(ctx, retryPauseDivisor)
			continue
		}
		for ctx.Err() == nil {
			s.lock.Lock()
			committed, configState, stateChanged := s.fleetState.committedRevision, s.configState, s.stateChanged
			s.lock.Unlock()
			if committed >= readIndex.Committed {
				return configState.Items(), true
			}
			select {
			case <-stateChanged:
			case <-ctx.Done():
			}
		}
	}
	return nil, false
}

// StartRollout states a release plan as one change.
func (s *Server) StartRollout(ctx context.Context, service, version string, duration time.Duration) *schema.ChangeOutcome {
	for ctx.Err() == nil {
		if _, known := s.ReadItems(ctx); !known {
			return nil
		}
		snapshot, state := s.configSnapshotAndState()
		step, err := release.PlanRollout(snapshot, state, release.RolloutOrder{Service: service, Version: version, Within: duration})
		switch {
		case err != nil && errs.CodeOf(err) == errs.InvalidConfig:
			return &schema.ChangeOutcome{Ruling: schema.Ruling_RULING_INVALID, Faults: []*schema.FieldError{{Path: "release." + service, Reason: err.Error()}}}
		case err != nil:
			return nil
		case step == nil:
			return &schema.ChangeOutcome{Ruling: schema.Ruling_RULING_ACCEPTED}
		}
		s.lock.Lock()
		s.changeSerial++
		change := step.Change(s.initialOptions.Seat, s.incarnation, s.changeSerial, state)
		s.lock.Unlock()
		// A step of another hand came between: look again.
		if outcome := s.SubmitChange(ctx, change); outcome.GetRuling() != schema.Ruling_RULING_CONFLICT {
			return outcome
		}
	}
	return nil
}

// RolloutStatus tells how a release plan stands.
func (s *Server) RolloutStatus(ctx context.Context, service string) (state RolloutStatus, version string, known bool) {
	if _, known := s.ReadItems(ctx); !known {
		return "", "", false
	}
	version, planState := release.RolloutState(s.configSnapshot(), service)
	switch planState {
	case "":
		return "", "", true
	case release.StateDone:
		return RolloutDone, version, true
	case release.StateRolledBack:
		return RolloutRolledBack, version, true
	}
	return RolloutInProgress, version, true
}
