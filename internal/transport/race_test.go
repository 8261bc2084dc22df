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

// A dial whose first packet went to a machine that was still dark must not keep its link from a
// machine that is back: a later one comes through, and what is left of the others is closed.
func TestUnansweredDialIsDialledAgain(t *testing.T) {
	silent := func(ctx context.Context, _ int64) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	refused := errors.WithStack(syscall.ECONNREFUSED)
	for name, one := range map[string]struct {
		dial func(ctx context.Context, attempt int64) (net.Conn, error)
		want error
		most int64
	}{
		"the first answers": {most: 1, dial: func(context.Context, int64) (net.Conn, error) { a, _ := net.Pipe(); return a, nil }},
		"the third answers": {most: 1 << 20, dial: func(ctx context.Context, attempt int64) (net.Conn, error) {
			if attempt < 3 {
				return silent(ctx, attempt)
			}
			a, _ := net.Pipe()
			return a, nil
		}},
		"a refusal is an answer": {most: 1, want: syscall.ECONNREFUSED, dial: func(context.Context, int64) (net.Conn, error) { return nil, refused }},
	} {
		t.Run(name, func(t *testing.T) {
			// Where one dial is enough, no gap ever passes.
			gap := time.Hour
			if one.most > 1 {
				gap = time.Microsecond
			}
			var attempts atomic.Int64
			conn, err := dialRepeatedly(t.Context(), gap, func(ctx context.Context) (net.Conn, error) { return one.dial(ctx, attempts.Add(1)) })
			if !errors.Is(err, one.want) || (err == nil) != (conn != nil) || attempts.Load() > one.most {
				t.Fatalf("got %v, %v after %d dials", conn, err, attempts.Load())
			}
			if conn != nil {
				conn.Close()
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
			return silent(ctx, 0)
		})
		if !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
	})
	t.Run("a late one is closed", func(t *testing.T) {
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
		conn.Close()
		close(won)
		if _, err := theirs.Read(make([]byte, 1)); err == nil {
			t.Fatal("a link that lost the race is still open")
		}
	})
}
