package transport

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/socket"
)

// Serve serves RPCs on a listener until ctx ends, and then closes the listener and returns nil. If accepting
// connections fails before that, it returns an Internal error. Peers whose role is not in roles are rejected after the
// handshake. Each connection is served until its peer closes it or ctx ends.
func (t *Transport) Serve(ctx context.Context, listener net.Listener, handler drpc.Handler, roles ...string) error {
	counted := countingHandler{handler, &t.meter}
	server := drpcserver.NewWithOptions(counted, drpcserver.Options{Manager: t.managerOptions()})
	allowed := map[string]bool{}
	for _, role := range roles {
		allowed[role] = true
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		<-ctx.Done()
		_ = listener.Close() // makes Accept fail even if Close returns an error
	}()
	for {
		raw, err := listener.Accept()
		if err == nil {
			go t.serveConn(ctx, server, raw, allowed)
			continue
		}
		if ctx.Err() != nil {
			// When Serve returns, the address must be free for the next listener.
			<-closed
			return nil
		}
		return errs.Wrap(err, errs.Internal, "accept a connection at "+listener.Addr().String())
	}
}

// serveConn identifies the peer of an accepted connection, serves it if the peer's role is allowed, and closes it.
func (t *Transport) serveConn(ctx context.Context, server *drpcserver.Server, raw net.Conn, allowed map[string]bool) {
	secured, peer, err := t.handshake(ctx, raw)
	defer func() { _ = secured.Close() }() // the connection is no longer used, so the error does not matter
	if err != nil || !allowed[peer.Role] {
		// The count is raised before the connection closes, so that a peer that sees the close also sees the count.
		t.RejectedPeers.Add(1)
		return
	}
	// A protocol error means malformed messages. Any other error means that the peer disconnected.
	err = server.ServeOne(context.WithValue(ctx, peerContextKey{}, peer), secured)
	if err != nil && ctx.Err() == nil && drpc.ProtocolError.Has(err) {
		t.RejectedPeers.Add(1)
	}
}

// handshake identifies the peer of an accepted connection, within handshakeTimeoutFactor dial timeouts. The returned
// connection is never nil. Errors are Unauthorized.
func (t *Transport) handshake(ctx context.Context, raw net.Conn) (net.Conn, Peer, error) {
	t.enableKeepAlive(raw)
	timeout := t.dialTimeout * handshakeTimeoutFactor
	counted := countingConn{socket.Wrap(raw), &t.meter}
	if t.tlsConfig == nil {
		_ = counted.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed connection, on which the read fails too
		peer, err := readGreeting(counted)
		_ = counted.SetReadDeadline(time.Time{}) // fails only on a closed connection, which the caller closes anyway
		return counted, peer, err
	}
	secured := tls.Server(counted, t.tlsConfig)
	handshakeCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := secured.HandshakeContext(handshakeCtx); err != nil {
		return secured, Peer{}, errs.Wrap(err, errs.Unauthorized, "TLS handshake")
	}
	return secured, peerFromCertificate(secured.ConnectionState().PeerCertificates[0]), nil
}

// enableKeepAlive gives an accepted connection the same keep-alive settings and user timeout as a dialed one. Errors
// are ignored: their only effect is that a lost peer is detected later.
func (t *Transport) enableKeepAlive(raw net.Conn) {
	tcp, isTCP := raw.(*net.TCPConn)
	if !isTCP {
		return
	}
	_ = tcp.SetKeepAliveConfig(t.keepAliveConfig()) // ignored, see above
	if inner, err := tcp.SyscallConn(); err == nil {
		_ = t.setUserTimeout("", "", inner) // ignored, see above
	}
}
