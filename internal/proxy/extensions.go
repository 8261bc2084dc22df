package proxy

import (
	"net"
	"time"

	"meadowhinge/internal/dispatch"
)

// running is what a proxy is given beside its settings: how it is spoken to.
type running struct {
	callerCodec       CallerCodec
	workerCodec       dispatch.WorkerCodec
	heartbeatHandler  HeartbeatHandler
	readinessPaths    []string
	dialWorker        func(address string) (net.Conn, error) // a worker
	foldEvent         func(MeshState, Event) MeshState
	workerIDHeartbeat time.Duration // workers have ids of their own and describe themselves this often, 0 for none
}

// Option changes how a proxy is spoken to; without any it is our own interface.
type Option func(*running)

// WithCallerCodec lets callers be understood and answered in another way.
func WithCallerCodec(codec CallerCodec) Option {
	return func(target *running) { target.callerCodec = codec }
}

// WithWorkerCodec lets workers be called in another way.
func WithWorkerCodec(codec dispatch.WorkerCodec) Option {
	return func(target *running) { target.workerCodec = codec }
}

// WithHeartbeatHandler lets workers describe themselves in another way.
func WithHeartbeatHandler(handler HeartbeatHandler) Option {
	return func(target *running) { target.heartbeatHandler = handler }
}

// WithWorkerIDs is for workers that have ids of their own and describe themselves so often. They
// are known by them before and after a restart of this proxy, and no connection is kept to
// each only to learn of its end.
func WithWorkerIDs(heartbeatInterval time.Duration) Option {
	return func(target *running) { target.workerIDHeartbeat = heartbeatInterval }
}

// discoveryGraceHeartbeats is for how many beats a proxy that has just started may lack workers.
const discoveryGraceHeartbeats = 3

// WithReadinessPath lets readiness be asked for at another path of the probe listener too.
func WithReadinessPath(path string) Option {
	return func(target *running) { target.readinessPaths = append(target.readinessPaths, path) }
}

func newExtensions(extensionOptions []Option) running {
	result := running{callerCodec: nativeCallerCodec{}, workerCodec: dispatch.NativeCodec{}, heartbeatHandler: nativeHeartbeatHandler{}, foldEvent: Fold,
		dialWorker: func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }}
	for _, apply := range extensionOptions {
		apply(&result)
	}
	return result
}
