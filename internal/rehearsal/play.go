package rehearsal

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Play is a piece of faults, each at its part of the length of the load.
type Play struct {
	relayEdges bool  // links between edges go through relays too, so that they can be cut
	releases   bool  // flags start with the old version only, and plans move them
	disks      bool  // stores run on a disk that can be made slow
	pace       *pace // faults are drawn by the seed, at a pace
	leavers    bool  // some callers leave before they are answered
	acts       []act
}

type act struct {
	at   float64
	what string
	do   func(*cast) (on string)
}

// free are the acts that may turn nobody away; after any other somebody may be, for a while.
var free = map[string]bool{"worker drained": true, "worker gone": true, "address reused by another service": true, "worker of a version no setup lists": true,
	"core machine killed": true, "core machine back": true, "core machine frozen": true, "core machine thawed": true, "core machine stopped": true, "core machine started": true,
	"core machine back empty at a new address": true, "workers replaced one by one": true, "proxy restarted politely": true, "proxy back": true, "proxies back": true, "mended": true,
	"setup grows by two thousand routes": true, "release plan stated": true, "release plan cancelled": true, "routes added": true, "routes removed": true, "warm": true, "proxy thawed": true, "a worker warms up slowly": true, "core split 2-1": true,
	"one-way link loss in the core": true, "a good version, to turn bad late": true, "disk slow": true, "disk stalled": true, "disk whole": true, "storm of changes": true, "storm over": true}

// Plays are the pieces by name.
var Plays = map[string]*Play{
	"none":     {},
	"standard": {acts: standard},
	"harsh":    {relayEdges: true, acts: harsh},
	"rolling":  {acts: rolling},
	"herd":     {acts: herd},
	"release":  {releases: true, acts: releasing},
	"brake":    {releases: true, acts: braking},
	"split":    {releases: true, acts: brakingSplit},
	"gone":     {releases: true, acts: brakingGone},
	"load":     {releases: true, acts: brakingLoad},
	"long":     {acts: long},
	"random":   {relayEdges: true, disks: true, pace: &pace{every: 6 * time.Second, lasts: 12 * time.Second, closing: 25 * time.Second, most: 8}},
	"soak":     {relayEdges: true, disks: true, leavers: true, pace: &pace{every: 800 * time.Millisecond, lasts: 4 * time.Second, closing: 5 * time.Second, most: 3}},
}

// PlayNames lists the plays.
func PlayNames() []string { return slices.Sorted(maps.Keys(Plays)) }

// play goes through a piece and waits for the end of the load's time.
func (c *cast) play(piece *Play, length time.Duration, say func(string, ...any)) {
	if piece.pace != nil {
		c.randomly(piece.pace, length, say)
		return
	}
	start := c.now()
	for _, one := range piece.acts {
		time.Sleep(time.Duration(one.at*float64(length)) - (c.now() - start))
		entry := FaultEntry{What: one.what, At: c.now(), Costs: !free[one.what]}
		entry.On = one.do(c)
		note(c.ledger, &c.ledger.Faults, entry)
		say("%6.1f s: %s: %s", entry.At.Seconds(), entry.What, entry.On)
	}
	time.Sleep(length - (c.now() - start))
}

func (c *cast) firstWorker() *Worker { return c.workers[0] }

// killCore ends a core machine's processes at once; startCore brings them back.
func (c *cast) killCore(i int) string {
	c.fleet.Stores[i].Kill()
	c.fleet.Registries[i].Kill()
	return c.fleet.Stores[i].Name
}

func (c *cast) startCore(i int) string {
	return fmt.Sprint(c.fleet.Stores[i].Name, " ", c.fleet.Stores[i].Start(), c.fleet.Registries[i].Start())
}

// each does something to every process of a core machine.
func (c *cast) each(i int, do func(*Process)) string {
	do(c.fleet.Stores[i])
	do(c.fleet.Registries[i])
	return c.fleet.Stores[i].Name
}

// cut sets the ways between core machines for which chosen holds.
func (c *cast) cut(chosen func(i, j int) bool) string {
	var named []string
	for i := range c.options.Deployment.Cores {
		for j := range c.options.Deployment.Cores {
			if i != j && chosen(i, j) {
				c.fleet.Cuts.Set(c.fleet.core(i), c.fleet.core(j), true)
				named = append(named, fmt.Sprintf("%c>%c", 'a'+i, 'a'+j))
			}
		}
	}
	return strings.Join(named, " ")
}

// cutEdge cuts an edge machine off from everyone, both ways.
func (c *cast) cutEdge(edge int) string {
	d := c.options.Deployment
	for i := range d.Cores {
		c.fleet.Cuts.Set(c.fleet.core(i), c.fleet.edge(edge), true)
		c.fleet.Cuts.Set(c.fleet.edge(edge), c.fleet.core(i), true)
	}
	for other := range d.Edges {
		if other != edge {
			c.fleet.Cuts.Set(c.fleet.edge(other), c.fleet.edge(edge), true)
			c.fleet.Cuts.Set(c.fleet.edge(edge), c.fleet.edge(other), true)
		}
	}
	return c.fleet.Proxies[edge].Name
}

func (c *cast) mend() string { c.fleet.Cuts.Mend(); return "all links" }

// replace starts a successor on the machine of a worker, then drains and ends it; the
// address it frees goes to a worker of another service.
func (c *cast) replace(i int) string { return c.replaceWorker(c.workers[i]) }

func (c *cast) replaceWorker(old *Worker) string {
	edge := c.edge(old)
	_ = c.startWorker(c.newName(old.said.Service), edge, old.said.Service, old.said.Version)
	// Its successor is known everywhere before it empties itself.
	go func() {
		time.Sleep(leaveAfter)
		_ = old.Drain()
		time.Sleep(leaveAfter)
		old.Leave()
		for _, service := range c.options.Deployment.Services {
			if service.Name != old.said.Service {
				_ = c.startWorkerAt(c.newName(service.Name), edge, service.Name, versionOld, old.said.Address)
				return
			}
		}
	}()
	return old.name
}

// newName names a worker that comes later.
func (c *cast) newName(service string) string {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.named++
	return fmt.Sprintf("n%d-%s", c.named, service)
}

// edge is where a worker stands.
func (c *cast) edge(one *Worker) int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.edgeOf[one.name]
}

// leaveAfter is how long a replaced worker goes on before it ends.
const leaveAfter = time.Second

// standard is what any quick rehearsal goes through.
var standard = []act{
	{0.10, "worker drained", func(c *cast) string { _ = c.firstWorker().Drain(); return c.firstWorker().name }},
	{0.20, "worker gone", func(c *cast) string { c.firstWorker().Leave(); return c.firstWorker().name }},
	{0.25, "address reused by another service", func(c *cast) string {
		d := c.options.Deployment
		other := d.Services[len(d.Services)-1].Name
		_ = c.startWorkerAt("reuser-"+other, 0, other, versionOld, c.firstWorker().said.Address)
		return c.firstWorker().said.Address
	}},
	{0.35, "worker killed", func(c *cast) string {
		killed := c.workers[c.options.Deployment.Edges-1]
		killed.Kill()
		return killed.name
	}},
	{0.40, "worker of a version no setup lists", func(c *cast) string {
		_ = c.startWorker("barred", 0, c.options.Deployment.Services[0].Name, versionBarred)
		return "barred"
	}},
	{0.50, "proxy killed", func(c *cast) string { c.middle().Kill(); return c.middle().Name }},
	{0.60, "proxy back", func(c *cast) string { _ = c.middle().Start(); return c.middle().Name }},
	{0.70, "core machine killed", func(c *cast) string { return c.killCore(0) }},
	{0.85, "core machine back", func(c *cast) string { return c.startCore(0) }},
}

func (c *cast) middle() *Process { return c.fleet.Proxies[c.options.Deployment.Edges/2] }

// harsh is every other fault of the brief that processes on one machine can show. It wants
// two minutes or more, so that each fault has time to close.
var harsh = []act{
	{0.02, "workers replaced one by one", func(c *cast) string { return c.replace(0) }},
	{0.05, "workers replaced one by one", func(c *cast) string { return c.replace(1) }},
	{0.08, "proxy restarted politely", func(c *cast) string {
		go func() {
			c.middle().Stop(15 * time.Second)
			_ = c.middle().Start()
		}()
		return c.middle().Name
	}},
	{0.10, "a worker loses answers after the work", func(c *cast) string {
		c.workers[3].Fall(&Illness{Loses: true})
		return c.workers[3].name
	}},
	{0.12, "a worker sends garbage", func(c *cast) string {
		c.workers[3].Fall(&Illness{Babble: true})
		return c.workers[3].name
	}},
	{0.14, "a worker warms up slowly", func(c *cast) string {
		c.workers[3].Fall(nil)
		c.workers[4].Fall(&Illness{Delay: 500 * time.Millisecond})
		return c.workers[4].name
	}},
	{0.16, "warm", func(c *cast) string { c.workers[4].Fall(nil); return c.workers[4].name }},
	{0.16, "proxy frozen", func(c *cast) string { c.fleet.Proxies[1].Freeze(); return c.fleet.Proxies[1].Name }},
	{0.24, "proxy thawed", func(c *cast) string { c.fleet.Proxies[1].Thaw(); return c.fleet.Proxies[1].Name }},
	{0.27, "core machine frozen", func(c *cast) string { return c.each(0, (*Process).Freeze) }},
	{0.33, "core machine thawed", func(c *cast) string { return c.each(0, (*Process).Thaw) }},
	{0.37, "core split 2-1", func(c *cast) string { return c.cut(func(i, j int) bool { return i == 0 || j == 0 }) }},
	{0.43, "mended", (*cast).mend},
	{0.46, "core split 1-1-1", func(c *cast) string { return c.cut(func(int, int) bool { return true }) }},
	{0.50, "mended", (*cast).mend},
	{0.54, "one-way link loss in the core", func(c *cast) string { return c.cut(func(i, j int) bool { return i == 1 && j == 0 }) }},
	{0.58, "mended", (*cast).mend},
	{0.61, "edge machine cut off", func(c *cast) string { return c.cutEdge(2) }},
	{0.68, "mended", (*cast).mend},
	{0.71, "core machine back empty at a new address", func(c *cast) string {
		if err := c.fleet.MoveCore(1); err != nil {
			return err.Error()
		}
		return c.fleet.Stores[1].Name
	}},
	{0.80, "setup grows by two thousand routes", func(c *cast) string {
		var text strings.Builder
		service := c.options.Deployment.Services[0].Name
		for i := range 2000 {
			fmt.Fprintf(&text, "route: \"grown-%d\": {service: %q, prefix: \"/grown/%d\"}\n", i, service, i)
		}
		change := NewOperator("grower", c.fleet, c.ledger, c.now).Change(0, text.String(), "")
		return change.Ruling
	}},
	{0.88, "a third of the proxies killed at once", (*cast).killThird},
	{0.92, "proxies back", (*cast).startThird},
	{0.95, "core cut off from the proxies", (*cast).cutCore},
	{0.97, "mended", (*cast).mend},
}

// release states a plan for a service.
func (c *cast) release(service string, target float64, over time.Duration) string {
	operator := NewOperator("release-"+service, c.fleet, c.ledger, c.now)
	text := fmt.Sprintf("release: %q: {service: %q, version: %q, target: %v, over: %q}\n", "to-"+service, service, versionNew, target, over)
	return service + " " + operator.Change(1, text, "").Ruling
}

// fall makes every worker of a service's new version ill.
func (c *cast) fall(service string, ill *Illness) string {
	note(c.ledger, &c.ledger.Bad, BadEntry{service, versionNew, c.now()})
	for _, worker := range c.workers {
		if worker.said.Service == service && worker.said.Version == versionNew {
			worker.Fall(ill)
		}
	}
	return service
}

// service names the i-th service of the deployment.
func (c *cast) service(i int) string {
	return c.options.Deployment.Services[i%len(c.options.Deployment.Services)].Name
}

// part is a part of the load's length.
func (c *cast) part(of float64) time.Duration {
	return (time.Duration(of * float64(c.options.Length))).Round(time.Second)
}

// watchReleases writes down set point and measured share as time goes on.
func (c *cast) watchReleases(stop <-chan struct{}, say func(string, ...any)) {
	operator := NewOperator("watcher", c.fleet, c.ledger, c.now)
	seen, last := 0, map[string]string{}
	for turn := 0; ; turn++ {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Second):
		}
		shown, err := operator.Releases(turn % c.options.Deployment.Cores)
		if err != nil {
			continue
		}
		c.ledger.lock.Lock()
		runs := c.ledger.Runs[seen:]
		seen = len(c.ledger.Runs)
		c.ledger.lock.Unlock()
		for _, one := range shown {
			all, new := 0, 0
			for _, run := range runs {
				if run.Service == one.Service {
					all++
					if run.Version == one.Version {
						new++
					}
				}
			}
			entry := ShareEntry{At: c.now(), Release: one.Name, State: one.State, Reason: one.Reason, SetPoint: one.Percentage, Measured: 100 * float64(new) / float64(max(1, all))}
			note(c.ledger, &c.ledger.Shares, entry)
			if word := one.State + " " + one.Reason; last[one.Name] != word {
				last[one.Name] = word
				say("%6.1f s: plan %s: %s, set point %.1f, measured %.1f", entry.At.Seconds(), one.Name, word, entry.SetPoint, entry.Measured)
			}
		}
	}
}

// releasing brings a good version in while the registry that steers is lost.
var releasing = []act{
	{0.02, "release plan stated", func(c *cast) string { return c.release(c.service(0), 50, c.part(0.5)) }},
	{0.30, "core machine killed", func(c *cast) string { return c.killCore(0) }},
	{0.45, "core machine back", func(c *cast) string { return c.startCore(0) }},
	{0.60, "core machine killed", func(c *cast) string { return c.killCore(1) }},
	{0.70, "core machine back", func(c *cast) string { return c.startCore(1) }},
}

// braking lets new versions be bad in each way.
var braking = []act{
	{0.00, "a good version, to turn bad late", func(c *cast) string { return c.release(c.service(3), 60, c.part(0.2)) }},
	{0.05, "bad from the start", func(c *cast) string {
		return c.fall(c.service(0), &Illness{Fails: true}) + ", " + c.release(c.service(0), 50, c.part(0.3))
	}},
	{0.25, "bad on one route only", func(c *cast) string {
		if len(c.options.Deployment.Services) < 4 {
			return "left out"
		}
		service := c.service(1)
		for _, route := range c.options.Deployment.Routes {
			if route.Service == service && !route.Internal {
				return c.fall(service, &Illness{Prefix: route.Prefix, Fails: true}) + ", " + c.release(service, 50, c.part(0.3))
			}
		}
		return ""
	}},
	{0.40, "slow", func(c *cast) string {
		if len(c.options.Deployment.Services) < 4 {
			return "left out"
		}
		return c.fall(c.service(2), &Illness{Delay: 300 * time.Millisecond}) + ", " + c.release(c.service(2), 50, c.part(0.3))
	}},
	{0.70, "bad late, at a high share", func(c *cast) string { return c.fall(c.service(3), &Illness{Fails: true}) }},
}

// brakingSplit lets a version turn bad just as the core falls apart.
var brakingSplit = []act{
	{0.00, "a good version, to turn bad late", func(c *cast) string { return c.release(c.service(0), 60, c.part(0.2)) }},
	{0.60, "core split 1-1-1", func(c *cast) string { return c.cut(func(int, int) bool { return true }) }},
	{0.60, "bad late, the core being split", func(c *cast) string { return c.fall(c.service(0), &Illness{Fails: true}) }},
	{0.80, "mended", (*cast).mend},
}

// long goes through what grows with time: workers replaced one after another, plans stated,
// done and cancelled, items added and removed. It wants fifteen minutes or more.
var long = func() []act {
	var acts []act
	for i := range 30 {
		at := float64(i) / 30
		acts = append(acts, act{at + 0.002, "workers replaced one by one", func(c *cast) string {
			return c.replaceWorker(c.someone(rand.New(rand.NewPCG(c.options.Seed, uint64(i)))))
		}}, act{at + 0.010, "routes added", func(c *cast) string { return c.churn(i, true) }},
			act{at + 0.022, "routes removed", func(c *cast) string { return c.churn(i, false) }})
	}
	for i := range 6 {
		at := float64(i) / 6
		acts = append(acts, act{at + 0.02, "release plan stated", func(c *cast) string { return c.release(c.service(i), 60, c.part(0.05)) }},
			act{at + 0.14, "release plan cancelled", func(c *cast) string {
				return NewOperator(fmt.Sprint("end-", i), c.fleet, c.ledger, c.now).Change(0, fmt.Sprintf("remove: release: [%q]\n", "to-"+c.service(i)), "").Ruling
			}})
	}
	slices.SortStableFunc(acts, func(a, b act) int { return cmp.Compare(a.at, b.at) })
	return acts
}()

// churn adds forty routes, or removes them.
func (c *cast) churn(turn int, adds bool) string {
	var text strings.Builder
	for i := range 40 {
		if adds {
			fmt.Fprintf(&text, "route: \"churn-%d-%d\": {service: %q, prefix: \"/churn/%d/%d\"}\n", turn, i, c.service(0), turn, i)
		} else if i == 0 {
			text.WriteString("remove: route: [")
		}
		if !adds {
			fmt.Fprintf(&text, "%q,", fmt.Sprintf("churn-%d-%d", turn, i))
		}
	}
	if !adds {
		text.WriteString("]\n")
	}
	return NewOperator(fmt.Sprintf("churn-%d-%v", turn, adds), c.fleet, c.ledger, c.now).Change(turn%c.options.Deployment.Cores, text.String(), "").Ruling
}

// brakingGone lets a version turn bad just as the whole core dies.
var brakingGone = []act{
	{0.00, "a good version, to turn bad late", func(c *cast) string { return c.release(c.service(0), 60, c.part(0.2)) }},
	{0.55, "the whole core killed", func(c *cast) string { c.killCore(0); c.killCore(1); return c.killCore(2) }},
	{0.55, "bad late, the core being gone", func(c *cast) string { return c.fall(c.service(0), &Illness{Fails: true}) }},
	{0.70, "the whole core back", func(c *cast) string { return c.startCore(0) + c.startCore(1) + c.startCore(2) }},
}

// brakingLoad brings in versions that are bad only under load, one by a plan, one by hand.
var brakingLoad = []act{
	{0.00, "bad under load", func(c *cast) string {
		return c.fall(c.service(0), &Illness{Load: 2, Delay: 10 * time.Millisecond, Fails: true}) + ", " + c.release(c.service(0), 60, c.part(0.3))
	}},
	{0.30, "by hand, bad under load", func(c *cast) string {
		service := c.service(1)
		NewOperator("hand", c.fleet, c.ledger, c.now).Change(0, c.options.Deployment.FlagText(service, 60000, 1), "")
		return c.fall(service, &Illness{Load: 2, Delay: 10 * time.Millisecond, Fails: true})
	}},
}

// rolling stops the machines in turn, politely, as an upgrade does. A core machine counts
// again a lease after its start, so the next goes only then: it wants two minutes or more.
var rolling = func() []act {
	var acts []act
	for i := range 3 {
		at := 0.05 + 0.22*float64(i)
		acts = append(acts, act{at, "core machine stopped", func(c *cast) string {
			return c.each(i, func(p *Process) { p.Stop(15 * time.Second) })
		}}, act{at + 0.05, "core machine started", func(c *cast) string { return c.startCore(i) }})
	}
	// As many proxies as there are edges, each given a moment to come back.
	for i := range 15 {
		acts = append(acts, act{0.72 + 0.018*float64(i), "proxy restarted politely", func(c *cast) string {
			if i >= len(c.fleet.Proxies) {
				return "left out"
			}
			proxy := c.fleet.Proxies[i]
			go func() {
				proxy.Stop(15 * time.Second)
				_ = proxy.Start()
			}()
			return proxy.Name
		}})
	}
	return acts
}()

// cutCore cuts the core off from every proxy, both ways.
func (c *cast) cutCore() string {
	for i := range c.options.Deployment.Cores {
		for edge := range c.options.Deployment.Edges {
			c.fleet.Cuts.Set(c.fleet.core(i), c.fleet.edge(edge), true)
			c.fleet.Cuts.Set(c.fleet.edge(edge), c.fleet.core(i), true)
		}
	}
	return "all proxies"
}

// herd kills proxies singly and in herds.
var herd = []act{
	{0.10, "proxy killed", func(c *cast) string { c.middle().Kill(); return c.middle().Name }},
	{0.25, "proxy back", func(c *cast) string { _ = c.middle().Start(); return c.middle().Name }},
	{0.45, "a third of the proxies killed at once", (*cast).killThird},
	{0.70, "proxies back", (*cast).startThird},
}

func (c *cast) killThird() string {
	var names []string
	for i := 0; i < len(c.fleet.Proxies); i += 3 {
		c.fleet.Proxies[i].Kill()
		names = append(names, c.fleet.Proxies[i].Name)
	}
	return strings.Join(names, " ")
}

func (c *cast) startThird() string {
	for i := 0; i < len(c.fleet.Proxies); i += 3 {
		_ = c.fleet.Proxies[i].Start()
	}
	return "all"
}
