package dispatch

import (
	"context"
	"errors"
	"hash/crc32"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// workerMarginDivisor is the part of the time left that a worker is not given: its word that time ran
// out for it then still comes, and the connection stays.
const workerMarginDivisor = 64

// handover is how a request was handed to a worker.
type handover struct {
	result RunResult
	sentAt time.Duration // when its first byte was sent, 0 for not at all
}

// sendToWorker gives a request to the worker; from the first byte on, it may have run.
func (r *Runner) sendToWorker(ctx context.Context, worker *localWorker, request *schema.ForwardRequest, remaining func() time.Duration, delivery *handover) *schema.ForwardResponse {
	httpRequest, httpResponse := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpRequest)
	defer fasthttp.ReleaseResponse(httpResponse)
	httpRequest.Header.DisableNormalizing()
	httpRequest.Header.SetMethod(request.Method)
	httpRequest.SetRequestURI(request.Target)
	for name, value := range Fields(request.HeaderBlock) {
		httpRequest.Header.AddBytesKV(name, value)
	}
	httpRequest.SetBodyRaw(request.Body)
	hasLease, timeLeft := r.HasLease(), remaining()
	// The registration is looked up last of all, so that a worker that left meanwhile gets nothing.
	current, token, refusal := r.Workers.find(request)
	switch {
	case refusal != "":
		return notExecuted(refusal, 0)
	case current != worker:
		return notExecuted(errs.WrongInstance, 0)
	case timeLeft <= 0 || ctx.Err() != nil:
		return notExecuted(contextErrorCode(ctx), 0)
	case !hasLease:
		return notExecuted(errs.NoLease, 0)
	}
	r.Codec.WriteHeaders(httpRequest, request, WorkerRegistration{Instance: worker.instance, Address: worker.address, Token: token, Service: request.Service, Version: request.Version}, timeLeft-timeLeft/workerMarginDivisor)
	httpResponse.Header.DisableNormalizing()
	httpResponse.Header.SetNoDefaultContentType(true)
	x := exchange{request: httpRequest, response: httpResponse, deadline: time.Now().Add(timeLeft), maxBodyBytes: r.Workers.options.MaxBodyBytes, bodyMemory: r.Workers.bodyMemory,
		hasNoBody:  func(status int) bool { return hasNoBody(request.Method, status) },
		readHeader: func(header *fasthttp.ResponseHeader) ResponseInfo { return r.Codec.ReadHeader(header, request) }}
	defer x.releaseMemory()
	x.ctx = ctx
	// What may not be repeated runs to its end, whoever waits for it.
	if request.NonIdempotent {
		x.ctx = context.WithoutCancel(ctx)
	}
	err := worker.conns.roundTrip(ctx, &x)
	delivery.sentAt = x.sentAt
	switch code := errs.CodeOf(err); {
	case err != nil && x.sentAt == 0 && ctx.Err() != nil:
		return notExecuted(contextErrorCode(ctx), 0)
	// A call that is given up as its time ends has run out of time, and that says something of its worker.
	case code == errs.CallerDisconnected && remaining() <= timeLeft/truncatedRunDivisor:
		return outcomeUnknown(errs.DeadlineExceeded)
	case err != nil && code == errs.WorkerConnectFailed:
		// Where nobody listens there is no worker any more; should there be, its next word tells.
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.Workers.removeDisowned(worker)
		}
		return notExecuted(code, 0)
	case err != nil:
		return outcomeUnknown(code)
	case x.info.WrongWorker:
		r.Workers.removeDisowned(worker)
		return withReachedWorker(notExecuted(errs.WrongInstance, 0))
	case x.info.NotExecuted:
		delivery.result = ResultRejected
		return withReachedWorker(notExecuted(errs.QueueFull, 0))
	case !r.Codec.ValidBody(&httpResponse.Header, x.body):
		return outcomeUnknown(errs.InvalidResponse)
	}
	delivery.result = ResultAnswered
	response := &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: int32(httpResponse.StatusCode()), Body: x.body,
		Length: uint64(len(x.body)), Checksum: crc32.ChecksumIEEE(x.body)}
	for name, value := range httpResponse.Header.All() {
		if r.Codec.PassesHeader(name, true) {
			response.HeaderBlock = AppendField(response.HeaderBlock, name, value)
		}
	}
	return response
}

// hasNoBody answers have no body, whatever their headers say.
func hasNoBody(method string, status int) bool {
	return method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}
