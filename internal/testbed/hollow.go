package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"meadowhinge/internal/options"
	"meadowhinge/schema"
)

// RoleCost is what the processes of a role cost: means of one process unless it says largest.
type RoleCost struct {
	Role              string      `json:"role"`
	Processes         int         `json:"processes"`
	CPU               float64     `json:"cpuMsPerSecond"`        // of one core, in thousandths
	CPULargest        float64     `json:"cpuMsPerSecondLargest"` // of the processes
	BytesIn           float64     `json:"bytesInPerSecond"`
	BytesOut          float64     `json:"bytesOutPerSecond"`
	SessionsBegun     float64     `json:"begunPerSecond"`    // greetings and sessions begun, of a member; of a registry's row, all that it took
	Messages          float64     `json:"messagesPerSecond"` // with the core, either way; of the core, with whoever calls it
	MemoryMB          float64     `json:"memoryMB"`          // resident at the end; of a member, its part of the heap and stacks
	HeapMB            float64     `json:"heapMB"`
	DiskKB            float64     `json:"diskKB"`
	BytesWritten      float64     `json:"writtenBytesPerSecond"`
	ConnectionsOpened float64     `json:"linksOpenedPerSecond"`
	MessagesByCall    RatesByName `json:"messagesPerSecondByCall,omitempty"`
}

// RatesByName are numbers a second by name.
type RatesByName map[string]float64

// LatencySummary are the quantiles of a histogram, in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func summarizeLatency(from *hdrhistogram.Histogram) LatencySummary {
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return LatencySummary{from.TotalCount(), millis(from.ValueAtQuantile(50)), millis(from.ValueAtQuantile(90)), millis(from.ValueAtQuantile(99)), millis(from.Max())}
}

// HollowReport is what a run of hollow members found.
type HollowReport struct {
	Options *schema.HollowOptions `json:"options"`
	Commit  string                `json:"commit"`
	Cores   int                   `json:"cores"` // of this machine
	Seconds float64               `json:"seconds"`
	Roles   []RoleCost            `json:"roles"`

	Acknowledge       LatencySummary   `json:"acknowledge"` // from stated to acknowledged
	Applied           LatencySummary   `json:"apply"`       // from acknowledged to in use, at each member
	AppliedEverywhere LatencySummary   `json:"everywhere"`  // from stated to in use at every member
	Staleness         LatencySummary   `json:"stale"`       // since a member last knew its picture to be the newest
	WorkerUpdates     LatencySummary   `json:"news"`        // from a change of a member's workers to its being known, at each other member
	Recovery          LatencySummary   `json:"back"`        // from a restart to a setup in use
	RegistryFailover  LatencySummary   `json:"moved"`       // from the loss of a member's registry to a session with another
	WakeupDelay       LatencySummary   `json:"late"`        // by how much this process itself was woken late: the machine's doing
	Unapplied         int              `json:"unapplied"`   // changes that some member had not taken into use at the end
	Rulings           map[string]int   `json:"rulings"`
	Restarts          int              `json:"restarts"`
	InjectedLosses    int              `json:"losses"`    // of core machines and of zones
	Items             int              `json:"items"`     // in the setup
	ItemBytes         int              `json:"itemBytes"` // of their bodies, names and versions
	Timeline          []HollowInterval `json:"lines"`

	histograms map[string]*hdrhistogram.Histogram
}

// HollowInterval is what the roles took in one stretch of a run.
type HollowInterval struct {
	At     float64            `json:"at"`
	CPU    map[string]float64 `json:"cpuMsPerSecond"` // by role, of its largest process; of members the mean
	Memory map[string]float64 `json:"memoryMB"`
}

// What members take of memory, from the slopes in docs/CAPACITY.md, and what stands besides.
const (
	memberBytes       = 700 << 10 // of a member that knows of nothing
	memberWorkerBytes = 1200      // of each worker that it knows of
	memberRouteBytes  = 3 << 10   // of each route that it has
	coreBytes         = 256 << 20 // of a registry and its store
	memoryDivisor     = 2         // this part of the machine's memory may be taken
)

// ValidateHollow lists what in the settings cannot be run here, beyond the bounds of each.
func ValidateHollow(opts *schema.HollowOptions) options.Faults {
	return validateHollow(opts, machineMemory(), maxOpenFiles())
}

// validateHollow is ValidateHollow for a machine of so much memory, and of so many files to a process.
func validateHollow(opts *schema.HollowOptions, memory int64, files uint64) options.Faults {
	var faults options.Faults
	if opts.Releases > opts.Services {
		faults = append(faults, fmt.Sprintf("releases: %d are more than the %d services", opts.Releases, opts.Services))
	}
	if opts.Reach > opts.Routes {
		faults = append(faults, fmt.Sprintf("reach: %d are more than the %d routes", opts.Reach, opts.Routes))
	}
	if opts.Workers > 0 && opts.Workers < opts.Services {
		faults = append(faults, fmt.Sprintf("workers: %d leave some of the %d services without one", opts.Workers, opts.Services))
	}
	losses := opts.CoresLost + opts.ZonesLost
	if need := time.Duration(losses*leasesPerLoss) * time.Duration(opts.Lease); need > time.Duration(opts.Length) {
		faults = append(faults, fmt.Sprintf("length: %v are too short for %d losses, which take %v", time.Duration(opts.Length), losses, need))
	}
	if losses > 0 && opts.Restarts > 0 {
		faults = append(faults, "restarts: cannot be run together with cores-lost and zones-lost")
	}
	if opts.CoresLost > 0 && opts.Seats < minMembersForLoss {
		faults = append(faults, fmt.Sprintf("cores-lost: of %d seats none can be lost", opts.Seats))
	}
	if need, have := requiredMemory(opts), memory/memoryDivisor; memory > 0 && need > have {
		faults = append(faults, fmt.Sprintf("members: %d with this setup need about %d MB, and half of this machine's memory is %d MB", opts.Members, need>>20, have>>20))
	}
	if need := uint64(opts.Members*(opts.Seats+1)*connsPerMember) + reservedFiles; need > files {
		faults = append(faults, fmt.Sprintf("members: %d need about %d open files, and %d are allowed", opts.Members, need, files))
	}
	return faults
}

// Files that a run holds open: links of a member to each seat at once, and all else.
const (
	connsPerMember = 2
	reservedFiles  = 256
)

func requiredMemory(opts *schema.HollowOptions) int64 {
	workers := max(opts.Workers, opts.Members)
	return opts.Members*(memberBytes+workers*memberWorkerBytes+opts.Routes*memberRouteBytes) + opts.Seats*coreBytes
}

// machineMemory is the machine's memory in bytes, 0 if it is not known.
func machineMemory() int64 {
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}

func maxOpenFiles() uint64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return limit.Cur
}

// buildCommit is the commit that this program was built from.
func buildCommit() string {
	info, found := debug.ReadBuildInfo()
	if !found {
		return ""
	}
	values := map[string]string{}
	for _, setting := range info.Settings {
		values[setting.Key] = setting.Value
	}
	commit := values["vcs.revision"]
	if values["vcs.modified"] == "true" {
		commit += " with changes"
	}
	return commit
}

// progressEvery is how often a run says how far it is.
const progressEvery = 10 * time.Second

// RunHollow brings a real core and hollow members up, lets them live, and measures.
func RunHollow(ctx context.Context, opts *schema.HollowOptions, out io.Writer) (*HollowReport, error) {
	if faults := ValidateHollow(opts); len(faults) > 0 {
		return nil, faults
	}
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	logf := func(format string, values ...any) {
		fmt.Fprintf(out, "%6.1f s  "+format+"\n", append([]any{now().Seconds()}, values...)...)
	}
	core, err := newHollowCore(opts)
	if err != nil {
		return nil, err
	}
	defer core.Stop()
	for _, process := range core.Processes() {
		if err := process.Start(); err != nil {
			return nil, err
		}
	}
	patience := time.Minute + keyWindowLeases*core.lease
	if err := AwaitReady(core.Processes(), patience); err != nil {
		return nil, err
	}
	logf("core of %d seats is ready", opts.Seats)
	operator := newHollowOperator(opts, core, now)
	if err := operator.submitInitialConfig(ctx); err != nil {
		return nil, err
	}
	logf("setup of %d services and %d routes is founded", opts.Services, opts.Routes)
	if err := core.addRealProxies(opts); err != nil {
		return nil, err
	}
	for _, process := range core.Proxies {
		if err := process.Start(); err != nil {
			return nil, err
		}
	}
	memoryBefore := settledMemory()
	fleet, err := newHollowFleet(opts, core, now)
	if err != nil {
		return nil, err
	}
	defer fleet.end()
	for _, member := range fleet.members {
		if err := fleet.join(member); err != nil {
			return nil, err
		}
	}
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() { fleet.heartbeatLoop(stop) })
	defer tasks.Wait()
	stopped := sync.OnceFunc(func() { close(stop) })
	defer stopped()
	workers := max(int(opts.Workers), int(opts.Members))
	if err := fleet.awaitJoined(ctx, operator.newestRevision, workers, patience+time.Duration(opts.Members)*joinTimeoutPerMember); err != nil {
		return nil, err
	}
	logf("%d members know the setup and all %d workers", opts.Members, workers)
	if !sleepContext(ctx, time.Duration(opts.Settle)) {
		return nil, ctx.Err()
	}

	operator.lock.Lock()
	operator.submitted = nil
	operator.lock.Unlock()
	fleet.measuring.Store(true)
	tasks.Go(func() { operator.changeLoop(stop) })
	tasks.Go(func() { fleet.restartLoop(stop) })
	tasks.Go(func() { fleet.lossLoop(stop) })
	tasks.Go(func() { fleet.measureStaleness(stop) })
	wakeupDelay := newLatencyHistogram()
	tasks.Go(func() { measureWakeupDelay(stop, wakeupDelay) })
	report := &HollowReport{Options: opts, Commit: buildCommit(), Cores: runtime.NumCPU()}
	first := takeCounterSnapshot(core, fleet)
	last, lastProgress := first, now()
	// By what the marks say: on a busy machine the first alone may take longer than the whole run.
	for last.at-first.at < time.Duration(opts.Length) {
		if !sleepContext(ctx, min(time.Duration(opts.Length)/minIntervals, maxInterval)) {
			return nil, ctx.Err()
		}
		next := takeCounterSnapshot(core, fleet)
		report.Timeline = append(report.Timeline, intervalBetween(opts, first.at, last, next))
		last = next
		if now()-lastProgress >= progressEvery {
			lastProgress = now()
			logf("%.0f of %.0f s measured", (now() - first.at).Seconds(), time.Duration(opts.Length).Seconds())
		}
	}
	report.Seconds = (last.at - first.at).Seconds()
	fleet.measuring.Store(false)
	stopped()
	tasks.Wait()
	// What was stated last is given the time to come into use.
	for waited := now(); now()-waited < applyTimeout && !fleet.allApplied(operator.newestAccepted()) && sleepContext(ctx, joinPoll); {
	}
	report.Roles = costsBetween(opts, first, last)
	report.Roles[0].MemoryMB = float64(settledMemory()-memoryBefore) / float64(opts.Members) / (1 << 20)
	report.Roles[0].HeapMB = report.Roles[0].MemoryMB
	report.fillChanges(operator, fleet)
	report.WakeupDelay = summarizeLatency(wakeupDelay)
	if state := core.configSize(); state != nil {
		report.Items, report.ItemBytes = state.items, state.bytes
	}
	return report, nil
}

// wakeupInterval is how often it is looked whether this process runs when it should.
const wakeupInterval = 10 * time.Millisecond

// measureWakeupDelay notes how late this process is woken. What a machine too busy does to it, it does to
// all that is measured.
func measureWakeupDelay(stop <-chan struct{}, histogram *hdrhistogram.Histogram) {
	for {
		slept := time.Now()
		select {
		case <-stop:
			return
		case <-time.After(wakeupInterval):
			recordLatency(histogram, time.Since(slept)-wakeupInterval)
		}
	}
}

// sleepContext waits, and tells whether it was not cut short.
func sleepContext(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// Ratios and bounds of a run.
const (
	minIntervals         = 10 // stretches in a run, at the least
	maxInterval          = 2 * time.Second
	joinTimeoutPerMember = 200 * time.Millisecond
	applyTimeout         = 8 * time.Second
)

// settledMemory is what this process holds on its heap and stacks once garbage is gone, and with it
// what ended a moment ago.
func settledMemory() int64 {
	previous := int64(0)
	for range maxMemoryReads {
		runtime.GC()
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		current := int64(memory.HeapAlloc + memory.StackInuse)
		if previous > 0 && current > previous-previous/settledDivisor {
			return current
		}
		previous = current
		time.Sleep(joinPoll)
	}
	return previous
}

// How often memory is looked at until it no longer falls, by this part.
const (
	maxMemoryReads = 50
	settledDivisor = 200
)

// counterSnapshot are all counters at a time.
type counterSnapshot struct {
	at      time.Duration
	own     float64 // processor seconds of this process
	members processCounters
	core    []processCounters
}

func takeCounterSnapshot(core *Fleet, fleet *hollowFleet) counterSnapshot {
	snapshot := counterSnapshot{at: fleet.now(), own: cpuSecondsOf(os.Getpid())}
	snapshot.members.traffic = fleet.traffic()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	snapshot.members.heapKB = int((memory.HeapAlloc + memory.StackInuse) >> 10)
	for _, process := range core.Processes() {
		snapshot.core = append(snapshot.core, process.readCounters())
	}
	return snapshot
}

func intervalBetween(opts *schema.HollowOptions, began time.Duration, from, to counterSnapshot) HollowInterval {
	seconds := (to.at - from.at).Seconds()
	interval := HollowInterval{At: (to.at - began).Seconds(), CPU: map[string]float64{}, Memory: map[string]float64{}}
	interval.CPU["proxy"] = (to.own - from.own) / seconds * 1000 / float64(opts.Members)
	interval.Memory["proxy"] = float64(to.members.heapKB) / 1024 / float64(opts.Members)
	for i, process := range to.core {
		interval.CPU[process.role] = max(interval.CPU[process.role], (process.cpuSeconds-from.core[i].cpuSeconds)/seconds*1000)
		interval.Memory[process.role] = max(interval.Memory[process.role], float64(process.memoryKB)/1024)
	}
	return interval
}

// costsBetween makes the table of roles, the members' row first.
func costsBetween(opts *schema.HollowOptions, from, to counterSnapshot) []RoleCost {
	seconds := (to.at - from.at).Seconds()
	members := float64(opts.Members)
	// A counter that fell is of a process that could not be read.
	rate := func(from, to uint64) float64 { return float64(max(to, from)-from) / seconds }
	rows := []RoleCost{{Role: "proxy", Processes: int(opts.Members), CPU: (to.own - from.own) / seconds * 1000 / members,
		BytesIn: rate(from.members.traffic.In, to.members.traffic.In) / members, BytesOut: rate(from.members.traffic.Out, to.members.traffic.Out) / members,
		ConnectionsOpened: rate(from.members.traffic.Opened, to.members.traffic.Opened) / members}}
	rows[0].CPULargest = rows[0].CPU
	byRole := map[string]*RoleCost{}
	for i, after := range to.core {
		before := from.core[i]
		row := byRole[after.role]
		if row == nil {
			row = &RoleCost{Role: after.role, MessagesByCall: RatesByName{}}
			byRole[after.role] = row
		}
		// A process that was killed meanwhile counts from its start.
		used := max(after.cpuSeconds-before.cpuSeconds, 0) / seconds * 1000
		row.Processes++
		row.CPU += used
		row.CPULargest = max(row.CPULargest, used)
		row.BytesIn += rate(before.traffic.In, after.traffic.In)
		row.BytesOut += rate(before.traffic.Out, after.traffic.Out)
		row.ConnectionsOpened += rate(before.traffic.Opened, after.traffic.Opened)
		row.BytesWritten += rate(before.bytesWritten, after.bytesWritten)
		row.MemoryMB += float64(after.memoryKB) / 1024
		row.HeapMB += float64(after.heapKB) / 1024
		row.DiskKB += float64(after.diskKB)
		for _, call := range sessionStartCalls {
			row.SessionsBegun += rate(before.traffic.Served[call], after.traffic.Served[call])
		}
		for call, count := range after.traffic.Messages {
			row.MessagesByCall[call] += rate(before.traffic.Messages[call], count)
			row.Messages += rate(before.traffic.Messages[call], count)
		}
	}
	for _, role := range slices.Sorted(maps.Keys(byRole)) {
		row := byRole[role]
		processes := float64(row.Processes)
		for _, figure := range []*float64{&row.CPU, &row.BytesIn, &row.BytesOut, &row.Messages, &row.ConnectionsOpened, &row.BytesWritten, &row.MemoryMB, &row.HeapMB, &row.DiskKB} {
			*figure /= processes
		}
		for call := range row.MessagesByCall {
			row.MessagesByCall[call] /= processes
		}
		rows = append(rows, *row)
		if role == "registry" {
			for _, call := range proxyCalls {
				rows[0].Messages += row.MessagesByCall[call] * processes / members
			}
			rows[0].SessionsBegun = row.SessionsBegun / members
		}
	}
	return rows
}

// sessionStartCalls are the calls by which a session begins, be it the first or restated.
var sessionStartCalls = []string{"/meadowhinge.Registry/Greet", "/meadowhinge.Registry/Attend"}

// proxyCalls are what proxies ask of registries; of the sessions a few are registries' own.
var proxyCalls = []string{"/meadowhinge.Registry/Lease", "/meadowhinge.Registry/Feed", "/meadowhinge.Registry/Tell", "/meadowhinge.Registry/Claim",
	"/meadowhinge.Registry/Greet", "/meadowhinge.Registry/Attend"}

// fillChanges fills in what became of the changes.
func (r *HollowReport) fillChanges(operator *hollowOperator, fleet *hollowFleet) {
	acknowledge, apply, everywhere := newLatencyHistogram(), newLatencyHistogram(), newLatencyHistogram()
	operator.lock.Lock()
	defer operator.lock.Unlock()
	for _, change := range operator.submitted {
		if change.acknowledgedAt == 0 {
			r.Unapplied++
			continue
		}
		recordLatency(acknowledge, change.acknowledgedAt-change.submittedAt)
		last, all := time.Duration(0), true
		for _, member := range fleet.members {
			member.lock.Lock()
			// Setups come into use in order, but for those of an earlier life, which were as new then.
			first := sort.Search(len(member.applied), func(i int) bool { return member.applied[i].revision >= change.revision })
			if first == len(member.applied) {
				all = false
			} else {
				recordLatency(apply, member.applied[first].at-change.acknowledgedAt)
				last = max(last, member.applied[first].at)
			}
			member.lock.Unlock()
		}
		if all {
			recordLatency(everywhere, last-change.submittedAt)
		} else {
			r.Unapplied++
		}
	}
	r.Acknowledge, r.Applied, r.AppliedEverywhere = summarizeLatency(acknowledge), summarizeLatency(apply), summarizeLatency(everywhere)
	r.Staleness, r.WorkerUpdates, r.Recovery, r.RegistryFailover = summarizeLatency(fleet.staleness), summarizeLatency(fleet.workerUpdates), summarizeLatency(fleet.recoveries), summarizeLatency(fleet.failovers)
	r.Rulings, r.Restarts, r.InjectedLosses = maps.Clone(operator.rulings), fleet.restarts, fleet.losses
	r.histograms = map[string]*hdrhistogram.Histogram{"stated to acknowledged": acknowledge, "acknowledged to in use, each member": apply,
		"stated to in use everywhere": everywhere, "age of members' pictures": fleet.staleness, "news of workers, each member": fleet.workerUpdates}
}

type configSize struct{ items, bytes int }

// configSize counts the items of the setup at the first seat.
func (f *Fleet) configSize() *configSize {
	response, err := probeClient.Get("http://" + f.OperatorAddress(0) + "/v1/setup")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var shown struct {
		Items []json.RawMessage `json:"items"`
	}
	if json.NewDecoder(response.Body).Decode(&shown) != nil {
		return nil
	}
	state := &configSize{items: len(shown.Items)}
	for _, item := range shown.Items {
		state.bytes += len(item)
	}
	return state
}

// Print shows the report to a person.
func (r *HollowReport) Print(out io.Writer) {
	opts := r.Options
	fmt.Fprintf(out, "%s: %d members, %d workers, %d services, %d routes, %d seats, %g changes and %g restarts a minute, %d releases, %.0f s, commit %s\n",
		opts.Mode, opts.Members, max(opts.Workers, opts.Members), opts.Services, opts.Routes, opts.Seats, opts.Changes, opts.Restarts, opts.Releases, r.Seconds, r.Commit)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "role\tprocesses\tcpu ms/s\tlargest\tbytes in/s\tbytes out/s\tmessages/s\tlinks opened/s\tMB\theap MB\tdisk KB\twritten B/s\t")
	for _, row := range r.Roles {
		fmt.Fprintf(table, "%s\t%d\t%.2f\t%.2f\t%.0f\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t\n", row.Role, row.Processes, row.CPU, row.CPULargest, row.BytesIn, row.BytesOut, row.Messages,
			row.ConnectionsOpened, row.MemoryMB, row.HeapMB, row.DiskKB, row.BytesWritten)
	}
	table.Flush()
	for _, row := range r.Roles {
		if len(row.MessagesByCall) > 0 {
			var parts []string
			for _, call := range slices.Sorted(maps.Keys(row.MessagesByCall)) {
				parts = append(parts, fmt.Sprintf("%s %.2f", filepath.Base(call), row.MessagesByCall[call]))
			}
			fmt.Fprintf(out, "%s, messages a second by call: %s\n", row.Role, strings.Join(parts, ", "))
		}
	}
	fmt.Fprintf(out, "setup: %d items of %d bytes; changes %v, %d not in use everywhere at the end; %d restarts, %d losses\n", r.Items, r.ItemBytes, r.Rulings, r.Unapplied, r.Restarts, r.InjectedLosses)
	for _, line := range []struct {
		name  string
		spans LatencySummary
	}{{"stated to acknowledged", r.Acknowledge}, {"acknowledged to in use, each member", r.Applied}, {"stated to in use everywhere", r.AppliedEverywhere},
		{"age of members' pictures", r.Staleness}, {"news of workers, each member", r.WorkerUpdates}, {"restarted to setup in use", r.Recovery}, {"registry lost to another session", r.RegistryFailover},
		{"this process was woken late by", r.WakeupDelay}} {
		fmt.Fprintf(out, "%-36s ms: p50 %.1f, p90 %.1f, p99 %.1f, max %.1f (%d)\n", line.name, line.spans.P50, line.spans.P90, line.spans.P99, line.spans.Max, line.spans.Count)
	}
}

// Write saves the report as JSON.
func (r *HollowReport) Write(file string) error {
	return writeReport(file, r)
}
