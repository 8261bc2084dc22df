package transport

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"meadowhinge/internal/errs"
)

// Bounds after which an unresponsive peer is considered dead; the factors are multiples of the dial timeout. A machine
// that loses power does not close its connections, so without these bounds RPCs on them would hang.
const (
	handshakeTimeoutFactor      = 5 // time for an accepted peer to identify itself
	unacknowledgedTimeoutFactor = 2 // time for sent data to be acknowledged, and idle time before the first probe
	maxKeepAliveProbes          = 3 // unanswered keep-alive probes, sent one dial timeout apart, after which a connection breaks
)

func (t *Transport) keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     max(time.Second, t.dialTimeout*unacknowledgedTimeoutFactor),
		Interval: max(time.Second, t.dialTimeout),
		Count:    maxKeepAliveProbes,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT: the time that sent data may stay unacknowledged before the connection breaks.
// Its signature is that of net.Dialer.Control. Errors are PeerConnectFailed.
func (t *Transport) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	timeout := t.dialTimeout * unacknowledgedTimeoutFactor
	var socketErr error
	err := raw.Control(func(fd uintptr) {
		socketErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err == nil {
		err = socketErr
	}
	return errs.Wrap(err, errs.PeerConnectFailed, "set TCP_USER_TIMEOUT")
}
