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
	exitUnknown     = 1 // no store that answered knows the change
	exitUsage       = 2
	exitUnreachable = 3 // nobody answered
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, complaint io.Writer) int {
	set := flag.NewFlagSet("tracer", flag.ContinueOnError)
	set.SetOutput(complaint)
	registries := set.String("registries", "127.0.0.1:7102", "IP:port of every registry's operator interface, by comma")
	timeout := set.Duration("timeout", 3*time.Second, "longest wait for one registry")
	asJSON := set.Bool("json", false, "print what each core machine said, as JSON")
	version := set.Bool("version", false, "print the version and leave")
	set.Usage = func() {
		fmt.Fprintf(complaint, "usage: tracer [flags] CHANGE-ID\n\n")
		set.PrintDefaults()
	}
	if err := ff.Parse(set, args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return exitUsage
	}
	if *version {
		fmt.Fprintln(out, "tracer", options.Version)
		return 0
	}
	if set.NArg() != 1 {
		set.Usage()
		return exitUsage
	}
	for _, address := range options.SplitList(*registries) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			fmt.Fprintln(complaint, "tracer:", errs.New(errs.InvalidOptions, fmt.Sprintf("registries: %q is not IP:port", address)))
			return exitUsage
		}
	}
	traces, silent := ask(options.SplitList(*registries), set.Arg(0), *timeout)
	if len(traces) == 0 {
		fmt.Fprintln(complaint, "tracer:", errs.New(errs.NoQuorum, "no answer from "+strings.Join(silent, ", ")))
		return exitUnreachable
	}
	known := false
	stores := 0
	for _, one := range traces {
		known = known || one.KnownToStore
		if !one.StoreUnreachable {
			stores++
		}
	}
	if *asJSON {
		text, _ := json.MarshalIndent(map[string]any{"traces": traces, "silent": silent}, "", "  ")
		fmt.Fprintln(out, string(text))
	} else if known {
		tell(out, set.Arg(0), traces, silent)
	}
	switch {
	case known:
		return 0
	case stores == 0:
		fmt.Fprintln(complaint, "tracer:", errs.New(errs.NoQuorum, "no store answered"))
		return exitUnreachable
	}
	text := set.Arg(0)
	if len(silent) > 0 {
		text += "; no answer from " + strings.Join(silent, ", ")
	}
	fmt.Fprintln(complaint, "tracer:", errs.New(errs.ChangeNotFound, text))
	return exitUnknown
}

// ask asks every core machine, each once.
func ask(addresses []string, id string, timeout time.Duration) (traces []registry.ChangeTrace, silent []string) {
	client := &http.Client{Timeout: timeout}
	for _, address := range addresses {
		response, err := client.Get("http://" + address + "/v1/trace/" + id)
		if err != nil {
			silent = append(silent, address)
			continue
		}
		one := registry.ChangeTrace{}
		err = json.NewDecoder(response.Body).Decode(&one)
		response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			silent = append(silent, address)
			continue
		}
		traces = append(traces, one)
	}
	sort.Slice(traces, func(i, j int) bool { return traces[i].MemberID < traces[j].MemberID })
	return traces, silent
}

// tell prints the steps in the order in which they happened.
func tell(out io.Writer, id string, traces []registry.ChangeTrace, silent []string) {
	type step struct {
		at   time.Time
		what string
	}
	var steps []step
	applied := map[string]time.Time{}
	missing := map[string]bool{}
	for _, one := range traces {
		if one.KnownToStore && one.Sequence > 0 {
			if one.Appended.IsZero() || one.Leader == one.MemberID {
				fmt.Fprintf(out, "change %s: %s as %d in epoch %d; the duty is now with %s\n", id, one.Ruling, one.Sequence, one.Term, one.Leader)
				break
			}
		}
	}
	for _, one := range traces {
		add := func(at time.Time, what string) {
			if !at.IsZero() {
				steps = append(steps, step{at, what})
			}
		}
		add(one.Appended, "store "+one.MemberID+" took it")
		add(one.Durable, "store "+one.MemberID+" synced it")
		add(one.Committed, "store "+one.MemberID+" knew it stable")
		add(one.Seen, "registry "+one.MemberID+" had it")
		add(one.Acknowledged, "registry "+one.MemberID+" acknowledged it")
		for proxy, at := range one.Applied {
			if held, found := applied[proxy]; !found || at.Before(held) {
				applied[proxy] = at
			}
		}
		for _, proxy := range one.Laggards {
			missing[proxy] = true
		}
	}
	for proxy, at := range applied {
		steps = append(steps, step{at, "proxy " + proxy + " applied it"})
	}
	sort.Slice(steps, func(i, j int) bool { return steps[i].at.Before(steps[j].at) })
	for _, one := range steps {
		fmt.Fprintf(out, "%s  %+9.3f ms  %s\n", one.at.Format("15:04:05.000000"), float64(one.at.Sub(steps[0].at))/float64(time.Millisecond), one.what)
	}
	for _, one := range traces {
		switch {
		case one.StoreUnreachable:
			fmt.Fprintf(out, "missing: store %s does not answer its registry\n", one.MemberID)
		case !one.KnownToStore:
			fmt.Fprintf(out, "missing: store %s does not know the change\n", one.MemberID)
		case one.Committed.IsZero() && one.Ruling != "":
			fmt.Fprintf(out, "missing: store %s was told of it in a digest, or does not know it stable yet\n", one.MemberID)
		}
	}
	for _, proxy := range sorted(missing) {
		if _, found := applied[proxy]; !found {
			fmt.Fprintf(out, "missing: proxy %s has a lease and has not applied it\n", proxy)
		}
	}
	for _, address := range silent {
		fmt.Fprintf(out, "missing: no answer from the core machine at %s\n", address)
	}
}

func sorted(set map[string]bool) []string {
	var names []string
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
