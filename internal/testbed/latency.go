package testbed

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms.
const (
	minLatencyMicros = 1                                          // smallest value in microseconds
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond) // largest value in microseconds
	latencyDigits    = 3                                          // number of significant decimal digits
)

// newLatencyHistogram returns an empty histogram of latencies in microseconds.
func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
}

// recordLatency records a latency, which is clamped to the range of the histogram.
func recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	_ = histogram.RecordValue(min(max(minLatencyMicros, int64(latency/time.Microsecond)), maxLatencyMicros))
}

// LatencySummary holds the number of values in a latency histogram and their quantiles, in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"` // number of values
	P50   float64 `json:"p50"`   // median
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// summarizeLatency returns the summary of a histogram of microseconds.
func summarizeLatency(from *hdrhistogram.Histogram) LatencySummary {
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return LatencySummary{
		Count: from.TotalCount(),
		P50:   millis(from.ValueAtQuantile(50)),
		P90:   millis(from.ValueAtQuantile(90)),
		P99:   millis(from.ValueAtQuantile(99)),
		Max:   millis(from.Max()),
	}
}
