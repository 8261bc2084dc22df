// Package goldenfile compares what a test produces with a file of its package's testdata folder. Only tests use it. There is
// no way to write a file anew: golden files hold names and bytes that must not change.
package goldenfile

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Compare fails the test, and shows the lines that differ, unless testdata/golden/name holds exactly the text got.
func Compare(t *testing.T, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", "golden", name)
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s differs (-want +got):\n%s", file, diff)
	}
}
