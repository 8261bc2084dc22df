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

	"meadowhinge/internal/defect"
	"meadowhinge/internal/options"
	"meadowhinge/internal/ring"
)

// collectAt is how much the heap may grow, in percent, before it is collected.
const collectAt = 100

// Frame is what a running program gets from its surroundings.
type Frame struct {
	Log      logr.Logger
	Ring     *ring.Ring
	Draining *atomic.Bool
	probe    *fasthttp.Server
	pages    map[string]func() any
	readyAt  []string
	settings *settings // nil for a program that was not started by Run
}

// Soundness is what a program says when it is probed for readiness.
type Soundness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// Run reads settings into target, then runs body until SIGTERM or failure; it returns the exit code.
func Run(program string, source Source, target proto.Message, ringOf func() (folder string, lines int64), body func(ctx context.Context, frame *Frame) error) int {
	// Word that settings have changed is not word to end.
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	read, err := source.read(program, target, os.Stdout)
	if err != nil {
		return options.Exit(program, err, os.Stderr)
	}
	folder, lines := ringOf()
	kept := ring.New(folder, program, int(lines))
	frame := &Frame{Log: kept.Logger(), Ring: kept, Draining: &atomic.Bool{}, pages: map[string]func() any{}}
	frame.settings = newSettings(program, source, target, read, changed, frame.Log)
	// Memory at its peak is paid for on every edge machine, and a collection of so small a heap costs
	// little; an operator who sets GOGC is obeyed.
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectAt)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err = body(ctx, frame)
	if err != nil {
		frame.Log.Error(err, "program failed", "program", program)
		_ = kept.Dump(true)
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		// Bad settings found late still leave with 2, so that a supervisor does not retry them.
		if defect.KindOf(err) == defect.BadOptions {
			return 2
		}
		return 1
	}
	return 0
}

// Page adds a JSON page to the probe listener.
func (f *Frame) Page(path string, page func() any) {
	if f.pages == nil {
		f.pages = map[string]func() any{}
	}
	f.pages[path] = page
}

// ReadyAt lets readiness be asked for at another path too.
func (f *Frame) ReadyAt(path string) { f.readyAt = append(f.readyAt, path) }

// Probe serves /live, /ready, /journal and the program's own pages.
func (f *Frame) Probe(address string, ready func() Soundness) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return defect.Wrap(err, defect.BadOptions, "probe-listen")
	}
	f.probe = &fasthttp.Server{Name: "meadowhinge", Concurrency: 256, ReadTimeout: 5 * time.Second, IdleTimeout: time.Minute,
		NoDefaultServerHeader: true, Handler: func(call *fasthttp.RequestCtx) {
			path := string(call.Path())
			if slices.Contains(f.readyAt, path) {
				path = "/ready"
			}
			switch path {
			case "/live":
				Answer(call, fasthttp.StatusOK, map[string]bool{"live": true})
			case "/ready":
				soundness := ready()
				if f.Draining.Load() {
					soundness = Soundness{Reason: string(defect.Draining)}
				}
				status := fasthttp.StatusOK
				if !soundness.Ready {
					status = fasthttp.StatusServiceUnavailable
				}
				Answer(call, status, soundness)
			case "/process":
				var memory runtime.MemStats
				runtime.ReadMemStats(&memory)
				Answer(call, fasthttp.StatusOK, Process{Goroutines: runtime.NumGoroutine(), HeapBytes: memory.HeapAlloc})
			case "/journal":
				call.SetContentType("text/plain")
				call.SetBodyString(strings.Join(f.Ring.Lines(), "\n"))
			default:
				if page, known := f.pages[path]; known {
					Answer(call, fasthttp.StatusOK, page())
					return
				}
				Refuse(call, defect.New(defect.NoRoute, path), "", nil)
			}
		}}
	go func() { _ = f.probe.Serve(listener) }()
	return nil
}

// Process is what a program takes of its machine, as far as only it knows.
type Process struct {
	Goroutines int    `json:"goroutines"`
	HeapBytes  uint64 `json:"heapBytes"`
}

// Answer writes JSON.
func Answer(call *fasthttp.RequestCtx, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		status, text = fasthttp.StatusInternalServerError, []byte(`{"defect":"INTERNAL"}`)
	}
	call.Response.Reset()
	call.SetStatusCode(status)
	call.SetContentType("application/json")
	call.SetBody(text)
}

// Refusal is the typed JSON error of every outward interface.
type Refusal struct {
	Defect  defect.Kind `json:"defect"`
	Detail  string      `json:"detail,omitempty"`
	Outcome string      `json:"outcome,omitempty"`
	Faults  any         `json:"faults,omitempty"`
}

// Refuse answers with a typed error.
func Refuse(call *fasthttp.RequestCtx, err error, outcome string, faults any) {
	status, refusal := RefusalOf(err, outcome, faults)
	Answer(call, status, refusal)
}

// RefusalOf is a typed error as it is answered, and its status.
func RefusalOf(err error, outcome string, faults any) (int, Refusal) {
	kind := defect.KindOf(err)
	return defect.Status(kind), Refusal{Defect: kind, Detail: err.Error(), Outcome: outcome, Faults: faults}
}
