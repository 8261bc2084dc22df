package proxy

import (
	"net"
	"time"

	"meadowhinge/internal/dispatch"
)

// extensions holds the parts of a proxy that the program may replace in code: the wire formats of callers and workers,
// and hooks for simulated workers.
type extensions struct {
	callerCodec       CallerCodec
	workerCodec       dispatch.WorkerCodec
	heartbeatHandler  HeartbeatHandler
	readinessPaths    []string                               // additional paths of the readiness probe
	dialWorker        func(address string) (net.Conn, error) // opens a connection to a local worker
	foldEvent         func(MeshState, Event) MeshState       // computes the next mesh state; Fold by default
	workerIDHeartbeat time.Duration                          // heartbeat interval if workers supply IDs; otherwise 0
}

// Option replaces a part of a proxy. Without options a proxy uses the mesh's native wire formats.
type Option func(*extensions)

// WithCallerCodec sets the wire format between callers and the proxy.
func WithCallerCodec(codec CallerCodec) Option {
	return func(target *extensions) { target.callerCodec = codec }
}

// WithWorkerCodec sets the wire format between the proxy and its workers.
func WithWorkerCodec(codec dispatch.WorkerCodec) Option {
	return func(target *extensions) { target.workerCodec = codec }
}

// WithHeartbeatHandler sets the handler of the requests with which workers register and send heartbeats.
func WithHeartbeatHandler(handler HeartbeatHandler) Option {
	return func(target *extensions) { target.heartbeatHandler = handler }
}

// WithWorkerIDs declares that workers supply their own IDs and send heartbeats at the given interval. The IDs identify
// workers across restarts of this proxy. The proxy then keeps no connection to each worker merely to detect its end.
func WithWorkerIDs(heartbeatInterval time.Duration) Option {
	return func(target *extensions) { target.workerIDHeartbeat = heartbeatInterval }
}

// discoveryGraceHeartbeats is the number of heartbeat intervals that a newly started proxy waits for workers that supply
// their IDs before it treats unregistered ones as absent.
const discoveryGraceHeartbeats = 3

// workerDialTimeout is the timeout for dialing a worker, which runs on the same machine.
const workerDialTimeout = time.Second

// WithReadinessPath adds a path at which the probe listener serves the readiness probe.
func WithReadinessPath(path string) Option {
	return func(target *extensions) { target.readinessPaths = append(target.readinessPaths, path) }
}

// newExtensions returns the native wire formats with the given options applied.
func newExtensions(extensionOptions []Option) extensions {
	result := extensions{
		callerCodec:      nativeCallerCodec{},
		workerCodec:      dispatch.NativeCodec{},
		heartbeatHandler: nativeHeartbeatHandler{},
		foldEvent:        Fold,
		dialWorker: func(address string) (net.Conn, error) {
			return net.DialTimeout("tcp", address, workerDialTimeout)
		},
	}
	for _, apply := range extensionOptions {
		apply(&result)
	}
	return result
}
