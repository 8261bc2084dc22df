package testbed

import (
	"time"
)

// releaseSteps brings a good version in while the registry that steers is lost.
var releaseSteps = []scenarioStep{
	{0.02, "release plan stated", func(c *testRun) string { return c.startRelease(c.serviceAt(0), 50, c.fractionOfLoad(0.5)) }},
	{0.30, "core machine killed", func(c *testRun) string { return c.killCore(0) }},
	{0.45, "core machine back", func(c *testRun) string { return c.startCore(0) }},
	{0.60, "core machine killed", func(c *testRun) string { return c.killCore(1) }},
	{0.70, "core machine back", func(c *testRun) string { return c.startCore(1) }},
}

// rollbackSteps lets new versions be bad in each way.
var rollbackSteps = []scenarioStep{
	{0.00, "a good version, to turn bad late", func(c *testRun) string { return c.startRelease(c.serviceAt(3), 60, c.fractionOfLoad(0.2)) }},
	{0.05, "bad from the start", func(c *testRun) string {
		return c.makeVersionFaulty(c.serviceAt(0), &WorkerFault{ReturnsError: true}) + ", " + c.startRelease(c.serviceAt(0), 50, c.fractionOfLoad(0.3))
	}},
	{0.25, "bad on one route only", func(c *testRun) string {
		if len(c.options.Deployment.Services) < 4 {
			return "left out"
		}
		service := c.serviceAt(1)
		for _, route := range c.options.Deployment.Routes {
			if route.Service == service && !route.Internal {
				return c.makeVersionFaulty(service, &WorkerFault{Prefix: route.Prefix, ReturnsError: true}) + ", " + c.startRelease(service, 50, c.fractionOfLoad(0.3))
			}
		}
		return ""
	}},
	{0.40, "slow", func(c *testRun) string {
		if len(c.options.Deployment.Services) < 4 {
			return "left out"
		}
		return c.makeVersionFaulty(c.serviceAt(2), &WorkerFault{ExtraDelay: 300 * time.Millisecond}) + ", " + c.startRelease(c.serviceAt(2), 50, c.fractionOfLoad(0.3))
	}},
	{0.70, "bad late, at a high share", func(c *testRun) string { return c.makeVersionFaulty(c.serviceAt(3), &WorkerFault{ReturnsError: true}) }},
}

// rollbackDuringPartitionSteps lets a version turn bad just as the core falls apart.
var rollbackDuringPartitionSteps = []scenarioStep{
	{0.00, "a good version, to turn bad late", func(c *testRun) string { return c.startRelease(c.serviceAt(0), 60, c.fractionOfLoad(0.2)) }},
	{0.60, "core split 1-1-1", func(c *testRun) string { return c.partitionCore(func(int, int) bool { return true }) }},
	{0.60, "bad late, the core being split", func(c *testRun) string { return c.makeVersionFaulty(c.serviceAt(0), &WorkerFault{ReturnsError: true}) }},
	{0.80, "mended", (*testRun).healPartitions},
}

// rollbackDuringCoreLossSteps lets a version turn bad just as the whole core dies.
var rollbackDuringCoreLossSteps = []scenarioStep{
	{0.00, "a good version, to turn bad late", func(c *testRun) string { return c.startRelease(c.serviceAt(0), 60, c.fractionOfLoad(0.2)) }},
	{0.55, "the whole core killed", func(c *testRun) string { c.killCore(0); c.killCore(1); return c.killCore(2) }},
	{0.55, "bad late, the core being gone", func(c *testRun) string { return c.makeVersionFaulty(c.serviceAt(0), &WorkerFault{ReturnsError: true}) }},
	{0.70, "the whole core back", func(c *testRun) string { return c.startCore(0) + c.startCore(1) + c.startCore(2) }},
}

// rollbackUnderLoadSteps brings in versions that are bad only under load, one by a plan, one by hand.
var rollbackUnderLoadSteps = []scenarioStep{
	{0.00, "bad under load", func(c *testRun) string {
		return c.makeVersionFaulty(c.serviceAt(0), &WorkerFault{AboveInFlight: 2, ExtraDelay: 10 * time.Millisecond, ReturnsError: true}) + ", " + c.startRelease(c.serviceAt(0), 60, c.fractionOfLoad(0.3))
	}},
	{0.30, "by hand, bad under load", func(c *testRun) string {
		service := c.serviceAt(1)
		NewOperator("hand", c.fleet, c.history, c.now).SubmitChange(0, c.options.Deployment.FlagText(service, 60000, 1), "")
		return c.makeVersionFaulty(service, &WorkerFault{AboveInFlight: 2, ExtraDelay: 10 * time.Millisecond, ReturnsError: true})
	}},
}
