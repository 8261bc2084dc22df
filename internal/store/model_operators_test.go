package store

import (
	"fmt"
	"slices"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/linearize"
	"meadowhinge/schema"
)

// write makes an operator propose an item until it is decided: under one change id, at one replica after the other from
// the one with an index.
func (m *model) write(index int, item *schema.Item) {
	client, began := m.nextSerial(), m.now
	record := func(result linearize.Result) {
		delete(m.openCalls, client)
		m.calls.Add(linearize.Operation{Client: client, Item: item.Name, Value: modelValue(item), Result: result, Begin: began, End: m.now})
	}
	m.openCalls[client] = func() { record(linearize.OutcomeUnknown) }
	id := fmt.Sprint("change-", client)
	m.callUntilDecided(client, index, func(replica *modelReplica, ticket string) {
		change := &schema.Change{Id: id, ByOperatorVersion: true, Items: []*schema.Item{item}}
		m.execute(replica, replica.Propose(m.now-replica.started, &schema.Proposal{Ticket: ticket, Change: change}))
	}, func(_ *modelReplica, result any) bool {
		reply := result.(*schema.ProposalReply)
		switch {
		case reply.Undecided:
			return false
		case reply.Outcome.Ruling == schema.Ruling_RULING_ACCEPTED:
			record(linearize.Accepted)
		default:
			record(linearize.Conflicted)
		}
		return true
	})
}

// read makes an operator request a read index, from the replica with an index on, and then read all items.
func (m *model) read(index int) {
	client, began := m.nextSerial(), m.now
	m.openCalls[client] = func() {}
	m.callUntilDecided(client, index, func(replica *modelReplica, ticket string) {
		m.execute(replica, replica.ReadIndex(m.now-replica.started, ticket))
	}, func(replica *modelReplica, result any) bool {
		reply := result.(*schema.ReadIndexReply)
		if reply.Undecided {
			return false
		}
		// If the process of the replica ends before it has committed that sequence, the read has no result.
		delete(m.openCalls, client)
		m.readBack(client, began, replica, reply.Committed)
		return true
	})
}

// readBack reads all items at a replica once it has committed the sequence that the read index returned.
func (m *model) readBack(client int, began time.Duration, replica *modelReplica, committed uint64) {
	reached, state := replica.Committed()
	if reached < committed {
		m.at(modelLinkDelay, replica, ordinaryEvent, func() { m.readBack(client, began, replica, committed) })
		return
	}
	for index := range modelItems {
		name := modelItem(index)
		m.calls.Add(linearize.Operation{Client: client, Item: name, Read: true, Value: modelValue(state[config.Key("segment", name)]),
			Result: linearize.Accepted, Begin: began, End: m.now})
	}
}

// callUntilDecided makes attempts at a request until it is decided: two at the replica with an index, two at the next
// one, and so on. request sends the request with a ticket; decided handles the result and reports whether it is final.
func (m *model) callUntilDecided(
	client, index int,
	request func(replica *modelReplica, ticket string),
	decided func(replica *modelReplica, result any) bool,
) {
	done := false
	var attempt func(attempts int)
	attempt = func(attempts int) {
		if done || m.openCalls[client] == nil {
			return
		}
		replica := m.members[(index+attempts/2)%len(m.members)]
		if replica.up {
			ticket := fmt.Sprint("ticket-", m.nextSerial())
			replica.tickets[ticket] = func(result any) { done = done || decided(replica, result) }
			m.at(0, replica, ordinaryEvent, func() { request(replica, ticket) })
		}
		m.at(modelRetry, nil, ordinaryEvent, func() { attempt(attempts + 1) })
	}
	attempt(0)
}

// modelItems is the number of items that the operators write.
const modelItems = 2

// modelItem returns the name of an item.
func modelItem(index int) string { return fmt.Sprint("s", index) }

// modelValue returns the value of an item in the history; a missing item is absent.
func modelValue(item *schema.Item) linearize.Value {
	if item == nil || item.Deleted {
		return linearize.Value{Version: item.GetOperatorVersion(), Absent: true}
	}
	return linearize.Value{Version: item.OperatorVersion, Content: string(item.Body)}
}

// scheduleCalls schedules writes, a competing write of the same operator version with every third of them, and a read
// after each.
func (m *model) scheduleCalls(writes int) {
	for i := range writes {
		m.at(time.Duration(i)*modelCallInterval, nil, ordinaryEvent, func() {
			name, version := modelItem(i%modelItems), uint64(i+1)
			item := func(content string) *schema.Item {
				return &schema.Item{
					Kind:            "segment",
					Name:            name,
					OperatorVersion: version,
					Body:            []byte(fmt.Sprintf(`{"salt":"%s"}`, content)),
					Deleted:         i%5 == 4,
				}
			}
			m.write(i, item("first"))
			if i%3 == 2 {
				m.write(i+1, item("rival"))
			}
			m.read(i + 2)
		})
	}
}

// recoverAndCheck lets the core recover from the last fault and returns the violations of the run: calls that are not
// decided, an unhealthy core, a history that is not linearizable, and the violations that checkInvariants found.
func (m *model) recoverAndCheck() []string {
	m.runTo(max(m.now+modelCatchUpTime, m.faultsEndAt))
	clear(m.faultAt)
	m.runTo(max(m.now, m.faultsEndAt) + modelSettleTime)
	before := len(m.openCalls)
	for index, replica := range m.members {
		if !replica.removed {
			m.read(index)
		}
	}
	m.write(slices.Index(m.members, m.remaining()[0]), &schema.Item{
		Kind:            "segment",
		Name:            modelItem(0),
		OperatorVersion: 1 << 30,
		Body:            []byte(`{"salt":"last"}`),
	})
	m.runTo(m.now + modelHeartbeatTimeout)
	if len(m.openCalls) > 0 {
		m.reportViolation("%d calls are undecided after the final calls (%d before them), want none", len(m.openCalls), before)
	}
	for _, record := range m.openCalls {
		record()
	}
	if reason := m.unhealthyReason(); reason != "" {
		m.reportViolation("the core is unhealthy at the end: %s", reason)
	}
	if err := m.calls.Check(time.Minute); err != nil {
		m.reportViolation("the history of the calls: %v", err)
	}
	return m.violations
}

// unhealthyReason returns why the core is not healthy; empty if it is.
func (m *model) unhealthyReason() string {
	remaining := m.remaining()
	for _, replica := range remaining {
		switch {
		case !replica.up:
			return replica.name + " is down"
		case !replica.isMember():
			return replica.name + " is not a member"
		case replica.committedSequence != remaining[0].committedSequence:
			first := remaining[0]
			return fmt.Sprintf("%s has committed sequence %d, but %s %d", replica.name, replica.committedSequence, first.name, first.committedSequence)
		case len(replica.membership.Members) != len(remaining):
			return fmt.Sprintf("the membership at %s has %d members, but there are %d machines", replica.name, len(replica.membership.Members), len(remaining))
		}
	}
	return ""
}
