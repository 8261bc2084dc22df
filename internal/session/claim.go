package session

import (
	"bytes"
	"context"
	"time"

	"meadowhinge/schema"
)

// claimParts is the part of a lease in which a round of claiming must be through.
const claimParts = 8

// ClaimBound is how long answers to one round of claiming count. A registry that restarts
// reads the others only after it, so that no round straddles its two lives.
func ClaimBound(lease time.Duration) time.Duration { return lease / claimParts }

// ClaimVerdict is what came of a claim.
type ClaimVerdict int

// The verdicts.
const (
	ClaimOpen   ClaimVerdict = iota // not known yet
	ClaimWon                        // the key is this request's, at a majority
	ClaimHeld                       // another request has it, or may have it
	ClaimReused                     // it was claimed with another body
	ClaimFull                       // no majority has room
	ClaimLost                       // no majority answered
)

// Claiming gathers the answers to one claim. It is won by a majority that answered in time;
// it is over as soon as that can no longer be.
type Claiming struct {
	claim    *schema.Claim
	asked    time.Duration
	bound    time.Duration
	seats    int
	answered map[string]schema.Ruled
	taken    int
	full     int
	Holder   *schema.Claim // a claim of another request, if one was met
}

// NewClaiming begins a round.
func NewClaiming(claim *schema.Claim, seats int, asked, bound time.Duration) *Claiming {
	return &Claiming{claim: claim, asked: asked, bound: bound, seats: seats, answered: map[string]schema.Ruled{}}
}

// Take notes one seat's answer; nil says that it gave none.
func (c *Claiming) Take(now time.Duration, seat string, claimed *schema.Claimed) {
	if _, known := c.answered[seat]; known {
		return
	}
	ruled := claimed.GetRuled()
	// A grant that comes late may be of a life that ended since.
	if ruled == schema.Ruled_RULED_TAKEN && now-c.asked > c.bound {
		ruled = schema.Ruled_RULED_UNCOUNTED
	}
	c.answered[seat] = ruled
	switch ruled {
	case schema.Ruled_RULED_TAKEN:
		c.taken++
	case schema.Ruled_RULED_FULL:
		c.full++
	case schema.Ruled_RULED_HELD:
		c.Holder = claimed.Held
	}
}

// ClaimAnswer is one registry's word; Seat is empty if it gave none.
type ClaimAnswer struct {
	Seat    string
	Claimed *schema.Claimed
}

// Gather takes as many answers as were asked for, until the round is over.
func (c *Claiming) Gather(ctx context.Context, asked int, answers <-chan ClaimAnswer, now func() time.Duration) (ClaimVerdict, *schema.Claim) {
	for ; ; asked-- {
		if verdict := c.Verdict(asked == 0); verdict != ClaimOpen {
			return verdict, c.Holder
		}
		select {
		case answer := <-answers:
			if answer.Seat != "" {
				c.Take(now(), answer.Seat, answer.Claimed)
			}
		case <-ctx.Done():
			return c.Verdict(true), c.Holder
		}
	}
}

// Verdict tells how the round stands; ended says that no more answers will come.
func (c *Claiming) Verdict(ended bool) ClaimVerdict {
	majority := c.seats/2 + 1
	if c.seats > 0 && c.taken >= majority {
		return ClaimWon
	}
	left := c.seats - len(c.answered)
	if !ended && (c.seats == 0 || c.taken+left >= majority) {
		return ClaimOpen
	}
	switch {
	case c.Holder != nil && !bytes.Equal(c.Holder.Body, c.claim.Body):
		return ClaimReused
	case c.Holder != nil:
		return ClaimHeld
	case c.full > 0:
		return ClaimFull
	}
	return ClaimLost
}
