package session

import (
	"bytes"
	"context"
	"time"

	"meadowhinge/schema"
)

// reservationAttemptDivisor gives the timeout of a reservation attempt: the length of the lease divided by this
// constant.
const reservationAttemptDivisor = 8

// ReservationAttemptTimeout returns how long after its start a reservation attempt accepts grants. A registry
// that restarts waits this long before it reads the reservations of the other registries, so no attempt counts
// grants from two incarnations of one registry.
func ReservationAttemptTimeout(lease time.Duration) time.Duration {
	return lease / reservationAttemptDivisor
}

// ReservationOutcome is the result of a reservation attempt.
type ReservationOutcome int

// The outcomes of an attempt.
const (
	ReservationPending    ReservationOutcome = iota // outstanding replies can still decide the attempt
	ReservationGranted                              // a majority reserved the key for this request
	ReservationConflict                             // another request holds the key, or may hold it
	ReservationKeyReused                            // the key is reserved with a different request body
	ReservationNoCapacity                           // no majority, and a registry has no capacity for more keys
	ReservationNoMajority                           // no majority, and no registry reported a more specific cause
)

// ReservationAttempt counts the core members' replies to one reservation of an idempotency key. The attempt
// succeeds with a majority of grants within the timeout, and ends as soon as a majority is no longer possible.
//
// A ReservationAttempt is not safe for concurrent use. It belongs to the goroutine of the call that started it.
type ReservationAttempt struct {
	reservation *schema.KeyReservation // reservation requested by this attempt
	startedAt   time.Duration          // start of the attempt
	timeout     time.Duration          // time after startedAt in which grants are accepted
	// memberCount is the number of core members. It is 0 if unknown, and then the attempt cannot succeed.
	memberCount int
	// results holds the first result of each member, by member id. A late grant is recorded as not authoritative.
	results          map[string]schema.ReservationResult
	grants           int // number of grants within the timeout
	capacityRefusals int // number of members without capacity for another key

	// Conflicting is the reservation of another request that a member reported, nil if none did.
	Conflicting *schema.KeyReservation
}

// NewReservationAttempt starts an attempt among memberCount core members. startedAt is on the clock that is read
// for the now arguments of Record and AwaitOutcome.
func NewReservationAttempt(reservation *schema.KeyReservation, memberCount int, startedAt, timeout time.Duration) *ReservationAttempt {
	return &ReservationAttempt{
		reservation: reservation,
		startedAt:   startedAt,
		timeout:     timeout,
		memberCount: memberCount,
		results:     map[string]schema.ReservationResult{},
	}
}

// Record counts a member's reply, which is nil if the member could not be reached. Only the first reply of each
// member counts.
func (r *ReservationAttempt) Record(now time.Duration, memberID string, response *schema.ReservationReply) {
	if _, answered := r.results[memberID]; answered {
		return
	}
	result := response.GetResult()
	// A late grant may come from an incarnation of the registry that has ended in the meantime.
	if result == schema.ReservationResult_RESERVATION_GRANTED && now-r.startedAt > r.timeout {
		result = schema.ReservationResult_RESERVATION_NOT_AUTHORITATIVE
	}
	r.results[memberID] = result
	switch result {
	case schema.ReservationResult_RESERVATION_GRANTED:
		r.grants++
	case schema.ReservationResult_RESERVATION_FULL:
		r.capacityRefusals++
	case schema.ReservationResult_RESERVATION_HELD:
		r.Conflicting = response.Holder
	}
}

// ReservationResponse is the result of one request to a core member.
type ReservationResponse struct {
	MemberID string                   // id of the member, empty if the request failed
	Response *schema.ReservationReply // reply of the member
}

// AwaitOutcome records responses until the attempt is decided, all outstanding responses were received, or ctx ends.
// It returns the outcome, and the conflicting reservation if a member reported one. The function now reads the
// clock that startedAt comes from.
func (r *ReservationAttempt) AwaitOutcome(ctx context.Context, outstanding int, responses <-chan ReservationResponse,
	now func() time.Duration) (ReservationOutcome, *schema.KeyReservation) {
	for ; ; outstanding-- {
		if outcome := r.Outcome(outstanding == 0); outcome != ReservationPending {
			return outcome, r.Conflicting
		}
		select {
		case result := <-responses:
			if result.MemberID != "" {
				r.Record(now(), result.MemberID, result.Response)
			}
		case <-ctx.Done():
			return r.Outcome(true), r.Conflicting
		}
	}
}

// Outcome returns the current outcome of the attempt. complete says that no further reply will arrive. The outcome
// is then never ReservationPending.
func (r *ReservationAttempt) Outcome(complete bool) ReservationOutcome {
	majority := quorumSize(r.memberCount)
	if r.memberCount > 0 && r.grants >= majority {
		return ReservationGranted
	}
	unanswered := r.memberCount - len(r.results)
	if !complete && (r.memberCount == 0 || r.grants+unanswered >= majority) {
		return ReservationPending
	}
	switch {
	case r.Conflicting != nil && !bytes.Equal(r.Conflicting.BodyDigest, r.reservation.BodyDigest):
		return ReservationKeyReused
	case r.Conflicting != nil:
		return ReservationConflict
	case r.capacityRefusals > 0:
		return ReservationNoCapacity
	}
	return ReservationNoMajority
}
