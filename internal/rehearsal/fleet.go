package rehearsal

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
	"meadowhinge/internal/fakebackend"
)

// Ports, the same on every machine: machines differ by their loopback address.
const (
	portHop      = 7001
	portWorkers  = 7002
	portProbe    = 7003
	portCallers  = 7010
	portRegistry = 7101
	portOperator = 7102
	portRegProbe = 7103
	portStore    = 7201
	portStoProbe = 7203
	portWorker   = 7301
)

// Process is one of the mesh's own processes.
type Process struct {
	Name    string
	program string
	args    []string
	probe   string
	log     string

	settings     map[string]string
	settingsFile string

	lock sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// Start runs the process, unless it runs already.
func (p *Process) Start() error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.running() {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return errs.Wrap(err, errs.DiskFailed, p.log)
	}
	defer out.Close()
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errs.Wrap(err, errs.Internal, p.Name)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.cmd, p.done = cmd, done
	return nil
}

// running tells whether the process runs; the caller holds the lock.
func (p *Process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process, and to no other.
func (p *Process) Signal(signal syscall.Signal) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.running() {
		_ = p.cmd.Process.Signal(signal)
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.wait(5 * time.Second)
}

// Stop ends the process politely, then not.
func (p *Process) Stop(patience time.Duration) (clean bool) {
	p.Signal(syscall.SIGTERM)
	if p.wait(patience) {
		p.lock.Lock()
		defer p.lock.Unlock()
		return p.cmd != nil && p.cmd.ProcessState.ExitCode() == 0
	}
	p.Kill()
	return false
}

func (p *Process) wait(patience time.Duration) bool {
	p.lock.Lock()
	done := p.done
	p.lock.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(patience):
		return false
	}
}

// Ready tells whether the process says it is ready.
func (p *Process) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.probe+"/ready", nil)
	response, err := probes.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

var probes = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Fleet is a whole mesh on one machine.
type Fleet struct {
	Deployment *Deployment
	folder     string
	binaries   string
	net        int // second octet of every address, so that fleets do not meet
	netHeld    io.Closer
	lease      time.Duration
	disks      bool // stores run on a stand-in disk
	authority  *Authority
	Cuts       *Cuts
	relays     []*Relay

	Stores     []*Process
	Registries []*Process
	Proxies    []*Process
}

// seats are the core machines' names, in the order in which duties fall.
func (f *Fleet) seats() []string {
	var names []string
	for i := range f.Deployment.Cores {
		names = append(names, string(rune('a'+i)))
	}
	return names
}

// core and edge are the addresses of machines; gate is where the relay in front of one stands.
func (f *Fleet) core(i int) string { return fmt.Sprintf("127.%d.1.%d", f.net, i+1) }
func (f *Fleet) edge(i int) string { return fmt.Sprintf("127.%d.2.%d", f.net, i+1) }
func gate(machine string) string {
	parts := strings.Split(machine, ".")
	return parts[0] + "." + parts[1] + ".10" + parts[2] + "." + parts[3]
}

// area is the zone of the i-th machine.
func (f *Fleet) area(i int) string { return fmt.Sprintf("area-%d", i%f.Deployment.Areas+1) }

// callersAt are the callers with a listener at an edge: clients and every service.
func (f *Fleet) callersAt() []string {
	callers := []string{clientKind}
	for _, service := range f.Deployment.Services {
		callers = append(callers, service.Name)
	}
	return callers
}

// Operator is the operators' address of a core machine.
func (f *Fleet) Operator(i int) string { return fmt.Sprintf("%s:%d", f.core(i), portOperator) }

// CallerAddress is where a caller reaches the proxy of an edge.
func (f *Fleet) CallerAddress(edge int, caller string) string {
	for i, name := range f.callersAt() {
		if name == caller {
			return fmt.Sprintf("%s:%d", f.edge(edge), portCallers+i)
		}
	}
	return ""
}

// NewFleet lays out a fleet in a folder; nothing runs yet.
func NewFleet(d *Deployment, folder, binaries string, lease time.Duration, relayEdges, disks bool) (*Fleet, error) {
	authority, err := NewAuthority(filepath.Join(folder, "certificates"))
	if err != nil {
		return nil, err
	}
	f := &Fleet{Deployment: d, folder: folder, binaries: binaries, lease: lease, disks: disks, authority: authority, Cuts: NewCuts()}
	if f.net, f.netHeld, err = fakebackend.ReserveLoopbackNet(); err != nil {
		return nil, err
	}
	join := func(from func(int) string, count, port, besides int) string {
		var parts []string
		for i := range count {
			if i != besides {
				parts = append(parts, fmt.Sprintf("%s:%d", from(i), port))
			}
		}
		return strings.Join(parts, ",")
	}
	gates := func(i int) string { return gate(f.core(i)) }
	order := strings.Join(f.seats(), ",")
	for i, seat := range f.seats() {
		for _, port := range []int{portStore, portRegistry} {
			relay, err := NewRelay(fmt.Sprintf("%s:%d", gates(i), port), fmt.Sprintf("%s:%d", f.core(i), port), f.core(i), f.Cuts)
			if err != nil {
				return nil, err
			}
			f.relays = append(f.relays, relay)
		}
		store, err := f.process("store", seat, nil, fmt.Sprintf("%s:%d", f.core(i), portStoProbe), map[string]string{
			"seat": seat, "order": order, "listen": fmt.Sprintf("%s:%d", f.core(i), portStore), "advertise": fmt.Sprintf("%s:%d", gates(i), portStore),
			"seeds": join(gates, d.Cores, portStore, i)})
		if err != nil {
			return nil, err
		}
		f.Stores = append(f.Stores, store)
		registry, err := f.process("registry", seat, nil, fmt.Sprintf("%s:%d", f.core(i), portRegProbe), map[string]string{
			"seat": seat, "order": order, "listen": fmt.Sprintf("%s:%d", f.core(i), portRegistry), "advertise": fmt.Sprintf("%s:%d", gates(i), portRegistry),
			"seeds": join(gates, d.Cores, portRegistry, i), "store": fmt.Sprintf("%s:%d", f.core(i), portStore),
			"operator-listen": f.Operator(i), "lease": lease.String()})
		if err != nil {
			return nil, err
		}
		f.Registries = append(f.Registries, registry)
	}
	for i := range d.Edges {
		var callers []string
		for _, caller := range f.callersAt() {
			callers = append(callers, caller+"="+f.CallerAddress(i, caller))
		}
		name := fmt.Sprintf("edge-%d", i+1)
		face := f.edge(i)
		if relayEdges {
			face = gate(face)
			relay, err := NewRelay(fmt.Sprintf("%s:%d", face, portHop), fmt.Sprintf("%s:%d", f.edge(i), portHop), f.edge(i), f.Cuts)
			if err != nil {
				return nil, err
			}
			f.relays = append(f.relays, relay)
		}
		proxy, err := f.process("proxy", name, f.callersAt(), fmt.Sprintf("%s:%d", f.edge(i), portProbe), map[string]string{
			"advertise": fmt.Sprintf("%s:%d", face, portHop),
			"name":      name, "area": f.area(i), "listen": fmt.Sprintf("%s:%d", f.edge(i), portHop), "seeds": join(gates, d.Cores, portRegistry, -1),
			"callers": strings.Join(callers, ","), "workers-listen": fmt.Sprintf("%s:%d", f.edge(i), portWorkers), "lease": lease.String()})
		if err != nil {
			return nil, err
		}
		f.Proxies = append(f.Proxies, proxy)
	}
	return f, nil
}

// process writes a settings file and makes the process that reads it.
func (f *Fleet) process(program, name string, speaks []string, probe string, settings map[string]string) (*Process, error) {
	certificate, err := f.authority.Issue(program, name, speaks)
	if err != nil {
		return nil, err
	}
	folder := filepath.Join(f.folder, program+"-"+name)
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, errs.Wrap(err, errs.DiskFailed, folder)
	}
	process := &Process{Name: program + "/" + name, program: filepath.Join(f.binaries, program), args: []string{"-settings", filepath.Join(folder, "settings")},
		settingsFile: filepath.Join(folder, "settings"),
		probe:        probe, log: filepath.Join(folder, "output"), settings: settings}
	settings["certificate"], settings["authority"], settings["data"], settings["probe-listen"] = certificate, f.authority.File(), filepath.Join(folder, "data"), probe
	// A store runs on a disk that can be made slow, which only the rehearsal has.
	if program == "store" && f.disks {
		process.program = filepath.Join(f.binaries, "rehearsal")
		process.args = append([]string{StandInStore, filepath.Join(folder, diskFile)}, process.args...)
	}
	return process, process.configure(nil)
}

// configure writes the settings file anew, with changes.
func (p *Process) configure(changes map[string]string) error {
	var text strings.Builder
	for key, value := range changes {
		p.settings[key] = value
	}
	for key, value := range p.settings {
		fmt.Fprintf(&text, "%s %s\n", key, value)
	}
	return errs.Wrap(os.WriteFile(p.settingsFile, []byte(text.String()), 0o640), errs.DiskFailed, p.Name)
}

// All lists every process, the core first.
func (f *Fleet) All() []*Process {
	return append(append(append([]*Process(nil), f.Stores...), f.Registries...), f.Proxies...)
}

// AwaitReady waits until every process says it is ready.
func AwaitReady(processes []*Process, patience time.Duration) error {
	deadline := time.Now().Add(patience)
	for _, process := range processes {
		for !process.Ready() {
			if time.Now().After(deadline) {
				return errs.New(errs.Internal, process.Name+" is not ready in time; see "+process.log)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// awaitKnown waits until every proxy knows so many workers.
func awaitKnown(proxies []*Process, workers int, patience time.Duration) error {
	deadline := time.Now().Add(patience)
	for _, process := range proxies {
		for {
			var status struct {
				Known int `json:"knownWorkers"`
			}
			if response, err := probes.Get("http://" + process.probe + "/status"); err == nil {
				_ = json.NewDecoder(response.Body).Decode(&status)
				response.Body.Close()
			}
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

// Stop ends everything; it names the processes that did not end cleanly.
func (f *Fleet) Stop() []string {
	f.Cuts.Mend()
	var lock sync.Mutex
	var unclean []string
	var waiting sync.WaitGroup
	for _, process := range f.All() {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			process.Signal(syscall.SIGCONT)
			if process.cmd != nil && !process.Stop(15*time.Second) {
				lock.Lock()
				unclean = append(unclean, process.Name)
				lock.Unlock()
			}
		}()
	}
	waiting.Wait()
	for _, relay := range f.relays {
		relay.Close()
	}
	f.netHeld.Close()
	return unclean
}

// MoveCore lets a core machine come back at another address, without its disk, as a
// replacement does. Its old address stays dead; the others learn the new one from it.
func (f *Fleet) MoveCore(i int) error {
	moved := fmt.Sprintf("127.%d.3.%d", f.net, i+1)
	for _, one := range []struct {
		process *Process
		port    int
		probe   int
	}{{f.Stores[i], portStore, portStoProbe}, {f.Registries[i], portRegistry, portRegProbe}} {
		one.process.Kill()
		if err := one.process.Wipe(); err != nil {
			return err
		}
		relay, err := NewRelay(fmt.Sprintf("%s:%d", gate(moved), one.port), fmt.Sprintf("%s:%d", moved, one.port), f.core(i), f.Cuts)
		if err != nil {
			return err
		}
		f.relays = append(f.relays, relay)
		one.process.probe = fmt.Sprintf("%s:%d", moved, one.probe)
		changes := map[string]string{"listen": fmt.Sprintf("%s:%d", moved, one.port), "advertise": fmt.Sprintf("%s:%d", gate(moved), one.port), "probe-listen": one.process.probe}
		if one.port == portRegistry {
			changes["store"] = fmt.Sprintf("%s:%d", moved, portStore)
		}
		if err := one.process.configure(changes); err != nil {
			return err
		}
		if err := one.process.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Wipe empties a process's data folder, as a machine that comes back without its disk.
func (p *Process) Wipe() error {
	folder := filepath.Join(filepath.Dir(p.log), "data")
	return errs.Wrap(os.RemoveAll(folder), errs.DiskFailed, folder)
}
