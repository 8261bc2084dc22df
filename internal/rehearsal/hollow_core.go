package rehearsal

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/fakebackend"
	"meadowhinge/internal/options"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// open is the mode without keys and leases; see HollowOptions.mode.
const open = "open"

// seedsMost is how many seeds a process may be told of.
const seedsMost = 3

// newHollowCore lays out real registries and stores for hollow members. No relay stands
// before them, for it would be what is measured.
func newHollowCore(given *schema.HollowOptions) (*Fleet, error) {
	authority, err := NewAuthority(filepath.Join(given.Folder, "certificates"))
	if err != nil {
		return nil, err
	}
	f := &Fleet{Deployment: &Deployment{Name: "hollow", Cores: int(given.Seats), Areas: int(given.Zones)}, folder: given.Folder, binaries: given.Binaries,
		lease: time.Duration(given.Lease), authority: authority, Cuts: NewCuts()}
	if f.net, f.netHeld, err = fakebackend.ReserveLoopbackNet(); err != nil {
		return nil, err
	}
	seats := f.seats()
	if given.Mode == open {
		for i := range seats {
			seats[i] = f.core(i)
		}
	}
	for i, seat := range seats {
		shared := map[string]string{"seat": seat}
		if given.Mode == open {
			shared["links"] = "plain"
		}
		forStore := map[string]string{"listen": fmt.Sprintf("%s:%d", f.core(i), portStore), "seeds": f.coreSeeds(portStore, -1)}
		// Without an order the seeds found the core, and further seats join it.
		if given.Mode == open {
			forStore["founding"] = "true"
		} else {
			shared["order"], forStore["seeds"] = strings.Join(seats, ","), f.coreSeeds(portStore, i)
		}
		forRegistry := map[string]string{"listen": fmt.Sprintf("%s:%d", f.core(i), portRegistry), "seeds": f.coreSeeds(portRegistry, i),
			"store": fmt.Sprintf("%s:%d", f.core(i), portStore), "operator-listen": f.Operator(i), "lease": f.lease.String(),
			"key-window": (f.lease * keyWindowLeases).String(), "sources-most": fmt.Sprint(max(sourcesLeast, 2*given.Members))}
		if given.Mode == open {
			forRegistry["acknowledge-after"], forRegistry["area"], forRegistry["seeds"] = "stable", f.area(i), f.coreSeeds(portRegistry, -1)
		}
		for key, value := range shared {
			forStore[key], forRegistry[key] = value, value
		}
		store, err := f.process("store", seat, nil, fmt.Sprintf("%s:%d", f.core(i), portStoProbe), forStore)
		if err != nil {
			return nil, err
		}
		registry, err := f.process("registry", seat, nil, fmt.Sprintf("%s:%d", f.core(i), portRegProbe), forRegistry)
		if err != nil {
			return nil, err
		}
		f.Stores, f.Registries = append(f.Stores, store), append(f.Registries, registry)
	}
	return f, nil
}

// Settings that a large fleet needs beside the presets.
const (
	keyWindowLeases = 8
	sourcesLeast    = 256
)

// coreSeeds lists the core machines, but for one, as far as a process may be told.
func (f *Fleet) coreSeeds(port, besides int) string {
	var parts []string
	for i := range f.Deployment.Cores {
		if i != besides && len(parts) < seedsMost {
			parts = append(parts, fmt.Sprintf("%s:%d", f.core(i), port))
		}
	}
	if len(parts) == 0 {
		parts = []string{fmt.Sprintf("%s:%d", f.core(0), port)}
	}
	return strings.Join(parts, ",")
}

// edgeSettings are the settings of a proxy, but for those of its own process.
func (f *Fleet) edgeSettings(mode string, i int, callers []string, membersMost int64) (map[string]string, error) {
	address := fmt.Sprintf("127.%d.%d.%d", f.net, 2+i/edgesPerNet, 1+i%edgesPerNet)
	var listens []string
	for at, caller := range callers {
		listens = append(listens, fmt.Sprintf("%s=%s:%d", caller, address, portCallers+at))
	}
	settings := map[string]string{"name": address, "area": f.area(i), "listen": fmt.Sprintf("%s:%d", address, portHop), "seeds": f.coreSeeds(portRegistry, -1),
		"callers": strings.Join(listens, ","), "workers-listen": fmt.Sprintf("%s:%d", address, portWorkers),
		"probe-listen": fmt.Sprintf("%s:%d", address, portProbe), "lease": f.lease.String(), "members-most": fmt.Sprint(membersMost)}
	if mode == open {
		settings["links"], settings["doubt"] = "plain", "serve"
		return settings, nil
	}
	certificate, err := f.authority.Issue("proxy", address, callers)
	settings["certificate"], settings["authority"] = certificate, f.authority.File()
	return settings, err
}

// hollowSettings are a hollow member's settings, checked as the program's own are.
func (f *Fleet) hollowSettings(given *schema.HollowOptions, i int) (*schema.ProxyOptions, error) {
	settings, err := f.edgeSettings(given.Mode, i, []string{clientKind}, max(sourcesLeast, 2*given.Members))
	if err != nil {
		return nil, err
	}
	if given.Mode != open {
		settings["data"] = filepath.Join(f.folder, "members")
	}
	var args []string
	for name, value := range settings {
		args = append(args, "-"+name+"="+value)
	}
	made := &schema.ProxyOptions{}
	return made, options.Parse("proxy", args, made, io.Discard)
}

// edgesPerNet is how many members' addresses differ in the last octet alone.
const edgesPerNet = 200

// probed is what a process of the core says of itself, and what the kernel says of it.
type probed struct {
	role     string
	name     string
	cpu      float64 // seconds so far
	memoryKB int
	heapKB   int
	diskKB   int
	written  uint64 // bytes to disk so far
	traffic  transport.Traffic
}

// realProxy is the role of proxies that are processes, where hollow ones are the proxies.
const realProxy = "real proxy"

// look looks at one process.
func (p *Process) look() probed {
	role, name, _ := strings.Cut(p.Name, "/")
	if role == "proxy" {
		role = realProxy
	}
	seen, sample := probed{role: role, name: name}, Sample{}
	p.measure(&sample)
	seen.memoryKB, seen.diskKB = sample.MemoryKB, sample.DiskKB
	p.lock.Lock()
	pid := 0
	if p.cmd != nil && p.cmd.Process != nil {
		pid = p.cmd.Process.Pid
	}
	p.lock.Unlock()
	seen.cpu, seen.written = cpuOf(pid), writtenBy(pid)
	var process daemon.Process
	p.page("/process", &process)
	seen.heapKB = int(process.HeapBytes >> 10)
	p.page("/traffic", &seen.traffic)
	return seen
}

// pageTries is how often a page is asked for: what is not read would count as nothing.
const pageTries = 5

// page reads one of a process's own pages.
func (p *Process) page(path string, into any) {
	for range pageTries {
		if response, err := probes.Get("http://" + p.probe + path); err == nil {
			err = json.NewDecoder(response.Body).Decode(into)
			response.Body.Close()
			if err == nil {
				return
			}
		}
	}
}

// writtenBy is what a process has had written to disk, in bytes.
func writtenBy(pid int) uint64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, is := strings.CutPrefix(line, "write_bytes:"); is {
			var bytes uint64
			_, _ = fmt.Sscan(value, &bytes)
			return bytes
		}
	}
	return 0
}

// addReal lays out real proxies, at the places after the hollow ones.
func (f *Fleet) addReal(given *schema.HollowOptions) error {
	for i := range int(given.Real) {
		callers := []string{clientKind}
		settings, err := f.edgeSettings(given.Mode, int(given.Members)+i, callers, max(sourcesLeast, 2*given.Members))
		if err != nil {
			return err
		}
		made, err := f.process("proxy", settings["name"], callers, settings["probe-listen"], settings)
		if err != nil {
			return err
		}
		f.Proxies = append(f.Proxies, made)
	}
	return nil
}
