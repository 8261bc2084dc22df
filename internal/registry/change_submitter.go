package registry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
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

// changeHash returns a hash of everything in a change except its id, including the operator's source text of the items.
// The same change submitted under two ids therefore has one hash. The hash of a change must be the same in every release:
// callID depends on it, and the registries of a core may be of two releases.
func changeHash(change *schema.Change) string {
	hasher := sha256.New() // Write never returns an error
	for _, item := range change.Items {
		_, _ = fmt.Fprintf(hasher, "%q %q %d %t %q %q\n",
			item.Kind, item.Name, item.OperatorVersion, item.Deleted, item.Body, item.OperatorBody)
	}
	for _, expected := range change.Expected {
		_, _ = fmt.Fprintf(hasher, "%q %q %d\n", expected.Kind, expected.Name, expected.Sequence)
	}
	_, _ = fmt.Fprint(hasher, change.ByOperatorVersion)
	return hex.EncodeToString(hasher.Sum(nil))
}

// callIDPrefix and callIDDigits make up the ids of calls that came without one. 32 hexadecimal digits are 128 bits, so
// that two calls never have one id by chance.
const (
	callIDPrefix = "call-"
	callIDDigits = 32
)

// callID returns the id of a call that came without one, from the hash of its content. All copies of a call have one id,
// whichever registry they reach, and the store decides an id only once. So a copy that arrives after the call was refused
// gets the same refusal, even if the call would be valid by then.
func callID(hash string) string { return callIDPrefix + hash[:callIDDigits] }

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
	hash := changeHash(change)
	if change.Id == "" {
		change.Id = callID(hash)
	}
	c.state.lock.Lock()
	defer c.state.lock.Unlock()
	if pending := c.pendingChanges[change.Id]; pending != nil {
		return pending
	}
	pending := &pendingChange{done: make(chan struct{})}
	c.pendingChanges[change.Id] = pending
	go c.completeChange(hash, pending, change)
	return pending
}

// completeChange processes a change until it is acknowledged or refused, or until the change timeout. It has its own
// context, so it continues after all submitters have stopped waiting: the change may already have been proposed, and a
// submitter who repeats it joins it here.
func (c *changeSubmitter) completeChange(hash string, pending *pendingChange, change *schema.Change) {
	timeoutCtx, cancel := context.WithTimeout(context.Background(), c.options.changeTimeout())
	defer cancel()
	startedAt := time.Now()
	knownRevision := c.state.committedRevision()
	outcome := c.propose(timeoutCtx, change).GetOutcome()
	c.logOutcome(hash, change, outcome, time.Since(startedAt))
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

// logOutcome logs the store's decision on a change, or that there was none before the change timeout. The hash is the
// same at all registries that got a copy of the call; the change's id tells which of them proposed this copy.
func (c *changeSubmitter) logOutcome(hash string, change *schema.Change, outcome *schema.ChangeOutcome, elapsed time.Duration) {
	fields := []any{"change", change.Id, "hash", hash, "items", len(change.Items), "elapsed", elapsed.String()}
	if outcome == nil {
		c.log.Info("configuration change undecided", fields...)
		return
	}
	fields = append(fields, "ruling", rulings[outcome.Ruling].name, "revision", outcome.Version.GetSequence())
	c.log.Info("configuration change decided", fields...)
}
