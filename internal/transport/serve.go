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

// Serve serves RPCs on a listener until ctx ends, and then closes the listener and returns nil. Peers whose role
// is not among roles are rejected at the handshake. Connections are served until their peers close them, or ctx
// ends.
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
		_ = listener.Close() // Accept fails all the same
	}()
	for {
		raw, err := listener.Accept()
		if err == nil {
			go t.serveConn(ctx, server, raw, allowed)
			continue
		}
		if ctx.Err() != nil {
			// The address must be free when Serve returns, for whoever listens there next.
			<-closed
			return nil
		}
		return errs.Wrap(err, errs.Internal, "accept")
	}
}

// serveConn identifies the peer of a new connection, and serves it if its role is allowed.
func (t *Transport) serveConn(ctx context.Context, server *drpcserver.Server, raw net.Conn, allowed map[string]bool) {
	secured, peer, err := t.handshake(ctx, raw)
	defer func() { _ = secured.Close() }() // the connection is done with, whatever the error
	if err != nil || !allowed[peer.Role] {
		// Counted before the connection closes: whoever sees the close may look at the count.
		t.RejectedPeers.Add(1)
		return
	}
	// Any error here is a peer that disconnected, except that malformed messages give a protocol error.
	err = server.ServeOne(context.WithValue(ctx, peerContextKey{}, peer), secured)
	if err != nil && ctx.Err() == nil && drpc.ProtocolError.Has(err) {
		t.RejectedPeers.Add(1)
	}
}

// handshake identifies the peer of a connection that it opened, within a bound. The connection that it gives is
// never nil.
func (t *Transport) handshake(ctx context.Context, raw net.Conn) (net.Conn, Peer, error) {
	t.enableKeepAlive(raw)
	timeout := t.dialTimeout * handshakeTimeoutFactor
	counted := countingConn{socket.Wrap(raw), &t.meter}
	if t.tlsConfig == nil {
		_ = counted.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed connection, as the read then does
		peer, err := readGreeting(counted)
		_ = counted.SetReadDeadline(time.Time{}) // the same
		return counted, peer, err
	}
	secured := tls.Server(counted, t.tlsConfig)
	handshakeCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := secured.HandshakeContext(handshakeCtx); err != nil {
		return secured, Peer{}, errs.Wrap(err, errs.Unauthorized, "handshake")
	}
	return secured, peerFromCertificate(secured.ConnectionState().PeerCertificates[0]), nil
}

// enableKeepAlive sets an accepted connection's keep-alive and user timeout, as dialing sets them. An error
// would only make a lost peer be noticed later, so it is not reported.
func (t *Transport) enableKeepAlive(raw net.Conn) {
	tcp, isTCP := raw.(*net.TCPConn)
	if !isTCP {
		return
	}
	_ = tcp.SetKeepAliveConfig(t.keepAliveConfig()) // not reported, see above
	if inner, err := tcp.SyscallConn(); err == nil {
		_ = t.setUserTimeout("", "", inner) // not reported, see above
	}
}
