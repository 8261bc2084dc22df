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

// Process is a process of the mesh: a proxy, a registry or a store. It may be started and ended many times. Each start
// makes a new incarnation with the same settings file and data folder. Starting, signaling and ending may be done
// concurrently; changes of its settings may not.
type Process struct {
	Name         string   // program/name, such as proxy/edge-1
	program      string   // path of the executable
	args         []string // command-line arguments
	probeAddress string   // IP:port of the process's status pages
	logFile      string   // path of the file to which the output of all incarnations is appended

	settings     map[string]string // content of settingsFile
	settingsFile string            // path of the file that the process reads at its start and at SIGHUP

	lock   sync.Mutex    // guards cmd and exited
	cmd    *exec.Cmd     // last incarnation; nil before the first start
	exited chan struct{} // closed when the last incarnation has ended; nil before the first start
}

// Start starts the process unless it is running. It fails with errs.DiskFailed if the log file cannot be opened, and
// with errs.Internal if the program cannot be started.
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
	defer func() { _ = out.Close() }() // the process has its own copy of the descriptor
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errs.Wrap(err, errs.Internal, "cannot start "+p.Name)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	p.cmd, p.exited = cmd, exited
	return nil
}

// running reports whether the process is running. The caller must hold the lock.
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

// pid returns the process id of the last incarnation, or 0 before the first start.
func (p *Process) pid() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Signal sends a signal to the process if it is running.
func (p *Process) Signal(signal syscall.Signal) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.running() {
		_ = p.cmd.Process.Signal(signal)
	}
}

// Freeze suspends the process with SIGSTOP, which simulates a machine that hangs.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process with SIGCONT.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Kill kills the process with SIGKILL and waits up to 5 s for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.awaitExit(5 * time.Second)
}

// Stop ends the process with SIGTERM and kills it if it does not exit within the timeout. It reports whether the process
// exited in time and with code 0.
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

// awaitExit waits for the end of the process. It reports whether the process ended within the timeout.
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

// writeSettings applies changes to the settings and writes the settings file. A running process applies them at SIGHUP.
func (p *Process) writeSettings(changes map[string]string) error {
	var text strings.Builder
	for key, value := range changes {
		p.settings[key] = value
	}
	for key, value := range p.settings {
		fmt.Fprintf(&text, "%s %s\n", key, value)
	}
	return errs.Wrap(os.WriteFile(p.settingsFile, []byte(text.String()), 0o640), errs.DiskFailed,
		"cannot write the settings of "+p.Name)
}

// WipeData removes the process's data folder, which simulates a machine that comes back with a new disk. The process
// must not be running.
func (p *Process) WipeData() error {
	folder := filepath.Join(filepath.Dir(p.logFile), "data")
	return errs.Wrap(os.RemoveAll(folder), errs.DiskFailed, folder)
}

// probeClient requests status pages. Keep-alives are off, so that no connection to a process that was killed is reused.
var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Ready reports whether the process's readiness page returns status 200 within a second.
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

// AwaitReady waits until every process is ready. The timeout covers all processes together. It fails with errs.Internal
// and the name of the first process that is not ready in time.
func AwaitReady(processes []*Process, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, process := range processes {
		for !process.Ready() {
			if time.Now().After(deadline) {
				return errs.New(errs.Internal, fmt.Sprintf("%s is not ready after %v; its log is %s", process.Name, timeout, process.logFile))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// awaitWorkerDiscovery waits until every proxy knows at least the given number of workers. The timeout covers all
// proxies together. It fails with errs.Internal.
func awaitWorkerDiscovery(proxies []*Process, workers int, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, process := range proxies {
		for {
			var status struct {
				Known int `json:"knownWorkers"`
			}
			_ = process.getPage("/status", &status) // a failed request is repeated until the deadline
			if status.Known >= workers {
				break
			}
			if time.Now().After(deadline) {
				return errs.New(errs.Internal, fmt.Sprintf("%s knows %d workers after %v, want %d", process.Name, status.Known, timeout, workers))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// getPage requests one of the process's status pages and decodes its JSON into target. It fails with
// errs.PeerConnectionLost if the process does not answer, and with errs.MalformedRequest for any other response than
// valid JSON with status 200.
func (p *Process) getPage(path string, target any) error {
	response, err := probeClient.Get("http://" + p.probeAddress + path)
	if err != nil {
		return errs.Wrap(err, errs.PeerConnectionLost, "no response from "+p.Name+" to "+path)
	}
	defer func() { _ = response.Body.Close() }() // the response is only read
	if response.StatusCode != http.StatusOK {
		return errs.New(errs.MalformedRequest, fmt.Sprintf("%s answered %s with status %d, want 200", p.Name, path, response.StatusCode))
	}
	return errs.Wrap(json.NewDecoder(response.Body).Decode(target), errs.MalformedRequest,
		"cannot decode the response of "+p.Name+" to "+path)
}
