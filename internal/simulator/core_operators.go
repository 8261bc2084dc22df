package simulator

import (
	"fmt"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/linearize"
	"meadowhinge/schema"
)

// submitPeriodically sends changes at random times.
func (w *coreWorld) submitPeriodically() {
	w.submitCoreChange()
	w.schedule(w.randomDuration(600*time.Millisecond), w.submitPeriodically)
}

func (w *coreWorld) submitCoreChange() {
	change := &schema.Change{Id: fmt.Sprint("change-", w.nextID()), ByOperatorVersion: true}
	resent := false // a call sent once more under its own id
	switch kind := w.randomInt(10); {
	case kind == 0 && len(w.sentChanges) > 0:
		// An older change arrives again, under its own id or as a new call.
		old := w.sentChanges[w.randomInt(len(w.sentChanges))]
		w.Resends++
		if change.Items = old.Items; w.randomInt(2) == 0 {
			change.Id, resent = old.Id, true
		}
	case kind == 1:
		name := fmt.Sprint("bad", w.nextID())
		w.History.markInvalid("route/" + name)
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
	at := w.randomMember()
	w.submitUntilDecided(at, change, resent)
	// Two operators at once, at two seats.
	if w.randomInt(3) == 0 {
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
		w.sentChanges = append(w.sentChanges, other)
		w.submitUntilDecided(w.randomMember(), other, false)
	}
}

// coreItem names one of the items that the operators change.
func coreItem(index int) string { return fmt.Sprint("s", index) }

func (w *coreWorld) nextItems(count int) (items []*schema.Item) {
	for range count {
		items = append(items, w.nextItem(coreItem(w.randomInt(coreItemCount))))
	}
	return items
}

// nextItem is the next version of an item, by an uneven step; now and then it is dropped.
func (w *coreWorld) nextItem(name string) *schema.Item {
	w.issuedVersions[name] += uint64(1 + w.randomInt(3))
	item := &schema.Item{Kind: "segment", Name: name, OperatorVersion: w.issuedVersions[name], Deleted: w.randomInt(4) == 0}
	if !item.Deleted {
		item.Body = []byte(fmt.Sprintf(`{"salt":"%d"}`, item.OperatorVersion))
	}
	w.recordContent(item)
	return item
}

// recordContent notes a content that an operator sends.
func (w *coreWorld) recordContent(item *schema.Item) {
	if w.sentContents[item.Name] == nil {
		w.sentContents[item.Name] = map[uint64][]string{}
	}
	w.sentContents[item.Name][item.OperatorVersion] = append(w.sentContents[item.Name][item.OperatorVersion], string(item.Body))
}

// conflictingItem is another content under the version of an item.
func (w *coreWorld) conflictingItem(of *schema.Item) *schema.Item {
	item := &schema.Item{
		Kind:            of.Kind,
		Name:            of.Name,
		OperatorVersion: of.OperatorVersion,
		Body:            []byte(fmt.Sprintf(`{"salt":"rival %d"}`, w.nextID())),
	}
	w.recordContent(item)
	return item
}

// submitUntilDecided hands a change to a store until it is decided, as a registry does, or moves on to another.
func (w *coreWorld) submitUntilDecided(node *memberNode, change *schema.Change, resent bool) {
	began, quietSince := w.now, w.now
	decided := false
	client := w.nextID()
	recordCall := func(result linearize.Result) {
		for _, item := range change.Items {
			if item.Kind == "segment" {
				w.calls.Add(linearize.Operation{
					Client: int(client),
					Item:   item.Name,
					Value:  valueOf(item),
					Result: result,
					Begin:  began,
					End:    w.now,
				})
			}
		}
	}
	w.unanswered[client] = func() { recordCall(linearize.OutcomeUnknown) }
	var attempt func()
	attempt = func() {
		if decided {
			return
		}
		// The bound runs only while nothing is wrong, and has not been for a while.
		if w.activeFaults > 0 || w.now-w.lastFaultAt < quietPeriod {
			quietSince = w.now
		}
		if w.now-quietSince > acknowledgementBound {
			w.History.recordBreach(RuleSlowAcknowledgement, "%v: %s, sent at %v, has no answer", w.now, change.Id, began)
			return
		}
		if w.now-began > time.Minute {
			return
		}
		if !w.World.isResponsive(&node.process) {
			node = w.randomMember()
		} else {
			w.propose(node, change, func(ruling schema.Ruling) {
				if decided {
					return
				}
				decided = true
				delete(w.unanswered, client)
				recordCall(resultOf(ruling, resent, len(change.Items)))
			})
		}
		w.schedule(200*time.Millisecond, attempt)
	}
	attempt()
}

// valueOf is an item as the checker of calls takes it.
func valueOf(item *schema.Item) linearize.Value {
	if item == nil || item.Deleted {
		return linearize.Value{Version: item.GetOperatorVersion(), Absent: true}
	}
	return linearize.Value{Version: item.OperatorVersion, Content: string(item.Body)}
}

// resultOf is what a ruling says of each item of a change. Where there are several, which of them
// clashed is not looked at; and one that is sent again under its own id is told its first ruling.
func resultOf(ruling schema.Ruling, resent bool, items int) linearize.Result {
	switch {
	case ruling == schema.Ruling_RULING_ACCEPTED:
		return linearize.Accepted
	case ruling == schema.Ruling_RULING_CONFLICT && items == 1 && !resent:
		return linearize.Conflicted
	}
	return linearize.Rejected
}

func (w *coreWorld) propose(node *memberNode, change *schema.Change, decided func(schema.Ruling)) {
	if w.seededFault == SeededOperatorVersionsIgnored {
		change = &schema.Change{Id: change.Id, Items: change.Items}
		_, state := node.replica.Committed()
		for _, item := range change.Items {
			if existing := state[config.Key(item.Kind, item.Name)]; existing != nil && !existing.Deleted {
				change.Expected = append(change.Expected, &schema.ExpectedVersion{
					Kind:     item.Kind,
					Name:     item.Name,
					Sequence: existing.Version.Sequence,
				})
			}
		}
	}
	ticket := fmt.Sprint("offer-", w.nextID())
	node.pendingReplies[ticket] = func(result any) {
		reply := result.(*schema.ProposalReply)
		if reply.Undecided {
			return
		}
		ruling := reply.Outcome.Ruling
		if w.seededFault == SeededConflictAccepted && ruling == schema.Ruling_RULING_CONFLICT {
			ruling = schema.Ruling_RULING_ACCEPTED
		}
		decided(ruling)
		if w.seededFault != SeededOperatorVersionsIgnored {
			w.History.recordRuling(w.now, change.Id, reply.Outcome.Ruling)
		}
		if reply.Outcome.Ruling == schema.Ruling_RULING_ACCEPTED {
			w.recordAcknowledged(change, reply.Outcome.Version.Sequence)
		}
	}
	w.execute(node, node.replica.Propose(node.clock.at(w.now), &schema.Proposal{Ticket: ticket, Change: change}))
	if outcome, appended := node.replica.AppendedOutcome(change.Id); w.seededFault == SeededUncommittedAcknowledgement && appended && outcome.Ruling == schema.Ruling_RULING_ACCEPTED {
		w.recordAcknowledged(change, 0)
	}
}

func (w *coreWorld) recordAcknowledged(change *schema.Change, sequence uint64) {
	w.Acknowledgements++
	w.History.recordAcknowledgement(w.now, sequence)
	for _, item := range change.Items {
		w.acknowledgedVersions[item.Name] = max(w.acknowledgedVersions[item.Name], item.OperatorVersion)
	}
	for _, callback := range w.onAcknowledged {
		callback()
	}
	w.onAcknowledged = nil
}

// readPeriodically reads the whole setup back at some seat, again and again, as a registry does.
func (w *coreWorld) readPeriodically() {
	w.readAt(w.randomMember())
	w.schedule(w.randomDuration(2*time.Second), w.readPeriodically)
}

func (w *coreWorld) readAt(node *memberNode) {
	if !w.World.isResponsive(&node.process) {
		return
	}
	acknowledged := map[string]uint64{}
	for name, given := range w.acknowledgedVersions {
		acknowledged[name] = given
	}
	began, client := w.now, int(w.nextID())
	recordRead := func(state config.State) {
		w.Reads++
		w.checkRead(node, state, acknowledged)
		for index := range coreItemCount {
			name := coreItem(index)
			value := valueOf(state[config.Key("segment", name)])
			w.calls.Add(linearize.Operation{
				Client: client,
				Item:   name,
				Read:   true,
				Value:  value,
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
	node.pendingReplies[ticket] = func(result any) {
		reply := result.(*schema.ReadIndexReply)
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
