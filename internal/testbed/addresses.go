package testbed

import (
	"fmt"
	"strings"
)

// Ports, the same on every machine: machines differ by their loopback address.
const (
	portPeer          = 7001
	portWorkerAPI     = 7002
	portProbe         = 7003
	portCallers       = 7010
	portRegistry      = 7101
	portOperator      = 7102
	portRegistryProbe = 7103
	portStore         = 7201
	portStoreProbe    = 7203
	portWorker        = 7301
)

// memberIDs names the core members, in the order of the static member list.
func (f *Fleet) memberIDs() []string {
	var names []string
	for i := range f.Deployment.CoreMembers {
		names = append(names, string(rune('a'+i)))
	}
	return names
}

// coreAddress is the IP address of a core machine.
func (f *Fleet) coreAddress(i int) string { return fmt.Sprintf("127.%d.1.%d", f.netOctet, i+1) }

// edgeAddress is the IP address of an edge machine.
func (f *Fleet) edgeAddress(i int) string { return fmt.Sprintf("127.%d.2.%d", f.netOctet, i+1) }

// relayAddress is the IP address of the relay in front of a machine.
func relayAddress(machine string) string {
	octets := strings.Split(machine, ".")
	return octets[0] + "." + octets[1] + ".10" + octets[2] + "." + octets[3]
}

// zone is the zone of the i-th machine.
func (f *Fleet) zone(i int) string { return fmt.Sprintf("area-%d", i%f.Deployment.Zones+1) }

// callerNames are the callers that have a listener at each proxy: clients and every service.
func (f *Fleet) callerNames() []string {
	callers := []string{clientCaller}
	for _, service := range f.Deployment.Services {
		callers = append(callers, service.Name)
	}
	return callers
}

// OperatorAddress is the operators' IP:port at a core machine.
func (f *Fleet) OperatorAddress(i int) string {
	return fmt.Sprintf("%s:%d", f.coreAddress(i), portOperator)
}

// CallerAddress is the IP:port at which a caller reaches the proxy of an edge machine; empty for an unknown caller.
func (f *Fleet) CallerAddress(edge int, caller string) string {
	for i, name := range f.callerNames() {
		if name == caller {
			return fmt.Sprintf("%s:%d", f.edgeAddress(edge), portCallers+i)
		}
	}
	return ""
}
