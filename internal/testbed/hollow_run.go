package testbed

import (
	"context"
	"io"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"meadowhinge/schema"
)

// progressInterval is the time between two lines of progress during the measurement.
const progressInterval = 10 * time.Second

// hollowRun is the state of one call of RunHollow: the core, the members, and the goroutines that act on them.
type hollowRun struct {
	opts     *schema.HollowOptions
	core     *Fleet
	operator *hollowOperator
	fleet    *hollowFleet         // nil until the core is configured
	now      func() time.Duration // time since the run began
	out      io.Writer            // progress output

	memoryBefore int64                   // result of stableMemory before the members were made, in bytes
	wakeupDelay  *hdrhistogram.Histogram // HollowReport.WakeupDelay

	stop      chan struct{}  // closed to end the tasks
	stopTasks func()         // closes stop; may be called more than once
	tasks     sync.WaitGroup // goroutines that run until stop closes
}

// RunHollow brings up a core of real processes and hollow members, and measures what they cost while operators, restarts
// and losses act on them. It writes progress to out. It fails with options.Faults for invalid settings, or with the
// error of bringing up the fleet. If ctx is canceled, RunHollow ends after the current step, with ctx's error.
func RunHollow(ctx context.Context, opts *schema.HollowOptions, out io.Writer) (*HollowReport, error) {
	if faults := ValidateHollow(opts); len(faults) > 0 {
		return nil, faults
	}
	r, err := newHollowRun(opts, out)
	if err != nil {
		return nil, err
	}
	defer r.core.Stop()
	if err := r.startCore(ctx); err != nil {
		return nil, err
	}
	defer r.end()
	if err := r.joinMembers(ctx); err != nil {
		return nil, err
	}
	if !sleepContext(ctx, time.Duration(opts.Settle)) {
		return nil, ctx.Err()
	}
	r.startTasks() //nolint:contextcheck // a member that a task restarts lives until it is ended, not until ctx is
	report := &HollowReport{Options: opts, Commit: buildCommit(), Cores: runtime.NumCPU()}
	if err := r.measure(ctx, report); err != nil {
		return nil, err
	}
	return report, nil
}

// newHollowRun lays out the core and starts no process.
func newHollowRun(opts *schema.HollowOptions, out io.Writer) (*hollowRun, error) {
	began := time.Now()
	r := &hollowRun{
		opts:        opts,
		now:         func() time.Duration { return time.Since(began) },
		out:         out,
		wakeupDelay: newLatencyHistogram(),
		stop:        make(chan struct{}),
	}
	r.stopTasks = sync.OnceFunc(func() { close(r.stop) })
	var err error
	if r.core, err = newHollowCore(opts); err != nil {
		return nil, err
	}
	r.operator = newHollowOperator(opts, r.core, r.now)
	return r, nil
}

// logf writes a line of progress.
func (r *hollowRun) logf(format string, values ...any) {
	printf(r.out, "%6.1f s  "+format+"\n", append([]any{r.now().Seconds()}, values...)...)
}

// coreTimeout returns the longest time that the core may take to become ready. It includes a window of idempotency keys,
// because registries grant leases only after that.
func (r *hollowRun) coreTimeout() time.Duration { return readyTimeout + keyWindowLeases*r.core.lease }

// startCore starts the core, submits the initial configuration, and starts the real proxies.
func (r *hollowRun) startCore(ctx context.Context) error {
	if err := startAll(r.core.Processes()); err != nil {
		return err
	}
	//nolint:contextcheck // AwaitReady has its own timeout; ending it with ctx would change what interrupted runs do
	if err := AwaitReady(r.core.Processes(), r.coreTimeout()); err != nil {
		return err
	}
	r.logf("core of %d members is ready", r.opts.Seats)
	if err := r.operator.submitInitialConfig(ctx); err != nil {
		return err
	}
	r.logf("configuration of %d services and %d routes is accepted", r.opts.Services, r.opts.Routes)
	if err := r.core.addRealProxies(r.opts); err != nil {
		return err
	}
	return startAll(r.core.Proxies)
}

// joinMembers makes the hollow members, starts their heartbeats, and waits until each has the configuration and knows
// every worker.
func (r *hollowRun) joinMembers(ctx context.Context) error {
	r.memoryBefore = stableMemory()
	fleet, err := newHollowFleet(r.opts, r.core, r.now)
	if err != nil {
		return err
	}
	r.fleet = fleet
	for _, member := range fleet.members {
		//nolint:contextcheck // a member lives until it is ended, not until ctx is
		if err := fleet.join(member); err != nil {
			return err
		}
	}
	r.tasks.Go(func() { fleet.heartbeatLoop(r.stop) })
	workers := max(int(r.opts.Workers), int(r.opts.Members))
	timeout := r.coreTimeout() + time.Duration(r.opts.Members)*joinTimeoutPerMember
	if err := fleet.awaitJoined(ctx, r.operator.newestRevision, workers, timeout); err != nil {
		return err
	}
	r.logf("%d members have the configuration and know all %d workers", r.opts.Members, workers)
	return nil
}

// startTasks starts changes, restarts, losses and the measurements of latencies. The changes of the initial configuration
// are not measured.
func (r *hollowRun) startTasks() {
	r.operator.forgetSubmitted()
	r.fleet.measuring.Store(true)
	r.tasks.Go(func() { r.operator.changeLoop(r.stop) })
	r.tasks.Go(func() { r.fleet.restartLoop(r.stop) })
	r.tasks.Go(func() { r.fleet.lossLoop(r.stop) })
	r.tasks.Go(func() { r.fleet.measureStaleness(r.stop) })
	r.tasks.Go(func() { measureWakeupDelay(r.stop, r.wakeupDelay) })
}

// measure samples counters for the length of the run, ends the tasks, and fills in the report.
func (r *hollowRun) measure(ctx context.Context, report *HollowReport) error {
	first := takeCounterSnapshot(r.core, r.fleet)
	last, err := r.sampleCounters(ctx, first, report)
	if err != nil {
		return err
	}
	report.Seconds = (last.at - first.at).Seconds()
	r.fleet.measuring.Store(false)
	r.stopTasks()
	r.tasks.Wait()
	r.awaitApplied(ctx)
	report.Roles = costsBetween(r.opts, first, last)
	report.Roles[0].MemoryMB = float64(stableMemory()-r.memoryBefore) / float64(r.opts.Members) / (1 << 20)
	report.Roles[0].HeapMB = report.Roles[0].MemoryMB
	report.fillChanges(r.operator, r.fleet)
	report.WakeupDelay = summarizeLatency(r.wakeupDelay)
	if size := r.core.configSize(); size != nil {
		report.Items = size.items
		report.ItemBytes = size.bytes
	}
	return nil
}

// sampleCounters takes a snapshot of all counters at each interval, adds the interval to the report, and returns the last
// snapshot. The run is over when the snapshots cover its length. Elapsed time would not do, because on a busy machine the
// first snapshot alone may take longer than the run.
func (r *hollowRun) sampleCounters(ctx context.Context, first counterSnapshot, report *HollowReport) (last counterSnapshot, err error) {
	length := time.Duration(r.opts.Length)
	last = first
	lastProgress := r.now()
	for last.at-first.at < length {
		if !sleepContext(ctx, min(length/minIntervals, maxInterval)) {
			return last, ctx.Err()
		}
		next := takeCounterSnapshot(r.core, r.fleet)
		report.Timeline = append(report.Timeline, intervalBetween(r.opts, first.at, last, next))
		last = next
		if r.now()-lastProgress >= progressInterval {
			lastProgress = r.now()
			r.logf("%.0f of %.0f s measured", (r.now() - first.at).Seconds(), length.Seconds())
		}
	}
	return last, nil
}

// awaitApplied waits until every member has applied the last change, for applyTimeout at most.
func (r *hollowRun) awaitApplied(ctx context.Context) {
	began := r.now()
	for r.now()-began < applyTimeout && !r.fleet.allApplied(r.operator.newestAccepted()) {
		if !sleepContext(ctx, joinPoll) {
			return
		}
	}
}

// end ends the tasks, waits for them, and ends the members.
func (r *hollowRun) end() {
	r.stopTasks()
	r.tasks.Wait()
	if r.fleet != nil {
		r.fleet.end()
	}
}

// wakeupInterval is the length of each sleep of measureWakeupDelay.
const wakeupInterval = 10 * time.Millisecond

// measureWakeupDelay records how late this process's timers fire, until stop closes. A machine that is so busy that they
// are late also delays everything else that is measured.
func measureWakeupDelay(stop <-chan struct{}, histogram *hdrhistogram.Histogram) {
	for {
		slept := time.Now()
		select {
		case <-stop:
			return
		case <-time.After(wakeupInterval):
			recordLatency(histogram, time.Since(slept)-wakeupInterval)
		}
	}
}

// sleepContext sleeps for a time. It returns false if ctx ended before that.
func sleepContext(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// Timing of a run.
const (
	minIntervals         = 10                     // 1/minIntervals of the run's length is the longest wait between two snapshots
	maxInterval          = 2 * time.Second        // upper limit of that wait
	joinTimeoutPerMember = 200 * time.Millisecond // time that each member adds to the timeout of joinMembers
	applyTimeout         = 8 * time.Second        // longest wait of awaitApplied
)
