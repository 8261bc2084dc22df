// Command registry runs on each core machine. It serves the operators' HTTP interface, distributes the
// configuration to proxies and grants them leases.
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
		// The flight recorder's directory and its number of lines.
		func() (string, int64) { return opts.Data, opts.Ring },
		func(ctx context.Context, environment *daemon.Environment) error {
			return registry.Run(ctx, environment, opts)
		}))
}
