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

// Report is what a run found. Its JSON is read by scripts.
type Report struct {
	Deployment string    `json:"deployment"`
	Seed       uint64    `json:"seed"`
	Seconds    float64   `json:"seconds"` // of load
	Findings   []Finding `json:"findings"`
	Phases     []Phase   `json:"phases"`
	// Unanswered is a sample of the calls without an answer, a few for each phase and error code.
	Unanswered []CallEntry    `json:"refused"`
	Faults     []FaultEntry   `json:"faults"`
	Outcomes   map[string]int `json:"outcomes"` // calls by outcome
	ErrorCodes map[string]int `json:"defects"`  // calls by error code
	CallRate   float64        `json:"callsPerSecond"`
	// LatencyMS has quantiles by path: past the mesh, through one proxy, through two.
	LatencyMS         map[string]map[string]float64 `json:"latencyMs"`
	AcknowledgementMS map[string]float64            `json:"ackMs"`   // quantiles, from submission to acknowledgement
	Rulings           map[string]int                `json:"rulings"` // changes by ruling
	Acknowledged      int                           `json:"acknowledged"`
	CPU               map[string]float64            `json:"cpuSecondsPer1000Calls"` // by program
	UncleanExits      []string                      `json:"unclean"`                // processes
	// Resources are samples through the run; each is of a program's largest process.
	Resources []Sample `json:"resources"`
	// RecoverySeconds is from the end of the last random fault until the fleet served again.
	RecoverySeconds float64 `json:"backSeconds,omitempty"`
	// SurvivedChanges is how many acknowledged changes still had their outcome at the end.
	SurvivedChanges int            `json:"survived"`
	Releases        []ReleaseEntry `json:"shares,omitempty"`
	Violations      int            `json:"breaches"` // of all invariants
	// Disconnects sums what all incarnations of the proxies counted of disconnected callers.
	Disconnects dispatch.DisconnectCounts `json:"departures"`
}

// Phase is what callers got between the beginning of one fault and that of the next.
type Phase struct {
	Fault      string         `json:"fault"`
	Target     string         `json:"on"`
	Calls      int            `json:"calls"`
	Rejected   int            `json:"turnedAway"` // got the mesh's own error, or no response
	Unsent     int            `json:"unsent"`     // whose own proxy did not listen
	ErrorCodes map[string]int `json:"defects,omitempty"`
	// LastRejectedAfter is when the last call was rejected, in seconds after the fault began.
	LastRejectedAfter float64 `json:"backAfterSeconds"`
}

// buildReport sums up the history of a run that has ended.
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

// countCalls counts outcomes and error codes, and samples the calls without an answer.
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

// countChanges counts rulings and acknowledgements.
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

// Paths of calls whose latencies a report compares.
const (
	pathDirect     = "direct"
	pathOneProxy   = "one proxy"
	pathTwoProxies = "two proxies"
	pathKeyed      = "once, under a key"
	pathUnkeyed    = "once, without one"
)

// latencies gives the quantiles of answered calls by path, in milliseconds. A call that was not retried by its
// caller counts twice if it is non-idempotent: by its proxies, and by whether it had an idempotency key.
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

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// maxUnansweredSamples is how many calls of each phase, outcome and error code Report.Unanswered has.
const maxUnansweredSamples = 8

// phasesOf assigns each call to the last fault that began before it was sent.
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

// quantiles sorts values and gives those at some fractions of the list; nil for none.
func quantiles(values []float64) map[string]float64 {
	if len(values) == 0 {
		return nil
	}
	sort.Float64s(values)
	quantile := func(fraction float64) float64 { return values[int(fraction*float64(len(values)-1))] }
	return map[string]float64{"p50": quantile(0.5), "p90": quantile(0.9), "p99": quantile(0.99), "max": quantile(1)}
}

// Write saves the report as JSON.
func (r *Report) Write(file string) error {
	return writeReport(file, r)
}

// writeReport saves what a run found as JSON.
func writeReport(file string, report any) error {
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errs.Wrap(err, errs.Internal, file)
	}
	return errs.Wrap(os.WriteFile(file, append(text, '\n'), 0o640), errs.DiskFailed, file)
}

// formatFigures lists named numbers in the order of their names.
func formatFigures(values map[string]float64) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(values)) {
		parts = append(parts, fmt.Sprintf("%s %.3g", name, values[name]))
	}
	return strings.Join(parts, ", ")
}

// Print shows the report to a person.
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

// printPhases prints the phases in which calls were rejected or not sent.
func (r *Report) printPhases(out io.Writer) {
	for _, phase := range r.Phases {
		if phase.Rejected+phase.Unsent > 0 {
			printf(out, "  after %s (%s): %d of %d turned away, %d unsent, %v, the last after %.1f s\n",
				phase.Fault, phase.Target, phase.Rejected, phase.Calls, phase.Unsent, phase.ErrorCodes, phase.LastRejectedAfter)
		}
	}
}

// printFindings prints each invariant with its violations.
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
