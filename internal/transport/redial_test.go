package transport

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// TestUnansweredDialIsRepeated guards against a delayed reconnection after a power loss: the first SYN packet goes to a
// machine without power, and the kernel retransmits it only a second later. A later dial must connect, and connections
// of the other dials must be closed.
func TestUnansweredDialIsRepeated(t *testing.T) {
	unanswered := func(ctx context.Context, _ int64) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	refused := errors.WithStack(syscall.ECONNREFUSED)
	for name, test := range map[string]struct {
		dial     func(ctx context.Context, attempt int64) (net.Conn, error)
		want     error // nil for a connection
		maxDials int64 // most dials that may be started; 1 also makes the interval too long for a second one
	}{
		"first dial connects": {maxDials: 1, dial: func(context.Context, int64) (net.Conn, error) { a, _ := net.Pipe(); return a, nil }},
		"third dial connects": {maxDials: 1 << 20, dial: func(ctx context.Context, attempt int64) (net.Conn, error) {
			if attempt < 3 {
				return unanswered(ctx, attempt)
			}
			a, _ := net.Pipe()
			return a, nil
		}},
		"refused connection is returned": {maxDials: 1, want: syscall.ECONNREFUSED, dial: func(context.Context, int64) (net.Conn, error) { return nil, refused }},
	} {
		t.Run(name, func(t *testing.T) {
			// If one dial must be enough, the interval is too long to pass.
			interval := time.Hour
			if test.maxDials > 1 {
				interval = time.Microsecond
			}
			var attempts atomic.Int64
			conn, err := dialRepeatedly(t.Context(), interval, func(ctx context.Context) (net.Conn, error) { return test.dial(ctx, attempts.Add(1)) })
			if !errors.Is(err, test.want) || (err == nil) != (conn != nil) || attempts.Load() > test.maxDials {
				t.Fatalf("dialRepeatedly = %v, error %v after %d dials; want error %v after at most %d dials", conn, err, attempts.Load(), test.want, test.maxDials)
			}
			if conn != nil {
				_ = conn.Close()
			}
		})
	}
	t.Run("context ends before any dial has a result", func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		var attempts atomic.Int64
		_, err := dialRepeatedly(ctx, time.Microsecond, func(ctx context.Context) (net.Conn, error) {
			if attempts.Add(1) == 3 {
				end()
			}
			return unanswered(ctx, 0)
		})
		if !errors.Is(err, context.Canceled) {
			t.Fatalf("dialRepeatedly: error %v, want %v", err, context.Canceled)
		}
	})
	t.Run("late connection is closed", func(t *testing.T) {
		mine, theirs := net.Pipe()
		won := make(chan struct{}) // closed after the second dial has connected
		var attempts atomic.Int64
		conn, err := dialRepeatedly(t.Context(), time.Microsecond, func(context.Context) (net.Conn, error) {
			if attempts.Add(1) == 1 {
				<-won
				return mine, nil
			}
			a, _ := net.Pipe()
			return a, nil
		})
		if err != nil {
			t.Fatalf("dialRepeatedly: error %v, want the connection of the second dial", err)
		}
		_ = conn.Close()
		close(won)
		if _, err := theirs.Read(make([]byte, 1)); err == nil {
			t.Fatal("read at the peer of the dial that finished second returned no error, want one: its connection must be closed")
		}
	})
}
