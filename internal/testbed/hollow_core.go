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

// modeOpen is the mode of a fleet without certificates and leases; see HollowOptions.mode.
const modeOpen = "open"

// maxSeeds is the largest number of seeds that a process gets.
const maxSeeds = 3

// newHollowCore lays out a core of real processes for hollow members, and starts no process. The core has no relays,
// because their cost would be measured too.
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

// Settings of hollow and chain fleets that differ from the defaults.
const (
	keyWindowLeases = 8   // duration of the window of idempotency keys, in leases
	minSources      = 256 // smallest limit on the number of proxies, for registries and proxies
)

// coreSeeds returns the addresses of a port of up to maxSeeds core machines, separated by commas. It leaves out the
// machine with the index except; -1 leaves out none. If no machine remains, the first is its own seed.
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

// edgeSettings returns the settings of the i-th proxy, except those that depend on its data folder. callers are the
// callers that get a listener; maxMembers is the largest number of proxies that the fleet may have.
func (f *Fleet) edgeSettings(mode string, i int, callers []string, maxMembers int64) (map[string]string, error) {
	address := f.spacedEdgeAddress(i)
	var listeners []string
	for j, caller := range callers {
		listeners = append(listeners, fmt.Sprintf("%s=%s:%d", caller, address, portCallers+j))
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

// hollowSettings returns the settings of the i-th hollow member. It parses and checks them as the proxy program does.
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

// edgesPerNet is the number of proxies whose addresses differ only in the last octet; see spacedEdgeAddress.
const edgesPerNet = 200

// processCounters holds the resource usage of a process, as the process itself and the kernel report it.
type processCounters struct {
	role         string            // registry, store or realProxy
	name         string            // name of the process without its program
	cpuSeconds   float64           // CPU time since the start of the process
	memoryKB     int               // resident memory
	heapKB       int               // heap of the Go runtime
	diskKB       int               // size of the files in the data folder
	bytesWritten uint64            // bytes written to disk since the start of the process
	traffic      transport.Traffic // RPC traffic since the start of the process
}

// realProxy is the role of proxies that are processes. The role "proxy" is that of the hollow members.
const realProxy = "real proxy"

// readCounters reads the counters of a process. Values that can't be read are 0.
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

// pageAttempts is the number of times that a status page is requested. Retries are worthwhile, because a counter that
// can't be read counts as 0.
const pageAttempts = 5

// readPage is getPage with up to pageAttempts attempts. If all fail, it leaves the target as it is.
func (p *Process) readPage(path string, target any) {
	for range pageAttempts {
		if p.getPage(path, target) == nil {
			return
		}
	}
}

// bytesWrittenBy returns the number of bytes that the kernel has written to disk for a process; 0 if it can't be read.
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

// addRealProxies lays out the proxies that are processes, at the addresses after those of the hollow members.
func (f *Fleet) addRealProxies(opts *schema.HollowOptions) error {
	return f.addProxies(opts.Mode, int(opts.Members), int(opts.Real), []string{clientCaller}, max(minSources, 2*opts.Members))
}

// addProxies lays out count proxies, beginning with the one of index first. Each has a listener for each caller.
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
