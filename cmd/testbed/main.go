package main

import (
	"fmt"
	"os"
	"path/filepath"

	"meadowhinge/internal/testbed"
)

func main() { os.Exit(run(os.Args[1:])) }

// subcommands maps the name of each subcommand to its function, which gets the arguments after the name
// and returns the exit code.
var subcommands = map[string]func(args []string) int{
	"hollow": runHollow,
	"slopes": runSlopes,
	"calls":  runCalls,
	"soak":   runSoak,
}

// run executes one command line and returns the program's exit code. Without a subcommand it runs a
// scenario.
func run(args []string) int {
	if len(args) > 1 && args[0] == testbed.DelayedStoreCommand {
		return testbed.RunDelayedStore(args[1], args[2:])
	}
	if len(args) > 0 && subcommands[args[0]] != nil {
		return subcommands[args[0]](args[1:])
	}
	return runScenario(args)
}

// resolveFolders replaces an empty folder by a new temporary folder, and empty binaries by the folder of this
// program. If exit is true, that failed and the program must exit with code. program prefixes error
// messages.
func resolveFolders(program string, folder, binaries *string) (code int, exit bool) {
	if *folder == "" {
		temporary, err := os.MkdirTemp("", "testbed-")
		if err != nil {
			fmt.Fprintln(os.Stderr, program+":", err)
			return 1, true
		}
		*folder = temporary
	}
	if *binaries == "" {
		executable, err := os.Executable()
		if err != nil {
			fmt.Fprintln(os.Stderr, program+":", err)
			return 1, true
		}
		*binaries = filepath.Dir(executable)
	}
	return 0, false
}
