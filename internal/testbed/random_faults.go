package testbed

import (
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
	inject    func(r *testRun, rng *rand.Rand) (on string, end func())
}

func noCleanup() {}

// delaysPeerMessages are the faults that hold up what proxies tell each other.
var delaysPeerMessages = map[string]bool{"proxy killed": true, "a herd of proxies killed": true, "proxy frozen": true, "edge machine cut off": true,
	"link between two edges lost one way": true, "lossy links of an edge": true}

// lossRatio is the part of what is sent that a lossy link loses at first.
const lossRatio = 0.1

var randomFaults = []randomFault{
	{"worker replaced, its address reused", false, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		return r.replaceWorker(r.randomWorker(rng)), noCleanup
	}},
	{"worker killed", true, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		old := r.randomWorker(rng)
		old.Kill()
		return old.name, func() {
			_ = r.startWorkerAt(r.newWorkerName(old.description.Service), r.edgeOf(old), old.description.Service, old.description.Version, old.description.Address)
		}
	}},
	{"worker loses answers", true, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		return r.injectWorkerFault(r.randomWorker(rng), &WorkerFault{DropsResponse: true})
	}},
	{"worker sends garbage", true, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		return r.injectWorkerFault(r.randomWorker(rng), &WorkerFault{GarblesResponse: true})
	}},
	{"worker warms up slowly", false, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		return r.injectWorkerFault(r.randomWorker(rng), &WorkerFault{ExtraDelay: 200 * time.Millisecond})
	}},
	{"proxy restarted politely", false, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		proxy := r.fleet.Proxies[r.randomEdge(rng)]
		done := make(chan struct{})
		go func() {
			defer close(done)
			proxy.Stop(15 * time.Second)
			_ = proxy.Start()
		}()
		return proxy.Name, func() { <-done }
	}},
	{"proxies restarted politely in series", false, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		return r.forProxiesInSeries(rng, func(proxy *Process) {
			proxy.Stop(15 * time.Second)
			_ = proxy.Start()
		})
	}},
	{"settings changed in series", false, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		failures := strconv.Itoa(5 + rng.IntN(4))
		return r.forProxiesInSeries(rng, func(proxy *Process) {
			_ = proxy.writeSettings(map[string]string{"failures-most": failures})
			proxy.Signal(syscall.SIGHUP)
		})
	}},
	{"proxy killed", true, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		proxy := r.fleet.Proxies[r.randomEdge(rng)]
		proxy.Kill()
		return proxy.Name, func() { _ = proxy.Start() }
	}},
	{"a herd of proxies killed", true, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		var names []string
		var herd []*Process
		for _, proxy := range r.fleet.Proxies {
			if rng.IntN(3) == 0 {
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
	{"proxy frozen", true, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		proxy := r.fleet.Proxies[r.randomEdge(rng)]
		proxy.Freeze()
		return proxy.Name, proxy.Thaw
	}},
	{"edge machine cut off", true, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		edge := r.randomEdge(rng)
		return r.fleet.Proxies[edge].Name, r.setLinks(r.linksOfEdge(edge), r.fleet.LinkFaults.SetPartitioned)
	}},
	{"link between two edges lost one way", true, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		from, to := r.randomEdge(rng), r.randomEdge(rng)
		return fmt.Sprint(from+1, ">", to+1), r.setLinks([][2]string{{r.fleet.edgeAddress(from), r.fleet.edgeAddress(to)}}, r.fleet.LinkFaults.SetPartitioned)
	}},
	{"lossy links of an edge", true, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		edge := r.randomEdge(rng)
		return r.fleet.Proxies[edge].Name, r.setLinks(r.linksOfEdge(edge), func(from, to string, on bool) {
			r.fleet.LinkFaults.SetLoss(from, to, map[bool]float64{true: lossRatio}[on])
		})
	}},
	{"core cut off from the proxies", true, false, func(r *testRun, _ *rand.Rand) (string, func()) {
		var list [][2]string
		for i := range r.options.Deployment.CoreMembers {
			for edge := range r.options.Deployment.Edges {
				list = append(list, [2]string{r.fleet.coreAddress(i), r.fleet.edgeAddress(edge)}, [2]string{r.fleet.edgeAddress(edge), r.fleet.coreAddress(i)})
			}
		}
		return "all proxies", r.setLinks(list, r.fleet.LinkFaults.SetPartitioned)
	}},
	{"core split 2-1", true, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		lone := r.randomCoreMember(rng)
		return r.fleet.Stores[lone].Name, r.setLinks(r.coreLinks(func(i, j int) bool { return i == lone || j == lone }), r.fleet.LinkFaults.SetPartitioned)
	}},
	{"core split 1-1-1", true, false, func(r *testRun, _ *rand.Rand) (string, func()) {
		return "all", r.setLinks(r.coreLinks(func(int, int) bool { return true }), r.fleet.LinkFaults.SetPartitioned)
	}},
	{"one-way link loss in the core", true, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		from := r.randomCoreMember(rng)
		to := (from + 1) % r.options.Deployment.CoreMembers
		return fmt.Sprint(from, ">", to), r.setLinks(r.coreLinks(func(i, j int) bool { return i == from && j == to }), r.fleet.LinkFaults.SetPartitioned)
	}},
	{"core machine killed", false, true, func(r *testRun, rng *rand.Rand) (string, func()) {
		i := r.randomCoreMember(rng)
		return r.killCore(i), func() { r.startCore(i) }
	}},
	{"core machine frozen", false, true, func(r *testRun, rng *rand.Rand) (string, func()) {
		i := r.randomCoreMember(rng)
		return r.forCoreProcesses(i, (*Process).Freeze), func() { r.forCoreProcesses(i, (*Process).Thaw) }
	}},
	{"core machine stopped politely", false, true, func(r *testRun, rng *rand.Rand) (string, func()) {
		i := r.randomCoreMember(rng)
		return r.forCoreProcesses(i, func(p *Process) { p.Stop(15 * time.Second) }), func() { r.startCore(i) }
	}},
	{"core machine back empty", false, true, func(r *testRun, rng *rand.Rand) (string, func()) {
		i := r.randomCoreMember(rng)
		on := r.killCore(i)
		_ = r.fleet.Stores[i].WipeData()
		return on, func() { r.startCore(i) }
	}},
	{"power lost right after a yes, with the disk", false, true, func(r *testRun, rng *rand.Rand) (string, func()) {
		// The seat that has the duty dies as soon as a yes is out, and its disk with it.
		entry := NewOperator(fmt.Sprint("last-", rng.IntN(1<<30)), r.fleet, r.history, r.now).SubmitChange(r.randomCoreMember(rng), fmt.Sprintf("segment: last: {salt: \"%d\"}\n", rng.IntN(1<<30)), "")
		i := r.storeLeader()
		r.fleet.Stores[i].Signal(syscall.SIGKILL)
		r.fleet.Registries[i].Signal(syscall.SIGKILL)
		r.killCore(i)
		_ = r.fleet.Stores[i].WipeData()
		return fmt.Sprint(r.fleet.Stores[i].Name, " after ", entry.Ruling), func() { r.startCore(i) }
	}},
	{"disk slow", false, true, func(r *testRun, rng *rand.Rand) (string, func()) {
		store := r.fleet.Stores[r.randomCoreMember(rng)]
		_ = store.setDiskDelay(time.Duration(50+rng.IntN(400)) * time.Millisecond)
		return store.Name, func() { _ = store.setDiskDelay(0) }
	}},
	{"disk stalled", false, true, func(r *testRun, rng *rand.Rand) (string, func()) {
		store := r.fleet.Stores[r.randomCoreMember(rng)]
		_ = store.setDiskDelay(time.Hour)
		return store.Name, func() { _ = store.setDiskDelay(0) }
	}},
	{"storm of changes, fifty a second from two operators", false, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		stop := make(chan struct{})
		var storming sync.WaitGroup
		for _, name := range []string{"cat", "dan"} {
			own := NewOperator(fmt.Sprint(name, "-", rng.IntN(1<<30)), r.fleet, r.history, r.now)
			storming.Go(func() { own.ChangeLoop(stop, 40*time.Millisecond, true) })
		}
		return "all", func() { close(stop); storming.Wait() }
	}},
	{"setup grows by five hundred routes", false, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		var text strings.Builder
		mark := rng.IntN(1 << 30)
		for i := range 500 {
			fmt.Fprintf(&text, "route: \"grown-%d-%d\": {service: %q, prefix: \"/grown/%d/%d\"}\n", mark, i, r.serviceAt(0), mark, i)
		}
		return NewOperator(fmt.Sprint("grower-", mark), r.fleet, r.history, r.now).SubmitChange(r.randomCoreMember(rng), text.String(), "").Ruling, noCleanup
	}},
}

// maxSeries is how many processes a series takes at the most, and seriesGap is between two of them.
const (
	maxSeries = 4
	seriesGap = 400 * time.Millisecond
)

// forProxiesInSeries does something to proxies one after the other, without waiting for the one before; the second
// function waits for all.
func (r *testRun) forProxiesInSeries(rng *rand.Rand, apply func(*Process)) (string, func()) {
	first, count := r.randomEdge(rng), 2+rng.IntN(maxSeries-1)
	var names []string
	var running sync.WaitGroup
	for i := range count {
		proxy := r.fleet.Proxies[(first+i)%len(r.fleet.Proxies)]
		names = append(names, proxy.Name)
		running.Go(func() {
			time.Sleep(time.Duration(i) * seriesGap)
			apply(proxy)
		})
	}
	return strings.Join(names, " "), running.Wait
}

// randomEdge draws a proxy, and core draws a core machine.
func (r *testRun) randomEdge(rng *rand.Rand) int { return rng.IntN(r.options.Deployment.Edges) }

func (r *testRun) randomCoreMember(rng *rand.Rand) int {
	return rng.IntN(r.options.Deployment.CoreMembers)
}

// randomWorker draws a worker that is up and stays.
func (r *testRun) randomWorker(rng *rand.Rand) *Worker {
	r.lock.Lock()
	defer r.lock.Unlock()
	for {
		if worker := r.workers[rng.IntN(len(r.workers))]; !worker.killed.Load() && !worker.draining.Load() && worker.description.Version != versionNotAllowed {
			return worker
		}
	}
}

// injectWorkerFault makes one worker ill for a while.
func (r *testRun) injectWorkerFault(worker *Worker, fault *WorkerFault) (string, func()) {
	worker.SetFault(fault)
	return worker.name, func() { worker.SetFault(nil) }
}

// storeLeader is the core machine whose store has the admission duty, as far as it can be asked.
func (r *testRun) storeLeader() int {
	for _, store := range r.fleet.Stores {
		var status struct{ Leader string }
		if store.getPage("/status", &status) != nil {
			continue
		}
		for i, memberID := range r.fleet.memberIDs() {
			if memberID == status.Leader {
				return i
			}
		}
	}
	return 0
}
