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

// NewFleet lays out a fleet: it reserves its addresses, writes certificates and settings files to folder, and starts the
// relays. It starts no process. binaries is the folder of the mesh's programs. With relayEdges, links between edge
// machines run through relays too; with delayedDisks, the disks of stores can be delayed. It fails with the error of the
// first step that failed.
func NewFleet(d *Deployment, folder, binaries string, lease time.Duration, relayEdges, delayedDisks bool) (*Fleet, error) {
	authority, err := NewAuthority(filepath.Join(folder, "certificates"))
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Deployment:   d,
		folder:       folder,
		binaries:     binaries,
		lease:        lease,
		delayedDisks: delayedDisks,
		authority:    authority,
		LinkFaults:   NewLinkFaults(),
	}
	if f.netOctet, f.netLock, err = fakebackend.ReserveLoopbackNet(); err != nil {
		return nil, err
	}
	for i, memberID := range f.memberIDs() {
		if err := f.layOutMember(i, memberID); err != nil {
			return nil, err
		}
	}
	for i := range d.Edges {
		if err := f.layOutEdge(i, relayEdges); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// relayedSeeds returns the addresses of a port of the core members' relays, separated by commas. It leaves out the
// member with the index except; -1 leaves out none.
func (f *Fleet) relayedSeeds(port, except int) string {
	var seeds []string
	for i := range f.Deployment.CoreMembers {
		if i != except {
			seeds = append(seeds, fmt.Sprintf("%s:%d", relayAddress(f.coreAddress(i)), port))
		}
	}
	return strings.Join(seeds, ",")
}

// addRelay starts a relay in front of a port of a machine.
func (f *Fleet) addRelay(machine string, port int) error {
	listen := fmt.Sprintf("%s:%d", relayAddress(machine), port)
	target := fmt.Sprintf("%s:%d", machine, port)
	relay, err := NewRelay(listen, target, machine, f.LinkFaults)
	if err != nil {
		return err
	}
	f.relays = append(f.relays, relay)
	return nil
}

// layOutMember lays out the store and the registry of a core machine, and the relays in front of them.
func (f *Fleet) layOutMember(i int, memberID string) error {
	machine := f.coreAddress(i)
	for _, port := range []int{portStore, portRegistry} {
		if err := f.addRelay(machine, port); err != nil {
			return err
		}
	}
	memberOrder := strings.Join(f.memberIDs(), ",")
	store, err := f.newProcess("store", memberID, nil, fmt.Sprintf("%s:%d", machine, portStoreProbe), map[string]string{
		"seat":      memberID,
		"order":     memberOrder,
		"listen":    fmt.Sprintf("%s:%d", machine, portStore),
		"advertise": fmt.Sprintf("%s:%d", relayAddress(machine), portStore),
		"seeds":     f.relayedSeeds(portStore, i),
	})
	if err != nil {
		return err
	}
	f.Stores = append(f.Stores, store)
	registry, err := f.newProcess("registry", memberID, nil, fmt.Sprintf("%s:%d", machine, portRegistryProbe), map[string]string{
		"seat":            memberID,
		"order":           memberOrder,
		"listen":          fmt.Sprintf("%s:%d", machine, portRegistry),
		"advertise":       fmt.Sprintf("%s:%d", relayAddress(machine), portRegistry),
		"seeds":           f.relayedSeeds(portRegistry, i),
		"store":           fmt.Sprintf("%s:%d", machine, portStore),
		"operator-listen": f.OperatorAddress(i),
		"lease":           f.lease.String(),
	})
	if err != nil {
		return err
	}
	f.Registries = append(f.Registries, registry)
	return nil
}

// layOutEdge lays out the proxy of an edge machine and, if relayed is set, the relay in front of it.
func (f *Fleet) layOutEdge(i int, relayed bool) error {
	machine := f.edgeAddress(i)
	var callers []string
	for _, caller := range f.callerNames() {
		callers = append(callers, caller+"="+f.CallerAddress(i, caller))
	}
	advertised := machine
	if relayed {
		advertised = relayAddress(machine)
		if err := f.addRelay(machine, portPeer); err != nil {
			return err
		}
	}
	name := fmt.Sprintf("edge-%d", i+1)
	proxy, err := f.newProcess("proxy", name, f.callerNames(), fmt.Sprintf("%s:%d", machine, portProbe), map[string]string{
		"name":           name,
		"area":           f.zone(i),
		"listen":         fmt.Sprintf("%s:%d", machine, portPeer),
		"advertise":      fmt.Sprintf("%s:%d", advertised, portPeer),
		"seeds":          f.relayedSeeds(portRegistry, -1),
		"callers":        strings.Join(callers, ","),
		"workers-listen": fmt.Sprintf("%s:%d", machine, portWorkerAPI),
		"lease":          f.lease.String(),
	})
	if err != nil {
		return err
	}
	f.Proxies = append(f.Proxies, proxy)
	return nil
}

// newProcess issues a certificate for a process, writes its settings file, and returns the process without starting it.
// The certificate lets the process make calls in the name of the given services.
func (f *Fleet) newProcess(program, name string, services []string, probeAddress string, settings map[string]string) (*Process, error) {
	certificate, err := f.authority.Issue(program, name, services)
	if err != nil {
		return nil, err
	}
	folder := filepath.Join(f.folder, program+"-"+name)
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, errs.Wrap(err, errs.DiskFailed, folder)
	}
	settings["certificate"] = certificate
	settings["authority"] = f.authority.File()
	settings["data"] = filepath.Join(folder, "data")
	settings["probe-listen"] = probeAddress
	settingsFile := filepath.Join(folder, "settings")
	process := &Process{
		Name:         program + "/" + name,
		program:      filepath.Join(f.binaries, program),
		args:         []string{"-settings", settingsFile},
		settingsFile: settingsFile,
		probeAddress: probeAddress,
		logFile:      filepath.Join(folder, "output"),
		settings:     settings,
	}
	// The store program can't delay its disk. The testbed program can, and it runs the same daemon.
	if program == "store" && f.delayedDisks {
		process.program = filepath.Join(f.binaries, "testbed")
		process.args = append([]string{DelayedStoreCommand, filepath.Join(folder, diskDelayFile)}, process.args...)
	}
	return process, process.writeSettings(nil)
}
