package dispatch

import (
	"testing"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// Latency buckets follow each other without a gap, and a time twice as long is two buckets higher.
func TestLatencyBucketsDoubleEverySecondBucket(t *testing.T) {
	last := 0
	for took := 100 * time.Microsecond; took < time.Minute; took += took / 16 {
		bucket := release.LatencyBucket(took)
		if bucket < last || bucket > last+1 {
			t.Errorf("LatencyBucket(%v): got %d, want %d or %d", took, bucket, last, last+1)
		}
		if took > time.Millisecond && took < 10*time.Second && release.LatencyBucket(2*took) != bucket+2 {
			t.Errorf("LatencyBucket(%v): got %d, want %d, which is 2 above that of %v", 2*took, release.LatencyBucket(2*took), bucket+2, took)
		}
		last = bucket
	}
}

// A worker that exits breaks all its connections at once, which counts as one failure. Connections that break at
// different times count as one failure each.
func TestRunCounterCountsWorkerExitOnce(t *testing.T) {
	counter := NewRunCounter(2)
	end := func(now time.Duration, response *schema.ForwardResponse) {
		counter.Begin("shop", "2", "buy", 7).End(now, 20*time.Millisecond, response)
	}
	answer := func(status int32) *schema.ForwardResponse {
		return &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: status}
	}
	end(0, answer(200))
	end(0, answer(503))
	end(0, notExecuted(errs.QueueFull, 0))
	for range 9 {
		end(time.Second, outcomeUnknown(errs.WorkerConnectionLost))
	}
	end(2*time.Second, outcomeUnknown(errs.WorkerConnectionLost))
	end(2*time.Second, outcomeUnknown(errs.DeadlineExceeded))
	counter.Begin("shop", "2", "buy", 7)
	counter.Begin("saves", "1", "load", 0)
	// The third version and route exceeds the bound of two, and is not counted.
	counter.Begin("saves", "1", "beyond the bound", 0).End(0, 0, answer(200))
	reported := counter.Report(func(service string) bool { return service == "shop" })
	if len(reported) != 1 || reported[0].Calls != 5 || reported[0].Failures != 4 || reported[0].InFlight != 1 || reported[0].PlanSequence != 7 {
		t.Fatalf("Report: got %v, want one count with 5 calls, 4 failures, 1 in flight and plan sequence 7", reported)
	}
	if last := release.LatencyBucket(20 * time.Millisecond); len(reported[0].LatencyHistogram) != last+1 || reported[0].LatencyHistogram[len(reported[0].LatencyHistogram)-1] != 1 {
		t.Errorf("Report: got the latency histogram %v, want its last bucket to be %d with 1 call", reported[0].LatencyHistogram, last)
	}
}
