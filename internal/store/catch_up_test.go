package store

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/schema"
)

// The load of TestCatchingUpUnderManyChanges.
const (
	manyChanges  = 2000
	changeEvery  = 8 * time.Millisecond
	goneInChange = 150 // half the number of changes between two losses
)

// While thousands of changes go on, members in turn lose their disks, are down for long and are replaced. Within the
// time to catch up after its return each has, by a snapshot and the entries after it, nearly all that is committed; and
// the model's checks hold.
func TestCatchingUpUnderManyChanges(t *testing.T) {
	m := newModel(3, 1, nil)
	for i := range manyChanges {
		m.at(time.Duration(i)*changeEvery, nil, ordinaryEvent, func() {
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
	for i := goneInChange; i < manyChanges-goneInChange; i += 2 * goneInChange {
		m.at(time.Duration(i)*changeEvery, nil, ordinaryEvent, func() {
			standing := m.standing()
			lost := standing[losses%len(standing)]
			switch losses % 3 {
			case 0:
				wipeMember(m, lost)
			case 1:
				m.powerLoss(lost, 0)
				m.restartAfter(lost, goneInChange/2*changeEvery)
			case 2:
				replaceMember(m, lost)
			}
			losses++
			m.at(goneInChange/2*changeEvery+modelCatchUp, nil, ordinaryEvent, func() { m.mustHaveCaughtUp(t, i) })
		})
	}
	m.runTo(m.now + manyChanges*changeEvery)
	if breaches := m.verdict(); len(breaches) > 0 {
		t.Error(breaches)
	}
	committed, _ := m.standing()[0].Committed()
	if committed < manyChanges || losses < 6 {
		t.Errorf("only %d entries were committed, with %d losses", committed, losses)
	}
	t.Logf("%d entries committed, %d losses", committed, losses)
}

// mustHaveCaughtUp checks that every replica is a member and at most MaxEntries behind the others.
func (m *model) mustHaveCaughtUp(t *testing.T, change int) {
	t.Helper()
	var highest uint64
	for _, replica := range m.standing() {
		highest = max(highest, replica.committedSequence)
	}
	for _, replica := range m.standing() {
		if !replica.up || !replica.isMember() || replica.committedSequence+uint64(replica.config.MaxEntries) < highest {
			t.Errorf("at change %d: %s, up %t, member %t, has committed %d of %d",
				change, replica.name, replica.up, replica.isMember(), replica.committedSequence, highest)
		}
	}
}
