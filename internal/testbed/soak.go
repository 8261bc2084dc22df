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

// SoakOptions say which seeds to run, and how. A soak runs real processes under random faults that overlap in time,
// with callers that disconnect, and checks each run against every invariant.
type SoakOptions struct {
	Deployment     *Deployment
	WideDeployment *Deployment // for every WideEvery-th seed, if that is not 0
	WideEvery      uint64
	Folder         string
	Binaries       string
	FirstSeed      uint64
	SeedCount      uint64
	ParallelFleets int // at the same time
	LoadDuration   time.Duration
	Lease          time.Duration
	// DrainingBound and DisconnectBound are those of Options.
	DrainingBound, DisconnectBound time.Duration
	Out                            io.Writer
}

// SoakReport is what a soak found, by seed.
type SoakReport struct {
	Runs []SoakRun `json:"runs"`
}

// SoakRun is what one seed of a soak gave.
type SoakRun struct {
	Seed            uint64                    `json:"seed"`
	Deployment      string                    `json:"deployment"`
	Processes       int                       `json:"processes"`
	Faults          int                       `json:"faults"`
	Calls           int                       `json:"calls"`
	Outcomes        map[string]int            `json:"outcomes"`
	Disconnects     dispatch.DisconnectCounts `json:"departures"`
	RecoverySeconds float64                   `json:"backSeconds"`
	Violated        []Finding                 `json:"broken,omitempty"`
	UncleanExits    []string                  `json:"unclean,omitempty"`
	Failure         string                    `json:"failure,omitempty"` // why the run could not be checked
}

// Passed tells whether a run violated nothing and ended cleanly.
func (r *SoakRun) Passed() bool { return len(r.Violated)+len(r.UncleanExits) == 0 && r.Failure == "" }

// maxRecovery is how long a fleet may take to serve again after the end of its last fault.
const maxRecovery = 15 * time.Second

// Soak runs every seed, each in a folder of its own, ParallelFleets at the same time, and prints each result.
func Soak(o SoakOptions) (*SoakReport, error) {
	if o.SeedCount == 0 || o.ParallelFleets < 1 || o.Deployment == nil || (o.WideEvery > 0 && o.WideDeployment == nil) {
		return nil, errs.New(errs.InvalidOptions, "a soak needs seeds, fleets beside each other and deployments")
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

// runSeed runs one seed. The folder of a run that passed is removed.
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
	defer func() { _ = log.Close() }() // progress only: the report is a file of its own
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
	_ = report.Write(filepath.Join(folder, "report.json")) // what counts is in the soak's own report too
	run.summarize(report)
	if run.Passed() {
		_ = os.RemoveAll(folder) // what stays only takes space
	}
	return run
}

// summarize takes over what counts from a run's report.
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

// print prints one line, and one more for each invariant that was violated.
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

// FailedSeeds lists the seeds whose runs did not pass.
func (r *SoakReport) FailedSeeds() []uint64 {
	var seeds []uint64
	for i := range r.Runs {
		if !r.Runs[i].Passed() {
			seeds = append(seeds, r.Runs[i].Seed)
		}
	}
	return seeds
}

// Write saves the report as JSON.
func (r *SoakReport) Write(file string) error {
	return writeReport(file, r)
}
