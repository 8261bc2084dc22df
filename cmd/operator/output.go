package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// printf and printLine write to the terminal or to a pipe. A failed write goes unreported: there is
// nowhere left to report it, and a reader that closed the pipe has seen what it wanted.
func printf(out io.Writer, format string, values ...any) {
	_, _ = fmt.Fprintf(out, format, values...)
}

func printLine(out io.Writer, values ...any) {
	_, _ = fmt.Fprintln(out, values...)
}

// printTable prints rows under a header whose columns are separated by blanks.
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
	_ = writer.Flush() // fails only with the terminal or pipe, as in printf
}
