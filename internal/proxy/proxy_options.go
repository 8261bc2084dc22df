package proxy

import (
	"time"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/options"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// staleModeServe is the value of the option "doubt" with which a proxy serves the configuration that it has, however
// stale.
const staleModeServe = "serve"

// servesStale reports whether this proxy serves stale configuration without a lease. The result does not change while
// the proxy runs.
func (s *Server) servesStale() bool { return s.initialOptions.Doubt == staleModeServe }

// currentOptions returns the options in effect. The caller must not modify them.
func (s *Server) currentOptions() *schema.ProxyOptions { return s.liveOptions.Load() }

// applyOptions puts changed options into effect. Calls in flight keep the old ones. Options that are read from
// initialOptions change only with a restart.
func (s *Server) applyOptions(opts *schema.ProxyOptions) {
	s.liveOptions.Store(opts)
	s.outliers.SetLimits(opts.FailuresMost, time.Duration(opts.Ejection))
	s.canaries.SetOptions(canaryOptions(opts))
	s.forwarder.SetLimits(forwarderLimits(opts))
	s.lock.Lock()
	defer s.lock.Unlock()
	s.registrySelector.SetSeeds(options.SplitList(opts.Seeds))
}

// canaryOptions returns the options of the canary guard.
func canaryOptions(opts *schema.ProxyOptions) dispatch.CanaryOptions {
	return dispatch.CanaryOptions{
		GrantDuration: time.Duration(opts.Trial),
		MaxFailures:   opts.TrialFailures,
		FailureRatio:  opts.TrialTimes,
		FailureExcess: opts.TrialExcess,
		SlowFactor:    opts.TrialSlow,
	}
}

// forwarderLimits returns the options by which calls are planned and retried.
func forwarderLimits(opts *schema.ProxyOptions) dispatch.Limits {
	return dispatch.Limits{
		PlanOptions: plan.Options{
			Zone:        opts.Area,
			MaxDeadline: time.Duration(opts.HorizonMost),
			Warmup:      time.Duration(opts.Warmup),
		},
		RetryRatio:           opts.ExtraRatio,
		RetryFloor:           float64(opts.ExtraFloor),
		RetryWindow:          time.Duration(opts.ExtraWindow),
		FailureRetryFraction: opts.ExtraFailed,
	}
}
