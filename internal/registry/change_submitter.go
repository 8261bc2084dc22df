package registry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"meadowhinge/schema"
)

// changeSubmitter proposes changes to the store and sees them through to their acknowledgement. All fields but the last two are
// set at the start and do not change.
type changeSubmitter struct {
	state        *sharedState
	options      *liveOptions
	store        schema.DRPCStoreClient
	acknowledger *acknowledger

	// Guarded by sharedState.lock.
	changeSerial   uint64                    // of the change ids that were made here last
	pendingChanges map[string]*pendingChange // that SubmitChange is working on, by changeHash
}

func newChangeSubmitter(state *sharedState, live *liveOptions, store schema.DRPCStoreClient,
	changeAcknowledger *acknowledger,
) *changeSubmitter {
	return &changeSubmitter{
		state:          state,
		options:        live,
		store:          store,
		acknowledger:   changeAcknowledger,
		pendingChanges: map[string]*pendingChange{},
	}
}

// propose hands a change to the store until it is decided. To repeat a proposal is safe: the store gives a change id that it has
// accepted before its first outcome. nil stands for an unknown outcome, when ctx ended.
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

// pendingChange is a change that SubmitChange is working on.
type pendingChange struct {
	done    chan struct{}         // closed when the outcome is set
	outcome *schema.ChangeOutcome // nil for unknown
}

// changeHash tells changes apart by all that they change and expect, down to the text in which the operator wrote it.
func changeHash(change *schema.Change) string {
	hasher := sha256.New() // writing to it does not fail
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

// SubmitChange submits a change, or joins the same change if it is being worked on: see OperatorBackend. A change without an id
// is given one here.
func (c *changeSubmitter) SubmitChange(ctx context.Context, change *schema.Change) *schema.ChangeOutcome {
	pending := c.startChange(change) //nolint:contextcheck // the work goes on after ctx ended: see completeChange
	select {
	case <-pending.done:
		return pending.outcome
	case <-ctx.Done():
		return nil
	}
}

// startChange starts to work on a change, unless the same change is being worked on.
func (c *changeSubmitter) startChange(change *schema.Change) *pendingChange {
	hash := changeHash(change)
	c.state.lock.Lock()
	defer c.state.lock.Unlock()
	if pending := c.pendingChanges[hash]; pending != nil {
		return pending
	}
	pending := &pendingChange{done: make(chan struct{})}
	c.pendingChanges[hash] = pending
	serial := c.nextSerialLocked()
	if change.Id == "" {
		change.Id = fmt.Sprintf("%s-%x-%d", c.state.config.memberID, c.state.incarnation, serial)
	}
	go c.completeChange(hash, pending, change)
	return pending
}

// nextSerialLocked is the serial of the next change id made here; the caller holds the lock.
func (c *changeSubmitter) nextSerialLocked() uint64 {
	c.changeSerial++
	return c.changeSerial
}

// completeChange works on a change until it is acknowledged, refused, or takes too long. It does so also after those who
// submitted it have stopped waiting, and so under a context of its own: the change may have been proposed already, and whoever
// submits it again joins it here.
func (c *changeSubmitter) completeChange(hash string, pending *pendingChange, change *schema.Change) {
	bounded, cancel := context.WithTimeout(context.Background(), c.options.changeTimeout())
	defer cancel()
	reply := c.propose(bounded, change)
	if outcome := reply.GetOutcome(); outcome != nil {
		settled := true // a refused change has nothing to be acknowledged
		if outcome.Ruling == schema.Ruling_RULING_ACCEPTED {
			_, settled = c.acknowledger.await(bounded, outcome.Version.GetSequence())
		}
		// Without acknowledgement the outcome stays nil, for unknown: the change is committed, but may not be in force.
		if settled {
			pending.outcome = outcome
		}
	}
	c.state.lock.Lock()
	delete(c.pendingChanges, hash)
	c.state.lock.Unlock()
	close(pending.done)
}
