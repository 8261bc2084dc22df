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

// start runs a store until the returned function is called, which checks that it ended without an error.
func start(t *testing.T, opts *schema.StoreOptions) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	frame := &daemon.Environment{Log: logr.Discard(), Draining: &atomic.Bool{}}
	go func() { ended <- Run(ctx, frame, opts) }()
	return func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// Three stores that know only each other as seeds found a core over plaintext links and commit a change.
func TestFoundedFromSeeds(t *testing.T) {
	octet, reservation, err := fakebackend.ReserveLoopbackNet()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reservation.Close() }() // the reservation of ports ends with the test in any case
	net24, port := fmt.Sprintf("127.%d.0", octet), fakebackend.FirstPort
	hosts := []string{net24 + ".91", net24 + ".92", net24 + ".93"}
	seeds := fmt.Sprintf("%[1]s.93:9,%[1]s.91:9,%[1]s.92:9", net24) // the port is not the stores': only the IPs count
	for _, host := range hosts {
		stop := start(t, &schema.StoreOptions{
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
			t.Fatal(reply, err)
		}
	}
	follow, err := store.Follow(ctx, &schema.FollowRequest{WaitNanos: int64(5 * time.Second)})
	if err != nil || len(follow.Items) != 1 {
		t.Fatal(follow, err)
	}
}
