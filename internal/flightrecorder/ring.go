// Package ring keeps the last log lines in memory and writes them out when something goes wrong.
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

// Recorder is a bounded buffer of log lines.
type Recorder struct {
	lock            sync.Mutex
	lines           []string
	next            int
	wrapped         bool
	unwritten       int    // lines added since they were last written to standard error
	file            string // empty for standard error
	lastDump        time.Time
	minDumpInterval time.Duration
	now             func() time.Time
}

// New makes a ring of size lines that is written to folder/name.log, or without a folder to
// standard error.
func New(directory, name string, size int) *Recorder {
	file := ""
	if directory != "" {
		file = filepath.Join(directory, name+".log")
	}
	// A storm of defects must not become a storm of disk writes: one dump a second is enough.
	return &Recorder{lines: make([]string, size), file: file, minDumpInterval: time.Second, now: time.Now}
}

// Logger gives the logr front; an Error call dumps the ring.
func (r *Recorder) Logger() logr.Logger {
	return funcr.New(func(prefix, args string) {
		r.add(strings.TrimSpace(prefix + " " + args))
		if strings.Contains(args, `"error"=`) {
			_ = r.Dump(false)
		}
	}, funcr.Options{LogTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000000Z07:00", Verbosity: 1})
}

func (r *Recorder) add(line string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.lines[r.next] = line
	r.next++
	r.unwritten = min(r.unwritten+1, len(r.lines))
	if r.next == len(r.lines) {
		r.next, r.wrapped = 0, true
	}
}

// Lines gives what the ring holds, oldest first.
func (r *Recorder) Lines() []string {
	r.lock.Lock()
	defer r.lock.Unlock()
	var ordered []string
	if r.wrapped {
		ordered = append(ordered, r.lines[r.next:]...)
	}
	return append(ordered, r.lines[:r.next]...)
}

// Dump writes the ring out; unless forced, at most once in a while.
func (r *Recorder) Dump(forced bool) error {
	r.lock.Lock()
	due := forced || r.now().Sub(r.lastDump) > r.minDumpInterval
	if due {
		r.lastDump = r.now()
	}
	r.lock.Unlock()
	if !due {
		return nil
	}
	if r.file == "" {
		return r.writeToStderr()
	}
	text := strings.Join(r.Lines(), "\n") + "\n"
	// Written beside and moved into place, so that a dump cut short leaves the one before.
	if err := os.WriteFile(r.file+".new", []byte(text), 0o640); err != nil {
		return errs.Wrap(err, errs.DiskFailed, fmt.Sprintf("log ring %s", r.file))
	}
	return errs.Wrap(os.Rename(r.file+".new", r.file), errs.DiskFailed, "log ring")
}

// writeToStderr writes to standard error what it has not been told yet: unlike a file it is not replaced.
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
