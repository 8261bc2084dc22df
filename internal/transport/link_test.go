package transport_test

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/testbed"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// peerRecorder answers with who called.
type peerRecorder struct {
	schema.DRPCHopUnimplementedServer
	seen chan transport.Peer
}

func (p *peerRecorder) Run(ctx context.Context, carry *schema.ForwardRequest) (*schema.ForwardResponse, error) {
	p.seen <- transport.PeerFromContext(ctx)
	return &schema.ForwardResponse{Request: carry.Request}, nil
}

func credentials(t *testing.T, authority *testbed.Authority, role, name string, services ...string) *transport.Transport {
	t.Helper()
	file, err := authority.Issue(role, name, services)
	if err != nil {
		t.Fatal(err)
	}
	ends, err := transport.NewTLS(file, authority.File())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ends.Close)
	return ends
}

// Only a peer with a certificate of this mesh, in a role that is taken here, is served; all
// else is cut off and counted, and the server goes on.
func TestOnlyKnownPeersAreServed(t *testing.T) {
	ours, err := testbed.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	theirs, err := testbed.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	server := credentials(t, ours, "proxy", "p")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	recorder := &peerRecorder{seen: make(chan transport.Peer, 8)}
	mux := drpcmux.New()
	if err := schema.DRPCRegisterHop(mux, recorder); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener, mux, "proxy") }()
	address := listener.Addr().String()
	call := func(ends *transport.Transport) error {
		bounded, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		_, err := schema.NewDRPCHopClient(ends.Conn(bounded, address)).Run(bounded, &schema.ForwardRequest{Request: "r"})
		return err
	}
	awaitRefused := func(want uint64) {
		t.Helper()
		for deadline := time.Now().Add(20 * time.Second); server.RejectedPeers.Load() < want; {
			if time.Now().After(deadline) {
				t.Fatalf("%d peers refused, want %d", server.RejectedPeers.Load(), want)
			}
			runtime.Gosched()
		}
	}
	friend := credentials(t, ours, "proxy", "q", "client")
	if err := call(friend); err != nil {
		t.Fatal(err)
	}
	if peer := <-recorder.seen; peer.Name != "q" || !peer.MayCallAs("client") || peer.MayCallAs("shop") {
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
func TestConnectFailureIsTyped(t *testing.T) {
	authority, err := testbed.NewAuthority(t.TempDir())
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
	_, err = schema.NewDRPCHopClient(ends.Conn(t.Context(), address)).Run(t.Context(), &schema.ForwardRequest{})
	if errs.CodeOf(err) != errs.PeerConnectFailed {
		t.Errorf("got %v", err)
	}
}

// A certificate is read again when its file changes; one that could not serve is refused, the
// old one is kept, and why is shown.
func TestCertificatesAreReloaded(t *testing.T) {
	authority, err := testbed.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	file, err := authority.IssueUntil("proxy", "q", nil, time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	ends, err := transport.NewTLS(file, authority.File(), transport.WithClock(func() time.Time { now = now.Add(2 * time.Second); return now }))
	if err != nil {
		t.Fatal(err)
	}
	defer ends.Close()
	shown := func() transport.CertificateStatus { return ends.Certificate().(transport.CertificateStatus) }
	first := shown()
	good, _ := os.ReadFile(file)
	write := func(text []byte, later time.Duration) {
		t.Helper()
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(file, now, time.Now().Add(later)); err != nil {
			t.Fatal(err)
		}
	}
	issue := func(role, name string, until time.Time) []byte {
		t.Helper()
		other, err := authority.IssueUntil(role, name, nil, until)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := os.ReadFile(other)
		return text
	}
	for i, one := range []struct {
		name  string
		text  []byte
		fault string
		taken bool
	}{
		{"unreadable", []byte("x"), "PEM", false},
		{"expired", issue("proxy", "q", now.Add(-time.Hour)), "good from", false},
		{"somebody else's", issue("proxy", "r", now.Add(3*time.Hour)), "not proxy", false},
		{"the first again", good, "", false},
		{"a newer one", issue("proxy", "q", now.Add(5*time.Hour)), "", true},
	} {
		write(one.text, time.Duration(i+1)*time.Minute)
		got := shown()
		if (one.fault == "") != (got.Fault == "") || !strings.Contains(got.Fault, one.fault) || got.NotAfter.Equal(first.NotAfter) == one.taken {
			t.Errorf("%s: %+v", one.name, got)
		}
	}
	if _, err := transport.NewTLS("/nowhere", authority.File()); errs.CodeOf(err) != errs.InvalidOptions {
		t.Errorf("a file that is not there gave %v", err)
	}
}

// A plain link tells who stands at its other end; who speaks another protocol, or in a role that
// is not taken here, is cut off and counted.
func TestPlaintextHandshake(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	recorder := &peerRecorder{seen: make(chan transport.Peer, 8)}
	mux := drpcmux.New()
	if err := schema.DRPCRegisterHop(mux, recorder); err != nil {
		t.Fatal(err)
	}
	server := transport.NewPlaintext("proxy", "p", nil)
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener, mux, "proxy") }()
	call := func(role string) error {
		ends := transport.NewPlaintext(role, "q", []string{"shop", "bag"})
		defer ends.Close()
		bounded, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		_, err := schema.NewDRPCHopClient(ends.Conn(bounded, listener.Addr().String())).Run(bounded, &schema.ForwardRequest{Request: "r"})
		return err
	}
	if err := call("proxy"); err != nil {
		t.Fatal(err)
	}
	if peer := <-recorder.seen; peer.Role != "proxy" || peer.Name != "q" || !peer.MayCallAs("bag") || peer.MayCallAs("other") {
		t.Fatalf("%+v", peer)
	}
	if err := call("store"); err == nil {
		t.Fatal("a role that is not taken here was served")
	}
	raw, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = raw.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	if _, err := raw.Read(make([]byte, 1)); err == nil {
		t.Fatal("another protocol was answered")
	}
	if refused := server.RejectedPeers.Load(); refused != 2 {
		t.Fatalf("%d refused", refused)
	}
	cancel()
	<-ended
}
