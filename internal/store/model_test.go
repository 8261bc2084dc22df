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

// The model is a deterministic simulation of a core: real replicas on one simulated clock, with links and disks that take
// a fixed time, so that a run is determined by its faults alone. A test counts the steps of a run without faults, and
// then repeats the run with each fault injected before each step.
//
// This file has the core and its events, model_operators_test.go the operators' calls and the checks at the end of a run,
// model_faults_test.go the faults, and fault_exploration_test.go the runs.

// These are the times of the model. Only their ratios matter.
const (
	modelHeartbeatTimeout = 300 * time.Millisecond
	modelStallTimeout     = 600 * time.Millisecond
	modelLinkDelay        = 2 * time.Millisecond
	modelSyncDelay        = 3 * time.Millisecond
	modelCatchUpTime      = 3 * modelHeartbeatTimeout // how long a replica that has come back still counts as lost
	modelOutage           = 4 * modelHeartbeatTimeout // how long a fault lasts
	modelRetry            = 100 * time.Millisecond    // delay between two attempts of an operator's call
	modelCallInterval     = 40 * time.Millisecond     // time between two calls of the operators
	modelFoundingTime     = time.Second               // duration of the first start of the core, without faults
	modelSettleTime       = 3 * time.Second           // time between the end of the last fault and the checks
)

// modelEvent is a function to run at a point in time, usually at a replica. Events of the same time run in the order of
// their serials.
type modelEvent struct {
	at         time.Duration
	serial     int
	replica    *modelReplica // nil for an event of the model itself, which always runs
	processRun int           // the replica's processRun when the event was scheduled; the event is dropped in a later one
	kind       modelEventKind
	run        func()
}

// modelEventKind is the kind of an event, which determines how faults affect it. A syncEvent or messageEvent is a step:
// faults can be injected before it.
type modelEventKind int

const (
	ordinaryEvent modelEventKind = iota
	timerEvent                   // runs last after a freeze: the messages that wait in sockets are read first
	syncEvent                    // a step: a write becomes durable
	messageEvent                 // a step: a message arrives, unless a fault drops it
)

// modelQueue is a heap of events by time and serial.
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

// modelReplica is a machine that runs a replica. The machine keeps its disk when the replica's process ends.
type modelReplica struct {
	*Replica                         // the current process; nil before the first start
	name        string               // the replica's name
	config      Config               // the configuration for the next start of the process
	incarnation uint64               // identifies the current data folder
	disk        []*schema.Record     // the durable records of the log
	writing     []Persist            // writes that are not durable yet; carried out one after the other
	up, removed bool                 // whether the process runs, and whether the machine was removed permanently
	processRun  int                  // number of times that the process was started
	started     time.Duration        // time at which the process was started; the origin of the replica's clock
	frozenUntil time.Duration        // events before this time are postponed
	nextTickAt  time.Duration        // time of the next tick on the replica's clock; 0 if none is scheduled
	tickets     map[string]func(any) // delivers the result to the operator that waits for it, by ticket
}

// model is a simulated core with the calls of its operators, and the violations found so far.
type model struct {
	now               time.Duration
	serial            int                                           // the last serial that nextSerial returned
	queue             modelQueue                                    // the events to come
	members           []*modelReplica                               // every machine there ever was
	losses            int                                           // number of tolerated disk losses
	initialMachines   int                                           // number of machines at the first start
	seededFault       seededFault                                   // the fault enabled in every replica; 0 for none
	reusesIncarnation bool                                          // a seeded fault: an empty folder counts as the lost one
	partitioned       map[[2]string]bool                            // links that lose messages, by sender and receiver
	faultAt           map[int][]func(event *modelEvent) (drop bool) // faults, by the step before which they are injected
	steps             int                                           // number of syncEvents and messageEvents so far
	calls             linearize.History                             // the operators' calls whose result is known
	faultsEndAt       time.Duration                                 // time at which the last fault ends
	openCalls         map[int]func()                                // functions that record a client's undecided call with an unknown outcome, by client
	violations        []string                                      // the checks that failed so far, as text
	leaders           map[uint64]string                             // name of the leader by term
	states            map[uint64]string                             // stateText by committed sequence
	onAction          func(*modelReplica, Action)                   // called before each action is carried out; may be nil
}

// newModel starts a core of the given number of machines and runs it for modelFoundingTime. The first three machines are
// founders, and the others join at the first start. prepare, if not nil, may seed a fault.
func newModel(members, losses int, prepare func(*model)) *model {
	m := &model{
		losses:          losses,
		initialMachines: members,
		partitioned:     map[[2]string]bool{},
		faultAt:         map[int][]func(*modelEvent) bool{},
		openCalls:       map[int]func(){},
		leaders:         map[uint64]string{},
		states:          map[uint64]string{},
	}
	if prepare != nil {
		prepare(m)
	}
	for index := range members {
		m.add(modelName(index), true)
	}
	m.runTo(modelFoundingTime)
	return m
}

// modelName returns the name of the machine with an index, in the order in which machines were added.
func modelName(index int) string { return string(rune('a' + index)) }

// modelFounders returns the names of the founders of every model.
func modelFounders() []string { return []string{modelName(0), modelName(1), modelName(2)} }

// replicaConfig returns the configuration of a replica, without Founders and ExpandsMembership, which add sets.
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

// newIncarnation returns an incarnation that no other data folder has.
func (m *model) newIncarnation() uint64 { return uint64(m.nextSerial()) }

// nextSerial returns a new serial. Events, incarnations, clients and tickets share one sequence.
func (m *model) nextSerial() int {
	m.serial++
	return m.serial
}

// add adds a machine and starts its replica. founding means that this is the first start of the core.
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

// start starts the replica of a machine. Its seeds are the founders at the first start of the core, and later up to three
// machines that have not been removed by then.
func (m *model) start(replica *modelReplica) {
	if m.now > 0 {
		replica.config.Seeds = nil
		for _, other := range m.remaining()[:min(len(m.remaining()), 3)] {
			replica.config.Seeds = append(replica.config.Seeds, other.name)
		}
	}
	cfg := replica.config
	if len(replica.disk) == 0 {
		if !m.reusesIncarnation || replica.Replica == nil {
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

// at schedules an event after a delay. An event at a replica is dropped if the replica's process has ended by then.
func (m *model) at(after time.Duration, replica *modelReplica, kind modelEventKind, run func()) {
	event := &modelEvent{at: m.now + after, serial: m.nextSerial(), replica: replica, kind: kind, run: run}
	if replica != nil {
		event.processRun = replica.processRun
	}
	heap.Push(&m.queue, event)
}

// runTo runs all events up to a time.
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
		if event.kind >= syncEvent && m.injectFaults(event) {
			continue
		}
		// The fault may have ended or frozen the process of this very replica.
		if replica := event.replica; replica == nil || replica.up && replica.processRun == event.processRun && replica.frozenUntil <= m.now {
			event.run()
		} else if replica.up && replica.processRun == event.processRun {
			m.postpone(event)
		}
	}
	m.now = until
}

// postpone schedules an event at a frozen replica for the time when the replica continues: first the operators' requests
// of that time, then the messages, then the timers.
func (m *model) postpone(event *modelEvent) {
	event.at = event.replica.frozenUntil + modelLinkDelay/2
	if event.kind == timerEvent {
		event.at += modelLinkDelay
	}
	heap.Push(&m.queue, event)
}

// injectFaults counts a step and injects the faults that are due before it. It reports whether one of them drops the
// event.
func (m *model) injectFaults(event *modelEvent) (dropped bool) {
	m.steps++
	for _, fault := range m.faultAt[m.steps] {
		dropped = fault(event) || dropped
	}
	return dropped
}

// replica returns the machine with a name, nil if there is none.
func (m *model) replica(name string) *modelReplica {
	for _, replica := range m.members {
		if replica.name == name {
			return replica
		}
	}
	return nil
}

// remaining returns the machines that have not been removed, whether they are up or not.
func (m *model) remaining() []*modelReplica {
	return slices.DeleteFunc(slices.Clone(m.members), func(replica *modelReplica) bool { return replica.removed })
}

// tick ticks a replica.
func (m *model) tick(replica *modelReplica) {
	replica.nextTickAt = 0
	m.execute(replica, replica.Tick(m.now-replica.started))
}

// execute carries out the actions of a replica, schedules its next tick and checks the invariants.
func (m *model) execute(replica *modelReplica, actions []Action) {
	for _, action := range actions {
		if m.onAction != nil {
			m.onAction(replica, action)
		}
		switch typed := action.(type) {
		case Send:
			m.transmit(replica, proto.Clone(typed.Message).(*schema.ReplicaMessage))
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
	m.checkInvariants(replica)
}

// answer delivers a result to the operator that waits for it, if there is one.
func (m *model) answer(replica *modelReplica, ticket string, result any) {
	if deliver := replica.tickets[ticket]; deliver != nil {
		delete(replica.tickets, ticket)
		deliver(result)
	}
}

// transmit sends a message, unless the link is partitioned when it is sent. Heartbeats are not steps: the faults injected
// before other messages cover them.
func (m *model) transmit(from *modelReplica, message *schema.ReplicaMessage) {
	to := m.replica(message.To)
	if to == nil || m.partitioned[[2]string{from.name, to.name}] {
		return
	}
	kind := messageEvent
	if message.GetHeartbeat() != nil {
		kind = ordinaryEvent
	}
	m.at(modelLinkDelay, to, kind, func() { m.execute(to, to.Step(m.now-to.started, message)) })
}

// persisted completes the first pending write of a replica and begins the next one.
func (m *model) persisted(replica *modelReplica) {
	done := replica.writing[0]
	replica.writing = replica.writing[1:]
	replica.storeRecord(done)
	if len(replica.writing) > 0 {
		m.at(modelSyncDelay, replica, syncEvent, func() { m.persisted(replica) })
	}
	m.execute(replica, replica.Persisted(m.now-replica.started, done.WriteID))
}

// storeRecord makes the record of a write durable.
func (r *modelReplica) storeRecord(write Persist) {
	if write.ReplacesLog {
		r.disk = nil
	}
	r.disk = append(r.disk, write.Record)
}

// checkInvariants checks that no two replicas ever lead in one term or have different states at one committed sequence.
func (m *model) checkInvariants(replica *modelReplica) {
	if replica.role == roleLeader {
		if previous := m.leaders[replica.term]; previous != "" && previous != replica.name {
			m.reportViolation("%s and %s both lead in term %d, want one leader", previous, replica.name, replica.term)
		}
		m.leaders[replica.term] = replica.name
	}
	committed, state := replica.Committed()
	text := stateText(state)
	if previous, known := m.states[committed]; known && previous != text {
		m.reportViolation("state of %s at committed sequence %d is %q, want %q, as at another replica", replica.name, committed, text, previous)
	}
	m.states[committed] = text
}

// stateText returns a state as text to compare, without the versions that the core assigned.
func stateText(state config.State) string {
	var texts []string
	for _, item := range state.Items() {
		texts = append(texts, fmt.Sprintf("%s/%s %d %s", item.Kind, item.Name, item.OperatorVersion, item.Body))
	}
	return strings.Join(texts, ", ")
}

// reportViolation records, with the current time, that a check failed.
func (m *model) reportViolation(format string, values ...any) {
	m.violations = append(m.violations, fmt.Sprintf("%v: "+format, append([]any{m.now}, values...)...))
}
