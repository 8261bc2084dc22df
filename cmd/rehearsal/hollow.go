package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/options"
	"meadowhinge/internal/rehearsal"
	"meadowhinge/schema"
)

// parse reads settings of a run; done tells that there is nothing more to do, by an exit code.
func parse(program string, args []string, target proto.Message, check func() options.Faults, folder, binaries *string) (code int, done bool) {
	err := options.Parse(program, args, target, os.Stdout)
	if err == nil {
		if faults := check(); len(faults) > 0 {
			err = faults
		}
	}
	if err != nil {
		return options.ExitCode(program, err, os.Stderr), true
	}
	return places(program, folder, binaries)
}

// places settles where a run writes and where its programs are.
func places(program string, folder, binaries *string) (code int, done bool) {
	if *folder == "" {
		made, err := os.MkdirTemp("", "rehearsal-")
		if err != nil {
			fmt.Fprintln(os.Stderr, program+":", err)
			return 1, true
		}
		*folder = made
	}
	if *binaries == "" {
		self, err := os.Executable()
		if err != nil {
			fmt.Fprintln(os.Stderr, program+":", err)
			return 1, true
		}
		*binaries = filepath.Dir(self)
	}
	return 0, false
}

// interrupted ends with a signal, so that a run that is broken off takes its processes along.
func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// hollow runs hollow members against a real core.
func hollow(args []string) int {
	const program = "rehearsal hollow"
	given := &schema.HollowOptions{}
	if code, done := parse(program, args, given, func() options.Faults { return rehearsal.CheckHollow(given) }, &given.Folder, &given.Binaries); done {
		return code
	}
	ctx, stop := interrupted()
	defer stop()
	report, err := rehearsal.RunHollow(ctx, given, os.Stderr)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v (logs in %s)\n", program, err, given.Folder)
		return 1
	}
	report.Print(os.Stdout)
	file := filepath.Join(given.Folder, "report.json")
	if err := errors.Join(report.Write(file), report.Draw(given.Folder, given.Plots)); err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		return 1
	}
	fmt.Println("report in", file)
	return 0
}

// slopes runs a series of hollow fleets and fits what each driver costs.
func slopes(args []string) int {
	const program = "rehearsal slopes"
	given := &schema.SlopesOptions{}
	if code, done := parse(program, args, given, func() options.Faults { return rehearsal.CheckSlopes(given) }, &given.Folder, &given.Binaries); done {
		return code
	}
	ctx, stop := interrupted()
	defer stop()
	report, err := rehearsal.RunSlopes(ctx, given, os.Stderr)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v (runs in %s)\n", program, err, given.Folder)
		return 1
	}
	report.Print(os.Stdout)
	file := filepath.Join(given.Folder, "slopes.json")
	if err := errors.Join(report.Write(file), report.Draw(given.Folder, given.Plots)); err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		return 1
	}
	fmt.Println("slopes in", file)
	return 0
}

// calls runs chains of calls through real proxies and fits what one costs.
func calls(args []string) int {
	const program = "rehearsal calls"
	given := &schema.CallsOptions{}
	if code, done := parse(program, args, given, func() options.Faults { return rehearsal.CheckCalls(given) }, &given.Folder, &given.Binaries); done {
		return code
	}
	ctx, stop := interrupted()
	defer stop()
	report, err := rehearsal.RunCalls(ctx, given, os.Stderr)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v (logs in %s)\n", program, err, given.Folder)
		return 1
	}
	report.Print(os.Stdout)
	file := filepath.Join(given.Folder, "calls.json")
	if err := errors.Join(report.Write(file), report.Draw(given.Folder, given.Plots)); err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		return 1
	}
	fmt.Println("calls in", file)
	return 0
}
