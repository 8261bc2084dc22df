package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"meadowhinge/internal/errs"
)

// Process is one of the mesh's own processes. It may be started and ended many times; a restart is a new
// incarnation with the same settings file and data folder.
type Process struct {
	Name         string
	program      string
	args         []string
	probeAddress string // IP:port of its status pages
	logFile      string // its output, of all incarnations

	settings     map[string]string
	settingsFile string

	lock   sync.Mutex    // guards cmd and exited
	cmd    *exec.Cmd     // of the last incarnation; nil before the first
	exited chan struct{} // closed once that has ended
}

// Start starts the process, unless it runs already.
func (p *Process) Start() error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.running() {
		return nil
	}
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return errs.Wrap(err, errs.DiskFailed, p.logFile)
	}
	defer func() { _ = out.Close() }() // the process has a descriptor of its own
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errs.Wrap(err, errs.Internal, p.Name)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	p.cmd, p.exited = cmd, exited
	return nil
}

// running tells whether the process runs; the caller holds the lock.
func (p *Process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// pid is the process's number, 0 before it was started.
func (p *Process) pid() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Signal sends a signal to the process, if it runs.
func (p *Process) Signal(signal syscall.Signal) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.running() {
		_ = p.cmd.Process.Signal(signal)
	}
}

// Freeze stops the process with SIGSTOP, as a machine that hangs.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.awaitExit(5 * time.Second)
}

// Stop ends the process with SIGTERM, and kills it after the timeout. It returns whether the process exited with
// 0 in time.
func (p *Process) Stop(timeout time.Duration) (clean bool) {
	p.Signal(syscall.SIGTERM)
	if p.awaitExit(timeout) {
		p.lock.Lock()
		defer p.lock.Unlock()
		return p.cmd != nil && p.cmd.ProcessState.ExitCode() == 0
	}
	p.Kill()
	return false
}

// awaitExit waits for the end of the process; false if that takes longer than the timeout.
func (p *Process) awaitExit(timeout time.Duration) bool {
	p.lock.Lock()
	exited := p.exited
	p.lock.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// writeSettings applies changes to the settings and writes the settings file. The process reads it at its start
// and at SIGHUP.
func (p *Process) writeSettings(changes map[string]string) error {
	var text strings.Builder
	for key, value := range changes {
		p.settings[key] = value
	}
	for key, value := range p.settings {
		fmt.Fprintf(&text, "%s %s\n", key, value)
	}
	return errs.Wrap(os.WriteFile(p.settingsFile, []byte(text.String()), 0o640), errs.DiskFailed, p.Name)
}

// WipeData removes the process's data folder, as of a machine that comes back without its disk.
func (p *Process) WipeData() error {
	folder := filepath.Join(filepath.Dir(p.logFile), "data")
	return errs.Wrap(os.RemoveAll(folder), errs.DiskFailed, folder)
}

// probeClient reads pages of processes. Without keep-alives no connection outlasts a process that is killed.
var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Ready tells whether the process reports that it is ready.
func (p *Process) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.probeAddress+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := probeClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }() // the response is only read
	_, _ = io.Copy(io.Discard, response.Body)    // only the status counts
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until every process reports that it is ready. The timeout is for all together.
func AwaitReady(processes []*Process, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, process := range processes {
		for !process.Ready() {
			if time.Now().After(deadline) {
				return errs.New(errs.Internal, process.Name+" is not ready in time; see "+process.logFile)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// awaitWorkerDiscovery waits until every proxy knows so many workers. The timeout is for all together.
func awaitWorkerDiscovery(proxies []*Process, workers int, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, process := range proxies {
		for {
			var status struct {
				Known int `json:"knownWorkers"`
			}
			_ = process.getPage("/status", &status) // repeated until the deadline
			if status.Known >= workers {
				break
			}
			if time.Now().After(deadline) {
				return errs.New(errs.Internal, fmt.Sprintf("%s knows %d workers of %d", process.Name, status.Known, workers))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// getPage reads one of the process's own pages, which are JSON.
func (p *Process) getPage(path string, target any) error {
	response, err := probeClient.Get("http://" + p.probeAddress + path)
	if err != nil {
		return errs.Wrap(err, errs.PeerConnectionLost, p.Name+path)
	}
	defer func() { _ = response.Body.Close() }() // the response is only read
	if response.StatusCode != http.StatusOK {
		return errs.New(errs.MalformedRequest, fmt.Sprintf("%s%s: status %d", p.Name, path, response.StatusCode))
	}
	return errs.Wrap(json.NewDecoder(response.Body).Decode(target), errs.MalformedRequest, p.Name+path)
}
