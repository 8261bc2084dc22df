package dispatch

import (
	"context"
	"crypto/sha256"
	"hash/crc32"
	"time"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// carryKeyed carries a call out that must not run twice under its idempotency key. What is to
// outlast the call goes on under life.
func (c *Carrier) carryKeyed(ctx, life context.Context, call *Call, ended *Ended, began time.Duration) *schema.Carried {
	key := keyOf(call.Request.Caller, ended.Plan.Service, ended.Plan.Route.Name, call.Request.Idempotency)
	return c.memory.Do(ctx, key, printOf(call.Target, call.Body), func(pinned string) (*schema.Carried, string) {
		carried, instance := c.carryOut(ctx, call, ended, began, pinned)
		// Only proof that nothing ran frees the key; the answer need not wait long for that.
		if pinned == "" && ended.claimed != nil && carried.Ending == schema.Ending_ENDING_NOT_RUN {
			c.letGo(life, ended.claimed)
		}
		return carried, instance
	})
}

// claim asks for the call's key, to be run at a candidate. If the key is another request's, it
// gives what that one came to, as far as it can be known.
func (c *Carrier) claim(ctx context.Context, call *Call, ended *Ended, candidate plan.Candidate, began time.Duration) (*schema.Carried, bool) {
	made := ended.Plan
	key := sha256.Sum256([]byte(keyOf(call.Request.Caller, made.Service, made.Route.Name, call.Request.Idempotency)))
	moved := ended.claimed != nil
	ended.claimed = &schema.Claim{Key: key[:], Body: printOf(call.Target, call.Body), Request: ended.ID, Caller: call.Request.Caller, Proxy: c.Name,
		Incarnation: c.Incarnation, Instance: candidate.Instance, Beside: candidate.Proxy, Address: candidate.Address}
	verdict, holder := c.Claim(ctx, ended.claimed)
	refusals := map[session.ClaimVerdict]defect.Kind{session.ClaimReused: defect.KeyReused, session.ClaimFull: defect.BufferFull, session.ClaimLost: defect.KeyUnclaimed}
	switch {
	case verdict == session.ClaimWon:
		return nil, true
	case verdict != session.ClaimHeld:
		return notRun(refusals[verdict], 0), false
	// This request had the key and has lost it: another may have run under it meanwhile.
	case moved:
		return unknown(defect.KeyUnsettled), false
	}
	c.letGo(ctx, ended.claimed)
	ended.claimed = nil
	return c.recall(ctx, call, ended, holder, began), false
}

// letGo drops a claim. Registries that are not reached keep it until it runs out.
func (c *Carrier) letGo(ctx context.Context, claim *schema.Claim) {
	dropped := &schema.Claim{Key: claim.Key, Body: claim.Body, Request: claim.Request, Caller: claim.Caller, Proxy: claim.Proxy, Incarnation: claim.Incarnation, Drop: true}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Claim(context.WithoutCancel(ctx), dropped)
	}()
	select {
	case <-done:
	case <-time.After(c.ClaimPause):
	}
}

// recall asks the proxy that a key went to what came of it.
func (c *Carrier) recall(ctx context.Context, call *Call, ended *Ended, holder *schema.Claim, began time.Duration) *schema.Carried {
	left := ended.Plan.Horizon - (c.Now() - began)
	carry := &schema.Carry{Request: ended.ID + "-0", Caller: call.Request.Caller, Service: ended.Plan.Service, Route: ended.Plan.Route.Name, Method: call.Request.Method,
		Target: call.Target, Body: call.Body, Checksum: crc32.ChecksumIEEE(call.Body), LeftNanos: int64(left), Idempotency: call.Request.Idempotency, Recall: true}
	carried, err := c.SendOn(ctx, plan.Candidate{Instance: holder.Instance, Proxy: holder.Beside, Address: holder.Address}, carry)
	if err != nil || !intact(carry, carried) || carried.Ending == schema.Ending_ENDING_NOT_RUN {
		return unknown(defect.KeyUnsettled)
	}
	return carried
}
