package rehearsal

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
	"gonum.org/v1/plot/plotter"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/options"
	"meadowhinge/schema"
)

// Headers between the callers and workers of a chain.
const (
	depthHeader  = "X-Depth"  // how many calls are still to be made, one inside the other
	workHeader   = "X-Work"   // nanoseconds that workers worked, all those inside together
	directHeader = "X-Direct" // past the mesh
)

// CallPoint is what calls cost in one run.
type CallPoint struct {
	Rate   float64 `json:"rate"` // chains begun a second
	Depth  int     `json:"depth"`
	Run    int     `json:"run"`
	Calls  float64 `json:"callsPerSecond"` // hops, as they were answered
	Failed int     `json:"failed"`
	// Processor time in thousandths of a core: of all proxies, of the first caller's, of the first worker's.
	Proxies    float64 `json:"proxiesCpuMsPerSecond"`
	CallerSide float64 `json:"callerSideCpuMsPerSecond"`
	WorkerSide float64 `json:"workerSideCpuMsPerSecond"`
	Bytes      float64 `json:"bytesPerSecond"` // between proxies and to registries, sent
	// Added is what a chain took beyond its workers' work, through the mesh and past it.
	Added  Spans `json:"addedMs"`
	Direct Spans `json:"directMs"`
}

// CallsReport is what a series of calls found.
type CallsReport struct {
	Commit string      `json:"commit"`
	Mode   string      `json:"mode"`
	Cores  int         `json:"cores"`
	Points []CallPoint `json:"points"`
	Slopes []Slope     `json:"slopes"`

	added map[string]*hdrhistogram.Histogram
}

// CheckCalls lists what cannot be run.
func CheckCalls(given *schema.CallsOptions) options.Faults {
	var faults options.Faults
	for name, text := range map[string]string{"rates": given.Rates, "depths": given.Depths} {
		if _, err := wholes(text); err != nil {
			faults = append(faults, name+": "+err.Error())
		}
	}
	if depths, err := wholes(given.Depths); err == nil {
		for _, depth := range depths {
			if depth > depthMost {
				faults = append(faults, fmt.Sprintf("depths: %d is above %d", depth, depthMost))
			}
		}
	}
	return faults
}

// depthMost bounds a chain; each depth is a service of its own.
const depthMost = 64

// wholes reads whole numbers above 0, by comma.
func wholes(text string) ([]int, error) {
	var values []int
	for _, one := range options.SplitList(text) {
		value, err := strconv.Atoi(one)
		if err != nil || value < 1 {
			return nil, errs.New(errs.InvalidOptions, fmt.Sprintf("%q is not a whole number from 1 up", one))
		}
		values = append(values, value)
	}
	return values, nil
}

// chain is a fleet whose workers call each other in a row: service-0 calls service-1 and so on.
type chain struct {
	given   *schema.CallsOptions
	fleet   *Fleet
	workers []*Worker
	clients []*fasthttp.HostClient // the i-th worker's way to the next, through the mesh
	past    []*fasthttp.HostClient // and past it
	body    []byte
}

func newClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{Addr: address, MaxConns: chainConnsMost, MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
}

// chainConnsMost bounds the calls under way at one place of a chain.
const chainConnsMost = 4096

// callersOfChain are the callers with a listener at each proxy.
func callersOfChain(length int) []string {
	callers := []string{clientKind}
	for i := range length - 1 {
		callers = append(callers, serviceName(i))
	}
	return callers
}

// startChain brings up a core, proxies and a worker for each depth, at the proxies in turn.
func startChain(ctx context.Context, given *schema.CallsOptions, length int) (*chain, error) {
	core := &schema.HollowOptions{Seats: seedsMost, Zones: given.Edges, Mode: given.Mode, Lease: given.Lease, Folder: given.Folder, Binaries: given.Binaries,
		Members: given.Edges, Services: int64(length), Routes: int64(length)}
	fleet, err := newHollowCore(core)
	if err != nil {
		return nil, err
	}
	c := &chain{given: given, fleet: fleet, body: bytes.Repeat([]byte("x"), int(given.Body))}
	callers := callersOfChain(length)
	for i := range int(given.Edges) {
		settings, err := fleet.edgeSettings(given.Mode, i, callers, sourcesLeast)
		if err != nil {
			return c, err
		}
		made, err := fleet.process("proxy", settings["name"], callers, settings["probe-listen"], settings)
		if err != nil {
			return c, err
		}
		fleet.Proxies = append(fleet.Proxies, made)
	}
	for _, process := range fleet.All() {
		if err := process.Start(); err != nil {
			return c, err
		}
	}
	if err := AwaitReady(append(append([]*Process(nil), fleet.Stores...), fleet.Registries...), time.Minute+keyWindowLeases*fleet.lease); err != nil {
		return c, err
	}
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	operator := newHollowOperator(core, fleet, now)
	if err := operator.found(ctx); err != nil {
		return c, err
	}
	if err := AwaitReady(fleet.Proxies, time.Minute); err != nil {
		return c, err
	}
	for i := range length {
		edge := (i + 1) % int(given.Edges)
		worker, err := StartWorker(fmt.Sprintf("w%d", i), serviceName(i), versionOld, fleet.area(edge), fmt.Sprintf("%s:%d", fleet.edgeAt(edge), portWorker+i),
			fmt.Sprintf("%s:%d", fleet.edgeAt(edge), portWorkers), 0, &Ledger{}, now)
		if err != nil {
			return c, err
		}
		c.workers = append(c.workers, worker)
		// The i-th place is that of the caller of the i-th service: a client, then the workers.
		c.clients = append(c.clients, newClient(fmt.Sprintf("%s:%d", fleet.edgeAt(i%int(given.Edges)), portCallers+i)))
		c.past = append(c.past, newClient(worker.said.Address))
	}
	for i, worker := range c.workers {
		onward := func(call *fasthttp.RequestCtx) { c.work(i, call) }
		worker.onward.Store(&onward)
	}
	return c, awaitKnown(fleet.Proxies, length, time.Minute)
}

// edgeAt is the address of the i-th proxy as edgeSettings gives it.
func (f *Fleet) edgeAt(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.net, 2+i/edgesPerNet, 1+i%edgesPerNet)
}

// work is what the i-th worker does for an answer: its own work, then the calls inside.
func (c *chain) work(i int, call *fasthttp.RequestCtx) {
	begin := time.Now()
	time.Sleep(time.Duration(c.given.Work))
	worked := time.Since(begin)
	depth, _ := strconv.Atoi(string(call.Request.Header.Peek(depthHeader)))
	if depth > 1 {
		inside, err := c.call(i+1, depth-1, len(call.Request.Header.Peek(directHeader)) > 0)
		if err != nil {
			call.SetStatusCode(fasthttp.StatusBadGateway)
			return
		}
		worked += inside
	}
	call.Response.Header.Set(workHeader, strconv.FormatInt(int64(worked), 10))
}

// call makes the call of the i-th place and tells how long all workers inside it worked.
func (c *chain) call(i, depth int, direct bool) (time.Duration, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	client := c.clients[i]
	request.SetRequestURI("http://mesh/" + serviceName(i) + "/" + routeName(i))
	request.Header.Set(depthHeader, strconv.Itoa(depth))
	request.Header.Set("X-User", strconv.Itoa(depth))
	if direct {
		client = c.past[i]
		request.SetRequestURI("http://mesh" + directPath)
		request.Header.Set(directHeader, "1")
		request.Header.Set(dispatch.HeaderToken, c.workers[i].said.Token)
	}
	request.SetBody(c.body)
	if err := client.DoTimeout(request, response, callerTimeout); err != nil {
		return 0, errs.Wrap(err, errs.PeerConnectionLost, "call")
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return 0, errs.New(errs.InvalidResponse, strconv.Itoa(response.StatusCode()))
	}
	worked, err := strconv.ParseInt(string(response.Header.Peek(workHeader)), 10, 64)
	return time.Duration(worked), errs.Wrap(err, errs.InvalidResponse, "work")
}

// run makes chains at a rate for the length of a run.
func (c *chain) run(rate float64, depth int) (CallPoint, *hdrhistogram.Histogram) {
	point := CallPoint{Rate: rate, Depth: depth}
	added, past := newSpans(), newSpans()
	before := c.marks()
	var lock sync.Mutex
	var calling sync.WaitGroup
	begin := time.Now()
	answered := 0
	for sent := 0; time.Since(begin) < time.Duration(c.given.Length); sent++ {
		time.Sleep(time.Until(begin.Add(time.Duration(float64(sent) / rate * float64(time.Second)))))
		// One in so many goes past the mesh, for what the stand-ins themselves take.
		direct := sent%directOneIn == 0
		calling.Go(func() {
			asked := time.Now()
			worked, err := c.call(0, depth, direct)
			took := time.Since(asked)
			lock.Lock()
			defer lock.Unlock()
			switch {
			case err != nil:
				point.Failed++
			case direct:
				record(past, took-worked)
			default:
				answered += depth
				record(added, took-worked)
			}
		})
	}
	calling.Wait()
	seconds := time.Since(begin).Seconds()
	after := c.marks()
	point.Calls = float64(answered) / seconds
	for i := range after {
		used := (after[i].cpu - before[i].cpu) / seconds * 1000
		point.Proxies += used
		point.Bytes += float64(after[i].traffic.Out-before[i].traffic.Out) / seconds
		switch i {
		case 0:
			point.CallerSide = used
		case 1:
			point.WorkerSide = used
		}
	}
	point.Added, point.Direct = spansOf(added), spansOf(past)
	return point, added
}

// directOneIn is which part of chains goes past the mesh.
const directOneIn = 8

func (c *chain) marks() []probed {
	var taken []probed
	for _, process := range c.fleet.Proxies {
		taken = append(taken, process.look())
	}
	return taken
}

func (c *chain) stop() {
	for _, worker := range c.workers {
		worker.Kill()
	}
	c.fleet.Stop()
}

// RunCalls varies the rate and the depth of calls and fits what one costs.
func RunCalls(ctx context.Context, given *schema.CallsOptions, out io.Writer) (*CallsReport, error) {
	if faults := CheckCalls(given); len(faults) > 0 {
		return nil, faults
	}
	rates, _ := wholes(given.Rates)
	depths, _ := wholes(given.Depths)
	length := 1
	for _, depth := range depths {
		length = max(length, depth)
	}
	c, err := startChain(ctx, given, length)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return nil, err
	}
	// The first calls open links and warm the programs up.
	c.run(float64(given.Chains), length)
	report := &CallsReport{Commit: commitHere(), Mode: given.Mode, Cores: runtime.NumCPU(), added: map[string]*hdrhistogram.Histogram{}}
	for run := range int(given.Runs) {
		for i := range len(rates) + len(depths) {
			rate, depth := float64(given.Chains), 1
			if i < len(rates) {
				rate = float64(rates[i])
			} else {
				depth = depths[i-len(rates)]
			}
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			point, added := c.run(rate, depth)
			point.Run = run + 1
			report.Points = append(report.Points, point)
			fmt.Fprintf(out, "%g chains a second of depth %d: %.0f calls a second, %.3g ms of processor each in all proxies, %.2f ms added at p99, %d failed\n",
				rate, depth, point.Calls, point.Proxies/max(1, point.Calls), point.Added.P99, point.Failed)
			if name := fmt.Sprintf("depth %d, %g a second", depth, rate); report.added[name] == nil {
				report.added[name] = added
			} else {
				report.added[name].Merge(added)
			}
		}
	}
	report.fit(len(rates), len(depths))
	return report, nil
}

// fit makes the slopes: what calls of one hop cost by their number, and what a chain costs by
// its depth.
func (r *CallsReport) fit(rates, depths int) {
	costs := []struct {
		name  string
		adds  bool // up over the calls, so that a chain has its part
		sided bool // of one side of a call
		of    func(CallPoint) float64
	}{
		{"proxies cpu ms", true, false, func(p CallPoint) float64 { return p.Proxies }},
		{"caller side cpu ms", true, true, func(p CallPoint) float64 { return p.CallerSide }},
		{"worker side cpu ms", true, true, func(p CallPoint) float64 { return p.WorkerSide }},
		{"bytes sent", true, false, func(p CallPoint) float64 { return p.Bytes }},
		{"added ms, p50", false, false, func(p CallPoint) float64 { return p.Added.P50 }},
		{"added ms, p99", false, false, func(p CallPoint) float64 { return p.Added.P99 }},
		{"past the mesh ms, p50", false, false, func(p CallPoint) float64 { return p.Direct.P50 }},
		{"past the mesh ms, p99", false, false, func(p CallPoint) float64 { return p.Direct.P99 }},
	}
	const meshed = 1 - 1.0/directOneIn
	for _, cost := range costs {
		var byRate, byDepth []measured
		for i, point := range r.Points {
			switch value := cost.of(point); {
			case i%(rates+depths) < rates:
				byRate = append(byRate, measured{point.Rate * meshed, value})
			case cost.adds:
				byDepth = append(byDepth, measured{float64(point.Depth), value / (point.Rate * meshed)})
			default:
				byDepth = append(byDepth, measured{float64(point.Depth), value})
			}
		}
		per := map[bool][2]string{true: {" a second", " a chain"}}[cost.adds]
		r.Slopes = append(r.Slopes, fitSlope("calls a second", cost.name+per[0], byRate))
		// In a chain every proxy is on both sides.
		if !cost.sided {
			r.Slopes = append(r.Slopes, fitSlope("depth", cost.name+per[1], byDepth))
		}
	}
}

// Print shows the runs and the slopes.
func (r *CallsReport) Print(out io.Writer) {
	fmt.Fprintf(out, "%s mode, commit %s, %d cores\n\n| chains/s | depth | run | calls/s | failed | proxies cpu ms/s | caller side | worker side | bytes sent/s | added ms p50 / p99 | past the mesh ms p50 / p99 |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n", r.Mode, r.Commit, r.Cores)
	for _, p := range r.Points {
		fmt.Fprintf(out, "| %g | %d | %d | %.0f | %d | %s | %s | %s | %.0f | %.2f / %.2f | %.2f / %.2f |\n", p.Rate, p.Depth, p.Run, p.Calls, p.Failed, short(p.Proxies), short(p.CallerSide),
			short(p.WorkerSide), p.Bytes, p.Added.P50, p.Added.P99, p.Direct.P50, p.Direct.P99)
	}
	fmt.Fprintf(out, "\n| cost | by | slope | R² | spread of runs | foretold for the last |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, s := range r.Slopes {
		fmt.Fprintf(out, "| %s | %s | %s | %.3f | %.0f %% | %s, %+.0f %% |\n", s.Cost, s.Driver, s.Text(), s.Fit, 100*s.Spread, short(s.Predicted), 100*s.Off())
	}
}

// Write saves the report as JSON.
func (r *CallsReport) Write(file string) error {
	return writeReport(file, r)
}

// Draw writes plots of the slopes, and of what calls were added.
func (r *CallsReport) Draw(folder, form string) error {
	var lines []series
	for _, point := range r.Points {
		name := fmt.Sprintf("depth %d, %g a second", point.Depth, point.Rate)
		if held := r.added[name]; held != nil && point.Run == 1 && held.TotalCount() > 0 {
			lines = append(lines, series{name: name, points: quantileLine(held)})
		}
	}
	if err := draw(folder, form, "added", "what the mesh and the stand-ins add", "milliseconds", "per cent done within", lines, logAcross); err != nil {
		return err
	}
	for _, slope := range r.Slopes {
		line := series{name: slope.Text(), points: plotter.XYs{{X: 0, Y: slope.At(0)}, {X: max(1, slope.Out), Y: slope.At(max(1, slope.Out))}}}
		name := slope.Cost + " by " + slope.Driver
		if err := draw(folder, form, strings.ReplaceAll(name, "/", " a "), name, slope.Driver, slope.Cost, []series{line}, nil); err != nil {
			return err
		}
	}
	return nil
}
