package dispatch

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/session"
	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// Call is a caller's request as the proxy beside it took it.
type Call struct {
	Request plan.Request
	Target  string // path with query
	Head    []byte // the headers that go on, as lines
	Body    []byte
}

// Ended is what the caller gets: an answer, or a typed defect with its outcome.
type Ended struct {
	ID      string
	Carried *schema.Carried
	Plan    *plan.Plan // nil when no plan could be made
	Tries   int        // dispatches sent
	Met     int        // of these, how many came to a worker, or may have
	Err     error

	claimed *schema.Claim // the claim this call may hold, as it was last asked for
}

// Sender sends one dispatch to the proxy beside a worker. An error of kind LINK_UNOPENED
// proves that nothing was sent; any other leaves it unknown.
type Sender func(ctx context.Context, candidate plan.Candidate, carry *schema.Carry) (*schema.Carried, error)

// Claimer takes a claim to the registries. It tells how they ruled, and whose the key is if
// it is another request's.
type Claimer func(ctx context.Context, claim *schema.Claim) (session.ClaimVerdict, *schema.Claim)

// Carrier is the caller's side: it makes a plan and carries it out.
type Carrier struct {
	Name        string
	Incarnation uint64
	Bounds      // at the start; those in force may be others
	View        func() *plan.View
	// AwaitView waits until the view satisfies ready, or ctx ends.
	AwaitView func(ctx context.Context, ready func(*plan.View) bool)
	// AwaitLease waits until this proxy may decide, or ctx ends.
	AwaitLease func(ctx context.Context) bool
	// Patient lets one try of a repeatable call take all the time there is: SendOn itself finds
	// out about a proxy that gives no sign of life, so that silence is only a slow worker's.
	Patient bool
	// ByArrival counts as extra only what goes to a worker after another has had the request; a
	// call that was only refused by proxies is free to look for its first worker.
	ByArrival bool
	// Lagging tells that another proxy has a newer setup, which does not come to this one.
	Lagging   func()
	Leased    func() bool
	Members   func() int
	Now       func() time.Duration
	Dice      plan.Dice
	SendOn    Sender
	Soundness *Soundness
	Trials    *Trials
	Tally     *Tally
	// Claim asks the registries for an idempotency key, or lets one go.
	Claim Claimer
	// ClaimPause is how long a refusal may wait for its claim to be let go.
	ClaimPause time.Duration

	bounds  atomic.Pointer[Bounds] // those in force
	facts   plan.Facts
	budgets *xsync.Map[string, *Budget]
	memory  *Memory
	serial  atomic.Uint64
	newest  atomic.Uint64 // a setup that another proxy refused an older one for
	blamed  atomic.Uint64 // and the last for which the feed was left
}

// Bounds are what a carrier plans and tries again within.
type Bounds struct {
	Options    plan.Options
	ExtraRatio float64
	ExtraFloor float64
	// ExtraWindow is the time in which extra tries are bounded, 0 for the preset.
	ExtraWindow time.Duration
	// ExtraFailed is the part of them for calls that a worker answered with a failure.
	ExtraFailed float64
}

// Rebound sets other bounds for what is planned and tried again from now on.
func (c *Carrier) Rebound(bounds Bounds) { c.bounds.Store(&bounds) }

// Start readies the carrier; it keeps so many idempotency keys.
func (c *Carrier) Start(remembered int) *Carrier {
	c.bounds.Store(&c.Bounds)
	c.budgets = xsync.NewMap[string, *Budget]()
	c.memory = NewMemory(remembered)
	c.facts = &Facts{c.Soundness, c.Trials}
	return c
}

// roundsMost is how often a plan is made anew within one call before it is given up.
const roundsMost = 4

// wayParts is the part of the time a caller gives that is kept for the way back to it.
const wayParts = 32

// newsBefore is the part of the aim for which a call may wait for news of workers: refused
// sooner than a fourth of it, a caller still has time to ask again.
const newsBefore = 8

// newsParts is the part of the time left for which a setup is awaited that another proxy has.
const newsParts = 2

// Carry plans a call and carries it out. The end of ctx is the caller's leaving: a call that waits is dropped
// then, and one that may be repeated ends where it runs. One that may not runs to its end once a worker has
// it, and one under an idempotency key is not touched at all, for its outcome is kept for those who ask again.
func (c *Carrier) Carry(ctx context.Context, call *Call) *Ended {
	began := c.Now()
	ended := &Ended{ID: c.newID()}
	if !c.Leased() && !c.awaitLease(ctx, call) {
		ended.Err = defect.New(defect.NoLease, "this proxy cannot know the rules in force")
		return ended
	}
	made, err := c.plan(&call.Request)
	if err != nil {
		ended.Err = err
		// What a policy refused has a count of its own.
		if made != nil {
			ended.Plan, ended.Carried = made, notRun(defect.KindOf(err), 0)
			c.Tally.Add(ended, c.Now()-began)
		}
		return ended
	}
	ended.Plan = made
	c.budget(made.Service).Call(began)
	keyed := made.Class == setup.Once && call.Request.Idempotency != ""
	if keyed {
		ctx = context.WithoutCancel(ctx)
	}
	bounded, cancel := context.WithTimeout(ctx, made.Horizon)
	defer cancel()
	if keyed {
		ended.Carried = c.carryKeyed(bounded, ctx, call, ended, began)
	} else {
		ended.Carried, _ = c.carryOut(bounded, call, ended, began, "")
	}
	c.Tally.Add(ended, c.Now()-began)
	if ended.Carried.Ending != schema.Ending_ENDING_ANSWERED {
		ended.Err = defect.New(defect.Kind(ended.Carried.Defect), made.Service)
	}
	return ended
}

// newID names a request as no other proxy and no other life of this one does.
func (c *Carrier) newID() string {
	id := append(make([]byte, 0, 64), c.Name...)
	id = strconv.AppendUint(append(id, '-'), c.Incarnation, 16)
	return string(strconv.AppendUint(append(id, '-'), c.serial.Add(1), 16))
}

// awaitLease holds a call back for a moment: most gaps between leases are shorter than that.
func (c *Carrier) awaitLease(ctx context.Context, call *Call) bool {
	waiting, cancel := context.WithTimeout(ctx, c.patience(&call.Request)/waitParts)
	defer cancel()
	return c.AwaitLease(waiting)
}

func (c *Carrier) patience(request *plan.Request) time.Duration {
	if request.Asked > 0 {
		return min(request.Asked, c.bounds.Load().Options.HorizonMost)
	}
	return c.bounds.Load().Options.HorizonMost / waitParts
}

func (c *Carrier) plan(request *plan.Request) (*plan.Plan, error) {
	made, err := plan.Make(c.View(), request, c.bounds.Load().Options, c.facts, c.Now(), c.Dice)
	if made != nil {
		made.Horizon -= made.Horizon / wayParts
	}
	return made, err
}

func (c *Carrier) budget(service string) *Budget {
	bounds := c.bounds.Load()
	budget, _ := c.budgets.LoadOrCompute(service, func() (*Budget, bool) { return NewBudget(bounds.ExtraRatio, bounds.ExtraWindow), false })
	if budget.by.Load() != bounds {
		budget.rebound(c.Now(), bounds)
	}
	return budget
}

// heldNow tells whether the plan's version may not be used any more.
func (c *Carrier) heldNow(view *plan.View, made *plan.Plan) bool {
	version := made.Verdict.Version
	return version != view.Setup.FallbackOf(made.Service) && c.Trials.Held(made.Service, version, c.Now())
}

// listed tells whether a worker is still in the directory.
func listed(view *plan.View, service, version, instance string) bool {
	for _, one := range view.Directory[service][version] {
		if one.Instance == instance {
			return true
		}
	}
	return false
}

// fullMost is how many workers without room a call is taken to.
const fullMost = 2

// round is one call's way through its candidates.
type round struct {
	last   *schema.Carried // how it ended last; once unknown, it stays that
	failed map[string]bool // instances not to be tried again
	full   int             // how many told when they will have room
	back   int64           // the soonest that any of these has room, 0 for not told
	paid   bool            // the next try is
}

// end is how the whole call ends if it ends now: once a dispatch ended unknown, or with a failure
// for an answer, no later refusal may make it "not run".
func (r *round) end(kind defect.Kind) *schema.Carried {
	if r.last.Ending == schema.Ending_ENDING_NOT_RUN {
		r.last = notRun(kind, 0)
	}
	return r.final()
}

// answered tells whether a worker has answered, with a failure.
func (r *round) answered() bool { return r.last.Ending == schema.Ending_ENDING_ANSWERED }

// final is how the call ends with its last dispatch.
func (r *round) final() *schema.Carried {
	if r.last.Ending == schema.Ending_ENDING_NOT_RUN && r.back > 0 {
		r.last.BackNanos = r.back
	}
	return r.last
}

func (r *round) fail(instance string) {
	if r.failed == nil {
		r.failed = map[string]bool{}
	}
	r.failed[instance] = true
}

// refused notes a refusal that proves that nothing ran.
func (r *round) refused(carried *schema.Carried) {
	if r.last.Ending == schema.Ending_ENDING_NOT_RUN {
		r.last = carried
	}
	if carried.BackNanos <= 0 {
		return
	}
	r.full++
	if r.back == 0 || carried.BackNanos < r.back {
		r.back = carried.BackNanos
	}
}

// mayTry tells whether a call may be tried once more, by what its route lets and by the fleet's
// budget.
func (c *Carrier) mayTry(ended *Ended, r *round) bool {
	if r.paid {
		r.paid = false
		return true
	}
	if most := ended.Plan.Route.Tries; most > 0 && ended.Met >= most {
		return false
	}
	before := ended.Tries
	if c.ByArrival {
		before = ended.Met
	}
	return before == 0 || c.budget(ended.Plan.Service).Spend(c.Now(), c.extraFloor(), 1)
}

// callsOwn is the part of a worker's calls below which its failures are taken for the calls' own.
const callsOwn = 0.05

// extraFloor is this proxy's part of the extra tries that the whole fleet has besides the ratio.
func (c *Carrier) extraFloor() float64 {
	return c.bounds.Load().ExtraFloor / float64(max(1, c.Members()))
}

// mayAskAnother tells whether a call that a worker answered with a failure goes to another one, and
// pays for it. It does where it may run again and can still be answered within its aim, and nobody
// has refused it: where there is no room, another run takes it from other callers. A version
// that is being judged answers for its own failures, and of a worker that hardly ever fails it is
// likely the call's own, which another would fail too.
func (c *Carrier) mayAskAnother(ended *Ended, r *round, carried *schema.Carried, left time.Duration) bool {
	made, bounds := ended.Plan, c.bounds.Load()
	switch {
	case bounds.ExtraFailed <= 0 || made.Class != setup.Repeatable || carried.Status < failedFrom || r.answered() || r.full > 0:
		return false
	case made.Verdict.Version != c.View().Setup.FallbackOf(made.Service):
		return false
	case carried.Slots > 0 && float64(carried.Failed) < callsOwn*float64(carried.Ran):
		return false
	case made.Route.Tries > 0 && ended.Met >= made.Route.Tries:
		return false
	case left < time.Duration(carried.PaceNanos) || (made.Aim > 0 && aimLeft(made, left) < carried.PaceNanos):
		return false
	}
	r.paid = c.budget(made.Service).Spend(c.Now(), c.extraFloor(), bounds.ExtraFailed)
	return r.paid
}

// carryOut tries the candidates in order until one answers or nothing more may be done. It
// returns how the last dispatch ended, and where.
func (c *Carrier) carryOut(ctx context.Context, call *Call, ended *Ended, began time.Duration, pinned string) (*schema.Carried, string) {
	r := &round{last: notRun(defect.NoWorker, 0)}
	for turn := 0; turn < roundsMost; turn++ {
		// What another proxy refused one call for, it would refuse the next one for too.
		c.awaitNews(ctx, ended.Plan.Horizon-(c.Now()-began))
		// A plan is only carried out on the setup it was made from; else it is made again.
		if view := c.View(); turn > 0 || view.Setup.Sequence != ended.Plan.Verdict.Setup {
			made, err := c.plan(&call.Request)
			if err != nil {
				return r.end(defect.KindOf(err)), ""
			}
			ended.Plan = made
		}
		replan := false
		for i := range ended.Plan.Candidates {
			candidate := &ended.Plan.Candidates[i]
			if (pinned != "" && candidate.Instance != pinned) || r.failed[candidate.Instance] {
				continue
			}
			// A key is claimed for the very worker it goes to, and claimed anew for another.
			if pinned == "" && ended.Plan.Class == setup.Once && call.Request.Idempotency != "" && ended.claimed.GetInstance() != candidate.Instance {
				if carried, mine := c.claim(ctx, call, ended, *candidate, began); !mine {
					return carried, elsewhere
				}
			}
			left := ended.Plan.Horizon - (c.Now() - began)
			view := c.View()
			switch {
			case left <= 0 || ctx.Err() != nil:
				return r.end(endOf(ctx)), ""
			case !c.Leased():
				return r.end(defect.NoLease), ""
			case view.Setup.Sequence != ended.Plan.Verdict.Setup || c.heldNow(view, ended.Plan):
				replan = true
			case !listed(view, ended.Plan.Service, ended.Plan.Verdict.Version, candidate.Instance):
				continue
			}
			if replan {
				break
			}
			// Who turns most away is asked less. Where one worker alone may have the call, only that
			// one can say that it has no room; and to ask the one beside costs nothing.
			if back, spared := c.Soundness.Spares(candidate.Instance, ended.Plan.Route.Name, c.Now(), c.Dice); spared && pinned == "" && candidate.Proxy != c.Name {
				carried := notRun(defect.BufferFull, 0)
				carried.BackNanos = int64(back)
				r.refused(carried)
				r.fail(candidate.Instance)
				if r.full >= fullMost || r.answered() {
					return r.final(), ""
				}
				continue
			}
			if !c.mayTry(ended, r) {
				return r.final(), ""
			}
			ended.Tries++
			carried := c.sendOn(ctx, call, ended, *candidate, left, r.full > 0)
			switch carried.Ending {
			case schema.Ending_ENDING_ANSWERED:
				ended.Met++
				if !c.mayAskAnother(ended, r, carried, ended.Plan.Horizon-(c.Now()-began)) {
					return carried, candidate.Instance
				}
				r.last = carried
				r.fail(candidate.Instance)
				continue
			case schema.Ending_ENDING_UNKNOWN:
				ended.Met++
				// A failure for an answer is still an answer.
				if r.answered() {
					return r.final(), ""
				}
				r.last = carried
				r.fail(candidate.Instance)
				// It may have run: only a request that bears repeating is sent again.
				if ended.Plan.Class == setup.Once {
					return carried, candidate.Instance
				}
				continue
			}
			if carried.Met {
				ended.Met++
			}
			r.refused(carried)
			if r.answered() {
				return r.final(), ""
			}
			// The other side has a newer setup, by which the plan is too old or its version barred:
			// a proper call is then planned anew by that setup, not turned away.
			refusal := defect.Kind(carried.Defect)
			if refusal == defect.StalePlan || (refusal == defect.VersionBarred && carried.Setup > ended.Plan.Verdict.Setup) {
				replan = true
				c.newest.Store(max(c.newest.Load(), carried.Setup))
				break
			}
			r.fail(candidate.Instance)
			// Whoever is asked first has the most room by all that is known. If some of these tell
			// that they have none, the others have none either, and are kept free of being asked.
			if r.full >= fullMost {
				return r.final(), ""
			}
		}
		// Nobody is left to try: news of other workers may be on its way.
		if !replan && (r.answered() || !c.awaitOthers(ctx, ended, r, began, pinned)) {
			break
		}
	}
	return r.final(), ""
}

// awaitNews waits for a setup that another proxy is known to have: a proxy under a lease lags
// only so far, so it is as good as here. If it does not come, its feed is to blame.
func (c *Carrier) awaitNews(ctx context.Context, left time.Duration) {
	newest := c.newest.Load()
	if c.View().Setup.Sequence >= newest {
		return
	}
	has := func(view *plan.View) bool { return view.Setup.Sequence >= newest }
	waiting, cancel := context.WithTimeout(ctx, left/newsParts)
	defer cancel()
	soon, stop := context.WithTimeout(waiting, left/waitParts)
	c.AwaitView(soon, has)
	stop()
	// Others have had it for a while; of all calls that wait, one is enough to leave the feed.
	if !has(c.View()) && c.blamed.Swap(newest) != newest {
		c.Lagging()
	}
	if !has(c.View()) {
		c.AwaitView(waiting, has)
	}
}

// awaitOthers waits a moment for a worker not yet tried. Workers that are known and have no room
// are no news: a caller turned away by them is told at once.
func (c *Carrier) awaitOthers(ctx context.Context, ended *Ended, r *round, began time.Duration, pinned string) bool {
	if pinned != "" {
		return false
	}
	fresh := func(view *plan.View) bool {
		if view.Setup.Sequence != ended.Plan.Verdict.Setup {
			return true
		}
		service := view.Setup.Services[ended.Plan.Service]
		for _, version := range [2]string{ended.Plan.Verdict.Version, fallbackOf(service)} {
			for i := range view.Directory[ended.Plan.Service][version] {
				if !r.failed[view.Directory[ended.Plan.Service][version][i].Instance] {
					return true
				}
			}
		}
		return false
	}
	if fresh(c.View()) {
		return true
	}
	wait := (ended.Plan.Horizon - (c.Now() - began)) / waitParts
	if ended.Plan.Aim > 0 {
		wait = min(wait, ended.Plan.Aim/newsBefore)
	}
	if wait <= 0 || (r.last.Ending == schema.Ending_ENDING_NOT_RUN && turnedAway(r.last)) {
		return false
	}
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	c.AwaitView(waiting, fresh)
	return fresh(c.View())
}

func fallbackOf(service *setup.Service) string {
	if service == nil {
		return ""
	}
	return service.Fallback
}
