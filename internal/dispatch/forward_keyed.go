package dispatch

import (
	"context"
	"crypto/sha256"
	"hash/crc32"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// forwardKeyed carries a call out that must not run twice under its idempotency key. What is to
// outlast the call goes on under life.
func (f *Forwarder) forwardKeyed(ctx, outlivingCtx context.Context, call *Call, result *CallResult, startedAt time.Duration) *schema.ForwardResponse {
	key := idempotencyKey(call.Request.Caller, result.Plan.Service, result.Plan.Route.Name, call.Request.IdempotencyKey)
	return f.idempotency.Do(ctx, key, requestFingerprint(call.Target, call.Body), func(pinnedInstance string) (*schema.ForwardResponse, string) {
		response, instance := f.attemptCandidates(ctx, call, result, startedAt, pinnedInstance)
		// Only proof that nothing ran frees the key; the answer need not wait long for that.
		if pinnedInstance == "" && result.reservation != nil && response.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED {
			f.releaseKey(outlivingCtx, result.reservation)
		}
		return response, instance
	})
}

// reserveKey asks for the call's key, to be run at a candidate. If the key is another request's, it
// gives what that one came to, as far as it can be known.
func (f *Forwarder) reserveKey(ctx context.Context, call *Call, result *CallResult, endpoint plan.Endpoint, startedAt time.Duration) (*schema.ForwardResponse, bool) {
	callPlan := result.Plan
	key := sha256.Sum256([]byte(idempotencyKey(call.Request.Caller, callPlan.Service, callPlan.Route.Name, call.Request.IdempotencyKey)))
	reservedBefore := result.reservation != nil
	result.reservation = &schema.KeyReservation{Key: key[:], BodyDigest: requestFingerprint(call.Target, call.Body), Request: result.ID, Caller: call.Request.Caller, Proxy: f.Name,
		Incarnation: f.Incarnation, Instance: endpoint.Instance, WorkerProxy: endpoint.Proxy, Address: endpoint.Address}
	verdict, existing := f.ReserveKey(ctx, result.reservation)
	refusals := map[session.ReservationOutcome]errs.Code{session.ReservationKeyReused: errs.IdempotencyKeyReused, session.ReservationNoCapacity: errs.QueueFull, session.ReservationNoMajority: errs.IdempotencyKeyNotReserved}
	switch {
	case verdict == session.ReservationGranted:
		return nil, true
	case verdict != session.ReservationConflict:
		return notExecuted(refusals[verdict], 0), false
	// This request had the key and has lost it: another may have run under it meanwhile.
	case reservedBefore:
		return outcomeUnknown(errs.IdempotencyKeyUnresolved), false
	}
	f.releaseKey(ctx, result.reservation)
	result.reservation = nil
	return f.recallResult(ctx, call, result, existing, startedAt), false
}

// releaseKey drops a claim. Registries that are not reached keep it until it runs out.
func (f *Forwarder) releaseKey(ctx context.Context, reservation *schema.KeyReservation) {
	release := &schema.KeyReservation{Key: reservation.Key, BodyDigest: reservation.BodyDigest, Request: reservation.Request, Caller: reservation.Caller, Proxy: reservation.Proxy, Incarnation: reservation.Incarnation, Release: true}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.ReserveKey(context.WithoutCancel(ctx), release)
	}()
	select {
	case <-done:
	case <-time.After(f.KeyReleaseTimeout):
	}
}

// recallResult asks the proxy that a key went to what came of it.
func (f *Forwarder) recallResult(ctx context.Context, call *Call, result *CallResult, existing *schema.KeyReservation, startedAt time.Duration) *schema.ForwardResponse {
	remaining := result.Plan.Deadline - (f.Now() - startedAt)
	request := &schema.ForwardRequest{Request: result.ID + "-0", Caller: call.Request.Caller, Service: result.Plan.Service, Route: result.Plan.Route.Name, Method: call.Request.Method,
		Target: call.Target, Body: call.Body, Checksum: crc32.ChecksumIEEE(call.Body), TimeLeftNanos: int64(remaining), IdempotencyKey: call.Request.IdempotencyKey, RecallOnly: true}
	response, err := f.Send(ctx, plan.Endpoint{Instance: existing.Instance, Proxy: existing.WorkerProxy, Address: existing.Address}, request)
	if err != nil || !intact(request, response) || response.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED {
		return outcomeUnknown(errs.IdempotencyKeyUnresolved)
	}
	return response
}
