package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3"

	"meadowhinge/internal/rehearsal"
)

// soak plays many seeds of overlapping faults against real processes.
func soak(args []string) int {
	const program = "rehearsal soak"
	given := rehearsal.SoakOptions{Out: os.Stdout}
	set := flag.NewFlagSet(program, flag.ContinueOnError)
	name := set.String("deployment", "small", "which fleet: small, wroblewski, kithul or wide")
	wide := set.String("wide", "wide", "which fleet plays every wide-every-th seed")
	set.Uint64Var(&given.WideEvery, "wide-every", 0, "every how many seeds the wide fleet plays; 0 for never")
	set.Uint64Var(&given.First, "first", 1, "the first seed")
	set.Uint64Var(&given.Seeds, "seeds", 50, "how many seeds")
	set.IntVar(&given.Side, "side", 2, "how many fleets beside each other")
	set.DurationVar(&given.Length, "length", 18*time.Second, "how long the load of one seed lasts")
	set.DurationVar(&given.Lease, "lease", 8*time.Second, "the fleets' lease")
	set.DurationVar(&given.LeaveBound, "leave-bound", 2*time.Second, "how long after it left a worker may still get calls")
	set.DurationVar(&given.DepartBound, "depart-bound", 500*time.Millisecond, "how long a worker may go on with a repeatable call after its caller left")
	set.StringVar(&given.Folder, "folder", "", "where data, logs and reports go (default: a new temporary folder)")
	set.StringVar(&given.Binaries, "binaries", "", "where proxy, registry and store are (default: beside this program)")
	if err := ff.Parse(set, args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return 2
	}
	given.Deployment, given.Wide = rehearsal.Deployments[*name], rehearsal.Deployments[*wide]
	if code, done := places(program, &given.Folder, &given.Binaries); done {
		return code
	}
	report, err := rehearsal.Soak(given)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		return 2
	}
	file := filepath.Join(given.Folder, "soak.json")
	if err := report.Write(file); err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		return 1
	}
	broken := report.Broken()
	fmt.Printf("%d seeds, %d broken %v; report in %s\n", len(report.Runs), len(broken), broken, file)
	if len(broken) > 0 {
		return 1
	}
	return 0
}
