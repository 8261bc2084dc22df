package options

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"meadowhinge/internal/errs"
)

// The exit codes after an error of Parse.
const (
	exitHelp        = 0 // the command line asked for help or the version
	exitBadSettings = 2
)

// Faults is an error that lists all invalid settings of a program, with one text for each: the name of the setting and
// the reason.
//
//nolint:errname // it is a list, whose elements are no errors; other packages build and return it by this name
type Faults []string

// Error returns the texts of all invalid settings, one on each line, so that an operator can correct all at once.
func (f Faults) Error() string { return strings.Join(f, "\n") }

// ExitCode returns the exit code of a program for an error of Parse or ParseWithFile: 0 after help or version, else 2.
// It writes a line to output for each invalid setting, with the name of the program and the code
// errs.InvalidOptions.
func ExitCode(program string, err error, output io.Writer) int {
	if errors.Is(err, flag.ErrHelp) {
		return exitHelp
	}
	var faults Faults
	if !errors.As(err, &faults) {
		faults = Faults{err.Error()}
	}
	for _, fault := range faults {
		// A failed write cannot be reported anywhere; the exit code still shows the failure.
		_, _ = fmt.Fprintf(output, "%s: %s: %s\n", program, errs.InvalidOptions, fault)
	}
	return exitBadSettings
}
