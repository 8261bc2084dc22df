// Package release is the rollout controller: from what the proxies counted of an old and a new version
// it decides how many calls the new version gets next, or that it must be rolled back.
//
//   - [Controller] holds what one registry knows of guarded versions and release plans while it has
//     rollout control. [Controller.Reconcile] judges them and returns [Step] values, changes to be written
//     to the configuration. Whatever must outlive the controller is in those changes.
//   - A version is judged by [RollbackGuard], which compares failures in sliding windows, and by
//     [FailureEvidence], a sequential test that reacts within few calls.
//   - [Options.NextRampProgress] and [Options.NextDeadlineProgress] are the two strategies of a plan,
//     as pure functions of the recorded progress and the evidence.
//   - [PlanRollout] turns an operator's request into the step that states a plan.
//
// The package does no I/O and reads no clock. The registry that has rollout control gathers counts,
// calls Reconcile and writes the steps; the simulator drives the same code. Nothing here is safe for
// concurrent use: a controller belongs to one goroutine.
//
// A guarded version is one that the version flag of a service may pick besides the fallback
// (config.Snapshot.GuardedVersions). A canary grant tells proxies whether they may use it.
//
// Units: a percentage runs from 0 to 100, a flag's weight from 0 to 100000 (flag.TotalWeight), a rate
// is a fraction from 0 to 1, and Elapsed in a progress is in nanoseconds.
package release
