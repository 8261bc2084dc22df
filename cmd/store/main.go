// Command store keeps the setup on a core machine: admission, majority sync, repair.
package main

import (
	"context"
	"os"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/store"
	"meadowhinge/schema"
)

func main() {
	given := &schema.StoreOptions{}
	os.Exit(daemon.Run("store", daemon.FromArgs(os.Args[1:]), given,
		func() (string, int64) { return given.Data, given.Ring },
		func(ctx context.Context, frame *daemon.Environment) error { return store.Run(ctx, frame, given) }))
}
