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

// The exit codes of Run. Bad settings have one of their own, so that a supervisor does not restart the program
// with them.
const (
	exitSuccess     = 0
	exitFailure     = 1
	exitBadSettings = 2
)

// defaultGCPercent is how much the heap may grow, in percent, before it is collected.
const defaultGCPercent = 100

// Run reads settings from source into target, then runs body until SIGTERM, SIGINT or its own end; it returns the
// exit code. recorderOptions is called after the settings are read. The context of body ends with the signal.
func Run(
	program string,
	source Source,
	target proto.Message,
	recorderOptions func() (directory string, lines int64),
	body func(ctx context.Context, environment *Environment) error,
) int {
	// Registered first, so that a SIGHUP at any time reloads the settings and never ends the program.
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

// limitHeapGrowth keeps the heap's peak low: memory is scarce on edge machines, and collecting so small a heap
// costs little. An operator's GOGC takes precedence.
func limitHeapGrowth() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(defaultGCPercent)
	}
}

// reportFailure logs the error with which a program ended, writes the flight recorder out, and gives the exit code.
func (e *Environment) reportFailure(program string, err error) int {
	e.Log.Error(err, "program failed", "program", program)
	_ = e.Recorder.Dump(true) // the program's own error is the one to report
	fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	// Some settings are found to be bad only when they are used.
	if errs.CodeOf(err) == errs.InvalidOptions {
		return exitBadSettings
	}
	return exitFailure
}
