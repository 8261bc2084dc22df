package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// UnacknowledgedBytes returns how many bytes the kernel holds that the other end of a connection has not acknowledged. A
// system call tells it, because the kernel reports a full socket as writable only once much of its buffer is free. The
// result is 0 where the call is not supported, so that what the kernel accepts counts as taken.
func UnacknowledgedBytes(conn net.Conn) (count int64) {
	syscallConn, supported := conn.(syscall.Conn)
	if !supported {
		return 0
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return 0
	}
	queued, queueErr := 0, error(nil)
	err = raw.Control(func(descriptor uintptr) { queued, queueErr = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ) })
	if err != nil || queueErr != nil {
		return 0
	}
	return int64(queued)
}
