package proxy

import (
	"net"
	"time"

	"meadowhinge/internal/dispatch"
)

// extensions are what a program adds to a proxy beside its options: the dialects of callers and workers.
type extensions struct {
	callerCodec       CallerCodec
	workerCodec       dispatch.WorkerCodec
	heartbeatHandler  HeartbeatHandler
	readinessPaths    []string
	dialWorker        func(address string) (net.Conn, error)
	foldEvent         func(MeshState, Event) MeshState
	workerIDHeartbeat time.Duration // heartbeat interval of workers with IDs of their own; 0 for workers without
}

// Option changes a dialect of a proxy; without any it is the mesh's own.
type Option func(*extensions)

// WithCallerCodec sets the dialect between callers and the proxy.
func WithCallerCodec(codec CallerCodec) Option {
	return func(target *extensions) { target.callerCodec = codec }
}

// WithWorkerCodec sets the dialect between the proxy and its workers.
func WithWorkerCodec(codec dispatch.WorkerCodec) Option {
	return func(target *extensions) { target.workerCodec = codec }
}

// WithHeartbeatHandler sets the way in which workers describe themselves.
func WithHeartbeatHandler(handler HeartbeatHandler) Option {
	return func(target *extensions) { target.heartbeatHandler = handler }
}

// WithWorkerIDs is for workers that have IDs of their own and send heartbeats at the given interval. The IDs identify
// them before and after a restart of this proxy, and no connection to each is kept only to detect its end.
func WithWorkerIDs(heartbeatInterval time.Duration) Option {
	return func(target *extensions) { target.workerIDHeartbeat = heartbeatInterval }
}

// discoveryGraceHeartbeats is the time, in heartbeat intervals, that a proxy which has just started waits for
// workers with IDs of their own before it takes their absence for real.
const discoveryGraceHeartbeats = 3

// workerDialTimeout bounds the dialing of a worker, which is on the same machine.
const workerDialTimeout = time.Second

// WithReadinessPath answers readiness at another path of the probe listener too.
func WithReadinessPath(path string) Option {
	return func(target *extensions) { target.readinessPaths = append(target.readinessPaths, path) }
}

// newExtensions applies options to the mesh's own dialects.
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
