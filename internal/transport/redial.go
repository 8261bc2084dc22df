package transport

import (
	"context"
	"net"
	"time"
)

// dialsPerTimeout is how many times an address is dialed within the dial timeout. A machine without power does
// not answer the first packet, and the kernel repeats that only after a second. The machine may be back long
// before, and would have to go without its peers until then.
const dialsPerTimeout = 5

// dialResult is the result of one dial.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialRepeatedly starts another dial after each interval until one has a result. Earlier dials go on, so that a
// peer that is only far away is still reached. The first result counts, also if it is an error: a refusal shows
// that the machine is there. Connections of later results are closed.
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
				_ = conn.Close() // another dial was first
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
