// Package ring keeps the last log lines in memory and writes them out when something goes wrong.
package ring

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"meadowhinge/internal/defect"
)

// Ring is a bounded buffer of log lines.
type Ring struct {
	lock   sync.Mutex
	lines  []string
	next   int
	filled bool
	unsaid int    // lines added since they were last written to standard error
	file   string // empty for standard error
	last   time.Time
	pause  time.Duration
	now    func() time.Time
}

// New makes a ring of size lines that is written to folder/name.log, or without a folder to
// standard error.
func New(folder, name string, size int) *Ring {
	file := ""
	if folder != "" {
		file = filepath.Join(folder, name+".log")
	}
	// A storm of defects must not become a storm of disk writes: one dump a second is enough.
	return &Ring{lines: make([]string, size), file: file, pause: time.Second, now: time.Now}
}

// Logger gives the logr front; an Error call dumps the ring.
func (r *Ring) Logger() logr.Logger {
	return funcr.New(func(prefix, args string) {
		r.add(strings.TrimSpace(prefix + " " + args))
		if strings.Contains(args, `"error"=`) {
			_ = r.Dump(false)
		}
	}, funcr.Options{LogTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000000Z07:00", Verbosity: 1})
}

func (r *Ring) add(line string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.lines[r.next] = line
	r.next++
	r.unsaid = min(r.unsaid+1, len(r.lines))
	if r.next == len(r.lines) {
		r.next, r.filled = 0, true
	}
}

// Lines gives what the ring holds, oldest first.
func (r *Ring) Lines() []string {
	r.lock.Lock()
	defer r.lock.Unlock()
	var ordered []string
	if r.filled {
		ordered = append(ordered, r.lines[r.next:]...)
	}
	return append(ordered, r.lines[:r.next]...)
}

// Dump writes the ring out; unless forced, at most once in a while.
func (r *Ring) Dump(forced bool) error {
	r.lock.Lock()
	due := forced || r.now().Sub(r.last) > r.pause
	if due {
		r.last = r.now()
	}
	r.lock.Unlock()
	if !due {
		return nil
	}
	if r.file == "" {
		return r.say()
	}
	text := strings.Join(r.Lines(), "\n") + "\n"
	// Written beside and moved into place, so that a dump cut short leaves the one before.
	if err := os.WriteFile(r.file+".new", []byte(text), 0o640); err != nil {
		return defect.Wrap(err, defect.DiskFailed, fmt.Sprintf("log ring %s", r.file))
	}
	return defect.Wrap(os.Rename(r.file+".new", r.file), defect.DiskFailed, "log ring")
}

// say writes to standard error what it has not been told yet: unlike a file it is not replaced.
func (r *Ring) say() error {
	lines := r.Lines()
	r.lock.Lock()
	lines, r.unsaid = lines[len(lines)-min(r.unsaid, len(lines)):], 0
	r.lock.Unlock()
	if len(lines) == 0 {
		return nil
	}
	_, err := os.Stderr.WriteString(strings.Join(lines, "\n") + "\n")
	return defect.Wrap(err, defect.DiskFailed, "log ring")
}
