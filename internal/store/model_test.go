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

// A model of a core: the real step functions of seats under one clock, with links and disks that
// take a fixed time, so that a run is decided by its faults alone. A test counts the steps of a run
// without faults, and then runs it again with each fault at each step.

// Times of the model. Only their ratios matter.
const (
	modelSilence  = 300 * time.Millisecond
	modelStall    = 600 * time.Millisecond
	modelLink     = 2 * time.Millisecond
	modelSync     = 3 * time.Millisecond
	modelCatchUp  = 3 * modelSilence // after its return a seat counts as lost for so long
	modelOutage   = 4 * modelSilence // how long a seat is away
	modelRetry    = 100 * time.Millisecond
	modelBetween  = 40 * time.Millisecond // two calls
	modelFounding = time.Second
	modelSettling = 3 * time.Second // after the last fault has ended
)

// modelEvent is something that happens at a seat at a time.
type modelEvent struct {
	at     time.Duration
	serial int
	seat   *modelSeat // nil for what happens at no seat
	life   int
	kind   modelKind
	run    func()
}

// modelKind says what faults an event can meet.
type modelKind int

const (
	plainEvent  modelKind = iota
	timerEvent            // late where its seat was frozen: what waits in sockets is read first
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

// modelSeat is a machine with a seat on it.
type modelSeat struct {
	*Seat
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
	seats   []*modelSeat
	losses  int
	founded int // how many seats there were at first
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
	states  map[uint64]string // by stable sequence
}

// newModel founds a core of three seats, and of more that join at the first start. Prepare may
// plant a fault in it.
func newModel(seats, losses int, prepare func(*model)) *model {
	m := &model{losses: losses, founded: seats, cut: map[[2]string]bool{}, faultAt: map[int][]func(*modelEvent) bool{},
		open: map[int]func(){}, leaders: map[uint64]string{}, states: map[uint64]string{}}
	if prepare != nil {
		prepare(m)
	}
	for place := range seats {
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
func (m *model) add(name string, founding bool) *modelSeat {
	seat := &modelSeat{name: name, options: m.options(name)}
	if founding && slices.Contains(modelFounders(), name) {
		seat.options.Founders = modelFounders()
	}
	seat.options.Raise = founding && seat.options.Founders == nil
	m.seats = append(m.seats, seat)
	m.start(seat)
	return seat
}

// start starts a machine. Its seeds are machines of that moment: at the first start the founders,
// later three that stand.
func (m *model) start(seat *modelSeat) {
	if m.now > 0 {
		seat.options.Seeds = nil
		for _, other := range m.standing()[:min(len(m.standing()), 3)] {
			seat.options.Seeds = append(seat.options.Seeds, other.name)
		}
	}
	options := seat.options
	if len(seat.disk) == 0 {
		if !m.amnesia || seat.Seat == nil {
			seat.incarnation = m.draw()
		} else {
			options.Founders, options.Raise = modelFounders(), false
		}
		seat.disk = []*schema.Record{Birth(options, seat.incarnation)}
		seat.options.Founders, seat.options.Raise = nil, false
	}
	seat.Seat = NewSeat(options, seat.incarnation, seat.disk)
	seat.up, seat.life, seat.started, seat.frozenTo, seat.wakesAt = true, seat.life+1, m.now, 0, 0
	seat.writing, seat.tickets = nil, map[string]func(any){}
	m.at(0, seat, plainEvent, func() { m.tick(seat) })
}

// at lets something happen at a seat after a while, unless that life of it has ended by then.
func (m *model) at(after time.Duration, seat *modelSeat, kind modelKind, run func()) {
	event := &modelEvent{at: m.now + after, serial: m.next(), seat: seat, kind: kind, run: run}
	if seat != nil {
		event.life = seat.life
	}
	heap.Push(&m.queue, event)
}

// runTo lets everything happen up to a time.
func (m *model) runTo(until time.Duration) {
	for len(m.queue) > 0 && m.queue[0].at <= until {
		event := heap.Pop(&m.queue).(*modelEvent)
		m.now = event.at
		if seat := event.seat; seat != nil {
			if !seat.up || seat.life != event.life {
				continue
			}
			if seat.frozenTo > m.now {
				m.postpone(event)
				continue
			}
		}
		if event.kind >= syncEvent && m.strike(event) {
			continue
		}
		// A fault may have ended that seat's life just now.
		if seat := event.seat; seat == nil || seat.up && seat.life == event.life && seat.frozenTo <= m.now {
			event.run()
		} else if seat.up && seat.life == event.life {
			m.postpone(event)
		}
	}
	m.now = until
}

// postpone lets an event at a frozen seat happen once that goes on: what an operator asks then
// comes first, then letters, then timers.
func (m *model) postpone(event *modelEvent) {
	event.at = event.seat.frozenTo + modelLink/2
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

func (m *model) seat(name string) *modelSeat {
	for _, seat := range m.seats {
		if seat.name == name {
			return seat
		}
	}
	return nil
}

// standing lists the machines that are not gone for good.
func (m *model) standing() []*modelSeat {
	return slices.DeleteFunc(slices.Clone(m.seats), func(seat *modelSeat) bool { return seat.gone })
}

func (m *model) tick(seat *modelSeat) {
	seat.wakesAt = 0
	m.act(seat, seat.Tick(m.now-seat.started))
}

func (m *model) act(seat *modelSeat, actions []Action) {
	for _, action := range actions {
		switch one := action.(type) {
		case Send:
			m.post(seat, proto.Clone(one.Letter).(*schema.SeatLetter))
		case Persist:
			one.Record = proto.Clone(one.Record).(*schema.Record)
			if seat.writing = append(seat.writing, one); len(seat.writing) == 1 {
				m.at(modelSync, seat, syncEvent, func() { m.synced(seat) })
			}
		case Reply:
			m.answer(seat, one.Submitted.Ticket, one.Submitted)
		case ReplyBarrier:
			m.answer(seat, one.Back.Ticket, one.Back)
		}
	}
	if wakes := seat.Wakes(); seat.wakesAt == 0 || wakes < seat.wakesAt {
		seat.wakesAt = wakes
		m.at(max(wakes-(m.now-seat.started), time.Microsecond), seat, timerEvent, func() {
			if seat.wakesAt == wakes {
				m.tick(seat)
			}
		})
	}
	m.observe(seat)
}

func (m *model) answer(seat *modelSeat, ticket string, result any) {
	if then := seat.tickets[ticket]; then != nil {
		delete(seat.tickets, ticket)
		then(result)
	}
}

func (m *model) post(from *modelSeat, letter *schema.SeatLetter) {
	to := m.seat(letter.To)
	if to == nil || m.cut[[2]string{from.name, to.name}] {
		return
	}
	kind := letterEvent
	if letter.GetPing() != nil {
		kind = plainEvent
	}
	m.at(modelLink, to, kind, func() { m.act(to, to.Deliver(m.now-to.started, letter)) })
}

func (m *model) synced(seat *modelSeat) {
	done := seat.writing[0]
	seat.writing = seat.writing[1:]
	seat.keep(done)
	if len(seat.writing) > 0 {
		m.at(modelSync, seat, syncEvent, func() { m.synced(seat) })
	}
	m.act(seat, seat.Synced(m.now-seat.started, done.Mark))
}

func (s *modelSeat) keep(one Persist) {
	if one.Whole {
		s.disk = nil
	}
	s.disk = append(s.disk, one.Record)
}

// observe judges what no two seats may ever disagree on.
func (m *model) observe(seat *modelSeat) {
	if seat.phase == active {
		if held := m.leaders[seat.epoch]; held != "" && held != seat.name {
			m.breach("%s and %s both lead under epoch %d", held, seat.name, seat.epoch)
		}
		m.leaders[seat.epoch] = seat.name
	}
	stable, state := seat.Stable()
	text := stateText(state)
	if held, known := m.states[stable]; known && held != text {
		m.breach("under sequence %d %s holds %q; another held %q", stable, seat.name, text, held)
	}
	m.states[stable] = text
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

// write lets an operator send an item until it is decided: at the same seat, or at the next one
// where that is down or does not decide.
func (m *model) write(place int, item *schema.Item) {
	client, began := m.next(), m.now
	note := func(result linearize.Result) {
		delete(m.open, client)
		m.calls.Add(linearize.Operation{Client: client, Item: item.Name, Value: modelValue(item), Result: result, Begin: began, End: m.now})
	}
	m.open[client] = func() { note(linearize.Unknown) }
	id := fmt.Sprint("change-", client)
	m.call(client, place, func(seat *modelSeat, ticket string) {
		m.act(seat, seat.Offer(m.now-seat.started, &schema.Submit{Ticket: ticket, Change: &schema.Change{Id: id, ByGiven: true, Items: []*schema.Item{item}}}))
	}, func(seat *modelSeat, result any) bool {
		submitted := result.(*schema.Submitted)
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
	m.call(client, place, func(seat *modelSeat, ticket string) {
		m.act(seat, seat.Stand(m.now-seat.started, ticket))
	}, func(seat *modelSeat, result any) bool {
		back := result.(*schema.BarrierBack)
		if back.Undecided {
			return false
		}
		// If the seat's life ends before it has that, the read is left without an answer.
		delete(m.open, client)
		m.readBack(client, began, seat, back.Stable)
		return true
	})
}

// readBack reads at a seat once that has what the barrier told of.
func (m *model) readBack(client int, began time.Duration, seat *modelSeat, stable uint64) {
	reached, state := seat.Stable()
	if reached < stable {
		m.at(modelLink, seat, plainEvent, func() { m.readBack(client, began, seat, stable) })
		return
	}
	for place := range modelItems {
		name := modelItem(place)
		m.calls.Add(linearize.Operation{Client: client, Item: name, Read: true, Value: modelValue(state[setup.Key("segment", name)]),
			Result: linearize.Accepted, Begin: began, End: m.now})
	}
}

// call asks seats until one has decided.
func (m *model) call(client, place int, ask func(seat *modelSeat, ticket string), decided func(seat *modelSeat, result any) bool) {
	done := false
	var try func(tried int)
	try = func(tried int) {
		if done || m.open[client] == nil {
			return
		}
		// Two tries at a seat, then the next one.
		seat := m.seats[(place+tried/2)%len(m.seats)]
		if seat.up {
			ticket := fmt.Sprint("ticket-", m.next())
			seat.tickets[ticket] = func(result any) { done = done || decided(seat, result) }
			m.at(0, seat, plainEvent, func() { ask(seat, ticket) })
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
	for place, seat := range m.seats {
		if !seat.gone {
			m.read(place)
		}
	}
	m.write(slices.Index(m.seats, m.standing()[0]), &schema.Item{Kind: "segment", Name: modelItem(0), Given: 1 << 30, Body: []byte(`{"salt":"last"}`)})
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
	for _, seat := range standing {
		switch {
		case !seat.up:
			return seat.name + " is down"
		case !seat.member():
			return seat.name + " is no member"
		case seat.stable != standing[0].stable:
			return fmt.Sprintf("%s is at %d, %s at %d", seat.name, seat.stable, standing[0].name, standing[0].stable)
		case len(seat.set.Seats) != len(standing):
			return fmt.Sprintf("%s knows %d seats for %d machines", seat.name, len(seat.set.Seats), len(standing))
		}
	}
	return ""
}

// ---- faults ----

// powerLoss ends a seat's process and what it had not synced; kept says how many of the writes
// under way reached the disk all the same.
func (m *model) powerLoss(seat *modelSeat, kept int) {
	for _, one := range seat.writing[:min(kept, len(seat.writing))] {
		seat.keep(one)
	}
	seat.up = false
}

// lasts notes that a fault goes on for a while.
func (m *model) lasts(outage time.Duration) { m.endOf = max(m.endOf, m.now+outage) }

// back starts a seat again after a while.
func (m *model) back(seat *modelSeat, after time.Duration) {
	m.lasts(after)
	m.at(after, nil, plainEvent, func() {
		if !seat.up && !seat.gone {
			m.start(seat)
		}
	})
}

// isolate cuts a seat's links for a while.
func (m *model) isolate(seat *modelSeat, inward, outward bool) {
	m.isolateFor(modelOutage, seat, inward, outward)
}

func (m *model) isolateFor(outage time.Duration, seat *modelSeat, inward, outward bool) {
	cut := func(is bool) {
		for _, other := range m.seats {
			if inward {
				m.cut[[2]string{other.name, seat.name}] = is
			}
			if outward {
				m.cut[[2]string{seat.name, other.name}] = is
			}
		}
	}
	cut(true)
	m.at(outage, nil, plainEvent, func() { cut(false) })
	m.lasts(outage)
}

// modelFault is a fault that strikes one seat.
type modelFault struct {
	name   string
	strike func(m *model, seat *modelSeat)
}

var modelFaults = []modelFault{
	{"loses power", func(m *model, seat *modelSeat) {
		m.powerLoss(seat, 0)
		m.back(seat, modelOutage)
	}},
	{"loses power for a moment, keeping a write", func(m *model, seat *modelSeat) {
		m.powerLoss(seat, 1)
		m.back(seat, modelLink)
	}},
	{"loses its disk", wipeSeat},
	{"is cut off", func(m *model, seat *modelSeat) { m.isolate(seat, true, true) }},
	{"hears nothing", func(m *model, seat *modelSeat) { m.isolate(seat, true, false) }},
	{"is not heard", func(m *model, seat *modelSeat) { m.isolate(seat, false, true) }},
	{"freezes, and is asked as it thaws", func(m *model, seat *modelSeat) {
		seat.frozenTo = m.now + modelOutage
		m.lasts(modelOutage)
		m.at(modelOutage, nil, plainEvent, func() { m.read(slices.Index(m.seats, seat)) })
	}},
	{"is replaced", replaceSeat},
	{"is replaced by plan", func(m *model, seat *modelSeat) {
		m.add(modelName(len(m.seats)), false)
		m.at(modelCatchUp, nil, plainEvent, func() { m.remove(seat) })
	}},
}

func wipeSeat(m *model, seat *modelSeat) {
	m.powerLoss(seat, 0)
	seat.disk = nil
	m.back(seat, modelSilence)
}

func replaceSeat(m *model, seat *modelSeat) {
	m.remove(seat)
	m.at(modelSilence, nil, plainEvent, func() { m.add(modelName(len(m.seats)), false) })
}

// remove takes a machine away for good.
func (m *model) remove(seat *modelSeat) {
	if seat.up {
		m.powerLoss(seat, 0)
	}
	seat.gone = true
}

// allLosePower ends every process at one moment.
func (m *model) allLosePower() {
	for place, seat := range m.seats {
		if seat.gone {
			continue
		}
		if seat.up {
			m.powerLoss(seat, place%2)
		}
		m.back(seat, time.Duration(place+1)*modelLink)
	}
}
