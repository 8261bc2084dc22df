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
	exitHelp        = 0 // help or version was asked for
	exitBadSettings = 2
)

// Faults is what is wrong with a program's settings, one text for each bad setting.
//
//nolint:errname // it is a list, whose elements are no errors; other packages build and return it by this name
type Faults []string

// Error lists every bad setting, one a line, so that an operator can correct all of them at once.
func (f Faults) Error() string { return strings.Join(f, "\n") }

// ExitCode gives the exit code for an error of Parse, after it wrote what is wrong to output, one line for each
// bad setting.
func ExitCode(program string, err error, output io.Writer) int {
	if errors.Is(err, flag.ErrHelp) {
		return exitHelp
	}
	var faults Faults
	if !errors.As(err, &faults) {
		faults = Faults{err.Error()}
	}
	for _, fault := range faults {
		// There is nobody to report a failed write to; the exit code still tells.
		_, _ = fmt.Fprintf(output, "%s: %s: %s\n", program, errs.InvalidOptions, fault)
	}
	return exitBadSettings
}
