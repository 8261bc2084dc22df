package testbed

import (
	"maps"
	"os"
	"runtime"
	"slices"
	"time"

	"meadowhinge/schema"
)

// counterSnapshot holds the counters of all processes at one time.
type counterSnapshot struct {
	at            time.Duration     // time at which reading began, since the run began
	ownCPUSeconds float64           // CPU time of this process, in which the hollow members run
	members       processCounters   // all hollow members together; only heapKB and traffic are set
	core          []processCounters // processes of the core and real proxies, in the order of Fleet.Processes
}

// takeCounterSnapshot reads the counters of one process after another.
func takeCounterSnapshot(core *Fleet, fleet *hollowFleet) counterSnapshot {
	snapshot := counterSnapshot{at: fleet.now(), ownCPUSeconds: cpuSecondsOf(os.Getpid())}
	snapshot.members.traffic = fleet.traffic()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	snapshot.members.heapKB = int((memory.HeapAlloc + memory.StackInuse) >> 10)
	for _, process := range core.Processes() {
		snapshot.core = append(snapshot.core, process.readCounters())
	}
	return snapshot
}

// intervalBetween returns the usage of each role between two snapshots. began is when the first interval of the run
// began.
func intervalBetween(opts *schema.HollowOptions, began time.Duration, from, to counterSnapshot) HollowInterval {
	seconds := (to.at - from.at).Seconds()
	interval := HollowInterval{At: (to.at - began).Seconds(), CPU: map[string]float64{}, Memory: map[string]float64{}}
	interval.CPU["proxy"] = (to.ownCPUSeconds - from.ownCPUSeconds) / seconds * 1000 / float64(opts.Members)
	interval.Memory["proxy"] = float64(to.members.heapKB) / 1024 / float64(opts.Members)
	for i, process := range to.core {
		interval.CPU[process.role] = max(interval.CPU[process.role], (process.cpuSeconds-from.core[i].cpuSeconds)/seconds*1000)
		interval.Memory[process.role] = max(interval.Memory[process.role], float64(process.memoryKB)/1024)
	}
	return interval
}

// costsBetween returns the cost of each role between two snapshots, beginning with the hollow members.
func costsBetween(opts *schema.HollowOptions, from, to counterSnapshot) []RoleCost {
	seconds := (to.at - from.at).Seconds()
	members := float64(opts.Members)
	before, after := from.members.traffic, to.members.traffic
	memberCPU := (to.ownCPUSeconds - from.ownCPUSeconds) / seconds * 1000 / members
	rows := []RoleCost{{
		Role:              "proxy",
		Processes:         int(opts.Members),
		CPU:               memberCPU,
		CPULargest:        memberCPU,
		BytesIn:           perSecond(before.BytesReceived, after.BytesReceived, seconds) / members,
		BytesOut:          perSecond(before.BytesSent, after.BytesSent, seconds) / members,
		ConnectionsOpened: perSecond(before.ConnectionsOpened, after.ConnectionsOpened, seconds) / members,
	}}
	byRole := map[string]*RoleCost{}
	for i := range to.core {
		role := to.core[i].role
		if byRole[role] == nil {
			byRole[role] = &RoleCost{Role: role, MessagesByCall: RatesByName{}}
		}
		byRole[role].add(&from.core[i], &to.core[i], seconds)
	}
	for _, role := range slices.Sorted(maps.Keys(byRole)) {
		row := byRole[role]
		row.average()
		rows = append(rows, *row)
		if role == "registry" {
			for _, call := range proxyCalls {
				rows[0].Messages += row.MessagesByCall[call] * float64(row.Processes) / members
			}
			rows[0].SessionsBegun = row.SessionsBegun / members
		}
	}
	return rows
}

// perSecond returns the rate at which a counter grew. It returns 0 for a counter that fell, because its process was
// restarted or could not be read.
func perSecond(from, to uint64, seconds float64) float64 {
	return float64(max(to, from)-from) / seconds
}

// add adds the usage of one process between two snapshots. If the process was restarted in between, a counter adds only
// the amount by which it exceeds its earlier value.
func (c *RoleCost) add(before, after *processCounters, seconds float64) {
	used := max(after.cpuSeconds-before.cpuSeconds, 0) / seconds * 1000
	c.Processes++
	c.CPU += used
	c.CPULargest = max(c.CPULargest, used)
	c.BytesIn += perSecond(before.traffic.BytesReceived, after.traffic.BytesReceived, seconds)
	c.BytesOut += perSecond(before.traffic.BytesSent, after.traffic.BytesSent, seconds)
	c.ConnectionsOpened += perSecond(before.traffic.ConnectionsOpened, after.traffic.ConnectionsOpened, seconds)
	c.BytesWritten += perSecond(before.bytesWritten, after.bytesWritten, seconds)
	c.MemoryMB += float64(after.memoryKB) / 1024
	c.HeapMB += float64(after.heapKB) / 1024
	c.DiskKB += float64(after.diskKB)
	for _, call := range sessionStartCalls {
		c.SessionsBegun += perSecond(before.traffic.Served[call], after.traffic.Served[call], seconds)
	}
	for call, count := range after.traffic.Messages {
		rate := perSecond(before.traffic.Messages[call], count, seconds)
		c.MessagesByCall[call] += rate
		c.Messages += rate
	}
}

// average turns the sums of add into means over the processes. SessionsBegun remains a sum.
func (c *RoleCost) average() {
	processes := float64(c.Processes)
	for _, figure := range []*float64{
		&c.CPU,
		&c.BytesIn,
		&c.BytesOut,
		&c.Messages,
		&c.ConnectionsOpened,
		&c.BytesWritten,
		&c.MemoryMB,
		&c.HeapMB,
		&c.DiskKB,
	} {
		*figure /= processes
	}
	for call := range c.MessagesByCall {
		c.MessagesByCall[call] /= processes
	}
}

// sessionStartCalls holds the RPCs that begin a session, a member's first one or a later one.
var sessionStartCalls = []string{"/meadowhinge.Registry/Greet", "/meadowhinge.Registry/Attend"}

// proxyCalls holds the RPCs that proxies make to registries. Registries make a few of the session calls too, which are
// counted as calls of proxies.
var proxyCalls = []string{
	"/meadowhinge.Registry/Lease",
	"/meadowhinge.Registry/Feed",
	"/meadowhinge.Registry/Tell",
	"/meadowhinge.Registry/Claim",
	"/meadowhinge.Registry/Greet",
	"/meadowhinge.Registry/Attend",
}

// stableMemory runs garbage collections until they no longer reduce the memory of this process, and returns the size of
// its heap and stacks in bytes.
func stableMemory() int64 {
	previous := int64(0)
	for range maxMemoryReads {
		runtime.GC()
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		current := int64(memory.HeapAlloc + memory.StackInuse)
		if previous > 0 && current > previous-previous/stableDivisor {
			return current
		}
		previous = current
		time.Sleep(joinPoll)
	}
	return previous
}

// Limits of stableMemory.
const (
	maxMemoryReads = 50  // largest number of garbage collections
	stableDivisor  = 200 // a collection that frees less than 1/stableDivisor of the memory is the last
)
