package testbed

import (
	"fmt"
	"io"
	"maps"
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

// modeOpen is the mode without certificates and leases; see HollowOptions.mode.
const modeOpen = "open"

// maxSeeds is how many seeds a process gets at most.
const maxSeeds = 3

// newHollowCore lays out a real core for hollow members. It has no relays: their cost would be measured too.
func newHollowCore(opts *schema.HollowOptions) (*Fleet, error) {
	authority, err := NewAuthority(filepath.Join(opts.Folder, "certificates"))
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Deployment: &Deployment{Name: "hollow", CoreMembers: int(opts.Seats), Zones: int(opts.Zones)},
		folder:     opts.Folder,
		binaries:   opts.Binaries,
		lease:      time.Duration(opts.Lease),
		authority:  authority,
		LinkFaults: NewLinkFaults(),
	}
	if f.netOctet, f.netLock, err = fakebackend.ReserveLoopbackNet(); err != nil {
		return nil, err
	}
	memberIDs := f.memberIDs()
	if opts.Mode == modeOpen {
		for i := range memberIDs {
			memberIDs[i] = f.coreAddress(i)
		}
	}
	for i := range memberIDs {
		if err := f.layOutHollowMember(opts, i, memberIDs); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// layOutHollowMember lays out the store and the registry of a core machine.
func (f *Fleet) layOutHollowMember(opts *schema.HollowOptions, i int, memberIDs []string) error {
	common := map[string]string{"seat": memberIDs[i]}
	storeSettings := map[string]string{
		"listen": fmt.Sprintf("%s:%d", f.coreAddress(i), portStore),
	}
	registrySettings := map[string]string{
		"listen":          fmt.Sprintf("%s:%d", f.coreAddress(i), portRegistry),
		"store":           fmt.Sprintf("%s:%d", f.coreAddress(i), portStore),
		"operator-listen": f.OperatorAddress(i),
		"lease":           f.lease.String(),
		"key-window":      (f.lease * keyWindowLeases).String(),
		"sources-most":    fmt.Sprint(max(minSources, 2*opts.Members)),
	}
	if opts.Mode == modeOpen {
		// Without a static member list the seeds found the core, and further members join it.
		common["links"] = "plain"
		storeSettings["founding"] = "true"
		storeSettings["seeds"] = f.coreSeeds(portStore, -1)
		registrySettings["seeds"] = f.coreSeeds(portRegistry, -1)
		registrySettings["acknowledge-after"] = "stable"
		registrySettings["area"] = f.zone(i)
	} else {
		common["order"] = strings.Join(memberIDs, ",")
		storeSettings["seeds"] = f.coreSeeds(portStore, i)
		registrySettings["seeds"] = f.coreSeeds(portRegistry, i)
	}
	maps.Copy(storeSettings, common)
	maps.Copy(registrySettings, common)
	store, err := f.newProcess("store", memberIDs[i], nil, fmt.Sprintf("%s:%d", f.coreAddress(i), portStoreProbe), storeSettings)
	if err != nil {
		return err
	}
	f.Stores = append(f.Stores, store)
	registry, err := f.newProcess("registry", memberIDs[i], nil, fmt.Sprintf("%s:%d", f.coreAddress(i), portRegistryProbe), registrySettings)
	if err != nil {
		return err
	}
	f.Registries = append(f.Registries, registry)
	return nil
}

// Settings that a large fleet needs besides the presets.
const (
	keyWindowLeases = 8   // the window of idempotency keys, in leases
	minSources      = 256 // proxies that a registry accepts, at least
)

// coreSeeds lists a port of the core machines, but for one (-1 for all), as far as a process may have seeds. A single
// machine is its own seed.
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

// edgeSettings are the settings of the i-th proxy, but for those of its own process.
func (f *Fleet) edgeSettings(mode string, i int, callers []string, maxMembers int64) (map[string]string, error) {
	address := f.spacedEdgeAddress(i)
	var listeners []string
	for at, caller := range callers {
		listeners = append(listeners, fmt.Sprintf("%s=%s:%d", caller, address, portCallers+at))
	}
	settings := map[string]string{
		"name":           address,
		"area":           f.zone(i),
		"listen":         fmt.Sprintf("%s:%d", address, portPeer),
		"seeds":          f.coreSeeds(portRegistry, -1),
		"callers":        strings.Join(listeners, ","),
		"workers-listen": fmt.Sprintf("%s:%d", address, portWorkerAPI),
		"probe-listen":   fmt.Sprintf("%s:%d", address, portProbe),
		"lease":          f.lease.String(),
		"members-most":   fmt.Sprint(maxMembers),
	}
	if mode == modeOpen {
		settings["links"] = "plain"
		settings["doubt"] = "serve"
		return settings, nil
	}
	certificate, err := f.authority.Issue("proxy", address, callers)
	settings["certificate"] = certificate
	settings["authority"] = f.authority.File()
	return settings, err
}

// hollowSettings are the settings of the i-th hollow member, checked as the proxy program checks its own.
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

// edgesPerNet is how many proxies have addresses that differ in the last octet alone.
const edgesPerNet = 200

// processCounters are what a process reports of itself, and what the kernel reports of it.
type processCounters struct {
	role         string
	name         string
	cpuSeconds   float64 // since its start
	memoryKB     int
	heapKB       int
	diskKB       int
	bytesWritten uint64 // to disk, since its start
	traffic      transport.Traffic
}

// realProxy is the role of proxies that are processes, in runs in which hollow members are the proxies.
const realProxy = "real proxy"

// readCounters reads the counters of a process; what can't be read is 0.
func (p *Process) readCounters() processCounters {
	role, name, _ := strings.Cut(p.Name, "/")
	if role == "proxy" {
		role = realProxy
	}
	counters, sample := processCounters{role: role, name: name}, Sample{}
	p.raiseToUsage(&sample)
	counters.memoryKB = sample.MemoryKB
	counters.diskKB = sample.DiskKB
	pid := p.pid()
	counters.cpuSeconds = cpuSecondsOf(pid)
	counters.bytesWritten = bytesWrittenBy(pid)
	var process daemon.Process
	p.readPage("/process", &process)
	counters.heapKB = int(process.HeapBytes >> 10)
	p.readPage("/traffic", &counters.traffic)
	return counters
}

// pageAttempts is how often a page is requested: a counter that can't be read would count as 0.
const pageAttempts = 5

// readPage reads one of the process's own pages, with retries. What can't be read leaves the target as it is.
func (p *Process) readPage(path string, target any) {
	for range pageAttempts {
		if p.getPage(path, target) == nil {
			return
		}
	}
}

// bytesWrittenBy is how many bytes a process has had written to disk; 0 if that can't be read.
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

// addRealProxies lays out real proxies, at the addresses after those of the hollow members.
func (f *Fleet) addRealProxies(opts *schema.HollowOptions) error {
	return f.addProxies(opts.Mode, int(opts.Members), int(opts.Real), []string{clientCaller}, max(minSources, 2*opts.Members))
}

// addProxies lays out so many proxies from the first address on, each with a listener for each caller.
func (f *Fleet) addProxies(mode string, first, count int, callers []string, maxMembers int64) error {
	for i := first; i < first+count; i++ {
		settings, err := f.edgeSettings(mode, i, callers, maxMembers)
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
