package transport

import (
	"context"
	"crypto/tls"
	"io"
	"net"

	"storj.io/drpc/drpcconn"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/socket"
)

// dialConn opens a connection within the dial timeout. Errors are PeerConnectFailed, or Unauthorized if the peer's
// certificate or protocol version is wrong. After either, nothing of an RPC can have reached the peer.
func (t *Transport) dialConn(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, t.dialTimeout)
	defer cancel()
	secured, err := t.dialAndIdentify(ctx, address)
	if err != nil {
		return nil, errs.Wrap(err, errs.PeerConnectFailed, address)
	}
	return drpcconn.NewWithOptions(secured, drpcconn.Options{Manager: t.managerOptions()}), nil
}

// dialAndIdentify dials address, and then sends the greeting or performs the TLS handshake.
func (t *Transport) dialAndIdentify(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{LocalAddr: t.localAddress, KeepAliveConfig: t.keepAliveConfig(), Control: t.setUserTimeout}
	raw, err := dialRepeatedly(ctx, t.dialTimeout/dialsPerTimeout, func(ctx context.Context) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	})
	if err != nil {
		return nil, err
	}
	t.meter.opened.Add(1)
	counted := countingConn{socket.Wrap(raw), &t.meter}
	if t.tlsConfig == nil {
		if _, err := io.WriteString(counted, t.self.greeting()); err != nil {
			_ = counted.Close() // the error of the write is returned instead
			return nil, err
		}
		return counted, nil
	}
	secured := tls.Client(counted, t.tlsConfig)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = counted.Close() // the error of the handshake is returned instead
		return nil, err
	}
	return secured, nil
}
