package rehearsal

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
	Role        string  `json:"role"`
	Processes   int     `json:"processes"`
	CPU         float64 `json:"cpuMsPerSecond"`        // of one core, in thousandths
	CPULargest  float64 `json:"cpuMsPerSecondLargest"` // of the processes
	In          float64 `json:"bytesInPerSecond"`
	Out         float64 `json:"bytesOutPerSecond"`
	Begun       float64 `json:"begunPerSecond"`    // greetings and sessions begun, of a member; of a registry's row, all that it took
	Messages    float64 `json:"messagesPerSecond"` // with the core, either way; of the core, with whoever calls it
	Memory      float64 `json:"memoryMB"`          // resident at the end; of a member, its part of the heap and stacks
	Heap        float64 `json:"heapMB"`
	Disk        float64 `json:"diskKB"`
	Written     float64 `json:"writtenBytesPerSecond"`
	LinksOpened float64 `json:"linksOpenedPerSecond"`
	Served      Rates   `json:"messagesPerSecondByCall,omitempty"`
}

// Rates are numbers a second by name.
type Rates map[string]float64

// Spans are the quantiles of a histogram, in milliseconds.
type Spans struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func spansOf(from *hdrhistogram.Histogram) Spans {
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return Spans{from.TotalCount(), millis(from.ValueAtQuantile(50)), millis(from.ValueAtQuantile(90)), millis(from.ValueAtQuantile(99)), millis(from.Max())}
}

// HollowReport is what a run of hollow members found.
type HollowReport struct {
	Options *schema.HollowOptions `json:"options"`
	Commit  string                `json:"commit"`
	Cores   int                   `json:"cores"` // of this machine
	Seconds float64               `json:"seconds"`
	Roles   []RoleCost            `json:"roles"`

	Acknowledge Spans          `json:"acknowledge"` // from stated to acknowledged
	Apply       Spans          `json:"apply"`       // from acknowledged to in use, at each member
	Everywhere  Spans          `json:"everywhere"`  // from stated to in use at every member
	Stale       Spans          `json:"stale"`       // since a member last knew its picture to be the newest
	News        Spans          `json:"news"`        // from a change of a member's workers to its being known, at each other member
	Back        Spans          `json:"back"`        // from a restart to a setup in use
	Moved       Spans          `json:"moved"`       // from the loss of a member's registry to a session with another
	Late        Spans          `json:"late"`        // by how much this process itself was woken late: the machine's doing
	Unapplied   int            `json:"unapplied"`   // changes that some member had not taken into use at the end
	Rulings     map[string]int `json:"rulings"`
	Restarts    int            `json:"restarts"`
	Losses      int            `json:"losses"`    // of core machines and of zones
	Items       int            `json:"items"`     // in the setup
	ItemBytes   int            `json:"itemBytes"` // of their bodies, names and versions
	Lines       []HollowLine   `json:"lines"`

	histograms map[string]*hdrhistogram.Histogram
}

// HollowLine is what the roles took in one stretch of a run.
type HollowLine struct {
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
	memoryPart        = 2         // this part of the machine's memory may be taken
)

// CheckHollow lists what in the settings cannot be run here, beyond the bounds of each.
func CheckHollow(given *schema.HollowOptions) options.Faults {
	return checkHollow(given, memoryHere(), filesMost())
}

// checkHollow is CheckHollow for a machine of so much memory, and of so many files to a process.
func checkHollow(given *schema.HollowOptions, memory int64, files uint64) options.Faults {
	var faults options.Faults
	if given.Releases > given.Services {
		faults = append(faults, fmt.Sprintf("releases: %d are more than the %d services", given.Releases, given.Services))
	}
	if given.Reach > given.Routes {
		faults = append(faults, fmt.Sprintf("reach: %d are more than the %d routes", given.Reach, given.Routes))
	}
	if given.Workers > 0 && given.Workers < given.Services {
		faults = append(faults, fmt.Sprintf("workers: %d leave some of the %d services without one", given.Workers, given.Services))
	}
	losses := given.CoresLost + given.ZonesLost
	if need := time.Duration(losses*lossLeases) * time.Duration(given.Lease); need > time.Duration(given.Length) {
		faults = append(faults, fmt.Sprintf("length: %v are too short for %d losses, which take %v", time.Duration(given.Length), losses, need))
	}
	if losses > 0 && given.Restarts > 0 {
		faults = append(faults, "restarts: cannot be run together with cores-lost and zones-lost")
	}
	if given.CoresLost > 0 && given.Seats < seatsToLose {
		faults = append(faults, fmt.Sprintf("cores-lost: of %d seats none can be lost", given.Seats))
	}
	if need, have := hollowNeed(given), memory/memoryPart; memory > 0 && need > have {
		faults = append(faults, fmt.Sprintf("members: %d with this setup need about %d MB, and half of this machine's memory is %d MB", given.Members, need>>20, have>>20))
	}
	if need := uint64(given.Members*(given.Seats+1)*linksEach) + filesBesides; need > files {
		faults = append(faults, fmt.Sprintf("members: %d need about %d open files, and %d are allowed", given.Members, need, files))
	}
	return faults
}

// Files that a run holds open: links of a member to each seat at once, and all else.
const (
	linksEach    = 2
	filesBesides = 256
)

func hollowNeed(given *schema.HollowOptions) int64 {
	workers := max(given.Workers, given.Members)
	return given.Members*(memberBytes+workers*memberWorkerBytes+given.Routes*memberRouteBytes) + given.Seats*coreBytes
}

// memoryHere is the machine's memory in bytes, 0 if it is not known.
func memoryHere() int64 {
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}

func filesMost() uint64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return limit.Cur
}

// commitHere is the commit that this program was built from.
func commitHere() string {
	built, known := debug.ReadBuildInfo()
	if !known {
		return ""
	}
	values := map[string]string{}
	for _, one := range built.Settings {
		values[one.Key] = one.Value
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
func RunHollow(ctx context.Context, given *schema.HollowOptions, out io.Writer) (*HollowReport, error) {
	if faults := CheckHollow(given); len(faults) > 0 {
		return nil, faults
	}
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	say := func(format string, values ...any) {
		fmt.Fprintf(out, "%6.1f s  "+format+"\n", append([]any{now().Seconds()}, values...)...)
	}
	core, err := newHollowCore(given)
	if err != nil {
		return nil, err
	}
	defer core.Stop()
	for _, process := range core.All() {
		if err := process.Start(); err != nil {
			return nil, err
		}
	}
	patience := time.Minute + keyWindowLeases*core.lease
	if err := AwaitReady(core.All(), patience); err != nil {
		return nil, err
	}
	say("core of %d seats is ready", given.Seats)
	operator := newHollowOperator(given, core, now)
	if err := operator.found(ctx); err != nil {
		return nil, err
	}
	say("setup of %d services and %d routes is founded", given.Services, given.Routes)
	if err := core.addReal(given); err != nil {
		return nil, err
	}
	for _, process := range core.Proxies {
		if err := process.Start(); err != nil {
			return nil, err
		}
	}
	memoryBefore := memoryHeld()
	fleet, err := newHollowFleet(given, core, now)
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
	var living sync.WaitGroup
	living.Go(func() { fleet.keepBeating(stop) })
	defer living.Wait()
	stopped := sync.OnceFunc(func() { close(stop) })
	defer stopped()
	workers := max(int(given.Workers), int(given.Members))
	if err := fleet.awaitJoined(ctx, operator.newest, workers, patience+time.Duration(given.Members)*memberPatience); err != nil {
		return nil, err
	}
	say("%d members know the setup and all %d workers", given.Members, workers)
	if !pause(ctx, time.Duration(given.Settle)) {
		return nil, ctx.Err()
	}

	operator.lock.Lock()
	operator.stated = nil
	operator.lock.Unlock()
	fleet.measuring.Store(true)
	living.Go(func() { operator.keepChanging(stop) })
	living.Go(func() { fleet.keepRestarting(stop) })
	living.Go(func() { fleet.keepLosing(stop) })
	living.Go(func() { fleet.keepLooking(stop) })
	late := newSpans()
	living.Go(func() { keepWatch(stop, late) })
	report := &HollowReport{Options: given, Commit: commitHere(), Cores: runtime.NumCPU()}
	first := takeMarks(core, fleet)
	last, said := first, now()
	// By what the marks say: on a busy machine the first alone may take longer than the whole run.
	for last.at-first.at < time.Duration(given.Length) {
		if !pause(ctx, min(time.Duration(given.Length)/linesLeast, lineMost)) {
			return nil, ctx.Err()
		}
		next := takeMarks(core, fleet)
		report.Lines = append(report.Lines, lineBetween(given, first.at, last, next))
		last = next
		if now()-said >= progressEvery {
			said = now()
			say("%.0f of %.0f s measured", (now() - first.at).Seconds(), time.Duration(given.Length).Seconds())
		}
	}
	report.Seconds = (last.at - first.at).Seconds()
	fleet.measuring.Store(false)
	stopped()
	living.Wait()
	// What was stated last is given the time to come into use.
	for waited := now(); now()-waited < applyMost && !fleet.has(operator.newestSetup()) && pause(ctx, joinCheck); {
	}
	report.Roles = costsBetween(given, first, last)
	report.Roles[0].Memory = float64(memoryHeld()-memoryBefore) / float64(given.Members) / (1 << 20)
	report.Roles[0].Heap = report.Roles[0].Memory
	report.take(operator, fleet)
	report.Late = spansOf(late)
	if state := core.itemsShown(); state != nil {
		report.Items, report.ItemBytes = state.items, state.bytes
	}
	return report, nil
}

// watchEvery is how often it is looked whether this process runs when it should.
const watchEvery = 10 * time.Millisecond

// keepWatch notes how late this process is woken. What a machine too busy does to it, it does to
// all that is measured.
func keepWatch(stop <-chan struct{}, late *hdrhistogram.Histogram) {
	for {
		slept := time.Now()
		select {
		case <-stop:
			return
		case <-time.After(watchEvery):
			record(late, time.Since(slept)-watchEvery)
		}
	}
}

// pause waits, and tells whether it was not cut short.
func pause(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// Ratios and bounds of a run.
const (
	linesLeast     = 10 // stretches in a run, at the least
	lineMost       = 2 * time.Second
	memberPatience = 200 * time.Millisecond
	applyMost      = 8 * time.Second
)

// memoryHeld is what this process holds on its heap and stacks once garbage is gone, and with it
// what ended a moment ago.
func memoryHeld() int64 {
	held := int64(0)
	for range memoryLooks {
		runtime.GC()
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		now := int64(memory.HeapAlloc + memory.StackInuse)
		if held > 0 && now > held-held/memorySettled {
			return now
		}
		held = now
		time.Sleep(joinCheck)
	}
	return held
}

// How often memory is looked at until it no longer falls, by this part.
const (
	memoryLooks   = 50
	memorySettled = 200
)

// marks are all counters at a time.
type marks struct {
	at      time.Duration
	own     float64 // processor seconds of this process
	members probed
	core    []probed
}

func takeMarks(core *Fleet, fleet *hollowFleet) marks {
	taken := marks{at: fleet.now(), own: cpuOf(os.Getpid())}
	taken.members.traffic = fleet.traffic()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	taken.members.heapKB = int((memory.HeapAlloc + memory.StackInuse) >> 10)
	for _, process := range core.All() {
		taken.core = append(taken.core, process.look())
	}
	return taken
}

func lineBetween(given *schema.HollowOptions, began time.Duration, from, to marks) HollowLine {
	seconds := (to.at - from.at).Seconds()
	line := HollowLine{At: (to.at - began).Seconds(), CPU: map[string]float64{}, Memory: map[string]float64{}}
	line.CPU["proxy"] = (to.own - from.own) / seconds * 1000 / float64(given.Members)
	line.Memory["proxy"] = float64(to.members.heapKB) / 1024 / float64(given.Members)
	for i, one := range to.core {
		line.CPU[one.role] = max(line.CPU[one.role], (one.cpu-from.core[i].cpu)/seconds*1000)
		line.Memory[one.role] = max(line.Memory[one.role], float64(one.memoryKB)/1024)
	}
	return line
}

// costsBetween makes the table of roles, the members' row first.
func costsBetween(given *schema.HollowOptions, from, to marks) []RoleCost {
	seconds := (to.at - from.at).Seconds()
	members := float64(given.Members)
	// A counter that fell is of a process that could not be read.
	rate := func(from, to uint64) float64 { return float64(max(to, from)-from) / seconds }
	rows := []RoleCost{{Role: "proxy", Processes: int(given.Members), CPU: (to.own - from.own) / seconds * 1000 / members,
		In: rate(from.members.traffic.In, to.members.traffic.In) / members, Out: rate(from.members.traffic.Out, to.members.traffic.Out) / members,
		LinksOpened: rate(from.members.traffic.Opened, to.members.traffic.Opened) / members}}
	rows[0].CPULargest = rows[0].CPU
	byRole := map[string]*RoleCost{}
	for i, after := range to.core {
		before := from.core[i]
		row := byRole[after.role]
		if row == nil {
			row = &RoleCost{Role: after.role, Served: Rates{}}
			byRole[after.role] = row
		}
		// A process that was killed meanwhile counts from its start.
		used := max(after.cpu-before.cpu, 0) / seconds * 1000
		row.Processes++
		row.CPU += used
		row.CPULargest = max(row.CPULargest, used)
		row.In += rate(before.traffic.In, after.traffic.In)
		row.Out += rate(before.traffic.Out, after.traffic.Out)
		row.LinksOpened += rate(before.traffic.Opened, after.traffic.Opened)
		row.Written += rate(before.written, after.written)
		row.Memory += float64(after.memoryKB) / 1024
		row.Heap += float64(after.heapKB) / 1024
		row.Disk += float64(after.diskKB)
		for _, call := range beginnings {
			row.Begun += rate(before.traffic.Served[call], after.traffic.Served[call])
		}
		for call, count := range after.traffic.Messages {
			row.Served[call] += rate(before.traffic.Messages[call], count)
			row.Messages += rate(before.traffic.Messages[call], count)
		}
	}
	for _, role := range slices.Sorted(maps.Keys(byRole)) {
		row := byRole[role]
		processes := float64(row.Processes)
		for _, figure := range []*float64{&row.CPU, &row.In, &row.Out, &row.Messages, &row.LinksOpened, &row.Written, &row.Memory, &row.Heap, &row.Disk} {
			*figure /= processes
		}
		for call := range row.Served {
			row.Served[call] /= processes
		}
		rows = append(rows, *row)
		if role == "registry" {
			for _, call := range callsOfMembers {
				rows[0].Messages += row.Served[call] * processes / members
			}
			rows[0].Begun = row.Begun / members
		}
	}
	return rows
}

// beginnings are the calls by which a session begins, be it the first or restated.
var beginnings = []string{"/meadowhinge.Registry/Greet", "/meadowhinge.Registry/Attend"}

// callsOfMembers are what proxies ask of registries; of the sessions a few are registries' own.
var callsOfMembers = []string{"/meadowhinge.Registry/Lease", "/meadowhinge.Registry/Feed", "/meadowhinge.Registry/Tell", "/meadowhinge.Registry/Claim",
	"/meadowhinge.Registry/Greet", "/meadowhinge.Registry/Attend"}

// take fills in what became of the changes.
func (r *HollowReport) take(operator *hollowOperator, fleet *hollowFleet) {
	acknowledge, apply, everywhere := newSpans(), newSpans(), newSpans()
	operator.lock.Lock()
	defer operator.lock.Unlock()
	for _, change := range operator.stated {
		if change.acknowledged == 0 {
			r.Unapplied++
			continue
		}
		record(acknowledge, change.acknowledged-change.stated)
		last, all := time.Duration(0), true
		for _, member := range fleet.members {
			member.lock.Lock()
			// Setups come into use in order, but for those of an earlier life, which were as new then.
			first := sort.Search(len(member.applied), func(i int) bool { return member.applied[i].setup >= change.setup })
			if first == len(member.applied) {
				all = false
			} else {
				record(apply, member.applied[first].at-change.acknowledged)
				last = max(last, member.applied[first].at)
			}
			member.lock.Unlock()
		}
		if all {
			record(everywhere, last-change.stated)
		} else {
			r.Unapplied++
		}
	}
	r.Acknowledge, r.Apply, r.Everywhere = spansOf(acknowledge), spansOf(apply), spansOf(everywhere)
	r.Stale, r.News, r.Back, r.Moved = spansOf(fleet.staleness), spansOf(fleet.news), spansOf(fleet.backs), spansOf(fleet.moves)
	r.Rulings, r.Restarts, r.Losses = maps.Clone(operator.rulings), fleet.restarts, fleet.losses
	r.histograms = map[string]*hdrhistogram.Histogram{"stated to acknowledged": acknowledge, "acknowledged to in use, each member": apply,
		"stated to in use everywhere": everywhere, "age of members' pictures": fleet.staleness, "news of workers, each member": fleet.news}
}

type shownState struct{ items, bytes int }

// itemsShown counts the items of the setup at the first seat.
func (f *Fleet) itemsShown() *shownState {
	response, err := probes.Get("http://" + f.Operator(0) + "/v1/setup")
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
	state := &shownState{items: len(shown.Items)}
	for _, item := range shown.Items {
		state.bytes += len(item)
	}
	return state
}

// Print shows the report to a person.
func (r *HollowReport) Print(out io.Writer) {
	g := r.Options
	fmt.Fprintf(out, "%s: %d members, %d workers, %d services, %d routes, %d seats, %g changes and %g restarts a minute, %d releases, %.0f s, commit %s\n",
		g.Mode, g.Members, max(g.Workers, g.Members), g.Services, g.Routes, g.Seats, g.Changes, g.Restarts, g.Releases, r.Seconds, r.Commit)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "role\tprocesses\tcpu ms/s\tlargest\tbytes in/s\tbytes out/s\tmessages/s\tlinks opened/s\tMB\theap MB\tdisk KB\twritten B/s\t")
	for _, row := range r.Roles {
		fmt.Fprintf(table, "%s\t%d\t%.2f\t%.2f\t%.0f\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t\n", row.Role, row.Processes, row.CPU, row.CPULargest, row.In, row.Out, row.Messages,
			row.LinksOpened, row.Memory, row.Heap, row.Disk, row.Written)
	}
	table.Flush()
	for _, row := range r.Roles {
		if len(row.Served) > 0 {
			var parts []string
			for _, call := range slices.Sorted(maps.Keys(row.Served)) {
				parts = append(parts, fmt.Sprintf("%s %.2f", filepath.Base(call), row.Served[call]))
			}
			fmt.Fprintf(out, "%s, messages a second by call: %s\n", row.Role, strings.Join(parts, ", "))
		}
	}
	fmt.Fprintf(out, "setup: %d items of %d bytes; changes %v, %d not in use everywhere at the end; %d restarts, %d losses\n", r.Items, r.ItemBytes, r.Rulings, r.Unapplied, r.Restarts, r.Losses)
	for _, one := range []struct {
		name  string
		spans Spans
	}{{"stated to acknowledged", r.Acknowledge}, {"acknowledged to in use, each member", r.Apply}, {"stated to in use everywhere", r.Everywhere},
		{"age of members' pictures", r.Stale}, {"news of workers, each member", r.News}, {"restarted to setup in use", r.Back}, {"registry lost to another session", r.Moved},
		{"this process was woken late by", r.Late}} {
		fmt.Fprintf(out, "%-36s ms: p50 %.1f, p90 %.1f, p99 %.1f, max %.1f (%d)\n", one.name, one.spans.P50, one.spans.P90, one.spans.P99, one.spans.Max, one.spans.Count)
	}
}

// Write saves the report as JSON.
func (r *HollowReport) Write(file string) error {
	return writeReport(file, r)
}
