package proxy

import (
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// retryDelays gives, for each error after which a retry makes sense, how long its cause is likely to last as far as
// this proxy knows. A request that fails by an error outside this table fails however often it is sent.
var retryDelays = map[errs.Code]func(opts *schema.ProxyOptions) time.Duration{
	// The lease is renewed, and workers and configurations are reported, at this interval.
	errs.NoLease:           renewalInterval,
	errs.NoWorker:          renewalInterval,
	errs.WorkerDraining:    renewalInterval,
	errs.WrongInstance:     renewalInterval,
	errs.ProxyWarmingUp:    renewalInterval,
	errs.StalePlan:         renewalInterval,
	errs.VersionNotAllowed: renewalInterval,
	errs.NoQuorum:          renewalInterval,
	// A reservation round, after which the registries may answer again.
	errs.IdempotencyKeyNotReserved: reservationTime,
	// The call that holds the key or the room ends by its own deadline.
	errs.IdempotencyKeyUnresolved: typicalCallTime,
	errs.DeadlineExceeded:         typicalCallTime,
	errs.QueueFull:                typicalCallTime,
	errs.DuplicateRequest:         typicalCallTime,
	// Outlier detection ejects a worker or proxy that failed for this time.
	errs.PeerConnectionLost:   ejectionTime,
	errs.PeerConnectFailed:    ejectionTime,
	errs.WorkerConnectionLost: ejectionTime,
	errs.WorkerConnectFailed:  ejectionTime,
	errs.InvalidResponse:      ejectionTime,
	errs.ProxyDraining:        drainTime,
}

// typicalCallDivisor is the part of the longest deadline within which nearly all calls end.
const typicalCallDivisor = 8

// renewalInterval is the time between two renewals of the lease.
func renewalInterval(opts *schema.ProxyOptions) time.Duration {
	return time.Duration(opts.Lease) / renewalsPerLease
}

// reservationTime is the timeout of a round in which an idempotency key is reserved.
func reservationTime(opts *schema.ProxyOptions) time.Duration {
	return session.ReservationAttemptTimeout(time.Duration(opts.Lease))
}

// typicalCallTime is the time within which nearly all calls end.
func typicalCallTime(opts *schema.ProxyOptions) time.Duration {
	return time.Duration(opts.HorizonMost) / typicalCallDivisor
}

// ejectionTime is how long outlier detection ejects an endpoint.
func ejectionTime(opts *schema.ProxyOptions) time.Duration { return time.Duration(opts.Ejection) }

// drainTime is how long a graceful shutdown takes.
func drainTime(opts *schema.ProxyOptions) time.Duration { return time.Duration(opts.Drain) }

// retryAfter is the time after which a retry makes sense, 0 if it makes none.
func (s *Server) retryAfter(err error) time.Duration {
	if delay := retryDelays[errs.CodeOf(err)]; delay != nil {
		return delay(s.currentOptions())
	}
	return 0
}
