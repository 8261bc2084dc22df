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

// randomFault is a kind of fault that the random scenarios draw.
type randomFault struct {
	name      string
	mayReject bool // it may cause rejections
	hitsCore  bool // it takes a core machine or its disk: only one at a time is promised to be survived
	inject    func(r *testRun, rng *rand.Rand) (target string, end func())
}

// noCleanup is the end of a fault that needs none.
func noCleanup() {}

// delaysPeerMessages are the names of faults that delay messages between proxies.
var delaysPeerMessages = map[string]bool{
	"proxy killed":                        true,
	"a herd of proxies killed":            true,
	"proxy frozen":                        true,
	"edge machine cut off":                true,
	"link between two edges lost one way": true,
	"lossy links of an edge":              true,
}

// lossRatio is the part of what is sent that a lossy link loses at first.
const lossRatio = 0.1

// randomFaults are all kinds of random faults. Their order decides what a seed draws.
var randomFaults = []randomFault{
	{"worker replaced, its address reused", false, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		return r.replaceWorker(r.randomWorker(rng)), noCleanup
	}},
	{"worker killed", true, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		old := r.randomWorker(rng)
		old.Kill()
		return old.name, func() {
			name := r.newWorkerName(old.description.Service)
			_ = r.startWorkerAt(name, r.edgeOf(old), old.description.Service, old.description.Version, old.description.Address)
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
		link := [2]string{r.fleet.edgeAddress(from), r.fleet.edgeAddress(to)}
		return fmt.Sprint(from+1, ">", to+1), r.setLinks([][2]string{link}, r.fleet.LinkFaults.SetPartitioned)
	}},
	{"lossy links of an edge", true, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		edge := r.randomEdge(rng)
		return r.fleet.Proxies[edge].Name, r.setLinks(r.linksOfEdge(edge), func(from, to string, on bool) {
			r.fleet.LinkFaults.SetLoss(from, to, map[bool]float64{true: lossRatio}[on])
		})
	}},
	{"core cut off from the proxies", true, false, func(r *testRun, _ *rand.Rand) (string, func()) {
		return "all proxies", r.setLinks(r.coreToEdgeLinks(), r.fleet.LinkFaults.SetPartitioned)
	}},
	{"core split 2-1", true, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		lone := r.randomCoreMember(rng)
		links := r.coreLinks(func(i, j int) bool { return i == lone || j == lone })
		return r.fleet.Stores[lone].Name, r.setLinks(links, r.fleet.LinkFaults.SetPartitioned)
	}},
	{"core split 1-1-1", true, false, func(r *testRun, _ *rand.Rand) (string, func()) {
		return "all", r.setLinks(r.coreLinks(func(int, int) bool { return true }), r.fleet.LinkFaults.SetPartitioned)
	}},
	{"one-way link loss in the core", true, false, func(r *testRun, rng *rand.Rand) (string, func()) {
		from := r.randomCoreMember(rng)
		to := (from + 1) % r.options.Deployment.CoreMembers
		links := r.coreLinks(func(i, j int) bool { return i == from && j == to })
		return fmt.Sprint(from, ">", to), r.setLinks(links, r.fleet.LinkFaults.SetPartitioned)
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
		// The leader dies as soon as the acknowledgement is out, and its disk with it.
		operator := NewOperator(fmt.Sprint("last-", rng.IntN(1<<30)), r.fleet, r.history, r.now)
		core := r.randomCoreMember(rng)
		entry := operator.SubmitChange(core, fmt.Sprintf("segment: last: {salt: \"%d\"}\n", rng.IntN(1<<30)), "")
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
		batch := rng.IntN(1 << 30)
		for i := range 500 {
			fmt.Fprintf(&text, "route: \"grown-%d-%d\": {service: %q, prefix: \"/grown/%d/%d\"}\n", batch, i, r.serviceAt(0), batch, i)
		}
		operator := NewOperator(fmt.Sprint("grower-", batch), r.fleet, r.history, r.now)
		return operator.SubmitChange(r.randomCoreMember(rng), text.String(), "").Ruling, noCleanup
	}},
}

// Bounds of a series of faults.
const (
	maxSeries = 4
	seriesGap = 400 * time.Millisecond
)

// forProxiesInSeries applies something to several proxies, each seriesGap after the one before, without waiting
// for that one. The second result waits for all.
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

// randomEdge draws an edge machine.
func (r *testRun) randomEdge(rng *rand.Rand) int { return rng.IntN(r.options.Deployment.Edges) }

// randomCoreMember draws a core machine.
func (r *testRun) randomCoreMember(rng *rand.Rand) int {
	return rng.IntN(r.options.Deployment.CoreMembers)
}

// randomWorker draws a worker that neither drains nor has ended.
func (r *testRun) randomWorker(rng *rand.Rand) *Worker {
	r.lock.Lock()
	defer r.lock.Unlock()
	for {
		worker := r.workers[rng.IntN(len(r.workers))]
		if !worker.killed.Load() && !worker.draining.Load() && worker.description.Version != versionNotAllowed {
			return worker
		}
	}
}

// injectWorkerFault makes one worker faulty; the second result ends that.
func (r *testRun) injectWorkerFault(worker *Worker, fault *WorkerFault) (string, func()) {
	worker.SetFault(fault)
	return worker.name, func() { worker.SetFault(nil) }
}

// storeLeader is the core machine whose store leads, as the first store that answers reports; 0 if none does.
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
