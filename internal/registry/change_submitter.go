package registry

import (
	"context"
	"fmt"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"meadowhinge/schema"
)

// changeSubmitter proposes changes to the store and waits for their acknowledgement. The fields that sharedState.lock
// guards are its only mutable ones.
type changeSubmitter struct {
	state        *sharedState
	options      *liveOptions
	store        schema.DRPCStoreClient
	acknowledger *acknowledger
	log          logr.Logger

	// Guarded by sharedState.lock.
	pendingChanges map[string]*pendingChange // changes in progress in SubmitChange, by change id
}

func newChangeSubmitter(state *sharedState, live *liveOptions, store schema.DRPCStoreClient,
	changeAcknowledger *acknowledger, log logr.Logger,
) *changeSubmitter {
	return &changeSubmitter{
		state:          state,
		options:        live,
		store:          store,
		acknowledger:   changeAcknowledger,
		log:            log,
		pendingChanges: map[string]*pendingChange{},
	}
}

// propose proposes a change to the store, with retries, until the change is decided. It returns nil if ctx ended first:
// the outcome is then unknown. Repeating a proposal is safe, since the store replies to a change id that was decided
// before with its first outcome.
func (c *changeSubmitter) propose(ctx context.Context, change *schema.Change) *schema.ProposalReply {
	for {
		reply, err := c.store.Propose(ctx, &schema.Proposal{Change: change})
		if err == nil && !reply.Undecided {
			return reply
		}
		c.state.waitLeaseFraction(ctx, retryIntervalDivisor)
		if ctx.Err() != nil {
			return nil
		}
	}
}

// pendingChange is a change in progress, with the result that all its submitters wait for.
type pendingChange struct {
	done    chan struct{}         // closed once outcome is final
	outcome *schema.ChangeOutcome // read only after done is closed; nil if the outcome is unknown
}

// SubmitChange submits a change, or waits for the same change if that is already in progress: see OperatorBackend. It
// sets the id of a change that has none.
func (c *changeSubmitter) SubmitChange(ctx context.Context, change *schema.Change) *schema.ChangeOutcome {
	pending := c.startChange(change) //nolint:contextcheck // the change continues after ctx ended: see completeChange
	select {
	case <-pending.done:
		return pending.outcome
	case <-ctx.Done():
		return nil
	}
}

// startChange starts processing a change, and returns it. If the change is already in progress, it returns that one.
func (c *changeSubmitter) startChange(change *schema.Change) *pendingChange {
	if change.Id == "" {
		change.Id = CallID(change)
	}
	c.state.lock.Lock()
	defer c.state.lock.Unlock()
	if pending := c.pendingChanges[change.Id]; pending != nil {
		return pending
	}
	pending := &pendingChange{done: make(chan struct{})}
	c.pendingChanges[change.Id] = pending
	go c.completeChange(pending, change)
	return pending
}

// completeChange processes a change until it is acknowledged or refused, or until the change timeout. It has its own
// context, so it continues after all submitters have stopped waiting: the change may already have been proposed, and a
// submitter who repeats it joins it here.
func (c *changeSubmitter) completeChange(pending *pendingChange, change *schema.Change) {
	timeoutCtx, cancel := context.WithTimeout(context.Background(), c.options.changeTimeout())
	defer cancel()
	startedAt := time.Now()
	knownRevision := c.state.committedRevision()
	outcome := c.propose(timeoutCtx, change).GetOutcome()
	c.logOutcome(change, outcome, time.Since(startedAt))
	if outcome != nil {
		settled := true // a refused change needs no acknowledgement
		if outcome.Ruling == schema.Ruling_RULING_ACCEPTED {
			_, settled = c.acknowledger.await(timeoutCtx, outcome.Version.GetSequence())
		}
		// Without acknowledgement the outcome stays nil, for unknown: the change is committed, but some proxies may not
		// apply it yet.
		if settled {
			pending.outcome = explainRepeatedRefusal(change, outcome, knownRevision)
		}
	}
	c.state.lock.Lock()
	delete(c.pendingChanges, change.Id)
	c.state.lock.Unlock()
	close(pending.done)
}

// explainRepeatedRefusal adds to the outcome of a change by operator versions, if it is a refusal from before the call
// came in, that the call itself is refused for good. Its faults alone would mislead an operator who has corrected them in
// the meantime. knownRevision is the revision that this registry had when the call came in.
func explainRepeatedRefusal(change *schema.Change, outcome *schema.ChangeOutcome, knownRevision uint64) *schema.ChangeOutcome {
	refusedAt := outcome.Version.GetSequence()
	if !change.ByOperatorVersion || outcome.Ruling != schema.Ruling_RULING_INVALID || refusedAt > knownRevision {
		return outcome
	}
	explained := proto.Clone(outcome).(*schema.ChangeOutcome)
	explained.Faults = append(explained.Faults, &schema.FieldError{
		Path:   ".",
		Reason: fmt.Sprintf("the same call was refused at revision %d; send it under higher versions", refusedAt),
	})
	return explained
}

// logOutcome logs the store's decision on a change, or that there was none before the change timeout. All registries that
// got a copy of one call log it under one id.
func (c *changeSubmitter) logOutcome(change *schema.Change, outcome *schema.ChangeOutcome, elapsed time.Duration) {
	fields := []any{"change", change.Id, "items", len(change.Items), "elapsed", elapsed.String()}
	if outcome == nil {
		c.log.Info("configuration change undecided", fields...)
		return
	}
	fields = append(fields, "ruling", rulings[outcome.Ruling].name, "revision", outcome.Version.GetSequence())
	c.log.Info("configuration change decided", fields...)
}
