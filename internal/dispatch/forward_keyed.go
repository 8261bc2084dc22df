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

// keyOf returns a call's idempotency key, qualified by its caller, service and route.
func keyOf(call *Call, callPlan *plan.Plan) string {
	return idempotencyKey(call.Request.Caller, callPlan.Service, callPlan.Route.Name, call.Request.IdempotencyKey)
}

// forwardKeyed executes the plan of a call that must not run twice under its idempotency key. ctx ends at the call's
// deadline. outlivingCtx does not end then, so it is used for work that may go on after the call.
func (f *Forwarder) forwardKeyed(
	ctx, outlivingCtx context.Context, call *Call, result *CallResult, startedAt time.Duration,
) *schema.ForwardResponse {
	fingerprint := requestFingerprint(call.Target, call.Body)
	return f.idempotency.Do(ctx, keyOf(call, result.Plan), fingerprint, func(pinnedInstance string) (*schema.ForwardResponse, string) {
		response, instance := f.attemptCandidates(ctx, call, result, startedAt, pinnedInstance)
		// The key is released only if it is proved that nothing ran. The response waits for the release, but for
		// KeyReleaseTimeout at most.
		if pinnedInstance == "" && result.reservation != nil && response.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED {
			f.releaseKey(outlivingCtx, result.reservation)
		}
		return response, instance
	})
}

// reservationRefusals are the codes for calls whose key the registries do not reserve, by their decision. A conflict
// has no code, because its call gets the result of the other request.
var reservationRefusals = map[session.ReservationOutcome]errs.Code{
	session.ReservationKeyReused:  errs.IdempotencyKeyReused,
	session.ReservationNoCapacity: errs.QueueFull,
	session.ReservationNoMajority: errs.IdempotencyKeyNotReserved,
}

// reserveKey reserves the call's key for a run at a candidate, and reports whether it did. If not, it returns the
// response of the call. If another request holds the key, that is the other request's result as far as it can be known.
func (a *attemptSequence) reserveKey(ctx context.Context, candidate *plan.Endpoint) (*schema.ForwardResponse, bool) {
	f, result := a.forwarder, a.result
	reservedBefore := result.reservation != nil
	result.reservation = f.newReservation(a.call, result, candidate)
	decision, existing := f.ReserveKey(ctx, result.reservation)
	switch {
	case decision == session.ReservationGranted:
		return nil, true
	case decision != session.ReservationConflict:
		return notExecuted(reservationRefusals[decision], 0), false
	// This request had reserved the key and has lost it, so another request may have run under the key meanwhile.
	case reservedBefore:
		return outcomeUnknown(errs.IdempotencyKeyUnresolved), false
	}
	f.releaseKey(ctx, result.reservation)
	result.reservation = nil
	return a.recallResult(ctx, existing), false
}

// newReservation returns a reservation of the call's key for a run at an endpoint.
func (f *Forwarder) newReservation(call *Call, result *CallResult, endpoint *plan.Endpoint) *schema.KeyReservation {
	key := sha256.Sum256([]byte(keyOf(call, result.Plan)))
	return &schema.KeyReservation{
		Key:         key[:],
		BodyDigest:  requestFingerprint(call.Target, call.Body),
		Request:     result.ID,
		Caller:      call.Request.Caller,
		Proxy:       f.Name,
		Incarnation: f.Incarnation,
		Instance:    endpoint.Instance,
		WorkerProxy: endpoint.Proxy,
		Address:     endpoint.Address,
	}
}

// releaseKey releases a reservation. It waits for the release for at most KeyReleaseTimeout, and the release goes on
// after that. Registries that are not reached keep the reservation until it expires, so a failure needs no handling.
func (f *Forwarder) releaseKey(ctx context.Context, reservation *schema.KeyReservation) {
	release := &schema.KeyReservation{
		Key:         reservation.Key,
		BodyDigest:  reservation.BodyDigest,
		Request:     reservation.Request,
		Caller:      reservation.Caller,
		Proxy:       reservation.Proxy,
		Incarnation: reservation.Incarnation,
		Release:     true,
	}
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

// recallResult requests the result of the request that holds the key from the proxy of its worker. If that proxy does
// not know the result, the outcome is unknown.
func (a *attemptSequence) recallResult(ctx context.Context, existing *schema.KeyReservation) *schema.ForwardResponse {
	request := newRecallRequest(a.call, a.result, a.remaining())
	endpoint := plan.Endpoint{Instance: existing.Instance, Proxy: existing.WorkerProxy, Address: existing.Address}
	response, err := a.forwarder.Send(ctx, endpoint, request)
	if err != nil || !isIntact(request, response) || !isValid(response) || response.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED {
		return outcomeUnknown(errs.IdempotencyKeyUnresolved)
	}
	return response
}

// newRecallRequest returns a request for the result under the call's key. It names neither worker nor version, because
// it runs nothing. remaining is the time left until the plan's deadline.
func newRecallRequest(call *Call, result *CallResult, remaining time.Duration) *schema.ForwardRequest {
	return &schema.ForwardRequest{
		Request:        result.ID + "-0",
		Caller:         call.Request.Caller,
		Service:        result.Plan.Service,
		Route:          result.Plan.Route.Name,
		Method:         call.Request.Method,
		Target:         call.Target,
		Body:           call.Body,
		Checksum:       crc32.ChecksumIEEE(call.Body),
		TimeLeftNanos:  int64(remaining),
		IdempotencyKey: call.Request.IdempotencyKey,
		RecallOnly:     true,
	}
}
