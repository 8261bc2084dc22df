package testbed

import (
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

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

// Processes lists every process, the core first.
func (f *Fleet) Processes() []*Process {
	return append(append(append([]*Process(nil), f.Stores...), f.Registries...), f.Proxies...)
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
	_ = f.netLock.Close() // frees the net, also if it fails
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
