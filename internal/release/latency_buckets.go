package release

import (
	"math/bits"
	"time"
)

// LatencyBucketCount is the number of buckets of a latency histogram.
const LatencyBucketCount = 32

// firstBucketBits is the length in bits of the longest latency, in microseconds, in the first bucket:
// 1023 microseconds.
const firstBucketBits = 10

// LatencyBucket is the histogram bucket of a latency. Bucket 0 ends at about a millisecond; from there,
// two buckets cover each doubling, the first one up to 1.5 times its start. The last bucket is open.
func LatencyBucket(latency time.Duration) int {
	micros := uint64(max(1, latency.Microseconds()))
	bitLength := bits.Len64(micros)
	if bitLength <= firstBucketBits {
		return 0
	}
	// The second highest bit tells the upper half of a doubling from the lower one.
	upperHalf := int(micros >> (bitLength - 2) & 1)
	return min(LatencyBucketCount-1, 2*(bitLength-firstBucketBits)-1+upperHalf)
}

// Bounds of slowBucket.
const (
	slowBucketDistance = 4  // buckets beyond the median's: two doublings
	medianMinCalls     = 20 // calls of the old version from which its median is known
)

// slowBucket is the first bucket in which a call counts as too slow, which weighs as much as a failure:
// slowBucketDistance beyond the median of the baseline. It is LatencyBucketCount, so that no call is
// too slow, if the baseline has too few calls.
func slowBucket(baseline CallStats) int {
	calls, cumulative := uint64(0), uint64(0)
	for _, count := range baseline.LatencyBuckets {
		calls += count
	}
	for bucket, count := range baseline.LatencyBuckets {
		if cumulative += count; cumulative*2 < calls || calls < medianMinCalls {
			continue
		}
		// With the median in the upper half of its bucket, the buckets from slowBucketDistance on start
		// at less than two doublings of it, so they start one bucket later.
		if twiceCallsAboveMedian := 2*cumulative - calls; twiceCallsAboveMedian < count {
			bucket++
		}
		return bucket + slowBucketDistance
	}
	return LatencyBucketCount
}
