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

// voteRecord returns a record that is identified by its term.
func voteRecord(term int) *schema.Record {
	return &schema.Record{VotedTerm: uint64(term), VotedFor: fmt.Sprint("replica-", term)}
}

// writeUntilPowerLoss opens a log and writes four groups of records to it, the first with the term from, until power is
// lost. It returns the records read on opening that are still in the log, the records written after them that are
// certainly durable, and the group whose write failed, nil if none did. With snapshots the third group replaces the log.
func writeUntilPowerLoss(files *faultyFileSystem, from int, snapshots bool) (read, synced, inFlight []*schema.Record, err error) {
	log, read, err := openLog(files)
	if err != nil {
		return nil, nil, nil, err
	}
	for step := range 4 {
		replacesLog := snapshots && step == 2 || len(read)+len(synced) == 0 // an empty log begins with a complete record
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

// equalRecords reports whether two lists have equal records in the same order.
func equalRecords(a, b []*schema.Record) bool {
	return slices.EqualFunc(a, b, func(a, b *schema.Record) bool { return proto.Equal(a, b) })
}

// Power is lost at each operation, and the unsynced writes are then found in each possible state. All durable records are
// read again in order, the group in flight is read completely or not at all, and the log can be continued, through a
// second power loss too.
func TestDurableRecordsSurvivePowerLoss(t *testing.T) {
	cases := 0
	for _, snapshots := range []bool{false, true} {
		for first := 1; ; first++ {
			files := newFaultyFileSystem()
			files.powerLossAt = first
			_, synced, inFlight, err := writeUntilPowerLoss(files, 1, snapshots)
			if err != nil {
				t.Fatalf("openLog of an empty folder = %v, want nil", err)
			}
			for _, state := range files.statesAfterPowerLoss() {
				found := state.statesAfterPowerLoss()[0]
				_, read, err := openLog(found)
				if !readsExpected(read, nil, synced, inFlight) || err != nil {
					t.Fatalf("snapshots %v, power lost at operation %d: read %v, want the durable %v and none or all of %v in flight; error %v, want nil",
						snapshots, first, read, synced, inFlight, err)
				}
				for second := 1; ; second++ {
					continued := state.statesAfterPowerLoss()[0]
					continued.powerLossAt = second
					before, synced, inFlight, err := writeUntilPowerLoss(continued, 100, snapshots)
					if err != nil {
						if errors.Is(err, errPowerLost) || errs.CodeOf(err) == errs.DiskFailed {
							continue // power was lost while the log was opened
						}
						t.Fatalf("openLog until the second power loss = %v, want nil, %v or code %s", err, errPowerLost, errs.DiskFailed)
					}
					for _, secondState := range continued.statesAfterPowerLoss() {
						_, read, err := openLog(secondState)
						cases++
						if !readsExpected(read, before, synced, inFlight) || err != nil {
							t.Fatalf("snapshots %v, power lost at operations %d and %d: read %v, want the earlier %v, the durable %v and none or all of %v in flight; error %v, want nil",
								snapshots, first, second, read, before, synced, inFlight, err)
						}
					}
					if continued.operations < second {
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
		t.Errorf("%d states after a second power loss were checked, want at least 1000", cases)
	}
	t.Logf("%d states after a second power loss were checked", cases)
}

// readsExpected reports whether the records read from a log are all those in before and synced, or these followed by the
// group in flight. A group in flight with a snapshot replaces the others instead.
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

// After a failed write the log refuses every write until one that replaces the log succeeds. It then accepts others
// again.
func TestLogRefusesWritesAfterFailure(t *testing.T) {
	files := newFaultyFileSystem()
	log, _, err := openLog(files)
	if err != nil {
		t.Fatal(err)
	}
	first := &schema.Record{VotedTerm: 1, Snapshot: &schema.Snapshot{}}
	if err := log.Write([]*schema.Record{first}, true); err != nil {
		t.Fatalf("Write of the first record = %v, want nil", err)
	}
	files.failWrites = true
	expectRefused := func(term int) {
		t.Helper()
		if err := log.Write([]*schema.Record{voteRecord(term)}, false); errs.CodeOf(err) != errs.DiskFailed {
			t.Errorf("Write of term %d after a failed write = %v, want code %s", term, err, errs.DiskFailed)
		}
	}
	expectRefused(2)
	files.failWrites = false
	expectRefused(2)
	files.failWrites = true
	if err := log.Write([]*schema.Record{first}, true); errs.CodeOf(err) != errs.DiskFailed {
		t.Fatalf("Write of a snapshot to a failing disk = %v, want code %s", err, errs.DiskFailed)
	}
	files.failWrites = false
	expectRefused(3)
	snapshot := &schema.Record{VotedTerm: 4, Snapshot: &schema.Snapshot{}}
	if err := log.Write([]*schema.Record{snapshot}, true); err != nil {
		t.Fatalf("Write of a snapshot to a recovered disk = %v, want nil", err)
	}
	if err := log.Write([]*schema.Record{voteRecord(5)}, false); err != nil {
		t.Fatalf("Write of term 5 after the log was replaced = %v, want nil", err)
	}
	for _, state := range files.statesAfterPowerLoss() {
		if _, read, err := openLog(state); err != nil || !equalRecords(read, []*schema.Record{snapshot, voteRecord(5)}) {
			t.Errorf("openLog after a power loss returned %v, %v; want the snapshot and the vote of term 5", read, err)
		}
	}
}

// A process acts on the records that it has read from the log, so these are durable. That holds even if the previous
// process was killed during a write, and power is lost later.
func TestReadRecordsAreDurable(t *testing.T) {
	for first := 1; ; first++ {
		files := newFaultyFileSystem()
		files.powerLossAt = first
		if _, _, _, err := writeUntilPowerLoss(files, 1, true); err != nil {
			t.Fatalf("openLog of an empty folder = %v, want nil", err)
		}
		ended := files.operations < first
		files.powerLossAt = 0
		_, read, err := openLog(files)
		if err != nil {
			t.Fatalf("openLog after a kill at operation %d = %v, want nil", first, err)
		}
		for _, state := range files.statesAfterPowerLoss() {
			if _, readAgain, err := openLog(state); err != nil || !equalRecords(read, readAgain) {
				t.Fatalf("process killed at operation %d: after a power loss openLog returned %v, %v; want the records read before, %v",
					first, readAgain, err, read)
			}
		}
		if ended {
			return
		}
	}
}

// filledLog writes a log of count records, each in a frame of its own, and returns its data folder and the records.
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
			t.Fatalf("Write of term %d = %v, want nil", i+1, err)
		}
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	return folder, written
}

// expectRecords checks the records of a log, and that the log accepts a further record, as it must after a repair too.
func expectRecords(t *testing.T, folder string, want []*schema.Record) {
	t.Helper()
	log, records, err := Open(folder)
	if err != nil {
		t.Fatalf("Open failed: %v, want %d records", err, len(want))
	}
	defer func() { _ = log.Close() }() // the record is durable already
	if !equalRecords(want, records) {
		t.Errorf("Open returned the records %v, want %v", records, want)
	}
	if err := log.Write([]*schema.Record{voteRecord(99)}, false); err != nil {
		t.Errorf("Write after Open = %v, want nil", err)
	}
}

// If the last frame of a file on a real file system is torn at any byte, the records before it are read.
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
	// The length of the tail has reached the disk, but most of its bytes are zero.
	zeroed := append([]byte(nil), intact...)
	for i := len(zeroed) - last + 3; i < len(zeroed); i++ {
		zeroed[i] = 0
	}
	_ = os.WriteFile(file, zeroed, 0o640)
	expectRecords(t, folder, written[:2])
}

// Corruption before the tail is refused, not skipped: the lost records may include a vote.
func TestCorruptionInTheMiddleIsRefused(t *testing.T) {
	folder, _ := filledLog(t, 3)
	file := filepath.Join(folder, logName(1))
	content, _ := os.ReadFile(file)
	content[len(content)/2] ^= 0x40
	_ = os.WriteFile(file, content, 0o640)
	if _, _, err := Open(folder); err == nil || errs.CodeOf(err) != errs.DiskCorrupt {
		t.Errorf("Open of a corrupt log = %v, want code %s", err, errs.DiskCorrupt)
	}
	if err := QuarantineLog(folder); err != nil {
		t.Fatalf("QuarantineLog of a corrupt log = %v, want nil", err)
	}
	expectRecords(t, folder, nil)
}

// A record that replaces the log removes all earlier records and their file.
func TestReplacingRecordRemovesEarlierFiles(t *testing.T) {
	folder, _ := filledLog(t, 3)
	log, _, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	snapshot := &schema.Record{Snapshot: &schema.Snapshot{Term: 4, Sequence: 7}}
	if err := log.Write([]*schema.Record{snapshot}, true); err != nil {
		t.Fatalf("Write of a record that replaces the log = %v, want nil", err)
	}
	if err := log.Close(); err != nil {
		t.Errorf("Close after a record that replaces the log = %v, want nil", err)
	}
	if names, _ := osFileSystem(folder).list(); len(names) != 1 {
		t.Errorf("files after a record that replaces the log = %v, want 1 file", names)
	}
	expectRecords(t, folder, []*schema.Record{snapshot})
}
