package testbed

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/errs"
)

// SoakOptions configure a soak: runs of the scenario "soak" with many seeds. Each run has real processes, random faults
// that overlap in time, and callers that disconnect. It is checked against every invariant.
type SoakOptions struct {
	Deployment     *Deployment   // deployment of all seeds but the wide ones
	WideDeployment *Deployment   // deployment of the seeds that are multiples of WideEvery; may be nil if WideEvery is 0
	WideEvery      uint64        // seeds that are multiples of it use WideDeployment; 0 for none
	Folder         string        // folder that gets a folder for each seed
	Binaries       string        // folder of the mesh's programs
	FirstSeed      uint64        // the first seed
	SeedCount      uint64        // number of seeds; they follow each other from FirstSeed on
	ParallelFleets int           // number of fleets that run at the same time
	LoadDuration   time.Duration // Options.LoadDuration of each run
	Lease          time.Duration // Options.Lease of each run
	// DrainingBound is Options.DrainingBound of each run.
	DrainingBound time.Duration
	// DisconnectBound is Options.DisconnectBound of each run.
	DisconnectBound time.Duration
	Out             io.Writer // output for the result of each run
}

// SoakReport is the result of a soak.
type SoakReport struct {
	Runs []SoakRun `json:"runs"` // one for each seed, in the order of seeds
}

// SoakRun is the result of one seed of a soak.
type SoakRun struct {
	Seed            uint64                    `json:"seed"`
	Deployment      string                    `json:"deployment"`  // name of the deployment
	Processes       int                       `json:"processes"`   // number of processes of the fleet
	Faults          int                       `json:"faults"`      // number of faults that were injected
	Calls           int                       `json:"calls"`       // number of calls
	Outcomes        map[string]int            `json:"outcomes"`    // number of calls by outcome
	Disconnects     dispatch.DisconnectCounts `json:"departures"`  // Report.Disconnects
	RecoverySeconds float64                   `json:"backSeconds"` // Report.RecoverySeconds
	// Violated holds the findings of violated invariants, and one more if recovery took longer than maxRecovery.
	Violated     []Finding `json:"broken,omitempty"`
	UncleanExits []string  `json:"unclean,omitempty"` // names of the processes that did not exit cleanly
	Failure      string    `json:"failure,omitempty"` // error because of which the run could not be checked
}

// Passed reports whether the run was checked, violated nothing, and all its processes exited cleanly.
func (r *SoakRun) Passed() bool { return len(r.Violated)+len(r.UncleanExits) == 0 && r.Failure == "" }

// maxRecovery is the longest time that a fleet may take to serve again after the end of its last fault.
const maxRecovery = 15 * time.Second

// Soak runs every seed, ParallelFleets at the same time, and prints the result of each as it ends. A run that fails or
// violates an invariant does not stop the soak. Soak itself fails only with errs.InvalidOptions, if seeds, fleets or
// deployments are missing.
func Soak(o SoakOptions) (*SoakReport, error) {
	if o.SeedCount == 0 || o.ParallelFleets < 1 || o.Deployment == nil || (o.WideEvery > 0 && o.WideDeployment == nil) {
		return nil, errs.New(errs.InvalidOptions, fmt.Sprintf(
			"a soak needs at least 1 seed, at least 1 parallel fleet and known deployments; got %d seeds and %d parallel fleets",
			o.SeedCount, o.ParallelFleets))
	}
	report := &SoakReport{Runs: make([]SoakRun, o.SeedCount)}
	var seedWorkers sync.WaitGroup
	var outputLock sync.Mutex
	next := make(chan uint64)
	for range o.ParallelFleets {
		seedWorkers.Go(func() {
			for i := range next {
				run := o.runSeed(o.FirstSeed + i)
				report.Runs[i] = run
				outputLock.Lock()
				run.print(o.Out)
				outputLock.Unlock()
			}
		})
	}
	for i := range o.SeedCount {
		next <- i
	}
	close(next)
	seedWorkers.Wait()
	return report, nil
}

// runSeed runs one seed in a folder of its own, which it removes if the run passed.
func (o *SoakOptions) runSeed(seed uint64) SoakRun {
	deployment := o.Deployment
	if o.WideEvery > 0 && seed%o.WideEvery == 0 {
		deployment = o.WideDeployment
	}
	run := SoakRun{Seed: seed, Deployment: deployment.Name, Processes: deployment.Edges + 2*deployment.CoreMembers}
	folder := filepath.Join(o.Folder, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(folder, 0o750); err != nil {
		run.Failure = err.Error()
		return run
	}
	log, err := os.Create(filepath.Join(folder, "log"))
	if err != nil {
		run.Failure = err.Error()
		return run
	}
	defer func() { _ = log.Close() }() // if closing fails, only progress output is lost: the report is in another file
	report, err := Run(Options{
		Deployment:      deployment,
		Folder:          folder,
		Binaries:        o.Binaries,
		LoadDuration:    o.LoadDuration,
		Lease:           o.Lease,
		Seed:            seed,
		Scenario:        "soak",
		RateFactor:      1,
		WorkerDelay:     time.Millisecond,
		DrainingBound:   o.DrainingBound,
		DisconnectBound: o.DisconnectBound,
		Out:             log,
	})
	if err != nil {
		run.Failure = err.Error()
		return run
	}
	report.Print(log)
	_ = report.Write(filepath.Join(folder, "report.json")) // if writing fails, the report of the soak still has the main results
	run.summarize(report)
	if run.Passed() {
		_ = os.RemoveAll(folder) // files that can't be removed do no harm
	}
	return run
}

// summarize copies the main results from the report of a run. It adds a finding if recovery took longer than
// maxRecovery.
func (r *SoakRun) summarize(report *Report) {
	r.Faults = len(report.Faults)
	r.Outcomes = report.Outcomes
	r.Disconnects = report.Disconnects
	r.RecoverySeconds = report.RecoverySeconds
	r.UncleanExits = report.UncleanExits
	for _, count := range report.Outcomes {
		r.Calls += count
	}
	for _, finding := range report.Findings {
		if finding.Violations > 0 {
			r.Violated = append(r.Violated, finding)
		}
	}
	if report.RecoverySeconds > maxRecovery.Seconds() {
		r.Violated = append(r.Violated, Finding{
			Rule:       "service is back in time after the last fault",
			Checked:    1,
			Violations: 1,
			Examples:   []string{fmt.Sprintf("%.1f s", report.RecoverySeconds)},
		})
	}
}

// print prints the result of the run in one line, followed by a line for each violated invariant and each other reason
// why the run did not pass.
func (r *SoakRun) print(out io.Writer) {
	verdict := "sound"
	if !r.Passed() {
		verdict = "BROKEN"
	}
	printf(out, "seed %d: %s; %s, %d processes, %d faults, %d calls %v, departures %+v, back %.1f s\n",
		r.Seed, verdict, r.Deployment, r.Processes, r.Faults, r.Calls, r.Outcomes, r.Disconnects, r.RecoverySeconds)
	for _, finding := range r.Violated {
		printf(out, "  %s: %d times of %d: %v\n", finding.Rule, finding.Violations, finding.Checked, finding.Examples)
	}
	if len(r.UncleanExits) > 0 {
		printf(out, "  did not end cleanly: %v\n", r.UncleanExits)
	}
	if r.Failure != "" {
		printf(out, "  came to no judgement: %s\n", r.Failure)
	}
}

// FailedSeeds returns the seeds whose runs did not pass.
func (r *SoakReport) FailedSeeds() []uint64 {
	var seeds []uint64
	for i := range r.Runs {
		if !r.Runs[i].Passed() {
			seeds = append(seeds, r.Runs[i].Seed)
		}
	}
	return seeds
}

// Write writes the report to a file as JSON. It fails with errs.DiskFailed.
func (r *SoakReport) Write(file string) error {
	return writeReport(file, r)
}
