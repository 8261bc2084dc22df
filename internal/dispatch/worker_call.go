package dispatch

import (
	"context"
	"errors"
	"hash/crc32"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/http1"
	"meadowhinge/schema"
)

// workerMarginDivisor sets the time that a worker is given: the time left, less 1/workerMarginDivisor of it. So the
// worker's own timeout response still arrives, and the connection can be used again.
const workerMarginDivisor = 64

// workerDelivery is the result of sending a request to a worker.
type workerDelivery struct {
	result RunResult     // ResultNoAnswer until the worker has answered or rejected the request
	sentAt time.Duration // start of sending the request, on the process clock; 0 if no byte was sent
}

// sendToWorker sends a request to the worker. It returns the worker's response, or one that carries the code of the
// error, and records in delivery whether the request was sent and what its result was. Once the first byte is sent, the
// request may have run.
func (r *Runner) sendToWorker(
	ctx context.Context, worker *localWorker, request *incomingRequest, delivery *workerDelivery,
) *schema.ForwardResponse {
	httpRequest := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpRequest)
	head := headPool.Get().(*http1.ResponseHead)
	defer headPool.Put(head)
	buildRequest(httpRequest, request.ForwardRequest)
	hasLease, timeLeft := r.HasLease(), request.remaining()
	token, refusal := r.revalidate(ctx, worker, request.ForwardRequest, hasLease, timeLeft)
	if refusal != nil {
		return refusal
	}
	registration := WorkerRegistration{
		Instance: worker.instance,
		Address:  worker.address,
		Token:    token,
		Service:  request.Service,
		Version:  request.Version,
	}
	r.Codec.WriteHeaders(httpRequest, request.ForwardRequest, registration, timeLeft-timeLeft/workerMarginDivisor)
	x := exchange{
		request:      httpRequest,
		head:         head,
		codec:        r.Codec,
		forward:      request.ForwardRequest,
		deadline:     time.Now().Add(timeLeft),
		maxBodyBytes: r.Workers.options.MaxBodyBytes,
		bodyMemory:   r.Workers.bodyMemory,
		ctx:          ctx,
	}
	defer x.releaseMemory()
	// A non-idempotent request runs to its end, whether or not its caller still waits.
	if request.NonIdempotent {
		x.ctx = context.WithoutCancel(ctx)
	}
	err := worker.conns.roundTrip(ctx, &x)
	delivery.sentAt = x.sentAt
	if err != nil {
		// A disconnect at the end of the call's time counts as a passed deadline. So the run may count against the
		// worker.
		outOfTime := func() bool { return request.remaining() <= timeLeft/truncatedRunDivisor }
		return r.responseToError(ctx, worker, err, x.sentAt > 0, outOfTime)
	}
	return r.responseOf(worker, &x, delivery)
}

// buildRequest sets the method, target, headers and body, which are passed on as they came from the caller.
func buildRequest(httpRequest *fasthttp.Request, request *schema.ForwardRequest) {
	httpRequest.Header.DisableNormalizing()
	httpRequest.Header.SetMethod(request.Method)
	httpRequest.SetRequestURI(request.Target)
	for name, value := range Fields(request.HeaderBlock) {
		httpRequest.Header.AddBytesKV(name, value)
	}
	httpRequest.SetBodyRaw(request.Body)
}

// revalidate looks up the registration again just before the request is sent, so that a worker that has deregistered
// meanwhile gets no request. It returns the worker's token, or the refusal. The order of the checks determines which
// refusal the caller sees.
func (r *Runner) revalidate(
	ctx context.Context, worker *localWorker, request *schema.ForwardRequest, hasLease bool, timeLeft time.Duration,
) (string, *schema.ForwardResponse) {
	current, token, refusal := r.Workers.find(request)
	switch {
	case refusal != "":
		return "", notExecuted(refusal, 0)
	case current != worker:
		return "", notExecuted(errs.WrongInstance, 0)
	case timeLeft <= 0 || ctx.Err() != nil:
		return "", notExecuted(contextErrorCode(ctx), 0)
	case !hasLease:
		return "", notExecuted(errs.NoLease, 0)
	}
	return token, nil
}

// responseToError returns the response to a request whose exchange with the worker failed with err. sent reports
// whether a byte of the request was sent. outOfTime reports whether the call has hardly any time left; it is a function
// so that the clock is read only if needed.
func (r *Runner) responseToError(
	ctx context.Context, worker *localWorker, err error, sent bool, outOfTime func() bool,
) *schema.ForwardResponse {
	code := errs.CodeOf(err)
	switch {
	case !sent && ctx.Err() != nil:
		return notExecuted(contextErrorCode(ctx), 0)
	case code == errs.CallerDisconnected && outOfTime():
		return outcomeUnknown(errs.DeadlineExceeded)
	case code == errs.WorkerConnectFailed:
		// Nothing listens at the address, so the worker has probably ended. If it has not, its next heartbeat registers it
		// again.
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.Workers.removeStale(worker)
		}
		return notExecuted(code, 0)
	}
	return outcomeUnknown(code)
}

// responseOf returns the response to a request that the worker answered or refused, and sets the result in delivery.
func (r *Runner) responseOf(worker *localWorker, x *exchange, delivery *workerDelivery) *schema.ForwardResponse {
	switch {
	case x.info.WrongWorker:
		r.Workers.removeStale(worker)
		return markReachedWorker(notExecuted(errs.WrongInstance, 0))
	case x.info.NotExecuted:
		delivery.result = ResultRejected
		return markReachedWorker(notExecuted(errs.QueueFull, 0))
	case !r.Codec.ValidBody(x.head, x.body):
		return outcomeUnknown(errs.InvalidResponse)
	}
	delivery.result = ResultAnswered
	response := &schema.ForwardResponse{
		Outcome:  schema.CallOutcome_CALL_OUTCOME_ANSWERED,
		Status:   int32(x.head.Status),
		Body:     x.body,
		Length:   uint64(len(x.body)),
		Checksum: crc32.ChecksumIEEE(x.body),
	}
	for _, field := range x.head.Fields {
		if r.Codec.PassesHeader(field.Name, true) && !x.head.IsConnectionOption(field.Name) {
			response.HeaderBlock = AppendField(response.HeaderBlock, field.Name, field.Value)
		}
	}
	return response
}
