package testbed

import (
	"fmt"
	"io"
	"maps"
	"sync"
	"syscall"
	"time"
)

// Fleet is a mesh of real processes on this machine, which stand for as many machines: each has a loopback
// address of its own, and links between them may run through relays. NewFleet makes it; nothing of it changes
// after but the processes, and the relays of a core machine that is replaced.
type Fleet struct {
	Deployment   *Deployment
	folder       string
	binaries     string
	netOctet     int // second octet of every address, reserved so that fleets at the same time differ
	netLock      io.Closer
	lease        time.Duration
	delayedDisks bool // stores run on a disk that can be delayed
	authority    *Authority
	LinkFaults   *LinkFaults
	relays       []*Relay

	Stores     []*Process
	Registries []*Process
	Proxies    []*Process
}

// Processes lists every process, the core's first.
func (f *Fleet) Processes() []*Process {
	return append(append(append([]*Process(nil), f.Stores...), f.Registries...), f.Proxies...)
}

// Stop ends every process, frees the addresses, and names the processes that did not end cleanly.
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
	_ = f.netLock.Close() // frees the net, also if it fails
	return unclean
}

// ReplaceCoreMember brings a core machine back at another address and without its disk, as a replacement. Its old
// address stays dead; the other members learn the new one from the replacement.
func (f *Fleet) ReplaceCoreMember(i int) error {
	machine := fmt.Sprintf("127.%d.3.%d", f.netOctet, i+1)
	if err := f.moveProcess(f.Stores[i], f.coreAddress(i), machine, portStore, portStoreProbe, nil); err != nil {
		return err
	}
	store := map[string]string{"store": fmt.Sprintf("%s:%d", machine, portStore)}
	return f.moveProcess(f.Registries[i], f.coreAddress(i), machine, portRegistry, portRegistryProbe, store)
}

// moveProcess kills a process of a core machine, wipes its data, and starts it at another address with further
// changes of its settings. Its relay there keeps the faults of the old machine's links.
func (f *Fleet) moveProcess(process *Process, oldMachine, machine string, port, probePort int, further map[string]string) error {
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
	maps.Copy(changes, further)
	if err := process.writeSettings(changes); err != nil {
		return err
	}
	return process.Start()
}
