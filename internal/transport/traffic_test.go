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

// TestTrafficIsCounted checks that both ends count bytes and opened connections, and that the server counts RPCs and
// messages by RPC name.
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
			t.Fatalf("call: error %v, want none", err)
		}
	}
	sent, received := client.Traffic(), server.Traffic()
	// Each call adds less than 100 bytes of framing to its body, and the connection has one greeting. The upper limit
	// allows 200 bytes for each call.
	for counter, bytes := range map[string]uint64{"BytesSent of the client": sent.BytesSent, "BytesReceived of the server": received.BytesReceived} {
		if bytes < calls*body || bytes > calls*(body+200) {
			t.Errorf("%s = %d bytes, want from %d, the sum of the bodies, to %d", counter, bytes, calls*body, calls*(body+200))
		}
	}
	// Each call has two messages: the request and the response.
	if sent.ConnectionsOpened != 1 || received.Served["/meadowhinge.Hop/Run"] != calls || received.Messages["/meadowhinge.Hop/Run"] != 2*calls {
		t.Errorf("client opened %d connections, want 1; server counted calls %v and messages %v, want %d and %d of /meadowhinge.Hop/Run",
			sent.ConnectionsOpened, received.Served, received.Messages, calls, 2*calls)
	}
}
