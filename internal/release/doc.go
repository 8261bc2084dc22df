// Package release implements the rollout controller. It compares the call counts that proxies report for an
// old and a new version of a service. From these it decides the new version's next percentage of calls, or
// that the version must be rolled back.
//
//   - [Controller] holds the state of one registry's rollout control: the guarded versions and the release
//     plans. [Controller.Reconcile] evaluates them and returns [Step] values, which are changes to be written
//     to the configuration. State that must survive a change of controller is stored in those changes.
//   - Two detectors evaluate a version. [RollbackGuard] compares failures in sliding windows.
//     [FailureEvidence] is a sequential test that reacts within a few calls.
//   - [Options.NextRampProgress] and [Options.NextDeadlineProgress] implement the two rollout strategies as
//     pure functions of the recorded progress and the evidence.
//   - [PlanRollout] turns an operator's request into the step that creates a plan.
//
// The package does no I/O and reads no clock. The registry that has rollout control gathers counts, calls
// Reconcile and writes the steps. The simulator drives the same code. Nothing here is safe for concurrent
// use: one goroutine owns a controller.
//
// A guarded version is one that the version flag of a service may select besides the fallback
// (config.Snapshot.GuardedVersions). A canary grant tells proxies whether they may use it.
//
// A release plan uses one of two strategies. A ramp plan raises the percentage in proportion to the time in
// which the new version performed no worse than the old one. A deadline plan keeps a canary for most of the
// plan's duration and normally completes the rollout before the deadline.
//
// Units: a percentage ranges from 0 to 100, a flag's weight from 0 to 100000 (flag.TotalWeight), and a rate
// is a fraction from 0 to 1. Elapsed in a progress is in nanoseconds.
package release
