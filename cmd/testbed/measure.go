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

// measuredReport is the result of a measurement.
type measuredReport interface {
	Print(out io.Writer)                    // prints the result as text
	Write(file string) error                // writes the result as JSON
	WritePlots(folder, format string) error // writes the plots in a file format
}

// measurement describes a subcommand that measures costs instead of checking invariants. The pointers point
// to fields of opts, which are set when the arguments are parsed.
type measurement struct {
	name       string                // name of the subcommand
	reportName string                // name of the report; it is written to reportName.json
	leftover   string                // what a failed run leaves in folder, for the error message
	opts       proto.Message         // options that the arguments are parsed into
	folder     *string               // folder of data, logs and reports
	binaries   *string               // folder of the programs proxy, registry and store
	plots      *string               // file format of the plots
	validate   func() options.Faults // checks opts after parsing
	// run makes the measurement. It writes its progress to out.
	run func(ctx context.Context, out io.Writer) (measuredReport, error)
}

// measure parses the arguments, runs the measurement, prints its report, and writes the report and its
// plots to folder. It returns the exit code.
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
	file := filepath.Join(*m.folder, m.reportName+".json")
	if err := errors.Join(report.Write(file), report.WritePlots(*m.folder, *m.plots)); err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		return 1
	}
	fmt.Println(m.reportName+" in", file)
	return 0
}

// parse parses and validates the arguments. If exit is true, the program must exit with code.
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

// signalContext returns a context that ends at SIGINT or SIGTERM, so that an interrupted run still stops the
// processes that it started.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// runHollow measures the cost of a member, with proxies without listeners against a real core.
func runHollow(args []string) int {
	opts := &schema.HollowOptions{}
	return measurement{
		name:       "hollow",
		reportName: "report",
		leftover:   "logs",
		opts:       opts,
		folder:     &opts.Folder,
		binaries:   &opts.Binaries,
		plots:      &opts.Plots,
		validate:   func() options.Faults { return testbed.ValidateHollow(opts) },
		run: func(ctx context.Context, out io.Writer) (measuredReport, error) {
			return testbed.RunHollow(ctx, opts, out)
		},
	}.measure(args)
}

// runSlopes measures a series of hollow fleets and fits the cost of each cost driver.
func runSlopes(args []string) int {
	opts := &schema.SlopesOptions{}
	return measurement{
		name:       "slopes",
		reportName: "slopes",
		leftover:   "runs",
		opts:       opts,
		folder:     &opts.Folder,
		binaries:   &opts.Binaries,
		plots:      &opts.Plots,
		validate:   func() options.Faults { return testbed.ValidateSlopes(opts) },
		run: func(ctx context.Context, out io.Writer) (measuredReport, error) {
			return testbed.RunSlopes(ctx, opts, out)
		},
	}.measure(args)
}

// runCalls measures chains of calls through real proxies and fits the cost of one call.
func runCalls(args []string) int {
	opts := &schema.CallsOptions{}
	return measurement{
		name:       "calls",
		reportName: "calls",
		leftover:   "logs",
		opts:       opts,
		folder:     &opts.Folder,
		binaries:   &opts.Binaries,
		plots:      &opts.Plots,
		validate:   func() options.Faults { return testbed.ValidateCalls(opts) },
		run: func(ctx context.Context, out io.Writer) (measuredReport, error) {
			return testbed.RunCalls(ctx, opts, out)
		},
	}.measure(args)
}
