package testbed

import (
	"time"
)

// rejected reports whether a call got an error of the mesh or lost its response. A call whose proxy refused the
// connection, or whose caller disconnected, does not count as rejected.
func (e *CallEntry) rejected() bool {
	return e.Outcome != "answered" && e.Outcome != "unsent" && e.Outcome != outcomeDisconnected
}

// rejectionGraceLeases is the time after its end during which a fault may still cause rejections, in leases.
const rejectionGraceLeases = 2

// faultBehindRejection returns the name of a fault that may have caused the rejection of a call; empty if there is
// none. A fault without an end lasts until the next fault begins or, if it is the last, until the end of the run.
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
		// The core keeps its majority without one machine, but may lose it without two.
		if fault.MayReject || coreFaults > 1 {
			return fault.Name
		}
	}
	return ""
}

// peerMessageGrace is the time after the end of a fault during which messages between proxies that it delayed may still
// be late.
const peerMessageGrace = 3 * time.Second

// peerMessagesDelayed reports whether messages between proxies may have been delayed at some time between from and to.
func (h *History) peerMessagesDelayed(from, to time.Duration) bool {
	for _, fault := range h.Faults {
		if fault.DelaysPeerMessages && fault.At < to && (fault.End == 0 || fault.End+peerMessageGrace > from) {
			return true
		}
	}
	return false
}
