package testbed

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/errs"
)

// Report is the result of a run. Scripts read its JSON form, so the keys must not change.
type Report struct {
	Deployment string    `json:"deployment"` // name of the deployment
	Seed       uint64    `json:"seed"`       // Options.Seed
	Seconds    float64   `json:"seconds"`    // duration of the load
	Findings   []Finding `json:"findings"`   // one for each invariant, in a fixed order
	Phases     []Phase   `json:"phases"`     // phases of the load, ordered by time; the first ends with the first fault
	// Unanswered is a sample of the calls that were not answered: up to maxUnansweredSamples for each combination of
	// phase, outcome and error code.
	Unanswered []CallEntry    `json:"refused"`
	Faults     []FaultEntry   `json:"faults"`         // History.Faults
	Outcomes   map[string]int `json:"outcomes"`       // number of calls by outcome
	ErrorCodes map[string]int `json:"defects"`        // number of calls by error code
	CallRate   float64        `json:"callsPerSecond"` // calls per second of load, whatever their outcome
	// LatencyMS holds quantiles of the latencies of answered calls by path, in milliseconds; see pathDirect and the
	// constants after it.
	LatencyMS map[string]map[string]float64 `json:"latencyMs"`
	// AcknowledgementMS holds quantiles of the time from the submission of a change to its acknowledgement, in
	// milliseconds.
	AcknowledgementMS map[string]float64 `json:"ackMs"`
	Rulings           map[string]int     `json:"rulings"`                // number of changes by ruling
	Acknowledged      int                `json:"acknowledged"`           // number of acknowledged changes
	CPU               map[string]float64 `json:"cpuSecondsPer1000Calls"` // CPU seconds per 1000 calls, by program
	UncleanExits      []string           `json:"unclean"`                // names of the processes that did not exit cleanly
	// Resources holds the samples of the whole run, one for each program at each sampleInterval.
	Resources []Sample `json:"resources"`
	// RecoverySeconds is the time from the end of the last random fault until the fleet served again; 0 in scenarios
	// without random faults.
	RecoverySeconds float64 `json:"backSeconds,omitempty"`
	// SurvivedChanges is the number of acknowledged changes that still had their outcome at the end.
	SurvivedChanges int            `json:"survived"`
	Releases        []ReleaseEntry `json:"shares,omitempty"` // History.Releases
	Violations      int            `json:"breaches"`         // total number of violations of all invariants
	// Disconnects is the sum of the counts of disconnected callers of all incarnations of all proxies.
	Disconnects dispatch.DisconnectCounts `json:"departures"`
}

// Phase sums up the calls that were sent between the beginning of one fault and the beginning of the next.
type Phase struct {
	Fault      string         `json:"fault"`             // name of the fault that began the phase
	Target     string         `json:"on"`                // target of that fault
	Calls      int            `json:"calls"`             // number of calls
	Rejected   int            `json:"turnedAway"`        // number of calls with any other outcome than answered and unsent
	Unsent     int            `json:"unsent"`            // number of calls whose proxy refused the connection
	ErrorCodes map[string]int `json:"defects,omitempty"` // number of the calls in Rejected by error code, which may be empty
	// LastRejectedAfter is the time from the beginning of the fault to the end of the last call in Rejected, in seconds.
	LastRejectedAfter float64 `json:"backAfterSeconds"`
}

// buildReport sums up the history of a run that has ended. loadDuration is the duration of the load; cpuBefore and
// cpuAfter are the results of cpuSeconds before and after it.
func (r *testRun) buildReport(loadDuration time.Duration, cpuBefore, cpuAfter map[string]float64) *Report {
	calls := float64(len(r.history.Calls))
	report := &Report{
		Deployment:      r.options.Deployment.Name,
		Seed:            r.options.Seed,
		Seconds:         loadDuration.Seconds(),
		Findings:        CheckInvariants(r.history, r.options.Deployment),
		Phases:          phasesOf(r.history),
		Faults:          r.history.Faults,
		Outcomes:        map[string]int{},
		ErrorCodes:      map[string]int{},
		CallRate:        calls / loadDuration.Seconds(),
		Rulings:         map[string]int{},
		CPU:             map[string]float64{},
		Resources:       r.resources,
		RecoverySeconds: r.recoveryTime.Seconds(),
		SurvivedChanges: r.history.SurvivedChanges,
		Releases:        r.history.Releases,
		Disconnects:     r.history.totalDisconnects(),
	}
	report.countCalls(r.history)
	report.countChanges(r.history)
	report.LatencyMS = r.latencies()
	for program, used := range cpuAfter {
		report.CPU[program] = (used - cpuBefore[program]) / calls * 1000
	}
	for _, finding := range report.Findings {
		report.Violations += finding.Violations
	}
	return report
}

// countCalls counts the calls by outcome and error code, and samples the calls that were not answered.
func (r *Report) countCalls(h *History) {
	sampled := map[string]int{}
	for _, call := range h.Calls {
		r.Outcomes[call.Outcome]++
		if call.ErrorCode != "" {
			r.ErrorCodes[call.ErrorCode]++
		}
		if call.Outcome == "answered" {
			continue
		}
		phase := sort.Search(len(h.Faults), func(i int) bool { return h.Faults[i].At > call.Sent })
		if key := fmt.Sprint(phase, call.Outcome, call.ErrorCode); sampled[key] < maxUnansweredSamples {
			sampled[key]++
			r.Unanswered = append(r.Unanswered, call)
		}
	}
}

// countChanges counts the changes by ruling and the acknowledged changes, and computes AcknowledgementMS.
func (r *Report) countChanges(h *History) {
	var acknowledgementMS []float64
	for _, change := range h.Changes {
		r.Rulings[change.Ruling]++
		if change.Acknowledged {
			r.Acknowledged++
			acknowledgementMS = append(acknowledgementMS, milliseconds(change.Answered-change.Sent))
		}
	}
	r.AcknowledgementMS = quantiles(acknowledgementMS)
}

// Paths of calls by which a report compares latencies.
const (
	pathDirect     = "direct"            // calls that bypass the mesh
	pathOneProxy   = "one proxy"         // the caller and the worker have the same proxy
	pathTwoProxies = "two proxies"       // the caller and the worker have different proxies
	pathKeyed      = "once, under a key" // non-idempotent calls with an idempotency key
	pathUnkeyed    = "once, without one" // non-idempotent calls without an idempotency key
)

// latencies returns the quantiles of the latencies of answered calls by path, in milliseconds. A non-idempotent call
// that its caller did not retry counts for two paths: by the number of its proxies, and by whether it had an
// idempotency key.
func (r *testRun) latencies() map[string]map[string]float64 {
	values := map[string][]float64{pathDirect: r.directLatencyMS, pathOneProxy: nil, pathTwoProxies: nil, pathKeyed: nil, pathUnkeyed: nil}
	for _, call := range r.history.Calls {
		if call.Outcome != "answered" {
			continue
		}
		latencyMS := milliseconds(call.Received - call.Sent)
		path := pathTwoProxies
		if edge, found := r.edgeByWorker[call.Worker]; found && r.fleet.Proxies[edge].Name == call.Proxy {
			path = pathOneProxy
		}
		values[path] = append(values[path], latencyMS)
		if call.NonIdempotent && call.CallerRetry == 0 {
			path = pathUnkeyed
			if call.Keyed {
				path = pathKeyed
			}
			values[path] = append(values[path], latencyMS)
		}
	}
	latencies := map[string]map[string]float64{}
	for path, list := range values {
		latencies[path] = quantiles(list)
	}
	return latencies
}

// milliseconds converts a duration to milliseconds without rounding.
func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// maxUnansweredSamples is the largest number of calls in Report.Unanswered for each combination of phase, outcome and
// error code.
const maxUnansweredSamples = 8

// phasesOf sums up the calls by phase. A call belongs to the last fault that began before the call was sent; the first
// phase has the calls before any fault.
func phasesOf(history *History) []Phase {
	faults := append([]FaultEntry{{Name: "before any fault"}}, history.Faults...)
	phases := make([]Phase, len(faults))
	for i, fault := range faults {
		phases[i] = Phase{Fault: fault.Name, Target: fault.Target, ErrorCodes: map[string]int{}}
	}
	for _, call := range history.Calls {
		i := sort.Search(len(faults), func(i int) bool { return faults[i].At > call.Sent }) - 1
		phase := &phases[max(0, i)]
		phase.Calls++
		switch call.Outcome {
		case "answered":
		case "unsent":
			phase.Unsent++
		default:
			phase.Rejected++
			phase.ErrorCodes[call.ErrorCode]++
			phase.LastRejectedAfter = max(phase.LastRejectedAfter, (call.Received - faults[max(0, i)].At).Seconds())
		}
	}
	return phases
}

// quantiles sorts values in place and returns their 0.5, 0.9 and 0.99 quantiles and their maximum; nil if there are no
// values.
func quantiles(values []float64) map[string]float64 {
	if len(values) == 0 {
		return nil
	}
	sort.Float64s(values)
	quantile := func(fraction float64) float64 { return values[int(fraction*float64(len(values)-1))] }
	return map[string]float64{"p50": quantile(0.5), "p90": quantile(0.9), "p99": quantile(0.99), "max": quantile(1)}
}

// Write writes the report to a file as JSON. It fails with errs.DiskFailed.
func (r *Report) Write(file string) error {
	return writeReport(file, r)
}

// writeReport writes a report to a file as indented JSON.
func writeReport(file string, report any) error {
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errs.Wrap(err, errs.Internal, file)
	}
	return errs.Wrap(os.WriteFile(file, append(text, '\n'), 0o640), errs.DiskFailed, file)
}

// formatFigures formats named numbers, sorted by name.
func formatFigures(values map[string]float64) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(values)) {
		parts = append(parts, fmt.Sprintf("%s %.3g", name, values[name]))
	}
	return strings.Join(parts, ", ")
}

// Print writes the report as readable text.
func (r *Report) Print(out io.Writer) {
	printf(out, "%s: %.0f s of load, %.0f calls a second, seed %d\n", r.Deployment, r.Seconds, r.CallRate, r.Seed)
	printf(out, "outcomes %v, defects %v\n", r.Outcomes, r.ErrorCodes)
	printf(out, "changes %v, yes after ms: %s; %d acknowledged, of which %d were there at the end\n",
		r.Rulings, formatFigures(r.AcknowledgementMS), r.Acknowledged, r.SurvivedChanges)
	for _, program := range []string{"proxy", "registry", "store"} {
		printf(out, "%s, largest process at a third, two thirds and the end of the run: %s\n", program, formatGrowth(r.Resources, program))
	}
	if r.RecoverySeconds > 0 {
		printf(out, "back %.1f s after the last fault\n", r.RecoverySeconds)
	}
	for _, path := range []string{pathDirect, pathOneProxy, pathTwoProxies, pathUnkeyed, pathKeyed} {
		printf(out, "latency ms, %s: %s\n", path, formatFigures(r.LatencyMS[path]))
	}
	printf(out, "processor seconds per 1,000 calls: %s\n", formatFigures(r.CPU))
	r.printPhases(out)
	r.printFindings(out)
	if len(r.UncleanExits) > 0 {
		printf(out, "did not end cleanly: %v\n", r.UncleanExits)
	}
}

// printPhases prints the phases in which calls were rejected or unsent.
func (r *Report) printPhases(out io.Writer) {
	for _, phase := range r.Phases {
		if phase.Rejected+phase.Unsent > 0 {
			printf(out, "  after %s (%s): %d of %d turned away, %d unsent, %v, the last after %.1f s\n",
				phase.Fault, phase.Target, phase.Rejected, phase.Calls, phase.Unsent, phase.ErrorCodes, phase.LastRejectedAfter)
		}
	}
}

// printFindings prints each invariant, whether it holds, and examples of its violations.
func (r *Report) printFindings(out io.Writer) {
	for _, finding := range r.Findings {
		verdict := "holds"
		if finding.Violations > 0 {
			verdict = fmt.Sprintf("BROKEN %d times", finding.Violations)
		} else if finding.Checked == 0 {
			verdict = "NOT JUDGED"
		}
		printf(out, "  %-62s %s (%d judged)\n", finding.Rule, verdict, finding.Checked)
		for _, example := range finding.Examples {
			printf(out, "      %s\n", example)
		}
	}
}
