package dispatch

import (
	"sync"
	"time"
)

// Uplink models the network link over which this process sends its responses and requests. Bytes that are written to a
// socket wait in the kernel until the link can send them. The wait is calculated from the bytes that this process has
// written and the bandwidth of the link; other traffic on the link is not known. A nil *Uplink stands for a link of
// unlimited bandwidth. It is safe for concurrent use.
type Uplink struct {
	now            func() time.Duration // returns the process clock
	bytesPerSecond float64              // bandwidth

	lock      sync.Mutex    // guards drainedAt
	drainedAt time.Duration // time by which the link has sent all bytes written so far, on the process clock
}

// Sizes of a full TCP segment, in bytes.
const (
	segmentPayload  = 1460 // data
	segmentOverhead = 40   // IP and TCP headers
)

// NewUplink returns a link of the given bandwidth. It returns nil if bytesPerSecond is 0 or less, which means that the
// bandwidth is not known.
func NewUplink(bytesPerSecond int64, now func() time.Duration) *Uplink {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Uplink{now: now, bytesPerSecond: float64(bytesPerSecond)}
}

// TransferTime returns how long the link takes to send a number of bytes, including the headers of their packets.
func (u *Uplink) TransferTime(bytes int) time.Duration {
	if u == nil || bytes <= 0 {
		return 0
	}
	packets := (bytes + segmentPayload - 1) / segmentPayload
	return time.Duration(float64(bytes+packets*segmentOverhead) / u.bytesPerSecond * float64(time.Second))
}

// RecordWrite records that a number of bytes were written to a socket.
func (u *Uplink) RecordWrite(bytes int) {
	if u == nil || bytes <= 0 {
		return
	}
	now := u.now()
	u.lock.Lock()
	u.drainedAt = max(u.drainedAt, now) + u.TransferTime(bytes)
	u.lock.Unlock()
}

// Backlog returns how long bytes that are written now wait until the link begins to send them.
func (u *Uplink) Backlog() time.Duration {
	if u == nil {
		return 0
	}
	now := u.now()
	u.lock.Lock()
	defer u.lock.Unlock()
	return max(0, u.drainedAt-now)
}
