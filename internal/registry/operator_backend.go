package registry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/config"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// OperatorAPI is a dialect of the operators' HTTP interface. The paths under /v1 are the registry's own; WithOperatorAPI puts
// another dialect before them.
type OperatorAPI interface {
	// Handle answers a call of this dialect and tells whether it was one; if not, it leaves the call untouched. It is called
	// concurrently.
	Handle(call *fasthttp.RequestCtx, backend OperatorBackend) bool
}

// OperatorBackend is what a dialect can do with the registry. All methods are safe for concurrent use.
type OperatorBackend interface {
	// SubmitChange submits a change and gives its outcome once it is acknowledged or refused, or nil if that is not known when
	// ctx ends; work on it goes on. The same change, submitted again meanwhile, joins it.
	SubmitChange(ctx context.Context, change *schema.Change) *schema.ChangeOutcome
	// ReadItems gives all items, tombstones included, no older than any change acknowledged before the call; false if that is
	// not known when ctx ends.
	ReadItems(ctx context.Context) ([]*schema.Item, bool)
	// StartRollout submits a release plan that moves all of a service's calls to a version over a time. A plan for that version
	// that is in progress is left as it is, and accepted. nil stands for an unknown outcome.
	StartRollout(ctx context.Context, service, version string, over time.Duration) *schema.ChangeOutcome
	// RolloutStatus gives the state of the release plan of a service, and its version. The state is empty if there is none, known
	// false if it is not known when ctx ends.
	RolloutStatus(ctx context.Context, service string) (state RolloutStatus, version string, known bool)
}

// RolloutStatus is the state of a release plan, in the words of the operators' pages.
type RolloutStatus string

// The states of a release plan.
const (
	RolloutInProgress RolloutStatus = "under way"
	RolloutDone       RolloutStatus = "done" // the version is the service's fallback now
	RolloutRolledBack RolloutStatus = "back" // the version was found bad
)

// operatorBackend implements OperatorBackend. Its fields are set at the start and do not change.
type operatorBackend struct {
	*changeSubmitter
}

func newOperatorBackend(submitter *changeSubmitter) *operatorBackend {
	return &operatorBackend{submitter}
}

// ReadItems gives all items as of a moment after the call began.
func (b *operatorBackend) ReadItems(ctx context.Context) ([]*schema.Item, bool) {
	for ctx.Err() == nil {
		readIndex, err := b.store.ReadIndex(ctx, &schema.Empty{})
		if err != nil || readIndex.Undecided {
			b.state.waitLeaseFraction(ctx, retryIntervalDivisor)
			continue
		}
		var state config.State
		reached := b.state.awaitCommitted(ctx, readIndex.Committed, func() { state = b.state.configCache.state })
		if reached {
			return state.Items(), true
		}
	}
	return nil, false
}

// StartRollout submits a release plan as one change.
func (b *operatorBackend) StartRollout(ctx context.Context, service, version string, over time.Duration) *schema.ChangeOutcome {
	for ctx.Err() == nil {
		// The plan is made from a configuration that is no older than the call.
		if _, known := b.ReadItems(ctx); !known {
			return nil
		}
		snapshot, state := b.state.compiledConfig()
		step, err := release.PlanRollout(snapshot, state, release.RolloutOrder{Service: service, Version: version, Within: over})
		switch {
		case err != nil && errs.CodeOf(err) == errs.InvalidConfig:
			return &schema.ChangeOutcome{
				Ruling: schema.Ruling_RULING_INVALID,
				Faults: []*schema.FieldError{{Path: "release." + service, Reason: err.Error()}},
			}
		case err != nil:
			return nil
		case step == nil:
			return &schema.ChangeOutcome{Ruling: schema.Ruling_RULING_ACCEPTED}
		}
		// The rollout driver makes change ids of this form too, from a serial of its own. The ids differ by the name of the step, which
		// is "order-" and the service here, and the name of the plan there.
		b.state.lock.Lock()
		change := step.Change(b.state.config.memberID, b.state.incarnation, b.nextSerialLocked(), state)
		b.state.lock.Unlock()
		// On a conflict, another change was committed since the configuration was read: plan again.
		if outcome := b.SubmitChange(ctx, change); outcome.GetRuling() != schema.Ruling_RULING_CONFLICT {
			return outcome
		}
	}
	return nil
}

// RolloutStatus gives the state of the release plan of a service.
func (b *operatorBackend) RolloutStatus(ctx context.Context, service string) (state RolloutStatus, version string, known bool) {
	if _, known := b.ReadItems(ctx); !known {
		return "", "", false
	}
	snapshot, _ := b.state.compiledConfig()
	version, planState := release.RolloutState(snapshot, service)
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
