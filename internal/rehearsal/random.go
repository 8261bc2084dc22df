package rehearsal

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"meadowhinge/internal/registry"
)

// drawn is a kind of fault that the random play draws by its seed.
type drawn struct {
	what  string
	costs bool // it may turn callers away
	core  bool // it takes a core machine or its disk: one at a time is promised to be survived
	begin func(c *cast, dice *rand.Rand) (on string, end func())
}

func nothing() {}

// mute are the faults that hold up what proxies tell each other.
var mute = map[string]bool{"proxy killed": true, "a herd of proxies killed": true, "proxy frozen": true, "edge machine cut off": true,
	"link between two edges lost one way": true, "lossy links of an edge": true}

// seriesMost is how many processes a series takes at the most, and seriesGap is between two of them.
const (
	seriesMost = 4
	seriesGap  = 400 * time.Millisecond
)

// series does something to proxies one after the other, without waiting for the one before; the second
// function waits for all.
func (c *cast) series(dice *rand.Rand, do func(*Process)) (string, func()) {
	first, count := c.machine(dice), 2+dice.IntN(seriesMost-1)
	var names []string
	var doing sync.WaitGroup
	for i := range count {
		proxy := c.fleet.Proxies[(first+i)%len(c.fleet.Proxies)]
		names = append(names, proxy.Name)
		doing.Go(func() {
			time.Sleep(time.Duration(i) * seriesGap)
			do(proxy)
		})
	}
	return strings.Join(names, " "), doing.Wait
}

// machine draws a proxy, and core draws a core machine.
func (c *cast) machine(dice *rand.Rand) int { return dice.IntN(c.options.Deployment.Edges) }
func (c *cast) core(dice *rand.Rand) int    { return dice.IntN(c.options.Deployment.Cores) }

// someone draws a worker that is up and stays.
func (c *cast) someone(dice *rand.Rand) *Worker {
	c.lock.Lock()
	defer c.lock.Unlock()
	for {
		if one := c.workers[dice.IntN(len(c.workers))]; !one.dead.Load() && !one.leaving.Load() && one.said.Version != versionBarred {
			return one
		}
	}
}

// ways cuts links, each way by itself, and gives what mends just those.
func (c *cast) ways(list [][2]string, set func(from, to string, on bool)) func() {
	for _, way := range list {
		set(way[0], way[1], true)
	}
	return func() {
		for _, way := range list {
			set(way[0], way[1], false)
		}
	}
}

func (c *cast) between(chosen func(i, j int) bool) [][2]string {
	var list [][2]string
	for i := range c.options.Deployment.Cores {
		for j := range c.options.Deployment.Cores {
			if i != j && chosen(i, j) {
				list = append(list, [2]string{c.fleet.core(i), c.fleet.core(j)})
			}
		}
	}
	return list
}

// around lists every link of an edge machine.
func (c *cast) around(edge int) [][2]string {
	var list [][2]string
	here := c.fleet.edge(edge)
	for i := range c.options.Deployment.Cores {
		list = append(list, [2]string{c.fleet.core(i), here}, [2]string{here, c.fleet.core(i)})
	}
	for other := range c.options.Deployment.Edges {
		if other != edge {
			list = append(list, [2]string{c.fleet.edge(other), here}, [2]string{here, c.fleet.edge(other)})
		}
	}
	return list
}

// lossyPart is the part of what is sent that a lossy link loses at first.
const lossyPart = 0.1

var drawnFaults = []drawn{
	{"worker replaced, its address reused", false, false, func(c *cast, dice *rand.Rand) (string, func()) { return c.replaceWorker(c.someone(dice)), nothing }},
	{"worker killed", true, false, func(c *cast, dice *rand.Rand) (string, func()) {
		old := c.someone(dice)
		old.Kill()
		return old.name, func() {
			_ = c.startWorkerAt(c.newName(old.said.Service), c.edge(old), old.said.Service, old.said.Version, old.said.Address)
		}
	}},
	{"worker loses answers", true, false, func(c *cast, dice *rand.Rand) (string, func()) {
		return c.sicken(c.someone(dice), &Illness{Loses: true})
	}},
	{"worker sends garbage", true, false, func(c *cast, dice *rand.Rand) (string, func()) {
		return c.sicken(c.someone(dice), &Illness{Babble: true})
	}},
	{"worker warms up slowly", false, false, func(c *cast, dice *rand.Rand) (string, func()) {
		return c.sicken(c.someone(dice), &Illness{Delay: 200 * time.Millisecond})
	}},
	{"proxy restarted politely", false, false, func(c *cast, dice *rand.Rand) (string, func()) {
		proxy := c.fleet.Proxies[c.machine(dice)]
		done := make(chan struct{})
		go func() {
			defer close(done)
			proxy.Stop(15 * time.Second)
			_ = proxy.Start()
		}()
		return proxy.Name, func() { <-done }
	}},
	{"proxies restarted politely in series", false, false, func(c *cast, dice *rand.Rand) (string, func()) {
		return c.series(dice, func(proxy *Process) {
			proxy.Stop(15 * time.Second)
			_ = proxy.Start()
		})
	}},
	{"settings changed in series", false, false, func(c *cast, dice *rand.Rand) (string, func()) {
		failures := strconv.Itoa(5 + dice.IntN(4))
		return c.series(dice, func(proxy *Process) {
			_ = proxy.configure(map[string]string{"failures-most": failures})
			proxy.Signal(syscall.SIGHUP)
		})
	}},
	{"proxy killed", true, false, func(c *cast, dice *rand.Rand) (string, func()) {
		proxy := c.fleet.Proxies[c.machine(dice)]
		proxy.Kill()
		return proxy.Name, func() { _ = proxy.Start() }
	}},
	{"a herd of proxies killed", true, false, func(c *cast, dice *rand.Rand) (string, func()) {
		var names []string
		var herd []*Process
		for _, proxy := range c.fleet.Proxies {
			if dice.IntN(3) == 0 {
				herd = append(herd, proxy)
				names = append(names, proxy.Name)
				proxy.Signal(syscall.SIGKILL)
			}
		}
		return strings.Join(names, " "), func() {
			for _, proxy := range herd {
				proxy.Kill()
				_ = proxy.Start()
			}
		}
	}},
	{"proxy frozen", true, false, func(c *cast, dice *rand.Rand) (string, func()) {
		proxy := c.fleet.Proxies[c.machine(dice)]
		proxy.Freeze()
		return proxy.Name, proxy.Thaw
	}},
	{"edge machine cut off", true, false, func(c *cast, dice *rand.Rand) (string, func()) {
		edge := c.machine(dice)
		return c.fleet.Proxies[edge].Name, c.ways(c.around(edge), c.fleet.Cuts.Set)
	}},
	{"link between two edges lost one way", true, false, func(c *cast, dice *rand.Rand) (string, func()) {
		from, to := c.machine(dice), c.machine(dice)
		return fmt.Sprint(from+1, ">", to+1), c.ways([][2]string{{c.fleet.edge(from), c.fleet.edge(to)}}, c.fleet.Cuts.Set)
	}},
	{"lossy links of an edge", true, false, func(c *cast, dice *rand.Rand) (string, func()) {
		edge := c.machine(dice)
		return c.fleet.Proxies[edge].Name, c.ways(c.around(edge), func(from, to string, on bool) {
			c.fleet.Cuts.Lose(from, to, map[bool]float64{true: lossyPart}[on])
		})
	}},
	{"core cut off from the proxies", true, false, func(c *cast, dice *rand.Rand) (string, func()) {
		var list [][2]string
		for i := range c.options.Deployment.Cores {
			for edge := range c.options.Deployment.Edges {
				list = append(list, [2]string{c.fleet.core(i), c.fleet.edge(edge)}, [2]string{c.fleet.edge(edge), c.fleet.core(i)})
			}
		}
		return "all proxies", c.ways(list, c.fleet.Cuts.Set)
	}},
	{"core split 2-1", true, false, func(c *cast, dice *rand.Rand) (string, func()) {
		lone := c.core(dice)
		return c.fleet.Stores[lone].Name, c.ways(c.between(func(i, j int) bool { return i == lone || j == lone }), c.fleet.Cuts.Set)
	}},
	{"core split 1-1-1", true, false, func(c *cast, dice *rand.Rand) (string, func()) {
		return "all", c.ways(c.between(func(int, int) bool { return true }), c.fleet.Cuts.Set)
	}},
	{"one-way link loss in the core", true, false, func(c *cast, dice *rand.Rand) (string, func()) {
		from := c.core(dice)
		to := (from + 1) % c.options.Deployment.Cores
		return fmt.Sprint(from, ">", to), c.ways(c.between(func(i, j int) bool { return i == from && j == to }), c.fleet.Cuts.Set)
	}},
	{"core machine killed", false, true, func(c *cast, dice *rand.Rand) (string, func()) {
		i := c.core(dice)
		return c.killCore(i), func() { c.startCore(i) }
	}},
	{"core machine frozen", false, true, func(c *cast, dice *rand.Rand) (string, func()) {
		i := c.core(dice)
		return c.each(i, (*Process).Freeze), func() { c.each(i, (*Process).Thaw) }
	}},
	{"core machine stopped politely", false, true, func(c *cast, dice *rand.Rand) (string, func()) {
		i := c.core(dice)
		return c.each(i, func(p *Process) { p.Stop(15 * time.Second) }), func() { c.startCore(i) }
	}},
	{"core machine back empty", false, true, func(c *cast, dice *rand.Rand) (string, func()) {
		i := c.core(dice)
		on := c.killCore(i)
		_ = c.fleet.Stores[i].Wipe()
		return on, func() { c.startCore(i) }
	}},
	{"power lost right after a yes, with the disk", false, true, func(c *cast, dice *rand.Rand) (string, func()) {
		// The seat that has the duty dies as soon as a yes is out, and its disk with it.
		entry := NewOperator(fmt.Sprint("last-", dice.IntN(1<<30)), c.fleet, c.ledger, c.now).Change(c.core(dice), fmt.Sprintf("segment: last: {salt: \"%d\"}\n", dice.IntN(1<<30)), "")
		i := c.holder()
		c.fleet.Stores[i].Signal(syscall.SIGKILL)
		c.fleet.Registries[i].Signal(syscall.SIGKILL)
		c.killCore(i)
		_ = c.fleet.Stores[i].Wipe()
		return fmt.Sprint(c.fleet.Stores[i].Name, " after ", entry.Ruling), func() { c.startCore(i) }
	}},
	{"disk slow", false, true, func(c *cast, dice *rand.Rand) (string, func()) {
		store := c.fleet.Stores[c.core(dice)]
		_ = store.slowDisk(time.Duration(50+dice.IntN(400)) * time.Millisecond)
		return store.Name, func() { _ = store.slowDisk(0) }
	}},
	{"disk stalled", false, true, func(c *cast, dice *rand.Rand) (string, func()) {
		store := c.fleet.Stores[c.core(dice)]
		_ = store.slowDisk(time.Hour)
		return store.Name, func() { _ = store.slowDisk(0) }
	}},
	{"storm of changes, fifty a second from two operators", false, false, func(c *cast, dice *rand.Rand) (string, func()) {
		stop := make(chan struct{})
		var storming sync.WaitGroup
		for _, name := range []string{"cat", "dan"} {
			own := NewOperator(fmt.Sprint(name, "-", dice.IntN(1<<30)), c.fleet, c.ledger, c.now)
			storming.Go(func() { own.Storm(stop, 40*time.Millisecond, true) })
		}
		return "all", func() { close(stop); storming.Wait() }
	}},
	{"setup grows by five hundred routes", false, false, func(c *cast, dice *rand.Rand) (string, func()) {
		var text strings.Builder
		mark := dice.IntN(1 << 30)
		for i := range 500 {
			fmt.Fprintf(&text, "route: \"grown-%d-%d\": {service: %q, prefix: \"/grown/%d/%d\"}\n", mark, i, c.service(0), mark, i)
		}
		return NewOperator(fmt.Sprint("grower-", mark), c.fleet, c.ledger, c.now).Change(c.core(dice), text.String(), "").Ruling, nothing
	}},
}

// sicken makes one worker ill for a while.
func (c *cast) sicken(one *Worker, ill *Illness) (string, func()) {
	one.Fall(ill)
	return one.name, func() { one.Fall(nil) }
}

// holder is the core machine whose store has the admission duty, as far as it can be asked.
func (c *cast) holder() int {
	for _, store := range c.fleet.Stores {
		var status struct{ Leader string }
		response, err := probes.Get("http://" + store.probe + "/status")
		if err != nil {
			continue
		}
		_ = json.NewDecoder(response.Body).Decode(&status)
		response.Body.Close()
		for i, seat := range c.fleet.seats() {
			if seat == status.Leader {
				return i
			}
		}
	}
	return 0
}

// coreWhole tells whether every core machine is ready and counts the claims of keys.
func (c *cast) coreWhole() bool {
	for i, store := range c.fleet.Stores {
		var status struct {
			ClaimsCount bool `json:"claims_count"`
		}
		if !store.Ready() || !c.fleet.Registries[i].Ready() {
			return false
		}
		response, err := probes.Get("http://" + c.fleet.Registries[i].probe + "/status")
		if err != nil {
			return false
		}
		_ = json.NewDecoder(response.Body).Decode(&status)
		response.Body.Close()
		if !status.ClaimsCount {
			return false
		}
	}
	return true
}

// pace is how densely faults are drawn.
type pace struct {
	every   time.Duration // mean time between two faults
	lasts   time.Duration // the longest that one lasts
	closing time.Duration // of the length that is left free of new faults
	most    int           // at once
}

// randomly draws faults by the seed, lets them come and go in combination, mends all, and
// measures how long the fleet then takes to be back.
func (c *cast) randomly(pace *pace, length time.Duration, say func(string, ...any)) {
	dice := rand.New(rand.NewPCG(c.options.Seed, 77))
	type pending struct {
		at    time.Duration
		entry int
		core  bool
		end   func()
	}
	var open []pending
	start, coreBusy := c.now(), false
	next := start + time.Duration(dice.Int64N(int64(pace.every)))
	finish := func(one pending) {
		one.end()
		c.ledger.lock.Lock()
		c.ledger.Faults[one.entry].End = c.now()
		c.ledger.lock.Unlock()
		say("%6.1f s:   over: %s", c.now().Seconds(), c.ledger.Faults[one.entry].What)
	}
	for c.now()-start < length-pace.closing {
		time.Sleep(100 * time.Millisecond)
		for i := 0; i < len(open); i++ {
			if one := open[i]; c.now() >= one.at {
				open = append(open[:i], open[i+1:]...)
				i--
				finish(one)
			}
		}
		if coreBusy {
			busy := false
			for _, one := range open {
				busy = busy || one.core
			}
			coreBusy = busy || !c.coreWhole()
		}
		if c.now() < next {
			continue
		}
		next = c.now() + time.Duration(dice.Int64N(int64(2*pace.every)))
		chosen := drawnFaults[dice.IntN(len(drawnFaults))]
		lasts := time.Duration(dice.Int64N(int64(pace.lasts)))
		if len(open) >= pace.most || (chosen.core && coreBusy) {
			continue
		}
		entry := FaultEntry{What: chosen.what, At: c.now(), Costs: chosen.costs, Core: chosen.core, Mute: mute[chosen.what]}
		c.ledger.lock.Lock()
		c.ledger.Faults = append(c.ledger.Faults, entry)
		place := len(c.ledger.Faults) - 1
		c.ledger.lock.Unlock()
		on, end := chosen.begin(c, dice)
		c.ledger.lock.Lock()
		c.ledger.Faults[place].On = on
		c.ledger.lock.Unlock()
		say("%6.1f s: %s: %s", entry.At.Seconds(), entry.What, on)
		open = append(open, pending{c.now() + lasts, place, chosen.core, end})
		coreBusy = coreBusy || chosen.core
	}
	for _, one := range open {
		finish(one)
	}
	c.back = c.recover()
	say("%6.1f s: all mended; back after %.1f s", c.now().Seconds(), c.back.Seconds())
	time.Sleep(length - (c.now() - start))
}

// recover waits until the whole fleet is ready and a change is acknowledged.
func (c *cast) recover() time.Duration {
	began := c.now()
	person := NewOperator("closing", c.fleet, c.ledger, c.now)
	for tries := 0; c.now()-began < time.Minute; tries++ {
		ready := true
		for _, process := range c.fleet.All() {
			ready = ready && process.Ready()
		}
		if ready && person.Change(tries%c.options.Deployment.Cores, fmt.Sprintf("segment: closing: {salt: \"%d\"}\n", tries), "").Acknowledged {
			return c.now() - began
		}
		time.Sleep(100 * time.Millisecond)
	}
	return c.now() - began
}

// survived asks what became of each acknowledged change, and notes those that are not there.
func (c *cast) survived() {
	person := NewOperator("auditor", c.fleet, c.ledger, c.now)
	c.ledger.lock.Lock()
	changes := append([]ChangeEntry(nil), c.ledger.Changes...)
	c.ledger.lock.Unlock()
	for i, change := range changes {
		if !change.Acknowledged {
			continue
		}
		answer := askedAgain(c.options.Deployment.Cores, c.now, func(core int) (answer registry.ChangeResponse, status int, err error) {
			status, err = person.ask((i+core)%c.options.Deployment.Cores, http.MethodGet, "/v1/changes/"+change.ID, nil, &answer)
			return answer, status, err
		})
		if answer.Ruling == "accepted" && answer.Sequence == change.Sequence {
			c.ledger.Survived++
			continue
		}
		c.ledger.Lost = append(c.ledger.Lost, fmt.Sprintf("%s, acknowledged as %d, is now %q %d", change.ID, change.Sequence, answer.Ruling, answer.Sequence))
	}
}

// askedMost is how long it is asked what became of a change that no registry can tell.
const askedMost = time.Minute

// askedAgain asks one registry after another what became of a change, until one tells. One that
// cannot know it now, for want of a majority or because it is behind, does not tell of a loss.
func askedAgain(cores int, now func() time.Duration, ask func(core int) (registry.ChangeResponse, int, error)) registry.ChangeResponse {
	began := now()
	for {
		for core := range cores {
			if answer, status, err := ask(core); err == nil && status == http.StatusOK {
				return answer
			}
		}
		if now()-began > askedMost {
			return registry.ChangeResponse{}
		}
		time.Sleep(100 * time.Millisecond)
	}
}
