package store

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/fakebackend"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// startStore runs a store until the returned function is called, which checks that Run returned no error.
func startStore(t *testing.T, opts *schema.StoreOptions) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	environment := &daemon.Environment{Log: logr.Discard(), Draining: &atomic.Bool{}}
	go func() { ended <- Run(ctx, environment, opts) }()
	return func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("Run of store %s = %v, want nil", opts.Seat, err)
		}
	}
}

// Three stores that know only each other as seeds found a core over plaintext links and commit a change.
func TestStoresFoundCoreFromSeeds(t *testing.T) {
	octet, reservation, err := fakebackend.ReserveLoopbackNet()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reservation.Close() }() // the reservation ends with the test process in any case
	net24, port := fmt.Sprintf("127.%d.0", octet), fakebackend.FirstPort
	hosts := []string{net24 + ".91", net24 + ".92", net24 + ".93"}
	seeds := fmt.Sprintf("%[1]s.93:9,%[1]s.91:9,%[1]s.92:9", net24) // only the IP addresses count, not the port
	for _, host := range hosts {
		stop := startStore(t, &schema.StoreOptions{
			Seat:         host,
			Listen:       fmt.Sprint(host, ":", port),
			Seeds:        seeds,
			Data:         t.TempDir(),
			Founding:     true,
			Links:        plaintextLinks,
			Losses:       1,
			Silence:      int64(300 * time.Millisecond),
			Stall:        int64(time.Second),
			EntriesMost:  64,
			OutcomesMost: 64,
			Buffer:       64,
		})
		defer stop()
	}
	clientTransport := transport.NewPlaintext("registry", hosts[2], nil)
	defer clientTransport.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	store := schema.NewDRPCStoreClient(clientTransport.Conn(ctx, fmt.Sprint(hosts[2], ":", port)))
	change := &schema.Change{Id: "one", Items: []*schema.Item{{Kind: "segment", Name: "s", Body: []byte(`{"salt":""}`)}}}
	for {
		reply, err := store.Propose(ctx, &schema.Proposal{Change: change})
		if err == nil && reply.GetOutcome().GetRuling() == schema.Ruling_RULING_ACCEPTED {
			break
		}
		if ctx.Err() != nil {
			t.Fatalf("Propose = %v, %v until the deadline; want it accepted", reply, err)
		}
	}
	follow, err := store.Follow(ctx, &schema.FollowRequest{WaitNanos: int64(5 * time.Second)})
	if err != nil || len(follow.Items) != 1 {
		t.Fatalf("Follow = %v, %v; want 1 item", follow, err)
	}
}
