package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/registry"
)

func newReleaseCommand(c *client) *ffcli.Command {
	flags := newFlags("release")
	plan := &registry.ReleaseView{}
	flags.StringVar(&plan.Service, "service", "", "the service")
	flags.StringVar(&plan.Version, "version", "", "the version to bring in")
	flags.Float64Var(&plan.Target, "target", 100, "the share it should end with, in percent")
	flags.StringVar(&plan.Duration, "over", "10m", "the time to get there")
	flags.StringVar(&plan.Control, "pace", "go", "go, hold, or back (turn back to the fallback version)")
	return newCommand(c, subcommand{
		usage:    "release [-service S] [-version V] [-target PERCENT] [-over TIME] [-pace go|hold|back] NAME",
		help:     "state a release plan, or change what flags give of one",
		flags:    flags,
		argCount: 1,
		exec: func(ctx context.Context, args []string) error {
			setFlags := map[string]bool{}
			flags.Visit(func(entry *flag.Flag) { setFlags[entry.Name] = true })
			return c.changeRelease(ctx, args[0], plan, setFlags)
		},
	})
}

// changeRelease submits a release plan. If a plan of this name exists, it keeps the fields whose flags
// were not set.
func (c *client) changeRelease(ctx context.Context, name string, plan *registry.ReleaseView, setFlags map[string]bool) error {
	var shown []registry.ReleaseView
	if _, err := c.decoding().get(ctx, "/v1/releases", &shown); err != nil {
		return err
	}
	for i := range shown {
		if shown[i].Name == name {
			keepUnsetFields(plan, &shown[i], setFlags)
		}
	}
	if plan.Service == "" || plan.Version == "" {
		return &exitError{exitUsage, errs.New(errs.InvalidOptions, fmt.Sprintf("release: the new plan %q needs -service and -version", name))}
	}
	return c.submitChange(ctx, "", fmt.Appendf(nil, "release: %q: {service: %q, version: %q, target: %v, over: %q, pace: %q}\n",
		name, plan.Service, plan.Version, plan.Target, plan.Duration, plan.Control))
}

// keepUnsetFields copies from the existing plan each field whose flag was not set.
func keepUnsetFields(plan, existing *registry.ReleaseView, setFlags map[string]bool) {
	for flagName, keepExisting := range map[string]func(){
		"service": func() { plan.Service = existing.Service },
		"version": func() { plan.Version = existing.Version },
		"target":  func() { plan.Target = existing.Target },
		"over":    func() { plan.Duration = existing.Duration },
		"pace":    func() { plan.Control = existing.Control },
	} {
		if !setFlags[flagName] {
			keepExisting()
		}
	}
}

func newCancelCommand(c *client) *ffcli.Command {
	return newCommand(c, subcommand{
		usage:    "cancel NAME",
		help:     "end a release plan; the flag stays as it is",
		flags:    newFlags("cancel"),
		argCount: 1,
		exec: func(ctx context.Context, args []string) error {
			return c.submitChange(ctx, "", fmt.Appendf(nil, "remove: release: [%q]\n", args[0]))
		},
	})
}

func newReleasesCommand(c *client) *ffcli.Command {
	flags := newFlags("releases")
	return newCommand(c, subcommand{
		usage: "releases [-watch TIME] [-times N]",
		help:  "show release plans: the set point beside the measured share",
		flags: flags,
		exec:  addWatchFlags(flags).repeat(c, c.showReleases),
	})
}

func (c *client) showReleases(ctx context.Context) error {
	var shown []registry.ReleaseView
	if done, err := c.get(ctx, "/v1/releases", &shown); done || err != nil {
		return err
	}
	var rows [][]any
	for _, entry := range shown {
		rows = append(rows, []any{
			entry.Name,
			entry.Service,
			entry.Version,
			entry.Target,
			entry.Duration,
			entry.Control,
			entry.State,
			fmt.Sprintf("%.1f", entry.Percentage),
			fmt.Sprintf("%.1f", entry.MeasuredPercentage),
			entry.Reason,
		})
	}
	c.printTable("NAME SERVICE VERSION TARGET OVER PACE STATE SET-POINT MEASURED REASON", rows)
	return nil
}
