package testbed

import (
	"fmt"
	"strings"
	"time"
)

func (r *testRun) firstWorker() *Worker { return r.workers[0] }

func (r *testRun) middleProxy() *Process { return r.fleet.Proxies[r.options.Deployment.Edges/2] }

// killCore ends a core machine's processes at once; startCore brings them back.
func (r *testRun) killCore(i int) string {
	r.fleet.Stores[i].Kill()
	r.fleet.Registries[i].Kill()
	return r.fleet.Stores[i].Name
}

func (r *testRun) startCore(i int) string {
	return fmt.Sprint(r.fleet.Stores[i].Name, " ", r.fleet.Stores[i].Start(), r.fleet.Registries[i].Start())
}

// forCoreProcesses does something to every process of a core machine.
func (r *testRun) forCoreProcesses(i int, apply func(*Process)) string {
	apply(r.fleet.Stores[i])
	apply(r.fleet.Registries[i])
	return r.fleet.Stores[i].Name
}

// partitionCore sets the ways between core machines for which chosen holds.
func (r *testRun) partitionCore(chosen func(i, j int) bool) string {
	var links []string
	for i := range r.options.Deployment.CoreMembers {
		for j := range r.options.Deployment.CoreMembers {
			if i != j && chosen(i, j) {
				r.fleet.LinkFaults.SetPartitioned(r.fleet.coreAddress(i), r.fleet.coreAddress(j), true)
				links = append(links, fmt.Sprintf("%c>%c", 'a'+i, 'a'+j))
			}
		}
	}
	return strings.Join(links, " ")
}

// partitionEdge cuts an edge machine off from everyone, both ways.
func (r *testRun) partitionEdge(edge int) string {
	d := r.options.Deployment
	for i := range d.CoreMembers {
		r.fleet.LinkFaults.SetPartitioned(r.fleet.coreAddress(i), r.fleet.edgeAddress(edge), true)
		r.fleet.LinkFaults.SetPartitioned(r.fleet.edgeAddress(edge), r.fleet.coreAddress(i), true)
	}
	for other := range d.Edges {
		if other != edge {
			r.fleet.LinkFaults.SetPartitioned(r.fleet.edgeAddress(other), r.fleet.edgeAddress(edge), true)
			r.fleet.LinkFaults.SetPartitioned(r.fleet.edgeAddress(edge), r.fleet.edgeAddress(other), true)
		}
	}
	return r.fleet.Proxies[edge].Name
}

// partitionCoreFromEdges cuts the core off from every proxy, both ways.
func (r *testRun) partitionCoreFromEdges() string {
	for i := range r.options.Deployment.CoreMembers {
		for edge := range r.options.Deployment.Edges {
			r.fleet.LinkFaults.SetPartitioned(r.fleet.coreAddress(i), r.fleet.edgeAddress(edge), true)
			r.fleet.LinkFaults.SetPartitioned(r.fleet.edgeAddress(edge), r.fleet.coreAddress(i), true)
		}
	}
	return "all proxies"
}

func (r *testRun) healPartitions() string { r.fleet.LinkFaults.Heal(); return "all links" }

func (r *testRun) killThird() string {
	var names []string
	for i := 0; i < len(r.fleet.Proxies); i += 3 {
		r.fleet.Proxies[i].Kill()
		names = append(names, r.fleet.Proxies[i].Name)
	}
	return strings.Join(names, " ")
}

func (r *testRun) startThird() string {
	for i := 0; i < len(r.fleet.Proxies); i += 3 {
		_ = r.fleet.Proxies[i].Start()
	}
	return "all"
}

// replaceWorkerAt starts a successor on the machine of a worker, then drains and ends it; the
// address it frees goes to a worker of another service.
func (r *testRun) replaceWorkerAt(i int) string { return r.replaceWorker(r.workers[i]) }

func (r *testRun) replaceWorker(old *Worker) string {
	edge := r.edgeOf(old)
	_ = r.startWorker(r.newWorkerName(old.description.Service), edge, old.description.Service, old.description.Version)
	// Its successor is known everywhere before it empties itself.
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

// replacementOverlap is how long a replaced worker goes on before it ends.
const replacementOverlap = time.Second

// makeVersionFaulty makes every worker of a service's new version ill.
func (r *testRun) makeVersionFaulty(service string, fault *WorkerFault) string {
	appendEntry(r.history, &r.history.FaultyVersions, FaultyVersionEntry{service, versionNew, r.now()})
	for _, worker := range r.workers {
		if worker.description.Service == service && worker.description.Version == versionNew {
			worker.SetFault(fault)
		}
	}
	return service
}

// setLinks cuts links, each way by itself, and gives what mends just those.
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

func (r *testRun) coreLinks(chosen func(i, j int) bool) [][2]string {
	var links [][2]string
	for i := range r.options.Deployment.CoreMembers {
		for j := range r.options.Deployment.CoreMembers {
			if i != j && chosen(i, j) {
				links = append(links, [2]string{r.fleet.coreAddress(i), r.fleet.coreAddress(j)})
			}
		}
	}
	return links
}

// linksOfEdge lists every link of an edge machine.
func (r *testRun) linksOfEdge(edge int) [][2]string {
	var links [][2]string
	here := r.fleet.edgeAddress(edge)
	for i := range r.options.Deployment.CoreMembers {
		links = append(links, [2]string{r.fleet.coreAddress(i), here}, [2]string{here, r.fleet.coreAddress(i)})
	}
	for other := range r.options.Deployment.Edges {
		if other != edge {
			links = append(links, [2]string{r.fleet.edgeAddress(other), here}, [2]string{here, r.fleet.edgeAddress(other)})
		}
	}
	return links
}
