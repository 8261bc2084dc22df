package store

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"meadowhinge/internal/defect"
	"meadowhinge/schema"
)

func filled(t *testing.T, count int) (folder string, written []*schema.Record) {
	t.Helper()
	folder = filepath.Join(t.TempDir(), "setup")
	disk, _, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	for i := range count {
		written = append(written, &schema.Record{Promised: uint64(i + 1), Counted: true})
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
	if diff := cmp.Diff(want, records, protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
	// What follows a repair must be writable and readable again.
	more := &schema.Record{Promised: 99}
	if err := disk.Write([]*schema.Record{more}, false); err != nil {
		t.Error(err)
	}
}

// Wherever power is lost within the last record, the records before it are all there.
func TestTornTailIsDropped(t *testing.T) {
	folder, written := filled(t, 3)
	file := segments(folder)[0]
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
	file := segments(folder)[0]
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
	digest := &schema.Record{Digest: &schema.Digest{Epoch: 4, Sequence: 7}}
	if err := disk.Write([]*schema.Record{digest}, true); err != nil {
		t.Fatal(err)
	}
	disk.Close()
	reread(t, folder, []*schema.Record{digest})
}
