package main

import (
	"context"
	"flag"
	"time"
)

// watch holds the flags of a subcommand that can show its page repeatedly.
type watch struct {
	interval time.Duration // between two showings; 0 for a single one
	times    int           // how many showings; 0 for no limit
}

func addWatchFlags(flags *flag.FlagSet) *watch {
	w := &watch{}
	flags.DurationVar(&w.interval, "watch", 0, "show it again and again, with this pause")
	flags.IntVar(&w.times, "times", 0, "how often with -watch; 0 for until Ctrl-C")
	return w
}

// repeat shows a page once, or as often as the watch flags ask for.
func (w *watch) repeat(c *client, show func(context.Context) error) execFunc {
	return func(ctx context.Context, _ []string) error {
		for shown := 1; ; shown++ {
			if err := show(ctx); err != nil || w.interval <= 0 || shown == w.times {
				return err
			}
			time.Sleep(w.interval)
			printLine(c.out)
		}
	}
}
