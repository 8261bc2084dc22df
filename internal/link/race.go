package link

import (
	"context"
	"net"
	"time"
)

// redialParts is how many times a link is dialled within the time that it may take to open. A
// machine without power says nothing to the first packet, and the kernel sends it again only
// after a second: by then the machine may long be back, and one that came back sooner than
// the rest would go without its peers for all that time.
const redialParts = 5

// dialled is what came of one dial.
type dialled struct {
	conn net.Conn
	err  error
}

// race dials again each gap as long as nobody answers; what is under way stays, so that a peer
// that is only far away is still reached. The first answer counts, a refusal too.
func race(ctx context.Context, gap time.Duration, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	came := make(chan dialled)
	try := func() {
		conn, err := dial(ctx)
		select {
		case came <- dialled{conn, err}:
		case <-ctx.Done():
			// Another was first.
			if conn != nil {
				conn.Close()
			}
		}
	}
	go try()
	ticker := time.NewTicker(gap)
	defer ticker.Stop()
	for {
		select {
		case one := <-came:
			return one.conn, one.err
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-ticker.C:
			go try()
		}
	}
}
