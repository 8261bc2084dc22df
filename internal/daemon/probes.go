package daemon

import (
	"net"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/errs"
)

// The limits of the probe listener.
const (
	probeConcurrency = 256             // maximum number of connections
	probeReadTimeout = 5 * time.Second // longest time to receive a request
	probeIdleTimeout = time.Minute     // time for which a connection without a request is kept open
)

// readyPath is the path of the readiness probe. AddReadinessPath adds others.
const readyPath = "/ready"

// Readiness is the response to a readiness probe.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"` // reason for which the program is not ready, empty if it is ready
}

// Process has the resource usage of the process, as the page /process shows it.
type Process struct {
	Goroutines int    `json:"goroutines"` // number of goroutines
	HeapBytes  uint64 `json:"heapBytes"`  // bytes of allocated heap objects
}

// ServeProbes starts to serve /live, /ready, /process, /journal and the program's own pages at an address, and returns.
// They are served until the process ends. ready is called for each readiness probe, from any goroutine. ServeProbes
// fails with errs.InvalidOptions if it cannot listen at the address.
func (e *Environment) ServeProbes(address string, ready func() Readiness) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errs.Wrap(err, errs.InvalidOptions, "probe-listen")
	}
	e.probeServer = &fasthttp.Server{
		Name:                  "meadowhinge",
		Concurrency:           probeConcurrency,
		ReadTimeout:           probeReadTimeout,
		IdleTimeout:           probeIdleTimeout,
		NoDefaultServerHeader: true,
		Handler:               func(call *fasthttp.RequestCtx) { e.serveProbe(call, ready) },
	}
	go func() { _ = e.probeServer.Serve(listener) }() // serves until the process ends
	return nil
}

// serveProbe handles a request to the probe listener.
func (e *Environment) serveProbe(call *fasthttp.RequestCtx, ready func() Readiness) {
	path := string(call.Path())
	if slices.Contains(e.readinessPaths, path) {
		path = readyPath
	}
	switch path {
	case "/live":
		WriteJSON(call, fasthttp.StatusOK, map[string]bool{"live": true})
	case readyPath:
		e.serveReadiness(call, ready)
	case "/process":
		WriteJSON(call, fasthttp.StatusOK, currentProcess())
	case "/journal":
		call.SetContentType("text/plain")
		call.SetBodyString(strings.Join(e.Recorder.Lines(), "\n"))
	default:
		if page, found := e.statusPages[path]; found {
			WriteJSON(call, fasthttp.StatusOK, page())
			return
		}
		WriteError(call, errs.New(errs.RouteNotFound, path), "", nil)
	}
}

// serveReadiness handles a readiness probe. A draining program is not ready, whatever ready returns.
func (e *Environment) serveReadiness(call *fasthttp.RequestCtx, ready func() Readiness) {
	readiness := ready()
	if e.Draining.Load() {
		readiness = Readiness{Reason: string(errs.ProxyDraining)}
	}
	status := fasthttp.StatusOK
	if !readiness.Ready {
		status = fasthttp.StatusServiceUnavailable
	}
	WriteJSON(call, status, readiness)
}

// currentProcess returns the resource usage of this process.
func currentProcess() Process {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return Process{Goroutines: runtime.NumGoroutine(), HeapBytes: memory.HeapAlloc}
}
