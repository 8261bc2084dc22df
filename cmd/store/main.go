// Command store runs on each core machine and replicates the configuration. It admits changes, makes them
// durable on a majority of the members, and brings lagging members up to date.
package main

import (
	"context"
	"os"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/store"
	"meadowhinge/schema"
)

func main() {
	opts := &schema.StoreOptions{}
	os.Exit(daemon.Run("store", daemon.FromArgs(os.Args[1:]), opts,
		// The flight recorder's directory and its number of lines.
		func() (string, int64) { return opts.Data, opts.Ring },
		func(ctx context.Context, environment *daemon.Environment) error {
			return store.Run(ctx, environment, opts)
		}))
}
