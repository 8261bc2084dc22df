// Package flightrecorder keeps a program's last log lines in memory, and writes them out when an error is logged.
//
// Each long-running program has one Recorder, made by package daemon, and logs through its Logger. All methods
// are safe for concurrent use.
package flightrecorder

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"meadowhinge/internal/errs"
)

const (
	// minDumpInterval is the shortest time between two dumps that are not forced, so that many errors do not
	// become many disk writes.
	minDumpInterval = time.Second
	// dumpFileMode is the mode of the file that a dump writes.
	dumpFileMode = 0o640
	// debugVerbosity is the highest verbosity of a log line that is recorded.
	debugVerbosity = 1
	// timestampFormat is RFC 3339 with microseconds.
	timestampFormat = "2006-01-02T15:04:05.000000Z07:00"
	// errorKey is what a line has that was logged with Logger.Error.
	errorKey = `"error"=`
)

// Recorder is a ring buffer of log lines.
type Recorder struct {
	file string // that a dump replaces, empty for standard error
	now  func() time.Time

	lock      sync.Mutex // guards all fields below
	lines     []string   // ring buffer
	next      int        // index for the next line
	wrapped   bool       // the buffer is full, so its oldest line is at next
	unwritten int        // recorded lines that no dump has written to standard error yet
	lastDump  time.Time
}

// New makes a recorder of size lines. A dump goes to the file name.log in directory, or for an empty directory to
// standard error.
func New(directory, name string, size int) *Recorder {
	file := ""
	if directory != "" {
		file = filepath.Join(directory, name+".log")
	}
	return &Recorder{lines: make([]string, size), file: file, now: time.Now}
}

// Logger returns a logger whose lines are recorded. Its Error method also dumps the recorder.
func (r *Recorder) Logger() logr.Logger {
	record := func(prefix, args string) {
		r.add(strings.TrimSpace(prefix + " " + args))
		if strings.Contains(args, errorKey) {
			_ = r.Dump(false) // a log call cannot report an error; the lines stay recorded
		}
	}
	return funcr.New(record, funcr.Options{LogTimestamp: true, TimestampFormat: timestampFormat, Verbosity: debugVerbosity})
}

func (r *Recorder) add(logLine string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.lines[r.next] = logLine
	r.next++
	r.unwritten = min(r.unwritten+1, len(r.lines))
	if r.next == len(r.lines) {
		r.next, r.wrapped = 0, true
	}
}

// Lines returns the recorded lines, oldest first.
func (r *Recorder) Lines() []string {
	r.lock.Lock()
	defer r.lock.Unlock()
	var ordered []string
	if r.wrapped {
		ordered = append(ordered, r.lines[r.next:]...)
	}
	return append(ordered, r.lines[:r.next]...)
}

// Dump writes the recorded lines to the recorder's file, in place of the dump before, or those that are new to
// standard error. Unless forced, it does nothing within a second of the last dump. Its errors are DiskFailed.
func (r *Recorder) Dump(forced bool) error {
	if !r.beginDump(forced) {
		return nil
	}
	if r.file == "" {
		return r.writeToStderr()
	}
	return r.replaceFile()
}

// beginDump reports whether a dump is due, and if so records its time.
func (r *Recorder) beginDump(forced bool) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if !forced && r.now().Sub(r.lastDump) <= minDumpInterval {
		return false
	}
	r.lastDump = r.now()
	return true
}

// replaceFile writes all lines to a file beside the recorder's and renames it, so that a dump that is cut short
// leaves the one before.
func (r *Recorder) replaceFile() error {
	text := strings.Join(r.Lines(), "\n") + "\n"
	if err := os.WriteFile(r.file+".new", []byte(text), dumpFileMode); err != nil {
		return errs.Wrap(err, errs.DiskFailed, fmt.Sprintf("log ring %s", r.file))
	}
	return errs.Wrap(os.Rename(r.file+".new", r.file), errs.DiskFailed, "log ring")
}

// writeToStderr writes the lines that no dump has written yet: unlike a file, standard error is not replaced.
func (r *Recorder) writeToStderr() error {
	lines := r.Lines()
	r.lock.Lock()
	lines, r.unwritten = lines[len(lines)-min(r.unwritten, len(lines)):], 0
	r.lock.Unlock()
	if len(lines) == 0 {
		return nil
	}
	_, err := os.Stderr.WriteString(strings.Join(lines, "\n") + "\n")
	return errs.Wrap(err, errs.DiskFailed, "log ring")
}
