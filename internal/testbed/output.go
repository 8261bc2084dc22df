package testbed

import (
	"fmt"
	"io"
)

// printf writes reports and progress. A failed write is ignored: the report's file holds the same figures, and there
// is no other output to report the failure to.
func printf(out io.Writer, format string, values ...any) {
	_, _ = fmt.Fprintf(out, format, values...)
}

// printLine writes values and a line break; see printf on failed writes.
func printLine(out io.Writer, values ...any) {
	_, _ = fmt.Fprintln(out, values...)
}
