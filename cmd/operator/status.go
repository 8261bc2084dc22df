package main

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"meadowhinge/internal/registry"
	"meadowhinge/internal/statuspage"
)

func newStatusCommand(c *client) *ffcli.Command {
	return newCommand(c, subcommand{
		usage: "status",
		help:  "show the core: who leads, who the members are, who grants leases, who lags",
		flags: newFlags("status"),
		exec: func(ctx context.Context, _ []string) error {
			var status registry.CoreStatus
			if done, err := c.get(ctx, "/v1/status", &status); done || err != nil {
				return err
			}
			if status.Store != nil {
				c.printStoreStatus(status.Store)
			}
			c.printRegistries(&status)
			printf(c.out, "members %d\n", status.LiveProxies)
			return nil
		},
	})
}

// printStoreStatus prints a store's view of the core: the leader, the members, and how long ago it had
// contact with a majority.
func (c *client) printStoreStatus(store *statuspage.Replica) {
	leader := store.Leader
	if leader == "" {
		leader = "none known"
	}
	var members []string
	membership := store.Membership
	if membership == nil {
		membership = &statuspage.Membership{}
	}
	for _, member := range membership.Members {
		members = append(members, member.ID)
	}
	quorum := "no majority heard yet"
	if store.StalenessKnown {
		quorum = fmt.Sprint("majority heard ", time.Duration(store.StalenessNanos).Round(time.Millisecond), " ago")
	}
	printf(c.out, "store %s: leader %s, epoch %d, committed %d of %d, %s\n",
		store.Replica, leader, store.Term, store.Committed, store.Sequence, quorum)
	printf(c.out, "members (%d of %d wanted): %s; hears %s\n",
		len(members), membership.TargetSize, strings.Join(members, " "), strings.Join(store.Heard, " "))
	c.printStoreWarnings(store)
}

// printStoreWarnings prints why a store does not vote or must not lead, and which replicas wait to become
// members.
func (c *client) printStoreWarnings(store *statuspage.Replica) {
	if !store.Member {
		printLine(c.out, "this store is no member: it does not count towards a majority until it becomes one")
	}
	if store.Unfit {
		printLine(c.out, "this store must not lead: it is no member, or its disk stalls or fails")
	}
	if len(store.Learners) > 0 {
		printLine(c.out, "waiting to become members: "+strings.Join(store.Learners, " "))
	}
}

// printRegistries prints a table of each registry's leases. Below it, it prints the number of
// idempotency keys that each registry has reserved, and the settings of proxies that contradict the
// registry's.
func (c *client) printRegistries(status *registry.CoreStatus) {
	var rows [][]any
	for _, entry := range status.Registries {
		leases := []string{}
		for _, lease := range entry.Leases {
			leases = append(leases, fmt.Sprintf("%s@%d", lease.Proxy, lease.Applied))
		}
		sort.Strings(leases)
		rows = append(rows, []any{entry.Member, entry.GrantsLeases, entry.Committed, strings.Join(leases, " ")})
	}
	c.printTable("REGISTRY GRANTS STABLE LEASES", rows)
	for _, entry := range status.Registries {
		printf(c.out, "registry %s: %d idempotency keys reserved, authoritative: %v\n",
			entry.Member, entry.KeyReservations, entry.ReservationsAuthoritative)
		for _, conflict := range entry.ConflictingSettings {
			printf(c.out, "registry %s: SETTINGS CONTRADICT: %s\n", entry.Member, conflict)
		}
	}
}
