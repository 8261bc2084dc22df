package main

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"meadowhinge/internal/config"
)

func newStopCommand(c *client) *ffcli.Command {
	flags := newFlags("stop")
	reason := flags.String("reason", "an operator stopped it", "why")
	return newCommand(c, subcommand{
		usage:    "stop [-reason TEXT] SERVICE VERSION",
		help:     "let a version get no calls; its fallback version serves them",
		flags:    flags,
		argCount: 2,
		exec: func(ctx context.Context, args []string) error {
			service, version := args[0], args[1]
			return c.submitChange(ctx, "", fmt.Appendf(nil, "stop: %q: {service: %q, version: %q, reason: %q}\n",
				config.StopName(service, version), service, version, *reason))
		},
	})
}

func newLiftCommand(c *client) *ffcli.Command {
	return newCommand(c, subcommand{
		usage:    "lift SERVICE VERSION",
		help:     "lift a stop, an operator's or the brake's; the version is tried out anew",
		flags:    newFlags("lift"),
		argCount: 2,
		exec: func(ctx context.Context, args []string) error {
			service, version := args[0], args[1]
			return c.submitChange(ctx, "", fmt.Appendf(nil, "stop: %q: {service: %q, version: %q, lifted: true}\n",
				config.StopName(service, version), service, version))
		},
	})
}
