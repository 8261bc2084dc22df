package transport_test

import (
	"context"
	"net"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// Traffic is counted at both ends: bytes, connections opened, RPCs and messages by name.
func TestTrafficIsCounted(t *testing.T) {
	const calls, body = 3, 10_000
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := schema.DRPCRegisterHop(mux, &peerRecorder{seen: make(chan transport.Peer, calls)}); err != nil {
		t.Fatal(err)
	}
	server, client := transport.NewPlaintext("proxy", "p", nil), transport.NewPlaintext("proxy", "q", nil)
	t.Cleanup(server.Close)
	t.Cleanup(client.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	go func() { _ = server.Serve(ctx, listener, mux, "proxy") }()
	for range calls {
		if _, err := schema.NewDRPCHopClient(client.Conn(ctx, listener.Addr().String())).Run(ctx, &schema.ForwardRequest{Body: make([]byte, body)}); err != nil {
			t.Fatal(err)
		}
	}
	sent, received := client.Traffic(), server.Traffic()
	// Besides the bodies there are a greeting, and a frame for each call of less than 100 bytes.
	for _, bytes := range []uint64{sent.Out, received.In} {
		if bytes < calls*body || bytes > calls*(body+200) {
			t.Errorf("%d bytes counted of %d sent in bodies", bytes, calls*body)
		}
	}
	// Each call is a request and a response message.
	if sent.Opened != 1 || received.Served["/meadowhinge.Hop/Run"] != calls || received.Messages["/meadowhinge.Hop/Run"] != 2*calls {
		t.Errorf("opened %d connections, served %v, messages %v", sent.Opened, received.Served, received.Messages)
	}
}
