package testbed

import (
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

// modeOpen is the mode without keys and leases; see HollowOptions.mode.
const modeOpen = "open"

// maxSeeds is how many seeds a process may be told of.
const maxSeeds = 3

// newHollowCore lays out real registries and stores for hollow members. No relay stands
// before them, for it would be what is measured.
func newHollowCore(opts *schema.HollowOptions) (*Fleet, error) {
	authority, err := NewAuthority(filepath.Join(opts.Folder, "certificates"))
	if err != nil {
		return nil, err
	}
	f := &Fleet{Deployment: &Deployment{Name: "hollow", CoreMembers: int(opts.Seats), Zones: int(opts.Zones)}, folder: opts.Folder, binaries: opts.Binaries,
		lease: time.Duration(opts.Lease), authority: authority, LinkFaults: NewLinkFaults()}
	if f.netOctet, f.netLock, err = fakebackend.ReserveLoopbackNet(); err != nil {
		return nil, err
	}
	memberIDs := f.memberIDs()
	if opts.Mode == modeOpen {
		for i := range memberIDs {
			memberIDs[i] = f.coreAddress(i)
		}
	}
	for i, memberID := range memberIDs {
		common := map[string]string{"seat": memberID}
		if opts.Mode == modeOpen {
			common["links"] = "plain"
		}
		storeSettings := map[string]string{"listen": fmt.Sprintf("%s:%d", f.coreAddress(i), portStore), "seeds": f.coreSeeds(portStore, -1)}
		// Without an order the seeds found the core, and further seats join it.
		if opts.Mode == modeOpen {
			storeSettings["founding"] = "true"
		} else {
			common["order"], storeSettings["seeds"] = strings.Join(memberIDs, ","), f.coreSeeds(portStore, i)
		}
		registrySettings := map[string]string{"listen": fmt.Sprintf("%s:%d", f.coreAddress(i), portRegistry), "seeds": f.coreSeeds(portRegistry, i),
			"store": fmt.Sprintf("%s:%d", f.coreAddress(i), portStore), "operator-listen": f.OperatorAddress(i), "lease": f.lease.String(),
			"key-window": (f.lease * keyWindowLeases).String(), "sources-most": fmt.Sprint(max(minSources, 2*opts.Members))}
		if opts.Mode == modeOpen {
			registrySettings["acknowledge-after"], registrySettings["area"], registrySettings["seeds"] = "stable", f.zone(i), f.coreSeeds(portRegistry, -1)
		}
		for key, value := range common {
			storeSettings[key], registrySettings[key] = value, value
		}
		store, err := f.newProcess("store", memberID, nil, fmt.Sprintf("%s:%d", f.coreAddress(i), portStoreProbe), storeSettings)
		if err != nil {
			return nil, err
		}
		registry, err := f.newProcess("registry", memberID, nil, fmt.Sprintf("%s:%d", f.coreAddress(i), portRegistryProbe), registrySettings)
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
	minSources      = 256
)

// coreSeeds lists the core machines, but for one, as far as a process may be told.
func (f *Fleet) coreSeeds(port, except int) string {
	var parts []string
	for i := range f.Deployment.CoreMembers {
		if i != except && len(parts) < maxSeeds {
			parts = append(parts, fmt.Sprintf("%s:%d", f.coreAddress(i), port))
		}
	}
	if len(parts) == 0 {
		parts = []string{fmt.Sprintf("%s:%d", f.coreAddress(0), port)}
	}
	return strings.Join(parts, ",")
}

// edgeSettings are the settings of a proxy, but for those of its own process.
func (f *Fleet) edgeSettings(mode string, i int, callers []string, maxMembers int64) (map[string]string, error) {
	address := fmt.Sprintf("127.%d.%d.%d", f.netOctet, 2+i/edgesPerNet, 1+i%edgesPerNet)
	var listeners []string
	for at, caller := range callers {
		listeners = append(listeners, fmt.Sprintf("%s=%s:%d", caller, address, portCallers+at))
	}
	settings := map[string]string{"name": address, "area": f.zone(i), "listen": fmt.Sprintf("%s:%d", address, portPeer), "seeds": f.coreSeeds(portRegistry, -1),
		"callers": strings.Join(listeners, ","), "workers-listen": fmt.Sprintf("%s:%d", address, portWorkerAPI),
		"probe-listen": fmt.Sprintf("%s:%d", address, portProbe), "lease": f.lease.String(), "members-most": fmt.Sprint(maxMembers)}
	if mode == modeOpen {
		settings["links"], settings["doubt"] = "plain", "serve"
		return settings, nil
	}
	certificate, err := f.authority.Issue("proxy", address, callers)
	settings["certificate"], settings["authority"] = certificate, f.authority.File()
	return settings, err
}

// hollowSettings are a hollow member's settings, checked as the program's own are.
func (f *Fleet) hollowSettings(opts *schema.HollowOptions, i int) (*schema.ProxyOptions, error) {
	settings, err := f.edgeSettings(opts.Mode, i, []string{clientCaller}, max(minSources, 2*opts.Members))
	if err != nil {
		return nil, err
	}
	if opts.Mode != modeOpen {
		settings["data"] = filepath.Join(f.folder, "members")
	}
	var args []string
	for name, value := range settings {
		args = append(args, "-"+name+"="+value)
	}
	parsed := &schema.ProxyOptions{}
	return parsed, options.Parse("proxy", args, parsed, io.Discard)
}

// edgesPerNet is how many members' addresses differ in the last octet alone.
const edgesPerNet = 200

// processCounters is what a process of the core says of itself, and what the kernel says of it.
type processCounters struct {
	role         string
	name         string
	cpuSeconds   float64 // seconds so far
	memoryKB     int
	heapKB       int
	diskKB       int
	bytesWritten uint64 // bytes to disk so far
	traffic      transport.Traffic
}

// realProxy is the role of proxies that are processes, where hollow ones are the proxies.
const realProxy = "real proxy"

// readCounters looks at one process.
func (p *Process) readCounters() processCounters {
	role, name, _ := strings.Cut(p.Name, "/")
	if role == "proxy" {
		role = realProxy
	}
	counters, sample := processCounters{role: role, name: name}, Sample{}
	p.raiseSample(&sample)
	counters.memoryKB, counters.diskKB = sample.MemoryKB, sample.DiskKB
	pid := p.pid()
	counters.cpuSeconds, counters.bytesWritten = cpuSecondsOf(pid), bytesWrittenBy(pid)
	var process daemon.Process
	p.readPage("/process", &process)
	counters.heapKB = int(process.HeapBytes >> 10)
	p.readPage("/traffic", &counters.traffic)
	return counters
}

// pageAttempts is how often a page is asked for: what is not read would count as nothing.
const pageAttempts = 5

// readPage reads one of a process's own pages.
func (p *Process) readPage(path string, target any) {
	for range pageAttempts {
		if p.getPage(path, target) == nil {
			return
		}
	}
}

// bytesWrittenBy is what a process has had written to disk, in bytes.
func bytesWrittenBy(pid int) uint64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, found := strings.CutPrefix(line, "write_bytes:"); found {
			var bytes uint64
			_, _ = fmt.Sscan(value, &bytes)
			return bytes
		}
	}
	return 0
}

// addRealProxies lays out real proxies, at the places after the hollow ones.
func (f *Fleet) addRealProxies(opts *schema.HollowOptions) error {
	for i := range int(opts.Real) {
		callers := []string{clientCaller}
		settings, err := f.edgeSettings(opts.Mode, int(opts.Members)+i, callers, max(minSources, 2*opts.Members))
		if err != nil {
			return err
		}
		process, err := f.newProcess("proxy", settings["name"], callers, settings["probe-listen"], settings)
		if err != nil {
			return err
		}
		f.Proxies = append(f.Proxies, process)
	}
	return nil
}
