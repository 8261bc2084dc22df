package link_test

import (
	"context"
	"crypto/tls"
	"net"
	"runtime"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/link"
	"meadowhinge/internal/rehearsal"
	"meadowhinge/schema"
)

// peerTold answers with who called.
type peerTold struct {
	schema.DRPCHopUnimplementedServer
	seen chan link.Peer
}

func (p *peerTold) Run(ctx context.Context, carry *schema.Carry) (*schema.Carried, error) {
	p.seen <- link.PeerOf(ctx)
	return &schema.Carried{Request: carry.Request}, nil
}

func credentials(t *testing.T, authority *rehearsal.Authority, role, name string, services ...string) *link.Ends {
	t.Helper()
	file, err := authority.Issue(role, name, services)
	if err != nil {
		t.Fatal(err)
	}
	ends, err := link.Load(file, authority.File())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ends.Close)
	return ends
}

// Only a peer with a certificate of this mesh, in a role that is taken here, is served; all
// else is cut off and counted, and the server goes on.
func TestOnlyKnownPeersAreServed(t *testing.T) {
	ours, err := rehearsal.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	theirs, err := rehearsal.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	server := credentials(t, ours, "proxy", "p")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	told := &peerTold{seen: make(chan link.Peer, 8)}
	mux := drpcmux.New()
	if err := schema.DRPCRegisterHop(mux, told); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener, mux, "proxy") }()
	address := listener.Addr().String()
	call := func(ends *link.Ends) error {
		bounded, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		_, err := schema.NewDRPCHopClient(ends.To(bounded, address)).Run(bounded, &schema.Carry{Request: "r"})
		return err
	}
	awaitRefused := func(want uint64) {
		t.Helper()
		for deadline := time.Now().Add(20 * time.Second); server.Refused.Load() < want; {
			if time.Now().After(deadline) {
				t.Fatalf("%d peers refused, want %d", server.Refused.Load(), want)
			}
			runtime.Gosched()
		}
	}
	friend := credentials(t, ours, "proxy", "q", "client")
	if err := call(friend); err != nil {
		t.Fatal(err)
	}
	if peer := <-told.seen; peer.Name != "q" || !peer.Speaks("client") || peer.Speaks("shop") {
		t.Errorf("the server saw %+v", peer)
	}
	if err := call(credentials(t, theirs, "proxy", "q", "client")); err == nil {
		t.Error("a certificate of another authority was served")
	}
	awaitRefused(1)
	if err := call(credentials(t, ours, "store", "a")); err == nil {
		t.Error("a role that has no business here was served")
	}
	awaitRefused(2)
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = raw.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	awaitRefused(3)
	raw.Close()
	// Another version of what our processes say is refused at the handshake.
	if conn, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"meadowhinge/0"}}); err == nil {
		conn.Close()
		t.Error("another protocol version was taken")
	}
	awaitRefused(4)
	if err := call(friend); err != nil {
		t.Errorf("after the strangers, a friend got %v", err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A link that never opened says so: that is the proof that nothing was sent.
func TestUnopenedLinkIsTold(t *testing.T) {
	authority, err := rehearsal.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	ends := credentials(t, authority, "proxy", "q")
	_, err = schema.NewDRPCHopClient(ends.To(t.Context(), address)).Run(t.Context(), &schema.Carry{})
	if defect.KindOf(err) != defect.LinkUnopened {
		t.Errorf("got %v", err)
	}
}
