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

// RoleCost is what the processes of a role cost: means over the processes, but for CPULargest.
type RoleCost struct {
	Role              string      `json:"role"`
	Processes         int         `json:"processes"`
	CPU               float64     `json:"cpuMsPerSecond"`        // of one core, in thousandths
	CPULargest        float64     `json:"cpuMsPerSecondLargest"` // of the processes
	BytesIn           float64     `json:"bytesInPerSecond"`
	BytesOut          float64     `json:"bytesOutPerSecond"`
	SessionsBegun     float64     `json:"begunPerSecond"`    // of a registry, sessions that it accepted; of a member, its part of those
	Messages          float64     `json:"messagesPerSecond"` // in both directions: of a member, with the core; of the core, with all its callers
	MemoryMB          float64     `json:"memoryMB"`          // resident at the end; of a member, its part of this process's heap and stacks
	HeapMB            float64     `json:"heapMB"`
	DiskKB            float64     `json:"diskKB"`
	BytesWritten      float64     `json:"writtenBytesPerSecond"`
	ConnectionsOpened float64     `json:"linksOpenedPerSecond"`
	MessagesByCall    RatesByName `json:"messagesPerSecondByCall,omitempty"`
}

// RatesByName are numbers a second by name.
type RatesByName map[string]float64

// HollowReport is what a run of hollow members found.
type HollowReport struct {
	Options *schema.HollowOptions `json:"options"`
	Commit  string                `json:"commit"`
	Cores   int                   `json:"cores"` // of this machine
	Seconds float64               `json:"seconds"`
	Roles   []RoleCost            `json:"roles"`

	Acknowledge       LatencySummary   `json:"acknowledge"` // from submission to acknowledgement
	Applied           LatencySummary   `json:"apply"`       // from acknowledgement until it is applied, at each member
	AppliedEverywhere LatencySummary   `json:"everywhere"`  // from submission until every member has applied it
	Staleness         LatencySummary   `json:"stale"`       // of members' views of the fleet
	WorkerUpdates     LatencySummary   `json:"news"`        // from an update of a member's workers until another member has it, at each
	Recovery          LatencySummary   `json:"back"`        // from a restart until a configuration is applied
	RegistryFailover  LatencySummary   `json:"moved"`       // from the loss of a member's registry until it has a session with another
	WakeupDelay       LatencySummary   `json:"late"`        // by how much this process was woken late, by the load on the machine
	Unapplied         int              `json:"unapplied"`   // changes that some member had not applied at the end
	Rulings           map[string]int   `json:"rulings"`
	Restarts          int              `json:"restarts"`
	InjectedLosses    int              `json:"losses"`    // of core machines and of zones
	Items             int              `json:"items"`     // in the configuration
	ItemBytes         int              `json:"itemBytes"` // of their bodies, names and versions
	Timeline          []HollowInterval `json:"lines"`

	histograms map[string]*hdrhistogram.Histogram
}

// HollowInterval is what the roles used in one interval of a run.
type HollowInterval struct {
	At     float64            `json:"at"`
	CPU    map[string]float64 `json:"cpuMsPerSecond"` // by role, of its largest process; of members the mean
	Memory map[string]float64 `json:"memoryMB"`
}

// buildCommit is the commit that this program was built from; empty if that is not known.
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

// fillChanges fills in the latencies of changes at members, and the fleet's counts.
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
			// Revisions are applied in order, except across a restart; those before it were as new at the time.
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

// configSize is the number of items of a configuration, and their bytes as JSON.
type configSize struct{ items, bytes int }

// configSize reads the size of the configuration at the first core member; nil if it can't be read.
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

// Write saves the report as JSON.
func (r *HollowReport) Write(file string) error {
	return writeReport(file, r)
}
