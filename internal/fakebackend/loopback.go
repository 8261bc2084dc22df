package fakebackend

import (
	"fmt"
	"io"
	"net"
	"os"

	"meadowhinge/internal/errs"
)

// A run may reserve any network 127.X.0.0/16 with X from firstLoopbackNet to lastLoopbackNet.
const (
	firstLoopbackNet = 16
	lastLoopbackNet  = 250
	// lockPort is the port of the listener that locks a network; see ReserveLoopbackNet.
	lockPort = 7000
)

// FirstPort is the first port at which a run's processes may listen. It lies below the ephemeral port range, so that
// no outgoing connection occupies a port that a process is about to listen on.
const FirstPort = 7001

// ReserveLoopbackNet reserves a loopback network 127.X.0.0/16 for this process and returns X. No other process on
// this machine gets the same network until lock is closed. It fails with errs.Internal if every network is reserved.
func ReserveLoopbackNet() (octet int, lock io.Closer, err error) {
	const count = lastLoopbackNet - firstLoopbackNet + 1
	for i := range count {
		octet = firstLoopbackNet + (os.Getpid()+i)%count
		// An address can have only one listener, so a listener at a fixed address of the network serves as its lock.
		if lock, err = net.Listen("tcp", fmt.Sprintf("127.%d.250.1:%d", octet, lockPort)); err == nil {
			return octet, lock, nil
		}
	}
	return 0, nil, errs.Wrap(err, errs.Internal,
		fmt.Sprintf("every loopback network from 127.%d.0.0/16 to 127.%d.0.0/16 is reserved", firstLoopbackNet, lastLoopbackNet))
}
