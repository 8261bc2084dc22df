package main

import (
	"context"
	"flag"
	"time"
)

// watch holds the flags of a subcommand that can print its page repeatedly.
type watch struct {
	interval time.Duration // pause between two prints; 0 prints once
	times    int           // number of prints if interval is set; 0 for no limit
}

// addWatchFlags adds the flags -watch and -times, which are parsed into the result.
func addWatchFlags(flags *flag.FlagSet) *watch {
	w := &watch{}
	flags.DurationVar(&w.interval, "watch", 0, "show it again and again, with this pause")
	flags.IntVar(&w.times, "times", 0, "how often with -watch; 0 for until Ctrl-C")
	return w
}

// repeat returns an execFunc that calls show once, or as often as the watch flags say. It stops at the
// first error.
func (w *watch) repeat(c *client, show func(context.Context) error) execFunc {
	return func(ctx context.Context, _ []string) error {
		for count := 1; ; count++ {
			if err := show(ctx); err != nil || w.interval <= 0 || count == w.times {
				return err
			}
			time.Sleep(w.interval)
			printLine(c.out)
		}
	}
}
