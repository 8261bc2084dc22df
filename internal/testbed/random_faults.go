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

// randomFault is a kind of fault that random scenarios draw.
type randomFault struct {
	name      string // name in reports; the key of delaysPeerMessages
	mayReject bool   // the fault may cause rejections
	hitsCore  bool   // the fault affects a core machine or its disk; the mesh tolerates only one such fault at a time
	// inject begins the fault. It returns what the fault acts on, and a function that ends the fault.
	inject func(r *testRun, rng *rand.Rand) (target string, end func())
}

// noCleanup is the end function of a fault that ends by itself.
func noCleanup() {}

// delaysPeerMessages holds the names of the random faults that delay messages between proxies.
var delaysPeerMessages = map[string]bool{
	"proxy killed":                        true,
	"a herd of proxies killed":            true,
	"proxy frozen":                        true,
	"edge machine cut off":                true,
	"link between two edges lost one way": true,
	"lossy links of an edge":              true,
}

// lossRatio is the fraction of the data sent on a lossy link that is lost and has to be retransmitted.
const lossRatio = 0.1

// randomFaults holds all kinds of random faults. A seed draws them by index, so their order must not change.
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
		var killed []*Process
		for _, proxy := range r.fleet.Proxies {
			if rng.IntN(3) == 0 {
				killed = append(killed, proxy)
				names = append(names, proxy.Name)
				proxy.Signal(syscall.SIGKILL)
			}
		}
		return strings.Join(names, " "), func() {
			for _, proxy := range killed {
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
		target := r.killCore(i)
		_ = r.fleet.Stores[i].WipeData()
		return target, func() { r.startCore(i) }
	}},
	{"power lost right after a yes, with the disk", false, true, func(r *testRun, rng *rand.Rand) (string, func()) {
		// The leader is killed as soon as the change is acknowledged, and its disk is wiped.
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
		var submitting sync.WaitGroup
		for _, name := range []string{"cat", "dan"} {
			operator := NewOperator(fmt.Sprint(name, "-", rng.IntN(1<<30)), r.fleet, r.history, r.now)
			submitting.Go(func() { operator.ChangeLoop(stop, 40*time.Millisecond, true) })
		}
		return "all", func() { close(stop); submitting.Wait() }
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

// Limits of forProxiesInSeries.
const (
	maxSeries = 4                      // largest number of proxies in a series
	seriesGap = 400 * time.Millisecond // time between two proxies
)

// forProxiesInSeries calls apply for 2 to maxSeries proxies, each seriesGap after the one before. It does not wait for
// the calls: the returned function does. The first result names the proxies.
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

// randomEdge draws the index of an edge machine.
func (r *testRun) randomEdge(rng *rand.Rand) int { return rng.IntN(r.options.Deployment.Edges) }

// randomCoreMember draws the index of a core member.
func (r *testRun) randomCoreMember(rng *rand.Rand) int {
	return rng.IntN(r.options.Deployment.CoreMembers)
}

// randomWorker draws a worker of an allowed version that neither drains nor has ended.
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

// injectWorkerFault makes one worker faulty. It returns the worker's name and a function that ends the fault.
func (r *testRun) injectWorkerFault(worker *Worker, fault *WorkerFault) (string, func()) {
	worker.SetFault(fault)
	return worker.name, func() { worker.SetFault(nil) }
}

// storeLeader returns the index of the core machine whose store is the leader. It uses the first answer of a store
// that names a core member as the leader, and returns 0 if there is none.
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
