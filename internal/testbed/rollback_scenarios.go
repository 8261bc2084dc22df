package testbed

import (
	"time"
)

// releaseSteps is the scenario of the release of a healthy version during which core machines, and with them the
// registry that controls the rollout, are killed.
var releaseSteps = []scenarioStep{
	{0.02, "release plan stated", func(r *testRun) string { return r.startRelease(r.serviceAt(0), 50, r.fractionOfLoad(0.5)) }},
	{0.30, "core machine killed", func(r *testRun) string { return r.killCore(0) }},
	{0.45, "core machine back", func(r *testRun) string { return r.startCore(0) }},
	{0.60, "core machine killed", func(r *testRun) string { return r.killCore(1) }},
	{0.70, "core machine back", func(r *testRun) string { return r.startCore(1) }},
}

// rollbackSteps is the scenario of releases that must be rolled back, one for each way in which a version may be
// faulty.
var rollbackSteps = []scenarioStep{
	{0.00, "a good version, to turn bad late", func(r *testRun) string { return r.startRelease(r.serviceAt(3), 60, r.fractionOfLoad(0.2)) }},
	{0.05, "bad from the start", func(r *testRun) string {
		return r.makeVersionFaulty(r.serviceAt(0), &WorkerFault{ReturnsError: true}) + ", " + r.startRelease(r.serviceAt(0), 50, r.fractionOfLoad(0.3))
	}},
	{0.25, "bad on one route only", func(r *testRun) string {
		if len(r.options.Deployment.Services) < 4 {
			return "left out"
		}
		service := r.serviceAt(1)
		for _, route := range r.options.Deployment.Routes {
			if route.Service == service && !route.Internal {
				fault := &WorkerFault{Prefix: route.Prefix, ReturnsError: true}
				return r.makeVersionFaulty(service, fault) + ", " + r.startRelease(service, 50, r.fractionOfLoad(0.3))
			}
		}
		return ""
	}},
	{0.40, "slow", func(r *testRun) string {
		if len(r.options.Deployment.Services) < 4 {
			return "left out"
		}
		fault := &WorkerFault{ExtraDelay: 300 * time.Millisecond}
		return r.makeVersionFaulty(r.serviceAt(2), fault) + ", " + r.startRelease(r.serviceAt(2), 50, r.fractionOfLoad(0.3))
	}},
	{0.70, "bad late, at a high share", func(r *testRun) string { return r.makeVersionFaulty(r.serviceAt(3), &WorkerFault{ReturnsError: true}) }},
}

// rollbackDuringPartitionSteps is the scenario in which a version becomes faulty at the moment when the core is
// partitioned.
var rollbackDuringPartitionSteps = []scenarioStep{
	{0.00, "a good version, to turn bad late", func(r *testRun) string { return r.startRelease(r.serviceAt(0), 60, r.fractionOfLoad(0.2)) }},
	{0.60, "core split 1-1-1", func(r *testRun) string { return r.partitionCore(func(int, int) bool { return true }) }},
	{0.60, "bad late, the core being split", func(r *testRun) string {
		return r.makeVersionFaulty(r.serviceAt(0), &WorkerFault{ReturnsError: true})
	}},
	{0.80, "mended", (*testRun).healPartitions},
}

// rollbackDuringCoreLossSteps is the scenario in which a version becomes faulty at the moment when the whole core is
// killed.
var rollbackDuringCoreLossSteps = []scenarioStep{
	{0.00, "a good version, to turn bad late", func(r *testRun) string { return r.startRelease(r.serviceAt(0), 60, r.fractionOfLoad(0.2)) }},
	{0.55, "the whole core killed", func(r *testRun) string { r.killCore(0); r.killCore(1); return r.killCore(2) }},
	{0.55, "bad late, the core being gone", func(r *testRun) string {
		return r.makeVersionFaulty(r.serviceAt(0), &WorkerFault{ReturnsError: true})
	}},
	{0.70, "the whole core back", func(r *testRun) string { return r.startCore(0) + r.startCore(1) + r.startCore(2) }},
}

// rollbackUnderLoadSteps is the scenario of versions that are faulty only under load. One is released by a release
// plan, the other by a manual change of its flag.
var rollbackUnderLoadSteps = []scenarioStep{
	{0.00, "bad under load", func(r *testRun) string {
		fault := &WorkerFault{AboveInFlight: 2, ExtraDelay: 10 * time.Millisecond, ReturnsError: true}
		return r.makeVersionFaulty(r.serviceAt(0), fault) + ", " + r.startRelease(r.serviceAt(0), 60, r.fractionOfLoad(0.3))
	}},
	{0.30, "by hand, bad under load", func(r *testRun) string {
		service := r.serviceAt(1)
		NewOperator("hand", r.fleet, r.history, r.now).SubmitChange(0, r.options.Deployment.FlagText(service, 60000, 1), "")
		return r.makeVersionFaulty(service, &WorkerFault{AboveInFlight: 2, ExtraDelay: 10 * time.Millisecond, ReturnsError: true})
	}},
}
