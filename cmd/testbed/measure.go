package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/options"
	"meadowhinge/internal/testbed"
	"meadowhinge/schema"
)

// measuredReport is what a run that measures, rather than checks, returns.
type measuredReport interface {
	Print(out io.Writer)
	Write(file string) error
	WritePlots(folder, format string) error
}

// measurement is one kind of run that measures. The pointers are fields of opts, which parsing fills in.
type measurement struct {
	name     string // of the subcommand
	noun     string // what the report is called; its file is noun.json
	leftover string // what a failed run leaves in its folder
	opts     proto.Message
	folder   *string
	binaries *string
	plots    *string // format of the plots
	validate func() options.Faults
	run      func(ctx context.Context, out io.Writer) (measuredReport, error)
}

// measure parses the arguments, runs the measurement, prints its report and writes it beside the
// plots. It returns the exit code.
func (m measurement) measure(args []string) int {
	program := "testbed " + m.name
	if code, exit := m.parse(program, args); exit {
		return code
	}
	ctx, stop := signalContext()
	defer stop()
	report, err := m.run(ctx, os.Stderr)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v (%s in %s)\n", program, err, m.leftover, *m.folder)
		return 1
	}
	report.Print(os.Stdout)
	file := filepath.Join(*m.folder, m.noun+".json")
	if err := errors.Join(report.Write(file), report.WritePlots(*m.folder, *m.plots)); err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		return 1
	}
	fmt.Println(m.noun+" in", file)
	return 0
}

// parse reads and validates the settings. If exit, there is nothing more to do and code is the exit
// code.
func (m measurement) parse(program string, args []string) (code int, exit bool) {
	err := options.Parse(program, args, m.opts, os.Stdout)
	if err == nil {
		if faults := m.validate(); len(faults) > 0 {
			err = faults
		}
	}
	if err != nil {
		return options.ExitCode(program, err, os.Stderr), true
	}
	return resolveFolders(program, m.folder, m.binaries)
}

// signalContext ends at SIGINT or SIGTERM, so that a run that is interrupted ends its processes.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// runHollow runs hollow members against a real core.
func runHollow(args []string) int {
	opts := &schema.HollowOptions{}
	return measurement{
		name:     "hollow",
		noun:     "report",
		leftover: "logs",
		opts:     opts,
		folder:   &opts.Folder,
		binaries: &opts.Binaries,
		plots:    &opts.Plots,
		validate: func() options.Faults { return testbed.ValidateHollow(opts) },
		run: func(ctx context.Context, out io.Writer) (measuredReport, error) {
			return testbed.RunHollow(ctx, opts, out)
		},
	}.measure(args)
}

// runSlopes runs a series of hollow fleets and fits what each driver costs.
func runSlopes(args []string) int {
	opts := &schema.SlopesOptions{}
	return measurement{
		name:     "slopes",
		noun:     "slopes",
		leftover: "runs",
		opts:     opts,
		folder:   &opts.Folder,
		binaries: &opts.Binaries,
		plots:    &opts.Plots,
		validate: func() options.Faults { return testbed.ValidateSlopes(opts) },
		run: func(ctx context.Context, out io.Writer) (measuredReport, error) {
			return testbed.RunSlopes(ctx, opts, out)
		},
	}.measure(args)
}

// runCalls runs chains of calls through real proxies and fits what one call costs.
func runCalls(args []string) int {
	opts := &schema.CallsOptions{}
	return measurement{
		name:     "calls",
		noun:     "calls",
		leftover: "logs",
		opts:     opts,
		folder:   &opts.Folder,
		binaries: &opts.Binaries,
		plots:    &opts.Plots,
		validate: func() options.Faults { return testbed.ValidateCalls(opts) },
		run: func(ctx context.Context, out io.Writer) (measuredReport, error) {
			return testbed.RunCalls(ctx, opts, out)
		},
	}.measure(args)
}
