package testbed

import (
	"fmt"
	"io"
)

// printf and printLine write reports and progress. A failed write goes unreported: the report's file has the
// same figures, and there is nowhere left to report it.
func printf(out io.Writer, format string, values ...any) {
	_, _ = fmt.Fprintf(out, format, values...)
}

func printLine(out io.Writer, values ...any) {
	_, _ = fmt.Fprintln(out, values...)
}
