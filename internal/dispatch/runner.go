package dispatch

import (
	"context"
	"hash/crc32"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// Runner is the worker's side of a call: it checks forward requests and runs them on the workers beside this proxy.
// The exported fields are set before [NewRunner] and not changed afterwards; Run may then be called concurrently.
type Runner struct {
	Workers *Workers
	View    func() *plan.View // the current configuration and directory
	// AwaitConfig waits until this proxy's configuration has reached a revision, or ctx ends.
	AwaitConfig func(ctx context.Context, revision uint64)
	// RevisionOutdated reports whether a configuration was replaced here so long ago that no proxy under a lease
	// may still plan by it.
	RevisionOutdated func(revision uint64) bool
	HasLease         func() bool // whether this proxy may decide under the configuration that it has
	// ServeStale serves by the configuration that is present, however old: a request that it allows does not wait
	// for a newer one.
	ServeStale bool
	Now        func() time.Duration // the clock of the process
	WorkCounts *WorkCounts          // nil for counts of the runner's own
	// Outliers records the results of the workers here, which each response reports; nil for not at all.
	Outliers *OutlierDetector
	// Disconnects counts calls whose callers disconnect; nil for counts of the runner's own.
	Disconnects *Disconnects
	// MaxOverrun is how long an idempotent run may go on after its caller is known to have disconnected.
	MaxOverrun time.Duration
	Codec      WorkerCodec // nil for NativeCodec

	recentIDs   *RecentIDs        // ids of requests that were checked here
	idempotency *IdempotencyCache // results of non-idempotent requests under a key
	reserved    *reservedAdmissions
}

// incomingRequest is a request on its way through the runner.
type incomingRequest struct {
	*schema.ForwardRequest
	arrivedAt time.Duration // on the clock of the process
	now       func() time.Duration
}

// remaining returns the time left until the request's deadline; 0 or less if it has passed.
func (i *incomingRequest) remaining() time.Duration {
	return time.Duration(i.TimeLeftNanos) - (i.now() - i.arrivedAt)
}

// maxWorkCounts is how many work counts a runner retains.
const maxWorkCounts = 1024

// A run was truncated if it ended with less than 1/truncatedRunDivisor of its time left, unless it took
// overdueFactor times its worker's service time.
const (
	truncatedRunDivisor = workerMarginDivisor / 2
	overdueFactor       = 3
)

// NewRunner returns a runner with the exported fields of another one. It retains as many request ids, and as many
// idempotency keys, as maxRemembered says.
func NewRunner(runner Runner, maxRemembered int) *Runner {
	runner.recentIDs = NewRecentIDs(maxRemembered)
	runner.idempotency = NewIdempotencyCache(maxRemembered)
	runner.reserved = &reservedAdmissions{byRequest: map[string]*reservedAdmission{}}
	if runner.Codec == nil {
		runner.Codec = NativeCodec{}
	}
	if runner.WorkCounts == nil {
		runner.WorkCounts = NewWorkCounts(maxWorkCounts)
	}
	if runner.Disconnects == nil {
		runner.Disconnects = &Disconnects{}
	}
	return &runner
}

// Run checks a request and runs it at most once. A response with the outcome "not executed" proves that it did not
// run. Every response reports the worker's load, by which the caller's proxy picks endpoints for later calls.
func (r *Runner) Run(ctx context.Context, peer transport.Peer, request *schema.ForwardRequest) *schema.ForwardResponse {
	incoming := &incomingRequest{ForwardRequest: request, arrivedAt: r.Now(), now: r.Now}
	response := r.checkAndRun(ctx, peer, incoming)
	response.Request = request.Request
	running, waiting, slots, serviceTime := r.Workers.Load(request.Instance)
	response.Running, response.Queued, response.Slots = running, waiting, slots
	response.ServiceTimeNanos = int64(serviceTime)
	if r.Outliers != nil && slots > 0 {
		response.RecentRuns, response.RecentFailures = r.Outliers.RunCounts(request.Instance, r.Now())
	}
	return response
}

// checkAndRun handles a request by its kind. The order of the checks is part of the contract.
func (r *Runner) checkAndRun(ctx context.Context, peer transport.Peer, request *incomingRequest) *schema.ForwardResponse {
	if !peer.MayCallAs(request.Caller) {
		return notExecuted(errs.CallerNotAllowed, 0)
	}
	if request.AdmissionOnly {
		return r.reserveAdmission(ctx, request)
	}
	if crc32.ChecksumIEEE(request.Body) != request.Checksum {
		return notExecuted(errs.MalformedRequest, 0)
	}
	if request.RecallOnly {
		return r.recall(ctx, request)
	}
	// The id is recorded before anything can refuse the request: a request that was refused as not executed must
	// not run when it arrives a second time, by then perhaps under a lease again.
	if !r.recentIDs.AddIfNew(request.Request) {
		return outcomeUnknown(errs.DuplicateRequest)
	}
	if refusal := r.refuseBeforeRun(ctx, request); refusal != nil {
		return refusal
	}
	return r.runOnce(ctx, request)
}

// recall returns the result of a request under an idempotency key. Nothing is run, so neither the lease nor the
// worker matters.
func (r *Runner) recall(ctx context.Context, request *incomingRequest) *schema.ForwardResponse {
	boundedCtx, cancel := context.WithTimeout(ctx, request.remaining())
	defer cancel()
	fingerprint := requestFingerprint(request.Target, request.Body)
	return cloneResponse(r.idempotency.Recall(boundedCtx, idempotencyKeyOf(request), fingerprint))
}

// refuseBeforeRun checks lease, configuration and worker. It returns the refusal, or nil if the request may run.
func (r *Runner) refuseBeforeRun(ctx context.Context, request *incomingRequest) *schema.ForwardResponse {
	if !r.ServeStale {
		r.awaitConfig(ctx, request)
	}
	// Without a lease this proxy cannot know whether the version is still allowed.
	if !r.HasLease() {
		return notExecuted(errs.NoLease, 0)
	}
	view := r.View()
	if r.RevisionOutdated(request.Revision) {
		return notExecuted(errs.StalePlan, view.Config.Revision)
	}
	if !isAllowed(view, request) {
		// The configuration that the plan was made from may be about to arrive.
		r.awaitConfig(ctx, request)
		if view = r.View(); !isAllowed(view, request) {
			return notExecuted(errs.VersionNotAllowed, view.Config.Revision)
		}
	}
	if _, _, refusal := r.Workers.find(request.ForwardRequest); refusal != "" {
		return notExecuted(refusal, view.Config.Revision)
	}
	return nil
}

// runOnce runs a request, and one under an idempotency key only if the key has no result yet.
func (r *Runner) runOnce(ctx context.Context, request *incomingRequest) *schema.ForwardResponse {
	if !request.NonIdempotent || request.IdempotencyKey == "" {
		return r.runOnWorker(ctx, request)
	}
	fingerprint := requestFingerprint(request.Target, request.Body)
	response := r.idempotency.Do(ctx, idempotencyKeyOf(request), fingerprint, func(string) (*schema.ForwardResponse, string) {
		return r.runOnWorker(ctx, request), ""
	})
	return cloneResponse(response)
}

// idempotencyKeyOf returns the idempotency key of a request, qualified by its caller, service and route.
func idempotencyKeyOf(request *incomingRequest) string {
	return idempotencyKey(request.Caller, request.Service, request.Route, request.IdempotencyKey)
}

// isAllowed reports whether the configuration allows the request's version and caller.
func isAllowed(view *plan.View, request *incomingRequest) bool {
	service := view.Config.Services[request.Service]
	return service != nil && service.AllowsVersion(request.Version) && service.AllowsCaller(request.Caller)
}

// awaitConfig waits a little for the configuration that a plan was made from, if it is not present yet.
func (r *Runner) awaitConfig(ctx context.Context, request *incomingRequest) {
	if r.View().Config.Revision >= request.Revision {
		return
	}
	boundedCtx, cancel := context.WithTimeout(ctx, request.remaining()/updateWaitDivisor)
	defer cancel()
	r.AwaitConfig(boundedCtx, request.Revision)
}

// cloneResponse copies a retained response, so that the copy can carry the id of the request that it answers.
func cloneResponse(response *schema.ForwardResponse) *schema.ForwardResponse {
	return &schema.ForwardResponse{
		Outcome:     response.Outcome,
		ErrorCode:   response.ErrorCode,
		Status:      response.Status,
		HeaderBlock: response.HeaderBlock,
		Body:        response.Body,
		Length:      response.Length,
		Checksum:    response.Checksum,
		Revision:    response.Revision,
	}
}

// admissionRequestOf returns what a forward request requires of its worker's queue.
func admissionRequestOf(request *incomingRequest) AdmissionRequest {
	admission := AdmissionRequest{
		Route:    request.Route,
		Priority: request.Priority,
		Deadline: request.arrivedAt + time.Duration(request.TimeLeftNanos),
	}
	if request.LatencyTargetNanos != 0 {
		admission.TargetAt = request.arrivedAt + time.Duration(request.LatencyTargetNanos)
	}
	return admission
}

// awaitAdmission waits until the worker's queue admits a request. It returns the refusal, or nil once admitted.
func (r *Runner) awaitAdmission(ctx context.Context, worker *localWorker, request *incomingRequest) *schema.ForwardResponse {
	admission, queued := worker.queue.Admit(r.Now(), admissionRequestOf(request))
	if queued != nil {
		admission = worker.queue.Wait(ctx, queued, request.remaining())
	}
	if admission.Refusal == "" {
		return nil
	}
	if admission.Refusal == errs.CallerDisconnected {
		r.Disconnects.Dequeued.Add(1)
	}
	response := notExecuted(admission.Refusal, 0)
	response.RetryAfterNanos = int64(admission.RetryAfter)
	return response
}

// reserveAdmission answers a capacity check. It waits for admission as the request itself would, and reserves the
// admission for the request for a part of the time left, so that no body is sent only to be refused.
func (r *Runner) reserveAdmission(ctx context.Context, request *incomingRequest) *schema.ForwardResponse {
	worker, _, refusal := r.Workers.find(request.ForwardRequest)
	if refusal != "" {
		return notExecuted(refusal, r.View().Config.Revision)
	}
	if refused := r.awaitAdmission(ctx, worker, request); refused != nil {
		return refused
	}
	// No request will follow if the caller has disconnected meanwhile.
	if ctx.Err() != nil {
		worker.queue.Release(r.Now(), "", ResultNotRun, 0)
		return notExecuted(contextErrorCode(ctx), 0)
	}
	r.reserved.reserve(request.Request, worker.queue, r.Now, request.remaining()/reservationDivisor)
	return notExecuted("", 0)
}

// runOnWorker waits until a request is admitted, and sends it to the worker.
func (r *Runner) runOnWorker(ctx context.Context, request *incomingRequest) *schema.ForwardResponse {
	worker, _, refusal := r.Workers.find(request.ForwardRequest)
	if refusal != "" {
		return notExecuted(refusal, 0)
	}
	if !r.reserved.take(request.Request, worker.queue) {
		if refusal := r.awaitAdmission(ctx, worker, request); refusal != nil {
			return refusal
		}
	}
	startedAt, timeAllowed := r.Now(), request.remaining()
	delivery := workerDelivery{result: ResultNotRun}
	// From here on the worker takes the time, and its version is accountable for the result.
	revision := r.View().Config.VersionRevision(request.Service, request.Version)
	workCount := r.WorkCounts.Begin(request.Service, request.Version, request.Route, revision)
	caller := r.Disconnects.watchCaller(ctx, !request.NonIdempotent, r.MaxOverrun, r.Now)
	response := r.sendToWorker(ctx, worker, request, &delivery)
	now := r.Now()
	r.recordDisconnect(caller, request, response, delivery.sentAt, now)
	if delivery.result == ResultAnswered && response.Status >= minFailureStatus {
		delivery.result = ResultFailed
	}
	truncated := wasTruncated(worker, request, delivery.result, timeAllowed, now-startedAt)
	if r.Outliers != nil && mayHaveRun(response) && !truncated && !isCanceled(response) {
		r.Outliers.RecordRun(request.Instance, now, delivery.result != ResultAnswered)
	}
	worker.queue.RecordAnswerSize(len(response.HeaderBlock) + len(response.Body))
	worker.queue.Release(now, request.Route, delivery.result, now-startedAt)
	workCount.End(now, now-startedAt, response)
	return response
}

// wasTruncated reports whether a run ended for lack of the time that calls take at its worker. How it would have ended
// otherwise is not known, so it says nothing of the worker. timeAllowed was left when the run began; took is its duration.
func wasTruncated(worker *localWorker, request *incomingRequest, result RunResult, timeAllowed, took time.Duration) bool {
	return result != ResultAnswered &&
		request.remaining() < timeAllowed/truncatedRunDivisor &&
		took < overdueFactor*worker.queue.ServiceTime()
}

// mayHaveRun reports whether a worker ran the request, or may have.
func mayHaveRun(response *schema.ForwardResponse) bool {
	return response.Outcome != schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED
}

// recordDisconnect counts what became of a call whose caller disconnected while it was sent to a worker or ran.
func (r *Runner) recordDisconnect(
	watch *disconnectWatch, request *incomingRequest, response *schema.ForwardResponse, sentAt, now time.Duration,
) {
	disconnectedAt, disconnected := watch.finish()
	if disconnected && sentAt > disconnectedAt+r.MaxOverrun {
		r.Disconnects.SentLate.Add(1)
	}
	switch {
	case !disconnected:
	case !mayHaveRun(response):
		r.Disconnects.Dequeued.Add(1)
	case request.NonIdempotent:
		r.Disconnects.RanToEnd.Add(1)
	default:
		if isCanceled(response) {
			r.Disconnects.Canceled.Add(1)
		}
		r.Disconnects.recordOverrunTime(now - disconnectedAt)
	}
}
