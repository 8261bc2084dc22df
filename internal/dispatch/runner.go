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

// Runner checks forward requests and runs them on the local workers. The exported fields are set before [NewRunner]
// and not changed afterwards. Run may then be called concurrently.
type Runner struct {
	Workers *Workers          // registrations of the local workers
	View    func() *plan.View // returns the current configuration and directory
	// AwaitConfig waits until this proxy's configuration has reached a revision, or until ctx ends.
	AwaitConfig func(ctx context.Context, revision uint64)
	// RevisionOutdated reports whether a configuration was replaced here so long ago that no proxy under a lease
	// may still plan by it.
	RevisionOutdated func(revision uint64) bool
	// HasLease reports whether this proxy may decide by its configuration: it holds a lease, or it serves without a lease
	// and has a configuration.
	HasLease func() bool
	// ServeStale serves requests under the present configuration, however old it is. A request that this configuration
	// allows does not wait for a newer one.
	ServeStale bool
	Now        func() time.Duration // returns the process clock
	RunCounter *RunCounter          // counts the runs by version and route; NewRunner replaces nil with a new one
	// Outliers records the results of the local workers, which each response reports. If nil, neither is done.
	Outliers *OutlierDetector
	// Disconnects counts calls whose callers disconnect. NewRunner replaces nil with a new one.
	Disconnects *Disconnects
	// MaxOverrun is how long an idempotent run may continue after its caller is known to have disconnected. With 0, longer
	// runs are not counted in Disconnects.Overrun.
	MaxOverrun time.Duration
	Codec      WorkerCodec // translates to the workers' headers; NewRunner replaces nil with NativeCodec

	recentIDs   *RecentIDs          // ids of recent requests, by which duplicate deliveries are recognized
	idempotency *IdempotencyCache   // results of non-idempotent requests that carry an idempotency key
	reserved    *reservedAdmissions // admissions granted to capacity checks
}

// incomingRequest is a forward request with its time of arrival, from which its remaining time is calculated.
type incomingRequest struct {
	*schema.ForwardRequest
	arrivedAt time.Duration        // arrival at this proxy, on the process clock
	now       func() time.Duration // returns the process clock
}

// remaining returns the time left until the request's deadline. It is 0 or less once the deadline has passed.
func (i *incomingRequest) remaining() time.Duration {
	return time.Duration(i.TimeLeftNanos) - (i.now() - i.arrivedAt)
}

// maxRunCounts bounds the run counts, one for each version and route, of a runner that is given none.
const maxRunCounts = 1024

// A run counts as truncated by its deadline if it did not succeed, and less than 1/truncatedRunDivisor of the time it was
// given was left at its end. A run that took overdueFactor times its worker's service time or longer does not count.
const (
	truncatedRunDivisor = workerMarginDivisor / 2
	overdueFactor       = 3
)

// NewRunner returns a runner with the exported fields of the given one. It retains up to maxRetained request ids, and
// as many idempotency keys.
func NewRunner(runner Runner, maxRetained int) *Runner {
	runner.recentIDs = NewRecentIDs(maxRetained)
	runner.idempotency = NewIdempotencyCache(maxRetained)
	runner.reserved = &reservedAdmissions{byRequest: map[string]*reservedAdmission{}}
	if runner.Codec == nil {
		runner.Codec = NativeCodec{}
	}
	if runner.RunCounter == nil {
		runner.RunCounter = NewRunCounter(maxRunCounts)
	}
	if runner.Disconnects == nil {
		runner.Disconnects = &Disconnects{}
	}
	return &runner
}

// Run checks a request and runs it at most once. A response with the outcome "not executed" proves that the request did
// not run. Every response reports the worker's load, from which the caller's proxy picks endpoints for later calls.
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

// checkAndRun handles a request by its kind: a capacity check, a recall or a run. The order of the checks is part of
// the contract with other proxies.
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
	// The id is recorded before any check can refuse the request. A request that was refused as not executed must not
	// run when it is delivered a second time, for example after this proxy has regained its lease.
	if !r.recentIDs.AddIfNew(request.Request) {
		return outcomeUnknown(errs.DuplicateRequest)
	}
	if refusal := r.refuseBeforeRun(ctx, request); refusal != nil {
		return refusal
	}
	return r.runOnce(ctx, request)
}

// recall returns the result of an earlier request with the same idempotency key. It runs nothing, so it needs neither
// a lease nor a worker.
func (r *Runner) recall(ctx context.Context, request *incomingRequest) *schema.ForwardResponse {
	boundedCtx, cancel := context.WithTimeout(ctx, request.remaining())
	defer cancel()
	fingerprint := requestFingerprint(request.Target, request.Body)
	return cloneResponse(r.idempotency.Recall(boundedCtx, idempotencyKeyOf(request), fingerprint))
}

// refuseBeforeRun checks the lease, the configuration and the worker. It returns the refusal, or nil if the request may
// run.
func (r *Runner) refuseBeforeRun(ctx context.Context, request *incomingRequest) *schema.ForwardResponse {
	if !r.ServeStale {
		r.awaitConfig(ctx, request)
	}
	// Without a lease, this proxy cannot know whether the version is still allowed.
	if !r.HasLease() {
		return notExecuted(errs.NoLease, 0)
	}
	view := r.View()
	if r.RevisionOutdated(request.Revision) {
		return notExecuted(errs.StalePlan, view.Config.Revision)
	}
	if !isAllowed(view, request) {
		// The configuration that allows the request may be about to arrive.
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

// runOnce runs a request. A non-idempotent request with an idempotency key runs only if the key has no result yet, and
// otherwise gets that result.
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

// awaitConfig waits for the configuration that the request was planned under, if it has not arrived here yet. It waits
// for at most 1/updateWaitDivisor of the time left.
func (r *Runner) awaitConfig(ctx context.Context, request *incomingRequest) {
	if r.View().Config.Revision >= request.Revision {
		return
	}
	boundedCtx, cancel := context.WithTimeout(ctx, request.remaining()/updateWaitDivisor)
	defer cancel()
	r.AwaitConfig(boundedCtx, request.Revision)
}

// cloneResponse copies a cached response, so that Run can set the request id and the load in the copy.
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

// admissionRequestOf returns the admission request of a forward request, with its times on the process clock.
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

// awaitAdmission waits for the decision of the worker's queue. It returns the refusal, or nil once the request is
// admitted.
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
// admission for that request for 1/reservationDivisor of the time left. So no body is sent only to be refused.
func (r *Runner) reserveAdmission(ctx context.Context, request *incomingRequest) *schema.ForwardResponse {
	worker, _, refusal := r.Workers.find(request.ForwardRequest)
	if refusal != "" {
		return notExecuted(refusal, r.View().Config.Revision)
	}
	if refused := r.awaitAdmission(ctx, worker, request); refused != nil {
		return refused
	}
	// A caller that has disconnected meanwhile sends no request that could use the admission.
	if ctx.Err() != nil {
		worker.queue.Release(r.Now(), "", ResultNoAnswer, 0)
		return notExecuted(contextErrorCode(ctx), 0)
	}
	r.reserved.reserve(request.Request, worker.queue, r.Now, request.remaining()/reservationDivisor)
	// The empty code tells the caller's proxy that the admission is reserved.
	return notExecuted("", 0)
}

// runOnWorker waits until the worker's queue admits a request, sends it to the worker, and records the result.
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
	delivery := workerDelivery{result: ResultNoAnswer}
	// The wait for admission is over. From here on, the time and the result count for the worker's version.
	revision := r.View().Config.VersionRevision(request.Service, request.Version)
	runCount := r.RunCounter.Begin(request.Service, request.Version, request.Route, revision)
	watch := r.Disconnects.watchCaller(ctx, !request.NonIdempotent, r.MaxOverrun, r.Now)
	response := r.sendToWorker(ctx, worker, request, &delivery)
	now := r.Now()
	r.recordDisconnect(watch, request, response, delivery.sentAt, now)
	if delivery.result == ResultAnswered && response.Status >= minFailureStatus {
		delivery.result = ResultFailed
	}
	truncated := wasTruncated(worker, request, delivery.result, timeAllowed, now-startedAt)
	if r.Outliers != nil && mayHaveRun(response) && !truncated && !isCanceled(response) {
		r.Outliers.RecordRun(request.Instance, now, delivery.result != ResultAnswered)
	}
	worker.queue.RecordResponseSize(len(response.HeaderBlock) + len(response.Body))
	worker.queue.Release(now, request.Route, delivery.result, now-startedAt)
	runCount.End(now, now-startedAt, response)
	return response
}

// wasTruncated reports whether a run ended because it was given less time than calls usually take at its worker. Such
// a run says nothing about the worker's health, because its result with more time is not known. timeAllowed is the time
// that was left when the run began. took is the duration of the run.
func wasTruncated(worker *localWorker, request *incomingRequest, result RunResult, timeAllowed, took time.Duration) bool {
	return result != ResultAnswered &&
		request.remaining() < timeAllowed/truncatedRunDivisor &&
		took < overdueFactor*worker.queue.ServiceTime()
}

// mayHaveRun reports whether a worker ran the request or may have run it.
func mayHaveRun(response *schema.ForwardResponse) bool {
	return response.Outcome != schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED
}

// recordDisconnect counts the result of a call whose caller disconnected while the call was sent to a worker or ran.
// sentAt is when the first byte was sent to the worker, 0 if none was.
func (r *Runner) recordDisconnect(
	watch *overrunWatch, request *incomingRequest, response *schema.ForwardResponse, sentAt, now time.Duration,
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
