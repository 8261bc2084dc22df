package transport

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"meadowhinge/internal/errs"
)

// Multiples of the dial timeout after which an unresponsive peer is considered dead. A machine that lost power closes no
// connection, so without these its connections would hang.
const (
	handshakeTimeoutFactor      = 5 // for a peer to identify itself
	unacknowledgedTimeoutFactor = 2 // for sent data to be acknowledged, and before a first keep-alive probe
	maxKeepAliveProbes          = 3
)

func (t *Transport) keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     max(time.Second, t.dialTimeout*unacknowledgedTimeoutFactor),
		Interval: max(time.Second, t.dialTimeout),
		Count:    maxKeepAliveProbes,
	}
}

// setUserTimeout bounds how long sent data may stay unacknowledged before the connection breaks. It has the
// form of net.Dialer.Control.
func (t *Transport) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	timeout := t.dialTimeout * unacknowledgedTimeoutFactor
	var socketErr error
	err := raw.Control(func(fd uintptr) {
		socketErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err == nil {
		err = socketErr
	}
	return errs.Wrap(err, errs.PeerConnectFailed, "socket")
}
