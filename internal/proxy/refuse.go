package proxy

import (
	"time"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// comeBack tells, of each failure after which asking again makes sense, how long it takes until
// what caused it may have passed, as far as this proxy knows. What is not in the table stays
// refused however often it is asked for.
var comeBack = map[defect.Kind]func(given *schema.ProxyOptions) time.Duration{
	// The lease is asked for, and workers and setups are told, that often.
	defect.NoLease:       renewal,
	defect.NoWorker:      renewal,
	defect.Leaving:       renewal,
	defect.WrongInstance: renewal,
	defect.ProxyYoung:    renewal,
	defect.StalePlan:     renewal,
	defect.VersionBarred: renewal,
	defect.NoMajority:    renewal,
	// A claim's round, after which the registries may answer again.
	defect.KeyUnclaimed: func(given *schema.ProxyOptions) time.Duration {
		return session.ClaimBound(time.Duration(given.Lease))
	},
	// Whoever has the key or the room has ended by its own deadline.
	defect.KeyUnsettled: horizon,
	defect.HorizonPast:  horizon,
	defect.BufferFull:   horizon,
	defect.Repeated:     horizon,
	// A worker or proxy that failed is tried last for so long.
	defect.LinkLost:       ejection,
	defect.LinkUnopened:   ejection,
	defect.WorkerLost:     ejection,
	defect.WorkerUnopened: ejection,
	defect.BadAnswer:      ejection,
	defect.Draining:       func(given *schema.ProxyOptions) time.Duration { return time.Duration(given.Drain) },
}

func renewal(given *schema.ProxyOptions) time.Duration {
	return time.Duration(given.Lease) / renewParts
}
func ejection(given *schema.ProxyOptions) time.Duration { return time.Duration(given.Ejection) }

// horizonParts is the part of the longest deadline that calls commonly take at the most.
const horizonParts = 8

func horizon(given *schema.ProxyOptions) time.Duration {
	return time.Duration(given.HorizonMost) / horizonParts
}

// waitAfter is when asking again makes sense after a failure, 0 if it does not.
func (s *Server) waitAfter(err error) time.Duration {
	if wait := comeBack[defect.KindOf(err)]; wait != nil {
		return wait(s.given())
	}
	return 0
}

// refuse gives a caller its final answer, with word when to come back if that makes sense.
func (s *Server) refuse(head *Head, err error, outcome string, reply *Reply) {
	s.speeches.callers.Refuse(head, err, outcome, s.waitAfter(err), reply)
}
