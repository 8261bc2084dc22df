package rehearsal

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/dispatch"
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

// Report is what a rehearsal found, for machines.
type Report struct {
	Deployment string    `json:"deployment"`
	Seed       uint64    `json:"seed"`
	Seconds    float64   `json:"seconds"`
	Findings   []Finding `json:"findings"`
	Phases     []Phase   `json:"phases"`
	// Refused is a sample of the calls that were not answered, a few for each phase and defect.
	Refused  []CallEntry    `json:"refused"`
	Faults   []FaultEntry   `json:"faults"`
	Outcomes map[string]int `json:"outcomes"`
	Defects  map[string]int `json:"defects"`
	Rate     float64        `json:"callsPerSecond"`
	// LatencyMS is by the way a call took: past the mesh, through one proxy, through two.
	LatencyMS map[string]map[string]float64 `json:"latencyMs"`
	AckMS     map[string]float64            `json:"ackMs"`
	Rulings   map[string]int                `json:"rulings"`
	// Acknowledged is how many changes got their yes.
	Acknowledged int                `json:"acknowledged"`
	CPU          map[string]float64 `json:"cpuSecondsPer1000Calls"`
	Unclean      []string           `json:"unclean"`
	// Resources is what each program took of the machine, sampled through the run: the largest of
	// its processes each time.
	Resources []Sample `json:"resources"`
	// BackSeconds is how long the fleet took to be back once all faults of a random play were mended.
	BackSeconds float64 `json:"backSeconds,omitempty"`
	// Survived is how many acknowledged changes were still there at the end.
	Survived int          `json:"survived"`
	Shares   []ShareEntry `json:"shares,omitempty"`
	Breaches int          `json:"breaches"`
	// Departures is what the proxies counted of callers that left.
	Departures dispatch.DepartureCounts `json:"departures"`
}

// Phase is what callers got from one fault to the next.
type Phase struct {
	Fault   string         `json:"fault"`
	On      string         `json:"on"`
	Calls   int            `json:"calls"`
	Away    int            `json:"turnedAway"` // proper calls that got the mesh's own error
	Unsent  int            `json:"unsent"`     // whose own proxy was not there
	Defects map[string]int `json:"defects,omitempty"`
	// BackAfter is when, in seconds after the fault, the last call was turned away.
	BackAfter float64 `json:"backAfterSeconds"`
}

// samplesMost is how many unanswered calls of each kind a report shows.
const samplesMost = 8

// phases sorts the calls by the fault before them.
func phases(ledger *Ledger) []Phase {
	faults := append([]FaultEntry{{What: "before any fault"}}, ledger.Faults...)
	list := make([]Phase, len(faults))
	for i, fault := range faults {
		list[i] = Phase{Fault: fault.What, On: fault.On, Defects: map[string]int{}}
	}
	for _, call := range ledger.Calls {
		i := sort.Search(len(faults), func(i int) bool { return faults[i].At > call.Sent }) - 1
		phase := &list[max(0, i)]
		phase.Calls++
		switch call.Outcome {
		case "answered":
		case "unsent":
			phase.Unsent++
		default:
			phase.Away++
			phase.Defects[call.Defect]++
			phase.BackAfter = max(phase.BackAfter, (call.Got - faults[max(0, i)].At).Seconds())
		}
	}
	return list
}

// quiet is how long the fleet is left alone at the end, for late runs to show.
const quiet = 3 * time.Second

// Run brings the fleet up, plays the load and the faults, and judges.
func Run(o Options) (*Report, error) {
	say := func(format string, values ...any) { fmt.Fprintf(o.Out, format+"\n", values...) }
	piece, known := Plays[o.Play]
	if !known {
		return nil, defect.New(defect.BadOptions, fmt.Sprintf("no play is called %q", o.Play))
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
			return nil, defect.New(defect.NoMajority, fmt.Sprintf("the first setup was not acknowledged: %+v", first))
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

func quantiles(values []float64) map[string]float64 {
	if len(values) == 0 {
		return nil
	}
	sort.Float64s(values)
	at := func(part float64) float64 { return values[int(part*float64(len(values)-1))] }
	return map[string]float64{"p50": at(0.5), "p90": at(0.9), "p99": at(0.99), "max": at(1)}
}

func (c *cast) report(loaded time.Duration, before, after map[string]float64) *Report {
	report := &Report{Deployment: c.options.Deployment.Name, Seed: c.options.Seed, Seconds: loaded.Seconds(), Findings: Judge(c.ledger, c.options.Deployment),
		Phases: phases(c.ledger), Faults: c.ledger.Faults, Shares: c.ledger.Shares, Outcomes: map[string]int{}, Defects: map[string]int{}, Rulings: map[string]int{}, CPU: map[string]float64{}}
	var one, two, acks, keyed, plain []float64
	sampled := map[string]int{}
	for _, call := range c.ledger.Calls {
		report.Outcomes[call.Outcome]++
		at := sort.Search(len(c.ledger.Faults), func(i int) bool { return c.ledger.Faults[i].At > call.Sent })
		if key := fmt.Sprint(at, call.Outcome, call.Defect); call.Outcome != "answered" && sampled[key] < samplesMost {
			sampled[key]++
			report.Refused = append(report.Refused, call)
		}
		if call.Defect != "" {
			report.Defects[call.Defect]++
		}
		if call.Outcome == "answered" {
			took := float64(call.Got-call.Sent) / float64(time.Millisecond)
			if call.Once && call.Ask == 0 {
				if call.Keyed {
					keyed = append(keyed, took)
				} else {
					plain = append(plain, took)
				}
			}
			if edge, found := c.edgeOf[call.Worker]; found && c.fleet.Proxies[edge].Name == call.Proxy {
				one = append(one, took)
			} else {
				two = append(two, took)
			}
		}
	}
	for _, change := range c.ledger.Changes {
		report.Rulings[change.Ruling]++
		report.Acknowledged += map[bool]int{true: 1}[change.Acknowledged]
		if change.Acknowledged {
			acks = append(acks, float64(change.Got-change.Sent)/float64(time.Millisecond))
		}
	}
	report.Rate = float64(len(c.ledger.Calls)) / loaded.Seconds()
	report.LatencyMS = map[string]map[string]float64{"direct": quantiles(c.direct), "one proxy": quantiles(one), "two proxies": quantiles(two),
		"once, under a key": quantiles(keyed), "once, without one": quantiles(plain)}
	report.AckMS = quantiles(acks)
	for program, used := range after {
		report.CPU[program] = (used - before[program]) / float64(len(c.ledger.Calls)) * 1000
	}
	for _, finding := range report.Findings {
		report.Breaches += finding.Breaches
	}
	return report
}

// Write saves the report, and the whole ledger beside it for whoever wants to look closer.
func (r *Report) Write(file string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return defect.Wrap(err, defect.Internal, "report")
	}
	return defect.Wrap(os.WriteFile(file, append(text, '\n'), 0o640), defect.DiskFailed, file)
}

// figures lists named numbers in a settled order.
func figures(values map[string]float64) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(values)) {
		parts = append(parts, fmt.Sprintf("%s %.3g", name, values[name]))
	}
	return strings.Join(parts, ", ")
}

// Print shows the report to a person.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "%s: %.0f s of load, %.0f calls a second, seed %d\n", r.Deployment, r.Seconds, r.Rate, r.Seed)
	fmt.Fprintf(out, "outcomes %v, defects %v\n", r.Outcomes, r.Defects)
	fmt.Fprintf(out, "changes %v, yes after ms: %s; %d acknowledged, of which %d were there at the end\n", r.Rulings, figures(r.AckMS), r.Acknowledged, r.Survived)
	for _, program := range []string{"proxy", "registry", "store"} {
		fmt.Fprintf(out, "%s, largest process at a third, two thirds and the end of the run: %s\n", program, thirds(r.Resources, program))
	}
	if r.BackSeconds > 0 {
		fmt.Fprintf(out, "back %.1f s after the last fault\n", r.BackSeconds)
	}
	for _, way := range []string{"direct", "one proxy", "two proxies", "once, without one", "once, under a key"} {
		fmt.Fprintf(out, "latency ms, %s: %s\n", way, figures(r.LatencyMS[way]))
	}
	fmt.Fprintf(out, "processor seconds per 1,000 calls: %s\n", figures(r.CPU))
	for _, phase := range r.Phases {
		if phase.Away+phase.Unsent > 0 {
			fmt.Fprintf(out, "  after %s (%s): %d of %d turned away, %d unsent, %v, the last after %.1f s\n", phase.Fault, phase.On, phase.Away, phase.Calls, phase.Unsent, phase.Defects, phase.BackAfter)
		}
	}
	for _, finding := range r.Findings {
		word := "holds"
		if finding.Breaches > 0 {
			word = fmt.Sprintf("BROKEN %d times", finding.Breaches)
		} else if finding.Judged == 0 {
			word = "NOT JUDGED"
		}
		fmt.Fprintf(out, "  %-62s %s (%d judged)\n", finding.Rule, word, finding.Judged)
		for _, example := range finding.Examples {
			fmt.Fprintf(out, "      %s\n", example)
		}
	}
	if len(r.Unclean) > 0 {
		fmt.Fprintf(out, "did not end cleanly: %v\n", r.Unclean)
	}
}

// Freeze and Thaw stop a process and let it go on.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }
