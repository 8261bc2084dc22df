package testbed

import (
	"fmt"
	"strings"
	"time"
)

func (c *testRun) firstWorker() *Worker { return c.workers[0] }

func (c *testRun) middleProxy() *Process { return c.fleet.Proxies[c.options.Deployment.Edges/2] }

// killCore ends a core machine's processes at once; startCore brings them back.
func (c *testRun) killCore(i int) string {
	c.fleet.Stores[i].Kill()
	c.fleet.Registries[i].Kill()
	return c.fleet.Stores[i].Name
}

func (c *testRun) startCore(i int) string {
	return fmt.Sprint(c.fleet.Stores[i].Name, " ", c.fleet.Stores[i].Start(), c.fleet.Registries[i].Start())
}

// forCoreProcesses does something to every process of a core machine.
func (c *testRun) forCoreProcesses(i int, apply func(*Process)) string {
	apply(c.fleet.Stores[i])
	apply(c.fleet.Registries[i])
	return c.fleet.Stores[i].Name
}

// partitionCore sets the ways between core machines for which chosen holds.
func (c *testRun) partitionCore(chosen func(i, j int) bool) string {
	var links []string
	for i := range c.options.Deployment.CoreMembers {
		for j := range c.options.Deployment.CoreMembers {
			if i != j && chosen(i, j) {
				c.fleet.LinkFaults.SetPartitioned(c.fleet.coreAddress(i), c.fleet.coreAddress(j), true)
				links = append(links, fmt.Sprintf("%c>%c", 'a'+i, 'a'+j))
			}
		}
	}
	return strings.Join(links, " ")
}

// partitionEdge cuts an edge machine off from everyone, both ways.
func (c *testRun) partitionEdge(edge int) string {
	d := c.options.Deployment
	for i := range d.CoreMembers {
		c.fleet.LinkFaults.SetPartitioned(c.fleet.coreAddress(i), c.fleet.edgeAddress(edge), true)
		c.fleet.LinkFaults.SetPartitioned(c.fleet.edgeAddress(edge), c.fleet.coreAddress(i), true)
	}
	for other := range d.Edges {
		if other != edge {
			c.fleet.LinkFaults.SetPartitioned(c.fleet.edgeAddress(other), c.fleet.edgeAddress(edge), true)
			c.fleet.LinkFaults.SetPartitioned(c.fleet.edgeAddress(edge), c.fleet.edgeAddress(other), true)
		}
	}
	return c.fleet.Proxies[edge].Name
}

// partitionCoreFromEdges cuts the core off from every proxy, both ways.
func (c *testRun) partitionCoreFromEdges() string {
	for i := range c.options.Deployment.CoreMembers {
		for edge := range c.options.Deployment.Edges {
			c.fleet.LinkFaults.SetPartitioned(c.fleet.coreAddress(i), c.fleet.edgeAddress(edge), true)
			c.fleet.LinkFaults.SetPartitioned(c.fleet.edgeAddress(edge), c.fleet.coreAddress(i), true)
		}
	}
	return "all proxies"
}

func (c *testRun) healPartitions() string { c.fleet.LinkFaults.Heal(); return "all links" }

func (c *testRun) killThird() string {
	var names []string
	for i := 0; i < len(c.fleet.Proxies); i += 3 {
		c.fleet.Proxies[i].Kill()
		names = append(names, c.fleet.Proxies[i].Name)
	}
	return strings.Join(names, " ")
}

func (c *testRun) startThird() string {
	for i := 0; i < len(c.fleet.Proxies); i += 3 {
		_ = c.fleet.Proxies[i].Start()
	}
	return "all"
}

// replaceWorkerAt starts a successor on the machine of a worker, then drains and ends it; the
// address it frees goes to a worker of another service.
func (c *testRun) replaceWorkerAt(i int) string { return c.replaceWorker(c.workers[i]) }

func (c *testRun) replaceWorker(old *Worker) string {
	edge := c.edgeOf(old)
	_ = c.startWorker(c.newWorkerName(old.description.Service), edge, old.description.Service, old.description.Version)
	// Its successor is known everywhere before it empties itself.
	go func() {
		time.Sleep(replacementOverlap)
		_ = old.Drain()
		time.Sleep(replacementOverlap)
		old.Shutdown()
		for _, service := range c.options.Deployment.Services {
			if service.Name != old.description.Service {
				_ = c.startWorkerAt(c.newWorkerName(service.Name), edge, service.Name, versionOld, old.description.Address)
				return
			}
		}
	}()
	return old.name
}

// replacementOverlap is how long a replaced worker goes on before it ends.
const replacementOverlap = time.Second

// makeVersionFaulty makes every worker of a service's new version ill.
func (c *testRun) makeVersionFaulty(service string, fault *WorkerFault) string {
	appendEntry(c.history, &c.history.FaultyVersions, FaultyVersionEntry{service, versionNew, c.now()})
	for _, worker := range c.workers {
		if worker.description.Service == service && worker.description.Version == versionNew {
			worker.SetFault(fault)
		}
	}
	return service
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
