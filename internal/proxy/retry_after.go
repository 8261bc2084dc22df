package proxy

import (
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// retryDelays maps each retryable error code to the time for which its cause is likely to last, as far as this proxy can
// tell. A request that fails with any other code would fail again on each retry.
var retryDelays = map[errs.Code]func(opts *schema.ProxyOptions) time.Duration{
	// Leases are renewed, and workers and applied configurations are reported, at this interval.
	errs.NoLease:           renewalInterval,
	errs.NoWorker:          renewalInterval,
	errs.WorkerDraining:    renewalInterval,
	errs.WrongInstance:     renewalInterval,
	errs.ProxyWarmingUp:    renewalInterval,
	errs.StalePlan:         renewalInterval,
	errs.VersionNotAllowed: renewalInterval,
	errs.NoQuorum:          renewalInterval,
	// After one reservation attempt the registries may answer again.
	errs.IdempotencyKeyNotReserved: reservationTime,
	// The call that holds the key or the capacity ends by its own deadline.
	errs.IdempotencyKeyUnresolved: typicalCallTime,
	errs.DeadlineExceeded:         typicalCallTime,
	errs.QueueFull:                typicalCallTime,
	errs.DuplicateRequest:         typicalCallTime,
	// Outlier detection ejects a failed endpoint for this time.
	errs.PeerConnectionLost:   ejectionTime,
	errs.PeerConnectFailed:    ejectionTime,
	errs.WorkerConnectionLost: ejectionTime,
	errs.WorkerConnectFailed:  ejectionTime,
	errs.InvalidResponse:      ejectionTime,
	errs.ProxyDraining:        drainTime,
}

// typicalCallDivisor divides the longest deadline, the option "horizon_most": nearly all calls end within the quotient.
const typicalCallDivisor = 8

// renewalInterval returns the time between two renewals of the lease.
func renewalInterval(opts *schema.ProxyOptions) time.Duration {
	return time.Duration(opts.Lease) / renewalsPerLease
}

// reservationTime returns the timeout of one attempt to reserve an idempotency key.
func reservationTime(opts *schema.ProxyOptions) time.Duration {
	return session.ReservationAttemptTimeout(time.Duration(opts.Lease))
}

// typicalCallTime returns the time within which nearly all calls end.
func typicalCallTime(opts *schema.ProxyOptions) time.Duration {
	return time.Duration(opts.HorizonMost) / typicalCallDivisor
}

// ejectionTime returns the time for which outlier detection ejects an endpoint.
func ejectionTime(opts *schema.ProxyOptions) time.Duration { return time.Duration(opts.Ejection) }

// drainTime returns the maximum duration of a graceful shutdown.
func drainTime(opts *schema.ProxyOptions) time.Duration { return time.Duration(opts.Drain) }

// retryAfter returns the time after which a retry may succeed, 0 if no retry can.
func (s *Server) retryAfter(err error) time.Duration {
	if delay := retryDelays[errs.CodeOf(err)]; delay != nil {
		return delay(s.currentOptions())
	}
	return 0
}
