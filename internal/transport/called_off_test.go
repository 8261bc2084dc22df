package transport_test

import (
	"context"
	"net"
	"sync"
	"testing"

	"storj.io/drpc/drpcmux"

	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// blockingServer answers a request named "stays" at once, and any other when its caller is gone.
type blockingServer struct {
	schema.DRPCHopUnimplementedServer
	started   chan struct{}
	cancelled chan struct{}
}

func (w *blockingServer) Run(ctx context.Context, carry *schema.ForwardRequest) (*schema.ForwardResponse, error) {
	if carry.Request != "stays" {
		w.started <- struct{}{}
		<-ctx.Done()
		w.cancelled <- struct{}{}
	}
	return &schema.ForwardResponse{Request: carry.Request}, nil
}

// A call that is called off ends at the other side too, and costs no other call anything: its link is not met
// by one that comes next, however soon that is.
func TestCancelledCallsDoNotAffectOthers(t *testing.T) {
	const rounds, beside = 300, 4
	server := &blockingServer{started: make(chan struct{}, rounds), cancelled: make(chan struct{}, rounds)}
	mux := drpcmux.New()
	if err := schema.DRPCRegisterHop(mux, server); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	serving, calling := transport.NewPlaintext("proxy", "there", nil), transport.NewPlaintext("proxy", "here", nil)
	go func() { _ = serving.Serve(ctx, listener, mux, "proxy") }()
	t.Cleanup(calling.Close)
	call := func(ctx context.Context, request string) error {
		_, err := schema.NewDRPCHopClient(calling.Conn(ctx, listener.Addr().String())).Run(ctx, &schema.ForwardRequest{Request: request})
		return err
	}
	for range rounds {
		cancelledCtx, cancelCall := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() { ended <- call(cancelledCtx, "leaves") }()
		<-server.started
		cancelCall()
		var others sync.WaitGroup
		for range beside {
			others.Go(func() {
				if err := call(ctx, "stays"); err != nil {
					t.Errorf("one that stayed: %v", err)
				}
			})
		}
		if err := <-ended; err == nil {
			t.Error("a call that was called off was answered")
		}
		if err := call(ctx, "stays"); err != nil {
			t.Errorf("the next: %v", err)
		}
		others.Wait()
		<-server.cancelled
	}
}
