package daemon

import (
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"meadowhinge/internal/flightrecorder"
)

// Environment is what Run provides to a running program.
type Environment struct {
	Log      logr.Logger
	Recorder *flightrecorder.Recorder
	Draining *atomic.Bool // set by the program when it begins to shut down: it is no longer ready

	probeServer    *fasthttp.Server
	statusPages    map[string]func() any // by path; nil until the first
	readinessPaths []string              // besides /ready
	settings       *settingsWatcher      // nil for a program that was not started by Run
}

func newEnvironment(recorder *flightrecorder.Recorder) *Environment {
	return &Environment{Log: recorder.Logger(), Recorder: recorder, Draining: &atomic.Bool{}}
}

// AddPage adds a page to the probe listener: what page returns, as JSON. It must be called before ServeProbes.
func (e *Environment) AddPage(path string, page func() any) {
	if e.statusPages == nil {
		e.statusPages = map[string]func() any{}
	}
	e.statusPages[path] = page
}

// AddReadinessPath serves readiness at another path too. It must be called before ServeProbes.
func (e *Environment) AddReadinessPath(path string) {
	e.readinessPaths = append(e.readinessPaths, path)
}
