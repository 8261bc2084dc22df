package rehearsal

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"meadowhinge/internal/errs"
)

// Options say what to rehearse.
type Options struct {
	Deployment *Deployment
	Folder     string
	Binaries   string
	Length     time.Duration // of the load
	Lease      time.Duration
	Seed       uint64
	Play       string        // which piece of faults, by name; none for no faults
	Standing   func(*Fleet)  // if set: no load, the fleet just stands while this runs
	Delay      time.Duration // that a worker takes for a request
	Rate       float64       // multiplies the deployment's rate
	LeaveBound time.Duration
	// DepartBound is how long a worker may go on with a repeatable call after its caller left; 0 for not judged.
	DepartBound time.Duration
	// Timed judges what hangs on how fast the machine is: who was turned away without cause.
	Timed bool
	Out   io.Writer
}

// quiet is how long the fleet is left alone at the end, for late runs to show.
const quiet = 3 * time.Second

// Run brings the fleet up, plays the load and the faults, and judges.
func Run(o Options) (*Report, error) {
	say := func(format string, values ...any) { fmt.Fprintf(o.Out, format+"\n", values...) }
	piece, known := Plays[o.Play]
	if !known {
		return nil, errs.New(errs.InvalidOptions, fmt.Sprintf("no play is called %q", o.Play))
	}
	fleet, err := NewFleet(o.Deployment, o.Folder, o.Binaries, o.Lease, piece.relayEdges, piece.disks)
	if err != nil {
		return nil, err
	}
	stopped := false
	defer func() {
		if !stopped {
			fleet.Stop()
		}
	}()
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	ledger := &Ledger{LeaveBound: o.LeaveBound, DepartBound: o.DepartBound, Timed: o.Timed, Lease: o.Lease}
	for _, process := range append(append([]*Process(nil), fleet.Stores...), fleet.Registries...) {
		if err := process.Start(); err != nil {
			return nil, err
		}
	}
	if err := AwaitReady(fleet.Stores, time.Minute); err != nil {
		return nil, err
	}
	if err := AwaitReady(fleet.Registries, time.Minute); err != nil {
		return nil, err
	}
	say("core ready after %.1f s", now().Seconds())
	operator := NewOperator("first", fleet, ledger, now)
	// On a machine too busy for the core to settle, the first setup is stated again.
	for tries := 0; ; tries++ {
		first := operator.Change(tries%o.Deployment.Cores, o.Deployment.SetupText(map[bool]int{false: 50000}[piece.releases]), "")
		if first.Acknowledged {
			break
		}
		if tries == 2*o.Deployment.Cores {
			return nil, errs.New(errs.NoQuorum, fmt.Sprintf("the first setup was not acknowledged: %+v", first))
		}
	}
	for _, process := range fleet.Proxies {
		if err := process.Start(); err != nil {
			return nil, err
		}
	}
	if err := AwaitReady(fleet.Proxies, time.Minute); err != nil {
		return nil, err
	}
	say("proxies ready after %.1f s", now().Seconds())
	cast := &cast{fleet: fleet, options: o, ledger: ledger, now: now, used: map[int]int{}, edgeOf: map[string]int{}}
	for i, placed := range o.Deployment.placeWorkers() {
		if err := cast.startWorker(fmt.Sprintf("w%d-%s", i+1, placed.service), placed.edge, placed.service, placed.version); err != nil {
			return nil, err
		}
	}
	// Calls before every proxy knows every worker are not proper load.
	if err := awaitKnown(fleet.Proxies, len(cast.workers), time.Minute); err != nil {
		return nil, err
	}
	if o.Standing != nil {
		o.Standing(fleet)
		for _, worker := range cast.workers {
			worker.Kill()
		}
		stopped = true
		return &Report{Unclean: fleet.Stop()}, nil
	}
	stopCalls, stopChanges := make(chan struct{}), make(chan struct{})
	var calling, changing sync.WaitGroup
	dice := rand.New(rand.NewPCG(o.Seed, 1))
	var callers [][]*Caller
	for edge := range o.Deployment.Edges {
		callers = append(callers, cast.callersOn(edge))
	}
	for edge, here := range callers {
		for _, caller := range here {
			for other, there := range callers {
				for _, same := range there {
					if other != edge && same.name == caller.name {
						caller.elsewhere = append(caller.elsewhere, same)
					}
				}
			}
		}
	}
	for _, here := range callers {
		for _, caller := range here {
			calling.Add(1)
			own := rand.New(rand.NewPCG(o.Seed, dice.Uint64()))
			go func() {
				defer calling.Done()
				caller.Run(stopCalls, own)
			}()
		}
	}
	if piece.leavers {
		for edge, here := range callers {
			for i := range leaversEach {
				leaver := NewLeaver(here[0], fleet.CallerAddress(edge, clientKind), i)
				own := rand.New(rand.NewPCG(o.Seed, dice.Uint64()))
				calling.Go(func() { leaver.Run(stopCalls, own) })
			}
		}
	}
	for _, name := range []string{"ann", "ben"} {
		changing.Add(1)
		own := NewOperator(name, fleet, ledger, now)
		go func() {
			defer changing.Done()
			own.Storm(stopChanges, 500*time.Millisecond, piece.releases)
		}()
	}
	changing.Go(func() { cast.watchDepartures(stopChanges) })
	changing.Add(2)
	go func() {
		defer changing.Done()
		cast.measureDirect(stopChanges)
	}()
	go func() {
		defer changing.Done()
		cast.sample(stopChanges)
	}()
	if piece.releases {
		changing.Add(1)
		go func() {
			defer changing.Done()
			cast.watchReleases(stopChanges, say)
		}()
	}
	before, loadFrom := cast.cpu(), now()
	cast.play(piece, o.Length, say)
	close(stopChanges)
	changing.Wait()
	close(stopCalls)
	calling.Wait()
	loaded := now() - loadFrom
	after := cast.cpu()
	time.Sleep(quiet)
	for core := range o.Deployment.Cores {
		_, _ = operator.Shown(core)
	}
	cast.survived()
	cast.noteDepartures()
	for _, worker := range cast.workers {
		worker.Kill()
	}
	unclean := fleet.Stop()
	stopped = true
	report := cast.report(loaded, before, after)
	report.Unclean, report.Resources = unclean, cast.resources
	report.BackSeconds, report.Survived, report.Departures = cast.back.Seconds(), ledger.Survived, ledger.departures()
	return report, nil
}

// cast is everyone outside the mesh.
type cast struct {
	fleet   *Fleet
	options Options
	ledger  *Ledger
	now     func() time.Duration
	workers []*Worker
	used    map[int]int    // workers started so far on each edge
	edgeOf  map[string]int // by worker
	direct  []float64      // milliseconds of calls past the mesh
	lock    sync.Mutex     // of workers, used, edgeOf and named
	named   int            // workers that came later
	back    time.Duration  // that the fleet took to be back

	resources []Sample
}

func (c *cast) startWorker(name string, edge int, service, version string) error {
	c.lock.Lock()
	address := fmt.Sprintf("%s:%d", c.fleet.edge(edge), portWorker+c.used[edge])
	c.used[edge]++
	c.lock.Unlock()
	return c.startWorkerAt(name, edge, service, version, address)
}

func (c *cast) startWorkerAt(name string, edge int, service, version, address string) error {
	worker, err := StartWorker(name, service, version, c.fleet.area(edge), address, fmt.Sprintf("%s:%d", c.fleet.edge(edge), portWorkers), c.options.Delay, c.ledger, c.now)
	if err == nil {
		c.lock.Lock()
		c.workers = append(c.workers, worker)
		c.edgeOf[name] = edge
		c.lock.Unlock()
	}
	return err
}

// callersOn makes the callers of an edge: clients, and each service for its internal calls.
func (c *cast) callersOn(edge int) []*Caller {
	d := c.options.Deployment
	rate := d.Rate * c.options.Rate / float64(d.Edges)
	proxy := c.fleet.Proxies[edge].Name
	var clients []RoutePlan
	internal := map[string][]RoutePlan{}
	for _, route := range d.Routes {
		if !route.Internal {
			clients = append(clients, route)
			continue
		}
		for _, service := range d.Services {
			if service.Name != route.Service {
				internal[service.Name] = append(internal[service.Name], route)
			}
		}
	}
	callers := []*Caller{NewCaller(clientKind, proxy, c.fleet.CallerAddress(edge, clientKind), clients, rate, c.ledger, c.now)}
	// The service whose worker stands on this edge makes this edge's part of the internal calls.
	for i, placed := range d.placeWorkers() {
		if placed.edge == edge && len(internal[placed.service]) > 0 && i < d.Edges {
			callers = append(callers, NewCaller(placed.service, proxy, c.fleet.CallerAddress(edge, placed.service), internal[placed.service], rate*d.Internal, c.ledger, c.now))
		}
	}
	return callers
}

// directEvery is how often a call is sent past the mesh.
const directEvery = 100 * time.Millisecond

func (c *cast) measureDirect(stop <-chan struct{}) {
	// A worker that no standard fault touches.
	measured := c.workers[1]
	for {
		select {
		case <-stop:
			return
		case <-time.After(directEvery):
		}
		if took, err := measured.Direct(); err == nil {
			c.direct = append(c.direct, float64(took)/float64(time.Millisecond))
		}
	}
}

// cpu is the processor time each program has used so far, in seconds.
func (c *cast) cpu() map[string]float64 {
	used := map[string]float64{}
	for _, process := range c.fleet.All() {
		process.lock.Lock()
		if process.cmd != nil && process.cmd.Process != nil {
			used[filepath.Base(process.program)] += cpuOf(process.cmd.Process.Pid)
		}
		process.lock.Unlock()
	}
	return used
}

// cpuOf reads a process's own processor time from the kernel.
func cpuOf(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// Fields 14 and 15 are user and system time in hundredths of a second; the name, in
	// parentheses, may hold spaces.
	end := 0
	for i, one := range text {
		if one == ')' {
			end = i
		}
	}
	var state string
	var skip [10]int64
	var user, system float64
	_, _ = fmt.Sscan(string(text[end+1:]), &state, &skip[0], &skip[1], &skip[2], &skip[3], &skip[4], &skip[5], &skip[6], &skip[7], &skip[8], &skip[9], &user, &system)
	return (user + system) / 100
}

// Freeze and Thaw stop a process and let it go on.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }
