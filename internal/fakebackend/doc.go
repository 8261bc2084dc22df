// Package fakebackend is what the fake backends of the simulator and of the testbed have in common: the reply of a
// fake worker, the bounds by which both judge a run, and the loopback addresses of a run's processes. It owns no
// state besides the reserved addresses.
package fakebackend
