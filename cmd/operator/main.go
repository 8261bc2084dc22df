package main

import (
	"context"
	"errors"
	"flag"
	"io"
	"os"
)

func main() { os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

// run executes one command line and returns the program's exit code.
func run(args []string, in io.Reader, out, errOut io.Writer) int {
	c := &client{in: in, out: out, errOut: errOut}
	return c.exitCode(newRootCommand(c).ParseAndRun(context.Background(), args))
}

// exitCode returns the exit code for a command's error, which it prints to standard error. A nil error
// and a request for help give 0.
func (c *client) exitCode(err error) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return 0
	}
	printLine(c.errOut, "operator:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitUsage
}
