// Command testbed brings up a fleet on this machine, loads it, breaks it and judges it.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"meadowhinge/internal/options"
	"meadowhinge/internal/testbed"
)

func main() { os.Exit(run(os.Args[1:])) }

var subcommands = map[string]func(args []string) int{"hollow": runHollow, "slopes": runSlopes, "calls": runCalls, "soak": runSoak}

func run(args []string) int {
	if len(args) > 1 && args[0] == testbed.DelayedStoreCommand {
		return testbed.RunDelayedStore(args[1], args[2:])
	}
	// Runs that measure rather than judge have words of their own.
	if len(args) > 0 && subcommands[args[0]] != nil {
		return subcommands[args[0]](args[1:])
	}
	flags := flag.NewFlagSet("testbed", flag.ContinueOnError)
	deploymentName := flags.String("deployment", "small", "which fleet: small, wroblewski or kithul")
	loadDuration := flags.Duration("length", 20*time.Second, "how long the load lasts")
	lease := flags.Duration("lease", 8*time.Second, "the fleet's lease")
	seed := flags.Uint64("seed", 1, "seed of callers' choices")
	scenario := flags.String("play", "standard", "which faults: "+strings.Join(testbed.ScenarioNames(), ", "))
	keep := flags.Bool("keep", false, "bring the fleet up without load and let it stand until Ctrl-C")
	workerDelay := flags.Duration("delay", time.Millisecond, "how long a stand-in worker takes for a request")
	rateFactor := flags.Float64("rate", 1, "multiplies the deployment's rate")
	folder := flags.String("folder", "", "where data, logs and the report go (default: a new temporary folder)")
	binaries := flags.String("binaries", "", "where proxy, registry and store are (default: beside this program)")
	showVersion := flags.Bool("version", false, "print the version and leave")
	if err := ff.Parse(flags, args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return 2
	}
	if *showVersion {
		fmt.Println("testbed", options.Version)
		return 0
	}
	deployment := testbed.Deployments[*deploymentName]
	if deployment == nil {
		fmt.Fprintf(os.Stderr, "testbed: no deployment is called %q; there are small, wroblewski and kithul\n", *deploymentName)
		return 2
	}
	if testbed.Scenarios[*scenario] == nil {
		fmt.Fprintf(os.Stderr, "testbed: no play is called %q; there are %s\n", *scenario, strings.Join(testbed.ScenarioNames(), ", "))
		return 2
	}
	if code, done := resolveFolders("testbed", folder, binaries); done {
		return code
	}
	var onReady func(*testbed.Fleet)
	if *keep {
		onReady = func(fleet *testbed.Fleet) {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			fmt.Printf("operator interface at %s, clients' listener at %s; Ctrl-C ends it\n", fleet.OperatorAddress(0), fleet.CallerAddress(0, "client"))
			<-ctx.Done()
		}
	}
	report, err := testbed.Run(testbed.Options{Deployment: deployment, Folder: *folder, Binaries: *binaries, LoadDuration: *loadDuration, Lease: *lease,
		Seed: *seed, Scenario: *scenario, OnReady: onReady, WorkerDelay: *workerDelay, RateFactor: *rateFactor, DrainingBound: 2 * time.Second, CheckRejections: true, Out: os.Stdout})
	if err != nil {
		fmt.Fprintf(os.Stderr, "testbed: %v (logs in %s)\n", err, *folder)
		return 1
	}
	if *keep {
		return 0
	}
	report.Print(os.Stdout)
	file := filepath.Join(*folder, "report.json")
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
