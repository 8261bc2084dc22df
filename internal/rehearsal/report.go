package rehearsal

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
	// Refused is a sample of the calls that were not answered, a few for each phase and defect.
	Refused  []CallEntry    `json:"refused"`
	Faults   []FaultEntry   `json:"faults"`
	Outcomes map[string]int `json:"outcomes"`
	Defects  map[string]int `json:"defects"`
	Rate     float64        `json:"callsPerSecond"`
	// LatencyMS is by the way a call took: past the mesh, through one proxy, through two.
	LatencyMS map[string]map[string]float64 `json:"latencyMs"`
	AckMS     map[string]float64            `json:"ackMs"`
	Rulings   map[string]int                `json:"rulings"`
	// Acknowledged is how many changes got their yes.
	Acknowledged int                `json:"acknowledged"`
	CPU          map[string]float64 `json:"cpuSecondsPer1000Calls"`
	Unclean      []string           `json:"unclean"`
	// Resources is what each program took of the machine, sampled through the run: the largest of
	// its processes each time.
	Resources []Sample `json:"resources"`
	// BackSeconds is how long the fleet took to be back once all faults of a random play were mended.
	BackSeconds float64 `json:"backSeconds,omitempty"`
	// Survived is how many acknowledged changes were still there at the end.
	Survived int          `json:"survived"`
	Shares   []ShareEntry `json:"shares,omitempty"`
	Breaches int          `json:"breaches"`
	// Departures is what the proxies counted of callers that left.
	Departures dispatch.DisconnectCounts `json:"departures"`
}

// Phase is what callers got from one fault to the next.
type Phase struct {
	Fault   string         `json:"fault"`
	On      string         `json:"on"`
	Calls   int            `json:"calls"`
	Away    int            `json:"turnedAway"` // proper calls that got the mesh's own error
	Unsent  int            `json:"unsent"`     // whose own proxy was not there
	Defects map[string]int `json:"defects,omitempty"`
	// BackAfter is when, in seconds after the fault, the last call was turned away.
	BackAfter float64 `json:"backAfterSeconds"`
}

// samplesMost is how many unanswered calls of each kind a report shows.
const samplesMost = 8

// phases sorts the calls by the fault before them.
func phases(ledger *Ledger) []Phase {
	faults := append([]FaultEntry{{What: "before any fault"}}, ledger.Faults...)
	list := make([]Phase, len(faults))
	for i, fault := range faults {
		list[i] = Phase{Fault: fault.What, On: fault.On, Defects: map[string]int{}}
	}
	for _, call := range ledger.Calls {
		i := sort.Search(len(faults), func(i int) bool { return faults[i].At > call.Sent }) - 1
		phase := &list[max(0, i)]
		phase.Calls++
		switch call.Outcome {
		case "answered":
		case "unsent":
			phase.Unsent++
		default:
			phase.Away++
			phase.Defects[call.Defect]++
			phase.BackAfter = max(phase.BackAfter, (call.Got - faults[max(0, i)].At).Seconds())
		}
	}
	return list
}

func quantiles(values []float64) map[string]float64 {
	if len(values) == 0 {
		return nil
	}
	sort.Float64s(values)
	at := func(part float64) float64 { return values[int(part*float64(len(values)-1))] }
	return map[string]float64{"p50": at(0.5), "p90": at(0.9), "p99": at(0.99), "max": at(1)}
}

func (c *cast) report(loaded time.Duration, before, after map[string]float64) *Report {
	report := &Report{Deployment: c.options.Deployment.Name, Seed: c.options.Seed, Seconds: loaded.Seconds(), Findings: Judge(c.ledger, c.options.Deployment),
		Phases: phases(c.ledger), Faults: c.ledger.Faults, Shares: c.ledger.Shares, Outcomes: map[string]int{}, Defects: map[string]int{}, Rulings: map[string]int{}, CPU: map[string]float64{}}
	var one, two, acks, keyed, plain []float64
	sampled := map[string]int{}
	for _, call := range c.ledger.Calls {
		report.Outcomes[call.Outcome]++
		at := sort.Search(len(c.ledger.Faults), func(i int) bool { return c.ledger.Faults[i].At > call.Sent })
		if key := fmt.Sprint(at, call.Outcome, call.Defect); call.Outcome != "answered" && sampled[key] < samplesMost {
			sampled[key]++
			report.Refused = append(report.Refused, call)
		}
		if call.Defect != "" {
			report.Defects[call.Defect]++
		}
		if call.Outcome == "answered" {
			took := float64(call.Got-call.Sent) / float64(time.Millisecond)
			if call.Once && call.Ask == 0 {
				if call.Keyed {
					keyed = append(keyed, took)
				} else {
					plain = append(plain, took)
				}
			}
			if edge, found := c.edgeOf[call.Worker]; found && c.fleet.Proxies[edge].Name == call.Proxy {
				one = append(one, took)
			} else {
				two = append(two, took)
			}
		}
	}
	for _, change := range c.ledger.Changes {
		report.Rulings[change.Ruling]++
		report.Acknowledged += map[bool]int{true: 1}[change.Acknowledged]
		if change.Acknowledged {
			acks = append(acks, float64(change.Got-change.Sent)/float64(time.Millisecond))
		}
	}
	report.Rate = float64(len(c.ledger.Calls)) / loaded.Seconds()
	report.LatencyMS = map[string]map[string]float64{"direct": quantiles(c.direct), "one proxy": quantiles(one), "two proxies": quantiles(two),
		"once, under a key": quantiles(keyed), "once, without one": quantiles(plain)}
	report.AckMS = quantiles(acks)
	for program, used := range after {
		report.CPU[program] = (used - before[program]) / float64(len(c.ledger.Calls)) * 1000
	}
	for _, finding := range report.Findings {
		report.Breaches += finding.Breaches
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

// figures lists named numbers in a settled order.
func figures(values map[string]float64) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(values)) {
		parts = append(parts, fmt.Sprintf("%s %.3g", name, values[name]))
	}
	return strings.Join(parts, ", ")
}

// Print shows the report to a person.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "%s: %.0f s of load, %.0f calls a second, seed %d\n", r.Deployment, r.Seconds, r.Rate, r.Seed)
	fmt.Fprintf(out, "outcomes %v, defects %v\n", r.Outcomes, r.Defects)
	fmt.Fprintf(out, "changes %v, yes after ms: %s; %d acknowledged, of which %d were there at the end\n", r.Rulings, figures(r.AckMS), r.Acknowledged, r.Survived)
	for _, program := range []string{"proxy", "registry", "store"} {
		fmt.Fprintf(out, "%s, largest process at a third, two thirds and the end of the run: %s\n", program, thirds(r.Resources, program))
	}
	if r.BackSeconds > 0 {
		fmt.Fprintf(out, "back %.1f s after the last fault\n", r.BackSeconds)
	}
	for _, way := range []string{"direct", "one proxy", "two proxies", "once, without one", "once, under a key"} {
		fmt.Fprintf(out, "latency ms, %s: %s\n", way, figures(r.LatencyMS[way]))
	}
	fmt.Fprintf(out, "processor seconds per 1,000 calls: %s\n", figures(r.CPU))
	for _, phase := range r.Phases {
		if phase.Away+phase.Unsent > 0 {
			fmt.Fprintf(out, "  after %s (%s): %d of %d turned away, %d unsent, %v, the last after %.1f s\n", phase.Fault, phase.On, phase.Away, phase.Calls, phase.Unsent, phase.Defects, phase.BackAfter)
		}
	}
	for _, finding := range r.Findings {
		word := "holds"
		if finding.Breaches > 0 {
			word = fmt.Sprintf("BROKEN %d times", finding.Breaches)
		} else if finding.Judged == 0 {
			word = "NOT JUDGED"
		}
		fmt.Fprintf(out, "  %-62s %s (%d judged)\n", finding.Rule, word, finding.Judged)
		for _, example := range finding.Examples {
			fmt.Fprintf(out, "      %s\n", example)
		}
	}
	if len(r.Unclean) > 0 {
		fmt.Fprintf(out, "did not end cleanly: %v\n", r.Unclean)
	}
}
