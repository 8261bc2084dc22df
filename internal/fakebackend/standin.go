// Package standin is what the simulator's and the rehearsal's stand-ins have in common: what a
// worker answers, and the bounds of the never-rules that both judge by.
package fakebackend

import (
	"hash/crc32"
	"time"
)

// The bounds of the users' never-rules.
const (
	DrainingBound          = 2 * time.Second        // after a worker said that it leaves
	ConfigPropagationBound = 2 * time.Second        // after a change was acknowledged
	ConfigRegressionBound  = 250 * time.Millisecond // after a newer setup was shown
	RetryBudgetWindow      = 10 * time.Second       // in which extra tries are bounded
	RetryBudgetRatio       = 0.2                    // of a service's calls
	RetryBudgetFloor       = 60                     // and so many besides
	FaultyVersionRatio     = 0.1                    // of its service's calls that a bad version may get
	FaultyVersionFloor     = 50                     // and so many besides
	FaultyVersionFailures  = 50                     // after this failure
	FaultyVersionBound     = 5 * time.Second        // and so long, it gets none
)

// Reply is what a worker answers; Sum covers Op, Worker and Filler.
type Reply struct {
	Operation string `json:"op"`
	Worker    string `json:"worker"`
	Filler    string `json:"filler"`
	Checksum  uint32 `json:"sum"`
}

// NewReply answers an op, sealed by its sum.
func NewReply(operation, worker, filler string) Reply {
	reply := Reply{Operation: operation, Worker: worker, Filler: filler}
	reply.Checksum = reply.checksum()
	return reply
}

func (r Reply) checksum() uint32 {
	return crc32.ChecksumIEEE([]byte(r.Operation + "|" + r.Worker + "|" + r.Filler))
}

// IsIntact tells whether nothing of the reply was cut or altered.
func (r Reply) IsIntact() bool { return r.Checksum == r.checksum() }
