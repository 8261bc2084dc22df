package dispatch

import (
	"context"
	"math"
	"sync"
	"time"

	"meadowhinge/internal/defect"
)

// Buffer is what waits for one worker at the proxy beside it. That proxy is the only way to the
// worker, so it knows exactly how much the worker has at hand: it gives it no more than it can
// work on, lets the rest wait in an order, and refuses at once what would be answered too late.
// What it refuses was never handed over.
type Buffer struct {
	lock    sync.Mutex
	most    int // handed over at once, whatever the worker says
	slots   int // that the worker works on at once, 0 for not told
	narrow  int // handed over at once since the worker turned something away, 0 for no such bound
	eased   int // answers since then
	running int
	moved   time.Duration // when something was handed over or ended last
	waiting []*Waiter     // by rank, then by when each must start
	shut    defect.Kind
	all     pace
	routes  map[string]*pace
	road    *Road         // that answers leave by
	answer  time.Duration // that one takes on it, of late
}

// Ask is a request that wants to be handed over.
type Ask struct {
	Route   string
	Rank    uint32        // 0 goes first
	Aim     time.Duration // until when an answer is worth most, 0 for no such time
	Horizon time.Duration // until when it is worth anything
}

// Turn is what a request is told: to go, or why not and when to come back.
type Turn struct {
	Kind defect.Kind // empty: it is its turn
	Back time.Duration
}

// Waiter is a request that waits for its turn.
type Waiter struct {
	Turn   chan Turn // has room, so that nobody waits to tell it
	ask    Ask
	came   time.Duration
	work   time.Duration // that it is likely to take
	spread time.Duration // by which it may well take longer
	start  time.Duration // when it must start at the latest to be answered in time
}

// cost is the worker's time that a request takes, against what its rank is worth.
func (w *Waiter) cost() float64 { return costOf(w.work, w.ask.Rank) }

func costOf(work time.Duration, rank uint32) float64 {
	return float64(work) * math.Pow(rankTimes, float64(rank))
}

// before tells who goes first: whoever costs less of the worker's time for its rank, so that where
// not all can be served the most are, and what other work waits for is not turned away; of a
// kind, whoever must start earlier.
func (w *Waiter) before(other *Waiter) bool {
	if mine, theirs := w.cost(), other.cost(); mine != theirs && (w.ask.Route != other.ask.Route || w.ask.Rank != other.ask.Rank) {
		return mine < theirs
	}
	return w.start <= other.start
}

// pace is how long requests take, of late, and which part of the worker's time is theirs.
type pace struct {
	mean   time.Duration
	spread time.Duration // how far from the mean they commonly are
	known  bool
	rank   uint32
	part   float64
	at     time.Duration // as of when
}

// partAt is the part of the worker's time at a moment; it fades over a span.
func (p *pace) partAt(now, span time.Duration) float64 {
	if span <= 0 || now <= p.at {
		return p.part
	}
	return p.part * math.Exp(-float64(now-p.at)/float64(span))
}

// Ratios of the buffer.
const (
	overlapParts = 16   // besides one, this part of the slots is handed over ahead, to hide the way there
	meanParts    = 8    // each answer moves the mean by this part
	heldParts    = 4    // of the time to its aim, after which a request that waits is not sent elsewhere any more
	easeTimes    = 2    // answers, as a multiple of what is handed over, after which one more is tried
	unknownTimes = 2    // requests that may wait for each that runs, while it is not known how long they take
	shortTimes   = 2    // a request is short that takes this part of the mean
	rankTimes    = 2    // a rank is worth this many times the one below it
	spanTimes    = 32   // the mean, over which it is reckoned whose the worker's time is
	takenMost    = 0.95 // of its time that those who go first are reckoned with at the most
	waitTimes    = 3    // parts of the time left, out of the next number, that a request waits at the most
	waitOutOf    = 8
	routesMost   = 1024
)

// NewBuffer hands over at most so many at once.
func NewBuffer(most, slots int) *Buffer {
	return &Buffer{most: most, slots: slots, routes: map[string]*pace{}}
}

// leaving has the answers leave by a link.
func (b *Buffer) leaving(road *Road) *Buffer {
	b.road = road
	return b
}

// limit is how many are handed over at once.
func (b *Buffer) limit() int {
	limit := b.most
	if b.slots > 0 {
		limit = min(limit, b.slots+1+b.slots/overlapParts)
	}
	if b.narrow > 0 {
		limit = min(limit, b.narrow)
	}
	// More answers than the link carries away would only wait there, where none goes before another.
	if b.answer > 0 && b.all.known {
		limit = min(limit, 1+int(b.ahead()/b.answer))
	}
	return max(1, limit)
}

// ahead is how much of the link's time answers that are under way may take: what keeps it busy
// while the next ones are worked on.
func (b *Buffer) ahead() time.Duration { return b.all.mean + b.all.mean/overlapParts }

// room tells whether one more may be handed over. What is on the link already leaves so much less
// for answers; but one is always under way, whose end gives the next their turn.
func (b *Buffer) room() bool {
	switch {
	case b.running == 0:
		return true
	case b.running >= b.limit():
		return false
	}
	return b.answer == 0 || b.road.Wait()+time.Duration(b.running)*b.answer <= b.ahead()
}

// work is how long a request of a route takes, and by how much it may well be longer.
func (b *Buffer) work(route string) (mean, spread time.Duration) {
	if known := b.routes[route]; known != nil {
		return known.mean, known.spread
	}
	return b.all.mean, b.all.spread
}

// waitOf is how long a request has to wait before which there is so much work. A worker that is
// full and ends nothing may go on so for as long as it has already.
func (b *Buffer) waitOf(now, work time.Duration) time.Duration {
	return max((b.all.mean+work)/time.Duration(b.limit()), now-b.moved)
}

// waitFor is how long a request has to wait that goes behind so much work, and behind whoever
// comes meanwhile and goes first.
func (b *Buffer) waitFor(now time.Duration, one *Waiter, work time.Duration) time.Duration {
	taken, cost := 0.0, one.cost()
	for route, known := range b.routes {
		if route != one.ask.Route && costOf(known.mean, known.rank) < cost {
			taken += known.partAt(now, spanTimes*b.all.mean)
		}
	}
	return time.Duration(float64(b.waitOf(now, work)) / (1 - min(taken, takenMost)))
}

// by is when a request should be answered.
func (a *Ask) by() time.Duration {
	if a.Aim != 0 {
		return min(a.Aim, a.Horizon)
	}
	return a.Horizon
}

// over is how much too late a request would be answered that had to wait so long. What is short
// by the measure of the others is better served late: little room is won by turning it away.
func (b *Buffer) over(now time.Duration, one *Waiter, wait time.Duration) time.Duration {
	by := one.ask.by()
	if one.work*shortTimes <= b.all.mean {
		by = one.ask.Horizon
	}
	return now + wait + one.work + one.spread + b.road.Wait() - by
}

// Arrive gives a request its turn, lets it wait, or refuses it.
func (b *Buffer) Arrive(now time.Duration, ask Ask) (Turn, *Waiter) {
	b.lock.Lock()
	defer b.lock.Unlock()
	switch {
	case b.shut != "":
		return Turn{Kind: b.shut}, nil
	case now >= ask.Horizon:
		return Turn{Kind: defect.HorizonPast}, nil
	case b.room() && len(b.waiting) == 0:
		b.running, b.moved = b.running+1, now
		return Turn{}, nil
	}
	fresh := &Waiter{ask: ask, came: now}
	fresh.work, fresh.spread = b.work(ask.Route)
	if known := b.routes[ask.Route]; known != nil {
		known.rank = ask.Rank
	}
	fresh.start = ask.by() - (fresh.work + fresh.spread)
	place, ahead := 0, time.Duration(0)
	for place < len(b.waiting) && b.waiting[place].before(fresh) {
		ahead += b.waiting[place].work
		place++
	}
	if !b.all.known {
		if b.slots == 0 || place >= unknownTimes*b.limit() {
			return Turn{Kind: defect.BufferFull}, nil
		}
	} else if over := b.over(now, fresh, b.waitFor(now, fresh, ahead)); over > 0 || b.slots == 0 {
		return Turn{Kind: defect.BufferFull, Back: max(over, b.waitOf(now, 0))}, nil
	}
	fresh.Turn = make(chan Turn, 1)
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[place+1:], b.waiting[place:])
	b.waiting[place] = fresh
	b.displace(now, place+1, ahead+fresh.work)
	return Turn{}, fresh
}

// displace refuses those from a place on that now would come too late, for as long as they can
// well go elsewhere: who has waited long is better served late than not at all.
func (b *Buffer) displace(now time.Duration, from int, ahead time.Duration) {
	kept := b.waiting[:from]
	for _, one := range b.waiting[from:] {
		over := b.over(now, one, b.waitFor(now, one, ahead))
		if over > 0 && now-one.came <= (one.ask.by()-one.came)/heldParts {
			one.Turn <- Turn{Kind: defect.BufferFull, Back: max(over, b.waitOf(now, 0))}
			continue
		}
		kept, ahead = append(kept, one), ahead+one.work
	}
	clear(b.waiting[len(kept):])
	b.waiting = kept
}

// Leave takes out a request that need not wait any more. False if it was told meanwhile: then
// what it was told waits for it.
func (b *Buffer) Leave(one *Waiter) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	for i, listed := range b.waiting {
		if listed == one {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Await waits for a request's turn, but not for so much of the time left that nobody else could
// do anything with the rest.
func (b *Buffer) Await(ctx context.Context, one *Waiter, left time.Duration) Turn {
	timer := time.NewTimer(left * waitTimes / waitOutOf)
	defer timer.Stop()
	gone := Turn{Kind: defect.BufferFull, Back: one.work}
	select {
	case turn := <-one.Turn:
		return turn
	case <-ctx.Done():
		gone = Turn{Kind: endOf(ctx)}
	case <-timer.C:
	}
	if b.Leave(one) {
		return gone
	}
	return <-one.Turn
}

// Result is what became of a request that had its turn.
type Result int

// The results that count.
const (
	Unrun    Result = iota // it was not handed over, or not to its end
	Answered               // it ran to its end
	Turned                 // the worker turned it away
	Failed                 // it ran, and its answer is a failure
)

// End notes that a request which had its turn is over, and gives the next ones theirs.
func (b *Buffer) End(now time.Duration, route string, result Result, took time.Duration) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.running, b.moved = b.running-1, now
	switch result {
	case Answered, Failed:
		// A quick failure says nothing of how long calls take: by it, who fails would look the quickest.
		if mean, _ := b.work(route); result == Answered || took >= mean {
			b.learn(now, route, took)
		}
		// After it turned something away, the worker gets one more at a time until it is full again.
		if b.eased++; b.narrow > 0 && b.eased >= easeTimes*b.narrow {
			b.eased = 0
			if b.narrow++; b.narrow > b.slots {
				b.narrow = 0
			}
		}
	case Turned:
		b.narrow, b.eased = max(1, b.running), 0
	}
	b.next(now)
}

func (b *Buffer) learn(now time.Duration, route string, took time.Duration) {
	if len(b.routes) >= routesMost {
		clear(b.routes)
	}
	own := b.routes[route]
	if own == nil {
		own = &pace{}
		b.routes[route] = own
	}
	for _, one := range []*pace{&b.all, own} {
		if !one.known {
			one.mean, one.known = took, true
		}
		one.spread += ((took - one.mean).Abs() - one.spread) / meanParts
		one.mean += (took - one.mean) / meanParts
	}
	span := spanTimes * b.all.mean
	own.part, own.at = own.partAt(now, span)+float64(took)/float64(b.limit())/float64(span), now
}

// Left notes how many bytes an answer had.
func (b *Buffer) Left(bytes int) {
	if span := b.road.Span(bytes); span > 0 {
		b.lock.Lock()
		defer b.lock.Unlock()
		if b.answer == 0 {
			b.answer = span
		}
		b.answer += (span - b.answer) / meanParts
	}
}

// next gives turns as far as there is room.
func (b *Buffer) next(now time.Duration) {
	for len(b.waiting) > 0 && b.room() {
		first := b.waiting[0]
		b.waiting[0] = nil
		b.waiting = b.waiting[1:]
		if now >= first.ask.Horizon {
			first.Turn <- Turn{Kind: defect.HorizonPast}
			continue
		}
		b.running, b.moved = b.running+1, now
		first.Turn <- Turn{}
	}
}

// Shut refuses all that waits and all that comes; what was handed over goes on to its end.
func (b *Buffer) Shut(kind defect.Kind) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.shut = kind
	for _, one := range b.waiting {
		one.Turn <- Turn{Kind: kind}
	}
	b.waiting = nil
}

// Slots takes note of how many requests the worker works on at once.
func (b *Buffer) Slots(now time.Duration, slots int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.slots = slots
	b.next(now)
}

// Pace is how long the worker takes for a request, of late; 0 for not known.
func (b *Buffer) Pace() time.Duration {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.all.mean
}

// Load is how much the worker has at hand, how much waits for it, and how many it works on at once.
func (b *Buffer) Load() (running, waiting, slots uint32) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return uint32(b.running), uint32(len(b.waiting)), uint32(min(b.slots, b.limit()))
}
