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

func voteRecord(term int) *schema.Record {
	return &schema.Record{VotedTerm: uint64(term), VotedFor: fmt.Sprint("replica-", term)}
}

// writeUntilPowerLoss opens a drive's log and writes groups of records to it until power is lost. It gives
// what it read, what was synced for certain beyond that, and the group that was under way.
func writeUntilPowerLoss(files *faultyFileSystem, from int, snapshots bool) (read, synced, inFlight []*schema.Record, err error) {
	log, read, err := openLog(files)
	if err != nil {
		return nil, nil, nil, err
	}
	for step := range 4 {
		// The whole state stands for all before it: here it tells the number of the last.
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

// Wherever power is lost, and whatever of what was not synced is found then, all that was synced
// is read again, in order; what was under way is read whole or not at all; and the log goes on
// from there, through a second loss.
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
					t.Fatalf("wholes %v, stopped at %d: read %v, synced %v, under way %v: %v", snapshots, first, read, synced, inFlight, err)
				}
				for second := 1; ; second++ {
					twice := state.statesAfterPowerLoss()[0]
					twice.powerLossAt = second
					before, synced, inFlight, err := writeUntilPowerLoss(twice, 100, snapshots)
					if err != nil {
						if errors.Is(err, errPower) || errs.CodeOf(err) == errs.DiskFailed {
							continue // lost while it was opened
						}
						t.Fatal(err)
					}
					for _, secondState := range twice.statesAfterPowerLoss() {
						_, read, err := openLog(secondState)
						cases++
						if !readsExpected(read, before, synced, inFlight) || err != nil {
							t.Fatalf("wholes %v, stopped at %d and %d: read %v, before %v, synced %v, under way %v: %v", snapshots, first, second, read, before, synced, inFlight, err)
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
		t.Errorf("only %d ways were tried", cases)
	}
	t.Logf("%d ways", cases)
}

// readsExpected tells whether a log holds what it must: all before and synced, and perhaps what was under way.
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

// A disk that has refused a write takes nothing but the whole state, and then goes on.
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
			t.Errorf("%d was written after one that may be missing: %v", number, err)
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

// What a process has read it may act upon, so it lasts even if the process before was killed in
// the middle of a write, and power is lost then.
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
				t.Fatalf("stopped at %d: read %v, then %v: %v", first, read, again, err)
			}
		}
		if ended {
			return
		}
	}
}

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

func expectRecords(t *testing.T, folder string, want []*schema.Record) {
	t.Helper()
	log, records, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	if !equalRecords(want, records) {
		t.Errorf("read %v, want %v", records, want)
	}
	// What follows a repair must be writable and readable again.
	if err := log.Write([]*schema.Record{voteRecord(99)}, false); err != nil {
		t.Error(err)
	}
}

// Wherever the last record is cut on a real disk, the records before it are all there.
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
	// A tail whose length was written but whose bytes were not.
	zeroed := append([]byte(nil), intact...)
	for i := len(zeroed) - last + 3; i < len(zeroed); i++ {
		zeroed[i] = 0
	}
	_ = os.WriteFile(file, zeroed, 0o640)
	expectRecords(t, folder, written[:2])
}

// Rot before the tail is refused, not skipped: a promise might be in it.
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

// A whole record lets everything before it go.
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
	log.Close()
	if names, _ := osFileSystem(folder).list(); len(names) != 1 {
		t.Errorf("left: %v", names)
	}
	expectRecords(t, folder, []*schema.Record{snapshot})
}
