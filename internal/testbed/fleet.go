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
	"meadowhinge/internal/fakebackend"
)

// Ports, the same on every machine: machines differ by their loopback address.
const (
	portPeer          = 7001
	portWorkerAPI     = 7002
	portProbe         = 7003
	portCallers       = 7010
	portRegistry      = 7101
	portOperator      = 7102
	portRegistryProbe = 7103
	portStore         = 7201
	portStoreProbe    = 7203
	portWorker        = 7301
)

// Process is one of the mesh's own processes.
type Process struct {
	Name         string
	program      string
	args         []string
	probeAddress string
	logFile      string

	settings     map[string]string
	settingsFile string

	lock   sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// Start runs the process, unless it runs already.
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
	defer out.Close()
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
	p.awaitExit(5 * time.Second)
}

// Stop ends the process politely, then not.
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

// Ready tells whether the process says it is ready.
func (p *Process) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.probeAddress+"/ready", nil)
	response, err := probeClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Fleet is a whole mesh on one machine.
type Fleet struct {
	Deployment   *Deployment
	folder       string
	binaries     string
	netOctet     int // second octet of every address, so that fleets do not meet
	netLock      io.Closer
	lease        time.Duration
	delayedDisks bool // stores run on a stand-in disk
	authority    *Authority
	LinkFaults   *LinkFaults
	relays       []*Relay

	Stores     []*Process
	Registries []*Process
	Proxies    []*Process
}

// memberIDs are the core machines' names, in the order in which duties fall.
func (f *Fleet) memberIDs() []string {
	var names []string
	for i := range f.Deployment.CoreMembers {
		names = append(names, string(rune('a'+i)))
	}
	return names
}

// coreAddress and edge are the addresses of machines; gate is where the relay in front of one stands.
func (f *Fleet) coreAddress(i int) string { return fmt.Sprintf("127.%d.1.%d", f.netOctet, i+1) }
func (f *Fleet) edgeAddress(i int) string { return fmt.Sprintf("127.%d.2.%d", f.netOctet, i+1) }
func relayAddress(machine string) string {
	octets := strings.Split(machine, ".")
	return octets[0] + "." + octets[1] + ".10" + octets[2] + "." + octets[3]
}

// zone is the zone of the i-th machine.
func (f *Fleet) zone(i int) string { return fmt.Sprintf("area-%d", i%f.Deployment.Zones+1) }

// callerNames are the callers with a listener at an edge: clients and every service.
func (f *Fleet) callerNames() []string {
	callers := []string{clientCaller}
	for _, service := range f.Deployment.Services {
		callers = append(callers, service.Name)
	}
	return callers
}

// OperatorAddress is the operators' address of a core machine.
func (f *Fleet) OperatorAddress(i int) string {
	return fmt.Sprintf("%s:%d", f.coreAddress(i), portOperator)
}

// CallerAddress is where a caller reaches the proxy of an edge.
func (f *Fleet) CallerAddress(edge int, caller string) string {
	for i, name := range f.callerNames() {
		if name == caller {
			return fmt.Sprintf("%s:%d", f.edgeAddress(edge), portCallers+i)
		}
	}
	return ""
}

// NewFleet lays out a fleet in a folder; nothing runs yet.
func NewFleet(d *Deployment, folder, binaries string, lease time.Duration, relayEdges, delayedDisks bool) (*Fleet, error) {
	authority, err := NewAuthority(filepath.Join(folder, "certificates"))
	if err != nil {
		return nil, err
	}
	f := &Fleet{Deployment: d, folder: folder, binaries: binaries, lease: lease, delayedDisks: delayedDisks, authority: authority, LinkFaults: NewLinkFaults()}
	if f.netOctet, f.netLock, err = fakebackend.ReserveLoopbackNet(); err != nil {
		return nil, err
	}
	seedList := func(addressOf func(int) string, count, port, except int) string {
		var parts []string
		for i := range count {
			if i != except {
				parts = append(parts, fmt.Sprintf("%s:%d", addressOf(i), port))
			}
		}
		return strings.Join(parts, ",")
	}
	relayAddressOf := func(i int) string { return relayAddress(f.coreAddress(i)) }
	memberOrder := strings.Join(f.memberIDs(), ",")
	for i, memberID := range f.memberIDs() {
		for _, port := range []int{portStore, portRegistry} {
			relay, err := NewRelay(fmt.Sprintf("%s:%d", relayAddressOf(i), port), fmt.Sprintf("%s:%d", f.coreAddress(i), port), f.coreAddress(i), f.LinkFaults)
			if err != nil {
				return nil, err
			}
			f.relays = append(f.relays, relay)
		}
		store, err := f.newProcess("store", memberID, nil, fmt.Sprintf("%s:%d", f.coreAddress(i), portStoreProbe), map[string]string{
			"seat": memberID, "order": memberOrder, "listen": fmt.Sprintf("%s:%d", f.coreAddress(i), portStore), "advertise": fmt.Sprintf("%s:%d", relayAddressOf(i), portStore),
			"seeds": seedList(relayAddressOf, d.CoreMembers, portStore, i)})
		if err != nil {
			return nil, err
		}
		f.Stores = append(f.Stores, store)
		registry, err := f.newProcess("registry", memberID, nil, fmt.Sprintf("%s:%d", f.coreAddress(i), portRegistryProbe), map[string]string{
			"seat": memberID, "order": memberOrder, "listen": fmt.Sprintf("%s:%d", f.coreAddress(i), portRegistry), "advertise": fmt.Sprintf("%s:%d", relayAddressOf(i), portRegistry),
			"seeds": seedList(relayAddressOf, d.CoreMembers, portRegistry, i), "store": fmt.Sprintf("%s:%d", f.coreAddress(i), portStore),
			"operator-listen": f.OperatorAddress(i), "lease": lease.String()})
		if err != nil {
			return nil, err
		}
		f.Registries = append(f.Registries, registry)
	}
	for i := range d.Edges {
		var callers []string
		for _, caller := range f.callerNames() {
			callers = append(callers, caller+"="+f.CallerAddress(i, caller))
		}
		name := fmt.Sprintf("edge-%d", i+1)
		advertised := f.edgeAddress(i)
		if relayEdges {
			advertised = relayAddress(advertised)
			relay, err := NewRelay(fmt.Sprintf("%s:%d", advertised, portPeer), fmt.Sprintf("%s:%d", f.edgeAddress(i), portPeer), f.edgeAddress(i), f.LinkFaults)
			if err != nil {
				return nil, err
			}
			f.relays = append(f.relays, relay)
		}
		proxy, err := f.newProcess("proxy", name, f.callerNames(), fmt.Sprintf("%s:%d", f.edgeAddress(i), portProbe), map[string]string{
			"advertise": fmt.Sprintf("%s:%d", advertised, portPeer),
			"name":      name, "area": f.zone(i), "listen": fmt.Sprintf("%s:%d", f.edgeAddress(i), portPeer), "seeds": seedList(relayAddressOf, d.CoreMembers, portRegistry, -1),
			"callers": strings.Join(callers, ","), "workers-listen": fmt.Sprintf("%s:%d", f.edgeAddress(i), portWorkerAPI), "lease": lease.String()})
		if err != nil {
			return nil, err
		}
		f.Proxies = append(f.Proxies, proxy)
	}
	return f, nil
}

// newProcess writes a settings file and makes the process that reads it.
func (f *Fleet) newProcess(program, name string, services []string, probeAddress string, settings map[string]string) (*Process, error) {
	certificate, err := f.authority.Issue(program, name, services)
	if err != nil {
		return nil, err
	}
	folder := filepath.Join(f.folder, program+"-"+name)
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, errs.Wrap(err, errs.DiskFailed, folder)
	}
	process := &Process{Name: program + "/" + name, program: filepath.Join(f.binaries, program), args: []string{"-settings", filepath.Join(folder, "settings")},
		settingsFile: filepath.Join(folder, "settings"),
		probeAddress: probeAddress, logFile: filepath.Join(folder, "output"), settings: settings}
	settings["certificate"], settings["authority"], settings["data"], settings["probe-listen"] = certificate, f.authority.File(), filepath.Join(folder, "data"), probeAddress
	// A store runs on a disk that can be made slow, which only the rehearsal has.
	if program == "store" && f.delayedDisks {
		process.program = filepath.Join(f.binaries, "testbed")
		process.args = append([]string{DelayedStoreCommand, filepath.Join(folder, diskDelayFile)}, process.args...)
	}
	return process, process.writeSettings(nil)
}

// writeSettings writes the settings file anew, with changes.
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

// Processes lists every process, the core first.
func (f *Fleet) Processes() []*Process {
	return append(append(append([]*Process(nil), f.Stores...), f.Registries...), f.Proxies...)
}

// AwaitReady waits until every process says it is ready.
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

// awaitWorkerDiscovery waits until every proxy knows so many workers.
func awaitWorkerDiscovery(proxies []*Process, workers int, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, process := range proxies {
		for {
			var status struct {
				Known int `json:"knownWorkers"`
			}
			if response, err := probeClient.Get("http://" + process.probeAddress + "/status"); err == nil {
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
	f.LinkFaults.Heal()
	var lock sync.Mutex
	var unclean []string
	var waiting sync.WaitGroup
	for _, process := range f.Processes() {
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
	f.netLock.Close()
	return unclean
}

// ReplaceCoreMember lets a core machine come back at another address, without its disk, as a
// replacement does. Its old address stays dead; the others learn the new one from it.
func (f *Fleet) ReplaceCoreMember(i int) error {
	newAddress := fmt.Sprintf("127.%d.3.%d", f.netOctet, i+1)
	for _, component := range []struct {
		process *Process
		port    int
		probe   int
	}{{f.Stores[i], portStore, portStoreProbe}, {f.Registries[i], portRegistry, portRegistryProbe}} {
		component.process.Kill()
		if err := component.process.WipeData(); err != nil {
			return err
		}
		relay, err := NewRelay(fmt.Sprintf("%s:%d", relayAddress(newAddress), component.port), fmt.Sprintf("%s:%d", newAddress, component.port), f.coreAddress(i), f.LinkFaults)
		if err != nil {
			return err
		}
		f.relays = append(f.relays, relay)
		component.process.probeAddress = fmt.Sprintf("%s:%d", newAddress, component.probe)
		changes := map[string]string{"listen": fmt.Sprintf("%s:%d", newAddress, component.port), "advertise": fmt.Sprintf("%s:%d", relayAddress(newAddress), component.port), "probe-listen": component.process.probeAddress}
		if component.port == portRegistry {
			changes["store"] = fmt.Sprintf("%s:%d", newAddress, portStore)
		}
		if err := component.process.writeSettings(changes); err != nil {
			return err
		}
		if err := component.process.Start(); err != nil {
			return err
		}
	}
	return nil
}

// WipeData empties a process's data folder, as a machine that comes back without its disk.
func (p *Process) WipeData() error {
	folder := filepath.Join(filepath.Dir(p.logFile), "data")
	return errs.Wrap(os.RemoveAll(folder), errs.DiskFailed, folder)
}
