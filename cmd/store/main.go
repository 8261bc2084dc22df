// Command store runs on each core machine and replicates the configuration: it admits changes, makes
// them durable on a majority, and repairs members that lag.
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
		// The folder, and the number of lines, of the recorder of recent log lines.
		func() (string, int64) { return opts.Data, opts.Ring },
		func(ctx context.Context, environment *daemon.Environment) error {
			return store.Run(ctx, environment, opts)
		}))
}
