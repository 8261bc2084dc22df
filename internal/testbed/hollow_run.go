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

// progressInterval is between two reports of how far a run is.
const progressInterval = 10 * time.Second

// hollowRun is one run of hollow members: its core, its members, and the tasks that act on them.
type hollowRun struct {
	opts     *schema.HollowOptions
	core     *Fleet
	operator *hollowOperator
	fleet    *hollowFleet // nil until the core is configured
	now      func() time.Duration
	out      io.Writer // progress

	memoryBefore int64 // of this process, before its members were made
	wakeupDelay  *hdrhistogram.Histogram

	stop      chan struct{} // ends the tasks
	stopTasks func()        // closes stop, once
	tasks     sync.WaitGroup
}

// RunHollow brings up a real core and hollow members, lets them run, and measures what they cost. It ends
// early, with ctx's error, between two of its steps.
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

// newHollowRun lays out the core; nothing runs yet.
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

// logf reports progress.
func (r *hollowRun) logf(format string, values ...any) {
	printf(r.out, "%6.1f s  "+format+"\n", append([]any{r.now().Seconds()}, values...)...)
}

// coreTimeout is how long the core may take to become ready: registries grant leases only once a key window is
// over.
func (r *hollowRun) coreTimeout() time.Duration { return readyTimeout + keyWindowLeases*r.core.lease }

// startCore starts the core, submits the first configuration, and starts the real proxies.
func (r *hollowRun) startCore(ctx context.Context) error {
	if err := startAll(r.core.Processes()); err != nil {
		return err
	}
	//nolint:contextcheck // AwaitReady has a timeout of its own; to end it with ctx would change interrupted runs
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

// joinMembers makes the hollow members and waits until each has the configuration and knows every worker.
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

// startTasks starts what is measured: changes, restarts, losses, and the observers. Changes of the first
// configuration do not count.
func (r *hollowRun) startTasks() {
	r.operator.forgetSubmitted()
	r.fleet.measuring.Store(true)
	r.tasks.Go(func() { r.operator.changeLoop(r.stop) })
	r.tasks.Go(func() { r.fleet.restartLoop(r.stop) })
	r.tasks.Go(func() { r.fleet.lossLoop(r.stop) })
	r.tasks.Go(func() { r.fleet.measureStaleness(r.stop) })
	r.tasks.Go(func() { measureWakeupDelay(r.stop, r.wakeupDelay) })
}

// measure takes counters for the length of the run, ends the tasks, and fills in the report.
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
	if state := r.core.configSize(); state != nil {
		report.Items = state.items
		report.ItemBytes = state.bytes
	}
	return nil
}

// sampleCounters takes a snapshot of all counters at each interval and returns the last. The times of the
// snapshots decide how long that goes on: on a busy machine the first alone may take longer than the run.
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

// awaitApplied gives the last changes time to be applied by every member.
func (r *hollowRun) awaitApplied(ctx context.Context) {
	began := r.now()
	for r.now()-began < applyTimeout && !r.fleet.allApplied(r.operator.newestAccepted()) {
		if !sleepContext(ctx, joinPoll) {
			return
		}
	}
}

// end ends the tasks, then the members.
func (r *hollowRun) end() {
	r.stopTasks()
	r.tasks.Wait()
	if r.fleet != nil {
		r.fleet.end()
	}
}

// wakeupInterval is for how long measureWakeupDelay sleeps each time.
const wakeupInterval = 10 * time.Millisecond

// measureWakeupDelay records how late this process is woken. A machine too busy for that delays all else that
// is measured too.
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

// sleepContext waits, and returns false if ctx ended the wait.
func sleepContext(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// Bounds of a run.
const (
	minIntervals         = 10 // snapshots of counters in a run
	maxInterval          = 2 * time.Second
	joinTimeoutPerMember = 200 * time.Millisecond
	applyTimeout         = 8 * time.Second
)
