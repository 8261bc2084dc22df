package dispatch

import (
	"testing"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// Every second latency bucket doubles the time, and no bucket is skipped.
func TestLatencyBucketsDouble(t *testing.T) {
	last := 0
	for took := 100 * time.Microsecond; took < time.Minute; took += took / 16 {
		bucket := release.LatencyBucket(took)
		if bucket < last || bucket > last+1 {
			t.Errorf("%v is in bucket %d after %d", took, bucket, last)
		}
		if took > time.Millisecond && took < 10*time.Second && release.LatencyBucket(2*took) != bucket+2 {
			t.Errorf("twice %v is %d buckets on", took, release.LatencyBucket(2*took)-bucket)
		}
		last = bucket
	}
}

// A worker that ends breaks all its connections at once, which counts as one failure. One that breaks a connection now and
// then fails each time.
func TestWorkCountsCountAnEndOnce(t *testing.T) {
	counts := NewWorkCounts(2)
	end := func(now time.Duration, response *schema.ForwardResponse) {
		counts.Begin("shop", "2", "buy", 7).End(now, 20*time.Millisecond, response)
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
	counts.Begin("shop", "2", "buy", 7)
	counts.Begin("saves", "1", "load", 0)
	counts.Begin("saves", "1", "beyond the bound", 0).End(0, 0, answer(200))
	reported := counts.Report(func(service string) bool { return service == "shop" })
	if len(reported) != 1 || reported[0].Calls != 5 || reported[0].Failures != 4 || reported[0].InFlight != 1 || reported[0].PlanSequence != 7 {
		t.Fatalf("reported %v", reported)
	}
	if sum := 0; len(reported[0].LatencyHistogram) != release.LatencyBucket(20*time.Millisecond)+1 || reported[0].LatencyHistogram[len(reported[0].LatencyHistogram)-1] != 1 {
		t.Errorf("times %v, %d", reported[0].LatencyHistogram, sum)
	}
}
