// Command tracer follows one change through all nodes: admission, each store's sync, when it
// was stable, each registry, each proxy, the acknowledgement, and who is still missing.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/options"
	"meadowhinge/internal/registry"
)

// Exit codes.
const (
	exitNotFound    = 1 // no store that answered knows the change
	exitUsage       = 2
	exitUnreachable = 3 // nobody answered
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("tracer", flag.ContinueOnError)
	flags.SetOutput(errOut)
	registries := flags.String("registries", "127.0.0.1:7102", "IP:port of every registry's operator interface, by comma")
	timeout := flags.Duration("timeout", 3*time.Second, "longest wait for one registry")
	asJSON := flags.Bool("json", false, "print what each core machine said, as JSON")
	showVersion := flags.Bool("version", false, "print the version and leave")
	flags.Usage = func() {
		fmt.Fprintf(errOut, "usage: tracer [flags] CHANGE-ID\n\n")
		flags.PrintDefaults()
	}
	if err := ff.Parse(flags, args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return exitUsage
	}
	if *showVersion {
		fmt.Fprintln(out, "tracer", options.Version)
		return 0
	}
	if flags.NArg() != 1 {
		flags.Usage()
		return exitUsage
	}
	for _, address := range options.SplitList(*registries) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			fmt.Fprintln(errOut, "tracer:", errs.New(errs.InvalidOptions, fmt.Sprintf("registries: %q is not IP:port", address)))
			return exitUsage
		}
	}
	traces, unreachable := fetchTraces(options.SplitList(*registries), flags.Arg(0), *timeout)
	if len(traces) == 0 {
		fmt.Fprintln(errOut, "tracer:", errs.New(errs.NoQuorum, "no answer from "+strings.Join(unreachable, ", ")))
		return exitUnreachable
	}
	found := false
	reachableStores := 0
	for _, trace := range traces {
		found = found || trace.KnownToStore
		if !trace.StoreUnreachable {
			reachableStores++
		}
	}
	if *asJSON {
		detail, _ := json.MarshalIndent(map[string]any{"traces": traces, "silent": unreachable}, "", "  ")
		fmt.Fprintln(out, string(detail))
	} else if found {
		printTimeline(out, flags.Arg(0), traces, unreachable)
	}
	switch {
	case found:
		return 0
	case reachableStores == 0:
		fmt.Fprintln(errOut, "tracer:", errs.New(errs.NoQuorum, "no store answered"))
		return exitUnreachable
	}
	detail := flags.Arg(0)
	if len(unreachable) > 0 {
		detail += "; no answer from " + strings.Join(unreachable, ", ")
	}
	fmt.Fprintln(errOut, "tracer:", errs.New(errs.ChangeNotFound, detail))
	return exitNotFound
}

// fetchTraces asks every core machine, each once.
func fetchTraces(addresses []string, id string, timeout time.Duration) (traces []registry.ChangeTrace, unreachable []string) {
	client := &http.Client{Timeout: timeout}
	for _, address := range addresses {
		response, err := client.Get("http://" + address + "/v1/trace/" + id)
		if err != nil {
			unreachable = append(unreachable, address)
			continue
		}
		trace := registry.ChangeTrace{}
		err = json.NewDecoder(response.Body).Decode(&trace)
		response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			unreachable = append(unreachable, address)
			continue
		}
		traces = append(traces, trace)
	}
	sort.Slice(traces, func(i, j int) bool { return traces[i].MemberID < traces[j].MemberID })
	return traces, unreachable
}

// printTimeline prints the steps in the order in which they happened.
func printTimeline(out io.Writer, id string, traces []registry.ChangeTrace, unreachable []string) {
	type step struct {
		at    time.Time
		event string
	}
	var steps []step
	applied := map[string]time.Time{}
	lagging := map[string]bool{}
	for _, entry := range traces {
		if entry.KnownToStore && entry.Sequence > 0 {
			if entry.Appended.IsZero() || entry.Leader == entry.MemberID {
				fmt.Fprintf(out, "change %s: %s as %d in epoch %d; the duty is now with %s\n", id, entry.Ruling, entry.Sequence, entry.Term, entry.Leader)
				break
			}
		}
	}
	for _, entry := range traces {
		add := func(at time.Time, event string) {
			if !at.IsZero() {
				steps = append(steps, step{at, event})
			}
		}
		add(entry.Appended, "store "+entry.MemberID+" took it")
		add(entry.Durable, "store "+entry.MemberID+" synced it")
		add(entry.Committed, "store "+entry.MemberID+" knew it stable")
		add(entry.Seen, "registry "+entry.MemberID+" had it")
		add(entry.Acknowledged, "registry "+entry.MemberID+" acknowledged it")
		for proxy, at := range entry.Applied {
			if earliest, found := applied[proxy]; !found || at.Before(earliest) {
				applied[proxy] = at
			}
		}
		for _, proxy := range entry.Laggards {
			lagging[proxy] = true
		}
	}
	for proxy, at := range applied {
		steps = append(steps, step{at, "proxy " + proxy + " applied it"})
	}
	sort.Slice(steps, func(i, j int) bool { return steps[i].at.Before(steps[j].at) })
	for _, entry := range steps {
		fmt.Fprintf(out, "%s  %+9.3f ms  %s\n", entry.at.Format("15:04:05.000000"), float64(entry.at.Sub(steps[0].at))/float64(time.Millisecond), entry.event)
	}
	for _, entry := range traces {
		switch {
		case entry.StoreUnreachable:
			fmt.Fprintf(out, "missing: store %s does not answer its registry\n", entry.MemberID)
		case !entry.KnownToStore:
			fmt.Fprintf(out, "missing: store %s does not know the change\n", entry.MemberID)
		case entry.Committed.IsZero() && entry.Ruling != "":
			fmt.Fprintf(out, "missing: store %s was told of it in a digest, or does not know it stable yet\n", entry.MemberID)
		}
	}
	for _, proxy := range sortedNames(lagging) {
		if _, found := applied[proxy]; !found {
			fmt.Fprintf(out, "missing: proxy %s has a lease and has not applied it\n", proxy)
		}
	}
	for _, address := range unreachable {
		fmt.Fprintf(out, "missing: no answer from the core machine at %s\n", address)
	}
}

func sortedNames(set map[string]bool) []string {
	var names []string
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
