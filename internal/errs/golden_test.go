package errs_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"meadowhinge/internal/errs"
)

// TestCodesGolden compares every kind of failure and its HTTP status with the golden list. Callers
// and operators decide by these words, so they outlive the names of the constants.
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
