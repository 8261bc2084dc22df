package session

import (
	"bytes"
	"context"
	"time"

	"meadowhinge/schema"
)

// reservationRoundDivisor is the part of a lease in which a round of claiming must be through.
const reservationRoundDivisor = 8

// ReservationRoundTimeout is how long answers to one round of claiming count. A registry that restarts
// reads the others only after it, so that no round straddles its two lives.
func ReservationRoundTimeout(lease time.Duration) time.Duration {
	return lease / reservationRoundDivisor
}

// ReservationOutcome is what came of a claim.
type ReservationOutcome int

// The verdicts.
const (
	ReservationPending    ReservationOutcome = iota // not known yet
	ReservationGranted                              // the key is this request's, at a majority
	ReservationConflict                             // another request has it, or may have it
	ReservationKeyReused                            // it was claimed with another body
	ReservationNoCapacity                           // no majority has room
	ReservationNoMajority                           // no majority answered
)

// ReservationRound gathers the answers to one claim. It is won by a majority that answered in time;
// it is over as soon as that can no longer be.
type ReservationRound struct {
	reservation *schema.KeyReservation
	startedAt   time.Duration
	timeout     time.Duration
	memberCount int
	answers     map[string]schema.ReservationResult
	grants      int
	rejections  int
	Conflicting *schema.KeyReservation // a claim of another request, if one was met
}

// NewReservationRound begins a round.
func NewReservationRound(reservation *schema.KeyReservation, memberCount int, startedAt, timeout time.Duration) *ReservationRound {
	return &ReservationRound{reservation: reservation, startedAt: startedAt, timeout: timeout, memberCount: memberCount, answers: map[string]schema.ReservationResult{}}
}

// Record notes one seat's answer; nil says that it gave none.
func (r *ReservationRound) Record(now time.Duration, memberID string, response *schema.ReservationReply) {
	if _, answered := r.answers[memberID]; answered {
		return
	}
	ruling := response.GetResult()
	// A grant that comes late may be of a life that ended since.
	if ruling == schema.ReservationResult_RESERVATION_GRANTED && now-r.startedAt > r.timeout {
		ruling = schema.ReservationResult_RESERVATION_NOT_AUTHORITATIVE
	}
	r.answers[memberID] = ruling
	switch ruling {
	case schema.ReservationResult_RESERVATION_GRANTED:
		r.grants++
	case schema.ReservationResult_RESERVATION_FULL:
		r.rejections++
	case schema.ReservationResult_RESERVATION_HELD:
		r.Conflicting = response.Holder
	}
}

// ReservationAnswer is one registry's word; Seat is empty if it gave none.
type ReservationAnswer struct {
	MemberID string
	Response *schema.ReservationReply
}

// AwaitOutcome takes as many answers as were asked for, until the round is over.
func (r *ReservationRound) AwaitOutcome(ctx context.Context, outstanding int, answers <-chan ReservationAnswer, now func() time.Duration) (ReservationOutcome, *schema.KeyReservation) {
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

// Outcome tells how the round stands; ended says that no more answers will come.
func (r *ReservationRound) Outcome(complete bool) ReservationOutcome {
	majority := r.memberCount/2 + 1
	if r.memberCount > 0 && r.grants >= majority {
		return ReservationGranted
	}
	unanswered := r.memberCount - len(r.answers)
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
