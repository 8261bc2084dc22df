// Package dispatch forwards a planned call to a worker and runs it there.
//
// Two sides meet in it. On the side of the caller, the proxy that took a call has a [Forwarder]: it makes a
// plan (package plan), sends the call to the planned endpoints one after the other, and decides after each
// attempt whether another one is safe and within the [RetryBudget]. On the side of the worker, the proxy beside
// it has a [Runner]: it checks a forward request, queues it in the worker's [WorkerQueue], and sends it to the
// worker over a pooled connection.
//
// Every attempt ends in one of three outcomes, and the distinction is the package's main invariant:
//   - answered: the worker answered, with whatever status;
//   - not executed: it is proved that no worker ran the request, so it may be sent again;
//   - unknown: a worker may have run the request, so only an idempotent request may be sent again.
//
// State kept here is in memory only and belongs to one process: retry budgets by service, what is known of
// workers ([OutlierDetector]), canary grants ([CanaryGuard]), idempotency keys and their results
// ([IdempotencyCache]), the registrations of local workers ([Workers]), and counters ([CallCounter], [WorkCounts],
// [Disconnects]). Package proxy constructs all of it, and package simulator does so for its simulated proxies.
//
// All exported types are safe for concurrent use unless their comment says otherwise. Each guards its own
// state with its own lock or with atomics, and no lock is held while a request is sent or waited for. Time is
// passed in or read through a Now function on the clock of the process, so that the simulator can drive it.
package dispatch
