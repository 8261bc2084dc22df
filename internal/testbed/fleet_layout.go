package testbed

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/fakebackend"
)

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
