package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/options"
	"meadowhinge/internal/registry"
)

// Exit codes, which let scripts tell the kinds of failure apart.
const (
	exitNotFound    = 1 // no store that answered knows the change
	exitUsage       = 2 // the command line is invalid
	exitUnreachable = 3 // no core member, or no store, answered
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// settings are the parsed command line.
type settings struct {
	registries  string        // IP:port of every registry's operator interface, separated by commas
	timeout     time.Duration // bound of one request to one registry
	asJSON      bool          // print the traces as JSON instead of as a timeline
	showVersion bool          // print the program's version and exit
	changeID    string        // change to trace; empty with showVersion
}

// run executes one command line and returns the program's exit code.
func run(args []string, out, errOut io.Writer) int {
	s, code, done := parseFlags(args, errOut)
	if done {
		return code
	}
	if s.showVersion {
		printLine(out, "tracer", options.Version)
		return 0
	}
	traces, unreachable := fetchTraces(options.SplitList(s.registries), s.changeID, s.timeout)
	if len(traces) == 0 {
		printLine(errOut, "tracer:", errs.New(errs.NoQuorum, "no answer from "+strings.Join(unreachable, ", ")))
		return exitUnreachable
	}
	found, storesReachable := summarize(traces)
	switch {
	case s.asJSON:
		// Encoding cannot fail, because traces have no values that JSON cannot express.
		detail, _ := json.MarshalIndent(map[string]any{"traces": traces, "silent": unreachable}, "", "  ")
		printLine(out, string(detail))
	case found:
		printTimeline(out, s.changeID, traces, unreachable)
	}
	switch {
	case found:
		return 0
	case !storesReachable:
		printLine(errOut, "tracer:", errs.New(errs.NoQuorum, "no store answered"))
		return exitUnreachable
	}
	detail := s.changeID
	if len(unreachable) > 0 {
		detail += "; no answer from " + strings.Join(unreachable, ", ")
	}
	printLine(errOut, "tracer:", errs.New(errs.ChangeNotFound, detail))
	return exitNotFound
}

// parseFlags parses and checks the command line. If done is true, the program must exit with code.
func parseFlags(args []string, errOut io.Writer) (s settings, code int, done bool) {
	flags := flag.NewFlagSet("tracer", flag.ContinueOnError)
	flags.SetOutput(errOut)
	flags.StringVar(&s.registries, "registries", "127.0.0.1:7102", "IP:port of every registry's operator interface, by comma")
	flags.DurationVar(&s.timeout, "timeout", 3*time.Second, "longest wait for one registry")
	flags.BoolVar(&s.asJSON, "json", false, "print what each core machine said, as JSON")
	flags.BoolVar(&s.showVersion, "version", false, "print the version and leave")
	flags.Usage = func() {
		printf(errOut, "usage: tracer [flags] CHANGE-ID\n\n")
		flags.PrintDefaults()
	}
	if err := ff.Parse(flags, args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return s, 0, true
		}
		return s, exitUsage, true
	}
	if s.showVersion {
		return s, 0, false
	}
	if flags.NArg() != 1 {
		flags.Usage()
		return s, exitUsage, true
	}
	for _, address := range options.SplitList(s.registries) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			printLine(errOut, "tracer:", errs.New(errs.InvalidOptions, fmt.Sprintf("registries: %q is not IP:port", address)))
			return s, exitUsage, true
		}
	}
	s.changeID = flags.Arg(0)
	return s, 0, false
}

// summarize reports whether any store knows the change, and whether any store answered its registry.
func summarize(traces []registry.ChangeTrace) (found, storesReachable bool) {
	for i := range traces {
		found = found || traces[i].KnownToStore
		storesReachable = storesReachable || !traces[i].StoreUnreachable
	}
	return found, storesReachable
}

// printf and printLine write to the terminal or to a pipe. They ignore failed writes, because there is
// nowhere left to report them.
func printf(out io.Writer, format string, values ...any) {
	_, _ = fmt.Fprintf(out, format, values...)
}

func printLine(out io.Writer, values ...any) {
	_, _ = fmt.Fprintln(out, values...)
}
