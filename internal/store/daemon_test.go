package store

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/link"
	"meadowhinge/schema"
)

// free finds a port that is free at every address given.
func free(t *testing.T, addresses ...string) (port int) {
	t.Helper()
	for range 100 {
		first, err := net.Listen("tcp", addresses[0]+":0")
		if err != nil {
			t.Fatal(err)
		}
		port = first.Addr().(*net.TCPAddr).Port
		taken := []net.Listener{first}
		for _, address := range addresses[1:] {
			if other, err := net.Listen("tcp", fmt.Sprint(address, ":", port)); err == nil {
				taken = append(taken, other)
			}
		}
		for _, one := range taken {
			one.Close()
		}
		if len(taken) == len(addresses) {
			return port
		}
	}
	t.Fatal("no port is free")
	return 0
}

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
	hosts := []string{"127.0.0.91", "127.0.0.92", "127.0.0.93"}
	port := free(t, hosts...)
	seeds := "127.0.0.93:9,127.0.0.91:9,127.0.0.92:9" // of the operators' interface: only the IPs count
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
		submitted, err := store.Offer(ctx, &schema.Submit{Change: change})
		if err == nil && submitted.GetOutcome().GetRuling() == schema.Ruling_RULING_ACCEPTED {
			break
		}
		if ctx.Err() != nil {
			t.Fatal(submitted, err)
		}
	}
	back, err := store.Follow(ctx, &schema.StableAsk{WaitNanos: int64(5 * time.Second)})
	if err != nil || len(back.Items) != 1 {
		t.Fatal(back, err)
	}
}
