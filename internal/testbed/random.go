package testbed

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

// randomFault is a kind of fault that the random play draws by its seed.
type randomFault struct {
	name      string
	mayReject bool // it may turn callers away
	hitsCore  bool // it takes a core machine or its disk: one at a time is promised to be survived
	inject    func(c *testRun, dice *rand.Rand) (on string, end func())
}

func noCleanup() {}

// delaysPeerMessages are the faults that hold up what proxies tell each other.
var delaysPeerMessages = map[string]bool{"proxy killed": true, "a herd of proxies killed": true, "proxy frozen": true, "edge machine cut off": true,
	"link between two edges lost one way": true, "lossy links of an edge": true}

// maxSeries is how many processes a series takes at the most, and seriesGap is between two of them.
const (
	maxSeries = 4
	seriesGap = 400 * time.Millisecond
)

// forProxiesInSeries does something to proxies one after the other, without waiting for the one before; the second
// function waits for all.
func (c *testRun) forProxiesInSeries(dice *rand.Rand, apply func(*Process)) (string, func()) {
	first, count := c.randomEdge(dice), 2+dice.IntN(maxSeries-1)
	var names []string
	var running sync.WaitGroup
	for i := range count {
		proxy := c.fleet.Proxies[(first+i)%len(c.fleet.Proxies)]
		names = append(names, proxy.Name)
		running.Go(func() {
			time.Sleep(time.Duration(i) * seriesGap)
			apply(proxy)
		})
	}
	return strings.Join(names, " "), running.Wait
}

// randomEdge draws a proxy, and core draws a core machine.
func (c *testRun) randomEdge(dice *rand.Rand) int { return dice.IntN(c.options.Deployment.Edges) }
func (c *testRun) randomCoreMember(dice *rand.Rand) int {
	return dice.IntN(c.options.Deployment.CoreMembers)
}

// randomWorker draws a worker that is up and stays.
func (c *testRun) randomWorker(dice *rand.Rand) *Worker {
	c.lock.Lock()
	defer c.lock.Unlock()
	for {
		if worker := c.workers[dice.IntN(len(c.workers))]; !worker.killed.Load() && !worker.draining.Load() && worker.description.Version != versionNotAllowed {
			return worker
		}
	}
}

// setLinks cuts links, each way by itself, and gives what mends just those.
func (c *testRun) setLinks(links [][2]string, set func(from, to string, on bool)) func() {
	for _, link := range links {
		set(link[0], link[1], true)
	}
	return func() {
		for _, link := range links {
			set(link[0], link[1], false)
		}
	}
}

func (c *testRun) coreLinks(chosen func(i, j int) bool) [][2]string {
	var links [][2]string
	for i := range c.options.Deployment.CoreMembers {
		for j := range c.options.Deployment.CoreMembers {
			if i != j && chosen(i, j) {
				links = append(links, [2]string{c.fleet.coreAddress(i), c.fleet.coreAddress(j)})
			}
		}
	}
	return links
}

// linksOfEdge lists every link of an edge machine.
func (c *testRun) linksOfEdge(edge int) [][2]string {
	var links [][2]string
	here := c.fleet.edgeAddress(edge)
	for i := range c.options.Deployment.CoreMembers {
		links = append(links, [2]string{c.fleet.coreAddress(i), here}, [2]string{here, c.fleet.coreAddress(i)})
	}
	for other := range c.options.Deployment.Edges {
		if other != edge {
			links = append(links, [2]string{c.fleet.edgeAddress(other), here}, [2]string{here, c.fleet.edgeAddress(other)})
		}
	}
	return links
}

// lossRatio is the part of what is sent that a lossy link loses at first.
const lossRatio = 0.1

var randomFaults = []randomFault{
	{"worker replaced, its address reused", false, false, func(c *testRun, dice *rand.Rand) (string, func()) {
		return c.replaceWorker(c.randomWorker(dice)), noCleanup
	}},
	{"worker killed", true, false, func(c *testRun, dice *rand.Rand) (string, func()) {
		old := c.randomWorker(dice)
		old.Kill()
		return old.name, func() {
			_ = c.startWorkerAt(c.newWorkerName(old.description.Service), c.edgeOf(old), old.description.Service, old.description.Version, old.description.Address)
		}
	}},
	{"worker loses answers", true, false, func(c *testRun, dice *rand.Rand) (string, func()) {
		return c.injectWorkerFault(c.randomWorker(dice), &WorkerFault{DropsResponse: true})
	}},
	{"worker sends garbage", true, false, func(c *testRun, dice *rand.Rand) (string, func()) {
		return c.injectWorkerFault(c.randomWorker(dice), &WorkerFault{GarblesResponse: true})
	}},
	{"worker warms up slowly", false, false, func(c *testRun, dice *rand.Rand) (string, func()) {
		return c.injectWorkerFault(c.randomWorker(dice), &WorkerFault{ExtraDelay: 200 * time.Millisecond})
	}},
	{"proxy restarted politely", false, false, func(c *testRun, dice *rand.Rand) (string, func()) {
		proxy := c.fleet.Proxies[c.randomEdge(dice)]
		done := make(chan struct{})
		go func() {
			defer close(done)
			proxy.Stop(15 * time.Second)
			_ = proxy.Start()
		}()
		return proxy.Name, func() { <-done }
	}},
	{"proxies restarted politely in series", false, false, func(c *testRun, dice *rand.Rand) (string, func()) {
		return c.forProxiesInSeries(dice, func(proxy *Process) {
			proxy.Stop(15 * time.Second)
			_ = proxy.Start()
		})
	}},
	{"settings changed in series", false, false, func(c *testRun, dice *rand.Rand) (string, func()) {
		failures := strconv.Itoa(5 + dice.IntN(4))
		return c.forProxiesInSeries(dice, func(proxy *Process) {
			_ = proxy.writeSettings(map[string]string{"failures-most": failures})
			proxy.Signal(syscall.SIGHUP)
		})
	}},
	{"proxy killed", true, false, func(c *testRun, dice *rand.Rand) (string, func()) {
		proxy := c.fleet.Proxies[c.randomEdge(dice)]
		proxy.Kill()
		return proxy.Name, func() { _ = proxy.Start() }
	}},
	{"a herd of proxies killed", true, false, func(c *testRun, dice *rand.Rand) (string, func()) {
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
	{"proxy frozen", true, false, func(c *testRun, dice *rand.Rand) (string, func()) {
		proxy := c.fleet.Proxies[c.randomEdge(dice)]
		proxy.Freeze()
		return proxy.Name, proxy.Thaw
	}},
	{"edge machine cut off", true, false, func(c *testRun, dice *rand.Rand) (string, func()) {
		edge := c.randomEdge(dice)
		return c.fleet.Proxies[edge].Name, c.setLinks(c.linksOfEdge(edge), c.fleet.LinkFaults.SetPartitioned)
	}},
	{"link between two edges lost one way", true, false, func(c *testRun, dice *rand.Rand) (string, func()) {
		from, to := c.randomEdge(dice), c.randomEdge(dice)
		return fmt.Sprint(from+1, ">", to+1), c.setLinks([][2]string{{c.fleet.edgeAddress(from), c.fleet.edgeAddress(to)}}, c.fleet.LinkFaults.SetPartitioned)
	}},
	{"lossy links of an edge", true, false, func(c *testRun, dice *rand.Rand) (string, func()) {
		edge := c.randomEdge(dice)
		return c.fleet.Proxies[edge].Name, c.setLinks(c.linksOfEdge(edge), func(from, to string, on bool) {
			c.fleet.LinkFaults.SetLoss(from, to, map[bool]float64{true: lossRatio}[on])
		})
	}},
	{"core cut off from the proxies", true, false, func(c *testRun, dice *rand.Rand) (string, func()) {
		var list [][2]string
		for i := range c.options.Deployment.CoreMembers {
			for edge := range c.options.Deployment.Edges {
				list = append(list, [2]string{c.fleet.coreAddress(i), c.fleet.edgeAddress(edge)}, [2]string{c.fleet.edgeAddress(edge), c.fleet.coreAddress(i)})
			}
		}
		return "all proxies", c.setLinks(list, c.fleet.LinkFaults.SetPartitioned)
	}},
	{"core split 2-1", true, false, func(c *testRun, dice *rand.Rand) (string, func()) {
		lone := c.randomCoreMember(dice)
		return c.fleet.Stores[lone].Name, c.setLinks(c.coreLinks(func(i, j int) bool { return i == lone || j == lone }), c.fleet.LinkFaults.SetPartitioned)
	}},
	{"core split 1-1-1", true, false, func(c *testRun, dice *rand.Rand) (string, func()) {
		return "all", c.setLinks(c.coreLinks(func(int, int) bool { return true }), c.fleet.LinkFaults.SetPartitioned)
	}},
	{"one-way link loss in the core", true, false, func(c *testRun, dice *rand.Rand) (string, func()) {
		from := c.randomCoreMember(dice)
		to := (from + 1) % c.options.Deployment.CoreMembers
		return fmt.Sprint(from, ">", to), c.setLinks(c.coreLinks(func(i, j int) bool { return i == from && j == to }), c.fleet.LinkFaults.SetPartitioned)
	}},
	{"core machine killed", false, true, func(c *testRun, dice *rand.Rand) (string, func()) {
		i := c.randomCoreMember(dice)
		return c.killCore(i), func() { c.startCore(i) }
	}},
	{"core machine frozen", false, true, func(c *testRun, dice *rand.Rand) (string, func()) {
		i := c.randomCoreMember(dice)
		return c.forCoreProcesses(i, (*Process).Freeze), func() { c.forCoreProcesses(i, (*Process).Thaw) }
	}},
	{"core machine stopped politely", false, true, func(c *testRun, dice *rand.Rand) (string, func()) {
		i := c.randomCoreMember(dice)
		return c.forCoreProcesses(i, func(p *Process) { p.Stop(15 * time.Second) }), func() { c.startCore(i) }
	}},
	{"core machine back empty", false, true, func(c *testRun, dice *rand.Rand) (string, func()) {
		i := c.randomCoreMember(dice)
		on := c.killCore(i)
		_ = c.fleet.Stores[i].WipeData()
		return on, func() { c.startCore(i) }
	}},
	{"power lost right after a yes, with the disk", false, true, func(c *testRun, dice *rand.Rand) (string, func()) {
		// The seat that has the duty dies as soon as a yes is out, and its disk with it.
		entry := NewOperator(fmt.Sprint("last-", dice.IntN(1<<30)), c.fleet, c.history, c.now).SubmitChange(c.randomCoreMember(dice), fmt.Sprintf("segment: last: {salt: \"%d\"}\n", dice.IntN(1<<30)), "")
		i := c.storeLeader()
		c.fleet.Stores[i].Signal(syscall.SIGKILL)
		c.fleet.Registries[i].Signal(syscall.SIGKILL)
		c.killCore(i)
		_ = c.fleet.Stores[i].WipeData()
		return fmt.Sprint(c.fleet.Stores[i].Name, " after ", entry.Ruling), func() { c.startCore(i) }
	}},
	{"disk slow", false, true, func(c *testRun, dice *rand.Rand) (string, func()) {
		store := c.fleet.Stores[c.randomCoreMember(dice)]
		_ = store.setDiskDelay(time.Duration(50+dice.IntN(400)) * time.Millisecond)
		return store.Name, func() { _ = store.setDiskDelay(0) }
	}},
	{"disk stalled", false, true, func(c *testRun, dice *rand.Rand) (string, func()) {
		store := c.fleet.Stores[c.randomCoreMember(dice)]
		_ = store.setDiskDelay(time.Hour)
		return store.Name, func() { _ = store.setDiskDelay(0) }
	}},
	{"storm of changes, fifty a second from two operators", false, false, func(c *testRun, dice *rand.Rand) (string, func()) {
		stop := make(chan struct{})
		var storming sync.WaitGroup
		for _, name := range []string{"cat", "dan"} {
			own := NewOperator(fmt.Sprint(name, "-", dice.IntN(1<<30)), c.fleet, c.history, c.now)
			storming.Go(func() { own.ChangeLoop(stop, 40*time.Millisecond, true) })
		}
		return "all", func() { close(stop); storming.Wait() }
	}},
	{"setup grows by five hundred routes", false, false, func(c *testRun, dice *rand.Rand) (string, func()) {
		var text strings.Builder
		mark := dice.IntN(1 << 30)
		for i := range 500 {
			fmt.Fprintf(&text, "route: \"grown-%d-%d\": {service: %q, prefix: \"/grown/%d/%d\"}\n", mark, i, c.serviceAt(0), mark, i)
		}
		return NewOperator(fmt.Sprint("grower-", mark), c.fleet, c.history, c.now).SubmitChange(c.randomCoreMember(dice), text.String(), "").Ruling, noCleanup
	}},
}

// injectWorkerFault makes one worker ill for a while.
func (c *testRun) injectWorkerFault(worker *Worker, fault *WorkerFault) (string, func()) {
	worker.SetFault(fault)
	return worker.name, func() { worker.SetFault(nil) }
}

// storeLeader is the core machine whose store has the admission duty, as far as it can be asked.
func (c *testRun) storeLeader() int {
	for _, store := range c.fleet.Stores {
		var status struct{ Leader string }
		response, err := probeClient.Get("http://" + store.probeAddress + "/status")
		if err != nil {
			continue
		}
		_ = json.NewDecoder(response.Body).Decode(&status)
		response.Body.Close()
		for i, memberID := range c.fleet.memberIDs() {
			if memberID == status.Leader {
				return i
			}
		}
	}
	return 0
}

// coreHealthy tells whether every core machine is ready and counts the claims of keys.
func (c *testRun) coreHealthy() bool {
	for i, store := range c.fleet.Stores {
		var status struct {
			ClaimsCount bool `json:"claims_count"`
		}
		if !store.Ready() || !c.fleet.Registries[i].Ready() {
			return false
		}
		response, err := probeClient.Get("http://" + c.fleet.Registries[i].probeAddress + "/status")
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

// randomSchedule is how densely faults are drawn.
type randomSchedule struct {
	meanInterval  time.Duration // mean time between two faults
	maxDuration   time.Duration // the longest that one lasts
	faultFreeTail time.Duration // of the length that is left free of new faults
	maxActive     int           // at once
}

// runRandomFaults draws faults by the seed, lets them come and go in combination, mends all, and
// measures how long the fleet then takes to be back.
func (c *testRun) runRandomFaults(schedule *randomSchedule, length time.Duration, logf func(string, ...any)) {
	dice := rand.New(rand.NewPCG(c.options.Seed, 77))
	type pending struct {
		at    time.Duration
		entry int
		core  bool
		end   func()
	}
	var active []pending
	start, coreFaulty := c.now(), false
	next := start + time.Duration(dice.Int64N(int64(schedule.meanInterval)))
	endFault := func(fault pending) {
		fault.end()
		c.history.lock.Lock()
		c.history.Faults[fault.entry].End = c.now()
		c.history.lock.Unlock()
		logf("%6.1f s:   over: %s", c.now().Seconds(), c.history.Faults[fault.entry].Name)
	}
	for c.now()-start < length-schedule.faultFreeTail {
		time.Sleep(100 * time.Millisecond)
		for i := 0; i < len(active); i++ {
			if fault := active[i]; c.now() >= fault.at {
				active = append(active[:i], active[i+1:]...)
				i--
				endFault(fault)
			}
		}
		if coreFaulty {
			stillFaulty := false
			for _, fault := range active {
				stillFaulty = stillFaulty || fault.core
			}
			coreFaulty = stillFaulty || !c.coreHealthy()
		}
		if c.now() < next {
			continue
		}
		next = c.now() + time.Duration(dice.Int64N(int64(2*schedule.meanInterval)))
		chosen := randomFaults[dice.IntN(len(randomFaults))]
		duration := time.Duration(dice.Int64N(int64(schedule.maxDuration)))
		if len(active) >= schedule.maxActive || (chosen.hitsCore && coreFaulty) {
			continue
		}
		entry := FaultEntry{Name: chosen.name, At: c.now(), MayReject: chosen.mayReject, HitsCore: chosen.hitsCore, DelaysPeerMessages: delaysPeerMessages[chosen.name]}
		c.history.lock.Lock()
		c.history.Faults = append(c.history.Faults, entry)
		index := len(c.history.Faults) - 1
		c.history.lock.Unlock()
		on, end := chosen.inject(c, dice)
		c.history.lock.Lock()
		c.history.Faults[index].Target = on
		c.history.lock.Unlock()
		logf("%6.1f s: %s: %s", entry.At.Seconds(), entry.Name, on)
		active = append(active, pending{c.now() + duration, index, chosen.hitsCore, end})
		coreFaulty = coreFaulty || chosen.hitsCore
	}
	for _, fault := range active {
		endFault(fault)
	}
	c.recoveryTime = c.awaitRecovery()
	logf("%6.1f s: all mended; back after %.1f s", c.now().Seconds(), c.recoveryTime.Seconds())
	time.Sleep(length - (c.now() - start))
}

// awaitRecovery waits until the whole fleet is ready and a change is acknowledged.
func (c *testRun) awaitRecovery() time.Duration {
	began := c.now()
	operator := NewOperator("closing", c.fleet, c.history, c.now)
	for attempt := 0; c.now()-began < time.Minute; attempt++ {
		ready := true
		for _, process := range c.fleet.Processes() {
			ready = ready && process.Ready()
		}
		if ready && operator.SubmitChange(attempt%c.options.Deployment.CoreMembers, fmt.Sprintf("segment: closing: {salt: \"%d\"}\n", attempt), "").Acknowledged {
			return c.now() - began
		}
		time.Sleep(100 * time.Millisecond)
	}
	return c.now() - began
}

// verifyAcknowledgedChanges asks what became of each acknowledged change, and notes those that are not there.
func (c *testRun) verifyAcknowledgedChanges() {
	operator := NewOperator("auditor", c.fleet, c.history, c.now)
	c.history.lock.Lock()
	changes := append([]ChangeEntry(nil), c.history.Changes...)
	c.history.lock.Unlock()
	for i, change := range changes {
		if !change.Acknowledged {
			continue
		}
		answer := awaitOutcome(c.options.Deployment.CoreMembers, c.now, func(core int) (answer registry.ChangeResponse, status int, err error) {
			status, err = operator.call((i+core)%c.options.Deployment.CoreMembers, http.MethodGet, "/v1/changes/"+change.ID, nil, &answer)
			return answer, status, err
		})
		if answer.Ruling == "accepted" && answer.Sequence == change.Sequence {
			c.history.SurvivedChanges++
			continue
		}
		c.history.LostChanges = append(c.history.LostChanges, fmt.Sprintf("%s, acknowledged as %d, is now %q %d", change.ID, change.Sequence, answer.Ruling, answer.Sequence))
	}
}

// maxOutcomeWait is how long it is asked what became of a change that no registry can tell.
const maxOutcomeWait = time.Minute

// awaitOutcome asks one registry after another what became of a change, until one tells. One that
// cannot know it now, for want of a majority or because it is behind, does not tell of a loss.
func awaitOutcome(cores int, now func() time.Duration, ask func(core int) (registry.ChangeResponse, int, error)) registry.ChangeResponse {
	began := now()
	for {
		for core := range cores {
			if answer, status, err := ask(core); err == nil && status == http.StatusOK {
				return answer
			}
		}
		if now()-began > maxOutcomeWait {
			return registry.ChangeResponse{}
		}
		time.Sleep(100 * time.Millisecond)
	}
}
