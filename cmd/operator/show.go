package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"meadowhinge/internal/registry"
)

func newShowCommand(c *client) *ffcli.Command {
	return newCommand(c, subcommand{
		usage: "show",
		help:  "show the setup in force",
		flags: newFlags("show"),
		exec: func(ctx context.Context, _ []string) error {
			var shown registry.ConfigView
			if done, err := c.get(ctx, "/v1/setup", &shown); done || err != nil {
				return err
			}
			var rows [][]any
			for _, item := range shown.Items {
				rows = append(rows, []any{item.Kind, item.Name, item.Version, string(item.Body)})
			}
			printf(c.out, "setup %d\n", shown.Revision)
			c.printTable("KIND NAME VERSION BODY", rows)
			return nil
		},
	})
}

func newWorkersCommand(c *client) *ffcli.Command {
	return newCommand(c, subcommand{
		usage: "workers",
		help:  "show the workers that described themselves",
		flags: newFlags("workers"),
		exec: func(ctx context.Context, _ []string) error {
			var shown []registry.WorkerView
			if done, err := c.get(ctx, "/v1/workers", &shown); done || err != nil {
				return err
			}
			var rows [][]any
			for _, worker := range shown {
				rows = append(rows, []any{worker.Service, worker.Version, worker.Zone, worker.State, worker.Load, worker.Instance})
			}
			c.printTable("SERVICE VERSION AREA STATE LOAD INSTANCE", rows)
			return nil
		},
	})
}
