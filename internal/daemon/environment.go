package daemon

import (
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"meadowhinge/internal/flightrecorder"
)

// Environment is what Run provides to a running program.
type Environment struct {
	Log      logr.Logger              // logs to Recorder
	Recorder *flightrecorder.Recorder // keeps the last log lines, which /journal shows
	Draining *atomic.Bool             // set by the program when it begins to shut down; readiness probes then fail

	probeServer    *fasthttp.Server      // nil before ServeProbes
	statusPages    map[string]func() any // functions that return a page's content, by path; nil until a page is added
	readinessPaths []string              // paths of the readiness probe besides readyPath
	settings       *settingsWatcher      // nil if the program was not started by Run
}

// newEnvironment returns an environment that logs to recorder and has no settings watcher.
func newEnvironment(recorder *flightrecorder.Recorder) *Environment {
	return &Environment{Log: recorder.Logger(), Recorder: recorder, Draining: &atomic.Bool{}}
}

// AddPage adds a status page to the probe listener. A request for the path gets the value that page returns, as JSON;
// page may be called from any goroutine. AddPage must be called before ServeProbes.
func (e *Environment) AddPage(path string, page func() any) {
	if e.statusPages == nil {
		e.statusPages = map[string]func() any{}
	}
	e.statusPages[path] = page
}

// AddReadinessPath adds a path at which the probe listener serves the readiness probe, besides /ready. It must be
// called before ServeProbes.
func (e *Environment) AddReadinessPath(path string) {
	e.readinessPaths = append(e.readinessPaths, path)
}
