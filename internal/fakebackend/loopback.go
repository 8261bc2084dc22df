package fakebackend

import (
	"fmt"
	"io"
	"net"
	"os"

	"meadowhinge/internal/errs"
)

// The loopback networks 127.X.0.0/16 that runs reserve, by X, and the port of the address that locks one.
const (
	firstLoopbackNet = 16
	lastLoopbackNet  = 250
	lockPort         = 7000
)

// FirstPort is the first port at which a run's processes may listen. It lies below the ephemeral ports, so that no
// outgoing connection has one of them.
const FirstPort = 7001

// ReserveLoopbackNet reserves a network 127.X.0.0/16 that no other run on this machine has, and gives X. The network
// is free again when lock is closed. The error is Internal: all networks are reserved.
func ReserveLoopbackNet() (octet int, lock io.Closer, err error) {
	const count = lastLoopbackNet - firstLoopbackNet + 1
	for i := range count {
		octet = firstLoopbackNet + (os.Getpid()+i)%count
		// Only one process can listen at an address, so listening at one of the network's locks the network.
		if lock, err = net.Listen("tcp", fmt.Sprintf("127.%d.250.1:%d", octet, lockPort)); err == nil {
			return octet, lock, nil
		}
	}
	return 0, nil, errs.Wrap(err, errs.Internal, "no free loopback net")
}
