package dispatch

import (
	"sync"
	"time"
)

// Uplink is the link that a machine has to the others, as far as this process fills it. What is
// written to a socket only joins a queue there, in which everything waits behind everything
// else; so how long that is, is reckoned from what was written and from the link's rate. Nil is
// a link that need not be thought of.
type Uplink struct {
	now            func() time.Duration
	bytesPerSecond float64 // bytes a second

	lock      sync.Mutex
	drainedAt time.Duration // when all that was written has left
}

// What a link carries besides what is written, in bytes.
const (
	segmentPayload  = 1460 // of what is written goes into one packet
	segmentOverhead = 40   // that each packet has before it
)

// NewUplink is a link of so many bytes a second; none where the rate is not known.
func NewUplink(bytesPerSecond int64, now func() time.Duration) *Uplink {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Uplink{now: now, bytesPerSecond: float64(bytesPerSecond)}
}

// TransferTime is how long the link takes for so many bytes that are written at once.
func (u *Uplink) TransferTime(bytes int) time.Duration {
	if u == nil || bytes <= 0 {
		return 0
	}
	packets := (bytes + segmentPayload - 1) / segmentPayload
	return time.Duration(float64(bytes+packets*segmentOverhead) / u.bytesPerSecond * float64(time.Second))
}

// RecordWrite notes that so many bytes were written.
func (u *Uplink) RecordWrite(bytes int) {
	if u == nil || bytes <= 0 {
		return
	}
	now := u.now()
	u.lock.Lock()
	u.drainedAt = max(u.drainedAt, now) + u.TransferTime(bytes)
	u.lock.Unlock()
}

// Backlog is how long what is written now waits before it leaves.
func (u *Uplink) Backlog() time.Duration {
	if u == nil {
		return 0
	}
	now := u.now()
	u.lock.Lock()
	defer u.lock.Unlock()
	return max(0, u.drainedAt-now)
}
