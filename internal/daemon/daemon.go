// Package daemon is what our long-running programs share: signals, probes, exit codes.
package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/flightrecorder"
	"meadowhinge/internal/options"
)

// defaultGCPercent is how much the heap may grow, in percent, before it is collected.
const defaultGCPercent = 100

// Environment is what a running program gets from its surroundings.
type Environment struct {
	Log            logr.Logger
	Recorder       *flightrecorder.Recorder
	Draining       *atomic.Bool
	probeServer    *fasthttp.Server
	statusPages    map[string]func() any
	readinessPaths []string
	settings       *settings // nil for a program that was not started by Run
}

// Readiness is what a program says when it is probed for readiness.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// Run reads settings into target, then runs body until SIGTERM or failure; it returns the exit code.
func Run(program string, source Source, target proto.Message, recorderOptions func() (directory string, lines int64), body func(ctx context.Context, environment *Environment) error) int {
	// Word that settings have changed is not word to end.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	loaded, err := source.load(program, target, os.Stdout)
	if err != nil {
		return options.ExitCode(program, err, os.Stderr)
	}
	directory, lines := recorderOptions()
	recorder := flightrecorder.New(directory, program, int(lines))
	environment := &Environment{Log: recorder.Logger(), Recorder: recorder, Draining: &atomic.Bool{}, statusPages: map[string]func() any{}}
	environment.settings = newSettings(program, source, target, loaded, reloadSignals, environment.Log)
	// Memory at its peak is paid for on every edge machine, and a collection of so small a heap costs
	// little; an operator who sets GOGC is obeyed.
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(defaultGCPercent)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err = body(ctx, environment)
	if err != nil {
		environment.Log.Error(err, "program failed", "program", program)
		_ = recorder.Dump(true)
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		// Bad settings found late still leave with 2, so that a supervisor does not retry them.
		if errs.CodeOf(err) == errs.InvalidOptions {
			return 2
		}
		return 1
	}
	return 0
}

// AddPage adds a JSON page to the probe listener.
func (e *Environment) AddPage(path string, page func() any) {
	if e.statusPages == nil {
		e.statusPages = map[string]func() any{}
	}
	e.statusPages[path] = page
}

// AddReadinessPath lets readiness be asked for at another path too.
func (e *Environment) AddReadinessPath(path string) {
	e.readinessPaths = append(e.readinessPaths, path)
}

// ServeProbes serves /live, /ready, /journal and the program's own pages.
func (e *Environment) ServeProbes(address string, ready func() Readiness) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errs.Wrap(err, errs.InvalidOptions, "probe-listen")
	}
	e.probeServer = &fasthttp.Server{Name: "meadowhinge", Concurrency: 256, ReadTimeout: 5 * time.Second, IdleTimeout: time.Minute,
		NoDefaultServerHeader: true, Handler: func(call *fasthttp.RequestCtx) {
			path := string(call.Path())
			if slices.Contains(e.readinessPaths, path) {
				path = "/ready"
			}
			switch path {
			case "/live":
				WriteJSON(call, fasthttp.StatusOK, map[string]bool{"live": true})
			case "/ready":
				readiness := ready()
				if e.Draining.Load() {
					readiness = Readiness{Reason: string(errs.ProxyDraining)}
				}
				status := fasthttp.StatusOK
				if !readiness.Ready {
					status = fasthttp.StatusServiceUnavailable
				}
				WriteJSON(call, status, readiness)
			case "/process":
				var memory runtime.MemStats
				runtime.ReadMemStats(&memory)
				WriteJSON(call, fasthttp.StatusOK, Process{Goroutines: runtime.NumGoroutine(), HeapBytes: memory.HeapAlloc})
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
		}}
	go func() { _ = e.probeServer.Serve(listener) }()
	return nil
}

// Process is what a program takes of its machine, as far as only it knows.
type Process struct {
	Goroutines int    `json:"goroutines"`
	HeapBytes  uint64 `json:"heapBytes"`
}

// WriteJSON writes JSON.
func WriteJSON(call *fasthttp.RequestCtx, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		status, encoded = fasthttp.StatusInternalServerError, []byte(`{"defect":"INTERNAL"}`)
	}
	call.Response.Reset()
	call.SetStatusCode(status)
	call.SetContentType("application/json")
	call.SetBody(encoded)
}

// ErrorResponse is the typed JSON error of every outward interface.
type ErrorResponse struct {
	Code    errs.Code `json:"defect"`
	Detail  string    `json:"detail,omitempty"`
	Outcome string    `json:"outcome,omitempty"`
	Faults  any       `json:"faults,omitempty"`
}

// WriteError answers with a typed error.
func WriteError(call *fasthttp.RequestCtx, err error, outcome string, faults any) {
	status, response := NewErrorResponse(err, outcome, faults)
	WriteJSON(call, status, response)
}

// NewErrorResponse is a typed error as it is answered, and its status.
func NewErrorResponse(err error, outcome string, faults any) (int, ErrorResponse) {
	code := errs.CodeOf(err)
	return errs.HTTPStatus(code), ErrorResponse{Code: code, Detail: err.Error(), Outcome: outcome, Faults: faults}
}
