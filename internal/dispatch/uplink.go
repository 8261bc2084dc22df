package dispatch

import (
	"sync"
	"time"
)

// Uplink models the network link that this machine's responses and requests leave by, as far as this process fills it.
// What is written to a socket only joins a queue in the kernel, so the wait there is calculated from the bytes
// written and the link's bandwidth. A nil Uplink is a link without limit. It is safe for concurrent use.
type Uplink struct {
	now            func() time.Duration // the clock of the process
	bytesPerSecond float64

	lock      sync.Mutex    // guards drainedAt
	drainedAt time.Duration // when all that was written has left
}

// Packets of the link, in bytes.
const (
	segmentPayload  = 1460 // data in one packet
	segmentOverhead = 40   // headers of one packet
)

// NewUplink returns a link of a bandwidth, or nil if the bandwidth is not known (0 or less).
func NewUplink(bytesPerSecond int64, now func() time.Duration) *Uplink {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Uplink{now: now, bytesPerSecond: float64(bytesPerSecond)}
}

// TransferTime returns how long the link takes to send a number of bytes.
func (u *Uplink) TransferTime(bytes int) time.Duration {
	if u == nil || bytes <= 0 {
		return 0
	}
	packets := (bytes + segmentPayload - 1) / segmentPayload
	return time.Duration(float64(bytes+packets*segmentOverhead) / u.bytesPerSecond * float64(time.Second))
}

// RecordWrite records a number of bytes that were written.
func (u *Uplink) RecordWrite(bytes int) {
	if u == nil || bytes <= 0 {
		return
	}
	now := u.now()
	u.lock.Lock()
	u.drainedAt = max(u.drainedAt, now) + u.TransferTime(bytes)
	u.lock.Unlock()
}

// Backlog returns how long bytes that are written now wait before they leave.
func (u *Uplink) Backlog() time.Duration {
	if u == nil {
		return 0
	}
	now := u.now()
	u.lock.Lock()
	defer u.lock.Unlock()
	return max(0, u.drainedAt-now)
}
