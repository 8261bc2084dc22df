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
	"meadowhinge/internal/testbed"
	"meadowhinge/schema"
)

// parseOptions reads settings of a run; done tells that there is nothing more to do, by an exit code.
func parseOptions(program string, args []string, target proto.Message, validate func() options.Faults, folder, binaries *string) (code int, exit bool) {
	err := options.Parse(program, args, target, os.Stdout)
	if err == nil {
		if faults := validate(); len(faults) > 0 {
			err = faults
		}
	}
	if err != nil {
		return options.ExitCode(program, err, os.Stderr), true
	}
	return resolveFolders(program, folder, binaries)
}

// resolveFolders settles where a run writes and where its programs are.
func resolveFolders(program string, folder, binaries *string) (code int, exit bool) {
	if *folder == "" {
		temporary, err := os.MkdirTemp("", "testbed-")
		if err != nil {
			fmt.Fprintln(os.Stderr, program+":", err)
			return 1, true
		}
		*folder = temporary
	}
	if *binaries == "" {
		executable, err := os.Executable()
		if err != nil {
			fmt.Fprintln(os.Stderr, program+":", err)
			return 1, true
		}
		*binaries = filepath.Dir(executable)
	}
	return 0, false
}

// signalContext ends with a signal, so that a run that is broken off takes its processes along.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// runHollow runs hollow members against a real core.
func runHollow(args []string) int {
	const program = "testbed hollow"
	opts := &schema.HollowOptions{}
	if code, exit := parseOptions(program, args, opts, func() options.Faults { return testbed.ValidateHollow(opts) }, &opts.Folder, &opts.Binaries); exit {
		return code
	}
	ctx, stop := signalContext()
	defer stop()
	report, err := testbed.RunHollow(ctx, opts, os.Stderr)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v (logs in %s)\n", program, err, opts.Folder)
		return 1
	}
	report.Print(os.Stdout)
	file := filepath.Join(opts.Folder, "report.json")
	if err := errors.Join(report.Write(file), report.WritePlots(opts.Folder, opts.Plots)); err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		return 1
	}
	fmt.Println("report in", file)
	return 0
}

// runSlopes runs a series of hollow fleets and fits what each driver costs.
func runSlopes(args []string) int {
	const program = "testbed slopes"
	opts := &schema.SlopesOptions{}
	if code, exit := parseOptions(program, args, opts, func() options.Faults { return testbed.ValidateSlopes(opts) }, &opts.Folder, &opts.Binaries); exit {
		return code
	}
	ctx, stop := signalContext()
	defer stop()
	report, err := testbed.RunSlopes(ctx, opts, os.Stderr)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v (runs in %s)\n", program, err, opts.Folder)
		return 1
	}
	report.Print(os.Stdout)
	file := filepath.Join(opts.Folder, "slopes.json")
	if err := errors.Join(report.Write(file), report.WritePlots(opts.Folder, opts.Plots)); err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		return 1
	}
	fmt.Println("slopes in", file)
	return 0
}

// runCalls runs chains of calls through real proxies and fits what one costs.
func runCalls(args []string) int {
	const program = "testbed calls"
	opts := &schema.CallsOptions{}
	if code, exit := parseOptions(program, args, opts, func() options.Faults { return testbed.ValidateCalls(opts) }, &opts.Folder, &opts.Binaries); exit {
		return code
	}
	ctx, stop := signalContext()
	defer stop()
	report, err := testbed.RunCalls(ctx, opts, os.Stderr)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v (logs in %s)\n", program, err, opts.Folder)
		return 1
	}
	report.Print(os.Stdout)
	file := filepath.Join(opts.Folder, "calls.json")
	if err := errors.Join(report.Write(file), report.WritePlots(opts.Folder, opts.Plots)); err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		return 1
	}
	fmt.Println("calls in", file)
	return 0
}
