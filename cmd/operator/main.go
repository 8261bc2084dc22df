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
	exitRefused     = 1 // the mesh said no
	exitUsage       = 2
	exitUnreachable = 3 // no registry answered, or the outcome is not known
)

type client struct {
	registries string
	timeout    time.Duration
	asJSON     bool
	in         io.Reader
	out        io.Writer
	complaint  io.Writer
}

// ask calls the first registry that answers and gives its status and body.
func (c *client) ask(method, path string, body any) (int, []byte, error) {
	var sent []byte
	if body != nil {
		var err error
		if sent, err = json.Marshal(body); err != nil {
			return 0, nil, errs.Wrap(err, errs.Internal, "request")
		}
	}
	silent := []string{}
	var young []byte
	for _, address := range options.SplitList(c.registries) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return 0, nil, errs.New(errs.InvalidOptions, fmt.Sprintf("registries: %q is not IP:port", address))
		}
		ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
		request, _ := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(sent))
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			cancel()
			silent = append(silent, address)
			continue
		}
		text, err := io.ReadAll(response.Body)
		response.Body.Close()
		cancel()
		if err != nil {
			silent = append(silent, address)
			continue
		}
		// One that has just started may not know; a question does no harm at another.
		if method == http.MethodGet && response.StatusCode == http.StatusServiceUnavailable {
			young = text
			continue
		}
		return response.StatusCode, text, nil
	}
	if young != nil {
		return http.StatusServiceUnavailable, young, nil
	}
	return 0, nil, errs.New(errs.NoQuorum, "no answer from "+strings.Join(silent, ", "))
}

// coded carries an exit code out of a command.
type coded struct {
	code int
	err  error
}

func (f *coded) Error() string { return f.err.Error() }

// get asks for a page and decodes it, or prints it as it came.
func (c *client) get(path string, into any) (done bool, err error) {
	status, text, err := c.ask(http.MethodGet, path, nil)
	if err != nil {
		return false, &coded{exitUnreachable, err}
	}
	if status != http.StatusOK {
		return false, &coded{exitRefused, errs.New(errs.NoQuorum, string(text))}
	}
	if c.asJSON {
		fmt.Fprintln(c.out, string(text))
		return true, nil
	}
	return false, errs.Wrap(json.Unmarshal(text, into), errs.MalformedRequest, path)
}

func (c *client) apply(file, id string) error {
	text, err := os.ReadFile(file)
	if file == "-" {
		text, err = io.ReadAll(c.in)
	}
	if err != nil {
		return &coded{exitUsage, errs.Wrap(err, errs.InvalidOptions, "setup")}
	}
	return c.send(id, text)
}

// release states a plan; of a plan that stands, what no flag gives stays as it is.
func (c *client) release(name string, plan *registry.ReleaseView, given map[string]bool) error {
	var shown []registry.ReleaseView
	plainly := *c
	plainly.asJSON = false
	if _, err := plainly.get("/v1/releases", &shown); err != nil {
		return err
	}
	for _, held := range shown {
		if held.Name != name {
			continue
		}
		// Each flag has one field that it overrides.
		for flagName, take := range map[string]func(){
			"service": func() { plan.Service = held.Service },
			"version": func() { plan.Version = held.Version },
			"target":  func() { plan.Target = held.Target },
			"over":    func() { plan.Duration = held.Duration },
			"pace":    func() { plan.Pace = held.Pace },
		} {
			if !given[flagName] {
				take()
			}
		}
	}
	if plan.Service == "" || plan.Version == "" {
		return &coded{exitUsage, errs.New(errs.InvalidOptions, "release: a new plan needs -service and -version")}
	}
	return c.send("", []byte(fmt.Sprintf("release: %q: {service: %q, version: %q, target: %v, over: %q, pace: %q}\n", name, plan.Service, plan.Version, plan.Target, plan.Duration, plan.Pace)))
}

// send states a change against what stands now, and waits for what becomes of it.
func (c *client) send(id string, text []byte) error {
	submission := registry.ChangeRequest{ID: id, Config: string(text), ExpectedVersions: map[string]uint64{}}
	if id == "" {
		drawn := make([]byte, 8)
		_, _ = rand.Read(drawn)
		submission.ID = "change-" + hex.EncodeToString(drawn)
	}
	// What stands now is what this change was written against.
	var shown registry.ConfigView
	plainly := *c
	plainly.asJSON = false
	_, err := plainly.get("/v1/setup", &shown)
	if err != nil {
		return err
	}
	items, faults := configsource.Parse(text)
	if len(faults) > 0 {
		for _, fault := range faults {
			fmt.Fprintf(c.complaint, "%s: %s\n", fault.Path, fault.Reason)
		}
		return &coded{exitRefused, errs.New(errs.InvalidConfig, "nothing of it was sent")}
	}
	for _, item := range items {
		for _, held := range shown.Items {
			if held.Kind == item.Kind && held.Name == item.Name {
				submission.ExpectedVersions[config.Key(item.Kind, item.Name)] = held.Version
			}
		}
	}
	status, body, err := c.ask(http.MethodPost, "/v1/changes", submission)
	if err != nil {
		return &coded{exitUnreachable, errs.Wrap(err, errs.NoQuorum, "ask again with: operator outcome "+submission.ID)}
	}
	return c.tell(status, body)
}

// tell prints what became of a change.
func (c *client) tell(status int, body []byte) error {
	var answer registry.ChangeResponse
	if err := json.Unmarshal(body, &answer); err != nil {
		return &coded{exitUnreachable, errs.Wrap(err, errs.MalformedRequest, string(body))}
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
		return &coded{exitUnreachable, errs.New(errs.NoQuorum, "not settled; ask again with: operator outcome "+answer.ID)}
	}
	return &coded{exitRefused, errs.New(answer.ErrorCode, answer.ID)}
}

// explain says in words which version a request would get, and why.
func (c *client) explain(told *registry.ExplainResponse) error {
	fmt.Fprintf(c.out, "route %s of service %s, %s, within %s\n", told.Route, told.Service, told.Class, told.Deadline)
	if told.Policy != "" {
		fmt.Fprintf(c.out, "policy %s: %s\n", told.Policy, map[bool]string{true: "refuses it", false: "holds"}[told.Refused])
	}
	if told.Refused {
		return nil
	}
	verdict := told.Verdict
	fmt.Fprintf(c.out, "version %s, because %s of flag %s", verdict.Version, verdict.Reason, verdict.Flag)
	for name, text := range map[string]string{"rule": verdict.RuleID, "error": string(verdict.Error), "in place of": verdict.Evaluated} {
		if text != "" {
			fmt.Fprintf(c.out, ", %s %s", name, text)
		}
	}
	fmt.Fprintf(c.out, ", by setup %d\n", verdict.ConfigRevision)
	fmt.Fprintf(c.out, "workers: %s\n", strings.Join(told.Candidates, " "))
	return nil
}

func (c *client) table(head string, rows [][]any) {
	writer := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(writer, strings.ReplaceAll(head, " ", "\t"))
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
func run(words []string, in io.Reader, out, complaint io.Writer) int {
	c := &client{in: in, out: out, complaint: complaint}
	root := flag.NewFlagSet("operator", flag.ContinueOnError)
	root.SetOutput(complaint)
	root.StringVar(&c.registries, "registries", "127.0.0.1:7102", "IP:port of the registries' operator interfaces, by comma")
	root.DurationVar(&c.timeout, "timeout", 25*time.Second, "longest wait for one registry")
	root.BoolVar(&c.asJSON, "json", false, "print answers as they came")
	version := root.Bool("version", false, "print the version and leave")

	command := func(name, usage, help string, set *flag.FlagSet, words int, exec func(args []string) error) *ffcli.Command {
		if set == nil {
			set = flag.NewFlagSet(name, flag.ContinueOnError)
		}
		set.SetOutput(complaint)
		return &ffcli.Command{Name: name, ShortUsage: "operator [flags] " + usage, ShortHelp: help, FlagSet: set,
			Exec: func(_ context.Context, args []string) error {
				if len(args) != words {
					return &coded{exitUsage, errs.New(errs.InvalidOptions, "usage: operator [flags] "+usage)}
				}
				return exec(args)
			}}
	}

	applySet := flag.NewFlagSet("apply", flag.ContinueOnError)
	id := applySet.String("id", "", "change id; a repeat under the same id gets the first outcome")
	explainSet := flag.NewFlagSet("explain", flag.ContinueOnError)
	caller := explainSet.String("caller", "client", "which service or client kind calls")
	method := explainSet.String("method", "GET", "HTTP method")
	area := explainSet.String("area", "", "zone the call comes from")
	headers := explainSet.String("headers", "", "name=value by comma")

	releaseSet := flag.NewFlagSet("release", flag.ContinueOnError)
	plan := &registry.ReleaseView{}
	releaseSet.StringVar(&plan.Service, "service", "", "the service")
	releaseSet.StringVar(&plan.Version, "version", "", "the version to bring in")
	releaseSet.Float64Var(&plan.Target, "target", 100, "the share it should end with, in percent")
	releaseSet.StringVar(&plan.Duration, "over", "10m", "the time to get there")
	releaseSet.StringVar(&plan.Pace, "pace", "go", "go, hold, or back (turn back to the fallback version)")

	watching := func(set *flag.FlagSet) (*time.Duration, *int) {
		return set.Duration("watch", 0, "show it again and again, with this pause"), set.Int("times", 0, "how often with -watch; 0 for until Ctrl-C")
	}
	// again shows a page once, or as often as asked for.
	again := func(pause *time.Duration, times *int, show func() error) func([]string) error {
		return func([]string) error {
			for shown := 1; ; shown++ {
				if err := show(); err != nil || *pause <= 0 || shown == *times {
					return err
				}
				time.Sleep(*pause)
				fmt.Fprintln(c.out)
			}
		}
	}
	verdictsSet, releasesSet := flag.NewFlagSet("verdicts", flag.ContinueOnError), flag.NewFlagSet("releases", flag.ContinueOnError)
	verdictsPause, verdictsTimes := watching(verdictsSet)
	releasesPause, releasesTimes := watching(releasesSet)
	stopSet := flag.NewFlagSet("stop", flag.ContinueOnError)
	reason := stopSet.String("reason", "an operator stopped it", "why")
	before := map[string]uint64{}

	commands := []*ffcli.Command{
		command("stop", "stop [-reason TEXT] SERVICE VERSION", "let a version get no calls; its fallback version serves them", stopSet, 2, func(args []string) error {
			return c.send("", []byte(fmt.Sprintf("stop: %q: {service: %q, version: %q, reason: %q}\n", config.StopName(args[0], args[1]), args[0], args[1], *reason)))
		}),
		command("lift", "lift SERVICE VERSION", "lift a stop, an operator's or the brake's; the version is tried out anew", nil, 2, func(args []string) error {
			return c.send("", []byte(fmt.Sprintf("stop: %q: {service: %q, version: %q, lifted: true}\n", config.StopName(args[0], args[1]), args[0], args[1])))
		}),
		command("release", "release [-service S] [-version V] [-target PERCENT] [-over TIME] [-pace go|hold|back] NAME", "state a release plan, or change what flags give of one", releaseSet, 1,
			func(args []string) error {
				given := map[string]bool{}
				releaseSet.Visit(func(one *flag.Flag) { given[one.Name] = true })
				return c.release(args[0], plan, given)
			}),
		command("cancel", "cancel NAME", "end a release plan; the flag stays as it is", nil, 1, func(args []string) error {
			return c.send("", []byte(fmt.Sprintf("remove: release: [%q]\n", args[0])))
		}),
		command("releases", "releases [-watch TIME] [-times N]", "show release plans: the set point beside the measured share", releasesSet, 0, again(releasesPause, releasesTimes, func() error {
			var shown []registry.ReleaseView
			if done, err := c.get("/v1/releases", &shown); done || err != nil {
				return err
			}
			var rows [][]any
			for _, one := range shown {
				rows = append(rows, []any{one.Name, one.Service, one.Version, one.Target, one.Duration, one.Pace, one.State, fmt.Sprintf("%.1f", one.Percentage), fmt.Sprintf("%.1f", one.MeasuredPercentage), one.Reason})
			}
			c.table("NAME SERVICE VERSION TARGET OVER PACE STATE SET-POINT MEASURED REASON", rows)
			return nil
		})),
		command("apply", "apply [-id ID] FILE", "state a setup change, written in CUE; - reads standard input", applySet, 1,
			func(args []string) error { return c.apply(args[0], *id) }),
		command("outcome", "outcome ID", "tell what became of a change", nil, 1, func(args []string) error {
			status, body, err := c.ask(http.MethodGet, "/v1/changes/"+args[0], nil)
			if err != nil {
				return &coded{exitUnreachable, err}
			}
			if status != http.StatusOK {
				return &coded{exitRefused, errs.New(errs.ChangeNotFound, string(body))}
			}
			return c.tell(status, body)
		}),
		command("show", "show", "show the setup in force", nil, 0, func([]string) error {
			var shown registry.ConfigView
			if done, err := c.get("/v1/setup", &shown); done || err != nil {
				return err
			}
			var rows [][]any
			for _, item := range shown.Items {
				rows = append(rows, []any{item.Kind, item.Name, item.Version, string(item.Body)})
			}
			fmt.Fprintf(c.out, "setup %d\n", shown.Sequence)
			c.table("KIND NAME VERSION BODY", rows)
			return nil
		}),
		command("verdicts", "verdicts [-watch TIME] [-times N]", "show verdict counts by flag, variation and reason; watched, also what came since", verdictsSet, 0, again(verdictsPause, verdictsTimes, func() error {
			var lines []registry.VerdictCount
			if done, err := c.get("/v1/verdicts", &lines); done || err != nil {
				return err
			}
			var rows [][]any
			for _, line := range lines {
				key := strings.Join([]string{line.Flag, line.Variation, line.Reason, line.Rule, line.Route, line.Outcome}, " ")
				since := line.Calls - min(before[key], line.Calls)
				before[key] = line.Calls
				rows = append(rows, []any{line.Flag, line.Variation, line.Reason, line.Rule, line.Route, line.Outcome, line.Calls, since, line.Failures, fmt.Sprintf("%.2f", line.MeanMS)})
			}
			c.table("FLAG VARIATION REASON RULE ROUTE OUTCOME CALLS SINCE FAILURES MEAN-MS", rows)
			return nil
		})),
		command("workers", "workers", "show the workers that described themselves", nil, 0, func([]string) error {
			var shown []registry.WorkerView
			if done, err := c.get("/v1/workers", &shown); done || err != nil {
				return err
			}
			var rows [][]any
			for _, worker := range shown {
				rows = append(rows, []any{worker.Service, worker.Version, worker.Zone, worker.State, worker.Load, worker.Instance})
			}
			c.table("SERVICE VERSION AREA STATE LOAD INSTANCE", rows)
			return nil
		}),
		command("status", "status", "show the core: who leads, who the members are, who grants leases, who lags", nil, 0, func([]string) error {
			var status registry.CoreStatus
			if done, err := c.get("/v1/status", &status); done || err != nil {
				return err
			}
			if store := status.Store; store != nil {
				showReplica(c.out, store)
			}
			var rows [][]any
			for _, one := range status.Registries {
				leases := []string{}
				for _, lease := range one.Leases {
					leases = append(leases, fmt.Sprintf("%s@%d", lease.Proxy, lease.Applied))
				}
				sort.Strings(leases)
				rows = append(rows, []any{one.Member, one.GrantsLeases, one.Committed, strings.Join(leases, " ")})
			}
			c.table("REGISTRY GRANTS STABLE LEASES", rows)
			for _, one := range status.Registries {
				fmt.Fprintf(c.out, "registry %s: %d keys claimed, its word on them counts: %v\n", one.Member, one.KeyReservations, one.ReservationsAuthoritative)
				for _, odd := range one.ConflictingSettings {
					fmt.Fprintf(c.out, "registry %s: SETTINGS CONTRADICT: %s\n", one.Member, odd)
				}
			}
			fmt.Fprintf(c.out, "members %d\n", status.LiveProxies)
			return nil
		}),
		command("explain", "explain [flags] PATH", "tell which version a request would get, and why", explainSet, 1, func(args []string) error {
			status, body, err := c.ask(http.MethodPost, "/v1/explain", registry.ExplainRequest{Caller: *caller, Method: *method, Path: args[0], Zone: *area, Headers: options.SplitPairs(*headers)})
			if err != nil {
				return &coded{exitUnreachable, err}
			}
			if status != http.StatusOK {
				return &coded{exitRefused, errs.New(errs.RouteNotFound, string(body))}
			}
			if c.asJSON {
				fmt.Fprintln(c.out, string(body))
				return nil
			}
			var told registry.ExplainResponse
			if err := json.Unmarshal(body, &told); err != nil {
				return &coded{exitRefused, errs.Wrap(err, errs.MalformedRequest, "explanation")}
			}
			return c.explain(&told)
		}),
	}
	top := &ffcli.Command{Name: "operator", ShortUsage: "operator [flags] COMMAND", FlagSet: root, Subcommands: commands,
		Exec: func(context.Context, []string) error {
			if *version {
				fmt.Fprintln(c.out, "operator", options.Version)
				return nil
			}
			return &coded{exitUsage, errs.New(errs.InvalidOptions, "no such command; see operator -help")}
		}}
	err := top.ParseAndRun(context.Background(), words)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return 0
	}
	fmt.Fprintln(complaint, "operator:", err)
	if ended, ok := err.(*coded); ok {
		return ended.code
	}
	return exitUsage
}

// showReplica shows how a store stands among the others.
func showReplica(out io.Writer, store *statuspage.Replica) {
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
	heard := "no majority heard yet"
	if store.StalenessKnown {
		heard = fmt.Sprint("majority heard ", time.Duration(store.StalenessNanos).Round(time.Millisecond), " ago")
	}
	fmt.Fprintf(out, "store %s: leader %s, epoch %d, committed %d of %d, %s\n", store.Replica, leader, store.Term, store.Committed, store.Sequence, heard)
	fmt.Fprintf(out, "members (%d of %d wanted): %s; hears %s\n", len(members), membership.TargetSize, strings.Join(members, " "), strings.Join(store.Heard, " "))
	for _, note := range []struct {
		told bool
		text string
	}{{!store.Member, "this store is no member: it counts for nothing until it is put in"}, {store.Unfit, "this store must not lead: no member, or its disk stalls or refuses"},
		{len(store.Learners) > 0, "waiting to become members: " + strings.Join(store.Learners, " ")}} {
		if note.told {
			fmt.Fprintln(out, note.text)
		}
	}
}
