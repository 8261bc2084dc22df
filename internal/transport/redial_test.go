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

// A dial whose first packet went to a machine without power must not delay the connection to a machine that is
// back: a later dial connects, and the connections of the others are closed.
func TestUnansweredDialIsDialledAgain(t *testing.T) {
	unanswered := func(ctx context.Context, _ int64) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	refused := errors.WithStack(syscall.ECONNREFUSED)
	for name, test := range map[string]struct {
		dial     func(ctx context.Context, attempt int64) (net.Conn, error)
		want     error
		maxDials int64
	}{
		"the first answers": {maxDials: 1, dial: func(context.Context, int64) (net.Conn, error) { a, _ := net.Pipe(); return a, nil }},
		"the third answers": {maxDials: 1 << 20, dial: func(ctx context.Context, attempt int64) (net.Conn, error) {
			if attempt < 3 {
				return unanswered(ctx, attempt)
			}
			a, _ := net.Pipe()
			return a, nil
		}},
		"a refusal is an answer": {maxDials: 1, want: syscall.ECONNREFUSED, dial: func(context.Context, int64) (net.Conn, error) { return nil, refused }},
	} {
		t.Run(name, func(t *testing.T) {
			// Where one dial is enough, no interval ever passes.
			interval := time.Hour
			if test.maxDials > 1 {
				interval = time.Microsecond
			}
			var attempts atomic.Int64
			conn, err := dialRepeatedly(t.Context(), interval, func(ctx context.Context) (net.Conn, error) { return test.dial(ctx, attempts.Add(1)) })
			if !errors.Is(err, test.want) || (err == nil) != (conn != nil) || attempts.Load() > test.maxDials {
				t.Fatalf("got %v, %v after %d dials", conn, err, attempts.Load())
			}
			if conn != nil {
				_ = conn.Close()
			}
		})
	}
	t.Run("nobody answers", func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		var attempts atomic.Int64
		_, err := dialRepeatedly(ctx, time.Microsecond, func(ctx context.Context) (net.Conn, error) {
			if attempts.Add(1) == 3 {
				end()
			}
			return unanswered(ctx, 0)
		})
		if !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
	})
	t.Run("a late connection is closed", func(t *testing.T) {
		mine, theirs := net.Pipe()
		won := make(chan struct{})
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
			t.Fatal(err)
		}
		_ = conn.Close()
		close(won)
		if _, err := theirs.Read(make([]byte, 1)); err == nil {
			t.Fatal("the connection of a dial that came second is still open")
		}
	})
}
