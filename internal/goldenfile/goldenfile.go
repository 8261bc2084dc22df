// Package goldenfile compares what a test produces with a file in the testdata folder of its package. Only tests use
// it. It has no switch that updates the files: they hold names and bytes that must not change.
package goldenfile

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Compare reports an error with the differing lines unless the file testdata/golden/name holds exactly the text got.
// It ends the test if the file cannot be read.
func Compare(t *testing.T, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", "golden", name)
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatalf("reading the golden file failed: %v", err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s differs (-want +got):\n%s", file, diff)
	}
}
