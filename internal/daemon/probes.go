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
	probeConcurrency = 256 // connections
	probeReadTimeout = 5 * time.Second
	probeIdleTimeout = time.Minute
)

// readyPath is the path of the readiness probe, besides those of AddReadinessPath.
const readyPath = "/ready"

// Readiness is a program's response to a readiness probe.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"` // why it is not ready
}

// Process is what a process knows of its own use of resources, as the page /process shows it.
type Process struct {
	Goroutines int    `json:"goroutines"`
	HeapBytes  uint64 `json:"heapBytes"`
}

// ServeProbes begins to serve /live, /ready, /process, /journal and the program's own pages, until the process
// ends. ready may be called from any goroutine. The error is InvalidOptions: the address cannot be listened at.
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
	go func() { _ = e.probeServer.Serve(listener) }() // ends only with the process
	return nil
}

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

func currentProcess() Process {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return Process{Goroutines: runtime.NumGoroutine(), HeapBytes: memory.HeapAlloc}
}
