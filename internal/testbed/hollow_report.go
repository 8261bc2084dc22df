package testbed

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"runtime/debug"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"meadowhinge/schema"
)

// RoleCost holds the costs of the processes of one role. The hollow members have the role "proxy", and each counts as a
// process. Values are means over the processes of the role unless noted otherwise.
type RoleCost struct {
	Role       string  `json:"role"`
	Processes  int     `json:"processes"`             // number of processes
	CPU        float64 `json:"cpuMsPerSecond"`        // CPU usage in thousandths of a core
	CPULargest float64 `json:"cpuMsPerSecondLargest"` // largest CPU usage of a process; for members the same as CPU
	BytesIn    float64 `json:"bytesInPerSecond"`      // bytes received by RPC per second
	BytesOut   float64 `json:"bytesOutPerSecond"`     // bytes sent by RPC per second
	// SessionsBegun is the number of sessions that all processes of the role together accepted per second. For members it
	// is the number that registries accepted, divided by the number of members.
	SessionsBegun float64 `json:"begunPerSecond"`
	// Messages is the number of RPC messages per second in both directions. For members these are the messages with the
	// core; for processes of the core, those with all their callers.
	Messages float64 `json:"messagesPerSecond"`
	// MemoryMB is the resident memory at the end of the run. For members it is the growth of this process's heap and
	// stacks, divided by the number of members.
	MemoryMB          float64     `json:"memoryMB"`
	HeapMB            float64     `json:"heapMB"`                            // heap of the Go runtime; for members the same as MemoryMB
	DiskKB            float64     `json:"diskKB"`                            // size of the data folder at the end of the run
	BytesWritten      float64     `json:"writtenBytesPerSecond"`             // bytes written to disk per second
	ConnectionsOpened float64     `json:"linksOpenedPerSecond"`              // connections opened per second
	MessagesByCall    RatesByName `json:"messagesPerSecondByCall,omitempty"` // Messages by RPC
}

// RatesByName holds rates per second by name.
type RatesByName map[string]float64

// HollowReport is the result of a hollow run.
type HollowReport struct {
	Options *schema.HollowOptions `json:"options"`
	Commit  string                `json:"commit"`  // commit of this program; see buildCommit
	Cores   int                   `json:"cores"`   // number of CPU cores of this machine
	Seconds float64               `json:"seconds"` // duration of the measurement
	Roles   []RoleCost            `json:"roles"`   // hollow members first, then the other roles in alphabetical order

	Acknowledge       LatencySummary `json:"acknowledge"` // time from the submission of a change to its acknowledgement
	Applied           LatencySummary `json:"apply"`       // time from the acknowledgement of a change to its application by each member
	AppliedEverywhere LatencySummary `json:"everywhere"`  // time from the submission of a change to its application by the last member
	Staleness         LatencySummary `json:"stale"`       // staleness of members' views; see measureStaleness
	WorkerUpdates     LatencySummary `json:"news"`        // time from an update of a member's workers to its arrival at each other member
	Recovery          LatencySummary `json:"back"`        // time from the restart of a member to its first application of a configuration
	RegistryFailover  LatencySummary `json:"moved"`       // time from the loss of a member's registry to its session with another
	WakeupDelay       LatencySummary `json:"late"`        // time by which this process's timers fire late; it shows the load of the machine
	Unapplied         int            `json:"unapplied"`   // number of accepted changes not acknowledged or not applied by all
	Rulings           map[string]int `json:"rulings"`     // number of changes by ruling, including the initial configuration
	Restarts          int            `json:"restarts"`    // number of restarts of members
	InjectedLosses    int            `json:"losses"`      // number of losses of core machines and of zones
	Items             int            `json:"items"`       // number of items in the configuration
	ItemBytes         int            `json:"itemBytes"`   // size of these items as JSON: bodies, names and versions

	Timeline []HollowInterval `json:"lines"` // usage in each interval of the run

	histograms map[string]*hdrhistogram.Histogram // latencies for plots, by the names that Print shows
}

// HollowInterval is the usage of each role in one interval of a run.
type HollowInterval struct {
	At float64 `json:"at"` // end of the interval, in seconds since the measurement began
	// CPU is the CPU usage by role in thousandths of a core: that of the largest process, or the mean over the members.
	CPU map[string]float64 `json:"cpuMsPerSecond"`
	// Memory is the memory by role in MB: that of the largest process, or the mean over the members.
	Memory map[string]float64 `json:"memoryMB"`
}

// buildCommit returns the commit from which this program was built, with a note if there were uncommitted changes; empty
// if it is unknown.
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

// fillChanges fills in the latencies of changes and the figures that the operator and the fleet recorded.
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
			// The search needs ascending revisions. Only a restart may set a member back to an older one, and the entries
			// before the restart were as new as the configuration was at that time.
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
	r.Acknowledge = summarizeLatency(acknowledge)
	r.Applied = summarizeLatency(apply)
	r.AppliedEverywhere = summarizeLatency(everywhere)
	r.Staleness = summarizeLatency(fleet.staleness)
	r.WorkerUpdates = summarizeLatency(fleet.workerUpdates)
	r.Recovery = summarizeLatency(fleet.recoveries)
	r.RegistryFailover = summarizeLatency(fleet.failovers)
	r.Rulings = maps.Clone(operator.rulings)
	r.Restarts = fleet.restarts
	r.InjectedLosses = fleet.losses
	r.histograms = map[string]*hdrhistogram.Histogram{
		"stated to acknowledged":              acknowledge,
		"acknowledged to in use, each member": apply,
		"stated to in use everywhere":         everywhere,
		"age of members' pictures":            fleet.staleness,
		"news of workers, each member":        fleet.workerUpdates,
	}
}

// configSize is the size of a configuration: the number of its items and their total size as JSON.
type configSize struct{ items, bytes int }

// configSize reads the configuration at the first core member and returns its size; nil if it can't be read.
func (f *Fleet) configSize() *configSize {
	response, err := probeClient.Get("http://" + f.OperatorAddress(0) + "/v1/setup")
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }() // the response is only read
	var view struct {
		Items []json.RawMessage `json:"items"`
	}
	if json.NewDecoder(response.Body).Decode(&view) != nil {
		return nil
	}
	size := &configSize{items: len(view.Items)}
	for _, item := range view.Items {
		size.bytes += len(item)
	}
	return size
}

// Print writes the report as readable text.
func (r *HollowReport) Print(out io.Writer) {
	opts := r.Options
	printf(out, "%s: %d members, %d workers, %d services, %d routes, %d seats, %g changes and %g restarts a minute, %d releases, %.0f s, commit %s\n",
		opts.Mode, opts.Members, max(opts.Workers, opts.Members), opts.Services, opts.Routes, opts.Seats, opts.Changes, opts.Restarts, opts.Releases, r.Seconds, r.Commit)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	printLine(table, "role\tprocesses\tcpu ms/s\tlargest\tbytes in/s\tbytes out/s\tmessages/s\tlinks opened/s\tMB\theap MB\tdisk KB\twritten B/s\t")
	for _, row := range r.Roles {
		printf(table, "%s\t%d\t%.2f\t%.2f\t%.0f\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t\n",
			row.Role, row.Processes, row.CPU, row.CPULargest, row.BytesIn, row.BytesOut,
			row.Messages, row.ConnectionsOpened, row.MemoryMB, row.HeapMB, row.DiskKB, row.BytesWritten)
	}
	_ = table.Flush() // fails only with out, as in printf
	for _, row := range r.Roles {
		if len(row.MessagesByCall) > 0 {
			var parts []string
			for _, call := range slices.Sorted(maps.Keys(row.MessagesByCall)) {
				parts = append(parts, fmt.Sprintf("%s %.2f", filepath.Base(call), row.MessagesByCall[call]))
			}
			printf(out, "%s, messages a second by call: %s\n", row.Role, strings.Join(parts, ", "))
		}
	}
	printf(out, "setup: %d items of %d bytes; changes %v, %d not in use everywhere at the end; %d restarts, %d losses\n",
		r.Items, r.ItemBytes, r.Rulings, r.Unapplied, r.Restarts, r.InjectedLosses)
	for _, row := range []struct {
		name    string
		latency LatencySummary
	}{
		{"stated to acknowledged", r.Acknowledge},
		{"acknowledged to in use, each member", r.Applied},
		{"stated to in use everywhere", r.AppliedEverywhere},
		{"age of members' pictures", r.Staleness},
		{"news of workers, each member", r.WorkerUpdates},
		{"restarted to setup in use", r.Recovery},
		{"registry lost to another session", r.RegistryFailover},
		{"this process was woken late by", r.WakeupDelay},
	} {
		l := row.latency
		printf(out, "%-36s ms: p50 %.1f, p90 %.1f, p99 %.1f, max %.1f (%d)\n", row.name, l.P50, l.P90, l.P99, l.Max, l.Count)
	}
}

// Write writes the report to a file as JSON. It fails with errs.DiskFailed.
func (r *HollowReport) Write(file string) error {
	return writeReport(file, r)
}
