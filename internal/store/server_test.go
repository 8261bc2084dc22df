package store

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/link"
	"meadowhinge/internal/standin"
	"meadowhinge/schema"
)

func start(t *testing.T, given *schema.StoreOptions) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	frame := &daemon.Frame{Log: logr.Discard(), Draining: &atomic.Bool{}}
	go func() { ended <- Run(ctx, frame, given) }()
	return func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// Three stores that know nothing but each other's seeds found a core and take a change.
func TestFoundedFromSeeds(t *testing.T) {
	octet, held, err := standin.ClaimNet()
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	net24, port := fmt.Sprintf("127.%d.0", octet), standin.PortsFrom
	hosts := []string{net24 + ".91", net24 + ".92", net24 + ".93"}
	seeds := fmt.Sprintf("%[1]s.93:9,%[1]s.91:9,%[1]s.92:9", net24) // of the operators' interface: only the IPs count
	for _, host := range hosts {
		defer start(t, &schema.StoreOptions{Seat: host, Listen: fmt.Sprint(host, ":", port), Seeds: seeds, Data: t.TempDir(), Founding: true, Links: "plain",
			Losses: 1, Silence: int64(300 * time.Millisecond), Stall: int64(time.Second), EntriesMost: 64, OutcomesMost: 64, Buffer: 64})()
	}
	ends := link.Plain("registry", hosts[2], nil)
	defer ends.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	store := schema.NewDRPCStoreClient(ends.To(ctx, fmt.Sprint(hosts[2], ":", port)))
	change := &schema.Change{Id: "one", Items: []*schema.Item{{Kind: "segment", Name: "s", Body: []byte(`{"salt":""}`)}}}
	for {
		submitted, err := store.Propose(ctx, &schema.Proposal{Change: change})
		if err == nil && submitted.GetOutcome().GetRuling() == schema.Ruling_RULING_ACCEPTED {
			break
		}
		if ctx.Err() != nil {
			t.Fatal(submitted, err)
		}
	}
	back, err := store.Follow(ctx, &schema.FollowRequest{WaitNanos: int64(5 * time.Second)})
	if err != nil || len(back.Items) != 1 {
		t.Fatal(back, err)
	}
}
