// Command registry runs on each core machine: it serves operators and grants leases to proxies.
package main

import (
	"context"
	"os"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/registry"
	"meadowhinge/schema"
)

func main() {
	opts := &schema.RegistryOptions{}
	os.Exit(daemon.Run("registry", daemon.FromArgs(os.Args[1:]), opts,
		func() (directory string, lines int64) { return opts.Data, opts.Ring }, // of the flight recorder
		func(ctx context.Context, environment *daemon.Environment) error {
			return registry.Run(ctx, environment, opts)
		}))
}
