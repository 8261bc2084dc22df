package store

import (
	"fmt"
	"slices"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/linearize"
	"meadowhinge/schema"
)

// write lets an operator propose an item until it is decided, under one change id at one replica after the other.
func (m *model) write(index int, item *schema.Item) {
	client, began := m.next(), m.now
	record := func(result linearize.Result) {
		delete(m.openCalls, client)
		m.calls.Add(linearize.Operation{Client: client, Item: item.Name, Value: modelValue(item), Result: result, Begin: began, End: m.now})
	}
	m.openCalls[client] = func() { record(linearize.OutcomeUnknown) }
	id := fmt.Sprint("change-", client)
	m.call(client, index, func(replica *modelReplica, ticket string) {
		change := &schema.Change{Id: id, ByOperatorVersion: true, Items: []*schema.Item{item}}
		m.act(replica, replica.Propose(m.now-replica.started, &schema.Proposal{Ticket: ticket, Change: change}))
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

// read lets an operator read all items, after a read index.
func (m *model) read(index int) {
	client, began := m.next(), m.now
	m.openCalls[client] = func() {}
	m.call(client, index, func(replica *modelReplica, ticket string) {
		m.act(replica, replica.ReadIndex(m.now-replica.started, ticket))
	}, func(replica *modelReplica, result any) bool {
		reply := result.(*schema.ReadIndexReply)
		if reply.Undecided {
			return false
		}
		// If the replica's process ends before it has committed that much, the read has no answer.
		delete(m.openCalls, client)
		m.readBack(client, began, replica, reply.Committed)
		return true
	})
}

// readBack reads at a replica once it has committed what the read index returned.
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

// call sends a request until it is decided: twice to one replica, then to the next.
func (m *model) call(
	client, index int,
	ask func(replica *modelReplica, ticket string),
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
			ticket := fmt.Sprint("ticket-", m.next())
			replica.tickets[ticket] = func(result any) { done = done || decided(replica, result) }
			m.at(0, replica, ordinaryEvent, func() { ask(replica, ticket) })
		}
		m.at(modelRetry, nil, ordinaryEvent, func() { attempt(attempts + 1) })
	}
	attempt(0)
}

const modelItems = 2

func modelItem(index int) string { return fmt.Sprint("s", index) }

func modelValue(item *schema.Item) linearize.Value {
	if item == nil || item.Deleted {
		return linearize.Value{Version: item.GetOperatorVersion(), Absent: true}
	}
	return linearize.Value{Version: item.OperatorVersion, Content: string(item.Body)}
}

// operate schedules writes, at every third a rival one of the same operator version, and a read after each.
func (m *model) operate(writes int) {
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

// verdict lets the core recover from the last fault and lists what is wrong with the run: calls that are not decided,
// an unhealthy core, a history that is not linearizable, and what observe found.
func (m *model) verdict() []string {
	m.runTo(max(m.now+modelCatchUp, m.faultsEndAt))
	clear(m.faultAt)
	m.runTo(max(m.now, m.faultsEndAt) + modelSettling)
	before := len(m.openCalls)
	for index, replica := range m.members {
		if !replica.removed {
			m.read(index)
		}
	}
	m.write(slices.Index(m.members, m.standing()[0]), &schema.Item{
		Kind:            "segment",
		Name:            modelItem(0),
		OperatorVersion: 1 << 30,
		Body:            []byte(`{"salt":"last"}`),
	})
	m.runTo(m.now + modelHeartbeatTimeout)
	if len(m.openCalls) > 0 {
		m.breach("%d calls were not decided before and %d at the end", before, len(m.openCalls))
	}
	for _, record := range m.openCalls {
		record()
	}
	if reason := m.unhealthyReason(); reason != "" {
		m.breach("at the end %s", reason)
	}
	if err := m.calls.Check(time.Minute); err != nil {
		m.breach("%v", err)
	}
	return m.breaches
}

// unhealthyReason is what keeps a core from being healthy; empty if nothing does.
func (m *model) unhealthyReason() string {
	standing := m.standing()
	for _, replica := range standing {
		switch {
		case !replica.up:
			return replica.name + " is down"
		case !replica.isMember():
			return replica.name + " is no member"
		case replica.committedSequence != standing[0].committedSequence:
			first := standing[0]
			return fmt.Sprintf("%s has committed %d, %s %d", replica.name, replica.committedSequence, first.name, first.committedSequence)
		case len(replica.membership.Members) != len(standing):
			return fmt.Sprintf("%s has %d members for %d machines", replica.name, len(replica.membership.Members), len(standing))
		}
	}
	return ""
}
