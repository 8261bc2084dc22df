package testbed

import (
	"fmt"
	"io"
	"maps"
	"sync"
	"syscall"
	"time"
)

// Fleet is a mesh of real processes on this machine that simulates many machines. Each simulated machine has a loopback
// address of its own, and the links between machines may run through relays. NewFleet makes a fleet with relays,
// newHollowCore one without. Once a fleet is laid out, only the state of its processes changes, and the addresses and
// relays of a core machine that ReplaceCoreMember replaces.
type Fleet struct {
	Deployment   *Deployment
	folder       string        // folder of settings, data, certificates and logs
	binaries     string        // folder of the mesh's programs
	netOctet     int           // second octet of every address; reserved, so that fleets that run at the same time differ
	netLock      io.Closer     // reservation of netOctet
	lease        time.Duration // duration of leases, in the settings of registries and proxies
	delayedDisks bool          // stores run on a disk that can be delayed
	authority    *Authority    // issuer of the processes' certificates
	LinkFaults   *LinkFaults   // faults that the relays apply
	relays       []*Relay      // all relays, including those of replaced core machines

	Stores     []*Process // store of each core member
	Registries []*Process // registry of each core member
	Proxies    []*Process // proxy of each edge machine
}

// Processes returns all processes: stores, registries, then proxies.
func (f *Fleet) Processes() []*Process {
	return append(append(append([]*Process(nil), f.Stores...), f.Registries...), f.Proxies...)
}

// Stop ends every process and relay and releases the reserved network. It returns the names of the processes that were
// started but did not exit cleanly.
func (f *Fleet) Stop() []string {
	f.LinkFaults.Heal()
	var lock sync.Mutex
	var unclean []string
	var stopping sync.WaitGroup
	for _, process := range f.Processes() {
		stopping.Add(1)
		go func() {
			defer stopping.Done()
			process.Signal(syscall.SIGCONT)
			if process.cmd != nil && !process.Stop(15*time.Second) {
				lock.Lock()
				unclean = append(unclean, process.Name)
				lock.Unlock()
			}
		}()
	}
	stopping.Wait()
	for _, relay := range f.relays {
		relay.Close()
	}
	_ = f.netLock.Close() // the network is released even if this fails
	return unclean
}

// ReplaceCoreMember kills the i-th core machine and starts a replacement at another address with empty data folders.
// No store or registry listens at the old address any more; the other members learn the new one from the replacement.
// The operator API of the machine keeps its address. ReplaceCoreMember fails with the error of the first step that
// failed.
func (f *Fleet) ReplaceCoreMember(i int) error {
	machine := fmt.Sprintf("127.%d.3.%d", f.netOctet, i+1)
	if err := f.moveProcess(f.Stores[i], f.coreAddress(i), machine, portStore, portStoreProbe, nil); err != nil {
		return err
	}
	store := map[string]string{"store": fmt.Sprintf("%s:%d", machine, portStore)}
	return f.moveProcess(f.Registries[i], f.coreAddress(i), machine, portRegistry, portRegistryProbe, store)
}

// moveProcess kills a process of a core machine, wipes its data, and starts it at the IP address machine. It changes the
// addresses in the process's settings and adds the changes in additional, which may be nil. The new relay applies the
// link faults of the old machine.
func (f *Fleet) moveProcess(process *Process, oldMachine, machine string, port, probePort int, additional map[string]string) error {
	process.Kill()
	if err := process.WipeData(); err != nil {
		return err
	}
	listen := fmt.Sprintf("%s:%d", machine, port)
	advertise := fmt.Sprintf("%s:%d", relayAddress(machine), port)
	relay, err := NewRelay(advertise, listen, oldMachine, f.LinkFaults)
	if err != nil {
		return err
	}
	f.relays = append(f.relays, relay)
	process.probeAddress = fmt.Sprintf("%s:%d", machine, probePort)
	changes := map[string]string{"listen": listen, "advertise": advertise, "probe-listen": process.probeAddress}
	maps.Copy(changes, additional)
	if err := process.writeSettings(changes); err != nil {
		return err
	}
	return process.Start()
}
