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

// Report is what a rehearsal found, for machines.
type Report struct {
	Deployment string    `json:"deployment"`
	Seed       uint64    `json:"seed"`
	Seconds    float64   `json:"seconds"`
	Findings   []Finding `json:"findings"`
	Phases     []Phase   `json:"phases"`
	// Unanswered is a sample of the calls that were not answered, a few for each phase and defect.
	Unanswered []CallEntry    `json:"refused"`
	Faults     []FaultEntry   `json:"faults"`
	Outcomes   map[string]int `json:"outcomes"`
	ErrorCodes map[string]int `json:"defects"`
	CallRate   float64        `json:"callsPerSecond"`
	// LatencyMS is by the way a call took: past the mesh, through one proxy, through two.
	LatencyMS         map[string]map[string]float64 `json:"latencyMs"`
	AcknowledgementMS map[string]float64            `json:"ackMs"`
	Rulings           map[string]int                `json:"rulings"`
	// Acknowledged is how many changes got their yes.
	Acknowledged int                `json:"acknowledged"`
	CPU          map[string]float64 `json:"cpuSecondsPer1000Calls"`
	UncleanExits []string           `json:"unclean"`
	// Resources is what each program took of the machine, sampled through the run: the largest of
	// its processes each time.
	Resources []Sample `json:"resources"`
	// RecoverySeconds is how long the fleet took to be back once all faults of a random play were mended.
	RecoverySeconds float64 `json:"backSeconds,omitempty"`
	// SurvivedChanges is how many acknowledged changes were still there at the end.
	SurvivedChanges int            `json:"survived"`
	Releases        []ReleaseEntry `json:"shares,omitempty"`
	Violations      int            `json:"breaches"`
	// Disconnects is what the proxies counted of callers that left.
	Disconnects dispatch.DisconnectCounts `json:"departures"`
}

// Phase is what callers got from one fault to the next.
type Phase struct {
	Fault      string         `json:"fault"`
	Target     string         `json:"on"`
	Calls      int            `json:"calls"`
	Rejected   int            `json:"turnedAway"` // proper calls that got the mesh's own error
	Unsent     int            `json:"unsent"`     // whose own proxy was not there
	ErrorCodes map[string]int `json:"defects,omitempty"`
	// LastRejectedAfter is when, in seconds after the fault, the last call was turned away.
	LastRejectedAfter float64 `json:"backAfterSeconds"`
}

// maxUnansweredSamples is how many unanswered calls of each kind a report shows.
const maxUnansweredSamples = 8

// phasesOf sorts the calls by the fault before them.
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

func quantiles(values []float64) map[string]float64 {
	if len(values) == 0 {
		return nil
	}
	sort.Float64s(values)
	quantile := func(fraction float64) float64 { return values[int(fraction*float64(len(values)-1))] }
	return map[string]float64{"p50": quantile(0.5), "p90": quantile(0.9), "p99": quantile(0.99), "max": quantile(1)}
}

func (r *testRun) buildReport(loadDuration time.Duration, cpuBefore, cpuAfter map[string]float64) *Report {
	report := &Report{Deployment: r.options.Deployment.Name, Seed: r.options.Seed, Seconds: loadDuration.Seconds(), Findings: CheckInvariants(r.history, r.options.Deployment),
		Phases: phasesOf(r.history), Faults: r.history.Faults, Releases: r.history.Releases, Outcomes: map[string]int{}, ErrorCodes: map[string]int{}, Rulings: map[string]int{}, CPU: map[string]float64{}}
	var oneProxy, twoProxies, acknowledgementMS, keyed, unkeyed []float64
	sampled := map[string]int{}
	for _, call := range r.history.Calls {
		report.Outcomes[call.Outcome]++
		phase := sort.Search(len(r.history.Faults), func(i int) bool { return r.history.Faults[i].At > call.Sent })
		if key := fmt.Sprint(phase, call.Outcome, call.ErrorCode); call.Outcome != "answered" && sampled[key] < maxUnansweredSamples {
			sampled[key]++
			report.Unanswered = append(report.Unanswered, call)
		}
		if call.ErrorCode != "" {
			report.ErrorCodes[call.ErrorCode]++
		}
		if call.Outcome == "answered" {
			latencyMS := float64(call.Received-call.Sent) / float64(time.Millisecond)
			if call.NonIdempotent && call.CallerRetry == 0 {
				if call.Keyed {
					keyed = append(keyed, latencyMS)
				} else {
					unkeyed = append(unkeyed, latencyMS)
				}
			}
			if edge, found := r.edgeByWorker[call.Worker]; found && r.fleet.Proxies[edge].Name == call.Proxy {
				oneProxy = append(oneProxy, latencyMS)
			} else {
				twoProxies = append(twoProxies, latencyMS)
			}
		}
	}
	for _, change := range r.history.Changes {
		report.Rulings[change.Ruling]++
		report.Acknowledged += map[bool]int{true: 1}[change.Acknowledged]
		if change.Acknowledged {
			acknowledgementMS = append(acknowledgementMS, float64(change.Answered-change.Sent)/float64(time.Millisecond))
		}
	}
	report.CallRate = float64(len(r.history.Calls)) / loadDuration.Seconds()
	report.LatencyMS = map[string]map[string]float64{"direct": quantiles(r.directLatencyMS), "one proxy": quantiles(oneProxy), "two proxies": quantiles(twoProxies),
		"once, under a key": quantiles(keyed), "once, without one": quantiles(unkeyed)}
	report.AcknowledgementMS = quantiles(acknowledgementMS)
	for program, used := range cpuAfter {
		report.CPU[program] = (used - cpuBefore[program]) / float64(len(r.history.Calls)) * 1000
	}
	for _, finding := range report.Findings {
		report.Violations += finding.Violations
	}
	return report
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

// formatFigures lists named numbers in a settled order.
func formatFigures(values map[string]float64) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(values)) {
		parts = append(parts, fmt.Sprintf("%s %.3g", name, values[name]))
	}
	return strings.Join(parts, ", ")
}

// Print shows the report to a person.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "%s: %.0f s of load, %.0f calls a second, seed %d\n", r.Deployment, r.Seconds, r.CallRate, r.Seed)
	fmt.Fprintf(out, "outcomes %v, defects %v\n", r.Outcomes, r.ErrorCodes)
	fmt.Fprintf(out, "changes %v, yes after ms: %s; %d acknowledged, of which %d were there at the end\n", r.Rulings, formatFigures(r.AcknowledgementMS), r.Acknowledged, r.SurvivedChanges)
	for _, program := range []string{"proxy", "registry", "store"} {
		fmt.Fprintf(out, "%s, largest process at a third, two thirds and the end of the run: %s\n", program, formatGrowth(r.Resources, program))
	}
	if r.RecoverySeconds > 0 {
		fmt.Fprintf(out, "back %.1f s after the last fault\n", r.RecoverySeconds)
	}
	for _, path := range []string{"direct", "one proxy", "two proxies", "once, without one", "once, under a key"} {
		fmt.Fprintf(out, "latency ms, %s: %s\n", path, formatFigures(r.LatencyMS[path]))
	}
	fmt.Fprintf(out, "processor seconds per 1,000 calls: %s\n", formatFigures(r.CPU))
	for _, phase := range r.Phases {
		if phase.Rejected+phase.Unsent > 0 {
			fmt.Fprintf(out, "  after %s (%s): %d of %d turned away, %d unsent, %v, the last after %.1f s\n", phase.Fault, phase.Target, phase.Rejected, phase.Calls, phase.Unsent, phase.ErrorCodes, phase.LastRejectedAfter)
		}
	}
	for _, finding := range r.Findings {
		verdict := "holds"
		if finding.Violations > 0 {
			verdict = fmt.Sprintf("BROKEN %d times", finding.Violations)
		} else if finding.Checked == 0 {
			verdict = "NOT JUDGED"
		}
		fmt.Fprintf(out, "  %-62s %s (%d judged)\n", finding.Rule, verdict, finding.Checked)
		for _, example := range finding.Examples {
			fmt.Fprintf(out, "      %s\n", example)
		}
	}
	if len(r.UncleanExits) > 0 {
		fmt.Fprintf(out, "did not end cleanly: %v\n", r.UncleanExits)
	}
}
