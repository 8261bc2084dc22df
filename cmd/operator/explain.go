package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/options"
	"meadowhinge/internal/registry"
)

func newExplainCommand(c *client) *ffcli.Command {
	flags := newFlags("explain")
	caller := flags.String("caller", "client", "which service or client kind calls")
	method := flags.String("method", "GET", "HTTP method")
	zone := flags.String("area", "", "zone the call comes from")
	headers := flags.String("headers", "", "name=value by comma")
	return newCommand(c, subcommand{
		usage:    "explain [flags] PATH",
		help:     "tell which version a request would get, and why",
		flags:    flags,
		argCount: 1,
		exec: func(ctx context.Context, args []string) error {
			return c.explain(ctx, registry.ExplainRequest{
				Caller:  *caller,
				Method:  *method,
				Path:    args[0],
				Zone:    *zone,
				Headers: options.SplitPairs(*headers),
			})
		},
	})
}

// explain asks a registry which version a request would get, and prints its explanation.
func (c *client) explain(ctx context.Context, query registry.ExplainRequest) error {
	status, body, err := c.request(ctx, http.MethodPost, "/v1/explain", query)
	if err != nil {
		return asUnreachable(err)
	}
	if status != http.StatusOK {
		return &exitError{exitRefused, errs.New(errs.RouteNotFound, string(body))}
	}
	if c.asJSON {
		printLine(c.out, string(body))
		return nil
	}
	var explanation registry.ExplainResponse
	if err := json.Unmarshal(body, &explanation); err != nil {
		return &exitError{exitRefused, errs.Wrap(err, errs.MalformedRequest, "explanation")}
	}
	c.printExplanation(&explanation)
	return nil
}

// printExplanation prints the route of a request, its policy's decision, and the version that it would
// get with the flag, rule and reason that select it.
func (c *client) printExplanation(explanation *registry.ExplainResponse) {
	printf(c.out, "route %s of service %s, %s, within %s\n",
		explanation.Route, explanation.Service, explanation.Class, explanation.Deadline)
	if explanation.Policy != "" {
		result := "allows it"
		if explanation.Refused {
			result = "refuses it"
		}
		printf(c.out, "policy %s: %s\n", explanation.Policy, result)
	}
	if explanation.Refused {
		return
	}
	verdict := explanation.Verdict
	printf(c.out, "version %s, because %s of flag %s", verdict.Version, verdict.Reason, verdict.Flag)
	for name, text := range map[string]string{"rule": verdict.RuleID, "error": string(verdict.Error), "in place of": verdict.Evaluated} {
		if text != "" {
			printf(c.out, ", %s %s", name, text)
		}
	}
	printf(c.out, ", by setup %d\n", verdict.ConfigRevision)
	printf(c.out, "workers: %s\n", strings.Join(explanation.Candidates, " "))
}
