// Command registry serves operators and proxies on a core machine.
package main

import (
	"context"
	"os"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/registry"
	"meadowhinge/schema"
)

func main() {
	given := &schema.RegistryOptions{}
	os.Exit(daemon.Run("registry", daemon.FromArgs(os.Args[1:]), given,
		func() (string, int64) { return given.Data, given.Ring },
		func(ctx context.Context, frame *daemon.Environment) error { return registry.Run(ctx, frame, given) }))
}
