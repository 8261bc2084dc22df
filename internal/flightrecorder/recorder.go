// Package flightrecorder keeps a program's last log lines in memory and writes them out when an error is logged.
//
// Each long-running program has one Recorder, which package daemon creates, and logs through its Logger. All methods
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
	// minDumpInterval is the minimum time between two dumps that are not forced, so that many errors do not cause as
	// many disk writes.
	minDumpInterval = time.Second
	// dumpFileMode is the permission mode of the file that a dump writes.
	dumpFileMode = 0o640
	// debugVerbosity is the highest logr verbosity at which lines are recorded.
	debugVerbosity = 1
	// timestampFormat is RFC 3339 with microseconds.
	timestampFormat = "2006-01-02T15:04:05.000000Z07:00"
	// errorKey is the text by which a line of Logger.Error is recognized.
	errorKey = `"error"=`
)

// Recorder is a ring buffer of log lines that can be dumped to a file or to standard error.
type Recorder struct {
	file string           // file that each dump replaces; empty for standard error
	now  func() time.Time // clock for minDumpInterval; tests replace it

	lock      sync.Mutex // guards all fields below
	lines     []string   // ring buffer; its length is its capacity
	next      int        // index for the next line
	wrapped   bool       // the buffer is full, so its oldest line is at next
	unwritten int        // number of newest lines that no dump has written to standard error yet
	lastDump  time.Time  // time of the last dump, forced or not
}

// New returns a recorder of the last size lines. A dump goes to the file name.log in directory or, if directory is
// empty, to standard error.
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
			_ = r.Dump(false) // a log call cannot return an error; the lines stay recorded
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

// Dump replaces the recorder's file by the recorded lines. Without a file it writes the lines that are new since the
// last dump to standard error. Unless forced, it does nothing within minDumpInterval of the last dump. Its errors are
// DiskFailed.
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

// replaceFile writes all lines to a temporary file next to the recorder's and renames it, so that an interrupted dump
// leaves the previous one intact.
func (r *Recorder) replaceFile() error {
	text := strings.Join(r.Lines(), "\n") + "\n"
	if err := os.WriteFile(r.file+".new", []byte(text), dumpFileMode); err != nil {
		return errs.Wrap(err, errs.DiskFailed, fmt.Sprintf("write log dump %s", r.file+".new"))
	}
	return errs.Wrap(os.Rename(r.file+".new", r.file), errs.DiskFailed, fmt.Sprintf("rename log dump to %s", r.file))
}

// writeToStderr writes only the lines that no dump has written yet, because standard error, unlike a file, keeps the
// previous dumps.
func (r *Recorder) writeToStderr() error {
	lines := r.Lines()
	r.lock.Lock()
	lines, r.unwritten = lines[len(lines)-min(r.unwritten, len(lines)):], 0
	r.lock.Unlock()
	if len(lines) == 0 {
		return nil
	}
	_, err := os.Stderr.WriteString(strings.Join(lines, "\n") + "\n")
	return errs.Wrap(err, errs.DiskFailed, "write log dump to standard error")
}
