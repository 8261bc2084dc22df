package dispatch

import (
	"strings"
	"testing"
	"time"
)

// Bytes wait behind those written before, and leave at the bandwidth of the link.
func TestUplink(t *testing.T) {
	now := time.Duration(0)
	uplink := NewUplink(1000, func() time.Duration { return now })
	for _, test := range []struct {
		at       time.Duration
		response int
		want     time.Duration
	}{
		{0, 0, 0},
		{0, 460, 500 * ms},
		{0, 460, time.Second},
		{400 * ms, 0, 600 * ms},
		{2 * time.Second, 0, 0},
		// Two packets, each with its own headers.
		{2 * time.Second, 1920, 2 * time.Second},
	} {
		now = test.at
		uplink.RecordWrite(test.response)
		if got := uplink.Backlog(); got != test.want {
			t.Errorf("at %s with %d bytes more: %s, want %s", test.at, test.response, got, test.want)
		}
	}
	for _, none := range []*Uplink{NewUplink(0, nil), nil} {
		none.RecordWrite(1 << 30)
		if none.Backlog() != 0 || none.TransferTime(1<<30) != 0 {
			t.Error("a link of unknown bandwidth has a backlog")
		}
	}
}

// A queue runs no more requests than the uplink can send answers for. The others wait in the queue, where the order of
// priority holds, and a request that would be late is refused at once.
func TestWorkerQueueOverUplink(t *testing.T) {
	for name, test := range map[string]struct {
		rate  int64
		steps func(script *queueScript, uplink *Uplink)
		want  string
	}{
		// An answer takes 5 ms on the uplink and the work 10: two keep it busy, one more hides the latency.
		"link short": {200_000, func(script *queueScript, _ *Uplink) {
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				script.admit(name, 0, 0, time.Second)
			}
			script.release(ResultAnswered)
		}, "a goes, b goes, c goes, d goes"},
		"by priority": {200_000, func(script *queueScript, _ *Uplink) {
			for _, name := range []string{"a", "b", "c"} {
				script.admit(name, 0, 0, time.Second)
			}
			script.admit("d", 2, 0, time.Second)
			script.admit("e", 0, 0, time.Second)
			script.release(ResultAnswered)
		}, "a goes, b goes, c goes, e goes"},
		"link wide": {200_000_000, func(script *queueScript, _ *Uplink) {
			for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
				script.admit(name, 0, 0, time.Second)
			}
		}, "a goes, b goes, c goes, d goes, e goes, f goes"},
		// 50 ms of other bytes are on the uplink already; one request runs all the same, because its end admits the next.
		"link filled by others": {200_000, func(script *queueScript, uplink *Uplink) {
			uplink.RecordWrite(9720)
			script.admit("a", 0, 0, time.Second)
			script.admit("b", 0, 0, time.Second)
			script.admit("c", 0, 60*ms, time.Second)
		}, "a goes, c BUFFER_FULL 3.333333ms"},
	} {
		t.Run(name, func(t *testing.T) {
			script := newQueueScript(t)
			uplink := NewUplink(test.rate, func() time.Duration { return script.now })
			script.queue = NewWorkerQueue(8, 8).withUplink(uplink)
			script.queue.recordServiceTime(script.now, "r", 10*ms)
			script.queue.RecordAnswerSize(960)
			test.steps(script, uplink)
			if got := strings.Join(script.log, ", "); got != test.want {
				t.Errorf("%s, want %s", got, test.want)
			}
		})
	}
}
