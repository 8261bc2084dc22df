package registry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// This file starts rollouts on behalf of operators. An order has no id and no version, so a late copy of it looks like a
// new order. The outcome of each order is therefore stored under an id derived from the order, a refusal too, and is the
// outcome of all copies for the time of orderMemoryLeases.

// orderMemoryLeases is how long an order with the same arguments counts as a copy, in leases since this registry has had
// the revision at which the order was decided. It must exceed the time that a copy may spend at a machine that is frozen
// or cut off, and is the time after which an operator can give the same order anew.
const orderMemoryLeases = 15

// orderIDDigits is the number of hexadecimal digits that identify the arguments of an order in its id.
const orderIDDigits = 32

// rolloutOrderID returns the change id of an order. Orders with the same arguments that are no copies of each other are
// told apart by the revision at which the one before was decided, zero for none.
func rolloutOrderID(order release.RolloutOrder, previousRevision uint64) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %q %d", order.Service, order.Version, order.Within))
	return fmt.Sprintf("order-%s-%d", hex.EncodeToString(sum[:])[:orderIDDigits], previousRevision)
}

// StartRollout plans a rollout from the current configuration and submits the release plan as one change under the id of
// the order. It plans again under another id after a conflict, and if the outcome is that of an order too long ago for
// this one to be its copy. The outcome is unknown for a copy of an accepted order whose rollout is no longer in force.
func (b *operatorBackend) StartRollout(ctx context.Context, service, version string, duration time.Duration) *schema.ChangeOutcome {
	order := release.RolloutOrder{Service: service, Version: version, Within: duration}
	previousRevision := uint64(0)
	for ctx.Err() == nil {
		// Plan from a configuration that contains every change acknowledged before the call.
		if _, known := b.ReadItems(ctx); !known {
			return nil
		}
		planned := b.planRollout(order)
		if planned == nil {
			return nil
		}
		change := &schema.Change{
			Id:       rolloutOrderID(order, previousRevision),
			Items:    planned.items,
			Expected: planned.expected,
		}
		outcome := b.SubmitChange(ctx, change)
		decidedAt := outcome.GetVersion().GetSequence()
		isCopy := decidedAt <= planned.revision
		switch {
		case outcome == nil:
			return nil
		case outcome.Ruling == schema.Ruling_RULING_CONFLICT || b.state.hasHadFor(decidedAt, orderMemoryLeases*b.state.config.lease):
			previousRevision = decidedAt
		case outcome.Ruling == schema.Ruling_RULING_ACCEPTED && isCopy && len(planned.items) > 0:
			// The rollout has ended otherwise since, so this is a late copy, or a new order that comes too soon. An
			// acknowledgement would be wrong for the latter.
			return nil
		case outcome.Ruling == schema.Ruling_RULING_INVALID && isCopy:
			return refusedOrder(outcome, order, fmt.Sprintf("the same order was refused at revision %d; give it again after %v",
				decidedAt, orderMemoryLeases*b.state.config.lease))
		case outcome.Ruling == schema.Ruling_RULING_INVALID && planned.refusal != nil:
			return refusedOrder(outcome, order, planned.refusal.Error())
		default:
			return outcome
		}
	}
	return nil
}

// plannedOrder is what to submit for an order, planned from one configuration.
type plannedOrder struct {
	revision uint64                    // revision of that configuration
	items    []*schema.Item            // none if the order needs no change; items that the store refuses if it is invalid
	expected []*schema.ExpectedVersion // versions of the items in that configuration
	refusal  error                     // why the order is invalid; nil if it is valid
}

// planRollout plans an order from the configuration that this registry has. It returns nil if the order cannot be planned
// now.
func (b *operatorBackend) planRollout(order release.RolloutOrder) *plannedOrder {
	snapshot, state := b.state.compiledConfig()
	planned := &plannedOrder{revision: snapshot.Revision}
	step, err := release.PlanRollout(snapshot, state, order)
	switch {
	case err != nil && errs.CodeOf(err) == errs.InvalidConfig:
		step, planned.refusal = release.RefusedOrder(order), err
	case err != nil:
		return nil
	}
	if step != nil {
		planned.items, planned.expected = step.Items, step.Preconditions(state)
	}
	return planned
}

// refusedOrder returns the outcome of a refused order with the reason to report.
func refusedOrder(outcome *schema.ChangeOutcome, order release.RolloutOrder, reason string) *schema.ChangeOutcome {
	return &schema.ChangeOutcome{
		ChangeId: outcome.ChangeId,
		Ruling:   outcome.Ruling,
		Version:  outcome.Version,
		Faults:   []*schema.FieldError{{Path: "release." + order.Service, Reason: reason}},
	}
}

// hasHadFor reports whether this registry has had a revision for a time span: see FleetState.HasHadFor.
func (s *sharedState) hasHadFor(revision uint64, span time.Duration) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.fleetState.HasHadFor(s.now(), revision, span)
}
