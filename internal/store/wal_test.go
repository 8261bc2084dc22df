package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// voteRecord is a record that its term identifies.
func voteRecord(term int) *schema.Record {
	return &schema.Record{VotedTerm: uint64(term), VotedFor: fmt.Sprint("replica-", term)}
}

// writeUntilPowerLoss opens a log and writes groups of records to it until power is lost. It returns what it read on
// opening, what is durable for certain beyond that, and the group that was being written.
func writeUntilPowerLoss(files *faultyFileSystem, from int, snapshots bool) (read, synced, inFlight []*schema.Record, err error) {
	log, read, err := openLog(files)
	if err != nil {
		return nil, nil, nil, err
	}
	for step := range 4 {
		// A snapshot replaces all records before it.
		replacesLog := snapshots && step == 2 || len(read)+len(synced) == 0
		group := []*schema.Record{voteRecord(from + 2*step), voteRecord(from + 2*step + 1)}
		if replacesLog {
			group = group[1:]
			group[0].Snapshot = &schema.Snapshot{Sequence: group[0].VotedTerm}
		}
		if err := log.Write(group, replacesLog); err != nil {
			return read, synced, group, nil
		}
		if replacesLog {
			read, synced = nil, nil
		}
		synced = append(synced, group...)
	}
	return read, synced, nil, nil
}

func equalRecords(a, b []*schema.Record) bool {
	return slices.EqualFunc(a, b, func(a, b *schema.Record) bool { return proto.Equal(a, b) })
}

// Wherever power is lost, and whatever is then found of what was not synced: everything durable is read again, in order;
// what was being written is read completely or not at all; and the log goes on from there, through a second loss.
func TestPowerLost(t *testing.T) {
	cases := 0
	for _, snapshots := range []bool{false, true} {
		for first := 1; ; first++ {
			files := newFaultyFileSystem()
			files.powerLossAt = first
			_, synced, inFlight, err := writeUntilPowerLoss(files, 1, snapshots)
			if err != nil {
				t.Fatal(err)
			}
			for _, state := range files.statesAfterPowerLoss() {
				again := state.statesAfterPowerLoss()[0]
				_, read, err := openLog(again)
				if !readsExpected(read, nil, synced, inFlight) || err != nil {
					t.Fatalf("snapshots %v, power lost at %d: read %v, durable %v, in flight %v: %v", snapshots, first, read, synced, inFlight, err)
				}
				for second := 1; ; second++ {
					twice := state.statesAfterPowerLoss()[0]
					twice.powerLossAt = second
					before, synced, inFlight, err := writeUntilPowerLoss(twice, 100, snapshots)
					if err != nil {
						if errors.Is(err, errPower) || errs.CodeOf(err) == errs.DiskFailed {
							continue // power was lost while the log was opened
						}
						t.Fatal(err)
					}
					for _, secondState := range twice.statesAfterPowerLoss() {
						_, read, err := openLog(secondState)
						cases++
						if !readsExpected(read, before, synced, inFlight) || err != nil {
							t.Fatalf("snapshots %v, power lost at %d and %d: read %v, before %v, durable %v, in flight %v: %v",
								snapshots, first, second, read, before, synced, inFlight, err)
						}
					}
					if twice.operations < second {
						break
					}
				}
			}
			if files.operations < first {
				break
			}
		}
	}
	if cases < 1000 {
		t.Errorf("only %d cases were run", cases)
	}
	t.Logf("%d cases", cases)
}

// readsExpected reports whether a log has what it must: all before and synced, and possibly what was in flight.
func readsExpected(read, before, synced, inFlight []*schema.Record) bool {
	durable := slices.Concat(before, synced)
	if equalRecords(read, durable) {
		return true
	}
	if len(inFlight) > 0 && inFlight[len(inFlight)-1].Snapshot != nil {
		return equalRecords(read, inFlight)
	}
	return equalRecords(read, slices.Concat(durable, inFlight))
}

// After a failed write the log accepts nothing but a record that replaces it, and then goes on.
func TestRefusedWrite(t *testing.T) {
	files := newFaultyFileSystem()
	log, _, err := openLog(files)
	if err != nil {
		t.Fatal(err)
	}
	first := &schema.Record{VotedTerm: 1, Snapshot: &schema.Snapshot{}}
	if err := log.Write([]*schema.Record{first}, true); err != nil {
		t.Fatal(err)
	}
	files.refusesWrites = true
	refused := func(number int) {
		t.Helper()
		if err := log.Write([]*schema.Record{voteRecord(number)}, false); errs.CodeOf(err) != errs.DiskFailed {
			t.Errorf("%d was written after a write that may be missing: %v", number, err)
		}
	}
	refused(2)
	files.refusesWrites = false
	refused(2)
	files.refusesWrites = true
	if err := log.Write([]*schema.Record{first}, true); errs.CodeOf(err) != errs.DiskFailed {
		t.Fatal(err)
	}
	files.refusesWrites = false
	refused(3)
	snapshot := &schema.Record{VotedTerm: 4, Snapshot: &schema.Snapshot{}}
	if err := log.Write([]*schema.Record{snapshot}, true); err != nil {
		t.Fatal(err)
	}
	if err := log.Write([]*schema.Record{voteRecord(5)}, false); err != nil {
		t.Fatal(err)
	}
	for _, state := range files.statesAfterPowerLoss() {
		if _, read, err := openLog(state); err != nil || !equalRecords(read, []*schema.Record{snapshot, voteRecord(5)}) {
			t.Errorf("read %v: %v", read, err)
		}
	}
}

// A process acts upon what it has read, so that is durable even if the process before it was killed in the middle of a
// write and power is lost afterwards.
func TestReadLasts(t *testing.T) {
	for first := 1; ; first++ {
		files := newFaultyFileSystem()
		files.powerLossAt = first
		if _, _, _, err := writeUntilPowerLoss(files, 1, true); err != nil {
			t.Fatal(err)
		}
		ended := files.operations < first
		files.powerLossAt = 0
		_, read, err := openLog(files)
		if err != nil {
			t.Fatal(err)
		}
		for _, state := range files.statesAfterPowerLoss() {
			if _, again, err := openLog(state); err != nil || !equalRecords(read, again) {
				t.Fatalf("killed at %d: read %v, then %v: %v", first, read, again, err)
			}
		}
		if ended {
			return
		}
	}
}

// filledLog writes a log of that many records, a frame each.
func filledLog(t *testing.T, count int) (folder string, written []*schema.Record) {
	t.Helper()
	folder = filepath.Join(t.TempDir(), "data")
	log, _, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	for i := range count {
		written = append(written, voteRecord(i+1))
		if err := log.Write(written[i:i+1], false); err != nil {
			t.Fatal(err)
		}
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	return folder, written
}

// expectRecords checks the records of a log, and that it can be appended to.
func expectRecords(t *testing.T, folder string, want []*schema.Record) {
	t.Helper()
	log, records, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }() // what it wrote is durable already
	if !equalRecords(want, records) {
		t.Errorf("read %v, want %v", records, want)
	}
	// The log must take writes after a repair.
	if err := log.Write([]*schema.Record{voteRecord(99)}, false); err != nil {
		t.Error(err)
	}
}

// Wherever the last frame is torn, the records before it are read; on a real disk.
func TestTornTailIsDropped(t *testing.T) {
	folder, written := filledLog(t, 3)
	file := filepath.Join(folder, logName(1))
	intact, _ := os.ReadFile(file)
	last := len(intact) / 3
	for cut := 1; cut < last; cut++ {
		if err := os.WriteFile(file, intact[:len(intact)-cut], 0o640); err != nil {
			t.Fatal(err)
		}
		expectRecords(t, folder, written[:2])
	}
	// A tail whose length reached the disk, but not its bytes.
	zeroed := append([]byte(nil), intact...)
	for i := len(zeroed) - last + 3; i < len(zeroed); i++ {
		zeroed[i] = 0
	}
	_ = os.WriteFile(file, zeroed, 0o640)
	expectRecords(t, folder, written[:2])
}

// Corruption before the tail is refused, not skipped: a vote may be in what is lost.
func TestCorruptionInTheMiddleIsRefused(t *testing.T) {
	folder, _ := filledLog(t, 3)
	file := filepath.Join(folder, logName(1))
	content, _ := os.ReadFile(file)
	content[len(content)/2] ^= 0x40
	_ = os.WriteFile(file, content, 0o640)
	if _, _, err := Open(folder); err == nil || errs.CodeOf(err) != errs.DiskCorrupt {
		t.Errorf("got %v", err)
	}
	if err := SetAside(folder); err != nil {
		t.Fatal(err)
	}
	expectRecords(t, folder, nil)
}

// A record that replaces the log removes everything before it.
func TestSnapshotRecordTruncates(t *testing.T) {
	folder, _ := filledLog(t, 3)
	log, _, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	snapshot := &schema.Record{Snapshot: &schema.Snapshot{Term: 4, Sequence: 7}}
	if err := log.Write([]*schema.Record{snapshot}, true); err != nil {
		t.Fatal(err)
	}
	if err := log.Close(); err != nil {
		t.Error(err)
	}
	if names, _ := osFileSystem(folder).list(); len(names) != 1 {
		t.Errorf("files left: %v", names)
	}
	expectRecords(t, folder, []*schema.Record{snapshot})
}
