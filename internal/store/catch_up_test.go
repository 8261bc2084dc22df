package store

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/schema"
)

// Two thousand changes in a row, and how they are spread.
const (
	manyChanges  = 2000
	changeEvery  = 8 * time.Millisecond
	goneInChange = 150 // changes between two losses
)

// While changes go on by the thousand, a replica is in turn wiped, off for long and replaced. Each
// time it has, within the time to catch up, all that was committed as it came back, by a snapshot
// and the entries after it; and it does not lead before.
func TestCatchingUpUnderManyChanges(t *testing.T) {
	m := newModel(3, 1, nil)
	for i := range manyChanges {
		m.at(time.Duration(i)*changeEvery, nil, ordinaryEvent, func() {
			m.write(i, &schema.Item{Kind: "segment", Name: modelItem(i % modelItems), OperatorVersion: uint64(i + 1), Body: []byte(fmt.Sprintf(`{"salt":"%d"}`, i))})
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
			fault := []func(){func() { wipeMember(m, lost) }, func() { m.powerLoss(lost, 0); m.restartAfter(lost, goneInChange/2*changeEvery) }, func() { replaceMember(m, lost) }}[losses%3]
			losses++
			fault()
			m.at(goneInChange/2*changeEvery+modelCatchUp, nil, ordinaryEvent, func() { m.mustHaveCaughtUp(t, i) })
		})
	}
	m.runTo(m.now + manyChanges*changeEvery)
	if breaches := m.verdict(); len(breaches) > 0 {
		t.Error(breaches)
	}
	committed, _ := m.standing()[0].Committed()
	if committed < manyChanges || losses < 6 {
		t.Errorf("only %d were committed, with %d losses", committed, losses)
	}
	t.Logf("%d entries committed, %d losses", committed, losses)
}

// mustHaveCaughtUp looks whether every replica is a member and close behind the others.
func (m *model) mustHaveCaughtUp(t *testing.T, change int) {
	var highest uint64
	for _, replica := range m.standing() {
		highest = max(highest, replica.committedSequence)
	}
	for _, replica := range m.standing() {
		if !replica.up || !replica.isMember() || replica.committedSequence+uint64(replica.config.MaxEntries) < highest {
			t.Errorf("at change %d: %s, up %t, member %t, is at %d of %d", change, replica.name, replica.up, replica.Replica.isMember(), replica.committedSequence, highest)
		}
	}
}
