package store

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/config"
	"meadowhinge/internal/linearize"
	"meadowhinge/schema"
)

// A model of a core: real replicas under one simulated clock, with links and disks that take a fixed time, so that its
// faults alone determine a run. A test counts the steps of a run without faults, and then repeats it with each fault
// before each step. This file has the core and its events, model_operators_test.go the load and the verdict,
// model_faults_test.go the faults, fault_exploration_test.go the runs.

// Times of the model. Only their ratios matter.
const (
	modelHeartbeatTimeout = 300 * time.Millisecond
	modelStallTimeout     = 600 * time.Millisecond
	modelLinkDelay        = 2 * time.Millisecond
	modelSyncDelay        = 3 * time.Millisecond
	modelCatchUp          = 3 * modelHeartbeatTimeout // how long after its return a replica still counts as lost
	modelOutage           = 4 * modelHeartbeatTimeout // how long a fault lasts
	modelRetry            = 100 * time.Millisecond
	modelCallInterval     = 40 * time.Millisecond // between two calls
	modelFounding         = time.Second
	modelSettling         = 3 * time.Second // after the last fault has ended
)

// modelEvent is something that happens at a replica at a time. Events of one time happen by their serials.
type modelEvent struct {
	at         time.Duration
	serial     int
	replica    *modelReplica // nil for an event of the model itself, which always happens
	processRun int           // of the replica; the event is dropped in a later one
	kind       modelKind
	run        func()
}

// modelKind is the kind of an event, by the faults that it can meet.
type modelKind int

const (
	ordinaryEvent modelKind = iota
	timerEvent              // after a freeze it comes last: what waits in sockets is read first
	syncEvent               // a step: faults may strike before it
	messageEvent            // a step too, and the message may be lost
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

// modelReplica is a machine with a replica on it; it keeps its disk when the process ends.
type modelReplica struct {
	*Replica
	name        string
	config      Config
	incarnation uint64
	disk        []*schema.Record
	writing     []Persist // not durable yet; one after the other
	up, removed bool
	processRun  int // counts the starts of its process
	started     time.Duration
	frozenUntil time.Duration
	nextTickAt  time.Duration
	tickets     map[string]func(any) // the operators that wait for an answer here
}

// model is a core, its operators' calls and what is wrong with them.
type model struct {
	now         time.Duration
	serial      int
	queue       modelQueue
	members     []*modelReplica
	losses      int // tolerated
	founded     int // the number of machines at the first start
	seededFault seededFault
	amnesia     bool                                          // a seeded fault: an empty folder passes for the one that was lost
	partitioned map[[2]string]bool                            // by sender and receiver
	faultAt     map[int][]func(event *modelEvent) (drop bool) // by the step that they strike before
	steps       int                                           // so far, of the kinds syncEvent and messageEvent
	calls       linearize.History
	faultsEndAt time.Duration  // when the last fault ends
	openCalls   map[int]func() // by client: records its call as one of unknown outcome
	breaches    []string
	leaders     map[uint64]string           // by term
	states      map[uint64]string           // by committed sequence
	onAction    func(*modelReplica, Action) // called with each action before it is carried out, if set
}

// newModel founds a core of three members, and of more that join at the first start. prepare, if not nil, may seed a
// fault.
func newModel(members, losses int, prepare func(*model)) *model {
	m := &model{
		losses:      losses,
		founded:     members,
		partitioned: map[[2]string]bool{},
		faultAt:     map[int][]func(*modelEvent) bool{},
		openCalls:   map[int]func(){},
		leaders:     map[uint64]string{},
		states:      map[uint64]string{},
	}
	if prepare != nil {
		prepare(m)
	}
	for index := range members {
		m.add(modelName(index), true)
	}
	m.runTo(modelFounding)
	return m
}

func modelName(index int) string { return string(rune('a' + index)) }

func modelFounders() []string { return []string{modelName(0), modelName(1), modelName(2)} }

func (m *model) replicaConfig(name string) Config {
	return Config{
		Name:                  name,
		Address:               name,
		Seeds:                 modelFounders(),
		ToleratedLosses:       m.losses,
		NewIncarnation:        m.newIncarnation,
		HeartbeatTimeout:      modelHeartbeatTimeout,
		StallTimeout:          modelStallTimeout,
		MaxEntries:            8,
		MaxOutcomes:           512,
		MaxUncommittedEntries: 64,
		MaxOperatorTombstones: 64,
		seededFault:           m.seededFault,
	}
}

func (m *model) newIncarnation() uint64 { return uint64(m.next()) }

// next draws a serial, for events, incarnations, clients and tickets alike.
func (m *model) next() int {
	m.serial++
	return m.serial
}

// add starts a new machine; founding means that this is the first start of the core.
func (m *model) add(name string, founding bool) *modelReplica {
	replica := &modelReplica{name: name, config: m.replicaConfig(name)}
	if founding && slices.Contains(modelFounders(), name) {
		replica.config.Founders = modelFounders()
	}
	replica.config.ExpandsMembership = founding && replica.config.Founders == nil
	m.members = append(m.members, replica)
	m.start(replica)
	return replica
}

// start starts a machine's process. Its seeds are machines of that moment: at the first start the founders, later three
// that have not been removed.
func (m *model) start(replica *modelReplica) {
	if m.now > 0 {
		replica.config.Seeds = nil
		for _, other := range m.standing()[:min(len(m.standing()), 3)] {
			replica.config.Seeds = append(replica.config.Seeds, other.name)
		}
	}
	cfg := replica.config
	if len(replica.disk) == 0 {
		if !m.amnesia || replica.Replica == nil {
			replica.incarnation = m.newIncarnation()
		} else {
			cfg.Founders, cfg.ExpandsMembership = modelFounders(), false
		}
		replica.disk = []*schema.Record{InitialRecord(cfg, replica.incarnation)}
		replica.config.Founders, replica.config.ExpandsMembership = nil, false
	}
	replica.Replica = NewReplica(cfg, replica.incarnation, replica.disk)
	replica.up = true
	replica.processRun++
	replica.started = m.now
	replica.frozenUntil, replica.nextTickAt = 0, 0
	replica.writing, replica.tickets = nil, map[string]func(any){}
	m.at(0, replica, ordinaryEvent, func() { m.tick(replica) })
}

// at schedules an event at a replica, unless its process has ended by then.
func (m *model) at(after time.Duration, replica *modelReplica, kind modelKind, run func()) {
	event := &modelEvent{at: m.now + after, serial: m.next(), replica: replica, kind: kind, run: run}
	if replica != nil {
		event.processRun = replica.processRun
	}
	heap.Push(&m.queue, event)
}

// runTo lets all events up to a time happen.
func (m *model) runTo(until time.Duration) {
	for len(m.queue) > 0 && m.queue[0].at <= until {
		event := heap.Pop(&m.queue).(*modelEvent)
		m.now = event.at
		if replica := event.replica; replica != nil {
			if !replica.up || replica.processRun != event.processRun {
				continue
			}
			if replica.frozenUntil > m.now {
				m.postpone(event)
				continue
			}
		}
		if event.kind >= syncEvent && m.strike(event) {
			continue
		}
		// A fault may have just ended or frozen that replica's process.
		if replica := event.replica; replica == nil || replica.up && replica.processRun == event.processRun && replica.frozenUntil <= m.now {
			event.run()
		} else if replica.up && replica.processRun == event.processRun {
			m.postpone(event)
		}
	}
	m.now = until
}

// postpone schedules an event at a frozen replica for when it goes on: operators' requests of that moment come first,
// then messages, then timers.
func (m *model) postpone(event *modelEvent) {
	event.at = event.replica.frozenUntil + modelLinkDelay/2
	if event.kind == timerEvent {
		event.at += modelLinkDelay
	}
	heap.Push(&m.queue, event)
}

// strike counts a step and lets the faults strike that are set before it.
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

// standing lists the machines that have not been removed, up or not.
func (m *model) standing() []*modelReplica {
	return slices.DeleteFunc(slices.Clone(m.members), func(replica *modelReplica) bool { return replica.removed })
}

func (m *model) tick(replica *modelReplica) {
	replica.nextTickAt = 0
	m.act(replica, replica.Tick(m.now-replica.started))
}

// act carries out a replica's actions, schedules its next tick and checks what it shows.
func (m *model) act(replica *modelReplica, actions []Action) {
	for _, action := range actions {
		if m.onAction != nil {
			m.onAction(replica, action)
		}
		switch typed := action.(type) {
		case Send:
			m.post(replica, proto.Clone(typed.Message).(*schema.ReplicaMessage))
		case Persist:
			typed.Record = proto.Clone(typed.Record).(*schema.Record)
			if replica.writing = append(replica.writing, typed); len(replica.writing) == 1 {
				m.at(modelSyncDelay, replica, syncEvent, func() { m.persisted(replica) })
			}
		case Reply:
			m.answer(replica, typed.Result.Ticket, typed.Result)
		case ReadIndexReady:
			m.answer(replica, typed.Result.Ticket, typed.Result)
		}
	}
	if next := replica.NextTickAt(); replica.nextTickAt == 0 || next < replica.nextTickAt {
		replica.nextTickAt = next
		m.at(max(next-(m.now-replica.started), time.Microsecond), replica, timerEvent, func() {
			if replica.nextTickAt == next {
				m.tick(replica)
			}
		})
	}
	m.observe(replica)
}

// answer gives a result to the operator that waits for it.
func (m *model) answer(replica *modelReplica, ticket string, result any) {
	if deliver := replica.tickets[ticket]; deliver != nil {
		delete(replica.tickets, ticket)
		deliver(result)
	}
}

// post sends a message, unless the link is partitioned when it is sent. Heartbeats are no steps: faults that strike
// before other messages cover them.
func (m *model) post(from *modelReplica, message *schema.ReplicaMessage) {
	to := m.replica(message.To)
	if to == nil || m.partitioned[[2]string{from.name, to.name}] {
		return
	}
	kind := messageEvent
	if message.GetHeartbeat() != nil {
		kind = ordinaryEvent
	}
	m.at(modelLinkDelay, to, kind, func() { m.act(to, to.Step(m.now-to.started, message)) })
}

// persisted completes the first of a replica's writes and begins the next.
func (m *model) persisted(replica *modelReplica) {
	done := replica.writing[0]
	replica.writing = replica.writing[1:]
	replica.storeRecord(done)
	if len(replica.writing) > 0 {
		m.at(modelSyncDelay, replica, syncEvent, func() { m.persisted(replica) })
	}
	m.act(replica, replica.Persisted(m.now-replica.started, done.WriteID))
}

// storeRecord makes a record durable.
func (r *modelReplica) storeRecord(write Persist) {
	if write.ReplacesLog {
		r.disk = nil
	}
	r.disk = append(r.disk, write.Record)
}

// observe checks what no two replicas may ever disagree on: who leads in a term, and the state of a committed sequence.
func (m *model) observe(replica *modelReplica) {
	if replica.role == roleLeader {
		if previous := m.leaders[replica.term]; previous != "" && previous != replica.name {
			m.breach("%s and %s both lead in term %d", previous, replica.name, replica.term)
		}
		m.leaders[replica.term] = replica.name
	}
	committed, state := replica.Committed()
	text := stateText(state)
	if previous, known := m.states[committed]; known && previous != text {
		m.breach("at sequence %d %s has %q; another had %q", committed, replica.name, text, previous)
	}
	m.states[committed] = text
}

// stateText is a state as text to compare, without the versions that the core gave.
func stateText(state config.State) string {
	var texts []string
	for _, item := range state.Items() {
		texts = append(texts, fmt.Sprintf("%s/%s %d %s", item.Kind, item.Name, item.OperatorVersion, item.Body))
	}
	return strings.Join(texts, ", ")
}

func (m *model) breach(format string, values ...any) {
	m.breaches = append(m.breaches, fmt.Sprintf("%v: "+format, append([]any{m.now}, values...)...))
}
