package store

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/defect"
	"meadowhinge/schema"
)

// faulty is a drive whose power can be lost at any moment. Of a file it keeps what its last sync
// covered; each later write may be there, missing or torn. A new file lasts once it is synced
// itself; a removal or a change of name lasts once the names are synced.
type faulty struct {
	now     map[string]*faultyFile // as a process sees it
	lasting map[string]*faultyFile // by the names that last; the files are the same ones
	refuses bool
	moments int // operations so far
	stopAt  int // power is lost once so many have begun; 0 for never
}

type faultyFile struct {
	on     *faulty
	synced []byte
	later  []change // not covered by a sync
	lasts  bool     // a sync has made its name last
}

// change is a write at the end or, with cut not negative, a new length.
type change struct {
	data []byte
	cut  int
}

var errPower = errors.New("power is lost")

func newFaulty() *faulty {
	return &faulty{now: map[string]*faultyFile{}, lasting: map[string]*faultyFile{}}
}

// moment is a point at which power may be lost: whatever is begun there is in doubt.
func (f *faulty) moment() error {
	f.moments++
	if f.stopAt > 0 && f.moments > f.stopAt {
		return errPower
	}
	if f.refuses {
		return errors.New("refused")
	}
	return nil
}

func (f *faulty) list() ([]string, error) { return slices.Sorted(maps.Keys(f.now)), nil }

func (f *faulty) read(name string) ([]byte, error) {
	one := f.now[name]
	data := slices.Clone(one.synced)
	for _, later := range one.later {
		if later.cut >= 0 {
			data = data[:later.cut]
		}
		data = append(data, later.data...)
	}
	return data, nil
}

func (f *faulty) create(name string) (file, error) {
	if err := f.moment(); err != nil {
		return nil, err
	}
	f.now[name] = &faultyFile{on: f}
	return &faultyHandle{f.now[name], name}, nil
}

func (f *faulty) open(name string) (file, error) { return &faultyHandle{f.now[name], name}, nil }

func (f *faulty) remove(name string) error {
	if err := f.moment(); err != nil {
		return err
	}
	delete(f.now, name)
	return nil
}

func (f *faulty) rename(from, to string) error {
	f.now[to] = f.now[from]
	delete(f.now, from)
	return nil
}

func (f *faulty) syncNames() error {
	if err := f.moment(); err != nil {
		return err
	}
	maps.DeleteFunc(f.lasting, func(name string, _ *faultyFile) bool { return f.now[name] == nil })
	return nil
}

type faultyHandle struct {
	*faultyFile
	name string
}

func (h *faultyHandle) write(data []byte) error {
	h.later = append(h.later, change{data: slices.Clone(data), cut: -1})
	return h.on.moment()
}

func (h *faultyHandle) truncate(size int64) error {
	h.later = append(h.later, change{cut: int(size)})
	return h.on.moment()
}

func (h *faultyHandle) sync() error {
	if err := h.on.moment(); err != nil {
		return err
	}
	h.synced, _ = h.on.read(h.name)
	h.later, h.lasts = nil, true
	h.on.lasting[h.name] = h.faultyFile
	return nil
}

func (h *faultyHandle) close() error { return nil }

// remains are all the ways in which one file may be found after power was lost.
func (one *faultyFile) remains() (ways [][]byte) {
	ways = [][]byte{slices.Clone(one.synced)}
	if !one.lasts {
		ways = append(ways, nil)
	}
	for _, later := range one.later {
		for _, way := range slices.Clone(ways) {
			if way == nil {
				way = []byte{}
			}
			if later.cut >= 0 {
				ways = append(ways, slices.Clone(way[:min(len(way), later.cut)]))
				continue
			}
			size := len(later.data)
			hole := slices.Clone(later.data)
			clear(hole[size/3 : 2*size/3])
			head := slices.Clone(later.data)
			clear(head[:size/2])
			// Whole, cut at several places, with a hole, without its beginning, and only its length.
			for _, data := range [][]byte{later.data, later.data[:1], later.data[:min(headBytes, size)], later.data[:size/2], later.data[:size-1], hole, head, make([]byte, size)} {
				ways = append(ways, slices.Concat(way, data))
			}
		}
	}
	return ways
}

// after gives the drives that may be found after power was lost: each file in each of its ways,
// each removal that does not last yet done or undone.
func (f *faulty) after() (found []*faulty) {
	found = []*faulty{newFaulty()}
	names := map[string]bool{}
	for name := range f.now {
		names[name] = true
	}
	for name := range f.lasting {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		one := f.now[name]
		ways := [][]byte{}
		if one == nil {
			one = f.lasting[name]
			ways = append(ways, nil) // removed, if the removal lasted
		}
		ways = append(ways, one.remains()...)
		var next []*faulty
		for _, drive := range found {
			for _, way := range ways {
				with := newFaulty()
				for other, kept := range drive.now {
					with.now[other] = &faultyFile{on: with, synced: kept.synced, lasts: true}
					with.lasting[other] = with.now[other]
				}
				if way != nil {
					with.now[name] = &faultyFile{on: with, synced: way, lasts: true}
					with.lasting[name] = with.now[name]
				}
				next = append(next, with)
			}
		}
		found = next
	}
	return found
}

func marked(number int) *schema.Record {
	return &schema.Record{VotedEpoch: uint64(number), VotedFor: fmt.Sprint("replica-", number)}
}

// session opens a drive's log and writes groups of records to it until power is lost. It gives
// what it read, what was synced for certain beyond that, and the group that was under way.
func session(on *faulty, from int, wholes bool) (read, synced, under []*schema.Record, err error) {
	disk, read, err := openDrive(on)
	if err != nil {
		return nil, nil, nil, err
	}
	for step := range 4 {
		// The whole state stands for all before it: here it tells the number of the last.
		whole := wholes && step == 2 || len(read)+len(synced) == 0
		group := []*schema.Record{marked(from + 2*step), marked(from + 2*step + 1)}
		if whole {
			group = group[1:]
			group[0].Snapshot = &schema.Snapshot{Sequence: group[0].VotedEpoch}
		}
		if err := disk.Write(group, whole); err != nil {
			return read, synced, group, nil
		}
		if whole {
			read, synced = nil, nil
		}
		synced = append(synced, group...)
	}
	return read, synced, nil, nil
}

func same(a, b []*schema.Record) bool {
	return slices.EqualFunc(a, b, func(a, b *schema.Record) bool { return proto.Equal(a, b) })
}

// Wherever power is lost, and whatever of what was not synced is found then, all that was synced
// is read again, in order; what was under way is read whole or not at all; and the log goes on
// from there, through a second loss.
func TestPowerLost(t *testing.T) {
	tried := 0
	for _, wholes := range []bool{false, true} {
		for first := 1; ; first++ {
			one := newFaulty()
			one.stopAt = first
			_, synced, under, err := session(one, 1, wholes)
			if err != nil {
				t.Fatal(err)
			}
			for _, found := range one.after() {
				again := found.after()[0]
				_, read, err := openDrive(again)
				if !fits(read, nil, synced, under) || err != nil {
					t.Fatalf("wholes %v, stopped at %d: read %v, synced %v, under way %v: %v", wholes, first, read, synced, under, err)
				}
				for second := 1; ; second++ {
					twice := found.after()[0]
					twice.stopAt = second
					before, synced, under, err := session(twice, 100, wholes)
					if err != nil {
						if errors.Is(err, errPower) || defect.KindOf(err) == defect.DiskFailed {
							continue // lost while it was opened
						}
						t.Fatal(err)
					}
					for _, left := range twice.after() {
						_, read, err := openDrive(left)
						tried++
						if !fits(read, before, synced, under) || err != nil {
							t.Fatalf("wholes %v, stopped at %d and %d: read %v, before %v, synced %v, under way %v: %v", wholes, first, second, read, before, synced, under, err)
						}
					}
					if twice.moments < second {
						break
					}
				}
			}
			if one.moments < first {
				break
			}
		}
	}
	if tried < 1000 {
		t.Errorf("only %d ways were tried", tried)
	}
	t.Logf("%d ways", tried)
}

// fits tells whether a log holds what it must: all before and synced, and perhaps what was under way.
func fits(read, before, synced, under []*schema.Record) bool {
	certain := slices.Concat(before, synced)
	if same(read, certain) {
		return true
	}
	if len(under) > 0 && under[len(under)-1].Snapshot != nil {
		return same(read, under)
	}
	return same(read, slices.Concat(certain, under))
}

// A disk that has refused a write takes nothing but the whole state, and then goes on.
func TestRefusedWrite(t *testing.T) {
	on := newFaulty()
	disk, _, err := openDrive(on)
	if err != nil {
		t.Fatal(err)
	}
	first := &schema.Record{VotedEpoch: 1, Snapshot: &schema.Snapshot{}}
	if err := disk.Write([]*schema.Record{first}, true); err != nil {
		t.Fatal(err)
	}
	on.refuses = true
	refused := func(number int) {
		t.Helper()
		if err := disk.Write([]*schema.Record{marked(number)}, false); defect.KindOf(err) != defect.DiskFailed {
			t.Errorf("%d was written after one that may be missing: %v", number, err)
		}
	}
	refused(2)
	on.refuses = false
	refused(2)
	on.refuses = true
	if err := disk.Write([]*schema.Record{first}, true); defect.KindOf(err) != defect.DiskFailed {
		t.Fatal(err)
	}
	on.refuses = false
	refused(3)
	whole := &schema.Record{VotedEpoch: 4, Snapshot: &schema.Snapshot{}}
	if err := disk.Write([]*schema.Record{whole}, true); err != nil {
		t.Fatal(err)
	}
	if err := disk.Write([]*schema.Record{marked(5)}, false); err != nil {
		t.Fatal(err)
	}
	for _, found := range on.after() {
		if _, read, err := openDrive(found); err != nil || !same(read, []*schema.Record{whole, marked(5)}) {
			t.Errorf("read %v: %v", read, err)
		}
	}
}

// What a process has read it may act upon, so it lasts even if the process before was killed in
// the middle of a write, and power is lost then.
func TestReadLasts(t *testing.T) {
	for first := 1; ; first++ {
		one := newFaulty()
		one.stopAt = first
		if _, _, _, err := session(one, 1, true); err != nil {
			t.Fatal(err)
		}
		ended := one.moments < first
		one.stopAt = 0
		_, read, err := openDrive(one)
		if err != nil {
			t.Fatal(err)
		}
		for _, found := range one.after() {
			if _, again, err := openDrive(found); err != nil || !same(read, again) {
				t.Fatalf("stopped at %d: read %v, then %v: %v", first, read, again, err)
			}
		}
		if ended {
			return
		}
	}
}

func filled(t *testing.T, count int) (folder string, written []*schema.Record) {
	t.Helper()
	folder = filepath.Join(t.TempDir(), "data")
	disk, _, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	for i := range count {
		written = append(written, marked(i+1))
		if err := disk.Write(written[i:i+1], false); err != nil {
			t.Fatal(err)
		}
	}
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
	return folder, written
}

func reread(t *testing.T, folder string, want []*schema.Record) {
	t.Helper()
	disk, records, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer disk.Close()
	if !same(want, records) {
		t.Errorf("read %v, want %v", records, want)
	}
	// What follows a repair must be writable and readable again.
	if err := disk.Write([]*schema.Record{marked(99)}, false); err != nil {
		t.Error(err)
	}
}

// Wherever the last record is cut on a real disk, the records before it are all there.
func TestTornTailIsDropped(t *testing.T) {
	folder, written := filled(t, 3)
	file := filepath.Join(folder, logName(1))
	whole, _ := os.ReadFile(file)
	last := len(whole) / 3
	for cut := 1; cut < last; cut++ {
		if err := os.WriteFile(file, whole[:len(whole)-cut], 0o640); err != nil {
			t.Fatal(err)
		}
		reread(t, folder, written[:2])
	}
	// A tail whose length was written but whose bytes were not.
	zeroed := append([]byte(nil), whole...)
	for i := len(zeroed) - last + 3; i < len(zeroed); i++ {
		zeroed[i] = 0
	}
	_ = os.WriteFile(file, zeroed, 0o640)
	reread(t, folder, written[:2])
}

// Rot before the tail is refused, not skipped: a promise might be in it.
func TestRotInTheMiddleIsRefused(t *testing.T) {
	folder, _ := filled(t, 3)
	file := filepath.Join(folder, logName(1))
	whole, _ := os.ReadFile(file)
	whole[len(whole)/2] ^= 0x40
	_ = os.WriteFile(file, whole, 0o640)
	if _, _, err := Open(folder); err == nil || defect.KindOf(err) != defect.DiskCorrupt {
		t.Errorf("got %v", err)
	}
	if err := SetAside(folder); err != nil {
		t.Fatal(err)
	}
	reread(t, folder, nil)
}

// A whole record lets everything before it go.
func TestWholeRecordTruncates(t *testing.T) {
	folder, _ := filled(t, 3)
	disk, _, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	snapshot := &schema.Record{Snapshot: &schema.Snapshot{Epoch: 4, Sequence: 7}}
	if err := disk.Write([]*schema.Record{snapshot}, true); err != nil {
		t.Fatal(err)
	}
	disk.Close()
	if names, _ := folderDrive(folder).list(); len(names) != 1 {
		t.Errorf("left: %v", names)
	}
	reread(t, folder, []*schema.Record{snapshot})
}
