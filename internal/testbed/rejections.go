package testbed

import (
	"time"
)

// rejected tells whether a call got the mesh's own error, or was lost with its proxy. A call that its proxy
// never took, or that its caller gave up, is not rejected.
func (e *CallEntry) rejected() bool {
	return e.Outcome != "answered" && e.Outcome != "unsent" && e.Outcome != outcomeDisconnected
}

// rejectionGraceLeases is how many leases after its end a fault may still cause rejections.
const rejectionGraceLeases = 2

// faultBehindRejection names a fault that may have caused the rejection of a call; empty if there is none.
// A fault without an end lasts until the next one.
func (h *History) faultBehindRejection(call CallEntry) string {
	coreFaults := 0
	for i, fault := range h.Faults {
		end := fault.End
		if end == 0 && i+1 < len(h.Faults) {
			end = h.Faults[i+1].At
		}
		if fault.At > call.Received || (end > 0 && call.Sent > end+rejectionGraceLeases*h.Lease) {
			continue
		}
		if fault.HitsCore {
			coreFaults++
		}
		// The loss of one core machine is harmless; that of two may cost the majority.
		if fault.MayReject || coreFaults > 1 {
			return fault.Name
		}
	}
	return ""
}

// peerMessageGrace is how long messages between proxies may still be late after the end of a fault that
// delays them.
const peerMessageGrace = 3 * time.Second

// peerMessagesDelayed tells whether messages between proxies may have been delayed at some time of a span.
func (h *History) peerMessagesDelayed(from, to time.Duration) bool {
	for _, fault := range h.Faults {
		if fault.DelaysPeerMessages && fault.At < to && (fault.End == 0 || fault.End+peerMessageGrace > from) {
			return true
		}
	}
	return false
}
