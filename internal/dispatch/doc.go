// Package dispatch forwards calls to workers and runs them there.
//
// A worker is one instance of a service. It is local to the proxy that it registers with, and only that proxy
// connects to it. Each call passes through two proxies, which may be the same process:
//   - The caller's proxy has a [Forwarder]. It plans the call (package plan) and sends it to the planned endpoints
//     one after the other. After each attempt it decides whether another one is safe and within the [RetryBudget].
//   - The worker's proxy has a [Runner]. It checks the forward request, queues it in the worker's [WorkerQueue], and
//     sends it to the worker over a pooled connection.
//
// Every attempt ends in one of three outcomes. Keeping them apart is the package's main invariant:
//   - answered: the worker answered, with any status;
//   - not executed: it is proved that no worker ran the request, so it may be sent again;
//   - unknown: a worker may have run the request, so only an idempotent request may be sent again.
//
// All state is held in memory by one process:
//   - retry budgets by service ([RetryBudget]);
//   - the health and load of workers ([OutlierDetector]);
//   - canary grants ([CanaryGuard]);
//   - idempotency keys and their results ([IdempotencyCache]);
//   - the registrations of local workers ([Workers]);
//   - counters ([CallCounter], [RunCounter], [Disconnects]).
//
// Package proxy constructs these values, and package simulator does so for its simulated proxies.
//
// All exported types are safe for concurrent use unless their comment says otherwise. Each guards its own
// state with its own lock or with atomics, and no lock is held while a request is sent or waited for.
//
// Times are durations on the process clock, which begins at a moment that is fixed for the process. They are passed in,
// or read through a Now function, so that the simulator can supply its own clock. Timers and connection deadlines use
// package time.
package dispatch
