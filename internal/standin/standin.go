// Package standin is what the simulator's and the rehearsal's stand-ins have in common: what a
// worker answers, and the bounds of the never-rules that both judge by.
package standin

import (
	"hash/crc32"
	"time"
)

// The bounds of the users' never-rules.
const (
	LeftBound    = 2 * time.Second        // after a worker said that it leaves
	RulesBound   = 2 * time.Second        // after a change was acknowledged
	FallBound    = 250 * time.Millisecond // after a newer setup was shown
	BudgetWindow = 10 * time.Second       // in which extra tries are bounded
	BudgetRatio  = 0.2                    // of a service's calls
	BudgetFloor  = 60                     // and so many besides
	BadRatio     = 0.1                    // of its service's calls that a bad version may get
	BadFloor     = 50                     // and so many besides
	BadFailures  = 50                     // after this failure
	BadBound     = 5 * time.Second        // and so long, it gets none
)

// Reply is what a worker answers; Sum covers Op, Worker and Filler.
type Reply struct {
	Op     string `json:"op"`
	Worker string `json:"worker"`
	Filler string `json:"filler"`
	Sum    uint32 `json:"sum"`
}

// NewReply answers an op, sealed by its sum.
func NewReply(op, worker, filler string) Reply {
	made := Reply{Op: op, Worker: worker, Filler: filler}
	made.Sum = made.sum()
	return made
}

func (r Reply) sum() uint32 {
	return crc32.ChecksumIEEE([]byte(r.Op + "|" + r.Worker + "|" + r.Filler))
}

// Whole tells whether nothing of the reply was cut or altered.
func (r Reply) Whole() bool { return r.Sum == r.sum() }
