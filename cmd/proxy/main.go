// Command proxy runs beside the callers and workers on each edge machine and forwards requests to
// workers.
package main

import (
	"context"
	"os"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/proxy"
	"meadowhinge/schema"
)

func main() {
	opts := &schema.ProxyOptions{}
	os.Exit(daemon.Run("proxy", daemon.FromArgs(os.Args[1:]), opts,
		// The flight recorder's directory and its number of lines.
		func() (string, int64) { return opts.Data, opts.Ring },
		func(ctx context.Context, environment *daemon.Environment) error {
			return proxy.Run(ctx, environment, opts)
		}))
}
