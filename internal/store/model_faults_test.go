package store

import (
	"slices"
	"time"
)

// powerLoss ends a replica's process. Of its writes that are not durable the first writesKept reach the disk all the same.
func (m *model) powerLoss(replica *modelReplica, writesKept int) {
	for _, write := range replica.writing[:min(writesKept, len(replica.writing))] {
		replica.storeRecord(write)
	}
	replica.up = false
}

// extendFaults records that a fault lasts for a while, for the verdict to wait.
func (m *model) extendFaults(outage time.Duration) { m.faultsEndAt = max(m.faultsEndAt, m.now+outage) }

// restartAfter starts a replica's process again after a while.
func (m *model) restartAfter(replica *modelReplica, after time.Duration) {
	m.extendFaults(after)
	m.at(after, nil, ordinaryEvent, func() {
		if !replica.up && !replica.removed {
			m.start(replica)
		}
	})
}

// isolate partitions a replica's links for the usual time of a fault.
func (m *model) isolate(replica *modelReplica, inward, outward bool) {
	m.isolateFor(modelOutage, replica, inward, outward)
}

// isolateFor partitions a replica's incoming or outgoing links, or both, for a while.
func (m *model) isolateFor(outage time.Duration, replica *modelReplica, inward, outward bool) {
	cut := func(is bool) {
		for _, other := range m.members {
			if inward {
				m.partitioned[[2]string{other.name, replica.name}] = is
			}
			if outward {
				m.partitioned[[2]string{replica.name, other.name}] = is
			}
		}
	}
	cut(true)
	m.at(outage, nil, ordinaryEvent, func() { cut(false) })
	m.extendFaults(outage)
}

// modelFault is a fault that strikes one replica.
type modelFault struct {
	name   string
	strike func(m *model, replica *modelReplica)
}

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
	{"freezes, and gets a read as it thaws", func(m *model, replica *modelReplica) {
		replica.frozenUntil = m.now + modelOutage
		m.extendFaults(modelOutage)
		m.at(modelOutage, nil, ordinaryEvent, func() { m.read(slices.Index(m.members, replica)) })
	}},
	{"is replaced", replaceMember},
	{"is replaced as planned", func(m *model, replica *modelReplica) {
		m.add(modelName(len(m.members)), false)
		m.at(modelCatchUp, nil, ordinaryEvent, func() { m.remove(replica) })
	}},
}

// wipeMember loses a replica's disk; the machine comes back with an empty one.
func wipeMember(m *model, replica *modelReplica) {
	m.powerLoss(replica, 0)
	replica.disk = nil
	m.restartAfter(replica, modelHeartbeatTimeout)
}

// replaceMember removes a machine for good; soon another one joins.
func replaceMember(m *model, replica *modelReplica) {
	m.remove(replica)
	m.at(modelHeartbeatTimeout, nil, ordinaryEvent, func() { m.add(modelName(len(m.members)), false) })
}

// remove removes a machine for good.
func (m *model) remove(replica *modelReplica) {
	if replica.up {
		m.powerLoss(replica, 0)
	}
	replica.removed = true
}

// allLosePower ends every process at one moment and restarts them one after the other.
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
