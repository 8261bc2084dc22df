package release

import (
	"math/bits"
	"time"
)

// LatencyBucketCount is the number of buckets of a latency histogram.
const LatencyBucketCount = 32

// firstBucketBits is the bit length of the longest latency in bucket 0, which is 1023 microseconds.
const firstBucketBits = 10

// LatencyBucket returns the index of a latency's histogram bucket. Bucket 0 ends at about a millisecond. From
// there, two buckets cover each doubling, and the first of the two ends at 1.5 times its start. The last
// bucket has no upper bound.
func LatencyBucket(latency time.Duration) int {
	micros := uint64(max(1, latency.Microseconds()))
	bitLength := bits.Len64(micros)
	if bitLength <= firstBucketBits {
		return 0
	}
	// The second highest bit is set in the upper half of a doubling.
	upperHalf := int(micros >> (bitLength - 2) & 1)
	return min(LatencyBucketCount-1, 2*(bitLength-firstBucketBits)-1+upperHalf)
}

// Parameters of slowBucket.
const (
	slowBucketDistance = 4  // buckets between the median and the first slow bucket: two doublings
	medianMinCalls     = 20 // calls of the old version from which its median is used
)

// slowBucket returns the first bucket in which a call is too slow. A call that is too slow counts as much as a
// failure. The bucket lies slowBucketDistance above the bucket of the baseline's median, or one more. If the baseline
// has too few calls, slowBucket returns LatencyBucketCount, so that no call is too slow.
func slowBucket(baseline CallStats) int {
	calls, cumulative := uint64(0), uint64(0)
	for _, count := range baseline.LatencyBuckets {
		calls += count
	}
	for bucket, count := range baseline.LatencyBuckets {
		if cumulative += count; cumulative*2 < calls || calls < medianMinCalls {
			continue
		}
		// If the median lies in the upper half of its bucket, the bucket at slowBucketDistance starts at less
		// than two doublings of the median. The slow buckets then start one bucket later.
		if twiceCallsAboveMedian := 2*cumulative - calls; twiceCallsAboveMedian < count {
			bucket++
		}
		return bucket + slowBucketDistance
	}
	return LatencyBucketCount
}
