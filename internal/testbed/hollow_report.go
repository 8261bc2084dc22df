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
	defer func() { _ = response.Body.Close() }() // the response is only read
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
	printf(out, "%s: %d members, %d workers, %d services, %d routes, %d seats, %g changes and %g restarts a minute, %d releases, %.0f s, commit %s\n",
		opts.Mode, opts.Members, max(opts.Workers, opts.Members), opts.Services, opts.Routes, opts.Seats, opts.Changes, opts.Restarts, opts.Releases, r.Seconds, r.Commit)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	printLine(table, "role\tprocesses\tcpu ms/s\tlargest\tbytes in/s\tbytes out/s\tmessages/s\tlinks opened/s\tMB\theap MB\tdisk KB\twritten B/s\t")
	for _, row := range r.Roles {
		printf(table, "%s\t%d\t%.2f\t%.2f\t%.0f\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t\n", row.Role, row.Processes, row.CPU, row.CPULargest, row.BytesIn, row.BytesOut, row.Messages,
			row.ConnectionsOpened, row.MemoryMB, row.HeapMB, row.DiskKB, row.BytesWritten)
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
	printf(out, "setup: %d items of %d bytes; changes %v, %d not in use everywhere at the end; %d restarts, %d losses\n", r.Items, r.ItemBytes, r.Rulings, r.Unapplied, r.Restarts, r.InjectedLosses)
	for _, line := range []struct {
		name  string
		spans LatencySummary
	}{{"stated to acknowledged", r.Acknowledge}, {"acknowledged to in use, each member", r.Applied}, {"stated to in use everywhere", r.AppliedEverywhere},
		{"age of members' pictures", r.Staleness}, {"news of workers, each member", r.WorkerUpdates}, {"restarted to setup in use", r.Recovery}, {"registry lost to another session", r.RegistryFailover},
		{"this process was woken late by", r.WakeupDelay}} {
		printf(out, "%-36s ms: p50 %.1f, p90 %.1f, p99 %.1f, max %.1f (%d)\n", line.name, line.spans.P50, line.spans.P90, line.spans.P99, line.spans.Max, line.spans.Count)
	}
}

// Write saves the report as JSON.
func (r *HollowReport) Write(file string) error {
	return writeReport(file, r)
}
