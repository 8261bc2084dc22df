package testbed

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms, in microseconds, and their significant digits.
const (
	minLatencyMicros = 1
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	latencyDigits    = 3
)

// newLatencyHistogram makes a histogram of microseconds.
func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
}

// recordLatency records a time, moved to the bounds if it is beyond them.
func recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	_ = histogram.RecordValue(min(max(minLatencyMicros, int64(latency/time.Microsecond)), maxLatencyMicros))
}

// LatencySummary has quantiles of a histogram, in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// summarizeLatency takes the quantiles of a histogram of microseconds.
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
