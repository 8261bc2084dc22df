package store

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/schema"
)

// The load of TestMembersCatchUpUnderLoad.
const (
	changeCount    = 2000
	changeInterval = 8 * time.Millisecond
	halfLossPeriod = 150 // half the number of changes between two losses
)

// During thousands of changes, members in turn lose their disks, are down for long and are replaced. Each of them
// catches up, by a snapshot and the entries after it, within modelCatchUpTime after its return, and the model's checks
// hold.
func TestMembersCatchUpUnderLoad(t *testing.T) {
	m := newModel(3, 1, nil)
	for i := range changeCount {
		m.at(time.Duration(i)*changeInterval, nil, ordinaryEvent, func() {
			m.write(i, &schema.Item{
				Kind:            "segment",
				Name:            modelItem(i % modelItems),
				OperatorVersion: uint64(i + 1),
				Body:            []byte(fmt.Sprintf(`{"salt":"%d"}`, i)),
			})
			if i%20 == 0 {
				m.read(i)
			}
		})
	}
	losses := 0
	for i := halfLossPeriod; i < changeCount-halfLossPeriod; i += 2 * halfLossPeriod {
		m.at(time.Duration(i)*changeInterval, nil, ordinaryEvent, func() {
			remaining := m.remaining()
			lost := remaining[losses%len(remaining)]
			switch losses % 3 {
			case 0:
				wipeMember(m, lost)
			case 1:
				m.powerLoss(lost, 0)
				m.restartAfter(lost, halfLossPeriod/2*changeInterval)
			case 2:
				replaceMember(m, lost)
			}
			losses++
			m.at(halfLossPeriod/2*changeInterval+modelCatchUpTime, nil, ordinaryEvent, func() { m.mustHaveCaughtUp(t, i) })
		})
	}
	m.runTo(m.now + changeCount*changeInterval)
	if violations := m.recoverAndCheck(); len(violations) > 0 {
		t.Errorf("violations under load: %v, want none", violations)
	}
	committed, _ := m.remaining()[0].Committed()
	if committed < changeCount || losses < 6 {
		t.Errorf("the run committed %d entries with %d losses, want at least %d entries with at least 6 losses",
			committed, losses, changeCount)
	}
	t.Logf("%d entries committed, %d losses", committed, losses)
}

// mustHaveCaughtUp checks that every replica is up, a member, and at most MaxEntries behind the highest committed
// sequence. change is the index of the change at which the last loss occurred.
func (m *model) mustHaveCaughtUp(t *testing.T, change int) {
	t.Helper()
	var highest uint64
	for _, replica := range m.remaining() {
		highest = max(highest, replica.committedSequence)
	}
	for _, replica := range m.remaining() {
		if !replica.up || !replica.isMember() || replica.committedSequence+uint64(replica.config.MaxEntries) < highest {
			t.Errorf("after the loss at change %d: %s is up: %t, is a member: %t, has committed %d of %d; want true, true, and at most %d behind",
				change, replica.name, replica.up, replica.isMember(), replica.committedSequence, highest, replica.config.MaxEntries)
		}
	}
}
