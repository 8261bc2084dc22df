package session

import (
	"bytes"
	"context"
	"time"

	"meadowhinge/schema"
)

// reservationAttemptDivisor is the fraction of a lease within which a reservation attempt must end.
const reservationAttemptDivisor = 8

// ReservationAttemptTimeout is how long after its start a reservation attempt accepts grants. A registry
// that restarts waits this long before it reads the reservations of the others, so no attempt counts
// grants from two incarnations of one registry.
func ReservationAttemptTimeout(lease time.Duration) time.Duration {
	return lease / reservationAttemptDivisor
}

// ReservationOutcome is the result of a reservation attempt.
type ReservationOutcome int

// The outcomes of an attempt.
const (
	ReservationPending    ReservationOutcome = iota // replies that can still decide are outstanding
	ReservationGranted                              // a majority reserved the key for this request
	ReservationConflict                             // another request holds the key, or may hold it
	ReservationKeyReused                            // the key is reserved with a different request body
	ReservationNoCapacity                           // no majority, and a registry has no room for more keys
	ReservationNoMajority                           // no majority, and no more specific cause was reported
)

// ReservationAttempt counts the core members' replies to one reservation of an idempotency key. A majority
// of grants within the timeout wins; the attempt is over as soon as that is no longer possible.
//
// A ReservationAttempt belongs to the goroutine of the call that started it.
type ReservationAttempt struct {
	reservation *schema.KeyReservation
	startedAt   time.Duration
	timeout     time.Duration
	memberCount int                                 // of the core; 0 while it is unknown, and then no attempt can succeed
	results     map[string]schema.ReservationResult // by member id: the first result, a late grant counted as none
	grants      int
	rejections  int // for want of capacity

	// Conflicting is the reservation of another request that a member reported, nil if none did.
	Conflicting *schema.KeyReservation
}

// NewReservationAttempt starts an attempt among memberCount core members.
func NewReservationAttempt(reservation *schema.KeyReservation, memberCount int, startedAt, timeout time.Duration) *ReservationAttempt {
	return &ReservationAttempt{
		reservation: reservation,
		startedAt:   startedAt,
		timeout:     timeout,
		memberCount: memberCount,
		results:     map[string]schema.ReservationResult{},
	}
}

// Record counts a member's reply; nil stands for a member that could not be reached. Only the first
// reply of each member counts.
func (r *ReservationAttempt) Record(now time.Duration, memberID string, response *schema.ReservationReply) {
	if _, answered := r.results[memberID]; answered {
		return
	}
	result := response.GetResult()
	// A late grant may come from an incarnation of the registry that has ended since.
	if result == schema.ReservationResult_RESERVATION_GRANTED && now-r.startedAt > r.timeout {
		result = schema.ReservationResult_RESERVATION_NOT_AUTHORITATIVE
	}
	r.results[memberID] = result
	switch result {
	case schema.ReservationResult_RESERVATION_GRANTED:
		r.grants++
	case schema.ReservationResult_RESERVATION_FULL:
		r.rejections++
	case schema.ReservationResult_RESERVATION_HELD:
		r.Conflicting = response.Holder
	}
}

// ReservationAnswer is one member's reply. MemberID is empty if the request to a member failed.
type ReservationAnswer struct {
	MemberID string
	Response *schema.ReservationReply
}

// AwaitOutcome records answers until the attempt is over, all outstanding ones came, or ctx ends. It
// returns the outcome and the conflicting reservation, if a member reported one. The function now
// reads the clock that startedAt comes from.
func (r *ReservationAttempt) AwaitOutcome(ctx context.Context, outstanding int, answers <-chan ReservationAnswer,
	now func() time.Duration) (ReservationOutcome, *schema.KeyReservation) {
	for ; ; outstanding-- {
		if outcome := r.Outcome(outstanding == 0); outcome != ReservationPending {
			return outcome, r.Conflicting
		}
		select {
		case answer := <-answers:
			if answer.MemberID != "" {
				r.Record(now(), answer.MemberID, answer.Response)
			}
		case <-ctx.Done():
			return r.Outcome(true), r.Conflicting
		}
	}
}

// Outcome is the state of the attempt. With complete set, no further reply will come, and the outcome is
// never ReservationPending.
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
	case r.rejections > 0:
		return ReservationNoCapacity
	}
	return ReservationNoMajority
}
