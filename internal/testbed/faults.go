package testbed

import (
	"fmt"
	"strings"
	"time"
)

// firstWorker returns the worker that the standard scenario drains and ends.
func (r *testRun) firstWorker() *Worker { return r.workers[0] }

// middleProxy returns the proxy that scenarios kill and restart.
func (r *testRun) middleProxy() *Process { return r.fleet.Proxies[r.options.Deployment.Edges/2] }

// killCore kills the processes of the i-th core machine and returns the name of its store.
func (r *testRun) killCore(i int) string {
	r.fleet.Stores[i].Kill()
	r.fleet.Registries[i].Kill()
	return r.fleet.Stores[i].Name
}

// startCore starts the processes of the i-th core machine. It returns the name of its store and the errors of both
// starts, which are nil on success.
func (r *testRun) startCore(i int) string {
	return fmt.Sprint(r.fleet.Stores[i].Name, " ", r.fleet.Stores[i].Start(), r.fleet.Registries[i].Start())
}

// forCoreProcesses calls apply for both processes of the i-th core machine and returns the name of its store.
func (r *testRun) forCoreProcesses(i int, apply func(*Process)) string {
	apply(r.fleet.Stores[i])
	apply(r.fleet.Registries[i])
	return r.fleet.Stores[i].Name
}

// corePairs lists the ordered pairs of different core members for which chosen returns true.
func (r *testRun) corePairs(chosen func(i, j int) bool) [][2]int {
	var pairs [][2]int
	for i := range r.options.Deployment.CoreMembers {
		for j := range r.options.Deployment.CoreMembers {
			if i != j && chosen(i, j) {
				pairs = append(pairs, [2]int{i, j})
			}
		}
	}
	return pairs
}

// coreLinks lists the links between core machines for which chosen returns true, each direction separately.
func (r *testRun) coreLinks(chosen func(i, j int) bool) [][2]string {
	var links [][2]string
	for _, pair := range r.corePairs(chosen) {
		links = append(links, [2]string{r.fleet.coreAddress(pair[0]), r.fleet.coreAddress(pair[1])})
	}
	return links
}

// partitionCore cuts the links between core machines for which chosen returns true, and returns their names.
func (r *testRun) partitionCore(chosen func(i, j int) bool) string {
	r.setLinks(r.coreLinks(chosen), r.fleet.LinkFaults.SetPartitioned)
	var names []string
	for _, pair := range r.corePairs(chosen) {
		names = append(names, fmt.Sprintf("%c>%c", 'a'+pair[0], 'a'+pair[1]))
	}
	return strings.Join(names, " ")
}

// partitionEdge cuts every link of an edge machine and returns the name of its proxy.
func (r *testRun) partitionEdge(edge int) string {
	r.setLinks(r.linksOfEdge(edge), r.fleet.LinkFaults.SetPartitioned)
	return r.fleet.Proxies[edge].Name
}

// coreToEdgeLinks lists every link between a core machine and an edge machine, each direction separately.
func (r *testRun) coreToEdgeLinks() [][2]string {
	var links [][2]string
	for i := range r.options.Deployment.CoreMembers {
		for edge := range r.options.Deployment.Edges {
			core, machine := r.fleet.coreAddress(i), r.fleet.edgeAddress(edge)
			links = append(links, [2]string{core, machine}, [2]string{machine, core})
		}
	}
	return links
}

// partitionCoreFromEdges cuts every link between a core machine and an edge machine.
func (r *testRun) partitionCoreFromEdges() string {
	r.setLinks(r.coreToEdgeLinks(), r.fleet.LinkFaults.SetPartitioned)
	return "all proxies"
}

// healPartitions ends all faults of all links.
func (r *testRun) healPartitions() string {
	r.fleet.LinkFaults.Heal()
	return "all links"
}

// killThird kills every third proxy and returns their names.
func (r *testRun) killThird() string {
	var names []string
	for i := 0; i < len(r.fleet.Proxies); i += 3 {
		r.fleet.Proxies[i].Kill()
		names = append(names, r.fleet.Proxies[i].Name)
	}
	return strings.Join(names, " ")
}

// startThird starts the proxies that killThird killed.
func (r *testRun) startThird() string {
	for i := 0; i < len(r.fleet.Proxies); i += 3 {
		_ = r.fleet.Proxies[i].Start()
	}
	return "all"
}

// replaceWorkerAt replaces the i-th worker as replaceWorker does.
func (r *testRun) replaceWorkerAt(i int) string { return r.replaceWorker(r.workers[i]) }

// replaceWorker starts a replacement on the machine of a worker, then drains the old worker and ends it. A worker of
// another service then reuses the old worker's address, so that a proxy with stale data would call the wrong service.
// It returns the old worker's name once the replacement has been started; the rest happens in the background.
func (r *testRun) replaceWorker(old *Worker) string {
	edge := r.edgeOf(old)
	_ = r.startWorker(r.newWorkerName(old.description.Service), edge, old.description.Service, old.description.Version)
	// The overlap lets every proxy learn about the replacement before the old worker drains.
	go func() {
		time.Sleep(replacementOverlap)
		_ = old.Drain()
		time.Sleep(replacementOverlap)
		old.Shutdown()
		for _, service := range r.options.Deployment.Services {
			if service.Name != old.description.Service {
				_ = r.startWorkerAt(r.newWorkerName(service.Name), edge, service.Name, versionOld, old.description.Address)
				return
			}
		}
	}()
	return old.name
}

// replacementOverlap is the time from the start of a replacement until the old worker drains, and from then until the
// old worker ends.
const replacementOverlap = time.Second

// makeVersionFaulty makes every worker of a service's new version faulty, records the time, and returns the name of
// the service.
func (r *testRun) makeVersionFaulty(service string, fault *WorkerFault) string {
	appendEntry(r.history, &r.history.FaultyVersions, FaultyVersionEntry{service, versionNew, r.now()})
	for _, worker := range r.workers {
		if worker.description.Service == service && worker.description.Version == versionNew {
			worker.SetFault(fault)
		}
	}
	return service
}

// setLinks sets a fault on each of the links and returns a function that ends the fault on these links only. Where
// another fault of the same kind is active on one of them, that ends too.
func (r *testRun) setLinks(links [][2]string, set func(from, to string, on bool)) func() {
	for _, link := range links {
		set(link[0], link[1], true)
	}
	return func() {
		for _, link := range links {
			set(link[0], link[1], false)
		}
	}
}

// linksOfEdge lists every link of an edge machine, each direction separately.
func (r *testRun) linksOfEdge(edge int) [][2]string {
	var links [][2]string
	machine := r.fleet.edgeAddress(edge)
	for i := range r.options.Deployment.CoreMembers {
		links = append(links, [2]string{r.fleet.coreAddress(i), machine}, [2]string{machine, r.fleet.coreAddress(i)})
	}
	for other := range r.options.Deployment.Edges {
		if other != edge {
			links = append(links, [2]string{r.fleet.edgeAddress(other), machine}, [2]string{machine, r.fleet.edgeAddress(other)})
		}
	}
	return links
}
