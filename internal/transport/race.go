package transport

import (
	"context"
	"net"
	"time"
)

// dialsPerTimeout is how many times a link is dialled within the time that it may take to open. A
// machine without power says nothing to the first packet, and the kernel sends it again only
// after a second: by then the machine may long be back, and one that came back sooner than
// the rest would go without its peers for all that time.
const dialsPerTimeout = 5

// dialResult is what came of one dial.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialRepeatedly dials again each gap as long as nobody answers; what is under way stays, so that a peer
// that is only far away is still reached. The first answer counts, a refusal too.
func dialRepeatedly(ctx context.Context, interval time.Duration, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult)
	attempt := func() {
		conn, err := dial(ctx)
		select {
		case results <- dialResult{conn, err}:
		case <-ctx.Done():
			// Another was first.
			if conn != nil {
				conn.Close()
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
