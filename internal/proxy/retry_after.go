package proxy

import (
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// retryDelays tells, of each failure after which asking again makes sense, how long it takes until
// what caused it may have passed, as far as this proxy knows. What is not in the table stays
// refused however often it is asked for.
var retryDelays = map[errs.Code]func(given *schema.ProxyOptions) time.Duration{
	// The lease is asked for, and workers and setups are told, that often.
	errs.NoLease:           renewalInterval,
	errs.NoWorker:          renewalInterval,
	errs.WorkerDraining:    renewalInterval,
	errs.WrongInstance:     renewalInterval,
	errs.ProxyWarmingUp:    renewalInterval,
	errs.StalePlan:         renewalInterval,
	errs.VersionNotAllowed: renewalInterval,
	errs.NoQuorum:          renewalInterval,
	// A claim's round, after which the registries may answer again.
	errs.IdempotencyKeyNotReserved: func(given *schema.ProxyOptions) time.Duration {
		return session.ReservationRoundTimeout(time.Duration(given.Lease))
	},
	// Whoever has the key or the room has ended by its own deadline.
	errs.IdempotencyKeyUnresolved: typicalCallTime,
	errs.DeadlineExceeded:         typicalCallTime,
	errs.QueueFull:                typicalCallTime,
	errs.DuplicateRequest:         typicalCallTime,
	// A worker or proxy that failed is tried last for so long.
	errs.PeerConnectionLost:   ejectionTime,
	errs.PeerConnectFailed:    ejectionTime,
	errs.WorkerConnectionLost: ejectionTime,
	errs.WorkerConnectFailed:  ejectionTime,
	errs.InvalidResponse:      ejectionTime,
	errs.ProxyDraining:        func(given *schema.ProxyOptions) time.Duration { return time.Duration(given.Drain) },
}

func renewalInterval(opts *schema.ProxyOptions) time.Duration {
	return time.Duration(opts.Lease) / renewalsPerLease
}
func ejectionTime(opts *schema.ProxyOptions) time.Duration { return time.Duration(opts.Ejection) }

// typicalCallDivisor is the part of the longest deadline that calls commonly take at the most.
const typicalCallDivisor = 8

func typicalCallTime(opts *schema.ProxyOptions) time.Duration {
	return time.Duration(opts.HorizonMost) / typicalCallDivisor
}

// retryAfter is when asking again makes sense after a failure, 0 if it does not.
func (s *Server) retryAfter(err error) time.Duration {
	if delay := retryDelays[errs.CodeOf(err)]; delay != nil {
		return delay(s.currentOptions())
	}
	return 0
}

// writeError gives a caller its final answer, with word when to come back if that makes sense.
func (s *Server) writeError(header *RequestHeader, err error, outcome string, response *Response) {
	s.extensions.callerCodec.WriteError(header, err, outcome, s.retryAfter(err), response)
}
