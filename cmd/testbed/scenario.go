package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"meadowhinge/internal/options"
	"meadowhinge/internal/testbed"
)

// scenarioSettings are the parsed command line of a scenario.
type scenarioSettings struct {
	run         testbed.Options // options of the run
	deployment  string          // name of the fleet in testbed.Deployments
	keep        bool            // keep the fleet up without load until a signal, instead of running the scenario
	showVersion bool            // print the program's version and exit
}

// drainingBound is Options.DrainingBound of the run: the required time, which is also fakebackend.DrainingBound.
const drainingBound = 2 * time.Second

// runScenario runs one fleet through one scenario and checks the invariants. It returns the exit code,
// which is 1 if an invariant was violated.
func runScenario(args []string) int {
	s := scenarioSettings{run: testbed.Options{DrainingBound: drainingBound, CheckRejections: true, Out: os.Stdout}}
	if code, exit := s.parse(args); exit {
		return code
	}
	if s.showVersion {
		fmt.Println("testbed", options.Version)
		return 0
	}
	if code, exit := s.resolve(); exit {
		return code
	}
	report, err := testbed.Run(s.run)
	if err != nil {
		fmt.Fprintf(os.Stderr, "testbed: %v (logs in %s)\n", err, s.run.Folder)
		return 1
	}
	if s.keep {
		return 0
	}
	report.Print(os.Stdout)
	file := filepath.Join(s.run.Folder, "report.json")
	if err := report.Write(file); err != nil {
		fmt.Fprintln(os.Stderr, "testbed:", err)
		return 1
	}
	fmt.Println("report in", file)
	if report.Violations > 0 {
		return 1
	}
	return 0
}

// parse parses the command line. If exit is true, the program must exit with code.
func (s *scenarioSettings) parse(args []string) (code int, exit bool) {
	flags := flag.NewFlagSet("testbed", flag.ContinueOnError)
	flags.StringVar(&s.deployment, "deployment", "small", "which fleet: small, wroblewski or kithul")
	flags.DurationVar(&s.run.LoadDuration, "length", 20*time.Second, "how long the load lasts")
	flags.DurationVar(&s.run.Lease, "lease", 8*time.Second, "the fleet's lease")
	flags.Uint64Var(&s.run.Seed, "seed", 1, "seed of callers' choices")
	flags.StringVar(&s.run.Scenario, "play", "standard", "which faults: "+strings.Join(testbed.ScenarioNames(), ", "))
	flags.BoolVar(&s.keep, "keep", false, "bring the fleet up without load and let it stand until Ctrl-C")
	flags.DurationVar(&s.run.WorkerDelay, "delay", time.Millisecond, "how long a stand-in worker takes for a request")
	flags.Float64Var(&s.run.RateFactor, "rate", 1, "multiplies the deployment's rate")
	flags.StringVar(&s.run.Folder, "folder", "", "where data, logs and the report go (default: a new temporary folder)")
	flags.StringVar(&s.run.Binaries, "binaries", "", "where proxy, registry and store are (default: beside this program)")
	flags.BoolVar(&s.showVersion, "version", false, "print the version and leave")
	if err := ff.Parse(flags, args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0, true
		}
		return 2, true
	}
	return 0, false
}

// resolve looks up the deployment, checks that the scenario exists, and resolves the folders. If exit is
// true, one of these failed and the program must exit with code.
func (s *scenarioSettings) resolve() (code int, exit bool) {
	s.run.Deployment = testbed.Deployments[s.deployment]
	if s.run.Deployment == nil {
		fmt.Fprintf(os.Stderr, "testbed: unknown deployment %q; known are small, wroblewski and kithul\n", s.deployment)
		return 2, true
	}
	if testbed.Scenarios[s.run.Scenario] == nil {
		fmt.Fprintf(os.Stderr, "testbed: unknown play %q; known are %s\n", s.run.Scenario, strings.Join(testbed.ScenarioNames(), ", "))
		return 2, true
	}
	if s.keep {
		s.run.OnReady = waitForSignal
	}
	return resolveFolders("testbed", &s.run.Folder, &s.run.Binaries)
}

// waitForSignal prints the fleet's addresses for operators and clients, and waits for SIGINT or SIGTERM.
func waitForSignal(fleet *testbed.Fleet) {
	ctx, stop := signalContext()
	defer stop()
	fmt.Printf("operator interface at %s, clients' listener at %s; Ctrl-C ends it\n", fleet.OperatorAddress(0), fleet.CallerAddress(0, "client"))
	<-ctx.Done()
}
