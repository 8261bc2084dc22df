package testbed

import (
	"fmt"
	"strings"
)

// Ports of the processes. They are the same on every machine, because machines differ by their loopback address.
const (
	portPeer          = 7001 // proxy: calls from other proxies
	portWorkerAPI     = 7002 // proxy: registrations of workers
	portProbe         = 7003 // proxy: status pages
	portCallers       = 7010 // proxy: listener of the first caller; further callers have the ports after it
	portRegistry      = 7101 // registry: sessions of proxies and other registries
	portOperator      = 7102 // registry: operator API
	portRegistryProbe = 7103 // registry: status pages
	portStore         = 7201 // store: other stores and the registry
	portStoreProbe    = 7203 // store: status pages
	portWorker        = 7301 // first worker of a machine; further workers have the ports after it
)

// memberIDs returns the ids of the core members, in the order of the static member list.
func (f *Fleet) memberIDs() []string {
	var names []string
	for i := range f.Deployment.CoreMembers {
		names = append(names, string(rune('a'+i)))
	}
	return names
}

// coreAddress returns the IP address of the i-th core machine.
func (f *Fleet) coreAddress(i int) string { return fmt.Sprintf("127.%d.1.%d", f.netOctet, i+1) }

// edgeAddress returns the IP address of the i-th edge machine.
func (f *Fleet) edgeAddress(i int) string { return fmt.Sprintf("127.%d.2.%d", f.netOctet, i+1) }

// relayAddress returns the IP address of the relays in front of a machine: the machine's own address with 100 added to
// the third octet.
func relayAddress(machine string) string {
	octets := strings.Split(machine, ".")
	return octets[0] + "." + octets[1] + ".10" + octets[2] + "." + octets[3]
}

// zone returns the zone of the i-th core or edge machine.
func (f *Fleet) zone(i int) string { return fmt.Sprintf("area-%d", i%f.Deployment.Zones+1) }

// callerNames returns the callers that have a listener at each proxy: clients and every service.
func (f *Fleet) callerNames() []string {
	callers := []string{clientCaller}
	for _, service := range f.Deployment.Services {
		callers = append(callers, service.Name)
	}
	return callers
}

// OperatorAddress returns the IP:port of the operator API of the i-th core machine.
func (f *Fleet) OperatorAddress(i int) string {
	return fmt.Sprintf("%s:%d", f.coreAddress(i), portOperator)
}

// CallerAddress returns the IP:port of a caller's listener at the proxy of an edge machine; empty for an unknown caller.
func (f *Fleet) CallerAddress(edge int, caller string) string {
	for i, name := range f.callerNames() {
		if name == caller {
			return fmt.Sprintf("%s:%d", f.edgeAddress(edge), portCallers+i)
		}
	}
	return ""
}
