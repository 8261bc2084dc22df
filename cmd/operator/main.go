// Command operator is how operators state setups and watch what comes of them.
package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"meadowhinge/internal/config"
	"meadowhinge/internal/configsource"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/options"
	"meadowhinge/internal/registry"
	"meadowhinge/internal/statuspage"
)

// Exit codes: what a script can tell apart.
const (
	exitRejected    = 1 // the mesh said no
	exitUsage       = 2
	exitUnreachable = 3 // no registry answered, or the outcome is not known
)

type client struct {
	registries string
	timeout    time.Duration
	asJSON     bool
	in         io.Reader
	out        io.Writer
	errOut     io.Writer
}

// request calls the first registry that answers and gives its status and body.
func (c *client) request(method, path string, body any) (int, []byte, error) {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return 0, nil, errs.Wrap(err, errs.Internal, "request")
		}
	}
	unreachable := []string{}
	var unavailable []byte
	for _, address := range options.SplitList(c.registries) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return 0, nil, errs.New(errs.InvalidOptions, fmt.Sprintf("registries: %q is not IP:port", address))
		}
		ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
		request, _ := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(encoded))
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			cancel()
			unreachable = append(unreachable, address)
			continue
		}
		text, err := io.ReadAll(response.Body)
		response.Body.Close()
		cancel()
		if err != nil {
			unreachable = append(unreachable, address)
			continue
		}
		// One that has just started may not know; a question does no harm at another.
		if method == http.MethodGet && response.StatusCode == http.StatusServiceUnavailable {
			unavailable = text
			continue
		}
		return response.StatusCode, text, nil
	}
	if unavailable != nil {
		return http.StatusServiceUnavailable, unavailable, nil
	}
	return 0, nil, errs.New(errs.NoQuorum, "no answer from "+strings.Join(unreachable, ", "))
}

// exitError carries an exit code out of a command.
type exitError struct {
	code int
	err  error
}

func (f *exitError) Error() string { return f.err.Error() }

// get asks for a page and decodes it, or prints it as it came.
func (c *client) get(path string, target any) (printed bool, err error) {
	status, text, err := c.request(http.MethodGet, path, nil)
	if err != nil {
		return false, &exitError{exitUnreachable, err}
	}
	if status != http.StatusOK {
		return false, &exitError{exitRejected, errs.New(errs.NoQuorum, string(text))}
	}
	if c.asJSON {
		fmt.Fprintln(c.out, string(text))
		return true, nil
	}
	return false, errs.Wrap(json.Unmarshal(text, target), errs.MalformedRequest, path)
}

func (c *client) apply(file, id string) error {
	text, err := os.ReadFile(file)
	if file == "-" {
		text, err = io.ReadAll(c.in)
	}
	if err != nil {
		return &exitError{exitUsage, errs.Wrap(err, errs.InvalidOptions, "setup")}
	}
	return c.submitChange(id, text)
}

// changeRelease states a plan; of a plan that stands, what no flag gives stays as it is.
func (c *client) changeRelease(name string, plan *registry.ReleaseView, setFlags map[string]bool) error {
	var shown []registry.ReleaseView
	decoding := *c
	decoding.asJSON = false
	if _, err := decoding.get("/v1/releases", &shown); err != nil {
		return err
	}
	for _, existing := range shown {
		if existing.Name != name {
			continue
		}
		// Each flag has one field that it overrides.
		for flagName, keepExisting := range map[string]func(){
			"service": func() { plan.Service = existing.Service },
			"version": func() { plan.Version = existing.Version },
			"target":  func() { plan.Target = existing.Target },
			"over":    func() { plan.Duration = existing.Duration },
			"pace":    func() { plan.Pace = existing.Pace },
		} {
			if !setFlags[flagName] {
				keepExisting()
			}
		}
	}
	if plan.Service == "" || plan.Version == "" {
		return &exitError{exitUsage, errs.New(errs.InvalidOptions, "release: a new plan needs -service and -version")}
	}
	return c.submitChange("", []byte(fmt.Sprintf("release: %q: {service: %q, version: %q, target: %v, over: %q, pace: %q}\n", name, plan.Service, plan.Version, plan.Target, plan.Duration, plan.Pace)))
}

// submitChange states a change against what stands now, and waits for what becomes of it.
func (c *client) submitChange(id string, text []byte) error {
	submission := registry.ChangeRequest{ID: id, Config: string(text), ExpectedVersions: map[string]uint64{}}
	if id == "" {
		random := make([]byte, 8)
		_, _ = rand.Read(random)
		submission.ID = "change-" + hex.EncodeToString(random)
	}
	// What stands now is what this change was written against.
	var shown registry.ConfigView
	decoding := *c
	decoding.asJSON = false
	_, err := decoding.get("/v1/setup", &shown)
	if err != nil {
		return err
	}
	items, faults := configsource.Parse(text)
	if len(faults) > 0 {
		for _, fault := range faults {
			fmt.Fprintf(c.errOut, "%s: %s\n", fault.Path, fault.Reason)
		}
		return &exitError{exitRejected, errs.New(errs.InvalidConfig, "nothing of it was sent")}
	}
	for _, item := range items {
		for _, current := range shown.Items {
			if current.Kind == item.Kind && current.Name == item.Name {
				submission.ExpectedVersions[config.Key(item.Kind, item.Name)] = current.Version
			}
		}
	}
	status, body, err := c.request(http.MethodPost, "/v1/changes", submission)
	if err != nil {
		return &exitError{exitUnreachable, errs.Wrap(err, errs.NoQuorum, "ask again with: operator outcome "+submission.ID)}
	}
	return c.printOutcome(status, body)
}

// printOutcome prints what became of a change.
func (c *client) printOutcome(status int, body []byte) error {
	var answer registry.ChangeResponse
	if err := json.Unmarshal(body, &answer); err != nil {
		return &exitError{exitUnreachable, errs.Wrap(err, errs.MalformedRequest, string(body))}
	}
	if c.asJSON {
		fmt.Fprintln(c.out, string(body))
	} else {
		fmt.Fprintf(c.out, "change %s: %s", answer.ID, answer.Ruling)
		if answer.Sequence > 0 {
			fmt.Fprintf(c.out, " as %d", answer.Sequence)
		}
		if answer.Ruling == "accepted" {
			fmt.Fprintf(c.out, ", acknowledged: %v", answer.Acknowledged)
		}
		if len(answer.LaggingProxies) > 0 {
			fmt.Fprintf(c.out, ", still waiting for %s", strings.Join(answer.LaggingProxies, ", "))
		}
		fmt.Fprintln(c.out)
		for _, fault := range answer.Faults {
			fmt.Fprintf(c.out, "  %s: %s\n", fault.Path, fault.Reason)
		}
		for _, key := range slices.Sorted(maps.Keys(answer.CurrentVersions)) {
			fmt.Fprintf(c.out, "  %s stands at %d\n", key, answer.CurrentVersions[key])
		}
		for _, item := range answer.CurrentItems {
			fmt.Fprintf(c.out, "  %s/%s, by change %s: %s\n", item.Kind, item.Name, item.Change, item.Body)
		}
	}
	switch {
	case answer.Ruling == "accepted" && answer.Acknowledged:
		return nil
	case answer.Ruling == "accepted" || status == http.StatusServiceUnavailable:
		return &exitError{exitUnreachable, errs.New(errs.NoQuorum, "not settled; ask again with: operator outcome "+answer.ID)}
	}
	return &exitError{exitRejected, errs.New(answer.ErrorCode, answer.ID)}
}

// printExplanation says in words which version a request would get, and why.
func (c *client) printExplanation(explanation *registry.ExplainResponse) error {
	fmt.Fprintf(c.out, "route %s of service %s, %s, within %s\n", explanation.Route, explanation.Service, explanation.Class, explanation.Deadline)
	if explanation.Policy != "" {
		fmt.Fprintf(c.out, "policy %s: %s\n", explanation.Policy, map[bool]string{true: "refuses it", false: "holds"}[explanation.Refused])
	}
	if explanation.Refused {
		return nil
	}
	verdict := explanation.Verdict
	fmt.Fprintf(c.out, "version %s, because %s of flag %s", verdict.Version, verdict.Reason, verdict.Flag)
	for name, text := range map[string]string{"rule": verdict.RuleID, "error": string(verdict.Error), "in place of": verdict.Evaluated} {
		if text != "" {
			fmt.Fprintf(c.out, ", %s %s", name, text)
		}
	}
	fmt.Fprintf(c.out, ", by setup %d\n", verdict.ConfigRevision)
	fmt.Fprintf(c.out, "workers: %s\n", strings.Join(explanation.Candidates, " "))
	return nil
}

func (c *client) printTable(header string, rows [][]any) {
	writer := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(writer, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(writer, "\t")
			}
			fmt.Fprintf(writer, "%v", cell)
		}
		fmt.Fprintln(writer)
	}
	writer.Flush()
}

func main() { os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

// run does one command and gives its exit code.
func run(words []string, in io.Reader, out, errOut io.Writer) int {
	api := &client{in: in, out: out, errOut: errOut}
	rootFlags := flag.NewFlagSet("operator", flag.ContinueOnError)
	rootFlags.SetOutput(errOut)
	rootFlags.StringVar(&api.registries, "registries", "127.0.0.1:7102", "IP:port of the registries' operator interfaces, by comma")
	rootFlags.DurationVar(&api.timeout, "timeout", 25*time.Second, "longest wait for one registry")
	rootFlags.BoolVar(&api.asJSON, "json", false, "print answers as they came")
	showVersion := rootFlags.Bool("version", false, "print the version and leave")

	newCommand := func(name, usage, help string, flags *flag.FlagSet, words int, exec func(args []string) error) *ffcli.Command {
		if flags == nil {
			flags = flag.NewFlagSet(name, flag.ContinueOnError)
		}
		flags.SetOutput(errOut)
		return &ffcli.Command{Name: name, ShortUsage: "operator [flags] " + usage, ShortHelp: help, FlagSet: flags,
			Exec: func(_ context.Context, args []string) error {
				if len(args) != words {
					return &exitError{exitUsage, errs.New(errs.InvalidOptions, "usage: operator [flags] "+usage)}
				}
				return exec(args)
			}}
	}

	applyFlags := flag.NewFlagSet("apply", flag.ContinueOnError)
	changeID := applyFlags.String("id", "", "change id; a repeat under the same id gets the first outcome")
	explainFlags := flag.NewFlagSet("explain", flag.ContinueOnError)
	caller := explainFlags.String("caller", "client", "which service or client kind calls")
	method := explainFlags.String("method", "GET", "HTTP method")
	zone := explainFlags.String("area", "", "zone the call comes from")
	headers := explainFlags.String("headers", "", "name=value by comma")

	releaseFlags := flag.NewFlagSet("release", flag.ContinueOnError)
	plan := &registry.ReleaseView{}
	releaseFlags.StringVar(&plan.Service, "service", "", "the service")
	releaseFlags.StringVar(&plan.Version, "version", "", "the version to bring in")
	releaseFlags.Float64Var(&plan.Target, "target", 100, "the share it should end with, in percent")
	releaseFlags.StringVar(&plan.Duration, "over", "10m", "the time to get there")
	releaseFlags.StringVar(&plan.Pace, "pace", "go", "go, hold, or back (turn back to the fallback version)")

	addWatchFlags := func(flags *flag.FlagSet) (*time.Duration, *int) {
		return flags.Duration("watch", 0, "show it again and again, with this pause"), flags.Int("times", 0, "how often with -watch; 0 for until Ctrl-C")
	}
	// again shows a page once, or as often as asked for.
	repeat := func(pause *time.Duration, times *int, show func() error) func([]string) error {
		return func([]string) error {
			for shown := 1; ; shown++ {
				if err := show(); err != nil || *pause <= 0 || shown == *times {
					return err
				}
				time.Sleep(*pause)
				fmt.Fprintln(api.out)
			}
		}
	}
	verdictsFlags, releasesFlags := flag.NewFlagSet("verdicts", flag.ContinueOnError), flag.NewFlagSet("releases", flag.ContinueOnError)
	verdictsPause, verdictsTimes := addWatchFlags(verdictsFlags)
	releasesPause, releasesTimes := addWatchFlags(releasesFlags)
	stopFlags := flag.NewFlagSet("stop", flag.ContinueOnError)
	reason := stopFlags.String("reason", "an operator stopped it", "why")
	previousCalls := map[string]uint64{}

	commands := []*ffcli.Command{
		newCommand("stop", "stop [-reason TEXT] SERVICE VERSION", "let a version get no calls; its fallback version serves them", stopFlags, 2, func(args []string) error {
			return api.submitChange("", []byte(fmt.Sprintf("stop: %q: {service: %q, version: %q, reason: %q}\n", config.StopName(args[0], args[1]), args[0], args[1], *reason)))
		}),
		newCommand("lift", "lift SERVICE VERSION", "lift a stop, an operator's or the brake's; the version is tried out anew", nil, 2, func(args []string) error {
			return api.submitChange("", []byte(fmt.Sprintf("stop: %q: {service: %q, version: %q, lifted: true}\n", config.StopName(args[0], args[1]), args[0], args[1])))
		}),
		newCommand("release", "release [-service S] [-version V] [-target PERCENT] [-over TIME] [-pace go|hold|back] NAME", "state a release plan, or change what flags give of one", releaseFlags, 1,
			func(args []string) error {
				setFlags := map[string]bool{}
				releaseFlags.Visit(func(entry *flag.Flag) { setFlags[entry.Name] = true })
				return api.changeRelease(args[0], plan, setFlags)
			}),
		newCommand("cancel", "cancel NAME", "end a release plan; the flag stays as it is", nil, 1, func(args []string) error {
			return api.submitChange("", []byte(fmt.Sprintf("remove: release: [%q]\n", args[0])))
		}),
		newCommand("releases", "releases [-watch TIME] [-times N]", "show release plans: the set point beside the measured share", releasesFlags, 0, repeat(releasesPause, releasesTimes, func() error {
			var shown []registry.ReleaseView
			if done, err := api.get("/v1/releases", &shown); done || err != nil {
				return err
			}
			var rows [][]any
			for _, entry := range shown {
				rows = append(rows, []any{entry.Name, entry.Service, entry.Version, entry.Target, entry.Duration, entry.Pace, entry.State, fmt.Sprintf("%.1f", entry.Percentage), fmt.Sprintf("%.1f", entry.MeasuredPercentage), entry.Reason})
			}
			api.printTable("NAME SERVICE VERSION TARGET OVER PACE STATE SET-POINT MEASURED REASON", rows)
			return nil
		})),
		newCommand("apply", "apply [-id ID] FILE", "state a setup change, written in CUE; - reads standard input", applyFlags, 1,
			func(args []string) error { return api.apply(args[0], *changeID) }),
		newCommand("outcome", "outcome ID", "tell what became of a change", nil, 1, func(args []string) error {
			status, body, err := api.request(http.MethodGet, "/v1/changes/"+args[0], nil)
			if err != nil {
				return &exitError{exitUnreachable, err}
			}
			if status != http.StatusOK {
				return &exitError{exitRejected, errs.New(errs.ChangeNotFound, string(body))}
			}
			return api.printOutcome(status, body)
		}),
		newCommand("show", "show", "show the setup in force", nil, 0, func([]string) error {
			var shown registry.ConfigView
			if done, err := api.get("/v1/setup", &shown); done || err != nil {
				return err
			}
			var rows [][]any
			for _, item := range shown.Items {
				rows = append(rows, []any{item.Kind, item.Name, item.Version, string(item.Body)})
			}
			fmt.Fprintf(api.out, "setup %d\n", shown.Sequence)
			api.printTable("KIND NAME VERSION BODY", rows)
			return nil
		}),
		newCommand("verdicts", "verdicts [-watch TIME] [-times N]", "show verdict counts by flag, variation and reason; watched, also what came since", verdictsFlags, 0, repeat(verdictsPause, verdictsTimes, func() error {
			var lines []registry.VerdictCount
			if done, err := api.get("/v1/verdicts", &lines); done || err != nil {
				return err
			}
			var rows [][]any
			for _, line := range lines {
				key := strings.Join([]string{line.Flag, line.Variation, line.Reason, line.Rule, line.Route, line.Outcome}, " ")
				newCalls := line.Calls - min(previousCalls[key], line.Calls)
				previousCalls[key] = line.Calls
				rows = append(rows, []any{line.Flag, line.Variation, line.Reason, line.Rule, line.Route, line.Outcome, line.Calls, newCalls, line.Failures, fmt.Sprintf("%.2f", line.MeanMS)})
			}
			api.printTable("FLAG VARIATION REASON RULE ROUTE OUTCOME CALLS SINCE FAILURES MEAN-MS", rows)
			return nil
		})),
		newCommand("workers", "workers", "show the workers that described themselves", nil, 0, func([]string) error {
			var shown []registry.WorkerView
			if done, err := api.get("/v1/workers", &shown); done || err != nil {
				return err
			}
			var rows [][]any
			for _, worker := range shown {
				rows = append(rows, []any{worker.Service, worker.Version, worker.Zone, worker.State, worker.Load, worker.Instance})
			}
			api.printTable("SERVICE VERSION AREA STATE LOAD INSTANCE", rows)
			return nil
		}),
		newCommand("status", "status", "show the core: who leads, who the members are, who grants leases, who lags", nil, 0, func([]string) error {
			var status registry.CoreStatus
			if done, err := api.get("/v1/status", &status); done || err != nil {
				return err
			}
			if store := status.Store; store != nil {
				printStoreStatus(api.out, store)
			}
			var rows [][]any
			for _, entry := range status.Registries {
				leases := []string{}
				for _, lease := range entry.Leases {
					leases = append(leases, fmt.Sprintf("%s@%d", lease.Proxy, lease.Applied))
				}
				sort.Strings(leases)
				rows = append(rows, []any{entry.Member, entry.GrantsLeases, entry.Committed, strings.Join(leases, " ")})
			}
			api.printTable("REGISTRY GRANTS STABLE LEASES", rows)
			for _, entry := range status.Registries {
				fmt.Fprintf(api.out, "registry %s: %d keys claimed, its word on them counts: %v\n", entry.Member, entry.KeyReservations, entry.ReservationsAuthoritative)
				for _, conflict := range entry.ConflictingSettings {
					fmt.Fprintf(api.out, "registry %s: SETTINGS CONTRADICT: %s\n", entry.Member, conflict)
				}
			}
			fmt.Fprintf(api.out, "members %d\n", status.LiveProxies)
			return nil
		}),
		newCommand("explain", "explain [flags] PATH", "tell which version a request would get, and why", explainFlags, 1, func(args []string) error {
			status, body, err := api.request(http.MethodPost, "/v1/explain", registry.ExplainRequest{Caller: *caller, Method: *method, Path: args[0], Zone: *zone, Headers: options.SplitPairs(*headers)})
			if err != nil {
				return &exitError{exitUnreachable, err}
			}
			if status != http.StatusOK {
				return &exitError{exitRejected, errs.New(errs.RouteNotFound, string(body))}
			}
			if api.asJSON {
				fmt.Fprintln(api.out, string(body))
				return nil
			}
			var explanation registry.ExplainResponse
			if err := json.Unmarshal(body, &explanation); err != nil {
				return &exitError{exitRejected, errs.Wrap(err, errs.MalformedRequest, "explanation")}
			}
			return api.printExplanation(&explanation)
		}),
	}
	rootCommand := &ffcli.Command{Name: "operator", ShortUsage: "operator [flags] COMMAND", FlagSet: rootFlags, Subcommands: commands,
		Exec: func(context.Context, []string) error {
			if *showVersion {
				fmt.Fprintln(api.out, "operator", options.Version)
				return nil
			}
			return &exitError{exitUsage, errs.New(errs.InvalidOptions, "no such command; see operator -help")}
		}}
	err := rootCommand.ParseAndRun(context.Background(), words)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return 0
	}
	fmt.Fprintln(errOut, "operator:", err)
	if exit, ok := err.(*exitError); ok {
		return exit.code
	}
	return exitUsage
}

// printStoreStatus shows how a store stands among the others.
func printStoreStatus(out io.Writer, store *statuspage.Replica) {
	leader := store.Leader
	if leader == "" {
		leader = "none known"
	}
	var members []string
	membership := store.Membership
	if membership == nil {
		membership = &statuspage.Membership{}
	}
	for _, member := range membership.Members {
		members = append(members, member.ID)
	}
	quorum := "no majority heard yet"
	if store.StalenessKnown {
		quorum = fmt.Sprint("majority heard ", time.Duration(store.StalenessNanos).Round(time.Millisecond), " ago")
	}
	fmt.Fprintf(out, "store %s: leader %s, epoch %d, committed %d of %d, %s\n", store.Replica, leader, store.Term, store.Committed, store.Sequence, quorum)
	fmt.Fprintf(out, "members (%d of %d wanted): %s; hears %s\n", len(members), membership.TargetSize, strings.Join(members, " "), strings.Join(store.Heard, " "))
	for _, warning := range []struct {
		applies bool
		text    string
	}{{!store.Member, "this store is no member: it counts for nothing until it is put in"}, {store.Unfit, "this store must not lead: no member, or its disk stalls or refuses"},
		{len(store.Learners) > 0, "waiting to become members: " + strings.Join(store.Learners, " ")}} {
		if warning.applies {
			fmt.Fprintln(out, warning.text)
		}
	}
}
