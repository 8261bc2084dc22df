package fakebackend

import (
	"fmt"
	"io"
	"net"
	"os"

	"meadowhinge/internal/errs"
)

// The second octets of the loopback net that runs share out among them, and the port that holds one.
const (
	firstLoopbackNet, lastLoopbackNet = 16, 250
	lockPort                          = 7000
)

// FirstPort is the first port that is for what a run listens at. It lies below the ports that the
// system gives to whoever dials, so nobody's outgoing connection sits on one of them.
const FirstPort = 7001

// ReserveLoopbackNet takes a 127.X.*.* that no other run has, and gives X; it is free again when held is closed.
func ReserveLoopbackNet() (octet int, lock io.Closer, err error) {
	span := lastLoopbackNet - firstLoopbackNet + 1
	for i := range span {
		octet = firstLoopbackNet + (os.Getpid()+i)%span
		// Who holds this one address holds the net: the system lets only one listen there.
		if lock, err = net.Listen("tcp", fmt.Sprintf("127.%d.250.1:%d", octet, lockPort)); err == nil {
			return octet, lock, nil
		}
	}
	return 0, nil, errs.Wrap(err, errs.Internal, "no free loopback net")
}
