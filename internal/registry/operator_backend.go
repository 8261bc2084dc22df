package registry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/config"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// OperatorAPI is an additional HTTP API for operators. WithOperatorAPI installs it. It gets every request before the
// registry's own API, which has the paths under /v1.
type OperatorAPI interface {
	// Handle answers a request that belongs to this API, and reports whether it does. If not, it leaves the request
	// unchanged for the registry's own API. Handle is called concurrently.
	Handle(call *fasthttp.RequestCtx, backend OperatorBackend) bool
}

// OperatorBackend is the registry as an OperatorAPI uses it. All methods are safe for concurrent use.
type OperatorBackend interface {
	// SubmitChange submits a change and returns its outcome once the change is acknowledged or refused. It returns nil
	// if ctx ends first or the change timeout passes. The outcome is then unknown, and the change may still be committed.
	// While a change is in progress, submitting the same change again waits for it instead of proposing it again. A change
	// without an id is identified by its content: one that was refused or accepted before, at whichever registry, gets
	// that outcome again, as long as the stores remember it.
	SubmitChange(ctx context.Context, change *schema.Change) *schema.ChangeOutcome
	// ReadItems returns all items, including tombstones, from a revision that contains every change acknowledged before
	// the call. The second result is false if no such revision was reached before ctx ended.
	ReadItems(ctx context.Context) ([]*schema.Item, bool)
	// StartRollout submits a release plan that shifts all of a service's calls to a version over a duration.
	// If a plan for that version is already in progress, it is left unchanged and the ruling is accepted.
	// An order with the same arguments as one that was decided a short time ago, at whichever registry, counts as a copy
	// of that one and starts nothing. It gets the same outcome, or an unknown one if the rollout was rolled back or
	// replaced since. StartRollout returns nil if the outcome is unknown.
	StartRollout(ctx context.Context, service, version string, duration time.Duration) *schema.ChangeOutcome
	// RolloutStatus returns the state of a service's release plan and the plan's version. The state is empty if the
	// service has no plan. known is false if the state could not be read before ctx ended.
	RolloutStatus(ctx context.Context, service string) (state RolloutStatus, version string, known bool)
}

// RolloutStatus is the state of a release plan, as operators see it.
type RolloutStatus string

// The states of a release plan.
const (
	RolloutInProgress RolloutStatus = "under way"
	RolloutDone       RolloutStatus = "done" // the plan's version is now the service's fallback version
	RolloutRolledBack RolloutStatus = "back" // the plan's version was judged bad
)

// operatorBackend implements OperatorBackend. Its fields do not change after construction.
type operatorBackend struct {
	*changeSubmitter
}

func newOperatorBackend(submitter *changeSubmitter) *operatorBackend {
	return &operatorBackend{submitter}
}

// ReadItems returns all items, including tombstones, of a revision that is at least as new as the store's read index
// during the call.
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

// RolloutStatus returns the state and the version of a service's release plan.
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
