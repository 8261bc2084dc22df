package errs_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"meadowhinge/internal/errs"
)

// TestCodesGolden compares every code and its HTTP status with the golden list. Callers and operators decide
// by these strings, so they stay when a constant is renamed.
func TestCodesGolden(t *testing.T) {
	var listed strings.Builder
	for _, code := range errs.Codes() {
		fmt.Fprintf(&listed, "%s %d\n", code, errs.HTTPStatus(code))
	}
	fmt.Fprintf(&listed, "(any other) %d\n", errs.HTTPStatus("NO_SUCH_KIND"))
	want, err := os.ReadFile(filepath.Join("testdata", "golden", "kinds.txt"))
	if err != nil {
		t.Fatal(err)
	}
	if listed.String() != string(want) {
		t.Errorf("got\n%s\nwant\n%s", listed.String(), want)
	}
}
