package testbed

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"meadowhinge/schema"
)

// progressEvery is how often a run says how far it is.
const progressEvery = 10 * time.Second

// RunHollow brings a real core and hollow members up, lets them live, and measures.
func RunHollow(ctx context.Context, opts *schema.HollowOptions, out io.Writer) (*HollowReport, error) {
	if faults := ValidateHollow(opts); len(faults) > 0 {
		return nil, faults
	}
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	logf := func(format string, values ...any) {
		fmt.Fprintf(out, "%6.1f s  "+format+"\n", append([]any{now().Seconds()}, values...)...)
	}
	core, err := newHollowCore(opts)
	if err != nil {
		return nil, err
	}
	defer core.Stop()
	for _, process := range core.Processes() {
		if err := process.Start(); err != nil {
			return nil, err
		}
	}
	patience := time.Minute + keyWindowLeases*core.lease
	if err := AwaitReady(core.Processes(), patience); err != nil {
		return nil, err
	}
	logf("core of %d seats is ready", opts.Seats)
	operator := newHollowOperator(opts, core, now)
	if err := operator.submitInitialConfig(ctx); err != nil {
		return nil, err
	}
	logf("setup of %d services and %d routes is founded", opts.Services, opts.Routes)
	if err := core.addRealProxies(opts); err != nil {
		return nil, err
	}
	for _, process := range core.Proxies {
		if err := process.Start(); err != nil {
			return nil, err
		}
	}
	memoryBefore := settledMemory()
	fleet, err := newHollowFleet(opts, core, now)
	if err != nil {
		return nil, err
	}
	defer fleet.end()
	for _, member := range fleet.members {
		if err := fleet.join(member); err != nil {
			return nil, err
		}
	}
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() { fleet.heartbeatLoop(stop) })
	defer tasks.Wait()
	stopped := sync.OnceFunc(func() { close(stop) })
	defer stopped()
	workers := max(int(opts.Workers), int(opts.Members))
	if err := fleet.awaitJoined(ctx, operator.newestRevision, workers, patience+time.Duration(opts.Members)*joinTimeoutPerMember); err != nil {
		return nil, err
	}
	logf("%d members know the setup and all %d workers", opts.Members, workers)
	if !sleepContext(ctx, time.Duration(opts.Settle)) {
		return nil, ctx.Err()
	}

	operator.lock.Lock()
	operator.submitted = nil
	operator.lock.Unlock()
	fleet.measuring.Store(true)
	tasks.Go(func() { operator.changeLoop(stop) })
	tasks.Go(func() { fleet.restartLoop(stop) })
	tasks.Go(func() { fleet.lossLoop(stop) })
	tasks.Go(func() { fleet.measureStaleness(stop) })
	wakeupDelay := newLatencyHistogram()
	tasks.Go(func() { measureWakeupDelay(stop, wakeupDelay) })
	report := &HollowReport{Options: opts, Commit: buildCommit(), Cores: runtime.NumCPU()}
	first := takeCounterSnapshot(core, fleet)
	last, lastProgress := first, now()
	// By what the marks say: on a busy machine the first alone may take longer than the whole run.
	for last.at-first.at < time.Duration(opts.Length) {
		if !sleepContext(ctx, min(time.Duration(opts.Length)/minIntervals, maxInterval)) {
			return nil, ctx.Err()
		}
		next := takeCounterSnapshot(core, fleet)
		report.Timeline = append(report.Timeline, intervalBetween(opts, first.at, last, next))
		last = next
		if now()-lastProgress >= progressEvery {
			lastProgress = now()
			logf("%.0f of %.0f s measured", (now() - first.at).Seconds(), time.Duration(opts.Length).Seconds())
		}
	}
	report.Seconds = (last.at - first.at).Seconds()
	fleet.measuring.Store(false)
	stopped()
	tasks.Wait()
	// What was stated last is given the time to come into use.
	for waited := now(); now()-waited < applyTimeout && !fleet.allApplied(operator.newestAccepted()) && sleepContext(ctx, joinPoll); {
	}
	report.Roles = costsBetween(opts, first, last)
	report.Roles[0].MemoryMB = float64(settledMemory()-memoryBefore) / float64(opts.Members) / (1 << 20)
	report.Roles[0].HeapMB = report.Roles[0].MemoryMB
	report.fillChanges(operator, fleet)
	report.WakeupDelay = summarizeLatency(wakeupDelay)
	if state := core.configSize(); state != nil {
		report.Items, report.ItemBytes = state.items, state.bytes
	}
	return report, nil
}

// wakeupInterval is how often it is looked whether this process runs when it should.
const wakeupInterval = 10 * time.Millisecond

// measureWakeupDelay notes how late this process is woken. What a machine too busy does to it, it does to
// all that is measured.
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

// sleepContext waits, and tells whether it was not cut short.
func sleepContext(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// Ratios and bounds of a run.
const (
	minIntervals         = 10 // stretches in a run, at the least
	maxInterval          = 2 * time.Second
	joinTimeoutPerMember = 200 * time.Millisecond
	applyTimeout         = 8 * time.Second
)
