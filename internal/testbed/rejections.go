package testbed

import (
	"time"
)

// rejected tells whether a call was turned away with the mesh's own error, or lost with its proxy.
func (e *CallEntry) rejected() bool {
	return e.Outcome != "answered" && e.Outcome != "unsent" && e.Outcome != outcomeDisconnected
}

// rejectionGraceLeases is how many leases after a fault's end somebody may still be turned away by it.
const rejectionGraceLeases = 2

// faultBehindRejection names the fault that may have turned a call away; empty if none may.
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
		// One core machine gone costs nothing; with another besides, a majority may be.
		if fault.MayReject || coreFaults > 1 {
			return fault.Name
		}
	}
	return ""
}

// peerMessageGrace is how long after the end of a fault that holds up what proxies tell each other its traces last.
const peerMessageGrace = 3 * time.Second

// peerMessagesDelayed tells whether word from one proxy to another may have been held up at some time of a span.
func (h *History) peerMessagesDelayed(from, to time.Duration) bool {
	for _, fault := range h.Faults {
		if fault.DelaysPeerMessages && fault.At < to && (fault.End == 0 || fault.End+peerMessageGrace > from) {
			return true
		}
	}
	return false
}
