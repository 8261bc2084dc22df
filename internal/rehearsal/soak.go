package rehearsal

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/errs"
)

// SoakOptions say which seeds to soak, and how. A soak runs real processes of the mesh under faults that are
// drawn by a seed and overlap in time, with callers that leave, and holds each run against every rule.
type SoakOptions struct {
	Deployment *Deployment
	Wide       *Deployment // plays every WideEvery-th seed, if that is not 0
	WideEvery  uint64
	Folder     string
	Binaries   string
	First      uint64
	Seeds      uint64
	Side       int // fleets beside each other
	Length     time.Duration
	Lease      time.Duration
	// LeaveBound and DepartBound are those of a Ledger.
	LeaveBound, DepartBound time.Duration
	Out                     io.Writer
}

// SoakReport is what a soak found, by seed.
type SoakReport struct {
	Runs []SoakRun `json:"runs"`
}

// SoakRun is one seed of a soak.
type SoakRun struct {
	Seed       uint64                    `json:"seed"`
	Deployment string                    `json:"deployment"`
	Processes  int                       `json:"processes"`
	Faults     int                       `json:"faults"`
	Calls      int                       `json:"calls"`
	Outcomes   map[string]int            `json:"outcomes"`
	Departures dispatch.DisconnectCounts `json:"departures"`
	Back       float64                   `json:"backSeconds"`
	Broken     []Finding                 `json:"broken,omitempty"`
	Unclean    []string                  `json:"unclean,omitempty"`
	Failure    string                    `json:"failure,omitempty"` // why the run came to no judgement
}

// Sound tells whether nothing was broken in a run.
func (r *SoakRun) Sound() bool { return len(r.Broken)+len(r.Unclean) == 0 && r.Failure == "" }

// backMost is how long a mesh may take to serve again after its last fault.
const backMost = 15 * time.Second

// Soak plays every seed and tells what came of it, each in its own folder.
func Soak(o SoakOptions) (*SoakReport, error) {
	if o.Seeds == 0 || o.Side < 1 || o.Deployment == nil || (o.WideEvery > 0 && o.Wide == nil) {
		return nil, errs.New(errs.InvalidOptions, "a soak needs seeds, fleets beside each other and deployments")
	}
	report := &SoakReport{Runs: make([]SoakRun, o.Seeds)}
	var playing sync.WaitGroup
	var saying sync.Mutex
	next := make(chan uint64)
	for range o.Side {
		playing.Go(func() {
			for i := range next {
				run := o.play(o.First + i)
				report.Runs[i] = run
				saying.Lock()
				run.print(o.Out)
				saying.Unlock()
			}
		})
	}
	for i := range o.Seeds {
		next <- i
	}
	close(next)
	playing.Wait()
	return report, nil
}

// play plays one seed. The folder of a sound run is removed.
func (o *SoakOptions) play(seed uint64) SoakRun {
	deployment := o.Deployment
	if o.WideEvery > 0 && seed%o.WideEvery == 0 {
		deployment = o.Wide
	}
	run := SoakRun{Seed: seed, Deployment: deployment.Name, Processes: deployment.Edges + 2*deployment.Cores}
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
	defer log.Close()
	found, err := Run(Options{Deployment: deployment, Folder: folder, Binaries: o.Binaries, Length: o.Length, Lease: o.Lease, Seed: seed, Play: "soak",
		Rate: 1, Delay: time.Millisecond, LeaveBound: o.LeaveBound, DepartBound: o.DepartBound, Out: log})
	if err != nil {
		run.Failure = err.Error()
		return run
	}
	found.Print(log)
	_ = found.Write(filepath.Join(folder, "report.json"))
	run.take(found)
	if run.Sound() {
		_ = os.RemoveAll(folder)
	}
	return run
}

// take takes what counts from a rehearsal's report.
func (r *SoakRun) take(found *Report) {
	r.Faults, r.Outcomes, r.Departures, r.Back, r.Unclean = len(found.Faults), found.Outcomes, found.Departures, found.BackSeconds, found.Unclean
	for _, count := range found.Outcomes {
		r.Calls += count
	}
	for _, finding := range found.Findings {
		if finding.Breaches > 0 {
			r.Broken = append(r.Broken, finding)
		}
	}
	if found.BackSeconds > backMost.Seconds() {
		r.Broken = append(r.Broken, Finding{Rule: "service is back in time after the last fault", Judged: 1, Breaches: 1, Examples: []string{fmt.Sprintf("%.1f s", found.BackSeconds)}})
	}
}

func (r *SoakRun) print(out io.Writer) {
	word := "sound"
	if !r.Sound() {
		word = "BROKEN"
	}
	fmt.Fprintf(out, "seed %d: %s; %s, %d processes, %d faults, %d calls %v, departures %+v, back %.1f s\n", r.Seed, word, r.Deployment, r.Processes, r.Faults, r.Calls, r.Outcomes, r.Departures, r.Back)
	for _, finding := range r.Broken {
		fmt.Fprintf(out, "  %s: %d times of %d: %v\n", finding.Rule, finding.Breaches, finding.Judged, finding.Examples)
	}
	if len(r.Unclean) > 0 {
		fmt.Fprintf(out, "  did not end cleanly: %v\n", r.Unclean)
	}
	if r.Failure != "" {
		fmt.Fprintf(out, "  came to no judgement: %s\n", r.Failure)
	}
}

// Broken lists the seeds of runs in which something was broken.
func (r *SoakReport) Broken() []uint64 {
	var seeds []uint64
	for i := range r.Runs {
		if !r.Runs[i].Sound() {
			seeds = append(seeds, r.Runs[i].Seed)
		}
	}
	return seeds
}

// Write saves the report as JSON.
func (r *SoakReport) Write(file string) error {
	return writeReport(file, r)
}

// departuresEvery is how often proxies are asked what they count of departures.
const departuresEvery = time.Second

// watchDepartures keeps the last counts of each life of each proxy.
func (c *cast) watchDepartures(stop <-chan struct{}) {
	for {
		c.noteDepartures()
		select {
		case <-stop:
			return
		case <-time.After(departuresEvery):
		}
	}
}

// noteDepartures asks every proxy that can be asked.
func (c *cast) noteDepartures() {
	var asking sync.WaitGroup
	for _, process := range c.fleet.Proxies {
		asking.Go(func() {
			life := fmt.Sprint(process.Name, " ", process.pid())
			response, err := probes.Get("http://" + process.probe + "/status")
			if err != nil {
				return
			}
			defer response.Body.Close()
			var status struct{ Departures dispatch.DisconnectCounts }
			if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&status) != nil {
				return
			}
			c.ledger.lock.Lock()
			defer c.ledger.lock.Unlock()
			if c.ledger.Departures == nil {
				c.ledger.Departures = map[string]dispatch.DisconnectCounts{}
			}
			c.ledger.Departures[life] = status.Departures
		})
	}
	asking.Wait()
}

// departures sums the counts of all lives.
func (l *Ledger) departures() dispatch.DisconnectCounts {
	var sum dispatch.DisconnectCounts
	for _, counts := range l.Departures {
		sum.Add(counts)
	}
	return sum
}

// pid is the process's number, 0 before it was started.
func (p *Process) pid() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}
