package store

import (
	"slices"
	"time"
)

// powerLoss ends the process of a replica. The first writesKept of its pending writes reach the disk nevertheless.
func (m *model) powerLoss(replica *modelReplica, writesKept int) {
	for _, write := range replica.writing[:min(writesKept, len(replica.writing))] {
		replica.storeRecord(write)
	}
	replica.up = false
}

// extendFaults records that a fault lasts from now for a time, so that recoverAndCheck waits for its end.
func (m *model) extendFaults(outage time.Duration) { m.faultsEndAt = max(m.faultsEndAt, m.now+outage) }

// restartAfter starts the process of a replica again after a delay.
func (m *model) restartAfter(replica *modelReplica, after time.Duration) {
	m.extendFaults(after)
	m.at(after, nil, ordinaryEvent, func() {
		if !replica.up && !replica.removed {
			m.start(replica)
		}
	})
}

// isolate partitions the incoming or outgoing links of a replica, or both, for the usual duration of a fault.
func (m *model) isolate(replica *modelReplica, inward, outward bool) {
	m.isolateFor(modelOutage, replica, inward, outward)
}

// isolateFor partitions the incoming or outgoing links of a replica, or both, for the duration outage.
func (m *model) isolateFor(outage time.Duration, replica *modelReplica, inward, outward bool) {
	setPartitioned := func(partitioned bool) {
		for _, other := range m.members {
			if inward {
				m.partitioned[[2]string{other.name, replica.name}] = partitioned
			}
			if outward {
				m.partitioned[[2]string{replica.name, other.name}] = partitioned
			}
		}
	}
	setPartitioned(true)
	m.at(outage, nil, ordinaryEvent, func() { setPartitioned(false) })
	m.extendFaults(outage)
}

// modelFault is a fault of one replica.
type modelFault struct {
	name   string                                // what the replica does or suffers, after its name
	inject func(m *model, replica *modelReplica) // makes the fault begin at a replica
}

// modelFaults are the faults that the exploration injects into each replica.
var modelFaults = []modelFault{
	{"loses power", func(m *model, replica *modelReplica) {
		m.powerLoss(replica, 0)
		m.restartAfter(replica, modelOutage)
	}},
	{"loses power for a moment, keeping a write", func(m *model, replica *modelReplica) {
		m.powerLoss(replica, 1)
		m.restartAfter(replica, modelLinkDelay)
	}},
	{"loses its disk", wipeMember},
	{"is partitioned", func(m *model, replica *modelReplica) { m.isolate(replica, true, true) }},
	{"hears nothing", func(m *model, replica *modelReplica) { m.isolate(replica, true, false) }},
	{"is not heard", func(m *model, replica *modelReplica) { m.isolate(replica, false, true) }},
	{"freezes, and gets a read when it continues", func(m *model, replica *modelReplica) {
		replica.frozenUntil = m.now + modelOutage
		m.extendFaults(modelOutage)
		m.at(modelOutage, nil, ordinaryEvent, func() { m.read(slices.Index(m.members, replica)) })
	}},
	{"is replaced", replaceMember},
	{"is replaced as planned", func(m *model, replica *modelReplica) {
		m.add(modelName(len(m.members)), false)
		m.at(modelCatchUpTime, nil, ordinaryEvent, func() { m.remove(replica) })
	}},
}

// wipeMember destroys the disk of a replica. The machine comes back with an empty disk.
func wipeMember(m *model, replica *modelReplica) {
	m.powerLoss(replica, 0)
	replica.disk = nil
	m.restartAfter(replica, modelHeartbeatTimeout)
}

// replaceMember removes a machine permanently. After a heartbeat timeout another one joins.
func replaceMember(m *model, replica *modelReplica) {
	m.remove(replica)
	m.at(modelHeartbeatTimeout, nil, ordinaryEvent, func() { m.add(modelName(len(m.members)), false) })
}

// remove powers off a machine, which never restarts.
func (m *model) remove(replica *modelReplica) {
	if replica.up {
		m.powerLoss(replica, 0)
	}
	replica.removed = true
}

// allLosePower ends all processes at the same time and restarts them one after the other. Every second one keeps a
// pending write.
func (m *model) allLosePower() {
	for index, replica := range m.members {
		if replica.removed {
			continue
		}
		if replica.up {
			m.powerLoss(replica, index%2)
		}
		m.restartAfter(replica, time.Duration(index+1)*modelLinkDelay)
	}
}
