package store

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/linearize"
	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// A model of a core: the real step functions of members under one clock, with links and disks that
// take a fixed time, so that a run is decided by its faults alone. A test counts the steps of a run
// without faults, and then runs it again with each fault at each step.

// Times of the model. Only their ratios matter.
const (
	modelSilence  = 300 * time.Millisecond
	modelStall    = 600 * time.Millisecond
	modelLink     = 2 * time.Millisecond
	modelSync     = 3 * time.Millisecond
	modelCatchUp  = 3 * modelSilence // after its return a replica counts as lost for so long
	modelOutage   = 4 * modelSilence // how long a replica is away
	modelRetry    = 100 * time.Millisecond
	modelBetween  = 40 * time.Millisecond // two calls
	modelFounding = time.Second
	modelSettling = 3 * time.Second // after the last fault has ended
)

// modelEvent is something that happens at a replica at a time.
type modelEvent struct {
	at      time.Duration
	serial  int
	replica *modelReplica // nil for what happens at no replica
	life    int
	kind    modelKind
	run     func()
}

// modelKind says what faults an event can meet.
type modelKind int

const (
	plainEvent  modelKind = iota
	timerEvent            // late where its replica was frozen: what waits in sockets is read first
	syncEvent             // faults may strike before it
	letterEvent           // that too, and it may be lost
)

type modelQueue []*modelEvent

func (q modelQueue) Len() int { return len(q) }
func (q modelQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].serial, q[j].serial)) < 0
}
func (q modelQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *modelQueue) Push(event any) {
	*q = append(*q, event.(*modelEvent))
}
func (q *modelQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// modelReplica is a machine with a replica on it.
type modelReplica struct {
	*Replica
	name        string
	options     Options
	incarnation uint64
	disk        []*schema.Record
	writing     []Persist
	up, gone    bool
	life        int
	started     time.Duration
	frozenTo    time.Duration
	wakesAt     time.Duration
	tickets     map[string]func(any)
}

// model is a core, and what operators were told.
type model struct {
	now     time.Duration
	serial  int
	queue   modelQueue
	members []*modelReplica
	losses  int
	founded int // how many members there were at first
	planted plantedFault
	amnesia bool               // planted: a wiped folder passes for the one that was lost
	cut     map[[2]string]bool // by sender and receiver
	faultAt map[int][]func(event *modelEvent) (drop bool)
	steps   int
	calls   linearize.History
	endOf   time.Duration  // of the last fault
	open    map[int]func() // by client: notes its call as one without an answer
	said    []string       // breaches
	leaders map[uint64]string
	states  map[uint64]string           // by committed sequence
	watch   func(*modelReplica, Action) // told of each action before it is carried out, if set
}

// newModel founds a core of three members, and of more that join at the first start. Prepare may
// plant a fault in it.
func newModel(members, losses int, prepare func(*model)) *model {
	m := &model{losses: losses, founded: members, cut: map[[2]string]bool{}, faultAt: map[int][]func(*modelEvent) bool{},
		open: map[int]func(){}, leaders: map[uint64]string{}, states: map[uint64]string{}}
	if prepare != nil {
		prepare(m)
	}
	for place := range members {
		m.add(modelName(place), true)
	}
	m.runTo(modelFounding)
	return m
}

func modelName(place int) string { return string(rune('a' + place)) }

func modelFounders() []string { return []string{modelName(0), modelName(1), modelName(2)} }

func (m *model) options(name string) Options {
	return Options{Name: name, Address: name, Seeds: modelFounders(), Losses: m.losses, Draw: m.draw, Silence: modelSilence, Stall: modelStall,
		EntriesMost: 8, OutcomesMost: 512, BufferMost: 64, DroppedMost: 64, planted: m.planted}
}

func (m *model) draw() uint64 { return uint64(m.next()) }

func (m *model) next() int {
	m.serial++
	return m.serial
}

// add starts a machine that has never been there.
func (m *model) add(name string, foundingMembers bool) *modelReplica {
	replica := &modelReplica{name: name, options: m.options(name)}
	if foundingMembers && slices.Contains(modelFounders(), name) {
		replica.options.Founders = modelFounders()
	}
	replica.options.Raise = foundingMembers && replica.options.Founders == nil
	m.members = append(m.members, replica)
	m.start(replica)
	return replica
}

// start starts a machine. Its seeds are machines of that moment: at the first start the founders,
// later three that stand.
func (m *model) start(replica *modelReplica) {
	if m.now > 0 {
		replica.options.Seeds = nil
		for _, other := range m.standing()[:min(len(m.standing()), 3)] {
			replica.options.Seeds = append(replica.options.Seeds, other.name)
		}
	}
	options := replica.options
	if len(replica.disk) == 0 {
		if !m.amnesia || replica.Replica == nil {
			replica.incarnation = m.draw()
		} else {
			options.Founders, options.Raise = modelFounders(), false
		}
		replica.disk = []*schema.Record{Birth(options, replica.incarnation)}
		replica.options.Founders, replica.options.Raise = nil, false
	}
	replica.Replica = NewReplica(options, replica.incarnation, replica.disk)
	replica.up, replica.life, replica.started, replica.frozenTo, replica.wakesAt = true, replica.life+1, m.now, 0, 0
	replica.writing, replica.tickets = nil, map[string]func(any){}
	m.at(0, replica, plainEvent, func() { m.tick(replica) })
}

// at lets something happen at a replica after a while, unless that life of it has ended by then.
func (m *model) at(after time.Duration, replica *modelReplica, kind modelKind, run func()) {
	event := &modelEvent{at: m.now + after, serial: m.next(), replica: replica, kind: kind, run: run}
	if replica != nil {
		event.life = replica.life
	}
	heap.Push(&m.queue, event)
}

// runTo lets everything happen up to a time.
func (m *model) runTo(until time.Duration) {
	for len(m.queue) > 0 && m.queue[0].at <= until {
		event := heap.Pop(&m.queue).(*modelEvent)
		m.now = event.at
		if replica := event.replica; replica != nil {
			if !replica.up || replica.life != event.life {
				continue
			}
			if replica.frozenTo > m.now {
				m.postpone(event)
				continue
			}
		}
		if event.kind >= syncEvent && m.strike(event) {
			continue
		}
		// A fault may have ended that replica's life just now.
		if replica := event.replica; replica == nil || replica.up && replica.life == event.life && replica.frozenTo <= m.now {
			event.run()
		} else if replica.up && replica.life == event.life {
			m.postpone(event)
		}
	}
	m.now = until
}

// postpone lets an event at a frozen replica happen once that goes on: what an operator asks then
// comes first, then messages, then timers.
func (m *model) postpone(event *modelEvent) {
	event.at = event.replica.frozenTo + modelLink/2
	if event.kind == timerEvent {
		event.at += modelLink
	}
	heap.Push(&m.queue, event)
}

// strike counts a step and lets the faults strike that are to come before it.
func (m *model) strike(event *modelEvent) (dropped bool) {
	m.steps++
	for _, fault := range m.faultAt[m.steps] {
		dropped = fault(event) || dropped
	}
	return dropped
}

func (m *model) replica(name string) *modelReplica {
	for _, replica := range m.members {
		if replica.name == name {
			return replica
		}
	}
	return nil
}

// standing lists the machines that are not gone for good.
func (m *model) standing() []*modelReplica {
	return slices.DeleteFunc(slices.Clone(m.members), func(replica *modelReplica) bool { return replica.gone })
}

func (m *model) tick(replica *modelReplica) {
	replica.wakesAt = 0
	m.act(replica, replica.Tick(m.now-replica.started))
}

func (m *model) act(replica *modelReplica, actions []Action) {
	for _, action := range actions {
		if m.watch != nil {
			m.watch(replica, action)
		}
		switch one := action.(type) {
		case Send:
			m.post(replica, proto.Clone(one.Message).(*schema.ReplicaMessage))
		case Persist:
			one.Record = proto.Clone(one.Record).(*schema.Record)
			if replica.writing = append(replica.writing, one); len(replica.writing) == 1 {
				m.at(modelSync, replica, syncEvent, func() { m.synced(replica) })
			}
		case Reply:
			m.answer(replica, one.Result.Ticket, one.Result)
		case ReadIndexReady:
			m.answer(replica, one.Result.Ticket, one.Result)
		}
	}
	if wakes := replica.Wakes(); replica.wakesAt == 0 || wakes < replica.wakesAt {
		replica.wakesAt = wakes
		m.at(max(wakes-(m.now-replica.started), time.Microsecond), replica, timerEvent, func() {
			if replica.wakesAt == wakes {
				m.tick(replica)
			}
		})
	}
	m.observe(replica)
}

func (m *model) answer(replica *modelReplica, ticket string, result any) {
	if then := replica.tickets[ticket]; then != nil {
		delete(replica.tickets, ticket)
		then(result)
	}
}

func (m *model) post(from *modelReplica, message *schema.ReplicaMessage) {
	to := m.replica(message.To)
	if to == nil || m.cut[[2]string{from.name, to.name}] {
		return
	}
	kind := letterEvent
	if message.GetHeartbeat() != nil {
		kind = plainEvent
	}
	m.at(modelLink, to, kind, func() { m.act(to, to.Deliver(m.now-to.started, message)) })
}

func (m *model) synced(replica *modelReplica) {
	done := replica.writing[0]
	replica.writing = replica.writing[1:]
	replica.keep(done)
	if len(replica.writing) > 0 {
		m.at(modelSync, replica, syncEvent, func() { m.synced(replica) })
	}
	m.act(replica, replica.Synced(m.now-replica.started, done.Mark))
}

func (s *modelReplica) keep(one Persist) {
	if one.Whole {
		s.disk = nil
	}
	s.disk = append(s.disk, one.Record)
}

// observe judges what no two members may ever disagree on.
func (m *model) observe(replica *modelReplica) {
	if replica.phase == active {
		if held := m.leaders[replica.epoch]; held != "" && held != replica.name {
			m.breach("%s and %s both lead under epoch %d", held, replica.name, replica.epoch)
		}
		m.leaders[replica.epoch] = replica.name
	}
	committed, state := replica.Committed()
	text := stateText(state)
	if held, known := m.states[committed]; known && held != text {
		m.breach("under sequence %d %s holds %q; another held %q", committed, replica.name, text, held)
	}
	m.states[committed] = text
}

func stateText(state setup.State) string {
	var texts []string
	for _, item := range state.Items() {
		texts = append(texts, fmt.Sprintf("%s/%s %d %s", item.Kind, item.Name, item.Given, item.Body))
	}
	return strings.Join(texts, ", ")
}

func (m *model) breach(format string, values ...any) {
	m.said = append(m.said, fmt.Sprintf("%v: "+format, append([]any{m.now}, values...)...))
}

// ---- operators ----

// write lets an operator send an item until it is decided: at the same replica, or at the next one
// where that is down or does not decide.
func (m *model) write(place int, item *schema.Item) {
	client, began := m.next(), m.now
	note := func(result linearize.Result) {
		delete(m.open, client)
		m.calls.Add(linearize.Operation{Client: client, Item: item.Name, Value: modelValue(item), Result: result, Begin: began, End: m.now})
	}
	m.open[client] = func() { note(linearize.Unknown) }
	id := fmt.Sprint("change-", client)
	m.call(client, place, func(replica *modelReplica, ticket string) {
		m.act(replica, replica.Propose(m.now-replica.started, &schema.Proposal{Ticket: ticket, Change: &schema.Change{Id: id, ByGiven: true, Items: []*schema.Item{item}}}))
	}, func(replica *modelReplica, result any) bool {
		submitted := result.(*schema.ProposalReply)
		switch {
		case submitted.Undecided:
			return false
		case submitted.Outcome.Ruling == schema.Ruling_RULING_ACCEPTED:
			note(linearize.Accepted)
		default:
			note(linearize.Clashed)
		}
		return true
	})
}

// read lets an operator read all items.
func (m *model) read(place int) {
	client, began := m.next(), m.now
	m.open[client] = func() {}
	m.call(client, place, func(replica *modelReplica, ticket string) {
		m.act(replica, replica.ReadIndex(m.now-replica.started, ticket))
	}, func(replica *modelReplica, result any) bool {
		back := result.(*schema.ReadIndexReply)
		if back.Undecided {
			return false
		}
		// If the replica's life ends before it has that, the read is left without an answer.
		delete(m.open, client)
		m.readBack(client, began, replica, back.Committed)
		return true
	})
}

// readBack reads at a replica once that has what the pendingRead told of.
func (m *model) readBack(client int, began time.Duration, replica *modelReplica, committed uint64) {
	reached, state := replica.Committed()
	if reached < committed {
		m.at(modelLink, replica, plainEvent, func() { m.readBack(client, began, replica, committed) })
		return
	}
	for place := range modelItems {
		name := modelItem(place)
		m.calls.Add(linearize.Operation{Client: client, Item: name, Read: true, Value: modelValue(state[setup.Key("segment", name)]),
			Result: linearize.Accepted, Begin: began, End: m.now})
	}
}

// call asks members until one has decided.
func (m *model) call(client, place int, ask func(replica *modelReplica, ticket string), decided func(replica *modelReplica, result any) bool) {
	done := false
	var try func(tried int)
	try = func(tried int) {
		if done || m.open[client] == nil {
			return
		}
		// Two tries at a replica, then the next one.
		replica := m.members[(place+tried/2)%len(m.members)]
		if replica.up {
			ticket := fmt.Sprint("ticket-", m.next())
			replica.tickets[ticket] = func(result any) { done = done || decided(replica, result) }
			m.at(0, replica, plainEvent, func() { ask(replica, ticket) })
		}
		m.at(modelRetry, nil, plainEvent, func() { try(tried + 1) })
	}
	try(0)
}

const modelItems = 2

func modelItem(place int) string { return fmt.Sprint("s", place) }

func modelValue(item *schema.Item) linearize.Value {
	if item == nil || item.Deleted {
		return linearize.Value{Version: item.GetGiven(), Absent: true}
	}
	return linearize.Value{Version: item.Given, Content: string(item.Body)}
}

// operate lets operators send so many writes, a rival of every third, and a read after each.
func (m *model) operate(writes int) {
	for i := range writes {
		m.at(time.Duration(i)*modelBetween, nil, plainEvent, func() {
			name, version := modelItem(i%modelItems), uint64(i+1)
			item := func(content string) *schema.Item {
				return &schema.Item{Kind: "segment", Name: name, Given: version, Body: []byte(fmt.Sprintf(`{"salt":"%s"}`, content)), Deleted: i%5 == 4}
			}
			m.write(i, item("first"))
			if i%3 == 2 {
				m.write(i+1, item("rival"))
			}
			m.read(i + 2)
		})
	}
}

// verdict lets the core settle, so that no fault strikes any more, and tells what is wrong with the run.
func (m *model) verdict() []string {
	m.runTo(max(m.now+modelCatchUp, m.endOf))
	clear(m.faultAt)
	m.runTo(max(m.now, m.endOf) + modelSettling)
	before := len(m.open)
	for place, replica := range m.members {
		if !replica.gone {
			m.read(place)
		}
	}
	m.write(slices.Index(m.members, m.standing()[0]), &schema.Item{Kind: "segment", Name: modelItem(0), Given: 1 << 30, Body: []byte(`{"salt":"last"}`)})
	m.runTo(m.now + modelSilence)
	if len(m.open) > 0 {
		m.breach("%d calls were not decided before and %d at the end", before, len(m.open))
	}
	for _, note := range m.open {
		note()
	}
	if reason := m.whole(); reason != "" {
		m.breach("at the end %s", reason)
	}
	if err := m.calls.Check(time.Minute); err != nil {
		m.breach("%v", err)
	}
	return m.said
}

// whole tells what the core lacks.
func (m *model) whole() string {
	standing := m.standing()
	for _, replica := range standing {
		switch {
		case !replica.up:
			return replica.name + " is down"
		case !replica.member():
			return replica.name + " is no member"
		case replica.committed != standing[0].committed:
			return fmt.Sprintf("%s is at %d, %s at %d", replica.name, replica.committed, standing[0].name, standing[0].committed)
		case len(replica.membership.Members) != len(standing):
			return fmt.Sprintf("%s knows %d members for %d machines", replica.name, len(replica.membership.Members), len(standing))
		}
	}
	return ""
}

// ---- faults ----

// powerLoss ends a replica's process and what it had not synced; kept says how many of the writes
// under way reached the disk all the same.
func (m *model) powerLoss(replica *modelReplica, kept int) {
	for _, one := range replica.writing[:min(kept, len(replica.writing))] {
		replica.keep(one)
	}
	replica.up = false
}

// lasts notes that a fault goes on for a while.
func (m *model) lasts(outage time.Duration) { m.endOf = max(m.endOf, m.now+outage) }

// back starts a replica again after a while.
func (m *model) back(replica *modelReplica, after time.Duration) {
	m.lasts(after)
	m.at(after, nil, plainEvent, func() {
		if !replica.up && !replica.gone {
			m.start(replica)
		}
	})
}

// isolate cuts a replica's links for a while.
func (m *model) isolate(replica *modelReplica, inward, outward bool) {
	m.isolateFor(modelOutage, replica, inward, outward)
}

func (m *model) isolateFor(outage time.Duration, replica *modelReplica, inward, outward bool) {
	cut := func(is bool) {
		for _, other := range m.members {
			if inward {
				m.cut[[2]string{other.name, replica.name}] = is
			}
			if outward {
				m.cut[[2]string{replica.name, other.name}] = is
			}
		}
	}
	cut(true)
	m.at(outage, nil, plainEvent, func() { cut(false) })
	m.lasts(outage)
}

// modelFault is a fault that strikes one replica.
type modelFault struct {
	name   string
	strike func(m *model, replica *modelReplica)
}

var modelFaults = []modelFault{
	{"loses power", func(m *model, replica *modelReplica) {
		m.powerLoss(replica, 0)
		m.back(replica, modelOutage)
	}},
	{"loses power for a moment, keeping a write", func(m *model, replica *modelReplica) {
		m.powerLoss(replica, 1)
		m.back(replica, modelLink)
	}},
	{"loses its disk", wipeSeat},
	{"is cut off", func(m *model, replica *modelReplica) { m.isolate(replica, true, true) }},
	{"hears nothing", func(m *model, replica *modelReplica) { m.isolate(replica, true, false) }},
	{"is not heard", func(m *model, replica *modelReplica) { m.isolate(replica, false, true) }},
	{"freezes, and is asked as it thaws", func(m *model, replica *modelReplica) {
		replica.frozenTo = m.now + modelOutage
		m.lasts(modelOutage)
		m.at(modelOutage, nil, plainEvent, func() { m.read(slices.Index(m.members, replica)) })
	}},
	{"is replaced", replaceSeat},
	{"is replaced by plan", func(m *model, replica *modelReplica) {
		m.add(modelName(len(m.members)), false)
		m.at(modelCatchUp, nil, plainEvent, func() { m.remove(replica) })
	}},
}

func wipeSeat(m *model, replica *modelReplica) {
	m.powerLoss(replica, 0)
	replica.disk = nil
	m.back(replica, modelSilence)
}

func replaceSeat(m *model, replica *modelReplica) {
	m.remove(replica)
	m.at(modelSilence, nil, plainEvent, func() { m.add(modelName(len(m.members)), false) })
}

// remove takes a machine away for good.
func (m *model) remove(replica *modelReplica) {
	if replica.up {
		m.powerLoss(replica, 0)
	}
	replica.gone = true
}

// allLosePower ends every process at one moment.
func (m *model) allLosePower() {
	for place, replica := range m.members {
		if replica.gone {
			continue
		}
		if replica.up {
			m.powerLoss(replica, place%2)
		}
		m.back(replica, time.Duration(place+1)*modelLink)
	}
}
