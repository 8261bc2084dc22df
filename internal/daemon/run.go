package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/flightrecorder"
	"meadowhinge/internal/options"
)

// The exit codes of Run. Invalid settings have their own, so that a supervisor does not restart the program with the
// same settings.
const (
	exitSuccess     = 0
	exitFailure     = 1
	exitBadSettings = 2
)

// defaultGCPercent is the garbage collection target percentage if the operator sets no GOGC: the growth of the heap
// after which it is collected, in percent of the live heap.
const defaultGCPercent = 100

// Run runs a long-running program and returns its exit code. It reads the settings from source into target and calls
// body, whose context ends on SIGTERM or SIGINT. recorderOptions is called once the settings are read, and returns the
// folder and the number of log lines for the flight recorder.
//
// The exit code is 0 if body returned no error, or if the command line asked for help or the version, in which case body
// is not called. It is 2 if settings are invalid, and 1 after any other error.
func Run(
	program string,
	source SettingsSource,
	target proto.Message,
	recorderOptions func() (directory string, lines int64),
	body func(ctx context.Context, environment *Environment) error,
) int {
	// The handler of SIGHUP is installed before anything else. A SIGHUP at any time then reloads the settings and never
	// ends the program.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	loaded, err := source.load(program, target, os.Stdout)
	if err != nil {
		return options.ExitCode(program, err, os.Stderr)
	}
	directory, lines := recorderOptions()
	environment := newEnvironment(flightrecorder.New(directory, program, int(lines)))
	environment.settings = newSettingsWatcher(program, source, target, loaded, reloadSignals, environment.Log)
	limitHeapGrowth()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := body(ctx, environment); err != nil {
		return environment.reportFailure(program, err)
	}
	return exitSuccess
}

// limitHeapGrowth sets the garbage collection target percentage to defaultGCPercent, to keep the peak of the heap low.
// Memory is scarce on edge machines. The heap is small there, so collecting it costs little. GOGC takes precedence if an
// operator sets it.
func limitHeapGrowth() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(defaultGCPercent)
	}
}

// reportFailure logs the error with which a program ended, writes the log lines of the flight recorder out, and returns
// the exit code.
func (e *Environment) reportFailure(program string, err error) int {
	e.Log.Error(err, "program failed", "program", program)
	_ = e.Recorder.Dump(true) // a failure to write the lines must not hide the program's own error
	fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	// Some settings are found to be invalid only when they are used, such as an address that is taken.
	if errs.CodeOf(err) == errs.InvalidOptions {
		return exitBadSettings
	}
	return exitFailure
}
