package simulator

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"sort"
	"strings"
	"sync"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/fakebackend"
	"meadowhinge/schema"
)

type shown struct {
	at    time.Duration
	setup uint64
}

// op is one thing a caller wants done, however often it asks for it.
type op struct {
	id, caller, service, path string
	once, keyed               bool
	asks                      []*askEntry
	runs                      []runEntry
	opened                    time.Duration
}

// askEntry is one asking, as the caller saw it.
type askEntry struct {
	proxy     *proxyNode
	sent, got time.Duration
	outcome   string
	ended     *dispatch.CallResult // nil if the connection was lost or never opened
}

type runEntry struct {
	worker  *workerNode
	at      time.Duration
	ask     int
	request string // the dispatch
	ended   time.Duration
}

// faultEntry is a fault and how long it went on.
type faultEntry struct {
	name     string
	from, to time.Duration
	costs    bool // it may turn callers away
	core     bool // it takes a core machine, which costs nothing while the others stand
}

// badEntry is what a version that is not sound got of its service's calls since it was so.
type badEntry struct {
	service, version     string
	all, its, failures   int
	fiftieth, last, late time.Duration
}

// History is what happened, and every breach of a never-rule found in it.
type History struct {
	lock       sync.Mutex
	Decisions  int
	Touched    int // of them at proxies in touch
	Asked      int
	Answered   int
	Runs       int
	Repeats    int // asks under a key that had been asked for before, and were answered
	Yeses      int
	Refusals   int
	Breaches   map[string][]string
	Print      uint64         // of all events and their times: equal prints are equal runs
	Away       map[string]int // proper calls turned away, by fault and cause
	Unsent     int
	Tombstones int // the most that any copy held
	Purges     int // how often tombstones were let go
	purgedTo   uint64
	HeldCalls  int
	Left       int                       // callers that left before they were answered
	Departures dispatch.DisconnectCounts // of all lives of proxies
	world      *World
	yeses      []shown // by time, the highest acknowledged setup
	yes        uint64
	shown      map[string][]shown
	last       map[string]uint64
	lives      map[string]int    // of proxies, that last belongs to
	orders     map[uint64]string // what each stable sequence is: the change that took it
	markers    map[string]bool   // items that only invalid changes name
	rulings    map[string]schema.Ruling
	ops        map[string]*op
	left       map[string]time.Duration // by token: when its worker said that it leaves, or ended
	setups     map[uint64]*config.Snapshot
	extras     map[string][]time.Duration // by service: dispatches after the first of their call
	under      map[string]int             // calls under way, by service and version
	bad        []*badEntry
	over       bool
}

// The rules that are judged exactly, in virtual time.
const (
	RuleTwice     = "a once request ran twice"
	RuleNotRun    = "a request refused as not run ran"
	RuleAnswer    = "an answer was not its caller's own, whole and unaltered"
	RuleSent      = "a worker ran what it was not sent, or by a false claim"
	RuleAllowed   = "a call reached what no setup in force allowed"
	RuleLeft      = "a worker got a call 2 s after it left"
	RuleOlder     = "handled by older rules after a yes"
	RuleFallback  = "fell back to an older setup"
	RuleInvalid   = "invalid change in force"
	RuleBudget    = "extra tries beyond the budget"
	RuleBad       = "a bad version got too many calls"
	RuleAway      = "a proper call was turned away without cause"
	RuleLost      = "acknowledged work lost"
	RuleForked    = "two setups under one sequence"
	RuleRuling    = "a ruling changed"
	RuleRecovery  = "not back within the bound"
	RuleGood      = "a good version was turned back"
	RuleGone      = "a worker went on for a caller that had left"
	breachesShown = 5
)

func (h *History) breach(rule, format string, values ...any) {
	if h.Breaches == nil {
		h.Breaches = map[string][]string{}
	}
	if len(h.Breaches[rule]) < breachesShown {
		h.Breaches[rule] = append(h.Breaches[rule], fmt.Sprintf(format, values...))
	}
}

// yesAt is the highest setup that had been acknowledged at a time; the caller holds the lock.
func (h *History) yesAt(at time.Duration) uint64 {
	place := sort.Search(len(h.yeses), func(i int) bool { return h.yeses[i].at > at }) - 1
	if place < 0 {
		return 0
	}
	return h.yeses[place].setup
}

// dispatched judges one call as it is sent: no bound of seconds is needed, for time is exact.
func (h *History) dispatched(now time.Duration, node *proxyNode, carry *schema.ForwardRequest) {
	touch := !h.world.Options.Serving || h.world.inTouch(node)
	h.lock.Lock()
	defer h.lock.Unlock()
	h.Decisions++
	if least := h.yesAt(now - fakebackend.ConfigPropagationBound); h.world.Options.Serving {
		if touch {
			h.Touched++
		}
		if touch && carry.Revision < least {
			h.breach(RuleOlder, "%v: %s, in touch, sent %s by %d; %d was acknowledged %v before", now, node.name, carry.Request, carry.Revision, least, fakebackend.ConfigPropagationBound)
		}
	} else if carry.Revision < h.yes {
		h.breach(RuleOlder, "%v: %s sent %s by %d; %d was acknowledged", now, node.name, carry.Request, carry.Revision, h.yes)
	}
	// In doubt a proxy serves by what it knows, so only within one life it knows never less.
	if h.lives[node.name] != node.life && h.world.Options.Serving {
		h.last[node.name], h.lives[node.name] = 0, node.life
	}
	if carry.Revision < h.last[node.name] {
		h.breach(RuleFallback, "%v: %s sent %s by %d after %d", now, node.name, carry.Request, carry.Revision, h.last[node.name])
	}
	h.last[node.name] = max(h.last[node.name], carry.Revision)
	for marker := range h.markers {
		if item := node.journal.View().Items()[marker]; item != nil {
			h.breach(RuleInvalid, "%v: %s holds %s", now, node.name, marker)
		}
	}
	if !strings.HasSuffix(carry.Request, "-1") {
		if h.extras == nil {
			h.extras = map[string][]time.Duration{}
		}
		h.extras[carry.Service] = append(h.extras[carry.Service], now)
	}
}

func (h *History) opens(id, caller, service, path string, once, keyed bool) *op {
	h.lock.Lock()
	defer h.lock.Unlock()
	one := &op{id: id, caller: caller, service: service, path: path, once: once, keyed: keyed, opened: h.world.time()}
	h.ops[id] = one
	return one
}

// begin counts a call that a worker of a version has begun; the world's lock is held.
func (h *History) begin(one *workerNode) int {
	if h.under == nil {
		h.under = map[string]int{}
	}
	h.under[one.service+one.version]++
	return h.under[one.service+one.version]
}

func (h *History) leaves(token string, at time.Duration) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if _, known := h.left[token]; !known {
		h.left[token] = at
	}
}

// inForce notes a setup that a registry gives out.
func (h *History) inForce(compiled *config.Snapshot) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.setups[compiled.Revision] == nil {
		h.setups[compiled.Revision] = compiled
	}
}

// ran judges a run by a worker.
func (h *History) ran(now time.Duration, one *workerNode, id string, ask int, caller, request string, failed bool) {
	// A proxy that was frozen between its last look and the handing over is bound by its lease, or
	// where there is none by what binds machines in touch.
	bound := !h.world.Options.Serving || h.world.calm(one.beside)
	h.lock.Lock()
	defer h.lock.Unlock()
	h.Runs++
	wanted := h.ops[id]
	if wanted == nil || wanted.caller != caller || wanted.service != one.service {
		h.breach(RuleSent, "%v: %s ran %s (%s) as from %q", now, one.name, id, request, caller)
		return
	}
	wanted.runs = append(wanted.runs, runEntry{one, now, ask, request, 0})
	if at, left := h.left[one.token]; left && bound && now > at+fakebackend.DrainingBound {
		h.breach(RuleLeft, "%v: %s ran %s %v after it left", now, one.name, id, now-at)
	}
	// What was in force when it was asked for, or came into force since, may have allowed it.
	sent := wanted.opened
	if ask < len(wanted.asks) {
		sent = wanted.asks[ask].sent
	}
	least, allowed := h.yesAt(sent-fakebackend.ConfigPropagationBound), false
	// A proxy that is out of touch may go by any setup there ever was.
	if h.world.Options.Serving {
		least = 0
	}
	for sequence, compiled := range h.setups {
		if sequence < least {
			continue
		}
		if service := compiled.Services[one.service]; service != nil && service.AllowsVersion(one.version) && service.AllowsCaller(caller) {
			allowed = true
			break
		}
	}
	if !allowed {
		h.breach(RuleAllowed, "%v: %s of version %s ran %s from %s; no setup since %d allows it", now, one.name, one.version, id, caller, least)
	}
	for _, bad := range h.bad {
		if bad.service != one.service {
			continue
		}
		ill := h.world.ills[[2]string{bad.service, bad.version}]
		if ill == nil || now < ill.From || (ill.Until > 0 && now >= ill.Until) {
			continue
		}
		bad.all++
		if one.version != bad.version {
			continue
		}
		bad.its++
		bad.last = now
		if bad.failures >= fakebackend.FaultyVersionFailures && now > bad.fiftieth+fakebackend.FaultyVersionBound && bad.late == 0 {
			bad.late = now
		}
		if failed {
			if bad.failures++; bad.failures == fakebackend.FaultyVersionFailures {
				bad.fiftieth = now
			}
		}
	}
}

// asked judges what a caller was told.
func (h *History) asked(now time.Duration, one *op, entry *askEntry) {
	h.lock.Lock()
	defer h.lock.Unlock()
	// What is under way when the run ends has no outcome.
	if h.over {
		return
	}
	entry.got = now
	one.asks = append(one.asks, entry)
	h.Asked++
	switch entry.outcome {
	case "unsent":
		h.Unsent++
		return
	case outcomeLeft:
		h.Left++
		return
	}
	if entry.ended == nil {
		h.away(entry, "connection lost")
		return
	}
	if made := entry.ended.Plan; made != nil {
		if least := h.yesAt(entry.sent - fakebackend.ConfigPropagationBound); !h.world.Options.Serving && made.Verdict.ConfigRevision < least {
			h.breach(RuleOlder, "%v: %s, asked at %v, was handled by %d; %d had been acknowledged", now, one.id, entry.sent, made.Verdict.ConfigRevision, least)
		}
		if made.Verdict.Reason == "HELD" {
			h.HeldCalls++
		}
	}
	if entry.ended.Err != nil {
		// A caller that was withdrawn is refused rightly.
		if errs.CodeOf(entry.ended.Err) != errs.CallerNotAllowed {
			h.away(entry, string(errs.CodeOf(entry.ended.Err)))
		}
		return
	}
	h.Answered++
	if len(one.asks) > 1 {
		h.Repeats++
	}
	var got fakebackend.Reply
	carried := entry.ended.Response
	if json.Unmarshal(carried.Body, &got) != nil || got.Operation != one.id || !got.IsIntact() {
		h.breach(RuleAnswer, "%v: %s got %q", now, one.id, carried.Body)
	}
	if len(one.runs) == 0 {
		h.breach(RuleAnswer, "%v: %s was answered and had not run", now, one.id)
	}
}

// away counts a proper call that was turned away under the fault that may have caused it.
func (h *History) away(entry *askEntry, cause string) {
	w := h.world
	blamed := ""
	touches := func(one *faultEntry) bool {
		return one.from <= entry.got && (one.to == 0 || entry.sent <= one.to+2*lease)
	}
	cores := 0
	for _, one := range w.faults {
		if !touches(one) {
			continue
		}
		if one.core {
			cores++
		}
		// One core machine gone costs nothing; with another besides, a majority may be.
		if one.costs || cores > 1 {
			blamed = one.name
			break
		}
	}
	if blamed == "" {
		h.breach(RuleAway, "%v: asked at %v at %s: %s", entry.got, entry.sent, entry.proxy.name, cause)
		blamed = "no fault"
	}
	h.Away[blamed+": "+cause]++
}

// observeSeat holds what a seat shows against what anyone ever showed.
func (w *World) observeSeat(node *seatNode) {
	stable, state := node.seat.Committed()
	h := w.History
	h.lock.Lock()
	known := h.shown[node.name]
	news := len(known) == 0 || known[len(known)-1].setup != stable
	if news {
		h.shown[node.name] = append(known, shown{w.now, stable})
	}
	h.lock.Unlock()
	if news {
		h.observe(w.now, node.name, stable, state)
	}
}

// applied holds what a proxy uses against what anyone ever showed.
func (h *History) applied(now time.Duration, node *proxyNode) {
	held := node.journal.View()
	if h.world.plant != PlantOpen {
		h.observe(now, node.name, held.ConfigRevision(), held.Items())
	}
}

// observe compares what stands at a sequence: each item by the change that took it. Removed
// items count as absent, for copies let go of their tombstones at different times.
func (h *History) observe(now time.Duration, name string, sequence uint64, state config.State) {
	sum := fnv.New64a()
	for _, item := range state.Items() {
		if !item.Deleted {
			fmt.Fprintf(sum, "%s/%s@%d ", item.Kind, item.Name, item.Version.Sequence)
		}
	}
	print := fmt.Sprint(sequence, ":", sum.Sum64())
	h.lock.Lock()
	defer h.lock.Unlock()
	if to := state.PurgedUpTo(); to > h.purgedTo {
		h.purgedTo = to
		h.Purges++
	}
	stones, _ := state.Tombstones()
	h.Tombstones = max(h.Tombstones, stones)
	if held, found := h.orders[sequence]; !found {
		h.orders[sequence] = print
	} else if held != print {
		h.breach(RuleForked, "%v: %s shows %q; another showed %q", now, name, print, held)
	}
}

// yesGiven notes an acknowledgement.
func (h *History) yesGiven(now time.Duration, sequence uint64) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.Yeses++
	if sequence > h.yes {
		h.yes = sequence
		h.yeses = append(h.yeses, shown{now, sequence})
	}
}

// ruled notes what an operator was told of a change; it may never be told otherwise later.
func (h *History) ruled(now time.Duration, id string, ruling schema.Ruling) {
	if ruling == schema.Ruling_RULING_UNKNOWN {
		return
	}
	h.lock.Lock()
	defer h.lock.Unlock()
	if held, found := h.rulings[id]; found && held != ruling {
		h.breach(RuleRuling, "%v: %s was %v and is now %v", now, id, held, ruling)
	}
	h.rulings[id] = ruling
	if ruling != schema.Ruling_RULING_ACCEPTED {
		h.Refusals++
	}
}
