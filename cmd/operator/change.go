package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"meadowhinge/internal/config"
	"meadowhinge/internal/configsource"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/registry"
	"meadowhinge/schema"
)

func newApplyCommand(c *client) *ffcli.Command {
	flags := newFlags("apply")
	changeID := flags.String("id", "", "change id; a repeat under the same id gets the first outcome")
	return newCommand(c, subcommand{
		usage:    "apply [-id ID] FILE",
		help:     "state a setup change, written in CUE; - reads standard input",
		flags:    flags,
		argCount: 1,
		exec: func(ctx context.Context, args []string) error {
			return c.apply(ctx, args[0], *changeID)
		},
	})
}

// apply submits the change written in a CUE file. The file name "-" means standard input.
func (c *client) apply(ctx context.Context, file, id string) error {
	text, err := os.ReadFile(file)
	if file == "-" {
		text, err = io.ReadAll(c.in)
	}
	if err != nil {
		return &exitError{exitUsage, errs.Wrap(err, errs.InvalidOptions, fmt.Sprintf("read setup file %q", file))}
	}
	return c.submitChange(ctx, id, text)
}

// submitChange submits a change, written in CUE, on top of the configuration in force. It waits for the
// outcome and prints it. An empty id is replaced by a random one.
func (c *client) submitChange(ctx context.Context, id string, text []byte) error {
	if id == "" {
		id = newChangeID()
	}
	var current registry.ConfigView
	if _, err := c.decoding().get(ctx, "/v1/setup", &current); err != nil {
		return err
	}
	items, faults := configsource.Parse(text)
	if len(faults) > 0 {
		for _, fault := range faults {
			printf(c.errOut, "%s: %s\n", fault.Path, fault.Reason)
		}
		return &exitError{exitRefused, errs.New(errs.InvalidConfig, fmt.Sprintf("setup has %d faults, nothing was sent", len(faults)))}
	}
	submission := registry.ChangeRequest{
		ID:               id,
		Config:           string(text),
		ExpectedVersions: expectedVersions(items, current.Items),
	}
	status, body, err := c.request(ctx, http.MethodPost, "/v1/changes", submission)
	if err != nil {
		return &exitError{exitUnreachable, errs.Wrap(err, errs.NoQuorum, "ask again with: operator outcome "+submission.ID)}
	}
	return c.printOutcome(status, body)
}

// newChangeID returns a random id of 64 bits, so that no other change has it.
func newChangeID() string {
	random := make([]byte, 8)
	_, _ = rand.Read(random) // never returns an error: crypto/rand ends the program instead
	return "change-" + hex.EncodeToString(random)
}

// expectedVersions returns the current version of each existing item that a change modifies, by
// config.Key. The store refuses the change if by then one of these items has another version, or an item
// without an entry exists.
func expectedVersions(changed []*schema.Item, current []registry.ItemView) map[string]uint64 {
	versions := map[string]uint64{}
	for _, item := range changed {
		for _, existing := range current {
			if existing.Kind == item.Kind && existing.Name == item.Name {
				versions[config.Key(item.Kind, item.Name)] = existing.Version
			}
		}
	}
	return versions
}

func newOutcomeCommand(c *client) *ffcli.Command {
	return newCommand(c, subcommand{
		usage:    "outcome ID",
		help:     "tell what became of a change",
		flags:    newFlags("outcome"),
		argCount: 1,
		exec: func(ctx context.Context, args []string) error {
			status, body, err := c.request(ctx, http.MethodGet, "/v1/changes/"+args[0], nil)
			if err != nil {
				return asUnreachable(err)
			}
			if status != http.StatusOK {
				return &exitError{exitRefused, errs.New(errs.ChangeNotFound, string(body))}
			}
			return c.printOutcome(status, body)
		},
	})
}

// printOutcome prints a registry's response to a change. It returns nil only for a change that is accepted
// and acknowledged. Otherwise it returns an exitError: exitUnreachable if the outcome is not final, else
// exitRejected.
func (c *client) printOutcome(status int, body []byte) error {
	var outcome registry.ChangeResponse
	if err := json.Unmarshal(body, &outcome); err != nil {
		return &exitError{exitUnreachable, errs.Wrap(err, errs.MalformedRequest, string(body))}
	}
	if c.asJSON {
		printLine(c.out, string(body))
	} else {
		c.printOutcomeText(&outcome)
	}
	switch {
	case outcome.Ruling == "accepted" && outcome.Acknowledged:
		return nil
	case outcome.Ruling == "accepted" || status == http.StatusServiceUnavailable:
		return &exitError{exitUnreachable, errs.New(errs.NoQuorum, "outcome is not final; ask again with: operator outcome "+outcome.ID)}
	}
	return &exitError{exitRefused, errs.New(outcome.ErrorCode, outcome.ID)}
}

// printOutcomeText prints the outcome of a change, its faults, and the items that it conflicts with.
func (c *client) printOutcomeText(outcome *registry.ChangeResponse) {
	printf(c.out, "change %s: %s", outcome.ID, outcome.Ruling)
	if outcome.Revision > 0 {
		printf(c.out, " as %d", outcome.Revision)
	}
	if outcome.Ruling == "accepted" {
		printf(c.out, ", acknowledged: %v", outcome.Acknowledged)
	}
	if len(outcome.LaggingProxies) > 0 {
		printf(c.out, ", still waiting for %s", strings.Join(outcome.LaggingProxies, ", "))
	}
	printLine(c.out)
	for _, fault := range outcome.Faults {
		printf(c.out, "  %s: %s\n", fault.Path, fault.Reason)
	}
	for _, key := range slices.Sorted(maps.Keys(outcome.CurrentVersions)) {
		printf(c.out, "  %s is at version %d\n", key, outcome.CurrentVersions[key])
	}
	for _, item := range outcome.CurrentItems {
		printf(c.out, "  %s/%s, by change %s: %s\n", item.Kind, item.Name, item.Change, item.Body)
	}
}
