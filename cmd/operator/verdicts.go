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

// verdictCalls holds the call counts that were printed last, by the fields that identify a line.
type verdictCalls map[string]uint64

// since returns the increase of a line's call count since it was last printed, and stores the new count.
// It returns 0 if the count fell, which happens when a registry restarts.
func (v verdictCalls) since(line *registry.VerdictCount) uint64 {
	key := strings.Join([]string{line.Flag, line.Variation, line.Reason, line.Rule, line.Route, line.Outcome}, " ")
	newCalls := line.Calls - min(v[key], line.Calls)
	v[key] = line.Calls
	return newCalls
}

// showVerdicts prints the verdict counts. The column SINCE has the increase of each count over previous.
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
