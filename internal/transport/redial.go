package transport

import (
	"context"
	"net"
	"time"
)

// dialsPerTimeout is the number of times that an address is dialed within the dial timeout. A machine without power
// does not answer the first SYN packet, and the kernel retransmits it only after one second. A machine that is back
// before then would stay unreachable until the retransmission.
const dialsPerTimeout = 5

// dialResult is the result of one dial.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialRepeatedly starts another dial after each interval until one of them has a result. Earlier dials continue, so
// that a peer with a long round-trip time is still reached. The first result is returned even if it is an error: a
// refused connection shows that the machine is running. Connections that open after the first result are closed.
func dialRepeatedly(ctx context.Context, interval time.Duration, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult)
	attempt := func() {
		conn, err := dial(ctx)
		select {
		case results <- dialResult{conn, err}:
		case <-ctx.Done():
			if conn != nil {
				_ = conn.Close() // another dial finished first
			}
		}
	}
	go attempt()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case result := <-results:
			return result.conn, result.err
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-ticker.C:
			go attempt()
		}
	}
}
