// Command rehearsal brings up a fleet on this machine, loads it, breaks it and judges it.
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
	"meadowhinge/internal/rehearsal"
)

func main() { os.Exit(run(os.Args[1:])) }

var words = map[string]func(args []string) int{"hollow": hollow, "slopes": slopes, "calls": calls, "soak": soak}

func run(args []string) int {
	if len(args) > 1 && args[0] == rehearsal.StandInStore {
		return rehearsal.RunStandInStore(args[1], args[2:])
	}
	// Runs that measure rather than judge have words of their own.
	if len(args) > 0 && words[args[0]] != nil {
		return words[args[0]](args[1:])
	}
	set := flag.NewFlagSet("rehearsal", flag.ContinueOnError)
	name := set.String("deployment", "small", "which fleet: small, wroblewski or kithul")
	length := set.Duration("length", 20*time.Second, "how long the load lasts")
	lease := set.Duration("lease", 8*time.Second, "the fleet's lease")
	seed := set.Uint64("seed", 1, "seed of callers' choices")
	play := set.String("play", "standard", "which faults: "+strings.Join(rehearsal.PlayNames(), ", "))
	keep := set.Bool("keep", false, "bring the fleet up without load and let it stand until Ctrl-C")
	delay := set.Duration("delay", time.Millisecond, "how long a stand-in worker takes for a request")
	rate := set.Float64("rate", 1, "multiplies the deployment's rate")
	folder := set.String("folder", "", "where data, logs and the report go (default: a new temporary folder)")
	binaries := set.String("binaries", "", "where proxy, registry and store are (default: beside this program)")
	version := set.Bool("version", false, "print the version and leave")
	if err := ff.Parse(set, args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return 2
	}
	if *version {
		fmt.Println("rehearsal", options.Version)
		return 0
	}
	deployment := rehearsal.Deployments[*name]
	if deployment == nil {
		fmt.Fprintf(os.Stderr, "rehearsal: no deployment is called %q; there are small, wroblewski and kithul\n", *name)
		return 2
	}
	if rehearsal.Plays[*play] == nil {
		fmt.Fprintf(os.Stderr, "rehearsal: no play is called %q; there are %s\n", *play, strings.Join(rehearsal.PlayNames(), ", "))
		return 2
	}
	if code, done := places("rehearsal", folder, binaries); done {
		return code
	}
	var standing func(*rehearsal.Fleet)
	if *keep {
		standing = func(fleet *rehearsal.Fleet) {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			fmt.Printf("operator interface at %s, clients' listener at %s; Ctrl-C ends it\n", fleet.Operator(0), fleet.CallerAddress(0, "client"))
			<-ctx.Done()
		}
	}
	report, err := rehearsal.Run(rehearsal.Options{Deployment: deployment, Folder: *folder, Binaries: *binaries, Length: *length, Lease: *lease,
		Seed: *seed, Play: *play, Standing: standing, Delay: *delay, Rate: *rate, LeaveBound: 2 * time.Second, Timed: true, Out: os.Stdout})
	if err != nil {
		fmt.Fprintf(os.Stderr, "rehearsal: %v (logs in %s)\n", err, *folder)
		return 1
	}
	if *keep {
		return 0
	}
	report.Print(os.Stdout)
	file := filepath.Join(*folder, "report.json")
	if err := report.Write(file); err != nil {
		fmt.Fprintln(os.Stderr, "rehearsal:", err)
		return 1
	}
	fmt.Println("report in", file)
	if report.Breaches > 0 {
		return 1
	}
	return 0
}
