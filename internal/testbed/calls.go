package testbed

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
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

// Headers between the callers and workers of a chain of calls.
const (
	remainingDepthHeader = "X-Depth"  // request: depth of the chain from this call on, 1 for the last call
	workedNanosHeader    = "X-Work"   // response: total work of this worker and all nested ones, in nanoseconds
	directHeader         = "X-Direct" // request: set on calls that bypass the mesh
)

// CallPoint holds the costs of calls in one run with a constant rate and depth.
type CallPoint struct {
	Rate     float64 `json:"rate"`           // chains begun per second, including those that bypass the mesh
	Depth    int     `json:"depth"`          // number of nested calls in each chain
	Run      int     `json:"run"`            // number of the run among those of the same rate and depth, from 1
	CallRate float64 `json:"callsPerSecond"` // answered calls through the mesh per second, counting each call of a chain
	Failed   int     `json:"failed"`         // number of failed chains
	// ProxiesCPU is the CPU usage of all proxies together, in thousandths of a core.
	ProxiesCPU float64 `json:"proxiesCpuMsPerSecond"`
	// CallerSideCPU is the CPU usage of the first caller's proxy, in thousandths of a core.
	CallerSideCPU float64 `json:"callerSideCpuMsPerSecond"`
	// WorkerSideCPU is the CPU usage of the first worker's proxy, in thousandths of a core.
	WorkerSideCPU float64 `json:"workerSideCpuMsPerSecond"`
	BytesSent     float64 `json:"bytesPerSecond"` // bytes that the proxies sent to each other and to registries per second
	// AddedLatency is the time that chains through the mesh took in addition to the work of their workers.
	AddedLatency LatencySummary `json:"addedMs"`
	// DirectLatency is the same for chains that bypass the mesh.
	DirectLatency LatencySummary `json:"directMs"`
}

// CallsReport is the result of a series of runs of chains of calls.
type CallsReport struct {
	Commit string      `json:"commit"` // commit of this program; see buildCommit
	Mode   string      `json:"mode"`   // mode of the fleet
	Cores  int         `json:"cores"`  // number of CPU cores of this machine
	Points []CallPoint `json:"points"` // runs, in the order in which they were made
	Slopes []Slope     `json:"slopes"` // growth of each cost with the rate of calls and with the depth of chains

	addedByLoad map[string]*hdrhistogram.Histogram // latencies of CallPoint.AddedLatency, by depth and rate
}

// ValidateCalls returns the faults of the settings beyond the bounds of each; none if the series can be run.
func ValidateCalls(opts *schema.CallsOptions) options.Faults {
	var faults options.Faults
	for name, text := range map[string]string{"rates": opts.Rates, "depths": opts.Depths} {
		if _, err := parsePositiveInts(text); err != nil {
			faults = append(faults, name+": "+err.Error())
		}
	}
	if depths, err := parsePositiveInts(opts.Depths); err == nil {
		for _, depth := range depths {
			if depth > maxDepth {
				faults = append(faults, fmt.Sprintf("depths: %d is above %d", depth, maxDepth))
			}
		}
	}
	return faults
}

// maxDepth is the largest depth of a chain. Each depth needs a service of its own.
const maxDepth = 64

// parsePositiveInts parses a list of integers of at least 1, separated by commas. It fails with errs.InvalidOptions.
func parsePositiveInts(text string) ([]int, error) {
	var values []int
	for _, field := range options.SplitList(text) {
		value, err := strconv.Atoi(field)
		if err != nil || value < 1 {
			return nil, errs.New(errs.InvalidOptions, fmt.Sprintf("%q is not a whole number from 1 up", field))
		}
		values = append(values, value)
	}
	return values, nil
}

// callChain is a fleet whose workers call each other in a chain: a client calls service-0, which calls service-1, and so
// on. Caller 0 is the client; caller i+1 is the worker of service i.
type callChain struct {
	opts          *schema.CallsOptions
	fleet         *Fleet
	workers       []*Worker              // worker of each service
	meshClients   []*fasthttp.HostClient // client of each caller for calls through the mesh
	directClients []*fasthttp.HostClient // client of each caller for calls that bypass the mesh
	body          []byte                 // body of each request
}

// newChainClient returns an HTTP client that never retries.
func newChainClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  maxChainConns,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// maxChainConns bounds the calls in flight of one caller of a chain.
const maxChainConns = 4096

// chainCallers returns the names of the callers of a chain of the given length. Each has a listener at each proxy.
func chainCallers(length int) []string {
	callers := []string{clientCaller}
	for i := range length - 1 {
		callers = append(callers, serviceName(i))
	}
	return callers
}

// startChain brings up a core, proxies, and one worker for each depth; the workers are spread over the proxies. After an
// error it returns the incomplete chain, which must be stopped, or nil if nothing was started.
func startChain(ctx context.Context, opts *schema.CallsOptions, length int) (*callChain, error) {
	coreOptions := &schema.HollowOptions{
		Seats:    maxSeeds,
		Zones:    opts.Edges,
		Mode:     opts.Mode,
		Lease:    opts.Lease,
		Folder:   opts.Folder,
		Binaries: opts.Binaries,
		Members:  opts.Edges,
		Services: int64(length),
		Routes:   int64(length),
	}
	fleet, err := newHollowCore(coreOptions)
	if err != nil {
		return nil, err
	}
	c := &callChain{opts: opts, fleet: fleet, body: bytes.Repeat([]byte("x"), int(opts.Body))}
	if err := fleet.addProxies(opts.Mode, 0, int(opts.Edges), chainCallers(length), minSources); err != nil {
		return c, err
	}
	if err := startAll(fleet.Processes()); err != nil {
		return c, err
	}
	core := slices.Concat(fleet.Stores, fleet.Registries)
	//nolint:contextcheck // AwaitReady has its own timeout; ending it with ctx would change what interrupted runs do
	if err := AwaitReady(core, readyTimeout+keyWindowLeases*fleet.lease); err != nil {
		return c, err
	}
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	if err := newHollowOperator(coreOptions, fleet, now).submitInitialConfig(ctx); err != nil {
		return c, err
	}
	//nolint:contextcheck // AwaitReady has its own timeout, as for the core
	if err := AwaitReady(fleet.Proxies, readyTimeout); err != nil {
		return c, err
	}
	if err := c.startWorkers(length, now); err != nil {
		return c, err
	}
	return c, awaitWorkerDiscovery(fleet.Proxies, length, readyTimeout)
}

// startWorkers starts the workers of a chain and makes the clients of their callers. The workers begin to make nested
// calls only when all of them have been started.
func (c *callChain) startWorkers(length int, now func() time.Duration) error {
	edges := int(c.opts.Edges)
	for i := range length {
		edge := (i + 1) % edges
		worker, err := StartWorker(WorkerOptions{
			Name:                fmt.Sprintf("w%d", i),
			Service:             serviceName(i),
			Version:             versionOld,
			Zone:                c.fleet.zone(edge),
			Address:             fmt.Sprintf("%s:%d", c.fleet.spacedEdgeAddress(edge), portWorker+i),
			RegistrationAddress: fmt.Sprintf("%s:%d", c.fleet.spacedEdgeAddress(edge), portWorkerAPI),
		}, &History{}, now)
		if err != nil {
			return err
		}
		c.workers = append(c.workers, worker)
		// Caller i calls service i through its proxy, which is the proxy of the worker of service i-1.
		callerAddress := fmt.Sprintf("%s:%d", c.fleet.spacedEdgeAddress(i%edges), portCallers+i)
		c.meshClients = append(c.meshClients, newChainClient(callerAddress))
		c.directClients = append(c.directClients, newChainClient(worker.description.Address))
	}
	for i, worker := range c.workers {
		onRequest := func(call *fasthttp.RequestCtx) { c.simulateWork(i, call) }
		worker.onRequest.Store(&onRequest)
	}
	return nil
}

// spacedEdgeAddress returns the IP address of the i-th proxy of a hollow or chain fleet. Unlike edgeAddress, it allows
// for more than 254 proxies.
func (f *Fleet) spacedEdgeAddress(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.netOctet, 2+i/edgesPerNet, 1+i%edgesPerNet)
}

// simulateWork does the work of the i-th worker for a request, then makes the nested call, if there is one. It reports
// the total work in the response, or status 502 if the nested call failed.
func (c *callChain) simulateWork(i int, call *fasthttp.RequestCtx) {
	begin := time.Now()
	time.Sleep(time.Duration(c.opts.Work))
	worked := time.Since(begin)
	depth, _ := strconv.Atoi(string(call.Request.Header.Peek(remainingDepthHeader)))
	if depth > 1 {
		nested, err := c.call(i+1, depth-1, len(call.Request.Header.Peek(directHeader)) > 0)
		if err != nil {
			call.SetStatusCode(fasthttp.StatusBadGateway)
			return
		}
		worked += nested
	}
	call.Response.Header.Set(workedNanosHeader, strconv.FormatInt(int64(worked), 10))
}

// call makes the call of the i-th caller with a chain of the given depth, through the mesh or, with direct, without it.
// It returns the total work of all workers of the chain.
func (c *callChain) call(i, depth int, direct bool) (time.Duration, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	client := c.meshClients[i]
	request.SetRequestURI("http://mesh/" + serviceName(i) + "/" + routeName(i))
	request.Header.Set(remainingDepthHeader, strconv.Itoa(depth))
	request.Header.Set("X-User", strconv.Itoa(depth))
	if direct {
		client = c.directClients[i]
		request.SetRequestURI("http://mesh" + directPath)
		request.Header.Set(directHeader, "1")
		request.Header.Set(dispatch.HeaderToken, c.workers[i].description.Token)
	}
	request.SetBody(c.body)
	if err := client.DoTimeout(request, response, callerTimeout); err != nil {
		return 0, errs.Wrap(err, errs.PeerConnectionLost, fmt.Sprintf("no response from %s at %s", serviceName(i), client.Addr))
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return 0, errs.New(errs.InvalidResponse,
			fmt.Sprintf("%s at %s answered with status %d, want 200", serviceName(i), client.Addr, response.StatusCode()))
	}
	worked, err := strconv.ParseInt(string(response.Header.Peek(workedNanosHeader)), 10, 64)
	return time.Duration(worked), errs.Wrap(err, errs.InvalidResponse, "cannot parse the response header "+workedNanosHeader)
}

// measureLoad begins chains at a constant rate, in chains per second, for the length of a run. It returns the costs and
// the latencies that CallPoint.AddedLatency sums up.
func (c *callChain) measureLoad(rate float64, depth int) (CallPoint, *hdrhistogram.Histogram) {
	point := CallPoint{Rate: rate, Depth: depth}
	meshLatency, directLatency := newLatencyHistogram(), newLatencyHistogram()
	before := c.readCounters()
	var lock sync.Mutex
	var calling sync.WaitGroup
	begin := time.Now()
	answered := 0
	for sent := 0; time.Since(begin) < time.Duration(c.opts.Length); sent++ {
		time.Sleep(time.Until(begin.Add(time.Duration(float64(sent) / rate * float64(time.Second)))))
		// Chains that bypass the mesh measure the latency of the callers and workers themselves.
		direct := sent%directChainInterval == 0
		calling.Go(func() {
			started := time.Now()
			worked, err := c.call(0, depth, direct)
			elapsed := time.Since(started)
			lock.Lock()
			defer lock.Unlock()
			switch {
			case err != nil:
				point.Failed++
			case direct:
				recordLatency(directLatency, elapsed-worked)
			default:
				answered += depth
				recordLatency(meshLatency, elapsed-worked)
			}
		})
	}
	calling.Wait()
	seconds := time.Since(begin).Seconds()
	after := c.readCounters()
	point.CallRate = float64(answered) / seconds
	for i := range after {
		used := (after[i].cpuSeconds - before[i].cpuSeconds) / seconds * 1000
		point.ProxiesCPU += used
		point.BytesSent += float64(after[i].traffic.BytesSent-before[i].traffic.BytesSent) / seconds
		switch i {
		case 0:
			point.CallerSideCPU = used
		case 1:
			point.WorkerSideCPU = used
		}
	}
	point.AddedLatency = summarizeLatency(meshLatency)
	point.DirectLatency = summarizeLatency(directLatency)
	return point, meshLatency
}

// directChainInterval determines which chains bypass the mesh: the first of each directChainInterval chains.
const directChainInterval = 8

// readCounters reads the counters of all proxies.
func (c *callChain) readCounters() []processCounters {
	var counters []processCounters
	for _, process := range c.fleet.Proxies {
		counters = append(counters, process.readCounters())
	}
	return counters
}

// stop ends the workers, then the fleet.
func (c *callChain) stop() {
	for _, worker := range c.workers {
		worker.Kill()
	}
	c.fleet.Stop()
}

// RunCalls measures chains of calls at each rate with depth 1, and at each depth with the base rate, and fits the growth
// of each cost with rate and depth. It writes progress to out. It fails with options.Faults for invalid settings, with
// the error of bringing up the fleet, or with ctx's error.
func RunCalls(ctx context.Context, opts *schema.CallsOptions, out io.Writer) (*CallsReport, error) {
	if faults := ValidateCalls(opts); len(faults) > 0 {
		return nil, faults
	}
	// ValidateCalls has checked both lists, so they parse.
	rates, _ := parsePositiveInts(opts.Rates)
	depths, _ := parsePositiveInts(opts.Depths)
	length := 1
	for _, depth := range depths {
		length = max(length, depth)
	}
	c, err := startChain(ctx, opts, length)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return nil, err
	}
	// The first run is a warm-up: it opens connections and is not recorded.
	c.measureLoad(float64(opts.Chains), length)
	report := &CallsReport{Commit: buildCommit(), Mode: opts.Mode, Cores: runtime.NumCPU(), addedByLoad: map[string]*hdrhistogram.Histogram{}}
	for run := range int(opts.Runs) {
		for i := range len(rates) + len(depths) {
			rate, depth := float64(opts.Chains), 1
			if i < len(rates) {
				rate = float64(rates[i])
			} else {
				depth = depths[i-len(rates)]
			}
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			point, added := c.measureLoad(rate, depth)
			point.Run = run + 1
			report.Points = append(report.Points, point)
			printf(out, "%g chains a second of depth %d: %.0f calls a second, %.3g ms of processor each in all proxies, %.2f ms added at p99, %d failed\n",
				rate, depth, point.CallRate, point.ProxiesCPU/max(1, point.CallRate), point.AddedLatency.P99, point.Failed)
			if name := fmt.Sprintf("depth %d, %g a second", depth, rate); report.addedByLoad[name] == nil {
				report.addedByLoad[name] = added
			} else {
				report.addedByLoad[name].Merge(added)
			}
		}
	}
	report.fit(len(rates), len(depths))
	return report, nil
}

// fit computes the slopes: the costs of calls of depth 1 by their rate, and the costs of a chain by its depth. rates and
// depths are the numbers of rates and depths; r.Points repeats a run for each rate followed by a run for each depth.
func (r *CallsReport) fit(rates, depths int) {
	costs := []struct {
		name     string
		additive bool // the cost is a sum over all chains, so it is divided by their rate to get the cost of one chain
		oneSided bool // the cost is that of one proxy only, the first caller's or the first worker's
		value    func(CallPoint) float64
	}{
		{"proxies cpu ms", true, false, func(p CallPoint) float64 { return p.ProxiesCPU }},
		{"caller side cpu ms", true, true, func(p CallPoint) float64 { return p.CallerSideCPU }},
		{"worker side cpu ms", true, true, func(p CallPoint) float64 { return p.WorkerSideCPU }},
		{"bytes sent", true, false, func(p CallPoint) float64 { return p.BytesSent }},
		{"added ms, p50", false, false, func(p CallPoint) float64 { return p.AddedLatency.P50 }},
		{"added ms, p99", false, false, func(p CallPoint) float64 { return p.AddedLatency.P99 }},
		{"past the mesh ms, p50", false, false, func(p CallPoint) float64 { return p.DirectLatency.P50 }},
		{"past the mesh ms, p99", false, false, func(p CallPoint) float64 { return p.DirectLatency.P99 }},
	}
	const meshRatio = 1 - 1.0/directChainInterval // fraction of the chains that go through the mesh
	for _, cost := range costs {
		var byRate, byDepth []costSample
		for i, point := range r.Points {
			switch value := cost.value(point); {
			case i%(rates+depths) < rates:
				byRate = append(byRate, costSample{point.Rate * meshRatio, value})
			case cost.additive:
				byDepth = append(byDepth, costSample{float64(point.Depth), value / (point.Rate * meshRatio)})
			default:
				byDepth = append(byDepth, costSample{float64(point.Depth), value})
			}
		}
		units := map[bool][2]string{true: {" a second", " a chain"}}[cost.additive]
		r.Slopes = append(r.Slopes, fitSlope("calls a second", cost.name+units[0], byRate))
		// In a chain a proxy is on both sides of calls, so one-sided costs have no slope by depth.
		if !cost.oneSided {
			r.Slopes = append(r.Slopes, fitSlope("depth", cost.name+units[1], byDepth))
		}
	}
}

// Print writes the runs and the slopes as Markdown tables.
func (r *CallsReport) Print(out io.Writer) {
	printf(out, "%s mode, commit %s, %d cores\n\n"+
		"| chains/s | depth | run | calls/s | failed | proxies cpu ms/s | caller side | worker side | bytes sent/s | added ms p50 / p99 | past the mesh ms p50 / p99 |\n"+
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n", r.Mode, r.Commit, r.Cores)
	for _, p := range r.Points {
		printf(out, "| %g | %d | %d | %.0f | %d | %s | %s | %s | %.0f | %.2f / %.2f | %.2f / %.2f |\n",
			p.Rate, p.Depth, p.Run, p.CallRate, p.Failed,
			formatShort(p.ProxiesCPU), formatShort(p.CallerSideCPU), formatShort(p.WorkerSideCPU), p.BytesSent,
			p.AddedLatency.P50, p.AddedLatency.P99, p.DirectLatency.P50, p.DirectLatency.P99)
	}
	printf(out, "\n| cost | by | slope | R² | spread of runs | foretold for the last |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, s := range r.Slopes {
		printf(out, "| %s | %s | %s | %.3f | %.0f %% | %s, %+.0f %% |\n",
			s.Cost, s.Driver, s.Formula(), s.RSquared, 100*s.RelativeSpread, formatShort(s.Predicted), 100*s.RelativeError())
	}
}

// Write writes the report to a file as JSON. It fails with errs.DiskFailed.
func (r *CallsReport) Write(file string) error {
	return writeReport(file, r)
}

// WritePlots writes plots of the slopes and of the latency that the mesh adds to a folder; see writePlot on the format.
func (r *CallsReport) WritePlots(folder, format string) error {
	var lines []plotSeries
	for _, point := range r.Points {
		name := fmt.Sprintf("depth %d, %g a second", point.Depth, point.Rate)
		if histogram := r.addedByLoad[name]; histogram != nil && point.Run == 1 && histogram.TotalCount() > 0 {
			lines = append(lines, plotSeries{name: name, points: quantileCurve(histogram)})
		}
	}
	const title = "what the mesh and the stand-ins add"
	if err := writePlot(folder, format, "added", title, "milliseconds", "per cent done within", lines, logScaleX); err != nil {
		return err
	}
	for _, slope := range r.Slopes {
		end := max(1, slope.HeldOut)
		line := plotSeries{
			name:   slope.Formula(),
			points: plotter.XYs{{X: 0, Y: slope.Predict(0)}, {X: end, Y: slope.Predict(end)}},
		}
		name := slope.Cost + " by " + slope.Driver
		if err := writePlot(folder, format, strings.ReplaceAll(name, "/", " a "), name, slope.Driver, slope.Cost, []plotSeries{line}, nil); err != nil {
			return err
		}
	}
	return nil
}
