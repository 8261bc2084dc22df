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

// peerRecorder records the peer of each RPC.
type peerRecorder struct {
	schema.DRPCHopUnimplementedServer
	seen chan transport.Peer // gets the peer of each RPC; its buffer must hold all of them
}

func (p *peerRecorder) Run(ctx context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
	p.seen <- transport.PeerFromContext(ctx)
	return &schema.ForwardResponse{Request: request.Request}, nil
}

// tlsTransport returns a TLS transport with a certificate that authority issues for a role and name, and for the
// services on whose behalf it may make calls.
func tlsTransport(t *testing.T, authority *testbed.Authority, role, name string, services ...string) *transport.Transport {
	t.Helper()
	file, err := authority.Issue(role, name, services)
	if err != nil {
		t.Fatal(err)
	}
	made, err := transport.NewTLS(file, authority.File())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(made.Close)
	return made
}

// TestOnlyKnownPeersAreServed checks that only a peer with a certificate of this mesh and an allowed role is served.
// Any other peer must be rejected and counted, and must not affect the service of other peers.
func TestOnlyKnownPeersAreServed(t *testing.T) {
	ours, err := testbed.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	theirs, err := testbed.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	server := tlsTransport(t, ours, "proxy", "p")
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
	call := func(client *transport.Transport) error {
		bounded, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		_, err := schema.NewDRPCHopClient(client.Conn(bounded, address)).Run(bounded, &schema.ForwardRequest{Request: "r"})
		return err
	}
	awaitRejected := func(want uint64) {
		t.Helper()
		for deadline := time.Now().Add(20 * time.Second); server.RejectedPeers.Load() < want; {
			if time.Now().After(deadline) {
				t.Fatalf("RejectedPeers = %d after 20 s, want %d", server.RejectedPeers.Load(), want)
			}
			runtime.Gosched()
		}
	}
	allowedPeer := tlsTransport(t, ours, "proxy", "q", "client")
	if err := call(allowedPeer); err != nil {
		t.Fatalf("call by an allowed peer: error %v, want none", err)
	}
	if peer := <-recorder.seen; peer.Name != "q" || !peer.MayCallAs("client") || peer.MayCallAs("shop") {
		t.Errorf("PeerFromContext = %+v, want name q that may call as client but not as shop", peer)
	}
	if err := call(tlsTransport(t, theirs, "proxy", "q", "client")); err == nil {
		t.Error("call with a certificate of another authority succeeded, want an error")
	}
	awaitRejected(1)
	if err := call(tlsTransport(t, ours, "store", "a")); err == nil {
		t.Error("call with the role store succeeded, want an error: only the role proxy is allowed")
	}
	awaitRejected(2)
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = raw.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	awaitRejected(3)
	_ = raw.Close()
	// A peer with another protocol version is rejected at the handshake.
	if conn, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"meadowhinge/0"}}); err == nil {
		_ = conn.Close()
		t.Error("TLS handshake with protocol meadowhinge/0 succeeded, want an error")
	}
	awaitRejected(4)
	if err := call(allowedPeer); err != nil {
		t.Errorf("call by an allowed peer after rejected ones: error %v, want none", err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("Serve after its context ended: %v, want nil", err)
	}
}

// TestFailedDialReturnsPeerConnectFailed checks that a call whose connection cannot be opened fails with
// PeerConnectFailed, which proves to the caller that nothing was sent.
func TestFailedDialReturnsPeerConnectFailed(t *testing.T) {
	authority, err := testbed.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	client := tlsTransport(t, authority, "proxy", "q")
	_, err = schema.NewDRPCHopClient(client.Conn(t.Context(), address)).Run(t.Context(), &schema.ForwardRequest{})
	if errs.CodeOf(err) != errs.PeerConnectFailed {
		t.Errorf("call to a closed port: error %v, want code %s", err, errs.PeerConnectFailed)
	}
}

// TestCertificatesAreReloaded checks that a certificate is reloaded when its file changes. If the new one cannot be
// used, the previous one must stay in use and the status must say why.
func TestCertificatesAreReloaded(t *testing.T) {
	authority, err := testbed.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	file, err := authority.IssueUntil("proxy", "q", nil, time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now() // each reading of the clock advances it by 2 s, so that each status checks the files again
	made, err := transport.NewTLS(file, authority.File(), transport.WithClock(func() time.Time { now = now.Add(2 * time.Second); return now }))
	if err != nil {
		t.Fatal(err)
	}
	defer made.Close()
	status := func() transport.CertificateStatus { return made.Certificate().(transport.CertificateStatus) }
	first := status()
	valid, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	// write replaces the certificate file, and sets its modification time to a time after now.
	write := func(t *testing.T, text []byte, later time.Duration) {
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
		text, err := os.ReadFile(other)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	for i, test := range []struct {
		name     string
		text     []byte // new content of the certificate file
		fault    string // part of the status's fault; empty for no fault
		replaced bool   // whether the new certificate must be in use instead of the first one
	}{
		{"not PEM", []byte("x"), "PEM", false},
		{"expired", issue("proxy", "q", now.Add(-time.Hour)), "valid only from", false},
		{"another identity", issue("proxy", "r", now.Add(3*time.Hour)), "not proxy", false},
		{"first certificate again", valid, "", false},
		{"newer certificate", issue("proxy", "q", now.Add(5*time.Hour)), "", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			write(t, test.text, time.Duration(i+1)*time.Minute)
			got := status()
			if (test.fault == "") != (got.Fault == "") || !strings.Contains(got.Fault, test.fault) || got.NotAfter.Equal(first.NotAfter) == test.replaced {
				t.Errorf("Certificate() = %+v, want fault containing %q; first certificate expires %v, want it replaced: %v", got, test.fault, first.NotAfter, test.replaced)
			}
		})
	}
	if _, err := transport.NewTLS("/nowhere", authority.File()); errs.CodeOf(err) != errs.InvalidOptions {
		t.Errorf("NewTLS with a missing certificate file: error %v, want code %s", err, errs.InvalidOptions)
	}
}

// TestPlaintextHandshake checks that the greeting of a plaintext connection identifies its peer, and that a peer with
// another protocol or a role that is not allowed is rejected and counted.
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
		client := transport.NewPlaintext(role, "q", []string{"shop", "bag"})
		defer client.Close()
		bounded, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		_, err := schema.NewDRPCHopClient(client.Conn(bounded, listener.Addr().String())).Run(bounded, &schema.ForwardRequest{Request: "r"})
		return err
	}
	if err := call("proxy"); err != nil {
		t.Fatalf("call with the role proxy: error %v, want none", err)
	}
	if peer := <-recorder.seen; peer.Role != "proxy" || peer.Name != "q" || !peer.MayCallAs("bag") || peer.MayCallAs("other") {
		t.Fatalf("PeerFromContext = %+v, want proxy q that may call as bag but not as other", peer)
	}
	if err := call("store"); err == nil {
		t.Fatal("call with the role store succeeded, want an error: only the role proxy is allowed")
	}
	raw, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = raw.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	if _, err := raw.Read(make([]byte, 1)); err == nil {
		t.Fatal("an HTTP request on the mesh's listener got a response, want the connection closed")
	}
	if rejected := server.RejectedPeers.Load(); rejected != 2 {
		t.Fatalf("RejectedPeers = %d, want 2", rejected)
	}
	cancel()
	<-ended
}
