package proxy

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"

	"meadowhinge/internal/socket"
)

// This file bounds how long a response may take to write. A caller may read as slowly as it likes within the time of its
// call, as long as it goes on reading. The response stays in memory until it is written, so both bounds are needed.

// progressChecksPerIdleTimeout is the number of times in one idle timeout that the progress of a slow caller is checked.
const progressChecksPerIdleTimeout = 4

// writeProgress observes how a caller takes a response that could not be written at once.
type writeProgress struct {
	conn        net.Conn
	idleTimeout time.Duration // time without progress after which the response is cut off
	end         time.Time     // time at which the response is cut off in any case
	measured    bool          // whether taken was measured before
	taken       int64         // bytes that the caller had taken at the last check; counts from an arbitrary origin
	takenAt     time.Time     // time of the last check that found progress
}

// newWriteProgress returns the progress of a response whose writing began at startedAt. It may take until the deadline of
// its call, and at least for one idle timeout.
func (c *connection) newWriteProgress(startedAt time.Time) *writeProgress {
	idleTimeout := c.listener.limits().idleTimeout
	progress := &writeProgress{conn: c.conn, idleTimeout: idleTimeout, end: startedAt.Add(idleTimeout), takenAt: startedAt}
	if c.response.deadline.After(progress.end) {
		progress.end = c.response.deadline
	}
	return progress
}

// nextDeadline returns the deadline of the next write after a write has reached its own, and false if the response must
// be cut off. written is the number of bytes of the response that the kernel has accepted.
func (p *writeProgress) nextDeadline(now time.Time, written int64) (deadline time.Time, mayContinue bool) {
	// The first check has nothing to compare with.
	if taken := written - socket.UnacknowledgedBytes(p.conn); !p.measured || taken > p.taken {
		p.measured, p.taken, p.takenAt = true, taken, now
	}
	if now.Sub(p.takenAt) >= p.idleTimeout || !now.Before(p.end) {
		return time.Time{}, false
	}
	deadline = now.Add(p.idleTimeout / progressChecksPerIdleTimeout)
	if deadline.After(p.end) {
		deadline = p.end
	}
	return deadline, true
}

// writeParts writes the header and the body of a response to the caller, and returns the number of bytes written. A
// caller that reads slowly may take until the deadline of its call. One that takes nothing for the idle timeout is given
// up, up to 1/progressChecksPerIdleTimeout of that later.
func (c *connection) writeParts(header, body []byte) (written int64, err error) {
	startedAt := time.Now()
	c.setWriteTimeout(startedAt, len(body) > 0)
	var progress *writeProgress
	for _, part := range [...][]byte{header, body} {
		for len(part) > 0 {
			count, err := c.conn.Write(part)
			written += int64(count)
			part = part[count:]
			if err == nil {
				break
			}
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return written, err
			}
			if progress == nil {
				progress = c.newWriteProgress(startedAt)
			}
			deadline, mayContinue := progress.nextDeadline(time.Now(), written)
			if !mayContinue {
				return written, err
			}
			c.moveWriteDeadline(deadline)
		}
	}
	return written, nil
}

// setWriteTimeout sets the deadline of the next write: the first check of the progress if the write is large, and
// otherwise the idle timeout, of which at least half remains if it was set for an earlier write. That saves work for each
// request.
func (c *connection) setWriteTimeout(now time.Time, isLarge bool) {
	timeout := c.listener.limits().idleTimeout
	switch {
	case isLarge:
		c.moveWriteDeadline(now.Add(timeout / progressChecksPerIdleTimeout))
	case c.writeDeadline.Sub(now) < timeout/2:
		c.moveWriteDeadline(now.Add(timeout))
	}
}

// moveWriteDeadline sets the deadline of writes to the caller.
func (c *connection) moveWriteDeadline(deadline time.Time) {
	c.writeDeadline = deadline
	_ = c.conn.SetWriteDeadline(deadline) // a closed connection fails at the write
}
