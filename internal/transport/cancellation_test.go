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

// blockingServer responds to a request named "completes" at once, and to any other request only when it is cancelled.
type blockingServer struct {
	schema.DRPCHopUnimplementedServer
	started   chan struct{} // gets a value when a blocking request starts
	cancelled chan struct{} // gets a value when a blocking request is cancelled
}

func (s *blockingServer) Run(ctx context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
	if request.Request != "completes" {
		s.started <- struct{}{}
		<-ctx.Done()
		s.cancelled <- struct{}{}
	}
	return &schema.ForwardResponse{Request: request.Request}, nil
}

// TestCancelledCallsDoNotAffectOthers checks that cancelling a call also cancels it at the server, and that no other
// call gets the cancelled call's network connection, however soon it follows.
func TestCancelledCallsDoNotAffectOthers(t *testing.T) {
	const rounds, concurrent = 300, 4
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
		go func() { ended <- call(cancelledCtx, "cancelled") }()
		<-server.started
		cancelCall()
		var others sync.WaitGroup
		for range concurrent {
			others.Go(func() {
				if err := call(ctx, "completes"); err != nil {
					t.Errorf("call concurrent with the cancelled one: error %v, want none", err)
				}
			})
		}
		if err := <-ended; err == nil {
			t.Error("cancelled call returned no error, want one")
		}
		if err := call(ctx, "completes"); err != nil {
			t.Errorf("call after the cancelled one: error %v, want none", err)
		}
		others.Wait()
		<-server.cancelled
	}
}
