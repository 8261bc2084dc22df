// Command proxy stands beside callers and workers on every edge machine.
package main

import (
	"context"
	"os"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/proxy"
	"meadowhinge/schema"
)

func main() {
	given := &schema.ProxyOptions{}
	os.Exit(daemon.Run("proxy", daemon.FromArgs(os.Args[1:]), given,
		func() (string, int64) { return given.Data, given.Ring },
		func(ctx context.Context, frame *daemon.Environment) error { return proxy.Run(ctx, frame, given) }))
}
