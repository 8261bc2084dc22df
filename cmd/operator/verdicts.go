package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"meadowhinge/internal/registry"
)

func newVerdictsCommand(c *client) *ffcli.Command {
	flags := newFlags("verdicts")
	watch := addWatchFlags(flags)
	previous := verdictCalls{}
	return newCommand(c, subcommand{
		usage: "verdicts [-watch TIME] [-times N]",
		help:  "show verdict counts by flag, variation and reason; watched, also what came since",
		flags: flags,
		exec: watch.repeat(c, func(ctx context.Context) error {
			return c.showVerdicts(ctx, previous)
		}),
	})
}

// verdictCalls are the calls counted at the last showing, by line.
type verdictCalls map[string]uint64

// since returns how many calls a line counts beyond its last showing, and remembers its count. A
// count that fell, because a registry restarted, gives 0.
func (v verdictCalls) since(line *registry.VerdictCount) uint64 {
	key := strings.Join([]string{line.Flag, line.Variation, line.Reason, line.Rule, line.Route, line.Outcome}, " ")
	newCalls := line.Calls - min(v[key], line.Calls)
	v[key] = line.Calls
	return newCalls
}

func (c *client) showVerdicts(ctx context.Context, previous verdictCalls) error {
	var lines []registry.VerdictCount
	if done, err := c.get(ctx, "/v1/verdicts", &lines); done || err != nil {
		return err
	}
	var rows [][]any
	for i := range lines {
		line := &lines[i]
		rows = append(rows, []any{
			line.Flag,
			line.Variation,
			line.Reason,
			line.Rule,
			line.Route,
			line.Outcome,
			line.Calls,
			previous.since(line),
			line.Failures,
			fmt.Sprintf("%.2f", line.MeanMS),
		})
	}
	c.printTable("FLAG VARIATION REASON RULE ROUTE OUTCOME CALLS SINCE FAILURES MEAN-MS", rows)
	return nil
}
