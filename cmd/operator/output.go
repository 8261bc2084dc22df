package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// printf and printLine write to the terminal or to a pipe. They ignore failed writes, because there is
// nowhere left to report them, and a reader that closes the pipe has read what it needs.
func printf(out io.Writer, format string, values ...any) {
	_, _ = fmt.Fprintf(out, format, values...)
}

func printLine(out io.Writer, values ...any) {
	_, _ = fmt.Fprintln(out, values...)
}

// printTable prints rows under a header in aligned columns. header has the column names, separated by
// blanks.
func (c *client) printTable(header string, rows [][]any) {
	writer := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	printLine(writer, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				printf(writer, "\t")
			}
			printf(writer, "%v", cell)
		}
		printLine(writer)
	}
	_ = writer.Flush() // a failed write is ignored, as in printf
}
