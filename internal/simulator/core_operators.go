package simulator

import (
	"fmt"
	"maps"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/linearize"
	"meadowhinge/schema"
)

// submitPeriodically submits changes at random intervals of less than 600 ms.
func (w *CoreWorld) submitPeriodically() {
	w.submitCoreChange()
	w.schedule(w.randomDuration(600*time.Millisecond), w.submitPeriodically)
}

// submitCoreChange submits a change at a random member. In a third of the cases it also submits a competing change of
// another operator at a random member.
func (w *CoreWorld) submitCoreChange() {
	change, resent := w.randomCoreChange()
	w.submitUntilDecided(w.randomMember(), change, resent)
	if w.randomInt(3) == 0 {
		other := w.competingChange(change)
		w.sentChanges = append(w.sentChanges, other)
		w.submitUntilDecided(w.randomMember(), other, false)
	}
}

// randomCoreChange draws a change: a valid one, an invalid one, or the items of an older one. An older change is sent
// under a new id or, if resent is true, under its own.
func (w *CoreWorld) randomCoreChange() (change *schema.Change, resent bool) {
	change = &schema.Change{Id: fmt.Sprint("change-", w.nextID()), ByOperatorVersion: true}
	switch kind := w.randomInt(10); {
	case kind == 0 && len(w.sentChanges) > 0:
		old := w.sentChanges[w.randomInt(len(w.sentChanges))]
		w.Resends++
		if change.Items = old.Items; w.randomInt(2) == 0 {
			change.Id, resent = old.Id, true
		}
	case kind == 1:
		name := fmt.Sprint("bad", w.nextID())
		w.History.addInvalidItem("route/" + name)
		change.Items = append(w.nextItems(1), &schema.Item{
			Kind:            "route",
			Name:            name,
			OperatorVersion: 1,
			Body:            []byte(`{"service":"gone","prefix":"/","horizon":"1s"}`),
		})
	default:
		change.Items = w.nextItems(1 + w.randomInt(3))
		w.sentChanges = append(w.sentChanges, change)
	}
	if w.seededFault == SeededOperatorVersionsIgnored {
		change.ByOperatorVersion = false
	}
	return change, resent
}

// competingChange returns a change of another operator to the same items: other contents under the same versions, or
// the next versions.
func (w *CoreWorld) competingChange(change *schema.Change) *schema.Change {
	other := &schema.Change{Id: fmt.Sprint("change-", w.nextID()), ByOperatorVersion: change.ByOperatorVersion}
	sameVersions := w.randomInt(2) == 0
	for _, item := range change.Items {
		switch {
		case item.Kind == "segment" && sameVersions:
			other.Items = append(other.Items, w.conflictingItem(item))
		case item.Kind == "segment":
			other.Items = append(other.Items, w.nextItem(item.Name))
		}
	}
	return other
}

// coreItem returns the name of the item with an index below coreItemCount.
func coreItem(index int) string { return fmt.Sprint("s", index) }

// nextItems returns the next versions of a number of random items; an item may be drawn more than once.
func (w *CoreWorld) nextItems(count int) (items []*schema.Item) {
	for range count {
		items = append(items, w.nextItem(coreItem(w.randomInt(coreItemCount))))
	}
	return items
}

// nextItem returns the next version of an item. Versions increase by random steps of one to three. A quarter of them
// delete the item.
func (w *CoreWorld) nextItem(name string) *schema.Item {
	w.issuedVersions[name] += uint64(1 + w.randomInt(3))
	item := &schema.Item{
		Kind:            "segment",
		Name:            name,
		OperatorVersion: w.issuedVersions[name],
		Deleted:         w.randomInt(4) == 0,
	}
	if !item.Deleted {
		item.Body = []byte(fmt.Sprintf(`{"salt":"%d"}`, item.OperatorVersion))
	}
	w.recordContent(item)
	return item
}

// recordContent records the content that an operator sends for an item under its version.
func (w *CoreWorld) recordContent(item *schema.Item) {
	if w.sentContents[item.Name] == nil {
		w.sentContents[item.Name] = map[uint64][]string{}
	}
	versions := w.sentContents[item.Name]
	versions[item.OperatorVersion] = append(versions[item.OperatorVersion], string(item.Body))
}

// conflictingItem returns an item of the same name and version with another content.
func (w *CoreWorld) conflictingItem(of *schema.Item) *schema.Item {
	item := &schema.Item{
		Kind:            of.Kind,
		Name:            of.Name,
		OperatorVersion: of.OperatorVersion,
		Body:            []byte(fmt.Sprintf(`{"salt":"rival %d"}`, w.nextID())),
	}
	w.recordContent(item)
	return item
}

// submitUntilDecided proposes a change at a member again and again until it is decided. Like a registry, it moves on
// to a random member when the member does not respond. It gives up after a minute. The flag resent tells that the
// change was sent before under the same id. It is a violation if the change stays undecided for acknowledgementBound
// while no fault is active or recent.
func (w *CoreWorld) submitUntilDecided(node *memberNode, change *schema.Change, resent bool) {
	began, quietSince := w.now, w.now
	decided := false
	client := w.nextID()
	recordCall := func(result linearize.Result) { w.recordCall(client, change, result, began) }
	w.unanswered[client] = func() { recordCall(linearize.OutcomeUnknown) }
	w.retryEvery(200*time.Millisecond, func() bool {
		if decided {
			return true
		}
		// The bound applies only to times without an active or recent fault.
		if w.activeFaults > 0 || w.now-w.lastFaultAt < quietPeriod {
			quietSince = w.now
		}
		if w.now-quietSince > acknowledgementBound {
			w.History.recordViolation(ViolationSlowAcknowledgement, "%v: change %s, sent at %v, is still undecided", w.now, change.Id, began)
			return true
		}
		if w.now-began > time.Minute {
			return true
		}
		if !w.isResponsive(&node.process) {
			node = w.randomMember()
			return false
		}
		w.propose(node, change, func(ruling schema.Ruling) {
			if decided {
				return
			}
			decided = true
			delete(w.unanswered, client)
			recordCall(resultOf(ruling, resent, len(change.Items)))
		})
		return false
	})
}

// recordCall records a change of items for the linearizability check, as a call that lasted from began to now.
func (w *CoreWorld) recordCall(client int, change *schema.Change, result linearize.Result, began time.Duration) {
	for _, item := range change.Items {
		if item.Kind == "segment" {
			w.calls.Add(linearize.Operation{
				Client: client,
				Item:   item.Name,
				Value:  valueOf(item),
				Result: result,
				Begin:  began,
				End:    w.now,
			})
		}
	}
}

// valueOf returns the value of an item for the linearizability check. A missing or deleted item is absent.
func valueOf(item *schema.Item) linearize.Value {
	if item == nil || item.Deleted {
		return linearize.Value{Version: item.GetOperatorVersion(), Absent: true}
	}
	return linearize.Value{Version: item.OperatorVersion, Content: string(item.Body)}
}

// resultOf returns the result that a ruling implies for each item of a change, for the linearizability check. Only
// the conflict of a single item that is not resent counts as Conflicted. With several items the ruling does not tell
// which of them conflicted, and a change that is sent again under its own id gets its first ruling.
func resultOf(ruling schema.Ruling, resent bool, items int) linearize.Result {
	switch {
	case ruling == schema.Ruling_RULING_ACCEPTED:
		return linearize.Accepted
	case ruling == schema.Ruling_RULING_CONFLICT && items == 1 && !resent:
		return linearize.Conflicted
	}
	return linearize.Rejected
}

// propose proposes a change at a member and calls onRuling with the ruling that the operator gets. An undecided
// proposal has no ruling.
func (w *CoreWorld) propose(node *memberNode, change *schema.Change, onRuling func(schema.Ruling)) {
	if w.seededFault == SeededOperatorVersionsIgnored {
		_, state := node.replica.Committed()
		change = &schema.Change{Id: change.Id, Items: change.Items, Expected: expectedVersions(state, change.Items)}
	}
	ticket := fmt.Sprint("offer-", w.nextID())
	node.pendingRulings[ticket] = func(reply *schema.ProposalReply) {
		if reply.Undecided {
			return
		}
		ruling := reply.Outcome.Ruling
		if w.seededFault == SeededConflictAccepted && ruling == schema.Ruling_RULING_CONFLICT {
			ruling = schema.Ruling_RULING_ACCEPTED
		}
		onRuling(ruling)
		if w.seededFault != SeededOperatorVersionsIgnored {
			w.History.recordRuling(w.now, change.Id, reply.Outcome.Ruling)
		}
		if reply.Outcome.Ruling == schema.Ruling_RULING_ACCEPTED {
			w.recordAcknowledged(change, reply.Outcome.Version.Sequence)
		}
	}
	proposal := &schema.Proposal{Ticket: ticket, Change: change}
	w.execute(node, node.replica.Propose(node.clock.at(w.now), proposal))
	outcome, appended := node.replica.AppendedOutcome(change.Id)
	if w.seededFault == SeededUncommittedAcknowledgement && appended && outcome.Ruling == schema.Ruling_RULING_ACCEPTED {
		w.recordAcknowledged(change, 0)
	}
}

// recordAcknowledged records an acknowledged change and triggers the faults that wait for an acknowledgement.
func (w *CoreWorld) recordAcknowledged(change *schema.Change, sequence uint64) {
	w.Acknowledgements++
	w.History.recordAcknowledgement(w.now, sequence)
	for _, item := range change.Items {
		if item.Kind == "segment" {
			w.acknowledgedVersions[item.Name] = max(w.acknowledgedVersions[item.Name], item.OperatorVersion)
		}
	}
	for _, callback := range w.onAcknowledged {
		callback()
	}
	w.onAcknowledged = nil
}

// readPeriodically reads the configuration at a random member, at random intervals of less than 2 s.
func (w *CoreWorld) readPeriodically() {
	w.readAt(w.randomMember())
	w.schedule(w.randomDuration(2*time.Second), w.readPeriodically)
}

// readAt reads the whole configuration at a member through a read index, as a registry does. It checks the result and
// records it for the linearizability check.
func (w *CoreWorld) readAt(node *memberNode) {
	if !w.isResponsive(&node.process) {
		return
	}
	acknowledged := maps.Clone(w.acknowledgedVersions)
	began, client := w.now, w.nextID()
	recordRead := func(state config.State) {
		w.Reads++
		w.checkRead(node, state, acknowledged)
		for index := range coreItemCount {
			name := coreItem(index)
			w.calls.Add(linearize.Operation{
				Client: client,
				Item:   name,
				Read:   true,
				Value:  valueOf(state[config.Key("segment", name)]),
				Result: linearize.Accepted,
				Begin:  began,
				End:    w.now,
			})
		}
	}
	if w.seededFault == SeededStaleRead {
		_, state := node.replica.Committed()
		recordRead(state)
		return
	}
	ticket := fmt.Sprint("stand-", w.nextID())
	node.pendingReadIndexes[ticket] = func(reply *schema.ReadIndexReply) {
		if reply.Undecided {
			return
		}
		var awaitCommitted func()
		awaitCommitted = func() {
			committed, state := node.replica.Committed()
			if committed < reply.Committed {
				w.scheduleOn(&node.process, pollInterval, awaitCommitted)
				return
			}
			recordRead(state)
		}
		awaitCommitted()
	}
	w.execute(node, node.replica.ReadIndex(node.clock.at(w.now), ticket))
}
