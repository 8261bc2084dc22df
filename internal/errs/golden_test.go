package errs_test

import (
	"fmt"
	"strings"
	"testing"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/goldenfile"
)

// TestCodesGolden compares every code and its HTTP status with the golden file. Callers and operators depend on the
// strings, so they stay when a constant is renamed.
func TestCodesGolden(t *testing.T) {
	var listed strings.Builder
	for _, code := range errs.Codes() {
		fmt.Fprintf(&listed, "%s %d\n", code, errs.HTTPStatus(code))
	}
	fmt.Fprintf(&listed, "(any other) %d\n", errs.HTTPStatus("NO_SUCH_KIND"))
	goldenfile.Compare(t, "kinds.txt", listed.String())
}
