package testbed

import (
	"maps"
	"os"
	"runtime"
	"slices"
	"time"

	"meadowhinge/schema"
)

// counterSnapshot has the counters of all processes at a time.
type counterSnapshot struct {
	at      time.Duration
	own     float64 // processor seconds of this process, which holds the hollow members
	members processCounters
	core    []processCounters
}

// takeCounterSnapshot reads all counters, one process after another.
func takeCounterSnapshot(core *Fleet, fleet *hollowFleet) counterSnapshot {
	snapshot := counterSnapshot{at: fleet.now(), own: cpuSecondsOf(os.Getpid())}
	snapshot.members.traffic = fleet.traffic()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	snapshot.members.heapKB = int((memory.HeapAlloc + memory.StackInuse) >> 10)
	for _, process := range core.Processes() {
		snapshot.core = append(snapshot.core, process.readCounters())
	}
	return snapshot
}

// intervalBetween computes what the roles used between two snapshots.
func intervalBetween(opts *schema.HollowOptions, began time.Duration, from, to counterSnapshot) HollowInterval {
	seconds := (to.at - from.at).Seconds()
	interval := HollowInterval{At: (to.at - began).Seconds(), CPU: map[string]float64{}, Memory: map[string]float64{}}
	interval.CPU["proxy"] = (to.own - from.own) / seconds * 1000 / float64(opts.Members)
	interval.Memory["proxy"] = float64(to.members.heapKB) / 1024 / float64(opts.Members)
	for i, process := range to.core {
		interval.CPU[process.role] = max(interval.CPU[process.role], (process.cpuSeconds-from.core[i].cpuSeconds)/seconds*1000)
		interval.Memory[process.role] = max(interval.Memory[process.role], float64(process.memoryKB)/1024)
	}
	return interval
}

// costsBetween computes the cost of each role between two snapshots, the hollow members' first.
func costsBetween(opts *schema.HollowOptions, from, to counterSnapshot) []RoleCost {
	seconds := (to.at - from.at).Seconds()
	members := float64(opts.Members)
	// A counter that fell is of a process that could not be read, or that was restarted.
	rate := func(from, to uint64) float64 { return float64(max(to, from)-from) / seconds }
	before, after := from.members.traffic, to.members.traffic
	memberCPU := (to.own - from.own) / seconds * 1000 / members
	rows := []RoleCost{{
		Role:              "proxy",
		Processes:         int(opts.Members),
		CPU:               memberCPU,
		CPULargest:        memberCPU,
		BytesIn:           rate(before.In, after.In) / members,
		BytesOut:          rate(before.Out, after.Out) / members,
		ConnectionsOpened: rate(before.Opened, after.Opened) / members,
	}}
	byRole := map[string]*RoleCost{}
	for i, after := range to.core {
		before := from.core[i]
		row := byRole[after.role]
		if row == nil {
			row = &RoleCost{Role: after.role, MessagesByCall: RatesByName{}}
			byRole[after.role] = row
		}
		// Of a process that was restarted meanwhile, only what goes beyond its earlier use counts.
		used := max(after.cpuSeconds-before.cpuSeconds, 0) / seconds * 1000
		row.Processes++
		row.CPU += used
		row.CPULargest = max(row.CPULargest, used)
		row.BytesIn += rate(before.traffic.In, after.traffic.In)
		row.BytesOut += rate(before.traffic.Out, after.traffic.Out)
		row.ConnectionsOpened += rate(before.traffic.Opened, after.traffic.Opened)
		row.BytesWritten += rate(before.bytesWritten, after.bytesWritten)
		row.MemoryMB += float64(after.memoryKB) / 1024
		row.HeapMB += float64(after.heapKB) / 1024
		row.DiskKB += float64(after.diskKB)
		for _, call := range sessionStartCalls {
			row.SessionsBegun += rate(before.traffic.Served[call], after.traffic.Served[call])
		}
		for call, count := range after.traffic.Messages {
			row.MessagesByCall[call] += rate(before.traffic.Messages[call], count)
			row.Messages += rate(before.traffic.Messages[call], count)
		}
	}
	for _, role := range slices.Sorted(maps.Keys(byRole)) {
		row := byRole[role]
		processes := float64(row.Processes)
		for _, figure := range []*float64{
			&row.CPU,
			&row.BytesIn,
			&row.BytesOut,
			&row.Messages,
			&row.ConnectionsOpened,
			&row.BytesWritten,
			&row.MemoryMB,
			&row.HeapMB,
			&row.DiskKB,
		} {
			*figure /= processes
		}
		for call := range row.MessagesByCall {
			row.MessagesByCall[call] /= processes
		}
		rows = append(rows, *row)
		if role == "registry" {
			for _, call := range proxyCalls {
				rows[0].Messages += row.MessagesByCall[call] * processes / members
			}
			rows[0].SessionsBegun = row.SessionsBegun / members
		}
	}
	return rows
}

// sessionStartCalls are the RPCs by which a session begins, the first or a later one.
var sessionStartCalls = []string{"/meadowhinge.Registry/Greet", "/meadowhinge.Registry/Attend"}

// proxyCalls are the RPCs of proxies to registries. A few of the sessions among them are other registries'.
var proxyCalls = []string{
	"/meadowhinge.Registry/Lease",
	"/meadowhinge.Registry/Feed",
	"/meadowhinge.Registry/Tell",
	"/meadowhinge.Registry/Claim",
	"/meadowhinge.Registry/Greet",
	"/meadowhinge.Registry/Attend",
}

// stableMemory is the heap and stacks of this process, in bytes, once garbage collections no longer reduce them.
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

// Bounds of stableMemory: how often memory is read at most, and which part of it a collection must free for
// another read.
const (
	maxMemoryReads = 50
	stableDivisor  = 200
)
