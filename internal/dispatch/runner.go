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

// Runner is the worker's side of a dispatch.
type Runner struct {
	Workers *Workers
	View    func() *plan.View
	// AwaitConfig waits a little for this proxy's setup to reach a sequence.
	AwaitConfig func(ctx context.Context, sequence uint64)
	// RevisionOutdated tells whether a setup was replaced here so long ago that no caller under a
	// lease may still plan by it.
	RevisionOutdated func(sequence uint64) bool
	HasLease         func() bool
	// ServeStale goes on by what is known here, however old: what is allowed here is not held up
	// for a newer setup.
	ServeStale bool
	Now        func() time.Duration
	WorkCounts *WorkCounts
	// Outliers keeps what workers here came to, to be told with each answer; nil for not at all.
	Outliers *OutlierDetector
	// Disconnects counts calls whose callers left; nil for not at all. A repeatable run may go on for
	// MaxOverrun after that was known.
	Disconnects *Disconnects
	MaxOverrun  time.Duration
	Codec       WorkerCodec // nil for our own
	recentIDs   *RecentIDs
	idempotency *IdempotencyCache
	reserved    *reservedAdmissions
}

// maxWorkCounts is how many lines of work a runner keeps.
const maxWorkCounts = 1024

// A call has run out of time where less than this part of what it was given is left, and far longer than
// calls take where it ran for so many times its worker's pace.
const (
	truncatedRunDivisor = workerMarginDivisor / 2
	overdueFactor       = 3
)

// updateWaitDivisor is the part of the time left that a dispatch may wait for news before it is refused.
const updateWaitDivisor = 8

// NewRunner keeps so many request ids and keys.
func NewRunner(runner Runner, maxRemembered int) *Runner {
	if runner.Codec == nil {
		runner.Codec = NativeCodec{}
	}
	runner.recentIDs, runner.idempotency, runner.reserved = NewRecentIDs(maxRemembered), NewIdempotencyCache(maxRemembered), &reservedAdmissions{byRequest: map[string]*reservedAdmission{}}
	if runner.WorkCounts == nil {
		runner.WorkCounts = NewWorkCounts(maxWorkCounts)
	}
	if runner.Disconnects == nil {
		runner.Disconnects = &Disconnects{}
	}
	return &runner
}

// Run checks a dispatch and runs it once; every refusal here is proof that it was not run.
func (r *Runner) Run(ctx context.Context, peer transport.Peer, request *schema.ForwardRequest) *schema.ForwardResponse {
	arrivedAt := r.Now()
	response := r.checkAndRun(ctx, peer, request, arrivedAt)
	response.Request = request.Request
	// Whoever calls next does well to know how full the worker is.
	running, waiting, slots, serviceTime := r.Workers.Load(request.Instance)
	response.Running, response.Queued, response.Slots, response.ServiceTimeNanos = running, waiting, slots, int64(serviceTime)
	if r.Outliers != nil && slots > 0 {
		response.RecentRuns, response.RecentFailures = r.Outliers.RunCounts(request.Instance, r.Now())
	}
	return response
}

func (r *Runner) checkAndRun(ctx context.Context, peer transport.Peer, request *schema.ForwardRequest, arrivedAt time.Duration) *schema.ForwardResponse {
	remaining := func() time.Duration { return time.Duration(request.TimeLeftNanos) - (r.Now() - arrivedAt) }
	if !peer.MayCallAs(request.Caller) {
		return notExecuted(errs.CallerNotAllowed, 0)
	}
	if request.AdmissionOnly {
		return r.reserveAdmission(ctx, request, arrivedAt, remaining)
	}
	if crc32.ChecksumIEEE(request.Body) != request.Checksum {
		return notExecuted(errs.MalformedRequest, 0)
	}
	if request.RecallOnly {
		// Nothing is run, so neither lease nor worker matters, only who asks.
		boundedCtx, cancel := context.WithTimeout(ctx, remaining())
		defer cancel()
		return cloneResponse(r.idempotency.Recall(boundedCtx, idempotencyKey(request.Caller, request.Service, request.Route, request.IdempotencyKey), requestFingerprint(request.Target, request.Body)))
	}
	// Noted before anything can refuse it: what is refused here as not run must not run when it
	// comes a second time, by then perhaps under a lease again.
	if !r.recentIDs.AddIfNew(request.Request) {
		return outcomeUnknown(errs.DuplicateRequest)
	}
	if !r.ServeStale {
		r.awaitConfig(ctx, request, remaining())
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
		// The setup that the plan was made from may be on its way here.
		r.awaitConfig(ctx, request, remaining())
		if view = r.View(); !isAllowed(view, request) {
			return notExecuted(errs.VersionNotAllowed, view.Config.Revision)
		}
	}
	if _, _, refusal := r.Workers.find(request); refusal != "" {
		return notExecuted(refusal, view.Config.Revision)
	}
	if request.NonIdempotent && request.IdempotencyKey != "" {
		key := idempotencyKey(request.Caller, request.Service, request.Route, request.IdempotencyKey)
		return cloneResponse(r.idempotency.Do(ctx, key, requestFingerprint(request.Target, request.Body), func(string) (*schema.ForwardResponse, string) {
			return r.runOnWorker(ctx, request, arrivedAt, remaining), ""
		}))
	}
	return r.runOnWorker(ctx, request, arrivedAt, remaining)
}

func isAllowed(view *plan.View, request *schema.ForwardRequest) bool {
	service := view.Config.Services[request.Service]
	return service != nil && service.AllowsVersion(request.Version) && service.AllowsCaller(request.Caller)
}

// awaitConfig waits a little for the setup that a plan was made from, if it is not here yet.
func (r *Runner) awaitConfig(ctx context.Context, request *schema.ForwardRequest, remaining time.Duration) {
	if r.View().Config.Revision >= request.Revision {
		return
	}
	boundedCtx, cancel := context.WithTimeout(ctx, remaining/updateWaitDivisor)
	defer cancel()
	r.AwaitConfig(boundedCtx, request.Revision)
}

// cloneResponse lets an answer from memory carry the id of the request it now answers.
func cloneResponse(response *schema.ForwardResponse) *schema.ForwardResponse {
	return &schema.ForwardResponse{Outcome: response.Outcome, ErrorCode: response.ErrorCode, Status: response.Status, HeaderBlock: response.HeaderBlock,
		Body: response.Body, Length: response.Length, Checksum: response.Checksum, Revision: response.Revision}
}

// admissionRequestOf is what a dispatch asks of the buffer before its worker.
func admissionRequestOf(request *schema.ForwardRequest, arrivedAt time.Duration) AdmissionRequest {
	admission := AdmissionRequest{Route: request.Route, Priority: request.Priority, Deadline: arrivedAt + time.Duration(request.TimeLeftNanos)}
	if request.LatencyTargetNanos != 0 {
		admission.TargetAt = arrivedAt + time.Duration(request.LatencyTargetNanos)
	}
	return admission
}

// awaitAdmission lets a request wait for its turn; nil: it has it.
func (r *Runner) awaitAdmission(ctx context.Context, worker *localWorker, request *schema.ForwardRequest, arrivedAt time.Duration, remaining func() time.Duration) *schema.ForwardResponse {
	admission, queued := worker.queue.Admit(r.Now(), admissionRequestOf(request, arrivedAt))
	if queued != nil {
		admission = worker.queue.Wait(ctx, queued, remaining())
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

// reserveAdmission answers an enquiry: it waits as the request would, and its turn is then kept for the request
// for a part of the time left, so that no body comes which is then refused. Nothing is run.
func (r *Runner) reserveAdmission(ctx context.Context, request *schema.ForwardRequest, arrivedAt time.Duration, remaining func() time.Duration) *schema.ForwardResponse {
	worker, _, refusal := r.Workers.find(request)
	if refusal != "" {
		return notExecuted(refusal, r.View().Config.Revision)
	}
	if refused := r.awaitAdmission(ctx, worker, request, arrivedAt, remaining); refused != nil {
		return refused
	}
	// Nobody comes for a turn whose caller has left meanwhile.
	if ctx.Err() != nil {
		worker.queue.Release(r.Now(), "", ResultNotRun, 0)
		return notExecuted(contextErrorCode(ctx), 0)
	}
	r.reserved.reserve(request.Request, worker.queue, r.Now, remaining()/reservationDivisor)
	return notExecuted("", 0)
}

// runOnWorker lets a request wait for its turn, and gives it to the worker.
func (r *Runner) runOnWorker(ctx context.Context, request *schema.ForwardRequest, arrivedAt time.Duration, remaining func() time.Duration) *schema.ForwardResponse {
	worker, _, refusal := r.Workers.find(request)
	if refusal != "" {
		return notExecuted(refusal, 0)
	}
	if !r.reserved.take(request.Request, worker.queue) {
		if refusal := r.awaitAdmission(ctx, worker, request, arrivedAt, remaining); refusal != nil {
			return refusal
		}
	}
	startedAt, timeAllowed := r.Now(), remaining()
	delivery := handover{result: ResultNotRun}
	// From here on it is the worker's time, and its version's doing.
	workCount := r.WorkCounts.Begin(request.Service, request.Version, request.Route, r.View().Config.VersionRevision(request.Service, request.Version))
	caller := r.Disconnects.watchCaller(ctx, !request.NonIdempotent, r.MaxOverrun, r.Now)
	response := r.sendToWorker(ctx, worker, request, remaining, &delivery)
	now := r.Now()
	r.recordDisconnect(caller, request, response, delivery.sentAt, now)
	if delivery.result == ResultAnswered && response.Status >= minFailureStatus {
		delivery.result = ResultFailed
	}
	// How a call would have ended that had not the time calls take is not known.
	truncated := delivery.result != ResultAnswered && remaining() < timeAllowed/truncatedRunDivisor && now-startedAt < overdueFactor*worker.queue.ServiceTime()
	if ran := response.Outcome != schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED; ran && r.Outliers != nil && !truncated && !isCanceled(response) {
		r.Outliers.RecordRun(request.Instance, now, delivery.result != ResultAnswered)
	}
	worker.queue.RecordAnswerSize(len(response.HeaderBlock) + len(response.Body))
	worker.queue.Release(now, request.Route, delivery.result, now-startedAt)
	workCount.End(now, now-startedAt, response)
	return response
}

// recordDisconnect counts what became of a call whose caller left while it was handed over or run.
func (r *Runner) recordDisconnect(watch *disconnectWatch, request *schema.ForwardRequest, response *schema.ForwardResponse, sentAt, now time.Duration) {
	disconnectedAt, disconnected := watch.finish()
	if disconnected && sentAt > disconnectedAt+r.MaxOverrun {
		r.Disconnects.SentLate.Add(1)
	}
	switch {
	case !disconnected:
	case response.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED:
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
