//go:build review

package platform

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxCaseTime bounds a case, its clean-up excluded.
const maxCaseTime = 105 * time.Second

// Case is one run of a case.
type Case struct {
	Fleet   *Fleet
	Record  *Record
	Folder  string // folder of the case, with its files
	Trouble bool   // whether the disruption is made; false with TROUBLE=0 in the environment
}

// Main runs a case on a fleet with one beside machine for each named service, and exits with the case's exit code. body
// reports whether the rule was broken. An error of body means that the case could not run.
func Main(services []string, body func(c *Case) (broken bool, err error)) {
	programs := flag.String("programs", "target", "folder with the programs of the deploy file's build")
	folder := flag.String("folder", ".", "folder of the case, to which the record is written")
	flag.Parse()
	os.Exit(run(*programs, *folder, services, body))
}

// Text returns the text of a file of the case.
func (c *Case) Text(name string) (string, error) {
	text, err := os.ReadFile(filepath.Join(c.Folder, name))
	return string(text), err
}

// Bring starts the fleet with the operator's first call, which the file first.json of the case holds, and waits until
// the proxies are ready.
func (c *Case) Bring() error {
	first, err := c.Text("first.json")
	if err != nil {
		return err
	}
	return c.Fleet.Bring(first)
}

func run(programs, folder string, services []string, body func(c *Case) (bool, error)) int {
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer record.Close()
	fleet, err := NewFleet(record, programs, services...)
	if err != nil {
		record.Event("the case cannot run: %v", err)
		return exitCannotRun
	}
	defer fleet.Stop()
	type result struct {
		broken bool
		err    error
	}
	finished := make(chan result, 1)
	go func() {
		broken, err := body(&Case{Fleet: fleet, Record: record, Folder: folder, Trouble: os.Getenv("TROUBLE") != "0"})
		finished <- result{broken, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-stopped:
		record.Event("RESULT stopped from outside")
		return exitCannotRun
	case <-time.After(maxCaseTime):
		record.Event("RESULT not finished within %v", maxCaseTime)
		return exitCannotRun
	case ended := <-finished:
		switch {
		case ended.err != nil:
			record.Event("RESULT the case could not run: %v", ended.err)
			fmt.Fprintln(os.Stderr, ended.err)
			return exitCannotRun
		case ended.broken:
			record.Event("RESULT the rule was broken")
			return exitBroken
		}
		record.Event("RESULT the rule held")
		return exitHeld
	}
}
