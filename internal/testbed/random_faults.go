package testbed

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
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
