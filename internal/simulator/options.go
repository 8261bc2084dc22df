package simulator

import (
	"time"
)

// Options say what kind of world it is.
type Options struct {
	Proxies    int
	CallRate   float64 // calls a second of the whole fleet
	OnlyFaults []string
	// SkipFaults leaves out faults by their place in the order drawn, for shrinking.
	SkipFaults map[int]bool
	// HarmlessFaultsOnly draws only faults that may turn nobody away, one at a time.
	HarmlessFaultsOnly bool
	// Empty has no machines to begin with.
	Empty bool
	// NoFaults has no faults at all.
	NoFaults bool
	// ChangeInterval is the mean pause between two changes of operators; 0 for the usual half second.
	ChangeInterval time.Duration
	// FaultyDuration of the faulty part; 0 for the usual.
	FaultyDuration time.Duration
	// ServeStale has proxies that serve in doubt: see serving.go.
	ServeStale bool
	// BoundExposure has the release duty keep a bad version within a share of its plan's time.
	BoundExposure bool
	// MeanServiceTime is how long calls take at workers on average, 0 for a few milliseconds.
	MeanServiceTime time.Duration
	// ErrorRate is the part of its calls that any worker answers with 500.
	ErrorRate float64
	// CallerCancelRate is the part of the calls without a key whose callers leave before they are answered.
	CallerCancelRate float64
	// RetryFloor of the retry budget; 0 for the preset.
	RetryFloor float64
}
