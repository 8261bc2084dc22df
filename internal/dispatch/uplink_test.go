package dispatch

import (
	"strings"
	"testing"
	"time"
)

// Bytes wait behind those that were written before, and are sent at the bandwidth of the link.
func TestUplinkBacklogDrainsAtBandwidth(t *testing.T) {
	now := time.Duration(0)
	uplink := NewUplink(1000, func() time.Duration { return now })
	for _, test := range []struct {
		at    time.Duration // process clock
		bytes int           // bytes that are written at that time
		want  time.Duration // backlog after that
	}{
		{0, 0, 0},
		{0, 460, 500 * ms},
		{0, 460, time.Second},
		{400 * ms, 0, 600 * ms},
		{2 * time.Second, 0, 0},
		// Two packets, each with headers of its own.
		{2 * time.Second, 1920, 2 * time.Second},
	} {
		now = test.at
		uplink.RecordWrite(test.bytes)
		if got := uplink.Backlog(); got != test.want {
			t.Errorf("Backlog at %s after writing %d bytes: got %s, want %s", test.at, test.bytes, got, test.want)
		}
	}
	for _, none := range []*Uplink{NewUplink(0, nil), nil} {
		none.RecordWrite(1 << 30)
		if none.Backlog() != 0 || none.TransferTime(1<<30) != 0 {
			t.Errorf("unknown bandwidth: got backlog %v and transfer time %v, want 0s and 0s", none.Backlog(), none.TransferTime(1<<30))
		}
	}
}

// The queue admits no more requests than the uplink can send answers for. The others wait in the queue, where
// priorities apply, and a request that would be late is refused at once.
func TestWorkerQueueLimitsRequestsByUplink(t *testing.T) {
	for name, test := range map[string]struct {
		rate  int64 // bandwidth in bytes per second
		steps func(script *queueScript, uplink *Uplink)
		want  string
	}{
		// An answer takes 5 ms on the uplink and a run takes 10 ms: two requests keep the uplink busy, and one more hides
		// the latency.
		"narrow link: limited": {200_000, func(script *queueScript, _ *Uplink) {
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				script.admit(name, 0, 0, time.Second)
			}
			script.release(ResultAnswered)
		}, "a admitted, b admitted, c admitted, d admitted"},
		"narrow link: waiting requests by priority": {200_000, func(script *queueScript, _ *Uplink) {
			for _, name := range []string{"a", "b", "c"} {
				script.admit(name, 0, 0, time.Second)
			}
			script.admit("d", 2, 0, time.Second)
			script.admit("e", 0, 0, time.Second)
			script.release(ResultAnswered)
		}, "a admitted, b admitted, c admitted, e admitted"},
		"wide link: not limited": {200_000_000, func(script *queueScript, _ *Uplink) {
			for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
				script.admit(name, 0, 0, time.Second)
			}
		}, "a admitted, b admitted, c admitted, d admitted, e admitted, f admitted"},
		// The uplink already needs 50 ms for other bytes. One request is admitted nevertheless, because its end admits the
		// next one.
		"link busy with other bytes: one at a time": {200_000, func(script *queueScript, uplink *Uplink) {
			uplink.RecordWrite(9720)
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 0, 60*ms, time.Second)
		}, "a admitted, c BUFFER_FULL 3.333333ms"},
	} {
		t.Run(name, func(t *testing.T) {
			script := newQueueScript(t)
			uplink := NewUplink(test.rate, func() time.Duration { return script.now })
			script.queue = NewWorkerQueue(8, 8).withUplink(uplink)
			script.queue.recordServiceTime(script.now, "r", 10*ms)
			script.queue.RecordResponseSize(960)
			test.steps(script, uplink)
			if got := strings.Join(script.log, ", "); got != test.want {
				t.Errorf("decisions: got %q, want %q", got, test.want)
			}
		})
	}
}
