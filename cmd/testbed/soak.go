package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3"

	"meadowhinge/internal/testbed"
)

// runSoak runs fleets of real processes under overlapping random faults, one fleet for each of many seeds. It
// returns the exit code, which is 1 if any seed failed.
func runSoak(args []string) int {
	const program = "testbed soak"
	opts := testbed.SoakOptions{Out: os.Stdout}
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	deploymentName := flags.String("deployment", "small", "which fleet: small, wroblewski, kithul or wide")
	wideName := flags.String("wide", "wide", "which fleet plays every wide-every-th seed")
	flags.Uint64Var(&opts.WideEvery, "wide-every", 0, "every how many seeds the wide fleet plays; 0 for never")
	flags.Uint64Var(&opts.FirstSeed, "first", 1, "the first seed")
	flags.Uint64Var(&opts.SeedCount, "seeds", 50, "how many seeds")
	flags.IntVar(&opts.ParallelFleets, "side", 2, "how many fleets beside each other")
	flags.DurationVar(&opts.LoadDuration, "length", 18*time.Second, "how long the load of one seed lasts")
	flags.DurationVar(&opts.Lease, "lease", 8*time.Second, "the fleets' lease")
	flags.DurationVar(&opts.DrainingBound, "leave-bound", 2*time.Second, "how long after it left a worker may still get calls")
	flags.DurationVar(&opts.DisconnectBound, "depart-bound", 500*time.Millisecond, "how long a worker may go on with a repeatable call after its caller left")
	flags.StringVar(&opts.Folder, "folder", "", "where data, logs and reports go (default: a new temporary folder)")
	flags.StringVar(&opts.Binaries, "binaries", "", "where proxy, registry and store are (default: beside this program)")
	if err := ff.Parse(flags, args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return 2
	}
	opts.Deployment = testbed.Deployments[*deploymentName]
	opts.WideDeployment = testbed.Deployments[*wideName]
	if code, exit := resolveFolders(program, &opts.Folder, &opts.Binaries); exit {
		return code
	}
	report, err := testbed.Soak(opts)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		return 2
	}
	file := filepath.Join(opts.Folder, "soak.json")
	if err := report.Write(file); err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		return 1
	}
	failedSeeds := report.FailedSeeds()
	fmt.Printf("%d seeds, %d broken %v; report in %s\n", len(report.Runs), len(failedSeeds), failedSeeds, file)
	if len(failedSeeds) > 0 {
		return 1
	}
	return 0
}
